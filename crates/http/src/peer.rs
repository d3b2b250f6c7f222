//! One actor for each server: it owns the connections to it and carries out attempts and probes.
//!
//! A connection is an awc client of its own whose pool holds that one connection: so it is known here which
//! are idle, since when, and that an attempt given up takes its connection with it. A connection that awc's
//! own pool kept would stand idle until the next request, however old.

use crate::idle::{AllIdle, Idle};
use crate::line::{Gate, Line, Means, Unsent, Wire};
use crate::message::{Body, Broken, Coming, Part, Parts, Reply, Request, Rest, probe_uri, read_body};
use crate::own::Own;
use crate::written::Written;
use crate::{Ended, Handle};
use awc::error::SendRequestError;
use bytes::{Bytes, BytesMut};
use dunlincleat::api::{Attempt, RequestId, ServerId, Span, State, Status};
use dunlincleat_engine::shell::Transports;
use dunlincleat_engine::{Endpoint, PoolId};
use dunlincleat_status::{LogLimiter, Metrics, log_limited};
use futures_util::StreamExt;
use futures_util::future::{AbortHandle, Abortable, Aborted, LocalBoxFuture};
use futures_util::stream::{self, FuturesUnordered};
use rustc_hash::FxHashMap;
use std::cell::{Cell, RefCell};
use std::future::pending;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::task::{Poll, ready};
use std::time::Duration;
use tokio::sync::{Semaphore, mpsc};
use tokio::time::{Instant, sleep, sleep_until, timeout, timeout_at};

/// What a server's actor is told.
enum Msg {
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
        /// How long a connection for it may take, where that is narrowed.
        connect: Option<Duration>,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// Of which request.
        id: RequestId,
        /// Which attempt.
        attempt: Attempt,
    },
    /// Nobody waits for an attempt any more.
    Withdraw {
        /// Of which request.
        id: RequestId,
        /// Which attempt.
        attempt: Attempt,
    },
    /// Ask the server how it is, for whom.
    Probe(PoolId),
    /// What the list says of it.
    Listed {
        /// Where it is reached and when it last started; nothing where the list lacks it.
        at: Option<(SocketAddr, u64)>,
        /// Whether it takes new work.
        state: State,
    },
}

/// What all peers are given.
#[derive(Clone)]
struct Common {
    means: Means,
    /// The names of the figures in a load report.
    fields: Rc<[String]>,
    /// Servers answer `/load` with a report.
    load_probes: bool,
    /// The idle connections to all servers.
    idle: AllIdle,
    /// The line of the log for answers that are of no use.
    spoilt: Rc<LogLimiter>,
    engine: Handle,
}

/// The transports to all servers: the mailboxes of their actors, by number. An actor ends with its mailbox.
pub struct Peers {
    common: Common,
    mailboxes: FxHashMap<ServerId, mpsc::UnboundedSender<Msg>>,
}

impl Peers {
    /// Transports that tell `engine` what became of each attempt and probe.
    pub fn new(
        own: Rc<Own>,
        fields: Rc<[String]>,
        load_probes: bool,
        engine: Handle,
        metrics: Arc<Metrics>,
    ) -> Peers {
        let sockets = Arc::new(Semaphore::new(own.server_connections));
        let idle = AllIdle::default();
        let all = idle.clone();
        let close_idle = Rc::new(move || all.close_oldest());
        let means = Means { own, sockets, close_idle, full: Rc::default(), metrics };
        let common = Common { means, fields, load_probes, idle, spoilt: Rc::default(), engine };
        Peers { common, mailboxes: FxHashMap::default() }
    }

    fn tell(&self, server: ServerId, msg: Msg) -> bool {
        self.mailboxes.get(&server).is_some_and(|mailbox| mailbox.send(msg).is_ok())
    }
}

impl Transports for Peers {
    type Payload = Rc<Request>;
    type Body = Body;

    fn open(&mut self, server: ServerId, endpoint: Endpoint) {
        self.mailboxes.insert(server, start(server, endpoint.address, endpoint.boot_ms, self.common.clone()));
    }

    fn update(&mut self, server: ServerId, endpoint: Option<Endpoint>, state: State) {
        let at = endpoint.map(|endpoint| (endpoint.address, endpoint.boot_ms));
        self.tell(server, Msg::Listed { at, state });
    }

    fn close(&mut self, server: ServerId) {
        self.mailboxes.remove(&server);
    }

    fn attempt(
        &mut self,
        id: RequestId,
        attempt: Attempt,
        server: ServerId,
        request: Rc<Request>,
        until: Instant,
        connect: Option<Duration>,
    ) {
        if !self.tell(server, Msg::Attempt { id, attempt, request, until, connect }) {
            self.common.engine.attempt_ended(
                id,
                attempt,
                server,
                Ended::without_response(Status::ConnectFailed),
            );
        }
    }

    fn cancel(&mut self, id: RequestId, attempt: Attempt, server: ServerId) {
        self.tell(server, Msg::Cancel { id, attempt });
    }

    fn withdraw(&mut self, id: RequestId, attempt: Attempt, server: ServerId) {
        self.tell(server, Msg::Withdraw { id, attempt });
    }

    fn probe(&mut self, server: ServerId, asked: PoolId) {
        if !self.tell(server, Msg::Probe(asked)) {
            self.common.engine.probe_ended(server, asked, Ended::without_response(Status::ConnectFailed));
        }
    }

    fn free_connections(&self) -> usize {
        self.common.means.sockets.available_permits()
    }
}

/// Starts the actor of a server.
fn start(server: ServerId, endpoint: SocketAddr, boot_ms: u64, common: Common) -> mpsc::UnboundedSender<Msg> {
    let (handle, mailbox) = mpsc::unbounded_channel();
    let gate = Rc::new(Gate::default());
    let peer = Peer {
        server,
        endpoint,
        boot_ms,
        gate,
        heard: Instant::now(),
        idle: common.idle.server(),
        common,
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
    started: Instant,
    ended: Ended,
    line: Option<Line>,
}

#[derive(Clone, Copy)]
enum What {
    Attempt(RequestId, Attempt),
    Probe(PoolId),
}

struct Peer {
    server: ServerId,
    endpoint: SocketAddr,
    boot_ms: u64,
    common: Common,
    gate: Rc<Gate>,
    /// When it last sent anything.
    heard: Instant,
    idle: Idle,
    out: FuturesUnordered<Job>,
    /// What ends an attempt, and whether it has begun.
    aborts: FxHashMap<(RequestId, Attempt), (AbortHandle, Rc<Wire>)>,
}

impl Peer {
    async fn run(mut self, mut mailbox: mpsc::UnboundedReceiver<Msg>) {
        loop {
            let oldest = self.idle.oldest().map(|since| since + self.common.means.own.idle);
            tokio::select! {
                biased;
                msg = mailbox.recv() => match msg {
                    Some(msg) => self.take(msg),
                    None => return,
                },
                Some(done) = self.out.next(), if !self.out.is_empty() => self.done(done),
                () = self.idle.ended(), if !self.idle.is_empty() => {}
                () = sleep_until(oldest.unwrap_or_else(Instant::now)), if oldest.is_some() => {
                    self.idle.close_older(self.common.means.own.idle);
                }
            }
        }
    }

    fn take(&mut self, msg: Msg) {
        match msg {
            Msg::Attempt { id, attempt, request, until, connect } => {
                let line = self.line();
                // What the connection carried before is not taken for this one, which may be called off unbegun.
                line.wire.begin(None);
                let (endpoint, common, server) = (self.endpoint, self.common.clone(), self.server);
                let (abort, registration) = AbortHandle::new_pair();
                self.aborts.insert((id, attempt), (abort, line.wire.clone()));
                let started = Instant::now();
                self.out.push(Box::pin(async move {
                    let wire = line.wire.clone();
                    let of = Of { id, attempt, server };
                    let sending = send(line, endpoint, &request, (until, connect), &common, of);
                    let (mut ended, line) = match Abortable::new(sending, registration).await {
                        Ok(end) => end,
                        Err(Aborted) if wire.withdrawn() => (Ended::without_response(Status::NotSent), None),
                        Err(Aborted) => {
                            (Ended::without_response(wire.unless_written(Status::Cancelled)), None)
                        }
                    };
                    if ended.latency == Span(0) {
                        ended.latency = Span(started.elapsed().as_micros() as u64);
                    }
                    Done { what: What::Attempt(id, attempt), started, ended, line }
                }));
            }
            Msg::Cancel { id, attempt } => {
                if let Some((abort, _)) = self.aborts.get(&(id, attempt)) {
                    abort.abort();
                }
            }
            Msg::Withdraw { id, attempt } => {
                // Written in part it has not begun either: a server begins with the last byte.
                if let Some((abort, wire)) = self.aborts.get(&(id, attempt)).filter(|(_, w)| !w.written()) {
                    wire.withdraw();
                    abort.abort();
                }
            }
            Msg::Probe(asked) => {
                let line = self.line();
                let (endpoint, common) = (self.endpoint, self.common.clone());
                let started = Instant::now();
                self.out.push(Box::pin(async move {
                    let (mut ended, line) = probe(line, endpoint, &common).await;
                    ended.latency = Span(started.elapsed().as_micros() as u64);
                    Done { what: What::Probe(asked), started, ended, line }
                }));
            }
            Msg::Listed { at, state } => {
                // Connections to an old process or place are dead, though nothing may have told of that: what
                // is written to one ends as a reset, after which an unsafe request must not be sent again.
                let (endpoint, boot_ms) = at.unwrap_or((self.endpoint, self.boot_ms));
                let moved = (endpoint, boot_ms) != (self.endpoint, self.boot_ms);
                // One that leaves gets nothing more, and at the bound its idle connections had kept the servers that came in
                // its place out of reach until they were too old.
                if moved || state != State::Ready {
                    self.idle.clear();
                }
                (self.endpoint, self.boot_ms) = (endpoint, boot_ms);
                self.listed(state, moved);
            }
        }
    }

    /// A server that leaves gets nothing new from this moment on. Its drain may have been told long before it was
    /// heard, so no grace is left to spend: what has not begun there ends as never sent, and is drawn again.
    /// The same holds for what has not begun at a process that it replaced, whose address may be another server's by now.
    fn listed(&mut self, state: State, moved: bool) {
        let leaves = state != State::Ready;
        self.gate.closed.set(leaves);
        if leaves || moved {
            for (abort, wire) in self.aborts.values().filter(|(_, wire)| wire.unsent()) {
                wire.withdraw();
                abort.abort();
            }
        }
    }

    fn done(&mut self, done: Done) {
        if let Some(line) = done.line {
            // One that was in use while its server moved or started anew leads to what was there before.
            let here = line.to == (self.endpoint, self.boot_ms);
            if line.wire.fit() && here && !self.gate.closed.get() {
                self.idle.keep(line);
            }
        }
        match done.ended.status {
            Status::Ok | Status::Error | Status::Rejected | Status::Reset => self.heard = Instant::now(),
            // Nothing at all came since the attempt went out: its machine may have vanished, and the idle
            // connections only look alive. What is written to one ends as a request that may have run.
            Status::Timeout if matches!(done.what, What::Attempt(..)) && self.heard < done.started => {
                self.idle.clear();
            }
            Status::Timeout | Status::ConnectFailed | Status::Cancelled | Status::NotSent => {}
        }
        match done.what {
            What::Attempt(id, attempt) => {
                self.aborts.remove(&(id, attempt));
                self.common.engine.attempt_ended(id, attempt, self.server, done.ended);
            }
            What::Probe(asked) => self.common.engine.probe_ended(self.server, asked, done.ended),
        }
    }

    /// An idle connection, or a new one, which is opened when it is first sent on.
    fn line(&self) -> Line {
        let to = (self.endpoint, self.boot_ms);
        self.idle.take().unwrap_or_else(|| Line::new(&self.common.means, self.gate.clone(), to))
    }
}

/// Which attempt.
#[derive(Clone, Copy)]
struct Of {
    id: RequestId,
    attempt: Attempt,
    server: ServerId,
}

/// A body that still comes, told to the engine for as long as this lives.
struct Uploads {
    of: Of,
    engine: Handle,
}

impl Uploads {
    fn new(of: Of, common: &Common) -> Uploads {
        common.engine.upload(of.id, of.server, false);
        Uploads { of, engine: common.engine.clone() }
    }
}

impl Drop for Uploads {
    fn drop(&mut self) {
        self.engine.upload(self.of.id, self.of.server, true);
    }
}

/// The body of an attempt, where it still came when the attempt began.
struct Sending {
    /// Until its last byte was handed on.
    comes: RefCell<Option<Uploads>>,
    /// When that was.
    whole: Cell<Option<Instant>>,
}

impl Sending {
    /// The rest of the body as awc reads it: with its end the attempt's own time begins.
    fn parts(self: Rc<Sending>, rest: Rc<Rest>, wire: Rc<Wire>) -> Coming {
        let parts = stream::poll_fn(move |cx| {
            let part = ready!(rest.poll(cx));
            if part.is_none() {
                drop(self.comes.borrow_mut().take());
                self.whole.set(Some(Instant::now()));
                wire.last();
            }
            Poll::Ready(part)
        });
        parts.boxed_local()
    }
}

/// How often it is looked at whether a body that is still coming has come.
const UPLOAD_LOOK: Duration = Duration::from_millis(50);
/// How long the beginning of an answer of untold length is held back to see its end, against how long it may stand
/// still: one that breaks off or stops while it is held can be tried again.
const HOLD: f64 = 4.0 / 3.0;
/// How long a client may take for the next part of an answer.
const CLIENT_STALL: Duration = Duration::from_secs(20);
/// Parts of an answer on their way to the client.
const PARTS: usize = 1;

/// Sends a request and waits for the answer. The line comes back where it can be used again.
///
/// A request whose body is still coming has its time from its last byte on, as its client counts it. An answer is held
/// up to the bound; a longer one is passed on from its first bytes, and from then on no deadline cuts it.
async fn send(
    line: Line,
    endpoint: SocketAddr,
    request: &Request,
    (until, connect): (Instant, Option<Duration>),
    common: &Common,
    of: Of,
) -> (Ended, Option<Line>) {
    let started = Instant::now();
    let left = until.saturating_duration_since(started);
    let rest = request.rest();
    // Guards against a part of a body sent for the whole: what an attempt has read of it is not there for another.
    if rest.as_ref().is_some_and(|rest| rest.read()) {
        return (Ended::without_response(Status::NotSent), Some(line));
    }
    // Its permission is asked here, where the effect begins, and not where it was given.
    if request.errand().is_some_and(|errand| !errand.may()) {
        return (Ended::without_response(Status::NotSent), Some(line));
    }
    let length = match &rest {
        Some(rest) => rest.length,
        None => Some(request.held().len() as u64),
    };
    line.wire.begin(Some(Written::new(length)));
    let body = Rc::new(Sending {
        comes: RefCell::new(rest.is_some().then(|| Uploads::new(of, common))),
        whole: Cell::new(None),
    });
    let rest = rest.map(|rest| body.clone().parts(rest, line.wire.clone()));
    let exchange = async {
        let response = request.encode(&line.client, endpoint, left, rest).await.map_err(failure)?;
        let reply = Reply::decode(response.status(), response.headers(), &common.fields);
        request.errand().into_iter().for_each(|errand| errand.hears(response.status(), response.headers()));
        let (first, rest) = hold(response, reply.length, &common.means.own, &line.wire).await?;
        Ok::<_, Status>((reply, first, rest))
    };
    // Nothing was written in time: the connection did not come up, and nothing can have run.
    let connecting = async {
        match connect {
            Some(connect) => sleep(connect).await,
            None => pending().await,
        }
        if !line.wire.unsent() {
            pending::<()>().await;
        }
        Status::ConnectFailed
    };
    let over = async {
        while body.comes.borrow().is_some() {
            sleep(UPLOAD_LOOK).await;
            if line.wire.unsent() && Instant::now() >= until {
                return;
            }
        }
        sleep_until(until).await;
        if let Some(whole) = body.whole.get() {
            sleep_until(whole + left).await;
        }
    };
    let exchange = async {
        tokio::select! {
            biased;
            done = exchange => Some(done),
            status = connecting => Some(Err(status)),
            () = over => None,
        }
    };
    match exchange.await {
        Some(Ok((reply, _, rest))) if reply.status != Status::Ok => {
            let line = rest.is_none().then_some(line);
            (Ended { status: reply.status, latency: Span(0), load: reply.load, body: None }, line)
        }
        Some(Ok((reply, first, rest))) => {
            let since = body.whole.get().unwrap_or(started);
            let latency = Span((since.elapsed().as_micros() as u64).max(1));
            let Reply { status, load, content_type, length } = reply;
            let Some(mut response) = rest else {
                let body = Some(Body { parts: Parts::Whole(first), content_type });
                return (Ended { status, latency, load, body }, Some(line));
            };
            let (sender, receiver) = mpsc::channel(PARTS);
            let body = Some(Body { parts: Parts::Passing { first, rest: receiver, length }, content_type });
            line.wire.pass_on();
            common.engine.response_started(
                of.id,
                of.attempt,
                of.server,
                Ended { status, latency, load, body },
            );
            let status = pass_on(&mut response, &sender, &line.wire).await;
            (Ended::without_response(status), (status == Status::Ok).then_some(line))
        }
        // One that broke off in the middle of its body never ran.
        Some(Err(Status::Reset)) if line.wire.spoilt().is_none() => {
            (Ended::without_response(line.wire.unless_written(Status::Reset)), None)
        }
        Some(Err(status)) => (Ended::without_response(judged(status, endpoint, &line.wire, common)), None),
        None => (Ended::without_response(line.wire.unless_written(Status::Timeout)), None),
    }
}

/// Holds an answer to its end, so that one that breaks off can be tried again, or until it has to be passed on: what
/// is told to be longer than the bound from its first bytes, another once it is longer, or has come for too long. Gives
/// what came, and the answer itself where more is to come.
async fn hold(
    mut response: awc::ClientResponse,
    length: Option<u64>,
    own: &Own,
    wire: &Wire,
) -> Result<(Bytes, Option<awc::ClientResponse>), Status> {
    let most = if length.is_some_and(|length| length > own.body_bytes as u64) { 0 } else { own.body_bytes };
    let until = Instant::now() + own.answer_stall.mul_f64(HOLD);
    let mut first = BytesMut::new();
    while first.len() <= most {
        let part = if length.is_some() || first.is_empty() {
            response.next().await
        } else {
            match timeout_at(until, response.next()).await {
                Ok(part) => part,
                Err(_) => break,
            }
        };
        match part {
            Some(Ok(part)) => first.extend_from_slice(&part),
            // Guards against half an answer served as a whole one: awc ends a body whose connection broke off
            // without an error.
            None if wire.whole() => return Ok((first.freeze(), None)),
            Some(Err(_)) | None => return Err(Status::Reset),
        }
    }
    Ok((first.freeze(), Some(response)))
}

/// Passes the rest of an answer on as fast as its client reads: what does not fit is not read from the server.
async fn pass_on(response: &mut awc::ClientResponse, client: &mpsc::Sender<Part>, wire: &Wire) -> Status {
    loop {
        let part = tokio::select! {
            biased;
            part = response.next() => part,
            // Its client has left: the connection is given back at once, not when the server speaks again.
            () = client.closed() => return Status::Cancelled,
        };
        let part = match part {
            Some(Ok(part)) => Part::Bytes(part),
            None if wire.whole() => Part::End,
            Some(Err(_)) | None => return Status::Reset,
        };
        let ends = matches!(part, Part::End);
        match timeout(CLIENT_STALL, client.send(part)).await {
            Ok(Ok(())) if ends => return Status::Ok,
            Ok(Ok(())) => {}
            Ok(Err(_)) | Err(_) => return Status::Cancelled,
        }
    }
}

async fn probe(line: Line, endpoint: SocketAddr, common: &Common) -> (Ended, Option<Line>) {
    line.wire.begin(None);
    let exchange = async {
        let request = line.client.get(probe_uri(endpoint, common.load_probes));
        let response = request.send().await.map_err(failure)?;
        let (status, headers) = (response.status(), response.headers().clone());
        let body = whole_body(response, common, &line.wire).await?;
        Ok::<_, Status>(Reply::decode_probe(status, &headers, &body, &common.fields))
    };
    match timeout_at(Instant::now() + common.means.own.probe, exchange).await {
        Ok(Ok(reply)) => {
            let Reply { status, load, .. } = reply;
            (Ended { status, latency: Span(0), load, body: None }, Some(line))
        }
        Ok(Err(status)) => (Ended::without_response(judged(status, endpoint, &line.wire, common)), None),
        Err(_) => (Ended::without_response(Status::Timeout), None),
    }
}

/// What an attempt without an answer says. A spoilt answer is a server's word all the same: it lives and may
/// have run the request. Taken for a broken connection, it had servers left out that were like all others.
fn judged(status: Status, endpoint: SocketAddr, wire: &Wire, common: &Common) -> Status {
    let Some(why) = wire.spoilt() else { return status };
    let line = format!("answer of {endpoint} is of no use: {why}");
    log_limited!(common.spoilt, warn, line);
    Status::Error
}

/// Reads the body of a probe's answer. One that breaks off is a reset, one that is too long an error.
async fn whole_body(
    mut response: awc::ClientResponse,
    common: &Common,
    wire: &Wire,
) -> Result<Bytes, Status> {
    match read_body(&mut response, common.means.own.body_bytes).await {
        Ok((_, false)) => Err(Status::Error),
        Ok((body, true)) if wire.whole() => Ok(body),
        Ok((_, true)) | Err(Broken) => Err(Status::Reset),
    }
}

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
        SendRequestError::Connect(awc::error::ConnectError::Io(error)) if here(&error) => Status::NotSent,
        SendRequestError::Send(error) if here(&error) => Status::NotSent,
        SendRequestError::Connect(_) | SendRequestError::Url(_) | SendRequestError::Http(_) => {
            Status::ConnectFailed
        }
        // The client's body broke off: nothing of it can run, and no server is at fault.
        SendRequestError::Body(_) => Status::NotSent,
        // A write failed: the kernel did not take the last byte.
        SendRequestError::Send(_) => Status::ConnectFailed,
        _ => Status::Reset,
    }
}

#[cfg(test)]
mod tests;
