//! The server that the application speaks to: it accepts connections, takes requests, and gives each exactly
//! one answer.

mod client_io;
mod clients;
mod streaming;

use crate::message::{
    BodyData, HEALTH_PATH, Malformed, RemainingBody, Request, ResponseBody, class_of, encode_answer,
    read_body,
};
use crate::options::HttpOptions;
use crate::{Answer, Handle};
use actix_http::body::BoxBody;
use actix_http::error::DispatchError;
use actix_http::header::HeaderValue;
use actix_http::{HttpService, KeepAlive, Method, Response, StatusCode};
use actix_rt::net::TcpStream;
use actix_service::{Service, ServiceFactory, fn_service};
use anyhow::{Context as _, Result, anyhow};
use client_io::ClientIo;
use clients::{ClientConnection, ClientSlot, Clients, ConnectionSummary, DRAIN_TIMEOUT, Phase, Termination};
use dunlincleat::api::RequestId;
use dunlincleat_limits::RuleSet;
use dunlincleat_settings::InstanceSettings;
use dunlincleat_status::lifecycle;
use dunlincleat_status::metrics::{Ends, InProgress};
use dunlincleat_status::{Lifecycle, Metrics, Seldom, Stage, seldom};
use rustc_hash::FxHashSet;
use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::future::poll_fn;
use std::io;
use std::net::{Shutdown, SocketAddr};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use streaming::{CountedBody, ResponseGuard, upload_chunks};
use tokio::net::{TcpListener, TcpSocket};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, oneshot, watch};
use tokio::time::{Instant, sleep, timeout};

/// Connections beyond the bound that are still taken, to be told so.
const EXCESS_CONNECTIONS: usize = 16;
/// How often the clients' deadlines are looked at.
const SWEEP_INTERVAL: Duration = Duration::from_millis(100);
/// How long a client that was too slow may take to read that, and what it still sends is read.
const SLOW_CLIENT_CLOSE_TIMEOUT: Duration = Duration::from_millis(200);
/// What one is told whose request had not come whole in its time: nothing of it was sent on.
const REQUEST_TIMEOUT_RESPONSE: &[u8] =
    b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";

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
