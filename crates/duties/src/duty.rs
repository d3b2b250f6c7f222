//! The state of one duty at a member: its role, its rounds of requests, and the progress of its schedule.

use crate::interface::Schedule;
use crate::protocol::{Fence, Moment, Progress};
use std::collections::BTreeSet;

/// The largest number of missed periods that are caught up on.
const MAX_CATCH_UP_PERIODS: u64 = 100;

/// One round of requests to all voters.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Round {
    pub(crate) number: u64,
    pub(crate) fence: Fence,
    pub(crate) started: Moment,
    pub(crate) progress: Progress,
    pub(crate) granted: BTreeSet<usize>,
    pub(crate) refused: BTreeSet<usize>,
}

/// The role of this member in a duty.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Role {
    /// Neither holder nor candidate until this moment.
    Idle { request_at: Moment },
    /// Requesting the lease under this fence.
    Candidate { fence: Fence, round: Round },
    /// Holding the lease; a round that renews it may be in flight.
    Holder { fence: Fence, until: Moment, renew_at: Moment, round: Option<Round> },
}

/// An effect in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct RunningEffect {
    pub(crate) fence: Fence,
    pub(crate) period: u64,
}

/// A holder reported by the voters.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct KnownHolder {
    pub(crate) name: String,
    /// When its lease expires, by the clock of this member.
    pub(crate) until: Moment,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Duty {
    pub(crate) role: Role,
    pub(crate) schedule: Option<Schedule>,
    /// The highest fence known.
    pub(crate) highest: Fence,
    /// The progress of the schedule as far as known.
    pub(crate) progress: Progress,
    /// The latest moment at which the period in `progress` may have started.
    pub(crate) period_started: Moment,
    pub(crate) running: Option<RunningEffect>,
    /// Rounds started in this incarnation.
    pub(crate) rounds: u64,
    /// Consecutive failed rounds as candidate, which set the backoff.
    pub(crate) failed_rounds: u64,
    /// The interval over which a voter last asked to spread requests.
    pub(crate) spread_us: u64,
    /// Immediate retries left after a handover to this member.
    pub(crate) handover_retries: u8,
    pub(crate) known_holder: Option<KnownHolder>,
    pub(crate) unproven: bool,
    /// Why the duty last changed hands here, and when.
    pub(crate) reason: &'static str,
    pub(crate) changed_at: Moment,
}

impl Duty {
    /// Whether the holder is to start a period now.
    pub(crate) fn period_is_due(&self, now: Moment, schedule: Schedule) -> bool {
        let previous_over = self.progress.done && now >= self.period_started.after(schedule.period_us);
        self.running.is_none() && (self.progress.period == 0 || previous_over)
    }

    /// Advances the progress to the next period. Returns the number of periods skipped.
    pub(crate) fn start_period(&mut self, now: Moment, schedule: Schedule) -> u64 {
        let is_first = self.progress.period == 0;
        let elapsed = if is_first { 1 } else { now.since(self.period_started) / schedule.period_us.max(1) };
        let elapsed = elapsed.max(1);
        // Missed periods are caught up on one by one, except those too far back.
        let skipped =
            if schedule.catch_up { elapsed.saturating_sub(MAX_CATCH_UP_PERIODS) } else { elapsed - 1 };
        // The schedule keeps its own pace, so that one late period does not delay all later ones.
        self.period_started =
            if is_first { now } else { self.period_started.after(schedule.period_us * (skipped + 1)) };
        self.progress = Progress { period: self.progress.period + skipped + 1, done: false };
        skipped
    }

    /// The next moment at which something is to be done for this duty.
    pub(crate) fn next_event(&self, shutting_down: bool, round_timeout: u64) -> Option<Moment> {
        match &self.role {
            Role::Idle { .. } if shutting_down => None,
            Role::Idle { request_at } => Some(*request_at),
            Role::Candidate { round, .. } => Some(round.started.after(round_timeout + 1)),
            Role::Holder { until, renew_at, round, .. } => {
                let mut next = (*until).min(*renew_at);
                if let (Some(schedule), None) = (self.schedule, self.running) {
                    if self.progress.period == 0 {
                        next = self.changed_at;
                    } else if self.progress.done {
                        next = next.min(self.period_started.after(schedule.period_us));
                    }
                }
                Some(match round {
                    Some(round) => next.max(round.started.after(round_timeout + 1)).min(*until),
                    None => next,
                })
            }
        }
    }
}

impl Round {
    pub(crate) fn new(number: u64, fence: Fence, started: Moment, progress: Progress) -> Round {
        Round { number, fence, started, progress, granted: BTreeSet::new(), refused: BTreeSet::new() }
    }
}
