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

/// Stretches of time, each from and until.
type Windows = Vec<(u64, u64)>;

fn overlaps(windows: Option<&Windows>, from: u64, until: u64) -> bool {
    windows.is_some_and(|w| w.iter().any(|(a, b)| *a <= until && from <= *b))
}

struct Request<'a> {
    by: &'a str,
    once: bool,
    asked: u64,
    client_timeout: u64,
    answers: Vec<(u64, &'a Answer)>,
    began: Vec<(u64, &'a str, &'a str)>,
}

/// What the history says of processes and ways.
#[derive(Default)]
struct World<'a> {
    /// When an instance served and stood still or ended.
    starts: BTreeMap<&'a str, Vec<u64>>,
    /// Not there, or standing still: what is asked of it then can't be answered in time.
    away: BTreeMap<&'a str, Windows>,
    /// The list can't reach the instance.
    unheard: BTreeMap<&'a str, Windows>,
    /// When an instance was told that a server leaves.
    told: BTreeMap<(&'a str, &'a str), Vec<u64>>,
}

impl<'a> World<'a> {
    fn read(history: &'a [Event]) -> World<'a> {
        let mut world = World::default();
        fn close<'a>(windows: &mut BTreeMap<&'a str, Windows>, process: &'a str, at: u64) {
            // A kill and the end that follows it open one each: one left open would excuse the instance for good.
            windows.entry(process).or_default().iter_mut().for_each(|window| window.1 = window.1.min(at));
        }
        fn open<'a>(windows: &mut BTreeMap<&'a str, Windows>, process: &'a str, at: u64) {
            windows.entry(process).or_default().push((at, u64::MAX));
        }
        for Event { at, what } in history {
            match what {
                EventKind::Up { process, .. } => {
                    close(&mut world.away, process, *at);
                    world.starts.entry(process).or_default().push(*at);
                }
                EventKind::Down { process, .. } => open(&mut world.away, process, *at),
                EventKind::FaultInjected { fault: Fault::Kill { process } | Fault::Stop { process } } => {
                    open(&mut world.away, process, *at);
                }
                EventKind::FaultInjected { fault: Fault::Continue { process } } => {
                    close(&mut world.away, process, *at)
                }
                EventKind::FaultInjected { fault: Fault::Link { from, to, impairment } }
                    if from == "list" =>
                {
                    close(&mut world.unheard, to, *at);
                    if *impairment != Impairment::default() {
                        open(&mut world.unheard, to, *at);
                    }
                }
                EventKind::DrainAnnounced { to, server } => {
                    world.told.entry((to, server)).or_default().push(*at)
                }
                _ => {}
            }
        }
        world
    }

    /// When an instance knew for sure, in the life that it leads at a time, that a server leaves.
    fn knew(&self, instance: &str, server: &str, at: u64) -> Option<u64> {
        let born = self.starts.get(instance)?.iter().rev().find(|start| **start <= at)?;
        let told = self.told.get(&(instance, server))?.iter().find(|told| *told >= born)?;
        let unheard = self.unheard.get(instance);
        let away = self.away.get(instance);
        let mut knew = *told;
        // Told while the way was cut or it stood still: it can know once both are over.
        for (from, until) in unheard.into_iter().chain(away).flatten().filter(|w| w.0 <= at) {
            if *from <= knew && knew < *until {
                knew = *until;
            }
        }
        Some(knew)
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
    let world = World::read(history);
    let mut broken = Vec::new();
    let mut add = |property, at, what| broken.push(Violation { property, at, what });
    let mut requests: BTreeMap<&str, Request<'_>> = BTreeMap::new();
    for Event { at, what } in history {
        match what {
            EventKind::RequestSent { by, id, at_most_once: once, client_timeout } => {
                let (answers, began) = (Vec::new(), Vec::new());
                requests.insert(
                    id,
                    Request { by, once: *once, asked: *at, client_timeout: *client_timeout, answers, began },
                );
            }
            EventKind::Answered { id, answer } => {
                if let Some(request) = requests.get_mut(id.as_str()) {
                    request.answers.push((*at, answer));
                }
            }
            EventKind::RequestStarted { server, id, body } => match requests.get_mut(id.as_str()) {
                Some(request) => {
                    request.began.push((*at, server, body));
                    let knew = world.knew(request.by, server, *at);
                    if let Some(knew) =
                        knew.filter(|knew| *at > knew.saturating_add(bounds.drain_grace + bounds.slack))
                    {
                        let (late, by) = ((at - knew) / 1000, request.by);
                        let what =
                            format!("request {id} of {by} came to {server} {late} ms after it was told");
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
    duties(history, bounds, &mut add);
    for (id, request) in &requests {
        request.judge(id, &world, bounds, &mut add);
    }
    broken.sort_by_key(|b| b.at);
    if broken.is_empty() { Verdict::Kept } else { Verdict::Broken(broken) }
}

/// What was done of the duties.
fn duties(history: &[Event], bounds: Bounds, add: &mut impl FnMut(Property, u64, String)) {
    let mut periods: BTreeMap<(&str, u64), u64> = BTreeMap::new();
    let mut lives: BTreeMap<(&str, u64), &str> = BTreeMap::new();
    let mut highest: BTreeMap<&str, u64> = BTreeMap::new();
    let mut last = 0;
    for Event { at, what } in history {
        let EventKind::DutyEffect { duty, period, fence, id, accepted } = what else { continue };
        // A request of a duty is named duty-LIFE-FENCE-PERIOD.
        let life = id.split('-').nth(1).unwrap_or(id);
        let held = *lives.entry((duty, *fence)).or_insert(life);
        if held != life {
            add(
                Property::FencesMonotonic,
                *at,
                format!("{duty}: fence {fence} is used by lives {held} and {life}"),
            );
        }
        if !accepted {
            continue;
        }
        last = *at;
        let times = periods.entry((duty, *period)).or_default();
        *times += 1;
        if *times > 1 {
            add(
                Property::OncePerPeriod,
                *at,
                format!("{duty}: period {period} was carried out {times} times, now under fence {fence}"),
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
    let ends = history
        .iter()
        .rev()
        .find(|event| matches!(event.what, EventKind::Answered { .. }))
        .map_or(0, |event| event.at);
    let quiet = faults.map(|event| event.at).filter(|at| *at < ends).max().unwrap_or(0);
    if ends > quiet + bounds.duty_recovery && last < quiet {
        add(
            Property::DutyResumes,
            quiet + bounds.duty_recovery,
            format!("no effect since {} ms before the last fault", (quiet - last) / 1000),
        );
    }
}

impl Request<'_> {
    fn judge(
        &self,
        id: &str,
        world: &World<'_>,
        bounds: Bounds,
        add: &mut impl FnMut(Property, u64, String),
    ) {
        let limit = self.asked + self.client_timeout + bounds.slack;
        // Its own sidecar was killed or stood still meanwhile: nobody else can answer for it.
        let excused = overlaps(world.away.get(self.by), self.asked, limit);
        let of = format!("request {id} of {}", self.by);
        if self.once && self.began.len() > 1 {
            let (at, server, _) = self.began[1];
            add(Property::AtMostOnce, at, format!("{of} ran {} times, then at {server}", self.began.len()));
        }
        match self.answers.as_slice() {
            [] if excused => {}
            [] => add(Property::OneAnswer, limit, format!("{of} got none")),
            answers => {
                let bodies = self.began.iter().map(|(.., body)| *body).collect();
                Answers { of: &of, answers, bodies, once: self.once, limit, excused }.judge(add);
            }
        }
    }
}

/// What a request was answered, one time or more, as every trial judges it.
pub(crate) struct Answers<'a> {
    /// The request, as it is told.
    pub(crate) of: &'a str,
    /// When it was answered, and how.
    pub(crate) answers: &'a [(u64, &'a Answer)],
    /// What servers that began it answer with.
    pub(crate) bodies: Vec<&'a str>,
    /// It must not run twice.
    pub(crate) once: bool,
    /// Until when the answer is due.
    pub(crate) limit: u64,
    /// Nobody could answer for it in time.
    pub(crate) excused: bool,
}

impl Answers<'_> {
    pub(crate) fn judge(&self, add: &mut impl FnMut(Property, u64, String)) {
        let Answers { of, answers, bodies, once, limit, excused } = self;
        let [(at, answer)] = answers else {
            let last = answers.last().map_or(0, |(at, _)| *at);
            return add(Property::OneAnswer, last, format!("{of} got {}", answers.len()));
        };
        if at > limit && !excused {
            let late = (at - limit) / 1000;
            add(Property::OneAnswer, *at, format!("{of} got it {late} ms after its time"));
        }
        match answer {
            Answer::Served(body) if !bodies.contains(&body.as_str()) => {
                add(Property::OneAnswer, *at, format!("{of} got '{body}', which no server made"));
            }
            Answer::Refused if *once && !bodies.is_empty() => {
                add(Property::AtMostOnce, *at, format!("{of} was refused after it ran"));
            }
            Answer::Broken(why) if !excused => {
                add(Property::OneAnswer, *at, format!("{of} got none that is whole: {why}"));
            }
            Answer::Served(_) | Answer::Refused | Answer::Failed | Answer::Broken(_) => {}
        }
    }
}

#[cfg(test)]
mod tests;
