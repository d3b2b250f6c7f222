//! The stand-ins on loopback, each a process of its own: servers that take their time, stall and answer with their load,
//! and discovery with a watch. Each listens on a port of the system's choice and writes what it sees to standard output, one
//! JSON line an event, before it acts on it. It ends when its standard input does.

use crate::history::{Event, EventKind};
use actix_http::body::{BodyStream, BoxBody};
use actix_http::header::{HeaderName, HeaderValue};
use actix_http::{HttpMessage as _, HttpService, KeepAlive, Request, Response, StatusCode};
use actix_service::{IntoServiceFactory, Service, ServiceFactory, fn_service};
use anyhow::{Context, Result, anyhow};
use bytes::Bytes;
use clap::Subcommand;
use futures_util::stream;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rand_distr::{Distribution, LogNormal};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::io::Write;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, BufReader, stdin};
use tokio::net::TcpListener;
use tokio::sync::{Semaphore, watch};
use tokio::time::{sleep, timeout};

/// How often a watch brings a sign of life.
const HEARTBEAT: Duration = Duration::from_secs(2);
/// Requests that a server works on at a time, and that may wait.
const CORES: usize = 2;
const QUEUE: usize = 16;

/// A stand-in as a process of its own.
#[derive(Clone, Debug, Subcommand)]
pub enum Stub {
    /// A server
    Server {
        /// Its name
        name: String,
        /// The seed of its times
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// A planted fault: effects of duties are carried out under any fence
        #[arg(long)]
        any_fence: bool,
    },
    /// Many servers in one process, named `k0000` and on, each at an address of its own, that answer at once
    Many {
        /// How many
        servers: usize,
    },
    /// The list, with an address for each instance
    List {
        /// The instances
        instances: Vec<String>,
    },
}

/// What the list is told on its standard input.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ListCommand {
    /// What each instance is to be told of.
    #[serde(rename = "hold")]
    ReplaceLists(BTreeMap<String, Vec<ListedServer>>),
    /// A server is in this state now.
    #[serde(rename = "tell")]
    SetState {
        /// The server.
        server: String,
        /// `up`, `draining` or `removed`.
        state: String,
    },
}

/// A server as an instance is told of it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ListedServer {
    /// Its name.
    pub uid: String,
    /// Where the instance reaches it.
    #[serde(rename = "at")]
    pub address: SocketAddr,
    /// The service that it belongs to.
    pub model: String,
}

/// The address of the nth of many servers: all of the loopback net, one for each.
#[must_use]
pub fn stub_address(n: usize) -> Ipv4Addr {
    let [.., a, b, c] = (n as u64 + 1).to_be_bytes();
    Ipv4Addr::new(127, a.wrapping_add(1), b, c)
}

/// The name of the nth of many servers.
#[must_use]
pub fn stub_name(n: usize) -> String {
    format!("k{n:04}")
}

/// Writes what was seen. A rig that does not read it any more has gone, and so does the stand-in.
fn saw(what: EventKind) {
    let line = serde_json::to_string(&Event::now(what)).unwrap_or_default();
    if writeln!(std::io::stdout(), "{line}").is_err() {
        std::process::exit(1);
    }
}

/// Stands in until standard input ends.
///
/// # Errors
///
/// No port can be had, or an order can't be read.
pub fn run(stub: Stub) -> Result<()> {
    actix_rt::System::new().block_on(async move {
        let list = match stub {
            Stub::Server { name, seed, any_fence } => {
                let state = Rc::new(Server::new(name, Some(seed), any_fence));
                let on =
                    vec![listen(Ipv4Addr::LOCALHOST, move |request| serve(state.clone(), request)).await?];
                saw(EventKind::Listening { addresses: on });
                None
            }
            Stub::Many { servers } => {
                let mut on = Vec::new();
                for n in 0..servers {
                    let state = Rc::new(Server::new(stub_name(n), None, false));
                    on.push(listen(stub_address(n), move |request| serve(state.clone(), request)).await?);
                }
                saw(EventKind::Listening { addresses: on });
                None
            }
            Stub::List { instances } => Some(List::start(instances).await?),
        };
        let mut orders = BufReader::new(stdin()).lines();
        while let Some(line) = orders.next_line().await? {
            let order: ListCommand = serde_json::from_str(&line).with_context(|| line.clone())?;
            if let Some(list) = &list {
                list.follow(order);
            }
        }
        Ok(())
    })
}

/// Serves on a port of the system's choice until this process ends.
async fn listen<F, S>(address: Ipv4Addr, handler: F) -> Result<SocketAddr>
where
    F: Fn(Request) -> S + Clone + 'static,
    S: Future<Output = Result<Response<BoxBody>, Infallible>> + 'static,
{
    let listener = TcpListener::bind((address, 0)).await.with_context(|| format!("{address}: a listener"))?;
    let at = listener.local_addr()?;
    let service = HttpService::build()
        .keep_alive(KeepAlive::Os)
        .h1(fn_service(handler).into_factory())
        .new_service(())
        .await
        .map_err(|()| anyhow!("a stand-in could not be set up"))?;
    let service = Rc::new(service);
    actix_rt::spawn(async move {
        loop {
            let Ok((stream, from)) = listener.accept().await else {
                sleep(Duration::from_millis(20)).await;
                continue;
            };
            let _ = stream.set_nodelay(true);
            let service = service.clone();
            actix_rt::spawn(async move { service.call((stream, Some(from))).await });
        }
    });
    Ok(at)
}

fn answer_of(
    status: StatusCode,
    body: impl Into<String>,
    headers: &[(&'static str, String)],
) -> Response<BoxBody> {
    let mut response = Response::with_body(status, BoxBody::new(body.into()));
    for (name, value) in headers {
        if let Ok(value) = HeaderValue::from_str(value) {
            response.headers_mut().insert(HeaderName::from_static(name), value);
        }
    }
    response
}

/// A server.
struct Server {
    name: String,
    cores: Semaphore,
    in_hand: Cell<usize>,
    /// What its times are drawn from; one without answers at once.
    rng: Option<RefCell<SmallRng>>,
    /// The highest fence and period of each duty that it carried out.
    fences: RefCell<BTreeMap<String, (u64, u64)>>,
    any_fence: bool,
}

impl Server {
    fn new(name: String, seed: Option<u64>, any_fence: bool) -> Server {
        let (cores, in_hand) = (Semaphore::new(CORES), Cell::new(0));
        let rng = seed.map(|seed| RefCell::new(SmallRng::seed_from_u64(seed)));
        Server { name, cores, in_hand, rng, fences: RefCell::default(), any_fence }
    }

    /// The effect of a duty: noted, or refused for its fence before anything else is done with it.
    fn effect(&self, request: &Request, id: &str) -> Option<Response<BoxBody>> {
        let text = |name: &str| request.headers().get(name).and_then(|value| value.to_str().ok());
        let number = |name: &str| text(name).and_then(|n| n.parse::<u64>().ok()).unwrap_or(0);
        let duty = text("x-duty")?.to_owned();
        let (fence, period) = (number("x-duty-fence"), number("x-duty-period"));
        let mut fences = self.fences.borrow_mut();
        let seen = fences.entry(duty.clone()).or_default();
        let accepted = fence >= seen.0 || self.any_fence;
        saw(EventKind::DutyEffect { duty, period, fence, id: id.to_owned(), accepted });
        if accepted {
            *seen = (seen.0.max(fence), seen.1.max(period));
            return None;
        }
        let told = [("x-duty-fence", seen.0.to_string()), ("x-duty-period", seen.1.to_string())];
        Some(answer_of(StatusCode::CONFLICT, "a higher fence was seen", &told))
    }

    fn load(&self) -> String {
        let (in_hand, busy) = (self.in_hand.get(), CORES - self.cores.available_permits());
        json!({"inflight": in_hand, "queue": in_hand - busy.min(in_hand), "util": busy as f64 / CORES as f64})
            .to_string()
    }
}

/// A request in a server's hands; it is given back also where its connection ends.
struct InHand(Rc<Server>);

impl Drop for InHand {
    fn drop(&mut self) {
        self.0.in_hand.set(self.0.in_hand.get() - 1);
    }
}

async fn serve(server: Rc<Server>, request: Request) -> Result<Response<BoxBody>, Infallible> {
    match request.path() {
        "/healthz" => return Ok(answer_of(StatusCode::OK, "ok", &[])),
        "/load" => return Ok(answer_of(StatusCode::OK, server.load(), &[])),
        _ => {}
    }
    let id = request.headers().get("x-request-id").and_then(|id| id.to_str().ok()).unwrap_or("").to_owned();
    if server.in_hand.get() >= CORES + QUEUE {
        return Ok(answer_of(StatusCode::SERVICE_UNAVAILABLE, "", &[("x-not-processed", "1".to_owned())]));
    }
    if let Some(refused) = server.effect(&request, &id) {
        return Ok(refused);
    }
    let body = format!("{} {id}", server.name);
    if request.headers().get("x-duty").is_none() {
        saw(EventKind::RequestStarted { server: server.name.clone(), id, body: body.clone() });
    }
    server.in_hand.set(server.in_hand.get() + 1);
    let _in_hand = InHand(server.clone());
    let Ok(_core) = server.cores.acquire().await else { return Ok(Response::new(StatusCode::BAD_GATEWAY)) };
    if let Some(rng) = &server.rng {
        let takes = LogNormal::new(1.6, 0.5).map_or(5.0, |d| d.sample(&mut *rng.borrow_mut()));
        sleep(Duration::from_secs_f64(takes / 1e3)).await;
    }
    Ok(answer_of(StatusCode::OK, body, &[("x-server-load", server.load())]))
}

/// What an instance is told of: servers by name, their state and since which revision.
type Entries = BTreeMap<String, (ListedServer, String, u64)>;

/// Discovery: a list with changes, told to each instance at an address of its own.
struct List {
    held: Rc<RefCell<BTreeMap<String, Entries>>>,
    rev: watch::Sender<u64>,
}

impl List {
    async fn start(instances: Vec<String>) -> Result<List> {
        let held = Rc::new(RefCell::new(BTreeMap::new()));
        let (rev, told) = watch::channel(1);
        let mut on = Vec::new();
        for instance in instances {
            let (held, told) = (held.clone(), told.clone());
            let handler = move |request: Request| {
                let of = Of { held: held.clone(), instance: instance.clone() };
                let told = told.clone();
                async move { Ok(of.answer(&request, told)) }
            };
            on.push(listen(Ipv4Addr::LOCALHOST, handler).await?);
        }
        saw(EventKind::Listening { addresses: on });
        Ok(List { held, rev })
    }

    fn follow(&self, order: ListCommand) {
        match order {
            ListCommand::ReplaceLists(all) => {
                let entries = |servers: Vec<ListedServer>| {
                    let entry = |listed: ListedServer| (listed.uid.clone(), (listed, "up".to_owned(), 1));
                    servers.into_iter().map(entry).collect()
                };
                *self.held.borrow_mut() =
                    all.into_iter().map(|(to, servers)| (to, entries(servers))).collect();
                saw(EventKind::ListsReplaced);
            }
            ListCommand::SetState { server, state } => {
                let rev = *self.rev.borrow() + 1;
                for entries in self.held.borrow_mut().values_mut() {
                    if let Some(entry) = entries.get_mut(&server) {
                        (entry.1, entry.2) = (state.clone(), rev);
                    }
                }
                self.rev.send_replace(rev);
            }
        }
    }
}

/// The list in discovery's form, of servers and their states.
#[must_use]
pub fn list_body<'a>(
    entries: impl Iterator<Item = (&'a ListedServer, &'a str)>,
    all: bool,
    rev: u64,
) -> Value {
    let entry = |(ListedServer { uid, address, model }, state): (&ListedServer, &str)| {
        json!({"uid": uid, "endpoint": address.to_string(), "az": "here", "model": model, "pod_group": 0, "state": state,
            "capacity_hint": 1.0, "boot_ms": 0})
    };
    json!({"rev": rev, "all": all, "targets": entries.map(entry).collect::<Vec<_>>()})
}

/// The list as one instance is told it.
struct Of {
    held: Rc<RefCell<BTreeMap<String, Entries>>>,
    instance: String,
}

impl Of {
    /// What changed after a version, or all that is listed.
    fn lines(&self, after: Option<u64>, rev: u64) -> Value {
        let held = self.held.borrow();
        let entries = held.get(&self.instance).into_iter().flatten();
        let wanted = entries.filter(|(_, (_, state, since))| match after {
            Some(after) => *since > after,
            None => state != "removed",
        });
        let wanted: Vec<(&ListedServer, &str)> =
            wanted.map(|(_, (listed, state, _))| (listed, state.as_str())).collect();
        for (server, _) in wanted.iter().filter(|(_, state)| *state != "up") {
            saw(EventKind::DrainAnnounced { to: self.instance.clone(), server: server.uid.clone() });
        }
        if !wanted.is_empty() {
            saw(EventKind::EntriesSent { to: self.instance.clone(), servers: wanted.len() });
        }
        list_body(wanted.into_iter(), after.is_none(), rev)
    }

    fn answer(self, request: &Request, told: watch::Receiver<u64>) -> Response<BoxBody> {
        let query = request.uri().query().unwrap_or("");
        if !query.split('&').any(|part| part == "watch=1") {
            return answer_of(StatusCode::OK, self.lines(None, *told.borrow()).to_string(), &[]);
        }
        let after = query.split('&').find_map(|part| part.strip_prefix("after=")?.parse::<u64>().ok());
        let stream = stream::unfold((Some((after, true)), self), move |(at, of)| {
            let mut told = told.clone();
            async move {
                let (after, begins) = at?;
                if !begins && timeout(HEARTBEAT, told.wait_for(|rev| Some(*rev) > after)).await.is_err() {
                    return Some((Ok::<_, Infallible>(Bytes::from("\n")), (Some((after, false)), of)));
                }
                let rev = *told.borrow_and_update();
                let line = Bytes::from(format!("{}\n", of.lines(after, rev)));
                Some((Ok(line), (Some((Some(rev), false)), of)))
            }
        });
        Response::with_body(StatusCode::OK, BoxBody::new(BodyStream::new(Box::pin(stream))))
    }
}
