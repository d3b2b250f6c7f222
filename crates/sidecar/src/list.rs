//! The actor that follows discovery: it keeps a watch open and tells the module what it hears.

use crate::config::Own;
use crate::message::{Listing, watch_uri};
use crate::module;
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
            let heard = self.watch(&client).await;
            failures = if heard { 0 } else { failures.saturating_add(1) };
            match self.mode {
                Discovery::OnRequest => self.module.list_failed(),
                Discovery::Pushed => {
                    let (first, most) = self.own.watch_again;
                    let wait = first.saturating_mul(1 << failures.min(16)).min(most);
                    sleep(wait.mul_f64(rng.random_range(0.5..1.0))).await;
                }
            }
        }
    }

    /// Follows one watch to its end; true where it brought anything.
    async fn watch(&mut self, client: &awc::Client) -> bool {
        let mut heard = false;
        let call = client.get(watch_uri(self.discovery, self.rev)).send();
        let mut answer = match timeout(self.own.watch_silence, call).await {
            Ok(Ok(answer)) if answer.status().is_success() => answer,
            Ok(Ok(answer)) => {
                log::warn!("watch of discovery refused: {}", answer.status());
                return false;
            }
            Ok(Err(error)) => {
                log::warn!("watch of discovery not opened: {error}");
                return false;
            }
            Err(_) => {
                log::warn!("watch of discovery not opened: no answer");
                return false;
            }
        };
        log::info!("watch of discovery open after revision {}", self.rev);
        let mut line = Vec::new();
        loop {
            let part = match timeout(self.own.watch_silence, answer.next()).await {
                Ok(Some(Ok(part))) => part,
                Ok(Some(Err(error))) => {
                    log::warn!("watch of discovery broke: {error}");
                    return heard;
                }
                Ok(None) => {
                    log::warn!("watch of discovery ended");
                    return heard;
                }
                Err(_) => {
                    log::warn!("watch of discovery silent for {:?}, called again", self.own.watch_silence);
                    return heard;
                }
            };
            heard = true;
            for piece in part.split_inclusive(|b| *b == b'\n') {
                line.extend_from_slice(piece);
                if line.len() > LINE_BYTES {
                    log::error!("a line of the watch is over {LINE_BYTES} bytes");
                    return false;
                }
                if line.ends_with(b"\n") {
                    if !line.trim_ascii().is_empty() && !self.take(&line) {
                        return false;
                    }
                    line.clear();
                }
            }
        }
    }

    fn take(&mut self, line: &[u8]) -> bool {
        match Listing::decode(line) {
            Ok(listing) => {
                self.rev = listing.rev;
                self.module.listed(listing);
                true
            }
            Err(error) => {
                // The watch is made anew from the last version understood, so nothing is missed.
                log::error!("discovery sent what is no list: {error:#}");
                false
            }
        }
    }
}
