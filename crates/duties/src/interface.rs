//! The interface of the state machine of a member: its configuration per duty, its inputs and outputs, and the state
//! that it shows to operators.

use crate::protocol::{Fence, Message, Moment, Progress};

/// The schedule of a duty's effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Schedule {
    /// The interval between effects, in microseconds.
    pub period_us: u64,
    /// Run missed periods late; otherwise they are reported and skipped.
    pub catch_up: bool,
}

/// A duty that a member is a candidate for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DutySpec {
    /// The name of the duty.
    pub name: String,
    /// The schedule of its effect; none if the duty has no effect of its own.
    pub schedule: Option<Schedule>,
}

/// Permission to carry out one effect until a deadline, to be checked at the effect itself.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct EffectPermit {
    /// The duty.
    pub duty: String,
    /// The fence to send with the effect.
    pub fence: Fence,
    /// The number of the period.
    pub period: u64,
    pub(crate) until: Moment,
}

impl EffectPermit {
    /// Whether the effect may start at this moment.
    #[must_use]
    pub fn is_valid_at(&self, now: Moment) -> bool {
        now < self.until
    }

    /// The deadline for starting the effect.
    #[must_use]
    pub fn valid_until(&self) -> Moment {
        self.until
    }
}

/// The outcome of an effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum EffectOutcome {
    /// It is done.
    Done,
    /// It may have been done, or may still be.
    Unknown,
    /// It never started and may be retried.
    NotStarted,
    /// Its receiver refused the fence.
    Fenced {
        /// The higher fence that the receiver has seen.
        highest: Fence,
        /// The latest period that the receiver has seen; 0 if it did not report one.
        period: u64,
    },
}

/// An input of the state machine.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Input {
    /// Time has passed.
    Tick,
    /// A message from another member was received.
    Received {
        /// The sender.
        from: String,
        /// The incarnation of the sender.
        incarnation: u64,
        /// The incarnation of this member that the message replies to; 0 if it is not a reply.
        in_reply_to: u64,
        /// The message.
        message: Message,
    },
    /// An effect finished.
    EffectFinished {
        /// The duty.
        duty: String,
        /// The fence it was started under.
        fence: Fence,
        /// The number of the period.
        period: u64,
        /// Its outcome.
        outcome: EffectOutcome,
    },
    /// Release a duty, to a named successor if given, and do not request it again for a while.
    HandOver {
        /// The duty.
        duty: String,
        /// The next holder.
        to: Option<String>,
    },
    /// The process shuts down: release all duties.
    Shutdown,
}

/// The destination of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Destination {
    /// A voter, by its position in the configured list.
    Voter(usize),
    /// The sender of the message that is replied to.
    Sender,
}

/// An output of the state machine.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Output {
    /// Send a message.
    Send {
        /// The destination.
        to: Destination,
        /// The incarnation of the receiver that the message replies to, or 0.
        in_reply_to: u64,
        /// The message.
        message: Message,
    },
    /// Carry out an effect if its permit is still valid when it starts, and report the outcome.
    RunEffect(EffectPermit),
    /// An event for the log and the operator's view.
    Notify(Notice),
}

/// A change of a duty's state.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Notice {
    /// This member acquired the duty.
    Acquired {
        /// The duty.
        duty: String,
        /// The fence of the grant.
        fence: Fence,
        /// So many voters may have lost their memory that the fence is not proven to be the highest.
        unproven: bool,
    },
    /// This member no longer holds the duty.
    Released {
        /// The duty.
        duty: String,
        /// The fence it was held under.
        fence: Fence,
        /// Why it was released.
        reason: &'static str,
    },
    /// The previous holder started this period and its outcome is unknown; it is not run again.
    OutcomeUnknown {
        /// The duty.
        duty: String,
        /// The number of the period.
        period: u64,
    },
    /// Periods passed without a holder and are skipped.
    PeriodsSkipped {
        /// The duty.
        duty: String,
        /// The number of periods skipped.
        count: u64,
    },
}

/// The state of a duty as shown to operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DutyStatus<'a> {
    /// The duty.
    pub duty: &'a str,
    /// The holder, if this member knows one.
    pub holder: Option<&'a str>,
    /// The highest fence this member knows.
    pub fence: Fence,
    /// The time until the lease expires, in microseconds.
    pub remaining_us: u64,
    /// The time since the last change of hands at this member, in microseconds.
    pub since_us: u64,
    /// Why it last changed hands here.
    pub reason: &'a str,
    /// The progress of the schedule.
    pub progress: Progress,
    /// The fence is not proven to be the highest.
    pub unproven: bool,
}
