//! The shell of duties: one task that owns the datagram socket and the member's machine, wakes it, carries its messages, and
//! has effects made as requests through the engine. It decides nothing. Without `[fleet]` in the operator's file none of it
//! is started.
//!
//! Way not taken: a thread of its own. A holder whose serving thread stands still can't have its effects made either, and
//! then ought not to hold.

#![forbid(unsafe_code)]

use actix_http::header::HeaderValue;
use actix_http::{Method, RequestHead};
use anyhow::{Context, Result};
use dunlincleat::api::RequestId;
use dunlincleat_duties::member::{DutyStatus, EffectPermit};
use dunlincleat_duties::{
    Datagram, Destination, EffectOutcome, Fence, Input, LeaseConfig, Member, Moment, Notice, Output, Schedule,
};
use dunlincleat_engine::Answer;
use dunlincleat_http::Handle;
use dunlincleat_http::front::InForce;
use dunlincleat_http::message::{Errand, Request, class_of};
use dunlincleat_limits::Fleet;
use dunlincleat_status::desk::{Desk, Order};
use dunlincleat_status::{Seldom, seldom};
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

/// Requests of duties are numbered from here on: no application's request gets so far.
const FIRST: u64 = 1 << 63;
/// How long an effect that is out may hold up a planned end.
const FINISH: Duration = Duration::from_millis(500);
/// Datagrams that are read at a time before the timer is looked at again.
const AT_A_TIME: usize = 64;

/// The time of a clock that goes on through suspension.
fn now() -> Moment {
    let time = clock_gettime(ClockId::Boottime);
    let (s, ns) = (u64::try_from(time.tv_sec).unwrap_or(0), u64::try_from(time.tv_nsec).unwrap_or(0));
    Moment(s * 1_000_000 + ns / 1000)
}

/// The shell, before it runs.
pub struct DutyDriver {
    socket: UdpSocket,
    member: Member,
    fleet: Arc<Fleet>,
    me: String,
    engine: Handle,
    in_force: watch::Receiver<Rc<InForce>>,
    desk: Arc<Desk>,
    orders: mpsc::UnboundedReceiver<Order>,
    next: u64,
    foreign: Seldom,
    /// Told to end, and when at the latest.
    ends: Option<Instant>,
    out: usize,
    ended: (mpsc::UnboundedSender<Input>, mpsc::UnboundedReceiver<Input>),
}

impl DutyDriver {
    /// Opens the socket of a member of this name.
    ///
    /// # Errors
    ///
    /// The address can't be had.
    pub fn open(
        fleet: Arc<Fleet>,
        me: &str,
        engine: Handle,
        in_force: watch::Receiver<Rc<InForce>>,
        desk: Arc<Desk>,
        orders: mpsc::UnboundedReceiver<Order>,
    ) -> Result<DutyDriver> {
        let open = || -> std::io::Result<UdpSocket> {
            let socket = std::net::UdpSocket::bind(fleet.listen)?;
            socket.set_nonblocking(true)?;
            UdpSocket::from_std(socket)
        };
        let socket = open().with_context(|| format!("fleet.listen: '{}'", fleet.listen))?;
        let effect = |call: &dunlincleat_limits::fleet::Call| Schedule {
            period: call.period.0,
            catch_up: call.catch_up,
        };
        let duties: Vec<(String, Option<Schedule>)> =
            fleet.duties.iter().map(|duty| (duty.name.clone(), duty.call.as_ref().map(effect))).collect();
        let voters = fleet.voters.iter().map(|(name, _)| name.clone()).collect();
        let terms = LeaseConfig { lease: fleet.lease.0, drift: fleet.drift, voters };
        // A life's number is new with each start, whatever the configuration says.
        let life = RandomState::new().build_hasher().finish() | 1;
        let member = Member::new(me, life, terms, &duties, now(), false);
        #[cfg(feature = "plant")]
        let member = planted(member);
        let at = socket.local_addr()?;
        tracing::info!(
            "fleet {}: member {me} heard at {at}, life {life:016x}, {} voters",
            fleet.name,
            fleet.voters.len()
        );
        let (me, ended) = (me.to_owned(), mpsc::unbounded_channel());
        let foreign = Seldom::default();
        Ok(DutyDriver {
            socket,
            member,
            fleet,
            me,
            engine,
            in_force,
            desk,
            orders,
            next: FIRST,
            foreign,
            ends: None,
            out: 0,
            ended,
        })
    }

    /// Runs until it is told to end and has let go of all.
    pub async fn run(mut self) {
        let mut bytes = vec![0; 2048];
        loop {
            self.show();
            let due = Duration::from_micros(self.member.wake_at().since(now()));
            let mut wake = Instant::now() + due.min(Duration::from_secs(1));
            if let Some(ends) = self.ends {
                if self.out == 0 || ends <= Instant::now() {
                    return self.tell(Input::Shutdown, None);
                }
                wake = wake.min(ends);
            }
            tokio::select! {
                biased;
                Some(input) = self.ended.1.recv() => {
                    self.out -= 1;
                    self.tell(input, None);
                }
                order = self.orders.recv() => match order {
                    Some(Order::Hand { duty, to }) => self.tell(Input::HandOver { duty, to }, None),
                    Some(Order::End) | None => self.ends = Some(Instant::now() + FINISH),
                },
                () = sleep_until(wake) => self.tell(Input::Tick, None),
                read = self.socket.recv_from(&mut bytes) => {
                    let mut read = read;
                    for _ in 0..AT_A_TIME {
                        // A fault of the socket is that of one datagram.
                        let Ok((len, from)) = read else { break };
                        self.hear(&bytes[..len], from);
                        read = self.socket.try_recv_from(&mut bytes);
                    }
                }
            }
        }
    }

    fn hear(&mut self, bytes: &[u8], at: SocketAddr) {
        match Datagram::decode(bytes, &self.fleet.name) {
            Some(Datagram { from, life, to, message, .. }) => {
                self.tell(Input::Received { from, life, to, message }, Some(at));
            }
            None => {
                let line = format!("fleet: a datagram that is malformed or of another fleet, from {at}");
                seldom!(self.foreign, warn, line);
            }
        }
    }

    fn tell(&mut self, input: Input, back: Option<SocketAddr>) {
        let mut out = Vec::new();
        self.member.handle(now(), input, &mut out);
        for output in out {
            match output {
                Output::Send { to, answers, message } => {
                    let at = match to {
                        Destination::Voter(n) => self.fleet.voters.get(n).map(|(_, at)| *at),
                        Destination::Sender => back,
                    };
                    let datagram = Datagram::new(
                        &self.fleet.name,
                        &self.me,
                        self.member.incarnation(),
                        answers,
                        message,
                    );
                    if let (Some(at), Some(bytes)) = (at, datagram.encode()) {
                        // One that the machine can't take now is lost like any other.
                        let _ = self.socket.try_send_to(&bytes, at);
                    }
                }
                Output::RunEffect(held) => self.carry_out(held),
                Output::Notify(notice) => told(&notice),
            }
        }
    }

    /// Has an effect made as a request through the engine, which draws the server as for any other.
    fn carry_out(&mut self, held: EffectPermit) {
        let call =
            self.fleet.duties.iter().find(|duty| duty.name == held.duty).and_then(|duty| duty.call.clone());
        let Some(call) = call else { return };
        let (duty, fence, period) = (held.duty.clone(), held.fence, held.period);
        let (ended, in_force) = (self.ended.0.clone(), self.in_force.borrow().clone());
        self.out += 1;
        let tell = move |how| drop(ended.send(Input::EffectFinished { duty, fence, period, ended: how }));
        let left = held.valid_until().since(now());
        if left == 0 {
            return tell(EffectOutcome::NotStarted);
        }
        let id = RequestId(self.next);
        self.next += 1;
        let name = format!("duty-{:016x}-{}-{}", self.member.incarnation(), fence.0, period);
        let request = request(&held, &call.path, &name, left, &in_force);
        let (request, errand) = match request {
            Ok(made) => made,
            Err(error) => {
                tracing::warn!("duty {}: its call can't be made: {error:#}", held.duty);
                return tell(EffectOutcome::NotStarted);
            }
        };
        let (slot, answer) = oneshot::channel();
        self.engine.request(id, request.ask.clone(), Rc::new(request), Instant::now(), slot);
        actix_rt::spawn(async move {
            let how = match (answer.await, errand.told()) {
                (Ok(Answer::Served(_)), _) => EffectOutcome::Done,
                (_, Some((seen, period))) => EffectOutcome::Fenced(Fence(seen), period),
                (Ok(Answer::Refused { .. }), None) => EffectOutcome::NotStarted,
                (Ok(Answer::Failed) | Err(_), None) if !errand.begun() => EffectOutcome::NotStarted,
                (Ok(Answer::Failed) | Err(_), None) => EffectOutcome::Unknown,
            };
            tell(how);
        });
    }

    /// What operators see.
    fn show(&self) {
        if !self.desk.wanted() {
            return;
        }
        let now = now();
        let line = |view: DutyStatus<'_>| {
            json!({"duty": view.duty, "holder": view.holder, "fence": view.fence.0, "left_ms": view.left / 1000,
                "since_ms": view.since / 1000, "why": view.why, "period": view.mark.period, "done": view.mark.done,
                "proved": !view.unproven, "me": self.me, "votes": self.member.voter_active()})
            .to_string()
        };
        let lines: Vec<String> = self.member.duty_statuses(now).map(line).collect();
        self.desk.show(lines.join("\n"));
    }
}

/// The request of an effect, and the errand that goes with it.
fn request(
    held: &EffectPermit,
    path: &str,
    name: &str,
    left: u64,
    in_force: &InForce,
) -> Result<(Request, Rc<Errand>)> {
    let mut head = RequestHead::default();
    head.uri = path.parse().context("its path")?;
    let class = class_of(head.uri.path(), &in_force.site).context("its path names no class any more")?;
    let safe = in_force.site.settings.classes[class].effect == dunlincleat::api::Effect::Safe;
    head.method = if safe { Method::GET } else { Method::POST };
    let mut set = |name: &'static str, value: String| -> Result<()> {
        head.headers
            .insert(actix_http::header::HeaderName::from_static(name), HeaderValue::from_str(&value)?);
        Ok(())
    };
    set("x-request-id", name.to_owned())?;
    // The same whoever holds the duty: to a receiver that knows keys it is the same effect.
    set("idempotency-key", format!("{}-{}", held.duty, held.period))?;
    set("x-timeout", format!("{:.6}", left as f64 / 1e6))?;
    let headers = BTreeMap::from([
        ("x-duty", held.duty.clone()),
        ("x-duty-fence", held.fence.0.to_string()),
        ("x-duty-period", held.period.to_string()),
    ]);
    let held = held.clone();
    let errand = Rc::new(Errand::new(headers, move || held.is_valid_at(now())));
    let request = Request::decode(&head, &in_force.site, in_force.rules.as_deref());
    let request = request.map_err(|malformed| anyhow::anyhow!("{}", malformed.what))?;
    Ok((request.on(errand.clone()), errand))
}

fn told(notice: &Notice) {
    match notice {
        Notice::Acquired(duty, fence, unproven) => {
            let proved = if *unproven { ", not proved: too many voters had lost their memory" } else { "" };
            tracing::info!("duty {duty}: held here, fence {}{proved}", fence.0);
        }
        Notice::Released(duty, fence, why) => tracing::info!("duty {duty}: let go, fence {}: {why}", fence.0),
        Notice::OutcomeUnknown(duty, period) => {
            tracing::warn!(
                "duty {duty}: period {period} was begun by the holder before and is perhaps done: not run again"
            );
        }
        Notice::PeriodsSkipped(duty, n) => {
            tracing::warn!("duty {duty}: {n} periods were missed and are left out")
        }
    }
}

/// A fault that a test plants in the program itself.
#[cfg(feature = "plant")]
fn planted(member: Member) -> Member {
    use dunlincleat_duties::fault::Fault;
    let plant = match std::env::var("EDGE_PLANT").unwrap_or_default().as_str() {
        "lease-from-answer" => Fault::LeaseFromAnswer,
        "votes-at-once" => Fault::VotesAtOnce,
        "majority-of-the-living" => Fault::MajorityOfTheLiving,
        "release-without-stopping" => Fault::ReleaseWithoutStopping,
        "period-again" => Fault::PeriodAgain,
        "fence-anew" => Fault::FenceAnew,
        _ => Fault::None,
    };
    member.with_fault(plant)
}
