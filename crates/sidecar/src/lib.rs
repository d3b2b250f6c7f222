//! The assembly: reads what the sidecar is told, puts the engine between the HTTP front and the transports, follows
//! signals. No request passes through here.

#![forbid(unsafe_code)]

pub mod cli;
mod config;
pub mod logger;

use anyhow::{Context, Result, anyhow, bail};
use config::Config;
use dunlincleat::api::{Reports, Settings, Time};
use dunlincleat_directory::{Follower, Listing, Snapshot};
use dunlincleat_dutyshell::DutyDriver;
use dunlincleat_engine::Shadow;
use dunlincleat_engine::clock::Clock;
use dunlincleat_engine::shell::{Actor, Gauges, mailbox};
use dunlincleat_http::Engine;
use dunlincleat_http::front::{self, InForce};
use dunlincleat_http::list::{self, List};
use dunlincleat_http::own::Own;
use dunlincleat_http::peer::Peers;
use dunlincleat_limits::{Checked, Fleet, RuleSet, Severity};
use dunlincleat_settings::{ClassNumbering, InstanceSettings};
use dunlincleat_status::duty_control::{DutyCommand, DutyControl};
use dunlincleat_status::lifecycle::{Event, StageMachine, StageTiming};
use dunlincleat_status::{Lifecycle, Metrics};
use std::net::TcpListener;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, sleep, timeout_at};

/// From the order to stand by until idle connections are closed: the front asks ten times a second, and sends nothing
/// new 0.2 s after it was told no.
const NOTICE: Duration = Duration::from_millis(700);

/// Before the end of the process, when what is still in hand is answered.
const LAST: Duration = Duration::from_millis(100);

/// Serves until it is told to end. `limits` names the operator's file, before all else that names one.
///
/// # Errors
///
/// What it was told is at fault, its address is in use, or its decisions ended.
pub fn serve(limits: Option<&Path>) -> Result<()> {
    // Before any other descriptor is opened: its number is what it is told by.
    let inherited = config::inherited()?.map(dunlincleat_handover::take_listener);
    let inherited = inherited.transpose().context("EDGE_INHERITED_FD")?;
    actix_rt::System::new().block_on(run(limits, inherited))
}

async fn run(limits: Option<&Path>, inherited: Option<TcpListener>) -> Result<()> {
    // Caught before anything else: an order to read a new file, uncaught, would end the process.
    let mut reload = signal(SignalKind::hangup()).context("SIGHUP")?;
    let mut config = Config::read()?;
    logger::start(config.log, config.form);
    tracing::info!("sidecar {} starts, {} servers known", config.name, config.known.entries.len());
    if let Some((told, machine)) = config.lowered {
        tracing::warn!("limits.sockets is {told}, the machine gives {machine} descriptors: that binds");
    }
    let mut terminate = signal(SignalKind::terminate()).context("SIGTERM")?;
    let mut interrupt = signal(SignalKind::interrupt()).context("SIGINT")?;
    let (site, own) = (config.site.clone(), config.own.clone());
    let mut site = site;
    if site.settings.limits.peer_messages {
        tracing::warn!("messages between sidecars have no protocol yet: the module does without");
        Arc::make_mut(&mut site).settings.limits.peer_messages = false;
        config.site = site.clone();
    }
    // All that can be at fault is tried before anything is served: a second process must not disturb the first.
    let console = config.console.map(|at| dunlincleat_console::bind(at).context("console")).transpose()?;
    let listener = match inherited {
        Some(listener) => shared(listener, &config)?,
        None => front::Listener::Own(config.listen),
    };
    let metrics = Arc::new(Metrics::default());
    let duty_control = Arc::new(DutyControl::default());
    let timing = StageTiming { standby_notice: NOTICE, accept_after_shutdown: config.accept_after_term };
    let lifecycle = Arc::new(Lifecycle::new(StageMachine::new(std::time::Instant::now(), timing)));
    if let Some(console) = console {
        tracing::info!("console at {}", console.local_addr()?);
        dunlincleat_console::start(console, lifecycle.clone(), metrics.clone(), duty_control.clone())?;
    }
    let (engine, mail) = mailbox();
    let (caller, calls) = list::mailbox();
    let clock = Clock::begin();
    let known = kept_list(&own, std::mem::take(&mut config.known), clock.now());
    let mode = site.settings.discovery;
    let (at, interest) = (config.discovery, own.interest.clone());
    let (follower, known) =
        Follower::with_interest(clock.now(), own.watch, mode, at, config.seed, known, interest);
    List::start(follower, clock, own.clone(), engine.clone(), calls);
    let load_probes = site.settings.reports != Reports::Off;
    let peers =
        Peers::new(own.clone(), site.fields.clone().into(), load_probes, engine.clone(), metrics.clone());
    let most = u32::try_from(own.requests).unwrap_or(u32::MAX);
    let mut decides = Engine::new(&site, config.seed, most);
    if let Some(settings) = config.watch.take() {
        tracing::info!("watch: other settings are counted against those in force, and decide nothing");
        // Another seed than any pool's: it shares no draws.
        decides.set_shadow(Shadow::new(settings, &site.settings.fields, !config.seed));
    }
    let gauges = Gauges { metrics: metrics.clone(), sample_avoided: config.console.is_some() };
    let actor = Actor::new(decides, clock, peers, caller.clone(), gauges);
    let mut module = actix_rt::spawn(actor.run(mail, known));
    let named = limits.map(Path::to_path_buf);
    let path = named.clone().or_else(|| config.limits_file.clone());
    let rules = path.map(|path| read_limits(&path, &site)).transpose()?.map(Arc::new);
    if let Some(rules) = &rules {
        engine.rules(rules.clone());
    }
    let (in_force, followed) = watch::channel(Rc::new(InForce::new(site, rules, &metrics)));
    let fleet = in_force.borrow().rules.as_ref().and_then(|rules| rules.fleet().cloned());
    let duties = fleet
        .map(|fleet| stand_for(fleet, &config.name, engine.clone(), followed.clone(), &duty_control))
        .transpose()?;
    let told = front::Told { in_force: followed, own: own.clone(), metrics: metrics.clone() };
    let succession = ClassNumbering::default();
    let (list, handle) = (caller, engine.clone());
    let mut reloads = Reload { named, succession, engine: handle, list, in_force, metrics, clock };
    let mut front = actix_rt::spawn(front::serve(listener, told, engine, lifecycle.clone()));
    let ticking = lifecycle.clone();
    actix_rt::spawn(async move { ticking.run().await });
    loop {
        tokio::select! {
            end = &mut front => return end.context("the server ended")?,
            // Without its decisions it cannot serve: ended here, it is started again.
            end = &mut module => return end.context("the module ended").and(Err(anyhow!("the module ended"))),
            _ = reload.recv() => reloads.reload(&mut config),
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
        }
    }
    let told = Instant::now();
    tracing::info!(
        "told to end: serving on for {:?}, then answering what was taken",
        config.accept_after_term
    );
    lifecycle.apply(Event::Shutdown);
    // What it holds alone is handed on first, while it serves on.
    duties.iter().for_each(|duties| drop(duties.send(DutyCommand::Shutdown)));
    let end = told + config.end_after_term;
    let ended = match timeout_at(end - LAST.min(config.end_after_term / 2), &mut front).await {
        Ok(ended) => Ok(ended),
        Err(_) => {
            lifecycle.apply(Event::Abort);
            timeout_at(end, front).await
        }
    };
    match ended {
        Ok(end) => end.context("the server ended")??,
        Err(_) => tracing::warn!("connections still open at the end"),
    }
    tracing::info!("sidecar {} ends", config.name);
    Ok(())
}

/// Stands for duties beside the others of the fleet; gives where its orders go.
fn stand_for(
    fleet: Arc<Fleet>,
    name: &str,
    engine: dunlincleat_http::Handle,
    in_force: watch::Receiver<Rc<InForce>>,
    duty_control: &Arc<DutyControl>,
) -> Result<mpsc::UnboundedSender<DutyCommand>> {
    let (send, orders) = mpsc::unbounded_channel();
    let shell = DutyDriver::open(fleet, name, engine, in_force, duty_control.clone(), orders)?;
    let by_console = send.clone();
    duty_control.set_receiver(move |order| drop(by_console.send(order)));
    actix_rt::spawn(shell.run());
    Ok(send)
}

/// Takes up the listening socket that the platform holds: from here on other processes of this sidecar may run, which are
/// one with it by its limits.
fn shared(listener: TcpListener, config: &Config) -> Result<front::Listener> {
    dunlincleat_handover::check_address(&listener, config.listen).context("EDGE_INHERITED_FD")?;
    tracing::info!("the listening socket is the platform's, held by every process of this sidecar");
    match dunlincleat_handover::Presence::acquire(&std::env::temp_dir(), &config.name) {
        Ok(presence) => drop(actix_rt::spawn(beside_another(presence, config.own.clone()))),
        Err(error) => tracing::warn!("another process of this sidecar will not be seen: {error:#}"),
    }
    Ok(front::Listener::Shared(listener))
}

/// How often it is looked at whether another process of this sidecar runs.
const LOOK: Duration = Duration::from_millis(200);

/// Keeps to half of the bounds for as long as another process of this sidecar runs.
async fn beside_another(presence: dunlincleat_handover::Presence, own: Rc<Own>) {
    loop {
        let other = presence.has_peer();
        if own.halved.replace(other) != other {
            let (clients, servers) = (own.clients_now(), own.servers_now());
            let is = if other { "runs" } else { "runs no more" };
            tracing::info!(
                "another process of this sidecar {is}: {clients} connections of clients, {servers} to servers"
            );
        }
        sleep(LOOK).await;
    }
}

/// What a reload reaches.
struct Reload {
    /// The operator's file that the command line names, before all else.
    named: Option<PathBuf>,
    succession: ClassNumbering,
    engine: dunlincleat_http::Handle,
    list: list::Caller,
    in_force: watch::Sender<Rc<InForce>>,
    metrics: Arc<Metrics>,
    clock: Clock,
}

impl Reload {
    /// Takes up a new configuration, whole or not at all. Requests, connections and what the module has learnt stay.
    fn reload(&mut self, config: &mut Config) {
        match self.take_up(config) {
            Ok(()) => self.metrics.reloads.increment(),
            Err(error) => {
                self.metrics.reload_errors.increment();
                tracing::error!("SIGHUP: going on with the old configuration: {error:#}");
            }
        }
    }

    fn take_up(&mut self, config: &mut Config) -> Result<()> {
        let new = Config::reread()?;
        if let Some(key) = config.lacking(&new) {
            bail!("EDGE_CONFIG: {key} is missing; the file in force has it, and a start alone does without");
        }
        // All is proved before any of it counts.
        let mut told = InstanceSettings::clone(&new.site);
        told.settings.limits.peer_messages = false;
        let mut succession = self.succession.clone();
        let next = succession.apply(self.clock.now(), &config.site, told);
        let site = Arc::new(next.instance);
        let path = self.named.clone().or_else(|| new.limits_file.clone());
        let rules = path.map(|path| read_limits(&path, &site)).transpose()?.map(Arc::new);
        let held = self.in_force.borrow().rules.as_ref().and_then(|rules| rules.fleet().cloned());
        let told_fleet = rules.as_ref().and_then(|rules| rules.fleet().cloned());
        let other_fleet = (held != told_fleet).then_some("fleet");
        let later: Vec<&str> =
            config.differs(&new).into_iter().chain(next.restart_only).chain(other_fleet).collect();

        self.succession = succession;
        logger::set_level(new.log);
        tracing::info!("SIGHUP: new configuration, discovery at {}", new.discovery);
        if !later.is_empty() {
            tracing::warn!("SIGHUP: taken up only at the next start: {}", later.join(", "));
        }
        if new.discovery != config.discovery {
            self.list.moved(new.discovery);
        }
        // The engine hears of all of it before any request under it.
        let watched = new.watch.clone().map(|watched| beside(watched, &new.site, &site));
        self.engine.settings(site.clone(), watched);
        let had = self.in_force.borrow().rules.is_some();
        let rules = match rules {
            // No file is named any more: nothing is narrowed.
            None if had => {
                tracing::info!("SIGHUP: no limits any more");
                Some(Arc::new(RuleSet::unrestricted()))
            }
            rules => rules,
        };
        if let Some(rules) = &rules {
            self.engine.rules(rules.clone());
        }
        self.in_force.send_replace(Rc::new(InForce::new(site.clone(), rules, &self.metrics)));
        config.took(new, site);
        Ok(())
    }
}

/// Settings that are only watched, with their classes under the numbers of those in force.
fn beside(mut watched: Settings, told: &InstanceSettings, site: &InstanceSettings) -> Settings {
    let own = std::mem::replace(&mut watched.classes, site.settings.classes.clone());
    for (name, class) in told.classes.iter().zip(own) {
        if let Some(n) = site.classes.iter().position(|held| held == name) {
            watched.classes[n] = class;
        }
    }
    watched
}

/// Reads the operator's file and proves it against the settings; a file at fault changes nothing.
fn read_limits(path: &Path, site: &InstanceSettings) -> Result<RuleSet> {
    let text = std::fs::read_to_string(path).with_context(|| format!("limits '{}'", path.display()))?;
    let Checked { faults, rules: read } = dunlincleat_limits::check(&text, site);
    let (errors, warnings): (Vec<_>, Vec<_>) =
        faults.iter().partition(|fault| fault.severity == Severity::Error);
    for warning in warnings {
        tracing::warn!("limits {}:{warning}", path.display());
    }
    let Some(read) = read else {
        let faults: Vec<String> = errors.iter().map(ToString::to_string).collect();
        bail!("limits '{}' refused, {} faults: {}", path.display(), faults.len(), faults.join(" | "));
    };
    let (routes, pools) = (read.rules().count() - 1, read.pools().len());
    tracing::info!("limits {} taken up: {routes} routes, {pools} pools", path.display());
    Ok(read)
}

/// The list to start from: the one that was kept on disk, where that is of a later version than the one told.
fn kept_list(own: &Own, told: Listing, now: Time) -> Listing {
    let Some(path) = &own.list_file else { return told };
    let read = match std::fs::read(path) {
        Ok(bytes) => Snapshot::decode(&bytes),
        Err(error) if error.kind() == std::io::ErrorKind::NotFound => return told,
        Err(error) => Err(error.into()),
    };
    match read {
        // What changed after its version would not bring the servers of a service that it left out.
        Ok(kept) if kept.interest != own.interest => {
            tracing::info!("list kept in {}: it is of other services, and not used", path.display());
            told
        }
        Ok(kept) if kept.listing.rev > told.rev => {
            let (rev, age) = (kept.listing.rev, kept.age(now).0 / 1_000_000);
            tracing::info!("list kept in {}: revision {rev}, {age} s old", path.display());
            kept.listing
        }
        Ok(kept) => {
            let (rev, told_rev) = (kept.listing.rev, told.rev);
            tracing::info!(
                "list kept in {}: revision {rev} is not used, {told_rev} was told",
                path.display()
            );
            told
        }
        Err(error) => {
            tracing::warn!("list kept in {} is not used: {error:#}", path.display());
            told
        }
    }
}
