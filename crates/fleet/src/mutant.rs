//! Engines with one planted fault each: the auditor must catch them all, or it proves nothing.

use crate::balancer::{Balancer, EngineInput, EngineOutput};
use crate::cold_start::ColdBudget;
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
const REFUSAL_DELAY: Span = Span(250_000);

/// An engine with a planted fault.
pub struct Mutant<B> {
    inner: B,
    fault: InjectedFault,
    delayed: Vec<(Time, EngineOutput)>,
    /// The server that started last, where one did.
    newest: Option<ServerId>,
    /// When that was, what cold servers may get, and when this instance sent it something of late.
    newest_started_at: Time,
    cold_budget: ColdBudget,
    own_sends: VecDeque<Time>,
}

impl<B: Balancer> Mutant<B> {
    /// Plants a fault.
    pub fn new(inner: B, fault: InjectedFault, cold_budget: ColdBudget) -> Mutant<B> {
        let (newest_started_at, own_sends) = (Time(0), VecDeque::new());
        Mutant { inner, fault, delayed: Vec::new(), newest: None, newest_started_at, cold_budget, own_sends }
    }

    /// The server that started last, while it is cold and this instance alone has not sent it the whole budget.
    fn budget_left(&mut self, now: Time) -> Option<ServerId> {
        let (newest, age) = (self.newest?, (now - self.newest_started_at).0);
        while self.own_sends.front().is_some_and(|at| (now - *at).0 >= self.cold_budget.window) {
            self.own_sends.pop_front();
        }
        let left = age < self.cold_budget.warm_up
            && (self.own_sends.len() + 1) as f64 <= self.cold_budget.budget(age);
        left.then(|| {
            self.own_sends.push_back(now);
            newest
        })
    }

    fn apply_fault(&mut self, now: Time, from: usize, out: &mut Vec<EngineOutput>) {
        let mut modified = Vec::new();
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
                ) if Time(*boot_ms * 1000) > self.newest_started_at => {
                    (self.newest, self.newest_started_at) = (Some(*server), Time(*boot_ms * 1000));
                    self.own_sends.clear();
                }
                (InjectedFault::TakesBudget, Output::Attempt { server, .. }) => {
                    *server = self.budget_left(now).unwrap_or(*server);
                }
                (InjectedFault::FloodsCold, Output::Attempt { server, .. }) => {
                    *server = self.newest.unwrap_or(*server);
                }
                (
                    InjectedFault::SendsTwice,
                    Output::Attempt { id, attempt, server, payload, until, connect_timeout },
                ) if id.0 % 100 == 0 => {
                    let (id, attempt, server) = (*id, Attempt(attempt.0 + 50), *server);
                    let (payload, until, connect_timeout) = (*payload, *until, *connect_timeout);
                    modified.push(Output::Attempt { id, attempt, server, payload, until, connect_timeout });
                }
                (InjectedFault::AnswersTwice, Output::Answer { id, answer }) if id.0 % 100 == 0 => {
                    modified.push(Output::Answer { id: *id, answer: answer.clone() });
                }
                (InjectedFault::LosesRequests, Output::Answer { id, .. }) if id.0 % 100 == 0 => continue,
                (InjectedFault::DelaysRefusals, Output::Answer { answer: Answer::Refused { .. }, .. }) => {
                    self.delayed.push((now + REFUSAL_DELAY, output));
                    continue;
                }
                _ => {}
            }
            modified.push(output);
        }
        out.append(&mut modified);
    }
}

impl<B: Balancer> Balancer for Mutant<B> {
    fn input(&mut self, now: Time, input: EngineInput, out: &mut Vec<EngineOutput>) {
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
        self.apply_fault(now, from, out);
    }

    fn wake(&mut self, now: Time, out: &mut Vec<EngineOutput>) {
        let from = out.len();
        self.inner.wake(now, out);
        self.apply_fault(now, from, out);
        let (due, delayed) = std::mem::take(&mut self.delayed).into_iter().partition(|(at, _)| *at <= now);
        self.delayed = delayed;
        out.extend(Vec::into_iter(due).map(|(_, output)| output));
    }

    fn due(&self) -> Option<Time> {
        self.delayed.iter().map(|(at, _)| *at).chain(self.inner.due()).min()
    }
}
