//! Judges a scenario by what was observed from outside, as a pure function. Nothing that a process under test reports
//! about itself is counted, except the revisions that it logs as in force.

use super::result::{Figure, Verdict};
use std::collections::{BTreeMap, BTreeSet};

/// The required limits, and those of the rig itself.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Time until a change is in force everywhere, in milliseconds.
    pub in_force_ms: f64,
    /// Bytes per second between a sidecar and control.
    pub bytes: f64,
    /// A sidecar's share of a core.
    pub cpu: f64,
    /// A sidecar's memory, in bytes.
    pub memory: f64,
    /// Growth of a sidecar's memory over the median growth within a scenario, in bytes.
    pub growth_bytes: f64,
    /// Delay of the rig's timers, in microseconds.
    pub timer_delay_us: u64,
}

impl Default for Limits {
    fn default() -> Limits {
        let (mb, kb) = (1e6, 1e3);
        Limits {
            in_force_ms: 5000.0,
            bytes: 10.0 * kb,
            cpu: 0.047,
            memory: 128.0 * mb,
            growth_bytes: 96.0 * 1024.0,
            timer_delay_us: 1_000_000,
        }
    }
}

impl Limits {
    /// Only the limits that do not depend on the load of the machine; the scenario is judged by counts.
    pub fn counts() -> Limits {
        let none = f64::INFINITY;
        let limits = Limits::default();
        Limits { in_force_ms: none, bytes: none, cpu: none, memory: none, timer_delay_us: u64::MAX, ..limits }
    }
}

/// A revision that has to come into force at sidecars.
#[derive(Clone, Debug)]
pub struct DueRevision {
    /// The revision.
    pub rev: u64,
    /// When it was published, in microseconds.
    pub at: u64,
    /// The sidecars that have to apply it.
    pub sidecars: Vec<usize>,
}

/// Counters at one time, as the increase since the previous sample.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Sample {
    /// Time of the sample, in microseconds.
    pub at: u64,
    /// Bytes written by control.
    pub bytes: f64,
    /// Lists and changes written by control.
    pub messages: f64,
    /// Of these, whole lists requested by a call.
    pub whole_lists: f64,
    /// Watches opened.
    pub watches: f64,
    /// Processor time, in microseconds.
    pub cpu: f64,
    /// Lists and changes applied by a hollow sidecar's engine.
    pub deliveries: f64,
}

/// Observations of one sidecar or control machine.
#[derive(Clone, Debug, Default)]
pub struct Track {
    /// Its name.
    pub name: String,
    /// It is a process of the real program.
    pub real: bool,
    /// It is a hollow sidecar, whose engine's deliveries are known.
    pub hollow: bool,
    /// Samples by time.
    pub samples: Vec<Sample>,
    /// Memory by time, in bytes.
    pub memory: Vec<(u64, f64)>,
    /// Revisions that came into force, with their times.
    pub in_force: Vec<(u64, u64)>,
    /// Times of its starts.
    pub started: Vec<u64>,
}

/// All observations of a run.
#[derive(Clone, Debug, Default)]
pub struct Observations {
    /// The sidecars by number.
    pub sidecars: Vec<Track>,
    /// The control machines by number.
    pub controls: Vec<Track>,
    /// Timer delays: time, delay, and the process.
    pub late: Vec<(u64, u64, String)>,
}

/// A completed scenario.
#[derive(Clone, Debug)]
pub struct ScenarioRun {
    /// Its name.
    pub name: String,
    /// The seed.
    pub seed: u64,
    /// Start time, in microseconds.
    pub from: u64,
    /// End time, in microseconds.
    pub to: u64,
    /// Revisions that had to come into force.
    pub due: Vec<DueRevision>,
    /// Sidecars whose connections nothing broke, so that they should request no whole list.
    pub undisturbed: BTreeSet<usize>,
    /// Control machines that were killed.
    pub killed: BTreeSet<usize>,
}

/// Values with the names of their processes, in ascending order.
struct Distribution(Vec<(f64, String)>);

impl Distribution {
    fn new(mut values: Vec<(f64, String)>) -> Distribution {
        values.sort_by(|a, b| a.0.total_cmp(&b.0));
        Distribution(values)
    }

    fn at(&self, part: f64) -> Option<f64> {
        let place = ((self.0.len() as f64 * part).ceil() as usize).clamp(1, self.0.len().max(1)) - 1;
        self.0.get(place).map(|value| value.0)
    }

    fn mean(&self) -> Option<f64> {
        let sum: f64 = self.0.iter().map(|value| value.0).sum();
        (!self.0.is_empty()).then(|| sum / self.0.len() as f64)
    }

    fn last(&self, most: usize) -> Vec<String> {
        let mut names: Vec<String> = Vec::new();
        for (_, name) in self.0.iter().rev() {
            if names.len() < most && !names.contains(name) {
                names.push(name.clone());
            }
        }
        names
    }

    fn figure(&self, role: &str, name: &str, unit: &str, limit: Option<f64>) -> Figure {
        Figure {
            role: role.to_owned(),
            name: name.to_owned(),
            unit: unit.to_owned(),
            p50: self.at(0.5),
            p99: self.at(0.99),
            max: self.at(1.0),
            mean: self.mean(),
            most_1s: None,
            most_10s: None,
            limit: limit.filter(|limit| limit.is_finite()),
            last: self.last(10),
        }
    }
}

/// Largest increase within any time span of this length that begins with a sample, and the time of its last sample.
fn max_in_span(samples: &[&Sample], of: fn(&Sample) -> f64, span: u64) -> (f64, u64) {
    let (mut sum, mut first, mut most) = (0.0, 0, (0.0, 0));
    for last in samples {
        sum += of(last);
        while samples[first].at + span <= last.at {
            sum -= of(samples[first]);
            first += 1;
        }
        if sum > most.0 {
            most = (sum, last.at);
        }
    }
    most
}

const SECOND_US: u64 = 1_000_000;

struct Rate {
    name: &'static str,
    unit: &'static str,
    of: fn(&Sample) -> f64,
    /// Divisor from the counted unit to the reported one.
    scale: f64,
}

/// Verdict on a scenario, the violated limits, and the figures.
pub fn judge(
    run: &ScenarioRun,
    observations: &Observations,
    limits: &Limits,
) -> (Verdict, Vec<String>, Vec<Figure>) {
    let mut violations = Vec::new();
    let mut figures = vec![check_in_force(run, observations, limits, &mut violations)];
    let all =
        |real: bool| observations.sidecars.iter().filter(|track| track.real == real).collect::<Vec<_>>();
    for (role, tracks) in [("sidecar", all(false)), ("real", all(true))] {
        if !tracks.is_empty() {
            figures.extend(role_figures(run, role, &tracks, limits, &mut violations));
        }
    }
    let controls = observations.controls.iter().enumerate().filter(|(n, _)| !run.killed.contains(n));
    let controls: Vec<&Track> = controls.map(|(_, track)| track).collect();
    figures.extend(role_figures(run, "control", &controls, limits, &mut violations));
    check_counts(run, observations, &mut violations);
    check_growth(run, observations, limits, &mut violations);
    let late = observations.late.iter().filter(|(at, ..)| (run.from..=run.to).contains(at));
    if let Some((at, late, who)) =
        late.max_by_key(|(_, late, _)| *late).filter(|l| l.1 > limits.timer_delay_us)
    {
        let (late, at) = (late / 1000, at.saturating_sub(run.from) as f64 / 1e6);
        violations.insert(0, format!("void: {who} was {late} ms late at {at:.1} s, seed {}", run.seed));
        return (Verdict::Void, violations, figures);
    }
    (if violations.is_empty() { Verdict::Kept } else { Verdict::Broken }, violations, figures)
}

/// Checks the time until each revision was in force at the sidecars that had to apply it.
fn check_in_force(
    run: &ScenarioRun,
    observations: &Observations,
    limits: &Limits,
    violations: &mut Vec<String>,
) -> Figure {
    let mut took = Vec::new();
    let mut never: BTreeMap<usize, (u64, u64)> = BTreeMap::new();
    let mut latest: Option<(f64, u64, u64, usize)> = None;
    let mut due: Vec<&DueRevision> = run.due.iter().collect();
    due.sort_by_key(|due| due.at);
    for due in due {
        for sidecar in &due.sidecars {
            let track = &observations.sidecars[*sidecar];
            // A sidecar restarted in the meantime is covered by the revision published at its start.
            let restarted = track.started.iter().find(|started| **started > due.at);
            let from = track.in_force.partition_point(|(_, at)| *at < due.at);
            let here = track.in_force[from..].iter().find(|(rev, _)| *rev >= due.rev);
            match here.filter(|(_, at)| restarted.is_none_or(|restarted| at < restarted)) {
                Some((_, at)) => {
                    let ms = (at - due.at) as f64 / 1000.0;
                    took.push((ms, track.name.clone()));
                    if latest.is_none_or(|latest| ms > latest.0) {
                        latest = Some((ms, due.rev, due.at, *sidecar));
                    }
                }
                None if restarted.is_some() => {}
                None => drop(never.entry(*sidecar).or_insert((due.rev, due.at))),
            }
        }
    }
    let seconds = |at: u64| at.saturating_sub(run.from) as f64 / 1e6;
    if let Some((ms, rev, at, sidecar)) = latest.filter(|latest| latest.0 > limits.in_force_ms) {
        let name = &observations.sidecars[sidecar].name;
        violations.push(format!(
            "in-force: revision {rev} of {:.1} s took {ms:.0} ms at {name}, limit {:.0} ms, seed {}",
            seconds(at),
            limits.in_force_ms,
            run.seed
        ));
    }
    if let Some((rev, at)) = never.values().min_by_key(|(_, at)| *at) {
        let names: Vec<&str> =
            never.keys().take(10).map(|n| observations.sidecars[*n].name.as_str()).collect();
        violations.push(format!(
            "in-force: never at {} sidecars, {}; revision {rev} of {:.1} s first, limit {:.0} ms, seed {}",
            never.len(),
            names.join(" "),
            seconds(*at),
            limits.in_force_ms,
            run.seed
        ));
    }
    let mut figure = Distribution::new(took).figure("sidecar", "in-force", "ms", Some(limits.in_force_ms));
    let names = never.keys().take(10).map(|n| observations.sidecars[*n].name.clone());
    let last: Vec<String> = names.chain(figure.last).take(10).collect();
    figure.last = last;
    figure
}

fn role_figures(
    run: &ScenarioRun,
    role: &str,
    tracks: &[&Track],
    limits: &Limits,
    violations: &mut Vec<String>,
) -> Vec<Figure> {
    let sidecar = role != "control";
    let rates = [
        Rate {
            name: if sidecar { "bytes-in" } else { "bytes-out" },
            unit: "bytes/s",
            of: |a| a.bytes,
            scale: 1.0,
        },
        Rate {
            name: if sidecar { "messages-in" } else { "messages-out" },
            unit: "messages/s",
            of: |a| a.messages,
            scale: 1.0,
        },
        Rate { name: "cpu", unit: "part-of-core", of: |a| a.cpu, scale: 1e6 },
    ];
    let duration_s = (run.to - run.from) as f64 / 1e6;
    let mut figures = Vec::new();
    for Rate { name, unit, of, scale } in rates {
        let limit = match name {
            "bytes-in" => Some(limits.bytes),
            "cpu" if sidecar => Some(limits.cpu),
            _ => None,
        };
        let (mut means, mut per_second, mut per_10s) = (Vec::new(), Vec::new(), Vec::new());
        for track in tracks {
            let within = |sample: &&Sample| (run.from..run.to).contains(&sample.at);
            let samples: Vec<&Sample> = track.samples.iter().filter(within).collect();
            let sum: f64 = samples.iter().map(|sample| of(sample)).sum();
            means.push((sum / scale / duration_s, track.name.clone()));
            let second = max_in_span(&samples, of, SECOND_US);
            per_second.push((second.0 / scale, second.1, track.name.clone()));
            let seconds = max_in_span(&samples, of, 10 * SECOND_US);
            per_10s.push((seconds.0 / scale / duration_s.min(10.0), seconds.1, track.name.clone()));
        }
        let mut figure = Distribution::new(means).figure(role, name, unit, limit);
        let most = |values: &[(f64, u64, String)]| values.iter().cloned().max_by(|a, b| a.0.total_cmp(&b.0));
        let (max_1s, max_10s) = (most(&per_second), most(&per_10s));
        figure.most_1s = max_1s.as_ref().map(|most| most.0);
        figure.most_10s = max_10s.as_ref().map(|most| most.0);
        if let Some(limit) = limit {
            for (span, values, worst) in
                [("any 10 s", &per_10s, max_10s), ("any one second", &per_second, max_1s)]
            {
                let Some((value, at, who)) = worst.filter(|worst| worst.0 > limit) else { continue };
                let over = values.iter().filter(|(value, ..)| *value > limit).count();
                let at = at.saturating_sub(run.from) as f64 / 1e6;
                violations.push(format!(
                    "{name}: {value:.3} {unit} in {span} at {who} at {at:.1} s, {over} of {} {role}s over, \
                     limit {limit}, seed {}",
                    tracks.len(),
                    run.seed
                ));
            }
        }
        figures.push(figure);
    }
    let limit = sidecar.then_some(limits.memory);
    let most_of = |track: &&Track| {
        let within = track.memory.iter().filter(|(at, _)| (run.from..run.to).contains(at));
        let most = within.map(|(_, bytes)| *bytes).fold(0.0, f64::max);
        (most, track.name.clone())
    };
    let memory = Distribution::new(tracks.iter().map(most_of).collect());
    let figure = memory.figure(role, "memory", "bytes", limit);
    if let Some((bytes, who)) = memory.0.last().filter(|(bytes, _)| limit.is_some_and(|l| *bytes > l)) {
        violations
            .push(format!("memory: {bytes:.0} bytes at {who}, limit {}, seed {}", limits.memory, run.seed));
    }
    figures.push(figure);
    figures
}

/// Checks that a sidecar whose connection nothing broke received no whole list, and that each message written by control
/// was applied.
fn check_counts(run: &ScenarioRun, observations: &Observations, violations: &mut Vec<String>) {
    let (mut whole, mut other) = (Vec::new(), Vec::new());
    for sidecar in &run.undisturbed {
        let track = &observations.sidecars[*sidecar];
        let within = track.samples.iter().filter(|sample| (run.from..run.to).contains(&sample.at));
        let (mut lists, mut written, mut taken, mut watches) = (0.0, 0.0, 0.0, 0.0);
        for sample in within {
            lists += sample.whole_lists;
            written += sample.messages;
            taken += sample.deliveries;
            watches += sample.watches;
        }
        if lists > 0.0 {
            whole.push(format!("{} ({lists:.0})", track.name));
        } else if track.hollow && watches == 0.0 && written != taken {
            // Where a second watch was opened, messages written to the closed one are never applied.
            other.push(format!("{} ({written:.0} and {taken:.0})", track.name));
        }
    }
    let named = |names: &[String]| names.iter().take(10).cloned().collect::<Vec<_>>().join(" ");
    if !whole.is_empty() {
        let (count, names) = (whole.len(), named(&whole));
        violations.push(format!(
            "whole-list: {count} sidecars took the whole list at changes, {names}, seed {}",
            run.seed
        ));
    }
    if !other.is_empty() {
        let (count, names) = (other.len(), named(&other));
        violations.push(format!(
            "messages: written and taken differ at {count} sidecars, {names}, seed {}",
            run.seed
        ));
    }
}

/// Checks for a memory leak: growth of one sidecar beyond the median of all.
fn check_growth(
    run: &ScenarioRun,
    observations: &Observations,
    limits: &Limits,
    violations: &mut Vec<String>,
) {
    let mut grown = Vec::new();
    for track in observations.sidecars.iter().filter(|track| track.hollow) {
        if track.started.iter().any(|at| (run.from..run.to).contains(at)) {
            continue;
        }
        let mut within = track.memory.iter().filter(|(at, _)| (run.from..run.to).contains(at));
        if let (Some(first), Some(last)) = (within.next(), within.next_back()) {
            grown.push((last.1 - first.1, track.name.clone()));
        }
    }
    let grown = Distribution::new(grown);
    let Some(median) = grown.at(0.5) else { return };
    let over: Vec<&(f64, String)> =
        grown.0.iter().filter(|(bytes, _)| bytes - median > limits.growth_bytes).collect();
    if let Some((bytes, _)) = over.last() {
        let names: Vec<&str> = over.iter().rev().take(10).map(|(_, name)| name.as_str()).collect();
        violations.push(format!(
            "growth: memory grew by up to {bytes:.0} bytes, the median by {median:.0}, limit {:.0} over it, at {}, \
             seed {}",
            limits.growth_bytes,
            names.join(" "),
            run.seed
        ));
    }
}
