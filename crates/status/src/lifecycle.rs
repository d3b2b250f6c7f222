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
    Emptying,
    /// Told to end: serving still, but each answer ends its connection.
    Leaving,
    /// The same, and idle connections are closed: a request that crosses that comes again, on a new one.
    Parting,
    /// No new connections, and idle ones are closed.
    Closing,
    /// The process is about to end: what is still in hand is answered now.
    Last,
}

impl Stage {
    /// Whether clients are to come: the one answer to that, for `status`, `/healthz` and the front.
    #[must_use]
    pub fn ready(self) -> bool {
        self == Stage::Active
    }

    /// Each answer ends its connection.
    #[must_use]
    pub fn sends_away(self) -> bool {
        self > Stage::Active
    }

    /// It was told to end.
    #[must_use]
    pub fn ends(self) -> bool {
        self >= Stage::Leaving
    }
}

impl Display for Stage {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Stage::Starting => "starting",
            Stage::Active => "active",
            Stage::Standby | Stage::Emptying => "standby",
            Stage::Leaving | Stage::Parting | Stage::Closing | Stage::Last => "ending",
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
    End,
    /// The time to end is all but over.
    Last,
    /// Time has passed.
    Time,
}

/// The times of the machine.
#[derive(Clone, Copy, Debug)]
pub struct Times {
    /// From the order to stand by until idle connections are closed: the front has seen the no by then.
    pub notice: Duration,
    /// From the order to end until nothing new is accepted.
    pub accept: Duration,
}

impl Times {
    /// From the order to end until idle connections are closed. What is left of `accept` is for the requests that cross
    /// that; closed with the listener, such a request found nowhere to come again.
    fn part(self) -> Duration {
        self.accept * 2 / 3
    }
}

/// The machine. Orders may be repeated; whatever comes once it ends changes nothing any more.
#[derive(Debug)]
pub struct Machine {
    stage: Stage,
    since: Instant,
    times: Times,
    /// The order to stand by came before it was ready.
    stand_by: bool,
}

impl Machine {
    /// One that starts now.
    #[must_use]
    pub fn new(now: Instant, times: Times) -> Machine {
        Machine { stage: Stage::Starting, since: now, times, stand_by: false }
    }

    /// When [`Event::Time`] moves it next, if ever.
    #[must_use]
    pub fn due(&self) -> Option<Instant> {
        match self.stage {
            Stage::Standby => Some(self.since + self.times.notice),
            Stage::Leaving => Some(self.since + self.times.part()),
            Stage::Parting => Some(self.since + self.times.accept),
            Stage::Starting | Stage::Active | Stage::Emptying | Stage::Closing | Stage::Last => None,
        }
    }

    /// Takes what happened; gives the stage from here on.
    pub fn on(&mut self, now: Instant, event: Event) -> Stage {
        let next = match (event, self.stage) {
            (Event::Ready, Stage::Starting) if self.stand_by => Stage::Standby,
            (Event::Ready, Stage::Starting) => Stage::Active,
            (Event::Standby | Event::Active, Stage::Starting) => {
                self.stand_by = event == Event::Standby;
                Stage::Starting
            }
            (Event::Standby, Stage::Active) => Stage::Standby,
            (Event::Active, Stage::Standby | Stage::Emptying) => Stage::Active,
            (Event::End, stage) if !stage.ends() => Stage::Leaving,
            (Event::Last, stage) if stage.ends() => Stage::Last,
            (Event::Time, Stage::Standby) if self.due() <= Some(now) => Stage::Emptying,
            (Event::Time, Stage::Leaving | Stage::Parting) if self.since + self.times.accept <= now => {
                Stage::Closing
            }
            (Event::Time, Stage::Leaving) if self.due() <= Some(now) => Stage::Parting,
            (_, stage) => stage,
        };
        // The time to accept counts from the order to end.
        if next != self.stage && next != Stage::Parting {
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
    machine: Mutex<Machine>,
    stage: watch::Sender<Stage>,
}

impl Lifecycle {
    /// The handle on a machine.
    #[must_use]
    pub fn new(machine: Machine) -> Lifecycle {
        let stage = watch::Sender::new(machine.stage);
        Lifecycle { machine: Mutex::new(machine), stage }
    }

    fn machine(&self) -> MutexGuard<'_, Machine> {
        self.machine.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Tells the machine; when this returns, all who read the stage read the new one.
    pub fn tell(&self, event: Event) -> Stage {
        let mut machine = self.machine();
        let stage = machine.on(Instant::now(), event);
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
    pub fn follow(&self) -> watch::Receiver<Stage> {
        self.stage.subscribe()
    }

    /// Moves the machine on as time passes. Does not end.
    pub async fn run(&self) {
        let mut stage = self.follow();
        loop {
            let due = self.machine().due();
            tokio::select! {
                () = sleep_until(due.unwrap_or_else(Instant::now).into()), if due.is_some() => {
                    self.tell(Event::Time);
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
