//! The auditor checks the rules of the balancer using only what nodes and callers observed. It knows nothing of the
//! code under test.

use crate::cold_start::{Allowance, ColdArrivals, ColdStartMonitor};
use crate::node::{Job, NodeProcess};
use crate::scenario::DRAIN_GRACE;
use dunlincleat::api::Effect;
use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};
use std::borrow::Cow;
use std::collections::BTreeMap;

/// The tolerance of each time limit, in microseconds.
pub const SLACK_US: u64 = 50_000;
/// A refusal must follow the last event of its request within this part of the aim,
const REFUSAL_DELAY_PART_OF_AIM: f64 = 0.1;
/// plus the tolerance of one probe round, in microseconds.
const REFUSAL_DELAY_SLACK_US: u64 = 20_000;
/// The number of violations that are kept; the first ones are enough to find a cause.
const MAX_CASES: usize = 20;

/// A violation of a rule.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Violation {
    /// The name of the rule.
    pub rule: Cow<'static, str>,
    /// When it happened, in microseconds since the start.
    pub at_us: u64,
    /// What was observed.
    pub what: String,
}

/// What an audit found.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Findings {
    /// The number of violations of each rule.
    pub counts: BTreeMap<&'static str, u64>,
    /// The first violations.
    pub cases: Vec<Violation>,
}

/// How a request was answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerKind {
    /// Served, with the body made for this request.
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
    /// Attempts that nodes have started to work on.
    started: u32,
    /// Attempts in flight.
    in_flight: u32,
    /// The time of its last event: it was received, or an attempt ended.
    last_event: u64,
}

/// The auditor.
#[derive(Default)]
pub struct Auditor {
    requests: FxHashMap<u64, Request>,
    /// When an instance was notified that a process of a node drains or leaves.
    leaving: FxHashMap<(u32, NodeProcess), u64>,
    cold_starts: ColdStartMonitor,
    findings: Findings,
}

impl Auditor {
    fn report(&mut self, rule: &'static str, at_us: u64, what: String) {
        *self.findings.counts.entry(rule).or_default() += 1;
        if self.findings.cases.len() < MAX_CASES {
            self.findings.cases.push(Violation { rule: rule.into(), at_us, what });
        }
    }

    /// An instance received a request of its caller.
    pub fn request_received(&mut self, id: u64, now: u64, effect: Effect, aim: u64, gives_up: u64) {
        let request =
            Request { effect, aim, gives_up, answers: 0, started: 0, in_flight: 0, last_event: now };
        self.requests.insert(id, request);
    }

    /// A caller received an answer.
    pub fn request_answered(&mut self, id: u64, now: u64, kind: AnswerKind) {
        let Some(request) = self.requests.get_mut(&id) else {
            return self.report("one answer", now, format!("request {id}: an answer that nobody asked for"));
        };
        request.answers += 1;
        let Request { effect, aim, gives_up, answers, started, last_event, .. } = *request;
        if answers > 1 {
            self.report("one answer", now, format!("request {id}: answer {answers}"));
        }
        if now > gives_up + SLACK_US {
            self.report("one answer", now, format!("request {id}: {} us after its time", now - gives_up));
        }
        let max_refusal_delay = (aim as f64 * REFUSAL_DELAY_PART_OF_AIM) as u64 + REFUSAL_DELAY_SLACK_US;
        match kind {
            AnswerKind::Served(body) if body != id => {
                self.report("one answer", now, format!("request {id}: the answer of request {body}"));
            }
            AnswerKind::Refused if started > 0 && effect == Effect::Unsafe => {
                self.report("no effect twice", now, format!("request {id}: refused, and it may have run"));
            }
            AnswerKind::Refused if now - last_event > max_refusal_delay => {
                let delay_ms = (now - last_event) / 1000;
                self.report(
                    "not held back",
                    now,
                    format!("request {id}: refused {delay_ms} ms after its last attempt"),
                );
            }
            AnswerKind::Served(_) | AnswerKind::Refused | AnswerKind::Failed => {}
        }
    }

    /// The deadline of a request has passed for its caller.
    pub fn client_timed_out(&mut self, id: u64, now: u64) {
        if self.requests.get(&id).is_some_and(|request| request.answers == 0) {
            self.report("one answer", now, format!("request {id}: none in time"));
        }
    }

    /// A caller disconnected before its deadline, or its instance ended: no answer is due any more.
    pub fn client_left(&mut self, id: u64) {
        if let Some(request) = self.requests.get_mut(&id).filter(|request| request.answers == 0) {
            request.answers = 1;
        }
    }

    /// Discovery notified an instance of a process; `leaves` if it drains or is removed.
    pub fn listed(&mut self, instance: u32, process: NodeProcess, leaves: bool, now: u64) {
        self.cold_starts.notified(instance, process);
        if leaves {
            self.leaving.entry((instance, process)).or_insert(now);
        } else {
            self.leaving.remove(&(instance, process));
        }
    }

    /// The list that an instance started with has a process.
    pub fn initially_listed(&mut self, instance: u32, process: NodeProcess) {
        self.cold_starts.notified(instance, process);
    }

    /// An instance sent an attempt.
    pub fn attempt_sent(&mut self, job: Job, process: NodeProcess, now: u64) {
        let notified_at = self.leaving.get(&(job.instance, process)).copied();
        if let Some(notified_at) = notified_at.filter(|at| now > at + DRAIN_GRACE.0 + SLACK_US) {
            let late_ms = (now - notified_at) / 1000;
            let node = process.node;
            self.report(
                "drains",
                now,
                format!("request {}: to node {node}, {late_ms} ms after it was told", job.request),
            );
        }
        let Some(request) = self.requests.get_mut(&job.request) else { return };
        request.in_flight += 1;
        let (in_flight, answers) = (request.in_flight, request.answers);
        if in_flight > 1 {
            self.report("one attempt", now, format!("request {}: {in_flight} attempts out", job.request));
        }
        if answers > 0 {
            self.report("one answer", now, format!("request {}: sent after its answer", job.request));
        }
    }

    /// A node started to work on an attempt.
    pub fn attempt_started(&mut self, job: Job, now: u64) {
        let Some(request) = self.requests.get_mut(&job.request) else { return };
        request.started += 1;
        if request.started > 1 && request.effect == Effect::Unsafe {
            let started = request.started;
            self.report("no effect twice", now, format!("request {}: run {started} times", job.request));
        }
    }

    /// An attempt ended, as its instance observed it.
    pub fn attempt_ended(&mut self, job: Job, now: u64) {
        if let Some(request) = self.requests.get_mut(&job.request) {
            request.in_flight = request.in_flight.saturating_sub(1);
            request.last_event = now;
        }
    }

    /// A cold node received more than its budget. No random variation is tolerated here, and it does not matter which
    /// instances had been notified of the process.
    pub fn cold_node_overloaded(&mut self, node: usize, now: u64) {
        self.report("cold nodes", now, format!("node {node} was pushed over"));
    }

    /// An attempt arrived at a cold node; `calls` is its work relative to the mean. The limit is on the sum of what all
    /// instances send.
    pub fn cold_arrival(
        &mut self,
        job: Job,
        process: NodeProcess,
        calls: f64,
        allowance: Allowance,
        now: u64,
    ) {
        let Some(arrivals) = self.cold_starts.record_arrival(job.instance, process, calls, allowance, now)
        else {
            return;
        };
        let ColdArrivals { calls, notified, budget } = arrivals;
        let limit = calls - arrivals.excess();
        let NodeProcess { node, incarnation } = process;
        let what = format!(
            "node {node}, start {incarnation}: {calls:.1} requests on a budget of {budget:.1}, which bears {limit:.1}; \
             {notified:.1} from instances that had been told of the start"
        );
        self.report("cold budget", now, what);
    }

    /// The arrivals that came closest to a cold node's limit or exceeded it most.
    #[must_use]
    pub fn cold_peak(&self) -> Option<ColdArrivals> {
        self.cold_starts.peak()
    }

    /// Ends the audit.
    #[must_use]
    pub fn into_findings(self) -> Findings {
        self.findings
    }
}
