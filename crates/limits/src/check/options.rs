//! Validates the options of routes, inherited ones included.

use super::known_pools;
use crate::codes::Code;
use crate::duration::format_duration;
use crate::fault::Faults;
use crate::file::{HedgeDelay, LimitsFile, Located, RouteOptions, RouteSection};
use dunlincleat::api::{Effect, Span};
use dunlincleat_settings::InstanceSettings;

/// The longest time for which the decision module delays a request between two attempts, as a part of its class's aim.
const MAX_RETRY_DELAY_PART: f64 = 0.03;

/// Validates the options of a route, inherited ones included, for each class that it can match.
pub(super) fn check_options(
    file: &LimitsFile,
    route: &RouteSection,
    classes: &[usize],
    instance: &InstanceSettings,
    faults: &mut Faults<'_>,
) {
    let options = route.options.with_defaults(&file.defaults);
    let max_attempts = instance.settings.limits.max_attempts;
    let attempts = options.attempts.as_ref().map_or(max_attempts, |at| at.value.min(max_attempts));
    let route = EffectiveRoute { name: &route.name.value, options, attempts };
    route.check_pool(file, faults);
    route.check_max_attempts(max_attempts, faults);
    route.check_retry_budget(faults);
    route.check_request_limits(instance.max_open, faults);
    route.check_timeouts(faults);
    route.check_hedge(instance.settings.limits.hedging, faults);
    for class in classes {
        route.check_class(*class, instance, faults);
    }
}

/// A route as it takes effect.
struct EffectiveRoute<'a> {
    name: &'a str,
    options: RouteOptions,
    /// The highest number of attempts that both the file and the settings allow.
    attempts: u32,
}

impl EffectiveRoute<'_> {
    fn check_pool(&self, file: &LimitsFile, faults: &mut Faults<'_>) {
        let Some(pool) = &self.options.pool else { return };
        if !file.pools.iter().any(|other| other.name.value == pool.value) {
            let reason = format!("the file has no pool '{}'", pool.value);
            faults.error(Code::UnknownPool, pool, reason, known_pools(file));
        }
    }

    fn check_max_attempts(&self, max_attempts: u32, faults: &mut Faults<'_>) {
        let Some(attempts) = &self.options.attempts else { return };
        if attempts.value > max_attempts {
            let reason = format!("{} attempts are more than the settings allow", attempts.value);
            faults.error(Code::TooManyAttempts, attempts, reason, format!("at most {max_attempts}"));
        }
    }

    fn check_retry_budget(&self, faults: &mut Faults<'_>) {
        let Some(budget) = &self.options.retry_budget else { return };
        if self.attempts == 1 {
            faults.warn(Code::UnusedBudget, budget, "the route has one attempt in all", "remove the key");
        } else if budget.value.retries_per_attempt == 0.0 && budget.value.min_retries_per_s == 0.0 {
            let allowed = "part or least_per_s greater than 0, or attempts = 1";
            faults.error(Code::EmptyBudget, budget, "it never allows a retry", allowed);
        }
    }

    fn check_request_limits(&self, max_open: Option<u64>, faults: &mut Faults<'_>) {
        let (in_hand, waiting) = (&self.options.max_in_hand, &self.options.max_waiting);
        for limit in [in_hand, waiting].into_iter().flatten().filter(|limit| limit.value == 0) {
            faults.error(Code::ZeroLimit, limit, "0 refuses every request", "1 or more");
        }
        if let (Some(waiting), Some(in_hand)) = (waiting, in_hand)
            && waiting.value > in_hand.value
        {
            let reason = format!("{} is more than max_in_hand, {}", waiting.value, in_hand.value);
            faults.warn(Code::WaitingOverInHand, waiting, reason, format!("at most {}", in_hand.value));
        }
        if let (Some(in_hand), Some(max_open)) = (in_hand, max_open)
            && u64::from(in_hand.value) > max_open
        {
            let reason = format!("the instance admits at most {max_open} requests at a time");
            faults.warn(Code::LimitOverInstance, in_hand, reason, format!("at most {max_open}"));
        }
    }

    /// The longest time that an attempt may take, where the file sets it.
    fn attempt_limit(&self) -> Option<Span> {
        let limit = self.options.attempt_timeout.as_ref().or(self.options.timeout.as_ref());
        limit.map(|at| at.value)
    }

    fn check_timeouts(&self, faults: &mut Faults<'_>) {
        let name = self.name;
        if let (Some(attempt), Some(whole)) = (&self.options.attempt_timeout, &self.options.timeout)
            && attempt.value > whole.value
        {
            let limit = format_duration(whole.value);
            let reason = format!("in route '{name}' an attempt may take longer than the timeout of {limit}");
            faults.error(Code::AttemptOverTimeout, attempt, reason, format!("at most {limit}"));
        }
        if let (Some(connect), Some(attempt)) = (&self.options.connect_timeout, self.attempt_limit())
            && connect.value >= attempt
        {
            let limit = format_duration(attempt);
            let reason = format!("in route '{name}' no time to send is left of an attempt's {limit}");
            faults.error(Code::ConnectOverAttempt, connect, reason, format!("under {limit}"));
        }
    }

    fn check_hedge(&self, hedging_allowed: bool, faults: &mut Faults<'_>) {
        let Some(hedge) = &self.options.hedge_delay else { return };
        let name = self.name;
        if !hedging_allowed {
            let reason = "the settings do not allow two attempts at the same time";
            faults.error(Code::HedgeNotAllowed, hedge, reason, "remove the key");
        }
        if self.attempts == 1 {
            let reason = format!("route '{name}' has one attempt in all");
            faults.error(Code::HedgeWithoutRetry, hedge, reason, "attempts = 2 or more");
        }
        if let (HedgeDelay::Fixed(delay), Some(attempt)) = (&hedge.value, self.attempt_limit())
            && *delay >= attempt
        {
            let limit = format_duration(attempt);
            let reason = format!("in route '{name}' an attempt times out after {limit}");
            faults.warn(Code::HedgeTooLate, hedge, reason, format!("after under {limit}"));
        }
    }

    fn check_class(&self, class: usize, instance: &InstanceSettings, faults: &mut Faults<'_>) {
        let settings = &instance.settings.classes[class];
        let class = EffectiveClass {
            name: &instance.classes[class],
            effect: settings.effect,
            deadline: settings.deadline,
            max_retry_delay: settings.aim.times(MAX_RETRY_DELAY_PART),
        };
        self.check_deadline(&class, faults);
        self.check_hedge_effect(&class, faults);
        self.check_last_attempt(&class, faults);
    }

    fn check_deadline(&self, class: &EffectiveClass<'_>, faults: &mut Faults<'_>) {
        for time in [&self.options.timeout, &self.options.attempt_timeout].into_iter().flatten() {
            if time.value > class.deadline {
                let limit = format_duration(class.deadline);
                let reason = format!(
                    "in route '{}' clients of class '{}' wait no longer than {limit}",
                    self.name, class.name
                );
                faults.error(Code::TimeoutOverDeadline, time, reason, format!("at most {limit}"));
            }
        }
    }

    fn check_hedge_effect(&self, class: &EffectiveClass<'_>, faults: &mut Faults<'_>) {
        let Some(hedge) = &self.options.hedge_delay else { return };
        if class.effect == Effect::Unsafe {
            let reason =
                format!("route '{}' is for class '{}', which must never run twice", self.name, class.name);
            let allowed = "a separate route for classes that may be repeated";
            faults.error(Code::HedgeUnsafe, hedge, reason, allowed);
        }
    }

    /// Validates the latest time at which the last attempt may be sent.
    fn check_last_attempt(&self, class: &EffectiveClass<'_>, faults: &mut Faults<'_>) {
        // A file that sets none of these keys is not the cause.
        let Some(at) = self.key_limiting_attempts() else { return };
        let (name, attempts) = (self.name, self.attempts);
        if attempts <= 1 {
            return;
        }
        let timeout = self.options.timeout.as_ref().map_or(class.deadline, |at| at.value.min(class.deadline));
        let attempt_timeout =
            self.options.attempt_timeout.as_ref().map_or(timeout, |at| at.value.min(timeout));
        let per_attempt = attempt_timeout.0 + class.max_retry_delay.0;
        let last_start = Span(per_attempt.saturating_mul(u64::from(attempts - 1)));
        if let Effect::Keyed { window, .. } = class.effect {
            let last_send = last_start.min(timeout);
            if last_send >= window {
                let reason = format!(
                    "in route '{name}' the last of {attempts} attempts of class '{}' could be sent after {}, but \
                     its key is kept for {}",
                    class.name,
                    format_duration(last_send),
                    format_duration(window)
                );
                let allowed = "fewer attempts, or a shorter timeout or attempt_timeout";
                faults.error(Code::RetryAfterKeyExpiry, &at, reason, allowed);
            }
        }
        let sets_both = self.options.attempts.is_some() && self.options.attempt_timeout.is_some();
        if sets_both && last_start >= timeout {
            let reason = format!(
                "in route '{name}' the last of {attempts} attempts could begin only after {}, but requests of class \
                 '{}' have {} in all",
                format_duration(last_start),
                class.name,
                format_duration(timeout)
            );
            faults.warn(Code::AttemptTooLate, &at, reason, "fewer or shorter attempts");
        }
    }

    /// The key at which faults of the number and the duration of attempts are reported.
    fn key_limiting_attempts(&self) -> Option<Located<()>> {
        let options = &self.options;
        let attempts = options.attempts.as_ref().map(|at| at.with_value(()));
        let attempt_timeout = options.attempt_timeout.as_ref().map(|at| at.with_value(()));
        let timeout = options.timeout.as_ref().map(|at| at.with_value(()));
        attempts.or(attempt_timeout).or(timeout)
    }
}

/// What the checks of a route need of a class.
struct EffectiveClass<'a> {
    name: &'a str,
    effect: Effect,
    deadline: Span,
    max_retry_delay: Span,
}
