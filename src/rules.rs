//! The decision module: every decision of the balancer about requests and servers.
//!
//! [`Balancer`] is a state machine without I/O or a clock. A host hands it events with their times and
//! carries out the actions that it returns; both are defined in `src/api.rs`.
//!
//! The base algorithm is that of "SoCCeR: Services over Content-Centric Routing" (section 3): each server has
//! a load and a delay pheromone, and requests go to servers drawn at random by a blend of the two.
//! `docs/design.md` says what was kept and what was changed; comments below mark each change as a departure
//! from the paper.

use crate::api::*;
use crate::discovery_calls::{DISCOVERY_TIMER, DiscoveryCalls};
use crate::key_popularity::{KeyPopularity, mix64};
use crate::peer_reports::{self, ENTRY_BYTES, MAX_MESSAGE_BYTES, PeerReports};
use crate::statistics::{SeededRng, ServiceTime, ewma};
use rand::Rng;
use rustc_hash::FxHashMap;
use std::collections::VecDeque;

const SECOND: Span = Span(1_000_000);

// Pheromones and windows.

/// Weight of the load pheromone in the blend; the paper's alpha.
const ALPHA: f64 = 0.8;
/// Share of its pheromone that a server without an answer loses in a window; the paper's rho.
const RHO: f64 = 0.2;
/// No pheromone falls below this share of the mean one, so that every server stays in the draw.
const PHEROMONE_FLOOR: f64 = 0.01;
/// Windows in the tightest aim: loads must be seen several times while a request can still be served in time.
const WINDOWS_PER_AIM: f64 = 4.0;
/// The paper's window. It is the longest one here, and the least time for which an answer keeps a server
/// among those that answered lately.
const MAX_WINDOW: Span = SECOND;
/// Windows in which a share closes most of the gap to its new value, where loads are known afresh.
const SETTLE_WINDOWS_FRESH: f64 = 0.2;
/// The same where loads are known late or not at all.
const SETTLE_WINDOWS_STALE: f64 = 4.5;
/// Requests that a server could have been sent, on average, before its silence counts.
const REQUESTS_BEFORE_SILENCE: f64 = 3.0;

// Load and headroom.

/// How sharply a load above the mean counts, see [`saturated`]: idle and busy servers stay apart under one
/// crowded one.
const LOAD_SHARPNESS: f64 = 4.0;
/// The same for the headroom where loads are reported late: all instances act on the same figure until the
/// next one.
const LOAD_SHARPNESS_STALE: f64 = 0.7;
/// What all servers without known headroom draw together, against an idle one.
const MIN_HEADROOM: f64 = 0.1;
/// A busy server whose weight is this many report intervals late is taken to have stopped reporting.
const MISSED_REPORT_INTERVALS: f64 = 2.5;
/// Weight of a new value in smoothed delays, utilisations and the timely share.
const EWMA_WEIGHT: f64 = 0.1;
/// The same for service times, which vary widely: a few heavy requests must not have a class refused.
const SLOW_EWMA_WEIGHT: f64 = 0.03;

// Service times and admission.

/// Attempts that must have ended before the service time of a class is known.
const MIN_SERVICE_TIME_SAMPLES: u32 = 10;
/// Aims of its class for which the last sample of a service time is valid.
const SERVICE_TIME_VALID_AIMS: f64 = 4.0;
/// A server gets a request only if it is expected to answer within this share of the time left.
const MAX_WAIT_SHARE: f64 = 0.45;
/// The same where instances report their attempts to each other: with exact loads there is no reason for long
/// queues.
const MAX_WAIT_SHARE_PEERS: f64 = 0.12;
/// Share of a class's aim that a request may wait in the queue here before it is sent.
const QUEUE_AIM_SHARE: f64 = 0.03;
/// Requests are shed where a smaller share of the attempts than this is answered in time.
const MIN_TIMELY_SHARE: f64 = 0.85;
/// Time constant with which error scores, the timely share and old service times are forgotten.
const FORGET_AFTER: Span = Span(10_000_000);

// Failures.

/// Share of the trust in a server that is left after a failed attempt, and of the distrust after a served
/// one.
const ERROR_DOUBT: f64 = 0.5;
/// A server is suspected when it answered nothing for this many mean delays while an attempt was outstanding.
const SILENCE_DELAYS: f64 = 3.0;

// Cold servers.

/// A cold server may get this much more than a mean server's work times its warmth.
const COLD_BUDGET_FACTOR: f64 = 1.25;
/// Most requests that the cold budget of a server may hold.
const COLD_BUDGET_BURST: f64 = 1.5;

// Peers, probes and connections.

/// Interval of full reports to all peers.
const FULL_REPORT_INTERVAL: Span = Span(10_000_000);
/// How long the attempts that a peer reported count as load.
const PEER_LOAD_LIFETIME: Span = SECOND;
/// How long a peer counts as a user of the servers that it reported.
const PEER_USE_LIFETIME: Span = Span(30_000_000);
/// Share of the result that messages to peers may cost.
const PEER_MESSAGE_BUDGET: f64 = 0.012;
/// Share of the result that probes may cost.
const PROBE_BUDGET: f64 = 0.03;
/// Share of the result that connections may cost, open ones and their handshakes.
const CONNECTION_BUDGET: f64 = 0.006;
/// Accepted chance that none of the servers of a probe round is idle.
const PROBE_MISS_CHANCE: f64 = 0.1;
/// A request that finds the window older than this share of its aim starts a probe round and waits as long at
/// most.
const PROBE_WAIT_AIM_SHARE: f64 = 0.02;

// The subset of servers that an instance uses.

/// Least number of servers in the subset.
const MIN_SUBSET: f64 = 2.0;
/// Servers in the subset for each attempt in flight.
const SUBSET_PER_IN_FLIGHT: f64 = 2.0;
/// Time constant of the smoothed send rate.
const SEND_RATE_RISE: Span = Span(2_000_000);
/// Time constant with which the peak of the send rate decays.
const SEND_RATE_PEAK_DECAY: Span = Span(20_000_000);
/// Where crossing zones is expensive: servers of the own zone for each one of another in the order of use.
const LOCAL_SERVERS_PER_REMOTE: usize = 2;
/// Price of crossing zones at which servers of other zones draw half as much.
const CROSS_ZONE_HALVING_PRICE: f64 = 0.01;
/// Least number of servers that draw for a key.
const MIN_SERVERS_PER_KEY: f64 = 2.0;
/// Servers that draw for a key beyond those, against all servers, for each unit of the key's share of the
/// traffic.
const KEY_SPREAD_FACTOR: f64 = 1.5;

// Hedging.

/// Share of its aim after which a request is hedged.
const HEDGE_AIM_SHARE: f64 = 0.5;
/// Hedged requests allowed for each request sent.
const HEDGES_PER_REQUEST: f64 = 0.1;
/// Most hedged requests that may be sent at once.
const HEDGE_BURST: f64 = 10.0;

// Timers. Token 2 is `DISCOVERY_TIMER`.

const WINDOW_TIMER: Token = Token(1);
const QUEUE_TIMER: Token = Token(3);
const PROBE_ROUND_TIMER: Token = Token(4);
/// The hedge of request `n` is due with token `FIRST_HEDGE_TOKEN + n`.
const FIRST_HEDGE_TOKEN: u64 = 16;

/// The two pheromone tables.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Table {
    Load,
    Delay,
}

impl Table {
    const ALL: [Table; 2] = [Table::Load, Table::Delay];
}

/// What is known of one server.
#[derive(Clone, Debug, Default)]
struct Server {
    state: State,
    started_at: Time,
    zone: u32,
    cell: u32,
    global_id: u64,
    /// Weight as last listed.
    listed_weight: f64,
    /// Size by its weights, 0 where unknown.
    size: f64,
    /// Outstanding requests, by the last live weight.
    reported_outstanding: f64,
    /// When the weight last changed.
    weight_updated_at: Time,
    /// Shares of the pheromone, indexed by [`Table`].
    pheromone: [f64; 2],
    /// Factor on the share: the headroom that is left.
    headroom: f64,
    /// Requests outstanding by the last load report.
    reported_load: Option<f64>,
    /// When that report came.
    reported_at: Time,
    /// Own attempts sent since the last report, less those released.
    sent_since_report: f64,
    /// Smoothed utilisation by load reports.
    util: f64,
    /// Own attempts outstanding.
    in_flight: u32,
    /// Attempts outstanding that other instances reported.
    peers_in_flight: u32,
    mean_delay: Option<f64>,
    /// When an attempt or a probe last succeeded, or the server was first listed.
    last_ok: Option<Time>,
    /// Since when attempts have been outstanding without any answer.
    waiting_since: Option<Time>,
    /// Times in a row that it was silent or unreachable.
    failure_count: u32,
    /// Nothing is sent to it before this time.
    excluded_until: Time,
    /// Distrust in its answers, from 0 to 1: errors raise it, served attempts and time lower it.
    error_doubt: f64,
    /// When the outstanding probe was sent.
    probe_sent_at: Option<Time>,
    /// Budget of requests while it is cold.
    cold_credit: f64,
    /// `Balancer::accepted_sends` up to which the budget was filled.
    cold_credit_mark: i64,
}

impl Server {
    fn attempt_started(&mut self, now: Time) {
        self.in_flight += 1;
        self.sent_since_report += 1.0;
        self.waiting_since = self.waiting_since.or(Some(now));
    }

    /// Takes back an attempt that is not the server's load: another server has it, or its body is still being
    /// sent.
    fn attempt_withdrawn(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.sent_since_report -= 1.0;
        self.waiting_since = self.waiting_since.filter(|_| self.in_flight > 0);
    }

    /// Excludes the server for a time that doubles with each failure, up to 32 aims: a hang outlasts many
    /// aims.
    fn record_failure(&mut self, now: Time, aim: Span) {
        self.failure_count += 1;
        self.excluded_until = now + Span(aim.0 << self.failure_count.min(5));
    }

    fn clear_failures(&mut self, until: Time) {
        self.failure_count = 0;
        self.excluded_until = until;
    }
}

/// An attempt of an open request.
#[derive(Clone, Copy, Debug)]
struct SentAttempt {
    server: ServerId,
    sent_at: Time,
    /// Requests that it found ahead of it, as service times of a mean server.
    load_ahead: f64,
    /// How it ended, none while it is outstanding.
    status: Option<Status>,
}

/// A request that is owed an answer.
#[derive(Clone, Debug, Default)]
struct OpenRequest {
    class: u32,
    work_hint: Option<Span>,
    key: Option<u64>,
    /// Aim of its class when it arrived.
    aim: Span,
    max_attempts: u32,
    arrived_at: Time,
    deadline: Time,
    attempts: Vec<SentAttempt>,
    /// Its response has started: no further attempt is made.
    streaming: bool,
    /// The operator's limits allow no further attempt.
    retries_exhausted: bool,
    /// The timer that ends its wait in the queue is set.
    queue_timer_set: bool,
}

impl OpenRequest {
    /// The first attempt that is outstanding or may have run: it binds all further ones.
    fn binding_attempt(&self) -> Option<&SentAttempt> {
        self.attempts.iter().find(|attempt| !attempt.status.is_some_and(Status::never_ran))
    }

    fn outstanding(&self) -> impl Iterator<Item = (usize, &SentAttempt)> {
        self.attempts.iter().enumerate().filter(|(_, attempt)| attempt.status.is_none())
    }
}

/// The servers of one group: all, those of one zone, or those of one cell.
#[derive(Clone, Copy)]
struct GroupScope {
    group: Group,
    /// Number of the zone or cell.
    number: u32,
}

impl GroupScope {
    /// The scope of a server's group.
    fn of(group: Group, server: &Server) -> GroupScope {
        let number = if group == Group::Zone { server.zone } else { server.cell };
        GroupScope { group, number }
    }

    fn contains(self, server: &Server) -> bool {
        match self.group {
            Group::All => true,
            Group::Zone => server.zone == self.number,
            Group::Cell => server.cell == self.number,
        }
    }
}

/// Where the next attempt of a request may go.
enum NextAttempt {
    Anywhere,
    Within(GroupScope),
    Forbidden,
}

/// What a request asks of the server that is drawn for it.
#[derive(Clone, Copy)]
struct Selection {
    /// The answer must come within this time.
    time_left: Span,
    class: u32,
    work: Option<Span>,
    scope: Option<GroupScope>,
    key: Option<u64>,
    /// The server of the attempt before.
    exclude: Option<ServerId>,
}

/// The figures of a load report that decisions use.
#[derive(Clone, Copy, Default)]
struct LoadReport {
    in_flight: Option<f64>,
    util: Option<f64>,
}

/// The rate of own sends, per microsecond.
#[derive(Clone, Copy, Debug, Default)]
struct SendRate {
    smoothed: f64,
    /// Decaying peak of the smoothed rate.
    peak: f64,
    /// Sends that are counted in.
    counted_sends: u64,
}

/// Capacity of the subset, as of the last window.
#[derive(Clone, Copy, Debug, Default)]
struct WarmCapacity {
    /// Sum of warmth times relative size.
    total: f64,
    /// Whether any server is fully warm.
    any_warm: bool,
}

/// One balancer: its tables, its open requests and its view of the servers.
#[derive(Default)]
pub struct Balancer {
    settings: Settings,
    rng: SeededRng,
    window: Span,
    /// Load reports in answers count the requests at a server.
    reports_count_requests: bool,
    /// Weights report outstanding requests, some time ago.
    live_weights: bool,
    /// Instances report to each other their attempts at the few servers that each uses.
    reports_to_peers: bool,
    /// Mean time between two live weights of a server, once known.
    weight_interval: Option<f64>,
    /// Loads are known afresh: reports count requests, or peers report theirs.
    load_is_fresh: bool,
    servers: Vec<Server>,
    /// Listed servers that take new work, in the order in which this balancer uses them.
    listed: Vec<ServerId>,
    /// The first of the listed servers: those in use.
    subset: Vec<ServerId>,
    send_rate: SendRate,
    /// Servers wanted for the send rate.
    subset_target: f64,
    /// Shares of the subset in the draw, each added to those before it.
    cumulative_shares: Vec<f64>,
    open: FxHashMap<RequestId, OpenRequest>,
    key_popularity: KeyPopularity,
    /// Requests that wait for a server, in the order of their arrival.
    queue: VecDeque<RequestId>,
    window_started: Time,
    probes_in_flight: u32,
    /// A probe round is open: the window waits for its answers, and requests wait with it.
    probe_round_open: bool,
    /// Requests received.
    requests: u64,
    /// Attempts sent.
    sends: u64,
    /// Attempts sent, less those that never ran: they earn the cold budgets.
    accepted_sends: i64,
    started_at: Option<Time>,
    probe_credit: f64,
    /// Index in the subset of the server that was probed last.
    last_probed: usize,
    /// Smoothed share of probed servers that were busy.
    busy_share: f64,
    /// Smoothed load of probed servers.
    typical_load: f64,
    served_attempts: u32,
    /// Smoothed delay of served attempts.
    mean_delay: Option<f64>,
    /// Least value of the smoothed delay.
    min_mean_delay: f64,
    /// Service times by class.
    service_times: Vec<ServiceTime>,
    /// Smoothed share of the attempts answered in time among those served or timed out; recovers to 1 with
    /// time.
    timely_share: f64,
    /// Highest load behind which every class is still expected to be answered within its aim.
    load_limit: f64,
    peer_reports: PeerReports,
    /// Bytes that may be sent to peers.
    peer_credit: f64,
    /// Hedged requests that may be sent.
    hedge_credit: f64,
    /// Servers whose number of own attempts in flight changed since it was reported to peers.
    changed_servers: Vec<ServerId>,
    last_full_report: Option<Time>,
    /// Factor on the shares of servers of other zones.
    remote_zone_factor: f64,
    /// Share of the time left within which a server must be expected to answer.
    max_wait_share: f64,
    warm_capacity: WarmCapacity,
    /// Mean of the known sizes of listed servers.
    mean_size: f64,
    discovery_calls: DiscoveryCalls,
}

impl Balancer {
    /// A balancer that knows nothing but its settings and its seed.
    pub fn new(settings: Settings, seed: u64) -> Balancer {
        let mut balancer = Balancer {
            rng: SeededRng::new(seed),
            load_limit: f64::MAX,
            warm_capacity: WarmCapacity { total: 1.0, any_warm: false },
            busy_share: 0.5,
            typical_load: 0.5,
            timely_share: 1.0,
            mean_size: 1.0,
            ..Balancer::default()
        };
        balancer.apply_settings(settings);
        balancer
    }

    /// Applies settings and derives all that follows from them, at the start and at each change.
    fn apply_settings(&mut self, settings: Settings) {
        let counts_requests = |field: &Field| matches!(field, Field::Inflight | Field::Queue);
        // What probes alone bring is as old as the report's period: probing again brings the same again.
        self.reports_count_requests =
            settings.reports == Reports::InAnswers && settings.fields.iter().any(counts_requests);
        self.reports_to_peers =
            settings.limits.peer_messages && settings.instance_count > 1 && !self.reports_count_requests;
        self.live_weights = settings.weights == Weights::Live;
        self.load_is_fresh = self.reports_count_requests || self.reports_to_peers;
        let window = tightest_aim(&settings).times(1.0 / WINDOWS_PER_AIM);
        self.window = window.max(settings.tick).min(MAX_WINDOW).max(Span(1));
        self.max_wait_share = if self.reports_to_peers { MAX_WAIT_SHARE_PEERS } else { MAX_WAIT_SHARE };
        self.remote_zone_factor = 1.0 / (1.0 + settings.prices.cross_zone / CROSS_ZONE_HALVING_PRICE);
        self.service_times.resize(settings.classes.len(), ServiceTime::default());
        for (class, service_time) in settings.classes.iter().zip(&mut self.service_times) {
            if class.retired {
                *service_time = ServiceTime::default();
            }
        }
        self.settings = settings;
    }

    /// Handles one event and adds the actions that follow to `todo`.
    pub fn on_event(&mut self, now: Time, event: Event<'_>, todo: &mut Vec<Action>) {
        if self.started_at.is_none() {
            let knows_servers = matches!(event, Event::Members { entries: [_, ..], .. });
            self.start(now, knows_servers, todo);
        }
        match event {
            Event::Settings { set } => self.apply_settings(set.clone()),
            Event::Members { kind, entries } => self.on_members(now, kind, entries, todo),
            Event::Request { id, left, class, hint, key, .. } => {
                let request = OpenRequest {
                    class,
                    work_hint: hint,
                    key: key.filter(|_| self.settings.key_affinity),
                    aim: self.class(class).map_or(left, |class| class.aim),
                    max_attempts: self.settings.limits.max_attempts,
                    arrived_at: now,
                    deadline: now + left,
                    ..OpenRequest::default()
                };
                self.on_request(now, id, request, todo);
            }
            Event::ClientLeft { id } => drop(self.open.remove(&id)),
            Event::ResponseStarted { id, .. } => {
                if let Some(open) = self.open.get_mut(&id) {
                    open.streaming = true;
                }
            }
            Event::AttemptFinished {
                id,
                attempt,
                status,
                request_closed,
                retry_allowed,
                latency,
                server,
                load,
            } => {
                self.record_answer(now, server, status, Some(latency), load);
                self.record_outcome(now, id, attempt, status, latency);
                self.accepted_sends -= i64::from(status.never_ran());
                if let Some(open) = self.open.get_mut(&id) {
                    open.retries_exhausted |= !retry_allowed;
                }
                self.after_attempt(now, id, request_closed, todo);
                self.retry_queued(now, 1, todo);
            }
            Event::Upload { id, server, finished } => self.on_upload(now, id, server, finished),
            Event::HedgeDue { id } => {
                self.send_hedge(now, id, todo);
            }
            Event::ProbeFinished { server, status, load, .. } => {
                self.on_probe_finished(now, server, status, load, todo);
            }
            Event::Timer { token } => self.on_timer(now, token, todo),
            Event::Peer { from, data } => {
                if from < self.settings.instance_count && from != self.settings.instance_index {
                    self.peer_reports.apply(now, from, data);
                }
            }
        }
        if self.reports_to_peers {
            self.report_to_peers(now, todo);
        }
    }

    /// Sets the first timers. The first window ends at a random time, so that instances do not act in step.
    fn start(&mut self, now: Time, knows_servers: bool, todo: &mut Vec<Action>) {
        self.window_started = now;
        self.started_at = Some(now);
        let delay = Span(self.rng.0.random_range(1..=self.window.0));
        todo.push(Action::Timer { token: WINDOW_TIMER, delay });
        self.discovery_calls.schedule_first(now, knows_servers, &self.settings, &mut self.rng.0, todo);
    }

    fn on_request(&mut self, now: Time, id: RequestId, request: OpenRequest, todo: &mut Vec<Action>) {
        let class = request.class;
        let time_left = request.deadline - now;
        if let Some(key) = request.key {
            self.key_popularity.record(key);
        }
        self.requests += 1;
        self.open.insert(id, request);
        self.probe_credit += self.probes_per_request();
        let peer_price = self.settings.prices.peer.max(PEER_MESSAGE_BUDGET / 4.0);
        self.peer_credit += MAX_MESSAGE_BYTES as f64 * PEER_MESSAGE_BUDGET / peer_price;
        let probe_wait = self.probe_round_wait(class);
        if now - self.window_started > probe_wait && self.probes_per_request() < 1.0 {
            self.close_window(now, todo);
        }
        if !self.admits(class) {
            return self.answer_unserved(id, todo);
        }
        // A request whose client soon leaves does not wait for a probe round.
        let may_wait = time_left > probe_wait.times(4.0);
        if may_wait && self.join_probe_round(now, class, todo) {
            self.queue.push_back(id);
        } else {
            self.dispatch(now, id, false, todo);
        }
    }

    /// A server has nothing of a request whose body is still being sent to it: the server's load and silence,
    /// and the request's own time, begin with the last byte. Counted from the first byte, slow bodies had
    /// requests refused at idle servers.
    fn on_upload(&mut self, now: Time, id: RequestId, server: ServerId, finished: bool) {
        if let Some(server) = self.server_mut(server) {
            if finished {
                server.attempt_started(now);
            } else {
                server.attempt_withdrawn();
            }
        }
        if finished && let Some(open) = self.open.get_mut(&id) {
            open.deadline = open.deadline + (now - open.arrived_at);
            open.arrived_at = now;
        }
    }

    fn on_probe_finished(
        &mut self,
        now: Time,
        id: ServerId,
        status: Status,
        load: &[f64],
        todo: &mut Vec<Action>,
    ) {
        if let Some(server) = self.server_mut(id).filter(|server| server.probe_sent_at.is_some()) {
            server.probe_sent_at = None;
            self.probes_in_flight -= 1;
        }
        self.record_answer(now, id, status, None, load);
        let reported = status == Status::Ok && !load.is_empty();
        if let Some(server) = self.servers.get(id.0 as usize).filter(|_| reported) {
            let load = server.reported_load.unwrap_or(0.0);
            self.busy_share = ewma(Some(self.busy_share), f64::from(load >= 0.5), SLOW_EWMA_WEIGHT);
            self.typical_load = ewma(Some(self.typical_load), load, SLOW_EWMA_WEIGHT);
        }
        if self.probe_round_open && self.probes_in_flight == 0 {
            self.finish_probe_round(now, todo);
        }
    }

    fn on_timer(&mut self, now: Time, token: Token, todo: &mut Vec<Action>) {
        match token {
            WINDOW_TIMER => {
                self.close_window(now, todo);
                todo.push(Action::Timer { token: WINDOW_TIMER, delay: self.window });
                self.retry_queued(now, usize::MAX, todo);
            }
            PROBE_ROUND_TIMER if self.probe_round_open => self.finish_probe_round(now, todo),
            QUEUE_TIMER => self.retry_queued(now, usize::MAX, todo),
            DISCOVERY_TIMER => self.discovery_calls.on_timer(now, &self.settings, todo),
            Token(number) if number >= FIRST_HEDGE_TOKEN => {
                self.hedge_within_budget(now, RequestId(number - FIRST_HEDGE_TOKEN), todo);
            }
            _ => {}
        }
    }

    /// How many listed servers get no new requests now. A query: it changes nothing and draws nothing.
    pub fn avoided(&self, now: Time) -> usize {
        self.listed.iter().filter(|id| self.server(**id).excluded_until > now).count()
    }

    fn server(&self, id: ServerId) -> &Server {
        &self.servers[id.0 as usize]
    }

    fn server_mut(&mut self, id: ServerId) -> Option<&mut Server> {
        self.servers.get_mut(id.0 as usize)
    }

    fn class(&self, class: u32) -> Option<&Class> {
        self.settings.classes.get(class as usize)
    }

    /// The figures of a load report. The queue stands in for the requests in flight where these are not
    /// reported.
    fn read_report(&self, load: &[f64]) -> LoadReport {
        let mut report = LoadReport::default();
        for (field, value) in self.settings.fields.iter().zip(load).filter(|(_, value)| value.is_finite()) {
            match field {
                Field::Inflight => report.in_flight = Some(*value),
                Field::Queue if report.in_flight.is_none() => report.in_flight = Some(*value),
                Field::Util => report.util = Some(*value),
                Field::Queue | Field::Other => {}
            }
        }
        report
    }

    /// Records the end of an attempt, or of a probe where `latency` is none. Served attempts and answered
    /// probes refresh the figures of the server; without them its pheromone only evaporates.
    fn record_answer(
        &mut self,
        now: Time,
        id: ServerId,
        status: Status,
        latency: Option<Span>,
        load: &[f64],
    ) {
        let report = self.read_report(load);
        let aim = tightest_aim(&self.settings);
        let rejection_pause = if self.live_weights { aim } else { self.window };
        let Some(server) = self.servers.get_mut(id.0 as usize) else { return };
        if latency.is_some() {
            if self.reports_to_peers {
                self.changed_servers.push(id);
            }
            server.in_flight = server.in_flight.saturating_sub(1);
        }
        // A server that fails fast looks idle: without this it drew the most requests.
        let failed = matches!(status, Status::Error | Status::Reset);
        if latency.is_some() && failed {
            server.error_doubt = 1.0 - ERROR_DOUBT * (1.0 - server.error_doubt);
        } else if latency.is_some() && status == Status::Ok {
            server.error_doubt *= ERROR_DOUBT;
        }
        let nothing_since_sent =
            |latency: Span| server.waiting_since.is_some_and(|since| now - since >= latency);
        let silent = latency.is_none_or(|latency| latency >= aim && nothing_since_sent(latency));
        if status == Status::Ok {
            server.last_ok = Some(now);
        } else if status == Status::ConnectFailed || (status == Status::Timeout && silent) {
            server.record_failure(now, aim);
        }
        if latency.is_some() && matches!(status, Status::Ok | Status::Error | Status::Rejected) {
            server.clear_failures(Time(0));
            server.waiting_since = Some(now);
        }
        server.waiting_since = server.waiting_since.filter(|_| server.in_flight > 0);
        if status == Status::Rejected {
            server.excluded_until = now + rejection_pause;
            let least_load = f64::from(server.in_flight) + 1.0;
            server.reported_load = server.reported_load.map(|load| load.max(least_load));
        }
        if status != Status::Ok {
            return;
        }
        if let Some(util) = report.util {
            server.util = ewma(Some(server.util), util, EWMA_WEIGHT * 2.0);
        }
        if let Some(in_flight) = report.in_flight {
            server.reported_load = Some(in_flight);
            server.reported_at = now;
            server.sent_since_report = 0.0;
        }
        if let Some(latency) = latency {
            server.mean_delay = Some(ewma(server.mean_delay, latency.as_f64(), EWMA_WEIGHT));
            self.record_delay(latency);
        }
    }

    /// Records the delay of a served attempt in the figures over all servers.
    fn record_delay(&mut self, latency: Span) {
        self.served_attempts = self.served_attempts.saturating_add(1);
        let weight = SLOW_EWMA_WEIGHT.max(1.0 / f64::from(self.served_attempts));
        let delay = ewma(self.mean_delay, latency.as_f64(), weight);
        self.mean_delay = Some(delay);
        // The mean of the first few attempts varies too much for its least value to mean anything.
        let settled = weight <= SLOW_EWMA_WEIGHT;
        self.min_mean_delay = if settled { self.min_mean_delay.min(delay) } else { delay };
    }

    /// The load of a server: what was reported of it with what was sent since, else its attempts in flight.
    fn load_of(&self, server: &Server) -> f64 {
        let in_flight = f64::from(server.in_flight);
        if self.reports_count_requests {
            let known = server.reported_load.unwrap_or(0.0) + server.sent_since_report;
            let freshness = self.report_freshness(server);
            (self.typical_load + freshness * (known - self.typical_load)).max(in_flight)
        } else if self.relies_on_live_weights() {
            server.reported_outstanding + server.sent_since_report.min(in_flight)
        } else {
            server.util + f64::from(server.in_flight + server.peers_in_flight)
        }
    }

    /// Whether loads are known from live weights alone, and so some time after.
    fn relies_on_live_weights(&self) -> bool {
        self.live_weights && !self.load_is_fresh
    }

    /// The size of a server against the mean one.
    fn relative_size(&self, server: &Server) -> f64 {
        if server.size > 0.0 { server.size / self.mean_size } else { 1.0 }
    }

    /// The load of a server with one more request, against its size: the service times of a mean server that
    /// the request would take there, its own included.
    fn load_with_request(&self, server: &Server) -> f64 {
        (1.0 + self.load_of(server)) / self.relative_size(server)
    }

    /// How much the last report of a server still says, from 0 to 1: within a mean delay it has had time to
    /// fill or to empty.
    fn report_freshness(&self, server: &Server) -> f64 {
        if !self.reports_count_requests {
            return 1.0;
        }
        let mean_delay = self.mean_delay.unwrap_or(tightest_aim(&self.settings).as_f64());
        (-(self.window_started - server.reported_at).as_f64() / mean_delay).exp()
    }

    /// Closes the window and opens the next: every server that answered lately rises by its figures, the
    /// pheromone of the others evaporates, in both tables at once.
    fn close_window(&mut self, now: Time, todo: &mut Vec<Action>) {
        let gap = now - self.window_started;
        self.window_started = now;
        self.collect_peer_loads(now);
        self.detect_silent_servers(now, todo);
        self.update_subset(gap);
        self.forget(gap);
        self.load_limit = self.highest_load(now);
        let settle_windows = if self.load_is_fresh { SETTLE_WINDOWS_FRESH } else { SETTLE_WINDOWS_STALE };
        let part = 1.0 - (-gap.as_f64() / (self.window.as_f64() * settle_windows)).exp();
        let silent_part = part.min(gap.as_f64() / self.silence_horizon().as_f64());
        for table in Table::ALL {
            self.update_table(now, table, part, silent_part);
        }
        self.refresh_shares(now);
    }

    fn collect_peer_loads(&mut self, now: Time) {
        for server in &mut self.servers {
            server.peers_in_flight = 0;
        }
        let add = |id: ServerId, attempts| self.servers[id.0 as usize].peers_in_flight += attempts;
        self.peer_reports.expire_and_visit(now, PEER_LOAD_LIFETIME, PEER_USE_LIFETIME, add);
    }

    /// Lets error scores and the timely share recover with time.
    fn forget(&mut self, gap: Span) {
        let kept = (-gap.as_f64() / FORGET_AFTER.as_f64()).exp();
        for server in &mut self.servers {
            server.error_doubt *= kept;
        }
        self.timely_share += (1.0 - self.timely_share) * (1.0 - kept);
    }

    /// The highest load behind which every class with a known service time is answered within its aim.
    fn highest_load(&self, now: Time) -> f64 {
        let classes = self.settings.classes.iter().enumerate();
        let limit = |(number, class): (usize, &Class)| {
            Some(self.max_wait_share * class.aim.as_f64() / self.service_time(now, number)?)
        };
        classes.filter_map(limit).fold(f64::MAX, f64::min)
    }

    fn update_table(&mut self, now: Time, table: Table, part: f64, silent_part: f64) {
        let inputs: Vec<Option<f64>> =
            self.subset.iter().map(|id| self.pheromone_input(now, *id, table)).collect();
        let old: Vec<f64> = self.subset.iter().map(|id| self.server(*id).pheromone[table as usize]).collect();
        let scores =
            if self.relies_on_live_weights() { relative_to_largest(&inputs) } else { saturated(&inputs) };
        if table == Table::Load && (self.load_is_fresh || self.live_weights) {
            self.update_headroom();
        }
        let mut new = old.clone();
        window_step(&mut new, &scores, part, silent_part);
        for (at, (new, old)) in new.into_iter().zip(old).enumerate() {
            let id = self.subset[at];
            // A restarted server at most doubles its share in a window.
            let is_cold = self.warmth(now, id) < 1.0;
            let pheromone = if is_cold { new.min(2.0 * old) } else { new };
            self.servers[id.0 as usize].pheromone[table as usize] = pheromone;
        }
    }

    /// How long an answer keeps a server among those that answered lately. Departs from the paper for
    /// instances with few requests: a server is silent only once it could have been sent a few.
    fn silence_horizon(&self) -> Span {
        let requests = self.subset.len() as f64 * REQUESTS_BEFORE_SILENCE;
        MAX_WINDOW.max(self.request_interval().times(requests))
    }

    /// The mean time between own requests. The time between sends would grow without bound while all are
    /// refused.
    fn request_interval(&self) -> Span {
        let age = self.started_at.map_or(0, |started_at| (self.window_started - started_at).0);
        Span(age / self.requests.max(1))
    }

    /// The figure of one server for a table, if it answered lately.
    fn pheromone_input(&self, now: Time, id: ServerId, table: Table) -> Option<f64> {
        let server = self.server(id);
        let lately = |at: Time| now - at <= self.silence_horizon();
        let weight_is_new = table == Table::Load && self.live_weights && lately(server.weight_updated_at);
        let answered = weight_is_new || server.last_ok.is_some_and(lately);
        if !answered || server.failure_count > 0 {
            return None;
        }
        Some(match table {
            Table::Load if self.live_weights => self.load_with_request(server),
            Table::Load => self.load_of(server) / self.relative_size(server),
            Table::Delay => server.mean_delay.or(self.mean_delay).unwrap_or(0.0),
        })
    }

    /// Departs from the paper where loads are known: a share is multiplied by the headroom that is left. A
    /// raised pheromone falls only as others rise, so a server that was just filled would keep its share. Old
    /// reports count less.
    fn update_headroom(&mut self) {
        let mut load_sum = 0.0;
        let mut weight_sum = 0.0;
        let mut freshest = 0.0_f64;
        for server in self.subset.iter().map(|id| self.server(*id)) {
            let freshness = self.report_freshness(server);
            load_sum += freshness * self.load_of(server);
            weight_sum += freshness;
            freshest = freshest.max(freshness);
        }
        let mean_load = load_sum / weight_sum.max(1e-9);
        let sharpness = if self.relies_on_live_weights() { LOAD_SHARPNESS_STALE } else { LOAD_SHARPNESS };
        let headroom = |server: &Server| {
            let free =
                if mean_load > 0.0 { (-sharpness * self.load_of(server) / mean_load).exp() } else { 1.0 };
            free * self.report_freshness(server) * self.relative_size(server)
        };
        let headrooms: Vec<f64> = self.subset.iter().map(|id| headroom(self.server(*id))).collect();
        let least = MIN_HEADROOM.max(1.0 - freshest) / headrooms.len() as f64;
        for (id, headroom) in self.subset.iter().zip(headrooms) {
            self.servers[id.0 as usize].headroom = headroom.max(least).max(f64::MIN_POSITIVE);
        }
    }

    /// Whether live weights of this server stopped while it was busy, with no answer from it since.
    fn reports_stopped(&self, now: Time, server: &Server) -> bool {
        let Some(interval) = self.weight_interval else { return false };
        let no_answer_since =
            server.last_ok.is_none_or(|at| (at - server.weight_updated_at).as_f64() < interval);
        let weight_age = (now - server.weight_updated_at).as_f64();
        server.reported_outstanding > 0.0
            && no_answer_since
            && weight_age > MISSED_REPORT_INTERVALS * interval
    }

    /// Computes the shares of the draw anew.
    fn refresh_shares(&mut self, now: Time) {
        let warmth = |id: &ServerId| self.warmth(now, *id);
        let capacity = |id: &ServerId| warmth(id) * self.relative_size(self.server(*id));
        self.warm_capacity = WarmCapacity {
            total: self.subset.iter().map(capacity).sum(),
            any_warm: self.subset.iter().any(|id| warmth(id) >= 1.0),
        };
        let mut sum = 0.0;
        let mut cumulative = std::mem::take(&mut self.cumulative_shares);
        cumulative.clear();
        for id in &self.subset {
            sum += self.share(self.server(*id));
            cumulative.push(sum);
        }
        self.cumulative_shares = cumulative;
    }

    /// The weight of a server in the draw.
    fn share(&self, server: &Server) -> f64 {
        let zone = if server.zone == self.settings.zone { 1.0 } else { self.remote_zone_factor };
        let trust = (1.0 - server.error_doubt).powi(2);
        let [load, delay] = server.pheromone;
        let blend = (1.0 - ALPHA) * delay + ALPHA * load;
        zone * server.headroom * trust * blend
    }

    /// Departs from the paper where messages are allowed: the load counts the attempts of all instances that
    /// use a server. A change is reported at once to the peers that use the server too, and the whole subset
    /// at intervals to all peers.
    fn report_to_peers(&mut self, now: Time, todo: &mut Vec<Action>) {
        let servers = &self.servers;
        let entry = |id: &ServerId| {
            let server = &servers[id.0 as usize];
            peer_reports::encode_entry(server.global_id, server.in_flight)
        };
        let full_report_due = self.last_full_report.is_none_or(|at| now - at >= FULL_REPORT_INTERVAL);
        if full_report_due && !self.subset.is_empty() {
            let data = self.subset.iter().take(MAX_MESSAGE_BYTES / ENTRY_BYTES).flat_map(entry).collect();
            todo.push(Action::SendToPeers { peer: None, data });
            self.last_full_report = Some(now);
        }
        let changed = std::mem::take(&mut self.changed_servers);
        for (peer, shared) in self.peer_reports.peers_sharing(&changed) {
            let data: Vec<u8> = shared.iter().flat_map(entry).collect();
            if self.peer_credit >= data.len() as f64 {
                self.peer_credit -= data.len() as f64;
                todo.push(Action::SendToPeers { peer: Some(peer), data });
            }
        }
    }

    /// Probes that one request pays for, where reports count the requests at a server.
    fn probes_per_request(&self) -> f64 {
        if !self.settings.limits.probes || !self.reports_count_requests {
            return 0.0;
        }
        PROBE_BUDGET / self.settings.prices.probe.max(PROBE_BUDGET / 100.0)
    }

    /// Starts a probe round for a request that finds the window old. Whether the request has to wait for a
    /// round.
    fn join_probe_round(&mut self, now: Time, class: u32, todo: &mut Vec<Action>) -> bool {
        let wait = self.probe_round_wait(class);
        let window_is_old = now - self.window_started > wait;
        let may_start = !self.probe_round_open && self.probes_in_flight == 0;
        if self.probes_per_request() >= 1.0 && may_start && window_is_old {
            self.send_probes(now, todo);
            self.probe_round_open = self.probes_in_flight > 0;
            if self.probe_round_open {
                todo.push(Action::Timer { token: PROBE_ROUND_TIMER, delay: wait });
            }
        }
        self.probe_round_open
    }

    fn probe_round_wait(&self, class: u32) -> Span {
        self.class(class).map_or(self.window, |class| class.aim.times(PROBE_WAIT_AIM_SHARE))
    }

    fn finish_probe_round(&mut self, now: Time, todo: &mut Vec<Action>) {
        self.probe_round_open = false;
        self.close_window(now, todo);
        self.retry_queued(now, usize::MAX, todo);
    }

    /// Probes servers in rotation, as many as it takes to find an idle one and as one request pays for.
    fn send_probes(&mut self, now: Time, todo: &mut Vec<Action>) {
        // By the share of probed servers that were busy lately, one of this many is idle.
        let enough = (PROBE_MISS_CHANCE.ln() / self.busy_share.clamp(0.01, 0.99).ln()).ceil();
        let probes = enough.min(self.probes_per_request().floor()).min(self.subset.len() as f64);
        if probes < 1.0 || self.probe_credit < probes {
            return;
        }
        self.probe_credit = (self.probe_credit - probes).min(2.0 * probes);
        let mut probes_left = probes as u32;
        for _ in 0..self.subset.len() {
            if probes_left == 0 {
                break;
            }
            self.last_probed = (self.last_probed + 1) % self.subset.len();
            let id = self.subset[self.last_probed];
            let free = |server: &&mut Server| server.probe_sent_at.is_none() && server.excluded_until <= now;
            if let Some(server) = self.server_mut(id).filter(free) {
                server.probe_sent_at = Some(now);
                probes_left -= 1;
                self.probes_in_flight += 1;
                todo.push(Action::Probe { server: id });
            }
        }
    }

    /// Draws a server by the shares among those eligible: of the whole subset, or of the first servers for
    /// the key. A repeat that is bound to a group may also go to a server outside the subset, which draws
    /// with the mean share.
    fn draw_server(&mut self, now: Time, selection: Selection) -> Option<ServerId> {
        let candidates = if selection.scope.is_some() { self.listed.len() } else { self.subset.len() };
        let mut ranks: Vec<usize> = (0..candidates).collect();
        let mut from = 0;
        let mut to = candidates;
        if let (Some(key), None) = (selection.key, selection.scope) {
            to = self.servers_for_key(key);
            ranks.sort_by_cached_key(|rank| mix64(key ^ self.server(self.listed[*rank]).global_id));
        }
        // Each round without an eligible server doubles the number of servers looked at.
        while from < candidates {
            let drawn = self.draw_among(now, &ranks[from..to.min(candidates)], selection);
            if drawn.is_some() {
                return drawn;
            }
            from = to;
            to *= 2;
        }
        None
    }

    /// Draws one of the eligible servers among those at these ranks of the order of use.
    fn draw_among(&mut self, now: Time, ranks: &[usize], selection: Selection) -> Option<ServerId> {
        let mut eligible: Vec<(ServerId, f64)> = Vec::new();
        let mut sum = 0.0;
        for rank in ranks {
            let id = self.listed[*rank];
            if self.is_eligible(now, id, selection) {
                sum += self.share_at(*rank);
                eligible.push((id, sum));
            }
        }
        let (last, _) = *eligible.last()?;
        let drawn = self.rng.0.random::<f64>() * sum;
        let hit = eligible.iter().find(|(_, cumulative)| drawn < *cumulative);
        Some(hit.map_or(last, |(id, _)| *id))
    }

    /// The share of the server at a rank of the order of use; the mean share outside the subset.
    fn share_at(&self, rank: usize) -> f64 {
        let used = self.subset.len();
        match self.cumulative_shares.get(rank) {
            Some(upper) if rank > 0 => upper - self.cumulative_shares[rank - 1],
            Some(upper) => *upper,
            None => self.cumulative_shares[used - 1] / used as f64,
        }
    }

    /// How many servers draw for a key. Departs from the paper where servers do less work for a key that they
    /// served lately: the draw is among the first servers of an order of the key's own, the same at all
    /// instances, as many as the key's share of the traffic fills.
    fn servers_for_key(&self, key: u64) -> usize {
        let traffic = self.key_popularity.traffic_share(key);
        (MIN_SERVERS_PER_KEY + KEY_SPREAD_FACTOR * traffic * self.subset.len() as f64) as usize
    }

    /// Departs from the paper where opening connections costs or loads are reported to peers: a balancer uses
    /// a subset of the servers, a larger one the more it sends, and others in place of silent ones.
    fn update_subset(&mut self, gap: Span) {
        self.update_send_rate(gap);
        let wanted = self.subset_size();
        // Shrinks only to less than half, so that the subset does not change with each window.
        if wanted > self.subset_target || wanted < self.subset_target / 2.0 {
            self.subset_target = wanted;
        }
        let mut left = self.subset_target;
        let fits = |id: &&ServerId| {
            left -= f64::from(self.server(**id).failure_count == 0);
            left >= 0.0
        };
        let size = self.listed.iter().take(2 * self.subset_target as usize).take_while(fits).count();
        if size != self.subset.len() {
            self.resize_subset(size);
        }
    }

    fn update_send_rate(&mut self, gap: Span) {
        let SendRate { smoothed, peak, counted_sends } = self.send_rate;
        let weight = 1.0 - (-gap.as_f64() / SEND_RATE_RISE.as_f64()).exp();
        let rate = (self.sends - counted_sends) as f64 / gap.as_f64().max(1.0);
        let smoothed = smoothed + weight * (rate - smoothed);
        let decayed_peak = peak * (-gap.as_f64() / SEND_RATE_PEAK_DECAY.as_f64()).exp();
        self.send_rate = SendRate { smoothed, peak: decayed_peak.max(smoothed), counted_sends: self.sends };
    }

    /// The number of servers to use at the peak of the send rate.
    fn subset_size(&self) -> f64 {
        let rate = self.send_rate.peak;
        let for_in_flight = rate * self.min_mean_delay * SUBSET_PER_IN_FLIGHT;
        // Each of `n` servers finds its connection closed with a chance of exp(-rate * idle / n).
        let idle = self.settings.limits.conn_idle.as_f64();
        let handshake_cost = self.settings.prices.handshake / CONNECTION_BUDGET;
        let for_connections =
            if handshake_cost > 1.0 { rate * idle / handshake_cost.ln() } else { f64::INFINITY };
        let for_peers =
            if self.reports_to_peers { for_in_flight * SUBSET_PER_IN_FLIGHT } else { f64::INFINITY };
        let all = self.listed.len() as f64;
        for_connections.min(for_peers).max(MIN_SUBSET).max(for_in_flight).min(all).ceil()
    }

    /// Uses the first `size` servers. Those that enter start at the mean share.
    fn resize_subset(&mut self, size: usize) {
        self.subset = self.listed[..size].to_vec();
        let mean = 1.0 / size as f64;
        let or_mean = |pheromone: f64| if pheromone > 0.0 { pheromone } else { mean };
        for (rank, id) in self.listed.iter().enumerate() {
            let server = &mut self.servers[id.0 as usize];
            server.pheromone = if rank < size { server.pheromone.map(or_mean) } else { [0.0; 2] };
        }
    }

    /// The order in which this balancer uses the listed servers: from its own start in the order of their
    /// global ids in growing steps, so that all balancers together cover them evenly and few use the same
    /// ones.
    fn preference_order(&self, mut ring: Vec<ServerId>) -> Vec<ServerId> {
        let zones_matter = self.settings.prices.cross_zone > CROSS_ZONE_HALVING_PRICE;
        let is_remote = |id: &ServerId| zones_matter && self.server(*id).zone != self.settings.zone;
        ring.sort_unstable_by_key(|id| (is_remote(id), self.server(*id).global_id));
        let local_count = ring.partition_point(|id| !is_remote(id));
        let (local, remote) = ring.split_at(local_count);
        let mut local = self.order_in_ring(local).into_iter();
        let mut remote = self.order_in_ring(remote).into_iter();
        // One of another zone after every few of the own: a zone may lack capacity.
        let mut order = Vec::with_capacity(ring.len());
        while order.len() < ring.len() {
            order.extend(local.by_ref().take(LOCAL_SERVERS_PER_REMOTE));
            order.extend(remote.next());
        }
        order
    }

    /// The order of use within one ring of servers.
    fn order_in_ring(&self, ring: &[ServerId]) -> Vec<ServerId> {
        let len = ring.len();
        let instances = u64::from(self.settings.instance_count.max(1));
        let start = (u64::from(self.settings.instance_index) * len as u64 / instances) as usize;
        // Instances that report to each other keep to neighbours, so that few share servers with each.
        let square_steps = if self.reports_to_peers { 0 } else { len / 2 };
        let steps = (0..square_steps).map(|step| step * step).chain(0..len);
        let mut taken = vec![false; len];
        let mut order = Vec::with_capacity(len);
        for step in steps {
            let position = (start + step) % len;
            if !taken[position] {
                taken[position] = true;
                order.push(ring[position]);
            }
        }
        order
    }

    /// Whether a server may get a request now. All filters on the draw are here.
    fn is_eligible(&mut self, now: Time, id: ServerId, selection: Selection) -> bool {
        let server = self.server(id);
        let in_scope = selection.scope.is_none_or(|scope| scope.contains(server));
        // After a failure one attempt at a time tries the server again.
        let trusted = server.failure_count == 0 || server.in_flight == 0;
        let probe_in_time = server.probe_sent_at.is_none_or(|sent_at| now - sent_at <= self.window);
        let available = server.state == State::Ready
            && in_scope
            && selection.exclude != Some(id)
            && server.excluded_until <= now
            && trusted
            && probe_in_time
            && !self.is_overloaded(now, server, selection);
        // The cold budget comes last: asking for it may draw a random number.
        available && self.cold_budget_allows(now, id)
    }

    /// Whether a server is busy and expected to answer too late.
    fn is_overloaded(&self, now: Time, server: &Server, selection: Selection) -> bool {
        // Late loads are left to the shares.
        if self.relies_on_live_weights() {
            return false;
        }
        // An idle server always has headroom: a service time mistaken for too long once had everything
        // refused for good.
        let idle_load = if self.load_is_fresh || self.live_weights { 1.0 } else { 0.5 };
        let load = self.load_of(server);
        load >= idle_load && self.would_answer_late(now, load, self.relative_size(server), selection)
    }

    /// Whether a server with this load is expected to answer too late, behind the requests that it has. The
    /// tightest class binds all classes: one with a long aim would otherwise fill servers until no other
    /// fits.
    fn would_answer_late(&self, now: Time, load: f64, size: f64, selection: Selection) -> bool {
        let service_time = self.service_time(now, selection.class as usize);
        // Before the first answers nothing is known: all instances once filled the servers with their first
        // requests.
        if service_time.is_none() && self.reports_to_peers {
            return true;
        }
        let service_time = service_time.unwrap_or(0.0);
        let work = selection.work.map_or(service_time, |work| work.as_f64().max(service_time));
        let expected_delay = (load * service_time + work) / size;
        let longest_delay = selection.time_left.as_f64() * self.max_wait_share;
        expected_delay > longest_delay || (1.0 + load) / size > self.load_limit
    }

    /// Records how an attempt ended, and the service time of its class. Timed-out attempts count too: the
    /// served ones alone are the short ones.
    fn record_outcome(&mut self, now: Time, id: RequestId, attempt: Attempt, status: Status, latency: Span) {
        let Some(open) = self.open.get_mut(&id) else { return };
        let Some(sent) = open.attempts.get_mut(attempt.0 as usize) else { return };
        sent.status = Some(status);
        let load_ahead = sent.load_ahead;
        let in_time = status == Status::Ok && now - open.arrived_at <= open.aim;
        if !matches!(status, Status::Ok | Status::Timeout) {
            return;
        }
        let Some(service_time) = self.service_times.get_mut(open.class as usize) else { return };
        self.timely_share = ewma(Some(self.timely_share), f64::from(in_time), EWMA_WEIGHT);
        service_time.samples = service_time.samples.saturating_add(1);
        // Instances with few requests forget by time: service times of an overload once lasted for half a
        // minute after it.
        let age = now - service_time.updated_at;
        let forgotten = 1.0 - (-age.as_f64() / FORGET_AFTER.as_f64()).exp();
        let weight = SLOW_EWMA_WEIGHT.max(1.0 / f64::from(service_time.samples)).max(forgotten);
        let sample = (latency.as_f64().max(1.0) / (1.0 + load_ahead)).ln();
        service_time.log_mean += weight * (sample - service_time.log_mean);
        service_time.updated_at = now;
    }

    /// The service time of a class in microseconds, if it has enough samples and the last is recent: requests
    /// that are refused bring no new ones.
    fn service_time(&self, now: Time, class: usize) -> Option<f64> {
        let service_time = self.service_times.get(class)?;
        let class = self.settings.classes.get(class)?;
        let few_requests = self.request_interval().times(f64::from(MIN_SERVICE_TIME_SAMPLES));
        let valid_for = class.aim.times(SERVICE_TIME_VALID_AIMS).max(few_requests);
        let is_known = service_time.samples >= MIN_SERVICE_TIME_SAMPLES;
        let is_recent = now - service_time.updated_at < valid_for;
        (is_known && is_recent).then(|| service_time.log_mean.exp().max(1.0))
    }

    /// The part of its capacity that a server surely has by now.
    fn warmth(&self, now: Time, id: ServerId) -> f64 {
        let started_at = self.server(id).started_at;
        let Safety { cold, cold_from, .. } = self.settings.safety;
        let age = now - started_at;
        if started_at == Time(0) || age >= cold {
            return 1.0;
        }
        cold_from + (1.0 - cold_from) * age.as_f64() / cold.as_f64()
    }

    /// The cold budget: a cold server gets little more than its warmth's part of what a mean server accepts
    /// from this instance. As every balancer keeps to it, all together stay far below what overloads the
    /// server: what servers accept is bounded by what they can do. Earned by all sends, the budget grew with
    /// those that full servers rejected.
    fn cold_budget_allows(&mut self, now: Time, id: ServerId) -> bool {
        let warmth = self.warmth(now, id);
        if warmth >= 1.0 {
            return true;
        }
        let accepted_sends = self.accepted_sends;
        let WarmCapacity { total, any_warm } = self.warm_capacity;
        let capacity = warmth * self.relative_size(self.server(id));
        let earned = COLD_BUDGET_FACTOR * capacity / total.max(capacity);
        // Draws rarely fall on a server just when its credit is full: seen idle, it may get one request
        // ahead.
        let is_idle = self.reports_count_requests && self.load_of(self.server(id)) < 0.5;
        let may_advance = is_idle && self.rng.0.random::<f64>() < earned * self.subset.len() as f64 / 2.0;
        let Some(server) = self.server_mut(id) else { return false };
        let sends = (accepted_sends - server.cold_credit_mark) as f64;
        server.cold_credit = (server.cold_credit + sends * earned).min(COLD_BUDGET_BURST);
        server.cold_credit_mark = accepted_sends;
        // With no warm server at all, own sends alone would never fill the first budget: one at a time goes.
        server.cold_credit >= 1.0
            || (may_advance && server.cold_credit > 0.0)
            || (!any_warm && server.in_flight == 0)
    }

    /// Excludes servers that hang or are gone: those that answered nothing for several mean delays while an
    /// attempt was outstanding, and those whose reports stopped.
    fn detect_silent_servers(&mut self, now: Time, todo: &mut Vec<Action>) {
        let aim = tightest_aim(&self.settings);
        let Some(mean_delay) = self.mean_delay else { return };
        for rank in 0..self.subset.len() {
            let id = self.subset[rank];
            let reports_stopped = self.reports_stopped(now, self.server(id));
            let Some(server) = self.server_mut(id) else { continue };
            if reports_stopped && server.failure_count == 0 {
                server.record_failure(now, aim);
            }
            // Never within the tightest aim; and one long request is no sign yet where few are outstanding.
            let few_factor = 1.0 + 2.0 / f64::from(server.in_flight.max(1));
            let delay = server.mean_delay.unwrap_or(mean_delay).max(mean_delay);
            let limit = (SILENCE_DELAYS * few_factor * delay).max(aim.as_f64());
            if server.waiting_since.is_some_and(|since| (now - since).as_f64() > limit) {
                if server.failure_count == 0 {
                    let text = "no answer while attempts are outstanding; excluded from the draw".to_owned();
                    todo.push(Action::Log { server: Some(id), text });
                }
                server.record_failure(now, aim);
                server.waiting_since = Some(now);
            }
        }
    }

    /// Departs from the paper where two attempts may be outstanding and one may be cancelled: a small share
    /// of the requests is hedged, late.
    fn hedge_within_budget(&mut self, now: Time, id: RequestId, todo: &mut Vec<Action>) {
        if self.hedge_credit >= 1.0 && self.send_hedge(now, id, todo) {
            self.hedge_credit -= 1.0;
        }
    }

    /// Sends a hedged request while the only attempt is outstanding. Whether one was sent.
    fn send_hedge(&mut self, now: Time, id: RequestId, todo: &mut Vec<Action>) -> bool {
        let sends_before = self.sends;
        let one_outstanding = self.open.get(&id).is_some_and(|open| open.outstanding().count() == 1);
        if self.settings.limits.hedging && one_outstanding {
            self.dispatch(now, id, true, todo);
        }
        self.sends > sends_before
    }

    /// Goes on with a request after one of its attempts ended: cancels the others where the request is
    /// closed, tries again where none is outstanding.
    fn after_attempt(&mut self, now: Time, id: RequestId, request_closed: bool, todo: &mut Vec<Action>) {
        if request_closed {
            let open = self.open.remove(&id);
            if let Some(open) = open.filter(|_| self.settings.limits.cancellation) {
                let cancel = |(number, _)| Action::Cancel { id, attempt: Attempt(number as u32) };
                todo.extend(open.outstanding().map(cancel));
            }
        } else if self.open.get(&id).is_some_and(|open| open.outstanding().next().is_none()) {
            self.dispatch(now, id, false, todo);
        }
    }

    /// Sends a request without an outstanding attempt, queues it for a moment, or gives its final answer.
    /// Where `hedge` is set, sends a hedged request or does nothing.
    fn dispatch(&mut self, now: Time, id: RequestId, hedge: bool, todo: &mut Vec<Action>) {
        let Some(open) = self.open.get(&id) else { return };
        let Some(class) = self.class(open.class) else { return self.answer_unserved(id, todo) };
        let aim_at = open.arrived_at + class.aim;
        let last = if class.late_worth > 0.0 { open.deadline } else { aim_at.min(open.deadline) };
        let target = if now < aim_at { aim_at.min(last) } else { last };
        let out_of_attempts = open.retries_exhausted || open.attempts.len() as u32 >= open.max_attempts;
        let next = self.next_attempt(now, open, class.effect);
        let scope = match next {
            NextAttempt::Within(scope) => Some(scope),
            NextAttempt::Anywhere | NextAttempt::Forbidden => None,
        };
        let forbidden = matches!(next, NextAttempt::Forbidden);
        if now >= last || out_of_attempts || forbidden || open.streaming {
            if !hedge {
                self.answer_unserved(id, todo);
            }
            return;
        }
        let selection = Selection {
            time_left: target - now,
            class: open.class,
            work: open.work_hint,
            scope,
            key: open.key,
            exclude: open.attempts.last().map(|attempt| attempt.server),
        };
        // The time that a client still waits may be far less than the aim: requests queued past it were lost.
        let client_wait = open.deadline - open.arrived_at;
        let queue_until = open.arrived_at + class.aim.min(client_wait).times(QUEUE_AIM_SHARE);
        let first_attempt = open.attempts.is_empty();
        match self.draw_server(now, selection) {
            Some(server) => self.send(now, id, server, last, todo),
            None if hedge => {}
            None if first_attempt && now < queue_until && !self.subset.is_empty() => {
                self.enqueue(now, id, queue_until, todo);
            }
            None => self.answer_unserved(id, todo),
        }
    }

    /// Where the next attempt of a request may go, after those that may have run.
    fn next_attempt(&self, now: Time, open: &OpenRequest, effect: Effect) -> NextAttempt {
        match (open.binding_attempt(), effect) {
            (None, _) | (Some(_), Effect::Safe) => NextAttempt::Anywhere,
            (Some(_), Effect::Unsafe) => NextAttempt::Forbidden,
            (Some(first), Effect::Keyed { group, window }) => {
                if now + self.settings.tick < first.sent_at + window {
                    NextAttempt::Within(GroupScope::of(group, self.server(first.server)))
                } else {
                    NextAttempt::Forbidden
                }
            }
        }
    }

    /// Puts a request into the queue. It sets one timer, however often it comes back: a timer each time
    /// flooded the host.
    fn enqueue(&mut self, now: Time, id: RequestId, until: Time, todo: &mut Vec<Action>) {
        self.queue.push_back(id);
        if let Some(open) = self.open.get_mut(&id).filter(|open| !open.queue_timer_set) {
            open.queue_timer_set = true;
            todo.push(Action::Timer { token: QUEUE_TIMER, delay: until - now });
        }
    }

    fn send(&mut self, now: Time, id: RequestId, server_id: ServerId, until: Time, todo: &mut Vec<Action>) {
        self.sends += 1;
        self.accepted_sends += 1;
        let load_ahead = self.load_with_request(self.server(server_id)) - 1.0;
        if self.reports_to_peers {
            self.changed_servers.push(server_id);
        }
        if let Some(server) = self.server_mut(server_id) {
            server.attempt_started(now);
            server.cold_credit -= 1.0;
        }
        todo.push(Action::Send { id, server: server_id, until: Some(until) });
        let Some(open) = self.open.get_mut(&id) else { return };
        open.attempts.push(SentAttempt { server: server_id, sent_at: now, load_ahead, status: None });
        let Limits { hedging, cancellation, .. } = self.settings.limits;
        if hedging && cancellation && open.attempts.len() == 1 {
            let delay = open.aim.times(HEDGE_AIM_SHARE);
            todo.push(Action::Timer { token: Token(FIRST_HEDGE_TOKEN + id.0), delay });
            self.hedge_credit = (self.hedge_credit + HEDGES_PER_REQUEST).min(HEDGE_BURST);
        }
    }

    /// Records that the last attempt of a request went to `server`, where a host watches decisions made by
    /// another balancer.
    pub fn follow(&mut self, id: RequestId, server: ServerId) {
        let last = self.open.get_mut(&id).and_then(|open| open.attempts.last_mut());
        let Some(own_choice) = last.map(|last| std::mem::replace(&mut last.server, server)) else { return };
        let now = self.window_started;
        if let Some(server) = self.server_mut(own_choice) {
            server.attempt_withdrawn();
        }
        if let Some(server) = self.server_mut(server) {
            server.attempt_started(now);
        }
    }

    /// Gives the final answer of a request that will not be served: refused where a repeat does no harm, else
    /// failed.
    fn answer_unserved(&mut self, id: RequestId, todo: &mut Vec<Action>) {
        let Some(open) = self.open.remove(&id) else { return };
        let effect = self.class(open.class).map(|class| class.effect);
        let repeatable = matches!(effect, Some(Effect::Safe | Effect::Keyed { group: Group::All, .. }));
        if repeatable || open.binding_attempt().is_none() {
            let retry_after = self.settings.limits.retry_after.map(|longest| longest.min(self.window));
            todo.push(Action::Refuse { id, retry_after });
        } else {
            todo.push(Action::Fail { id });
        }
    }

    /// Departs from the paper where attempts miss their aim: some requests are shed at once, those of least
    /// worth first.
    fn admits(&mut self, class: u32) -> bool {
        let classes = || self.settings.classes.iter().filter(|class| !class.retired);
        let mean_worth = classes().map(|class| class.worth).sum::<f64>() / classes().count() as f64;
        let worth = self.class(class).map_or(0.0, |class| class.worth).max(0.01 * mean_worth);
        // Where no class has a worth all are alike: 0 over 0 had nine of ten requests refused.
        let worth_exponent = if mean_worth > 0.0 { mean_worth / worth } else { 1.0 };
        let tail = self.settings.tail;
        let timely_bar =
            if tail.share > 0.0 { (1.0 - 2.0 * tail.allowed_misses).max(0.01) } else { MIN_TIMELY_SHARE };
        let kept = (self.timely_share / timely_bar).powi(2).min(1.0).powf(worth_exponent).max(0.1);
        kept >= 1.0 || self.rng.0.random::<f64>() < kept
    }

    /// Tries queued requests again in their order: one after each answer, all of them once a window.
    fn retry_queued(&mut self, now: Time, limit: usize, todo: &mut Vec<Action>) {
        for _ in 0..self.queue.len().min(limit) {
            let Some(id) = self.queue.pop_front() else { return };
            self.dispatch(now, id, false, todo);
        }
    }

    fn on_members(&mut self, now: Time, kind: ListKind, entries: &[Member], todo: &mut Vec<Action>) {
        match kind {
            ListKind::Failed => {
                return self.discovery_calls.call_failed(now, &self.settings, &mut self.rng.0, todo);
            }
            ListKind::Cached => {}
            ListKind::Full | ListKind::Changes => self.discovery_calls.list_received(),
        }
        if kind != ListKind::Changes {
            for server in &mut self.servers {
                server.state = State::Removed;
            }
        }
        for entry in entries {
            self.update_member(now, entry);
        }
        let ids = (0..self.servers.len() as u32).map(ServerId);
        let ready = ids.filter(|id| self.server(*id).state == State::Ready).collect();
        self.listed = self.preference_order(ready);
        let with_global_ids = self.listed.iter().map(|id| (*id, self.servers[id.0 as usize].global_id));
        self.peer_reports.set_servers(with_global_ids);
        let sizes = || self.listed.iter().map(|id| self.server(*id).size).filter(|size| *size > 0.0);
        self.mean_size = sizes().sum::<f64>().max(f64::MIN_POSITIVE) / sizes().count().max(1) as f64;
        self.subset.clear();
        self.update_subset(Span(0));
        self.refresh_shares(now);
        self.retry_queued(now, usize::MAX, todo);
    }

    /// Applies one entry of a list.
    fn update_member(&mut self, now: Time, entry: &Member) {
        let at = entry.server.0 as usize;
        self.servers.resize(self.servers.len().max(at + 1), Server::default());
        // A random first credit: many instances that start together do not all send to a cold server at once.
        let cold_credit = self.rng.0.random::<f64>();
        let server = &mut self.servers[at];
        let is_replaced = entry.global_id != server.global_id;
        if entry.started_at > server.started_at || server.last_ok.is_none() || is_replaced {
            // New or restarted: what was known of an old process is void, and the server enters at the mean.
            *server = Server {
                started_at: entry.started_at,
                global_id: entry.global_id,
                last_ok: Some(now),
                size: if is_replaced { 0.0 } else { server.size },
                headroom: 1.0,
                in_flight: server.in_flight,
                probe_sent_at: server.probe_sent_at,
                cold_credit,
                cold_credit_mark: self.accepted_sends,
                ..Server::default()
            };
        }
        server.state = entry.state;
        server.zone = entry.zone;
        server.cell = entry.cell;
        let is_valid = entry.weight > 0.0 && entry.weight.is_finite();
        if is_valid && entry.weight != server.listed_weight {
            self.update_weight(now, at, entry.weight);
        }
    }

    /// Applies a changed weight. A live weight is the size over one more than the outstanding requests, so
    /// the largest one seen is the size.
    fn update_weight(&mut self, now: Time, at: usize, weight: f64) {
        let server = &mut self.servers[at];
        server.listed_weight = weight;
        server.size = if self.live_weights { server.size.max(weight) } else { weight };
        if self.live_weights && server.weight_updated_at > Time(0) {
            let interval = (now - server.weight_updated_at).as_f64();
            self.weight_interval = Some(ewma(self.weight_interval, interval, SLOW_EWMA_WEIGHT));
        }
        if self.live_weights && server.failure_count > 0 {
            server.clear_failures(now);
        }
        server.reported_outstanding = server.size / weight - 1.0;
        server.weight_updated_at = now;
        server.sent_since_report = 0.0;
    }
}

/// The tightest aim of the classes in use.
fn tightest_aim(settings: &Settings) -> Span {
    let classes = settings.classes.iter().filter(|class| !class.retired);
    classes.map(|class| class.aim).min().unwrap_or(SECOND)
}

/// Maps figures to scores from 0 to 1 that saturate above their mean, see `LOAD_SHARPNESS`; the largest score
/// is 1. All are 0 where the mean is 0.
pub fn saturated(figures: &[Option<f64>]) -> Vec<Option<f64>> {
    let known = || figures.iter().flatten();
    let mean = known().sum::<f64>() / known().count().max(1) as f64;
    let score = |figure: f64| if mean > 0.0 { 1.0 - (-LOAD_SHARPNESS * figure / mean).exp() } else { 0.0 };
    let scores: Vec<Option<f64>> = figures.iter().map(|figure| figure.map(score)).collect();
    relative_to_largest(&scores)
}

/// Divides figures by the largest one; all are 0 where that is 0.
fn relative_to_largest(figures: &[Option<f64>]) -> Vec<Option<f64>> {
    let largest = figures.iter().flatten().copied().fold(0.0, f64::max);
    let relative = |figure: f64| if largest > 0.0 { figure / largest } else { 0.0 };
    figures.iter().map(|figure| figure.map(relative)).collect()
}

/// One window of one table: the pheromone of servers with a score rises by it, that of the others evaporates;
/// the sum is made one; each moves the given part of the way to its new value, and none stays below the
/// floor. Silent servers have a `silent_part` of their own, as their window is the longer one of
/// `silence_horizon`.
pub fn window_step(pheromone: &mut [f64], scores: &[Option<f64>], part: f64, silent_part: f64) {
    let updated = |(old, score): (&f64, &Option<f64>)| match score {
        Some(score) => old - (score - 1.0) * score.exp() * (1.0 - old),
        None => old - RHO * old,
    };
    let new: Vec<f64> = pheromone.iter().zip(scores).map(updated).collect();
    let new_sum = new.iter().sum::<f64>();
    let old_sum = pheromone.iter().sum::<f64>();
    if pheromone.is_empty() || new_sum <= 0.0 || old_sum <= 0.0 {
        return;
    }
    let floor = PHEROMONE_FLOOR / pheromone.len() as f64;
    for ((value, new), score) in pheromone.iter_mut().zip(new).zip(scores) {
        let old = *value / old_sum;
        let part = if score.is_some() { part } else { silent_part };
        *value = (old + part * (new / new_sum - old)).max(floor);
    }
    let sum: f64 = pheromone.iter().sum();
    for value in pheromone {
        *value /= sum;
    }
}
