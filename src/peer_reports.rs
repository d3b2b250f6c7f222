//! Messages between instances: their attempts in flight by server, four bytes each. When to send which to
//! whom is decided in `rules`.
//!
//! An entry is the low 24 bits of a server's global id, little endian, and the attempts in flight there, at
//! most 255.

use crate::api::{ServerId, Span, Time};
use rustc_hash::FxHashMap;

/// Most bytes in a message.
pub const MAX_MESSAGE_BYTES: usize = 256;
/// Bytes of one entry.
pub const ENTRY_BYTES: usize = 4;

/// What one instance reported of one server.
#[derive(Clone, Copy, Debug)]
struct Report {
    received_at: Time,
    in_flight: u32,
}

/// What the other instances reported of the servers that each uses.
#[derive(Clone, Debug, Default)]
pub struct PeerReports {
    /// Reports by server, for each instance.
    peers: Vec<FxHashMap<ServerId, Report>>,
    /// Listed servers by their ids in messages.
    servers_by_id: FxHashMap<u32, ServerId>,
}

/// The id of a server in messages: among hundreds of servers hardly any two share 24 bits.
fn short_id(global_id: u64) -> u32 {
    global_id as u32 & 0xff_ffff
}

/// The entry of one server.
pub fn encode_entry(global_id: u64, in_flight: u32) -> [u8; ENTRY_BYTES] {
    let [a, b, c, _] = short_id(global_id).to_le_bytes();
    [a, b, c, in_flight.min(255) as u8]
}

impl PeerReports {
    /// Sets the listed servers, with their global ids.
    pub fn set_servers(&mut self, servers: impl Iterator<Item = (ServerId, u64)>) {
        self.servers_by_id = servers.map(|(id, global_id)| (short_id(global_id), id)).collect();
    }

    /// Applies a message. Entries of unknown servers and an incomplete last entry are ignored.
    pub fn apply(&mut self, now: Time, from: u32, data: &[u8]) {
        self.peers.resize(self.peers.len().max(from as usize + 1), FxHashMap::default());
        for entry in data.chunks_exact(ENTRY_BYTES) {
            let short_id = u32::from_le_bytes([entry[0], entry[1], entry[2], 0]);
            if let Some(id) = self.servers_by_id.get(&short_id) {
                let report = Report { received_at: now, in_flight: u32::from(entry[3]) };
                self.peers[from as usize].insert(*id, report);
            }
        }
    }

    /// The instances that use any of these servers, each with those that it uses, as many as a message holds.
    pub fn peers_sharing<'a>(
        &'a self,
        servers: &'a [ServerId],
    ) -> impl Iterator<Item = (u32, Vec<ServerId>)> + 'a {
        let shared = |reports: &FxHashMap<ServerId, Report>| -> Vec<ServerId> {
            let used = servers.iter().filter(|id| reports.contains_key(id)).copied();
            used.take(MAX_MESSAGE_BYTES / ENTRY_BYTES).collect()
        };
        let all = (0..).zip(&self.peers).map(move |(peer, reports)| (peer, shared(reports)));
        all.filter(|(_, shared)| !shared.is_empty())
    }

    /// Visits the attempts in flight that were reported within `load_lifetime`. A report older than
    /// `use_lifetime` is removed: the instance no longer counts as a user of the server.
    pub fn expire_and_visit(
        &mut self,
        now: Time,
        load_lifetime: Span,
        use_lifetime: Span,
        mut visit: impl FnMut(ServerId, u32),
    ) {
        for reports in &mut self.peers {
            reports.retain(|_, report| now - report.received_at <= use_lifetime);
            for (id, report) in reports.iter() {
                if now - report.received_at <= load_lifetime {
                    visit(*id, report.in_flight);
                }
            }
        }
    }
}
