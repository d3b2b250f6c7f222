//! The rules, from what nodes and callers saw alone. It knows nothing of the code under test.

use crate::cold_start::{ColdArrivals, ColdStartMonitor};
use crate::node::Job;
use crate::scenario::DRAIN_GRACE;
use dunlincleat::api::Effect;
use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};
use std::borrow::Cow;
use std::collections::BTreeMap;

/// The slack of each time limit, in microseconds.
pub const SLACK_US: u64 = 50_000;
/// A refusal may come so long after the last thing that happened to its request: a part of the aim, and the slack of a
/// look at the servers.
const HELD: (f64, u64) = (0.1, 20_000);

/// A broken rule.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Violation {
    /// Which rule.
    pub rule: Cow<'static, str>,
    /// When, in microseconds since the start.
    pub at_us: u64,
    /// What was seen.
    pub what: String,
}

/// How a request was answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerKind {
    /// With the answer made for this request.
    Served(u64),
    /// Refused.
    Refused,
    /// Failed.
    Failed,
}

struct Request {
    effect: Effect,
    aim: u64,
    gives_up: u64,
    answers: u32,
    /// Attempts that nodes have begun to work on, and those that are out.
    ran: u32,
    out: u32,
    /// When something last happened to it: taken, or an attempt ended.
    last: u64,
}

/// The auditor.
#[derive(Default)]
pub struct Auditor {
    requests: FxHashMap<u64, Request>,
    /// When an instance was told that a node, with this start, leaves.
    told: FxHashMap<(u32, usize, u32), u64>,
    cold: ColdStartMonitor,
    cases: Vec<Violation>,
    counts: BTreeMap<&'static str, u64>,
}

impl Auditor {
    fn report(&mut self, rule: &'static str, at_us: u64, what: String) {
        *self.counts.entry(rule).or_default() += 1;
        // Enough to find the cause by.
        if self.cases.len() < 20 {
            self.cases.push(Violation { rule: rule.into(), at_us, what });
        }
    }

    /// A caller's request was taken.
    pub fn request_received(&mut self, id: u64, now: u64, effect: Effect, aim: u64, gives_up: u64) {
        let request = Request { effect, aim, gives_up, answers: 0, ran: 0, out: 0, last: now };
        self.requests.insert(id, request);
    }

    /// A caller got an answer.
    pub fn request_answered(&mut self, id: u64, now: u64, kind: AnswerKind) {
        let Some(request) = self.requests.get_mut(&id) else {
            return self.report("one answer", now, format!("request {id}: an answer that nobody asked for"));
        };
        request.answers += 1;
        let Request { effect, aim, gives_up, answers, ran, last, .. } = *request;
        if answers > 1 {
            self.report("one answer", now, format!("request {id}: answer {answers}"));
        }
        if now > gives_up + SLACK_US {
            self.report("one answer", now, format!("request {id}: {} us after its time", now - gives_up));
        }
        match kind {
            AnswerKind::Served(body) if body != id => {
                self.report("one answer", now, format!("request {id}: the answer of request {body}"));
            }
            AnswerKind::Refused if ran > 0 && effect == Effect::Unsafe => {
                self.report("no effect twice", now, format!("request {id}: refused, and it may have run"));
            }
            AnswerKind::Refused if now - last > (aim as f64 * HELD.0) as u64 + HELD.1 => {
                let held = (now - last) / 1000;
                self.report(
                    "not held back",
                    now,
                    format!("request {id}: refused {held} ms after its last attempt"),
                );
            }
            AnswerKind::Served(_) | AnswerKind::Refused | AnswerKind::Failed => {}
        }
    }

    /// A caller's time is over.
    pub fn client_timed_out(&mut self, id: u64, now: u64) {
        if self.requests.get(&id).is_some_and(|request| request.answers == 0) {
            self.report("one answer", now, format!("request {id}: none in time"));
        }
    }

    /// A caller left before its time, or its instance ended under it: nothing is owed any more.
    pub fn client_left(&mut self, id: u64) {
        if let Some(request) = self.requests.get_mut(&id).filter(|request| request.answers == 0) {
            request.answers = 1;
        }
    }

    /// The list told an instance of a node.
    pub fn listed(&mut self, instance: u32, node: usize, start: u32, leaves: bool, now: u64) {
        self.cold.notified(instance, node, start);
        if leaves {
            self.told.entry((instance, node, start)).or_insert(now);
        } else {
            self.told.remove(&(instance, node, start));
        }
    }

    /// An instance knew of a node's start from its own first moment.
    pub fn initially_listed(&mut self, instance: u32, node: usize, start: u32) {
        self.cold.notified(instance, node, start);
    }

    /// An instance sent an attempt.
    pub fn attempt_sent(&mut self, job: Job, node: usize, start: u32, now: u64) {
        let told = self.told.get(&(job.instance, node, start)).copied();
        if let Some(told) = told.filter(|told| now > told + DRAIN_GRACE.0 + SLACK_US) {
            let late = (now - told) / 1000;
            self.report(
                "drains",
                now,
                format!("request {}: to node {node}, {late} ms after it was told", job.request),
            );
        }
        let Some(request) = self.requests.get_mut(&job.request) else { return };
        request.out += 1;
        let (out, answers) = (request.out, request.answers);
        if out > 1 {
            self.report("one attempt", now, format!("request {}: {out} attempts out", job.request));
        }
        if answers > 0 {
            self.report("one answer", now, format!("request {}: sent after its answer", job.request));
        }
    }

    /// A node began to work on an attempt.
    pub fn attempt_started(&mut self, job: Job, now: u64) {
        let Some(request) = self.requests.get_mut(&job.request) else { return };
        request.ran += 1;
        if request.ran > 1 && request.effect == Effect::Unsafe {
            let ran = request.ran;
            self.report("no effect twice", now, format!("request {}: run {ran} times", job.request));
        }
    }

    /// An attempt ended, as its instance sees it.
    pub fn attempt_ended(&mut self, job: Job, now: u64) {
        if let Some(request) = self.requests.get_mut(&job.request) {
            request.out = request.out.saturating_sub(1);
            request.last = now;
        }
    }

    /// A cold node got more than its budget, with nothing put down to chance and whoever had been told.
    pub fn cold_node_overloaded(&mut self, node: usize, now: u64) {
        self.report("cold nodes", now, format!("node {node} was pushed over"));
    }

    /// An attempt came to a cold node, with this start, that may get `budget` requests of mean work within `over`
    /// microseconds; `calls` is its own work over the mean. The rule is on the sum of what all instances send.
    pub fn cold_arrival(
        &mut self,
        job: Job,
        (node, start): (usize, u32),
        calls: f64,
        (budget, over): (f64, u64),
        now: u64,
    ) {
        let Some(came) = self.cold.record_arrival(job.instance, (node, start), calls, (budget, over), now)
        else {
            return;
        };
        let (ColdArrivals { calls, told, budget }, most) = (came, came.calls - came.excess());
        let what = format!(
            "node {node}, start {start}: {calls:.1} requests on a budget of {budget:.1}, which bears {most:.1}; \
             {told:.1} from instances that had been told of the start"
        );
        self.report("cold budget", now, what);
    }

    /// What came nearest to a cold node's limit, or went furthest beyond.
    #[must_use]
    pub fn cold_peak(&self) -> Option<ColdArrivals> {
        self.cold.peak()
    }

    /// What was found: how often each rule was broken, and the first cases.
    #[must_use]
    pub fn found(self) -> (BTreeMap<&'static str, u64>, Vec<Violation>) {
        (self.counts, self.cases)
    }
}
