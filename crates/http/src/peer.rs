//! One actor per server: it owns the connections to the server and performs attempts and probes.
//!
//! Each connection is an awc client of its own whose pool holds that one connection. So the actor knows which
//! connections are idle and since when, and cancelling an attempt closes its connection. A connection in awc's own
//! pool would stay idle until the next request, however old it gets.

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
use dunlincleat_status::{LogLimiter, Metrics, log_limited};
use exchange::{AttemptId, Deadlines, ExchangeResult, probe, send};
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

/// A message to the actor of a server.
enum Message {
    /// Starts an attempt.
    Attempt { id: RequestId, attempt: Attempt, request: Rc<Request>, deadlines: Deadlines },
    /// Cancels an attempt.
    Cancel { id: RequestId, attempt: Attempt },
    /// Cancels an attempt unless its request has been written completely.
    Withdraw { id: RequestId, attempt: Attempt },
    /// Probes the server for a pool.
    Probe(PoolId),
    /// The list entry of the server has changed.
    Updated {
        /// The current process of the server; `None` if the server is not in the list.
        process: Option<ServerProcess>,
        /// Whether the server accepts new work.
        state: State,
    },
}

/// State shared by all peers.
#[derive(Clone)]
struct PeerContext {
    connections: ConnectionContext,
    /// The names of the fields of a load report.
    fields: Rc<[String]>,
    /// Probes request `/load`, which returns a load report.
    load_probes: bool,
    /// The idle connections to all servers.
    idle: IdleRegistry,
    /// Rate limiter for the log message about invalid responses.
    invalid_log: Rc<LogLimiter>,
    engine: Handle,
}

/// The transports to all servers: the mailbox of each actor, by server. An actor ends when its mailbox is dropped.
pub struct Peers {
    context: PeerContext,
    mailboxes: FxHashMap<ServerId, mpsc::UnboundedSender<Message>>,
}

impl Peers {
    /// Creates transports that report the end of each attempt and probe to `engine`.
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
        connect_timeout: Option<Duration>,
    ) {
        let deadlines = Deadlines { until, connect_timeout };
        if !self.send(server, Message::Attempt { id, attempt, request, deadlines }) {
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

    fn probe(&mut self, server: ServerId, pool: PoolId) {
        if !self.send(server, Message::Probe(pool)) {
            self.context.engine.probe_ended(
                server,
                pool,
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
    /// When the server last sent a response or a reset.
    last_response: Instant,
    idle: IdleConnections,
    in_flight: FuturesUnordered<Job>,
    /// The abort handle and the connection of each attempt in flight.
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
            Message::Attempt { id, attempt, request, deadlines } => {
                self.start_attempt(id, attempt, request, deadlines);
            }
            Message::Cancel { id, attempt } => self.cancel(id, attempt),
            Message::Withdraw { id, attempt } => self.withdraw(id, attempt),
            Message::Probe(pool) => self.start_probe(pool),
            Message::Updated { process, state } => self.update(process.unwrap_or(self.process), state),
        }
    }

    fn start_attempt(&mut self, id: RequestId, attempt: Attempt, request: Rc<Request>, deadlines: Deadlines) {
        let connection = self.connection();
        // Resets the state left by the previous request: this attempt may be cancelled before it is sent.
        connection.state.begin(None);
        let endpoint = self.process.address;
        let context = self.context.clone();
        let attempt_id = AttemptId { id, attempt, server: self.server };
        let (abort, registration) = AbortHandle::new_pair();
        self.aborts.insert((id, attempt), (abort, connection.state.clone()));
        let started = Instant::now();
        self.in_flight.push(Box::pin(async move {
            let state = connection.state.clone();
            let sending = send(connection, endpoint, &request, deadlines, &context, attempt_id);
            let result = match Abortable::new(sending, registration).await {
                Ok(result) => result,
                Err(Aborted) if state.is_withdrawn() => ExchangeResult::failed(Status::NotSent),
                Err(Aborted) => ExchangeResult::failed(state.status_if_written(Status::Cancelled)),
            };
            let ExchangeResult { mut completion, connection } = result;
            if completion.latency == Span(0) {
                completion.latency = Span(started.elapsed().as_micros() as u64);
            }
            Finished { operation: Operation::Attempt(id, attempt), started, completion, connection }
        }));
    }

    fn cancel(&self, id: RequestId, attempt: Attempt) {
        if let Some((abort, _)) = self.aborts.get(&(id, attempt)) {
            abort.abort();
        }
    }

    fn withdraw(&self, id: RequestId, attempt: Attempt) {
        let Some((abort, state)) = self.aborts.get(&(id, attempt)) else { return };
        // A partly written request has not started either: a server starts with the last byte.
        if !state.request_written() {
            state.withdraw();
            abort.abort();
        }
    }

    fn start_probe(&mut self, pool: PoolId) {
        let connection = self.connection();
        let endpoint = self.process.address;
        let context = self.context.clone();
        let started = Instant::now();
        self.in_flight.push(Box::pin(async move {
            let ExchangeResult { mut completion, connection } = probe(connection, endpoint, &context).await;
            completion.latency = Span(started.elapsed().as_micros() as u64);
            Finished { operation: Operation::Probe(pool), started, completion, connection }
        }));
    }

    fn update(&mut self, process: ServerProcess, state: State) {
        // Connections to a previous process or address are dead, possibly without any sign of it. A request written to
        // one ends in a reset, after which an unsafe request must not be sent again.
        let moved = process != self.process;
        // A draining server gets no new requests. At the connection limit, its idle connections kept its replacements
        // unreachable until the idle timeout.
        if moved || state != State::Ready {
            self.idle.clear();
        }
        self.process = process;
        self.apply_state(state, moved);
    }

    /// Stops sending to a server that is draining. The drain may have been announced long before it was received, so
    /// there is no grace period: attempts that have not started there end as not sent, and another server is drawn.
    /// The same holds for attempts that have not started at a replaced process, whose address may belong to another
    /// server by now.
    fn apply_state(&mut self, state: State, moved: bool) {
        let draining = state != State::Ready;
        self.gate.closed.set(draining);
        if draining || moved {
            for (abort, state) in self.aborts.values().filter(|(_, state)| state.nothing_sent()) {
                state.withdraw();
                abort.abort();
            }
        }
    }

    fn finish(&mut self, finished: Finished) {
        if let Some(connection) = finished.connection {
            // A connection that was in use while the server moved or restarted leads to the previous process.
            let is_current = connection.process == self.process;
            if connection.state.is_reusable() && is_current && !self.gate.closed.get() {
                self.idle.insert(connection);
            }
        }
        match finished.completion.status {
            Status::Ok | Status::Error | Status::Rejected | Status::Reset => {
                self.last_response = Instant::now()
            }
            // Nothing was received since the attempt started: the host may have vanished, so that the idle
            // connections are dead without any sign of it. A request written to one ends as one that may have run.
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
            Operation::Probe(pool) => self.context.engine.probe_ended(self.server, pool, finished.completion),
        }
    }

    /// An idle connection, or a new one, which is opened by the first request.
    fn connection(&self) -> ServerConnection {
        self.idle.take().unwrap_or_else(|| {
            ServerConnection::new(&self.context.connections, self.gate.clone(), self.process)
        })
    }
}

/// The status of an attempt without a usable response. An invalid response still shows that the server is up, and
/// that it may have run the request. When it counted as a broken connection, servers were excluded that were as
/// healthy as the others.
fn classify_failure(
    status: Status,
    endpoint: SocketAddr,
    state: &ConnectionState,
    context: &PeerContext,
) -> Status {
    let Some(why) = state.invalid_response() else { return status };
    let message = format!("invalid response from {endpoint}: {why}");
    log_limited!(context.invalid_log, warn, message);
    Status::Error
}
