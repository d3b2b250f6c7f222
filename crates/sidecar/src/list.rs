//! The actor that follows discovery: it keeps a watch open and tells the module what it hears.

use crate::config::Own;
use crate::message::{Listing, watch_uri};
use crate::module;
use anyhow::Result;
use dunlincleat::api::Discovery;
use futures_util::StreamExt;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout};

/// The longest line of a watch.
const LINE_BYTES: usize = 4 << 20;
/// How long discovery may take to accept a connection.
const CONNECT: Duration = Duration::from_secs(1);

/// What the actor is told: to open a watch, where the site's lists come only on request.
pub struct Watch;

/// The actor.
pub struct List {
    /// Where discovery answers.
    pub discovery: SocketAddr,
    /// How lists come.
    pub mode: Discovery,
    /// The version of the list held.
    pub rev: u64,
    /// For the jitter of its waits.
    pub seed: u64,
    /// The sidecar's own figures.
    pub own: Rc<Own>,
    /// The module's mailbox.
    pub module: module::Handle,
}

impl List {
    /// Starts the actor.
    pub fn start(self) -> mpsc::UnboundedSender<Watch> {
        let (handle, mailbox) = mpsc::unbounded_channel();
        actix_rt::spawn(self.run(mailbox));
        handle
    }

    async fn run(mut self, mut mailbox: mpsc::UnboundedReceiver<Watch>) {
        let mut rng = SmallRng::seed_from_u64(self.seed);
        let connector = awc::Connector::new().timeout(CONNECT);
        let client =
            awc::Client::builder().connector(connector).disable_timeout().disable_redirects().finish();
        let mut failures = 0_u32;
        loop {
            if self.mode == Discovery::OnRequest {
                // The module says when to call, also again after a call failed.
                if mailbox.recv().await.is_none() {
                    return;
                }
                while mailbox.try_recv().is_ok() {}
            }
            let (heard, why) = self.watch(&client).await;
            failures = if heard { 1 } else { failures.saturating_add(1) };
            // One warning an outage: the next line of its kind says that a watch is open again.
            let level = if failures == 1 { log::Level::Warn } else { log::Level::Debug };
            log::log!(level, "no watch of discovery: {why}");
            match self.mode {
                Discovery::OnRequest => self.module.list_failed(),
                Discovery::Pushed => {
                    let (first, most) = self.own.watch_again;
                    let wait = first.saturating_mul(1 << (failures - 1).min(16)).min(most);
                    sleep(wait.mul_f64(rng.random_range(0.5..1.0))).await;
                }
            }
        }
    }

    /// Follows one watch to its end; tells whether it brought anything, and why it ended.
    async fn watch(&mut self, client: &awc::Client) -> (bool, String) {
        let call = client.get(watch_uri(self.discovery, self.rev)).send();
        let mut answer = match timeout(self.own.watch_silence, call).await {
            Ok(Ok(answer)) if answer.status().is_success() => answer,
            Ok(Ok(answer)) => return (false, format!("refused with {}", answer.status())),
            Ok(Err(error)) => return (false, error.to_string()),
            Err(_) => return (false, "no answer".to_owned()),
        };
        log::info!("watch of discovery open after revision {}", self.rev);
        let mut heard = false;
        let mut line = Vec::new();
        loop {
            let part = match timeout(self.own.watch_silence, answer.next()).await {
                Ok(Some(Ok(part))) => part,
                Ok(Some(Err(error))) => return (heard, format!("it broke: {error}")),
                Ok(None) => return (heard, "it ended".to_owned()),
                Err(_) => return (heard, format!("silent for {:?}", self.own.watch_silence)),
            };
            heard = true;
            for piece in part.split_inclusive(|b| *b == b'\n') {
                line.extend_from_slice(piece);
                if line.len() > LINE_BYTES {
                    return (false, format!("a line over {LINE_BYTES} bytes"));
                }
                if line.ends_with(b"\n") {
                    // The next watch starts after the last version understood, so nothing is missed.
                    if let Err(error) = self.take(&line) {
                        return (false, format!("it sent what is no list: {error:#}"));
                    }
                    line.clear();
                }
            }
        }
    }

    fn take(&mut self, line: &[u8]) -> Result<()> {
        if !line.trim_ascii().is_empty() {
            let listing = Listing::decode(line)?;
            self.rev = listing.rev;
            self.module.listed(listing);
        }
        Ok(())
    }
}
