//! Schedule of the calls to discovery, where lists of servers come only on request. It decides nothing about
//! requests.

use crate::api::{Action, Discovery, Settings, Span, Time, Token};
use rand::Rng;

/// The timer of the next call.
pub const DISCOVERY_TIMER: Token = Token(2);
/// Half of the first retry delay, where few instances call.
const RETRY_DELAY_BASE: Span = Span(200_000);
/// Longest retry delay, where few instances call.
const RETRY_DELAY_MAX: Span = Span(2_500_000);
/// Time that one call may take discovery.
const CALL_DURATION: Span = Span(50_000);
/// Retry delays grow by at most two to this power.
const MAX_RETRY_DOUBLINGS: u32 = 8;

/// The calls of one instance. Only one is due at a time: each failure once left two timers behind, and calls
/// doubled until they flooded the host.
#[derive(Clone, Debug, Default)]
pub struct DiscoveryCalls {
    subscribed: bool,
    /// Calls that failed since the last list.
    failures: u32,
    /// The next call is not made before this time.
    next_call: Time,
}

impl DiscoveryCalls {
    /// Schedules the first call: at once where no server is known, else spread over all instances. Of a
    /// hundred that called at once nearly all were rejected.
    pub fn schedule_first(
        &mut self,
        now: Time,
        knows_servers: bool,
        settings: &Settings,
        rng: &mut impl Rng,
        todo: &mut Vec<Action>,
    ) {
        let delay = if knows_servers { rng.random_range(0..=spread_period(settings).0) } else { 0 };
        self.schedule(now, Span(delay), todo);
    }

    /// A list came.
    pub fn list_received(&mut self) {
        self.failures = 0;
        self.subscribed = true;
    }

    /// Subscribes to changes, and again where no reply came for long: an instance that neither calls nor is
    /// subscribed counts as informed after `ask_within`.
    pub fn on_timer(&mut self, now: Time, settings: &Settings, todo: &mut Vec<Action>) {
        let on_request = settings.discovery == Discovery::OnRequest;
        if on_request && !self.subscribed && now >= self.next_call {
            todo.push(Action::WatchServers);
            let reply_timeout = Span(settings.safety.ask_within.0 / 4).max(RETRY_DELAY_BASE);
            self.schedule(now, reply_timeout, todo);
        }
    }

    /// A call failed, or the subscription broke: schedules a retry with exponential backoff and jitter.
    pub fn call_failed(
        &mut self,
        now: Time,
        settings: &Settings,
        rng: &mut impl Rng,
        todo: &mut Vec<Action>,
    ) {
        self.failures += 1;
        self.subscribed = false;
        // The delay grows with the number of instances: a hundred that each called every two seconds kept one
        // another from ever being answered.
        let spread = spread_period(settings).0;
        let longest = RETRY_DELAY_MAX.0.min(settings.safety.ask_within.0 / 4).max(4 * spread);
        let base = RETRY_DELAY_BASE.0.max(spread / 5);
        let backoff = (base << self.failures.min(MAX_RETRY_DOUBLINGS)).min(longest).max(8);
        let delay = Span(rng.random_range(backoff / 8..=backoff));
        self.schedule(now, delay, todo);
    }

    fn schedule(&mut self, now: Time, delay: Span, todo: &mut Vec<Action>) {
        self.next_call = now + delay;
        todo.push(Action::Timer { token: DISCOVERY_TIMER, delay });
    }
}

/// The time over which the calls of all instances are spread, within the time that an instance may go without
/// a call.
fn spread_period(settings: &Settings) -> Span {
    let all_calls = CALL_DURATION.0.saturating_mul(u64::from(settings.instance_count));
    Span(all_calls.min(settings.safety.ask_within.0 / 2))
}
