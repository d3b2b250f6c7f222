//! dunlincleat's sidecar: takes the requests of the application beside it and passes each on to a server that
//! the decision module draws. The files follow a request: `front` takes it, `message` decodes it, `module`
//! decides, `peer` sends it to a server; `list` follows discovery.

#![forbid(unsafe_code)]

mod clock;
mod config;
mod frame;
mod front;
mod line;
mod list;
mod logger;
mod message;
mod module;
mod peer;

use anyhow::{Context, Result, anyhow};
use config::{Config, Own};
use dunlincleat::api::{Reports, Time};
use dunlincleat_directory::{Follower, Listing, Snapshot};
use front::Stage;
use std::process::ExitCode;
use std::rc::Rc;
use std::sync::Arc;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{Semaphore, mpsc, watch};
use tokio::time::{Instant, sleep, timeout_at};

fn main() -> ExitCode {
    match actix_rt::System::new().block_on(run()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("dunlincleat-sidecar: {error:#}");
            ExitCode::FAILURE
        }
    }
}

async fn run() -> Result<()> {
    // Caught before anything else: an order to read a new file, uncaught, would end the process.
    let mut reload = signal(SignalKind::hangup()).context("SIGHUP")?;
    let mut config = Config::read()?;
    logger::start(config.own.log);
    log::info!("sidecar {} starts, {} servers known", config.name, config.known.entries.len());
    let mut terminate = signal(SignalKind::terminate()).context("SIGTERM")?;
    let mut interrupt = signal(SignalKind::interrupt()).context("SIGINT")?;
    let (site, own) = (config.site.clone(), config.own.clone());
    let (handle, mailbox) = module::mailbox();
    let (list, list_mailbox) = mpsc::unbounded_channel();
    let clock = clock::Clock::new();
    let known = kept_list(&own, std::mem::take(&mut config.known), clock.now());
    let mode = site.settings.discovery;
    let (follower, known) = Follower::new(clock.now(), own.watch, mode, config.discovery, config.seed, known);
    list::List::start(follower, clock, own.clone(), handle.clone(), list_mailbox);
    let peers = peer::Common {
        own: own.clone(),
        fields: site.fields.clone().into(),
        load_probes: site.settings.reports != Reports::Off,
        sockets: Arc::new(Semaphore::new(own.server_connections)),
        full: Rc::default(),
        spoilt: Rc::default(),
        module: handle.clone(),
    };
    let module = module::Module::new(site.clone(), config.seed, clock, peers, list.clone());
    let mut module = actix_rt::spawn(module.run(mailbox, known));
    let (stage, stages) = watch::channel(Stage::Serving);
    let mut front = actix_rt::spawn(front::serve(config.listen, site, own.clone(), handle, stages));
    loop {
        tokio::select! {
            end = &mut front => return end.context("the server ended")?,
            // Without its decisions it cannot serve: ended here, it is started again.
            end = &mut module => return end.context("the module ended").and(Err(anyhow!("the module ended"))),
            _ = reload.recv() => reloaded(&mut config, &list),
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
        }
    }
    let told = Instant::now();
    log::info!("told to end: serving on for {:?}, then answering what was taken", own.accept_after_term);
    stage.send_replace(Stage::Leaving);
    sleep(own.accept_after_term).await;
    stage.send_replace(Stage::Closing);
    match timeout_at(told + own.end_after_term, front).await {
        Ok(end) => end.context("the server ended")??,
        Err(_) => log::warn!("connections still open at the end"),
    }
    log::info!("sidecar {} ends", config.name);
    Ok(())
}

/// Takes up a new configuration; what is at fault changes nothing. Requests, connections and what the module
/// has learnt stay.
fn reloaded(config: &mut Config, list: &mpsc::UnboundedSender<list::Msg>) {
    let new = match Config::reread() {
        Ok(new) => new,
        Err(error) => {
            log::error!("SIGHUP: going on with the old configuration: {error:#}");
            return;
        }
    };
    log::set_max_level(new.own.log);
    log::info!("SIGHUP: new configuration, discovery at {}", new.discovery);
    let later = config.differs(&new);
    if !later.is_empty() {
        log::warn!("SIGHUP: taken up only at the next start: {}", later.join(", "));
    }
    if new.discovery != config.discovery {
        config.discovery = new.discovery;
        // The list's actor lives as long as the process.
        let _ = list.send(list::Msg::Moved(new.discovery));
    }
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
        Ok(kept) if kept.listing.rev > told.rev => {
            let (rev, age) = (kept.listing.rev, kept.age(now).0 / 1_000_000);
            log::info!("list kept in {}: revision {rev}, {age} s old", path.display());
            kept.listing
        }
        Ok(kept) => {
            let (rev, told_rev) = (kept.listing.rev, told.rev);
            log::info!("list kept in {}: revision {rev} is not used, {told_rev} was told", path.display());
            told
        }
        Err(error) => {
            log::warn!("list kept in {} is not used: {error:#}", path.display());
            told
        }
    }
}
