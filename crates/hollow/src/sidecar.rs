//! One hollow sidecar: the program's control path, with servers that answer immediately in place of the transports. All
//! of its tasks run in a set of their own, which is dropped with it.

use crate::account::Account;
use actix_http::RequestHead;
use actix_http::header::{HeaderName, HeaderValue};
use anyhow::{Context, Result};
use dunlincleat::api::{Attempt, RequestId, ServerId, Span, State, Status};
use dunlincleat_directory::{Follower, Interest, Listing, Timing};
use dunlincleat_engine::clock::Clock;
use dunlincleat_engine::shell::{Actor, Gauges, Transports, mailbox};
use dunlincleat_engine::{Completion, Endpoint, Engine, PoolId};
use dunlincleat_http::Handle;
use dunlincleat_http::list::{self, List};
use dunlincleat_http::message::{BodyData, Request, ResponseBody};
use dunlincleat_http::options::HttpOptions;
use dunlincleat_settings::InstanceSettings;
use dunlincleat_status::Metrics;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde::{Deserialize, Serialize};
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::{Context as Polling, Poll};
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, sleep};

/// Requests that a sidecar may have in flight.
const MAX_REQUESTS: u32 = 1000;
/// Memory of a leaked task, in bytes.
const LEAKED_BYTES: usize = 64 << 10;

/// The configuration that all sidecars of a process share.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct SharedConfig {
    /// The settings object, as in a sidecar's configuration.
    pub settings: serde_json::Value,
    /// Requests a second of each sidecar; each is answered immediately.
    pub rate: f64,
}

/// How to start a sidecar.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct SidecarSpec {
    /// Its number.
    pub sidecar: usize,
    /// Its address of discovery.
    pub discovery: SocketAddr,
    /// The seed of its random draws.
    pub seed: u64,
    /// The services whose servers it knows; all servers where none is named.
    pub services: Vec<String>,
    /// A fault to inject, to check that it is detected.
    #[serde(rename = "plant")]
    pub fault: Option<InjectedFault>,
}

/// Faults that can be injected into a hollow sidecar.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum InjectedFault {
    /// It receives the whole list at each change: the address of discovery alternates between its own and this one.
    WholeList(SocketAddr),
    /// It receives changes and never applies them: its engine stops once it has a list.
    #[serde(rename = "deaf")]
    Unresponsive,
    /// It leaks a task at each reconnect.
    Leak,
}

/// The configuration that all sidecars of a process share, parsed.
pub struct SharedState {
    settings: Arc<InstanceSettings>,
    own: Rc<HttpOptions>,
    rate: f64,
}

impl SharedState {
    /// Parses the settings with the program's own code.
    ///
    /// # Errors
    ///
    /// The settings are invalid.
    pub fn new(config: &SharedConfig) -> Result<SharedState> {
        let settings =
            dunlincleat_settings::read_value(config.settings.clone()).context("invalid settings")?;
        // The program's defaults.
        let ms = Duration::from_millis;
        let watch =
            Timing::derive(Span(2_000_000), Span(6_000_000), settings.drain_grace.unwrap_or_default());
        let own = HttpOptions {
            max_body_bytes: 64 << 10,
            memory_limit_bytes: usize::MAX,
            max_connection_bytes: 0,
            max_receiving_bytes: 0,
            max_responding_bytes: 0,
            max_client_connections: 0,
            client_request_timeout: ms(2600),
            client_idle_timeout: ms(3000),
            max_server_connections: 0,
            max_requests: MAX_REQUESTS as usize,
            server_idle_timeout: ms(2500),
            connect_timeout: ms(1000),
            probe_timeout: ms(100),
            response_stall_timeout: ms(100),
            watch_timing: watch,
            interest: Interest::default(),
            list_file: None,
            limits_halved: Rc::default(),
        };
        Ok(SharedState { settings: Arc::new(settings), own: Rc::new(own), rate: config.rate })
    }
}

/// Servers that answer immediately.
struct InstantServers {
    engine: Handle,
    account: Rc<Account>,
}

impl Transports for InstantServers {
    type Payload = Rc<Request>;
    type Body = ResponseBody;

    fn open(&mut self, _: ServerId, _: Endpoint) {}

    fn update(&mut self, _: ServerId, _: Option<Endpoint>, _: State) {}

    fn close(&mut self, _: ServerId) {}

    fn attempt(
        &mut self,
        id: RequestId,
        attempt: Attempt,
        server: ServerId,
        _: Rc<Request>,
        _: Instant,
        _: Option<Duration>,
    ) {
        let data = BodyData::Complete(Vec::new().into());
        let body = Some(ResponseBody { data, content_type: None });
        let completion =
            Completion { status: Status::Ok, latency: Span(5000), load: vec![1.0, 0.0, 0.5], body };
        self.engine.attempt_ended(id, attempt, server, completion);
    }

    // The attempt has been answered already.
    fn cancel(&mut self, _: RequestId, _: Attempt, _: ServerId) {}

    fn withdraw(&mut self, _: RequestId, _: Attempt, _: ServerId) {}

    fn probe(&mut self, server: ServerId, asked: PoolId) {
        self.account.probes.set(self.account.probes.get() + 1);
        let completion =
            Completion { status: Status::Ok, latency: Span(1000), load: vec![1.0, 0.0, 0.5], body: None };
        self.engine.probe_ended(server, asked, completion);
    }

    fn free_connections(&self) -> usize {
        0
    }
}

/// Runs a sidecar until it is dropped.
pub async fn run(shared: Rc<SharedState>, spec: SidecarSpec, account: Rc<Account>) {
    let tasks = LocalSet::new();
    tasks.run_until(control_path(shared, spec, account)).await;
}

async fn control_path(shared: Rc<SharedState>, spec: SidecarSpec, account: Rc<Account>) {
    let SharedState { settings, own, rate } = &*shared;
    let (engine, mail) = mailbox();
    let (caller, calls) = list::mailbox();
    let clock = Clock::begin();
    let known = Listing { whole: true, ..Listing::default() };
    let mode = settings.settings.discovery;
    let interest = if spec.services.is_empty() { Interest::default() } else { Interest::of(spec.services) };
    let own = Rc::new(HttpOptions { interest: interest.clone(), ..HttpOptions::clone(own) });
    let at = spec.discovery;
    let seed = spec.seed;
    let (follower, known) =
        Follower::with_interest(clock.now(), own.watch_timing, mode, at, seed, known, interest);
    List::start(follower, clock, own.clone(), engine.clone(), calls);
    let engine_state = Engine::new(settings, spec.seed, MAX_REQUESTS);
    let gauges = Gauges { metrics: Arc::new(Metrics::default()), sample_avoided: false };
    let servers = InstantServers { engine: engine.clone(), account: account.clone() };
    let actor = Actor::new(engine_state, clock, servers, caller.clone(), gauges);
    if *rate > 0.0 {
        spawn_local(send_requests(engine, settings.clone(), spec.seed, *rate));
    }
    match spec.fault {
        None => {}
        Some(InjectedFault::WholeList(elsewhere)) => {
            spawn_local(alternate_discovery(account.clone(), caller, [elsewhere, spec.discovery]));
        }
        Some(InjectedFault::Unresponsive) => {
            let actor = Box::pin(actor.run(mail, known));
            return Unresponsive { actor, account }.await;
        }
        Some(InjectedFault::Leak) => drop(spawn_local(leak(account.clone()))),
    }
    actor.run(mail, known).await;
}

/// Sends a request from time to time.
async fn send_requests(engine: Handle, settings: Arc<InstanceSettings>, seed: u64, rate: f64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut head = RequestHead::default();
    let name = settings.classes.first().cloned().unwrap_or_default();
    // Without a class name that is a valid path no requests are sent.
    let Ok(uri) = format!("/{name}").parse() else { return };
    head.uri = uri;
    for number in 0_u64.. {
        sleep(Duration::from_secs_f64(rng.random_range(0.5..1.5) / rate)).await;
        let id = HeaderValue::from(number);
        head.headers.insert(HeaderName::from_static("x-request-id"), id);
        let Ok(request) = Request::decode(&head, &settings, None) else { return };
        let (slot, answer) = oneshot::channel();
        engine.request(RequestId(number), request.info.clone(), Rc::new(request), Instant::now(), slot);
        // The answer does not matter; it only delays the next request.
        let _ = answer.await;
    }
}

/// How often an injected fault checks whether to act.
const FAULT_POLL_INTERVAL: Duration = Duration::from_millis(100);

async fn alternate_discovery(account: Rc<Account>, caller: list::ListHandle, addresses: [SocketAddr; 2]) {
    let mut seen = 0;
    for at in addresses.iter().cycle() {
        // Of two deliveries, one is the whole list that the previous move caused.
        while account.deliveries() <= seen {
            sleep(FAULT_POLL_INTERVAL).await;
        }
        caller.set_discovery(*at);
        let before = account.deliveries();
        while account.deliveries() == before {
            sleep(FAULT_POLL_INTERVAL).await;
        }
        seen = account.deliveries();
    }
}

async fn leak(account: Rc<Account>) {
    let mut seen = 0;
    loop {
        sleep(FAULT_POLL_INTERVAL).await;
        while seen < account.watches_started() {
            seen += 1;
            spawn_local(async {
                let held = vec![1_u8; LEAKED_BYTES];
                std::future::pending::<()>().await;
                drop(held);
            });
        }
    }
}

/// An engine that is never polled again once it has received a list.
struct Unresponsive<F> {
    actor: Pin<Box<F>>,
    account: Rc<Account>,
}

impl<F: Future<Output = ()>> Future for Unresponsive<F> {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, cx: &mut Polling<'_>) -> Poll<()> {
        if self.account.deliveries() > 0 { Poll::Pending } else { self.actor.as_mut().poll(cx) }
    }
}
