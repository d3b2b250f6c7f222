//! The stage of the process: a pure machine `(now, event) -> stage`, and the one handle on it that the console, the
//! front and the signals share.

use std::fmt::{self, Display, Formatter};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::sync::watch;
use tokio::time::sleep_until;

/// How far the process is in its life.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    /// Not ready to serve yet.
    Starting,
    /// Serving.
    Active,
    /// Sent away its clients: still serving, but each answer ends its connection.
    Standby,
    /// The same, and idle connections are closed.
    StandbyClosingIdle,
    /// Told to end: serving still, but each answer ends its connection.
    ShuttingDown,
    /// The same, and idle connections are closed: a request that crosses that comes again, on a new one.
    ShutdownClosingIdle,
    /// No new connections, and idle ones are closed.
    ListenerClosed,
    /// The process is about to end: what is still in hand is answered now.
    Aborting,
}

impl Stage {
    /// Whether clients are to come: the one answer to that, for `status`, `/healthz` and the front.
    #[must_use]
    pub fn is_ready(self) -> bool {
        self == Stage::Active
    }

    /// Each answer ends its connection.
    #[must_use]
    pub fn closes_after_response(self) -> bool {
        self > Stage::Active
    }

    /// It was told to end.
    #[must_use]
    pub fn is_shutting_down(self) -> bool {
        self >= Stage::ShuttingDown
    }
}

impl Display for Stage {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Stage::Starting => "starting",
            Stage::Active => "active",
            Stage::Standby | Stage::StandbyClosingIdle => "standby",
            Stage::ShuttingDown | Stage::ShutdownClosingIdle | Stage::ListenerClosed | Stage::Aborting => {
                "ending"
            }
        })
    }
}

/// What moves the stage.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// All that serving needs is there.
    Ready,
    /// Send clients away.
    Standby,
    /// Back to work.
    Active,
    /// End.
    Shutdown,
    /// The time to end is all but over.
    Abort,
    /// Time has passed.
    Tick,
}

/// The timing of the machine.
#[derive(Clone, Copy, Debug)]
pub struct StageTiming {
    /// From the order to stand by until idle connections are closed: the front has seen the no by then.
    pub standby_notice: Duration,
    /// From the order to end until nothing new is accepted.
    pub accept_after_shutdown: Duration,
}

impl StageTiming {
    /// From the order to end until idle connections are closed. What is left of `accept` is for the requests that cross
    /// that; closed with the listener, such a request found nowhere to come again.
    fn close_idle_after(self) -> Duration {
        self.accept_after_shutdown * 2 / 3
    }
}

/// The machine. Orders may be repeated; whatever comes once it ends changes nothing any more.
#[derive(Debug)]
pub struct StageMachine {
    stage: Stage,
    since: Instant,
    timing: StageTiming,
    /// The order to stand by came before it was ready.
    standby_requested: bool,
}

impl StageMachine {
    /// One that starts now.
    #[must_use]
    pub fn new(now: Instant, timing: StageTiming) -> StageMachine {
        StageMachine { stage: Stage::Starting, since: now, timing, standby_requested: false }
    }

    /// When [`Event::Tick`] moves it next, if ever.
    #[must_use]
    pub fn next_transition(&self) -> Option<Instant> {
        match self.stage {
            Stage::Standby => Some(self.since + self.timing.standby_notice),
            Stage::ShuttingDown => Some(self.since + self.timing.close_idle_after()),
            Stage::ShutdownClosingIdle => Some(self.since + self.timing.accept_after_shutdown),
            Stage::Starting
            | Stage::Active
            | Stage::StandbyClosingIdle
            | Stage::ListenerClosed
            | Stage::Aborting => None,
        }
    }

    /// Takes what happened; gives the stage from here on.
    pub fn apply(&mut self, now: Instant, event: Event) -> Stage {
        let next = match (event, self.stage) {
            (Event::Ready, Stage::Starting) if self.standby_requested => Stage::Standby,
            (Event::Ready, Stage::Starting) => Stage::Active,
            (Event::Standby | Event::Active, Stage::Starting) => {
                self.standby_requested = event == Event::Standby;
                Stage::Starting
            }
            (Event::Standby, Stage::Active) => Stage::Standby,
            (Event::Active, Stage::Standby | Stage::StandbyClosingIdle) => Stage::Active,
            (Event::Shutdown, stage) if !stage.is_shutting_down() => Stage::ShuttingDown,
            (Event::Abort, stage) if stage.is_shutting_down() => Stage::Aborting,
            (Event::Tick, Stage::Standby) if self.next_transition() <= Some(now) => Stage::StandbyClosingIdle,
            (Event::Tick, Stage::ShuttingDown | Stage::ShutdownClosingIdle)
                if self.since + self.timing.accept_after_shutdown <= now =>
            {
                Stage::ListenerClosed
            }
            (Event::Tick, Stage::ShuttingDown) if self.next_transition() <= Some(now) => {
                Stage::ShutdownClosingIdle
            }
            (_, stage) => stage,
        };
        // The time to accept counts from the order to end.
        if next != self.stage && next != Stage::ShutdownClosingIdle {
            self.since = now;
        }
        self.stage = next;
        next
    }
}

/// The handle on the machine of this process. Its lock is held for the moment of an order alone; the stage is read
/// without it.
#[derive(Debug)]
pub struct Lifecycle {
    machine: Mutex<StageMachine>,
    stage: watch::Sender<Stage>,
}

impl Lifecycle {
    /// The handle on a machine.
    #[must_use]
    pub fn new(machine: StageMachine) -> Lifecycle {
        let stage = watch::Sender::new(machine.stage);
        Lifecycle { machine: Mutex::new(machine), stage }
    }

    fn machine(&self) -> MutexGuard<'_, StageMachine> {
        self.machine.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Tells the machine; when this returns, all who read the stage read the new one.
    pub fn apply(&self, event: Event) -> Stage {
        let mut machine = self.machine();
        let stage = machine.apply(Instant::now(), event);
        self.stage.send_if_modified(|told| std::mem::replace(told, stage) != stage);
        stage
    }

    /// The stage as it is now.
    #[must_use]
    pub fn stage(&self) -> Stage {
        *self.stage.borrow()
    }

    /// The stage, followed.
    #[must_use]
    pub fn subscribe(&self) -> watch::Receiver<Stage> {
        self.stage.subscribe()
    }

    /// Moves the machine on as time passes. Does not end.
    pub async fn run(&self) {
        let mut stage = self.subscribe();
        loop {
            let due = self.machine().next_transition();
            tokio::select! {
                () = sleep_until(due.unwrap_or_else(Instant::now).into()), if due.is_some() => {
                    self.apply(Event::Tick);
                }
                changed = stage.changed() => if changed.is_err() {
                    return;
                },
            }
        }
    }
}

#[cfg(test)]
mod tests;
