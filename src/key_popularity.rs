//! How much of an instance's traffic asks for each key: a share that decays with each request. It decides
//! nothing.

use rustc_hash::FxHashMap;

/// Weight of one request in its key's share of the traffic.
const REQUEST_WEIGHT: f64 = 0.005;
/// Most keys that are remembered.
const MAX_KEYS: usize = 4_096;

/// The share of one key, as of its last request.
#[derive(Clone, Copy, Debug)]
struct KeyShare {
    share: f64,
    /// Requests that had been counted by then.
    at_request: u64,
}

/// Shares of the keys that were requested lately.
#[derive(Clone, Debug, Default)]
pub struct KeyPopularity {
    shares: FxHashMap<u64, KeyShare>,
    /// Requests counted.
    requests: u64,
}

impl KeyPopularity {
    /// Counts a request for a key.
    pub fn record(&mut self, key: u64) {
        let share = REQUEST_WEIGHT + self.traffic_share(key);
        self.requests += 1;
        self.shares.insert(key, KeyShare { share, at_request: self.requests });
        if self.shares.len() > MAX_KEYS {
            let now = self.requests;
            self.shares.retain(|_, entry| now - entry.at_request < MAX_KEYS as u64 / 2);
        }
    }

    /// The share of recent requests that asked for a key.
    pub fn traffic_share(&self, key: u64) -> f64 {
        let Some(entry) = self.shares.get(&key) else { return 0.0 };
        let requests_since = (self.requests - entry.at_request).min(10_000);
        entry.share * (1.0 - REQUEST_WEIGHT).powi(requests_since as i32)
    }
}

/// The finalizer of SplitMix64. The order of servers for one key must say nothing about the order for
/// another: with a multiplicative hash, which was too regular, keys met on the same servers.
pub fn mix64(x: u64) -> u64 {
    let x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
