//! One actor for each server: it owns the connections to it and carries out attempts and probes.
//!
//! A connection is an awc client of its own whose pool holds that one connection: so it is known here which
//! are idle, since when, and that an attempt given up takes its connection with it. A connection that awc's
//! own pool kept would stand idle until the next request, however old.

mod exchange;
mod failure;

use crate::idle::{IdleConnections, IdleRegistry};
use crate::line::{ConnectionContext, ConnectionState, SendGate, ServerConnection, ServerProcess};
use crate::message::{Request, ResponseBody};
use crate::options::HttpOptions;
use crate::{Completion, Handle};
use dunlincleat::api::{Attempt, RequestId, ServerId, Span, State, Status};
use dunlincleat_engine::shell::Transports;
use dunlincleat_engine::{Endpoint, PoolId};
use dunlincleat_status::{Metrics, Seldom, seldom};
use exchange::{AttemptId, probe, send};
use futures_util::StreamExt;
use futures_util::future::{AbortHandle, Abortable, Aborted, LocalBoxFuture};
use futures_util::stream::FuturesUnordered;
use rustc_hash::FxHashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{Semaphore, mpsc};
use tokio::time::{Instant, sleep_until};

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
