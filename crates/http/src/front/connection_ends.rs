//! Why client connections end: counted by reason, and told in the log at intervals.

use super::clients::{ClientConnection, Phase, Termination};
use std::cell::Cell;
use std::fmt::Write;

/// Why a connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum EndReason {
    /// The client closed it or broke it off.
    Client,
    /// The client took nothing of its response, or left while its request was in progress.
    ClientLeft,
    /// The last response announced the end.
    AfterResponse,
    /// It was idle for too long, or gave way while it was idle.
    Idle,
    /// Nothing was received on it in time.
    Silent,
    /// The request was not received completely in time.
    RequestTimeout,
    /// What was received is no request, or its head is too long.
    Malformed,
    /// Its incomplete request gave way to others, or found no memory.
    GaveWay,
    /// Its request was rejected before it was received completely.
    Rejected,
}

impl EndReason {
    const ALL: [(EndReason, &str); 9] = [
        (EndReason::Client, "by the client"),
        (EndReason::ClientLeft, "left by the client"),
        (EndReason::AfterResponse, "after a response"),
        (EndReason::Idle, "idle"),
        (EndReason::Silent, "silent"),
        (EndReason::RequestTimeout, "request incomplete in time"),
        (EndReason::Malformed, "malformed"),
        (EndReason::GaveWay, "gave way"),
        (EndReason::Rejected, "rejected"),
    ];

    /// The reason of a connection that actix-http has ended without an error.
    pub(super) fn of_ended(state: &ClientConnection) -> EndReason {
        let closing = state.closing_since.get().is_some();
        match state.phase.get() {
            Phase::Draining => EndReason::AfterResponse,
            Phase::Idle if closing => EndReason::Idle,
            Phase::Connected if closing => EndReason::Silent,
            _ => EndReason::Client,
        }
    }
}

impl From<Termination> for EndReason {
    fn from(termination: Termination) -> EndReason {
        match termination {
            Termination::ClientLeft => EndReason::ClientLeft,
            Termination::RequestTimeout => EndReason::RequestTimeout,
            Termination::HeadTooLong => EndReason::Malformed,
            Termination::Refused => EndReason::GaveWay,
            Termination::Rejected => EndReason::Rejected,
        }
    }
}

/// The number of connections that ended since the last log line, by reason.
#[derive(Default)]
pub(super) struct ConnectionEnds([Cell<u64>; EndReason::ALL.len()]);

impl ConnectionEnds {
    /// Counts the end of a connection.
    pub(super) fn count(&self, reason: EndReason) {
        let count = &self.0[reason as usize];
        count.set(count.get() + 1);
    }

    /// Starts anew; returns what was counted, if anything.
    pub(super) fn take_line(&self) -> Option<String> {
        let mut line = String::new();
        for (reason, text) in EndReason::ALL {
            let count = self.0[reason as usize].take();
            if count > 0 {
                let separator = if line.is_empty() { "" } else { ", " };
                // Writing to a string does not fail.
                let _ = write!(line, "{separator}{count} {text}");
            }
        }
        (!line.is_empty()).then_some(line)
    }
}

#[cfg(test)]
mod tests;
