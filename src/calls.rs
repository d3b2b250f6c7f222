//! When discovery is called, where lists come only on request. It decides nothing about requests.

use crate::api::{Action, Discovery, Settings, Span, Time, Token};
use rand::Rng;

/// The timer of a call.
pub const CALL: Token = Token(2);
/// Bounds of waits where few call lists in vain (half the first, and the longest), and what a call may take.
const AGAIN: (Span, Span) = (Span(200_000), Span(2_500_000));
const TAKES: Span = Span(50_000);

/// The calls of one instance. One is due at a time: each failure once left two timers behind, and calls doubled
/// until they flooded the host.
#[derive(Clone, Debug, Default)]
pub struct Calls {
    subscribed: bool,
    failures: u32,
    /// The next is not made before.
    due: Time,
}

impl Calls {
    /// The first call. Of a hundred that start at once nearly all were turned away: who knows a list takes its turn.
    pub fn first(
        &mut self,
        now: Time,
        knows: bool,
        set: &Settings,
        rng: &mut impl Rng,
        todo: &mut Vec<Action>,
    ) {
        let delay = if knows { rng.random_range(0..=all(set).0) } else { 0 };
        self.after(now, Span(delay), todo);
    }

    /// A list came.
    pub fn listed(&mut self) {
        (self.failures, self.subscribed) = (0, true);
    }

    /// Subscribes to changes, and again where no reply came for long: an instance that neither asks nor is
    /// subscribed counts as told after `ask_within`.
    pub fn due(&mut self, now: Time, set: &Settings, todo: &mut Vec<Action>) {
        if set.discovery == Discovery::OnRequest && !self.subscribed && now >= self.due {
            todo.push(Action::WatchServers);
            self.after(now, Span(set.safety.ask_within.0 / 4).max(AGAIN.0), todo);
        }
    }

    /// A call failed, or the subscription broke.
    pub fn failed(&mut self, now: Time, set: &Settings, rng: &mut impl Rng, todo: &mut Vec<Action>) {
        self.failures += 1;
        self.subscribed = false;
        // A hundred that each asked every two seconds kept one another from ever being answered.
        let (all, within) = (all(set).0, set.safety.ask_within.0);
        let longest = AGAIN.1.0.min(within / 4).max(4 * all);
        let most = (AGAIN.0.0.max(all / 5) << self.failures.min(8)).min(longest).max(8);
        let delay = Span(rng.random_range(most / 8..=most));
        self.after(now, delay, todo);
    }

    fn after(&mut self, now: Time, delay: Span, todo: &mut Vec<Action>) {
        self.due = now + delay;
        todo.push(Action::Timer { token: CALL, delay });
    }
}

/// The time over which calls of all instances are spread, within that for which one may go without.
fn all(set: &Settings) -> Span {
    let all = TAKES.0.saturating_mul(u64::from(set.instance_count));
    Span(all.min(set.safety.ask_within.0 / 2))
}
