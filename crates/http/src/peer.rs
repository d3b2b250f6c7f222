//! One actor for each server: it owns the connections to it and carries out attempts and probes.
//!
//! A connection is an awc client of its own whose pool holds that one connection: so it is known here which
//! are idle, since when, and that an attempt given up takes its connection with it. A connection that awc's
//! own pool kept would stand idle until the next request, however old.

use crate::idle::{IdleConnections, IdleRegistry};
use crate::line::{
    ConnectionContext, ConnectionState, NotSentError, SendGate, ServerConnection, ServerProcess,
};
use crate::message::{
    BodyAborted, BodyChunk, BodyChunks, BodyData, RemainingBody, Reply, Request, ResponseBody, probe_uri,
    read_body,
};
use crate::options::HttpOptions;
use crate::write_progress::WriteProgress;
use crate::{Completion, Handle};
use awc::error::SendRequestError;
use bytes::{Bytes, BytesMut};
use dunlincleat::api::{Attempt, RequestId, ServerId, Span, State, Status};
use dunlincleat_engine::shell::Transports;
use dunlincleat_engine::{Endpoint, PoolId};
use dunlincleat_status::{Metrics, Seldom, seldom};
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
enum Message {
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
    Updated {
        /// Where it is reached and when it last started; nothing where the list lacks it.
        process: Option<ServerProcess>,
        /// Whether it takes new work.
        state: State,
    },
}

/// What all peers are given.
#[derive(Clone)]
struct PeerContext {
    connections: ConnectionContext,
    /// The names of the figures in a load report.
    fields: Rc<[String]>,
    /// Servers answer `/load` with a report.
    load_probes: bool,
    /// The idle connections to all servers.
    idle: IdleRegistry,
    /// The line of the log for answers that are of no use.
    invalid_log: Rc<Seldom>,
    engine: Handle,
}

/// The transports to all servers: the mailboxes of their actors, by number. An actor ends with its mailbox.
pub struct Peers {
    context: PeerContext,
    mailboxes: FxHashMap<ServerId, mpsc::UnboundedSender<Message>>,
}

impl Peers {
    /// Transports that tell `engine` what became of each attempt and probe.
    pub fn new(
        options: Rc<HttpOptions>,
        fields: Rc<[String]>,
        load_probes: bool,
        engine: Handle,
        metrics: Arc<Metrics>,
    ) -> Peers {
        let permits = Arc::new(Semaphore::new(options.max_server_connections));
        let idle = IdleRegistry::default();
        let all = idle.clone();
        let close_idle = Rc::new(move || all.close_oldest());
        let connections =
            ConnectionContext { options, permits, close_idle, limit_log: Rc::default(), metrics };
        let context =
            PeerContext { connections, fields, load_probes, idle, invalid_log: Rc::default(), engine };
        Peers { context, mailboxes: FxHashMap::default() }
    }

    fn send(&self, server: ServerId, message: Message) -> bool {
        self.mailboxes.get(&server).is_some_and(|mailbox| mailbox.send(message).is_ok())
    }
}

impl Transports for Peers {
    type Payload = Rc<Request>;
    type Body = ResponseBody;

    fn open(&mut self, server: ServerId, endpoint: Endpoint) {
        self.mailboxes.insert(server, spawn_peer(server, server_process(endpoint), self.context.clone()));
    }

    fn update(&mut self, server: ServerId, endpoint: Option<Endpoint>, state: State) {
        let process = endpoint.map(server_process);
        self.send(server, Message::Updated { process, state });
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
        if !self.send(server, Message::Attempt { id, attempt, request, until, connect }) {
            self.context.engine.attempt_ended(
                id,
                attempt,
                server,
                Completion::without_response(Status::ConnectFailed),
            );
        }
    }

    fn cancel(&mut self, id: RequestId, attempt: Attempt, server: ServerId) {
        self.send(server, Message::Cancel { id, attempt });
    }

    fn withdraw(&mut self, id: RequestId, attempt: Attempt, server: ServerId) {
        self.send(server, Message::Withdraw { id, attempt });
    }

    fn probe(&mut self, server: ServerId, asked: PoolId) {
        if !self.send(server, Message::Probe(asked)) {
            self.context.engine.probe_ended(
                server,
                asked,
                Completion::without_response(Status::ConnectFailed),
            );
        }
    }

    fn free_connections(&self) -> usize {
        self.context.connections.permits.available_permits()
    }
}

fn server_process(endpoint: Endpoint) -> ServerProcess {
    ServerProcess { address: endpoint.address, boot_ms: endpoint.boot_ms }
}

/// Starts the actor of a server.
fn spawn_peer(
    server: ServerId,
    process: ServerProcess,
    context: PeerContext,
) -> mpsc::UnboundedSender<Message> {
    let (handle, mailbox) = mpsc::unbounded_channel();
    let gate = Rc::new(SendGate::default());
    let peer = Peer {
        server,
        process,
        gate,
        last_response: Instant::now(),
        idle: context.idle.add_server(),
        context,
        in_flight: FuturesUnordered::new(),
        aborts: FxHashMap::default(),
    };
    actix_rt::spawn(peer.run(mailbox));
    handle
}

/// Errors of the system that say that this machine has no more to give.
const EMFILE: i32 = 24;
const ENFILE: i32 = 23;
const EADDRNOTAVAIL: i32 = 99;

type Job = LocalBoxFuture<'static, Finished>;

struct Finished {
    operation: Operation,
    started: Instant,
    completion: Completion,
    connection: Option<ServerConnection>,
}

#[derive(Clone, Copy)]
enum Operation {
    Attempt(RequestId, Attempt),
    Probe(PoolId),
}

struct Peer {
    server: ServerId,
    process: ServerProcess,
    context: PeerContext,
    gate: Rc<SendGate>,
    /// When it last sent anything.
    last_response: Instant,
    idle: IdleConnections,
    in_flight: FuturesUnordered<Job>,
    /// What ends an attempt, and whether it has begun.
    aborts: FxHashMap<(RequestId, Attempt), (AbortHandle, Rc<ConnectionState>)>,
}

impl Peer {
    async fn run(mut self, mut mailbox: mpsc::UnboundedReceiver<Message>) {
        loop {
            let oldest = self
                .idle
                .oldest_since()
                .map(|since| since + self.context.connections.options.server_idle_timeout);
            tokio::select! {
                biased;
                message = mailbox.recv() => match message {
                    Some(message) => self.handle(message),
                    None => return,
                },
                Some(finished) = self.in_flight.next(), if !self.in_flight.is_empty() => self.finish(finished),
                () = self.idle.remove_closed(), if !self.idle.is_empty() => {}
                () = sleep_until(oldest.unwrap_or_else(Instant::now)), if oldest.is_some() => {
                    self.idle.close_idle_for(self.context.connections.options.server_idle_timeout);
                }
            }
        }
    }

    fn handle(&mut self, message: Message) {
        match message {
            Message::Attempt { id, attempt, request, until, connect } => {
                let connection = self.connection();
                // What the connection carried before is not taken for this one, which may be called off unbegun.
                connection.state.begin(None);
                let (endpoint, context, server) = (self.process.address, self.context.clone(), self.server);
                let (abort, registration) = AbortHandle::new_pair();
                self.aborts.insert((id, attempt), (abort, connection.state.clone()));
                let started = Instant::now();
                self.in_flight.push(Box::pin(async move {
                    let state = connection.state.clone();
                    let of = AttemptId { id, attempt, server };
                    let sending = send(connection, endpoint, &request, (until, connect), &context, of);
                    let (mut completion, connection) = match Abortable::new(sending, registration).await {
                        Ok(end) => end,
                        Err(Aborted) if state.is_withdrawn() => {
                            (Completion::without_response(Status::NotSent), None)
                        }
                        Err(Aborted) => {
                            (Completion::without_response(state.status_if_written(Status::Cancelled)), None)
                        }
                    };
                    if completion.latency == Span(0) {
                        completion.latency = Span(started.elapsed().as_micros() as u64);
                    }
                    Finished { operation: Operation::Attempt(id, attempt), started, completion, connection }
                }));
            }
            Message::Cancel { id, attempt } => {
                if let Some((abort, _)) = self.aborts.get(&(id, attempt)) {
                    abort.abort();
                }
            }
            Message::Withdraw { id, attempt } => {
                // Written in part it has not begun either: a server begins with the last byte.
                if let Some((abort, state)) =
                    self.aborts.get(&(id, attempt)).filter(|(_, w)| !w.request_written())
                {
                    state.withdraw();
                    abort.abort();
                }
            }
            Message::Probe(asked) => {
                let connection = self.connection();
                let (endpoint, context) = (self.process.address, self.context.clone());
                let started = Instant::now();
                self.in_flight.push(Box::pin(async move {
                    let (mut completion, connection) = probe(connection, endpoint, &context).await;
                    completion.latency = Span(started.elapsed().as_micros() as u64);
                    Finished { operation: Operation::Probe(asked), started, completion, connection }
                }));
            }
            Message::Updated { process, state } => {
                // Connections to an old process or place are dead, though nothing may have told of that: what
                // is written to one ends as a reset, after which an unsafe request must not be sent again.
                let process = process.unwrap_or(self.process);
                let moved = process != self.process;
                // One that leaves gets nothing more, and at the bound its idle connections had kept the servers that came in
                // its place out of reach until they were too old.
                if moved || state != State::Ready {
                    self.idle.clear();
                }
                self.process = process;
                self.apply_state(state, moved);
            }
        }
    }

    /// A server that leaves gets nothing new from this moment on. Its drain may have been told long before it was
    /// heard, so no grace is left to spend: what has not begun there ends as never sent, and is drawn again.
    /// The same holds for what has not begun at a process that it replaced, whose address may be another server's by now.
    fn apply_state(&mut self, state: State, moved: bool) {
        let leaves = state != State::Ready;
        self.gate.closed.set(leaves);
        if leaves || moved {
            for (abort, state) in self.aborts.values().filter(|(_, state)| state.nothing_sent()) {
                state.withdraw();
                abort.abort();
            }
        }
    }

    fn finish(&mut self, finished: Finished) {
        if let Some(connection) = finished.connection {
            // One that was in use while its server moved or started anew leads to what was there before.
            let here = connection.process == self.process;
            if connection.state.is_reusable() && here && !self.gate.closed.get() {
                self.idle.insert(connection);
            }
        }
        match finished.completion.status {
            Status::Ok | Status::Error | Status::Rejected | Status::Reset => {
                self.last_response = Instant::now()
            }
            // Nothing at all came since the attempt went out: its machine may have vanished, and the idle
            // connections only look alive. What is written to one ends as a request that may have run.
            Status::Timeout
                if matches!(finished.operation, Operation::Attempt(..))
                    && self.last_response < finished.started =>
            {
                self.idle.clear();
            }
            Status::Timeout | Status::ConnectFailed | Status::Cancelled | Status::NotSent => {}
        }
        match finished.operation {
            Operation::Attempt(id, attempt) => {
                self.aborts.remove(&(id, attempt));
                self.context.engine.attempt_ended(id, attempt, self.server, finished.completion);
            }
            Operation::Probe(asked) => {
                self.context.engine.probe_ended(self.server, asked, finished.completion)
            }
        }
    }

    /// An idle connection, or a new one, which is opened when it is first sent on.
    fn connection(&self) -> ServerConnection {
        self.idle.take().unwrap_or_else(|| {
            ServerConnection::new(&self.context.connections, self.gate.clone(), self.process)
        })
    }
}

/// Which attempt.
#[derive(Clone, Copy)]
struct AttemptId {
    id: RequestId,
    attempt: Attempt,
    server: ServerId,
}

/// A body that still comes, told to the engine for as long as this lives.
struct UploadGuard {
    of: AttemptId,
    engine: Handle,
}

impl UploadGuard {
    fn new(of: AttemptId, context: &PeerContext) -> UploadGuard {
        context.engine.upload(of.id, of.server, false);
        UploadGuard { of, engine: context.engine.clone() }
    }
}

impl Drop for UploadGuard {
    fn drop(&mut self) {
        self.engine.upload(self.of.id, self.of.server, true);
    }
}

/// The body of an attempt, where it still came when the attempt began.
struct RequestBody {
    /// Until its last byte was handed on.
    upload: RefCell<Option<UploadGuard>>,
    /// When that was.
    completed_at: Cell<Option<Instant>>,
}

impl RequestBody {
    /// The rest of the body as awc reads it: with its end the attempt's own time begins.
    fn into_chunks(self: Rc<RequestBody>, rest: Rc<RemainingBody>, state: Rc<ConnectionState>) -> BodyChunks {
        let parts = stream::poll_fn(move |cx| {
            let part = ready!(rest.poll(cx));
            if part.is_none() {
                drop(self.upload.borrow_mut().take());
                self.completed_at.set(Some(Instant::now()));
                state.set_body_ended();
            }
            Poll::Ready(part)
        });
        parts.boxed_local()
    }
}

/// How often it is looked at whether a body that is still coming has come.
const UPLOAD_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// How long the beginning of an answer of untold length is held back to see its end, against how long it may stand
/// still: one that breaks off or stops while it is held can be tried again.
const BUFFER_TIME_FACTOR: f64 = 4.0 / 3.0;
/// How long a client may take for the next part of an answer.
const CLIENT_STALL_TIMEOUT: Duration = Duration::from_secs(20);
/// Parts of an answer on their way to the client.
const STREAM_CHANNEL_CAPACITY: usize = 1;

/// Sends a request and waits for the answer. The line comes back where it can be used again.
///
/// A request whose body is still coming has its time from its last byte on, as its client counts it. An answer is held
/// up to the bound; a longer one is passed on from its first bytes, and from then on no deadline cuts it.
async fn send(
    connection: ServerConnection,
    endpoint: SocketAddr,
    request: &Request,
    (until, connect): (Instant, Option<Duration>),
    context: &PeerContext,
    of: AttemptId,
) -> (Completion, Option<ServerConnection>) {
    let started = Instant::now();
    let left = until.saturating_duration_since(started);
    let rest = request.remaining_body();
    // Guards against a part of a body sent for the whole: what an attempt has read of it is not there for another.
    if rest.as_ref().is_some_and(|rest| rest.read_started()) {
        return (Completion::without_response(Status::NotSent), Some(connection));
    }
    // Its permission is asked here, where the effect begins, and not where it was given.
    if request.task().is_some_and(|task| !task.try_start()) {
        return (Completion::without_response(Status::NotSent), Some(connection));
    }
    let length = match &rest {
        Some(rest) => rest.length,
        None => Some(request.buffered_body().len() as u64),
    };
    connection.state.begin(Some(WriteProgress::new(length)));
    let body = Rc::new(RequestBody {
        upload: RefCell::new(rest.is_some().then(|| UploadGuard::new(of, context))),
        completed_at: Cell::new(None),
    });
    let rest = rest.map(|rest| body.clone().into_chunks(rest, connection.state.clone()));
    let exchange = async {
        let response =
            request.encode(&connection.client, endpoint, left, rest).await.map_err(error_status)?;
        let reply = Reply::decode(response.status(), response.headers(), &context.fields);
        request
            .task()
            .into_iter()
            .for_each(|task| task.record_response(response.status(), response.headers()));
        let (first, rest) =
            buffer_response(response, reply.length, &context.connections.options, &connection.state).await?;
        Ok::<_, Status>((reply, first, rest))
    };
    // Nothing was written in time: the connection did not come up, and nothing can have run.
    let connecting = async {
        match connect {
            Some(connect) => sleep(connect).await,
            None => pending().await,
        }
        if !connection.state.nothing_sent() {
            pending::<()>().await;
        }
        Status::ConnectFailed
    };
    let over = async {
        while body.upload.borrow().is_some() {
            sleep(UPLOAD_POLL_INTERVAL).await;
            if connection.state.nothing_sent() && Instant::now() >= until {
                return;
            }
        }
        sleep_until(until).await;
        if let Some(completed_at) = body.completed_at.get() {
            sleep_until(completed_at + left).await;
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
            let connection = rest.is_none().then_some(connection);
            (Completion { status: reply.status, latency: Span(0), load: reply.load, body: None }, connection)
        }
        Some(Ok((reply, first, rest))) => {
            let since = body.completed_at.get().unwrap_or(started);
            let latency = Span((since.elapsed().as_micros() as u64).max(1));
            let Reply { status, load, content_type, length } = reply;
            let Some(mut response) = rest else {
                let body = Some(ResponseBody { data: BodyData::Complete(first), content_type });
                return (Completion { status, latency, load, body }, Some(connection));
            };
            let (sender, receiver) = mpsc::channel(STREAM_CHANNEL_CAPACITY);
            let body = Some(ResponseBody {
                data: BodyData::Streaming { first, rest: receiver, length },
                content_type,
            });
            connection.state.set_streaming();
            context.engine.response_started(
                of.id,
                of.attempt,
                of.server,
                Completion { status, latency, load, body },
            );
            let status = stream_response(&mut response, &sender, &connection.state).await;
            (Completion::without_response(status), (status == Status::Ok).then_some(connection))
        }
        // One that broke off in the middle of its body never ran.
        Some(Err(Status::Reset)) if connection.state.invalid_response().is_none() => {
            (Completion::without_response(connection.state.status_if_written(Status::Reset)), None)
        }
        Some(Err(status)) => (
            Completion::without_response(classify_failure(status, endpoint, &connection.state, context)),
            None,
        ),
        None => (Completion::without_response(connection.state.status_if_written(Status::Timeout)), None),
    }
}

/// Holds an answer to its end, so that one that breaks off can be tried again, or until it has to be passed on: what
/// is told to be longer than the bound from its first bytes, another once it is longer, or has come for too long. Gives
/// what came, and the answer itself where more is to come.
async fn buffer_response(
    mut response: awc::ClientResponse,
    length: Option<u64>,
    options: &HttpOptions,
    state: &ConnectionState,
) -> Result<(Bytes, Option<awc::ClientResponse>), Status> {
    let most = if length.is_some_and(|length| length > options.max_body_bytes as u64) {
        0
    } else {
        options.max_body_bytes
    };
    let until = Instant::now() + options.response_stall_timeout.mul_f64(BUFFER_TIME_FACTOR);
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
            None if state.response_complete() => return Ok((first.freeze(), None)),
            Some(Err(_)) | None => return Err(Status::Reset),
        }
    }
    Ok((first.freeze(), Some(response)))
}

/// Passes the rest of an answer on as fast as its client reads: what does not fit is not read from the server.
async fn stream_response(
    response: &mut awc::ClientResponse,
    client: &mpsc::Sender<BodyChunk>,
    state: &ConnectionState,
) -> Status {
    loop {
        let part = tokio::select! {
            biased;
            part = response.next() => part,
            // Its client has left: the connection is given back at once, not when the server speaks again.
            () = client.closed() => return Status::Cancelled,
        };
        let part = match part {
            Some(Ok(part)) => BodyChunk::Bytes(part),
            None if state.response_complete() => BodyChunk::End,
            Some(Err(_)) | None => return Status::Reset,
        };
        let ends = matches!(part, BodyChunk::End);
        match timeout(CLIENT_STALL_TIMEOUT, client.send(part)).await {
            Ok(Ok(())) if ends => return Status::Ok,
            Ok(Ok(())) => {}
            Ok(Err(_)) | Err(_) => return Status::Cancelled,
        }
    }
}

async fn probe(
    connection: ServerConnection,
    endpoint: SocketAddr,
    context: &PeerContext,
) -> (Completion, Option<ServerConnection>) {
    connection.state.begin(None);
    let exchange = async {
        let request = connection.client.get(probe_uri(endpoint, context.load_probes));
        let response = request.send().await.map_err(error_status)?;
        let (status, headers) = (response.status(), response.headers().clone());
        let body = read_probe_body(response, context, &connection.state).await?;
        Ok::<_, Status>(Reply::decode_probe(status, &headers, &body, &context.fields))
    };
    match timeout_at(Instant::now() + context.connections.options.probe_timeout, exchange).await {
        Ok(Ok(reply)) => {
            let Reply { status, load, .. } = reply;
            (Completion { status, latency: Span(0), load, body: None }, Some(connection))
        }
        Ok(Err(status)) => (
            Completion::without_response(classify_failure(status, endpoint, &connection.state, context)),
            None,
        ),
        Err(_) => (Completion::without_response(Status::Timeout), None),
    }
}

/// What an attempt without an answer says. A spoilt answer is a server's word all the same: it lives and may
/// have run the request. Taken for a broken connection, it had servers left out that were like all others.
fn classify_failure(
    status: Status,
    endpoint: SocketAddr,
    state: &ConnectionState,
    context: &PeerContext,
) -> Status {
    let Some(why) = state.invalid_response() else { return status };
    let line = format!("answer of {endpoint} is of no use: {why}");
    seldom!(context.invalid_log, warn, line);
    Status::Error
}

/// Reads the body of a probe's answer. One that breaks off is a reset, one that is too long an error.
async fn read_probe_body(
    mut response: awc::ClientResponse,
    context: &PeerContext,
    state: &ConnectionState,
) -> Result<Bytes, Status> {
    match read_body(&mut response, context.connections.options.max_body_bytes).await {
        Ok((_, false)) => Err(Status::Error),
        Ok((body, true)) if state.response_complete() => Ok(body),
        Ok((_, true)) | Err(BodyAborted) => Err(Status::Reset),
    }
}

/// What an error of awc's says about whether the request has run. In doubt it may have.
fn error_status(error: SendRequestError) -> Status {
    let here = |error: &io::Error| {
        let bound = matches!(error.raw_os_error(), Some(EMFILE | ENFILE | EADDRNOTAVAIL));
        bound || error.get_ref().is_some_and(|e| e.is::<NotSentError>())
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
