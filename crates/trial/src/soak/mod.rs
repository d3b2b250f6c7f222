//! A soak of one process of the program from its start to the kill: clients go on using their open connections while it is
//! signalled again and again, with hung and slow servers, discovery down and a crowd of idle clients drawn from the seed.

pub mod audit;
mod client;

use crate::audit::{Bounds, Verdict};
use crate::history::{Event, What};
use crate::relay::{Target, Ways};
use crate::rig::{Do, History, Instance, PATIENCE, Stand, Times, config, saw, watch_timers};
use crate::schedule::{Fault, Ill};
use crate::stands::{Listed, Order, form};
use anyhow::{Context, Result, anyhow, bail};
use client::{Client, crowd};
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rustix::process::Signal;
use serde_json::{Value, json};
use std::cell::Cell;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc::{UnboundedSender, unbounded_channel};
use tokio::sync::watch;
use tokio::time::{Instant, sleep_until, timeout};

/// The one instance.
const NAME: &str = "n0";
/// Stand-in servers.
const SERVERS: usize = 4;
/// How long clients ask before the process is told to end.
const SERVES: Duration = Duration::from_millis(2500);
/// For how long after that the process still takes new connections: every second further signal comes within it.
const STILL_SERVES: Duration = Duration::from_millis(500);
/// SIGKILL comes no sooner than the longest deadline and this after the signal that ends the process (the protocol page).
const KILL_MARGIN: Duration = Duration::from_millis(700);
/// What the process is told that it may hold where a crowd comes, and what clients and servers have of it.
const CROWDED_SOCKETS: usize = 104;
const CROWDED_CLIENTS: usize = 36;
const CROWDED_SERVERS: usize = 8;
/// Idle clients of a crowd.
const CROWD: usize = 60;

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

/// What the seed draws.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The longest deadline.
    pub wait: Duration,
    /// Clients that ask.
    pub clients: usize,
    /// Idle clients hold every place that there is.
    pub crowd: bool,
    /// Discovery can't be reached from here on.
    pub discovery_down: bool,
    /// Servers that stand still, and those that answer late by so many milliseconds.
    pub hung: Vec<usize>,
    /// The same.
    pub slow: Vec<(usize, u64)>,
    /// Signals and when they are sent, from when the clients began; the first that ends the process is sent at `SERVES`.
    pub signals: Vec<(Duration, Fault)>,
}

/// What came of a run.
pub struct Soaked {
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

impl Plan {
    /// Draws a plan.
    #[must_use]
    pub fn draw(rng: &mut SmallRng) -> Plan {
        let wait = Duration::from_millis(rng.random_range(300..=3000));
        let mut servers: Vec<usize> = (0..SERVERS).collect();
        servers.shuffle(rng);
        let hung = servers.split_off(SERVERS - rng.random_range(0..=2));
        let late = rng.random_range(0..=1);
        let slow = servers[..late].iter().map(|server| (*server, rng.random_range(20..=200))).collect();
        let who = NAME.to_owned();
        let ends = |interrupt: bool| {
            if interrupt { Fault::Interrupt { who: who.clone() } } else { Fault::Term { who: who.clone() } }
        };
        let reload = || Fault::Reload { who: who.clone() };
        let mut signals = vec![(SERVES, ends(rng.random_bool(0.3)))];
        // In series, while it serves and after it was told to end.
        for _ in 0..rng.random_range(2..=5) {
            signals.push((SERVES.mul_f64(rng.random_range(0.1..1.0)), reload()));
        }
        for n in 0..rng.random_range(2..=5) {
            let within = if n % 2 == 0 { STILL_SERVES.min(wait) } else { wait };
            let after = SERVES + within.mul_f64(rng.random::<f64>());
            signals.push((after, if rng.random_bool(0.4) { reload() } else { ends(rng.random_bool(0.5)) }));
        }
        // At once with the one that ends it.
        if rng.random_bool(0.5) {
            signals.push((SERVES, reload()));
            signals.push((SERVES, ends(rng.random_bool(0.5))));
        }
        signals.sort_by_key(|(at, _)| *at);
        Plan {
            wait,
            clients: rng.random_range(12..=24),
            crowd: rng.random_bool(0.3),
            discovery_down: rng.random_bool(0.3),
            hung,
            slow,
            signals,
        }
    }

    /// The configuration of the process, another at each reload.
    fn config(&self, discovery: SocketAddr, known: &Value, bounds: Bounds, rng: &mut SmallRng) -> Value {
        let aim = self.wait.mul_f64(rng.random_range(0.3..1.0));
        let times = Times { aim, wait: self.wait, grace: bounds.grace };
        let mut config = config(times, NAME, discovery, known, rng.random());
        config["settings"]["limits"]["try_limit"] = json!(rng.random_range(2..=4));
        if self.crowd {
            config["limits"] = json!({"cores": 1.0, "memory_mb": 192, "sockets": CROWDED_SOCKETS});
            config["sidecar"] =
                json!({"client_connections": CROWDED_CLIENTS, "server_connections": CROWDED_SERVERS});
        }
        config
    }
}

/// The process under test while it is played with.
struct Rig {
    orders: UnboundedSender<Do>,
    at: Rc<Cell<Option<SocketAddr>>>,
    history: History,
    task: actix_rt::task::JoinHandle<()>,
}

impl Soak {
    /// Plays it to its end. All that was started has ended when this returns, or is dropped.
    ///
    /// # Errors
    ///
    /// A process can't be started, or what it is told can't be written.
    pub async fn play(&self) -> Result<Soaked> {
        let history = History::default();
        let mut rng = SmallRng::seed_from_u64(self.seed);
        let plan = Plan::draw(&mut rng);
        let ways = Ways::new(rng.random());
        let mut servers = Vec::new();
        for n in 0..SERVERS {
            let (name, seed) = (format!("s{n}"), rng.random::<u64>().to_string());
            servers.push(Stand::start(&self.lab, &["server", &name, "--seed", &seed], &history).await?);
        }
        let mut list = Stand::start(&self.lab, &["list", NAME], &history).await?;
        let mut listed = Vec::new();
        for (n, stand) in servers.iter().enumerate() {
            let uid = format!("s{n}");
            let at = ways.tcp(NAME, &uid, Rc::new(Cell::new(Some(stand.on[0])))).await?;
            listed.push(Listed { uid, at, model: String::new() });
        }
        let discovery = ways.tcp(NAME, "list", Rc::new(Cell::new(Some(list.on[0])))).await?;
        let known = form(listed.iter().map(|listed| (listed, "up")), true, 1);
        list.tell(&Order::Hold([(NAME.to_owned(), listed)].into())).await?;

        let folder = tempfile::tempdir()?;
        let file = folder.path().join("config.json");
        let write = |rng: &mut SmallRng| -> Result<()> {
            Ok(std::fs::write(&file, plan.config(discovery, &known, self.bounds, rng).to_string())?)
        };
        write(&mut rng)?;
        let rig = self.start(folder.path(), &history).await?;

        let start = crate::clock::now();
        let begun = Instant::now();
        self.disturb(&plan, &ways, &servers, &history);
        let over = begun + SERVES + plan.wait + KILL_MARGIN;
        let mut clients = Vec::new();
        for n in 0..plan.clients {
            let client = Client::new(n, rig.at.clone(), history.clone(), plan.wait, over);
            clients.push(actix_rt::spawn(client.run(SmallRng::from_rng(&mut rng))));
        }
        if plan.crowd {
            clients.push(actix_rt::spawn(crowd(rig.at.clone(), CROWD, over)));
        }
        let watches = watch_timers(history.clone());
        for (after, signal) in &plan.signals {
            sleep_until(begun + *after).await;
            if matches!(signal, Fault::Reload { .. }) {
                write(&mut rng)?;
            }
            let _ = rig.orders.send(Do::Fault(signal.clone()));
        }
        sleep_until(over).await;
        rig.kill_if_alive();
        watches.abort();
        for client in clients {
            timeout(PATIENCE, client).await.context("a client does not end")??;
        }
        drop(rig.orders);
        timeout(PATIENCE, rig.task).await.context("the process does not end")??;
        for stand in servers {
            stand.end().await?;
        }
        list.end().await?;
        let mut history = history.take();
        history.sort_by_key(|event| event.at);
        let (verdict, counts) = audit::judge(&history, self.bounds);
        Ok(Soaked { plan, verdict, counts, history, start })
    }

    async fn start(&self, folder: &Path, history: &History) -> Result<Rig> {
        let at = Rc::new(Cell::new(None));
        let instance = Instance {
            lab: self.lab.clone(),
            program: self.program.clone(),
            arguments: vec!["serve".to_owned()],
            name: NAME.to_owned(),
            folder: folder.to_owned(),
            log: self.log.clone(),
            at: at.clone(),
            history: history.clone(),
            process: None,
            told: false,
            member: Target::default(),
            plant: None,
        };
        let (orders, mail) = unbounded_channel();
        let (begun, mut begins) = watch::channel(None);
        let task = actix_rt::spawn(instance.run(mail, begun));
        let begun = begins.wait_for(Option::is_some).await.map_err(|_| anyhow!("it was not started"))?;
        if let Some(Err(error)) = &*begun {
            bail!("{error}");
        }
        Ok(Rig { orders, at, history: history.clone(), task })
    }

    /// What goes wrong with servers and discovery, from the beginning to the end.
    fn disturb(&self, plan: &Plan, ways: &Ways, servers: &[Stand], history: &History) {
        for server in &plan.hung {
            servers[*server].signal(Signal::STOP);
            saw(history, What::Did { fault: Fault::Stop { who: format!("s{server}") } });
        }
        for (server, delay_ms) in &plan.slow {
            ways.way(&format!("s{server}"), NAME).set(Ill { delay_ms: *delay_ms, ..Ill::default() });
        }
        if plan.discovery_down {
            ways.way("list", NAME).set(Ill { cut: true, ..Ill::default() });
        }
    }
}

impl Rig {
    /// The kill at the page's earliest, of a process that has not ended by then.
    fn kill_if_alive(&self) {
        let ended = self.history.borrow().iter().any(|event| matches!(event.what, What::Down { .. }));
        if !ended {
            saw(&self.history, What::Overdue { who: NAME.to_owned() });
            let _ = self.orders.send(Do::Fault(Fault::Kill { who: NAME.to_owned() }));
        }
    }
}
