//! The actor that follows discovery: the I/O around [`Follower`], which decides which watches to open. It owns one
//! task per watch, which is aborted when its entry in `tasks` is dropped, and passes each new list to the engine.

use crate::Handle;
use crate::message::{BodyAborted, list_uri, read_body, watch_uri};
use crate::options::HttpOptions;
use anyhow::Context;
use awc::error::{ConnectError, SendRequestError};
use awc::{Client, ClientResponse};
use dunlincleat_directory::lines::MAX_LINE_BYTES;
use dunlincleat_directory::{
    CallKind, Cause, Delivery, Follower, Input, Interest, Lines, Listing, Output, Snapshot, WatchId,
};
use dunlincleat_engine::clock::Clock;
use dunlincleat_engine::shell::Directory;
use futures_util::StreamExt;
use rustc_hash::FxHashMap;
use std::io::Write;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep_until};

/// Capacity of the queue of messages of all watches. When it is full, the watches are read no faster than the
/// messages are applied.
const INPUT_QUEUE_CAPACITY: usize = 16;
/// Maximum number of anomalies that are logged individually per list.
const MAX_LOGGED_ANOMALIES: usize = 5;
/// Minimum interval between writes of the list file.
const SAVE_INTERVAL: Duration = Duration::from_secs(2);

/// A message to the actor.
enum Message {
    /// The decision module asks for a watch, where lists are delivered on request.
    Watch,
    /// Discovery has a new address.
    DiscoveryMoved(SocketAddr),
}

/// Sender of the actor's mailbox, which receives one message per call of the decision module or reload.
#[derive(Clone)]
pub struct ListHandle(mpsc::UnboundedSender<Message>);

/// Receiver of the actor's mailbox.
pub struct ListMailbox(mpsc::UnboundedReceiver<Message>);

/// Creates a mailbox.
pub fn mailbox() -> (ListHandle, ListMailbox) {
    let (handle, mailbox) = mpsc::unbounded_channel();
    (ListHandle(handle), ListMailbox(mailbox))
}

impl ListHandle {
    /// Sets the address of discovery.
    pub fn set_discovery(&self, discovery: SocketAddr) {
        // The actor lives as long as the process.
        let _ = self.0.send(Message::DiscoveryMoved(discovery));
    }
}

impl Directory for ListHandle {
    fn watch(&mut self) {
        let _ = self.0.send(Message::Watch);
    }
}

/// The actor.
pub struct List {
    follower: Follower,
    clock: Clock,
    options: Rc<HttpOptions>,
    engine: Handle,
    client: Client,
    tasks: FxHashMap<WatchId, WatchTask>,
    inputs: mpsc::Sender<Input>,
    /// Whether the list has changed since it was last written to the list file.
    unsaved: bool,
    /// When the list file may next be written.
    next_save: Instant,
}

/// The task that reads a watch. Dropping it ends the watch and closes its connection.
struct WatchTask(JoinHandle<()>);

impl Drop for WatchTask {
    fn drop(&mut self) {
        self.0.abort();
    }
}

impl List {
    /// Starts the actor, with the list last known.
    pub fn start(
        follower: Follower,
        clock: Clock,
        options: Rc<HttpOptions>,
        engine: Handle,
        mailbox: ListMailbox,
    ) {
        let (inputs, input_receiver) = mpsc::channel(INPUT_QUEUE_CAPACITY);
        // The follower has the timeouts of calls; that of awc must never take effect.
        let connector = awc::Connector::new().timeout(Duration::from_secs(1 << 30));
        let client = Client::builder().connector(connector).disable_timeout().disable_redirects().finish();
        let list = List {
            follower,
            clock,
            options,
            engine,
            client,
            tasks: FxHashMap::default(),
            inputs,
            unsaved: false,
            next_save: Instant::now(),
        };
        actix_rt::spawn(list.run(mailbox.0, input_receiver));
    }

    async fn run(
        mut self,
        mut mailbox: mpsc::UnboundedReceiver<Message>,
        mut input_receiver: mpsc::Receiver<Input>,
    ) {
        let mut outputs = Vec::new();
        loop {
            self.follower.wake(self.clock.now(), &mut outputs);
            self.perform(&mut outputs);
            self.engine.list_health(self.follower.health());
            let due = self.follower.due().map(|at| self.clock.instant(at));
            let input = tokio::select! {
                biased;
                message = mailbox.recv() => match message {
                    None => return,
                    Some(Message::Watch) => Input::WatchRequested,
                    Some(Message::DiscoveryMoved(discovery)) => Input::AddressChanged(discovery),
                },
                Some(input) = input_receiver.recv() => input,
                () = sleep_until(due.unwrap_or_else(Instant::now)), if due.is_some() => continue,
                () = sleep_until(self.next_save), if self.unsaved => {
                    self.save();
                    continue;
                }
            };
            if let Input::Ended(watch, cause) = &input {
                tracing::debug!("watch {} ended: {cause}", watch.0);
                self.tasks.remove(watch);
            }
            self.follower.input(self.clock.now(), input, &mut outputs);
        }
    }

    fn perform(&mut self, outputs: &mut Vec<Output>) {
        for output in outputs.drain(..) {
            match output {
                Output::Open { watch, at, kind } => {
                    tracing::debug!("opening watch {} of discovery at {at}: {kind:?}", watch.0);
                    let (client, inputs, options) =
                        (self.client.clone(), self.inputs.clone(), self.options.clone());
                    let task = actix_rt::spawn(async move {
                        let cause = run_watch(&client, watch, at, kind, &options.interest, &inputs).await;
                        // The actor ends with the process.
                        let _ = inputs.send(Input::Ended(watch, cause)).await;
                    });
                    self.tasks.insert(watch, WatchTask(task));
                }
                Output::Close(watch) => drop(self.tasks.remove(&watch)),
                Output::Deliver(delivery) => self.deliver(delivery),
                Output::Failed => self.engine.discovery_failed(),
                // One warning per outage; the message below reports its end.
                Output::Lost { at, why } => tracing::warn!("no open watch of discovery at {at}: {why}"),
                Output::Followed { at, rev, silence } => {
                    tracing::info!(
                        "watch of discovery at {at} open after revision {rev}, silent for {} ms",
                        silence.0 / 1000
                    );
                }
            }
        }
    }

    fn deliver(&mut self, delivery: Delivery) {
        // Limited, because a list may be invalid in every entry.
        for anomaly in delivery.anomalies.iter().take(MAX_LOGGED_ANOMALIES) {
            tracing::warn!("{anomaly}");
        }
        if delivery.anomalies.len() > MAX_LOGGED_ANOMALIES {
            tracing::warn!(
                "{} more anomalies in revision {}",
                delivery.anomalies.len() - MAX_LOGGED_ANOMALIES,
                delivery.rev
            );
        }
        self.unsaved = self.options.list_file.is_some();
        self.engine.server_list(delivery);
    }

    /// Writes the list to its file on a blocking thread.
    fn save(&mut self) {
        self.unsaved = false;
        self.next_save = Instant::now() + SAVE_INTERVAL;
        let Some(path) = self.options.list_file.clone() else { return };
        let fresh_at = self.follower.health().fresh_at;
        let listing = self.follower.table().listing();
        let interest = self.options.interest.clone();
        let bytes = Snapshot { fresh_at, listing, interest }.encode();
        tokio::task::spawn_blocking(move || {
            if let Err(error) = replace(&path, &bytes) {
                tracing::warn!("cannot save the server list to {}: {error:#}", path.display());
            }
        });
    }
}

/// Replaces a file atomically: a reader sees either the old or the new content, complete.
fn replace(path: &Path, bytes: &[u8]) -> anyhow::Result<()> {
    let folder = path.parent().filter(|p| !p.as_os_str().is_empty()).unwrap_or(Path::new("."));
    let new = PathBuf::from(format!("{}.new", path.display()));
    let mut file = std::fs::File::create(&new).with_context(|| new.display().to_string())?;
    file.write_all(bytes)?;
    file.sync_all()?;
    std::fs::rename(&new, path)?;
    // Without this, the rename may be lost on a power failure.
    Ok(std::fs::File::open(folder)?.sync_all()?)
}

/// Runs a watch and reports its messages until it ends; returns why it ended.
async fn run_watch(
    client: &Client,
    watch: WatchId,
    at: SocketAddr,
    kind: CallKind,
    interest: &Interest,
    inputs: &mpsc::Sender<Input>,
) -> Cause {
    let follow = async {
        let after = match kind {
            CallKind::ChangesAfter(rev) => rev,
            CallKind::FullList | CallKind::Check => {
                let mut response = get(client, list_uri(at, interest)).await?;
                let body = read_body(&mut response, MAX_LINE_BYTES)
                    .await
                    .map_err(|BodyAborted| Cause::Broke("while reading the full list".to_owned()))?;
                if !body.complete {
                    return Err(Cause::TooLong);
                }
                let listing = Listing { whole: true, ..decode_listing(&body.bytes)? };
                let rev = listing.rev;
                send_input(inputs, Input::Line(watch, Some(listing))).await?;
                if kind == CallKind::Check {
                    return Ok(());
                }
                rev
            }
        };
        let mut response = get(client, watch_uri(at, after, interest)).await?;
        send_input(inputs, Input::Opened(watch)).await?;
        let mut lines = Lines::default();
        loop {
            let chunk = match response.next().await {
                Some(Ok(chunk)) => chunk,
                Some(Err(error)) => return Err(Cause::Broke(error.to_string())),
                None => return Err(Cause::Ended),
            };
            for line in lines.take(&chunk).map_err(|_| Cause::TooLong)? {
                let listing = if line.is_empty() { None } else { Some(decode_listing(&line)?) };
                send_input(inputs, Input::Line(watch, listing)).await?;
            }
        }
    };
    let result: Result<(), Cause> = follow.await;
    // A completed check ends normally.
    result.err().unwrap_or(Cause::Ended)
}

async fn send_input(inputs: &mpsc::Sender<Input>, input: Input) -> Result<(), Cause> {
    inputs.send(input).await.map_err(|_| Cause::Ended)
}

fn decode_listing(line: &[u8]) -> Result<Listing, Cause> {
    Listing::decode(line).map_err(|error| Cause::Garbled(format!("{error:#}")))
}

async fn get(client: &Client, uri: String) -> Result<ClientResponse, Cause> {
    match client.get(uri).send().await {
        Ok(response) if response.status().is_success() => Ok(response),
        Ok(response) => Err(Cause::Refused(response.status().as_u16())),
        Err(error @ SendRequestError::Connect(ConnectError::Disconnected)) => {
            Err(Cause::Broke(error.to_string()))
        }
        Err(SendRequestError::Connect(error)) => Err(Cause::Unreachable(error.to_string())),
        Err(error) => Err(Cause::Broke(error.to_string())),
    }
}
