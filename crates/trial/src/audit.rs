//! The auditor: properties of a history, each stated once, judged from what clients, stand-ins and the rig saw. Pure; it
//! knows nothing of the program. Times are microseconds of the trial's clock.

use crate::history::{Answer, Event, EventKind};
use crate::schedule::{Fault, Impairment};
use std::collections::BTreeMap;
use std::fmt::{self, Display, Formatter};

/// What must hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Property {
    /// Each request that a sidecar took, and could answer, got one final answer, whole, in time, made by a server that
    /// began it where it is a 200; none got two.
    OneAnswer,
    /// A request that must not run twice began once at the most, and was not refused after it began.
    AtMostOnce,
    /// Nothing began at a server more than the grace after its sidecar was told that it leaves.
    DrainRespected,
    /// The effect of one period of a duty was carried out once at the most.
    OncePerPeriod,
    /// Of two effects that a receiver carried out the later has no lower fence, and no two lives of sidecars share one.
    FencesMonotonic,
    /// Once nothing is wrong any more, a duty's effect is carried out again within the bound.
    DutyResumes,
    /// No process of the program ended but by the rig's will, or otherwise than in order where it was told to end.
    NoCrash,
    /// A process that was told to end did so before the page's earliest kill.
    TerminatesInTime,
    /// Nothing of a request began once its client had left.
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

/// A property that was broken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// Which.
    pub property: Property,
    /// When.
    pub at: u64,
    /// How.
    pub what: String,
}

/// The bounds of a trial, in microseconds.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// How long a drained server may still be sent to.
    pub drain_grace: u64,
    /// What each time limit may be over.
    pub slack: u64,
    /// How long after the last fault a duty's effect may fail to come; 0 where there are no duties.
    pub duty_recovery: u64,
    /// How late the rig's own timers may run for its verdict to count.
    pub timer_lateness: u64,
}

/// What can be said of a history.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// All held.
    Kept,
    /// These did not, by time.
    Broken(Vec<Violation>),
    /// The rig itself ran late by so much: nothing can be said.
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

/// What the history says of processes and ways.
#[derive(Default)]
struct Observations<'a> {
    /// When an instance served and stood still or ended.
    starts: BTreeMap<&'a str, Vec<u64>>,
    /// Not there, or standing still: what is asked of it then can't be answered in time.
    unavailable: BTreeMap<&'a str, Windows>,
    /// The list can't reach the instance.
    unreachable: BTreeMap<&'a str, Windows>,
    /// When an instance was told that a server leaves.
    drains_announced: BTreeMap<(&'a str, &'a str), Vec<u64>>,
}

impl<'a> Observations<'a> {
    fn read(history: &'a [Event]) -> Observations<'a> {
        let mut observations = Observations::default();
        fn close<'a>(windows: &mut BTreeMap<&'a str, Windows>, process: &'a str, at: u64) {
            // A kill and the end that follows it open one each: one left open would excuse the instance for good.
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

    /// When an instance knew for sure, in the life that it leads at a time, that a server leaves.
    fn drain_known_at(&self, instance: &str, server: &str, at: u64) -> Option<u64> {
        let started = self.starts.get(instance)?.iter().rev().find(|start| **start <= at)?;
        let announced =
            self.drains_announced.get(&(instance, server))?.iter().find(|announced| *announced >= started)?;
        let unreachable = self.unreachable.get(instance);
        let unavailable = self.unavailable.get(instance);
        let mut known_at = *announced;
        // Told while the way was cut or it stood still: it can know once both are over.
        for window in unreachable.into_iter().chain(unavailable).flatten().filter(|window| window.from <= at)
        {
            if window.from <= known_at && known_at < window.until {
                known_at = window.until;
            }
        }
        Some(known_at)
    }
}

/// Judges a history, in the order of its times.
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
                let (answers, starts) = (Vec::new(), Vec::new());
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

/// What was done of the duties.
fn judge_duties(history: &[Event], bounds: Bounds, add: &mut impl FnMut(Property, u64, String)) {
    let mut periods: BTreeMap<(&str, u64), u64> = BTreeMap::new();
    let mut incarnations: BTreeMap<(&str, u64), &str> = BTreeMap::new();
    let mut highest: BTreeMap<&str, u64> = BTreeMap::new();
    let mut last_effect = 0;
    for Event { at, what } in history {
        let EventKind::DutyEffect { duty, period, fence, id, accepted } = what else { continue };
        // A request of a duty is named duty-LIFE-FENCE-PERIOD.
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
    // What the rig does to end the trial itself comes after the last answer.
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
        // Its own sidecar was killed or stood still meanwhile: nobody else can answer for it.
        let excused = overlaps(observations.unavailable.get(self.instance), self.sent_at, deadline);
        let label = format!("request {id} of {}", self.instance);
        if self.at_most_once && self.starts.len() > 1 {
            let second = &self.starts[1];
            let (at, server) = (second.at, second.server);
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

/// What a request was answered, one time or more, as every trial judges it.
pub(crate) struct Answers<'a> {
    /// The request, as it is told.
    pub(crate) label: &'a str,
    /// When it was answered, and how.
    pub(crate) answers: &'a [TimedAnswer<'a>],
    /// What servers that began it answer with.
    pub(crate) bodies: Vec<&'a str>,
    /// It must not run twice.
    pub(crate) at_most_once: bool,
    /// Until when the answer is due.
    pub(crate) deadline: u64,
    /// Nobody could answer for it in time.
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
