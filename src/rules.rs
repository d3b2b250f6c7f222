//! Every decision of the balancer. Its interface (settings, events, actions) stands in `src/api.rs`.
//!
//! The ordinary path is that of "SoCCeR: Services over Content-Centric Routing" (section 3): load and delay
//! pheromones of each server, and draws from their blend. `docs/design.md` says what was kept and changed.

use crate::api::*;
use crate::calls::{CALL, Calls};
use crate::keys::{self, Keys};
use crate::numbers::{Draws, Turn, smooth};
use crate::told::{self, Told};
use rand::Rng;
use rustc_hash::FxHashMap;
use std::collections::VecDeque;

/// Weight of the load pheromone in the blend; the paper's alpha.
const ALPHA: f64 = 0.8;
/// Part of its pheromone that a server not heard from loses in a window.
const RHO: f64 = 0.2;
/// No pheromone falls below this part of the mean one, so that no server is forgotten.
const FLOOR: f64 = 0.01;
/// Windows in the tightest aim: loads must be seen several times while a request can still be served in time.
const WINDOWS_IN_AIM: f64 = 4.0;
/// The paper's window: the longest here, and how long an answer keeps a server among those heard from.
const SECOND: Span = Span(1_000_000);
/// Windows over which shares close most of their gap, where loads are known afresh and where they are not.
const SETTLE_FRESH: f64 = 0.2;
const SETTLE_SLOW: f64 = 4.5;
/// How often a server could have been asked, in the mean, before its silence counts.
const ASKED: f64 = 3.0;
/// How sharply a load above the mean counts (`bent`): idle and busy servers stay apart under one crowded one.
const BEND: f64 = 4.0;
/// The same for the room left where loads are told late: all act on the same figure until the next.
const BEND_LATE: f64 = 0.7;
/// Reports of a busy server that are this many rounds late have stopped.
const LATE: f64 = 2.5;
/// What a failed attempt leaves of the trust in a server, and an answer of the doubt.
const FAULTY: f64 = 0.5;
/// Seconds after which all instances are told anew.
const GREET: f64 = 10.0;
/// Where crossing zones is dear: servers of the own zone for each of another, among those used.
const NEAR: usize = 2;
/// Parts of the result that messages, probes and connections (open ones, and opening them) may cost.
const PEER_SPEND: f64 = 0.012;
const PROBE_SPEND: f64 = 0.03;
const CONNECTION_SPEND: f64 = 0.006;
/// The chance that none of the servers probed by a look is idle.
const FOUND: f64 = 0.1;
/// What all servers without known room draw together, against an idle one.
const ROOM_LEAST: f64 = 0.1;
/// A request that finds the window this part of its aim old has servers probed, and waits as long at most.
const LOOK: f64 = 0.02;
/// Weight of a new figure in smoothed delays and service times.
const SMOOTH: f64 = 0.1;
/// The same for turns, whose spread is wide: a few heavy ones must not have a class refused.
const SMOOTH_TURN: f64 = 0.03;
/// A server is suspected when nothing came from it for this many mean delays while an attempt was out.
const SILENCE: f64 = 3.0;
/// How much more than a mean server's work, times its warmth, a cold one may get, and how much at once.
const COLD_EXTRA: f64 = 1.25;
const COLD_BURST: f64 = 1.5;
/// Where few servers are used: the least of them, those for each attempt out, by a slow rate.
const USED_LEAST: f64 = 2.0;
const USED_EACH: f64 = 2.0;
const USED_OVER: Span = Span(2_000_000);
const USED_FADE: Span = Span(20_000_000);
/// The price of crossing zones at which servers of other zones draw half as much.
const FAR: f64 = 0.01;
/// Answers that tell the turn of a class, and the aims for which the last of them is believed.
const TOLD: u32 = 10;
const RECENT: f64 = 4.0;
/// A server gets a request only if it is thought to answer within this part of the time left.
const ROOM: f64 = 0.45;
/// The same where instances tell each other their attempts: what is exact bears no long queues.
const ROOM_TOLD: f64 = 0.12;
/// Part of a class's aim that a request may wait here before it is sent.
const HOLD: f64 = 0.03;
/// Requests are shed where a smaller part of the attempts than this is answered in time.
const TIMELY: f64 = 0.85;
const STEP: Token = Token(1);
const HELD: Token = Token(3);
const LOOKED: Token = Token(4);
/// Second copies of a request are due by tokens from this one on.
const COPY: u64 = 16;
/// The part of its aim after which a request gets a second copy, the part that may, and how many at once.
const COPY_AT: f64 = 0.5;
const COPY_PART: f64 = 0.1;
const COPY_MOST: f64 = 10.0;
/// Servers that draw for a key at the least, and those for its part of the traffic, against all servers.
const KEY_LEAST: f64 = 2.0;
const KEY_SPREAD: f64 = 1.5;
/// What is known of one server.
#[derive(Clone, Debug, Default)]
struct Server {
    state: State,
    born: Time,
    /// Its weight as last listed, the size in that; by live weights the requests held, and when that was new.
    weight: f64,
    size: f64,
    held: f64,
    renewed: Time,
    zone: u32,
    cell: u32,
    tau: [f64; 2],
    /// Factor on the share: the room it has left.
    room: f64,
    /// Last reported requests in hand, and those we sent since that report was made.
    reported: Option<f64>,
    seen: Time,
    sent_since: f64,
    util: f64,
    /// Our own attempts out, and those that other instances told of.
    out: u32,
    peers_out: u32,
    used: bool,
    common: u64,
    delay: Option<f64>,
    heard: Option<Time>,
    waiting: Option<Time>,
    /// Times in a row that it was silent or out of reach, and until when it is left out for that.
    strikes: u32,
    shunned: Time,
    /// Doubt in what it does with attempts, from 0 to 1: errors raise it, answers and time lower it.
    faulty: f64,
    probing: Option<Time>,
    /// Cold budget, and the count of accepted sends up to which it was filled.
    credit: f64,
    credit_mark: i64,
}

impl Server {
    /// Holds one more of our attempts, or one less.
    fn holds(&mut self, now: Time, more: bool) {
        self.out = if more { self.out + 1 } else { self.out.saturating_sub(1) };
        self.sent_since += if more { 1.0 } else { -1.0 };
        self.waiting = if more { self.waiting.or(Some(now)) } else { self.waiting.filter(|_| self.out > 0) };
    }

    /// Keeps away for a while that doubles with each strike, up to 32 aims: a hang outlasts many aims.
    fn strike(&mut self, now: Time, aim: Span) {
        self.strikes += 1;
        self.shunned = now + Span(aim.0 << self.strikes.min(5));
    }
}

/// An attempt of an open request.
#[derive(Clone, Copy, Debug)]
struct Sent {
    server: ServerId,
    at: Time,
    ahead: f64,
    ended: Option<Status>,
}

/// A request that is owed an answer.
#[derive(Clone, Debug, Default)]
struct Open {
    class: u32,
    hint: Option<Span>,
    key: Option<u64>,
    aim: Span,
    /// Attempts that it may have.
    most: u32,
    arrived: Time,
    deadline: Time,
    attempts: Vec<Sent>,
    streaming: bool,
    spent: bool,
    timed: bool,
}

impl Open {
    /// The first attempt that is out or may have run: it binds all further ones.
    fn may_run(&self) -> Option<&Sent> {
        self.attempts.iter().find(|a| !a.ended.is_some_and(Status::never_ran))
    }
}

#[derive(Clone, Copy)]
struct Wanted {
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
    set: Settings,
    rng: Draws,
    window: Span,
    counts_requests: bool,
    /// Weights tell the requests held, some time ago.
    live: bool,
    /// Instances tell each other their attempts out at the few servers that each uses.
    tells: bool,
    /// The mean time between two live weights of a server, where that is known.
    round: Option<f64>,
    /// Loads are known afresh: reports count requests, or other instances tell theirs.
    sees_load: bool,
    servers: Vec<Server>,
    /// Listed servers that take new work, in the order in which this balancer uses them.
    listed: Vec<ServerId>,
    ready: Vec<ServerId>,
    /// Smoothed own sends a microsecond, their fading peak, the sends counted in; servers wanted for them.
    rate: (f64, f64, u64),
    width: f64,
    shares: Vec<f64>,
    open: FxHashMap<RequestId, Open>,
    keys: Keys,
    held: VecDeque<RequestId>,
    stepped: Time,
    /// Probes out that the window in hand waits for, and the requests that wait with it.
    probes_out: u32,
    looking: bool,
    asked: u64,
    sends: u64,
    /// Own sends but those that never ran: they earn the cold budgets.
    accepted: i64,
    born: Option<Time>,
    probe_credit: f64,
    probe_next: usize,
    /// Smoothed over the servers probed: the part that was busy, and their requests.
    busy: f64,
    usual: f64,
    /// Served answers, their smoothed delay and the least of that; by class one request's turn at a server.
    served: u32,
    delay: Option<f64>,
    least_delay: f64,
    turns: Vec<Turn>,
    /// Smoothed part of the attempts answered in time, of those answered or timed out; rises to 1 by itself.
    timely: f64,
    /// The most load behind which every class is still thought to be answered within its aim.
    load_limit: f64,
    told: Told,
    peer_credit: f64,
    copy_credit: f64,
    /// Servers with another number of own attempts out than was told, and when all were told last.
    changed: Vec<ServerId>,
    greeted: Option<Time>,
    far: f64,
    /// The part of the time left within which a server must be thought to answer.
    allowed: f64,
    /// What the servers have of their capacity in all, and whether any has all of it, as of the last window.
    warm: (f64, bool),
    mean_size: f64,
    calls: Calls,
}

impl Balancer {
    /// A balancer that knows nothing but its settings and its seed.
    pub fn new(set: Settings, seed: u64) -> Balancer {
        let (rng, load_limit, warm) = (Draws::new(seed), f64::MAX, (1.0, false));
        let (busy, usual, timely, mean_size, rest) = (0.5, 0.5, 1.0, 1.0, Balancer::default());
        let mut new = Balancer { rng, load_limit, warm, busy, usual, timely, mean_size, ..rest };
        new.adopt(set);
        new
    }

    /// Takes up settings. All that follows from them is derived here, at the start and later.
    fn adopt(&mut self, set: Settings) {
        let aim = tightest_aim(&set);
        let counts = |f: &Field| matches!(f, Field::Inflight | Field::Queue);
        // What probes alone bring is as old as the report's period: asking anew brings the same again.
        self.counts_requests = set.reports == Reports::InAnswers && set.fields.iter().any(counts);
        self.tells = set.limits.peer_messages && set.instance_count > 1 && !self.counts_requests;
        self.window = aim.times(1.0 / WINDOWS_IN_AIM).max(set.tick).min(SECOND).max(Span(1));
        self.live = set.weights == Weights::Live;
        self.sees_load = self.counts_requests || self.tells;
        self.turns.resize(set.classes.len(), Turn::default());
        self.allowed = if self.tells { ROOM_TOLD } else { ROOM };
        self.far = 1.0 / (1.0 + set.prices.cross_zone / FAR);
        let retired = set.classes.iter().zip(&mut self.turns).filter(|(class, _)| class.retired);
        retired.for_each(|(_, turn)| *turn = Turn::default());
        self.set = set;
    }

    /// Takes one event and adds what is to be done.
    pub fn on_event(&mut self, now: Time, event: Event<'_>, todo: &mut Vec<Action>) {
        if self.born.is_none() {
            (self.stepped, self.born) = (now, Some(now));
            let first = Span(self.rng.0.random_range(1..=self.window.0));
            todo.push(Action::Timer { token: STEP, delay: first });
            let knows = matches!(event, Event::Members { entries: [_, ..], .. });
            self.calls.first(now, knows, &self.set, &mut self.rng.0, todo);
        }
        match event {
            Event::Settings { set } => self.adopt(set.clone()),
            Event::Members { kind, entries } => self.on_members(now, kind, entries, todo),
            Event::Request { id, left, class, hint, key, .. } => {
                self.asked += 1;
                let key = key.filter(|_| self.set.key_affinity);
                let aim = self.class(class).map_or(left, |c| c.aim);
                let (most, arrived, deadline) = (self.set.limits.max_attempts, now, now + left);
                let rest = Open::default();
                self.open.insert(id, Open { class, hint, key, aim, most, arrived, deadline, ..rest });
                key.into_iter().for_each(|key| self.keys.count(key));
                self.probe_credit += self.probes_a_request();
                self.peer_credit +=
                    told::BYTES as f64 * PEER_SPEND / self.set.prices.peer.max(PEER_SPEND / 4.0);
                if now - self.stepped > self.patience(class) && self.probes_a_request() < 1.0 {
                    self.step(now, todo);
                }
                if !self.admits(class) {
                    self.give_up(id, todo);
                // A request whose client soon leaves is not made to wait for a look.
                } else if left > self.patience(class).times(4.0) && self.looks(now, class, todo) {
                    self.held.push_back(id);
                } else {
                    self.advance(now, id, false, todo);
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
                self.note(now, server, status, Some(latency), load);
                self.learn_turn(now, id, attempt, status, latency);
                self.accepted -= i64::from(status.never_ran());
                self.open.get_mut(&id).into_iter().for_each(|open| open.spent |= !again);
                self.on_outcome(now, id, closed, todo);
                self.serve_held(now, 1, todo);
            }
            // A server has nothing of a request that is still being written to it: its load and silence, and
            // the request's own time, begin with the last byte. Counted before, slow bodies had idle servers
            // refused.
            Event::Upload { id, server, finished: over } => {
                self.server_mut(server).into_iter().for_each(|s| s.holds(now, over));
                if let Some(open) = self.open.get_mut(&id).filter(|_| over) {
                    (open.deadline, open.arrived) = (open.deadline + (now - open.arrived), now);
                }
            }
            Event::HedgeDue { id } => drop(self.copy(now, id, todo)),
            Event::ProbeFinished { server, status, load, .. } => {
                if let Some(s) = self.server_mut(server).filter(|s| s.probing.is_some()) {
                    s.probing = None;
                    self.probes_out -= 1;
                }
                self.note(now, server, status, None, load);
                if let (Status::Ok, [_, ..], Some(s)) = (status, load, self.servers.get(server.0 as usize)) {
                    let load = s.reported.unwrap_or(0.0);
                    self.busy = smooth(Some(self.busy), f64::from(load >= 0.5), SMOOTH_TURN);
                    self.usual = smooth(Some(self.usual), load, SMOOTH_TURN);
                }
                if self.looking && self.probes_out == 0 {
                    self.looked(now, todo);
                }
            }
            Event::Timer { token: STEP } => {
                self.step(now, todo);
                todo.push(Action::Timer { token: STEP, delay: self.window });
                self.serve_held(now, usize::MAX, todo);
            }
            Event::Timer { token: LOOKED } if self.looking => self.looked(now, todo),
            Event::Timer { token: HELD } => self.serve_held(now, usize::MAX, todo),
            Event::Timer { token: CALL } => self.calls.due(now, &self.set, todo),
            Event::Peer { from, data }
                if from < self.set.instance_count && from != self.set.instance_index =>
            {
                self.told.hear(now, from, data);
            }
            // Departure where two attempts may be out and called off: a few requests get one more, late.
            Event::Timer { token } if token.0 >= COPY && self.copy_credit >= 1.0 => {
                self.copy_credit -= f64::from(self.copy(now, RequestId(token.0 - COPY), todo));
            }
            Event::Peer { .. } | Event::Timer { .. } => {}
        }
        if self.tells {
            self.tell_peers(now, todo);
        }
    }

    /// How many listed servers get nothing new now. A question: it changes and draws nothing.
    pub fn avoided(&self, now: Time) -> usize {
        self.listed.iter().filter(|id| self.server(**id).shunned > now).count()
    }

    fn server(&self, id: ServerId) -> &Server {
        &self.servers[id.0 as usize]
    }

    fn server_mut(&mut self, id: ServerId) -> Option<&mut Server> {
        self.servers.get_mut(id.0 as usize)
    }

    fn class(&self, class: u32) -> Option<&Class> {
        self.set.classes.get(class as usize)
    }

    /// Takes in an answer. Served requests and answered probes refresh figures; all else only evaporates.
    fn note(&mut self, now: Time, id: ServerId, status: Status, latency: Option<Span>, load: &[f64]) {
        let (mut inflight, mut util) = (None, None);
        for (field, value) in self.set.fields.iter().zip(load).filter(|(_, v)| v.is_finite()) {
            match field {
                Field::Inflight => inflight = Some(*value),
                Field::Queue if inflight.is_none() => inflight = Some(*value),
                Field::Util => util = Some(*value),
                Field::Queue | Field::Other => {}
            }
        }
        let (window, aim, told, live) = (self.window, tightest_aim(&self.set), self.tells, self.live);
        let Some(s) = self.servers.get_mut(id.0 as usize) else { return };
        if latency.is_some() {
            self.changed.extend(told.then_some(id));
            s.out = s.out.saturating_sub(1);
        }
        // One that fails fast looks idle: undoubted, it drew the most.
        let failed = matches!(status, Status::Error | Status::Reset);
        if latency.is_some() && (failed || status == Status::Ok) {
            s.faulty = if failed { 1.0 - FAULTY * (1.0 - s.faulty) } else { FAULTY * s.faulty };
        }
        let silent = latency.is_some_and(|l| l >= aim && s.waiting.is_some_and(|t| now - t >= l));
        let unheard = status == Status::Timeout && (silent || latency.is_none());
        if status == Status::Ok {
            s.heard = Some(now);
        } else if unheard || status == Status::ConnectFailed {
            s.strike(now, aim);
        }
        let answered = latency.is_some() && matches!(status, Status::Ok | Status::Error | Status::Rejected);
        if answered {
            (s.strikes, s.shunned, s.waiting) = (0, Time(0), Some(now));
        }
        s.waiting = s.waiting.filter(|_| s.out > 0);
        if status == Status::Rejected {
            s.shunned = now + if live { aim } else { window };
            s.reported = s.reported.map(|r| r.max(f64::from(s.out) + 1.0));
        }
        if status != Status::Ok {
            return;
        }
        s.util = util.map_or(s.util, |util| smooth(Some(s.util), util, SMOOTH * 2.0));
        if let Some(value) = inflight {
            (s.reported, s.seen, s.sent_since) = (Some(value), now, 0.0);
        }
        if let Some(latency) = latency {
            s.delay = Some(smooth(s.delay, latency.as_f64(), SMOOTH));
            self.served = self.served.saturating_add(1);
            let weight = SMOOTH_TURN.max(1.0 / f64::from(self.served));
            let delay = smooth(self.delay, latency.as_f64(), weight);
            self.delay = Some(delay);
            self.least_delay = if weight > SMOOTH_TURN { delay } else { self.least_delay.min(delay) };
        }
    }

    /// The load of a server: what was told of it with what we sent since, else what is out there.
    fn load_of(&self, s: &Server) -> f64 {
        match (self.counts_requests, s.reported) {
            (true, reported) => {
                let (known, fresh) = (reported.unwrap_or(0.0) + s.sent_since, self.fresh(s));
                (self.usual + fresh * (known - self.usual)).max(f64::from(s.out))
            }
            _ if self.late() => s.held + s.sent_since.min(f64::from(s.out)),
            _ => s.util + f64::from(s.out + s.peers_out),
        }
    }

    /// Loads are known from live weights alone, some time after.
    fn late(&self) -> bool {
        self.live && !self.sees_load
    }

    /// The size of a server against the mean one.
    fn size(&self, s: &Server) -> f64 {
        if s.size > 0.0 { s.size / self.mean_size } else { 1.0 }
    }

    /// The turns of a mean server that a request would take here, its own among them.
    fn turns_at(&self, s: &Server) -> f64 {
        (1.0 + self.load_of(s)) / self.size(s)
    }

    /// How much the last report of a server still tells: in a mean delay it has had time to fill or to empty.
    fn fresh(&self, s: &Server) -> f64 {
        let turn = self.delay.unwrap_or(tightest_aim(&self.set).as_f64());
        if self.counts_requests { (-(self.stepped - s.seen).as_f64() / turn).exp() } else { 1.0 }
    }

    /// One window: every server heard from rises by its figures, the others evaporate, both at once.
    fn step(&mut self, now: Time, todo: &mut Vec<Action>) {
        let gap = now - self.stepped;
        self.stepped = now;
        self.servers.iter_mut().for_each(|s| s.peers_out = 0);
        let add = |id: ServerId, n| self.servers[id.0 as usize].peers_out += n;
        self.told.out(now, SECOND, SECOND.times(3.0 * GREET), add);
        self.suspect(now, todo);
        self.use_enough(gap);
        let kept = (-gap.as_f64() / SECOND.times(f64::from(TOLD)).as_f64()).exp();
        self.servers.iter_mut().for_each(|s| s.faulty *= kept);
        self.timely += (1.0 - self.timely) * (1.0 - kept);
        let classes = self.set.classes.iter().enumerate();
        let limits = classes.filter_map(|(n, c)| Some(self.allowed * c.aim.as_f64() / self.turn(now, n)?));
        self.load_limit = limits.fold(f64::MAX, f64::min);
        let settle = if self.sees_load { SETTLE_FRESH } else { SETTLE_SLOW };
        let part = 1.0 - (-gap.as_f64() / (self.window.as_f64() * settle)).exp();
        let silent_part = part.min(gap.as_f64() / self.heard_for().as_f64());
        for table in 0..2 {
            let figure: Vec<Option<f64>> = self.ready.iter().map(|id| self.figure(now, *id, table)).collect();
            let mut tau: Vec<f64> = self.ready.iter().map(|id| self.server(*id).tau[table]).collect();
            let old = tau.clone();
            let x = if self.late() { over_largest(&figure) } else { bent(&figure) };
            if table == 0 && (self.sees_load || self.live) {
                self.keep_room();
            }
            window_step(&mut tau, &x, part, silent_part);
            for (at, (tau, old)) in tau.into_iter().zip(old).enumerate() {
                let cold = self.warmth(now, self.ready[at]) < 1.0;
                // A restarted server at most doubles its share in a window.
                let tau = if cold { tau.min(2.0 * old) } else { tau };
                self.servers[self.ready[at].0 as usize].tau[table] = tau;
            }
        }
        self.refresh_shares(now);
    }

    /// Departure for quiet balancers: a server is silent only after it could have been asked a few times.
    fn heard_for(&self) -> Span {
        SECOND.max(self.own_gap().times(self.ready.len() as f64 * ASKED))
    }

    /// The mean time between own requests; between sends it grew without end while all were refused.
    fn own_gap(&self) -> Span {
        Span(self.born.map_or(0, |born| (self.stepped - born).0) / self.asked.max(1))
    }

    /// The figure of one server for the load (0) or delay (1) table, if it was heard from lately.
    fn figure(&self, now: Time, id: ServerId, table: usize) -> Option<f64> {
        let s = self.server(id);
        let lately = |t: Time| now - t <= self.heard_for();
        let told = table == 0 && self.live && lately(s.renewed);
        let heard = (told || s.heard.is_some_and(lately)) && s.strikes == 0;
        heard.then(|| match table {
            0 if self.live => self.turns_at(s),
            0 => self.load_of(s) / self.size(s),
            _ => s.delay.or(self.delay).unwrap_or(0.0),
        })
    }

    /// Departure where loads are known: a share is multiplied by the room left. A raised entry falls only by
    /// the others' rise, so a server just filled would keep its share. Old reports count less.
    fn keep_room(&mut self) {
        let (mut sum, mut weight, mut known) = (0.0, 0.0, 0.0_f64);
        for s in self.ready.iter().map(|id| self.server(*id)) {
            let fresh = self.fresh(s);
            (sum, weight, known) = (sum + fresh * self.load_of(s), weight + fresh, known.max(fresh));
        }
        let usual = sum / weight.max(1e-9);
        let sharp = if self.late() { BEND_LATE } else { BEND };
        let bend = |s: &Server| if usual > 0.0 { (-sharp * self.load_of(s) / usual).exp() } else { 1.0 };
        let room = |s: &Server| bend(s) * self.fresh(s) * self.size(s);
        let rooms: Vec<f64> = self.ready.iter().map(|id| room(self.server(*id))).collect();
        let least = ROOM_LEAST.max(1.0 - known) / rooms.len() as f64;
        for (at, room) in rooms.into_iter().enumerate() {
            self.servers[self.ready[at].0 as usize].room = room.max(least).max(f64::MIN_POSITIVE);
        }
    }

    /// Reports of this server stopped, while it was busy and nothing came from it since.
    fn quiet(&self, now: Time, s: &Server) -> bool {
        let Some(round) = self.round else { return false };
        let since = s.heard.is_none_or(|t| (t - s.renewed).as_f64() < round);
        s.held > 0.0 && since && (now - s.renewed).as_f64() > LATE * round
    }

    fn refresh_shares(&mut self, now: Time) {
        let warmth = |id: &ServerId| self.warmth(now, *id);
        let able = |id: &ServerId| warmth(id) * self.size(self.server(*id));
        self.warm = (self.ready.iter().map(able).sum(), self.ready.iter().any(|id| warmth(id) >= 1.0));
        let mut sum = 0.0;
        self.shares.clear();
        for id in &self.ready {
            let near = |s: &Server| if s.zone == self.set.zone { 1.0 } else { self.far };
            let blend = |s: &Server| {
                near(s) * s.room * (1.0 - s.faulty).powi(2) * ((1.0 - ALPHA) * s.tau[1] + ALPHA * s.tau[0])
            };
            sum += blend(self.server(*id));
            self.shares.push(sum);
        }
    }

    /// Departure where messages are allowed: the load counts the attempts of all instances that use a server.
    /// Each tells a change at once to those that use the server too, and at times all that it uses to all.
    fn tell_peers(&mut self, now: Time, todo: &mut Vec<Action>) {
        let word =
            |id: &ServerId| told::word(self.servers[id.0 as usize].common, self.servers[id.0 as usize].out);
        let greet = self.greeted.is_none_or(|at| now - at >= SECOND.times(GREET));
        if greet && !self.ready.is_empty() {
            self.greeted = Some(now);
            let data = self.ready.iter().take(told::BYTES / 4).flat_map(word).collect();
            todo.push(Action::SendToPeers { peer: None, data });
        }
        let changed = std::mem::take(&mut self.changed);
        for (peer, shared) in self.told.sharing(&changed) {
            let data: Vec<u8> = shared.iter().flat_map(word).collect();
            if self.peer_credit >= data.len() as f64 {
                self.peer_credit -= data.len() as f64;
                todo.push(Action::SendToPeers { peer: Some(peer), data });
            }
        }
    }

    /// Probes that a request pays for, where reports tell the requests in hand.
    fn probes_a_request(&self) -> f64 {
        let able = self.set.limits.probes && self.counts_requests;
        if able { PROBE_SPEND / self.set.prices.probe.max(PROBE_SPEND / 100.0) } else { 0.0 }
    }

    /// Closes the window early for a request that finds it old: whether it has to wait for the probes.
    fn looks(&mut self, now: Time, class: u32, todo: &mut Vec<Action>) -> bool {
        let patience = self.patience(class);
        if self.probes_a_request() >= 1.0
            && !self.looking
            && now - self.stepped > patience
            && self.probes_out == 0
        {
            self.probe_some(now, todo);
            self.looking = self.probes_out > 0;
            if self.looking {
                todo.push(Action::Timer { token: LOOKED, delay: patience });
            }
        }
        self.looking
    }

    fn patience(&self, class: u32) -> Span {
        self.class(class).map_or(self.window, |c| c.aim.times(LOOK))
    }

    fn looked(&mut self, now: Time, todo: &mut Vec<Action>) {
        self.looking = false;
        self.step(now, todo);
        self.serve_held(now, usize::MAX, todo);
    }

    /// Probes servers in turn, as many as it takes to find an idle one and as one request pays for.
    fn probe_some(&mut self, now: Time, todo: &mut Vec<Action>) {
        // Enough that one of them is idle, by the part of probed servers that were busy of late.
        let enough = (FOUND.ln() / self.busy.clamp(0.01, 0.99).ln()).ceil();
        let each = enough.min(self.probes_a_request().floor()).min(self.ready.len() as f64);
        if each < 1.0 || self.probe_credit < each {
            return;
        }
        self.probe_credit = (self.probe_credit - each).min(2.0 * each);
        let (mut left, mut tries) = (each as u32, self.ready.len());
        while left > 0 && tries > 0 {
            tries -= 1;
            self.probe_next = (self.probe_next + 1) % self.ready.len();
            let id = self.ready[self.probe_next];
            if let Some(s) = self.server_mut(id).filter(|s| s.probing.is_none() && s.shunned <= now) {
                s.probing = Some(now);
                left -= 1;
                self.probes_out += 1;
                todo.push(Action::Probe { server: id });
            }
        }
    }

    /// Draws a server by the shares among those eligible: of all used, or of the first for its key. A repeat
    /// bound to a group may find one among the servers not used otherwise, each at the mean share.
    fn pick(&mut self, now: Time, wanted: Wanted) -> Option<ServerId> {
        let used = self.ready.len();
        let most = if wanted.group.is_some() { self.listed.len() } else { used };
        let mut places: Vec<usize> = (0..most).collect();
        let (mut from, mut upto) = (0, most);
        if let (Some(key), None) = (wanted.key, wanted.group) {
            upto = self.enough_for(key);
            places.sort_by_cached_key(|at| keys::scattered(key ^ self.server(self.listed[*at]).common));
        }
        while from < most {
            let mut left: Vec<(ServerId, f64)> = Vec::new();
            let mut sum = 0.0;
            for at in &places[from..upto.min(most)] {
                let id = self.listed[*at];
                if self.eligible(now, id, wanted) {
                    let below = if *at > 0 { self.shares[(*at - 1).min(used - 1)] } else { 0.0 };
                    let mean = self.shares[used - 1] / used as f64;
                    sum += self.shares.get(*at).map_or(mean, |upto| upto - below);
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
    fn enough_for(&self, key: u64) -> usize {
        (KEY_LEAST + KEY_SPREAD * self.keys.part(key) * self.ready.len() as f64) as usize
    }

    /// Departure where opening connections costs or loads are told: a balancer uses few servers, more the
    /// more it sends, and others in place of silent ones.
    fn use_enough(&mut self, gap: Span) {
        let (rate, peak, counted) = self.rate;
        let part = 1.0 - (-gap.as_f64() / USED_OVER.as_f64()).exp();
        let rate = rate + part * ((self.sends - counted) as f64 / gap.as_f64().max(1.0) - rate);
        let peak = (peak * (-gap.as_f64() / USED_FADE.as_f64()).exp()).max(rate);
        self.rate = (rate, peak, self.sends);
        let own = peak * self.least_delay * USED_EACH;
        let all = self.listed.len() as f64;
        // Each of `n` servers finds its connection closed with the chance exp(-rate idle / n).
        let (idle, dear) = (self.set.limits.conn_idle.as_f64(), self.set.prices.handshake / CONNECTION_SPEND);
        let kept = if dear > 1.0 { peak * idle / dear.ln() } else { f64::INFINITY };
        let told = if self.tells { own * USED_EACH } else { f64::INFINITY };
        let wanted = kept.min(told).max(USED_LEAST).max(own).min(all).ceil();
        if wanted > self.width || wanted < self.width / 2.0 {
            self.width = wanted;
        }
        let mut left = self.width;
        let fine = |id: &&ServerId| {
            left -= f64::from(self.server(**id).strikes == 0);
            left >= 0.0
        };
        let enough = self.listed.iter().take(2 * self.width as usize).take_while(fine).count();
        if enough != self.ready.len() {
            self.ready = self.listed[..enough].to_vec();
            // Those that enter start at the mean share.
            let enter = |tau: f64| if tau > 0.0 { tau } else { 1.0 / enough as f64 };
            for (at, id) in self.listed.iter().enumerate() {
                let s = &mut self.servers[id.0 as usize];
                s.used = at < enough;
                s.tau = if s.used { s.tau.map(enter) } else { [0.0; 2] };
            }
        }
    }

    /// The order in which this balancer uses the listed servers: from its own place in the order of their
    /// common names in growing steps, so that all together cover them evenly and few use the same.
    fn own_order(&self, mut ring: Vec<ServerId>) -> Vec<ServerId> {
        let dear = self.set.prices.cross_zone > FAR;
        ring.sort_unstable_by_key(|id| {
            (dear && self.server(*id).zone != self.set.zone, self.server(*id).common)
        });
        let near = ring.partition_point(|id| !dear || self.server(*id).zone == self.set.zone);
        let arc = |part: &[ServerId]| -> Vec<ServerId> {
            let n = part.len();
            let start = (u64::from(self.set.instance_index) * n as u64
                / u64::from(self.set.instance_count.max(1))) as usize;
            let mut taken = vec![false; n];
            // Those that tell each other keep to neighbours, so that few share servers with each.
            let far = if self.tells { 0 } else { n / 2 };
            let places = (0..far).map(|k| k * k).chain(0..n).map(|step| (start + step) % n.max(1));
            places.filter(|at| !std::mem::replace(&mut taken[*at], true)).map(|at| part[at]).collect()
        };
        // One of another zone after every few of the own: a zone may lack capacity.
        let (mut near, mut rest) = (arc(&ring[..near]).into_iter(), arc(&ring[near..]).into_iter());
        let mut order = Vec::with_capacity(ring.len());
        while order.len() < ring.len() {
            order.extend(near.by_ref().take(NEAR));
            order.extend(rest.next());
        }
        order
    }

    /// Whether a server may get a request now. All filters on the shares stand here.
    fn eligible(&mut self, now: Time, id: ServerId, wanted: Wanted) -> bool {
        let s = self.server(id);
        let same = |(group, n)| match group {
            Group::All => true,
            Group::Zone => s.zone == n,
            Group::Cell => s.cell == n,
        };
        // An idle server always has room: a turn mistaken for too long once had everything refused for good.
        let idle = if self.sees_load || self.live { 1.0 } else { 0.5 };
        let crowded = !self.late()
            && self.load_of(s) >= idle
            && self.crowded(now, self.load_of(s), self.size(s), wanted);
        s.state == State::Ready
            && wanted.group.is_none_or(same)
            && wanted.not != Some(id)
            && s.shunned <= now
            && (s.strikes == 0 || s.out == 0)
            && s.probing.is_none_or(|t| now - t <= self.window)
            && !crowded
            && self.cold_allows(now, id)
    }

    /// Whether a server with this load is thought to answer too late, behind the turns of those it holds.
    /// The tightest class binds all: a class with a long aim would else fill servers until no other fits.
    fn crowded(&self, now: Time, load: f64, size: f64, wanted: Wanted) -> bool {
        let turn = self.turn(now, wanted.class as usize);
        // Before the first answers nothing is known: all once filled the servers with their first requests.
        if turn.is_none() && self.tells {
            return true;
        }
        let own = turn.unwrap_or(0.0);
        let work = wanted.work.map_or(own, |work| work.as_f64().max(own));
        (load * own + work) / size > wanted.within.as_f64() * self.allowed
            || (1.0 + load) / size > self.load_limit
    }

    /// Enters how an attempt ended. Learns a class's turn also from time-outs: the served alone are short.
    fn learn_turn(&mut self, now: Time, id: RequestId, attempt: Attempt, status: Status, latency: Span) {
        let Some(open) = self.open.get_mut(&id) else { return };
        let Some(sent) = open.attempts.get_mut(attempt.0 as usize) else { return };
        sent.ended = Some(status);
        let (ahead, in_time) = (sent.ahead, status == Status::Ok && now - open.arrived <= open.aim);
        if !matches!(status, Status::Ok | Status::Timeout) {
            return;
        }
        let Some(turn) = self.turns.get_mut(open.class as usize) else { return };
        self.timely = smooth(Some(self.timely), f64::from(in_time), SMOOTH);
        turn.seen = turn.seen.saturating_add(1);
        // Quiet balancers forget by time: turns of an overload once lasted for half a minute after it.
        let forgotten = 1.0 - (-(now - turn.at).as_f64() / SECOND.times(f64::from(TOLD)).as_f64()).exp();
        let weight = SMOOTH_TURN.max(1.0 / f64::from(turn.seen)).max(forgotten);
        turn.log += weight * ((latency.as_f64().max(1.0) / (1.0 + ahead)).ln() - turn.log);
        turn.at = now;
    }

    /// The turn of a class, if enough answers tell it and the last is recent: what is refused brings none.
    fn turn(&self, now: Time, class: usize) -> Option<f64> {
        let (turn, class) = (self.turns.get(class)?, self.set.classes.get(class)?);
        let recent = class.aim.times(RECENT).max(self.own_gap().times(f64::from(TOLD)));
        let told = turn.seen >= TOLD && now - turn.at < recent;
        told.then(|| turn.log.exp().max(1.0))
    }

    /// The part of its capacity that a server surely has by now.
    fn warmth(&self, now: Time, id: ServerId) -> f64 {
        let s = self.server(id);
        let (cold, from) = (self.set.safety.cold, self.set.safety.cold_from);
        let age = now - s.born;
        if s.born == Time(0) || age >= cold {
            1.0
        } else {
            from + (1.0 - from) * age.as_f64() / cold.as_f64()
        }
    }

    /// Cold budget: a cold server gets little more than its warmth's part of what our mean server accepts. As
    /// every balancer keeps to it, all together stay far under what tips the server over: what servers accept
    /// is bounded by what they can do. Earned by all sends, it grew with those that full servers turned away.
    fn cold_allows(&mut self, now: Time, id: ServerId) -> bool {
        let warmth = self.warmth(now, id);
        if warmth >= 1.0 {
            return true;
        }
        let (accepted, (sum, any_warm)) = (self.accepted, self.warm);
        let able = warmth * self.size(self.server(id));
        let earned = COLD_EXTRA * able / sum.max(able);
        // Draws hardly fall on a server just when its credit is full: seen idle, it may get one ahead.
        let idle = self.counts_requests && self.load_of(self.server(id)) < 0.5;
        let ahead = idle && self.rng.0.random::<f64>() < earned * self.ready.len() as f64 / 2.0;
        let Some(s) = self.server_mut(id) else { return false };
        s.credit = (s.credit + (accepted - s.credit_mark) as f64 * earned).min(COLD_BURST);
        s.credit_mark = accepted;
        // With nothing warm at all, own sends alone would never fill the first budget: one at a time goes.
        s.credit >= 1.0 || (ahead && s.credit > 0.0) || (!any_warm && s.out == 0)
    }

    /// A server from which nothing came for several mean delays while something was out hangs or is gone.
    fn suspect(&mut self, now: Time, todo: &mut Vec<Action>) {
        let least = tightest_aim(&self.set);
        let Some(mean) = self.delay else { return };
        for i in 0..self.ready.len() {
            let id = self.ready[i];
            let quiet = self.quiet(now, self.server(id));
            let Some(s) = self.server_mut(id) else { continue };
            if quiet && s.strikes == 0 {
                s.strike(now, least);
            }
            // Not under the tightest aim; and one long request is no sign yet where a few are out.
            let few = 1.0 + 2.0 / f64::from(s.out.max(1));
            let limit = (SILENCE * few * s.delay.unwrap_or(mean).max(mean)).max(least.as_f64());
            if s.waiting.is_some_and(|t| (now - t).as_f64() > limit) {
                if s.strikes == 0 {
                    let text = "silent with attempts out, avoided".to_owned();
                    todo.push(Action::Log { server: Some(id), text });
                }
                s.strike(now, least);
                s.waiting = Some(now);
            }
        }
    }

    /// A second copy, while the only attempt is out: whether it went out.
    fn copy(&mut self, now: Time, id: RequestId, todo: &mut Vec<Action>) -> bool {
        let (one_out, sends) =
            (|o: &Open| o.attempts.iter().filter(|a| a.ended.is_none()).count() == 1, self.sends);
        if self.set.limits.hedging && self.open.get(&id).is_some_and(one_out) {
            self.advance(now, id, true, todo);
        }
        self.sends > sends
    }

    fn on_outcome(&mut self, now: Time, id: RequestId, closed: bool, todo: &mut Vec<Action>) {
        if closed {
            let open = self.open.remove(&id).filter(|_| self.set.limits.cancellation);
            let out =
                open.iter().flat_map(|o| o.attempts.iter().enumerate()).filter(|(_, a)| a.ended.is_none());
            todo.extend(out.map(|(n, _)| Action::Cancel { id, attempt: Attempt(n as u32) }));
        } else if self.open.get(&id).is_some_and(|o| o.attempts.iter().all(|a| a.ended.is_some())) {
            self.advance(now, id, false, todo);
        }
    }

    /// Sends a request without an attempt out, holds it for a moment, or answers it for good; sends a copy.
    fn advance(&mut self, now: Time, id: RequestId, copy: bool, todo: &mut Vec<Action>) {
        let Some(open) = self.open.get(&id) else { return };
        let Some(class) = self.class(open.class) else { return self.give_up(id, todo) };
        let aim = open.arrived + class.aim;
        let last = if class.late_worth > 0.0 { open.deadline } else { aim.min(open.deadline) };
        let spent = open.spent || open.attempts.len() as u32 >= open.most;
        let target = if now < aim { aim.min(last) } else { last };
        let mut wanted = Wanted {
            within: target - now,
            class: open.class,
            work: open.hint,
            group: None,
            key: open.key,
            not: open.attempts.last().map(|a| a.server),
        };
        let may_go = match (open.may_run(), class.effect) {
            (None, _) | (Some(_), Effect::Safe) => true,
            (Some(_), Effect::Unsafe) => false,
            (Some(first), Effect::Keyed { group, window }) => {
                let s = self.server(first.server);
                wanted.group = Some((group, if group == Group::Zone { s.zone } else { s.cell }));
                now + self.set.tick < first.at + window
            }
        };
        if now >= last || spent || !may_go || open.streaming {
            if !copy {
                self.give_up(id, todo);
            }
            return;
        }
        // What a client still waits may be far less than the aim: what was held past it was lost.
        let hold_until = open.arrived + class.aim.min(open.deadline - open.arrived).times(HOLD);
        let (until, fresh) = (last, open.attempts.is_empty());
        match self.pick(now, wanted) {
            Some(server) => self.send(now, id, server, until, todo),
            None if copy => {}
            None if fresh && now < hold_until && !self.ready.is_empty() => {
                self.held.push_back(id);
                // One timer for each, however often it goes back: a timer each time flooded the host.
                if let Some(open) = self.open.get_mut(&id).filter(|o| !o.timed) {
                    open.timed = true;
                    todo.push(Action::Timer { token: HELD, delay: hold_until - now });
                }
            }
            None => self.give_up(id, todo),
        }
    }

    fn send(&mut self, now: Time, id: RequestId, server: ServerId, until: Time, todo: &mut Vec<Action>) {
        self.sends += 1;
        self.accepted += 1;
        let ahead = self.turns_at(self.server(server)) - 1.0;
        self.changed.extend(self.tells.then_some(server));
        if let Some(s) = self.server_mut(server) {
            s.holds(now, true);
            s.credit -= 1.0;
        }
        if let Some(open) = self.open.get_mut(&id) {
            open.attempts.push(Sent { server, at: now, ahead, ended: None });
        }
        todo.push(Action::Send { id, server, until: Some(until) });
        let Limits { hedging, cancellation, .. } = self.set.limits;
        let first = self.open.get(&id).filter(|o| hedging && cancellation && o.attempts.len() == 1);
        if let Some(aim) = first.map(|open| open.aim) {
            todo.push(Action::Timer { token: Token(COPY + id.0), delay: aim.times(COPY_AT) });
            self.copy_credit = (self.copy_credit + COPY_PART).min(COPY_MOST);
        }
    }

    /// Takes up that the last attempt went out elsewhere, where a host watches decisions made by another.
    pub fn follow(&mut self, id: RequestId, server: ServerId) {
        let last = self.open.get_mut(&id).and_then(|open| open.attempts.last_mut());
        let Some(own) = last.map(|last| std::mem::replace(&mut last.server, server)) else { return };
        let now = self.stepped;
        for (id, more) in [(own, false), (server, true)] {
            self.server_mut(id).into_iter().for_each(|s| s.holds(now, more));
        }
    }

    /// The final answer of a request that will not be served: refused where that is true, else failed.
    fn give_up(&mut self, id: RequestId, todo: &mut Vec<Action>) {
        let Some(open) = self.open.remove(&id) else { return };
        let effect = self.class(open.class).map(|c| c.effect);
        let repeatable = matches!(effect, Some(Effect::Safe | Effect::Keyed { group: Group::All, .. }));
        if repeatable || open.may_run().is_none() {
            let retry_after = self.set.limits.retry_after.map(|most| most.min(self.window));
            todo.push(Action::Refuse { id, retry_after });
        } else {
            todo.push(Action::Fail { id });
        }
    }

    /// Departure where attempts miss their aim: some requests are refused at once, the least worth first.
    fn admits(&mut self, class: u32) -> bool {
        let classes = || self.set.classes.iter().filter(|c| !c.retired);
        let mean = classes().map(|c| c.worth).sum::<f64>() / classes().count() as f64;
        let worth = self.class(class).map_or(0.0, |c| c.worth).max(0.01 * mean);
        // Where no worth is told all are alike: 0 over 0 had nine of ten refused.
        let rank = if mean > 0.0 { mean / worth } else { 1.0 };
        let bar = if self.set.tail.share > 0.0 {
            (1.0 - 2.0 * self.set.tail.allowed_misses).max(0.01)
        } else {
            TIMELY
        };
        let kept = (self.timely / bar).powi(2).min(1.0).powf(rank).max(0.1);
        kept >= 1.0 || self.rng.0.random::<f64>() < kept
    }

    /// Tries held requests again in their order: after an answer one, once a window all of them.
    fn serve_held(&mut self, now: Time, most: usize, todo: &mut Vec<Action>) {
        for _ in 0..self.held.len().min(most) {
            let Some(id) = self.held.pop_front() else { return };
            self.advance(now, id, false, todo);
        }
    }

    fn on_members(&mut self, now: Time, kind: ListKind, entries: &[Member], todo: &mut Vec<Action>) {
        match kind {
            ListKind::Failed => return self.calls.failed(now, &self.set, &mut self.rng.0, todo),
            ListKind::Cached => {}
            ListKind::Full | ListKind::Changes => self.calls.listed(),
        }
        if kind != ListKind::Changes {
            self.servers.iter_mut().for_each(|s| s.state = State::Removed);
        }
        for entry in entries {
            self.list(now, entry);
        }
        let ids = (0..self.servers.len() as u32).map(ServerId);
        self.listed = self.own_order(ids.filter(|id| self.server(*id).state == State::Ready).collect());
        self.told.listed(self.listed.iter().map(|id| (*id, self.servers[id.0 as usize].common)));
        let sizes = || self.listed.iter().map(|id| self.server(*id).size).filter(|size| *size > 0.0);
        self.mean_size = sizes().sum::<f64>().max(f64::MIN_POSITIVE) / sizes().count().max(1) as f64;
        self.ready.clear();
        self.use_enough(Span(0));
        self.refresh_shares(now);
        self.serve_held(now, usize::MAX, todo);
    }

    fn list(&mut self, now: Time, entry: &Member) {
        let at = entry.server.0 as usize;
        self.servers.resize(self.servers.len().max(at + 1), Server::default());
        let (credit, credit_mark) = (self.rng.0.random::<f64>(), self.accepted);
        let known = &mut self.servers[at];
        if entry.started_at > known.born || known.heard.is_none() || entry.global_id != known.common {
            // New or restarted: what was known of an old process is void, and it enters at the mean.
            let size = if entry.global_id == known.common { known.size } else { 0.0 };
            let (born, common, heard) = (entry.started_at, entry.global_id, Some(now));
            let (out, probing, room, rest) = (known.out, known.probing, 1.0, Server::default());
            *known = Server { born, common, heard, size, credit, credit_mark, out, probing, room, ..rest };
        }
        (known.state, known.zone, known.cell) = (entry.state, entry.zone, entry.cell);
        if entry.weight > 0.0 && entry.weight.is_finite() && entry.weight != known.weight {
            known.weight = entry.weight;
            known.size = if self.live { known.size.max(entry.weight) } else { entry.weight };
            if self.live && known.renewed > Time(0) {
                self.round = Some(smooth(self.round, (now - known.renewed).as_f64(), SMOOTH_TURN));
            }
            if self.live && known.strikes > 0 {
                (known.strikes, known.shunned) = (0, now);
            }
            (known.held, known.renewed, known.sent_since) = (known.size / entry.weight - 1.0, now, 0.0);
        }
    }
}

fn tightest_aim(set: &Settings) -> Span {
    set.classes.iter().filter(|c| !c.retired).map(|c| c.aim).min().unwrap_or(SECOND)
}

/// Bends figures against their mean, see `BEND`, and divides them by the largest; zeros where that is zero.
pub fn bent(figures: &[Option<f64>]) -> Vec<Option<f64>> {
    let known = || figures.iter().flatten();
    let mean = known().sum::<f64>() / known().count().max(1) as f64;
    let bend = |v: f64| if mean > 0.0 { 1.0 - (-BEND * v / mean).exp() } else { 0.0 };
    over_largest(&figures.iter().map(|v| v.map(bend)).collect::<Vec<_>>())
}

/// Figures over the largest one; zeros where that is zero.
fn over_largest(figures: &[Option<f64>]) -> Vec<Option<f64>> {
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
    let floor = FLOOR / tau.len() as f64;
    for ((t, new), x) in tau.iter_mut().zip(new).zip(x) {
        let old = *t / old_sum;
        let part = if x.is_some() { part } else { silent_part };
        *t = (old + part * (new / sum - old)).max(floor);
    }
    let sum: f64 = tau.iter().sum();
    tau.iter_mut().for_each(|t| *t /= sum);
}
