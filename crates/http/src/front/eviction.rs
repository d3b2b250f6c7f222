//! Eviction: which connection gives way where connections, memory or places are short.

use super::clients::{ClientConnection, Clients, Connections, Phase, Termination};
use super::memory::Account;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// At the connection limit, the age from which an idle connection may be evicted.
const EVICT_IDLE_AFTER: Duration = Duration::from_secs(2);
/// At the connection limit, the age from which a connection without a complete request may be evicted.
const EVICT_INCOMPLETE_AFTER: Duration = Duration::from_millis(200);
/// At the connection limit, the age from which the slowest of many bodies may be evicted.
const EVICT_SLOW_BODY_AFTER: Duration = Duration::from_millis(50);
/// At a shortage, the time without a byte from which a connection with an incomplete request may be evicted.
const EVICT_STALLED_REQUEST_AFTER: Duration = Duration::from_millis(200);
/// At a shortage, the time without a byte from which a connection whose body is streamed to a server may be evicted.
const EVICT_STALLED_UPLOAD_AFTER: Duration = Duration::from_secs(1);
/// At a shortage, the time without a byte from which a connection whose client takes no response may be evicted.
const EVICT_STALLED_RESPONSE_AFTER: Duration = Duration::from_secs(10);

/// What other clients lack, so that a connection without progress is evicted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Shortage {
    /// Memory for what is received of requests.
    Receiving,
    /// Memory for responses that clients do not take.
    Responding,
    /// Places of open requests.
    OpenRequests,
}

/// How suitable a connection is for eviction; the highest rank is evicted first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum EvictionRank {
    /// No complete request was received for this time.
    Incomplete(Duration),
    /// Idle for this time.
    Idle(Duration),
}

impl ClientConnection {
    /// How suitable the connection is for eviction: idle connections first, then those without a complete request,
    /// the oldest first.
    pub(super) fn eviction_rank(&self, now: Instant) -> Option<EvictionRank> {
        if self.closing_since.get().is_some() || self.is_write_blocked() {
            return None;
        }
        let age = now - self.phase_since.get();
        let (rank, min_age) = match self.phase.get() {
            Phase::Idle => (EvictionRank::Idle(age), EVICT_IDLE_AFTER),
            Phase::Connected | Phase::ReadingHead => (EvictionRank::Incomplete(age), EVICT_INCOMPLETE_AFTER),
            Phase::ReadingBody if !self.streams_body.get() => {
                (EvictionRank::Incomplete(age), EVICT_INCOMPLETE_AFTER + self.earned_time())
            }
            Phase::ReadingBody | Phase::Processing | Phase::Draining => return None,
        };
        (age >= min_age).then_some(rank)
    }

    /// The time for each byte received of a body that is buffered, once it can be told.
    fn slowness(&self, now: Instant) -> Option<Duration> {
        let receiving = self.phase.get() == Phase::ReadingBody
            && !self.streams_body.get()
            && self.closing_since.get().is_none()
            && self.termination.get().is_none();
        let age = now - self.phase_since.get();
        let bytes = u32::try_from(self.phase_bytes.get()).unwrap_or(u32::MAX).max(1);
        (receiving && age >= EVICT_SLOW_BODY_AFTER && self.awaits_body()).then(|| age / bytes)
    }

    /// How long the client has neither sent nor taken anything, where that is long enough to evict its connection and
    /// that makes up for the shortage.
    fn stalled_for(&self, shortage: Shortage, now: Instant) -> Option<Duration> {
        let makes_up = match shortage {
            Shortage::Receiving => self.memory.counted(Account::Receiving) > 0,
            Shortage::Responding => self.memory.counted(Account::Responding) > 0,
            Shortage::OpenRequests => true,
        };
        if self.termination.get().is_some() || !makes_up {
            return None;
        }
        if let Some(since) = self.write_blocked_since.get() {
            return Some(now - since).filter(|stalled| *stalled >= EVICT_STALLED_RESPONSE_AFTER);
        }
        let stalled = now - self.received_at.get();
        let waits_for_client = match (self.phase.get(), shortage) {
            (Phase::ReadingBody, Shortage::OpenRequests) => {
                self.holds_upload_place.get() && stalled >= EVICT_STALLED_UPLOAD_AFTER && self.awaits_body()
            }
            (Phase::Connected | Phase::ReadingHead, Shortage::Receiving) => {
                stalled >= EVICT_STALLED_REQUEST_AFTER
            }
            (Phase::ReadingBody, Shortage::Receiving) => {
                !self.streams_body.get() && stalled >= EVICT_STALLED_REQUEST_AFTER && self.awaits_body()
            }
            (Phase::Connected | Phase::ReadingHead, Shortage::OpenRequests)
            | (Phase::Connected | Phase::ReadingHead | Phase::ReadingBody, Shortage::Responding)
            | (Phase::Processing | Phase::Idle | Phase::Draining, _) => false,
        };
        waits_for_client.then_some(stalled)
    }

    /// Whether more of the body may be received and has not come.
    fn awaits_body(&self) -> bool {
        let framer = self.framer.borrow();
        !framer.is_complete() && !framer.is_window_closed()
    }

    /// Ends the connection for what it holds, which counts until its task has freed it. No part of an incomplete request has
    /// run.
    fn evict(&self) {
        let left = self.is_write_blocked();
        self.terminate(if left { Termination::ClientLeft } else { Termination::Refused });
        self.memory.start_release();
    }
}

impl Clients {
    /// Asks the connection with the highest eviction rank to close; returns whether there was one.
    pub(super) fn evict_one(&self, now: Instant) -> bool {
        let connections = self.connections.borrow();
        let candidates = connections.values().filter_map(|state| Some((state.eviction_rank(now)?, state)));
        let oldest = candidates.max_by_key(|(rank, _)| *rank).map(|(_, state)| state);
        let Some(state) = oldest.or_else(|| slowest_of_many_bodies(&connections, now)) else { return false };
        state.request_close();
        true
    }

    /// Ends the connection that has made no progress for longest, of those that make up for the shortage; returns whether
    /// there was one.
    pub(super) fn evict_stalled(&self, shortage: Shortage, now: Instant) -> bool {
        let connections = self.connections.borrow();
        let stalled =
            connections.values().filter_map(|state| Some((state.stalled_for(shortage, now)?, state)));
        let Some((_, state)) = stalled.max_by_key(|(stalled, _)| *stalled) else { return false };
        state.evict();
        true
    }
}

/// The part of the connections from which bodies that are being received count as many.
const MANY_BODIES_DIVISOR: usize = 8;

/// The connection whose body comes slowest, if many are being received: clients that write slowly must not lock out all
/// others.
fn slowest_of_many_bodies(connections: &Connections, now: Instant) -> Option<&Rc<ClientConnection>> {
    let slow = || connections.values().filter_map(|state| Some((state.slowness(now)?, state)));
    let many = MANY_BODIES_DIVISOR * slow().count() >= connections.len();
    many.then(|| slow().max_by_key(|(slowness, _)| *slowness)).flatten().map(|(_, state)| state)
}
