//! The stand-ins on loopback: servers that take their time, stall and answer with their load, and discovery with a watch.
//! Each listens on a port of the system's choice; all that they see goes to the auditor.

use super::audit::Audit;
use actix_http::body::{BodyStream, BoxBody};
use actix_http::{HttpMessage as _, HttpService, KeepAlive, Request, Response, StatusCode};
use actix_service::{IntoServiceFactory, Service, ServiceFactory, fn_service};
use anyhow::{Result, anyhow};
use bytes::Bytes;
use futures_util::stream;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rand_distr::{Distribution, LogNormal};
use serde_json::{Value, json};
use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use tokio::sync::{Semaphore, watch};
use tokio::time::{sleep, sleep_until, timeout};

/// How often a watch brings a sign of life.
const HEARTBEAT: Duration = Duration::from_secs(2);
/// Requests that a server works on at a time, and that may wait.
const CORES: usize = 2;
const QUEUE: usize = 16;

/// What all stand-ins share.
pub struct Seen {
    /// When it all began.
    pub start: Instant,
    /// The rules.
    pub audit: RefCell<Audit>,
}

impl Seen {
    /// Microseconds since the start.
    pub fn now(&self) -> u64 {
        self.start.elapsed().as_micros() as u64
    }
}

/// Serves on a port of the system's choice until this process ends.
async fn listen<F, S>(handler: F) -> Result<SocketAddr>
where
    F: Fn(Request) -> S + Clone + 'static,
    S: Future<Output = Result<Response<BoxBody>, Infallible>> + 'static,
{
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
    let at = listener.local_addr()?;
    let service = HttpService::build()
        .keep_alive(KeepAlive::Os)
        .h1(fn_service(handler).into_factory())
        .new_service(())
        .await
        .map_err(|()| anyhow!("a stand-in could not be set up"))?;
    let service = Rc::new(service);
    actix_rt::spawn(async move {
        while let Ok((stream, from)) = listener.accept().await {
            let _ = stream.set_nodelay(true);
            let service = service.clone();
            actix_rt::spawn(async move { service.call((stream, Some(from))).await });
        }
    });
    Ok(at)
}

/// A server.
pub struct Server {
    /// Its name.
    pub name: String,
    /// Where it listens.
    pub at: SocketAddr,
    state: Rc<State>,
}

struct State {
    name: String,
    seen: Rc<Seen>,
    cores: Semaphore,
    in_hand: Cell<usize>,
    still: Cell<Instant>,
    rng: RefCell<SmallRng>,
    came: Cell<u64>,
}

impl State {
    fn load(&self) -> String {
        let (in_hand, busy) = (self.in_hand.get(), CORES - self.cores.available_permits());
        json!({"inflight": in_hand, "queue": in_hand - busy.min(in_hand), "util": busy as f64 / CORES as f64})
            .to_string()
    }
}

/// A request in a server's hands; it is given back also where its connection ends.
struct InHand(Rc<State>);

impl Drop for InHand {
    fn drop(&mut self) {
        self.0.in_hand.set(self.0.in_hand.get() - 1);
    }
}

impl Server {
    /// A server of this name.
    pub async fn start(name: &str, seen: Rc<Seen>, seed: u64) -> Result<Server> {
        let state = Rc::new(State {
            name: name.to_owned(),
            seen,
            cores: Semaphore::new(CORES),
            in_hand: Cell::new(0),
            still: Cell::new(Instant::now()),
            rng: RefCell::new(SmallRng::seed_from_u64(seed)),
            came: Cell::new(0),
        });
        let serves = state.clone();
        let at = listen(move |request| serve(serves.clone(), request)).await?;
        Ok(Server { name: name.to_owned(), at, state })
    }

    /// It stands still for so long.
    pub fn stall(&self, lasts: Duration) {
        self.state.still.set(Instant::now() + lasts);
    }

    /// Requests that came since this was last asked.
    pub fn take_came(&self) -> u64 {
        self.state.came.take()
    }
}

async fn serve(state: Rc<State>, request: Request) -> Result<Response<BoxBody>, Infallible> {
    if request.path() == "/healthz" {
        return Ok(Response::with_body(StatusCode::OK, BoxBody::new("ok")));
    }
    if request.path() == "/load" {
        return Ok(Response::with_body(StatusCode::OK, BoxBody::new(state.load())));
    }
    let id = request.headers().get("x-request-id").and_then(|id| id.to_str().ok()).unwrap_or("").to_owned();
    if state.in_hand.get() >= CORES + QUEUE {
        let mut full = Response::with_body(StatusCode::SERVICE_UNAVAILABLE, BoxBody::new(""));
        let name = actix_http::header::HeaderName::from_static("x-not-processed");
        full.headers_mut().insert(name, actix_http::header::HeaderValue::from_static("1"));
        return Ok(full);
    }
    let body = format!("{} {id}", state.name);
    state.seen.audit.borrow_mut().began(&state.name, &id, state.seen.now(), body.clone());
    state.came.set(state.came.get() + 1);
    state.in_hand.set(state.in_hand.get() + 1);
    let _in_hand = InHand(state.clone());
    let Ok(_core) = state.cores.acquire().await else { return Ok(Response::new(StatusCode::BAD_GATEWAY)) };
    let takes = LogNormal::new(1.6, 0.5).map_or(5.0, |d| d.sample(&mut *state.rng.borrow_mut()));
    sleep(Duration::from_secs_f64(takes / 1e3)).await;
    sleep_until(state.still.get().into()).await;
    let mut answer = Response::with_body(StatusCode::OK, BoxBody::new(body));
    let name = actix_http::header::HeaderName::from_static("x-server-load");
    if let Ok(load) = actix_http::header::HeaderValue::from_str(&state.load()) {
        answer.headers_mut().insert(name, load);
    }
    Ok(answer)
}

/// Discovery: a list with changes.
pub struct List {
    /// Where it listens.
    pub at: SocketAddr,
    entries: Rc<RefCell<Vec<(u64, Value)>>>,
    rev: watch::Sender<u64>,
}

impl List {
    /// A list that holds these servers.
    pub async fn start(servers: &[Server], seen: Rc<Seen>) -> Result<List> {
        let entries: Vec<(u64, Value)> = servers.iter().map(|s| (1, entry(s, "up"))).collect();
        let entries = Rc::new(RefCell::new(entries));
        let (rev, told) = watch::channel(1);
        let held = entries.clone();
        let at = listen(move |request| {
            let (held, told, seen) = (held.clone(), told.clone(), seen.clone());
            async move { Ok(answer(&request, held, told, seen)) }
        })
        .await?;
        Ok(List { at, entries, rev })
    }

    /// The list as it is now.
    pub fn whole(&self) -> Value {
        lines(&self.entries.borrow(), None, *self.rev.borrow())
    }

    /// Tells of a server.
    pub fn tell(&self, server: &Server, state: &str) {
        let rev = *self.rev.borrow() + 1;
        self.entries.borrow_mut().retain(|(_, entry)| entry["uid"] != server.name);
        self.entries.borrow_mut().push((rev, entry(server, state)));
        self.rev.send_replace(rev);
    }
}

fn entry(server: &Server, state: &str) -> Value {
    json!({"uid": server.name, "endpoint": server.at.to_string(), "az": "here", "model": "", "pod_group": 0,
        "state": state, "capacity_hint": 1.0, "boot_ms": 0})
}

/// What changed after a version, or all that is listed.
fn lines(entries: &[(u64, Value)], after: Option<u64>, rev: u64) -> Value {
    let wanted = entries.iter().filter(|(since, entry)| match after {
        Some(after) => *since > after,
        None => entry["state"] != "removed",
    });
    let targets: Vec<&Value> = wanted.map(|(_, entry)| entry).collect();
    json!({"rev": rev, "all": after.is_none(), "targets": targets})
}

fn answer(
    request: &Request,
    entries: Rc<RefCell<Vec<(u64, Value)>>>,
    told: watch::Receiver<u64>,
    seen: Rc<Seen>,
) -> Response<BoxBody> {
    let query = request.uri().query().unwrap_or("");
    if !query.split('&').any(|part| part == "watch=1") {
        let whole = lines(&entries.borrow(), None, *told.borrow());
        return Response::with_body(StatusCode::OK, BoxBody::new(whole.to_string()));
    }
    let after = query.split('&').find_map(|part| part.strip_prefix("after=")?.parse::<u64>().ok());
    let lines_from = move |after: Option<u64>, rev: u64| {
        let line = lines(&entries.borrow(), after, rev);
        for entry in line["targets"].as_array().into_iter().flatten().filter(|e| e["state"] != "up") {
            seen.audit.borrow_mut().leaves(entry["uid"].as_str().unwrap_or(""), seen.now());
        }
        Bytes::from(format!("{line}\n"))
    };
    let first = Some((after, true));
    let stream = stream::unfold((first, lines_from), move |(at, lines_from)| {
        let mut told = told.clone();
        async move {
            let (after, begins) = at?;
            if !begins && timeout(HEARTBEAT, told.wait_for(|rev| Some(*rev) > after)).await.is_err() {
                return Some((Ok::<_, Infallible>(Bytes::from("\n")), (Some((after, false)), lines_from)));
            }
            let rev = *told.borrow_and_update();
            let line = lines_from(after, rev);
            Some((Ok(line), (Some((Some(rev), false)), lines_from)))
        }
    });
    Response::with_body(StatusCode::OK, BoxBody::new(BodyStream::new(Box::pin(stream))))
}
