//! The auditor: judges the properties of a history from what clients, stubs and the rig observed. Pure; it has no
//! knowledge of the program. Times are microseconds of the trial's clock.

use crate::history::{Answer, Event, EventKind};
use crate::schedule::{Fault, Impairment};
use std::collections::BTreeMap;
use std::fmt::{self, Display, Formatter};

/// A property that must hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Property {
    /// Each request that a sidecar accepted and could answer received exactly one final answer, complete and in time; a
    /// 200 was made by a server that started the request.
    OneAnswer,
    /// A request that must not be executed twice started at most once, and was not refused after it started.
    AtMostOnce,
    /// No request started at a server later than the drain grace after the sidecar was notified that the server is
    /// draining.
    DrainRespected,
    /// The effect of one period of a duty was carried out at most once.
    OncePerPeriod,
    /// Of two effects that a receiver carried out, the later has no lower fence, and no two incarnations of sidecars
    /// share a fence.
    FencesMonotonic,
    /// After the last fault, a duty's effect is carried out again within the bound.
    DutyResumes,
    /// No process of the program terminated unless the rig requested it, or other than in order where it did.
    NoCrash,
    /// A process that was requested to terminate did so before the platform may kill it at the earliest.
    TerminatesInTime,
    /// No attempt of a request started after its client had left.
    NoStartAfterClientLeft,
}

impl Display for Property {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Property::OneAnswer => "one answer",
            Property::AtMostOnce => "no effect twice",
            Property::DrainRespected => "drains",
            Property::OncePerPeriod => "once a period",
            Property::FencesMonotonic => "fences rise",
            Property::DutyResumes => "goes on",
            Property::NoCrash => "no crash",
            Property::TerminatesInTime => "ends in time",
            Property::NoStartAfterClientLeft => "nothing after its client left",
        })
    }
}

/// A violation of a property.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// The property.
    pub property: Property,
    /// When it was violated.
    pub at: u64,
    /// How it was violated.
    pub what: String,
}

/// The bounds of a trial, in microseconds.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// How long requests may still be sent to a draining server.
    pub drain_grace: u64,
    /// Tolerance added to each time limit.
    pub slack: u64,
    /// How long after the last fault a duty's effect may be missing; 0 where there are no duties.
    pub duty_recovery: u64,
    /// How late the rig's own timers may run for the verdict to count.
    pub timer_lateness: u64,
}

/// The verdict on a history.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// All properties held.
    Kept,
    /// Violations, by time.
    Broken(Vec<Violation>),
    /// The rig's own timers ran late by this many microseconds: no verdict is possible.
    Void(u64),
}

/// A stretch of time.
struct Window {
    from: u64,
    until: u64,
}

type Windows = Vec<Window>;

fn overlaps(windows: Option<&Windows>, from: u64, until: u64) -> bool {
    windows.is_some_and(|windows| windows.iter().any(|window| window.from <= until && from <= window.until))
}

/// An answer that a client received.
pub(crate) struct TimedAnswer<'a> {
    pub(crate) at: u64,
    pub(crate) answer: &'a Answer,
}

/// The start of a request at a server.
struct Start<'a> {
    at: u64,
    server: &'a str,
    body: &'a str,
}

struct Request<'a> {
    instance: &'a str,
    at_most_once: bool,
    sent_at: u64,
    client_timeout: u64,
    answers: Vec<TimedAnswer<'a>>,
    starts: Vec<Start<'a>>,
}

/// Availability of processes and links according to the history.
#[derive(Default)]
struct Observations<'a> {
    /// When each instance started to serve.
    starts: BTreeMap<&'a str, Vec<u64>>,
    /// When an instance was down or stopped: requests sent then can't be answered in time.
    unavailable: BTreeMap<&'a str, Windows>,
    /// When the list could not reach the instance.
    unreachable: BTreeMap<&'a str, Windows>,
    /// When an instance was notified that a server is draining or removed.
    drains_announced: BTreeMap<(&'a str, &'a str), Vec<u64>>,
}

impl<'a> Observations<'a> {
    fn read(history: &'a [Event]) -> Observations<'a> {
        let mut observations = Observations::default();
        fn close<'a>(windows: &mut BTreeMap<&'a str, Windows>, process: &'a str, at: u64) {
            // A kill and the exit that follows open a window each. One left open would excuse the instance until the
            // end.
            windows
                .entry(process)
                .or_default()
                .iter_mut()
                .for_each(|window| window.until = window.until.min(at));
        }
        fn open<'a>(windows: &mut BTreeMap<&'a str, Windows>, process: &'a str, at: u64) {
            windows.entry(process).or_default().push(Window { from: at, until: u64::MAX });
        }
        for Event { at, what } in history {
            match what {
                EventKind::Up { process, .. } => {
                    close(&mut observations.unavailable, process, *at);
                    observations.starts.entry(process).or_default().push(*at);
                }
                EventKind::Down { process, .. } => open(&mut observations.unavailable, process, *at),
                EventKind::FaultInjected { fault: Fault::Kill { process } | Fault::Stop { process } } => {
                    open(&mut observations.unavailable, process, *at);
                }
                EventKind::FaultInjected { fault: Fault::Continue { process } } => {
                    close(&mut observations.unavailable, process, *at)
                }
                EventKind::FaultInjected { fault: Fault::Link { from, to, impairment } }
                    if from == "list" =>
                {
                    close(&mut observations.unreachable, to, *at);
                    if *impairment != Impairment::default() {
                        open(&mut observations.unreachable, to, *at);
                    }
                }
                EventKind::DrainAnnounced { to, server } => {
                    observations.drains_announced.entry((to, server)).or_default().push(*at)
                }
                _ => {}
            }
        }
        observations
    }

    /// When the incarnation of an instance that runs at a time certainly knew that a server is draining.
    fn drain_known_at(&self, instance: &str, server: &str, at: u64) -> Option<u64> {
        let started = self.starts.get(instance)?.iter().rev().find(|start| **start <= at)?;
        let announced =
            self.drains_announced.get(&(instance, server))?.iter().find(|announced| *announced >= started)?;
        let unreachable = self.unreachable.get(instance);
        let unavailable = self.unavailable.get(instance);
        let mut known_at = *announced;
        // A notification during a cut or a stop takes effect once both are over.
        for window in unreachable.into_iter().chain(unavailable).flatten().filter(|window| window.from <= at)
        {
            if window.from <= known_at && known_at < window.until {
                known_at = window.until;
            }
        }
        Some(known_at)
    }
}

/// Judges a history, which is sorted by time.
#[must_use]
pub fn judge(history: &[Event], bounds: Bounds) -> Verdict {
    let late = history
        .iter()
        .filter_map(|e| if let EventKind::TimerLate { by } = &e.what { Some(*by) } else { None });
    let late = late.max().unwrap_or(0);
    if late > bounds.timer_lateness {
        return Verdict::Void(late);
    }
    let observations = Observations::read(history);
    let mut violations = Vec::new();
    let mut add = |property, at, what| violations.push(Violation { property, at, what });
    let mut requests: BTreeMap<&str, Request<'_>> = BTreeMap::new();
    for Event { at, what } in history {
        match what {
            EventKind::RequestSent { instance, id, at_most_once, client_timeout } => {
                let answers = Vec::new();
                let starts = Vec::new();
                requests.insert(
                    id,
                    Request {
                        instance,
                        at_most_once: *at_most_once,
                        sent_at: *at,
                        client_timeout: *client_timeout,
                        answers,
                        starts,
                    },
                );
            }
            EventKind::Answered { id, answer } => {
                if let Some(request) = requests.get_mut(id.as_str()) {
                    request.answers.push(TimedAnswer { at: *at, answer });
                }
            }
            EventKind::RequestStarted { server, id, body } => match requests.get_mut(id.as_str()) {
                Some(request) => {
                    request.starts.push(Start { at: *at, server, body });
                    let known_at = observations.drain_known_at(request.instance, server, *at);
                    if let Some(known_at) = known_at
                        .filter(|known_at| *at > known_at.saturating_add(bounds.drain_grace + bounds.slack))
                    {
                        let late = (at - known_at) / 1000;
                        let instance = request.instance;
                        let what = format!(
                            "request {id} of {instance} came to {server} {late} ms after it was told"
                        );
                        add(Property::DrainRespected, *at, what);
                    }
                }
                None => {
                    add(Property::OneAnswer, *at, format!("{server} was sent {id}, which nobody asked for"))
                }
            },
            EventKind::Down { process, how, expected: false } => {
                add(Property::NoCrash, *at, format!("{process} {how}"))
            }
            _ => {}
        }
    }
    judge_duties(history, bounds, &mut add);
    for (id, request) in &requests {
        request.judge(id, &observations, bounds, &mut add);
    }
    violations.sort_by_key(|violation| violation.at);
    if violations.is_empty() { Verdict::Kept } else { Verdict::Broken(violations) }
}

/// Judges the effects of duties.
fn judge_duties(history: &[Event], bounds: Bounds, add: &mut impl FnMut(Property, u64, String)) {
    let mut periods: BTreeMap<(&str, u64), u64> = BTreeMap::new();
    let mut incarnations: BTreeMap<(&str, u64), &str> = BTreeMap::new();
    let mut highest: BTreeMap<&str, u64> = BTreeMap::new();
    let mut last_effect = 0;
    for Event { at, what } in history {
        let EventKind::DutyEffect { duty, period, fence, id, accepted } = what else { continue };
        // The id of a duty's request is duty-INCARNATION-FENCE-PERIOD.
        let incarnation = id.split('-').nth(1).unwrap_or(id);
        let user = *incarnations.entry((duty, *fence)).or_insert(incarnation);
        if user != incarnation {
            add(
                Property::FencesMonotonic,
                *at,
                format!("{duty}: fence {fence} is used by lives {user} and {incarnation}"),
            );
        }
        if !accepted {
            continue;
        }
        last_effect = *at;
        let executions = periods.entry((duty, *period)).or_default();
        *executions += 1;
        if *executions > 1 {
            add(
                Property::OncePerPeriod,
                *at,
                format!(
                    "{duty}: period {period} was carried out {executions} times, now under fence {fence}"
                ),
            );
        }
        let highest = highest.entry(duty).or_default();
        if fence < highest {
            add(
                Property::FencesMonotonic,
                *at,
                format!("{duty}: fence {fence} was carried out after {highest}"),
            );
        }
        *highest = (*highest).max(*fence);
    }
    if bounds.duty_recovery == 0 {
        return;
    }
    let faults = history
        .iter()
        .filter(|event| matches!(event.what, EventKind::FaultInjected { .. } | EventKind::Up { .. }));
    // The rig's own shutdown follows the last answer and does not count as a fault.
    let last_answer = history
        .iter()
        .rev()
        .find(|event| matches!(event.what, EventKind::Answered { .. }))
        .map_or(0, |event| event.at);
    let last_fault = faults.map(|event| event.at).filter(|at| *at < last_answer).max().unwrap_or(0);
    if last_answer > last_fault + bounds.duty_recovery && last_effect < last_fault {
        add(
            Property::DutyResumes,
            last_fault + bounds.duty_recovery,
            format!("no effect since {} ms before the last fault", (last_fault - last_effect) / 1000),
        );
    }
}

impl Request<'_> {
    fn judge(
        &self,
        id: &str,
        observations: &Observations<'_>,
        bounds: Bounds,
        add: &mut impl FnMut(Property, u64, String),
    ) {
        let deadline = self.sent_at + self.client_timeout + bounds.slack;
        // Its own sidecar was down or stopped meanwhile: nobody else can answer for it.
        let excused = overlaps(observations.unavailable.get(self.instance), self.sent_at, deadline);
        let label = format!("request {id} of {}", self.instance);
        if self.at_most_once && self.starts.len() > 1 {
            let second = &self.starts[1];
            let at = second.at;
            let server = second.server;
            add(
                Property::AtMostOnce,
                at,
                format!("{label} ran {} times, then at {server}", self.starts.len()),
            );
        }
        match self.answers.as_slice() {
            [] if excused => {}
            [] => add(Property::OneAnswer, deadline, format!("{label} got none")),
            answers => {
                let bodies = self.starts.iter().map(|start| start.body).collect();
                Answers {
                    label: &label,
                    answers,
                    bodies,
                    at_most_once: self.at_most_once,
                    deadline,
                    excused,
                }
                .judge(add);
            }
        }
    }
}

/// The answers to a request, judged in the same way by every kind of trial.
pub(crate) struct Answers<'a> {
    /// How messages name the request.
    pub(crate) label: &'a str,
    /// The answers by time.
    pub(crate) answers: &'a [TimedAnswer<'a>],
    /// The bodies of the servers that started it.
    pub(crate) bodies: Vec<&'a str>,
    /// The request must not be executed twice.
    pub(crate) at_most_once: bool,
    /// When the answer is due.
    pub(crate) deadline: u64,
    /// Nobody could answer in time.
    pub(crate) excused: bool,
}

impl Answers<'_> {
    pub(crate) fn judge(&self, add: &mut impl FnMut(Property, u64, String)) {
        let Answers { label, answers, bodies, at_most_once, deadline, excused } = self;
        let [TimedAnswer { at, answer }] = answers else {
            let last = answers.last().map_or(0, |answer| answer.at);
            return add(Property::OneAnswer, last, format!("{label} got {}", answers.len()));
        };
        if at > deadline && !excused {
            let late = (at - deadline) / 1000;
            add(Property::OneAnswer, *at, format!("{label} got it {late} ms after its time"));
        }
        match answer {
            Answer::Served(body) if !bodies.contains(&body.as_str()) => {
                add(Property::OneAnswer, *at, format!("{label} got '{body}', which no server made"));
            }
            Answer::Refused if *at_most_once && !bodies.is_empty() => {
                add(Property::AtMostOnce, *at, format!("{label} was refused after it ran"));
            }
            Answer::Broken(why) if !excused => {
                add(Property::OneAnswer, *at, format!("{label} got none that is whole: {why}"));
            }
            Answer::Served(_) | Answer::Refused | Answer::Failed | Answer::Broken(_) => {}
        }
    }
}

#[cfg(test)]
mod tests;
