//! The actor that follows discovery: it keeps a watch open and tells the module what it hears.

use crate::config::Own;
use crate::message::{Listing, list_uri, read_body, watch_uri};
use crate::module;
use awc::{Client, ClientResponse};
use dunlincleat::api::Discovery;
use futures_util::StreamExt;
use futures_util::future::{LocalBoxFuture, OptionFuture};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep_until, timeout};

/// The longest line of a watch.
const LINE_BYTES: usize = 4 << 20;
/// How long discovery may take to accept a connection.
const CONNECT: Duration = Duration::from_secs(1);

/// What the actor is told.
pub enum Msg {
    /// The module wants a watch, where the site's lists come only on request.
    Watch,
    /// Discovery answers elsewhere from now on.
    Moved(SocketAddr),
}

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

/// A watch just opened, and the whole list from its address where that was asked for.
type Opened = Result<(Option<Listing>, Followed), String>;

impl List {
    /// Starts the actor behind its mailbox.
    pub fn start(self, mailbox: mpsc::UnboundedReceiver<Msg>) {
        actix_rt::spawn(self.run(mailbox));
    }

    async fn run(mut self, mut mailbox: mpsc::UnboundedReceiver<Msg>) {
        let mut rng = SmallRng::seed_from_u64(self.seed);
        let connector = awc::Connector::new().timeout(CONNECT);
        let client = Client::builder().connector(connector).disable_timeout().disable_redirects().finish();
        let mut failures = 0_u32;
        // The watch that is followed, the one that is being opened, and when to open the next. A move keeps the
        // old watch until the new one stands, so that nothing is missed in between.
        let mut followed: Option<Followed> = None;
        let mut opening: Option<LocalBoxFuture<'static, Opened>> = None;
        let mut again = (self.mode == Discovery::Pushed).then(Instant::now);
        let mut moved = false;
        loop {
            let why = tokio::select! {
                biased;
                msg = mailbox.recv() => match msg {
                    None => return,
                    Some(Msg::Watch) => {
                        // The module says when to call, also again after a call failed.
                        if followed.is_none() && opening.is_none() && !moved {
                            opening = Some(self.open(&client, false));
                        }
                        continue;
                    }
                    Some(Msg::Moved(discovery)) => {
                        (self.discovery, moved, again, failures) = (discovery, true, None, 0);
                        opening = Some(self.open(&client, true));
                        continue;
                    }
                },
                Some(opened) = OptionFuture::from(opening.as_mut()) => {
                    opening = None;
                    match opened {
                        Ok((whole, watch)) => {
                            if let Some(listing) = whole {
                                self.take(listing);
                            }
                            log::info!("watch of discovery at {} open after revision {}", self.discovery, self.rev);
                            (followed, moved) = (Some(watch), false);
                            continue;
                        }
                        Err(why) => why,
                    }
                },
                Some(heard) = OptionFuture::from(followed.as_mut().map(|f| f.next(self.own.watch_silence))) => {
                    match heard {
                        Ok(listing) => {
                            failures = 0;
                            listing.into_iter().for_each(|listing| self.take(listing));
                            continue;
                        }
                        Err(why) => {
                            followed = None;
                            // After a move the old watch is due to end; the new one is on its way.
                            if moved {
                                continue;
                            }
                            why
                        }
                    }
                },
                () = sleep_until(again.unwrap_or_else(Instant::now)), if again.is_some() => {
                    again = None;
                    opening = Some(self.open(&client, moved));
                    continue;
                },
            };
            failures = failures.saturating_add(1);
            // One warning an outage: the next line of its kind says that a watch is open again.
            let level = if failures == 1 { log::Level::Warn } else { log::Level::Debug };
            log::log!(level, "no watch of discovery at {}: {why}", self.discovery);
            if self.mode == Discovery::OnRequest && !moved {
                self.module.list_failed();
            } else {
                let (first, most) = self.own.watch_again;
                let wait = first.saturating_mul(1 << (failures - 1).min(16)).min(most);
                again = Some(Instant::now() + wait.mul_f64(rng.random_range(0.5..1.0)));
            }
        }
    }

    /// Opens a watch for what comes after the list held. At a new address versions may count differently: there
    /// the whole list is asked for first.
    fn open(&self, client: &Client, whole_first: bool) -> LocalBoxFuture<'static, Opened> {
        let (client, discovery, rev) = (client.clone(), self.discovery, self.rev);
        let silence = self.own.watch_silence;
        let call = async move |uri: String| match timeout(silence, client.get(uri).send()).await {
            Ok(Ok(answer)) if answer.status().is_success() => Ok(answer),
            Ok(Ok(answer)) => Err(format!("refused with {}", answer.status())),
            Ok(Err(error)) => Err(error.to_string()),
            Err(_) => Err("no answer".to_owned()),
        };
        Box::pin(async move {
            let whole = if whole_first {
                let mut answer = call(list_uri(discovery)).await?;
                let body = timeout(silence, read_body(&mut answer, LINE_BYTES)).await;
                let body = body.map_err(|_| "no whole list".to_owned())?.map_err(|cut| format!("{cut:?}"))?;
                let listing =
                    Listing::decode(&body).map_err(|e| format!("it sent what is no list: {e:#}"))?;
                Some(Listing { whole: true, ..listing })
            } else {
                None
            };
            let answer = call(watch_uri(discovery, whole.as_ref().map_or(rev, |l| l.rev))).await?;
            Ok((whole, Followed { answer, line: Vec::new(), heard: VecDeque::new() }))
        })
    }

    /// The next watch starts after the last version understood, so nothing is missed.
    fn take(&mut self, listing: Listing) {
        self.rev = listing.rev;
        self.module.listed(listing);
    }
}

/// An open watch.
struct Followed {
    answer: ClientResponse,
    /// The line that is being read.
    line: Vec<u8>,
    /// Lists read and not yet handed on.
    heard: VecDeque<Listing>,
}

impl Followed {
    /// The next list, or nothing after a sign of life; an error where the watch is over. Dropped while it
    /// waits, it loses nothing.
    async fn next(&mut self, silence: Duration) -> Result<Option<Listing>, String> {
        if let Some(listing) = self.heard.pop_front() {
            return Ok(Some(listing));
        }
        let part = match timeout(silence, self.answer.next()).await {
            Ok(Some(Ok(part))) => part,
            Ok(Some(Err(error))) => return Err(format!("it broke: {error}")),
            Ok(None) => return Err("it ended".to_owned()),
            Err(_) => return Err(format!("silent for {silence:?}")),
        };
        for piece in part.split_inclusive(|b| *b == b'\n') {
            self.line.extend_from_slice(piece);
            if self.line.len() > LINE_BYTES {
                return Err(format!("a line over {LINE_BYTES} bytes"));
            }
            if self.line.ends_with(b"\n") {
                if !self.line.trim_ascii().is_empty() {
                    let listing = Listing::decode(&self.line);
                    self.heard.push_back(listing.map_err(|e| format!("it sent what is no list: {e:#}"))?);
                }
                self.line.clear();
            }
        }
        Ok(self.heard.pop_front())
    }
}
