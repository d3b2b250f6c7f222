//! A stub of control for runs of fleet size: discovery as a process of its own that keeps the whole list as versioned
//! state and serves it to thousands of watches. Each change is encoded once and its bytes are shared by all watches
//! that receive it. It counts what it sends to each sidecar, its processor time and its memory.
//!
//! Every sidecar has an address of its own, by which it is identified: nothing in its requests names it. A control
//! machine takes over the addresses that it is commanded to serve, as a service address moves to another machine when
//! one dies.
//!
//! Beyond the published protocol it reads `models=a,b` on both calls: only entries of these models are sent then, and
//! changes that concern none of them are not sent.

use crate::clock::now;
use anyhow::{Context, Result, bail};
use bytes::Bytes;
use rustix::time::{ClockId, clock_gettime};
use serde::{Deserialize, Serialize};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::io::Write;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader, stdin};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::{Instant, interval, sleep, timeout};

/// How often an idle watch sends a heartbeat.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(2);
/// How often counters are reported.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(200);
/// Changes that are kept encoded; a watch that is further behind is served from the entries.
const MAX_RECENT_CHANGES: usize = 1024;
/// The longest head of a request that is read.
const MAX_HEAD_BYTES: usize = 8 << 10;

/// An entry of the list, with the field names of discovery's protocol.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// Its name.
    pub uid: String,
    /// Where it is reached.
    pub endpoint: SocketAddr,
    /// Its zone.
    pub az: String,
    /// Its service.
    pub model: String,
    /// Its cell.
    pub pod_group: u32,
    /// `up`, `draining` or `removed`.
    pub state: String,
    /// Its capacity relative to others.
    pub capacity_hint: f64,
    /// When it last started, in milliseconds of Unix time.
    pub boot_ms: u64,
}

/// A command on standard input.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Command {
    /// Serve these sidecars at these addresses.
    Serve(Vec<(usize, SocketAddr)>),
    /// Replace the whole list.
    List {
        /// Its revision.
        rev: u64,
        /// All entries.
        entries: Vec<Entry>,
    },
    /// Apply a change to the list.
    Change {
        /// Its revision.
        rev: u64,
        /// The entries that changed.
        entries: Vec<Entry>,
    },
    /// Close all connections.
    #[serde(rename = "break")]
    CloseConnections,
}

/// A report on standard output.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Report {
    /// The number of sidecars served now.
    Serves(usize),
    /// An address can't be listened on.
    Fault(String),
    /// Counters.
    Sample(Sample),
}

/// Counters up to a time.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Sample {
    /// The machine's clock, in microseconds.
    pub at: u64,
    /// The largest timer delay since the last sample, in microseconds.
    pub late: u64,
    /// Processor time since the start of the process, in microseconds.
    pub cpu: u64,
    /// Resident memory in bytes.
    pub memory: u64,
    /// The sidecars whose counters changed since the last sample.
    pub sidecars: Vec<SentCounts>,
}

/// What was sent to one sidecar since the start of this process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SentCounts {
    /// Its number.
    pub sidecar: usize,
    /// Bytes written to its connections, including heads and framing.
    pub bytes: u64,
    /// Lists and changes.
    pub messages: u64,
    /// Whole lists among these that were requested by a call of their own.
    pub whole: u64,
    /// Heartbeats.
    pub heartbeats: u64,
    /// Watches that it opened.
    pub watches: u64,
}

/// The processor time of this process, in microseconds.
#[must_use]
pub fn processor_time() -> u64 {
    let time = clock_gettime(ClockId::ProcessCPUTime);
    u64::try_from(time.tv_sec).unwrap_or(0) * 1_000_000 + u64::try_from(time.tv_nsec).unwrap_or(0) / 1000
}

/// The resident memory of a process in bytes; 0 where it has terminated.
#[must_use]
pub fn resident_memory(process: &str) -> u64 {
    let text = std::fs::read_to_string(format!("/proc/{process}/statm")).unwrap_or_default();
    let pages: u64 = text.split(' ').nth(1).and_then(|pages| pages.parse().ok()).unwrap_or(0);
    pages * rustix::param::page_size() as u64
}

/// Writes a report to standard output. Where the rig no longer reads it, the rig has terminated, and this process exits
/// too.
pub fn write_report<T: Serialize>(said: &T) {
    let mut line = serde_json::to_string(said).unwrap_or_default();
    line.push('\n');
    let mut out = std::io::stdout().lock();
    if out.write_all(line.as_bytes()).and_then(|()| out.flush()).is_err() {
        std::process::exit(1);
    }
}

/// An entry with its encoding.
struct StoredEntry {
    entry: Entry,
    /// The revision that last changed it.
    changed_at: u64,
    encoded: String,
}

/// An entry as JSON, with the service that it belongs to.
struct EncodedEntry {
    model: String,
    text: String,
}

/// The encoded whole list.
#[derive(Clone)]
struct WholeList {
    /// As the body of a response.
    body: Bytes,
    /// As the first chunk of a watch.
    chunk: Bytes,
}

/// An encoded change.
struct Change {
    rev: u64,
    /// Its entries, for watches that want only some of them.
    entries: Vec<EncodedEntry>,
    /// The chunk with all entries.
    chunk: Bytes,
}

impl Change {
    /// The chunk with the entries that a watch wants; none where it wants none of them.
    fn message_for(&self, interest: &Interest) -> Option<Bytes> {
        let wanted = || self.entries.iter().filter(|entry| interest.wants(&entry.model));
        match wanted().count() {
            0 => None,
            all if all == self.entries.len() => Some(self.chunk.clone()),
            _ => Some(chunk(&line(self.rev, false, wanted().map(|entry| entry.text.as_str())))),
        }
    }
}

/// The list.
#[derive(Default)]
struct List {
    rev: u64,
    entries: BTreeMap<String, StoredEntry>,
    recent: VecDeque<Change>,
    /// The revision before the first one in `recent`.
    recent_after: u64,
    /// The whole list at the present revision.
    whole: Option<WholeList>,
}

/// The services that a sidecar wants entries of; all where none is named.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct Interest(Option<BTreeSet<String>>);

impl Interest {
    fn wants(&self, model: &str) -> bool {
        self.0.as_ref().is_none_or(|models| models.contains(model))
    }
}

fn line<'a>(rev: u64, all: bool, entries: impl Iterator<Item = &'a str>) -> String {
    let entries: Vec<&str> = entries.collect();
    format!("{{\"rev\":{rev},\"all\":{all},\"targets\":[{}]}}\n", entries.join(","))
}

fn chunk(line: &str) -> Bytes {
    Bytes::from(format!("{:x}\r\n{line}\r\n", line.len()))
}

impl List {
    fn apply(&mut self, rev: u64, entries: Vec<Entry>, all: bool) {
        if all {
            self.entries.clear();
            self.recent.clear();
            self.recent_after = rev;
        }
        self.rev = rev;
        self.whole = None;
        let mut changed = Vec::new();
        for entry in entries {
            let text = serde_json::to_string(&entry).unwrap_or_default();
            if !all {
                changed.push(EncodedEntry { model: entry.model.clone(), text: text.clone() });
            }
            self.entries.insert(entry.uid.clone(), StoredEntry { entry, changed_at: rev, encoded: text });
        }
        if !all {
            let chunk = chunk(&line(rev, false, changed.iter().map(|entry| entry.text.as_str())));
            self.recent.push_back(Change { rev, entries: changed, chunk });
            if self.recent.len() > MAX_RECENT_CHANGES {
                self.recent_after = self.recent.pop_front().map_or(self.recent_after, |change| change.rev);
            }
        }
    }

    fn encode(&self, interest: &Interest, after: Option<u64>) -> String {
        let entries = self.entries.values().filter(|stored| match after {
            Some(after) => stored.changed_at > after,
            None => stored.entry.state != "removed",
        });
        let wanted = entries.filter(|stored| interest.wants(&stored.entry.model));
        line(self.rev, after.is_none(), wanted.map(|stored| stored.encoded.as_str()))
    }

    /// The whole list for a response or a watch.
    fn whole(&mut self, interest: &Interest) -> WholeList {
        let encoded = |list: &List| {
            let line = list.encode(interest, None);
            WholeList { body: Bytes::from(line.clone()), chunk: chunk(&line) }
        };
        if interest.0.is_some() {
            return encoded(self);
        }
        if let Some(whole) = &self.whole {
            return whole.clone();
        }
        let whole = encoded(self);
        self.whole = Some(whole.clone());
        whole
    }

    /// The first chunk of a watch: the changes after a revision, or the whole list where the watch has no revision or
    /// one that is higher than the present one.
    fn first_message(&mut self, interest: &Interest, after: u64) -> Bytes {
        if after == 0 || after > self.rev {
            return self.whole(interest).chunk;
        }
        chunk(&self.encode(interest, Some(after)))
    }

    /// Appends the chunks after a revision that a watch wants.
    fn messages_after(&self, interest: &Interest, after: u64, lines: &mut Vec<Bytes>) {
        if after >= self.rev {
            return;
        }
        if after < self.recent_after {
            return lines.push(chunk(&self.encode(interest, Some(after))));
        }
        let first_new = self.recent.partition_point(|change| change.rev <= after);
        lines.extend(self.recent.range(first_new..).filter_map(|change| change.message_for(interest)));
    }
}

/// The state of the process.
struct Control {
    list: RefCell<List>,
    rev: watch::Sender<u64>,
    connection_resets: watch::Sender<u64>,
    sent: RefCell<BTreeMap<usize, SentCounts>>,
    changed: RefCell<BTreeSet<usize>>,
    late: Cell<u64>,
}

/// Runs control until the end of standard input.
///
/// # Errors
///
/// A command can't be parsed.
pub fn run() -> Result<()> {
    actix_rt::System::new().block_on(async {
        let control = Rc::new(Control {
            list: RefCell::default(),
            rev: watch::channel(0).0,
            connection_resets: watch::channel(0).0,
            sent: RefCell::default(),
            changed: RefCell::default(),
            late: Cell::new(0),
        });
        actix_rt::spawn(report_samples(control.clone()));
        let mut commands = BufReader::with_capacity(1 << 20, stdin()).lines();
        while let Some(line) = commands.next_line().await? {
            let command = serde_json::from_str(&line).context("invalid command")?;
            match command {
                Command::Serve(sidecars) => {
                    for (sidecar, at) in sidecars {
                        control.count(sidecar, |_| {});
                        match TcpListener::bind(at).await {
                            Ok(listener) => drop(actix_rt::spawn(control.clone().listen(sidecar, listener))),
                            Err(error) => write_report(&Report::Fault(format!("{at}: {error}"))),
                        }
                    }
                    let sidecar_count = control.sent.borrow().len();
                    write_report(&Report::Serves(sidecar_count));
                }
                Command::List { rev, entries } => {
                    control.list.borrow_mut().apply(rev, entries, true);
                    control.rev.send_replace(rev);
                }
                Command::Change { rev, entries } => {
                    control.list.borrow_mut().apply(rev, entries, false);
                    control.rev.send_replace(rev);
                }
                Command::CloseConnections => control.connection_resets.send_modify(|n| *n += 1),
            }
        }
        // The last counters.
        write_report(&Report::Sample(control.sample()));
        Ok(())
    })
}

async fn report_samples(control: Rc<Control>) {
    let mut ticks = interval(SAMPLE_INTERVAL);
    loop {
        let due = ticks.tick().await;
        let late = Instant::now().saturating_duration_since(due).as_micros() as u64;
        control.late.set(late.max(control.late.get()));
        write_report(&Report::Sample(control.sample()));
    }
}

impl Control {
    fn sample(&self) -> Sample {
        let changed = self.changed.take();
        let sent = self.sent.borrow();
        let sidecars = changed.iter().filter_map(|sidecar| sent.get(sidecar).copied()).collect();
        let at = now();
        let late = self.late.take();
        Sample { at, late, cpu: processor_time(), memory: resident_memory("self"), sidecars }
    }

    fn count(&self, sidecar: usize, count: impl FnOnce(&mut SentCounts)) {
        count(
            self.sent.borrow_mut().entry(sidecar).or_insert(SentCounts { sidecar, ..SentCounts::default() }),
        );
        self.changed.borrow_mut().insert(sidecar);
    }

    async fn listen(self: Rc<Self>, sidecar: usize, listener: TcpListener) {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                sleep(Duration::from_millis(20)).await;
                continue;
            };
            let _ = stream.set_nodelay(true);
            let control = self.clone();
            let mut connection_resets = self.connection_resets.subscribe();
            actix_rt::spawn(async move {
                tokio::select! {
                    // The client handles broken connections.
                    _ = control.serve(sidecar, stream) => {}
                    _ = connection_resets.changed() => {}
                }
            });
        }
    }

    async fn write(&self, stream: &mut TcpStream, sidecar: usize, bytes: &[u8]) -> Result<()> {
        let mut left = bytes;
        while !left.is_empty() {
            let written = stream.write(left).await?;
            if written == 0 {
                bail!("connection closed");
            }
            self.count(sidecar, |sent| sent.bytes += written as u64);
            left = &left[written..];
        }
        Ok(())
    }

    /// Serves the requests of a connection until it ends.
    async fn serve(&self, sidecar: usize, mut stream: TcpStream) -> Result<()> {
        let mut read = Vec::new();
        loop {
            let target = loop {
                if let Some(ParsedHead { target, length }) = parse_head(&read)? {
                    read.drain(..length);
                    break target;
                }
                if read.len() > MAX_HEAD_BYTES || stream.read_buf(&mut read).await? == 0 {
                    bail!("no complete request head");
                }
            };
            let (path, query) = target.split_once('?').unwrap_or((&target, ""));
            let key = |key: &str| {
                query.split('&').find_map(|part| part.strip_prefix(key)?.strip_prefix('=').map(str::to_owned))
            };
            if path != "/v1/servers" {
                self.write(&mut stream, sidecar, b"HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\n\r\n")
                    .await?;
                continue;
            }
            let models = key("models").map(|models| models.split(',').map(str::to_owned).collect());
            let interest = Interest(models);
            if key("watch").as_deref() != Some("1") {
                let whole = self.list.borrow_mut().whole(&interest).body;
                let head = format!(
                    "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
                    whole.len()
                );
                self.write(&mut stream, sidecar, head.as_bytes()).await?;
                self.write(&mut stream, sidecar, &whole).await?;
                self.count(sidecar, |sent| {
                    sent.messages += 1;
                    sent.whole += 1;
                });
                continue;
            }
            let after = key("after").and_then(|after| after.parse().ok()).unwrap_or(0);
            return self.watch(sidecar, stream, interest, after).await;
        }
    }

    async fn watch(
        &self,
        sidecar: usize,
        mut stream: TcpStream,
        interest: Interest,
        after: u64,
    ) -> Result<()> {
        self.count(sidecar, |sent| sent.watches += 1);
        let head = b"HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ntransfer-encoding: chunked\r\n\r\n";
        let mut revisions = self.rev.subscribe();
        let mut rev = *revisions.borrow_and_update();
        let first = self.list.borrow_mut().first_message(&interest, after);
        self.write(&mut stream, sidecar, head).await?;
        self.write(&mut stream, sidecar, &first).await?;
        self.count(sidecar, |sent| sent.messages += 1);
        let mut last_write = Instant::now();
        let mut lines = Vec::new();
        let mut discard = [0; 64];
        loop {
            let until_heartbeat = HEARTBEAT_INTERVAL.saturating_sub(last_write.elapsed());
            tokio::select! {
                changed = timeout(until_heartbeat, revisions.changed()) => {
                    if changed.is_err() {
                        self.write(&mut stream, sidecar, b"1\r\n\n\r\n").await?;
                        self.count(sidecar, |sent| sent.heartbeats += 1);
                        last_write = Instant::now();
                        continue;
                    }
                }
                // A client sends nothing on a watch: anything that can be read is its end.
                read = stream.read(&mut discard) => match read {
                    Ok(0) | Err(_) => return Ok(()),
                    Ok(_) => continue,
                },
            }
            let new = *revisions.borrow_and_update();
            self.list.borrow().messages_after(&interest, rev, &mut lines);
            rev = new;
            for line in lines.drain(..) {
                self.write(&mut stream, sidecar, &line).await?;
                self.count(sidecar, |sent| sent.messages += 1);
                last_write = Instant::now();
            }
        }
    }
}

/// A complete request head.
struct ParsedHead {
    target: String,
    length: usize,
}

/// Parses a request head, once it is complete.
fn parse_head(read: &[u8]) -> Result<Option<ParsedHead>> {
    let mut headers = [httparse::EMPTY_HEADER; 32];
    let mut request = httparse::Request::new(&mut headers);
    match request.parse(read).context("invalid HTTP request")? {
        httparse::Status::Complete(length) => {
            let target = request.path.unwrap_or_default().to_owned();
            Ok(Some(ParsedHead { target, length }))
        }
        httparse::Status::Partial => Ok(None),
    }
}
