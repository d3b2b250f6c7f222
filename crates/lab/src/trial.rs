//! The `trial` command: runs several processes of the program under a schedule of faults and reports the auditor's verdict.

use crate::processes::{check_range, locate_programs, run_until_signal, timeline_line};
use anyhow::{Context, Result, bail};
use clap::{Args, ValueEnum};
use dunlincleat_trial::audit::{Bounds, Verdict, Violation};
use dunlincleat_trial::duty_stats::{DutyStats, duty_stats};
use dunlincleat_trial::history::Event;
use dunlincleat_trial::load::LoadSpec;
use dunlincleat_trial::rig::{FleetConfig, Outcome, Progress, Trial, run_trial};
use dunlincleat_trial::schedule::{Participants, Schedule};
use serde_json::json;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

/// The kinds of trial.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum TrialKind {
    /// Requests while sidecars are killed, stopped and cut off from the network
    Requests,
    /// The same, with a duty that only one instance may hold at a time
    Duties,
    /// One sidecar from start to kill under repeated signals; runs --seeds of them one after another
    Soak,
}

#[derive(Clone, Copy, PartialEq, Eq, ValueEnum)]
enum OutputFormat {
    /// Human-readable text
    Text,
    /// One JSON object
    Json,
}

/// Lease of a trial's fleet, in milliseconds; the duty's period is two leases.
const LEASE_MS: u64 = 500;

/// Options of a trial.
#[derive(Args)]
pub struct TrialArgs {
    /// The kind of trial
    #[arg(value_enum, value_name = "NAME")]
    kind: TrialKind,
    /// Number of instances of the program, from 1 to 50
    #[arg(long, default_value_t = 3)]
    instances: usize,
    /// Number of stub servers, from 1 to 50
    #[arg(long, default_value_t = 4)]
    servers: usize,
    /// Seed of all random choices
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Number of seeds of a soak, from 1 to 1000
    #[arg(long, default_value_t = 1)]
    seeds: u64,
    /// Duration in seconds, from 4 to 600
    #[arg(long = "lasts", value_name = "LASTS", default_value_t = 20)]
    duration_s: u64,
    /// Requests per second to each instance, from 1 to 500
    #[arg(long, default_value_t = 20)]
    rate: u64,
    /// Use this schedule instead of the one drawn from the seed
    #[arg(long, value_name = "FILE")]
    schedule: Option<PathBuf>,
    /// Print the schedule in the format that --schedule reads, without running the trial
    #[arg(long)]
    show: bool,
    /// Slack on each time limit, in milliseconds
    #[arg(long, default_value_t = 250)]
    slack_ms: u64,
    /// Lateness of the rig's own timers, in milliseconds, beyond which the trial is void
    #[arg(long = "late-ms", value_name = "LATE_MS", default_value_t = 150)]
    timer_lateness_ms: u64,
    /// Inject a fault: any-fence in the receiver, any other in a program built with the cargo feature `plant`
    #[arg(long = "plant", value_name = "PLANT")]
    injected_fault: Option<String>,
    /// Output format of the result
    #[arg(long, value_enum, default_value = "text")]
    format: OutputFormat,
    /// Directory for the timeline, the verdict and the log of each process
    #[arg(long, value_name = "DIR")]
    out: Option<PathBuf>,
    /// The program under test; by default `dunlincleat` in the directory of this one
    #[arg(long)]
    program: Option<PathBuf>,
}

/// Runs a trial; returns `None` if a signal interrupted it, after its processes were terminated.
pub fn run_in_foreground(trial: &Trial, on_progress: impl FnMut(&Progress<'_>)) -> Result<Option<Outcome>> {
    run_until_signal(run_trial(trial, on_progress))
}

/// Prints the verdict and returns its exit code: 0 kept, 1 broken, 2 void. A broken verdict lists up to 20 violations and
/// the last ten events up to the first of them.
pub fn report_verdict(outcome: &Outcome, seed: u64) -> ExitCode {
    match &outcome.verdict {
        Verdict::Kept => {
            crate::print_line(&format!("KEPT: every property held, seed {seed}"));
            ExitCode::SUCCESS
        }
        Verdict::Void(late) => {
            crate::print_line(&format!(
                "VOID: the rig ran {} ms late, so that nothing can be said, seed {seed}",
                late / 1000
            ));
            ExitCode::from(2)
        }
        Verdict::Broken(broken) => {
            for violation in broken.iter().take(20) {
                let at = violation.at.saturating_sub(outcome.start) as f64 / 1e6;
                crate::print_line(&format!(
                    "BROKEN {}: at {at:.3} s, seed {seed}: {}",
                    violation.property, violation.what
                ));
            }
            if let Some(first) = broken.first() {
                crate::print_line("the last ten events before the first:");
                let before: Vec<&Event> =
                    outcome.history.iter().filter(|event| event.at <= first.at).collect();
                before
                    .iter()
                    .skip(before.len().saturating_sub(10))
                    .for_each(|event| crate::print_line(&timeline_line(event, outcome.start)));
            }
            crate::print_line(&format!("{} times broken, seed {seed}", broken.len()));
            ExitCode::from(1)
        }
    }
}

/// Runs a trial and returns its exit code: 0 if every property held, 1 if one was broken, 2 if the trial is void, 130 if it
/// was interrupted by a signal.
pub fn run(args: TrialArgs) -> Result<ExitCode> {
    check_range("instances", args.instances as u64, 1, 50)?;
    check_range("servers", args.servers as u64, 1, 50)?;
    check_range("lasts", args.duration_s, 4, 600)?;
    check_range("rate", args.rate, 1, 500)?;
    check_range("seeds", args.seeds, 1, 1000)?;
    let (lab, program) = locate_programs("dunlincleat", "--program", args.program.as_deref())?;
    let bounds = Bounds {
        drain_grace: 1_000_000,
        slack: args.slack_ms * 1000,
        duty_recovery: 0,
        timer_lateness: args.timer_lateness_ms * 1000,
    };
    if args.kind == TrialKind::Soak {
        return crate::soak::run(
            &lab,
            &program,
            args.seed..args.seed + args.seeds,
            bounds,
            args.out.as_deref(),
        );
    }
    let names =
        |prefix: char, count: usize| -> Vec<String> { (0..count).map(|n| format!("{prefix}{n}")).collect() };
    let (instances, servers) = (names('n', args.instances), names('s', args.servers));
    let peers = match args.kind {
        TrialKind::Requests | TrialKind::Soak => false,
        TrialKind::Duties => true,
    };
    let participants =
        Participants { instances: instances.clone(), servers: servers.clone(), peers, lease_ms: LEASE_MS };
    let schedule = match &args.schedule {
        Some(path) => Schedule::read(path, &participants)?,
        None => Schedule::draw(args.seed, &participants, args.duration_s * 1000),
    };
    if args.show {
        crate::print_line(&toml::to_string(&schedule)?);
        return Ok(ExitCode::SUCCESS);
    }
    if let Some(out) = &args.out {
        std::fs::create_dir_all(out).with_context(|| out.display().to_string())?;
    }
    let voters = match args.instances {
        0..3 if peers => {
            bail!("--instances: {} is too few for a fleet: must be 3 or more", args.instances)
        }
        0..5 => 3,
        5..7 => 5,
        _ => 7,
    };
    let fleet = FleetConfig { voters, lease_ms: LEASE_MS, period_ms: 2 * LEASE_MS };
    // Voters that lost their state stay silent for at most five leases. Then come one lease and two periods of two leases
    // each: ten leases in all.
    let duty_recovery = if peers { 10 * LEASE_MS * 1000 } else { 0 };
    let load = LoadSpec {
        requests_per_s: args.rate as f64,
        duration: Duration::from_secs(args.duration_s),
        client_timeout: Duration::from_millis(740),
    };
    let trial = Trial {
        lab,
        program,
        arguments: vec!["serve".to_owned()],
        instances,
        servers,
        seed: args.seed,
        load,
        aim: Duration::from_millis(300),
        bounds: Bounds { duty_recovery, ..bounds },
        schedule,
        log_dir: args.out.clone(),
        fleet: peers.then_some(fleet),
        injected_fault: args.injected_fault.clone(),
    };
    let text = args.format == OutputFormat::Text;
    if text {
        trial.schedule.steps.iter().for_each(|step| {
            crate::print_line(&format!("{:8.3} s  {}", step.at_ms as f64 / 1e3, step.fault));
        });
        crate::print_line("  s  asked served refused failed");
    }
    let print_second = |progress: &Progress<'_>| {
        let Progress { second, requests, faults, .. } = progress;
        let faults: Vec<String> = faults.iter().map(|fault| format!("  <- {fault}")).collect();
        if text {
            let (asked, served, refused, failed) =
                (requests.sent, requests.served, requests.refused, requests.failed);
            crate::print_line(&format!(
                "{second:3} {asked:6} {served:6} {refused:7} {failed:6}{}",
                faults.concat()
            ));
        }
    };
    let Some(outcome) = run_in_foreground(&trial, print_second)? else { return Ok(ExitCode::from(130)) };
    if let Some(out) = &args.out {
        let title = format!("trial of {} instances, seed {}", args.instances, args.seed);
        write_files(out, &title, &trial.schedule, &outcome)?;
    }
    if text {
        if peers {
            print_duty_stats(&duty_stats(&outcome.history));
        }
        return Ok(report_verdict(&outcome, args.seed));
    }
    Ok(print_json(&outcome, args.seed))
}

/// Writes the timeline, the history, the page and the schedule of a trial into a directory.
fn write_files(out: &Path, title: &str, schedule: &Schedule, outcome: &Outcome) -> Result<()> {
    let lines: Vec<String> =
        outcome.history.iter().map(|event| timeline_line(event, outcome.start)).collect();
    std::fs::write(out.join("timeline.txt"), lines.join("\n") + "\n")?;
    let history: Result<Vec<String>, _> = outcome.history.iter().map(serde_json::to_string).collect();
    std::fs::write(out.join("history.jsonl"), history?.join("\n") + "\n")?;
    let verdict = match &outcome.verdict {
        Verdict::Kept => "kept".to_owned(),
        Verdict::Broken(broken) => format!("broken {} times", broken.len()),
        Verdict::Void(late) => format!("void: the rig ran {} ms late", late / 1000),
    };
    let page = dunlincleat_trial::page::page(title, &verdict, &outcome.history, outcome.start);
    std::fs::write(out.join("page.html"), page)?;
    std::fs::write(out.join("schedule.toml"), toml::to_string(schedule)?)?;
    Ok(())
}

/// Prints the figures of the duty on one line.
fn print_duty_stats(stats: &DutyStats) {
    let takeovers: Vec<String> =
        stats.takeovers_ms.iter().map(|(how, ms)| format!("{how:?} {ms:.0?} ms")).collect();
    crate::print_line(&format!(
        "duty: {} effects, {} refused for their fence, {} grants, held {:.3} of the time; next holder after {}",
        stats.effects,
        stats.fenced,
        stats.grants,
        stats.held_fraction,
        takeovers.join(", ")
    ));
}

/// Prints the outcome as one JSON object and returns its exit code: 0 kept, 1 broken, 2 void.
fn print_json(outcome: &Outcome, seed: u64) -> ExitCode {
    let broken = match &outcome.verdict {
        Verdict::Broken(broken) => broken.as_slice(),
        Verdict::Kept | Verdict::Void(_) => &[],
    };
    let to_json = |violation: &Violation| {
        json!({
            "property": violation.property.to_string(),
            "at_us": violation.at.saturating_sub(outcome.start),
            "what": violation.what,
        })
    };
    let (verdict, code) = match outcome.verdict {
        Verdict::Kept => ("kept", 0),
        Verdict::Broken(_) => ("broken", 1),
        Verdict::Void(_) => ("void", 2),
    };
    let broken: Vec<_> = broken.iter().map(to_json).collect();
    let result = json!({
        "seed": seed,
        "verdict": verdict,
        "broken": broken,
        "figures": duty_stats(&outcome.history),
    });
    crate::print_line(&result.to_string());
    ExitCode::from(code)
}
