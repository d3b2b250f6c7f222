//! `dunlincleat-lab`: runs scenarios in simulated time, and demos, trials and measurements with real processes on loopback.
//! Figures from scenarios are simulated, not measured.

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
use clap::{Args, Parser, Subcommand};
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

/// Experiments in simulated time, and with real processes on loopback.
#[derive(Parser)]
#[command(name = "dunlincleat-lab", version, about)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Run the real sidecar on loopback for twenty seconds while one server stalls and one drains; exit 1 if a rule is broken
    Demo(demo::DemoArgs),
    /// Run several instances of the program under injected faults; exit 0 if every property held, 1 if one was broken, 2 if
    /// the result is void
    Trial(trial::TrialArgs),
    /// Write the tables of a capacity page from a plan and the results of runs; with --check exit 1 if a page differs
    Capacity(capacity::Options),
    /// Measure the latency that a real sidecar adds to a call, by number of known servers; exit 0 if the limits are kept, 1 if
    /// one is broken, 2 if the result is void
    Added(real::Options),
    /// Run control machines, hollow sidecars and real sidecars at full size; exit 0 if every limit was kept, 1 if one was
    /// broken, 2 if the result is void
    Scale(scale::Options),
    /// Run a control machine of a scale run
    #[command(hide = true)]
    Control,
    /// Run hollow sidecars of a scale run
    #[command(hide = true)]
    Hollow,
    /// Run a stub process of a trial
    #[command(hide = true)]
    Stand {
        /// The kind of stub
        #[command(subcommand)]
        stub: Stub,
    },
    /// Execute a program that is terminated when the rig exits
    #[command(hide = true)]
    Tether {
        /// The process id of the rig
        parent: u32,
        /// The program and its arguments
        #[arg(last = true)]
        program: Vec<std::ffi::OsString>,
    },
    /// Simulate a scenario: one JSON line per seed; exit 1 if a rule was broken
    Run(RunArgs),
    /// Compare two policies on the same seeds: the mean difference of worth and its 95% confidence interval
    Compare {
        /// The scenario file
        scenario: PathBuf,
        /// The first policy
        a: String,
        /// The second policy
        b: String,
        /// Number of seeds, at least 2
        #[arg(long, default_value_t = 8)]
        seeds: u64,
        /// Scale of the fleet; 0.1 simulates a tenth of it
        #[arg(long, default_value_t = 1.0)]
        scale: f64,
    },
    /// Simulate all scenarios of a directory with all policies and print a table
    Table {
        /// The directory of scenario files
        folder: PathBuf,
        /// Number of seeds
        #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u64).range(1..))]
        seeds: u64,
        /// Scale of the fleet; 0.1 simulates a tenth of it
        #[arg(long, default_value_t = 1.0)]
        scale: f64,
    },
    /// Check a directory's scenarios against the bounds in its gate.toml; exit 1 and print each figure outside them, with
    /// its scenario and seed
    Gate {
        /// The directory of scenario files and gate.toml
        folder: PathBuf,
        /// Disable a mechanism, to verify that the gate detects its absence: turns, few-servers or worth
        #[arg(long)]
        without: Option<String>,
    },
    /// Write the results in a directory as one HTML page with plots, to standard output or a file
    Report {
        /// The directory of files that `run --out FILE --seconds` wrote
        folder: PathBuf,
        /// The output file
        #[arg(long)]
        out: Option<PathBuf>,
    },
    /// Measure how a sidecar's costs grow with one load parameter at a time, and fit a line to each figure, as JSON
    Slopes(slopes::Options),
    /// Measure what a simulation costs: real time, peak memory, and both per instance
    Size {
        /// The scenario file
        scenario: PathBuf,
        /// Scale of the fleet, at most 100; 0.1 simulates a tenth of it
        #[arg(long, default_value_t = 1.0)]
        scale: f64,
        /// The seed
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
}

/// Options of `run`.
#[derive(Args)]
struct RunArgs {
    /// The scenario file
    scenario: PathBuf,
    /// The first seed
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Number of seeds
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u64).range(1..))]
    seeds: u64,
    /// module, a baseline (random, round-robin, least-in-hand, two-choices, peak-delay) or without-PART
    #[arg(long, default_value = "module")]
    policy: String,
    /// Scale of the fleet; 0.1 simulates a tenth of it
    #[arg(long, default_value_t = 1.0)]
    scale: f64,
    /// Record figures for each second, for `report`
    #[arg(long)]
    seconds: bool,
    /// Append each line to this file as its run completes, instead of writing to standard output
    #[arg(long)]
    out: Option<PathBuf>,
}

/// Prints a line to standard output, ignoring write errors: the reader may have closed the pipe.
fn print_line(text: &str) {
    let _ = writeln!(std::io::stdout(), "{text}");
}

/// Returns the 95% confidence interval of the mean, from 2000 bootstrap resamples with a fixed seed.
fn bootstrap_interval(values: &[f64]) -> (f64, f64) {
    let mut rng = SmallRng::seed_from_u64(1);
    let resampled_mean = |rng: &mut SmallRng| {
        mean(&values.iter().map(|_| values[rng.random_range(0..values.len())]).collect::<Vec<_>>())
    };
    let mut means: Vec<f64> = (0..2000).map(|_| resampled_mean(&mut rng)).collect();
    means.sort_by(f64::total_cmp);
    (means[50], means[1949])
}

/// Samples the scenario at each seed and scales its fleet; `scale` is over 0 and at most 100.
fn simulations_for(
    file: &ScenarioFile,
    policy: Policy,
    seeds: &[u64],
    scale: f64,
) -> Result<Vec<Simulation>> {
    if !(scale > 0.0 && scale <= 100.0) {
        bail!("--scale: {scale} is out of range: must be over 0 and at most 100");
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
        Command::Run(args) => run_scenario(&args),
        Command::Compare { scenario, a, b, seeds, scale } => compare(&scenario, &a, &b, seeds, scale),
        Command::Table { folder, seeds, scale } => table(&folder, seeds, scale),
        Command::Gate { folder, without } => check_gate(&folder, without.as_deref()),
        Command::Report { folder, out } => write_report(&folder, out.as_deref()),
        Command::Size { scenario, scale, seed } => measure_size(&scenario, scale, seed),
    }
}

/// Prints the mean worth of each scenario under each policy; exit code 1 if the module broke a rule.
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
        let cells = of_scenario.chunks(seeds.len()).map(|of_policy| {
            let worth = mean(&of_policy.iter().map(|report| report.worth).collect::<Vec<_>>());
            let rules: u64 = of_policy.iter().flat_map(|report| report.broken.values()).sum();
            if rules > 0 { format!("{worth:.3} ({rules} broken)") } else { format!("{worth:.3}") }
        });
        let cells: Vec<String> = cells.collect();
        broken |= of_scenario[..seeds.len()].iter().any(|report| !report.broken.is_empty());
        print_line(&format!("| {} | {} |", of_scenario[0].scenario, cells.join(" | ")));
    }
    Ok(if broken { ExitCode::from(1) } else { ExitCode::SUCCESS })
}

/// Simulates a scenario at each seed and writes the reports; exit code 1 if a rule was broken.
fn run_scenario(args: &RunArgs) -> Result<ExitCode> {
    let file = ScenarioFile::read(&args.scenario)?;
    let policy = parse_policy(&args.policy)?;
    let seeds: Vec<u64> = (args.seed..args.seed.saturating_add(args.seeds)).collect();
    let simulations = simulations_for(&file, policy, &seeds, args.scale)?;
    let reports = match &args.out {
        None => {
            let reports = simulate_all(&simulations, args.seconds, |_, _| {})?;
            for report in &reports {
                print_line(&serde_json::to_string(report)?);
            }
            reports
        }
        Some(path) => {
            let plan = args.scenario.display().to_string();
            let writer = Mutex::new(results::Writer::begin(path, &plan, &args.policy, &seeds)?);
            let write_error = Mutex::new(None);
            let reports = simulate_all(&simulations, args.seconds, |_, report| {
                let written = writer.lock().map(|mut writer| writer.line(report));
                if let (Ok(Err(error)), Ok(mut last)) = (written, write_error.lock()) {
                    *last = Some(error);
                }
            })?;
            if let Some(error) = write_error.into_inner().ok().flatten() {
                return Err(error).with_context(|| path.display().to_string());
            }
            reports
        }
    };
    let broken = reports.iter().any(|report| !report.broken.is_empty());
    Ok(if broken { ExitCode::from(1) } else { ExitCode::SUCCESS })
}

/// Prints the mean worth of two policies on the same seeds, and the interval of their difference.
fn compare(scenario: &Path, a: &str, b: &str, seeds: u64, scale: f64) -> Result<ExitCode> {
    if seeds < 2 {
        bail!("--seeds: must be at least 2 to compute a confidence interval");
    }
    let file = ScenarioFile::read(scenario)?;
    let seeds: Vec<u64> = (1..=seeds).collect();
    let simulated = |name: &str| -> Result<Vec<Report>> {
        simulate_all(&simulations_for(&file, parse_policy(name)?, &seeds, scale)?, false, |_, _| {})
    };
    let (first, second) = (simulated(a)?, simulated(b)?);
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

/// Runs the gate of a directory and prints its summary and failures; exit code 1 if there are failures.
fn check_gate(folder: &Path, without: Option<&str>) -> Result<ExitCode> {
    let policy = without.map_or(Ok(Policy::Module), |name| parse_mechanism(name).map(Policy::Without))?;
    let (summary, failures) = gate::run_gate(folder, policy)?;
    summary.iter().for_each(|line| print_line(line));
    failures.iter().for_each(|line| print_line(&format!("FAILED: {line}")));
    print_line(if failures.is_empty() { "gate passed" } else { "gate failed" });
    Ok(if failures.is_empty() { ExitCode::SUCCESS } else { ExitCode::from(1) })
}

/// Writes the HTML page of the results in a directory.
fn write_report(folder: &Path, out: Option<&Path>) -> Result<ExitCode> {
    let entries = std::fs::read_dir(folder).with_context(|| folder.display().to_string())?;
    let mut paths: Vec<PathBuf> = entries.filter_map(|e| Some(e.ok()?.path())).collect();
    paths.retain(|path| path.extension().is_some_and(|e| e == "jsonl"));
    paths.sort();
    let runs = paths.iter().map(|path| results::read(path)).collect::<Result<Vec<_>>>()?;
    let page = html::page(&runs.concat()).with_context(|| folder.display().to_string())?;
    match out {
        None => print_line(&page),
        Some(path) => std::fs::write(path, page).with_context(|| path.display().to_string())?,
    }
    Ok(ExitCode::SUCCESS)
}

/// Simulates one seed and prints its real time and memory as a table.
fn measure_size(scenario: &Path, scale: f64, seed: u64) -> Result<ExitCode> {
    let file = ScenarioFile::read(scenario)?;
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

fn main() -> ExitCode {
    run().unwrap_or_else(|error| {
        eprintln!("dunlincleat-lab: {error:#}");
        ExitCode::from(2)
    })
}
