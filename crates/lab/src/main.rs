//! `dunlincleat-lab`: plays scenarios in simulated time, and a first look on loopback around the real sidecar. Every figure
//! of the first kind is simulated.

#![forbid(unsafe_code)]

mod capacity;
mod demo;
mod gate;
mod html;
mod memory;
mod plan;
mod processes;
mod real;
mod results;
mod scale;
mod simulations;
mod slopes;
mod soak;
mod trial;

use anyhow::{Context, Result, bail};
use clap::{Parser, Subcommand};
use dunlincleat_fleet::baseline::Choice;
use dunlincleat_fleet::report::Report;
use dunlincleat_fleet::world::Policy;
use dunlincleat_trial::stubs::Stub;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use simulations::{ScenarioFile, Simulation, mean, parse_mechanism, parse_policy, simulate_all};
use std::io::Write;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Mutex;
use std::time::Instant;

/// Experiments in simulated time, and a first look.
#[derive(Parser)]
#[command(name = "dunlincleat-lab", version, about)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Twenty seconds of the real sidecar on loopback, with a server stalled and one drained; exit 1 where a rule was broken
    Demo(demo::DemoArgs),
    /// Many processes of the program under faults; exit 0 where every property held, 1 broken, 2 nothing can be said
    Trial(trial::TrialArgs),
    /// Write the tables of a capacity page from a plan and the results of runs; with --check exit 1 where a page differs
    Capacity(capacity::Options),
    /// What a real sidecar adds to a call, by servers known; exit 0 where the limits are kept, 1 broken, 2 nothing can be said
    Added(real::Options),
    /// Control machines, hollow sidecars and real ones at size; exit 0 where every limit was kept, 1 broken, 2 nothing can be
    /// said
    Scale(scale::Options),
    /// A control machine of a scale run
    #[command(hide = true)]
    Control,
    /// Hollow sidecars of a scale run
    #[command(hide = true)]
    Hollow,
    /// A stand-in of a trial
    #[command(hide = true)]
    Stand {
        /// Which
        #[command(subcommand)]
        stub: Stub,
    },
    /// Become a program that ends with the rig
    #[command(hide = true)]
    Tether {
        /// The rig's process
        parent: u32,
        /// The program and its arguments
        #[arg(last = true)]
        program: Vec<std::ffi::OsString>,
    },
    /// Play a scenario: one JSON line a seed; exit 1 where a rule was broken
    Run {
        /// The scenario
        scenario: PathBuf,
        /// The first seed
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// How many seeds
        #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u64).range(1..))]
        seeds: u64,
        /// module, a baseline (random, round-robin, least-in-hand, two-choices, peak-delay) or without-PART
        #[arg(long, default_value = "module")]
        policy: String,
        /// Play a part of the fleet
        #[arg(long, default_value_t = 1.0)]
        scale: f64,
        /// Keep each second, for `report`
        #[arg(long)]
        seconds: bool,
        /// A file to which the lines are added as days are done, instead of standard output
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
        /// Play a part of the fleet
        #[arg(long, default_value_t = 1.0)]
        scale: f64,
    },
    /// All scenarios of a folder against all policies, as a table
    Table {
        /// The folder
        folder: PathBuf,
        /// How many seeds
        #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u64).range(1..))]
        seeds: u64,
        /// Play a part of the fleet
        #[arg(long, default_value_t = 1.0)]
        scale: f64,
    },
    /// Hold a folder's scenarios against its band, gate.toml; exit 1 with each scenario, seed and figure outside it
    Gate {
        /// The folder
        folder: PathBuf,
        /// Take something out, to see that the gate tells: turns, few-servers or worth
        #[arg(long)]
        without: Option<String>,
    },
    /// Results of a folder as one HTML page with plots, on standard output or in a file
    Report {
        /// The folder of files that `run --out FILE --seconds` wrote
        folder: PathBuf,
        /// The file
        #[arg(long)]
        out: Option<PathBuf>,
    },
    /// What a sidecar costs against one driver at a time, with the line through each figure's points, as JSON
    Slopes(slopes::Options),
    /// What a day at size costs: real time, memory and both for each instance
    Size {
        /// The scenario
        scenario: PathBuf,
        /// Play a part of the fleet, or a multiple
        #[arg(long, default_value_t = 1.0)]
        scale: f64,
        /// The seed
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
}

fn print_line(text: &str) {
    // A reader that has gone is no fault.
    let _ = writeln!(std::io::stdout(), "{text}");
}

/// The 95% interval of a mean, by drawing from the values again and again.
fn bootstrap_interval(values: &[f64]) -> (f64, f64) {
    let mut rng = SmallRng::seed_from_u64(1);
    let resampled_mean = |rng: &mut SmallRng| {
        mean(&values.iter().map(|_| values[rng.random_range(0..values.len())]).collect::<Vec<_>>())
    };
    let mut means: Vec<f64> = (0..2000).map(|_| resampled_mean(&mut rng)).collect();
    means.sort_by(f64::total_cmp);
    (means[50], means[1949])
}

fn simulations_for(
    file: &ScenarioFile,
    policy: Policy,
    seeds: &[u64],
    scale: f64,
) -> Result<Vec<Simulation>> {
    if !(scale > 0.0 && scale <= 100.0) {
        bail!("--scale: {scale} is not over 0 and at most 100");
    }
    let simulation = |seed: &u64| -> Result<Simulation> {
        let scenario = file.sample(*seed)?;
        let scenario = if scale == 1.0 { scenario } else { scenario.scaled(scale) };
        Ok(Simulation { scenario, policy, seed: *seed })
    };
    seeds.iter().map(simulation).collect()
}

fn run() -> Result<ExitCode> {
    match Cli::parse().command {
        Command::Demo(args) => demo::run(args),
        Command::Trial(args) => trial::run(args),
        Command::Capacity(options) => capacity::run(&options),
        Command::Slopes(options) => slopes::run(options),
        Command::Added(options) => real::run(&options),
        Command::Scale(options) => scale::run(options),
        Command::Control => dunlincleat_trial::control::run().map(|()| ExitCode::SUCCESS),
        Command::Hollow => dunlincleat_hollow::run(memory::allocated).map(|()| ExitCode::SUCCESS),
        Command::Stand { stub } => dunlincleat_trial::stubs::run(stub).map(|()| ExitCode::SUCCESS),
        Command::Tether { parent, program } => match dunlincleat_trial::child::tether(parent, &program)? {},
        Command::Run { scenario, seed, seeds, policy, scale, seconds, out } => {
            let (file, policy_under_test) = (ScenarioFile::read(&scenario)?, parse_policy(&policy)?);
            let all: Vec<u64> = (seed..seed.saturating_add(seeds)).collect();
            let days = simulations_for(&file, policy_under_test, &all, scale)?;
            let reports = match out {
                None => {
                    let reports = simulate_all(&days, seconds, |_, _| {})?;
                    for report in &reports {
                        print_line(&serde_json::to_string(report)?);
                    }
                    reports
                }
                Some(path) => {
                    let plan = scenario.display().to_string();
                    let writer = Mutex::new(results::Writer::begin(&path, &plan, &policy, &all)?);
                    let fault = Mutex::new(None);
                    let reports = simulate_all(&days, seconds, |_, report| {
                        let written = writer.lock().map(|mut writer| writer.line(report));
                        if let (Ok(Err(error)), Ok(mut fault)) = (written, fault.lock()) {
                            *fault = Some(error);
                        }
                    })?;
                    if let Some(error) = fault.into_inner().ok().flatten() {
                        return Err(error).with_context(|| path.display().to_string());
                    }
                    reports
                }
            };
            let broken = reports.iter().any(|report| !report.broken.is_empty());
            Ok(if broken { ExitCode::from(1) } else { ExitCode::SUCCESS })
        }
        Command::Compare { scenario, a, b, seeds, scale } => {
            if seeds < 2 {
                bail!("--seeds: at least 2, or there is no interval");
            }
            let file = ScenarioFile::read(&scenario)?;
            let seeds: Vec<u64> = (1..=seeds).collect();
            let simulated = |name: &str| -> Result<Vec<Report>> {
                simulate_all(&simulations_for(&file, parse_policy(name)?, &seeds, scale)?, false, |_, _| {})
            };
            let (first, second) = (simulated(&a)?, simulated(&b)?);
            let differences: Vec<f64> = first.iter().zip(&second).map(|(a, b)| a.worth - b.worth).collect();
            let (low, high) = bootstrap_interval(&differences);
            let mean_worth = |reports: &[Report]| mean(&reports.iter().map(|r| r.worth).collect::<Vec<_>>());
            print_line(&format!(
                "{}: {a} {:.3}, {b} {:.3}; difference {:+.3}, 95% from {low:+.3} to {high:+.3} ({} paired seeds)",
                first.first().map_or("", |report| &report.scenario),
                mean_worth(&first),
                mean_worth(&second),
                mean(&differences),
                seeds.len()
            ));
            Ok(ExitCode::SUCCESS)
        }
        Command::Table { folder, seeds, scale } => table(&folder, seeds, scale),
        Command::Gate { folder, without } => {
            let policy =
                without.map_or(Ok(Policy::Module), |name| parse_mechanism(&name).map(Policy::Without))?;
            let (summary, failures) = gate::run_gate(&folder, policy)?;
            summary.iter().for_each(|line| print_line(line));
            failures.iter().for_each(|line| print_line(&format!("FAILED: {line}")));
            print_line(if failures.is_empty() { "gate passed" } else { "gate failed" });
            Ok(if failures.is_empty() { ExitCode::SUCCESS } else { ExitCode::from(1) })
        }
        Command::Report { folder, out } => {
            let entries = std::fs::read_dir(&folder).with_context(|| folder.display().to_string())?;
            let mut paths: Vec<PathBuf> = entries.filter_map(|e| Some(e.ok()?.path())).collect();
            paths.retain(|path| path.extension().is_some_and(|e| e == "jsonl"));
            paths.sort();
            let runs = paths.iter().map(|path| results::read(path)).collect::<Result<Vec<_>>>()?;
            let page = html::page(&runs.concat()).with_context(|| folder.display().to_string())?;
            match out {
                None => print_line(&page),
                Some(path) => std::fs::write(&path, page).with_context(|| path.display().to_string())?,
            }
            Ok(ExitCode::SUCCESS)
        }
        Command::Size { scenario, scale, seed } => {
            let file = ScenarioFile::read(&scenario)?;
            let simulation = simulations_for(&file, Policy::Module, &[seed], scale)?.remove(0);
            let started = Instant::now();
            let report = simulate_all(std::slice::from_ref(&simulation), false, |_, _| {})?.remove(0);
            let elapsed = started.elapsed();
            let instance_bytes = memory::mean_instance_bytes(&simulation.scenario, Policy::Module, seed)?;
            let instances = simulation.scenario.traffic.instances;
            let attempts = report.attempts * report.wanted as f64;
            print_line(
                "| instances | nodes | requests | real time | peak memory | an instance | an attempt | worth | rules |",
            );
            print_line("| --- | --- | --- | --- | --- | --- | --- | --- | --- |");
            print_line(&format!(
                "| {instances} | {} | {} | {:.1} s | {:.0} MiB | {:.1} KiB, {:.1} ms | {:.2} us | {:.3} | {} |",
                simulation.scenario.fleet.nodes,
                report.wanted,
                elapsed.as_secs_f64(),
                memory::peak_bytes() as f64 / f64::from(1 << 20),
                instance_bytes / 1024.0,
                elapsed.as_secs_f64() * 1e3 / instances as f64,
                elapsed.as_secs_f64() * 1e6 / attempts.max(1.0),
                report.worth,
                if report.broken.is_empty() { "kept" } else { "BROKEN" }
            ));
            Ok(ExitCode::SUCCESS)
        }
    }
}

fn table(folder: &Path, seeds: u64, scale: f64) -> Result<ExitCode> {
    let files = ScenarioFile::read_folder(folder)?;
    let seeds: Vec<u64> = (1..=seeds).collect();
    let mut policies = vec![("module", Policy::Module)];
    policies.extend(Choice::ALL.map(|(name, choice)| (name, Policy::Baseline(choice))));
    let mut simulations = Vec::new();
    for file in &files {
        for (_, policy) in &policies {
            simulations.extend(simulations_for(file, *policy, &seeds, scale)?);
        }
    }
    let reports = simulate_all(&simulations, false, |_, _| {})?;
    let names: Vec<&str> = policies.iter().map(|(name, _)| *name).collect();
    print_line(&format!("| scenario | {} |", names.join(" | ")));
    print_line(&format!("| --- |{}", " --- |".repeat(names.len())));
    let mut broken = false;
    for of_scenario in reports.chunks(policies.len() * seeds.len()) {
        let cells = of_scenario.chunks(seeds.len()).map(|days| {
            let worth = mean(&days.iter().map(|day| day.worth).collect::<Vec<_>>());
            let rules: u64 = days.iter().flat_map(|day| day.broken.values()).sum();
            if rules > 0 { format!("{worth:.3} ({rules} broken)") } else { format!("{worth:.3}") }
        });
        let cells: Vec<String> = cells.collect();
        broken |= of_scenario[..seeds.len()].iter().any(|day| !day.broken.is_empty());
        print_line(&format!("| {} | {} |", of_scenario[0].scenario, cells.join(" | ")));
    }
    Ok(if broken { ExitCode::from(1) } else { ExitCode::SUCCESS })
}

fn main() -> ExitCode {
    run().unwrap_or_else(|error| {
        eprintln!("dunlincleat-lab: {error:#}");
        ExitCode::from(2)
    })
}
