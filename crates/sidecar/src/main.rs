//! dunlincleat's sidecar: takes the requests of the application beside it and passes each on to a server that
//! the decision module draws. The files follow a request: `front` takes it, `message` decodes it, `module`
//! decides, `peer` sends it to a server; `list` follows discovery.

#![forbid(unsafe_code)]

mod config;
mod front;
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
use tokio::sync::{Semaphore, watch};
use tokio::time::{Instant, sleep, timeout_at};

fn main() -> ExitCode {
    let run = Config::read().and_then(|config| actix_rt::System::new().block_on(run(config)));
    match run {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("dunlincleat-sidecar: {error:#}");
            ExitCode::FAILURE
        }
    }
}

async fn run(config: Config) -> Result<()> {
    logger::start(config.own.log);
    log::info!("sidecar {} starts, {} servers known", config.name, config.known.entries.len());
    let mut terminate = signal(SignalKind::terminate()).context("SIGTERM")?;
    let mut interrupt = signal(SignalKind::interrupt()).context("SIGINT")?;
    let (site, own) = (Rc::new(config.site), Rc::new(config.own));
    let (handle, mailbox) = module::mailbox();
    let list = list::List {
        discovery: config.discovery,
        mode: site.settings.discovery,
        rev: config.known.rev,
        seed: config.seed,
        own: own.clone(),
        module: handle.clone(),
    };
    let peers = peer::Common {
        own: own.clone(),
        fields: site.fields.clone().into(),
        load_probes: site.settings.reports != Reports::Off,
        grace: site.drain_grace.map_or(Duration::ZERO, |Span(us)| Duration::from_micros(us)),
        sockets: Arc::new(Semaphore::new(own.server_connections)),
        full: Rc::default(),
        module: handle.clone(),
    };
    let module = module::Module::new(site.clone(), config.seed, peers, list.start());
    let mut module = actix_rt::spawn(module.run(mailbox, config.known));
    let (stage, stages) = watch::channel(Stage::Serving);
    let mut front = actix_rt::spawn(front::serve(config.listen, site, own.clone(), handle, stages));
    tokio::select! {
        end = &mut front => return end.context("the server ended")?,
        // Without its decisions it cannot serve: ended here, it is started again.
        end = &mut module => return end.context("the module ended").and(Err(anyhow!("the module ended"))),
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
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
