//! The actor that follows discovery: the thin shell around `Follower`, which decides which watches to open. It owns
//! one task a watch, dropped with its entry in `tasks`, and tells the engine what the list has become.

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

/// Lines of all watches that wait to be taken in; a watch that floods is read no faster.
const INPUT_QUEUE_CAPACITY: usize = 16;
/// So many odd things of one list are told one by one.
const MAX_LOGGED_ANOMALIES: usize = 5;
/// The file of the list is replaced at most this often.
const SAVE_INTERVAL: Duration = Duration::from_secs(2);

/// What the actor is told.
enum Message {
    /// The module wants a watch, where the site's lists come only on request.
    Watch,
    /// Discovery answers elsewhere from now on.
    DiscoveryMoved(SocketAddr),
}

/// The actor's mailbox; it holds one word a call of the module's or a reload.
#[derive(Clone)]
pub struct ListHandle(mpsc::UnboundedSender<Message>);

/// The other end of the mailbox.
pub struct ListMailbox(mpsc::UnboundedReceiver<Message>);

/// A mailbox.
pub fn mailbox() -> (ListHandle, ListMailbox) {
    let (handle, mailbox) = mpsc::unbounded_channel();
    (ListHandle(handle), ListMailbox(mailbox))
}

impl ListHandle {
    /// Discovery answers elsewhere from now on.
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
    /// The list that is to be kept on disk, and when it may next be written there.
    unsaved: bool,
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
    /// Starts the actor behind its mailbox, from the list as last held.
    pub fn start(
        follower: Follower,
        clock: Clock,
        options: Rc<HttpOptions>,
        engine: Handle,
        mailbox: ListMailbox,
    ) {
        let (inputs, input_receiver) = mpsc::channel(INPUT_QUEUE_CAPACITY);
        // A call is ended by the follower, when its time is over.
        let connector = awc::Connector::new().timeout(Duration::from_secs(1 << 30));
        let client = Client::builder().connector(connector).disable_timeout().disable_redirects().finish();
        let (tasks, next_save) = (FxHashMap::default(), Instant::now());
        let list =
            List { follower, clock, options, engine, client, tasks, inputs, unsaved: false, next_save };
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
            let save = self.unsaved.then_some(self.next_save);
            let input = tokio::select! {
                biased;
                message = mailbox.recv() => match message {
                    None => return,
                    Some(Message::Watch) => Input::WatchRequested,
                    Some(Message::DiscoveryMoved(discovery)) => Input::AddressChanged(discovery),
                },
                Some(input) = input_receiver.recv() => input,
                () = sleep_until(due.unwrap_or_else(Instant::now)), if due.is_some() => continue,
                () = sleep_until(self.next_save), if save.is_some() => {
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
                    tracing::debug!("watch {} of discovery at {at} opens: {kind:?}", watch.0);
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
                // One warning an outage: the next line of its kind says that a watch is followed again.
                Output::Lost { at, why } => tracing::warn!("no watch of discovery at {at}: {why}"),
                Output::Followed { at, rev, silence } => {
                    tracing::info!(
                        "watch of discovery at {at} open after revision {rev}, unheard for {} ms",
                        silence.0 / 1000
                    );
                }
            }
        }
    }

    fn deliver(&mut self, delivery: Delivery) {
        // A list that is odd in every entry must not fill the log.
        delivery.anomalies.iter().take(MAX_LOGGED_ANOMALIES).for_each(|anomaly| tracing::warn!("{anomaly}"));
        if delivery.anomalies.len() > MAX_LOGGED_ANOMALIES {
            tracing::warn!(
                "and {} more odd things in revision {}",
                delivery.anomalies.len() - MAX_LOGGED_ANOMALIES,
                delivery.rev
            );
        }
        self.unsaved = self.options.list_file.is_some();
        self.engine.server_list(delivery);
    }

    /// Writes the list as held to its file, off this thread.
    fn save(&mut self) {
        (self.unsaved, self.next_save) = (false, Instant::now() + SAVE_INTERVAL);
        let Some(path) = self.options.list_file.clone() else { return };
        let fresh_at = self.follower.health().fresh_at;
        let (listing, interest) = (self.follower.table().listing(), self.options.interest.clone());
        let bytes = Snapshot { fresh_at, listing, interest }.encode();
        tokio::task::spawn_blocking(move || {
            if let Err(error) = replace(&path, &bytes) {
                tracing::warn!("list not kept in {}: {error:#}", path.display());
            }
        });
    }
}

/// Replaces a file in one step: whoever reads it finds the old or the new one, whole.
fn replace(path: &Path, bytes: &[u8]) -> anyhow::Result<()> {
    let folder = path.parent().filter(|p| !p.as_os_str().is_empty()).unwrap_or(Path::new("."));
    let new = PathBuf::from(format!("{}.new", path.display()));
    let mut file = std::fs::File::create(&new).with_context(|| new.display().to_string())?;
    file.write_all(bytes)?;
    file.sync_all()?;
    std::fs::rename(&new, path)?;
    // Without this the new name may be gone after a loss of power.
    Ok(std::fs::File::open(folder)?.sync_all()?)
}

/// Opens a watch and tells what comes on it, until it ends.
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
                let (body, complete) = read_body(&mut response, MAX_LINE_BYTES)
                    .await
                    .map_err(|BodyAborted| Cause::Broke("within the whole list".to_owned()))?;
                if !complete {
                    return Err(Cause::TooLong);
                }
                let listing = Listing { whole: true, ..decode_listing(&body)? };
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
            let part = match response.next().await {
                Some(Ok(part)) => part,
                Some(Err(error)) => return Err(Cause::Broke(error.to_string())),
                None => return Err(Cause::Ended),
            };
            for line in lines.take(&part).map_err(|_| Cause::TooLong)? {
                let listing = if line.is_empty() { None } else { Some(decode_listing(&line)?) };
                send_input(inputs, Input::Line(watch, listing)).await?;
            }
        }
    };
    let result: Result<(), Cause> = follow.await;
    // A check that has come ends by itself.
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
