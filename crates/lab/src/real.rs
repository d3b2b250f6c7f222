//! `added`: measures the latency that a sidecar adds to a call, by the number of servers that it knows. Real sidecars run
//! beside stub servers, and each call is paired with a direct one in the same run. The capacity page is written from the
//! result file.

use crate::processes::{check_range, locate_programs, run_until_signal};
use anyhow::{Context, Result, bail};
use clap::Args;
use dunlincleat_trial::audit::{Bounds, Verdict};
use dunlincleat_trial::callers::{
    CALLED_SERVERS, Callers, Measurements, PathStats, SecondSample, descriptors,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde::{Deserialize, Serialize};
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

/// Format version of the result file.
pub const VERSION: u32 = 1;

/// Required limit on the 99th percentile of the latency added to a call, in microseconds.
pub const LIMIT_US: f64 = 1600.0;

/// The result file of `added`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Added {
    /// Format version, [`VERSION`].
    pub v: u32,
    /// `added`.
    pub kind: String,
    /// The commit that was measured; empty where it is unknown.
    pub commit: String,
    /// The command line.
    pub command: String,
    /// Number of processors of the machine.
    pub cores: usize,
    /// Seed of all random choices.
    pub seed: u64,
    /// Number of rounds for each point.
    pub rounds: usize,
    /// `release` or `debug`.
    pub profile: String,
    /// One point for each number of servers known.
    pub points: Vec<Point>,
}

/// Measurements with one number of servers known, over all rounds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Point {
    /// Servers on the list that a sidecar receives.
    pub known: usize,
    /// Calls per second through each sidecar, and as many direct ones.
    pub rate: f64,
    /// Number of sidecars that a call passes through.
    pub depth: usize,
    /// Sidecars running in parallel, each with its own caller.
    pub real: usize,
    /// Each sidecar's configuration names the services that it calls.
    pub interest: bool,
    /// Median latency of direct calls to the same stub servers, in microseconds from when a call was due.
    pub direct_p50_us: f64,
    /// 99th percentile of direct calls.
    pub direct_p99_us: f64,
    /// Median latency of served calls through the sidecar.
    pub through_p50_us: f64,
    /// 99th percentile of served calls through the sidecar.
    pub through_p99_us: f64,
    /// Difference of the medians.
    pub added_p50_us: f64,
    /// Difference of the 99th percentiles.
    pub added_p99_us: f64,
    /// Lower end of its 95% interval.
    pub added_p99_low_us: f64,
    /// Upper end of its 95% interval.
    pub added_p99_high_us: f64,
    /// Processor time of a sidecar for each call through it, including its background work.
    pub cpu_us_a_call: f64,
    /// Largest resident memory of a sidecar at the end of a round, in bytes.
    pub rss_bytes: u64,
    /// Calls served through sidecars; like all latencies, in undisturbed seconds only.
    pub answered: u64,
    /// Calls through sidecars with a 429 or 503 response.
    pub refused: u64,
    /// Calls through sidecars with any other response or none, or not sent as too many were in flight.
    pub lost: u64,
    /// Verdict on the point.
    pub verdict: PointVerdict,
    /// Reasons for a verdict other than `kept`, and what was left out.
    pub why: Vec<String>,
}

/// Verdict on a point.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PointVerdict {
    /// All limits and rules were met.
    Kept,
    /// A limit or rule was violated.
    Broken,
    /// Nothing can be concluded.
    Void,
}

/// Command-line options of `added`.
#[derive(Args)]
pub struct Options {
    /// Numbers of servers on the list of each sidecar, one point for each, from 6 to 10000
    #[arg(long, value_delimiter = ',', default_values_t = [60, 200, 1000, 3100])]
    known: Vec<usize>,
    /// Sidecars running in parallel, from 0 to 16; with 0 only direct calls are made and the verdict is void
    #[arg(long, default_value_t = 1)]
    real: usize,
    /// Calls per second through each sidecar, and as many direct ones, from 1 to 1000
    #[arg(long, default_value_t = 223)]
    rate: u64,
    /// Number of sidecars that a call passes through; only 1 is supported
    #[arg(long, default_value_t = 1)]
    depth: u64,
    /// Measured seconds of a round, from 2 to 120
    #[arg(long, default_value_t = 20)]
    lasts: u64,
    /// Number of rounds for each point, from 1 to 20
    #[arg(long, default_value_t = 3)]
    rounds: u64,
    /// Seed of all random choices
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// The sidecar's program [default: `dunlincleat-sidecar` in the folder of this program]
    #[arg(long)]
    program: Option<PathBuf>,
    /// Name the one service that each sidecar calls in its configuration
    #[arg(long)]
    interest: bool,
    /// Judge by responses only, not by latencies, for a busy machine
    #[arg(long)]
    counts_only: bool,
    /// Write the result to this file
    #[arg(long, value_name = "FILE")]
    out: PathBuf,
}

/// Time before the measurement in which connections are opened and delays learnt.
const WARM_UP: Duration = Duration::from_secs(3);
/// Time that a caller waits for a response.
const CLIENT_TIMEOUT: Duration = Duration::from_millis(740);
/// Largest send delay of a second's calls, and largest 99th percentile of its direct latencies, for the second to count
/// as undisturbed, in microseconds.
const MAX_UNDISTURBED_US: u64 = 5000;
/// At most one in this many calls may go without a 200 response.
const UNSERVED_ONE_IN: u64 = 100;
/// Calls per second to all sidecars together that the callers' single thread can send.
const MAX_CALLS_PER_S: u64 = 4000;
/// Number of bootstrap resamples.
const BOOTSTRAP_DRAWS: usize = 1000;

/// Measures all points. Exit code 0 where all are kept, 1 where one is broken, 2 where one is void, 130 where the run was
/// interrupted.
pub fn run(options: &Options) -> Result<ExitCode> {
    for known in &options.known {
        check_range("known", *known as u64, CALLED_SERVERS as u64, 10_000)?;
    }
    check_range("real", options.real as u64, 0, 16)?;
    check_range("rate", options.rate, 1, 1000)?;
    check_range("depth", options.depth, 1, 1)?;
    check_range("lasts", options.lasts, 2, 120)?;
    check_range("rounds", options.rounds, 1, 20)?;
    if options.rate * options.real as u64 > MAX_CALLS_PER_S {
        bail!(
            "--rate {} with --real {}: {} calls per second; expected {MAX_CALLS_PER_S} or fewer",
            options.rate,
            options.real,
            options.rate * options.real as u64
        );
    }
    for known in &options.known {
        descriptors(*known, options.real)?;
    }
    let folder = options.out.parent().filter(|folder| !folder.as_os_str().is_empty());
    if options.out.is_dir() || folder.is_some_and(|folder| !folder.is_dir()) {
        bail!("--out: {}: expected a file in an existing folder", options.out.display());
    }
    let (lab, program) = locate_programs("dunlincleat-sidecar", "--program", options.program.as_deref())?;
    let callers = |known: usize, seed: u64| Callers {
        lab: lab.clone(),
        program: program.clone(),
        known_servers: known,
        sidecars: options.real,
        calls_per_s: options.rate as f64,
        warm_up: WARM_UP,
        duration: Duration::from_secs(options.lasts),
        client_timeout: CLIENT_TIMEOUT,
        declare_interest: options.interest,
        seed,
        bounds: if options.counts_only {
            Bounds { drain_grace: 1_000_000, slack: 5_000_000, duty_recovery: 0, timer_lateness: u64::MAX }
        } else {
            Bounds { drain_grace: 1_000_000, slack: 250_000, duty_recovery: 0, timer_lateness: 150_000 }
        },
    };
    // Another commit may be checked out while the run goes on.
    let commit = commit();
    let work = async {
        let mut measurements: Vec<Vec<Measurements>> = options.known.iter().map(|_| Vec::new()).collect();
        for round in 0..options.rounds {
            for n in 0..options.known.len() {
                // The order rotates with the rounds, so that no size always gets the same conditions.
                let n = (n + round as usize) % options.known.len();
                let known = options.known[n];
                // The seed does not depend on the size: each size has the same arrivals.
                let found = callers(known, options.seed.wrapping_mul(1000).wrapping_add(round)).run().await;
                let found = found.with_context(|| format!("{known} servers known, round {round}"))?;
                let sum = |of: &dyn Fn(&SecondSample) -> u64| -> u64 { found.seconds.iter().map(of).sum() };
                crate::print_line(&format!(
                    "round {round}: {known} known, {} of {} calls served through sidecars, {} of {} directly",
                    sum(&|second| served(&second.via_sidecar)),
                    sum(&|second| second.via_sidecar.due),
                    sum(&|second| served(&second.direct)),
                    sum(&|second| second.direct.due)
                ));
                measurements[n].push(found);
            }
        }
        Ok(measurements)
    };
    let Some(measurements) = run_until_signal(work)? else { return Ok(ExitCode::from(130)) };
    let points: Vec<Point> = options
        .known
        .iter()
        .zip(&measurements)
        .map(|(known, rounds)| summarize(options, *known, rounds))
        .collect();
    print_table(&points);
    let any = |verdict| points.iter().any(|point| point.verdict == verdict);
    let code = if any(PointVerdict::Broken) { 1 } else { u8::from(any(PointVerdict::Void)) * 2 };
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let added = Added {
        v: VERSION,
        kind: "added".to_owned(),
        commit,
        command: format!("dunlincleat-lab {}", arguments.join(" ")),
        cores: std::thread::available_parallelism().map_or(0, usize::from),
        seed: options.seed,
        rounds: options.rounds as usize,
        profile: if cfg!(debug_assertions) { "debug" } else { "release" }.to_owned(),
        points,
    };
    let text = serde_json::to_string_pretty(&added)? + "\n";
    std::fs::write(&options.out, text).with_context(|| options.out.display().to_string())?;
    Ok(ExitCode::from(code))
}

/// The commit that is checked out; empty where git does not report one.
fn commit() -> String {
    let output = std::process::Command::new("git").args(["rev-parse", "--short=10", "HEAD"]).output();
    output
        .ok()
        .filter(|output| output.status.success())
        .map_or_else(String::new, |output| String::from_utf8_lossy(&output.stdout).trim().to_owned())
}

fn print_table(points: &[Point]) {
    crate::print_line(
        "| known | direct p50, p99 us | through p50, p99 us | added p50 us | added p99 us (95%) | processor us a call \
         | resident MB | served, refused, lost | verdict |",
    );
    crate::print_line("| --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    for p in points {
        let verdict = format!("{:?}", p.verdict).to_lowercase();
        crate::print_line(&format!(
            "| {} | {:.0}, {:.0} | {:.0}, {:.0} | {:.0} | {:.0} ({:.0} to {:.0}) | {:.0} | {:.1} | {}, {}, {} | {verdict} |",
            p.known,
            p.direct_p50_us,
            p.direct_p99_us,
            p.through_p50_us,
            p.through_p99_us,
            p.added_p50_us,
            p.added_p99_us,
            p.added_p99_low_us,
            p.added_p99_high_us,
            p.cpu_us_a_call,
            p.rss_bytes as f64 / 1e6,
            p.answered,
            p.refused,
            p.lost,
        ));
    }
    for p in points {
        p.why.iter().for_each(|why| crate::print_line(&format!("{} known: {why}", p.known)));
    }
}

fn served(path: &PathStats) -> u64 {
    path.latencies_us.len() as u64
}

/// Whether calls were sent on time in this second and direct calls were fast, so that the latencies through the sidecar
/// are attributable to it. The calls through the sidecar are not considered.
fn is_undisturbed(second: &SecondSample) -> bool {
    let mut times = second.direct.latencies_us.clone();
    times.sort_unstable();
    let slow = times.iter().filter(|time| **time > MAX_UNDISTURBED_US).count();
    second.max_send_delay_us <= MAX_UNDISTURBED_US
        && slow * 100 <= times.len()
        && served(&second.direct) == second.direct.due
}

/// Latencies of many seconds in descending order, each with the index of its second.
struct Latencies {
    ranked: Vec<(u64, usize)>,
    served_by_second: Vec<u64>,
}

impl Latencies {
    fn new<'a>(seconds: impl Iterator<Item = &'a PathStats>) -> Latencies {
        let (mut ranked, mut served_by_second) = (Vec::new(), Vec::new());
        for (n, path) in seconds.enumerate() {
            ranked.extend(path.latencies_us.iter().map(|time| (*time, n)));
            served_by_second.push(served(path));
        }
        ranked.sort_unstable_by(|a, b| b.cmp(a));
        Latencies { ranked, served_by_second }
    }

    /// Quantile by nearest rank, with each second weighted by its count; 0 where nothing was served.
    fn quantile(&self, of: f64, counts: &[u64]) -> f64 {
        let total: u64 = self.served_by_second.iter().zip(counts).map(|(served, count)| served * count).sum();
        let above = total - ((of * total as f64).ceil() as u64).clamp(u64::from(total > 0), total);
        let mut passed = 0;
        for (time, second) in &self.ranked {
            passed += counts[*second];
            if passed > above {
                return *time as f64;
            }
        }
        0.0
    }
}

/// Bootstrap 95% interval of the added latency. Seconds are resampled within their rounds, the same ones for both paths, as
/// both met the same conditions on the machine.
fn interval(lengths: &[usize], added: impl Fn(&[u64]) -> f64) -> (f64, f64) {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut drawn: Vec<f64> = (0..BOOTSTRAP_DRAWS)
        .map(|_| {
            let mut counts = vec![0; lengths.iter().sum()];
            let mut from = 0;
            for length in lengths {
                (0..*length).for_each(|_| counts[from + rng.random_range(0..*length)] += 1);
                from += length;
            }
            added(&counts)
        })
        .collect();
    drawn.sort_by(f64::total_cmp);
    (drawn[BOOTSTRAP_DRAWS / 40], drawn[BOOTSTRAP_DRAWS - 1 - BOOTSTRAP_DRAWS / 40])
}

/// Summarizes the rounds with one number of servers known.
fn summarize(options: &Options, known: usize, rounds: &[Measurements]) -> Point {
    let counted: Vec<Vec<&SecondSample>> = rounds
        .iter()
        .map(|measurements| {
            measurements
                .seconds
                .iter()
                .filter(|second| options.counts_only || is_undisturbed(second))
                .collect()
        })
        .collect();
    let lengths: Vec<usize> = counted.iter().map(Vec::len).collect();
    let counted = counted.concat();
    let direct = Latencies::new(counted.iter().map(|second| &second.direct));
    let through = Latencies::new(counted.iter().map(|second| &second.via_sidecar));
    let all = vec![1; counted.len()];
    let added = |of: f64, counts: &[u64]| through.quantile(of, counts) - direct.quantile(of, counts);
    let (added_p99_low_us, added_p99_high_us) = interval(&lengths, |counts| added(0.99, counts));
    let sum =
        |of: &dyn Fn(&PathStats) -> u64| counted.iter().map(|second| of(&second.via_sidecar)).sum::<u64>();
    let cpu_s: f64 = rounds.iter().map(|measurements| measurements.cpu_time.as_secs_f64()).sum();
    let sent: u64 = rounds
        .iter()
        .flat_map(|measurements| &measurements.seconds)
        .map(|second| second.via_sidecar.due)
        .sum();
    let mut point = Point {
        known,
        rate: options.rate as f64,
        depth: options.depth as usize,
        real: options.real,
        interest: options.interest,
        direct_p50_us: direct.quantile(0.5, &all),
        direct_p99_us: direct.quantile(0.99, &all),
        through_p50_us: through.quantile(0.5, &all),
        through_p99_us: through.quantile(0.99, &all),
        added_p50_us: added(0.5, &all),
        added_p99_us: added(0.99, &all),
        added_p99_low_us,
        added_p99_high_us,
        cpu_us_a_call: (cpu_s * 1e7 / sent.max(1) as f64).round() / 10.0,
        rss_bytes: rounds.iter().map(|measurements| measurements.max_resident_bytes).max().unwrap_or(0),
        answered: sum(&served),
        refused: sum(&|path| path.refused),
        lost: sum(&|path| path.lost),
        verdict: PointVerdict::Kept,
        why: Vec::new(),
    };
    (point.verdict, point.why) = judge(&point, rounds, counted.len(), options.counts_only);
    point
}

/// Verdict on a point, with reasons and notes on what was left out. A violated rule counts on any machine. A limit is
/// judged only where at least half of the seconds, `counted`, were undisturbed.
fn judge(
    point: &Point,
    rounds: &[Measurements],
    counted: usize,
    counts_only: bool,
) -> (PointVerdict, Vec<String>) {
    let (mut broken, mut void, mut notes) = (Vec::new(), Vec::new(), Vec::new());
    let mut audited = false;
    for (round, measurements) in rounds.iter().enumerate() {
        match &measurements.verdict {
            Verdict::Kept => audited = true,
            Verdict::Broken(found) => broken.extend(found.iter().take(5).map(|fault| {
                format!("round {round}: {}: {} ({} in all)", fault.property, fault.what, found.len())
            })),
            Verdict::Void(late) => {
                notes.push(format!("round {round}: rules not judged, the rig ran {} ms late", late / 1000));
            }
        }
    }
    if !broken.is_empty() {
        return (PointVerdict::Broken, broken);
    }
    if !audited {
        void.push("the rules could be judged in no round".to_owned());
    }
    if point.answered == 0 {
        void.push("no call was served through a sidecar".to_owned());
    }
    let seconds: usize = rounds.iter().map(|measurements| measurements.seconds.len()).sum();
    if counted < seconds {
        notes.push(format!(
            "{counted} of {seconds} seconds count: in the others calls went out late or the direct way was slow"
        ));
    }
    if 2 * counted < seconds {
        void.push("fewer than half of the seconds count".to_owned());
    }
    let with_notes = |verdict: PointVerdict, mut why: Vec<String>| {
        why.append(&mut notes.clone());
        (verdict, why)
    };
    if !void.is_empty() {
        return with_notes(PointVerdict::Void, void);
    }
    if counts_only {
        return with_notes(PointVerdict::Kept, Vec::new());
    }
    let sent = point.answered + point.refused + point.lost;
    if (point.refused + point.lost) * UNSERVED_ONE_IN > sent {
        let (refused, lost) = (point.refused, point.lost);
        broken
            .push(format!("{refused} refused and {lost} lost of {sent} calls, over 1 in {UNSERVED_ONE_IN}"));
    }
    let (low, high) = (point.added_p99_low_us, point.added_p99_high_us);
    let range = format!("{:.0} us added for 99 in 100 (95% from {low:.0} to {high:.0})", point.added_p99_us);
    if low > LIMIT_US {
        broken.push(format!("{range}, over {LIMIT_US:.0}"));
    }
    if !broken.is_empty() {
        return with_notes(PointVerdict::Broken, broken);
    }
    if high > LIMIT_US {
        return with_notes(
            PointVerdict::Void,
            vec![format!("{range}: the limit of {LIMIT_US:.0} lies within")],
        );
    }
    with_notes(PointVerdict::Kept, Vec::new())
}

#[cfg(test)]
mod tests;
