//! Baseline policies for comparison, not for production: they keep the rules on repeated attempts and ignore load
//! reports, cold servers and overload.

use crate::balancer::{Balancer, EngineInput, EngineOutput};
use dunlincleat::api::{Attempt, Effect, ListKind, RequestId, ServerId, State, Status, Time};
use dunlincleat_engine::{Answer, Endpoint, Input, Output, ServerTable};
use dunlincleat_settings::InstanceSettings;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::BTreeMap;

/// The weights of the smoothed delay and of a new, shorter one.
const OLD_DELAY_WEIGHT: f64 = 0.9;
const NEW_DELAY_WEIGHT: f64 = 0.1;

/// How a baseline chooses a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Choice {
    /// A random one.
    Random,
    /// Each in turn.
    RoundRobin,
    /// The one with the fewest own requests in flight.
    LeastOutstanding,
    /// The one with fewer own requests in flight, of two random ones.
    TwoChoices,
    /// The one with the smallest product of smoothed peak delay and own requests in flight.
    PeakDelay,
}

impl Choice {
    /// The choice with this name, if there is one.
    #[must_use]
    pub fn named(name: &str) -> Option<Choice> {
        Choice::ALL.into_iter().find(|(known, _)| *known == name).map(|(_, choice)| choice)
    }

    /// All choices with their names on the command line.
    pub const ALL: [(&'static str, Choice); 5] = [
        ("random", Choice::Random),
        ("round-robin", Choice::RoundRobin),
        ("least-in-hand", Choice::LeastOutstanding),
        ("two-choices", Choice::TwoChoices),
        ("peak-delay", Choice::PeakDelay),
    ];
}

#[derive(Default)]
struct Server {
    ready: bool,
    in_flight: usize,
    /// Smoothed delay in microseconds; it rises at once and decays slowly.
    delay: f64,
}

struct Entry {
    class: u32,
    deadline: Time,
    attempts: Vec<ServerId>,
    may_have_run: bool,
}

/// An instance with a baseline policy.
pub struct Baseline {
    choice: Choice,
    effects: Vec<Effect>,
    max_attempts: usize,
    rng: SmallRng,
    server_ids: ServerTable,
    servers: BTreeMap<u32, Server>,
    requests: BTreeMap<u64, Entry>,
    round_robin_next: usize,
}

impl Baseline {
    /// A new instance.
    #[must_use]
    pub fn new(choice: Choice, instance: &InstanceSettings, seed: u64) -> Baseline {
        Baseline {
            choice,
            effects: instance.settings.classes.iter().map(|class| class.effect).collect(),
            max_attempts: instance.settings.limits.max_attempts as usize,
            rng: SmallRng::seed_from_u64(seed),
            server_ids: ServerTable::default(),
            servers: BTreeMap::new(),
            requests: BTreeMap::new(),
            round_robin_next: 0,
        }
    }

    fn choose_server(&mut self, exclude: Option<ServerId>) -> Option<ServerId> {
        let ready = |(id, server): (&u32, &Server)| server.ready.then_some(*id);
        let mut ready: Vec<u32> = self.servers.iter().filter_map(ready).collect();
        if ready.len() > 1 {
            ready.retain(|id| Some(ServerId(*id)) != exclude);
        }
        if ready.is_empty() {
            return None;
        }
        let in_flight_at = |id: &u32| self.servers[id].in_flight;
        let chosen = match self.choice {
            Choice::Random => ready[self.rng.random_range(0..ready.len())],
            Choice::RoundRobin => {
                self.round_robin_next += 1;
                ready[self.round_robin_next % ready.len()]
            }
            Choice::LeastOutstanding => {
                let from = self.rng.random_range(0..ready.len());
                ready.rotate_left(from);
                *ready.iter().min_by_key(|id| in_flight_at(id))?
            }
            Choice::TwoChoices => {
                let two = [0, 1].map(|_| ready[self.rng.random_range(0..ready.len())]);
                if in_flight_at(&two[0]) <= in_flight_at(&two[1]) { two[0] } else { two[1] }
            }
            Choice::PeakDelay => {
                let from = self.rng.random_range(0..ready.len());
                ready.rotate_left(from);
                let cost = |id: &u32| (self.servers[id].delay + 1.0) * (in_flight_at(id) + 1) as f64;
                *ready.iter().min_by(|a, b| cost(a).total_cmp(&cost(b)))?
            }
        };
        Some(ServerId(chosen))
    }

    /// Sends the next attempt of a request, or answers it.
    fn advance(&mut self, now: Time, id: RequestId, out: &mut Vec<EngineOutput>) {
        let Some(entry) = self.requests.get(&id.0) else { return };
        let effect = self.effects.get(entry.class as usize).copied().unwrap_or(Effect::Unsafe);
        let harmless = !entry.may_have_run || effect != Effect::Unsafe;
        let may_send = harmless && entry.attempts.len() < self.max_attempts && now < entry.deadline;
        let (previous, until) = (entry.attempts.last().copied(), entry.deadline);
        let server = if may_send { self.choose_server(previous) } else { None };
        let (Some(server), Some(entry)) = (server, self.requests.get_mut(&id.0)) else {
            self.requests.remove(&id.0);
            let answer = if harmless { Answer::Refused { retry_after: None } } else { Answer::Failed };
            return out.push(Output::Answer { id, answer });
        };
        let attempt = Attempt(entry.attempts.len() as u32);
        entry.attempts.push(server);
        self.servers.entry(server.0).or_default().in_flight += 1;
        out.push(Output::Attempt { id, attempt, server, payload: id.0, until, connect_timeout: None });
    }
}

impl Balancer for Baseline {
    fn input(&mut self, now: Time, input: EngineInput, out: &mut Vec<EngineOutput>) {
        match input {
            Input::Request { id, info, .. } => {
                let (class, deadline) = (info.class.number(), now + info.wait);
                let (attempts, may_have_run) = (Vec::new(), false);
                self.requests.insert(id.0, Entry { class, deadline, attempts, may_have_run });
                self.advance(now, id, out);
            }
            Input::ClientLeft(id) => drop(self.requests.remove(&id.0)),
            Input::AttemptEnded { id, server, completion, .. } => {
                let state = self.servers.entry(server.0).or_default();
                state.in_flight = state.in_flight.saturating_sub(1);
                let latency = completion.latency.as_f64();
                state.delay = if latency > state.delay {
                    latency
                } else {
                    state.delay * OLD_DELAY_WEIGHT + latency * NEW_DELAY_WEIGHT
                };
                match (completion.status, completion.body) {
                    (Status::Ok, Some(body)) => {
                        if self.requests.remove(&id.0).is_some() {
                            out.push(Output::Answer { id, answer: Answer::Served(body) });
                        }
                    }
                    (status, _) => {
                        let entry = self.requests.get_mut(&id.0);
                        entry.into_iter().for_each(|entry| entry.may_have_run |= !status.never_ran());
                        self.advance(now, id, out);
                    }
                }
            }
            Input::ServerList(delivery) => {
                if delivery.kind != ListKind::Changes {
                    self.servers.values_mut().for_each(|server| server.ready = false);
                }
                for entry in delivery.entries {
                    let server = self.server_ids.id_or_assign(&entry.uid);
                    self.servers.entry(server.0).or_default().ready = entry.state == State::Ready;
                    if let Some(at) = entry.endpoint {
                        out.push(Output::Open {
                            server,
                            endpoint: Endpoint { address: at, boot_ms: entry.boot_ms },
                        });
                    }
                }
            }
            // Baselines ignore settings changes, and responses arrive whole in the simulation.
            Input::ResponseStarted { .. }
            | Input::Upload { .. }
            | Input::ProbeEnded { .. }
            | Input::DiscoveryFailed
            | Input::Settings { .. }
            | Input::Rules(_) => {}
        }
    }

    fn wake(&mut self, _: Time, _: &mut Vec<EngineOutput>) {}

    fn due(&self) -> Option<Time> {
        None
    }
}
