//! What instances tell each other: their attempts out by server, four bytes each. Who is told when is the rules' word.

use crate::api::{ServerId, Span, Time};
use rustc_hash::FxHashMap;

/// The most bytes in a message.
pub const MAX_MESSAGE_BYTES: usize = 256;

/// What the other instances told of the servers that each uses.
#[derive(Clone, Debug, Default)]
pub struct PeerReports {
    /// By instance and server: when, and the attempts out.
    peers: Vec<FxHashMap<ServerId, (Time, u32)>>,
    /// The servers by the names that all instances share.
    servers_by_id: FxHashMap<u32, ServerId>,
}

/// What stands for a server in messages: hundreds of servers hardly ever share 24 bits.
fn short_id(global_id: u64) -> u32 {
    global_id as u32 & 0xff_ffff
}

/// The word on one server.
pub fn encode_entry(global_id: u64, out: u32) -> [u8; 4] {
    let [a, b, c, _] = short_id(global_id).to_le_bytes();
    [a, b, c, out.min(255) as u8]
}

impl PeerReports {
    /// The servers that are listed, with their common names.
    pub fn set_servers(&mut self, servers: impl Iterator<Item = (ServerId, u64)>) {
        self.servers_by_id = servers.map(|(id, global_id)| (short_id(global_id), id)).collect();
    }

    /// Takes in a message; words on unknown servers are passed over.
    pub fn apply(&mut self, now: Time, from: u32, data: &[u8]) {
        self.peers.resize(self.peers.len().max(from as usize + 1), FxHashMap::default());
        for told in data.chunks_exact(4) {
            if let Some(id) = self.servers_by_id.get(&u32::from_le_bytes([told[0], told[1], told[2], 0])) {
                self.peers[from as usize].insert(*id, (now, u32::from(told[3])));
            }
        }
    }

    /// The instances that use one of these servers, with those of them that each uses.
    pub fn peers_sharing<'a>(
        &'a self,
        of: &'a [ServerId],
    ) -> impl Iterator<Item = (u32, Vec<ServerId>)> + 'a {
        let shared = |told: &FxHashMap<ServerId, (Time, u32)>| -> Vec<ServerId> {
            of.iter().filter(|id| told.contains_key(id)).copied().take(MAX_MESSAGE_BYTES / 4).collect()
        };
        let all = (0..).zip(&self.peers).map(move |(peer, told)| (peer, shared(told)));
        all.filter(|(_, shared)| !shared.is_empty())
    }

    /// The attempts out that were told within `lately`; who uses a server is forgotten after `long`.
    pub fn expire_and_visit(
        &mut self,
        now: Time,
        lately: Span,
        long: Span,
        mut each: impl FnMut(ServerId, u32),
    ) {
        for told in &mut self.peers {
            told.retain(|_, (at, _)| now - *at <= long);
            told.iter().filter(|(_, (at, _))| now - *at <= lately).for_each(|(id, (_, n))| each(*id, *n));
        }
    }
}
