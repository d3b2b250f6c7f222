//! The actor around the core: a mailbox, the reply channels of open requests, each used once, and the real clock. It
//! reaches transports and discovery through the traits [`Transports`] and [`Directory`].

use crate::clock::Clock;
use crate::core::Engine;
use crate::messages::{Answer, Completion, Counters, Endpoint, Input, Output, RequestInfo};
use crate::pools::PoolId;
use crate::shadow::ShadowCounts;
use dunlincleat::api::{Attempt, ListKind, RequestId, ServerId, Settings, State, Time};
use dunlincleat_directory::{Cause, Delivery, Health};
use dunlincleat_limits::RuleSet;
use dunlincleat_settings::InstanceSettings;
use dunlincleat_status::Metrics;
use rustc_hash::FxHashMap;

use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, sleep_until};

/// Interval between summaries in the log.
const SUMMARY_INTERVAL: Duration = Duration::from_secs(10);

/// Transports to the servers, one per server. The end of each attempt and each probe must be reported exactly once
/// through a [`Handle`], whatever happens.
pub trait Transports {
    /// What is sent to a server.
    type Payload: Clone;
    /// What a server returns.
    type Body;
    /// Opens a transport.
    fn open(&mut self, server: ServerId, endpoint: Endpoint);
    /// Updates the address and state of the server, as listed.
    fn update(&mut self, server: ServerId, endpoint: Option<Endpoint>, state: State);
    /// Closes a transport, to which nothing is in flight.
    fn close(&mut self, server: ServerId);
    /// Starts an attempt.
    fn attempt(
        &mut self,
        id: RequestId,
        attempt: Attempt,
        server: ServerId,
        payload: Self::Payload,
        until: Instant,
        connect_timeout: Option<Duration>,
    );
    /// Cancels an attempt.
    fn cancel(&mut self, id: RequestId, attempt: Attempt, server: ServerId);
    /// Cancels an attempt unless it has been written completely; in that case it continues.
    fn withdraw(&mut self, id: RequestId, attempt: Attempt, server: ServerId);
    /// Probes a server; `pool` is returned with the result.
    fn probe(&mut self, server: ServerId, pool: PoolId);
    /// Returns the number of connections that may still be opened, for the log.
    fn free_connections(&self) -> usize;
}

/// Discovery of servers.
pub trait Directory {
    /// Opens a watch, where lists are delivered on request.
    fn watch(&mut self);
}

enum Message<P, B> {
    Request {
        id: RequestId,
        info: RequestInfo,
        payload: P,
        received: Instant,
        reply: oneshot::Sender<Answer<B>>,
    },
    Input(Input<P, B>),
    ListHealth(Health),
}

struct Envelope<P, B> {
    sent_at: Instant,
    message: Message<P, B>,
}

/// Sender of the actor's mailbox. The mailbox needs no bound of its own: the fronts bound the number of open requests,
/// each of which has at most a few attempts, and each server has at most one probe in flight.
pub struct Handle<P, B>(mpsc::UnboundedSender<Envelope<P, B>>);

impl<P, B> Clone for Handle<P, B> {
    fn clone(&self) -> Self {
        Handle(self.0.clone())
    }
}

/// Receiver of the actor's mailbox.
pub struct Mailbox<P, B>(mpsc::UnboundedReceiver<Envelope<P, B>>);

/// Creates a mailbox.
#[must_use]
pub fn mailbox<P, B>() -> (Handle<P, B>, Mailbox<P, B>) {
    let (handle, mailbox) = mpsc::unbounded_channel();
    (Handle(handle), Mailbox(mailbox))
}

impl<P, B> Handle<P, B> {
    fn send(&self, message: Message<P, B>) {
        // The actor lives as long as the process.
        let _ = self.0.send(Envelope { sent_at: Instant::now(), message });
    }

    /// Submits a request that was received at `received`; its answer is sent to `reply`.
    pub fn request(
        &self,
        id: RequestId,
        info: RequestInfo,
        payload: P,
        received: Instant,
        reply: oneshot::Sender<Answer<B>>,
    ) {
        self.send(Message::Request { id, info, payload, received, reply });
    }

    /// Reports that the client of a request left.
    pub fn client_left(&self, id: RequestId) {
        self.send(Message::Input(Input::ClientLeft(id)));
    }

    /// Reports that an attempt ended.
    pub fn attempt_ended(
        &self,
        id: RequestId,
        attempt: Attempt,
        server: ServerId,
        completion: Completion<B>,
    ) {
        self.send(Message::Input(Input::AttemptEnded { id, attempt, server, completion }));
    }

    /// Reports that the response to an attempt has started and is being streamed; the attempt ends later.
    pub fn response_started(
        &self,
        id: RequestId,
        attempt: Attempt,
        server: ServerId,
        completion: Completion<B>,
    ) {
        self.send(Message::Input(Input::ResponseStarted { id, attempt, server, completion }));
    }

    /// Reports that the upload of the body of an attempt is in progress, or has finished. Each start is followed by
    /// one finish, before the end of the attempt.
    pub fn upload(&self, id: RequestId, server: ServerId, finished: bool) {
        self.send(Message::Input(Input::Upload { id, server, finished }));
    }

    /// Reports that a probe ended.
    pub fn probe_ended(&self, server: ServerId, pool: PoolId, completion: Completion<B>) {
        self.send(Message::Input(Input::ProbeEnded { server, pool, completion }));
    }

    /// Delivers a server list, or changes to it.
    pub fn server_list(&self, delivery: Delivery) {
        self.send(Message::Input(Input::ServerList(delivery)));
    }

    /// Reports that a discovery call failed or the watch ended.
    pub fn discovery_failed(&self) {
        self.send(Message::Input(Input::DiscoveryFailed));
    }

    /// Applies new settings, and those of the shadow module. Must be called before any request under them.
    pub fn settings(&self, site: Arc<InstanceSettings>, shadow: Option<Settings>) {
        self.send(Message::Input(Input::Settings { site, shadow }));
    }

    /// Applies new limits. Must be called before any request under them.
    pub fn rules(&self, rules: Arc<RuleSet>) {
        self.send(Message::Input(Input::Rules(rules)));
    }

    /// Reports how recent the list is, for the log.
    pub fn list_health(&self, health: Health) {
        self.send(Message::ListHealth(health));
    }
}

/// Metrics that the actor updates.
pub struct Gauges {
    /// The metrics.
    pub metrics: Arc<Metrics>,
    /// Whether the number of avoided servers is sampled periodically, because the metrics can be read.
    pub sample_avoided: bool,
}

/// Interval between samples of the number of avoided servers.
const AVOIDED_SAMPLE_INTERVAL: Duration = Duration::from_millis(100);

/// The actor, which drives an engine.
pub struct Actor<T: Transports, D> {
    engine: Engine<T::Payload, T::Body>,
    clock: Clock,
    transports: T,
    directory: D,
    replies: FxHashMap<RequestId, oneshot::Sender<Answer<T::Body>>>,
    outputs: Vec<Output<T::Payload, T::Body>>,
    /// The longest wait in the mailbox since the last summary.
    longest_mailbox_wait: Duration,
    /// The state of the list, now and at the last summary.
    health: Health,
    health_at_summary: Health,
    gauges: Gauges,
}

impl<T: Transports, D: Directory> Actor<T, D> {
    /// Creates an actor around an engine.
    pub fn new(
        engine: Engine<T::Payload, T::Body>,
        clock: Clock,
        transports: T,
        directory: D,
        gauges: Gauges,
    ) -> Self {
        Actor {
            engine,
            clock,
            transports,
            directory,
            replies: FxHashMap::default(),
            outputs: Vec::new(),
            longest_mailbox_wait: Duration::ZERO,
            health: Health::default(),
            health_at_summary: Health::default(),
            gauges,
        }
    }

    /// Runs the actor, starting from the cached list `known`, until all handles are dropped.
    pub async fn run(mut self, mut mailbox: Mailbox<T::Payload, T::Body>, known: Delivery) {
        // This makes the decision module open its first watch, so discovery must be reachable by now.
        self.process(Input::ServerList(known));
        let mut next_summary = Instant::now() + SUMMARY_INTERVAL;
        let mut next_sample = Instant::now();
        loop {
            let due = self.engine.due().map(|at| self.clock.instant(at));
            tokio::select! {
                biased;
                () = sleep_until(due.unwrap_or_else(Instant::now)), if due.is_some() => {
                    self.engine.wake(self.clock.now(), &mut self.outputs);
                    self.carry_out();
                }
                envelope = mailbox.0.recv() => match envelope {
                    Some(Envelope { sent_at, message }) => {
                        self.longest_mailbox_wait = self.longest_mailbox_wait.max(sent_at.elapsed());
                        self.handle(message);
                    }
                    None => return,
                },
                () = sleep_until(next_sample), if self.gauges.sample_avoided => {
                    self.gauges.metrics.skipped_servers.set(self.engine.avoided(self.clock.now()));
                    next_sample = Instant::now() + AVOIDED_SAMPLE_INTERVAL;
                }
                () = sleep_until(next_summary) => {
                    self.log_summary();
                    next_summary = Instant::now() + SUMMARY_INTERVAL;
                }
            }
        }
    }

    fn handle(&mut self, message: Message<T::Payload, T::Body>) {
        match message {
            Message::Request { id, info, payload, received, reply } => {
                self.replies.insert(id, reply);
                let received = self.clock.time(received);
                self.process(Input::Request { id, info, received, payload });
            }
            Message::Input(input) => {
                if let Input::ClientLeft(id) = &input {
                    self.replies.remove(id);
                }
                self.process(input);
            }
            Message::ListHealth(health) => self.health = health,
        }
    }

    fn process(&mut self, input: Input<T::Payload, T::Body>) {
        self.log_input(&input);
        let listed = matches!(input, Input::ServerList(_));
        self.engine.input(self.clock.now(), input, &mut self.outputs);
        if listed {
            self.gauges.metrics.known_servers.set(self.engine.listed_servers());
        }
        self.carry_out();
    }

    fn log_input(&self, input: &Input<T::Payload, T::Body>) {
        match input {
            Input::ResponseStarted { id, attempt, server, completion }
            | Input::AttemptEnded { id, attempt, server, completion } => {
                tracing::debug!(
                    "attempt {} of request {} at {}: {:?} after {} us, load {:?}",
                    attempt.0,
                    id.0,
                    self.engine.servers().uid(*server),
                    completion.status,
                    completion.latency.0,
                    completion.load
                )
            }
            Input::ServerList(delivery) => {
                let count = |state| delivery.entries.iter().filter(|e| e.state == state).count();
                tracing::info!(
                    "list {} revision {}: {} up, {} draining, {} removed",
                    match delivery.kind {
                        ListKind::Cached => "as last held",
                        ListKind::Full => "in whole",
                        ListKind::Changes => "changes",
                        ListKind::Failed => "failed",
                    },
                    delivery.rev,
                    count(State::Ready),
                    count(State::Draining),
                    count(State::Removed)
                );
            }
            Input::Request { id, info, .. } => {
                tracing::debug!("request {} has class number {}", id.0, info.class.number());
            }
            Input::Upload { id, server, finished } => {
                tracing::debug!(
                    "the body of request {} {} sent to {}",
                    id.0,
                    if *finished { "is no longer being" } else { "is being" },
                    self.engine.servers().uid(*server)
                );
            }
            Input::ClientLeft(_)
            | Input::ProbeEnded { .. }
            | Input::DiscoveryFailed
            | Input::Settings { .. }
            | Input::Rules(_) => {}
        }
    }

    fn carry_out(&mut self) {
        let mut outputs = std::mem::take(&mut self.outputs);
        for output in outputs.drain(..) {
            match output {
                Output::Answer { id, answer } => {
                    // If the client has just left, its report finds the request already answered.
                    if let Some(reply) = self.replies.remove(&id) {
                        let _ = reply.send(answer);
                    }
                }
                Output::Attempt { id, attempt, server, payload, until, connect_timeout } => {
                    tracing::debug!("attempt {} of request {} goes out", attempt.0, id.0);
                    let until = self.clock.instant(until);
                    let connect_timeout = connect_timeout.map(|timeout| Duration::from_micros(timeout.0));
                    self.transports.attempt(id, attempt, server, payload, until, connect_timeout);
                }
                Output::Cancel { id, attempt, server } => self.transports.cancel(id, attempt, server),
                Output::Withdraw { id, attempt, server } => self.transports.withdraw(id, attempt, server),
                Output::Probe { server, pool } => self.transports.probe(server, pool),
                Output::Open { server, endpoint } => self.transports.open(server, endpoint),
                Output::UpdateServer { server, endpoint, state } => {
                    self.transports.update(server, endpoint, state);
                }
                Output::Close { server } => self.transports.close(server),
                Output::Watch => self.directory.watch(),
                Output::Log { server: None, text } => tracing::info!("{text}"),
                Output::Log { server: Some(server), text } => {
                    tracing::info!("server {}: {text}", self.engine.servers().uid(server));
                }
            }
        }
        self.outputs = outputs;
    }

    fn log_summary(&mut self) {
        self.log_requests();
        self.log_shadow();
        self.log_list();
    }

    fn log_requests(&mut self) {
        let Counters { received, served, refused, limited, failed, client_left, attempts } =
            self.engine.take_counters();
        let longest_mailbox_wait = std::mem::take(&mut self.longest_mailbox_wait);
        if received + attempts > 0 {
            tracing::info!(
                "in {} s: {received} received, {served} served, {refused} refused, {failed} failed, {client_left} \
                 left by their clients; {attempts} attempts; {} open; {} server connections free; longest mailbox \
                 wait {} us",
                SUMMARY_INTERVAL.as_secs(),
                self.engine.open_requests(),
                self.transports.free_connections(),
                longest_mailbox_wait.as_micros()
            );
        }
        if limited > 0 {
            tracing::info!(
                "in {} s: {limited} of the refused requests exceeded limits of their routes",
                SUMMARY_INTERVAL.as_secs()
            );
        }
    }

    fn log_shadow(&mut self) {
        let Some(counts) = self.engine.take_shadow_counts() else { return };
        if counts == ShadowCounts::default() {
            return;
        }
        tracing::info!(
            "watch: in {} s: {} same server, {} other server, {} other zone, {} would refuse, {} would send, {} \
             would wait, {} would hedge, {} would probe",
            SUMMARY_INTERVAL.as_secs(),
            counts.same_server,
            counts.other_server,
            counts.other_zone,
            counts.would_refuse,
            counts.would_send,
            counts.would_wait,
            counts.would_hedge,
            counts.would_probe
        );
    }

    fn log_list(&mut self) {
        let health = self.health;
        let before = std::mem::replace(&mut self.health_at_summary, health);
        if health.fresh_at == Time(0) {
            return;
        }
        // While discovery responds, its last message is at most one heartbeat interval old.
        let age = (self.clock.now() - health.fresh_at).0 / 1000;
        let ended = Cause::NAMES.iter().zip(health.ended.iter().zip(before.ended));
        let ended: String = ended
            .filter(|(_, (now, before))| **now > *before)
            .map(|(name, (now, before))| format!(", {name} {}", now - before))
            .collect();
        tracing::info!(
            "list: revision {}, {} up, up to date as of {age} ms ago, longest silence {} ms; {} watches, {} \
             opened{ended}",
            health.rev,
            health.ready,
            health.longest_silence.0 / 1000,
            health.watches,
            health.opened - before.opened,
        );
    }
}
