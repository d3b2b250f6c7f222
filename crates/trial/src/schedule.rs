//! Schedules of faults: drawn from a seed, or read from a file, so that a failure that was found becomes a test. Pure.

use anyhow::{Context, Result, bail};
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt::{self, Display, Formatter};
use std::path::Path;

/// An impairment of one direction between two processes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Impairment {
    /// Nothing passes. Data of connections is delayed until the link is repaired; datagrams are lost.
    pub cut: bool,
    /// Additional delay in milliseconds.
    pub delay_ms: u64,
    /// Bandwidth of connections in bytes a second; 0 for no limit.
    pub bytes_per_s: u64,
    /// Percentage of datagrams that are lost.
    #[serde(rename = "lose")]
    pub loss_percent: u8,
    /// Percentage of datagrams that are duplicated.
    #[serde(rename = "twice")]
    pub duplicate_percent: u8,
    /// Percentage of datagrams that are delayed behind others.
    #[serde(rename = "reorder")]
    pub reorder_percent: u8,
    /// Percentage of datagrams that are sent again after three seconds.
    #[serde(rename = "late")]
    pub late_duplicate_percent: u8,
}

impl Eq for Impairment {}

/// What happens to the folder of a process between its exit and its next start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Disk {
    /// It is kept.
    #[default]
    Kept,
    /// It is emptied.
    Lost,
}

/// A fault. Processes are named `n0`… (instances), as servers are, and `list`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Fault {
    /// SIGKILL.
    Kill {
        /// The instance.
        #[serde(rename = "who")]
        process: String,
    },
    /// SIGTERM.
    Term {
        /// The instance.
        #[serde(rename = "who")]
        process: String,
    },
    /// SIGINT.
    Interrupt {
        /// The instance.
        #[serde(rename = "who")]
        process: String,
    },
    /// SIGHUP.
    Reload {
        /// The instance.
        #[serde(rename = "who")]
        process: String,
    },
    /// A restart.
    Start {
        /// The instance.
        #[serde(rename = "who")]
        process: String,
        /// What happens to its folder before.
        #[serde(default)]
        disk: Disk,
    },
    /// SIGSTOP.
    Stop {
        /// The process.
        #[serde(rename = "who")]
        process: String,
    },
    /// SIGCONT.
    #[serde(rename = "go")]
    Continue {
        /// The process.
        #[serde(rename = "who")]
        process: String,
    },
    /// A link is impaired, or repaired where no impairment is given.
    #[serde(rename = "way")]
    Link {
        /// The sending process.
        from: String,
        /// The receiving process.
        to: String,
        /// The impairment.
        #[serde(rename = "ill", default)]
        impairment: Impairment,
    },
    /// All connections between two processes are reset.
    Reset {
        /// One process.
        from: String,
        /// The other process.
        to: String,
    },
    /// The list announces a server as draining.
    Drain {
        /// The server.
        server: String,
    },
    /// The list announces a server as removed.
    #[serde(rename = "gone")]
    Remove {
        /// The server.
        server: String,
    },
}

impl Fault {
    /// The processes that the fault names.
    #[must_use]
    pub fn names(&self) -> Vec<&str> {
        match self {
            Fault::Kill { process }
            | Fault::Term { process }
            | Fault::Interrupt { process }
            | Fault::Reload { process }
            | Fault::Start { process, .. }
            | Fault::Stop { process }
            | Fault::Continue { process } => vec![process],
            Fault::Link { from, to, .. } | Fault::Reset { from, to } => vec![from, to],
            Fault::Drain { server } | Fault::Remove { server } => vec![server],
        }
    }
}

impl Display for Fault {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Fault::Kill { process } => write!(f, "{process} is killed"),
            Fault::Term { process } => write!(f, "{process} is told to end"),
            Fault::Interrupt { process } => write!(f, "{process} is interrupted"),
            Fault::Reload { process } => write!(f, "{process} is told to reload"),
            Fault::Start { process, disk: Disk::Kept } => write!(f, "{process} starts"),
            Fault::Start { process, disk: Disk::Lost } => write!(f, "{process} starts without its folder"),
            Fault::Stop { process } => write!(f, "{process} stands still"),
            Fault::Continue { process } => write!(f, "{process} goes on"),
            Fault::Link { from, to, impairment } if *impairment == Impairment::default() => {
                write!(f, "{from} -> {to} is mended")
            }
            Fault::Link { from, to, impairment: Impairment { cut: true, .. } } => {
                write!(f, "{from} -> {to} is cut")
            }
            Fault::Link { from, to, impairment } => {
                write!(f, "{from} -> {to}:")?;
                let Impairment {
                    cut: _,
                    delay_ms,
                    bytes_per_s,
                    loss_percent,
                    duplicate_percent,
                    reorder_percent,
                    late_duplicate_percent,
                } = *impairment;
                for (effect, n) in [("ms later", delay_ms), ("bytes a second", bytes_per_s)] {
                    if n > 0 {
                        write!(f, " {n} {effect}")?;
                    }
                }
                for (effect, n) in [
                    ("lost", loss_percent),
                    ("twice", duplicate_percent),
                    ("reordered", reorder_percent),
                    ("3 s late", late_duplicate_percent),
                ] {
                    if n > 0 {
                        write!(f, " {n}% {effect}")?;
                    }
                }
                Ok(())
            }
            Fault::Reset { from, to } => write!(f, "connections {from} - {to} are reset"),
            Fault::Drain { server } => write!(f, "{server} is drained"),
            Fault::Remove { server } => write!(f, "{server} is gone from the list"),
        }
    }
}

/// A fault and its time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Step {
    /// Milliseconds after the clients started.
    pub at_ms: u64,
    /// The fault.
    #[serde(rename = "do")]
    pub fault: Fault,
}

/// The faults of a trial, by time.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Schedule {
    /// The steps.
    #[serde(default, rename = "step")]
    pub steps: Vec<Step>,
}

/// The processes of a trial.
#[derive(Clone, Debug)]
pub struct Participants {
    /// The instances.
    pub instances: Vec<String>,
    /// The servers.
    pub servers: Vec<String>,
    /// Whether instances communicate with each other.
    pub peers: bool,
    /// The duration of a lease in milliseconds, also where there is no fleet: the durations of stops are drawn around
    /// it.
    pub lease_ms: u64,
}

impl Participants {
    fn contains(&self, name: &str) -> bool {
        name == "list" || self.instances.iter().chain(&self.servers).any(|n| n == name)
    }
}

impl Schedule {
    /// Reads a schedule from TOML.
    ///
    /// # Errors
    ///
    /// The file can't be read, has an unknown key, or names an unknown process.
    pub fn read(path: &Path, participants: &Participants) -> Result<Schedule> {
        let text = std::fs::read_to_string(path).with_context(|| path.display().to_string())?;
        let mut schedule: Schedule = toml::from_str(&text).with_context(|| path.display().to_string())?;
        for (n, step) in schedule.steps.iter().enumerate() {
            if let Some(name) = step.fault.names().into_iter().find(|name| !participants.contains(name)) {
                let all = participants.instances.join(", ");
                let servers = participants.servers.join(", ");
                bail!(
                    "{}: step[{n}]: unknown process '{name}'; expected one of {all}, {servers}, list",
                    path.display()
                );
            }
        }
        schedule.steps.sort_by_key(|step| step.at_ms);
        Ok(schedule)
    }

    /// Draws a schedule: overlapping faults of processes and links, all repaired in the first three quarters of the
    /// trial, so that recovery is judged too.
    #[must_use]
    pub fn draw(seed: u64, participants: &Participants, duration_ms: u64) -> Schedule {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut generator =
            Generator { steps: Vec::new(), busy_until: BTreeMap::new(), end: duration_ms * 3 / 4 };
        let mut at = 500;
        while at < generator.end {
            at += rng.random_range(100..900);
            generator.add_random_fault(at, participants, &mut rng);
        }
        let mut steps = generator.steps;
        steps.sort_by_key(|step| step.at_ms);
        Schedule { steps }
    }
}

struct Generator {
    steps: Vec<Step>,
    /// Until when no further fault is drawn for a process or link.
    busy_until: BTreeMap<String, u64>,
    end: u64,
}

impl Generator {
    fn reserve(&mut self, what: &str, from: u64, until: u64) -> bool {
        if self.busy_until.get(what).is_some_and(|busy_until| *busy_until >= from) || until > self.end {
            return false;
        }
        self.busy_until.insert(what.to_owned(), until);
        true
    }

    fn push(&mut self, at_ms: u64, fault: Fault) {
        self.steps.push(Step { at_ms, fault });
    }

    fn add_random_fault(&mut self, at: u64, participants: &Participants, rng: &mut SmallRng) {
        let Some(process) = participants.instances.choose(rng).cloned() else { return };
        match rng.random_range(0..10) {
            0..3 => {
                let until = at + rng.random_range(50..2 * participants.lease_ms + 500);
                let term = rng.random_bool(0.3);
                let disk = if rng.random_bool(0.3) { Disk::Lost } else { Disk::Kept };
                if self.reserve(&process, at, until + 800) {
                    let end = if term {
                        Fault::Term { process: process.clone() }
                    } else {
                        Fault::Kill { process: process.clone() }
                    };
                    self.push(at, end);
                    self.push(until, Fault::Start { process, disk });
                }
            }
            3..6 => {
                // Shorter than a lease, around it, or much longer.
                let duration = match rng.random_range(0..3) {
                    0 => rng.random_range(20..participants.lease_ms / 2),
                    1 => rng.random_range(participants.lease_ms * 8 / 10..participants.lease_ms * 13 / 10),
                    _ => rng.random_range(2 * participants.lease_ms..4 * participants.lease_ms),
                };
                let server = participants.servers.choose(rng).filter(|_| rng.random_bool(0.25)).cloned();
                let process = server.unwrap_or(process);
                if self.reserve(&process, at, at + duration) {
                    self.push(at, Fault::Stop { process: process.clone() });
                    self.push(at + duration, Fault::Continue { process });
                }
            }
            n => {
                let peers: Vec<String> = if participants.peers && n < 9 {
                    participants.instances.iter().filter(|peer| **peer != process).cloned().collect()
                } else {
                    participants.servers.iter().cloned().chain(["list".to_owned()]).collect()
                };
                let Some(peer) = peers.choose(rng).cloned() else { return };
                let duration = rng.random_range(100..3 * participants.lease_ms);
                let impairment = if rng.random_bool(0.6) {
                    Impairment { cut: true, ..Impairment::default() }
                } else {
                    let delay_ms = rng.random_range(5..60);
                    let mut percent = || if rng.random_bool(0.5) { rng.random_range(5..60) } else { 0 };
                    Impairment {
                        loss_percent: percent(),
                        duplicate_percent: percent(),
                        reorder_percent: percent(),
                        late_duplicate_percent: percent(),
                        delay_ms,
                        ..Impairment::default()
                    }
                };
                // A cut may isolate the process from all others; other impairments concern one. One direction or both.
                let isolate = impairment.cut && participants.peers && rng.random_bool(0.4);
                let (forward, backward) =
                    [(true, true), (true, false), (false, true)][rng.random_range(0..3)];
                let peers = if isolate { peers } else { vec![peer] };
                for peer in peers {
                    let steps_before = self.steps.len();
                    for (from, to) in [(&process, &peer), (&peer, &process)]
                        .into_iter()
                        .zip([forward, backward])
                        .filter(|w| w.1)
                        .map(|w| w.0)
                    {
                        if self.reserve(&format!("{from}>{to}"), at, at + duration) {
                            self.push(at, Fault::Link { from: from.clone(), to: to.clone(), impairment });
                            self.push(
                                at + duration,
                                Fault::Link {
                                    from: from.clone(),
                                    to: to.clone(),
                                    impairment: Impairment::default(),
                                },
                            );
                        }
                    }
                    if self.steps.len() > steps_before && rng.random_bool(0.1) {
                        self.push(at + duration, Fault::Reset { from: process.clone(), to: peer });
                    }
                }
            }
        }
    }
}

#[cfg(test)]
mod tests;
