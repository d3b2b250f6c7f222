//! A soak of one process of the program from its start to the kill: clients go on using their open connections while it is
//! signalled again and again, with hung and slow servers, discovery down and a crowd of idle clients drawn from the seed.

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
use plan::{NAME, SERVERS, SERVES_MS};
pub use plan::{Plan, SlowServer};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rustix::process::Signal;
use std::cell::Cell;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep_until, timeout};

/// Clients of a crowd, all idle.
const CROWD: usize = 60;
/// SIGKILL comes no sooner than the longest deadline and this after the signal that ends the process (the protocol page).
const KILL_MARGIN: Duration = Duration::from_millis(700);

/// A run of the soak.
pub struct Soak {
    /// The program that holds the stand-ins and the tie.
    pub lab: PathBuf,
    /// The program under test.
    pub program: PathBuf,
    /// The seed of all that is drawn.
    pub seed: u64,
    /// What is judged by.
    pub bounds: Bounds,
    /// Where the process's log is kept.
    pub log: Option<PathBuf>,
}

/// What came of a run.
pub struct SoakOutcome {
    /// What was drawn.
    pub plan: Plan,
    /// What is judged.
    pub verdict: Verdict,
    /// Counts of what became of the requests.
    pub counts: audit::Counts,
    /// All that was seen, by time.
    pub history: Vec<Event>,
    /// When the clients began.
    pub start: u64,
}

impl Soak {
    /// Plays it to its end. All that was started has ended when this returns, or is dropped.
    ///
    /// # Errors
    ///
    /// A process can't be started, or what it is told can't be written.
    pub async fn run(&self) -> Result<SoakOutcome> {
        let history = History::default();
        let mut rng = SmallRng::seed_from_u64(self.seed);
        let plan = Plan::draw(&mut rng);
        let ways = Links::new(rng.random());
        let mut servers = Vec::new();
        for n in 0..SERVERS {
            let (name, seed) = (format!("s{n}"), rng.random::<u64>().to_string());
            servers.push(StubProcess::start(&self.lab, &["server", &name, "--seed", &seed], &history).await?);
        }
        let mut list = StubProcess::start(&self.lab, &["list", NAME], &history).await?;
        let mut listed = Vec::new();
        for (n, stand) in servers.iter().enumerate() {
            let uid = format!("s{n}");
            let at = ways.tcp(NAME, &uid, Rc::new(Cell::new(Some(stand.on[0])))).await?;
            listed.push(ListedServer { uid, address: at, model: String::new() });
        }
        let discovery = ways.tcp(NAME, "list", Rc::new(Cell::new(Some(list.on[0])))).await?;
        let known = list_body(listed.iter().map(|listed| (listed, "up")), true, 1);
        list.tell(&ListCommand::ReplaceLists([(NAME.to_owned(), listed)].into())).await?;

        let folder = tempfile::tempdir()?;
        let file = folder.path().join("config.json");
        let write = |rng: &mut SmallRng| -> Result<()> {
            Ok(std::fs::write(&file, plan.sidecar_config(discovery, &known, self.bounds, rng).to_string())?)
        };
        write(&mut rng)?;
        let instance = Instance {
            arguments: vec!["serve".to_owned()],
            log: self.log.clone(),
            ..Instance::new(&self.lab, &self.program, NAME, folder.path().to_owned(), &history)
        };
        let Serving { orders, at, task } = instance.serve().await?;

        let start = crate::clock::now();
        let begun = Instant::now();
        self.disturb(&plan, &ways, &servers, &history);
        let over = begun + Duration::from_millis(SERVES_MS) + plan.max_deadline + KILL_MARGIN;
        let mut clients = Vec::new();
        for n in 0..plan.clients {
            let client = Client::new(n, at.clone(), history.clone(), plan.max_deadline, over);
            clients.push(actix_rt::spawn(client.run(SmallRng::from_rng(&mut rng))));
        }
        if plan.crowd {
            clients.push(actix_rt::spawn(crowd(at, CROWD, over)));
        }
        let watches = watch_timers(history.clone());
        for signal in &plan.signals {
            sleep_until(begun + Duration::from_millis(signal.at_ms)).await;
            if matches!(signal.fault, Fault::Reload { .. }) {
                write(&mut rng)?;
            }
            let _ = orders.send(InstanceCommand::Fault(signal.fault.clone()));
        }
        sleep_until(over).await;
        // The kill at the page's earliest, of a process that has not ended by then.
        if !history.borrow().iter().any(|event| matches!(event.what, EventKind::Down { .. })) {
            record(&history, EventKind::Overdue { process: NAME.to_owned() });
            let _ = orders.send(InstanceCommand::Fault(Fault::Kill { process: NAME.to_owned() }));
        }
        watches.abort();
        for client in clients {
            timeout(PROCESS_TIMEOUT, client).await.context("a client does not end")??;
        }
        drop(orders);
        timeout(PROCESS_TIMEOUT, task).await.context("the process does not end")??;
        for stand in servers {
            stand.end().await?;
        }
        list.end().await?;
        let mut history = history.take();
        history.sort_by_key(|event| event.at);
        let (verdict, counts) = audit::judge(&history, self.bounds);
        Ok(SoakOutcome { plan, verdict, counts, history, start })
    }

    /// What goes wrong with servers and discovery, from the beginning to the end.
    fn disturb(&self, plan: &Plan, ways: &Links, servers: &[StubProcess], history: &History) {
        for server in &plan.hung {
            servers[*server].signal(Signal::STOP);
            record(
                history,
                EventKind::FaultInjected { fault: Fault::Stop { process: format!("s{server}") } },
            );
        }
        for SlowServer { server, delay_ms } in plan.slow.iter().copied() {
            ways.link(&format!("s{server}"), NAME).set(Impairment { delay_ms, ..Impairment::default() });
        }
        if plan.discovery_down {
            ways.link("list", NAME).set(Impairment { cut: true, ..Impairment::default() });
        }
    }
}
