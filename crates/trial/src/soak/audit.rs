//! The auditor of the soak: the terms of the protocol, judged from what clients and servers observed. Pure.

use crate::audit::{Answers, Bounds, Property, TimedAnswer, Verdict, Violation};
use crate::history::{Answer, Event, EventKind};
use crate::schedule::Fault;
use std::collections::{BTreeMap, BTreeSet};

/// How long after its client has left an attempt of a request may still start, in microseconds.
const CANCEL_GRACE_US: u64 = 100_000;
/// The exit of a process that terminated in order.
const ORDERLY_EXIT: &str = "ended with exit status: 0";

/// Numbers of requests by result.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Sent.
    pub asked: u64,
    /// Answered with 200.
    pub served: u64,
    /// Answered with 429 or 503.
    pub refused: u64,
    /// Answered otherwise.
    pub failed: u64,
    /// Sent while the process closed the idle connection, and never read.
    pub crossed: u64,
    /// Abandoned by their client.
    pub left: u64,
}

/// The start of a request at a server.
struct Start<'a> {
    at: u64,
    body: &'a str,
}

#[derive(Default)]
struct Request<'a> {
    at_most_once: bool,
    sent_at: u64,
    client_timeout: u64,
    answers: Vec<TimedAnswer<'a>>,
    crossed: bool,
    left_at: Option<u64>,
    starts: Vec<Start<'a>>,
    /// The first start at a server that is not stopped.
    first_observed_start: Option<u64>,
}

/// Judges a history, which is sorted by time.
#[must_use]
pub fn judge(history: &[Event], bounds: Bounds) -> (Verdict, Counts) {
    let mut requests: BTreeMap<&str, Request<'_>> = BTreeMap::new();
    let mut stopped: BTreeSet<&str> = BTreeSet::new();
    let mut violations = Vec::new();
    let mut max_timer_lateness = 0;
    let mut terminated = false;
    let mut add = |property, at, what| violations.push(Violation { property, at, what });
    for Event { at, what } in history {
        match what {
            EventKind::RequestSent { id, at_most_once, client_timeout, .. } => {
                let new = Request {
                    at_most_once: *at_most_once,
                    sent_at: *at,
                    client_timeout: *client_timeout,
                    ..Request::default()
                };
                requests.insert(id, new);
            }
            EventKind::Answered { id, answer } => {
                requests.entry(id).or_default().answers.push(TimedAnswer { at: *at, answer });
            }
            EventKind::CrossedClose { id } => requests.entry(id).or_default().crossed = true,
            EventKind::ClientLeft { id } => requests.entry(id).or_default().left_at = Some(*at),
            EventKind::FaultInjected { fault: Fault::Stop { process } } => drop(stopped.insert(process)),
            EventKind::RequestStarted { server, id, body } => {
                let request = requests.entry(id).or_default();
                request.starts.push(Start { at: *at, body });
                // A stopped server reads requests from long before only once it continues, at the end.
                if !stopped.contains(server.as_str()) {
                    request.first_observed_start.get_or_insert(*at);
                }
            }
            EventKind::TimerLate { by } => max_timer_lateness = max_timer_lateness.max(*by),
            EventKind::Overdue { process } => {
                add(Property::TerminatesInTime, *at, format!("{process} runs on at the earliest kill"));
            }
            EventKind::Down { process, how, .. } => {
                terminated = true;
                if how != ORDERLY_EXIT {
                    add(Property::NoCrash, *at, format!("{process} {how}"));
                }
            }
            _ => {}
        }
    }
    if !terminated {
        add(Property::TerminatesInTime, 0, "the process was not seen to end".to_owned());
    }
    let mut counts = Counts::default();
    for (id, request) in &requests {
        counts.add(request);
        request.judge(id, bounds, &mut add);
    }
    violations.sort_by_key(|violation| violation.at);
    let verdict = match violations.is_empty() {
        _ if max_timer_lateness > bounds.timer_lateness => Verdict::Void(max_timer_lateness),
        true => Verdict::Kept,
        false => Verdict::Broken(violations),
    };
    (verdict, counts)
}

impl Counts {
    fn add(&mut self, request: &Request<'_>) {
        self.asked += 1;
        self.crossed += u64::from(request.crossed);
        self.left += u64::from(request.left_at.is_some());
        match request.answers.first().map(|timed| timed.answer) {
            Some(Answer::Served(_)) => self.served += 1,
            Some(Answer::Refused) => self.refused += 1,
            Some(Answer::Failed) => self.failed += 1,
            Some(Answer::Broken(_)) | None => {}
        }
    }
}

impl Request<'_> {
    fn judge(&self, id: &str, bounds: Bounds, add: &mut impl FnMut(Property, u64, String)) {
        let deadline = self.sent_at + self.client_timeout + bounds.slack;
        if self.at_most_once && self.starts.len() > 1 {
            add(Property::AtMostOnce, self.starts[1].at, format!("{id} ran {} times", self.starts.len()));
        }
        if let (Some(left), Some(started)) = (self.left_at, self.first_observed_start)
            && started > left + CANCEL_GRACE_US
        {
            let after = (started - left) / 1000;
            add(
                Property::NoStartAfterClientLeft,
                started,
                format!("{id} began {after} ms after its client left"),
            );
        }
        match self.answers.as_slice() {
            [] if self.left_at.is_some() => {}
            // A request that was never read can't have started.
            [] if self.crossed => {
                if let Some(start) = self.starts.first() {
                    add(
                        Property::OneAnswer,
                        start.at,
                        format!("{id} crossed a close and began all the same"),
                    );
                }
            }
            [] => add(Property::OneAnswer, deadline, format!("{id} got none")),
            answers => {
                let bodies = self.starts.iter().map(|start| start.body).collect();
                Answers {
                    label: id,
                    answers,
                    bodies,
                    at_most_once: self.at_most_once,
                    deadline,
                    excused: false,
                }
                .judge(add);
            }
        }
    }
}

#[cfg(test)]
mod tests;
