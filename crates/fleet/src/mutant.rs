//! Engines with one planted fault each: the auditor must catch them all, or it proves nothing.

use crate::balancing::{Balancing, In, Out};
use crate::cold::Terms;
use dunlincleat::api::{Attempt, ServerId, Span, State, Time};
use dunlincleat_engine::{Answer, Endpoint, Input, Output};
use std::collections::VecDeque;

/// What is wrong with it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedFault {
    /// Every attempt of a hundredth request goes out twice.
    SendsTwice,
    /// A hundredth request is answered twice.
    AnswersTwice,
    /// It never hears that a server drains.
    IgnoresDrains,
    /// It sends all to the server that started last.
    FloodsCold,
    /// It sits on refusals.
    DelaysRefusals,
    /// It never answers a hundredth request.
    LosesRequests,
    /// It alone sends the server that started last all that the settings allow the whole fleet.
    TakesBudget,
}

impl InjectedFault {
    /// All of them.
    pub const ALL: [InjectedFault; 7] = [
        InjectedFault::SendsTwice,
        InjectedFault::AnswersTwice,
        InjectedFault::IgnoresDrains,
        InjectedFault::FloodsCold,
        InjectedFault::DelaysRefusals,
        InjectedFault::LosesRequests,
        InjectedFault::TakesBudget,
    ];
}

/// How long a mutant sits on a refusal.
const SITS: Span = Span(250_000);

/// An engine with a planted fault.
pub struct Mutant<B> {
    inner: B,
    fault: InjectedFault,
    held: Vec<(Time, Out)>,
    /// The server that started last, where one did.
    newest: Option<ServerId>,
    /// When that was, what cold servers may get, and when this instance sent it something of late.
    newest_born: Time,
    cold: Terms,
    own: VecDeque<Time>,
}

impl<B: Balancing> Mutant<B> {
    /// Plants a fault.
    pub fn new(inner: B, fault: InjectedFault, cold: Terms) -> Mutant<B> {
        let (newest_born, own) = (Time(0), VecDeque::new());
        Mutant { inner, fault, held: Vec::new(), newest: None, newest_born, cold, own }
    }

    /// The server that started last, while it is cold and this instance alone has not sent it the whole budget.
    fn budget_left(&mut self, now: Time) -> Option<ServerId> {
        let (newest, age) = (self.newest?, (now - self.newest_born).0);
        while self.own.front().is_some_and(|at| (now - *at).0 >= self.cold.over) {
            self.own.pop_front();
        }
        let left = age < self.cold.cold && (self.own.len() + 1) as f64 <= self.cold.budget(age);
        left.then(|| {
            self.own.push_back(now);
            newest
        })
    }

    fn spoil(&mut self, now: Time, from: usize, out: &mut Vec<Out>) {
        let mut spoilt = Vec::new();
        for mut output in out.drain(from..) {
            match (self.fault, &mut output) {
                (
                    InjectedFault::FloodsCold,
                    Output::UpdateServer {
                        server,
                        endpoint: Some(Endpoint { boot_ms, .. }),
                        state: State::Ready,
                    },
                ) if *boot_ms > 0 => {
                    self.newest = Some(*server);
                }
                (
                    InjectedFault::TakesBudget,
                    Output::UpdateServer {
                        server,
                        endpoint: Some(Endpoint { boot_ms, .. }),
                        state: State::Ready,
                    },
                ) if Time(*boot_ms * 1000) > self.newest_born => {
                    (self.newest, self.newest_born) = (Some(*server), Time(*boot_ms * 1000));
                    self.own.clear();
                }
                (InjectedFault::TakesBudget, Output::Attempt { server, .. }) => {
                    *server = self.budget_left(now).unwrap_or(*server);
                }
                (InjectedFault::FloodsCold, Output::Attempt { server, .. }) => {
                    *server = self.newest.unwrap_or(*server);
                }
                (
                    InjectedFault::SendsTwice,
                    Output::Attempt { id, attempt, server, payload, until, connect_timeout: connect },
                ) if id.0 % 100 == 0 => {
                    let (id, attempt, server) = (*id, Attempt(attempt.0 + 50), *server);
                    let (payload, until, connect) = (*payload, *until, *connect);
                    spoilt.push(Output::Attempt {
                        id,
                        attempt,
                        server,
                        payload,
                        until,
                        connect_timeout: connect,
                    });
                }
                (InjectedFault::AnswersTwice, Output::Answer { id, answer }) if id.0 % 100 == 0 => {
                    spoilt.push(Output::Answer { id: *id, answer: answer.clone() });
                }
                (InjectedFault::LosesRequests, Output::Answer { id, .. }) if id.0 % 100 == 0 => continue,
                (InjectedFault::DelaysRefusals, Output::Answer { answer: Answer::Refused { .. }, .. }) => {
                    self.held.push((now + SITS, output));
                    continue;
                }
                _ => {}
            }
            spoilt.push(output);
        }
        out.append(&mut spoilt);
    }
}

impl<B: Balancing> Balancing for Mutant<B> {
    fn input(&mut self, now: Time, input: In, out: &mut Vec<Out>) {
        let input = match (self.fault, input) {
            (InjectedFault::IgnoresDrains, Input::ServerList(mut delivery)) => {
                for entry in delivery.entries.iter_mut().filter(|e| e.endpoint.is_some()) {
                    entry.state = State::Ready;
                }
                Input::ServerList(delivery)
            }
            (_, input) => input,
        };
        let from = out.len();
        self.inner.input(now, input, out);
        self.spoil(now, from, out);
    }

    fn wake(&mut self, now: Time, out: &mut Vec<Out>) {
        let from = out.len();
        self.inner.wake(now, out);
        self.spoil(now, from, out);
        let (due, held) = std::mem::take(&mut self.held).into_iter().partition(|(at, _)| *at <= now);
        self.held = held;
        out.extend(Vec::into_iter(due).map(|(_, output)| output));
    }

    fn due(&self) -> Option<Time> {
        self.held.iter().map(|(at, _)| *at).chain(self.inner.due()).min()
    }
}
