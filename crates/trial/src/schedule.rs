//! What goes wrong, and when: drawn from a seed, or read from a file, so that a found case becomes a test. Pure.

use anyhow::{Context, Result, bail};
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt::{self, Display, Formatter};
use std::path::Path;

/// What happens to what goes one way between two processes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Impairment {
    /// Nothing comes through. What goes over a connection is held until the way is mended; datagrams are lost.
    pub cut: bool,
    /// How much later it comes, in milliseconds.
    pub delay_ms: u64,
    /// Bytes a second, for connections; 0 for no bound.
    pub bytes_per_s: u64,
    /// Of 100 datagrams so many are lost.
    #[serde(rename = "lose")]
    pub loss_percent: u8,
    /// Of 100 datagrams so many come twice.
    #[serde(rename = "twice")]
    pub duplicate_percent: u8,
    /// Of 100 datagrams so many come late, behind others.
    #[serde(rename = "reorder")]
    pub reorder_percent: u8,
    /// Of 100 datagrams so many come a second time, three seconds later.
    #[serde(rename = "late")]
    pub late_duplicate_percent: u8,
}

impl Eq for Impairment {}

/// What becomes of the folder of a process between its end and its next start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Disk {
    /// It stays.
    #[default]
    Kept,
    /// It is empty.
    Lost,
}

/// What is done. Processes: instances `n0`…, servers and `list`.
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
    /// It is started anew.
    Start {
        /// The instance.
        #[serde(rename = "who")]
        process: String,
        /// With which folder.
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
    /// A way falls ill, or is mended where nothing is named.
    #[serde(rename = "way")]
    Link {
        /// From this process.
        from: String,
        /// To this one.
        to: String,
        /// How.
        #[serde(rename = "ill", default)]
        impairment: Impairment,
    },
    /// Every connection between two is reset.
    Reset {
        /// One.
        from: String,
        /// The other.
        to: String,
    },
    /// The list tells that a server leaves.
    Drain {
        /// The server.
        server: String,
    },
    /// The list tells that it has gone.
    #[serde(rename = "gone")]
    Remove {
        /// The server.
        server: String,
    },
}

impl Fault {
    /// The processes that it names.
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
                for (what, n) in [("ms later", delay_ms), ("bytes a second", bytes_per_s)] {
                    if n > 0 {
                        write!(f, " {n} {what}")?;
                    }
                }
                for (what, n) in [
                    ("lost", loss_percent),
                    ("twice", duplicate_percent),
                    ("reordered", reorder_percent),
                    ("3 s late", late_duplicate_percent),
                ] {
                    if n > 0 {
                        write!(f, " {n}% {what}")?;
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
    /// Milliseconds after the clients began.
    pub at_ms: u64,
    /// What is done.
    #[serde(rename = "do")]
    pub fault: Fault,
}

/// All of them, by time.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Schedule {
    /// The steps.
    #[serde(default, rename = "step")]
    pub steps: Vec<Step>,
}

/// Who takes part.
#[derive(Clone, Debug)]
pub struct Participants {
    /// The instances.
    pub instances: Vec<String>,
    /// The servers.
    pub servers: Vec<String>,
    /// Instances talk to each other.
    pub peers: bool,
    /// How long a lease is, where there are any: pauses are drawn around it, in milliseconds.
    pub lease_ms: u64,
}

impl Participants {
    fn knows(&self, name: &str) -> bool {
        name == "list" || self.instances.iter().chain(&self.servers).any(|n| n == name)
    }
}

impl Schedule {
    /// Reads one from TOML.
    ///
    /// # Errors
    ///
    /// The file can't be read, has a key that is not known, or names nobody of the cast.
    pub fn read(path: &Path, cast: &Participants) -> Result<Schedule> {
        let text = std::fs::read_to_string(path).with_context(|| path.display().to_string())?;
        let mut schedule: Schedule = toml::from_str(&text).with_context(|| path.display().to_string())?;
        for (n, step) in schedule.steps.iter().enumerate() {
            if let Some(name) = step.fault.names().into_iter().find(|name| !cast.knows(name)) {
                let (all, servers) = (cast.instances.join(", "), cast.servers.join(", "));
                bail!(
                    "{}: step[{n}]: nobody is called '{name}'; right would be one of {all}, {servers}, list",
                    path.display()
                );
            }
        }
        schedule.steps.sort_by_key(|step| step.at_ms);
        Ok(schedule)
    }

    /// Draws one: faults of processes and ways that overlap, all mended a quarter before the end, so that what comes back is
    /// seen to.
    #[must_use]
    pub fn draw(seed: u64, cast: &Participants, lasts_ms: u64) -> Schedule {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut drawn = Drawn { steps: Vec::new(), busy: BTreeMap::new(), end: lasts_ms * 3 / 4 };
        let mut at = 500;
        while at < drawn.end {
            at += rng.random_range(100..900);
            drawn.one(at, cast, &mut rng);
        }
        let mut steps = drawn.steps;
        steps.sort_by_key(|step| step.at_ms);
        Schedule { steps }
    }
}

struct Drawn {
    steps: Vec<Step>,
    /// Until when nothing further happens to a process or way.
    busy: BTreeMap<String, u64>,
    end: u64,
}

impl Drawn {
    fn free(&mut self, what: &str, from: u64, until: u64) -> bool {
        if self.busy.get(what).is_some_and(|busy| *busy >= from) || until > self.end {
            return false;
        }
        self.busy.insert(what.to_owned(), until);
        true
    }

    fn step(&mut self, at_ms: u64, fault: Fault) {
        self.steps.push(Step { at_ms, fault });
    }

    fn one(&mut self, at: u64, cast: &Participants, rng: &mut SmallRng) {
        let Some(process) = cast.instances.choose(rng).cloned() else { return };
        match rng.random_range(0..10) {
            0..3 => {
                let until = at + rng.random_range(50..2 * cast.lease_ms + 500);
                let (term, disk) =
                    (rng.random_bool(0.3), if rng.random_bool(0.3) { Disk::Lost } else { Disk::Kept });
                if self.free(&process, at, until + 800) {
                    let end = if term {
                        Fault::Term { process: process.clone() }
                    } else {
                        Fault::Kill { process: process.clone() }
                    };
                    self.step(at, end);
                    self.step(until, Fault::Start { process, disk });
                }
            }
            3..6 => {
                // Shorter than a lease, around it, far over it.
                let lasts = match rng.random_range(0..3) {
                    0 => rng.random_range(20..cast.lease_ms / 2),
                    1 => rng.random_range(cast.lease_ms * 8 / 10..cast.lease_ms * 13 / 10),
                    _ => rng.random_range(2 * cast.lease_ms..4 * cast.lease_ms),
                };
                let server = cast.servers.choose(rng).filter(|_| rng.random_bool(0.25)).cloned();
                let process = server.unwrap_or(process);
                if self.free(&process, at, at + lasts) {
                    self.step(at, Fault::Stop { process: process.clone() });
                    self.step(at + lasts, Fault::Continue { process });
                }
            }
            n => {
                let others: Vec<String> = if cast.peers && n < 9 {
                    cast.instances.iter().filter(|other| **other != process).cloned().collect()
                } else {
                    cast.servers.iter().cloned().chain(["list".to_owned()]).collect()
                };
                let Some(other) = others.choose(rng).cloned() else { return };
                let lasts = rng.random_range(100..3 * cast.lease_ms);
                let impairment = if rng.random_bool(0.6) {
                    Impairment { cut: true, ..Impairment::default() }
                } else {
                    let late = rng.random_range(5..60);
                    let mut part = || if rng.random_bool(0.5) { rng.random_range(5..60) } else { 0 };
                    Impairment {
                        loss_percent: part(),
                        duplicate_percent: part(),
                        reorder_percent: part(),
                        late_duplicate_percent: part(),
                        delay_ms: late,
                        ..Impairment::default()
                    }
                };
                // To all others where it is cut off, else to one; one way or both.
                let all = impairment.cut && cast.peers && rng.random_bool(0.4);
                let (there, back) = [(true, true), (true, false), (false, true)][rng.random_range(0..3)];
                let others = if all { others } else { vec![other] };
                for other in others {
                    let had = self.steps.len();
                    for (from, to) in [(&process, &other), (&other, &process)]
                        .into_iter()
                        .zip([there, back])
                        .filter(|w| w.1)
                        .map(|w| w.0)
                    {
                        if self.free(&format!("{from}>{to}"), at, at + lasts) {
                            self.step(at, Fault::Link { from: from.clone(), to: to.clone(), impairment });
                            self.step(
                                at + lasts,
                                Fault::Link {
                                    from: from.clone(),
                                    to: to.clone(),
                                    impairment: Impairment::default(),
                                },
                            );
                        }
                    }
                    if self.steps.len() > had && rng.random_bool(0.1) {
                        self.step(at + lasts, Fault::Reset { from: process.clone(), to: other });
                    }
                }
            }
        }
    }
}

#[cfg(test)]
mod tests;
