//! Hollow sidecars: the program's control path (the actor that follows discovery over a socket of its own, the list,
//! the settings, and the engine's actor with its decision module, windows and probes) without a data path: requests
//! that the engine sends to a server are answered immediately. Hundreds of them share a process with one thread.
//!
//! Measured for each sidecar, from outside the code that runs it: the processor time and memory of its tasks (read
//! around each poll of all of them), and when a revision of the list was applied: at the end of the poll in which the
//! engine's actor logged it, as in the program.
//!
//! [`sidecar`] is one hollow sidecar, [`account`] its counters; this file is the process, which reads commands and
//! writes reports. It exits at the end of standard input.

#![forbid(unsafe_code)]

pub mod account;
pub mod sidecar;

use account::{Account, AppliedRevisions, LogSubscriber, Metered};
use anyhow::{Context, Result, bail};
use dunlincleat_trial::clock::now;
use dunlincleat_trial::control::{processor_time, resident_memory, write_report};
use serde::{Deserialize, Serialize};
use sidecar::{SharedConfig, SidecarSpec};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, BufReader, stdin};
use tokio::time::{Instant, interval};

/// How often applied revisions are reported.
const REPORT_INTERVAL: Duration = Duration::from_millis(50);
/// Every how many reports the counters are reported too.
const REPORTS_PER_SAMPLE: u32 = 10;

/// A command on standard input.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Command {
    /// The configuration of all sidecars; sent once, before all other commands.
    #[serde(rename = "told")]
    Configure(SharedConfig),
    /// Start these sidecars; restart those that run.
    Start(Vec<SidecarSpec>),
    /// Stop these sidecars immediately.
    End(Vec<usize>),
}

/// A report on standard output.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Report {
    /// Revisions that were applied since the last report.
    #[serde(rename = "in_force")]
    RevisionsApplied(Vec<AppliedRevision>),
    /// Counters.
    Sample(Sample),
}

/// The application of a revision of the list by a sidecar; written as a tuple.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(usize, u64, u64)", into = "(usize, u64, u64)")]
pub struct AppliedRevision {
    /// The sidecar's number.
    pub sidecar: usize,
    /// The revision.
    pub rev: u64,
    /// When it was applied, in microseconds of the machine's clock.
    pub at: u64,
}

impl From<(usize, u64, u64)> for AppliedRevision {
    fn from((sidecar, rev, at): (usize, u64, u64)) -> AppliedRevision {
        AppliedRevision { sidecar, rev, at }
    }
}

impl From<AppliedRevision> for (usize, u64, u64) {
    fn from(applied: AppliedRevision) -> (usize, u64, u64) {
        (applied.sidecar, applied.rev, applied.at)
    }
}

/// Counters up to a time.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Sample {
    /// The machine's clock, in microseconds.
    pub at: u64,
    /// The largest timer delay since the last sample, in microseconds.
    pub late: u64,
    /// The process's processor time, in microseconds.
    pub cpu: u64,
    /// The process's resident memory, in bytes.
    pub memory: u64,
    /// Each sidecar that runs.
    pub sidecars: Vec<SidecarCounts>,
}

/// Counters of one sidecar since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SidecarCounts {
    /// Its number.
    pub sidecar: usize,
    /// Its processor time, in microseconds.
    pub cpu: u64,
    /// Bytes that it has allocated.
    pub memory: u64,
    /// Lists and changes that its engine received.
    pub deliveries: u64,
    /// Probes that its engine requested.
    pub probes: u64,
}

/// A sidecar that runs.
struct Running {
    account: Rc<Account>,
    task: actix_rt::task::JoinHandle<()>,
}

impl Drop for Running {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Runs hollow sidecars until the end of standard input. `allocated` returns the bytes that this process has allocated.
///
/// # Errors
///
/// A command can't be parsed.
pub fn run(allocated: fn() -> usize) -> Result<()> {
    // Fails only where a subscriber is set already; no log event would be received then.
    tracing::subscriber::set_global_default(LogSubscriber).context("can't set the log subscriber")?;
    actix_rt::System::new().block_on(async move {
        let applied_revisions = Rc::new(RefCell::new(Vec::new()));
        let running: Rc<RefCell<BTreeMap<usize, Running>>> = Rc::default();
        actix_rt::spawn(report(applied_revisions.clone(), running.clone()));
        let mut shared_state: Option<Rc<sidecar::SharedState>> = None;
        let mut commands = BufReader::with_capacity(1 << 20, stdin()).lines();
        while let Some(line) = commands.next_line().await? {
            match serde_json::from_str(&line).context("invalid command")? {
                Command::Configure(config) => {
                    shared_state = Some(Rc::new(sidecar::SharedState::new(&config)?))
                }
                Command::Start(specs) => {
                    let Some(shared) = &shared_state else {
                        bail!("sidecars can't be started before the configuration is sent")
                    };
                    for spec in specs {
                        // Stopped before the new one starts, so that its memory counts as released.
                        running.borrow_mut().remove(&spec.sidecar);
                        let account =
                            Rc::new(Account::new(spec.sidecar, allocated, applied_revisions.clone()));
                        let sidecar_task = sidecar::run(shared.clone(), spec, account.clone());
                        let task = actix_rt::spawn(Metered::new(sidecar_task, account.clone()));
                        running.borrow_mut().insert(account.sidecar, Running { account, task });
                    }
                }
                Command::End(sidecars) => {
                    sidecars.iter().for_each(|sidecar| drop(running.borrow_mut().remove(sidecar)));
                }
            }
        }
        Ok(())
    })
}

/// Reports applied revisions, counters and the delay of its own timer.
async fn report(applied_revisions: AppliedRevisions, running: Rc<RefCell<BTreeMap<usize, Running>>>) {
    let mut ticks = interval(REPORT_INTERVAL);
    let mut tick = 0;
    let late = Cell::new(0);
    loop {
        let due = ticks.tick().await;
        late.set(late.get().max(Instant::now().saturating_duration_since(due).as_micros() as u64));
        let new = applied_revisions.take();
        if !new.is_empty() {
            write_report(&Report::RevisionsApplied(new));
        }
        tick += 1;
        if tick % REPORTS_PER_SAMPLE == 0 {
            let sidecars = running.borrow().values().map(|running| running.account.counts()).collect();
            let at = now();
            let late = late.take();
            let cpu = processor_time();
            let memory = resident_memory("self");
            write_report(&Report::Sample(Sample { at, late, cpu, memory, sidecars }));
        }
    }
}
