//! When discovery is called, where lists come only on request. It decides nothing about requests.

use crate::api::{Action, Discovery, Settings, Span, Time, Token};
use rand::Rng;

/// The timer of a call.
pub const DISCOVERY_TIMER: Token = Token(2);
/// Bounds of waits where few call lists in vain (half the first, and the longest), and what a call may take.
const RETRY_DELAY: (Span, Span) = (Span(200_000), Span(2_500_000));
const CALL_DURATION: Span = Span(50_000);

/// The calls of one instance. One is due at a time: each failure once left two timers behind, and calls doubled
/// until they flooded the host.
#[derive(Clone, Debug, Default)]
pub struct DiscoveryCalls {
    subscribed: bool,
    failures: u32,
    /// The next is not made before.
    next_call: Time,
}

impl DiscoveryCalls {
    /// The first call. Of a hundred that start at once nearly all were turned away: who knows a list takes its turn.
    pub fn schedule_first(
        &mut self,
        now: Time,
        knows: bool,
        set: &Settings,
        rng: &mut impl Rng,
        todo: &mut Vec<Action>,
    ) {
        let delay = if knows { rng.random_range(0..=spread_period(set).0) } else { 0 };
        self.schedule(now, Span(delay), todo);
    }

    /// A list came.
    pub fn list_received(&mut self) {
        (self.failures, self.subscribed) = (0, true);
    }

    /// Subscribes to changes, and again where no reply came for long: an instance that neither asks nor is
    /// subscribed counts as told after `ask_within`.
    pub fn on_timer(&mut self, now: Time, set: &Settings, todo: &mut Vec<Action>) {
        if set.discovery == Discovery::OnRequest && !self.subscribed && now >= self.next_call {
            todo.push(Action::WatchServers);
            self.schedule(now, Span(set.safety.ask_within.0 / 4).max(RETRY_DELAY.0), todo);
        }
    }

    /// A call failed, or the subscription broke.
    pub fn call_failed(&mut self, now: Time, set: &Settings, rng: &mut impl Rng, todo: &mut Vec<Action>) {
        self.failures += 1;
        self.subscribed = false;
        // A hundred that each asked every two seconds kept one another from ever being answered.
        let (spread, within) = (spread_period(set).0, set.safety.ask_within.0);
        let longest = RETRY_DELAY.1.0.min(within / 4).max(4 * spread);
        let most = (RETRY_DELAY.0.0.max(spread / 5) << self.failures.min(8)).min(longest).max(8);
        let delay = Span(rng.random_range(most / 8..=most));
        self.schedule(now, delay, todo);
    }

    fn schedule(&mut self, now: Time, delay: Span, todo: &mut Vec<Action>) {
        self.next_call = now + delay;
        todo.push(Action::Timer { token: DISCOVERY_TIMER, delay });
    }
}

/// The time over which calls of all instances are spread, within that for which one may go without.
fn spread_period(set: &Settings) -> Span {
    let all = CALL_DURATION.0.saturating_mul(u64::from(set.instance_count));
    Span(all.min(set.safety.ask_within.0 / 2))
}
