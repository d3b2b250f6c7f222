//! Events and actions of the follower, the requests that it makes, why watches end, and its health.

use crate::entry::Listing;
use crate::table::Delivery;
use dunlincleat::api::{Span, Time};
use std::net::SocketAddr;

/// Number of a watch, assigned by the follower.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct WatchId(pub u64);

/// What a call to discovery requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// A watch of the changes after this revision.
    ChangesAfter(u64),
    /// The full list, then a watch of the changes after its revision.
    FullList,
    /// Only the full list, beside the watch that is followed.
    Check,
}

/// Why a watch ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Cause {
    /// The connection could not be established.
    Unreachable(String),
    /// The response had a status other than 200.
    Refused(u16),
    /// The response did not begin in time.
    NoAnswer,
    /// The watch was open and not even a heartbeat arrived.
    Silent,
    /// Discovery closed the watch.
    Ended,
    /// The connection broke.
    Broke(String),
    /// A message was not a valid list.
    Garbled(String),
    /// A message exceeded the size limit.
    TooLong,
}

impl Cause {
    /// Names of the causes, in the order of [`Health::ended`].
    pub const NAMES: [&'static str; 8] =
        ["unreachable", "refused", "no answer", "silent", "ended", "broke", "garbled", "too long"];

    /// Position in [`Cause::NAMES`].
    pub(crate) fn index(&self) -> usize {
        match self {
            Cause::Unreachable(_) => 0,
            Cause::Refused(_) => 1,
            Cause::NoAnswer => 2,
            Cause::Silent => 3,
            Cause::Ended => 4,
            Cause::Broke(_) => 5,
            Cause::Garbled(_) => 6,
            Cause::TooLong => 7,
        }
    }
}

impl std::fmt::Display for Cause {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Cause::Unreachable(why) => f.write_str(why),
            Cause::Refused(status) => write!(f, "refused with {status}"),
            Cause::NoAnswer => f.write_str("no answer"),
            Cause::Silent => f.write_str("no message or heartbeat received"),
            Cause::Ended => f.write_str("closed by discovery"),
            Cause::Broke(why) => write!(f, "connection broke: {why}"),
            Cause::Garbled(why) => write!(f, "invalid list: {why}"),
            Cause::TooLong => write!(f, "message over {} bytes", crate::lines::MAX_LINE_BYTES),
        }
    }
}

/// An event for the follower.
#[derive(Clone, Debug)]
pub enum Input {
    /// The decision module asks for a watch, if lists come only on request.
    WatchRequested,
    /// Discovery has a new address.
    AddressChanged(SocketAddr),
    /// The response to a call began.
    Opened(WatchId),
    /// A message arrived; `None` is a heartbeat.
    Line(WatchId, Option<Listing>),
    /// A watch ended.
    Ended(WatchId, Cause),
}

/// An action that the follower requests.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Call discovery.
    Open {
        /// The number of the new watch.
        watch: WatchId,
        /// The address of discovery.
        at: SocketAddr,
        /// What to request.
        kind: CallKind,
    },
    /// Drop a watch; further messages of it are ignored.
    Close(WatchId),
    /// The list changed or was received again.
    Deliver(Delivery),
    /// A call or watch failed, if lists come only on request: the decision module says when to call again.
    Failed,
    /// Discovery is no longer followed; reported once per outage.
    Lost {
        /// The address of discovery.
        at: SocketAddr,
        /// The cause of the last failure.
        why: String,
    },
    /// A watch delivers and is followed from now on.
    Followed {
        /// The address of discovery.
        at: SocketAddr,
        /// The revision held when the watch delivered.
        rev: u64,
        /// The time since the last message of any watch.
        silence: Span,
    },
}

/// State and freshness of the list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Health {
    /// The current revision.
    pub rev: u64,
    /// The number of ready servers.
    pub ready: usize,
    /// The time until which everything that discovery announced is known.
    pub fresh_at: Time,
    /// Watches open or being opened.
    pub watches: usize,
    /// Watches opened since the start of the process.
    pub opened: u64,
    /// Watches that ended since the start of the process, by cause in the order of [`Cause::NAMES`].
    pub ended: [u64; 8],
    /// The longest time without a message since the start of the process.
    pub longest_silence: Span,
}
