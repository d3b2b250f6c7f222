//! Timing of the follower, derived from what discovery promises.

use dunlincleat::api::Span;

/// How many consecutive tries must fail before a drain that was never received could exceed its bound.
const TRIES_WITHIN_BOUND: u64 = 8;
/// How late a heartbeat may be, as a part of the grace period of a drain.
const TOLERANCE_PART_OF_GRACE: f64 = 0.25;
/// The same as a part of the heartbeat interval, if there is no grace.
const TOLERANCE_PART_OF_HEARTBEAT: f64 = 0.125;
/// The longest time between tries, as a part of the grace period.
const RETRY_PART_OF_GRACE: f64 = 2.0 / 3.0;
/// The shortest timeout of a call and time between tries that is derived, 1 ms.
const MIN_RETRY_INTERVAL: Span = Span(1000);
/// The wait after the first failed call, 50 ms.
const INITIAL_BACKOFF: Span = Span(50_000);

/// Waits between failed calls.
#[derive(Clone, Copy, Debug)]
pub struct Backoff {
    /// The wait after the first failure.
    pub initial: Span,
    /// The longest wait.
    pub max: Span,
}

/// Timing of the follower.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// A watch without any message for this long may be dead.
    pub silence_timeout: Span,
    /// How long a call may wait for its response to begin if lists are pushed.
    pub call_timeout: Span,
    /// The longest time between two tries while no watch delivers, if lists are pushed.
    pub max_retry_interval: Span,
    /// The longest time between two calls while no watch delivers, if lists come only on request and the decision
    /// module asks later.
    pub max_request_interval: Span,
    /// How long after an announcement it counts as known, received or not, and its grace period as over.
    pub staleness_bound: Span,
    /// The waits after failed calls.
    pub backoff: Backoff,
    /// The age at which a watch is replaced by a new one; zero for never.
    pub max_watch_age: Span,
}

impl Timing {
    /// Derives the timing from the heartbeat interval of a watch, the time after which an announcement counts as known
    /// whether or not it arrived, and the grace period of a drain.
    ///
    /// A heartbeat may be late by a quarter of the grace, or by an eighth of its interval if there is no grace. The
    /// time that then remains until an unreceived drain could exceed its bound is split equally between eight tries,
    /// each limited to two thirds of the grace: what discovery announces when it returns counts at once, however long
    /// it was away.
    #[must_use]
    pub fn derive(heartbeat: Span, known_within: Span, grace: Span) -> Timing {
        let has_grace = grace.0 > 0;
        let tolerance = if has_grace {
            grace.times(TOLERANCE_PART_OF_GRACE)
        } else {
            heartbeat.times(TOLERANCE_PART_OF_HEARTBEAT)
        };
        let silence_timeout = heartbeat + tolerance;
        let staleness_bound = known_within + grace;
        let remaining = Span(staleness_bound.0.saturating_sub(silence_timeout.0)).max(heartbeat);
        let call_timeout = Span(remaining.0 / TRIES_WITHIN_BOUND).max(MIN_RETRY_INTERVAL);
        let max_retry_interval = if has_grace {
            call_timeout.min(grace.times(RETRY_PART_OF_GRACE)).max(MIN_RETRY_INTERVAL)
        } else {
            call_timeout
        };
        // One of the eight parts is left for the response.
        let max_request_interval = Span(remaining.0 - remaining.0 / TRIES_WITHIN_BOUND);
        Timing {
            silence_timeout,
            call_timeout,
            max_retry_interval,
            max_request_interval,
            staleness_bound,
            backoff: Backoff { initial: INITIAL_BACKOFF, max: heartbeat },
            max_watch_age: Span(0),
        }
    }
}
