//! What a soak is judged by: the protocol page's terms, from what clients and servers saw. Pure.

use crate::audit::{Answers, Bounds, Property, Verdict, Violation};
use crate::history::{Answer, Event, EventKind};
use crate::schedule::Fault;
use std::collections::{BTreeMap, BTreeSet};

/// How long after its client has left an attempt of a request may still be seen to begin, in microseconds.
const LEFT_GRACE: u64 = 100_000;
/// How a process ends that was told to end and did so in order.
const IN_ORDER: &str = "ended with exit status: 0";

/// What became of the requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Asked.
    pub asked: u64,
    /// Answered 200.
    pub served: u64,
    /// Answered 429 or 503.
    pub refused: u64,
    /// Answered otherwise.
    pub failed: u64,
    /// Crossed the close of a connection between two requests, and were never read.
    pub crossed: u64,
    /// Left by their client.
    pub left: u64,
}

#[derive(Default)]
struct Request<'a> {
    once: bool,
    asked: u64,
    client_timeout: u64,
    answers: Vec<(u64, &'a Answer)>,
    crossed: bool,
    left: Option<u64>,
    began: Vec<(u64, &'a str)>,
    /// When it first began at a server that does not stand still.
    began_in_sight: Option<u64>,
}

/// Judges a history, in the order of its times.
#[must_use]
pub fn judge(history: &[Event], bounds: Bounds) -> (Verdict, Counts) {
    let mut requests: BTreeMap<&str, Request<'_>> = BTreeMap::new();
    let mut still: BTreeSet<&str> = BTreeSet::new();
    let (mut broken, mut late, mut ended) = (Vec::new(), 0, false);
    let mut add = |property, at, what| broken.push(Violation { property, at, what });
    for Event { at, what } in history {
        match what {
            EventKind::RequestSent { id, at_most_once: once, client_timeout, .. } => {
                let new = Request {
                    once: *once,
                    asked: *at,
                    client_timeout: *client_timeout,
                    ..Request::default()
                };
                requests.insert(id, new);
            }
            EventKind::Answered { id, answer } => {
                requests.entry(id).or_default().answers.push((*at, answer));
            }
            EventKind::CrossedClose { id } => requests.entry(id).or_default().crossed = true,
            EventKind::ClientLeft { id } => requests.entry(id).or_default().left = Some(*at),
            EventKind::FaultInjected { fault: Fault::Stop { process } } => drop(still.insert(process)),
            EventKind::RequestStarted { server, id, body } => {
                let request = requests.entry(id).or_default();
                request.began.push((*at, body));
                // One that stands still reads what came long before only once it goes on, at the end.
                if !still.contains(server.as_str()) {
                    request.began_in_sight.get_or_insert(*at);
                }
            }
            EventKind::TimerLate { by } => late = late.max(*by),
            EventKind::Overdue { process } => {
                add(Property::TerminatesInTime, *at, format!("{process} runs on at the earliest kill"));
            }
            EventKind::Down { process, how, .. } => {
                ended = true;
                if how != IN_ORDER {
                    add(Property::NoCrash, *at, format!("{process} {how}"));
                }
            }
            _ => {}
        }
    }
    if !ended {
        add(Property::TerminatesInTime, 0, "the process was not seen to end".to_owned());
    }
    let mut counts = Counts::default();
    for (id, request) in &requests {
        counts.add(request);
        request.judge(id, bounds, &mut add);
    }
    broken.sort_by_key(|b| b.at);
    let verdict = match broken.is_empty() {
        _ if late > bounds.timer_lateness => Verdict::Void(late),
        true => Verdict::Kept,
        false => Verdict::Broken(broken),
    };
    (verdict, counts)
}

impl Counts {
    fn add(&mut self, request: &Request<'_>) {
        self.asked += 1;
        self.crossed += u64::from(request.crossed);
        self.left += u64::from(request.left.is_some());
        match request.answers.first() {
            Some((_, Answer::Served(_))) => self.served += 1,
            Some((_, Answer::Refused)) => self.refused += 1,
            Some((_, Answer::Failed)) => self.failed += 1,
            Some((_, Answer::Broken(_))) | None => {}
        }
    }
}

impl Request<'_> {
    fn judge(&self, id: &str, bounds: Bounds, add: &mut impl FnMut(Property, u64, String)) {
        let limit = self.asked + self.client_timeout + bounds.slack;
        if self.once && self.began.len() > 1 {
            add(Property::AtMostOnce, self.began[1].0, format!("{id} ran {} times", self.began.len()));
        }
        if let (Some(left), Some(began)) = (self.left, self.began_in_sight)
            && began > left + LEFT_GRACE
        {
            let after = (began - left) / 1000;
            add(
                Property::NoStartAfterClientLeft,
                began,
                format!("{id} began {after} ms after its client left"),
            );
        }
        match self.answers.as_slice() {
            [] if self.left.is_some() => {}
            // It was never read, so nothing of it can have begun.
            [] if self.crossed => {
                if let Some((at, _)) = self.began.first() {
                    add(Property::OneAnswer, *at, format!("{id} crossed a close and began all the same"));
                }
            }
            [] => add(Property::OneAnswer, limit, format!("{id} got none")),
            answers => {
                let bodies = self.began.iter().map(|(_, body)| *body).collect();
                Answers { of: id, answers, bodies, once: self.once, limit, excused: false }.judge(add);
            }
        }
    }
}

#[cfg(test)]
mod tests;
