//! dunlincleat's sidecar: takes the requests of the application beside it and passes each on to a server that
//! the decision module draws. The files follow a request: `front` takes it, `message` decodes it, `module`
//! decides, `peer` sends it to a server; `list` follows discovery.

#![forbid(unsafe_code)]

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
use config::Config;
use dunlincleat::api::{Reports, Span};
use front::Stage;
use std::process::ExitCode;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
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
    let follower = list::List {
        discovery: config.discovery,
        mode: site.settings.discovery,
        rev: config.known.rev,
        seed: config.seed,
        own: own.clone(),
        module: handle.clone(),
    };
    follower.start(list_mailbox);
    let peers = peer::Common {
        own: own.clone(),
        fields: site.fields.clone().into(),
        load_probes: site.settings.reports != Reports::Off,
        grace: site.drain_grace.map_or(Duration::ZERO, |Span(us)| Duration::from_micros(us)),
        sockets: Arc::new(Semaphore::new(own.server_connections)),
        full: Rc::default(),
        spoilt: Rc::default(),
        module: handle.clone(),
    };
    let module = module::Module::new(site.clone(), config.seed, peers, list.clone());
    let mut module = actix_rt::spawn(module.run(mailbox, std::mem::take(&mut config.known)));
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
