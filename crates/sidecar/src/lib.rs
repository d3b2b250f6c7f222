//! Assembly of the sidecar process: reads the configuration, connects the engine with the HTTP front and the transports,
//! and handles signals. No request passes through this crate.

#![forbid(unsafe_code)]

mod allocator;
pub mod cli;
mod config;
pub mod logger;

use anyhow::{Context, Result, anyhow, bail};
use config::{Config, DescriptorLimits};
use dunlincleat::api::{Reports, Settings, Time};
use dunlincleat_directory::{Follower, Listing, Snapshot};
use dunlincleat_dutyshell::DutyDriver;
use dunlincleat_engine::Shadow;
use dunlincleat_engine::clock::Clock;
use dunlincleat_engine::shell::{Actor, Gauges, mailbox};
use dunlincleat_http::Engine;
use dunlincleat_http::front::{self, ActiveSettings};
use dunlincleat_http::list::{self, List};
use dunlincleat_http::options::HttpOptions;
use dunlincleat_http::peer::Peers;
use dunlincleat_limits::{Checked, Fleet, RuleSet, Severity};
use dunlincleat_settings::{InstanceSettings, transition};
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
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep, timeout_at};

/// From the standby command until idle connections are closed: the load balancer in front polls `/healthz` ten times a
/// second and sends nothing new 0.2 s after the check fails.
const STANDBY_NOTICE: Duration = Duration::from_millis(700);

/// How long before the exit deadline the requests still in flight are answered.
const ABORT_MARGIN: Duration = Duration::from_millis(100);

/// Serves until a signal terminates the process. `limits` names the limits file and takes precedence over the environment
/// and the configuration.
///
/// # Errors
///
/// The configuration is invalid, an address is in use, or the decision module stopped.
pub fn serve(limits: Option<&Path>) -> Result<()> {
    // Taken before any other descriptor is opened, as the listener is identified by its number alone.
    let inherited = config::inherited_descriptor()?.map(dunlincleat_handover::take_listener);
    let inherited = inherited.transpose().context("EDGE_INHERITED_FD")?;
    actix_rt::System::new().block_on(run(limits, inherited))
}

async fn run(limits: Option<&Path>, inherited: Option<TcpListener>) -> Result<()> {
    // Installed before anything else: the default action of SIGHUP would terminate the process.
    let mut hangup = signal(SignalKind::hangup()).context("SIGHUP")?;
    let mut config = Config::read()?;
    logger::start(config.log_level, config.log_format);
    tracing::info!("sidecar {} starts, {} servers known", config.name, config.known_servers.entries.len());
    if let Some(lowered) = config.lowered_descriptors {
        let DescriptorLimits { configured, actual } = lowered;
        tracing::warn!(
            "limits.sockets is {configured}, but the limit on open files is {actual}: using {actual}"
        );
    }
    let mut terminate = signal(SignalKind::terminate()).context("SIGTERM")?;
    let mut interrupt = signal(SignalKind::interrupt()).context("SIGINT")?;
    let options = config.options.clone();
    let mut settings = config.settings.clone();
    if settings.settings.limits.peer_messages {
        tracing::warn!(
            "limits.peers is not supported: there is no protocol for messages between sidecars; ignored"
        );
        Arc::make_mut(&mut settings).settings.limits.peer_messages = false;
        config.settings = settings.clone();
    }
    // Everything that can fail is tried before the first request is served: a second process must not disturb the first.
    let console =
        config.console.map(|address| dunlincleat_console::bind(address).context("console")).transpose()?;
    let listener = match inherited {
        Some(listener) => share_listener(listener, &config)?,
        None => front::Listener::Bind(config.listen),
    };
    let metrics = Arc::new(Metrics::default());
    let duty_control = Arc::new(DutyControl::default());
    let timing =
        StageTiming { standby_notice: STANDBY_NOTICE, accept_after_shutdown: config.accept_after_term };
    let lifecycle = Arc::new(Lifecycle::new(StageMachine::new(std::time::Instant::now(), timing)));
    if let Some(console) = console {
        tracing::info!("console at {}", console.local_addr()?);
        dunlincleat_console::start(console, lifecycle.clone(), metrics.clone(), duty_control.clone())?;
    }
    let (engine, engine_mailbox) = mailbox();
    let (list_handle, list_mailbox) = list::mailbox();
    let clock = Clock::begin();
    let known_servers = initial_list(&options, std::mem::take(&mut config.known_servers), clock.now());
    let (follower, known_servers) = Follower::with_interest(
        clock.now(),
        options.watch_timing,
        settings.settings.discovery,
        config.discovery,
        config.seed,
        known_servers,
        options.interest.clone(),
    );
    List::start(follower, clock, options.clone(), engine.clone(), list_mailbox);
    let load_probes = settings.settings.reports != Reports::Off;
    let fields = settings.fields.clone().into();
    let peers = Peers::new(options.clone(), fields, load_probes, engine.clone(), metrics.clone());
    let max_requests = u32::try_from(options.max_requests).unwrap_or(u32::MAX);
    let mut decision_engine = Engine::new(&settings, config.seed, max_requests);
    if let Some(shadow_settings) = config.shadow_settings.take() {
        tracing::info!("watch: shadow settings are evaluated beside the active ones and affect no request");
        // Not the seed of any pool, so that the shadow shares no random draws with them.
        decision_engine.set_shadow(Shadow::new(shadow_settings, &settings.settings.fields, !config.seed));
    }
    let gauges = Gauges { metrics: metrics.clone(), sample_avoided: config.console.is_some() };
    let actor = Actor::new(decision_engine, clock, peers, list_handle.clone(), gauges);
    let mut decision_task = actix_rt::spawn(actor.run(engine_mailbox, known_servers));
    let limits_argument = limits.map(Path::to_path_buf);
    let limits_file = limits_argument.clone().or_else(|| config.limits_file.clone());
    let rules = limits_file.map(|path| read_limits(&path, &settings)).transpose()?.map(Arc::new);
    if let Some(rules) = &rules {
        engine.rules(rules.clone());
    }
    let (active, active_receiver) = watch::channel(Rc::new(ActiveSettings::new(settings, rules, &metrics)));
    let fleet = active.borrow().rules.as_ref().and_then(|rules| rules.fleet().cloned());
    let duties = fleet
        .map(|fleet| {
            start_duties(fleet, &config.name, engine.clone(), active_receiver.clone(), &duty_control)
        })
        .transpose()?;
    let front_config =
        front::FrontConfig { active: active_receiver, options: options.clone(), metrics: metrics.clone() };
    let mut reloader =
        Reloader { limits_argument, engine: engine.clone(), list: list_handle, active, metrics };
    let mut front_task = actix_rt::spawn(front::serve(listener, front_config, engine, lifecycle.clone()));
    let ticking = lifecycle.clone();
    actix_rt::spawn(async move { ticking.run().await });
    loop {
        tokio::select! {
            result = &mut front_task => return result.context("the HTTP server stopped")?,
            // Without decisions no request can be served. The process exits and its supervisor restarts it.
            result = &mut decision_task => {
                let stopped = "the decision module stopped";
                return result.context(stopped).and(Err(anyhow!(stopped)));
            }
            _ = hangup.recv() => reloader.reload(&mut config),
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
        }
    }
    shut_down(&config, &lifecycle, duties, front_task).await?;
    tracing::info!("sidecar {} stopped", config.name);
    Ok(())
}

/// Drains the process: keeps accepting for `accept_after_term`, hands over the duties, completes the requests in flight,
/// and returns within `end_after_term`.
async fn shut_down(
    config: &Config,
    lifecycle: &Lifecycle,
    duties: Option<mpsc::UnboundedSender<DutyCommand>>,
    mut front_task: JoinHandle<Result<()>>,
) -> Result<()> {
    let started_at = Instant::now();
    tracing::info!(
        "shutting down: accepting requests for {:?}, then completing those in flight",
        config.accept_after_term
    );
    lifecycle.apply(Event::Shutdown);
    // Duties are handed over first, while requests are still served.
    if let Some(duties) = &duties {
        drop(duties.send(DutyCommand::Shutdown));
    }
    let deadline = started_at + config.end_after_term;
    let abort_at = deadline - ABORT_MARGIN.min(config.end_after_term / 2);
    let outcome = match timeout_at(abort_at, &mut front_task).await {
        Ok(result) => Ok(result),
        Err(_) => {
            lifecycle.apply(Event::Abort);
            timeout_at(deadline, front_task).await
        }
    };
    match outcome {
        Ok(result) => result.context("the HTTP server stopped")??,
        Err(_) => tracing::warn!("connections still open at the exit deadline"),
    }
    Ok(())
}

/// Starts the member that competes for the duties of the fleet; returns the sender of its commands.
fn start_duties(
    fleet: Arc<Fleet>,
    name: &str,
    engine: dunlincleat_http::Handle,
    active: watch::Receiver<Rc<ActiveSettings>>,
    duty_control: &Arc<DutyControl>,
) -> Result<mpsc::UnboundedSender<DutyCommand>> {
    let (commands, command_receiver) = mpsc::unbounded_channel();
    let driver = DutyDriver::open(fleet, name, engine, active, duty_control.clone(), command_receiver)?;
    let console_commands = commands.clone();
    duty_control.set_receiver(move |command| drop(console_commands.send(command)));
    actix_rt::spawn(driver.run());
    Ok(commands)
}

/// Uses the listening socket that the platform holds. Other processes of this sidecar may then run at the same time, and
/// share its limits.
fn share_listener(listener: TcpListener, config: &Config) -> Result<front::Listener> {
    dunlincleat_handover::check_address(&listener, config.listen).context("EDGE_INHERITED_FD")?;
    tracing::info!("using the listening socket of the platform, shared by every process of this sidecar");
    match dunlincleat_handover::Presence::acquire(&std::env::temp_dir(), &config.name) {
        Ok(presence) => drop(actix_rt::spawn(watch_for_peer_process(presence, config.options.clone()))),
        Err(error) => tracing::warn!("cannot detect other processes of this sidecar: {error:#}"),
    }
    Ok(front::Listener::Shared(listener))
}

/// Interval between checks for another process of this sidecar.
const PRESENCE_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Halves the connection limits while another process of this sidecar is running.
async fn watch_for_peer_process(presence: dunlincleat_handover::Presence, options: Rc<HttpOptions>) {
    loop {
        let has_peer = presence.has_peer();
        if options.limits_halved.replace(has_peer) != has_peer {
            let clients = options.client_connection_limit();
            let servers = options.server_connection_limit();
            let state = if has_peer { "is running" } else { "has stopped" };
            tracing::info!(
                "another process of this sidecar {state}: limits are {clients} client and {servers} server connections"
            );
        }
        sleep(PRESENCE_CHECK_INTERVAL).await;
    }
}

/// Applies a new configuration at SIGHUP.
struct Reloader {
    /// The limits file named on the command line, which takes precedence.
    limits_argument: Option<PathBuf>,
    engine: dunlincleat_http::Handle,
    list: list::ListHandle,
    active: watch::Sender<Rc<ActiveSettings>>,
    metrics: Arc<Metrics>,
}

impl Reloader {
    /// Applies a new configuration completely or not at all. Requests in flight, connections and the state of the decision
    /// module are kept.
    fn reload(&mut self, config: &mut Config) {
        match self.apply(config) {
            Ok(()) => self.metrics.reloads.increment(),
            Err(error) => {
                self.metrics.reload_errors.increment();
                tracing::error!("SIGHUP: keeping the old configuration: {error:#}");
            }
        }
    }

    fn apply(&mut self, config: &mut Config) -> Result<()> {
        let new = Config::reread()?;
        if let Some(key) = config.removed_key(&new) {
            bail!(
                "EDGE_CONFIG: {key} is missing; the active configuration has it, and only a restart can remove it"
            );
        }
        // Everything is validated before anything is applied.
        let mut read_settings = InstanceSettings::clone(&new.settings);
        read_settings.settings.limits.peer_messages = false;
        let next = transition(&config.settings, read_settings);
        let settings = Arc::new(next.instance);
        let limits_file = self.limits_argument.clone().or_else(|| new.limits_file.clone());
        let rules = limits_file.map(|path| read_limits(&path, &settings)).transpose()?.map(Arc::new);
        let active_fleet = self.active.borrow().rules.as_ref().and_then(|rules| rules.fleet().cloned());
        let new_fleet = rules.as_ref().and_then(|rules| rules.fleet().cloned());
        let fleet_change = (active_fleet != new_fleet).then_some("fleet");
        let config_changes = config.restart_only_changes(&new).into_iter();
        let restart_only: Vec<&str> = config_changes.chain(next.restart_only).chain(fleet_change).collect();

        logger::set_level(new.log_level);
        tracing::info!("SIGHUP: new configuration, discovery at {}", new.discovery);
        log_class_numbers(&settings);
        if !restart_only.is_empty() {
            tracing::warn!("SIGHUP: changes that need a restart are ignored: {}", restart_only.join(", "));
        }
        if new.discovery != config.discovery {
            self.list.set_discovery(new.discovery);
        }
        // The engine receives the new settings before any request that was accepted under them.
        let shadow_settings =
            new.shadow_settings.clone().map(|shadow| renumber_classes(shadow, &new.settings, &settings));
        self.engine.settings(settings.clone(), shadow_settings);
        let had_rules = self.active.borrow().rules.is_some();
        let rules = match rules {
            // No limits file is named any more: the limits are lifted.
            None if had_rules => {
                tracing::info!("SIGHUP: no limits file any more; its limits are lifted");
                Some(Arc::new(RuleSet::unrestricted()))
            }
            rules => rules,
        };
        if let Some(rules) = &rules {
            self.engine.rules(rules.clone());
        }
        self.active.send_replace(Rc::new(ActiveSettings::new(settings.clone(), rules, &self.metrics)));
        config.replace(new, settings);
        Ok(())
    }
}

/// Logs the number of each class, by which the lines about requests refer to it.
fn log_class_numbers(settings: &InstanceSettings) {
    let numbered = settings.classes.iter().enumerate();
    for (number, name) in numbered.filter(|(_, name)| !name.is_empty()) {
        tracing::debug!("class '{name}' has number {number}");
    }
}

/// Orders the classes of the shadow settings by the class numbers of the active settings.
fn renumber_classes(mut shadow: Settings, read: &InstanceSettings, active: &InstanceSettings) -> Settings {
    let shadow_classes = std::mem::replace(&mut shadow.classes, active.settings.classes.clone());
    for (name, class) in read.classes.iter().zip(shadow_classes) {
        if let Some(number) = active.classes.iter().position(|active_name| active_name == name) {
            shadow.classes[number] = class;
        }
    }
    shadow
}

/// Reads the limits file and validates it against the settings; an invalid file changes nothing.
fn read_limits(path: &Path, settings: &InstanceSettings) -> Result<RuleSet> {
    let text = std::fs::read_to_string(path).with_context(|| format!("limits '{}'", path.display()))?;
    let Checked { faults, rules } = dunlincleat_limits::check(&text, settings);
    let (errors, warnings): (Vec<_>, Vec<_>) =
        faults.iter().partition(|fault| fault.severity == Severity::Error);
    for warning in warnings {
        tracing::warn!("limits {}:{warning}", path.display());
    }
    let Some(rules) = rules else {
        let faults: Vec<String> = errors.iter().map(ToString::to_string).collect();
        bail!("limits '{}' rejected, {} faults: {}", path.display(), faults.len(), faults.join(" | "));
    };
    let routes = rules.rules().count() - 1;
    let pools = rules.pools().len();
    tracing::info!("limits {} applied: {routes} routes, {pools} pools", path.display());
    Ok(rules)
}

/// The list to start with: the one stored on disk if its revision is later than that of the configured one.
fn initial_list(options: &HttpOptions, configured: Listing, now: Time) -> Listing {
    let Some(path) = &options.list_file else { return configured };
    let stored = match std::fs::read(path) {
        Ok(bytes) => Snapshot::decode(&bytes),
        Err(error) if error.kind() == std::io::ErrorKind::NotFound => return configured,
        Err(error) => Err(error.into()),
    };
    match stored {
        // Changes after its revision would not include the servers of services that it does not cover.
        Ok(snapshot) if snapshot.interest != options.interest => {
            tracing::info!("list stored in {}: ignored, as it covers other services", path.display());
            configured
        }
        Ok(snapshot) if snapshot.listing.rev > configured.rev => {
            let rev = snapshot.listing.rev;
            let age = snapshot.age(now).0 / 1_000_000;
            tracing::info!("list stored in {}: using revision {rev}, {age} s old", path.display());
            snapshot.listing
        }
        Ok(snapshot) => {
            let rev = snapshot.listing.rev;
            let configured_rev = configured.rev;
            tracing::info!(
                "list stored in {}: ignoring revision {rev}, revision {configured_rev} is configured",
                path.display()
            );
            configured
        }
        Err(error) => {
            tracing::warn!("list stored in {}: ignored: {error:#}", path.display());
            configured
        }
    }
}
