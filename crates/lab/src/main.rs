//! `dunlincleat-lab`: plays scenarios in simulated time. Every figure that it prints is simulated.

#![forbid(unsafe_code)]

use anyhow::{Context, Result, anyhow, bail};
use clap::{Parser, Subcommand};
use dunlincleat_fleet::Scenario;
use dunlincleat_fleet::baseline::Choice;
use dunlincleat_fleet::world::{Policy, Report, play};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::io::Write;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Experiments in simulated time.
#[derive(Parser)]
#[command(name = "dunlincleat-lab", version, about)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Play a scenario: one JSON line a seed; exit 1 where a rule was broken
    Run {
        /// The scenario
        scenario: PathBuf,
        /// The first seed
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// How many seeds
        #[arg(long, default_value_t = 1)]
        seeds: u64,
        /// module, random, round-robin, least-in-hand, two-choices or peak-delay
        #[arg(long, default_value = "module")]
        policy: String,
        /// A file to which the lines are added, instead of standard output
        #[arg(long)]
        out: Option<PathBuf>,
    },
    /// Compare two policies on the same seeds: the mean difference of worth and its 95% interval
    Compare {
        /// The scenario
        scenario: PathBuf,
        /// The first policy
        a: String,
        /// The second
        b: String,
        /// How many seeds
        #[arg(long, default_value_t = 8)]
        seeds: u64,
    },
    /// All scenarios of a folder against all policies, as a table
    Table {
        /// The folder
        folder: PathBuf,
        /// How many seeds
        #[arg(long, default_value_t = 3)]
        seeds: u64,
    },
}

fn policy_of(name: &str) -> Result<Policy> {
    if name == "module" {
        return Ok(Policy::Module);
    }
    let known = Choice::ALL.map(|(name, _)| name).join(", ");
    Choice::named(name).map(Policy::Baseline).ok_or_else(|| anyhow!("no policy '{name}': module, {known}"))
}

fn read(path: &Path) -> Result<Scenario> {
    let text = std::fs::read_to_string(path).with_context(|| path.display().to_string())?;
    Scenario::read(&text).with_context(|| path.display().to_string())
}

/// Plays many days on all cores, in the order in which they were asked for.
fn play_all(days: &[(&Scenario, Policy, u64)]) -> Result<Vec<Report>> {
    let next = AtomicUsize::new(0);
    let done = Mutex::new((0..days.len()).map(|_| None).collect::<Vec<Option<Result<Report>>>>());
    let workers = std::thread::available_parallelism().map_or(1, usize::from).min(days.len().max(1));
    std::thread::scope(|scope| {
        for _ in 0..workers {
            scope.spawn(|| {
                loop {
                    let n = next.fetch_add(1, Ordering::Relaxed);
                    let Some((scenario, policy, seed)) = days.get(n) else { return };
                    let report = play(scenario, *policy, *seed);
                    if let Ok(mut done) = done.lock() {
                        done[n] = Some(report);
                    }
                }
            });
        }
    });
    let done = done.into_inner().map_err(|_| anyhow!("a day ended in a fault of the tool"))?;
    done.into_iter().map(|report| report.context("a day was not played")?).collect()
}

fn say(text: &str) {
    // A reader that has gone is no fault.
    let _ = writeln!(std::io::stdout(), "{text}");
}

fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len().max(1) as f64
}

/// The 95% interval of a mean, by drawing from the values again and again.
fn interval(values: &[f64]) -> (f64, f64) {
    let mut rng = SmallRng::seed_from_u64(1);
    let drawn = |rng: &mut SmallRng| {
        mean(&values.iter().map(|_| values[rng.random_range(0..values.len())]).collect::<Vec<_>>())
    };
    let mut means: Vec<f64> = (0..2000).map(|_| drawn(&mut rng)).collect();
    means.sort_by(f64::total_cmp);
    (means[50], means[1949])
}

fn run() -> Result<ExitCode> {
    match Cli::parse().command {
        Command::Run { scenario, seed, seeds, policy, out } => {
            let (scenario, policy) = (read(&scenario)?, policy_of(&policy)?);
            let days: Vec<_> =
                (seed..seed.saturating_add(seeds)).map(|seed| (&scenario, policy, seed)).collect();
            let reports = play_all(&days)?;
            let lines = reports.iter().map(serde_json::to_string).collect::<Result<Vec<String>, _>>()?;
            match out {
                None => lines.iter().for_each(|line| say(line)),
                Some(path) => {
                    let mut file = std::fs::OpenOptions::new().create(true).append(true).open(&path)?;
                    for line in lines {
                        writeln!(file, "{line}").with_context(|| path.display().to_string())?;
                    }
                }
            }
            let broken = reports.iter().any(|report| !report.broken.is_empty());
            Ok(if broken { ExitCode::from(1) } else { ExitCode::SUCCESS })
        }
        Command::Compare { scenario, a, b, seeds } => {
            if seeds < 2 {
                bail!("--seeds: at least 2, or there is no interval");
            }
            let scenario = read(&scenario)?;
            let days = |policy| (1..=seeds).map(|seed| (&scenario, policy, seed)).collect::<Vec<_>>();
            let (first, second) = (play_all(&days(policy_of(&a)?))?, play_all(&days(policy_of(&b)?))?);
            let differ: Vec<f64> = first.iter().zip(&second).map(|(a, b)| a.worth - b.worth).collect();
            let (low, high) = interval(&differ);
            let worths = |reports: &[Report]| mean(&reports.iter().map(|r| r.worth).collect::<Vec<_>>());
            say(&format!(
                "{}: {a} {:.3}, {b} {:.3}; difference {:+.3}, 95% from {low:+.3} to {high:+.3} ({seeds} paired seeds)",
                scenario.name,
                worths(&first),
                worths(&second),
                mean(&differ)
            ));
            Ok(ExitCode::SUCCESS)
        }
        Command::Table { folder, seeds } => table(&folder, seeds),
    }
}

fn table(folder: &Path, seeds: u64) -> Result<ExitCode> {
    let entries = std::fs::read_dir(folder).with_context(|| folder.display().to_string())?;
    let mut paths: Vec<PathBuf> = entries.filter_map(|e| Some(e.ok()?.path())).collect();
    paths.retain(|path| path.extension().is_some_and(|e| e == "toml"));
    paths.sort();
    let scenarios = paths.iter().map(|path| read(path)).collect::<Result<Vec<_>>>()?;
    let mut policies = vec![("module", Policy::Module)];
    policies.extend(Choice::ALL.map(|(name, choice)| (name, Policy::Baseline(choice))));
    let mut days = Vec::new();
    for scenario in &scenarios {
        for (_, policy) in &policies {
            days.extend((1..=seeds).map(|seed| (scenario, *policy, seed)));
        }
    }
    let reports = play_all(&days)?;
    let names: Vec<&str> = policies.iter().map(|(name, _)| *name).collect();
    say(&format!("| scenario | {} |", names.join(" | ")));
    say(&format!("| --- |{}", " --- |".repeat(names.len())));
    let mut broken = false;
    for (scenario, of_scenario) in scenarios.iter().zip(reports.chunks(policies.len() * seeds as usize)) {
        let cells = of_scenario.chunks(seeds as usize).map(|days| {
            let worth = mean(&days.iter().map(|day| day.worth).collect::<Vec<_>>());
            let rules: u64 = days.iter().flat_map(|day| day.broken.values()).sum();
            if rules > 0 { format!("{worth:.3} ({rules} broken)") } else { format!("{worth:.3}") }
        });
        let cells: Vec<String> = cells.collect();
        broken |= of_scenario[..seeds as usize].iter().any(|day| !day.broken.is_empty());
        say(&format!("| {} | {} |", scenario.name, cells.join(" | ")));
    }
    Ok(if broken { ExitCode::from(1) } else { ExitCode::SUCCESS })
}

fn main() -> ExitCode {
    run().unwrap_or_else(|error| {
        eprintln!("dunlincleat-lab: {error:#}");
        ExitCode::from(2)
    })
}
