//! The server that the application speaks to: it accepts connections, takes requests, and gives each exactly
//! one answer.

use crate::message::{Body, Coming, HEALTH, Malformed, Parts, Request, Rest, class_of, encode, read_body};
use crate::own::Own;
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
use dunlincleat_status::metrics::{ClassOutcomes, InProgress};
use dunlincleat_status::{Lifecycle, LogLimiter, Metrics, Stage, log_limited};
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
const OVER: usize = 16;
/// How often the clients' deadlines are looked at.
const SWEEP: Duration = Duration::from_millis(100);
/// At the bound, the age from which an idle connection, or one without a whole request, makes room for a new one.
const SPARE_IDLE: Duration = Duration::from_secs(2);
const SPARE_SILENT: Duration = Duration::from_millis(200);
/// What is held of a client that sends on while its request is in hand, and read of one that was turned away.
const SURPLUS: usize = 64 * 1024;
/// What is read between two sweeps, and dropped, of a client that sends on beyond that: its end comes behind it.
const DROPPED: usize = 256 * 1024;
/// How long a client that was too slow may take to read that, and what it still sends is read.
const FAREWELL: Duration = Duration::from_millis(200);
/// What one is told whose request had not come whole in its time: nothing of it was sent on.
const TOO_SLOW: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
/// Bytes a second that a client sends of a body at the least: half of what honest slow ones manage.
const PACE: f64 = 32.0 * 1024.0;
/// How long a client may stand still in the middle of a body that goes on to a server.
const UPLOAD_STALL: Duration = Duration::from_secs(5);
/// How long a client that was turned away may send on.
const DRAIN: Duration = Duration::from_secs(1);
/// In standby, the age from which a connection that has sent nothing is closed: one that has just come is asked first.
const SILENT: Duration = Duration::from_millis(500);

/// What requests are taken under; replaced in one step by a reload.
pub struct InForce {
    /// The settings.
    pub site: Arc<InstanceSettings>,
    /// The operator's limits, where there are any.
    pub rules: Option<Arc<RuleSet>>,
    /// The counts of each class, by its number.
    ends: Vec<Arc<ClassOutcomes>>,
}

impl InForce {
    /// These settings and limits.
    pub fn new(site: Arc<InstanceSettings>, rules: Option<Arc<RuleSet>>, metrics: &Metrics) -> InForce {
        // A number that no class has now counts nowhere.
        let ends = |name: &String| if name.is_empty() { Arc::default() } else { metrics.class(name) };
        InForce { ends: site.classes.iter().map(ends).collect(), site, rules }
    }
}

/// Where clients connect.
pub enum Listener {
    /// An address of this process alone.
    Own(SocketAddr),
    /// A listening socket that other processes hold too.
    Shared(std::net::TcpListener),
}

/// What the front is told.
pub struct Told {
    /// What is in force, now and later.
    pub in_force: watch::Receiver<Rc<InForce>>,
    /// Its bounds and times.
    pub own: Rc<Own>,
    /// Where it counts.
    pub metrics: Arc<Metrics>,
}

/// What the handlers of requests share.
struct Front {
    in_force: watch::Receiver<Rc<InForce>>,
    metrics: Arc<Metrics>,
    own: Rc<Own>,
    engine: Handle,
    clients: Rc<Clients>,
    /// Requests that may still be taken.
    requests: Arc<Semaphore>,
    /// The names of those that are taken.
    ids: RefCell<FxHashSet<HeaderValue>>,
    next: Cell<u64>,
    stage: watch::Receiver<Stage>,
    /// Lines of the log for requests refused at a bound, and for malformed ones.
    full: LogLimiter,
    malformed: LogLimiter,
}

/// Accepts and serves until the stage is `ListenerClosed` and every connection has ended.
pub async fn serve(listener: Listener, told: Told, engine: Handle, lifecycle: Arc<Lifecycle>) -> Result<()> {
    let Told { in_force, own, metrics } = told;
    let mut stage = lifecycle.subscribe();
    let most = own.client_connections + OVER;
    let (listener, shared) = match listener {
        Listener::Own(listen) => {
            (bind(listen, most).with_context(|| format!("EDGE_LISTEN: {listen}"))?, false)
        }
        Listener::Shared(listener) => (TcpListener::from_std(listener).context("EDGE_INHERITED_FD")?, true),
    };
    // What comes to a shared listener waits for the other process too: this one's part ends at once.
    let over = move |stage: &Stage| *stage >= Stage::ListenerClosed || shared && stage.is_shutting_down();
    let connections = Arc::new(Semaphore::new(most));
    let requests = Arc::new(Semaphore::new(own.requests));
    let clients = Rc::new(Clients {
        own: own.clone(),
        seats: RefCell::default(),
        next: Cell::new(0),
        accepting: Cell::new(true),
    });
    let front = Rc::new(Front {
        in_force,
        metrics,
        own,
        engine,
        clients: clients.clone(),
        requests,
        ids: RefCell::default(),
        next: Cell::new(0),
        stage: stage.clone(),
        full: LogLimiter::default(),
        malformed: LogLimiter::default(),
    });
    let handler = front.clone();
    // No limit of the server's own may end a request: the module's deadlines do, and `ClientState` has those
    // of a client that has no request in hand.
    let service = HttpService::build()
        .keep_alive(KeepAlive::Os)
        .client_request_timeout(Duration::ZERO)
        .client_disconnect_timeout(DRAIN)
        // A client that closes has gone; `ClientState::cut` sees that. Where actix-http did, bytes behind a request that
        // can't be read ended its connection too, and with it the request.
        .h1_allow_half_closed(true)
        .on_connect_ext(|io: &ClientIo, data| {
            data.insert(io.state.clone());
        })
        .h1(fn_service(move |request| handle(handler.clone(), request)))
        .new_service(())
        .await
        .map_err(|()| anyhow!("the server could not be set up"))?;
    let service = Rc::new(service);
    let sweeper = actix_rt::spawn(sweep(clients.clone(), connections.clone(), lifecycle.clone()));
    let at = listener.local_addr()?;
    lifecycle.apply(lifecycle::Event::Ready);
    tracing::info!("listening on {at}");
    loop {
        // Not given up at the end: what waits to be accepted then has a place as soon as another is answered.
        let permit = tokio::select! {
            biased;
            permit = connections.clone().acquire_owned() => permit?,
            _ = stage.wait_for(over) => break,
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
            _ = stage.wait_for(over) => break,
        };
        actix_rt::spawn(connection(stream, clients.seat(permit), service.clone(), front.clone()));
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
async fn connection<S>(stream: TcpStream, seat: Seat, service: Rc<S>, front: Rc<Front>)
where
    S: Service<(ClientIo, Option<SocketAddr>), Response = (), Error = DispatchError>,
{
    if let Err(error) = stream.set_nodelay(true) {
        tracing::debug!("connection not set up: {error}");
    }
    let (state, mut stage) = (seat.state.clone(), front.stage.clone());
    let stream = Rc::new(stream);
    let io = ClientIo { stream: stream.clone(), state: state.clone(), stage: stage.clone() };
    let mut connection = Box::pin(service.call((io, None)));
    let cut = loop {
        tokio::select! {
            biased;
            end = &mut connection => {
                match end {
                    Err(DispatchError::Parse(error)) => {
                        let line = format!("request not taken: it can't be read: {error}");
                        log_limited!(front.malformed, info, line);
                    }
                    Err(error) => tracing::debug!("connection of a client ended: {error}"),
                    Ok(()) => {}
                }
                return;
            }
            cut = poll_fn(|cx| state.cut(&stream, cx)) => break cut,
            // Either polls the connection once more, which then sees that it is to close or may read on.
            () = state.wake.notified() => {}
            Ok(()) = stage.changed() => {}
        }
    };
    // With it goes the handler of its request, which tells the engine.
    drop(connection);
    match cut {
        Cut::Left => {}
        Cut::TooSlow => {
            log_limited!(front.malformed, info, "request not taken: it did not come whole in its time");
            let _ = timeout(FAREWELL, farewell(&stream)).await;
        }
    }
}

/// Why a connection is ended from here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Cut {
    /// The client has gone, or does not read what it was answered.
    Left,
    /// Its request had not come whole in its time.
    TooSlow,
}

/// Answers a client that was too slow, and reads on until it has closed: its last byte may have come meanwhile, and a
/// connection that is closed with something unread on it is reset, with the answer.
async fn farewell(stream: &TcpStream) -> io::Result<()> {
    stream.try_write(TOO_SLOW)?;
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
        sleep(SWEEP).await;
        let (now, stage) = (Instant::now(), lifecycle.stage());
        for state in clients.seats.borrow().values() {
            if state.due(&clients.own, stage).is_some_and(|due| due <= now) {
                state.close();
            }
            state.swept(now);
        }
        if clients.accepting.get() && connections.available_permits() == 0 {
            clients.make_room(now);
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
async fn handle(front: Rc<Front>, mut request: actix_http::Request) -> Result<Response<BoxBody>, Infallible> {
    let state = request.conn_data::<Rc<ClientState>>().cloned();
    let over = state.as_ref().is_some_and(|state| state.over);
    // A client that was turned away is told to close: what it sent ahead is not worth more work.
    let mut turned_away = false;
    let mut passes_on = false;
    // Under the settings that it came under: its class may be dropped meanwhile.
    let ends = front.ends(request.path());
    let mut response = if request.method() == Method::GET && request.path() == HEALTH {
        if front.stage.borrow().is_ready() {
            Response::with_body(StatusCode::OK, BoxBody::new("ok\n"))
        } else {
            Response::with_body(StatusCode::SERVICE_UNAVAILABLE, BoxBody::new("no\n"))
        }
    } else if over {
        log_limited!(front.full, warn, Crowd(&front.clients));
        ends.refused.increment();
        encode(Answer::Refused { retry_after: None })
    } else {
        match front.take(&mut request, state.as_ref()).await {
            Ok(answer) => {
                match &answer {
                    // Counted when it has come to its end.
                    Answer::Served(Body { parts: Parts::Passing { .. }, .. }) => passes_on = true,
                    Answer::Served(_) => ends.served.increment(),
                    Answer::Refused { .. } => ends.refused.increment(),
                    Answer::Failed => ends.failed.increment(),
                }
                encode(answer)
            }
            Err(malformed) => {
                if malformed.taken {
                    ends.failed.increment();
                }
                let line = format!("request not taken: {} ({})", malformed.what, malformed.status.as_u16());
                log_limited!(front.malformed, info, line);
                turned_away = true;
                malformed.encode()
            }
        }
    };
    // Where places run short, an answer ends its connection: hundreds of clients a second that ask once and keep
    // theirs once held all places for the 2 s for which an idle one must be kept.
    let close =
        turned_away || over || front.clients.crowded() || front.stage.borrow().closes_after_response();
    if close {
        // It ends once the answer is written; nothing else may end it before.
        response.head_mut().set_connection_type(actix_http::ConnectionType::Close);
    }
    let then = if close { Phase::Draining } else { Phase::Idle };
    if passes_on {
        let counted = front.metrics.request_started();
        let finish = Finish { state, then, ends, whole: false, _counted: counted };
        return Ok(response.map_body(|_, body| BoxBody::new(PassedOn { body, finish })));
    }
    if let Some(state) = state {
        state.enter(then);
    }
    Ok(response)
}

/// The rest of a request's body, as it comes; a client that stops in the middle has gone.
fn uploading(payload: Payload, state: Option<Rc<ClientState>>) -> Coming {
    let parts = stream::unfold((payload, state), |(mut payload, state)| async move {
        let part = timeout(UPLOAD_STALL, payload.next()).await;
        let part = part.unwrap_or_else(|_| Some(Err(PayloadError::Incomplete(None))));
        if part.is_none()
            && let Some(state) = state.as_ref().filter(|state| state.phase.get() == Phase::Body)
        {
            state.enter(Phase::InHand);
        }
        part.map(|part| (part, (payload, state)))
    });
    parts.boxed_local()
}

/// An answer that is passed on as it comes, to its end.
struct PassedOn {
    body: BoxBody,
    finish: Finish,
}

impl MessageBody for PassedOn {
    type Error = Box<dyn std::error::Error>;

    fn size(&self) -> BodySize {
        self.body.size()
    }

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, Self::Error>>> {
        let part = ready!(Pin::new(&mut self.body).poll_next(cx));
        self.finish.whole |= part.is_none();
        Poll::Ready(part)
    }
}

/// The end of an answer that is passed on: counted, and its connection's next phase begun, when this is dropped.
struct Finish {
    state: Option<Rc<ClientState>>,
    then: Phase,
    ends: Arc<ClassOutcomes>,
    whole: bool,
    _counted: InProgress,
}

impl Drop for Finish {
    fn drop(&mut self) {
        let count = if self.whole { &self.ends.served } else { &self.ends.failed };
        count.increment();
        if let Some(state) = &self.state {
            state.enter(self.then);
        }
    }
}

impl Front {
    /// Where the final answer to a request of the class that its path names is counted; one that names none is
    /// counted nowhere.
    fn ends(&self, path: &str) -> Arc<ClassOutcomes> {
        let in_force = self.in_force.borrow();
        let class = class_of(path, &in_force.site).and_then(|class| in_force.ends.get(class));
        class.cloned().unwrap_or_default()
    }

    async fn take(
        &self,
        request: &mut actix_http::Request,
        state: Option<&Rc<ClientState>>,
    ) -> Result<Answer, Malformed> {
        let in_force = self.in_force.borrow().clone();
        let (site, rules) = (&in_force.site, in_force.rules.as_deref());
        let decoded = Request::decode(request.head(), site, rules)?;
        let length = Request::length(request.head());
        state.into_iter().for_each(|state| state.enter(Phase::Body));
        let mut payload = request.take_payload();
        let (body, whole) = read_body(&mut payload, self.own.body_bytes).await?;
        let Ok(permit) = self.requests.clone().try_acquire_owned() else {
            log_limited!(self.full, warn, "request refused: the bound on requests in hand is reached");
            return Ok(Answer::Refused { retry_after: None });
        };
        // A copy of a request in hand, whoever sends it, would be a second run of it.
        if !self.ids.borrow_mut().insert(decoded.id.clone()) {
            return Err(Malformed {
                status: StatusCode::CONFLICT,
                what: "X-Request-ID is in use",
                taken: whole,
            });
        }
        let id = RequestId(self.next.replace(self.next.get() + 1));
        let (slot, answer) = oneshot::channel();
        let (engine, name) = (self.engine.clone(), decoded.id.clone());
        let mut taken = Taken {
            id,
            name,
            front: self,
            engine,
            answered: false,
            _permit: permit,
            _counted: self.metrics.request_started(),
        };
        // Up to the bound a body is held, so that it can be sent again; of a longer one the rest goes to one server as it
        // comes.
        let rest = if whole {
            state.into_iter().for_each(|state| state.enter(Phase::InHand));
            None
        } else {
            state.into_iter().for_each(|state| state.uploads.set(true));
            Some(Rest::new(uploading(payload, state.cloned()), length))
        };
        // Its time counts from its last byte: a slow body once left none for the servers.
        let received = Instant::now();
        let ask = decoded.ask.clone();
        self.engine.request(id, ask, Rc::new(decoded.with_body(body, rest)), received, slot);
        let mut stage = self.stage.clone();
        let answer = tokio::select! {
            biased;
            answer = answer => answer,
            // The process ends: a failure promises nothing, and nothing is owed an answer any more.
            _ = stage.wait_for(|stage| *stage == Stage::Aborting) => return Ok(Answer::Failed),
        };
        taken.answered = true;
        Ok(answer.unwrap_or_else(|_| {
            tracing::error!("a request was dropped without an answer");
            Answer::Failed
        }))
    }
}

/// A request in the engine's hands. Dropped unanswered, as when its client closes, it tells the engine so.
struct Taken<'a> {
    id: RequestId,
    name: HeaderValue,
    front: &'a Front,
    engine: Handle,
    answered: bool,
    _permit: OwnedSemaphorePermit,
    _counted: InProgress,
}

impl Drop for Taken<'_> {
    fn drop(&mut self) {
        self.front.ids.borrow_mut().remove(&self.name);
        if !self.answered {
            self.engine.client_left(self.id);
        }
    }
}

/// How far a client's connection has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// Nothing has come on it yet.
    Silent,
    /// A request has begun, and its head is not whole.
    Reading,
    /// Its body comes.
    Body,
    /// A request is in the engine's hands: nothing here ends it.
    InHand,
    /// The last request was answered and no byte has come since.
    Idle,
    /// It was turned away, or told that this was its last answer.
    Draining,
}

/// What is known of a client's connection.
struct ClientState {
    phase: Cell<Phase>,
    /// Since when it counts against the time that the phase has.
    since: Cell<Instant>,
    /// Since when it is to end as soon as nothing more can be read.
    closing: Cell<Option<Instant>>,
    /// Bytes read of a body, or while draining.
    surplus: Cell<usize>,
    /// What came while a request was in hand, read by what comes next.
    ahead: RefCell<BytesMut>,
    /// More came than is held: what follows can't be read any more.
    flooded: Cell<bool>,
    /// What was read since the last sweep and dropped.
    dropped: Cell<usize>,
    /// It is to be ended from here.
    ends: Cell<Option<Cut>>,
    /// What was written last did not fit: the client does not read.
    blocked: Cell<bool>,
    /// The body goes on to a server as it comes: its pace is the server's too.
    uploads: Cell<bool>,
    /// It is one too many.
    over: bool,
    /// Has the connection polled once more.
    wake: Notify,
}

impl ClientState {
    fn new(over: bool) -> ClientState {
        ClientState {
            phase: Cell::new(Phase::Silent),
            since: Cell::new(Instant::now()),
            closing: Cell::default(),
            surplus: Cell::default(),
            ahead: RefCell::default(),
            flooded: Cell::default(),
            dropped: Cell::default(),
            ends: Cell::default(),
            blocked: Cell::default(),
            uploads: Cell::default(),
            over,
            wake: Notify::new(),
        }
    }

    fn enter(&self, phase: Phase) {
        self.since.set(Instant::now());
        self.surplus.set(0);
        self.closing.set(None);
        self.uploads.set(false);
        if self.phase.replace(phase) == Phase::InHand {
            // Nothing was read for actix-http meanwhile.
            self.wake.notify_one();
        }
    }

    /// Ready when the connection is to be ended from here. While a request is in hand all that comes is read here, in
    /// whatever state actix-http is: the end of a client that has left stands behind what it sent.
    fn cut(&self, stream: &TcpStream, cx: &mut Context<'_>) -> Poll<Cut> {
        let mut came = [0; 4096];
        while self.ends.get().is_none() && self.phase.get() == Phase::InHand && self.dropped.get() < DROPPED {
            let read = match stream.poll_read_ready(cx) {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(ready) => ready.and_then(|()| stream.try_read(&mut came)),
            };
            match read {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Ok(0) | Err(_) => self.ends.set(Some(Cut::Left)),
                Ok(n) => {
                    let mut ahead = self.ahead.borrow_mut();
                    if self.flooded.get() || ahead.len() + n > SURPLUS {
                        self.flooded.set(true);
                        self.dropped.set(self.dropped.get() + n);
                    } else {
                        ahead.extend_from_slice(&came[..n]);
                    }
                }
            }
        }
        self.ends.get().map_or(Poll::Pending, Poll::Ready)
    }

    /// When the client has had its time.
    fn due(&self, own: &Own, stage: Stage) -> Option<Instant> {
        let time = match self.phase.get() {
            // Sent away, and nothing has told it so: no answer was due.
            Phase::Idle if matches!(stage, Stage::StandbyClosingIdle | Stage::ShutdownClosingIdle) => {
                Duration::ZERO
            }
            Phase::Silent if stage == Stage::StandbyClosingIdle => SILENT,
            // All that can be read of it is answered.
            Phase::Idle | Phase::Reading if self.flooded.get() => Duration::ZERO,
            Phase::Silent | Phase::Reading => own.client_request,
            Phase::Body if self.uploads.get() => return None,
            Phase::Body => own.client_request + self.earned(),
            Phase::InHand => return None,
            Phase::Idle => own.client_idle,
            Phase::Draining => DRAIN,
        };
        Some(self.since.get() + time)
    }

    /// The time that what came of a body pays for: a slow client that goes on is an honest one.
    fn earned(&self) -> Duration {
        Duration::from_secs_f64(self.surplus.get() as f64 / PACE)
    }

    fn close(&self) {
        self.closing.set(self.closing.get().or_else(|| Some(Instant::now())));
        self.wake.notify_one();
    }

    /// A sweep has passed. What was to close and did not, as its client reads nothing, is ended.
    fn swept(&self, now: Instant) {
        if self.closing.get().is_some_and(|since| now - since >= DRAIN) {
            self.ends.set(self.ends.get().or(Some(Cut::Left)));
        }
        if self.dropped.replace(0) >= DROPPED || self.ends.get().is_some() {
            self.wake.notify_one();
        }
    }

    /// How fit it is to make room for another: of the idle and of those without a whole request the oldest.
    fn spare(&self, now: Instant) -> Option<(bool, Duration)> {
        let age = now - self.since.get();
        let spare = match self.phase.get() {
            Phase::Idle => (age >= SPARE_IDLE).then_some((true, age)),
            Phase::Silent | Phase::Reading => (age >= SPARE_SILENT).then_some((false, age)),
            Phase::Body if !self.uploads.get() => {
                (age >= SPARE_SILENT + self.earned()).then_some((false, age))
            }
            Phase::Body | Phase::InHand | Phase::Draining => None,
        };
        spare.filter(|_| self.closing.get().is_none())
    }
}

/// The clients' connections.
struct Clients {
    own: Rc<Own>,
    seats: RefCell<FxHashMap<u64, Rc<ClientState>>>,
    next: Cell<u64>,
    /// New ones are still taken: there is somebody to make room for.
    accepting: Cell<bool>,
}

impl Clients {
    /// A place for a new connection. At the bound another that serves nobody makes room for it, so that those
    /// that connect and say nothing, or asked once and stay, keep nobody out.
    fn seat(self: &Rc<Clients>, permit: OwnedSemaphorePermit) -> Seat {
        let held = self.seats.borrow().values().filter(|state| state.closing.get().is_none()).count();
        let over = held >= self.own.clients_now() && !self.make_room(Instant::now());
        let state = Rc::new(ClientState::new(over));
        let number = self.next.replace(self.next.get() + 1);
        self.seats.borrow_mut().insert(number, state.clone());
        Seat { clients: self.clone(), number, state, _permit: permit }
    }

    /// Three quarters of the places are taken.
    fn crowded(&self) -> bool {
        4 * self.seats.borrow().len() >= 3 * self.own.clients_now().max(4)
    }

    fn make_room(&self, now: Instant) -> bool {
        let seats = self.seats.borrow();
        let spare = seats.values().filter_map(|state| Some((state.spare(now)?, state)));
        let spare = spare.max_by_key(|(fit, _)| *fit);
        spare.inspect(|(_, state)| state.close()).is_some()
    }
}

/// Who holds the places, for the log.
struct Crowd<'a>(&'a Clients);

impl Display for Crowd<'_> {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let seats = self.0.seats.borrow();
        let count = |phase| seats.values().filter(|state| state.phase.get() == phase).count();
        write!(
            f,
            "request refused: the bound on client connections is reached: {} silent, {} sending, {} in hand, \
             {} idle, {} ending",
            count(Phase::Silent),
            count(Phase::Reading) + count(Phase::Body),
            count(Phase::InHand),
            count(Phase::Idle),
            count(Phase::Draining)
        )
    }
}

/// A connection's place among the clients'. Dropping it gives the place back.
struct Seat {
    clients: Rc<Clients>,
    number: u64,
    state: Rc<ClientState>,
    _permit: OwnedSemaphorePermit,
}

impl Drop for Seat {
    fn drop(&mut self) {
        self.clients.seats.borrow_mut().remove(&self.number);
    }
}

/// A client's connection, as actix-http has it.
struct ClientIo {
    stream: Rc<TcpStream>,
    state: Rc<ClientState>,
    stage: watch::Receiver<Stage>,
}

impl ClientIo {
    /// Reads what came ahead of its turn, then what comes.
    fn read(&self, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let mut ahead = self.state.ahead.borrow_mut();
        if !ahead.is_empty() {
            let part = ahead.len().min(buf.remaining());
            buf.put_slice(&ahead.split_to(part));
            return Poll::Ready(Ok(()));
        }
        if self.state.flooded.get() {
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
            Phase::InHand => return Poll::Pending,
            Phase::Draining if state.surplus.get() >= SURPLUS => return Poll::Ready(Ok(())),
            Phase::Silent | Phase::Reading | Phase::Body | Phase::Idle | Phase::Draining => {}
        }
        let result = this.read(cx, buf);
        let came = buf.filled().len() - before;
        let ended = result.is_ready() && came == 0;
        match state.phase.get() {
            Phase::Silent | Phase::Idle if came > 0 => state.enter(Phase::Reading),
            // What has come of it may be on its way to a server.
            Phase::Body if ended && state.uploads.get() => state.ends.set(Some(Cut::Left)),
            Phase::Body | Phase::InHand | Phase::Draining => state.surplus.set(state.surplus.get() + came),
            Phase::Silent | Phase::Idle | Phase::Reading => {}
        }
        if !result.is_pending() {
            return result;
        }
        // A connection is closed only after its last byte was read: a request that crosses that is served,
        // not lost.
        let closing = state.closing.get().is_some();
        match state.phase.get() {
            Phase::Silent | Phase::Idle if closing || *this.stage.borrow() >= Stage::ListenerClosed => {
                Poll::Ready(Ok(()))
            }
            // What crosses from here on finds an answer on its way.
            Phase::Reading | Phase::Body if closing && !state.blocked.get() => {
                state.ends.set(Some(Cut::TooSlow));
                Poll::Pending
            }
            Phase::Reading | Phase::Body | Phase::Draining if closing => Poll::Ready(Ok(())),
            Phase::Silent | Phase::Idle | Phase::Reading | Phase::Body | Phase::Draining | Phase::InHand => {
                Poll::Pending
            }
        }
    }
}

impl AsyncWrite for ClientIo {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        self.state.blocked.set(true);
        loop {
            ready!(self.stream.poll_write_ready(cx))?;
            match self.stream.try_write(buf) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                result => {
                    self.state.blocked.set(result.as_ref().is_ok_and(|n| *n < buf.len()));
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
