//! The actor that owns the decision module: its clock, its timers and the table of requests. It hands events
//! to the module and carries its actions out; it decides nothing itself.

use crate::list;
use crate::message::{Answer, Listing, Request};
use crate::peer::{self, Ended};
use dunlincleat::Balancer;
use dunlincleat::api::{
    Action, Attempt, Event, ListKind, Member, RequestId, ServerId, Span, State, Status, Time, Token,
};
use dunlincleat_settings::{Site, common_name};
use rustc_hash::{FxHashMap, FxHashSet};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, sleep_until};

/// How often the log sums up.
const SUM_UP: Duration = Duration::from_secs(10);

/// What the actor is told.
enum Msg {
    Request { id: RequestId, request: Rc<Request>, received: Instant, slot: oneshot::Sender<Answer> },
    Gone { id: RequestId },
    Ended { id: RequestId, attempt: Attempt, server: ServerId, ended: Ended },
    Probed { server: ServerId, ended: Ended },
    Listed { listing: Listing },
    ListFailed,
}

/// The actor's mailbox. It holds no more than the requests in hand bring: the front bounds those, each has at
/// most a few attempts, and each server one probe.
#[derive(Clone)]
pub struct Handle(mpsc::UnboundedSender<(Instant, Msg)>);

/// The other end of the mailbox.
pub struct Mailbox(mpsc::UnboundedReceiver<(Instant, Msg)>);

/// A mailbox.
pub fn mailbox() -> (Handle, Mailbox) {
    let (handle, mailbox) = mpsc::unbounded_channel();
    (Handle(handle), Mailbox(mailbox))
}

impl Handle {
    fn tell(&self, msg: Msg) {
        // The actor lives as long as the process.
        let _ = self.0.send((Instant::now(), msg));
    }

    /// A request that came at `received`; its answer goes into the slot.
    pub fn request(&self, id: RequestId, request: Request, received: Instant, slot: oneshot::Sender<Answer>) {
        self.tell(Msg::Request { id, request: Rc::new(request), received, slot });
    }

    /// The client of a request left.
    pub fn gone(&self, id: RequestId) {
        self.tell(Msg::Gone { id });
    }

    /// An attempt ended.
    pub fn ended(&self, id: RequestId, attempt: Attempt, server: ServerId, ended: Ended) {
        self.tell(Msg::Ended { id, attempt, server, ended });
    }

    /// A probe ended.
    pub fn probed(&self, server: ServerId, ended: Ended) {
        self.tell(Msg::Probed { server, ended });
    }

    /// Discovery sent a list or changes.
    pub fn listed(&self, listing: Listing) {
        self.tell(Msg::Listed { listing });
    }

    /// A call of discovery failed, or the watch ended.
    pub fn list_failed(&self) {
        self.tell(Msg::ListFailed);
    }
}

/// The clock that the module reads: microseconds that never go back, counted on from the Unix time at the
/// start, so that the start of a server in a list can be set against it.
struct Clock {
    start: Instant,
    unix: u64,
}

impl Clock {
    fn new() -> Clock {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { start: Instant::now(), unix: unix.as_micros() as u64 }
    }

    fn time(&self, at: Instant) -> Time {
        Time(self.unix + at.saturating_duration_since(self.start).as_micros() as u64)
    }

    fn instant(&self, time: Time) -> Instant {
        self.start + Duration::from_micros(time.0.saturating_sub(self.unix))
    }
}

/// A request that is owed an answer, or whose attempts are not all over.
struct Entry {
    request: Rc<Request>,
    /// Where its answer goes; taken when it is answered or its client is gone.
    slot: Option<oneshot::Sender<Answer>>,
    /// The servers of its attempts, in order, and how many are out.
    attempts: Vec<ServerId>,
    out: usize,
}

/// What happened since the log was last told.
#[derive(Default)]
struct Tally {
    taken: u64,
    served: u64,
    refused: u64,
    failed: u64,
    gone: u64,
    attempts: u64,
    /// The longest wait in the mailbox.
    waited: Duration,
}

struct Known {
    uid: String,
    mailbox: Option<mpsc::UnboundedSender<peer::Msg>>,
}

/// The actor.
pub struct Module {
    balancer: Balancer,
    site: Rc<Site>,
    clock: Clock,
    peers: peer::Common,
    list: mpsc::UnboundedSender<list::Msg>,
    timers: BinaryHeap<Reverse<(Instant, u64, u64)>>,
    timers_set: u64,
    requests: FxHashMap<RequestId, Entry>,
    servers: Vec<Known>,
    by_uid: FxHashMap<String, ServerId>,
    actions: Vec<Action>,
    tally: Tally,
}

impl Module {
    /// The actor; `list` is the mailbox of the one that follows discovery.
    pub fn new(
        site: Rc<Site>,
        seed: u64,
        peers: peer::Common,
        list: mpsc::UnboundedSender<list::Msg>,
    ) -> Module {
        let mut settings = site.settings.clone();
        if settings.limits.peers {
            log::warn!("messages between sidecars have no protocol yet: the module does without");
            settings.limits.peers = false;
        }
        Module {
            balancer: Balancer::new(settings, seed),
            site,
            clock: Clock::new(),
            peers,
            list,
            timers: BinaryHeap::new(),
            timers_set: 0,
            requests: FxHashMap::default(),
            servers: Vec::new(),
            by_uid: FxHashMap::default(),
            actions: Vec::new(),
            tally: Tally::default(),
        }
    }

    /// Runs the actor from the list as last held.
    pub async fn run(mut self, mut mailbox: Mailbox, known: Listing) {
        // With this event the module makes its first call of discovery, so the way there must stand.
        self.listed(ListKind::Cached, &known);
        let mut sum_up = Instant::now() + SUM_UP;
        loop {
            let due = self.timers.peek().map(|Reverse((at, _, _))| *at);
            tokio::select! {
                biased;
                () = sleep_until(due.unwrap_or_else(Instant::now)), if due.is_some() => self.fire(),
                msg = mailbox.0.recv() => match msg {
                    Some((told, msg)) => {
                        self.tally.waited = self.tally.waited.max(told.elapsed());
                        self.take(msg);
                    }
                    None => return,
                },
                () = sleep_until(sum_up) => {
                    self.sum_up();
                    sum_up = Instant::now() + SUM_UP;
                }
            }
        }
    }

    fn sum_up(&mut self) {
        let Tally { taken, served, refused, failed, gone, attempts, waited } =
            std::mem::take(&mut self.tally);
        if taken + attempts > 0 {
            log::info!(
                "in {} s: {taken} taken, {served} served, {refused} refused, {failed} failed, {gone} gone; \
                 {attempts} attempts; {} in hand; {} connections to servers free; mailbox wait at most {} us",
                SUM_UP.as_secs(),
                self.requests.len(),
                self.peers.sockets.available_permits(),
                waited.as_micros()
            );
        }
    }

    fn fire(&mut self) {
        let now = Instant::now();
        while let Some(Reverse((at, _, token))) = self.timers.peek().copied() {
            if at > now {
                return;
            }
            self.timers.pop();
            self.event(Event::Timer { token: Token(token) });
        }
    }

    fn take(&mut self, msg: Msg) {
        match msg {
            Msg::Request { id, request, received, slot } => {
                self.tally.taken += 1;
                let waited = Span(received.elapsed().as_micros() as u64);
                let event = Event::Request {
                    id,
                    left: Span(request.wait.0.saturating_sub(waited.0)),
                    class: request.class,
                    tenant: request.tenant,
                    hint: request.hint,
                    repeat: request.repeat,
                };
                self.requests.insert(id, Entry { request, slot: Some(slot), attempts: Vec::new(), out: 0 });
                self.event(event);
            }
            Msg::Gone { id } => {
                let owed = self.requests.get_mut(&id).and_then(|entry| entry.slot.take()).is_some();
                if owed {
                    self.tally.gone += 1;
                    self.event(Event::Gone { id });
                }
                self.forget(id);
            }
            Msg::Ended { id, attempt, server, ended } => self.ended(id, attempt, server, ended),
            Msg::Probed { server, ended } => {
                let latency = Span(ended.latency.as_micros() as u64);
                self.event(Event::Probed { server, status: ended.status, latency, load: &ended.load });
            }
            Msg::Listed { listing } => {
                let kind = if listing.whole { ListKind::Whole } else { ListKind::Changes };
                self.listed(kind, &listing);
            }
            Msg::ListFailed => self.event(Event::Members { kind: ListKind::Failed, entries: &[] }),
        }
    }

    fn ended(&mut self, id: RequestId, attempt: Attempt, server: ServerId, ended: Ended) {
        let Ended { status, latency, load, body } = ended;
        log::debug!("attempt {} of request {}: {status:?} after {} us", attempt.0, id.0, latency.as_micros());
        let mut closed = true;
        if let Some(entry) = self.requests.get_mut(&id) {
            entry.out = entry.out.saturating_sub(1);
            match (status, body) {
                (Status::Ok, Some((body, content_type))) => {
                    if let Some(slot) = entry.slot.take() {
                        self.tally.served += 1;
                        // Where the client has just gone, its word of that finds the request ended.
                        let _ = slot.send(Answer::Served { body, content_type });
                    }
                }
                _ => closed = entry.slot.is_none(),
            }
        }
        let latency = Span(latency.as_micros() as u64);
        self.event(Event::Outcome { id, attempt, status, closed, latency, server, load: &load });
        self.forget(id);
    }

    /// Drops a request from the table when its answer is given and no attempt is out.
    fn forget(&mut self, id: RequestId) {
        if self.requests.get(&id).is_some_and(|entry| entry.slot.is_none() && entry.out == 0) {
            self.requests.remove(&id);
        }
    }

    fn listed(&mut self, kind: ListKind, listing: &Listing) {
        let mut members = Vec::with_capacity(listing.entries.len());
        for entry in &listing.entries {
            let server = match self.by_uid.get(&entry.uid) {
                Some(server) => *server,
                None => {
                    let server = ServerId(self.servers.len() as u32);
                    self.servers.push(Known { uid: entry.uid.clone(), mailbox: None });
                    self.by_uid.insert(entry.uid.clone(), server);
                    server
                }
            };
            let known = &mut self.servers[server.0 as usize];
            match (&known.mailbox, entry.endpoint) {
                (Some(mailbox), Some(endpoint)) => {
                    let (state, boot_ms) = (entry.state, entry.boot_ms);
                    let _ = mailbox.send(peer::Msg::Listed { endpoint, state, boot_ms });
                }
                (None, Some(endpoint)) => {
                    known.mailbox = Some(peer::start(server, endpoint, entry.boot_ms, self.peers.clone()));
                }
                (_, None) => {}
            }
            let zone = self.site.zones.iter().position(|z| *z == entry.zone);
            members.push(Member {
                server,
                born: Time(entry.boot_ms * 1000),
                weight: entry.weight,
                zone: zone.unwrap_or(self.site.zones.len()) as u32,
                cell: entry.cell,
                state: entry.state,
                common: common_name(&entry.uid),
            });
        }
        if kind == ListKind::Whole {
            // What the whole list lacks is gone, though no entry says so.
            let listed: FxHashSet<ServerId> = members.iter().map(|m| m.server).collect();
            for missing in (0..self.servers.len() as u32).map(ServerId).filter(|id| !listed.contains(id)) {
                self.tell(missing, peer::Msg::Missing);
            }
        }
        let count = |state| members.iter().filter(|m| m.state == state).count();
        log::info!(
            "list {} revision {}: {} up, {} draining, {} removed",
            match kind {
                ListKind::Cached => "as last held",
                ListKind::Whole => "in whole",
                ListKind::Changes => "changes",
                ListKind::Failed => "failed",
            },
            listing.rev,
            count(State::Ready),
            count(State::Draining),
            count(State::Gone)
        );
        self.event(Event::Members { kind, entries: &members });
    }

    /// Hands one event to the module and carries out what it wants done.
    fn event(&mut self, event: Event<'_>) {
        let now = Instant::now();
        let mut actions = std::mem::take(&mut self.actions);
        self.balancer.on_event(self.clock.time(now), event, &mut actions);
        for action in actions.drain(..) {
            self.act(now, action);
        }
        self.actions = actions;
    }

    fn act(&mut self, now: Instant, action: Action) {
        match action {
            Action::Send { id, server, until } => self.send(id, server, until),
            Action::Refuse { id, retry_after } => self.settle(id, Answer::Refused { retry_after }),
            Action::Fail { id } => self.settle(id, Answer::Failed),
            Action::Cancel { id, attempt } => {
                let entry = self.requests.get(&id);
                if let Some(server) = entry.and_then(|e| e.attempts.get(attempt.0 as usize)) {
                    self.tell(*server, peer::Msg::Cancel { id, attempt });
                }
            }
            Action::Probe { server } => {
                if !self.tell(server, peer::Msg::Probe) {
                    self.peers.module.probed(server, Ended::unsent(Status::ConnectFailed));
                }
            }
            Action::Timer { token, delay } => {
                self.timers_set += 1;
                let at = now + Duration::from_micros(delay.0);
                self.timers.push(Reverse((at, self.timers_set, token.0)));
            }
            Action::Watch => {
                let _ = self.list.send(list::Msg::Watch);
            }
            Action::Tell { .. } => log::debug!("no protocol for messages between sidecars"),
            Action::Log { server, text } => match server.and_then(|s| self.servers.get(s.0 as usize)) {
                Some(known) => log::info!("server {}: {text}", known.uid),
                None => log::info!("{text}"),
            },
        }
    }

    fn send(&mut self, id: RequestId, server: ServerId, until: Option<Time>) {
        let Some(entry) = self.requests.get_mut(&id) else { return };
        let attempt = Attempt(entry.attempts.len() as u32);
        entry.attempts.push(server);
        entry.out += 1;
        self.tally.attempts += 1;
        let request = entry.request.clone();
        log::debug!("attempt {} of request {} goes out", attempt.0, id.0);
        let over = entry.slot.is_none() || attempt.0 >= self.site.settings.limits.max_attempts;
        let until = until.map(|at| self.clock.instant(at));
        // Without a time of its own an attempt ends with the client's patience, which ends it as gone.
        let until = until.unwrap_or_else(|| Instant::now() + Duration::from_micros(request.wait.0));
        if over {
            self.peers.module.ended(id, attempt, server, Ended::unsent(Status::Moot));
        } else if !self.tell(server, peer::Msg::Attempt { id, attempt, request, until }) {
            self.peers.module.ended(id, attempt, server, Ended::unsent(Status::ConnectFailed));
        }
    }

    fn tell(&self, server: ServerId, msg: peer::Msg) -> bool {
        let mailbox = self.servers.get(server.0 as usize).and_then(|known| known.mailbox.as_ref());
        mailbox.is_some_and(|mailbox| mailbox.send(msg).is_ok())
    }

    /// Gives a request its final answer.
    fn settle(&mut self, id: RequestId, answer: Answer) {
        if let Some(slot) = self.requests.get_mut(&id).and_then(|entry| entry.slot.take()) {
            match answer {
                Answer::Served { .. } => self.tally.served += 1,
                Answer::Refused { .. } => self.tally.refused += 1,
                Answer::Failed => self.tally.failed += 1,
            }
            let _ = slot.send(answer);
        }
        self.forget(id);
    }
}
