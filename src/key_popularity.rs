//! How much of an instance's traffic asks for each key: a count that fades with each request. It decides nothing.

use rustc_hash::FxHashMap;

/// Weight of a request in its key's part of the traffic, and the keys remembered at the most.
const REQUEST_WEIGHT: f64 = 0.005;
const MAX_KEYS: usize = 4_096;

/// The keys that were asked for of late.
#[derive(Clone, Debug, Default)]
pub struct KeyPopularity {
    /// By key: its part, as of the count of requests when it last came.
    shares: FxHashMap<u64, (f64, u64)>,
    requests: u64,
}

impl KeyPopularity {
    /// A request came for a key.
    pub fn record(&mut self, key: u64) {
        let share = REQUEST_WEIGHT + self.traffic_share(key);
        self.requests += 1;
        self.shares.insert(key, (share, self.requests));
        if self.shares.len() > MAX_KEYS {
            let (requests, long) = (self.requests, MAX_KEYS as u64 / 2);
            self.shares.retain(|_, (_, at)| requests - *at < long);
        }
    }

    /// The part of the requests of late that asked for a key.
    pub fn traffic_share(&self, key: u64) -> f64 {
        let Some((share, at)) = self.shares.get(&key) else { return 0.0 };
        share * (1.0 - REQUEST_WEIGHT).powi((self.requests - at).min(10_000) as i32)
    }
}

/// Scatters a number over all others of its width (the finish of SplitMix64): a key's own order of servers must tell
/// nothing of another key's. A multiplying hash
/// was too regular: keys met on the same servers.
pub fn mix64(x: u64) -> u64 {
    let x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
