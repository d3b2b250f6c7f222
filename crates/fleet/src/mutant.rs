//! Engines with one injected fault each. The auditor must detect all of them, or its silence proves nothing.

use crate::balancer::{Balancer, EngineInput, EngineOutput};
use crate::cold_start::ColdBudget;
use dunlincleat::api::{Attempt, ServerId, Span, State, Time};
use dunlincleat_engine::{Answer, Endpoint, Input, Output};
use std::collections::VecDeque;

/// The fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedFault {
    /// Sends every attempt of each hundredth request twice.
    SendsTwice,
    /// Answers each hundredth request twice.
    AnswersTwice,
    /// Ignores that servers drain.
    IgnoresDrains,
    /// Sends all requests to the server that started last.
    FloodsCold,
    /// Delays refusals.
    DelaysRefusals,
    /// Never answers each hundredth request.
    LosesRequests,
    /// Sends the server that started last the whole budget that the settings allow all instances together.
    TakesBudget,
}

impl InjectedFault {
    /// All faults.
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

/// The faults that affect some requests do so for each request whose number is a multiple of this.
const AFFECTED_EVERY: u64 = 100;
/// Added to the number of an attempt that is sent twice, so that it differs from all others.
const DUPLICATE_ATTEMPT_OFFSET: u32 = 50;
/// How long refusals are delayed.
const REFUSAL_DELAY: Span = Span(250_000);

/// An engine with an injected fault.
pub struct Mutant<B> {
    inner: B,
    fault: InjectedFault,
    delayed: Vec<(Time, EngineOutput)>,
    /// The server that started last, if any.
    newest: Option<ServerId>,
    /// When the server that started last did so.
    newest_started_at: Time,
    /// The budget that the settings allow a cold server.
    cold_budget: ColdBudget,
    /// When this instance sent to the newest server, within the window of the budget.
    own_sends: VecDeque<Time>,
}

impl<B: Balancer> Mutant<B> {
    /// Injects a fault into a balancer.
    pub fn new(inner: B, fault: InjectedFault, cold_budget: ColdBudget) -> Mutant<B> {
        let (newest_started_at, own_sends) = (Time(0), VecDeque::new());
        Mutant { inner, fault, delayed: Vec::new(), newest: None, newest_started_at, cold_budget, own_sends }
    }

    /// Takes a request of the budget of the server that started last, while that is cold and this instance alone has not
    /// sent it the whole budget.
    fn take_budget(&mut self, now: Time) -> Option<ServerId> {
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

    /// Changes the outputs from an index on as the fault demands.
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
                    self.newest = Some(*server);
                    self.newest_started_at = Time(*boot_ms * 1000);
                    self.own_sends.clear();
                }
                (InjectedFault::TakesBudget, Output::Attempt { server, .. }) => {
                    *server = self.take_budget(now).unwrap_or(*server);
                }
                (InjectedFault::FloodsCold, Output::Attempt { server, .. }) => {
                    *server = self.newest.unwrap_or(*server);
                }
                (
                    InjectedFault::SendsTwice,
                    Output::Attempt { id, attempt, server, payload, until, connect_timeout },
                ) if id.0 % AFFECTED_EVERY == 0 => {
                    let (id, attempt, server) = (*id, Attempt(attempt.0 + DUPLICATE_ATTEMPT_OFFSET), *server);
                    let (payload, until, connect_timeout) = (*payload, *until, *connect_timeout);
                    modified.push(Output::Attempt { id, attempt, server, payload, until, connect_timeout });
                }
                (InjectedFault::AnswersTwice, Output::Answer { id, answer })
                    if id.0 % AFFECTED_EVERY == 0 =>
                {
                    modified.push(Output::Answer { id: *id, answer: answer.clone() });
                }
                (InjectedFault::LosesRequests, Output::Answer { id, .. }) if id.0 % AFFECTED_EVERY == 0 => {
                    continue;
                }
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
