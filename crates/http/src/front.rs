//! The server that the application speaks to: it accepts connections, takes requests, and gives each exactly
//! one answer.

use crate::message::{
    BodyChunks, BodyData, HEALTH_PATH, Malformed, RemainingBody, Request, ResponseBody, class_of,
    encode_answer, read_body,
};
use crate::options::HttpOptions;
use crate::{Answer, Handle};
use actix_http::body::{BodySize, BoxBody, MessageBody};
use actix_http::error::{DispatchError, PayloadError};
use actix_http::header::HeaderValue;
use actix_http::{HttpService, KeepAlive, Method, Payload, Response, StatusCode};
use actix_rt::net::TcpStream;
use actix_service::{Service, ServiceFactory, fn_service};
use anyhow::{Context as _, Result, anyhow};
use bytes::{Bytes, BytesMut};
use dunlincleat::api::RequestId;
use dunlincleat_limits::RuleSet;
use dunlincleat_settings::InstanceSettings;
use dunlincleat_status::lifecycle;
use dunlincleat_status::metrics::{Ends, InProgress};
use dunlincleat_status::{Lifecycle, Metrics, Seldom, Stage, seldom};
use futures_util::StreamExt;
use futures_util::stream;
use rustc_hash::{FxHashMap, FxHashSet};
use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::fmt::{self, Display, Formatter};
use std::future::poll_fn;
use std::io;
use std::net::{Shutdown, SocketAddr};
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpSocket};
use tokio::sync::{Notify, OwnedSemaphorePermit, Semaphore, oneshot, watch};
use tokio::time::{Instant, sleep, timeout};

/// Connections beyond the bound that are still taken, to be told so.
const EXCESS_CONNECTIONS: usize = 16;
/// How often the clients' deadlines are looked at.
const SWEEP_INTERVAL: Duration = Duration::from_millis(100);
/// At the bound, the age from which an idle connection, or one without a whole request, makes room for a new one.
const EVICT_IDLE_AFTER: Duration = Duration::from_secs(2);
const EVICT_INCOMPLETE_AFTER: Duration = Duration::from_millis(200);
/// What is held of a client that sends on while its request is in hand, and read of one that was turned away.
const MAX_BUFFERED_BYTES: usize = 64 * 1024;
/// What is read between two sweeps, and dropped, of a client that sends on beyond that: its end comes behind it.
const MAX_DISCARDED_BYTES: usize = 256 * 1024;
/// How long a client that was too slow may take to read that, and what it still sends is read.
const SLOW_CLIENT_CLOSE_TIMEOUT: Duration = Duration::from_millis(200);
/// What one is told whose request had not come whole in its time: nothing of it was sent on.
const REQUEST_TIMEOUT_RESPONSE: &[u8] =
    b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
/// Bytes a second that a client sends of a body at the least: half of what honest slow ones manage.
const MIN_UPLOAD_BYTES_PER_S: f64 = 32.0 * 1024.0;
/// How long a client may stand still in the middle of a body that goes on to a server.
const UPLOAD_STALL_TIMEOUT: Duration = Duration::from_secs(5);
/// How long a client that was turned away may send on.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(1);
/// In standby, the age from which a connection that has sent nothing is closed: one that has just come is asked first.
const STANDBY_SILENT_TIMEOUT: Duration = Duration::from_millis(500);

/// What requests are taken under; replaced in one step by a reload.
pub struct ActiveSettings {
    /// The settings.
    pub site: Arc<InstanceSettings>,
    /// The operator's limits, where there are any.
    pub rules: Option<Arc<RuleSet>>,
    /// The counts of each class, by its number.
    outcomes: Vec<Arc<Ends>>,
}

impl ActiveSettings {
    /// These settings and limits.
    pub fn new(
        site: Arc<InstanceSettings>,
        rules: Option<Arc<RuleSet>>,
        metrics: &Metrics,
    ) -> ActiveSettings {
        // A number that no class has now counts nowhere.
        let counts = |name: &String| if name.is_empty() { Arc::default() } else { metrics.class(name) };
        ActiveSettings { outcomes: site.classes.iter().map(counts).collect(), site, rules }
    }
}

/// Where clients connect.
pub enum Listener {
    /// An address of this process alone.
    Bind(SocketAddr),
    /// A listening socket that other processes hold too.
    Shared(std::net::TcpListener),
}

/// What the front is told.
pub struct FrontConfig {
    /// What is in force, now and later.
    pub active: watch::Receiver<Rc<ActiveSettings>>,
    /// Its bounds and times.
    pub options: Rc<HttpOptions>,
    /// Where it counts.
    pub metrics: Arc<Metrics>,
}

/// What the handlers of requests share.
struct Front {
    active: watch::Receiver<Rc<ActiveSettings>>,
    metrics: Arc<Metrics>,
    options: Rc<HttpOptions>,
    engine: Handle,
    clients: Rc<Clients>,
    /// Requests that may still be taken.
    request_permits: Arc<Semaphore>,
    /// The names of those that are taken.
    ids_in_use: RefCell<FxHashSet<HeaderValue>>,
    next_id: Cell<u64>,
    stage: watch::Receiver<Stage>,
    /// Lines of the log for requests refused at a bound, and for malformed ones.
    limit_log: Seldom,
    malformed_log: Seldom,
}

/// Accepts and serves until the stage is `Closing` and every connection has ended.
pub async fn serve(
    listener: Listener,
    config: FrontConfig,
    engine: Handle,
    lifecycle: Arc<Lifecycle>,
) -> Result<()> {
    let FrontConfig { active, options, metrics } = config;
    let mut stage = lifecycle.follow();
    let most = options.max_client_connections + EXCESS_CONNECTIONS;
    let (listener, shared) = match listener {
        Listener::Bind(listen) => {
            (bind(listen, most).with_context(|| format!("EDGE_LISTEN: {listen}"))?, false)
        }
        Listener::Shared(listener) => (TcpListener::from_std(listener).context("EDGE_INHERITED_FD")?, true),
    };
    // What comes to a shared listener waits for the other process too: this one's part ends at once.
    let stopped = move |stage: &Stage| *stage >= Stage::Closing || shared && stage.ends();
    let connections = Arc::new(Semaphore::new(most));
    let request_permits = Arc::new(Semaphore::new(options.max_requests));
    let clients = Rc::new(Clients {
        options: options.clone(),
        connections: RefCell::default(),
        next_id: Cell::new(0),
        accepting: Cell::new(true),
    });
    let front = Rc::new(Front {
        active,
        metrics,
        options,
        engine,
        clients: clients.clone(),
        request_permits,
        ids_in_use: RefCell::default(),
        next_id: Cell::new(0),
        stage: stage.clone(),
        limit_log: Seldom::default(),
        malformed_log: Seldom::default(),
    });
    let handler = front.clone();
    // No limit of the server's own may end a request: the module's deadlines do, and `ClientState` has those
    // of a client that has no request in hand.
    let service = HttpService::build()
        .keep_alive(KeepAlive::Os)
        .client_request_timeout(Duration::ZERO)
        .client_disconnect_timeout(DRAIN_TIMEOUT)
        // A client that closes has gone; `ClientState::cut` sees that. Where actix-http did, bytes behind a request that
        // can't be read ended its connection too, and with it the request.
        .h1_allow_half_closed(true)
        .on_connect_ext(|io: &ClientIo, data| {
            data.insert(io.state.clone());
        })
        .h1(fn_service(move |request| handle_request(handler.clone(), request)))
        .new_service(())
        .await
        .map_err(|()| anyhow!("the server could not be set up"))?;
    let service = Rc::new(service);
    let sweeper = actix_rt::spawn(sweep(clients.clone(), connections.clone(), lifecycle.clone()));
    let at = listener.local_addr()?;
    lifecycle.tell(lifecycle::Event::Ready);
    tracing::info!("listening on {at}");
    loop {
        // Not given up at the end: what waits to be accepted then has a place as soon as another is answered.
        let permit = tokio::select! {
            biased;
            permit = connections.clone().acquire_owned() => permit?,
            _ = stage.wait_for(stopped) => break,
        };
        let stream = tokio::select! {
            biased;
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => stream,
                Err(error) => {
                    tracing::error!("no connection accepted: {error}");
                    sleep(Duration::from_millis(20)).await;
                    continue;
                }
            },
            // What waits to be accepted has been accepted already by the machine: it is taken first.
            _ = stage.wait_for(stopped) => break,
        };
        actix_rt::spawn(serve_connection(stream, clients.register(permit), service.clone(), front.clone()));
    }
    drop(listener);
    // All permits are back when all connections have ended. Those that are back already are held here, which is no lack
    // of places: taken for one, it had requests closed that were still coming in.
    clients.accepting.set(false);
    let _all = connections.acquire_many(most as u32).await?;
    sweeper.abort();
    Ok(())
}

/// Serves one connection to its end.
async fn serve_connection<S>(stream: TcpStream, slot: ClientSlot, service: Rc<S>, front: Rc<Front>)
where
    S: Service<(ClientIo, Option<SocketAddr>), Response = (), Error = DispatchError>,
{
    if let Err(error) = stream.set_nodelay(true) {
        tracing::debug!("connection not set up: {error}");
    }
    let (state, mut stage) = (slot.state.clone(), front.stage.clone());
    let stream = Rc::new(stream);
    let io = ClientIo { stream: stream.clone(), state: state.clone(), stage: stage.clone() };
    let mut connection = Box::pin(service.call((io, None)));
    let termination = loop {
        tokio::select! {
            biased;
            end = &mut connection => {
                match end {
                    Err(DispatchError::Parse(error)) => {
                        let line = format!("request not taken: it can't be read: {error}");
                        seldom!(front.malformed_log, info, line);
                    }
                    Err(error) => tracing::debug!("connection of a client ended: {error}"),
                    Ok(()) => {}
                }
                return;
            }
            termination = poll_fn(|cx| state.poll_termination(&stream, cx)) => break termination,
            // Either polls the connection once more, which then sees that it is to close or may read on.
            () = state.wake.notified() => {}
            Ok(()) = stage.changed() => {}
        }
    };
    // With it goes the handler of its request, which tells the engine.
    drop(connection);
    match termination {
        Termination::ClientLeft => {}
        Termination::RequestTimeout => {
            seldom!(front.malformed_log, info, "request not taken: it did not come whole in its time");
            let _ = timeout(SLOW_CLIENT_CLOSE_TIMEOUT, reject_slow_client(&stream)).await;
        }
    }
}

/// Why a connection is ended from here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Termination {
    /// The client has gone, or does not read what it was answered.
    ClientLeft,
    /// Its request had not come whole in its time.
    RequestTimeout,
}

/// Answers a client that was too slow, and reads on until it has closed: its last byte may have come meanwhile, and a
/// connection that is closed with something unread on it is reset, with the answer.
async fn reject_slow_client(stream: &TcpStream) -> io::Result<()> {
    stream.try_write(REQUEST_TIMEOUT_RESPONSE)?;
    socket2::SockRef::from(stream).shutdown(Shutdown::Write)?;
    let mut unread = [0; 4096];
    loop {
        stream.readable().await?;
        match stream.try_read(&mut unread) {
            Ok(0) => return Ok(()),
            Err(error) if error.kind() != io::ErrorKind::WouldBlock => return Err(error),
            Ok(_) | Err(_) => {}
        }
    }
}

/// Closes connections whose time is over, and one more where all places are taken.
async fn sweep(clients: Rc<Clients>, connections: Arc<Semaphore>, lifecycle: Arc<Lifecycle>) {
    loop {
        sleep(SWEEP_INTERVAL).await;
        let (now, stage) = (Instant::now(), lifecycle.stage());
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

/// Listens with a queue that holds as many connections as may be taken: beyond the usual one of 128 they did not
/// come up while the program stood still.
fn bind(listen: SocketAddr, most: usize) -> io::Result<TcpListener> {
    let socket = if listen.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    socket.bind(listen)?;
    socket.listen(u32::try_from(most).unwrap_or(u32::MAX))
}

/// Takes one request and waits for its answer.
async fn handle_request(
    front: Rc<Front>,
    mut request: actix_http::Request,
) -> Result<Response<BoxBody>, Infallible> {
    let state = request.conn_data::<Rc<ClientConnection>>().cloned();
    let over_limit = state.as_ref().is_some_and(|state| state.over_limit);
    // A client that was turned away is told to close: what it sent ahead is not worth more work.
    let mut rejected = false;
    let mut streams = false;
    // Under the settings that it came under: its class may be dropped meanwhile.
    let outcomes = front.outcomes(request.path());
    let mut response = if request.method() == Method::GET && request.path() == HEALTH_PATH {
        if front.stage.borrow().ready() {
            Response::with_body(StatusCode::OK, BoxBody::new("ok\n"))
        } else {
            Response::with_body(StatusCode::SERVICE_UNAVAILABLE, BoxBody::new("no\n"))
        }
    } else if over_limit {
        seldom!(front.limit_log, warn, ConnectionSummary(&front.clients));
        outcomes.dropped.count();
        encode_answer(Answer::Refused { retry_after: None })
    } else {
        match front.accept_request(&mut request, state.as_ref()).await {
            Ok(answer) => {
                match &answer {
                    // Counted when it has come to its end.
                    Answer::Served(ResponseBody { data: BodyData::Streaming { .. }, .. }) => streams = true,
                    Answer::Served(_) => outcomes.passed.count(),
                    Answer::Refused { .. } => outcomes.dropped.count(),
                    Answer::Failed => outcomes.failed.count(),
                }
                encode_answer(answer)
            }
            Err(malformed) => {
                if malformed.counts_as_failed {
                    outcomes.failed.count();
                }
                let line = format!("request not taken: {} ({})", malformed.reason, malformed.status.as_u16());
                seldom!(front.malformed_log, info, line);
                rejected = true;
                malformed.encode()
            }
        }
    };
    // Where places run short, an answer ends its connection: hundreds of clients a second that ask once and keep
    // theirs once held all places for the 2 s for which an idle one must be kept.
    let close = rejected || over_limit || front.clients.is_crowded() || front.stage.borrow().sends_away();
    if close {
        // It ends once the answer is written; nothing else may end it before.
        response.head_mut().set_connection_type(actix_http::ConnectionType::Close);
    }
    let next_phase = if close { Phase::Draining } else { Phase::Idle };
    if streams {
        let counted = front.metrics.taken();
        let guard = ResponseGuard { state, next_phase, outcomes, complete: false, _counted: counted };
        return Ok(response.map_body(|_, body| BoxBody::new(CountedBody { body, guard })));
    }
    if let Some(state) = state {
        state.enter(next_phase);
    }
    Ok(response)
}

/// The rest of a request's body, as it comes; a client that stops in the middle has gone.
fn upload_chunks(payload: Payload, state: Option<Rc<ClientConnection>>) -> BodyChunks {
    let parts = stream::unfold((payload, state), |(mut payload, state)| async move {
        let part = timeout(UPLOAD_STALL_TIMEOUT, payload.next()).await;
        let part = part.unwrap_or_else(|_| Some(Err(PayloadError::Incomplete(None))));
        if part.is_none()
            && let Some(state) = state.as_ref().filter(|state| state.phase.get() == Phase::ReadingBody)
        {
            state.enter(Phase::Processing);
        }
        part.map(|part| (part, (payload, state)))
    });
    parts.boxed_local()
}

/// An answer that is passed on as it comes, to its end.
struct CountedBody {
    body: BoxBody,
    guard: ResponseGuard,
}

impl MessageBody for CountedBody {
    type Error = Box<dyn std::error::Error>;

    fn size(&self) -> BodySize {
        self.body.size()
    }

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, Self::Error>>> {
        let part = ready!(Pin::new(&mut self.body).poll_next(cx));
        self.guard.complete |= part.is_none();
        Poll::Ready(part)
    }
}

/// The end of an answer that is passed on: counted, and its connection's next phase begun, when this is dropped.
struct ResponseGuard {
    state: Option<Rc<ClientConnection>>,
    next_phase: Phase,
    outcomes: Arc<Ends>,
    complete: bool,
    _counted: InProgress,
}

impl Drop for ResponseGuard {
    fn drop(&mut self) {
        let count = if self.complete { &self.outcomes.passed } else { &self.outcomes.failed };
        count.count();
        if let Some(state) = &self.state {
            state.enter(self.next_phase);
        }
    }
}

impl Front {
    /// Where the final answer to a request of the class that its path names is counted; one that names none is
    /// counted nowhere.
    fn outcomes(&self, path: &str) -> Arc<Ends> {
        let active = self.active.borrow();
        let class = class_of(path, &active.site).and_then(|class| active.outcomes.get(class));
        class.cloned().unwrap_or_default()
    }

    async fn accept_request(
        &self,
        request: &mut actix_http::Request,
        state: Option<&Rc<ClientConnection>>,
    ) -> Result<Answer, Malformed> {
        let active = self.active.borrow().clone();
        let (site, rules) = (&active.site, active.rules.as_deref());
        let decoded = Request::decode(request.head(), site, rules)?;
        let length = Request::content_length(request.head());
        state.into_iter().for_each(|state| state.enter(Phase::ReadingBody));
        let mut payload = request.take_payload();
        let (body, whole) = read_body(&mut payload, self.options.max_body_bytes).await?;
        let Ok(permit) = self.request_permits.clone().try_acquire_owned() else {
            seldom!(self.limit_log, warn, "request refused: the bound on requests in hand is reached");
            return Ok(Answer::Refused { retry_after: None });
        };
        // A copy of a request in hand, whoever sends it, would be a second run of it.
        if !self.ids_in_use.borrow_mut().insert(decoded.id.clone()) {
            return Err(Malformed {
                status: StatusCode::CONFLICT,
                reason: "X-Request-ID is in use",
                counts_as_failed: whole,
            });
        }
        let id = RequestId(self.next_id.replace(self.next_id.get() + 1));
        let (slot, answer) = oneshot::channel();
        let (engine, name) = (self.engine.clone(), decoded.id.clone());
        let mut open = OpenRequest {
            id,
            name,
            front: self,
            engine,
            answered: false,
            _permit: permit,
            _counted: self.metrics.taken(),
        };
        // Up to the bound a body is held, so that it can be sent again; of a longer one the rest goes to one server as it
        // comes.
        let rest = if whole {
            state.into_iter().for_each(|state| state.enter(Phase::Processing));
            None
        } else {
            state.into_iter().for_each(|state| state.streams_body.set(true));
            Some(RemainingBody::new(upload_chunks(payload, state.cloned()), length))
        };
        // Its time counts from its last byte: a slow body once left none for the servers.
        let received = Instant::now();
        let info = decoded.info.clone();
        self.engine.request(id, info, Rc::new(decoded.with_body(body, rest)), received, slot);
        let mut stage = self.stage.clone();
        let answer = tokio::select! {
            biased;
            answer = answer => answer,
            // The process ends: a failure promises nothing, and nothing is owed an answer any more.
            _ = stage.wait_for(|stage| *stage == Stage::Last) => return Ok(Answer::Failed),
        };
        open.answered = true;
        Ok(answer.unwrap_or_else(|_| {
            tracing::error!("a request was dropped without an answer");
            Answer::Failed
        }))
    }
}

/// A request in the engine's hands. Dropped unanswered, as when its client closes, it tells the engine so.
struct OpenRequest<'a> {
    id: RequestId,
    name: HeaderValue,
    front: &'a Front,
    engine: Handle,
    answered: bool,
    _permit: OwnedSemaphorePermit,
    _counted: InProgress,
}

impl Drop for OpenRequest<'_> {
    fn drop(&mut self) {
        self.front.ids_in_use.borrow_mut().remove(&self.name);
        if !self.answered {
            self.engine.client_left(self.id);
        }
    }
}

/// How far a client's connection has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// Nothing has come on it yet.
    Connected,
    /// A request has begun, and its head is not whole.
    ReadingHead,
    /// Its body comes.
    ReadingBody,
    /// A request is in the engine's hands: nothing here ends it.
    Processing,
    /// The last request was answered and no byte has come since.
    Idle,
    /// It was turned away, or told that this was its last answer.
    Draining,
}

/// What is known of a client's connection.
struct ClientConnection {
    phase: Cell<Phase>,
    /// Since when it counts against the time that the phase has.
    phase_since: Cell<Instant>,
    /// Since when it is to end as soon as nothing more can be read.
    closing_since: Cell<Option<Instant>>,
    /// Bytes read of a body, or while draining.
    phase_bytes: Cell<usize>,
    /// What came while a request was in hand, read by what comes next.
    read_ahead: RefCell<BytesMut>,
    /// More came than is held: what follows can't be read any more.
    read_ahead_full: Cell<bool>,
    /// What was read since the last sweep and dropped.
    discarded: Cell<usize>,
    /// It is to be ended from here.
    termination: Cell<Option<Termination>>,
    /// What was written last did not fit: the client does not read.
    write_blocked: Cell<bool>,
    /// The body goes on to a server as it comes: its pace is the server's too.
    streams_body: Cell<bool>,
    /// It is one too many.
    over_limit: bool,
    /// Has the connection polled once more.
    wake: Notify,
}

impl ClientConnection {
    fn new(over_limit: bool) -> ClientConnection {
        ClientConnection {
            phase: Cell::new(Phase::Connected),
            phase_since: Cell::new(Instant::now()),
            closing_since: Cell::default(),
            phase_bytes: Cell::default(),
            read_ahead: RefCell::default(),
            read_ahead_full: Cell::default(),
            discarded: Cell::default(),
            termination: Cell::default(),
            write_blocked: Cell::default(),
            streams_body: Cell::default(),
            over_limit,
            wake: Notify::new(),
        }
    }

    fn enter(&self, phase: Phase) {
        self.phase_since.set(Instant::now());
        self.phase_bytes.set(0);
        self.closing_since.set(None);
        self.streams_body.set(false);
        if self.phase.replace(phase) == Phase::Processing {
            // Nothing was read for actix-http meanwhile.
            self.wake.notify_one();
        }
    }

    /// Ready when the connection is to be ended from here. While a request is in hand all that comes is read here, in
    /// whatever state actix-http is: the end of a client that has left stands behind what it sent.
    fn poll_termination(&self, stream: &TcpStream, cx: &mut Context<'_>) -> Poll<Termination> {
        let mut received = [0; 4096];
        while self.termination.get().is_none()
            && self.phase.get() == Phase::Processing
            && self.discarded.get() < MAX_DISCARDED_BYTES
        {
            let read = match stream.poll_read_ready(cx) {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(ready) => ready.and_then(|()| stream.try_read(&mut received)),
            };
            match read {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Ok(0) | Err(_) => self.termination.set(Some(Termination::ClientLeft)),
                Ok(n) => {
                    let mut read_ahead = self.read_ahead.borrow_mut();
                    if self.read_ahead_full.get() || read_ahead.len() + n > MAX_BUFFERED_BYTES {
                        self.read_ahead_full.set(true);
                        self.discarded.set(self.discarded.get() + n);
                    } else {
                        read_ahead.extend_from_slice(&received[..n]);
                    }
                }
            }
        }
        self.termination.get().map_or(Poll::Pending, Poll::Ready)
    }

    /// When the client has had its time.
    fn deadline(&self, options: &HttpOptions, stage: Stage) -> Option<Instant> {
        let time = match self.phase.get() {
            // Sent away, and nothing has told it so: no answer was due.
            Phase::Idle if matches!(stage, Stage::Emptying | Stage::Parting) => Duration::ZERO,
            Phase::Connected if stage == Stage::Emptying => STANDBY_SILENT_TIMEOUT,
            // All that can be read of it is answered.
            Phase::Idle | Phase::ReadingHead if self.read_ahead_full.get() => Duration::ZERO,
            Phase::Connected | Phase::ReadingHead => options.client_request_timeout,
            Phase::ReadingBody if self.streams_body.get() => return None,
            Phase::ReadingBody => options.client_request_timeout + self.earned_time(),
            Phase::Processing => return None,
            Phase::Idle => options.client_idle_timeout,
            Phase::Draining => DRAIN_TIMEOUT,
        };
        Some(self.phase_since.get() + time)
    }

    /// The time that what came of a body pays for: a slow client that goes on is an honest one.
    fn earned_time(&self) -> Duration {
        Duration::from_secs_f64(self.phase_bytes.get() as f64 / MIN_UPLOAD_BYTES_PER_S)
    }

    fn request_close(&self) {
        self.closing_since.set(self.closing_since.get().or_else(|| Some(Instant::now())));
        self.wake.notify_one();
    }

    /// A sweep has passed. What was to close and did not, as its client reads nothing, is ended.
    fn after_sweep(&self, now: Instant) {
        if self.closing_since.get().is_some_and(|since| now - since >= DRAIN_TIMEOUT) {
            self.termination.set(self.termination.get().or(Some(Termination::ClientLeft)));
        }
        if self.discarded.replace(0) >= MAX_DISCARDED_BYTES || self.termination.get().is_some() {
            self.wake.notify_one();
        }
    }

    /// How fit it is to make room for another: of the idle and of those without a whole request the oldest.
    fn eviction_rank(&self, now: Instant) -> Option<(bool, Duration)> {
        let age = now - self.phase_since.get();
        let spare = match self.phase.get() {
            Phase::Idle => (age >= EVICT_IDLE_AFTER).then_some((true, age)),
            Phase::Connected | Phase::ReadingHead => (age >= EVICT_INCOMPLETE_AFTER).then_some((false, age)),
            Phase::ReadingBody if !self.streams_body.get() => {
                (age >= EVICT_INCOMPLETE_AFTER + self.earned_time()).then_some((false, age))
            }
            Phase::ReadingBody | Phase::Processing | Phase::Draining => None,
        };
        spare.filter(|_| self.closing_since.get().is_none())
    }
}

/// The clients' connections.
struct Clients {
    options: Rc<HttpOptions>,
    connections: RefCell<FxHashMap<u64, Rc<ClientConnection>>>,
    next_id: Cell<u64>,
    /// New ones are still taken: there is somebody to make room for.
    accepting: Cell<bool>,
}

impl Clients {
    /// A place for a new connection. At the bound another that serves nobody makes room for it, so that those
    /// that connect and say nothing, or asked once and stay, keep nobody out.
    fn register(self: &Rc<Clients>, permit: OwnedSemaphorePermit) -> ClientSlot {
        let open =
            self.connections.borrow().values().filter(|state| state.closing_since.get().is_none()).count();
        let over_limit = open >= self.options.client_connection_limit() && !self.evict_one(Instant::now());
        let state = Rc::new(ClientConnection::new(over_limit));
        let number = self.next_id.replace(self.next_id.get() + 1);
        self.connections.borrow_mut().insert(number, state.clone());
        ClientSlot { clients: self.clone(), number, state, _permit: permit }
    }

    /// Three quarters of the places are taken.
    fn is_crowded(&self) -> bool {
        4 * self.connections.borrow().len() >= 3 * self.options.client_connection_limit().max(4)
    }

    fn evict_one(&self, now: Instant) -> bool {
        let connections = self.connections.borrow();
        let spare = connections.values().filter_map(|state| Some((state.eviction_rank(now)?, state)));
        let spare = spare.max_by_key(|(fit, _)| *fit);
        spare.inspect(|(_, state)| state.request_close()).is_some()
    }
}

/// Who holds the places, for the log.
struct ConnectionSummary<'a>(&'a Clients);

impl Display for ConnectionSummary<'_> {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let connections = self.0.connections.borrow();
        let count = |phase| connections.values().filter(|state| state.phase.get() == phase).count();
        write!(
            f,
            "request refused: the bound on client connections is reached: {} silent, {} sending, {} in hand, \
             {} idle, {} ending",
            count(Phase::Connected),
            count(Phase::ReadingHead) + count(Phase::ReadingBody),
            count(Phase::Processing),
            count(Phase::Idle),
            count(Phase::Draining)
        )
    }
}

/// A connection's place among the clients'. Dropping it gives the place back.
struct ClientSlot {
    clients: Rc<Clients>,
    number: u64,
    state: Rc<ClientConnection>,
    _permit: OwnedSemaphorePermit,
}

impl Drop for ClientSlot {
    fn drop(&mut self) {
        self.clients.connections.borrow_mut().remove(&self.number);
    }
}

/// A client's connection, as actix-http has it.
struct ClientIo {
    stream: Rc<TcpStream>,
    state: Rc<ClientConnection>,
    stage: watch::Receiver<Stage>,
}

impl ClientIo {
    /// Reads what came ahead of its turn, then what comes.
    fn read(&self, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let mut read_ahead = self.state.read_ahead.borrow_mut();
        if !read_ahead.is_empty() {
            let part = read_ahead.len().min(buf.remaining());
            buf.put_slice(&read_ahead.split_to(part));
            return Poll::Ready(Ok(()));
        }
        if self.state.read_ahead_full.get() {
            return Poll::Pending;
        }
        loop {
            ready!(self.stream.poll_read_ready(cx))?;
            match self.stream.try_read(buf.initialize_unfilled()) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Poll::Ready(Err(error)),
                Ok(n) => {
                    buf.advance(n);
                    return Poll::Ready(Ok(()));
                }
            }
        }
    }
}

impl AsyncRead for ClientIo {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let (this, before) = (self.get_mut(), buf.filled().len());
        let state = &this.state;
        match state.phase.get() {
            // `ClientState::cut` reads. Once the request is answered, `enter` has the connection polled again.
            Phase::Processing => return Poll::Pending,
            Phase::Draining if state.phase_bytes.get() >= MAX_BUFFERED_BYTES => return Poll::Ready(Ok(())),
            Phase::Connected | Phase::ReadingHead | Phase::ReadingBody | Phase::Idle | Phase::Draining => {}
        }
        let result = this.read(cx, buf);
        let received = buf.filled().len() - before;
        let ended = result.is_ready() && received == 0;
        match state.phase.get() {
            Phase::Connected | Phase::Idle if received > 0 => state.enter(Phase::ReadingHead),
            // What has come of it may be on its way to a server.
            Phase::ReadingBody if ended && state.streams_body.get() => {
                state.termination.set(Some(Termination::ClientLeft))
            }
            Phase::ReadingBody | Phase::Processing | Phase::Draining => {
                state.phase_bytes.set(state.phase_bytes.get() + received)
            }
            Phase::Connected | Phase::Idle | Phase::ReadingHead => {}
        }
        if !result.is_pending() {
            return result;
        }
        // A connection is closed only after its last byte was read: a request that crosses that is served,
        // not lost.
        let closing = state.closing_since.get().is_some();
        match state.phase.get() {
            Phase::Connected | Phase::Idle if closing || *this.stage.borrow() >= Stage::Closing => {
                Poll::Ready(Ok(()))
            }
            // What crosses from here on finds an answer on its way.
            Phase::ReadingHead | Phase::ReadingBody if closing && !state.write_blocked.get() => {
                state.termination.set(Some(Termination::RequestTimeout));
                Poll::Pending
            }
            Phase::ReadingHead | Phase::ReadingBody | Phase::Draining if closing => Poll::Ready(Ok(())),
            Phase::Connected
            | Phase::Idle
            | Phase::ReadingHead
            | Phase::ReadingBody
            | Phase::Draining
            | Phase::Processing => Poll::Pending,
        }
    }
}

impl AsyncWrite for ClientIo {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        self.state.write_blocked.set(true);
        loop {
            ready!(self.stream.poll_write_ready(cx))?;
            match self.stream.try_write(buf) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                result => {
                    self.state.write_blocked.set(result.as_ref().is_ok_and(|n| *n < buf.len()));
                    return Poll::Ready(result);
                }
            }
        }
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(socket2::SockRef::from(&*self.stream).shutdown(Shutdown::Write))
    }
}
