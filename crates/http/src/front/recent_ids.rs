//! The ids of requests whose clients left: what was sent of them may still run, so that the same id must not be sent again.

use actix_http::header::HeaderValue;
use std::collections::hash_map::RandomState;
use std::collections::{HashSet, VecDeque};
use std::hash::BuildHasher;
use std::time::Duration;
use tokio::time::Instant;

/// How long an id is remembered: longer than any deadline, after which no attempt is left.
const REMEMBER_FOR: Duration = Duration::from_secs(10);
/// Maximum number of ids; at the limit, the oldest is forgotten.
const MAX_IDS: usize = 8 * 1024;

/// The digest of an id, whose size does not depend on the client.
type IdDigest = u64;

/// Remembers ids for some time.
#[derive(Default)]
pub(super) struct RecentIds {
    hasher: RandomState,
    digests: HashSet<IdDigest>,
    /// In the order in which they were added.
    added: VecDeque<(Instant, IdDigest)>,
}

impl RecentIds {
    /// Remembers an id from now on.
    pub(super) fn insert(&mut self, id: &HeaderValue, now: Instant) {
        self.forget_old(now);
        if self.added.len() >= MAX_IDS {
            self.forget_first();
        }
        let digest = self.hasher.hash_one(id.as_bytes());
        if self.digests.insert(digest) {
            self.added.push_back((now, digest));
        }
    }

    /// Whether an id is remembered.
    pub(super) fn contains(&mut self, id: &HeaderValue, now: Instant) -> bool {
        self.forget_old(now);
        self.digests.contains(&self.hasher.hash_one(id.as_bytes()))
    }

    fn forget_old(&mut self, now: Instant) {
        while self.added.front().is_some_and(|(at, _)| now - *at >= REMEMBER_FOR) {
            self.forget_first();
        }
    }

    fn forget_first(&mut self) {
        if let Some((_, digest)) = self.added.pop_front() {
            self.digests.remove(&digest);
        }
    }
}

#[cfg(test)]
mod tests;
