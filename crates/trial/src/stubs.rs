//! The stubs on loopback, each a process of its own: servers that need some service time, can stall and report their
//! load, and discovery with a watch. Each listens on a port that the system chooses and writes what it observes to
//! standard output, one event as a JSON line, before it acts on it. It exits at the end of standard input.

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

/// How often an idle watch sends a heartbeat.
const HEARTBEAT: Duration = Duration::from_secs(2);
/// Requests that a server executes at a time.
const SERVER_CORES: usize = 2;
/// Requests that may wait at a server.
const SERVER_QUEUE: usize = 16;

/// A stub as a process of its own.
#[derive(Clone, Debug, Subcommand)]
pub enum Stub {
    /// A server
    Server {
        /// Its name
        name: String,
        /// The seed of its service times
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Inject a fault: carry out effects of duties under any fence
        #[arg(long)]
        any_fence: bool,
    },
    /// Many servers in one process that answer immediately, named `k0000` and on, each at an address of its own
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

/// A command that the stub of the list reads from standard input.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ListCommand {
    /// Replace the lists of all instances.
    #[serde(rename = "hold")]
    ReplaceLists(BTreeMap<String, Vec<ListedServer>>),
    /// Change the state of a server.
    #[serde(rename = "tell")]
    SetState {
        /// The server.
        server: String,
        /// `up`, `draining` or `removed`.
        state: String,
    },
}

/// A server as an instance sees it.
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

/// The address of the nth of many servers: each has one of the loopback network's addresses.
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

/// Writes an event. Where the rig no longer reads it, the rig has terminated, and this process exits too.
fn write_event(what: EventKind) {
    let line = serde_json::to_string(&Event::now(what)).unwrap_or_default();
    if writeln!(std::io::stdout(), "{line}").is_err() {
        std::process::exit(1);
    }
}

/// Runs a stub until the end of standard input.
///
/// # Errors
///
/// No port is available, or a command can't be parsed.
pub fn run(stub: Stub) -> Result<()> {
    actix_rt::System::new().block_on(async move {
        let list = match stub {
            Stub::Server { name, seed, any_fence } => {
                let state = Rc::new(Server::new(name, Some(seed), any_fence));
                let addresses =
                    vec![listen(Ipv4Addr::LOCALHOST, move |request| serve(state.clone(), request)).await?];
                write_event(EventKind::Listening { addresses });
                None
            }
            Stub::Many { servers } => {
                let mut addresses = Vec::new();
                for n in 0..servers {
                    let state = Rc::new(Server::new(stub_name(n), None, false));
                    addresses
                        .push(listen(stub_address(n), move |request| serve(state.clone(), request)).await?);
                }
                write_event(EventKind::Listening { addresses });
                None
            }
            Stub::List { instances } => Some(ListStub::start(instances).await?),
        };
        let mut commands = BufReader::new(stdin()).lines();
        while let Some(line) = commands.next_line().await? {
            let command: ListCommand = serde_json::from_str(&line).with_context(|| line.clone())?;
            if let Some(list) = &list {
                list.apply(command);
            }
        }
        Ok(())
    })
}

/// Serves on a port that the system chooses until this process exits.
async fn listen<F, S>(address: Ipv4Addr, handler: F) -> Result<SocketAddr>
where
    F: Fn(Request) -> S + Clone + 'static,
    S: Future<Output = Result<Response<BoxBody>, Infallible>> + 'static,
{
    let listener =
        TcpListener::bind((address, 0)).await.with_context(|| format!("can't listen on {address}"))?;
    let at = listener.local_addr()?;
    let service = HttpService::build()
        .keep_alive(KeepAlive::Os)
        .h1(fn_service(handler).into_factory())
        .new_service(())
        .await
        .map_err(|()| anyhow!("the HTTP service of a stub can't be built"))?;
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

fn response_of(
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

/// The highest fence and period under which effects of a duty were carried out.
#[derive(Default)]
struct HighestEffect {
    fence: u64,
    period: u64,
}

/// A server.
struct Server {
    name: String,
    cores: Semaphore,
    in_flight: Cell<usize>,
    /// The generator of service times; a server without one answers immediately.
    rng: Option<RefCell<SmallRng>>,
    /// The highest fence and period of each duty whose effects were carried out.
    highest_effects: RefCell<BTreeMap<String, HighestEffect>>,
    any_fence: bool,
}

impl Server {
    fn new(name: String, seed: Option<u64>, any_fence: bool) -> Server {
        let cores = Semaphore::new(SERVER_CORES);
        let in_flight = Cell::new(0);
        let rng = seed.map(|seed| RefCell::new(SmallRng::seed_from_u64(seed)));
        Server { name, cores, in_flight, rng, highest_effects: RefCell::default(), any_fence }
    }

    /// Records the effect of a duty. Refuses it for a fence lower than an earlier one, before anything else is done.
    fn check_duty_fence(&self, request: &Request, id: &str) -> Option<Response<BoxBody>> {
        let text = |name: &str| request.headers().get(name).and_then(|value| value.to_str().ok());
        let number = |name: &str| text(name).and_then(|n| n.parse::<u64>().ok()).unwrap_or(0);
        let duty = text("x-duty")?.to_owned();
        let fence = number("x-duty-fence");
        let period = number("x-duty-period");
        let mut highest_effects = self.highest_effects.borrow_mut();
        let highest = highest_effects.entry(duty.clone()).or_default();
        let accepted = fence >= highest.fence || self.any_fence;
        write_event(EventKind::DutyEffect { duty, period, fence, id: id.to_owned(), accepted });
        if accepted {
            highest.fence = highest.fence.max(fence);
            highest.period = highest.period.max(period);
            return None;
        }
        let headers =
            [("x-duty-fence", highest.fence.to_string()), ("x-duty-period", highest.period.to_string())];
        Some(response_of(StatusCode::CONFLICT, "a higher fence was seen", &headers))
    }

    fn load(&self) -> String {
        let in_flight = self.in_flight.get();
        let busy = SERVER_CORES - self.cores.available_permits();
        json!({"inflight": in_flight, "queue": in_flight - busy.min(in_flight), "util": busy as f64 / SERVER_CORES as f64})
            .to_string()
    }
}

/// Counts a request as in flight until it is dropped, which also happens where its connection ends.
struct InFlight(Rc<Server>);

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.in_flight.set(self.0.in_flight.get() - 1);
    }
}

async fn serve(server: Rc<Server>, request: Request) -> Result<Response<BoxBody>, Infallible> {
    match request.path() {
        "/healthz" => return Ok(response_of(StatusCode::OK, "ok", &[])),
        "/load" => return Ok(response_of(StatusCode::OK, server.load(), &[])),
        _ => {}
    }
    let id = request.headers().get("x-request-id").and_then(|id| id.to_str().ok()).unwrap_or("").to_owned();
    if server.in_flight.get() >= SERVER_CORES + SERVER_QUEUE {
        return Ok(response_of(StatusCode::SERVICE_UNAVAILABLE, "", &[("x-not-processed", "1".to_owned())]));
    }
    if let Some(refused) = server.check_duty_fence(&request, &id) {
        return Ok(refused);
    }
    let body = format!("{} {id}", server.name);
    if request.headers().get("x-duty").is_none() {
        write_event(EventKind::RequestStarted { server: server.name.clone(), id, body: body.clone() });
    }
    server.in_flight.set(server.in_flight.get() + 1);
    let _in_flight = InFlight(server.clone());
    let Ok(_core) = server.cores.acquire().await else { return Ok(Response::new(StatusCode::BAD_GATEWAY)) };
    if let Some(rng) = &server.rng {
        let service_time_ms = LogNormal::new(1.6, 0.5).map_or(5.0, |d| d.sample(&mut *rng.borrow_mut()));
        sleep(Duration::from_secs_f64(service_time_ms / 1e3)).await;
    }
    Ok(response_of(StatusCode::OK, body, &[("x-server-load", server.load())]))
}

/// The list of one instance, by server name.
type Entries = BTreeMap<String, ListEntry>;

/// A server on the list.
struct ListEntry {
    server: ListedServer,
    state: String,
    /// The revision that last changed it.
    changed_at: u64,
}

/// Discovery: a list with changes, served to each instance at an address of its own.
struct ListStub {
    lists: Rc<RefCell<BTreeMap<String, Entries>>>,
    rev: watch::Sender<u64>,
}

impl ListStub {
    async fn start(instances: Vec<String>) -> Result<ListStub> {
        let lists = Rc::new(RefCell::new(BTreeMap::new()));
        let (rev, revision) = watch::channel(1);
        let mut addresses = Vec::new();
        for instance in instances {
            let lists = lists.clone();
            let revision = revision.clone();
            let handler = move |request: Request| {
                let view = ListView { lists: lists.clone(), instance: instance.clone() };
                let revision = revision.clone();
                async move { Ok(view.respond(&request, revision)) }
            };
            addresses.push(listen(Ipv4Addr::LOCALHOST, handler).await?);
        }
        write_event(EventKind::Listening { addresses });
        Ok(ListStub { lists, rev })
    }

    fn apply(&self, command: ListCommand) {
        match command {
            ListCommand::ReplaceLists(all) => {
                let entries = |servers: Vec<ListedServer>| {
                    let entry = |server: ListedServer| {
                        let uid = server.uid.clone();
                        (uid, ListEntry { server, state: "up".to_owned(), changed_at: 1 })
                    };
                    servers.into_iter().map(entry).collect()
                };
                *self.lists.borrow_mut() =
                    all.into_iter().map(|(to, servers)| (to, entries(servers))).collect();
                write_event(EventKind::ListsReplaced);
            }
            ListCommand::SetState { server, state } => {
                let rev = *self.rev.borrow() + 1;
                for entries in self.lists.borrow_mut().values_mut() {
                    if let Some(entry) = entries.get_mut(&server) {
                        entry.state = state.clone();
                        entry.changed_at = rev;
                    }
                }
                self.rev.send_replace(rev);
            }
        }
    }
}

/// The body of discovery's list response.
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

/// The list as one instance sees it.
struct ListView {
    lists: Rc<RefCell<BTreeMap<String, Entries>>>,
    instance: String,
}

impl ListView {
    /// The changes after a revision, or the whole list.
    fn body_after(&self, after: Option<u64>, rev: u64) -> Value {
        let lists = self.lists.borrow();
        let entries = lists.get(&self.instance).into_iter().flatten();
        let entries_to_send = entries.filter(|(_, entry)| match after {
            Some(after) => entry.changed_at > after,
            None => entry.state != "removed",
        });
        let entries_to_send: Vec<(&ListedServer, &str)> =
            entries_to_send.map(|(_, entry)| (&entry.server, entry.state.as_str())).collect();
        for (server, _) in entries_to_send.iter().filter(|(_, state)| *state != "up") {
            write_event(EventKind::DrainAnnounced { to: self.instance.clone(), server: server.uid.clone() });
        }
        if !entries_to_send.is_empty() {
            write_event(EventKind::EntriesSent { to: self.instance.clone(), servers: entries_to_send.len() });
        }
        list_body(entries_to_send.into_iter(), after.is_none(), rev)
    }

    fn respond(self, request: &Request, revision: watch::Receiver<u64>) -> Response<BoxBody> {
        let query = request.uri().query().unwrap_or("");
        if !query.split('&').any(|part| part == "watch=1") {
            return response_of(StatusCode::OK, self.body_after(None, *revision.borrow()).to_string(), &[]);
        }
        let after = query.split('&').find_map(|part| part.strip_prefix("after=")?.parse::<u64>().ok());
        let stream = stream::unfold((Some((after, true)), self), move |(at, view)| {
            let mut revision = revision.clone();
            async move {
                let (after, first) = at?;
                if !first && timeout(HEARTBEAT, revision.wait_for(|rev| Some(*rev) > after)).await.is_err() {
                    return Some((Ok::<_, Infallible>(Bytes::from("\n")), (Some((after, false)), view)));
                }
                let rev = *revision.borrow_and_update();
                let line = Bytes::from(format!("{}\n", view.body_after(after, rev)));
                Some((Ok(line), (Some((Some(rev), false)), view)))
            }
        });
        Response::with_body(StatusCode::OK, BoxBody::new(BodyStream::new(Box::pin(stream))))
    }
}
