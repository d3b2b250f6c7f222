//! Policies to compare against, never to serve with: they keep the rules on repeats and know nothing of load reports,
//! cold servers or crowding.

use crate::balancing::{Balancing, In, Out};
use dunlincleat::api::{Attempt, Effect, ListKind, RequestId, ServerId, State, Status, Time};
use dunlincleat_engine::{Answer, Endpoint, Input, Output, ServerTable};
use dunlincleat_settings::InstanceSettings;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::BTreeMap;

/// How a server is chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Choice {
    /// Any.
    Random,
    /// One after the other.
    RoundRobin,
    /// That with the fewest of its own in hand.
    LeastOutstanding,
    /// The one with fewer of its own in hand, of two drawn.
    TwoChoices,
    /// The least product of smoothed peak delay and own requests in hand.
    PeakDelay,
}

impl Choice {
    /// The choice of this name.
    #[must_use]
    pub fn named(name: &str) -> Option<Choice> {
        Choice::ALL.into_iter().find(|(known, _)| *known == name).map(|(_, choice)| choice)
    }

    /// All by name.
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
    in_hand: usize,
    /// Smoothed delay in microseconds; it rises at once and falls slowly.
    delay: f64,
}

struct Entry {
    class: u32,
    deadline: Time,
    attempts: Vec<ServerId>,
    may_have_run: bool,
}

/// An instance with such a policy.
pub struct Baseline {
    choice: Choice,
    effects: Vec<Effect>,
    most: usize,
    rng: SmallRng,
    places: ServerTable,
    servers: BTreeMap<u32, Server>,
    requests: BTreeMap<u64, Entry>,
    turn: usize,
}

impl Baseline {
    /// An instance.
    #[must_use]
    pub fn new(choice: Choice, site: &InstanceSettings, seed: u64) -> Baseline {
        Baseline {
            choice,
            effects: site.settings.classes.iter().map(|class| class.effect).collect(),
            most: site.settings.limits.max_attempts as usize,
            rng: SmallRng::seed_from_u64(seed),
            places: ServerTable::default(),
            servers: BTreeMap::new(),
            requests: BTreeMap::new(),
            turn: 0,
        }
    }

    fn pick(&mut self, not: Option<ServerId>) -> Option<ServerId> {
        let ready = |(id, server): (&u32, &Server)| server.ready.then_some(*id);
        let mut ready: Vec<u32> = self.servers.iter().filter_map(ready).collect();
        if ready.len() > 1 {
            ready.retain(|id| Some(ServerId(*id)) != not);
        }
        if ready.is_empty() {
            return None;
        }
        let hand = |id: &u32| self.servers[id].in_hand;
        let chosen = match self.choice {
            Choice::Random => ready[self.rng.random_range(0..ready.len())],
            Choice::RoundRobin => {
                self.turn += 1;
                ready[self.turn % ready.len()]
            }
            Choice::LeastOutstanding => {
                let from = self.rng.random_range(0..ready.len());
                ready.rotate_left(from);
                *ready.iter().min_by_key(|id| hand(id))?
            }
            Choice::TwoChoices => {
                let two = [0, 1].map(|_| ready[self.rng.random_range(0..ready.len())]);
                if hand(&two[0]) <= hand(&two[1]) { two[0] } else { two[1] }
            }
            Choice::PeakDelay => {
                let from = self.rng.random_range(0..ready.len());
                ready.rotate_left(from);
                let cost = |id: &u32| (self.servers[id].delay + 1.0) * (hand(id) + 1) as f64;
                *ready.iter().min_by(|a, b| cost(a).total_cmp(&cost(b)))?
            }
        };
        Some(ServerId(chosen))
    }

    /// Sends a request, or gives it its final answer.
    fn advance(&mut self, now: Time, id: RequestId, out: &mut Vec<Out>) {
        let Some(entry) = self.requests.get(&id.0) else { return };
        let effect = self.effects.get(entry.class as usize).copied().unwrap_or(Effect::Unsafe);
        let harmless = !entry.may_have_run || effect != Effect::Unsafe;
        let again = harmless && entry.attempts.len() < self.most && now < entry.deadline;
        let (not, until) = (entry.attempts.last().copied(), entry.deadline);
        let server = if again { self.pick(not) } else { None };
        let (Some(server), Some(entry)) = (server, self.requests.get_mut(&id.0)) else {
            self.requests.remove(&id.0);
            let answer = if harmless { Answer::Refused { retry_after: None } } else { Answer::Failed };
            return out.push(Output::Answer { id, answer });
        };
        let attempt = Attempt(entry.attempts.len() as u32);
        entry.attempts.push(server);
        self.servers.entry(server.0).or_default().in_hand += 1;
        out.push(Output::Attempt { id, attempt, server, payload: id.0, until, connect_timeout: None });
    }
}

impl Balancing for Baseline {
    fn input(&mut self, now: Time, input: In, out: &mut Vec<Out>) {
        match input {
            Input::Request { id, info: ask, .. } => {
                let (class, deadline) = (ask.class, now + ask.wait);
                let (attempts, may_have_run) = (Vec::new(), false);
                self.requests.insert(id.0, Entry { class, deadline, attempts, may_have_run });
                self.advance(now, id, out);
            }
            Input::ClientLeft(id) => drop(self.requests.remove(&id.0)),
            Input::AttemptEnded { id, server, completion: ended, .. } => {
                let known = self.servers.entry(server.0).or_default();
                known.in_hand = known.in_hand.saturating_sub(1);
                let took = ended.latency.as_f64();
                known.delay = if took > known.delay { took } else { known.delay * 0.9 + took * 0.1 };
                match (ended.status, ended.body) {
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
                    let server = self.places.id_or_assign(&entry.uid);
                    self.servers.entry(server.0).or_default().ready = entry.state == State::Ready;
                    if let Some(at) = entry.endpoint {
                        out.push(Output::Open {
                            server,
                            endpoint: Endpoint { address: at, boot_ms: entry.boot_ms },
                        });
                    }
                }
            }
            // A day has one set of settings, and its answers come whole.
            Input::ResponseStarted { .. }
            | Input::Upload { .. }
            | Input::ProbeEnded { .. }
            | Input::DiscoveryFailed
            | Input::Settings { .. }
            | Input::Rules(_) => {}
        }
    }

    fn wake(&mut self, _: Time, _: &mut Vec<Out>) {}

    fn due(&self) -> Option<Time> {
        None
    }
}
