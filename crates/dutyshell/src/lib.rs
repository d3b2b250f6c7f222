//! The I/O driver of the duties' state machine: one task that owns the datagram socket and the [`Member`], wakes it,
//! carries its messages, and sends effects as requests through the engine. It makes no decisions of its own, and is
//! started only if the operator's file has a `[fleet]` section.
//!
//! It has no thread of its own on purpose: if the serving thread of a holder stalls, its effects cannot be sent either,
//! so the lease should expire with it.

#![forbid(unsafe_code)]

use actix_http::header::{HeaderName, HeaderValue};
use actix_http::{Method, RequestHead};
use anyhow::{Context, Result};
use dunlincleat::api::RequestId;
use dunlincleat_duties::{
    Datagram, Destination, DutySpec, DutyStatus, EffectOutcome, EffectPermit, Fence, Input, LeaseConfig,
    Member, Moment, Notice, Output, Schedule,
};
use dunlincleat_engine::Answer;
use dunlincleat_http::Handle;
use dunlincleat_http::front::InForce;
use dunlincleat_http::message::{Errand, Request, class_of};
use dunlincleat_limits::Fleet;
use dunlincleat_limits::fleet::Call;
use dunlincleat_status::duty_control::{DutyCommand, DutyControl};
use dunlincleat_status::{LogLimiter, log_limited};
use rustix::time::{ClockId, clock_gettime};
use serde_json::json;
use std::collections::BTreeMap;
use std::hash::{BuildHasher, Hasher, RandomState};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{Instant, sleep_until};

/// The first request id of effects; ids of client requests never get this high.
const FIRST_REQUEST_ID: u64 = 1 << 63;
/// How long effects in flight may delay a planned shutdown.
const SHUTDOWN_GRACE: Duration = Duration::from_millis(500);
/// The number of datagrams that are read before the timers are checked again.
const DATAGRAMS_PER_WAKE: usize = 64;
/// The receive buffer in bytes, larger than any valid datagram.
const RECEIVE_BUFFER_BYTES: usize = 2048;
/// The longest sleep between two ticks.
const MAX_SLEEP: Duration = Duration::from_secs(1);

/// The current time of the boot-time clock, which keeps running during suspension.
fn now() -> Moment {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    let nanoseconds = u64::try_from(time.tv_nsec).unwrap_or(0);
    Moment(seconds * 1_000_000 + nanoseconds / 1000)
}

/// The driver of one member.
pub struct DutyDriver {
    socket: UdpSocket,
    member: Member,
    fleet: Arc<Fleet>,
    name: String,
    engine: Handle,
    in_force: watch::Receiver<Rc<InForce>>,
    duty_control: Arc<DutyControl>,
    orders: mpsc::UnboundedReceiver<DutyCommand>,
    next_request_id: u64,
    /// Limits the rate of log lines about rejected datagrams.
    rejected_log: LogLimiter,
    /// The latest end of a shutdown that was ordered.
    shutdown_deadline: Option<Instant>,
    effects_in_flight: usize,
    finished_sender: mpsc::UnboundedSender<Input>,
    finished: mpsc::UnboundedReceiver<Input>,
}

impl DutyDriver {
    /// Opens the socket of the member with this name.
    ///
    /// # Errors
    ///
    /// The listen address cannot be bound.
    pub fn open(
        fleet: Arc<Fleet>,
        name: &str,
        engine: Handle,
        in_force: watch::Receiver<Rc<InForce>>,
        duty_control: Arc<DutyControl>,
        orders: mpsc::UnboundedReceiver<DutyCommand>,
    ) -> Result<DutyDriver> {
        let socket = bind(fleet.listen).with_context(|| format!("fleet.listen: '{}'", fleet.listen))?;
        let member = new_member(&fleet, name);
        let at = socket.local_addr()?;
        tracing::info!(
            "fleet {}: member {name} heard at {at}, incarnation {:016x}, {} voters",
            fleet.name,
            member.incarnation(),
            fleet.voters.len()
        );
        let (finished_sender, finished) = mpsc::unbounded_channel();
        Ok(DutyDriver {
            socket,
            member,
            fleet,
            name: name.to_owned(),
            engine,
            in_force,
            duty_control,
            orders,
            next_request_id: FIRST_REQUEST_ID,
            rejected_log: LogLimiter::default(),
            shutdown_deadline: None,
            effects_in_flight: 0,
            finished_sender,
            finished,
        })
    }

    /// Runs until a shutdown is ordered and all duties are released.
    pub async fn run(mut self) {
        let mut bytes = vec![0; RECEIVE_BUFFER_BYTES];
        loop {
            self.publish_status();
            let sleep = Duration::from_micros(self.member.wake_at().since(now()));
            let mut wake = Instant::now() + sleep.min(MAX_SLEEP);
            if let Some(deadline) = self.shutdown_deadline {
                if self.effects_in_flight == 0 || deadline <= Instant::now() {
                    return self.handle(Input::Shutdown, None);
                }
                wake = wake.min(deadline);
            }
            tokio::select! {
                biased;
                Some(input) = self.finished.recv() => {
                    self.effects_in_flight -= 1;
                    self.handle(input, None);
                }
                order = self.orders.recv() => match order {
                    Some(DutyCommand::HandOver { duty, to }) => self.handle(Input::HandOver { duty, to }, None),
                    Some(DutyCommand::Shutdown) | None => {
                        self.shutdown_deadline = Some(Instant::now() + SHUTDOWN_GRACE);
                    }
                },
                () = sleep_until(wake) => self.handle(Input::Tick, None),
                received = self.socket.recv_from(&mut bytes) => {
                    let mut received = received;
                    for _ in 0..DATAGRAMS_PER_WAKE {
                        // A socket error concerns one datagram only.
                        let Ok((length, from)) = received else { break };
                        self.receive(&bytes[..length], from);
                        received = self.socket.try_recv_from(&mut bytes);
                    }
                }
            }
        }
    }

    fn receive(&mut self, bytes: &[u8], sender: SocketAddr) {
        match Datagram::decode(bytes, &self.fleet.name) {
            Some(Datagram { from, incarnation, in_reply_to, message, .. }) => {
                let input = Input::Received { from, incarnation, in_reply_to, message };
                self.handle(input, Some(sender));
            }
            None => {
                let line = format!("fleet: rejected a malformed or foreign datagram from {sender}");
                log_limited!(self.rejected_log, warn, line);
            }
        }
    }

    /// Has the member handle an input and carries out its outputs. `sender` is the source of a received message.
    fn handle(&mut self, input: Input, sender: Option<SocketAddr>) {
        let mut out = Vec::new();
        self.member.handle(now(), input, &mut out);
        for output in out {
            match output {
                Output::Send { to, in_reply_to, message } => {
                    let address = match to {
                        Destination::Voter(n) => self.fleet.voters.get(n).map(|voter| voter.address),
                        Destination::Sender => sender,
                    };
                    let incarnation = self.member.incarnation();
                    let datagram =
                        Datagram::new(&self.fleet.name, &self.name, incarnation, in_reply_to, message);
                    if let (Some(address), Some(bytes)) = (address, datagram.encode()) {
                        // A datagram that cannot be sent now counts as lost.
                        let _ = self.socket.try_send_to(&bytes, address);
                    }
                }
                Output::RunEffect(permit) => self.run_effect(permit),
                Output::Notify(notice) => log(&notice),
            }
        }
    }

    /// Sends an effect as a request through the engine, which selects the server as for any other request.
    fn run_effect(&mut self, permit: EffectPermit) {
        let duty = self.fleet.duties.iter().find(|duty| duty.name == permit.duty);
        let Some(call) = duty.and_then(|duty| duty.call.clone()) else { return };
        let EffectPermit { duty, fence, period, .. } = permit.clone();
        let finished = self.finished_sender.clone();
        let in_force = self.in_force.borrow().clone();
        self.effects_in_flight += 1;
        let report =
            move |outcome| drop(finished.send(Input::EffectFinished { duty, fence, period, outcome }));
        let remaining_us = permit.valid_until().since(now());
        if remaining_us == 0 {
            return report(EffectOutcome::NotStarted);
        }
        let id = RequestId(self.next_request_id);
        self.next_request_id += 1;
        let request_id = format!("duty-{:016x}-{}-{period}", self.member.incarnation(), fence.0);
        let (request, errand) =
            match effect_request(&permit, &call.path, &request_id, remaining_us, &in_force) {
                Ok(request) => request,
                Err(error) => {
                    tracing::warn!("duty {}: cannot build the request of its effect: {error:#}", permit.duty);
                    return report(EffectOutcome::NotStarted);
                }
            };
        let (slot, answer) = oneshot::channel();
        self.engine.request(id, request.ask.clone(), Rc::new(request), Instant::now(), slot);
        actix_rt::spawn(async move {
            let outcome = match (answer.await, errand.told()) {
                (Ok(Answer::Served(_)), _) => EffectOutcome::Done,
                (_, Some((highest, period))) => EffectOutcome::Fenced { highest: Fence(highest), period },
                (Ok(Answer::Refused { .. }), None) => EffectOutcome::NotStarted,
                (Ok(Answer::Failed) | Err(_), None) if !errand.begun() => EffectOutcome::NotStarted,
                (Ok(Answer::Failed) | Err(_), None) => EffectOutcome::Unknown,
            };
            report(outcome);
        });
    }

    /// Publishes the state of the duties for operators, if any console reads it.
    fn publish_status(&self) {
        if !self.duty_control.has_reader() {
            return;
        }
        let line = |status: DutyStatus<'_>| {
            json!({
                "duty": status.duty,
                "holder": status.holder,
                "fence": status.fence.0,
                "left_ms": status.remaining_us / 1000,
                "since_ms": status.since_us / 1000,
                "why": status.reason,
                "period": status.progress.period,
                "done": status.progress.done,
                "proved": !status.unproven,
                "me": self.name,
                "votes": self.member.voter_active(),
            })
            .to_string()
        };
        let lines: Vec<String> = self.member.duty_statuses(now()).map(line).collect();
        self.duty_control.publish_status(lines.join("\n"));
    }
}

fn bind(address: SocketAddr) -> std::io::Result<UdpSocket> {
    let socket = std::net::UdpSocket::bind(address)?;
    socket.set_nonblocking(true)?;
    UdpSocket::from_std(socket)
}

fn new_member(fleet: &Fleet, name: &str) -> Member {
    let schedule = |call: &Call| Schedule { period_us: call.period.0, catch_up: call.catch_up };
    let duties: Vec<DutySpec> = fleet
        .duties
        .iter()
        .map(|duty| DutySpec { name: duty.name.clone(), schedule: duty.call.as_ref().map(schedule) })
        .collect();
    let voters = fleet.voters.iter().map(|voter| voter.name.clone()).collect();
    let config = LeaseConfig { lease_us: fleet.lease.0, drift_ppm: fleet.drift_ppm, voters };
    // Random, so that each start has a new incarnation whatever the configuration says; never 0, which means "not a
    // reply".
    let incarnation = RandomState::new().build_hasher().finish() | 1;
    let member = Member::new(name, incarnation, config, &duties, now(), false);
    #[cfg(feature = "plant")]
    let member = with_configured_fault(member);
    member
}

/// The request of an effect, and the errand that tells whether it was sent and how the receiver judged its fence.
fn effect_request(
    permit: &EffectPermit,
    path: &str,
    request_id: &str,
    remaining_us: u64,
    in_force: &InForce,
) -> Result<(Request, Rc<Errand>)> {
    let mut head = RequestHead::default();
    head.uri = path.parse().with_context(|| format!("invalid path '{path}'"))?;
    let class = class_of(head.uri.path(), &in_force.site)
        .with_context(|| format!("path '{path}' no longer matches any class"))?;
    let safe = in_force.site.settings.classes[class].effect == dunlincleat::api::Effect::Safe;
    head.method = if safe { Method::GET } else { Method::POST };
    let mut set = |name: &'static str, value: String| -> Result<()> {
        head.headers.insert(HeaderName::from_static(name), HeaderValue::from_str(&value)?);
        Ok(())
    };
    set("x-request-id", request_id.to_owned())?;
    // The same key whoever holds the duty: a receiver that checks keys recognises a repeated effect.
    set("idempotency-key", format!("{}-{}", permit.duty, permit.period))?;
    set("x-timeout", format!("{:.6}", remaining_us as f64 / 1e6))?;
    let headers = BTreeMap::from([
        ("x-duty", permit.duty.clone()),
        ("x-duty-fence", permit.fence.0.to_string()),
        ("x-duty-period", permit.period.to_string()),
    ]);
    let permit = permit.clone();
    let errand = Rc::new(Errand::new(headers, move || permit.is_valid_at(now())));
    let request = Request::decode(&head, &in_force.site, in_force.rules.as_deref());
    let request = request.map_err(|malformed| anyhow::anyhow!("{}", malformed.what))?;
    Ok((request.on(errand.clone()), errand))
}

fn log(notice: &Notice) {
    match notice {
        Notice::Acquired { duty, fence, unproven } => {
            let proved = if *unproven { ", not proved: too many voters have lost their memory" } else { "" };
            tracing::info!("duty {duty}: held here, fence {}{proved}", fence.0);
        }
        Notice::Released { duty, fence, reason } => {
            tracing::info!("duty {duty}: let go, fence {}: {reason}", fence.0);
        }
        Notice::OutcomeUnknown { duty, period } => {
            tracing::warn!(
                "duty {duty}: the previous holder started period {period} and its outcome is unknown; not run again"
            );
        }
        Notice::PeriodsSkipped { duty, count } => {
            tracing::warn!("duty {duty}: {count} periods were missed and are skipped");
        }
    }
}

/// Injects the fault that a test names in the environment.
#[cfg(feature = "plant")]
fn with_configured_fault(member: Member) -> Member {
    use dunlincleat_duties::fault::Fault;
    let fault = match std::env::var("EDGE_PLANT").unwrap_or_default().as_str() {
        "lease-from-answer" => Fault::LeaseFromAnswer,
        "votes-at-once" => Fault::VotesAtOnce,
        "majority-of-the-living" => Fault::MajorityOfTheLiving,
        "release-without-stopping" => Fault::ReleaseWithoutStopping,
        "period-again" => Fault::PeriodAgain,
        "fence-anew" => Fault::FenceAnew,
        _ => Fault::None,
    };
    member.with_fault(fault)
}
