//! One actor for each server: it owns the connections to it and carries out attempts and probes.
//!
//! A connection is an awc client of its own whose pool holds that one connection: so it is known here which
//! are idle, since when, and that an attempt given up takes its connection with it. A connection that awc's
//! own pool kept would stand idle until the next request, however old.

use crate::config::Own;
use crate::logger::Seldom;
use crate::message::{Cut, Reply, Request, authority, probe_uri, read_body};
use crate::module;
use actix_http::header;
use actix_rt::net::{ActixStream, Ready, TcpStream};
use actix_service::Service;
use actix_tls::connect::{ConnectError, ConnectInfo, Connection};
use awc::error::SendRequestError;
use awc::http::Uri;
use bytes::Bytes;
use dunlincleat::api::{Attempt, RequestId, ServerId, State, Status};
use futures_util::StreamExt;
use futures_util::future::{AbortHandle, Abortable, Aborted, LocalBoxFuture};
use futures_util::stream::FuturesUnordered;
use rustc_hash::FxHashMap;
use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::{Rc, Weak};
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc};
use tokio::time::{Instant, sleep_until, timeout_at};

/// What a server's actor is told.
pub enum Msg {
    /// Start an attempt.
    Attempt {
        /// Of which request.
        id: RequestId,
        /// Which attempt.
        attempt: Attempt,
        /// The request itself.
        request: Rc<Request>,
        /// When to stop waiting.
        until: Instant,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// Of which request.
        id: RequestId,
        /// Which attempt.
        attempt: Attempt,
    },
    /// Ask the server how it is.
    Probe,
    /// What the list says of it.
    Listed {
        /// Where it is reached.
        endpoint: SocketAddr,
        /// Whether it takes new work.
        state: State,
        /// When it last started.
        boot_ms: u64,
    },
    /// The whole list lacks it.
    Missing,
}

/// How an attempt or a probe ended.
pub struct Ended {
    /// How.
    pub status: Status,
    /// Time since it was taken up.
    pub latency: Duration,
    /// The load report.
    pub load: Vec<f64>,
    /// The answer's body and type, where it was served.
    pub body: Option<(Bytes, Option<header::HeaderValue>)>,
}

impl Ended {
    /// One that brought no answer.
    pub fn unsent(status: Status) -> Ended {
        Ended { status, latency: Duration::ZERO, load: Vec::new(), body: None }
    }
}

/// What all peers are given.
#[derive(Clone)]
pub struct Common {
    /// The sidecar's own figures.
    pub own: Rc<Own>,
    /// The names of the figures in a load report.
    pub fields: Rc<[String]>,
    /// Servers answer `/load` with a report.
    pub load_probes: bool,
    /// How long sends may go on after the news that a server leaves.
    pub grace: Duration,
    /// Connections to servers that may still be opened.
    pub sockets: Arc<Semaphore>,
    /// The line of the log for attempts that found no place among those.
    pub full: Rc<Seldom>,
    /// The module's mailbox.
    pub module: module::Handle,
}

/// Starts the actor of a server.
pub fn start(
    server: ServerId,
    endpoint: SocketAddr,
    boot_ms: u64,
    common: Common,
) -> mpsc::UnboundedSender<Msg> {
    let (handle, mailbox) = mpsc::unbounded_channel();
    let gate = Rc::new(Gate::default());
    let peer = Peer {
        server,
        endpoint,
        boot_ms,
        common,
        gate,
        idle: Vec::new(),
        out: FuturesUnordered::new(),
        aborts: FxHashMap::default(),
    };
    actix_rt::spawn(peer.run(mailbox));
    handle
}

/// Errors of the system that say that this machine has no more to give.
const EMFILE: i32 = 24;
const ENFILE: i32 = 23;
const EADDRNOTAVAIL: i32 = 99;

type Job = LocalBoxFuture<'static, Done>;

struct Done {
    what: What,
    ended: Ended,
    line: Option<Line>,
}

#[derive(Clone, Copy)]
enum What {
    Attempt(RequestId, Attempt),
    Probe,
}

struct Peer {
    server: ServerId,
    endpoint: SocketAddr,
    boot_ms: u64,
    common: Common,
    gate: Rc<Gate>,
    /// Idle connections, the last used at the end.
    idle: Vec<Line>,
    out: FuturesUnordered<Job>,
    aborts: FxHashMap<(RequestId, Attempt), AbortHandle>,
}

impl Peer {
    async fn run(mut self, mut mailbox: mpsc::UnboundedReceiver<Msg>) {
        loop {
            let oldest = self.idle.first().map(|line| line.since + self.common.own.idle);
            tokio::select! {
                biased;
                msg = mailbox.recv() => match msg {
                    Some(msg) => self.take(msg),
                    None => return,
                },
                Some(done) = self.out.next(), if !self.out.is_empty() => self.done(done),
                at = ended_idle(&self.idle), if !self.idle.is_empty() => drop(self.idle.remove(at)),
                () = sleep_until(oldest.unwrap_or_else(Instant::now)), if oldest.is_some() => {
                    let (now, idle) = (Instant::now(), self.common.own.idle);
                    self.idle.retain(|line| line.since + idle > now);
                }
            }
        }
    }

    fn take(&mut self, msg: Msg) {
        match msg {
            Msg::Attempt { id, attempt, request, until } => {
                let line = self.line();
                let (endpoint, common) = (self.endpoint, self.common.clone());
                let (abort, registration) = AbortHandle::new_pair();
                self.aborts.insert((id, attempt), abort);
                let started = Instant::now();
                self.out.push(Box::pin(async move {
                    let wire = line.wire.clone();
                    let sending = send(line, endpoint, &request, until, &common);
                    let (mut ended, line) = match Abortable::new(sending, registration).await {
                        Ok(end) => end,
                        Err(Aborted) => (Ended::unsent(wire.unless_sent(Status::Cancelled)), None),
                    };
                    ended.latency = started.elapsed();
                    Done { what: What::Attempt(id, attempt), ended, line }
                }));
            }
            Msg::Cancel { id, attempt } => {
                if let Some(abort) = self.aborts.get(&(id, attempt)) {
                    abort.abort();
                }
            }
            Msg::Probe => {
                let line = self.line();
                let (endpoint, common) = (self.endpoint, self.common.clone());
                let started = Instant::now();
                self.out.push(Box::pin(async move {
                    let (mut ended, line) = probe(line, endpoint, &common).await;
                    ended.latency = started.elapsed();
                    Done { what: What::Probe, ended, line }
                }));
            }
            Msg::Listed { endpoint, state, boot_ms } => {
                // Connections to an old process or place are dead, though nothing may have told of that: what
                // is written to one ends as a reset, after which an unsafe request must not be sent again.
                if (endpoint, boot_ms) != (self.endpoint, self.boot_ms) || state == State::Gone {
                    self.idle.clear();
                }
                (self.endpoint, self.boot_ms) = (endpoint, boot_ms);
                self.listed(state);
            }
            Msg::Missing => {
                self.idle.clear();
                self.listed(State::Gone);
            }
        }
    }

    fn listed(&mut self, state: State) {
        let closes = match (state, self.gate.closes.get()) {
            (State::Ready, _) => None,
            (State::Draining | State::Gone, None) => Some(Instant::now() + self.common.grace),
            (State::Draining | State::Gone, closes) => closes,
        };
        self.gate.closes.set(closes);
    }

    fn done(&mut self, done: Done) {
        if let Some(mut line) = done.line.filter(|line| line.wire.open()) {
            line.since = Instant::now();
            self.idle.push(line);
        }
        match done.what {
            What::Attempt(id, attempt) => {
                self.aborts.remove(&(id, attempt));
                self.common.module.ended(id, attempt, self.server, done.ended);
            }
            What::Probe => self.common.module.probed(self.server, done.ended),
        }
    }

    /// The idle connection used last, or a new one, which is opened when it is first sent on.
    fn line(&mut self) -> Line {
        while let Some(line) = self.idle.pop() {
            if line.wire.open() {
                return line;
            }
        }
        Line::new(&self.common, self.gate.clone())
    }
}

/// Sends a request and waits for the answer. The line comes back where it can be used again.
async fn send(
    line: Line,
    endpoint: SocketAddr,
    request: &Request,
    until: Instant,
    common: &Common,
) -> (Ended, Option<Line>) {
    line.wire.sent.set(0);
    let left = until.saturating_duration_since(Instant::now());
    let most = common.own.body_bytes;
    let exchange = async {
        let response = request.encode(&line.client, endpoint, left).await.map_err(failure)?;
        let reply = Reply::decode(response.status(), response.headers(), &common.fields);
        let body = whole_body(response, most, &line.wire).await?;
        Ok::<_, Status>((reply, body))
    };
    match timeout_at(until, exchange).await {
        Ok(Ok((reply, body))) => {
            let body = (reply.status == Status::Ok).then_some((body, reply.content_type));
            let latency = Duration::ZERO;
            (Ended { status: reply.status, latency, load: reply.load, body }, Some(line))
        }
        Ok(Err(status)) => (Ended::unsent(status), None),
        Err(_) => (Ended::unsent(line.wire.unless_sent(Status::Timeout)), None),
    }
}

async fn probe(line: Line, endpoint: SocketAddr, common: &Common) -> (Ended, Option<Line>) {
    line.wire.sent.set(0);
    let exchange = async {
        let request = line.client.get(probe_uri(endpoint, common.load_probes));
        let response = request.send().await.map_err(failure)?;
        let (status, headers) = (response.status(), response.headers().clone());
        let body = whole_body(response, common.own.body_bytes, &line.wire).await?;
        Ok::<_, Status>(Reply::decode_probe(status, &headers, &body, &common.fields))
    };
    match timeout_at(Instant::now() + common.own.probe, exchange).await {
        Ok(Ok(reply)) => {
            let Reply { status, load, .. } = reply;
            (Ended { status, latency: Duration::ZERO, load, body: None }, Some(line))
        }
        Ok(Err(status)) => (Ended::unsent(status), None),
        Err(_) => (Ended::unsent(Status::Timeout), None),
    }
}

/// Reads the body of an answer. One that breaks off is a reset, one that is too long an error.
async fn whole_body(mut response: awc::ClientResponse, most: usize, wire: &Wire) -> Result<Bytes, Status> {
    let length = response.headers().get(header::CONTENT_LENGTH);
    let length = length.and_then(|l| l.to_str().ok()).and_then(|l| l.parse::<usize>().ok());
    let body = read_body(&mut response, most).await.map_err(|cut| match cut {
        Cut::Broken => Status::Reset,
        Cut::TooLong => Status::Error,
    })?;
    // Guards against half an answer served as a whole one: awc ends a body whose connection broke off without
    // an error. Without a length, a body that came whole leaves its connection open, and a broken one took
    // the connection with it.
    drop(response);
    let complete = length.map_or(wire.open(), |length| length == body.len());
    if complete { Ok(body) } else { Err(Status::Reset) }
}

/// Why nothing was sent, for a reason that lies here and not with the server.
#[derive(Debug)]
struct Unsent(&'static str);

impl std::fmt::Display for Unsent {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(self.0)
    }
}

impl std::error::Error for Unsent {}

/// What an error of awc's says about whether the request has run. In doubt it may have.
fn failure(error: SendRequestError) -> Status {
    let here = |error: &io::Error| {
        let bound = matches!(error.raw_os_error(), Some(EMFILE | ENFILE | EADDRNOTAVAIL));
        bound || error.get_ref().is_some_and(|e| e.is::<Unsent>())
    };
    match error {
        // awc says this of a connection that ended before the answer, after the request was written.
        SendRequestError::Connect(awc::error::ConnectError::Disconnected) => Status::Reset,
        // Guards the module's figures: a bound reached here once counted as a server out of reach.
        SendRequestError::Connect(awc::error::ConnectError::Io(error)) if here(&error) => Status::Moot,
        SendRequestError::Send(error) if here(&error) => Status::Moot,
        SendRequestError::Connect(_) | SendRequestError::Url(_) | SendRequestError::Http(_) => {
            Status::ConnectFailed
        }
        // A write failed: the kernel did not take the last byte.
        SendRequestError::Send(_) => Status::ConnectFailed,
        _ => Status::Reset,
    }
}

/// When sends to a server must have ended, as it leaves.
#[derive(Default)]
struct Gate {
    closes: Cell<Option<Instant>>,
}

/// What is seen of a connection from outside awc, which owns it.
#[derive(Default)]
struct Wire {
    stream: RefCell<Weak<TcpStream>>,
    /// Bytes of the present request that the kernel took.
    sent: Cell<usize>,
}

impl Wire {
    fn open(&self) -> bool {
        self.stream.borrow().strong_count() > 0
    }

    /// Whether an idle connection has ended: nothing but its end is due to come on it.
    fn ended(&self, cx: &mut Context<'_>) -> bool {
        let Some(stream) = self.stream.borrow().upgrade() else { return true };
        while stream.poll_read_ready(cx).is_ready() {
            match stream.try_read(&mut [0]) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Ok(_) | Err(_) => return true,
            }
        }
        false
    }

    /// This status where anything was sent, else the one that says that nothing can have run.
    fn unless_sent(&self, status: Status) -> Status {
        if self.sent.get() == 0 { Status::ConnectFailed } else { status }
    }
}

/// Waits until one of the idle connections has ended, and tells its place. A server that closes one gets its
/// end at once, and nothing is written to it any more.
async fn ended_idle(idle: &[Line]) -> usize {
    poll_fn(|cx| {
        let ended = idle.iter().position(|line| line.wire.ended(cx));
        ended.map_or(Poll::Pending, Poll::Ready)
    })
    .await
}

/// A connection to the server, or one to be opened.
struct Line {
    client: awc::Client,
    wire: Rc<Wire>,
    since: Instant,
}

impl Line {
    fn new(common: &Common, gate: Rc<Gate>) -> Line {
        let wire = Rc::new(Wire::default());
        let (sockets, full) = (common.sockets.clone(), common.full.clone());
        let dial = Dial { sockets, full, gate, wire: wire.clone() };
        // Lifetimes and limits are kept here, so awc's own must never act.
        let never = Duration::from_secs(1 << 30);
        let connector = awc::Connector::new()
            .connector(dial)
            .timeout(common.own.connect)
            .conn_keep_alive(never)
            .conn_lifetime(never)
            .limit(0);
        let client = awc::Client::builder()
            .connector(connector)
            .disable_timeout()
            .disable_redirects()
            .no_default_headers()
            .finish();
        Line { client, wire, since: Instant::now() }
    }
}

/// Opens connections within the bound on descriptors.
#[derive(Clone)]
struct Dial {
    sockets: Arc<Semaphore>,
    full: Rc<Seldom>,
    gate: Rc<Gate>,
    wire: Rc<Wire>,
}

impl Service<ConnectInfo<Uri>> for Dial {
    type Response = Connection<Uri, ServerIo>;
    type Error = ConnectError;
    type Future = LocalBoxFuture<'static, Result<Self::Response, Self::Error>>;

    actix_service::always_ready!();

    fn call(&self, info: ConnectInfo<Uri>) -> Self::Future {
        let dial = self.clone();
        Box::pin(async move {
            let uri = info.request().clone();
            let endpoint = authority(&uri).ok_or(ConnectError::Unresolved)?;
            let permit = dial.sockets.try_acquire_owned().map_err(|_| {
                let line = format!("no connection to {endpoint}: the bound on server connections is reached");
                dial.full.say(module_path!(), log::Level::Warn, line);
                ConnectError::Io(io::Error::other(Unsent("the bound on server connections is reached")))
            })?;
            let stream = TcpStream::connect(endpoint).await.map_err(ConnectError::Io)?;
            stream.set_nodelay(true).map_err(ConnectError::Io)?;
            let stream = Rc::new(stream);
            *dial.wire.stream.borrow_mut() = Rc::downgrade(&stream);
            let io = ServerIo { stream, gate: dial.gate, wire: dial.wire, _permit: permit };
            Ok(Connection::new(uri, io))
        })
    }
}

/// A connection to a server. Dropping it closes the socket and gives its descriptor back.
struct ServerIo {
    stream: Rc<TcpStream>,
    gate: Rc<Gate>,
    wire: Rc<Wire>,
    _permit: OwnedSemaphorePermit,
}

impl std::fmt::Debug for ServerIo {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.stream.fmt(f)
    }
}

impl AsyncRead for ServerIo {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        loop {
            ready!(self.stream.poll_read_ready(cx))?;
            match self.stream.try_read(buf.initialize_unfilled()) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                result => return Poll::Ready(result.map(|n| buf.advance(n))),
            }
        }
    }
}

impl AsyncWrite for ServerIo {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        // Guards the drain: an attempt that waited for its connection must not begin after the grace.
        if self.wire.sent.get() == 0 && self.gate.closes.get().is_some_and(|at| Instant::now() >= at) {
            return Poll::Ready(Err(io::Error::other(Unsent("the server leaves and its grace is over"))));
        }
        loop {
            ready!(self.stream.poll_write_ready(cx))?;
            match self.stream.try_write(buf) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Poll::Ready(Err(error)),
                Ok(n) => {
                    self.wire.sent.set(self.wire.sent.get() + n);
                    return Poll::Ready(Ok(n));
                }
            }
        }
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    /// The socket is closed when it is dropped, which comes next.
    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}

impl ActixStream for ServerIo {
    fn poll_read_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_read_ready(&*self.stream, cx)
    }

    fn poll_write_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_write_ready(&*self.stream, cx)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn io(error: io::Error) -> SendRequestError {
        SendRequestError::Send(error)
    }

    #[test]
    fn a_write_that_failed_was_not_whole_and_never_ran() {
        assert_eq!(failure(io(io::ErrorKind::ConnectionReset.into())), Status::ConnectFailed);
        assert_eq!(failure(io(io::ErrorKind::BrokenPipe.into())), Status::ConnectFailed);
    }

    #[test]
    fn what_was_not_sent_for_reasons_of_our_own_is_no_fault_of_the_servers() {
        assert_eq!(failure(io(io::Error::other(Unsent("x")))), Status::Moot);
        for code in [EMFILE, ENFILE, EADDRNOTAVAIL] {
            let error = awc::error::ConnectError::Io(io::Error::from_raw_os_error(code));
            assert_eq!(failure(SendRequestError::Connect(error)), Status::Moot);
        }
        let refused = awc::error::ConnectError::Io(io::ErrorKind::ConnectionRefused.into());
        assert_eq!(failure(SendRequestError::Connect(refused)), Status::ConnectFailed);
    }

    #[test]
    fn in_doubt_it_may_have_run() {
        let ended = SendRequestError::Connect(awc::error::ConnectError::Disconnected);
        assert_eq!(failure(ended), Status::Reset);
        let garbled = SendRequestError::Response(actix_http::error::ParseError::Header);
        assert_eq!(failure(garbled), Status::Reset);
        assert_eq!(failure(SendRequestError::Timeout), Status::Reset);
    }
}
