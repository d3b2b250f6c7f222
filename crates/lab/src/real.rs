//! What a sidecar adds to a call, by the servers that it knows: real sidecars beside stand-in servers, each call paired with
//! one the direct way in the same run. Also the result file, that pages are written from.

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

/// The version of the result file.
pub const VERSION: u32 = 1;

/// What the letter allows a sidecar to add to a call, for 99 in 100, in microseconds.
pub const LIMIT_US: f64 = 1600.0;

/// The result file of `added`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Added {
    /// The version of this format.
    pub v: u32,
    /// `added`.
    pub kind: String,
    /// The commit that was measured, empty where it is not known.
    pub commit: String,
    /// How it was called.
    pub command: String,
    /// Processors of the machine.
    pub cores: usize,
    /// The seed.
    pub seed: u64,
    /// How often each point was played.
    pub rounds: usize,
    /// `release` or `debug`.
    pub profile: String,
    /// A point for each number of servers known.
    pub points: Vec<Point>,
}

/// What was measured of one number of servers known, over all rounds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Point {
    /// Servers on the list that a sidecar is told.
    pub known: usize,
    /// Calls a second through each sidecar, and as many the direct way.
    pub rate: f64,
    /// Sidecars that a call goes through.
    pub depth: usize,
    /// Sidecars beside one another, each with a caller of its own.
    pub real: usize,
    /// Its configuration names the services that it calls.
    pub interest: bool,
    /// The direct way to the same stand-in servers: the median, in microseconds from when a call was due.
    pub direct_p50_us: f64,
    /// The direct way, 99 in 100.
    pub direct_p99_us: f64,
    /// Through the sidecar: the median of those served.
    pub through_p50_us: f64,
    /// Through the sidecar, 99 in 100 of those served.
    pub through_p99_us: f64,
    /// The difference of the medians.
    pub added_p50_us: f64,
    /// The difference of what 99 in 100 had.
    pub added_p99_us: f64,
    /// The lower end of its 95% interval.
    pub added_p99_low_us: f64,
    /// The upper end of its 95% interval.
    pub added_p99_high_us: f64,
    /// Processor time of a sidecar for each call through it, with what it does besides calls.
    pub cpu_us_a_call: f64,
    /// The most memory a sidecar had resident at the end of a round, in bytes.
    pub rss_bytes: u64,
    /// Calls through sidecars that were served, like all times of the seconds that count.
    pub answered: u64,
    /// Calls through sidecars that were answered 429 or 503.
    pub refused: u64,
    /// Calls through sidecars with any other answer, with none, or not sent as too many were out.
    pub lost: u64,
    /// What can be said.
    pub verdict: Said,
    /// Why it is not kept, and what was left out.
    pub why: Vec<String>,
}

/// What can be said of a point.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Said {
    /// Every limit and rule held.
    Kept,
    /// One did not.
    Broken,
    /// Nothing can be said.
    Void,
}

/// What is wanted of a run.
#[derive(Args)]
pub struct Wanted {
    /// Servers on the list that each sidecar is told, a point for each number, from 6 to 10000
    #[arg(long, value_delimiter = ',', default_values_t = [60, 200, 1000, 3100])]
    known: Vec<usize>,
    /// Sidecars beside one another, from 0 to 16; with 0 the direct way alone is played, and nothing can be said
    #[arg(long, default_value_t = 1)]
    real: usize,
    /// Calls a second through each sidecar, and as many the direct way, from 1 to 1000
    #[arg(long, default_value_t = 223)]
    rate: u64,
    /// Sidecars that a call goes through; only 1 is played yet
    #[arg(long, default_value_t = 1)]
    depth: u64,
    /// For how many seconds calls count in a round, from 2 to 120
    #[arg(long, default_value_t = 20)]
    lasts: u64,
    /// How often each point is played, from 1 to 20
    #[arg(long, default_value_t = 3)]
    rounds: u64,
    /// The seed of all that is drawn
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// The sidecar's program; that beside this one where it is not told
    #[arg(long)]
    program: Option<PathBuf>,
    /// Configure each sidecar with the one service that it calls
    #[arg(long)]
    interest: bool,
    /// Judge by answers alone, not by times: for a machine that is too busy to tell these
    #[arg(long)]
    counts_only: bool,
    /// The result file
    #[arg(long, value_name = "FILE")]
    out: PathBuf,
}

/// How long calls go out before any counts: connections are opened, delays are learnt.
const WARM: Duration = Duration::from_secs(3);
/// How long a call waits.
const WAIT: Duration = Duration::from_millis(740);
/// How late a second's calls may go out, and what 99 in 100 of its direct ones may take, for the second to count.
const DIRECT_MOST_US: u64 = 5000;
/// One in so many calls may go without a 200: the rest is 99 in 100.
const UNSERVED: u64 = 100;
/// Calls a second of all sidecars together that the callers' one thread can send.
const MOST_PER_S: u64 = 4000;
/// How often the interval's seconds are drawn.
const DRAWS: usize = 1000;

/// Runs it: 0 where every point is kept, 1 where one is broken, 2 where one is void, 130 where it was ended by hand.
pub fn run(wanted: &Wanted) -> Result<ExitCode> {
    for known in &wanted.known {
        check_range("known", *known as u64, CALLED_SERVERS as u64, 10_000)?;
    }
    check_range("real", wanted.real as u64, 0, 16)?;
    check_range("rate", wanted.rate, 1, 1000)?;
    check_range("depth", wanted.depth, 1, 1)?;
    check_range("lasts", wanted.lasts, 2, 120)?;
    check_range("rounds", wanted.rounds, 1, 20)?;
    if wanted.rate * wanted.real as u64 > MOST_PER_S {
        bail!(
            "--rate {} with --real {}: {} calls a second; right would be {MOST_PER_S} or fewer",
            wanted.rate,
            wanted.real,
            wanted.rate * wanted.real as u64
        );
    }
    for known in &wanted.known {
        descriptors(*known, wanted.real)?;
    }
    let folder = wanted.out.parent().filter(|folder| !folder.as_os_str().is_empty());
    if wanted.out.is_dir() || folder.is_some_and(|folder| !folder.is_dir()) {
        bail!("--out: {}: right would be a file in a folder that is there", wanted.out.display());
    }
    let (lab, program) = locate_programs("dunlincleat-sidecar", "--program", wanted.program.as_deref())?;
    let callers = |known: usize, seed: u64| Callers {
        lab: lab.clone(),
        program: program.clone(),
        known_servers: known,
        sidecars: wanted.real,
        calls_per_s: wanted.rate as f64,
        warm_up: WARM,
        duration: Duration::from_secs(wanted.lasts),
        client_timeout: WAIT,
        declare_interest: wanted.interest,
        seed,
        bounds: if wanted.counts_only {
            Bounds { drain_grace: 1_000_000, slack: 5_000_000, duty_recovery: 0, timer_lateness: u64::MAX }
        } else {
            Bounds { drain_grace: 1_000_000, slack: 250_000, duty_recovery: 0, timer_lateness: 150_000 }
        },
    };
    // What is checked out may change while the run goes on.
    let commit = commit();
    let work = async {
        let mut seen: Vec<Vec<Measurements>> = wanted.known.iter().map(|_| Vec::new()).collect();
        for round in 0..wanted.rounds {
            for n in 0..wanted.known.len() {
                // Each size comes first in its turn, so that none has the machine's best time alone.
                let n = (n + round as usize) % wanted.known.len();
                let known = wanted.known[n];
                // The same arrivals at each size.
                let found = callers(known, wanted.seed.wrapping_mul(1000).wrapping_add(round)).run().await;
                let found = found.with_context(|| format!("{known} servers known, round {round}"))?;
                let sum = |of: &dyn Fn(&SecondSample) -> u64| -> u64 { found.seconds.iter().map(of).sum() };
                crate::print_line(&format!(
                    "round {round}: {known} known, {} of {} calls served through sidecars, {} of {} directly",
                    sum(&|second| served(&second.via_sidecar)),
                    sum(&|second| second.via_sidecar.due),
                    sum(&|second| served(&second.direct)),
                    sum(&|second| second.direct.due)
                ));
                seen[n].push(found);
            }
        }
        Ok(seen)
    };
    let Some(seen) = run_until_signal(work)? else { return Ok(ExitCode::from(130)) };
    let points: Vec<Point> =
        wanted.known.iter().zip(&seen).map(|(known, rounds)| point(wanted, *known, rounds)).collect();
    table(&points);
    let code = |said| points.iter().any(|point| point.verdict == said);
    let code = if code(Said::Broken) { 1 } else { u8::from(code(Said::Void)) * 2 };
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let added = Added {
        v: VERSION,
        kind: "added".to_owned(),
        commit,
        command: format!("dunlincleat-lab {}", arguments.join(" ")),
        cores: std::thread::available_parallelism().map_or(0, usize::from),
        seed: wanted.seed,
        rounds: wanted.rounds as usize,
        profile: if cfg!(debug_assertions) { "debug" } else { "release" }.to_owned(),
        points,
    };
    let text = serde_json::to_string_pretty(&added)? + "\n";
    std::fs::write(&wanted.out, text).with_context(|| wanted.out.display().to_string())?;
    Ok(ExitCode::from(code))
}

/// The commit that is checked out, where that can be told.
fn commit() -> String {
    let told = std::process::Command::new("git").args(["rev-parse", "--short=10", "HEAD"]).output();
    told.ok()
        .filter(|told| told.status.success())
        .map_or_else(String::new, |told| String::from_utf8_lossy(&told.stdout).trim().to_owned())
}

fn table(points: &[Point]) {
    crate::print_line(
        "| known | direct p50, p99 us | through p50, p99 us | added p50 us | added p99 us (95%) | processor us a call \
         | resident MB | served, refused, lost | verdict |",
    );
    crate::print_line("| --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    for p in points {
        let said = format!("{:?}", p.verdict).to_lowercase();
        crate::print_line(&format!(
            "| {} | {:.0}, {:.0} | {:.0}, {:.0} | {:.0} | {:.0} ({:.0} to {:.0}) | {:.0} | {:.1} | {}, {}, {} | {said} |",
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

fn served(side: &PathStats) -> u64 {
    side.latencies_us.len() as u64
}

/// The machine let a second's calls out in time, and the direct way was quick in it: what the sidecar's calls took then is
/// the sidecar's. Nothing of these is looked at.
fn counts(second: &SecondSample) -> bool {
    let mut times = second.direct.latencies_us.clone();
    times.sort_unstable();
    let slow = times.iter().filter(|time| **time > DIRECT_MOST_US).count();
    second.max_send_delay_us <= DIRECT_MOST_US
        && slow * 100 <= times.len()
        && served(&second.direct) == second.direct.due
}

/// Times of many seconds, the longest first, each with its second.
struct Times {
    ranked: Vec<(u64, usize)>,
    held: Vec<u64>,
}

impl Times {
    fn new<'a>(seconds: impl Iterator<Item = &'a PathStats>) -> Times {
        let (mut ranked, mut held) = (Vec::new(), Vec::new());
        for (n, side) in seconds.enumerate() {
            ranked.extend(side.latencies_us.iter().map(|time| (*time, n)));
            held.push(served(side));
        }
        ranked.sort_unstable_by(|a, b| b.cmp(a));
        Times { ranked, held }
    }

    /// A quantile by nearest rank, of seconds that count so often each; 0 where nothing was served.
    fn quantile(&self, of: f64, counts: &[u64]) -> f64 {
        let total: u64 = self.held.iter().zip(counts).map(|(held, count)| held * count).sum();
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

/// The 95% interval of what 99 in 100 have added: seconds are drawn again and again within their rounds, the same ones of
/// both ways, as both met the same machine in them.
fn interval(lengths: &[usize], differ: impl Fn(&[u64]) -> f64) -> (f64, f64) {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut drawn: Vec<f64> = (0..DRAWS)
        .map(|_| {
            let mut counts = vec![0; lengths.iter().sum()];
            let mut from = 0;
            for length in lengths {
                (0..*length).for_each(|_| counts[from + rng.random_range(0..*length)] += 1);
                from += length;
            }
            differ(&counts)
        })
        .collect();
    drawn.sort_by(f64::total_cmp);
    (drawn[DRAWS / 40], drawn[DRAWS - 1 - DRAWS / 40])
}

fn point(wanted: &Wanted, known: usize, rounds: &[Measurements]) -> Point {
    let chosen: Vec<Vec<&SecondSample>> = rounds
        .iter()
        .map(|seen| seen.seconds.iter().filter(|second| wanted.counts_only || counts(second)).collect())
        .collect();
    let lengths: Vec<usize> = chosen.iter().map(Vec::len).collect();
    let chosen = chosen.concat();
    let direct = Times::new(chosen.iter().map(|second| &second.direct));
    let through = Times::new(chosen.iter().map(|second| &second.via_sidecar));
    let all = vec![1; chosen.len()];
    let differ = |of: f64, counts: &[u64]| through.quantile(of, counts) - direct.quantile(of, counts);
    let (added_p99_low_us, added_p99_high_us) = interval(&lengths, |counts| differ(0.99, counts));
    let sum =
        |of: &dyn Fn(&PathStats) -> u64| chosen.iter().map(|second| of(&second.via_sidecar)).sum::<u64>();
    let processor: f64 = rounds.iter().map(|seen| seen.cpu_time.as_secs_f64()).sum();
    let asked: u64 = rounds.iter().flat_map(|seen| &seen.seconds).map(|second| second.via_sidecar.due).sum();
    let mut point = Point {
        known,
        rate: wanted.rate as f64,
        depth: wanted.depth as usize,
        real: wanted.real,
        interest: wanted.interest,
        direct_p50_us: direct.quantile(0.5, &all),
        direct_p99_us: direct.quantile(0.99, &all),
        through_p50_us: through.quantile(0.5, &all),
        through_p99_us: through.quantile(0.99, &all),
        added_p50_us: differ(0.5, &all),
        added_p99_us: differ(0.99, &all),
        added_p99_low_us,
        added_p99_high_us,
        cpu_us_a_call: (processor * 1e7 / asked.max(1) as f64).round() / 10.0,
        rss_bytes: rounds.iter().map(|seen| seen.max_resident_bytes).max().unwrap_or(0),
        answered: sum(&served),
        refused: sum(&|side| side.refused),
        lost: sum(&|side| side.lost),
        verdict: Said::Kept,
        why: Vec::new(),
    };
    (point.verdict, point.why) = judge(&point, rounds, chosen.len(), wanted.counts_only);
    point
}

/// What can be said of a point, why it is not kept, and what was left out. A rule that was broken is so on any machine; a
/// limit is judged only where the machine was good enough for that in half of the seconds, `chosen`.
fn judge(point: &Point, rounds: &[Measurements], chosen: usize, counts_only: bool) -> (Said, Vec<String>) {
    let (mut broken, mut void, mut notes) = (Vec::new(), Vec::new(), Vec::new());
    let mut audited = false;
    for (round, seen) in rounds.iter().enumerate() {
        match &seen.verdict {
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
        return (Said::Broken, broken);
    }
    if !audited {
        void.push("the rules could be judged in no round".to_owned());
    }
    if point.answered == 0 {
        void.push("no call was served through a sidecar".to_owned());
    }
    let seconds: usize = rounds.iter().map(|seen| seen.seconds.len()).sum();
    if chosen < seconds {
        notes.push(format!(
            "{chosen} of {seconds} seconds count: in the others calls went out late or the direct way was slow"
        ));
    }
    if 2 * chosen < seconds {
        void.push("fewer than half of the seconds count".to_owned());
    }
    let told = |said: Said, mut why: Vec<String>| {
        why.append(&mut notes.clone());
        (said, why)
    };
    if !void.is_empty() {
        return told(Said::Void, void);
    }
    if counts_only {
        return told(Said::Kept, Vec::new());
    }
    let asked = point.answered + point.refused + point.lost;
    if (point.refused + point.lost) * UNSERVED > asked {
        let (refused, lost) = (point.refused, point.lost);
        broken.push(format!("{refused} refused and {lost} lost of {asked} calls, over 1 in {UNSERVED}"));
    }
    let (low, high) = (point.added_p99_low_us, point.added_p99_high_us);
    let range = format!("{:.0} us added for 99 in 100 (95% from {low:.0} to {high:.0})", point.added_p99_us);
    if low > LIMIT_US {
        broken.push(format!("{range}, over {LIMIT_US:.0}"));
    }
    if !broken.is_empty() {
        return told(Said::Broken, broken);
    }
    if high > LIMIT_US {
        return told(Said::Void, vec![format!("{range}: the limit of {LIMIT_US:.0} lies within")]);
    }
    told(Said::Kept, Vec::new())
}

#[cfg(test)]
mod tests;
