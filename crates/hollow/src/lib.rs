//! Hollow sidecars: the control path as the program has it - the actor that follows discovery over a socket of its own,
//! the list, the settings, the engine's actor with its decision module, windows and probes - and no data path: what the
//! engine sends to a server comes back at once. Hundreds share a process of one thread.
//!
//! What is told of each from outside the code that runs it: the processor time and the memory that its tasks take (read
//! around each poll of all of them), and when a version of the list was in force: at the end of the poll in which the
//! engine's actor logged that it took it, as it does in the program.
//!
//! [`sidecar`] is one of them, [`account`] what is counted of it; this file is the process: orders in, events out. It ends
//! when its standard input does.

#![forbid(unsafe_code)]

pub mod account;
pub mod sidecar;

use account::{Account, LogSubscriber, Metered};
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

/// How often it is told what came in force.
const REPORT_INTERVAL: Duration = Duration::from_millis(50);
/// How often it is told what was counted, in flushes.
const REPORTS_PER_SAMPLE: u32 = 10;

/// What the process is told on its standard input.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Command {
    /// What all sidecars share; once, before all else.
    #[serde(rename = "told")]
    Configure(SharedConfig),
    /// Start these. One that runs starts anew.
    Start(Vec<SidecarSpec>),
    /// End these at once.
    End(Vec<usize>),
}

/// What the process says on its standard output.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Report {
    /// Sidecar, version and the time at which it was in force there, in microseconds of the machine's clock.
    #[serde(rename = "in_force")]
    RevisionsApplied(Vec<(usize, u64, u64)>),
    /// What was counted.
    Sample(Sample),
}

/// What was counted up to a time.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Sample {
    /// When, by the machine's clock in microseconds.
    pub at: u64,
    /// By how much the latest timer was late, in microseconds.
    pub late: u64,
    /// The process's processor time, in microseconds.
    pub cpu: u64,
    /// Its resident memory, in bytes.
    pub memory: u64,
    /// Each sidecar that runs.
    pub sidecars: Vec<SidecarCounts>,
}

/// What was counted of one sidecar since it started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SidecarCounts {
    /// Its number.
    pub sidecar: usize,
    /// Its processor time, in microseconds.
    pub cpu: u64,
    /// Bytes that it has allocated.
    pub memory: u64,
    /// Lists and changes that its engine was told.
    pub deliveries: u64,
    /// Probes that its engine asked for.
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

/// Runs hollow sidecars until standard input ends. `allocated` tells the bytes that this process has allocated.
///
/// # Errors
///
/// An order can't be read.
pub fn run(allocated: fn() -> usize) -> Result<()> {
    // Fails only where one is set already, and then nothing would be heard.
    tracing::subscriber::set_global_default(LogSubscriber).context("the log")?;
    actix_rt::System::new().block_on(async move {
        let applied_revisions = Rc::new(RefCell::new(Vec::new()));
        let running: Rc<RefCell<BTreeMap<usize, Running>>> = Rc::default();
        actix_rt::spawn(report(applied_revisions.clone(), running.clone()));
        let mut shared_state: Option<Rc<sidecar::SharedState>> = None;
        let mut commands = BufReader::with_capacity(1 << 20, stdin()).lines();
        while let Some(line) = commands.next_line().await? {
            match serde_json::from_str(&line).context("an order of the rig's")? {
                Command::Configure(config) => {
                    shared_state = Some(Rc::new(sidecar::SharedState::new(&config)?))
                }
                Command::Start(specs) => {
                    let Some(shared) = &shared_state else {
                        bail!("a start before all that is shared was told")
                    };
                    for spec in specs {
                        // Ended before the new one begins, so that its memory counts as given back.
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

/// Tells what came in force and what was counted, and how late its own timer was.
async fn report(
    applied_revisions: Rc<RefCell<Vec<(usize, u64, u64)>>>,
    running: Rc<RefCell<BTreeMap<usize, Running>>>,
) {
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
            let (at, late) = (now(), late.take());
            let (cpu, memory) = (processor_time(), resident_memory("self"));
            write_report(&Report::Sample(Sample { at, late, cpu, memory, sidecars }));
        }
    }
}
