//! The HTTP server for applications: it accepts connections and requests, and answers each request exactly once.

mod admission;
mod client_io;
mod clients;
mod connection_ends;
mod eviction;
mod memory;
mod memory_pressure;
mod memory_report;
mod receiving;
mod recent_ids;
mod streaming;

use crate::line::SEND_BUFFER_BYTES;
use crate::message::{
    BodyData, HEALTH_PATH, Malformed, RemainingBody, Request, ResponseBody, class_of, encode_answer,
    encode_rejection,
};
use crate::options::HttpOptions;
use crate::upload_clock::UploadClock;
use crate::{Answer, Handle};
use actix_http::body::BoxBody;
use actix_http::error::DispatchError;
use actix_http::header::HeaderValue;
use actix_http::{HttpService, KeepAlive, Method, Response, StatusCode};
use actix_rt::net::TcpStream;
use actix_service::{Service, ServiceFactory, fn_service};
use admission::acquire_connection_permit;
use anyhow::{Context as _, Result, anyhow};
use client_io::ClientIo;
use clients::{ClientConnection, ClientSlot, Clients, ConnectionSummary, DRAIN_TIMEOUT, Phase, Termination};
use connection_ends::{ConnectionEnds, EndReason};
use dunlincleat::api::RequestId;
use dunlincleat_limits::RuleSet;
use dunlincleat_settings::InstanceSettings;
use dunlincleat_status::lifecycle;
use dunlincleat_status::metrics::{ClassOutcomes, InProgress};
use dunlincleat_status::{Lifecycle, LogLimiter, Metrics, Stage, log_limited};
use memory::{MemoryBudget, MemoryUse};
use memory_report::report_memory;
use receiving::receive_body;
use recent_ids::RecentIds;
use rustc_hash::FxHashSet;
use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::future::{Future, pending, poll_fn};
use std::io;
use std::net::{Shutdown, SocketAddr};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use streaming::{CountedBody, ResponseGuard, upload_chunks};
use tokio::io::Interest;
use tokio::net::{TcpListener, TcpSocket};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, oneshot, watch};
use tokio::task::yield_now;
use tokio::time::{Instant, sleep, timeout};

/// Connections beyond the limit that are still accepted, so that their requests can be refused.
const EXCESS_CONNECTIONS: usize = 16;
/// Interval between checks of the deadlines of client connections.
const SWEEP_INTERVAL: Duration = Duration::from_millis(100);
/// Size of the receive buffer of a client connection, in bytes: what waits there of a body is not known to have come.
const RECEIVE_BUFFER_BYTES: usize = 256 * 1024;
/// Size of the write buffer of a client connection, in bytes, to which one part of a body is added at most.
const WRITE_BUFFER_BYTES: usize = 8 * 1024;
/// Time a client whose request was not received in time has to read the response and to close; what it still sends
/// meanwhile is discarded.
const REJECTED_CLIENT_CLOSE_TIMEOUT: Duration = Duration::from_millis(200);
/// The same, and for any other rejected client, while connections are scarce: its connection keeps others out.
const CROWDED_CLOSE_TIMEOUT: Duration = Duration::from_millis(50);
/// Maximum number of bytes discarded of a request that was rejected.
const MAX_REJECTED_BYTES: usize = 1024 * 1024;
/// Response to a request that was not received completely in time; no part of it was sent to a server.
const REQUEST_TIMEOUT_RESPONSE: &[u8] =
    b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
/// Response to a request that is refused at a limit before it was received completely, so that it has not run.
const REFUSED_RESPONSE: &[u8] = REQUEST_TIMEOUT_RESPONSE;
/// Response to a request whose head exceeds the limit.
const HEAD_TOO_LONG_RESPONSE: &[u8] =
    b"HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";

/// The settings and limits that apply to new requests; a reload replaces them atomically.
pub struct ActiveSettings {
    /// The settings of the instance.
    pub site: Arc<InstanceSettings>,
    /// The operator's limits, if any.
    pub rules: Option<Arc<RuleSet>>,
    /// The outcome counters of each class, by class number.
    outcomes: Vec<Arc<ClassOutcomes>>,
}

impl ActiveSettings {
    /// These settings and limits.
    pub fn new(
        site: Arc<InstanceSettings>,
        rules: Option<Arc<RuleSet>>,
        metrics: &Metrics,
    ) -> ActiveSettings {
        // A class number that is no longer in use has an empty name and is not counted.
        let counts = |name: &String| if name.is_empty() { Arc::default() } else { metrics.class(name) };
        ActiveSettings { outcomes: site.classes.iter().map(counts).collect(), site, rules }
    }
}

/// Where clients connect.
pub enum Listener {
    /// An address to bind, for this process only.
    Bind(SocketAddr),
    /// A listening socket that other processes may hold too.
    Shared(std::net::TcpListener),
}

impl Listener {
    fn open(self, backlog: usize) -> Result<TcpListener> {
        match self {
            Listener::Bind(address) => {
                bind(address, backlog).with_context(|| format!("EDGE_LISTEN: {address}"))
            }
            Listener::Shared(listener) => TcpListener::from_std(listener).context("EDGE_INHERITED_FD"),
        }
    }
}

/// Configuration of the front.
pub struct FrontConfig {
    /// The current settings and limits.
    pub active: watch::Receiver<Rc<ActiveSettings>>,
    /// Limits and timeouts.
    pub options: Rc<HttpOptions>,
    /// Outcome counters and the number of open requests.
    pub metrics: Arc<Metrics>,
}

/// State shared by the request handlers.
struct Front {
    active: watch::Receiver<Rc<ActiveSettings>>,
    metrics: Arc<Metrics>,
    options: Rc<HttpOptions>,
    engine: Handle,
    clients: Rc<Clients>,
    /// One permit for each further request that may be accepted.
    request_permits: Arc<Semaphore>,
    /// One permit for each further of these whose body is still being received: slow clients leave room for others.
    upload_permits: Arc<Semaphore>,
    /// One permit for each further response that may be streamed.
    stream_permits: Arc<Semaphore>,
    /// The `X-Request-ID` values of the open requests.
    ids_in_use: RefCell<FxHashSet<HeaderValue>>,
    /// Those of requests whose clients left lately.
    abandoned_ids: RefCell<RecentIds>,
    next_id: Cell<u64>,
    stage: watch::Receiver<Stage>,
    /// Rate limiters for the log messages about requests refused at a limit and about malformed requests.
    limit_log: LogLimiter,
    malformed_log: LogLimiter,
}

/// Accepts and serves connections until the stage is `ListenerClosed` and every connection has ended.
pub async fn serve(
    listener: Listener,
    config: FrontConfig,
    engine: Handle,
    lifecycle: Arc<Lifecycle>,
) -> Result<()> {
    let FrontConfig { active, options, metrics } = config;
    let mut stage = lifecycle.subscribe();
    let limit = options.max_client_connections + EXCESS_CONNECTIONS;
    let shared = matches!(listener, Listener::Shared(_));
    let listener = listener.open(limit)?;
    // Connections to a shared listener can be accepted by the other process, so this one stops accepting as soon as
    // it is told to end.
    let stopped = move |stage: &Stage| *stage >= Stage::ListenerClosed || shared && stage.is_shutting_down();
    let connections = Arc::new(Semaphore::new(limit));
    let request_permits = Arc::new(Semaphore::new(options.max_requests));
    let max_uploads = (options.max_requests / 2).min(options.max_client_connections / 4).max(1);
    let upload_permits = Arc::new(Semaphore::new(max_uploads));
    // Long bodies and responses together leave a quarter of the connections to others.
    let max_streams = options.max_requests.min(options.max_client_connections / 2).max(1);
    let stream_permits = Arc::new(Semaphore::new(max_streams));
    let clients = Rc::new(Clients {
        options: options.clone(),
        connections: RefCell::default(),
        next_id: Cell::new(0),
        memory: MemoryBudget::new(&options),
        accepting: Cell::new(true),
        ends: ConnectionEnds::default(),
    });
    let front = Rc::new(Front {
        active,
        metrics,
        options,
        engine,
        clients: clients.clone(),
        request_permits,
        upload_permits,
        stream_permits,
        ids_in_use: RefCell::default(),
        abandoned_ids: RefCell::default(),
        next_id: Cell::new(0),
        stage: stage.clone(),
        limit_log: LogLimiter::default(),
        malformed_log: LogLimiter::default(),
    });
    let handler = front.clone();
    // No timeout of actix-http may end a request: the engine has the deadlines of requests, and `ClientConnection`
    // those of connections without an open request.
    let service = HttpService::build()
        .keep_alive(KeepAlive::Os)
        .h1_write_buffer_size(WRITE_BUFFER_BYTES)
        .client_request_timeout(Duration::ZERO)
        .client_disconnect_timeout(DRAIN_TIMEOUT)
        // `ClientConnection::poll_termination` detects a client that closed. When actix-http did, unparsable bytes
        // after a request also ended the connection, and with it the request.
        .h1_allow_half_closed(true)
        .on_connect_ext(|io: &ClientIo, data| {
            data.insert(io.state.clone());
        })
        .h1(fn_service(move |request| handle_request(handler.clone(), request)))
        .new_service(())
        .await
        .map_err(|()| anyhow!("cannot build the HTTP service"))?;
    let service = Rc::new(service);
    let sweeper = actix_rt::spawn(sweep(clients.clone(), connections.clone(), lifecycle.clone()));
    let memory_reporter = actix_rt::spawn(report_memory(clients.clone(), front.metrics.clone()));
    let address = listener.local_addr()?;
    lifecycle.apply(lifecycle::Event::Ready);
    tracing::info!("listening on {address}");
    loop {
        // Waits for a permit during shutdown too: a connection in the accept queue gets one as soon as another
        // connection ends.
        let permit = tokio::select! {
            biased;
            permit = acquire_connection_permit(&connections, &clients) => permit?,
            _ = stage.wait_for(stopped) => break,
        };
        let stream = tokio::select! {
            biased;
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => stream,
                Err(error) => {
                    tracing::error!("cannot accept a connection: {error}");
                    sleep(Duration::from_millis(20)).await;
                    continue;
                }
            },
            // The kernel has already completed the connections in the accept queue, so they are accepted first.
            _ = stage.wait_for(stopped) => break,
        };
        actix_rt::spawn(serve_connection(stream, clients.register(permit), service.clone(), front.clone()));
    }
    drop(listener);
    // All permits are returned when all connections have ended. The permits that this call has already acquired must
    // not count as lack of capacity: that had closed connections whose requests were still being received.
    clients.accepting.set(false);
    let _all = connections.acquire_many(limit as u32).await?;
    sweeper.abort();
    memory_reporter.abort();
    Ok(())
}

/// Serves one connection until it ends.
async fn serve_connection<S>(stream: TcpStream, slot: ClientSlot, service: Rc<S>, front: Rc<Front>)
where
    S: Service<(ClientIo, Option<SocketAddr>), Response = (), Error = DispatchError>,
{
    if let Err(error) = stream.set_nodelay(true) {
        tracing::debug!("cannot set TCP_NODELAY on a client connection: {error}");
    }
    if let Err(error) = socket2::SockRef::from(&stream).set_send_buffer_size(SEND_BUFFER_BYTES) {
        tracing::debug!("cannot set the send buffer of a client connection: {error}");
    }
    if let Err(error) = socket2::SockRef::from(&stream).set_recv_buffer_size(RECEIVE_BUFFER_BYTES) {
        tracing::debug!("cannot set the receive buffer of a client connection: {error}");
    }
    let state = slot.state.clone();
    let mut stage = front.stage.clone();
    let stream = Rc::new(stream);
    let io = ClientIo { stream: stream.clone(), state: state.clone(), stage: stage.clone() };
    let mut connection = Box::pin(service.call((io, None)));
    let mut awaits_close = true;
    let termination = loop {
        tokio::select! {
            biased;
            end = poll_fn(|cx| {
                state.body_read_in_turn.set(false);
                connection.as_mut().poll(cx)
            }) => {
                let reason = match end {
                    Err(DispatchError::Parse(error)) => {
                        let line = format!("request not taken: malformed HTTP: {error}");
                        log_limited!(front.malformed_log, info, line);
                        EndReason::Malformed
                    }
                    Err(error) => {
                        tracing::debug!("client connection failed: {error}");
                        EndReason::Client
                    }
                    Ok(()) => EndReason::of_ended(&state),
                };
                front.clients.ends.count(reason);
                return;
            }
            termination = poll_fn(|cx| state.poll_termination(&stream, cx)) => break termination,
            // Either event polls the connection again, which then closes it or resumes reading.
            () = state.wake.notified() => {
                if state.phase.get() == Phase::ReadingBody {
                    yield_now().await;
                }
            }
            // Completes when the client closes, whatever it sent before that is still unread.
            Ok(ready) = stream.ready(Interest::PRIORITY), if awaits_close => {
                awaits_close = false;
                if ready.is_read_closed() {
                    state.set_peer_closed();
                }
            }
            Ok(()) = stage.changed() => {}
        }
    };
    front.clients.ends.count(termination.into());
    // Also drops the handler of its request, which notifies the engine.
    drop(connection);
    let clients = &front.clients;
    let close_within = |usual| if clients.is_crowded() { CROWDED_CLOSE_TIMEOUT } else { usual };
    match termination {
        Termination::ClientLeft => {
            tracing::debug!("client connection closed: the client left or reads nothing")
        }
        Termination::RequestTimeout => {
            log_limited!(front.malformed_log, info, "request not taken: not received completely in time");
            let _ = timeout(
                close_within(REJECTED_CLIENT_CLOSE_TIMEOUT),
                reject(&stream, REQUEST_TIMEOUT_RESPONSE),
            )
            .await;
        }
        Termination::HeadTooLong => {
            log_limited!(front.malformed_log, info, "request not taken: its head exceeds 16 KiB (431)");
            let _ =
                timeout(close_within(REJECTED_CLIENT_CLOSE_TIMEOUT), reject(&stream, HEAD_TOO_LONG_RESPONSE))
                    .await;
        }
        Termination::Refused => {
            log_limited!(
                front.limit_log,
                warn,
                "request refused: it was not received completely, and another one lacked its place (503)"
            );
            state.release_memory();
            let _ = timeout(close_within(DRAIN_TIMEOUT), reject(&stream, REFUSED_RESPONSE)).await;
        }
        Termination::Rejected => {
            state.release_memory();
            let rejection = state.rejection.take();
            let _ = timeout(close_within(DRAIN_TIMEOUT), reject(&stream, &rejection)).await;
        }
    }
}

/// Responds to a client whose request was not received, and reads until it closes. More of it may have arrived meanwhile,
/// and closing a socket with unread data sends a reset, which discards the response.
async fn reject(stream: &TcpStream, response: &[u8]) -> io::Result<()> {
    stream.try_write(response)?;
    socket2::SockRef::from(stream).shutdown(Shutdown::Write)?;
    let mut unread = [0; 4096];
    let mut discarded = 0;
    while discarded < MAX_REJECTED_BYTES {
        stream.readable().await?;
        match stream.try_read(&mut unread) {
            Ok(0) => return Ok(()),
            Err(error) if error.kind() != io::ErrorKind::WouldBlock => return Err(error),
            Ok(count) => discarded += count,
            Err(_) => {}
        }
    }
    Ok(())
}

/// Closes connections whose deadline has passed, and one more if no permit is left.
async fn sweep(clients: Rc<Clients>, connections: Arc<Semaphore>, lifecycle: Arc<Lifecycle>) {
    loop {
        sleep(SWEEP_INTERVAL).await;
        let now = Instant::now();
        let stage = lifecycle.stage();
        for state in clients.connections.borrow().values() {
            if state.deadline(&clients.options, stage).is_some_and(|deadline| deadline <= now) {
                state.request_close();
            }
            state.after_sweep(now);
        }
        if clients.accepting.get() && connections.available_permits() == 0 {
            clients.evict_one(now);
        }
    }
}

/// Binds a listener whose backlog is as large as the connection limit. With the usual backlog of 128, connections
/// failed while the process was stalled.
fn bind(address: SocketAddr, backlog: usize) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(u32::try_from(backlog).unwrap_or(u32::MAX))
}

/// Handles one request.
async fn handle_request(
    front: Rc<Front>,
    mut request: actix_http::Request,
) -> Result<Response<BoxBody>, Infallible> {
    let state = request.conn_data::<Rc<ClientConnection>>().cloned();
    let over_limit = state.as_ref().is_some_and(|state| state.over_limit);
    // The connection of a rejected client is closed: requests that it has pipelined are not worth further work.
    let mut rejected = false;
    let mut streaming_permit = None;
    // Looked up under the settings at arrival: a reload may remove the class before the request ends.
    let outcomes = front.outcomes(request.path());
    let _refusal_counter = RefusalCounter { state: state.clone(), outcomes: outcomes.clone() };
    let mut response = if request.method() == Method::GET && request.path() == HEALTH_PATH {
        health_response(front.stage.borrow().is_ready())
    } else if over_limit {
        let summary = ConnectionSummary(&front.clients);
        let line = format_args!("request refused: client connection limit reached: {summary}");
        log_limited!(front.limit_log, warn, line);
        outcomes.refused.increment();
        encode_answer(Answer::Refused { retry_after: None }, None)
    } else {
        match front.accept_request(&mut request, state.as_ref()).await {
            Ok(AnsweredRequest { answer, permit }) => {
                let (answer, permit) = front.place_answer(answer, permit, request.method());
                streaming_permit = permit;
                match &answer {
                    // Counted by the `ResponseGuard` when the response ends.
                    Answer::Served(ResponseBody { data: BodyData::Streaming { .. }, .. }) => {}
                    Answer::Served(_) => outcomes.served.increment(),
                    Answer::Refused { .. } => outcomes.refused.increment(),
                    Answer::Failed => outcomes.failed.increment(),
                }
                front.encode_answer(answer, state.as_ref())
            }
            Err(malformed) => {
                if malformed.counts_as_failed {
                    outcomes.failed.increment();
                } else if malformed.status == StatusCode::SERVICE_UNAVAILABLE {
                    outcomes.refused.increment();
                }
                let line = format!("request not taken: {} ({})", malformed.reason, malformed.status.as_u16());
                log_limited!(front.malformed_log, info, line);
                rejected = true;
                malformed.encode()
            }
        }
    };
    // When connections are scarce, each response closes its connection. Otherwise, hundreds of clients per second
    // that send one request each and keep the connection open use up the limit, as an idle connection is kept for at
    // least 2 s.
    let close = rejected
        || over_limit
        || state.as_ref().is_some_and(|state| !state.request_received())
        || front.clients.is_crowded()
        || front.stage.borrow().closes_after_response();
    if close {
        // Closes the connection after the response is written; nothing else may close it before.
        response.head_mut().set_connection_type(actix_http::ConnectionType::Close);
    }
    if let Some(state) =
        state.as_ref().filter(|state| streaming_permit.is_none() && !state.request_received())
    {
        match encode_rejection(response) {
            // What the client still sends must not take memory: the connection is ended without actix-http.
            Ok(rejection) => {
                state.reject(rejection);
                return pending().await;
            }
            Err(with_body) => response = with_body,
        }
    }
    let next_phase = if close { Phase::Draining } else { Phase::Idle };
    if let Some(permit) = streaming_permit {
        let guard = ResponseGuard {
            state,
            next_phase,
            outcomes,
            complete: false,
            _counted: front.metrics.request_started(),
            _permit: permit,
        };
        return Ok(response.map_body(|_, body| BoxBody::new(CountedBody { body, guard })));
    }
    if let Some(state) = state {
        state.enter(next_phase);
    }
    Ok(response)
}

/// Counts a request that is refused at a limit while it is being received.
struct RefusalCounter {
    state: Option<Rc<ClientConnection>>,
    outcomes: Arc<ClassOutcomes>,
}

impl Drop for RefusalCounter {
    fn drop(&mut self) {
        let termination = self.state.as_ref().and_then(|state| state.termination.get());
        if termination == Some(Termination::Refused) {
            self.outcomes.refused.increment();
        }
    }
}

fn health_response(ready: bool) -> Response<BoxBody> {
    if ready {
        Response::with_body(StatusCode::OK, BoxBody::new("ok\n"))
    } else {
        Response::with_body(StatusCode::SERVICE_UNAVAILABLE, BoxBody::new("no\n"))
    }
}

impl Front {
    /// Encodes an answer; the connection holds the memory of a complete response until its client has taken it.
    fn encode_answer(&self, answer: Answer, state: Option<&Rc<ClientConnection>>) -> Response<BoxBody> {
        let Some(state) = state.cloned() else { return encode_answer(answer, None) };
        let hold = move |left| state.memory.set(MemoryUse::ResponseBody, left);
        encode_answer(answer, Some(Box::new(hold)))
    }

    /// The outcome counters of the class named by the path; counters that are never read if the path names no class.
    fn outcomes(&self, path: &str) -> Arc<ClassOutcomes> {
        let active = self.active.borrow();
        let class = class_of(path, &active.site).and_then(|class| active.outcomes.get(class));
        class.cloned().unwrap_or_default()
    }

    /// Receives a request, submits it to the engine and waits for the answer.
    async fn accept_request(
        &self,
        request: &mut actix_http::Request,
        state: Option<&Rc<ClientConnection>>,
    ) -> Result<AnsweredRequest, Malformed> {
        let active = self.active.borrow().clone();
        let decoded = Request::decode(request.head(), &active.site, active.rules.as_deref())?;
        let length = Request::content_length(request.head());
        let clock = match state {
            Some(state) => state.start_body(length),
            None => Rc::new(UploadClock::new(length, Instant::now())),
        };
        if let Some(state) = state
            && !self.wait_for_request_memory(state).await
        {
            return Err(Malformed {
                status: StatusCode::SERVICE_UNAVAILABLE,
                reason: "no memory for another request",
                counts_as_failed: false,
            });
        }
        let limit = self.options.max_body_bytes;
        // Refused before any of it is received, where there is no place for it.
        let is_long = length.is_some_and(|length| length > limit as u64);
        let mut upload_permit = None;
        if is_long {
            upload_permit = self.acquire_upload_permit(state).await;
            if upload_permit.is_none() {
                return Ok(AnsweredRequest::refused());
            }
        }
        let mut payload = request.take_payload();
        let body = receive_body(&mut payload, state, limit, length).await?;
        if !self.has_memory_for_response() {
            return Ok(AnsweredRequest::refused());
        }
        if let Some(state) = state.filter(|state| state.peer_closed.get()) {
            state.terminate(Termination::ClientLeft);
            return pending().await;
        }
        if !body.complete && upload_permit.is_none() {
            upload_permit = self.acquire_upload_permit(state).await;
            if upload_permit.is_none() {
                return Ok(AnsweredRequest::refused());
            }
        }
        let Some(permit) = self.acquire_request_permit().await else {
            log_limited!(self.limit_log, warn, "request refused: open request limit reached");
            return Ok(AnsweredRequest::refused());
        };
        // Sending a duplicate of an open request would execute it twice, whichever client sent it; so would that of one
        // whose client has left, as an attempt may still run.
        let abandoned = self.abandoned_ids.borrow_mut().contains(&decoded.id, Instant::now());
        if abandoned || !self.ids_in_use.borrow_mut().insert(decoded.id.clone()) {
            return Err(Malformed {
                status: StatusCode::CONFLICT,
                reason: "X-Request-ID is in use",
                counts_as_failed: body.complete,
            });
        }
        let id = RequestId(self.next_id.replace(self.next_id.get() + 1));
        let (reply, answer) = oneshot::channel();
        let mut open = OpenRequest {
            id,
            client_id: decoded.id.clone(),
            front: self,
            answered: false,
            _counted: self.metrics.request_started(),
        };
        // A body up to the size limit is buffered, so that it can be sent again. The rest of a larger one is streamed
        // to one server.
        let rest = if body.complete {
            if let Some(state) = state {
                state.enter(Phase::Processing);
            }
            None
        } else {
            if let Some(state) = state {
                state.streams_body.set(true);
            }
            Some(RemainingBody::new(upload_chunks(payload, state.cloned()), length, clock))
        };
        // The deadline runs from the last byte received: counted from the first one, a slow upload left no time for
        // the servers. What the request has waited for its place since is not given to them.
        let received = match state {
            Some(state) if rest.is_none() => state.received_at.get(),
            _ => Instant::now(),
        };
        let info = decoded.info.clone();
        self.engine.request(id, info, Rc::new(decoded.with_body(body.bytes, rest)), received, reply);
        let mut stage = self.stage.clone();
        let answer = tokio::select! {
            biased;
            answer = answer => answer,
            // The process exits: failing is always a correct answer, as it promises nothing, and no request is left
            // without one.
            _ = stage.wait_for(|stage| *stage == Stage::Aborting) => return Ok(AnsweredRequest { answer: Answer::Failed, permit: Some(permit) }),
        };
        open.answered = true;
        let answer = answer.unwrap_or_else(|_| {
            tracing::error!("the engine dropped a request without an answer");
            Answer::Failed
        });
        Ok(AnsweredRequest { answer, permit: Some(permit) })
    }
}

/// A request that was received, with its answer.
struct AnsweredRequest {
    answer: Answer,
    /// Its place among the open requests; `None` if it was refused before it got one.
    permit: Option<OwnedSemaphorePermit>,
}

impl AnsweredRequest {
    /// A request that was refused at a limit.
    fn refused() -> AnsweredRequest {
        AnsweredRequest { answer: Answer::Refused { retry_after: None }, permit: None }
    }
}

/// A request that the engine is processing. Dropping it before the answer, as when its client disconnects, cancels it
/// in the engine.
struct OpenRequest<'a> {
    id: RequestId,
    /// Its `X-Request-ID`.
    client_id: HeaderValue,
    front: &'a Front,
    answered: bool,
    _counted: InProgress,
}

impl Drop for OpenRequest<'_> {
    fn drop(&mut self) {
        self.front.ids_in_use.borrow_mut().remove(&self.client_id);
        if !self.answered {
            self.front.abandoned_ids.borrow_mut().insert(&self.client_id, Instant::now());
            self.front.engine.client_left(self.id);
        }
    }
}
