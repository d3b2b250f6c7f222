//! Requests that the sidecar sends on behalf of a duty, protected by a fence.

use super::{DUTY_FENCE, DUTY_PERIOD, header_text};
use actix_http::StatusCode;
use actix_http::header::HeaderMap;
use std::cell::Cell;
use std::collections::BTreeMap;

/// A request that the sidecar sends on behalf of a duty: extra headers, a check whether it may still be sent, and the
/// fence with which a server rejected it.
pub struct FencedTask {
    pub(super) headers: BTreeMap<&'static str, String>,
    permitted: Box<dyn Fn() -> bool>,
    started: Cell<bool>,
    rejection: Cell<Option<FenceRejection>>,
}

/// The newest fence and period that a server has seen, as reported in its rejection of an older one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FenceRejection {
    /// The highest fence.
    pub fence: u64,
    /// The period reported with it; 0 if the server reported none.
    pub period: u64,
}

impl FencedTask {
    /// Creates a task with these headers; it may be sent as long as `permitted` returns true.
    pub fn new(
        headers: BTreeMap<&'static str, String>,
        permitted: impl Fn() -> bool + 'static,
    ) -> FencedTask {
        FencedTask {
            headers,
            permitted: Box::new(permitted),
            started: Cell::new(false),
            rejection: Cell::new(None),
        }
    }

    /// Whether an attempt was permitted to start.
    pub fn started(&self) -> bool {
        self.started.get()
    }

    /// The fence and period reported by a server that rejected the task.
    pub fn fence_rejection(&self) -> Option<FenceRejection> {
        self.rejection.get()
    }

    /// Whether an attempt may start now; checked immediately before its first byte is written.
    pub fn try_start(&self) -> bool {
        let permitted = (self.permitted)();
        self.started.set(self.started.get() || permitted);
        permitted
    }

    /// Records the response of a server: status 409 with a fence is a rejection.
    pub fn record_response(&self, status: StatusCode, headers: &HeaderMap) {
        let number = |name| header_text(headers, &name).and_then(|n| n.parse::<u64>().ok());
        if status == StatusCode::CONFLICT
            && let Some(fence) = number(DUTY_FENCE)
        {
            let period = number(DUTY_PERIOD).unwrap_or(0);
            self.rejection.set(Some(FenceRejection { fence, period }));
        }
    }
}
