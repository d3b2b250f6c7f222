//! Every decision of the balancer. Its interface (settings, events, actions) stands in `src/api.rs`.
//!
//! The ordinary path is that of "SoCCeR: Services over Content-Centric Routing" (section 3): load and delay
//! pheromones of each server, and draws from their blend. `docs/design.md` says what was kept and changed.

use crate::api::*;
use crate::discovery_calls::{DISCOVERY_TIMER, DiscoveryCalls};
use crate::key_popularity::{KeyPopularity, mix64};
use crate::peer_reports::{self, MAX_MESSAGE_BYTES, PeerReports};
use crate::statistics::{SeededRng, ServiceTime, ewma};
use rand::Rng;
use rustc_hash::FxHashMap;
use std::collections::VecDeque;

/// Weight of the load pheromone in the blend; the paper's alpha.
const ALPHA: f64 = 0.8;
/// Part of its pheromone that a server not heard from loses in a window.
const RHO: f64 = 0.2;
/// No pheromone falls below this part of the mean one, so that no server is forgotten.
const PHEROMONE_FLOOR: f64 = 0.01;
/// Windows in the tightest aim: loads must be seen several times while a request can still be served in time.
const WINDOWS_PER_AIM: f64 = 4.0;
/// The paper's window: the longest here, and how long an answer keeps a server among those heard from.
const SECOND: Span = Span(1_000_000);
/// Windows over which shares close most of their gap, where loads are known afresh and where they are not.
const SETTLE_WINDOWS_FRESH: f64 = 0.2;
const SETTLE_WINDOWS_STALE: f64 = 4.5;
/// How often a server could have been asked, in the mean, before its silence counts.
const REQUESTS_BEFORE_SILENCE: f64 = 3.0;
/// How sharply a load above the mean counts (`saturated`): idle and busy servers stay apart under one crowded one.
const LOAD_SHARPNESS: f64 = 4.0;
/// The same for the room left where loads are told late: all act on the same figure until the next.
const LOAD_SHARPNESS_STALE: f64 = 0.7;
/// Reports of a busy server that are this many rounds late have stopped.
const MISSED_REPORT_INTERVALS: f64 = 2.5;
/// What a failed attempt leaves of the trust in a server, and an answer of the doubt.
const ERROR_DOUBT: f64 = 0.5;
/// Seconds after which all instances are told anew.
const FULL_REPORT_INTERVAL_S: f64 = 10.0;
/// Where crossing zones is dear: servers of the own zone for each of another, among those used.
const LOCAL_SERVERS_PER_REMOTE: usize = 2;
/// Parts of the result that messages, probes and connections (open ones, and opening them) may cost.
const PEER_MESSAGE_BUDGET: f64 = 0.012;
const PROBE_BUDGET: f64 = 0.03;
const CONNECTION_BUDGET: f64 = 0.006;
/// The chance that none of the servers probed by a look is idle.
const PROBE_MISS_CHANCE: f64 = 0.1;
/// What all servers without known room draw together, against an idle one.
const MIN_HEADROOM: f64 = 0.1;
/// A request that finds the window this part of its aim old has servers probed, and waits as long at most.
const PROBE_WAIT_AIM_SHARE: f64 = 0.02;
/// Weight of a new figure in smoothed delays and service times.
const EWMA_WEIGHT: f64 = 0.1;
/// The same for turns, whose spread is wide: a few heavy ones must not have a class refused.
const SLOW_EWMA_WEIGHT: f64 = 0.03;
/// A server is suspected when nothing came from it for this many mean delays while an attempt was out.
const SILENCE_DELAYS: f64 = 3.0;
/// How much more than a mean server's work, times its warmth, a cold one may get, and how much at once.
const COLD_BUDGET_FACTOR: f64 = 1.25;
const COLD_BUDGET_BURST: f64 = 1.5;
/// Where few servers are used: the least of them, those for each attempt out, by a slow rate.
const MIN_SUBSET: f64 = 2.0;
const SUBSET_PER_IN_FLIGHT: f64 = 2.0;
const SEND_RATE_RISE: Span = Span(2_000_000);
const SEND_RATE_PEAK_DECAY: Span = Span(20_000_000);
/// The price of crossing zones at which servers of other zones draw half as much.
const CROSS_ZONE_HALVING_PRICE: f64 = 0.01;
/// Answers that tell the turn of a class, and the aims for which the last of them is believed.
const MIN_SERVICE_TIME_SAMPLES: u32 = 10;
const SERVICE_TIME_VALID_AIMS: f64 = 4.0;
/// A server gets a request only if it is thought to answer within this part of the time left.
const MAX_WAIT_SHARE: f64 = 0.45;
/// The same where instances tell each other their attempts: what is exact bears no long queues.
const MAX_WAIT_SHARE_PEERS: f64 = 0.12;
/// Part of a class's aim that a request may wait here before it is sent.
const QUEUE_AIM_SHARE: f64 = 0.03;
/// Requests are shed where a smaller part of the attempts than this is answered in time.
const MIN_TIMELY_SHARE: f64 = 0.85;
const WINDOW_TIMER: Token = Token(1);
const QUEUE_TIMER: Token = Token(3);
const PROBE_ROUND_TIMER: Token = Token(4);
/// Second copies of a request are due by tokens from this one on.
const FIRST_HEDGE_TOKEN: u64 = 16;
/// The part of its aim after which a request gets a second copy, the part that may, and how many at once.
const HEDGE_AIM_SHARE: f64 = 0.5;
const HEDGES_PER_REQUEST: f64 = 0.1;
const HEDGE_BURST: f64 = 10.0;
/// Servers that draw for a key at the least, and those for its part of the traffic, against all servers.
const MIN_SERVERS_PER_KEY: f64 = 2.0;
const KEY_SPREAD_FACTOR: f64 = 1.5;
/// What is known of one server.
#[derive(Clone, Debug, Default)]
struct Server {
    state: State,
    started_at: Time,
    /// Its weight as last listed, the size in that; by live weights the requests held, and when that was new.
    listed_weight: f64,
    size: f64,
    reported_outstanding: f64,
    weight_updated_at: Time,
    zone: u32,
    cell: u32,
    pheromone: [f64; 2],
    /// Factor on the share: the room it has left.
    headroom: f64,
    /// Last reported requests in hand, and those we sent since that report was made.
    reported_load: Option<f64>,
    reported_at: Time,
    sent_since_report: f64,
    util: f64,
    /// Our own attempts out, and those that other instances told of.
    in_flight: u32,
    peers_in_flight: u32,
    in_subset: bool,
    global_id: u64,
    mean_delay: Option<f64>,
    last_ok: Option<Time>,
    waiting_since: Option<Time>,
    /// Times in a row that it was silent or out of reach, and until when it is left out for that.
    failure_count: u32,
    excluded_until: Time,
    /// Doubt in what it does with attempts, from 0 to 1: errors raise it, answers and time lower it.
    error_doubt: f64,
    probe_sent_at: Option<Time>,
    /// Cold budget, and the count of accepted sends up to which it was filled.
    cold_credit: f64,
    cold_credit_mark: i64,
}

impl Server {
    /// Holds one more of our attempts, or one less.
    fn count_in_flight(&mut self, now: Time, more: bool) {
        self.in_flight = if more { self.in_flight + 1 } else { self.in_flight.saturating_sub(1) };
        self.sent_since_report += if more { 1.0 } else { -1.0 };
        let waiting = self.waiting_since;
        self.waiting_since =
            if more { waiting.or(Some(now)) } else { waiting.filter(|_| self.in_flight > 0) };
    }

    /// Keeps away for a while that doubles with each strike, up to 32 aims: a hang outlasts many aims.
    fn record_failure(&mut self, now: Time, aim: Span) {
        self.failure_count += 1;
        self.excluded_until = now + Span(aim.0 << self.failure_count.min(5));
    }
}

/// An attempt of an open request.
#[derive(Clone, Copy, Debug)]
struct SentAttempt {
    server: ServerId,
    at: Time,
    ahead: f64,
    ended: Option<Status>,
}

/// A request that is owed an answer.
#[derive(Clone, Debug, Default)]
struct OpenRequest {
    class: u32,
    hint: Option<Span>,
    key: Option<u64>,
    aim: Span,
    /// Attempts that it may have.
    most: u32,
    arrived: Time,
    deadline: Time,
    attempts: Vec<SentAttempt>,
    streaming: bool,
    spent: bool,
    timed: bool,
}

impl OpenRequest {
    /// The first attempt that is out or may have run: it binds all further ones.
    fn binding_attempt(&self) -> Option<&SentAttempt> {
        self.attempts.iter().find(|a| !a.ended.is_some_and(Status::never_ran))
    }
}

#[derive(Clone, Copy)]
struct Selection {
    within: Span,
    class: u32,
    work: Option<Span>,
    group: Option<(Group, u32)>,
    key: Option<u64>,
    not: Option<ServerId>,
}

/// One balancer: its tables, its open requests, its view of the servers.
#[derive(Default)]
pub struct Balancer {
    settings: Settings,
    rng: SeededRng,
    window: Span,
    counts_requests: bool,
    /// Weights tell the requests held, some time ago.
    live_weights: bool,
    /// Instances tell each other their attempts out at the few servers that each uses.
    reports_to_peers: bool,
    /// The mean time between two live weights of a server, where that is known.
    weight_interval: Option<f64>,
    /// Loads are known afresh: reports count requests, or other instances tell theirs.
    load_is_fresh: bool,
    servers: Vec<Server>,
    /// Listed servers that take new work, in the order in which this balancer uses them.
    listed: Vec<ServerId>,
    subset: Vec<ServerId>,
    /// Smoothed own sends a microsecond, their fading peak, the sends counted in; servers wanted for them.
    send_rate: (f64, f64, u64),
    subset_target: f64,
    cumulative_shares: Vec<f64>,
    open: FxHashMap<RequestId, OpenRequest>,
    key_popularity: KeyPopularity,
    queue: VecDeque<RequestId>,
    window_started: Time,
    /// Probes out that the window in hand waits for, and the requests that wait with it.
    probes_in_flight: u32,
    probe_round_open: bool,
    requests: u64,
    sends: u64,
    /// Own sends but those that never ran: they earn the cold budgets.
    accepted_sends: i64,
    started_at: Option<Time>,
    probe_credit: f64,
    probe_next: usize,
    /// Smoothed over the servers probed: the part that was busy, and their requests.
    busy_share: f64,
    typical_load: f64,
    /// Served answers, their smoothed delay and the least of that; by class one request's turn at a server.
    served_attempts: u32,
    mean_delay: Option<f64>,
    min_mean_delay: f64,
    service_times: Vec<ServiceTime>,
    /// Smoothed part of the attempts answered in time, of those answered or timed out; rises to 1 by itself.
    timely_share: f64,
    /// The most load behind which every class is still thought to be answered within its aim.
    load_limit: f64,
    peer_reports: PeerReports,
    peer_credit: f64,
    hedge_credit: f64,
    /// Servers with another number of own attempts out than was told, and when all were told last.
    changed_servers: Vec<ServerId>,
    last_full_report: Option<Time>,
    remote_zone_factor: f64,
    /// The part of the time left within which a server must be thought to answer.
    max_wait_share: f64,
    /// What the servers have of their capacity in all, and whether any has all of it, as of the last window.
    warm_capacity: (f64, bool),
    mean_size: f64,
    discovery_calls: DiscoveryCalls,
}

impl Balancer {
    /// A balancer that knows nothing but its settings and its seed.
    pub fn new(set: Settings, seed: u64) -> Balancer {
        let (rng, load_limit, warm_capacity) = (SeededRng::new(seed), f64::MAX, (1.0, false));
        let (busy_share, typical_load, timely_share, mean_size, rest) =
            (0.5, 0.5, 1.0, 1.0, Balancer::default());
        let mut new = Balancer {
            rng,
            load_limit,
            warm_capacity,
            busy_share,
            typical_load,
            timely_share,
            mean_size,
            ..rest
        };
        new.apply_settings(set);
        new
    }

    /// Takes up settings. All that follows from them is derived here, at the start and later.
    fn apply_settings(&mut self, set: Settings) {
        let aim = tightest_aim(&set);
        let counts = |f: &Field| matches!(f, Field::Inflight | Field::Queue);
        // What probes alone bring is as old as the report's period: asking anew brings the same again.
        self.counts_requests = set.reports == Reports::InAnswers && set.fields.iter().any(counts);
        self.reports_to_peers = set.limits.peer_messages && set.instance_count > 1 && !self.counts_requests;
        self.window = aim.times(1.0 / WINDOWS_PER_AIM).max(set.tick).min(SECOND).max(Span(1));
        self.live_weights = set.weights == Weights::Live;
        self.load_is_fresh = self.counts_requests || self.reports_to_peers;
        self.service_times.resize(set.classes.len(), ServiceTime::default());
        self.max_wait_share = if self.reports_to_peers { MAX_WAIT_SHARE_PEERS } else { MAX_WAIT_SHARE };
        self.remote_zone_factor = 1.0 / (1.0 + set.prices.cross_zone / CROSS_ZONE_HALVING_PRICE);
        let retired = set.classes.iter().zip(&mut self.service_times).filter(|(class, _)| class.retired);
        retired.for_each(|(_, turn)| *turn = ServiceTime::default());
        self.settings = set;
    }

    /// Takes one event and adds what is to be done.
    pub fn on_event(&mut self, now: Time, event: Event<'_>, todo: &mut Vec<Action>) {
        if self.started_at.is_none() {
            (self.window_started, self.started_at) = (now, Some(now));
            let first = Span(self.rng.0.random_range(1..=self.window.0));
            todo.push(Action::Timer { token: WINDOW_TIMER, delay: first });
            let knows = matches!(event, Event::Members { entries: [_, ..], .. });
            self.discovery_calls.schedule_first(now, knows, &self.settings, &mut self.rng.0, todo);
        }
        match event {
            Event::Settings { set } => self.apply_settings(set.clone()),
            Event::Members { kind, entries } => self.on_members(now, kind, entries, todo),
            Event::Request { id, left, class, hint, key, .. } => {
                self.requests += 1;
                let key = key.filter(|_| self.settings.key_affinity);
                let aim = self.class(class).map_or(left, |c| c.aim);
                let (most, arrived, deadline) = (self.settings.limits.max_attempts, now, now + left);
                let rest = OpenRequest::default();
                self.open.insert(id, OpenRequest { class, hint, key, aim, most, arrived, deadline, ..rest });
                key.into_iter().for_each(|key| self.key_popularity.record(key));
                self.probe_credit += self.probes_per_request();
                self.peer_credit += MAX_MESSAGE_BYTES as f64 * PEER_MESSAGE_BUDGET
                    / self.settings.prices.peer.max(PEER_MESSAGE_BUDGET / 4.0);
                if now - self.window_started > self.probe_round_wait(class) && self.probes_per_request() < 1.0
                {
                    self.close_window(now, todo);
                }
                if !self.admits(class) {
                    self.answer_unserved(id, todo);
                // A request whose client soon leaves is not made to wait for a look.
                } else if left > self.probe_round_wait(class).times(4.0)
                    && self.join_probe_round(now, class, todo)
                {
                    self.queue.push_back(id);
                } else {
                    self.dispatch(now, id, false, todo);
                }
            }
            Event::ClientLeft { id } => drop(self.open.remove(&id)),
            Event::ResponseStarted { id, .. } => {
                self.open.get_mut(&id).into_iter().for_each(|o| o.streaming = true)
            }
            Event::AttemptFinished {
                id,
                attempt,
                status,
                request_closed: closed,
                retry_allowed: again,
                latency,
                server,
                load,
            } => {
                self.record_answer(now, server, status, Some(latency), load);
                self.record_outcome(now, id, attempt, status, latency);
                self.accepted_sends -= i64::from(status.never_ran());
                self.open.get_mut(&id).into_iter().for_each(|open| open.spent |= !again);
                self.on_attempt_finished(now, id, closed, todo);
                self.retry_queued(now, 1, todo);
            }
            // A server has nothing of a request that is still being written to it: its load and silence, and
            // the request's own time, begin with the last byte. Counted before, slow bodies had idle servers
            // refused.
            Event::Upload { id, server, finished: over } => {
                self.server_mut(server).into_iter().for_each(|s| s.count_in_flight(now, over));
                if let Some(open) = self.open.get_mut(&id).filter(|_| over) {
                    (open.deadline, open.arrived) = (open.deadline + (now - open.arrived), now);
                }
            }
            Event::HedgeDue { id } => drop(self.send_hedge(now, id, todo)),
            Event::ProbeFinished { server, status, load, .. } => {
                if let Some(s) = self.server_mut(server).filter(|s| s.probe_sent_at.is_some()) {
                    s.probe_sent_at = None;
                    self.probes_in_flight -= 1;
                }
                self.record_answer(now, server, status, None, load);
                if let (Status::Ok, [_, ..], Some(s)) = (status, load, self.servers.get(server.0 as usize)) {
                    let load = s.reported_load.unwrap_or(0.0);
                    self.busy_share = ewma(Some(self.busy_share), f64::from(load >= 0.5), SLOW_EWMA_WEIGHT);
                    self.typical_load = ewma(Some(self.typical_load), load, SLOW_EWMA_WEIGHT);
                }
                if self.probe_round_open && self.probes_in_flight == 0 {
                    self.finish_probe_round(now, todo);
                }
            }
            Event::Timer { token: WINDOW_TIMER } => {
                self.close_window(now, todo);
                todo.push(Action::Timer { token: WINDOW_TIMER, delay: self.window });
                self.retry_queued(now, usize::MAX, todo);
            }
            Event::Timer { token: PROBE_ROUND_TIMER } if self.probe_round_open => {
                self.finish_probe_round(now, todo)
            }
            Event::Timer { token: QUEUE_TIMER } => self.retry_queued(now, usize::MAX, todo),
            Event::Timer { token: DISCOVERY_TIMER } => {
                self.discovery_calls.on_timer(now, &self.settings, todo)
            }
            Event::Peer { from, data }
                if from < self.settings.instance_count && from != self.settings.instance_index =>
            {
                self.peer_reports.apply(now, from, data);
            }
            // Departure where two attempts may be out and called off: a few requests get one more, late.
            Event::Timer { token } if token.0 >= FIRST_HEDGE_TOKEN && self.hedge_credit >= 1.0 => {
                self.hedge_credit -=
                    f64::from(self.send_hedge(now, RequestId(token.0 - FIRST_HEDGE_TOKEN), todo));
            }
            Event::Peer { .. } | Event::Timer { .. } => {}
        }
        if self.reports_to_peers {
            self.report_to_peers(now, todo);
        }
    }

    /// How many listed servers get nothing new now. A question: it changes and draws nothing.
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

    /// Takes in an answer. Served requests and answered probes refresh figures; all else only evaporates.
    fn record_answer(
        &mut self,
        now: Time,
        id: ServerId,
        status: Status,
        latency: Option<Span>,
        load: &[f64],
    ) {
        let (mut inflight, mut util) = (None, None);
        for (field, value) in self.settings.fields.iter().zip(load).filter(|(_, v)| v.is_finite()) {
            match field {
                Field::Inflight => inflight = Some(*value),
                Field::Queue if inflight.is_none() => inflight = Some(*value),
                Field::Util => util = Some(*value),
                Field::Queue | Field::Other => {}
            }
        }
        let (window, aim, told, live) =
            (self.window, tightest_aim(&self.settings), self.reports_to_peers, self.live_weights);
        let Some(s) = self.servers.get_mut(id.0 as usize) else { return };
        if latency.is_some() {
            self.changed_servers.extend(told.then_some(id));
            s.in_flight = s.in_flight.saturating_sub(1);
        }
        // One that fails fast looks idle: undoubted, it drew the most.
        let failed = matches!(status, Status::Error | Status::Reset);
        if latency.is_some() && (failed || status == Status::Ok) {
            s.error_doubt =
                if failed { 1.0 - ERROR_DOUBT * (1.0 - s.error_doubt) } else { ERROR_DOUBT * s.error_doubt };
        }
        let silent = latency.is_some_and(|l| l >= aim && s.waiting_since.is_some_and(|t| now - t >= l));
        let unheard = status == Status::Timeout && (silent || latency.is_none());
        if status == Status::Ok {
            s.last_ok = Some(now);
        } else if unheard || status == Status::ConnectFailed {
            s.record_failure(now, aim);
        }
        let answered = latency.is_some() && matches!(status, Status::Ok | Status::Error | Status::Rejected);
        if answered {
            (s.failure_count, s.excluded_until, s.waiting_since) = (0, Time(0), Some(now));
        }
        s.waiting_since = s.waiting_since.filter(|_| s.in_flight > 0);
        if status == Status::Rejected {
            s.excluded_until = now + if live { aim } else { window };
            s.reported_load = s.reported_load.map(|r| r.max(f64::from(s.in_flight) + 1.0));
        }
        if status != Status::Ok {
            return;
        }
        s.util = util.map_or(s.util, |util| ewma(Some(s.util), util, EWMA_WEIGHT * 2.0));
        if let Some(value) = inflight {
            (s.reported_load, s.reported_at, s.sent_since_report) = (Some(value), now, 0.0);
        }
        if let Some(latency) = latency {
            s.mean_delay = Some(ewma(s.mean_delay, latency.as_f64(), EWMA_WEIGHT));
            self.served_attempts = self.served_attempts.saturating_add(1);
            let weight = SLOW_EWMA_WEIGHT.max(1.0 / f64::from(self.served_attempts));
            let delay = ewma(self.mean_delay, latency.as_f64(), weight);
            self.mean_delay = Some(delay);
            self.min_mean_delay =
                if weight > SLOW_EWMA_WEIGHT { delay } else { self.min_mean_delay.min(delay) };
        }
    }

    /// The load of a server: what was told of it with what we sent since, else what is out there.
    fn load_of(&self, s: &Server) -> f64 {
        match (self.counts_requests, s.reported_load) {
            (true, reported) => {
                let (known, fresh) =
                    (reported.unwrap_or(0.0) + s.sent_since_report, self.report_freshness(s));
                (self.typical_load + fresh * (known - self.typical_load)).max(f64::from(s.in_flight))
            }
            _ if self.relies_on_live_weights() => {
                s.reported_outstanding + s.sent_since_report.min(f64::from(s.in_flight))
            }
            _ => s.util + f64::from(s.in_flight + s.peers_in_flight),
        }
    }

    /// Loads are known from live weights alone, some time after.
    fn relies_on_live_weights(&self) -> bool {
        self.live_weights && !self.load_is_fresh
    }

    /// The size of a server against the mean one.
    fn relative_size(&self, s: &Server) -> f64 {
        if s.size > 0.0 { s.size / self.mean_size } else { 1.0 }
    }

    /// The turns of a mean server that a request would take here, its own among them.
    fn load_with_request(&self, s: &Server) -> f64 {
        (1.0 + self.load_of(s)) / self.relative_size(s)
    }

    /// How much the last report of a server still tells: in a mean delay it has had time to fill or to empty.
    fn report_freshness(&self, s: &Server) -> f64 {
        let turn = self.mean_delay.unwrap_or(tightest_aim(&self.settings).as_f64());
        if self.counts_requests {
            (-(self.window_started - s.reported_at).as_f64() / turn).exp()
        } else {
            1.0
        }
    }

    /// One window: every server heard from rises by its figures, the others evaporate, both at once.
    fn close_window(&mut self, now: Time, todo: &mut Vec<Action>) {
        let gap = now - self.window_started;
        self.window_started = now;
        self.servers.iter_mut().for_each(|s| s.peers_in_flight = 0);
        let add = |id: ServerId, n| self.servers[id.0 as usize].peers_in_flight += n;
        self.peer_reports.expire_and_visit(now, SECOND, SECOND.times(3.0 * FULL_REPORT_INTERVAL_S), add);
        self.detect_silent_servers(now, todo);
        self.update_subset(gap);
        let kept = (-gap.as_f64() / SECOND.times(f64::from(MIN_SERVICE_TIME_SAMPLES)).as_f64()).exp();
        self.servers.iter_mut().for_each(|s| s.error_doubt *= kept);
        self.timely_share += (1.0 - self.timely_share) * (1.0 - kept);
        let classes = self.settings.classes.iter().enumerate();
        let limits = classes
            .filter_map(|(n, c)| Some(self.max_wait_share * c.aim.as_f64() / self.service_time(now, n)?));
        self.load_limit = limits.fold(f64::MAX, f64::min);
        let settle = if self.load_is_fresh { SETTLE_WINDOWS_FRESH } else { SETTLE_WINDOWS_STALE };
        let part = 1.0 - (-gap.as_f64() / (self.window.as_f64() * settle)).exp();
        let silent_part = part.min(gap.as_f64() / self.silence_horizon().as_f64());
        for table in 0..2 {
            let figure: Vec<Option<f64>> =
                self.subset.iter().map(|id| self.pheromone_input(now, *id, table)).collect();
            let mut tau: Vec<f64> = self.subset.iter().map(|id| self.server(*id).pheromone[table]).collect();
            let old = tau.clone();
            let x =
                if self.relies_on_live_weights() { relative_to_largest(&figure) } else { saturated(&figure) };
            if table == 0 && (self.load_is_fresh || self.live_weights) {
                self.update_headroom();
            }
            window_step(&mut tau, &x, part, silent_part);
            for (at, (tau, old)) in tau.into_iter().zip(old).enumerate() {
                let cold = self.warmth(now, self.subset[at]) < 1.0;
                // A restarted server at most doubles its share in a window.
                let tau = if cold { tau.min(2.0 * old) } else { tau };
                self.servers[self.subset[at].0 as usize].pheromone[table] = tau;
            }
        }
        self.refresh_shares(now);
    }

    /// Departure for quiet balancers: a server is silent only after it could have been asked a few times.
    fn silence_horizon(&self) -> Span {
        SECOND.max(self.request_interval().times(self.subset.len() as f64 * REQUESTS_BEFORE_SILENCE))
    }

    /// The mean time between own requests; between sends it grew without end while all were refused.
    fn request_interval(&self) -> Span {
        Span(self.started_at.map_or(0, |born| (self.window_started - born).0) / self.requests.max(1))
    }

    /// The figure of one server for the load (0) or delay (1) table, if it was heard from lately.
    fn pheromone_input(&self, now: Time, id: ServerId, table: usize) -> Option<f64> {
        let s = self.server(id);
        let lately = |t: Time| now - t <= self.silence_horizon();
        let told = table == 0 && self.live_weights && lately(s.weight_updated_at);
        let heard = (told || s.last_ok.is_some_and(lately)) && s.failure_count == 0;
        heard.then(|| match table {
            0 if self.live_weights => self.load_with_request(s),
            0 => self.load_of(s) / self.relative_size(s),
            _ => s.mean_delay.or(self.mean_delay).unwrap_or(0.0),
        })
    }

    /// Departure where loads are known: a share is multiplied by the room left. A raised entry falls only by
    /// the others' rise, so a server just filled would keep its share. Old reports count less.
    fn update_headroom(&mut self) {
        let (mut sum, mut weight, mut known) = (0.0, 0.0, 0.0_f64);
        for s in self.subset.iter().map(|id| self.server(*id)) {
            let fresh = self.report_freshness(s);
            (sum, weight, known) = (sum + fresh * self.load_of(s), weight + fresh, known.max(fresh));
        }
        let usual = sum / weight.max(1e-9);
        let sharp = if self.relies_on_live_weights() { LOAD_SHARPNESS_STALE } else { LOAD_SHARPNESS };
        let bend = |s: &Server| if usual > 0.0 { (-sharp * self.load_of(s) / usual).exp() } else { 1.0 };
        let room = |s: &Server| bend(s) * self.report_freshness(s) * self.relative_size(s);
        let rooms: Vec<f64> = self.subset.iter().map(|id| room(self.server(*id))).collect();
        let least = MIN_HEADROOM.max(1.0 - known) / rooms.len() as f64;
        for (at, room) in rooms.into_iter().enumerate() {
            self.servers[self.subset[at].0 as usize].headroom = room.max(least).max(f64::MIN_POSITIVE);
        }
    }

    /// Reports of this server stopped, while it was busy and nothing came from it since.
    fn reports_stopped(&self, now: Time, s: &Server) -> bool {
        let Some(round) = self.weight_interval else { return false };
        let since = s.last_ok.is_none_or(|t| (t - s.weight_updated_at).as_f64() < round);
        s.reported_outstanding > 0.0
            && since
            && (now - s.weight_updated_at).as_f64() > MISSED_REPORT_INTERVALS * round
    }

    fn refresh_shares(&mut self, now: Time) {
        let warmth = |id: &ServerId| self.warmth(now, *id);
        let able = |id: &ServerId| warmth(id) * self.relative_size(self.server(*id));
        self.warm_capacity =
            (self.subset.iter().map(able).sum(), self.subset.iter().any(|id| warmth(id) >= 1.0));
        let mut sum = 0.0;
        self.cumulative_shares.clear();
        for id in &self.subset {
            let near = |s: &Server| if s.zone == self.settings.zone { 1.0 } else { self.remote_zone_factor };
            let blend = |s: &Server| {
                near(s)
                    * s.headroom
                    * (1.0 - s.error_doubt).powi(2)
                    * ((1.0 - ALPHA) * s.pheromone[1] + ALPHA * s.pheromone[0])
            };
            sum += blend(self.server(*id));
            self.cumulative_shares.push(sum);
        }
    }

    /// Departure where messages are allowed: the load counts the attempts of all instances that use a server.
    /// Each tells a change at once to those that use the server too, and at times all that it uses to all.
    fn report_to_peers(&mut self, now: Time, todo: &mut Vec<Action>) {
        let word = |id: &ServerId| {
            peer_reports::encode_entry(
                self.servers[id.0 as usize].global_id,
                self.servers[id.0 as usize].in_flight,
            )
        };
        let greet = self.last_full_report.is_none_or(|at| now - at >= SECOND.times(FULL_REPORT_INTERVAL_S));
        if greet && !self.subset.is_empty() {
            self.last_full_report = Some(now);
            let data = self.subset.iter().take(MAX_MESSAGE_BYTES / 4).flat_map(word).collect();
            todo.push(Action::SendToPeers { peer: None, data });
        }
        let changed = std::mem::take(&mut self.changed_servers);
        for (peer, shared) in self.peer_reports.peers_sharing(&changed) {
            let data: Vec<u8> = shared.iter().flat_map(word).collect();
            if self.peer_credit >= data.len() as f64 {
                self.peer_credit -= data.len() as f64;
                todo.push(Action::SendToPeers { peer: Some(peer), data });
            }
        }
    }

    /// Probes that a request pays for, where reports tell the requests in hand.
    fn probes_per_request(&self) -> f64 {
        let able = self.settings.limits.probes && self.counts_requests;
        if able { PROBE_BUDGET / self.settings.prices.probe.max(PROBE_BUDGET / 100.0) } else { 0.0 }
    }

    /// Closes the window early for a request that finds it old: whether it has to wait for the probes.
    fn join_probe_round(&mut self, now: Time, class: u32, todo: &mut Vec<Action>) -> bool {
        let patience = self.probe_round_wait(class);
        if self.probes_per_request() >= 1.0
            && !self.probe_round_open
            && now - self.window_started > patience
            && self.probes_in_flight == 0
        {
            self.send_probes(now, todo);
            self.probe_round_open = self.probes_in_flight > 0;
            if self.probe_round_open {
                todo.push(Action::Timer { token: PROBE_ROUND_TIMER, delay: patience });
            }
        }
        self.probe_round_open
    }

    fn probe_round_wait(&self, class: u32) -> Span {
        self.class(class).map_or(self.window, |c| c.aim.times(PROBE_WAIT_AIM_SHARE))
    }

    fn finish_probe_round(&mut self, now: Time, todo: &mut Vec<Action>) {
        self.probe_round_open = false;
        self.close_window(now, todo);
        self.retry_queued(now, usize::MAX, todo);
    }

    /// Probes servers in turn, as many as it takes to find an idle one and as one request pays for.
    fn send_probes(&mut self, now: Time, todo: &mut Vec<Action>) {
        // Enough that one of them is idle, by the part of probed servers that were busy of late.
        let enough = (PROBE_MISS_CHANCE.ln() / self.busy_share.clamp(0.01, 0.99).ln()).ceil();
        let each = enough.min(self.probes_per_request().floor()).min(self.subset.len() as f64);
        if each < 1.0 || self.probe_credit < each {
            return;
        }
        self.probe_credit = (self.probe_credit - each).min(2.0 * each);
        let (mut left, mut tries) = (each as u32, self.subset.len());
        while left > 0 && tries > 0 {
            tries -= 1;
            self.probe_next = (self.probe_next + 1) % self.subset.len();
            let id = self.subset[self.probe_next];
            if let Some(s) =
                self.server_mut(id).filter(|s| s.probe_sent_at.is_none() && s.excluded_until <= now)
            {
                s.probe_sent_at = Some(now);
                left -= 1;
                self.probes_in_flight += 1;
                todo.push(Action::Probe { server: id });
            }
        }
    }

    /// SeededRng a server by the shares among those eligible: of all used, or of the first for its key. A repeat
    /// bound to a group may find one among the servers not used otherwise, each at the mean share.
    fn draw_server(&mut self, now: Time, wanted: Selection) -> Option<ServerId> {
        let used = self.subset.len();
        let most = if wanted.group.is_some() { self.listed.len() } else { used };
        let mut places: Vec<usize> = (0..most).collect();
        let (mut from, mut upto) = (0, most);
        if let (Some(key), None) = (wanted.key, wanted.group) {
            upto = self.servers_for_key(key);
            places.sort_by_cached_key(|at| mix64(key ^ self.server(self.listed[*at]).global_id));
        }
        while from < most {
            let mut left: Vec<(ServerId, f64)> = Vec::new();
            let mut sum = 0.0;
            for at in &places[from..upto.min(most)] {
                let id = self.listed[*at];
                if self.is_eligible(now, id, wanted) {
                    let below = if *at > 0 { self.cumulative_shares[(*at - 1).min(used - 1)] } else { 0.0 };
                    let mean = self.cumulative_shares[used - 1] / used as f64;
                    sum += self.cumulative_shares.get(*at).map_or(mean, |upto| upto - below);
                    left.push((id, sum));
                }
            }
            if let Some((last, _)) = left.last() {
                let x = self.rng.0.random::<f64>() * sum;
                return left.iter().find(|(_, c)| x < *c).map(|(id, _)| *id).or(Some(*last));
            }
            (from, upto) = (upto, 2 * upto);
        }
        None
    }

    /// Departure where servers do less for a key that they met lately: the draw is among the first servers of
    /// an order of the key's own, the same at all instances: as many as its part of the traffic fills.
    fn servers_for_key(&self, key: u64) -> usize {
        (MIN_SERVERS_PER_KEY
            + KEY_SPREAD_FACTOR * self.key_popularity.traffic_share(key) * self.subset.len() as f64)
            as usize
    }

    /// Departure where opening connections costs or loads are told: a balancer uses few servers, more the
    /// more it sends, and others in place of silent ones.
    fn update_subset(&mut self, gap: Span) {
        let (rate, peak, counted) = self.send_rate;
        let part = 1.0 - (-gap.as_f64() / SEND_RATE_RISE.as_f64()).exp();
        let rate = rate + part * ((self.sends - counted) as f64 / gap.as_f64().max(1.0) - rate);
        let peak = (peak * (-gap.as_f64() / SEND_RATE_PEAK_DECAY.as_f64()).exp()).max(rate);
        self.send_rate = (rate, peak, self.sends);
        let own = peak * self.min_mean_delay * SUBSET_PER_IN_FLIGHT;
        let all = self.listed.len() as f64;
        // Each of `n` servers finds its connection closed with the chance exp(-rate idle / n).
        let (idle, dear) =
            (self.settings.limits.conn_idle.as_f64(), self.settings.prices.handshake / CONNECTION_BUDGET);
        let kept = if dear > 1.0 { peak * idle / dear.ln() } else { f64::INFINITY };
        let told = if self.reports_to_peers { own * SUBSET_PER_IN_FLIGHT } else { f64::INFINITY };
        let wanted = kept.min(told).max(MIN_SUBSET).max(own).min(all).ceil();
        if wanted > self.subset_target || wanted < self.subset_target / 2.0 {
            self.subset_target = wanted;
        }
        let mut left = self.subset_target;
        let fine = |id: &&ServerId| {
            left -= f64::from(self.server(**id).failure_count == 0);
            left >= 0.0
        };
        let enough = self.listed.iter().take(2 * self.subset_target as usize).take_while(fine).count();
        if enough != self.subset.len() {
            self.subset = self.listed[..enough].to_vec();
            // Those that enter start at the mean share.
            let enter = |tau: f64| if tau > 0.0 { tau } else { 1.0 / enough as f64 };
            for (at, id) in self.listed.iter().enumerate() {
                let s = &mut self.servers[id.0 as usize];
                s.in_subset = at < enough;
                s.pheromone = if s.in_subset { s.pheromone.map(enter) } else { [0.0; 2] };
            }
        }
    }

    /// The order in which this balancer uses the listed servers: from its own place in the order of their
    /// common names in growing steps, so that all together cover them evenly and few use the same.
    fn preference_order(&self, mut ring: Vec<ServerId>) -> Vec<ServerId> {
        let dear = self.settings.prices.cross_zone > CROSS_ZONE_HALVING_PRICE;
        ring.sort_unstable_by_key(|id| {
            (dear && self.server(*id).zone != self.settings.zone, self.server(*id).global_id)
        });
        let near = ring.partition_point(|id| !dear || self.server(*id).zone == self.settings.zone);
        let arc = |part: &[ServerId]| -> Vec<ServerId> {
            let n = part.len();
            let start = (u64::from(self.settings.instance_index) * n as u64
                / u64::from(self.settings.instance_count.max(1))) as usize;
            let mut taken = vec![false; n];
            // Those that tell each other keep to neighbours, so that few share servers with each.
            let far = if self.reports_to_peers { 0 } else { n / 2 };
            let places = (0..far).map(|k| k * k).chain(0..n).map(|step| (start + step) % n.max(1));
            places.filter(|at| !std::mem::replace(&mut taken[*at], true)).map(|at| part[at]).collect()
        };
        // One of another zone after every few of the own: a zone may lack capacity.
        let (mut near, mut rest) = (arc(&ring[..near]).into_iter(), arc(&ring[near..]).into_iter());
        let mut order = Vec::with_capacity(ring.len());
        while order.len() < ring.len() {
            order.extend(near.by_ref().take(LOCAL_SERVERS_PER_REMOTE));
            order.extend(rest.next());
        }
        order
    }

    /// Whether a server may get a request now. All filters on the shares stand here.
    fn is_eligible(&mut self, now: Time, id: ServerId, wanted: Selection) -> bool {
        let s = self.server(id);
        let same = |(group, n)| match group {
            Group::All => true,
            Group::Zone => s.zone == n,
            Group::Cell => s.cell == n,
        };
        // An idle server always has room: a turn mistaken for too long once had everything refused for good.
        let idle = if self.load_is_fresh || self.live_weights { 1.0 } else { 0.5 };
        let crowded = !self.relies_on_live_weights()
            && self.load_of(s) >= idle
            && self.would_answer_late(now, self.load_of(s), self.relative_size(s), wanted);
        s.state == State::Ready
            && wanted.group.is_none_or(same)
            && wanted.not != Some(id)
            && s.excluded_until <= now
            && (s.failure_count == 0 || s.in_flight == 0)
            && s.probe_sent_at.is_none_or(|t| now - t <= self.window)
            && !crowded
            && self.cold_budget_allows(now, id)
    }

    /// Whether a server with this load is thought to answer too late, behind the turns of those it holds.
    /// The tightest class binds all: a class with a long aim would else fill servers until no other fits.
    fn would_answer_late(&self, now: Time, load: f64, size: f64, wanted: Selection) -> bool {
        let turn = self.service_time(now, wanted.class as usize);
        // Before the first answers nothing is known: all once filled the servers with their first requests.
        if turn.is_none() && self.reports_to_peers {
            return true;
        }
        let own = turn.unwrap_or(0.0);
        let work = wanted.work.map_or(own, |work| work.as_f64().max(own));
        (load * own + work) / size > wanted.within.as_f64() * self.max_wait_share
            || (1.0 + load) / size > self.load_limit
    }

    /// Enters how an attempt ended. Learns a class's turn also from time-outs: the served alone are short.
    fn record_outcome(&mut self, now: Time, id: RequestId, attempt: Attempt, status: Status, latency: Span) {
        let Some(open) = self.open.get_mut(&id) else { return };
        let Some(sent) = open.attempts.get_mut(attempt.0 as usize) else { return };
        sent.ended = Some(status);
        let (ahead, in_time) = (sent.ahead, status == Status::Ok && now - open.arrived <= open.aim);
        if !matches!(status, Status::Ok | Status::Timeout) {
            return;
        }
        let Some(turn) = self.service_times.get_mut(open.class as usize) else { return };
        self.timely_share = ewma(Some(self.timely_share), f64::from(in_time), EWMA_WEIGHT);
        turn.samples = turn.samples.saturating_add(1);
        // Quiet balancers forget by time: turns of an overload once lasted for half a minute after it.
        let forgotten = 1.0
            - (-(now - turn.updated_at).as_f64()
                / SECOND.times(f64::from(MIN_SERVICE_TIME_SAMPLES)).as_f64())
            .exp();
        let weight = SLOW_EWMA_WEIGHT.max(1.0 / f64::from(turn.samples)).max(forgotten);
        turn.log_mean += weight * ((latency.as_f64().max(1.0) / (1.0 + ahead)).ln() - turn.log_mean);
        turn.updated_at = now;
    }

    /// The turn of a class, if enough answers tell it and the last is recent: what is refused brings none.
    fn service_time(&self, now: Time, class: usize) -> Option<f64> {
        let (turn, class) = (self.service_times.get(class)?, self.settings.classes.get(class)?);
        let recent = class
            .aim
            .times(SERVICE_TIME_VALID_AIMS)
            .max(self.request_interval().times(f64::from(MIN_SERVICE_TIME_SAMPLES)));
        let told = turn.samples >= MIN_SERVICE_TIME_SAMPLES && now - turn.updated_at < recent;
        told.then(|| turn.log_mean.exp().max(1.0))
    }

    /// The part of its capacity that a server surely has by now.
    fn warmth(&self, now: Time, id: ServerId) -> f64 {
        let s = self.server(id);
        let (cold, from) = (self.settings.safety.cold, self.settings.safety.cold_from);
        let age = now - s.started_at;
        if s.started_at == Time(0) || age >= cold {
            1.0
        } else {
            from + (1.0 - from) * age.as_f64() / cold.as_f64()
        }
    }

    /// Cold budget: a cold server gets little more than its warmth's part of what our mean server accepts. As
    /// every balancer keeps to it, all together stay far under what tips the server over: what servers accept
    /// is bounded by what they can do. Earned by all sends, it grew with those that full servers turned away.
    fn cold_budget_allows(&mut self, now: Time, id: ServerId) -> bool {
        let warmth = self.warmth(now, id);
        if warmth >= 1.0 {
            return true;
        }
        let (accepted, (sum, any_warm)) = (self.accepted_sends, self.warm_capacity);
        let able = warmth * self.relative_size(self.server(id));
        let earned = COLD_BUDGET_FACTOR * able / sum.max(able);
        // SeededRng hardly fall on a server just when its credit is full: seen idle, it may get one ahead.
        let idle = self.counts_requests && self.load_of(self.server(id)) < 0.5;
        let ahead = idle && self.rng.0.random::<f64>() < earned * self.subset.len() as f64 / 2.0;
        let Some(s) = self.server_mut(id) else { return false };
        s.cold_credit =
            (s.cold_credit + (accepted - s.cold_credit_mark) as f64 * earned).min(COLD_BUDGET_BURST);
        s.cold_credit_mark = accepted;
        // With nothing warm at all, own sends alone would never fill the first budget: one at a time goes.
        s.cold_credit >= 1.0 || (ahead && s.cold_credit > 0.0) || (!any_warm && s.in_flight == 0)
    }

    /// A server from which nothing came for several mean delays while something was out hangs or is gone.
    fn detect_silent_servers(&mut self, now: Time, todo: &mut Vec<Action>) {
        let least = tightest_aim(&self.settings);
        let Some(mean) = self.mean_delay else { return };
        for i in 0..self.subset.len() {
            let id = self.subset[i];
            let quiet = self.reports_stopped(now, self.server(id));
            let Some(s) = self.server_mut(id) else { continue };
            if quiet && s.failure_count == 0 {
                s.record_failure(now, least);
            }
            // Not under the tightest aim; and one long request is no sign yet where a few are out.
            let few = 1.0 + 2.0 / f64::from(s.in_flight.max(1));
            let limit = (SILENCE_DELAYS * few * s.mean_delay.unwrap_or(mean).max(mean)).max(least.as_f64());
            if s.waiting_since.is_some_and(|t| (now - t).as_f64() > limit) {
                if s.failure_count == 0 {
                    let text = "silent with attempts out, avoided".to_owned();
                    todo.push(Action::Log { server: Some(id), text });
                }
                s.record_failure(now, least);
                s.waiting_since = Some(now);
            }
        }
    }

    /// A second copy, while the only attempt is out: whether it went out.
    fn send_hedge(&mut self, now: Time, id: RequestId, todo: &mut Vec<Action>) -> bool {
        let (one_out, sends) =
            (|o: &OpenRequest| o.attempts.iter().filter(|a| a.ended.is_none()).count() == 1, self.sends);
        if self.settings.limits.hedging && self.open.get(&id).is_some_and(one_out) {
            self.dispatch(now, id, true, todo);
        }
        self.sends > sends
    }

    fn on_attempt_finished(&mut self, now: Time, id: RequestId, closed: bool, todo: &mut Vec<Action>) {
        if closed {
            let open = self.open.remove(&id).filter(|_| self.settings.limits.cancellation);
            let out =
                open.iter().flat_map(|o| o.attempts.iter().enumerate()).filter(|(_, a)| a.ended.is_none());
            todo.extend(out.map(|(n, _)| Action::Cancel { id, attempt: Attempt(n as u32) }));
        } else if self.open.get(&id).is_some_and(|o| o.attempts.iter().all(|a| a.ended.is_some())) {
            self.dispatch(now, id, false, todo);
        }
    }

    /// Sends a request without an attempt out, holds it for a moment, or answers it for good; sends a copy.
    fn dispatch(&mut self, now: Time, id: RequestId, copy: bool, todo: &mut Vec<Action>) {
        let Some(open) = self.open.get(&id) else { return };
        let Some(class) = self.class(open.class) else { return self.answer_unserved(id, todo) };
        let aim = open.arrived + class.aim;
        let last = if class.late_worth > 0.0 { open.deadline } else { aim.min(open.deadline) };
        let spent = open.spent || open.attempts.len() as u32 >= open.most;
        let target = if now < aim { aim.min(last) } else { last };
        let mut wanted = Selection {
            within: target - now,
            class: open.class,
            work: open.hint,
            group: None,
            key: open.key,
            not: open.attempts.last().map(|a| a.server),
        };
        let may_go = match (open.binding_attempt(), class.effect) {
            (None, _) | (Some(_), Effect::Safe) => true,
            (Some(_), Effect::Unsafe) => false,
            (Some(first), Effect::Keyed { group, window }) => {
                let s = self.server(first.server);
                wanted.group = Some((group, if group == Group::Zone { s.zone } else { s.cell }));
                now + self.settings.tick < first.at + window
            }
        };
        if now >= last || spent || !may_go || open.streaming {
            if !copy {
                self.answer_unserved(id, todo);
            }
            return;
        }
        // What a client still waits may be far less than the aim: what was held past it was lost.
        let hold_until = open.arrived + class.aim.min(open.deadline - open.arrived).times(QUEUE_AIM_SHARE);
        let (until, fresh) = (last, open.attempts.is_empty());
        match self.draw_server(now, wanted) {
            Some(server) => self.send(now, id, server, until, todo),
            None if copy => {}
            None if fresh && now < hold_until && !self.subset.is_empty() => {
                self.queue.push_back(id);
                // One timer for each, however often it goes back: a timer each time flooded the host.
                if let Some(open) = self.open.get_mut(&id).filter(|o| !o.timed) {
                    open.timed = true;
                    todo.push(Action::Timer { token: QUEUE_TIMER, delay: hold_until - now });
                }
            }
            None => self.answer_unserved(id, todo),
        }
    }

    fn send(&mut self, now: Time, id: RequestId, server: ServerId, until: Time, todo: &mut Vec<Action>) {
        self.sends += 1;
        self.accepted_sends += 1;
        let ahead = self.load_with_request(self.server(server)) - 1.0;
        self.changed_servers.extend(self.reports_to_peers.then_some(server));
        if let Some(s) = self.server_mut(server) {
            s.count_in_flight(now, true);
            s.cold_credit -= 1.0;
        }
        if let Some(open) = self.open.get_mut(&id) {
            open.attempts.push(SentAttempt { server, at: now, ahead, ended: None });
        }
        todo.push(Action::Send { id, server, until: Some(until) });
        let Limits { hedging, cancellation, .. } = self.settings.limits;
        let first = self.open.get(&id).filter(|o| hedging && cancellation && o.attempts.len() == 1);
        if let Some(aim) = first.map(|open| open.aim) {
            todo.push(Action::Timer {
                token: Token(FIRST_HEDGE_TOKEN + id.0),
                delay: aim.times(HEDGE_AIM_SHARE),
            });
            self.hedge_credit = (self.hedge_credit + HEDGES_PER_REQUEST).min(HEDGE_BURST);
        }
    }

    /// Takes up that the last attempt went out elsewhere, where a host watches decisions made by another.
    pub fn follow(&mut self, id: RequestId, server: ServerId) {
        let last = self.open.get_mut(&id).and_then(|open| open.attempts.last_mut());
        let Some(own) = last.map(|last| std::mem::replace(&mut last.server, server)) else { return };
        let now = self.window_started;
        for (id, more) in [(own, false), (server, true)] {
            self.server_mut(id).into_iter().for_each(|s| s.count_in_flight(now, more));
        }
    }

    /// The final answer of a request that will not be served: refused where that is true, else failed.
    fn answer_unserved(&mut self, id: RequestId, todo: &mut Vec<Action>) {
        let Some(open) = self.open.remove(&id) else { return };
        let effect = self.class(open.class).map(|c| c.effect);
        let repeatable = matches!(effect, Some(Effect::Safe | Effect::Keyed { group: Group::All, .. }));
        if repeatable || open.binding_attempt().is_none() {
            let retry_after = self.settings.limits.retry_after.map(|most| most.min(self.window));
            todo.push(Action::Refuse { id, retry_after });
        } else {
            todo.push(Action::Fail { id });
        }
    }

    /// Departure where attempts miss their aim: some requests are refused at once, the least worth first.
    fn admits(&mut self, class: u32) -> bool {
        let classes = || self.settings.classes.iter().filter(|c| !c.retired);
        let mean = classes().map(|c| c.worth).sum::<f64>() / classes().count() as f64;
        let worth = self.class(class).map_or(0.0, |c| c.worth).max(0.01 * mean);
        // Where no worth is told all are alike: 0 over 0 had nine of ten refused.
        let rank = if mean > 0.0 { mean / worth } else { 1.0 };
        let bar = if self.settings.tail.share > 0.0 {
            (1.0 - 2.0 * self.settings.tail.allowed_misses).max(0.01)
        } else {
            MIN_TIMELY_SHARE
        };
        let kept = (self.timely_share / bar).powi(2).min(1.0).powf(rank).max(0.1);
        kept >= 1.0 || self.rng.0.random::<f64>() < kept
    }

    /// Tries held requests again in their order: after an answer one, once a window all of them.
    fn retry_queued(&mut self, now: Time, most: usize, todo: &mut Vec<Action>) {
        for _ in 0..self.queue.len().min(most) {
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
            self.servers.iter_mut().for_each(|s| s.state = State::Removed);
        }
        for entry in entries {
            self.update_member(now, entry);
        }
        let ids = (0..self.servers.len() as u32).map(ServerId);
        self.listed =
            self.preference_order(ids.filter(|id| self.server(*id).state == State::Ready).collect());
        self.peer_reports
            .set_servers(self.listed.iter().map(|id| (*id, self.servers[id.0 as usize].global_id)));
        let sizes = || self.listed.iter().map(|id| self.server(*id).size).filter(|size| *size > 0.0);
        self.mean_size = sizes().sum::<f64>().max(f64::MIN_POSITIVE) / sizes().count().max(1) as f64;
        self.subset.clear();
        self.update_subset(Span(0));
        self.refresh_shares(now);
        self.retry_queued(now, usize::MAX, todo);
    }

    fn update_member(&mut self, now: Time, entry: &Member) {
        let at = entry.server.0 as usize;
        self.servers.resize(self.servers.len().max(at + 1), Server::default());
        let (cold_credit, cold_credit_mark) = (self.rng.0.random::<f64>(), self.accepted_sends);
        let known = &mut self.servers[at];
        if entry.started_at > known.started_at
            || known.last_ok.is_none()
            || entry.global_id != known.global_id
        {
            // New or restarted: what was known of an old process is void, and it enters at the mean.
            let size = if entry.global_id == known.global_id { known.size } else { 0.0 };
            let (started_at, global_id, last_ok) = (entry.started_at, entry.global_id, Some(now));
            let (in_flight, probe_sent_at, headroom, rest) =
                (known.in_flight, known.probe_sent_at, 1.0, Server::default());
            *known = Server {
                started_at,
                global_id,
                last_ok,
                size,
                cold_credit,
                cold_credit_mark,
                in_flight,
                probe_sent_at,
                headroom,
                ..rest
            };
        }
        (known.state, known.zone, known.cell) = (entry.state, entry.zone, entry.cell);
        if entry.weight > 0.0 && entry.weight.is_finite() && entry.weight != known.listed_weight {
            known.listed_weight = entry.weight;
            known.size = if self.live_weights { known.size.max(entry.weight) } else { entry.weight };
            if self.live_weights && known.weight_updated_at > Time(0) {
                self.weight_interval = Some(ewma(
                    self.weight_interval,
                    (now - known.weight_updated_at).as_f64(),
                    SLOW_EWMA_WEIGHT,
                ));
            }
            if self.live_weights && known.failure_count > 0 {
                (known.failure_count, known.excluded_until) = (0, now);
            }
            (known.reported_outstanding, known.weight_updated_at, known.sent_since_report) =
                (known.size / entry.weight - 1.0, now, 0.0);
        }
    }
}

fn tightest_aim(set: &Settings) -> Span {
    set.classes.iter().filter(|c| !c.retired).map(|c| c.aim).min().unwrap_or(SECOND)
}

/// Bends figures against their mean, see `LOAD_SHARPNESS`, and divides them by the largest; zeros where that is zero.
pub fn saturated(figures: &[Option<f64>]) -> Vec<Option<f64>> {
    let known = || figures.iter().flatten();
    let mean = known().sum::<f64>() / known().count().max(1) as f64;
    let bend = |v: f64| if mean > 0.0 { 1.0 - (-LOAD_SHARPNESS * v / mean).exp() } else { 0.0 };
    relative_to_largest(&figures.iter().map(|v| v.map(bend)).collect::<Vec<_>>())
}

/// Figures over the largest one; zeros where that is zero.
fn relative_to_largest(figures: &[Option<f64>]) -> Vec<Option<f64>> {
    let most = figures.iter().flatten().copied().fold(0.0, f64::max);
    figures.iter().map(|v| v.map(|v| if most > 0.0 { v / most } else { 0.0 })).collect()
}

/// The window step of the design on one table: those with a figure rise by it, the others evaporate; the
/// sum is made one, each moves `part` of the way to its new value (the silent `silent_part`, as their
/// window is the longer one of `heard_for`), and none stays under the floor.
pub fn window_step(tau: &mut [f64], x: &[Option<f64>], part: f64, silent_part: f64) {
    let raised = |(t, x): (&f64, &Option<f64>)| match x {
        Some(x) => t - (x - 1.0) * x.exp() * (1.0 - t),
        None => t - RHO * t,
    };
    let new: Vec<f64> = tau.iter().zip(x).map(raised).collect();
    let (sum, old_sum) = (new.iter().sum::<f64>(), tau.iter().sum::<f64>());
    if tau.is_empty() || sum <= 0.0 || old_sum <= 0.0 {
        return;
    }
    let floor = PHEROMONE_FLOOR / tau.len() as f64;
    for ((t, new), x) in tau.iter_mut().zip(new).zip(x) {
        let old = *t / old_sum;
        let part = if x.is_some() { part } else { silent_part };
        *t = (old + part * (new / sum - old)).max(floor);
    }
    let sum: f64 = tau.iter().sum();
    tau.iter_mut().for_each(|t| *t /= sum);
}
