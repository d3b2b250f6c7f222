//! The stage of the process: a pure state machine `(now, event) -> stage`, and the handle on it that the console, the
//! HTTP front and the signal handlers share.

use std::fmt::{self, Display, Formatter};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::sync::watch;
use tokio::time::sleep_until;

/// The lifecycle stage of the process, in order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    /// Not ready to serve yet.
    Starting,
    /// Serving.
    Active,
    /// Standby, clients are to go elsewhere: still serving, but each response closes its connection.
    Standby,
    /// Standby, and idle connections are closed too.
    StandbyClosingIdle,
    /// Shutting down: still accepting and serving, but each response closes its connection.
    ShuttingDown,
    /// Shutting down, and idle connections are closed too. A client whose request crosses the close can retry on a new
    /// connection, as the listener is still open.
    ShutdownClosingIdle,
    /// Shutting down: no new connections are accepted, and idle ones are closed.
    ListenerClosed,
    /// The process is about to exit: requests still in flight are answered now.
    Aborting,
}

impl Stage {
    /// Whether clients should connect. `status`, `/healthz` and the HTTP front all use this answer.
    #[must_use]
    pub fn is_ready(self) -> bool {
        self == Stage::Active
    }

    /// Whether each response closes its connection.
    #[must_use]
    pub fn closes_after_response(self) -> bool {
        self > Stage::Active
    }

    /// Whether the process has been told to shut down.
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

/// Inputs of the state machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// Everything needed to serve is available.
    Ready,
    /// Operator command: send clients elsewhere.
    Standby,
    /// Operator command: serve again.
    Active,
    /// Shut down.
    Shutdown,
    /// The time allowed for the shutdown has almost elapsed.
    Abort,
    /// Time has passed: apply a transition that is due.
    Tick,
}

/// The delays of the state machine.
#[derive(Clone, Copy, Debug)]
pub struct StageTiming {
    /// From the standby command until idle connections are closed: whoever polls the health check has seen it fail
    /// by then.
    pub standby_notice: Duration,
    /// From the shutdown command until the listener is closed.
    pub accept_after_shutdown: Duration,
}

impl StageTiming {
    /// From the shutdown command until idle connections are closed. The rest of `accept_after_shutdown` lets clients
    /// retry a request that crossed the close; with the listener closed at the same moment, they had nowhere to retry.
    fn close_idle_after(self) -> Duration {
        self.accept_after_shutdown * 2 / 3
    }
}

/// The state machine of the stage. Commands are idempotent, and operator commands during shutdown have no effect.
#[derive(Debug)]
pub struct StageMachine {
    stage: Stage,
    entered_at: Instant,
    timing: StageTiming,
    /// Standby was requested before the process was ready.
    standby_requested: bool,
}

impl StageMachine {
    /// Creates a state machine in [`Stage::Starting`].
    #[must_use]
    pub fn new(now: Instant, timing: StageTiming) -> StageMachine {
        StageMachine { stage: Stage::Starting, entered_at: now, timing, standby_requested: false }
    }

    /// When [`Event::Tick`] causes the next transition, if any is scheduled.
    #[must_use]
    pub fn next_transition(&self) -> Option<Instant> {
        match self.stage {
            Stage::Standby => Some(self.entered_at + self.timing.standby_notice),
            Stage::ShuttingDown => Some(self.entered_at + self.timing.close_idle_after()),
            Stage::ShutdownClosingIdle => Some(self.entered_at + self.timing.accept_after_shutdown),
            Stage::Starting
            | Stage::Active
            | Stage::StandbyClosingIdle
            | Stage::ListenerClosed
            | Stage::Aborting => None,
        }
    }

    /// Applies an event and returns the resulting stage.
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
                if self.entered_at + self.timing.accept_after_shutdown <= now =>
            {
                Stage::ListenerClosed
            }
            (Event::Tick, Stage::ShuttingDown) if self.next_transition() <= Some(now) => {
                Stage::ShutdownClosingIdle
            }
            (_, stage) => stage,
        };
        // `accept_after_shutdown` counts from the shutdown command, not from the closing of idle connections.
        if next != self.stage && next != Stage::ShutdownClosingIdle {
            self.entered_at = now;
        }
        self.stage = next;
        next
    }
}

/// The shared handle on the state machine of this process. Its lock is held only while an event is applied; the stage is
/// read without it.
#[derive(Debug)]
pub struct Lifecycle {
    machine: Mutex<StageMachine>,
    stage: watch::Sender<Stage>,
}

impl Lifecycle {
    /// Creates a handle on a state machine.
    #[must_use]
    pub fn new(machine: StageMachine) -> Lifecycle {
        let stage = watch::Sender::new(machine.stage);
        Lifecycle { machine: Mutex::new(machine), stage }
    }

    fn machine(&self) -> MutexGuard<'_, StageMachine> {
        self.machine.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Applies an event. When this returns, every reader sees the new stage.
    pub fn apply(&self, event: Event) -> Stage {
        let mut machine = self.machine();
        let stage = machine.apply(Instant::now(), event);
        self.stage.send_if_modified(|current| std::mem::replace(current, stage) != stage);
        stage
    }

    /// The current stage.
    #[must_use]
    pub fn stage(&self) -> Stage {
        *self.stage.borrow()
    }

    /// Subscribes to changes of the stage.
    #[must_use]
    pub fn subscribe(&self) -> watch::Receiver<Stage> {
        self.stage.subscribe()
    }

    /// Applies the transitions that depend on time. Does not return while the handle exists.
    pub async fn run(&self) {
        let mut stage = self.subscribe();
        loop {
            let next_transition = self.machine().next_transition();
            tokio::select! {
                () = sleep_until(next_transition.unwrap_or_else(Instant::now).into()), if next_transition.is_some() => {
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
