//! The simulation itself: a clock and a queue of events for requests, attempts, connections, discovery and faults. A
//! simulation runs on one thread with one seed; the same seed gives the same report, byte for byte.

mod callers;
mod instances;
mod nodes;

use crate::audit::{AnswerKind, Auditor, Findings};
use crate::balancer::{Balancer, EngineInput, EngineOutput};
use crate::baseline::{Baseline, Choice};
use crate::cold_start::{Allowance, ColdBudget};
use crate::connections::{Acquired, ConnectionLimits, Connections};
use crate::discovery::{CallOutcome, DiscoveryService, Line, ListChange, ListedProcess};
use crate::mutant::{InjectedFault, Mutant};
use crate::node::{Admission, Job, Node, NodeLoad, NodeProcess, NodeState, Started};
use crate::report::{Loss, Mark, Report, Second, recovery_seconds};
use crate::scenario::{DRAIN_GRACE, Fault, Period, Scenario, Termination};
use crate::timeline::{PlannedStep, Probabilities, RandomFault, Step, steps};
use anyhow::Result;
use dunlincleat::api::{Attempt, Discovery, Effect, RequestId, ServerId, Span, State, Status, Time};
use dunlincleat_directory::{Cause, Entry, Follower, Listing, Output as FollowerOutput, Timing, WatchId};
use dunlincleat_engine::{Answer, Completion, Endpoint, Engine, Input, Output, PoolId, RequestInfo};
use dunlincleat_settings::{ClassLease, InstanceSettings};
use hdrhistogram::Histogram;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp, LogNormal};
use rustc_hash::FxHashMap;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::net::{Ipv4Addr, SocketAddr};

/// The version of the report format.
const REPORT_VERSION: u32 = 2;
/// The part of its worth that an answer after the aim has.
const LATE_WORTH_PART: f64 = 0.5;
const SECOND_US: u64 = 1_000_000;
/// The IPv4 address of the first node, 127.0.0.1; the others follow.
const FIRST_NODE_ADDRESS: u32 = 0x7f00_0001;
/// The Unix time at which simulations start, in microseconds.
const SIMULATION_START_US: u64 = 1_800_000_000_000_000;
/// The number of requests that an instance accepts at a time.
const MAX_REQUESTS: u32 = 10_000;
/// The part of the deadline that a caller gives one try if it may retry.
const TRY_TIMEOUT_PART: f64 = 0.55;
/// The interval of heartbeats on a watch.
const HEARTBEAT: Span = Span(2_000_000);
/// The time within which an announcement of discovery counts as known.
const KNOWN_WITHIN: Span = Span(6_000_000);
/// Changes within this time are published in one line, because a release changes many servers at once.
const CHANGE_BATCH_US: u64 = 20_000;
/// Callers that retry aggressively wait for this part of the usual backoff.
const AGGRESSIVE_BACKOFF_DIVISOR: u64 = 10;
/// The interval at which a caller tries to reach an instance while it has none.
const RECONNECT_INTERVAL_US: u64 = 20_000;
/// The connect timeout where an attempt has none of its own.
const DEFAULT_CONNECT_TIMEOUT: Span = Span(200_000);

/// The balancer under test.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// The engine and the decision module, as in the sidecar.
    Module,
    /// A baseline policy.
    Baseline(Choice),
    /// The engine with an injected fault.
    Mutant(InjectedFault),
    /// The engine without one of the mechanisms that it has for large fleets.
    Without(Mechanism),
}

/// A mechanism that can be disabled to show that its absence is noticed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mechanism {
    /// Calls to discovery wait until they are answered. Without this, each call is abandoned after a short timeout and
    /// repeated.
    CallQueueing,
    /// Each instance uses few servers if connections are expensive. Without this, settings give no price for
    /// connections.
    FewServers,
    /// The requests with the least worth are refused first. Without this, all classes have the same worth in the
    /// settings.
    Worth,
}

impl Mechanism {
    /// All mechanisms with their names on the command line.
    pub const ALL: [(&'static str, Mechanism); 3] = [
        ("turns", Mechanism::CallQueueing),
        ("few-servers", Mechanism::FewServers),
        ("worth", Mechanism::Worth),
    ];

    /// Its name in reports.
    fn report_name(self) -> &'static str {
        match self {
            Mechanism::CallQueueing => "Turns",
            Mechanism::FewServers => "FewServers",
            Mechanism::Worth => "Worth",
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct ClientRequest {
    caller: u32,
    class: usize,
    /// Microseconds on a core of a warm node.
    work: f64,
    first_sent: u64,
    /// Retries so far.
    retries: u32,
}

#[derive(Clone, Debug)]
enum Event {
    NewRequest(u32),
    /// A caller retries, or tries again to reach an instance.
    Retry(ClientRequest),
    WakeInstance(u32),
    AttemptArrives(Job),
    WorkDone(Job, NodeProcess),
    AttemptEnds(Job, Status),
    AttemptTimesOut(Job),
    RequestExpires(u64),
    /// A caller disconnects before its deadline.
    ClientLeaves(u64),
    ProbeAnswered {
        instance: u32,
        server: ServerId,
        pool: PoolId,
    },
    /// The discovery follower of an instance has something due.
    WakeFollower(u32),
    DiscoveryLine(Box<Line>),
    WatchEnded(u32, WatchId, Cause),
    /// Open watches receive a heartbeat.
    DiscoveryHeartbeat,
    /// The latest changes of the list are published.
    PublishChanges,
    /// A second of the report has passed.
    SecondElapsed,
    /// The next instance of a caller starts.
    InstanceStarts(u32),
    /// An instance that was asked to terminate exits.
    InstanceStops(u32),
    Step(Step),
}

struct Scheduled {
    at: u64,
    sequence: u64,
    event: Event,
}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Scheduled) -> bool {
        (self.at, self.sequence) == (other.at, other.sequence)
    }
}

impl Eq for Scheduled {}

impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Scheduled) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Scheduled {
    fn cmp(&self, other: &Scheduled) -> std::cmp::Ordering {
        (self.at, self.sequence).cmp(&(other.at, other.sequence))
    }
}

/// A node: its present process and the number under which it is listed.
struct NodeSlot {
    node: Node,
    zone: usize,
    incarnation: u32,
    uid: u32,
    state: State,
}

/// A caller, with its own instance; `None` while that restarts.
struct Caller {
    zone: usize,
    share: f64,
    instance: Option<u32>,
}

/// A process of the balancer. Its number is unique: the next instance of the same caller has another one.
struct Instance {
    caller: u32,
    zone: usize,
    balancer: Box<dyn Balancer>,
    follower: Follower,
    servers: FxHashMap<ServerId, usize>,
    next_wake: u64,
    next_follow: u64,
    open_requests: usize,
}

struct SubmittedRequest {
    instance: u32,
    origin: ClientRequest,
    answered: bool,
    /// Why its last attempt did not serve it.
    last_loss: Option<Loss>,
}

struct PendingAttempt {
    server: ServerId,
    /// The process that it was sent to; `None` if the server's address is unknown.
    process: Option<NodeProcess>,
    sent: u64,
    /// How it got its connection; `None` if it has none.
    connection: Option<Acquired>,
    /// Its response cannot arrive.
    lost: bool,
    /// The node was cold when it was sent.
    cold: bool,
}

struct World<'s> {
    scenario: &'s Scenario,
    policy: Policy,
    seed: u64,
    /// The scenario that the settings of instances are made from, apart from their number and zone.
    settings_scenario: Scenario,
    now: u64,
    sequence: u64,
    events: BinaryHeap<Reverse<Scheduled>>,
    rng: SmallRng,
    slots: Vec<NodeSlot>,
    callers: Vec<Caller>,
    instances: FxHashMap<u32, Instance>,
    next_instance: u32,
    requests: FxHashMap<u64, SubmittedRequest>,
    pending_attempts: FxHashMap<Job, PendingAttempt>,
    connections: Connections,
    service: DiscoveryService,
    cold_budget: ColdBudget,
    mean_work: f64,
    zone_reachable: Vec<bool>,
    /// Whether the path from the instances of a zone to the nodes of another is cut.
    path_cut: Vec<Vec<bool>>,
    rate: f64,
    traffic_factor: f64,
    zone_factors: Vec<f64>,
    probabilities: Probabilities,
    give_up_after: u64,
    extra_retries: u32,
    next_request: u64,
    auditor: Auditor,
    out: Vec<EngineOutput>,
    lines: Vec<Line>,
    publish_scheduled: bool,
    effects: Vec<Effect>,
    tally: Tally,
}

#[derive(Default)]
struct Tally {
    wanted: u64,
    in_time: u64,
    late: u64,
    refused: u64,
    failed: u64,
    attempts: u64,
    probes: u64,
    opened: u64,
    calls: u64,
    calls_refused: u64,
    max_open_requests: usize,
    outcomes: BTreeMap<String, u64>,
    seconds: Vec<Second>,
}

impl Tally {
    fn second(&mut self, at: u64, nodes: usize) -> &mut Second {
        let n = ((at - SIMULATION_START_US) / SECOND_US) as usize;
        if self.seconds.len() <= n {
            self.seconds.resize_with(n + 1, || Second { arrived: vec![0; nodes], ..Second::default() });
        }
        &mut self.seconds[n]
    }
}

/// Simulates a scenario.
///
/// # Errors
///
/// The classes of the scenario are not valid settings.
pub fn simulate(scenario: &Scenario, policy: Policy, seed: u64) -> Result<Report> {
    simulate_with_details(scenario, policy, seed, false)
}

/// Simulates a scenario; with `seconds`, the report includes each second.
///
/// # Errors
///
/// The classes of the scenario are not valid settings.
pub fn simulate_with_details(
    scenario: &Scenario,
    policy: Policy,
    seed: u64,
    seconds: bool,
) -> Result<Report> {
    let mut latencies = Histogram::<u64>::new_with_bounds(1, 3_600_000_000, 3)?;
    let mut world = World::new(scenario, policy, seed)?;
    world.run(&mut latencies)?;
    Ok(world.report(&latencies, seconds))
}

/// The memory used by instances.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InstanceMemory {
    /// Allocated by all instances, in bytes.
    pub bytes: usize,
    /// The number of instances.
    pub instances: usize,
}

/// Simulates a scenario and measures the memory that its instances use at the end, as `allocated` counts it.
///
/// # Errors
///
/// The classes of the scenario are not valid settings.
pub fn instance_memory(
    scenario: &Scenario,
    policy: Policy,
    seed: u64,
    allocated: fn() -> usize,
) -> Result<InstanceMemory> {
    let mut latencies = Histogram::<u64>::new_with_bounds(1, 3_600_000_000, 3)?;
    let mut world = World::new(scenario, policy, seed)?;
    world.run(&mut latencies)?;
    let (instances, before_drop) = (std::mem::take(&mut world.instances), allocated());
    let count = instances.len();
    drop(instances);
    Ok(InstanceMemory { bytes: before_drop.saturating_sub(allocated()), instances: count })
}

/// The callers and their shares of the traffic.
fn callers(scenario: &Scenario, rng: &mut SmallRng) -> Vec<Caller> {
    let (traffic, zones) = (&scenario.traffic, scenario.fleet.zones.len());
    let sample = |rng: &mut SmallRng| match LogNormal::new(0.0, traffic.skew) {
        Ok(spread) if traffic.skew > 0.0 => spread.sample(rng),
        _ => 1.0,
    };
    let mut shares: Vec<f64> = (0..traffic.instances).map(|_| sample(rng)).collect();
    let hot = usize::from(traffic.hot > 0.0);
    let rest: f64 = shares[hot..].iter().sum();
    shares[hot..].iter_mut().for_each(|share| *share *= (1.0 - traffic.hot) / rest);
    shares[..hot].fill(traffic.hot);
    let caller = |(n, share)| Caller { zone: n % zones, share, instance: None };
    shares.into_iter().enumerate().map(caller).collect()
}

fn entry(scenario: &Scenario, slots: &[NodeSlot], node: usize, uid: u32, state: State, boot: u64) -> Entry {
    let zone = scenario.fleet.zones[slots[node].zone].clone();
    let host = Ipv4Addr::from(FIRST_NODE_ADDRESS + node as u32);
    let endpoint = (state != State::Removed).then(|| SocketAddr::from((host, 1)));
    let (model, weight) = (String::new(), 1.0);
    Entry { uid: format!("n{uid}"), endpoint, zone, model, cell: 0, state, weight, boot_ms: boot / 1000 }
}

impl<'s> World<'s> {
    /// The state before the first event.
    fn new(scenario: &'s Scenario, policy: Policy, seed: u64) -> Result<World<'s>> {
        let effects =
            scenario.instance_settings(0)?.settings.classes.iter().map(|class| class.effect).collect();
        let mut settings_scenario = scenario.clone();
        match policy {
            Policy::Without(Mechanism::FewServers) => {
                settings_scenario.prices.handshake = 0.0;
                settings_scenario.prices.connection = 0.0;
            }
            Policy::Without(Mechanism::Worth) => {
                settings_scenario.classes.iter_mut().for_each(|class| class.worth = 1.0)
            }
            Policy::Without(Mechanism::CallQueueing)
            | Policy::Module
            | Policy::Baseline(_)
            | Policy::Mutant(_) => {}
        }
        let (fleet, traffic) = (&scenario.fleet, &scenario.traffic);
        let zones = fleet.zones.len();
        let mut rng = SmallRng::seed_from_u64(seed);
        let slot = |n: usize| NodeSlot {
            node: Node::new(fleet).with_mean_work(scenario.mean_work()),
            zone: n % zones,
            incarnation: 0,
            uid: n as u32,
            state: State::Ready,
        };
        let slots: Vec<NodeSlot> = (0..fleet.nodes).map(slot).collect();
        let changes = (0..slots.len()).map(|node| {
            let entry = entry(scenario, &slots, node, node as u32, State::Ready, 0);
            ListChange { rev: 1, entry, process: NodeProcess { node, incarnation: 0 } }
        });
        let service = DiscoveryService::new(scenario.discovery_limits(), changes.collect());
        let limits = ConnectionLimits {
            max_per_node: fleet.connections,
            idle_timeout: fleet.idle.map_or(0, |idle| idle.us()),
        };
        let callers = callers(scenario, &mut rng);
        let mut world = World {
            scenario,
            policy,
            seed,
            settings_scenario,
            now: SIMULATION_START_US,
            sequence: 0,
            events: BinaryHeap::new(),
            rng,
            connections: Connections::new(limits, slots.len()),
            slots,
            callers,
            instances: FxHashMap::default(),
            next_instance: 0,
            requests: FxHashMap::default(),
            pending_attempts: FxHashMap::default(),
            service,
            cold_budget: scenario.cold_budget(),
            mean_work: scenario.mean_work(),
            zone_reachable: vec![true; zones],
            path_cut: vec![vec![false; zones]; zones],
            rate: scenario.rate(),
            traffic_factor: 1.0,
            zone_factors: vec![1.0; zones],
            probabilities: Probabilities::default(),
            give_up_after: 0,
            extra_retries: 0,
            next_request: 0,
            auditor: Auditor::default(),
            out: Vec::new(),
            lines: Vec::new(),
            publish_scheduled: false,
            effects,
            tally: Tally::default(),
        };
        for caller in 0..traffic.instances as u32 {
            let listing = world.service.listing();
            world.start_instance(caller, listing)?;
            world.schedule_next_request(caller);
        }
        Ok(world)
    }

    fn schedule(&mut self, at: u64, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse(Scheduled { at, sequence: self.sequence, event }));
    }

    fn run(&mut self, latencies: &mut Histogram<u64>) -> Result<()> {
        for PlannedStep { at, step } in steps(self.scenario, &mut self.rng) {
            self.schedule(SIMULATION_START_US + at, Event::Step(step));
        }
        self.schedule(SIMULATION_START_US + HEARTBEAT.0, Event::DiscoveryHeartbeat);
        self.schedule(SIMULATION_START_US + SECOND_US, Event::SecondElapsed);
        let end = SIMULATION_START_US + self.scenario.lasts.us();
        // No new requests arrive any more, and all earlier ones are answered by then.
        let over = end + 2 * self.longest_deadline() + SECOND_US;
        while let Some(Reverse(Scheduled { at, event, .. })) = self.events.pop() {
            if at > over {
                break;
            }
            self.now = at;
            self.handle(event, end, latencies)?;
        }
        Ok(())
    }

    fn longest_deadline(&self) -> u64 {
        self.scenario.classes.iter().map(|c| c.deadline.us()).max().unwrap_or(0)
    }

    fn handle(&mut self, event: Event, end: u64, latencies: &mut Histogram<u64>) -> Result<()> {
        match event {
            Event::NewRequest(caller) => {
                if self.now < end {
                    self.new_request(caller);
                    self.schedule_next_request(caller);
                }
            }
            Event::Retry(request) => self.submit(request),
            Event::WakeInstance(instance) => {
                let now = self.now;
                let Some(state) = self.instances.get_mut(&instance).filter(|state| state.next_wake == now)
                else {
                    return Ok(());
                };
                state.next_wake = u64::MAX;
                let mut out = std::mem::take(&mut self.out);
                state.balancer.wake(Time(now), &mut out);
                self.execute(instance, out);
            }
            Event::AttemptArrives(job) => self.attempt_arrives(job),
            Event::WorkDone(job, process) => self.finish_work(job, process),
            Event::AttemptEnds(job, status) => self.finish_attempt(job, status, latencies),
            Event::AttemptTimesOut(job) => self.finish_attempt(job, Status::Timeout, latencies),
            Event::RequestExpires(id) => {
                self.auditor.client_timed_out(id, self.now);
                if let Some((request, last)) = self.settle(id) {
                    self.tally.failed += 1;
                    self.record_loss(request, last.unwrap_or(Loss::Queueing));
                    let instance = self.requests[&id].instance;
                    self.notify(instance, Input::ClientLeft(RequestId(id)));
                }
                self.requests.remove(&id);
            }
            Event::ClientLeaves(id) => {
                if let Some((request, _)) = self.settle(id) {
                    self.auditor.client_left(id);
                    self.tally.failed += 1;
                    self.record_loss(request, Loss::Wasted);
                    let instance = self.requests[&id].instance;
                    self.notify(instance, Input::ClientLeft(RequestId(id)));
                }
            }
            Event::ProbeAnswered { instance, server, pool } => self.probe_answered(instance, server, pool),
            Event::WakeFollower(instance) => {
                let now = self.now;
                if let Some(state) =
                    self.instances.get_mut(&instance).filter(|state| state.next_follow == now)
                {
                    state.next_follow = u64::MAX;
                    self.drive_follower(instance, None);
                }
            }
            Event::DiscoveryLine(line) => {
                let Line { instance, watch, listing, processes, .. } = *line;
                if self.service.is_open(instance, watch) && self.instances.contains_key(&instance) {
                    for ListedProcess { process, state } in processes {
                        self.auditor.listed(instance, process, state != State::Ready, self.now);
                    }
                    self.drive_follower(instance, Some(dunlincleat_directory::Input::Line(watch, listing)));
                }
            }
            Event::WatchEnded(instance, watch, cause) => {
                self.drive_follower(instance, Some(dunlincleat_directory::Input::Ended(watch, cause)));
            }
            Event::DiscoveryHeartbeat => {
                self.publish_changes(true);
                self.schedule(self.now + HEARTBEAT.0, Event::DiscoveryHeartbeat);
            }
            Event::PublishChanges => {
                self.publish_scheduled = false;
                self.publish_changes(false);
            }
            Event::SecondElapsed => {
                self.connections.close_idle(self.now);
                let opened = self.connections.take_opened_count();
                let open = self.connections.open_count() as u64;
                let calls = self.service.take_calls();
                self.tally.opened += opened;
                self.tally.calls += calls.received;
                self.tally.calls_refused += calls.refused;
                let nodes = self.slots.len();
                let second = self.tally.second(self.now - 1, nodes);
                second.opened = opened;
                second.held = open;
                second.calls = calls.received;
                self.schedule(self.now + SECOND_US, Event::SecondElapsed);
            }
            Event::InstanceStarts(caller) => {
                let listing = self.service.listing();
                self.start_instance(caller, listing)?;
            }
            Event::InstanceStops(instance) => self.end_instance(instance),
            Event::Step(step) => self.apply_step(step)?,
        }
        Ok(())
    }

    fn apply_step(&mut self, step: Step) -> Result<()> {
        match step {
            Step::NodeDies(node) => self.stop_node(node),
            Step::NodeReturns(node) => {
                // If it was replaced in the meantime, there is nothing to restart.
                if self.slots[node].node.state == NodeState::Dead {
                    self.start_node(node);
                }
            }
            Step::Replace(node) => {
                self.stop_node(node);
                let uid = self.slots[node].uid;
                self.change_entry(node, uid, State::Removed, 0);
                self.slots[node].uid += self.slots.len() as u32;
                self.start_node(node);
            }
            Step::Drain(node) => {
                self.slots[node].state = State::Draining;
                let uid = self.slots[node].uid;
                let boot = self.slots[node].node.started_at.unwrap_or(0);
                self.change_entry(node, uid, State::Draining, boot);
            }
            Step::SetState(node, state) => {
                if self.slots[node].node.state != NodeState::Dead {
                    self.slots[node].node.state = state;
                }
            }
            Step::Slow { node, factor } => self.slots[node].node.slowdown = factor,
            Step::Stall { node, duration } => self.slots[node].node.stalled_until = self.now + duration,
            Step::SetZoneReachable { zone, reachable } => self.zone_reachable[zone] = reachable,
            Step::RestartZone(zone) => {
                for node in 0..self.slots.len() {
                    if self.slots[node].zone == zone && self.slots[node].node.state != NodeState::Dead {
                        self.stop_node(node);
                        self.start_node(node);
                    }
                }
            }
            Step::SetPathCut { from, to, cut } => self.path_cut[from][to] = cut,
            Step::SetDiscoverySilent(silent) => {
                self.service.set_silent(silent);
                if !silent {
                    self.publish_changes(false);
                }
            }
            Step::ScaleTraffic(factor) => self.traffic_factor *= factor,
            Step::ScaleZoneTraffic { zone, factor } => self.zone_factors[zone] *= factor,
            Step::SetProbability(fault, probability) => self.probabilities.set(fault, probability),
            Step::SetGiveUpAfter(after) => self.give_up_after = after,
            Step::SetExtraRetries(tries) => self.extra_retries = tries,
            Step::RestartInstance { caller, termination, back_after } => {
                let Some(instance) = self.callers[caller].instance else { return Ok(()) };
                match termination {
                    Termination::Death => self.end_instance(instance),
                    Termination::Term => {
                        self.callers[caller].instance = None;
                        self.schedule(
                            self.now + self.longest_deadline() + SECOND_US,
                            Event::InstanceStops(instance),
                        );
                    }
                }
                self.schedule(self.now + back_after, Event::InstanceStarts(caller as u32));
            }
            Step::ScaleAims(factor) => {
                for class in &mut self.settings_scenario.classes {
                    let aim = (class.aim.us() as f64 * factor) as u64;
                    class.aim.0 = Span(aim.clamp(1, class.deadline.us()));
                }
                for caller in 0..self.callers.len() as u32 {
                    let Some(instance) = self.callers[caller as usize].instance else { continue };
                    let settings = std::sync::Arc::new(self.instance_settings(caller)?);
                    self.notify(instance, Input::Settings { site: settings, shadow: None });
                }
            }
        }
        Ok(())
    }

    fn report(self, latencies: &Histogram<u64>, seconds: bool) -> Report {
        let Tally { wanted, in_time, late, refused, failed, attempts, probes, outcomes, .. } = self.tally;
        let lasts = self.scenario.lasts.us();
        let mut seconds_in_run = self.tally.seconds;
        // Events after the last new request belong to no second of the report.
        seconds_in_run.truncate(lasts.div_ceil(SECOND_US) as usize);
        let part = |count: u64| count as f64 / wanted.max(1) as f64;
        let worth_wanted: f64 = seconds_in_run.iter().map(|s| s.wanted).sum();
        let part_of_wanted = |worth: f64| if worth_wanted > 0.0 { worth / worth_wanted } else { 0.0 };
        let mut losses: BTreeMap<String, f64> = BTreeMap::new();
        for (name, worth) in seconds_in_run.iter().flat_map(|second| &second.lost) {
            *losses.entry(name.clone()).or_default() += worth;
        }
        losses.values_mut().for_each(|worth| *worth = part_of_wanted(*worth));
        let minutes = lasts as f64 / 60e6 * self.callers.len() as f64;
        let cold_peak = self.auditor.cold_peak();
        let Findings { counts, cases } = self.auditor.into_findings();
        let mark = |fault: &Fault| {
            let Period { begin, end } = fault.period();
            Mark { name: fault.name().to_owned(), from_s: begin as f64 / 1e6, to_s: end as f64 / 1e6 }
        };
        Report {
            v: REPORT_VERSION,
            scenario: self.scenario.name.clone(),
            policy: match self.policy {
                Policy::Module => "module".to_owned(),
                Policy::Baseline(choice) => Choice::ALL
                    .iter()
                    .find(|(_, c)| *c == choice)
                    .map_or("baseline", |(name, _)| name)
                    .to_owned(),
                Policy::Mutant(fault) => format!("mutant {fault:?}"),
                Policy::Without(mechanism) => format!("without {}", mechanism.report_name()),
            },
            seed: self.seed,
            wanted,
            worth: part_of_wanted(seconds_in_run.iter().map(|s| s.served).sum()),
            in_time: part(in_time),
            late: part(late),
            refused: part(refused),
            failed: part(failed),
            attempts: part(attempts),
            probes: part(probes),
            connections: part(self.tally.opened),
            list_calls: self.tally.calls as f64 / minutes.max(1e-9),
            list_refused: self.tally.calls_refused as f64 / self.tally.calls.max(1) as f64,
            p50_ms: latencies.value_at_quantile(0.5) as f64 / 1e3,
            p99_ms: latencies.value_at_quantile(0.99) as f64 / 1e3,
            recovery_s: recovery_seconds(&seconds_in_run, self.scenario.fault_period(), lasts),
            worst_cold: self.slots.iter().map(|slot| slot.node.peak_overload).fold(0.0, f64::max),
            cold_peak,
            most_connections: self.connections.peak_per_node(),
            held: self.tally.max_open_requests,
            losses,
            outcomes,
            worth_by_second: seconds_in_run.iter().map(|s| s.served / s.wanted.max(1e-9)).collect(),
            broken: counts.into_iter().map(|(rule, count)| (rule.to_owned(), count)).collect(),
            cases,
            marks: if seconds { self.scenario.faults.iter().map(mark).collect() } else { Vec::new() },
            seconds: if seconds { seconds_in_run } else { Vec::new() },
        }
    }
}
