//! The actor that owns the decision module: its clock, its timers and the table of requests. It hands events
//! to the module and carries its actions out; it decides nothing itself.

use crate::clock::Clock;
use crate::list;
use crate::message::{Answer, Request};
use crate::peer::{self, Ended};
use dunlincleat::Balancer;
use dunlincleat::api::{
    Action, Attempt, Event, ListKind, Member, RequestId, ServerId, Span, State, Status, Time, Token,
};
use dunlincleat_directory::{Cause, Delivery, Health};
use dunlincleat_settings::{Site, common_name};
use rustc_hash::{FxHashMap, FxHashSet};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::rc::Rc;
use std::time::Duration;
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
    Listed { delivery: Delivery },
    ListFailed,
    ListState { health: Health },
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

    /// The list changed or was told again.
    pub fn listed(&self, delivery: Delivery) {
        self.tell(Msg::Listed { delivery });
    }

    /// How fresh the list is, for the log.
    pub fn list_state(&self, health: Health) {
        self.tell(Msg::ListState { health });
    }

    /// A call of discovery failed, or the watch ended.
    pub fn list_failed(&self) {
        self.tell(Msg::ListFailed);
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

/// A place for a server, under the number that the module knows it by.
#[derive(Default)]
struct Known {
    uid: String,
    mailbox: Option<mpsc::UnboundedSender<peer::Msg>>,
    /// Attempts and probes out there.
    out: usize,
    /// Since when the list lacks it.
    gone: Option<Instant>,
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
    /// Places of servers that are gone, for new ones.
    free: Vec<ServerId>,
    /// How long a place stays a gone server's: as long as a request may remember it.
    remembered: Duration,
    actions: Vec<Action>,
    tally: Tally,
    /// The list's state, and as it was when the log last summed up.
    health: Health,
    summed: Health,
}

impl Module {
    /// The actor; `list` is the mailbox of the one that follows discovery.
    pub fn new(
        site: Rc<Site>,
        seed: u64,
        clock: Clock,
        peers: peer::Common,
        list: mpsc::UnboundedSender<list::Msg>,
    ) -> Module {
        let mut settings = site.settings.clone();
        if settings.limits.peers {
            log::warn!("messages between sidecars have no protocol yet: the module does without");
            settings.limits.peers = false;
        }
        let longest = settings.classes.iter().map(|c| c.deadline.0).max().unwrap_or(0);
        Module {
            remembered: Duration::from_micros(longest),
            free: Vec::new(),
            balancer: Balancer::new(settings, seed),
            site,
            clock,
            peers,
            list,
            timers: BinaryHeap::new(),
            timers_set: 0,
            requests: FxHashMap::default(),
            servers: Vec::new(),
            by_uid: FxHashMap::default(),
            actions: Vec::new(),
            tally: Tally::default(),
            health: Health::default(),
            summed: Health::default(),
        }
    }

    /// Runs the actor from the list as last held.
    pub async fn run(mut self, mut mailbox: Mailbox, known: Delivery) {
        // With this event the module makes its first call of discovery, so the way there must stand.
        self.listed(&known);
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
        let (health, before) = (self.health, std::mem::replace(&mut self.summed, self.health));
        // The last sign of life is at most a heartbeat old while discovery speaks.
        let age = (self.clock.now() - health.fresh_at).0 / 1000;
        let ended = Cause::NAMES.iter().zip(health.ended.iter().zip(before.ended));
        let ended: String = ended
            .filter(|(_, (now, before))| **now > *before)
            .map(|(name, (now, before))| format!(", {name} {}", now - before))
            .collect();
        log::info!(
            "list: revision {}, {} up, all told until {age} ms ago known, longest unheard {} ms; {} watches, {} \
             opened{ended}",
            health.rev,
            health.ready,
            health.longest_unheard.0 / 1000,
            health.watches,
            health.opened - before.opened,
        );
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
            Msg::Ended { id, attempt, server, ended } => {
                self.returned(server);
                self.ended(id, attempt, server, ended);
            }
            Msg::Probed { server, ended } => {
                self.returned(server);
                let latency = Span(ended.latency.as_micros() as u64);
                self.event(Event::Probed { server, status: ended.status, latency, load: &ended.load });
            }
            Msg::Listed { delivery } => self.listed(&delivery),
            Msg::ListState { health } => self.health = health,
            Msg::ListFailed => self.event(Event::Members { kind: ListKind::Failed, entries: &[] }),
        }
    }

    fn ended(&mut self, id: RequestId, attempt: Attempt, server: ServerId, ended: Ended) {
        let Ended { status, latency, load, body } = ended;
        if log::log_enabled!(log::Level::Debug) {
            let uid = self.servers.get(server.0 as usize).map_or("", |known| &known.uid);
            let took = latency.as_micros();
            log::debug!(
                "attempt {} of request {} at {uid}: {status:?} after {took} us, load {load:?}",
                attempt.0,
                id.0
            );
        }
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

    /// The number of a server, a new one's where the list names it for the first time.
    fn number(&mut self, uid: &str) -> ServerId {
        if let Some(server) = self.by_uid.get(uid) {
            return *server;
        }
        let server = self.free.pop().unwrap_or_else(|| {
            self.servers.push(Known::default());
            ServerId(self.servers.len() as u32 - 1)
        });
        self.servers[server.0 as usize].uid = uid.to_owned();
        self.by_uid.insert(uid.to_owned(), server);
        server
    }

    /// Gives back the places of servers that have been gone for so long that no request remembers them. Their
    /// actors end with their mailboxes. Without this, each replaced server stayed here for good.
    fn clear_out(&mut self) {
        let now = Instant::now();
        for (n, known) in self.servers.iter_mut().enumerate() {
            if known.out == 0 && known.gone.is_some_and(|gone| now - gone >= self.remembered) {
                self.by_uid.remove(&known.uid);
                *known = Known::default();
                self.free.push(ServerId(n as u32));
            }
        }
    }

    fn listed(&mut self, listing: &Delivery) {
        let kind = listing.kind;
        self.clear_out();
        let mut members = Vec::with_capacity(listing.entries.len());
        for entry in &listing.entries {
            let server = self.number(&entry.uid);
            let known = &mut self.servers[server.0 as usize];
            known.gone = (entry.state == State::Gone).then(|| known.gone.unwrap_or_else(Instant::now));
            match (&known.mailbox, entry.endpoint) {
                (Some(mailbox), Some(endpoint)) => {
                    let (state, boot_ms) = (entry.state, entry.boot_ms);
                    let _ = mailbox.send(peer::Msg::Listed { endpoint, state, boot_ms });
                }
                (Some(mailbox), None) => drop(mailbox.send(peer::Msg::Missing)),
                (None, Some(endpoint)) if entry.state != State::Gone => {
                    known.mailbox = Some(peer::start(server, endpoint, entry.boot_ms, self.peers.clone()));
                }
                (None, _) => {}
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
            let missing = |(n, known): &(usize, &mut Known)| {
                !known.uid.is_empty() && !listed.contains(&ServerId(*n as u32))
            };
            for (_, known) in self.servers.iter_mut().enumerate().filter(missing) {
                known.gone = known.gone.or_else(|| Some(Instant::now()));
                known.mailbox.iter().for_each(|mailbox| drop(mailbox.send(peer::Msg::Missing)));
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
                self.goes_out(server);
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
        self.goes_out(server);
        let until = until.map(|at| self.clock.instant(at));
        // Without a time of its own an attempt ends with the client's patience, which ends it as gone.
        let until = until.unwrap_or_else(|| Instant::now() + Duration::from_micros(request.wait.0));
        if over {
            self.peers.module.ended(id, attempt, server, Ended::unsent(Status::Moot));
        } else if !self.tell(server, peer::Msg::Attempt { id, attempt, request, until }) {
            self.peers.module.ended(id, attempt, server, Ended::unsent(Status::ConnectFailed));
        }
    }

    /// Something goes out to a server; whatever becomes of it, its end comes back to this actor once.
    fn goes_out(&mut self, server: ServerId) {
        self.servers.get_mut(server.0 as usize).into_iter().for_each(|known| known.out += 1);
    }

    fn returned(&mut self, server: ServerId) {
        self.servers.get_mut(server.0 as usize).into_iter().for_each(|known| known.out -= 1);
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
