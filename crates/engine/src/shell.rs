//! The thin actor around the core: a mailbox, the reply slots, a real clock. Owns the slots, each used once; the
//! transports and the directory stand behind ports.

use crate::clock::Clock;
use crate::core::{Answer, Ask, Ended, Engine, Input, Output, Tally};
use crate::pools::SlotId;
use crate::watch::Watched;
use dunlincleat::api::{Attempt, RequestId, ServerId, Settings, State, Time};
use dunlincleat_directory::{Cause, Delivery, Health};
use dunlincleat_limits::RuleSet;
use dunlincleat_settings::Site;
use dunlincleat_status::Metrics;
use rustc_hash::FxHashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, sleep_until};

/// How often the log sums up.
const SUM_UP: Duration = Duration::from_secs(10);

/// The servers' side: one transport a server. Each attempt and each probe ends once, by the [`Handle`] that the
/// transports were given, whatever happens.
pub trait Transports {
    /// What is sent.
    type Payload: Clone;
    /// What comes back.
    type Body;
    /// Opens a transport.
    fn open(&mut self, server: ServerId, at: SocketAddr, boot_ms: u64);
    /// The list told of its server.
    fn listed(&mut self, server: ServerId, at: Option<(SocketAddr, u64)>, state: State);
    /// Closes it: nothing is out there.
    fn close(&mut self, server: ServerId);
    /// Starts an attempt.
    fn attempt(
        &mut self,
        id: RequestId,
        attempt: Attempt,
        server: ServerId,
        payload: Self::Payload,
        until: Instant,
        connect: Option<Duration>,
    );
    /// Stops waiting for an attempt.
    fn cancel(&mut self, id: RequestId, attempt: Attempt, server: ServerId);
    /// Takes an attempt back as far as it is not written whole; one that is goes on.
    fn withdraw(&mut self, id: RequestId, attempt: Attempt, server: ServerId);
    /// Asks a server how it is; `asked` is handed back with the end.
    fn probe(&mut self, server: ServerId, asked: SlotId);
    /// Connections that may still be opened, for the log.
    fn room(&self) -> usize;
}

/// The list's side.
pub trait Directory {
    /// Opens a watch, where lists come on request.
    fn watch(&mut self);
}

enum Msg<P, B> {
    Request { id: RequestId, ask: Ask, payload: P, received: Instant, slot: oneshot::Sender<Answer<B>> },
    Input(Input<P, B>),
    ListState(Health),
}

type Mail<P, B> = (Instant, Msg<P, B>);

/// The actor's mailbox. It holds no more than the requests in hand bring: the fronts bound those, each has at most a
/// few attempts, and each server one probe.
pub struct Handle<P, B>(mpsc::UnboundedSender<Mail<P, B>>);

impl<P, B> Clone for Handle<P, B> {
    fn clone(&self) -> Self {
        Handle(self.0.clone())
    }
}

/// The other end of the mailbox.
pub struct Mailbox<P, B>(mpsc::UnboundedReceiver<Mail<P, B>>);

/// A mailbox.
#[must_use]
pub fn mailbox<P, B>() -> (Handle<P, B>, Mailbox<P, B>) {
    let (handle, mailbox) = mpsc::unbounded_channel();
    (Handle(handle), Mailbox(mailbox))
}

impl<P, B> Handle<P, B> {
    fn tell(&self, msg: Msg<P, B>) {
        // The actor lives as long as the process.
        let _ = self.0.send((Instant::now(), msg));
    }

    /// A request that came at `received`; its answer goes into the slot.
    pub fn request(
        &self,
        id: RequestId,
        ask: Ask,
        payload: P,
        received: Instant,
        slot: oneshot::Sender<Answer<B>>,
    ) {
        self.tell(Msg::Request { id, ask, payload, received, slot });
    }

    /// The client of a request left.
    pub fn gone(&self, id: RequestId) {
        self.tell(Msg::Input(Input::Gone(id)));
    }

    /// An attempt ended.
    pub fn ended(&self, id: RequestId, attempt: Attempt, server: ServerId, ended: Ended<B>) {
        self.tell(Msg::Input(Input::Ended { id, attempt, server, ended }));
    }

    /// An attempt's answer began and is passed on; the attempt ends later.
    pub fn began(&self, id: RequestId, attempt: Attempt, server: ServerId, ended: Ended<B>) {
        self.tell(Msg::Input(Input::Began { id, attempt, server, ended }));
    }

    /// The body of an attempt still comes, or comes no more: each beginning is followed by one end, before the attempt's.
    pub fn uploads(&self, id: RequestId, server: ServerId, over: bool) {
        self.tell(Msg::Input(Input::Uploads { id, server, over }));
    }

    /// A probe ended.
    pub fn probed(&self, server: ServerId, asked: SlotId, ended: Ended<B>) {
        self.tell(Msg::Input(Input::Probed { server, asked, ended }));
    }

    /// The list changed or was told again.
    pub fn listed(&self, delivery: Delivery) {
        self.tell(Msg::Input(Input::Listed(delivery)));
    }

    /// A call of discovery failed, or the watch ended.
    pub fn list_failed(&self) {
        self.tell(Msg::Input(Input::ListFailed));
    }

    /// Other settings, and those that are only watched, before any request under them.
    pub fn settings(&self, site: Arc<Site>, watched: Option<Settings>) {
        self.tell(Msg::Input(Input::Settings { site, watched }));
    }

    /// New limits. Those under whom requests come next are to be told first.
    pub fn rules(&self, rules: Arc<RuleSet>) {
        self.tell(Msg::Input(Input::Rules(rules)));
    }

    /// How fresh the list is, for the log.
    pub fn list_state(&self, health: Health) {
        self.tell(Msg::ListState(health));
    }
}

/// Where the actor shows its figures.
pub struct Gauges {
    /// The figures.
    pub metrics: Arc<Metrics>,
    /// Somebody may ask whom the module avoids: it is looked at now and then.
    pub avoided: bool,
}

/// How often it is looked at whom the module avoids.
const LOOK: Duration = Duration::from_millis(100);

/// The actor.
pub struct Actor<T: Transports, D> {
    engine: Engine<T::Payload, T::Body>,
    clock: Clock,
    transports: T,
    directory: D,
    slots: FxHashMap<RequestId, oneshot::Sender<Answer<T::Body>>>,
    out: Vec<Output<T::Payload, T::Body>>,
    /// The longest wait in the mailbox since the log last summed up.
    waited: Duration,
    /// The list's state, and as it was when the log last summed up.
    health: Health,
    summed: Health,
    gauges: Gauges,
}

impl<T: Transports, D: Directory> Actor<T, D> {
    /// The actor around an engine.
    pub fn new(
        engine: Engine<T::Payload, T::Body>,
        clock: Clock,
        transports: T,
        directory: D,
        gauges: Gauges,
    ) -> Self {
        let (slots, out) = (FxHashMap::default(), Vec::new());
        let (waited, health, summed) = (Duration::ZERO, Health::default(), Health::default());
        Actor { engine, clock, transports, directory, slots, out, waited, health, summed, gauges }
    }

    /// Runs the actor from the list as last held, until all handles are gone.
    pub async fn run(mut self, mut mailbox: Mailbox<T::Payload, T::Body>, known: Delivery) {
        // With this the module makes its first call of discovery, so the way there must stand.
        self.input(Input::Listed(known));
        let mut sum_up = Instant::now() + SUM_UP;
        let mut look = Instant::now();
        loop {
            let due = self.engine.due().map(|at| self.clock.instant(at));
            tokio::select! {
                biased;
                () = sleep_until(due.unwrap_or_else(Instant::now)), if due.is_some() => {
                    self.engine.wake(self.clock.now(), &mut self.out);
                    self.carry_out();
                }
                mail = mailbox.0.recv() => match mail {
                    Some((told, msg)) => {
                        self.waited = self.waited.max(told.elapsed());
                        self.take(msg);
                    }
                    None => return,
                },
                () = sleep_until(look), if self.gauges.avoided => {
                    self.gauges.metrics.skipped.set(self.engine.avoided(self.clock.now()));
                    look = Instant::now() + LOOK;
                }
                () = sleep_until(sum_up) => {
                    self.sum_up();
                    sum_up = Instant::now() + SUM_UP;
                }
            }
        }
    }

    fn take(&mut self, msg: Msg<T::Payload, T::Body>) {
        match msg {
            Msg::Request { id, ask, payload, received, slot } => {
                self.slots.insert(id, slot);
                let received = self.clock.time(received);
                self.input(Input::Request { id, ask, received, payload });
            }
            Msg::Input(input) => {
                if let Input::Gone(id) = &input {
                    self.slots.remove(id);
                }
                self.input(input);
            }
            Msg::ListState(health) => self.health = health,
        }
    }

    fn input(&mut self, input: Input<T::Payload, T::Body>) {
        match &input {
            Input::Began { id, attempt, server, ended } | Input::Ended { id, attempt, server, ended } => {
                tracing::debug!(
                    "attempt {} of request {} at {}: {:?} after {} us, load {:?}",
                    attempt.0,
                    id.0,
                    self.engine.places().uid(*server),
                    ended.status,
                    ended.latency.0,
                    ended.load
                )
            }
            Input::Listed(delivery) => {
                let count = |state| delivery.entries.iter().filter(|e| e.state == state).count();
                tracing::info!(
                    "list {} revision {}: {} up, {} draining, {} removed",
                    match delivery.kind {
                        dunlincleat::api::ListKind::Cached => "as last held",
                        dunlincleat::api::ListKind::Full => "in whole",
                        dunlincleat::api::ListKind::Changes => "changes",
                        dunlincleat::api::ListKind::Failed => "failed",
                    },
                    delivery.rev,
                    count(State::Ready),
                    count(State::Draining),
                    count(State::Removed)
                );
            }
            Input::Request { .. }
            | Input::Gone(_)
            | Input::Uploads { .. }
            | Input::Probed { .. }
            | Input::ListFailed
            | Input::Settings { .. }
            | Input::Rules(_) => {}
        }
        let listed = matches!(input, Input::Listed(_));
        self.engine.input(self.clock.now(), input, &mut self.out);
        if listed {
            self.gauges.metrics.known.set(self.engine.listed_now());
        }
        self.carry_out();
    }

    fn carry_out(&mut self) {
        let mut out = std::mem::take(&mut self.out);
        for output in out.drain(..) {
            match output {
                Output::Answer { id, answer } => {
                    // Where the client has just gone, its word of that finds the request ended.
                    if let Some(slot) = self.slots.remove(&id) {
                        let _ = slot.send(answer);
                    }
                }
                Output::Attempt { id, attempt, server, payload, until, connect } => {
                    tracing::debug!("attempt {} of request {} goes out", attempt.0, id.0);
                    let (until, connect) =
                        (self.clock.instant(until), connect.map(|s| Duration::from_micros(s.0)));
                    self.transports.attempt(id, attempt, server, payload, until, connect);
                }
                Output::Cancel { id, attempt, server } => self.transports.cancel(id, attempt, server),
                Output::Withdraw { id, attempt, server } => self.transports.withdraw(id, attempt, server),
                Output::Probe { server, asked } => self.transports.probe(server, asked),
                Output::Open { server, at, boot_ms } => self.transports.open(server, at, boot_ms),
                Output::Listed { server, at, state } => self.transports.listed(server, at, state),
                Output::Close { server } => self.transports.close(server),
                Output::Watch => self.directory.watch(),
                Output::Say { server: None, text } => tracing::info!("{text}"),
                Output::Say { server: Some(server), text } => {
                    tracing::info!("server {}: {text}", self.engine.places().uid(server));
                }
            }
        }
        self.out = out;
    }

    fn sum_up(&mut self) {
        let Tally { taken, served, refused, limited, failed, gone, attempts } = self.engine.take_tally();
        let waited = std::mem::take(&mut self.waited);
        if taken + attempts > 0 {
            tracing::info!(
                "in {} s: {taken} taken, {served} served, {refused} refused, {failed} failed, {gone} gone; \
                 {attempts} attempts; {} in hand; {} connections to servers free; mailbox wait at most {} us",
                SUM_UP.as_secs(),
                self.engine.in_hand(),
                self.transports.room(),
                waited.as_micros()
            );
        }
        if limited > 0 {
            tracing::info!("in {} s: {limited} of the refused by limits of their routes", SUM_UP.as_secs());
        }
        if let Some(w) = self.engine.take_watched().filter(|w| *w != Watched::default()) {
            tracing::info!(
                "watch: in {} s: {} alike, {} other server, {} other zone, {} would refuse, {} would send, {} would \
                 wait, {} would copy, {} would probe",
                SUM_UP.as_secs(),
                w.alike,
                w.other_server,
                w.other_zone,
                w.would_refuse,
                w.would_send,
                w.would_wait,
                w.would_copy,
                w.would_probe
            );
        }
        let (health, before) = (self.health, std::mem::replace(&mut self.summed, self.health));
        // While discovery speaks the last sign of life is at most a heartbeat old.
        let age = (self.clock.now() - health.fresh_at).0 / 1000;
        let ended = Cause::NAMES.iter().zip(health.ended.iter().zip(before.ended));
        let ended: String = ended
            .filter(|(_, (now, before))| **now > *before)
            .map(|(name, (now, before))| format!(", {name} {}", now - before))
            .collect();
        if health.fresh_at == Time(0) {
            return;
        }
        tracing::info!(
            "list: revision {}, {} up, all told until {age} ms ago known, longest unheard {} ms; {} watches, {} \
             opened{ended}",
            health.rev,
            health.ready,
            health.longest_unheard.0 / 1000,
            health.watches,
            health.opened - before.opened,
        );
    }
}
