//! The clock, and all that happens: requests, attempts, connections, the list, faults. One world is one thread and one seed;
//! the same seed gives the same report to the byte.

mod callers;
mod instances;
mod nodes;

use crate::audit::{Auditor, Kind};
use crate::balancing::{Balancing, In, Out};
use crate::baseline::{Baseline, Choice};
use crate::cold::Terms as ColdTerms;
use crate::discovery::{Answered, Line, Service, Word};
use crate::links::{Got, Links, Terms};
use crate::mutant::{InjectedFault, Mutant};
use crate::node::{Job, Mood, Node, Taken};
use crate::plan::{Chance, Chances, Step, steps};
use crate::report::{Loss, Mark, Report, Second, recovery};
use crate::scenario::{Fault, GRACE, How, Scenario};
use anyhow::Result;
use dunlincleat::api::{Attempt, Discovery, Effect, RequestId, ServerId, Span, State, Status, Time};
use dunlincleat_directory::{Cause, Entry, Follower, Listing, Output as Follow, Timing, WatchId};
use dunlincleat_engine::{Answer, Completion, Endpoint, Engine, Input, Output, PoolId, RequestInfo};
use dunlincleat_settings::InstanceSettings;
use hdrhistogram::Histogram;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp, LogNormal};
use rustc_hash::FxHashMap;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::net::{Ipv4Addr, SocketAddr};

/// Unix time at which days begin, in microseconds.
const START: u64 = 1_800_000_000_000_000;
/// Requests that an instance may hold.
const MOST: u32 = 10_000;
/// The part of a caller's patience that one try gets where it will try again.
const TRY: f64 = 0.55;
/// How often a watch brings a sign of life, and within what time a word counts as told.
const HEARTBEAT: Span = Span(2_000_000);
const TOLD_WITHIN: Span = Span(6_000_000);
/// What changes within this time is told in one line, as a release changes many servers at once.
const TOGETHER: u64 = 20_000;
/// How often a caller knocks where no instance is there.
const KNOCK: u64 = 20_000;
/// How long a connection that can't come up is waited for, where nobody says.
const CONNECT: Span = Span(200_000);

/// What is under test.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// The engine and the decision module, as they serve.
    Module,
    /// A baseline.
    Baseline(Choice),
    /// The engine with a planted fault.
    Mutant(InjectedFault),
    /// The engine without something that it has for days at size.
    Without(Mechanism),
}

/// What can be taken out, to see that its absence shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mechanism {
    /// Calls for lists keep their turn: without it each is given up after a short time and made again.
    CallQueueing,
    /// Few servers are used where connections cost: without it nobody is told that they do.
    FewServers,
    /// What is turned away is what is worth the least: without it all are told alike.
    Worth,
}

impl Mechanism {
    /// All of them by name.
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
struct Try {
    caller: u32,
    class: usize,
    work: f64,
    first: u64,
    tries: u32,
}

#[derive(Clone, Debug)]
enum Event {
    Ask(u32),
    /// A caller tries again, or knocks where no instance was.
    Again(Try),
    Wake(u32),
    Arrive(Job),
    Done(Job, usize, u32),
    Back(Job, Status),
    Until(Job),
    GaveUp(u64),
    /// A caller leaves before its time.
    Leaves(u64),
    Probed {
        instance: u32,
        server: ServerId,
        asked: PoolId,
    },
    /// The follower of an instance has something due.
    Follow(u32),
    Line(Box<Line>),
    WatchEnds(u32, WatchId, Cause),
    /// Open watches bring a sign of life.
    Beat,
    /// What changed of late is told.
    News,
    /// A second is over.
    Second,
    /// A caller's next instance serves.
    Up(u32),
    /// An instance that was told to end is gone.
    Gone(u32),
    Step(Step),
}

struct Due {
    at: u64,
    order: u64,
    event: Event,
}

impl PartialEq for Due {
    fn eq(&self, other: &Due) -> bool {
        (self.at, self.order) == (other.at, other.order)
    }
}

impl Eq for Due {}

impl PartialOrd for Due {
    fn partial_cmp(&self, other: &Due) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Due {
    fn cmp(&self, other: &Due) -> std::cmp::Ordering {
        (self.at, self.order).cmp(&(other.at, other.order))
    }
}

/// A place for a node: its present process, by number of starts, and the name that it is listed under.
struct Place {
    node: Node,
    zone: usize,
    starts: u32,
    uid: u32,
    state: State,
}

/// Who asks, through an instance of its own; nothing while that starts anew.
struct Caller {
    zone: usize,
    share: f64,
    instance: Option<u32>,
}

/// A process of the balancer. Its number is its own: the next one of the same caller has another.
struct Instance {
    caller: u32,
    zone: usize,
    balancing: Box<dyn Balancing>,
    follower: Follower,
    servers: FxHashMap<ServerId, usize>,
    wakes: u64,
    follows: u64,
    in_hand: usize,
}

struct Request {
    instance: u32,
    asked: Try,
    answered: bool,
    /// What kept its last attempt from serving it.
    last: Option<Loss>,
}

struct Flight {
    server: ServerId,
    /// Nothing where no node has ever been there.
    node: Option<usize>,
    starts: u32,
    sent: u64,
    /// It holds a connection, and that is new.
    link: Option<bool>,
    /// Its answer can't come.
    lost: bool,
    cold: bool,
}

struct World<'s> {
    scenario: &'s Scenario,
    policy: Policy,
    seed: u64,
    /// What instances are told, before their number and zone.
    told: Scenario,
    now: u64,
    order: u64,
    events: BinaryHeap<Reverse<Due>>,
    rng: SmallRng,
    places: Vec<Place>,
    callers: Vec<Caller>,
    instances: FxHashMap<u32, Instance>,
    next_instance: u32,
    requests: FxHashMap<u64, Request>,
    flights: FxHashMap<Job, Flight>,
    links: Links,
    service: Service,
    cold: ColdTerms,
    mean_work: f64,
    zones_lost: Vec<bool>,
    /// Ways cut, from instances of a zone to nodes of one.
    cut: Vec<Vec<bool>>,
    rate: f64,
    burst: f64,
    shift: Vec<f64>,
    chances: Chances,
    gives_up: u64,
    abuse_tries: u32,
    next: u64,
    auditor: Auditor,
    out: Vec<Out>,
    lines: Vec<Line>,
    news_due: bool,
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
    held: usize,
    outcomes: BTreeMap<String, u64>,
    seconds: Vec<Second>,
}

impl Tally {
    fn second(&mut self, at: u64, nodes: usize) -> &mut Second {
        let n = ((at - START) / 1_000_000) as usize;
        if self.seconds.len() <= n {
            self.seconds.resize_with(n + 1, || Second { arrived: vec![0; nodes], ..Second::default() });
        }
        &mut self.seconds[n]
    }
}

/// Plays a day.
///
/// # Errors
///
/// The scenario's classes can't be read as settings.
pub fn simulate(scenario: &Scenario, policy: Policy, seed: u64) -> Result<Report> {
    simulate_with_details(scenario, policy, seed, false)
}

/// Plays a day; the report has each second where that is wanted.
///
/// # Errors
///
/// The scenario's classes can't be read as settings.
pub fn simulate_with_details(
    scenario: &Scenario,
    policy: Policy,
    seed: u64,
    seconds: bool,
) -> Result<Report> {
    let mut times = Histogram::<u64>::new_with_bounds(1, 3_600_000_000, 3)?;
    let mut world = World::new(scenario, policy, seed)?;
    world.run(&mut times)?;
    Ok(world.report(&times, seconds))
}

/// The memory that instances hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InstanceMemory {
    /// Allocated by all of them, in bytes.
    pub bytes: usize,
    /// How many instances there are.
    pub instances: usize,
}

/// Plays a day and measures the memory that its instances hold at its end, as `allocated` counts it.
///
/// # Errors
///
/// The scenario's classes can't be read as settings.
pub fn instance_memory(
    scenario: &Scenario,
    policy: Policy,
    seed: u64,
    allocated: fn() -> usize,
) -> Result<InstanceMemory> {
    let mut times = Histogram::<u64>::new_with_bounds(1, 3_600_000_000, 3)?;
    let mut world = World::new(scenario, policy, seed)?;
    world.run(&mut times)?;
    let (instances, with) = (std::mem::take(&mut world.instances), allocated());
    let count = instances.len();
    drop(instances);
    Ok(InstanceMemory { bytes: with.saturating_sub(allocated()), instances: count })
}

/// Who asks how much.
fn callers(scenario: &Scenario, rng: &mut SmallRng) -> Vec<Caller> {
    let (traffic, zones) = (&scenario.traffic, scenario.fleet.zones.len());
    let drawn = |rng: &mut SmallRng| match LogNormal::new(0.0, traffic.skew) {
        Ok(spread) if traffic.skew > 0.0 => spread.sample(rng),
        _ => 1.0,
    };
    let mut shares: Vec<f64> = (0..traffic.instances).map(|_| drawn(rng)).collect();
    let hot = usize::from(traffic.hot > 0.0);
    let rest: f64 = shares[hot..].iter().sum();
    shares[hot..].iter_mut().for_each(|share| *share *= (1.0 - traffic.hot) / rest);
    shares[..hot].fill(traffic.hot);
    let caller = |(n, share)| Caller { zone: n % zones, share, instance: None };
    shares.into_iter().enumerate().map(caller).collect()
}

fn entry(scenario: &Scenario, places: &[Place], node: usize, uid: u32, state: State, boot: u64) -> Entry {
    let zone = scenario.fleet.zones[places[node].zone].clone();
    let host = Ipv4Addr::from(0x7f00_0001 + node as u32);
    let endpoint = (state != State::Removed).then(|| SocketAddr::from((host, 1)));
    let (model, weight) = (String::new(), 1.0);
    Entry { uid: format!("n{uid}"), endpoint, zone, model, cell: 0, state, weight, boot_ms: boot / 1000 }
}

impl<'s> World<'s> {
    /// A day before it begins.
    fn new(scenario: &'s Scenario, policy: Policy, seed: u64) -> Result<World<'s>> {
        let effects = scenario.site(0)?.settings.classes.iter().map(|class| class.effect).collect();
        let mut told = scenario.clone();
        match policy {
            Policy::Without(Mechanism::FewServers) => {
                (told.prices.handshake, told.prices.connection) = (0.0, 0.0)
            }
            Policy::Without(Mechanism::Worth) => told.classes.iter_mut().for_each(|class| class.worth = 1.0),
            Policy::Without(Mechanism::CallQueueing)
            | Policy::Module
            | Policy::Baseline(_)
            | Policy::Mutant(_) => {}
        }
        let (fleet, traffic) = (&scenario.fleet, &scenario.traffic);
        let zones = fleet.zones.len();
        let mut rng = SmallRng::seed_from_u64(seed);
        let place = |n: usize| Place {
            node: Node::new(fleet).of_mean_work(scenario.mean_work()),
            zone: n % zones,
            starts: 0,
            uid: n as u32,
            state: State::Ready,
        };
        let places: Vec<Place> = (0..fleet.nodes).map(place).collect();
        let words = (0..places.len()).map(|node| {
            let entry = entry(scenario, &places, node, node as u32, State::Ready, 0);
            Word { rev: 1, entry, node, starts: 0 }
        });
        let service = Service::new(scenario.discovery(), words.collect());
        let terms = Terms { most: fleet.connections, idle: fleet.idle.map_or(0, |idle| idle.us()) };
        let callers = callers(scenario, &mut rng);
        let mut world = World {
            scenario,
            policy,
            seed,
            told,
            now: START,
            order: 0,
            events: BinaryHeap::new(),
            rng,
            links: Links::new(terms, places.len()),
            places,
            callers,
            instances: FxHashMap::default(),
            next_instance: 0,
            requests: FxHashMap::default(),
            flights: FxHashMap::default(),
            service,
            cold: scenario.cold_terms(),
            mean_work: scenario.mean_work(),
            zones_lost: vec![false; zones],
            cut: vec![vec![false; zones]; zones],
            rate: scenario.rate(),
            burst: 1.0,
            shift: vec![1.0; zones],
            chances: Chances::default(),
            gives_up: 0,
            abuse_tries: 0,
            next: 0,
            auditor: Auditor::default(),
            out: Vec::new(),
            lines: Vec::new(),
            news_due: false,
            effects,
            tally: Tally::default(),
        };
        for caller in 0..traffic.instances as u32 {
            let known = world.service.listing();
            world.start(caller, known)?;
            world.next_ask(caller);
        }
        Ok(world)
    }

    fn at(&mut self, at: u64, event: Event) {
        self.order += 1;
        self.events.push(Reverse(Due { at, order: self.order, event }));
    }

    fn run(&mut self, times: &mut Histogram<u64>) -> Result<()> {
        for (at, step) in steps(self.scenario, &mut self.rng) {
            self.at(START + at, Event::Step(step));
        }
        self.at(START + HEARTBEAT.0, Event::Beat);
        self.at(START + 1_000_000, Event::Second);
        let end = START + self.scenario.lasts.us();
        // Nobody asks any more, and all that was asked is answered.
        let over = end + 2 * self.longest() + 1_000_000;
        while let Some(Reverse(Due { at, event, .. })) = self.events.pop() {
            if at > over {
                break;
            }
            self.now = at;
            self.happen(event, end, times)?;
        }
        Ok(())
    }

    fn longest(&self) -> u64 {
        self.scenario.classes.iter().map(|c| c.deadline.us()).max().unwrap_or(0)
    }

    fn happen(&mut self, event: Event, end: u64, times: &mut Histogram<u64>) -> Result<()> {
        match event {
            Event::Ask(caller) => {
                if self.now < end {
                    self.ask(caller);
                    self.next_ask(caller);
                }
            }
            Event::Again(asked) => self.take(asked),
            Event::Wake(instance) => {
                let now = self.now;
                let Some(of) = self.instances.get_mut(&instance).filter(|of| of.wakes == now) else {
                    return Ok(());
                };
                of.wakes = u64::MAX;
                let mut out = std::mem::take(&mut self.out);
                of.balancing.wake(Time(now), &mut out);
                self.carry_out(instance, out);
            }
            Event::Arrive(job) => self.arrive(job),
            Event::Done(job, node, starts) => self.done(job, node, starts),
            Event::Back(job, status) => self.ended(job, status, times),
            Event::Until(job) => self.ended(job, Status::Timeout, times),
            Event::GaveUp(id) => {
                self.auditor.gave_up(id, self.now);
                if let Some((asked, last)) = self.settle(id) {
                    self.tally.failed += 1;
                    self.lose(asked, last.unwrap_or(Loss::Queueing));
                    let instance = self.requests[&id].instance;
                    self.tell(instance, Input::ClientLeft(RequestId(id)));
                }
                self.requests.remove(&id);
            }
            Event::Leaves(id) => {
                if let Some((asked, _)) = self.settle(id) {
                    self.auditor.left(id);
                    self.tally.failed += 1;
                    self.lose(asked, Loss::Wasted);
                    let instance = self.requests[&id].instance;
                    self.tell(instance, Input::ClientLeft(RequestId(id)));
                }
            }
            Event::Probed { instance, server, asked } => self.probed(instance, server, asked),
            Event::Follow(instance) => {
                let now = self.now;
                if let Some(of) = self.instances.get_mut(&instance).filter(|of| of.follows == now) {
                    of.follows = u64::MAX;
                    self.follow(instance, None);
                }
            }
            Event::Line(line) => {
                let Line { instance, watch, listing, words, .. } = *line;
                if self.service.holds(instance, watch) && self.instances.contains_key(&instance) {
                    for (node, starts, state) in words {
                        self.auditor.told(instance, node, starts, state != State::Ready, self.now);
                    }
                    self.follow(instance, Some(dunlincleat_directory::Input::Line(watch, listing)));
                }
            }
            Event::WatchEnds(instance, watch, cause) => {
                self.follow(instance, Some(dunlincleat_directory::Input::Ended(watch, cause)));
            }
            Event::Beat => {
                self.news(true);
                self.at(self.now + HEARTBEAT.0, Event::Beat);
            }
            Event::News => {
                self.news_due = false;
                self.news(false);
            }
            Event::Second => {
                self.links.sweep(self.now);
                let (opened, held) = (self.links.take_opened(), self.links.held() as u64);
                let (calls, refused) = self.service.take_calls();
                (self.tally.opened, self.tally.calls) =
                    (self.tally.opened + opened, self.tally.calls + calls);
                self.tally.calls_refused += refused;
                let nodes = self.places.len();
                let second = self.tally.second(self.now - 1, nodes);
                (second.opened, second.held, second.calls) = (opened, held, calls);
                self.at(self.now + 1_000_000, Event::Second);
            }
            Event::Up(caller) => {
                let known = self.service.listing();
                self.start(caller, known)?;
            }
            Event::Gone(instance) => self.instance_ends(instance),
            Event::Step(step) => self.step(step)?,
        }
        Ok(())
    }

    fn step(&mut self, step: Step) -> Result<()> {
        match step {
            Step::Die(node) => self.down(node),
            Step::Return(node) => {
                // It was replaced meanwhile: there is nothing to come back.
                if self.places[node].node.mood == Mood::Dead {
                    self.anew(node);
                }
            }
            Step::Replace(node) => {
                self.down(node);
                let uid = self.places[node].uid;
                self.list(node, uid, State::Removed, 0);
                self.places[node].uid += self.places.len() as u32;
                self.anew(node);
            }
            Step::Drain(node) => {
                self.places[node].state = State::Draining;
                let uid = self.places[node].uid;
                let boot = self.places[node].node.born.unwrap_or(0);
                self.list(node, uid, State::Draining, boot);
            }
            Step::Mood(node, mood) => {
                if self.places[node].node.mood != Mood::Dead {
                    self.places[node].node.mood = mood;
                }
            }
            Step::Slow(node, factor) => self.places[node].node.slow = factor,
            Step::Still(node, each) => self.places[node].node.still = self.now + each,
            Step::Zone(zone, lost) => self.zones_lost[zone] = lost,
            Step::ZoneAnew(zone) => {
                for node in 0..self.places.len() {
                    if self.places[node].zone == zone && self.places[node].node.mood != Mood::Dead {
                        self.down(node);
                        self.anew(node);
                    }
                }
            }
            Step::Cut(from, to, cut) => self.cut[from][to] = cut,
            Step::List(silent) => {
                self.service.silence(silent);
                if !silent {
                    self.news(false);
                }
            }
            Step::Burst(factor) => self.burst *= factor,
            Step::Shift(zone, factor) => self.shift[zone] *= factor,
            Step::Chance(chance, part) => self.chances.set(chance, part),
            Step::GivesUp(after) => self.gives_up = after,
            Step::Tries(tries) => self.abuse_tries = tries,
            Step::Restart(caller, how, back) => {
                let Some(instance) = self.callers[caller].instance else { return Ok(()) };
                match how {
                    How::Death => self.instance_ends(instance),
                    How::Term => {
                        self.callers[caller].instance = None;
                        self.at(self.now + self.longest() + 1_000_000, Event::Gone(instance));
                    }
                }
                self.at(self.now + back, Event::Up(caller as u32));
            }
            Step::Reload(factor) => {
                for class in &mut self.told.classes {
                    let aim = (class.aim.us() as f64 * factor) as u64;
                    class.aim.0 = Span(aim.clamp(1, class.deadline.us()));
                }
                for caller in 0..self.callers.len() as u32 {
                    let Some(instance) = self.callers[caller as usize].instance else { continue };
                    let site = std::sync::Arc::new(self.site(caller)?);
                    self.tell(instance, Input::Settings { site, shadow: None });
                }
            }
        }
        Ok(())
    }

    fn report(self, times: &Histogram<u64>, seconds: bool) -> Report {
        let Tally { wanted, in_time, late, refused, failed, attempts, probes, outcomes, .. } = self.tally;
        let lasts = self.scenario.lasts.us();
        let mut played = self.tally.seconds;
        // What comes after the last request is asked belongs to no second of the day.
        played.truncate(lasts.div_ceil(1_000_000) as usize);
        let part = |count: u64| count as f64 / wanted.max(1) as f64;
        let worth_wanted: f64 = played.iter().map(|s| s.wanted).sum();
        let of_worth = |worth: f64| if worth_wanted > 0.0 { worth / worth_wanted } else { 0.0 };
        let mut losses: BTreeMap<String, f64> = BTreeMap::new();
        for (name, worth) in played.iter().flat_map(|second| &second.lost) {
            *losses.entry(name.clone()).or_default() += worth;
        }
        losses.values_mut().for_each(|worth| *worth = of_worth(*worth));
        let minutes = lasts as f64 / 60e6 * self.callers.len() as f64;
        let cold_peak = self.auditor.cold_peak();
        let (broken, cases) = self.auditor.found();
        let mark = |fault: &Fault| {
            let (from, to) = fault.span();
            Mark { name: fault.name().to_owned(), from_s: from as f64 / 1e6, to_s: to as f64 / 1e6 }
        };
        Report {
            v: 2,
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
            worth: of_worth(played.iter().map(|s| s.served).sum()),
            in_time: part(in_time),
            late: part(late),
            refused: part(refused),
            failed: part(failed),
            attempts: part(attempts),
            probes: part(probes),
            connections: part(self.tally.opened),
            list_calls: self.tally.calls as f64 / minutes.max(1e-9),
            list_refused: self.tally.calls_refused as f64 / self.tally.calls.max(1) as f64,
            p50_ms: times.value_at_quantile(0.5) as f64 / 1e3,
            p99_ms: times.value_at_quantile(0.99) as f64 / 1e3,
            recovery_s: recovery(&played, self.scenario.troubled(), lasts),
            worst_cold: self.places.iter().map(|place| place.node.worst).fold(0.0, f64::max),
            cold_peak,
            most_connections: self.links.most_at_one(),
            held: self.tally.held,
            losses,
            outcomes,
            worth_by_second: played.iter().map(|s| s.served / s.wanted.max(1e-9)).collect(),
            broken: broken.into_iter().map(|(rule, count)| (rule.to_owned(), count)).collect(),
            cases,
            marks: if seconds { self.scenario.faults.iter().map(mark).collect() } else { Vec::new() },
            seconds: if seconds { played } else { Vec::new() },
        }
    }
}
