//! The soak runs one process of the program from its start to the kill: clients go on using their open connections
//! while the process receives one signal after another. Hung and slow servers, an unreachable discovery and a crowd of
//! idle clients are drawn from the seed.

pub mod audit;
mod client;
mod plan;

use crate::audit::{Bounds, Verdict};
use crate::history::{Event, EventKind};
use crate::relay::Links;
use crate::rig::{
    History, Instance, InstanceCommand, PROCESS_TIMEOUT, Serving, StubProcess, record, watch_timers,
};
use crate::schedule::{Fault, Impairment};
use crate::stubs::{ListCommand, ListedServer, list_body};
use anyhow::{Context, Result};
use client::{Client, crowd};
use plan::{INSTANCE, SERVER_COUNT, SERVING_MS};
pub use plan::{Plan, SlowServer};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rustix::process::Signal;
use std::cell::Cell;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep_until, timeout};

/// Idle clients of a crowd.
const IDLE_CLIENTS: usize = 60;
/// The platform sends SIGKILL no earlier than the longest deadline and this margin after the terminating signal (see
/// the protocol).
const KILL_MARGIN: Duration = Duration::from_millis(700);

/// A run of the soak.
pub struct Soak {
    /// The lab program, which contains the stubs and the `tether` command.
    pub lab: PathBuf,
    /// The program under test.
    pub program: PathBuf,
    /// The seed of all random draws.
    pub seed: u64,
    /// The auditor's bounds.
    pub bounds: Bounds,
    /// The file for the process's log.
    pub log: Option<PathBuf>,
}

/// The result of a run.
pub struct SoakOutcome {
    /// What was drawn.
    pub plan: Plan,
    /// The auditor's verdict.
    pub verdict: Verdict,
    /// Numbers of requests by result.
    pub counts: audit::Counts,
    /// All events by time.
    pub history: Vec<Event>,
    /// When the clients started.
    pub start: u64,
}

impl Soak {
    /// Runs the soak. All processes that were started have terminated when this returns or is dropped.
    ///
    /// # Errors
    ///
    /// A process can't be started, or one of its files can't be written.
    pub async fn run(&self) -> Result<SoakOutcome> {
        let history = History::default();
        let mut rng = SmallRng::seed_from_u64(self.seed);
        let plan = Plan::draw(&mut rng);
        let links = Links::new(rng.random());
        let mut servers = Vec::new();
        for n in 0..SERVER_COUNT {
            let name = format!("s{n}");
            let seed = rng.random::<u64>().to_string();
            servers.push(StubProcess::start(&self.lab, &["server", &name, "--seed", &seed], &history).await?);
        }
        let mut list = StubProcess::start(&self.lab, &["list", INSTANCE], &history).await?;
        let mut listed = Vec::new();
        for (n, stub) in servers.iter().enumerate() {
            let uid = format!("s{n}");
            let at = links.tcp(INSTANCE, &uid, Rc::new(Cell::new(Some(stub.addresses[0])))).await?;
            listed.push(ListedServer { uid, address: at, model: String::new() });
        }
        let discovery = links.tcp(INSTANCE, "list", Rc::new(Cell::new(Some(list.addresses[0])))).await?;
        let known = list_body(listed.iter().map(|listed| (listed, "up")), true, 1);
        list.send_command(&ListCommand::ReplaceLists([(INSTANCE.to_owned(), listed)].into())).await?;

        let folder = tempfile::tempdir()?;
        let config_path = folder.path().join("config.json");
        let write_config = |rng: &mut SmallRng| -> Result<()> {
            Ok(std::fs::write(
                &config_path,
                plan.sidecar_config(discovery, &known, self.bounds, rng).to_string(),
            )?)
        };
        write_config(&mut rng)?;
        let instance = Instance {
            arguments: vec!["serve".to_owned()],
            log: self.log.clone(),
            ..Instance::new(&self.lab, &self.program, INSTANCE, folder.path().to_owned(), &history)
        };
        let Serving { commands, at, task } = instance.serve().await?;

        let start = crate::clock::now();
        let started_at = Instant::now();
        self.inject_faults(&plan, &links, &servers, &history);
        let client_end = started_at + Duration::from_millis(SERVING_MS) + plan.max_deadline + KILL_MARGIN;
        let mut clients = Vec::new();
        for n in 0..plan.clients {
            let client = Client::new(n, at.clone(), history.clone(), plan.max_deadline, client_end);
            clients.push(actix_rt::spawn(client.run(SmallRng::from_rng(&mut rng))));
        }
        if plan.crowd {
            clients.push(actix_rt::spawn(crowd(at, IDLE_CLIENTS, client_end)));
        }
        let timer_watch = watch_timers(history.clone());
        for signal in &plan.signals {
            sleep_until(started_at + Duration::from_millis(signal.at_ms)).await;
            if matches!(signal.fault, Fault::Reload { .. }) {
                write_config(&mut rng)?;
            }
            let _ = commands.send(InstanceCommand::Fault(signal.fault.clone()));
        }
        sleep_until(client_end).await;
        // The earliest time at which the platform may kill a process that still runs.
        if !history.borrow().iter().any(|event| matches!(event.what, EventKind::Down { .. })) {
            record(&history, EventKind::Overdue { process: INSTANCE.to_owned() });
            let _ = commands.send(InstanceCommand::Fault(Fault::Kill { process: INSTANCE.to_owned() }));
        }
        timer_watch.abort();
        for client in clients {
            timeout(PROCESS_TIMEOUT, client).await.context("a client did not finish in time")??;
        }
        drop(commands);
        timeout(PROCESS_TIMEOUT, task).await.context("the process did not exit in time")??;
        for stub in servers {
            stub.end().await?;
        }
        list.end().await?;
        let mut history = history.take();
        history.sort_by_key(|event| event.at);
        let (verdict, counts) = audit::judge(&history, self.bounds);
        Ok(SoakOutcome { plan, verdict, counts, history, start })
    }

    /// Injects the faults of servers and discovery, which last until the end.
    fn inject_faults(&self, plan: &Plan, links: &Links, servers: &[StubProcess], history: &History) {
        for server in &plan.hung {
            servers[*server].signal(Signal::STOP);
            record(
                history,
                EventKind::FaultInjected { fault: Fault::Stop { process: format!("s{server}") } },
            );
        }
        for SlowServer { server, delay_ms } in plan.slow.iter().copied() {
            links.link(&format!("s{server}"), INSTANCE).set(Impairment { delay_ms, ..Impairment::default() });
        }
        if plan.discovery_down {
            links.link("list", INSTANCE).set(Impairment { cut: true, ..Impairment::default() });
        }
    }
}
