//! Trials from the command line: many processes of the program under a schedule of faults, and the auditor's verdict.

use crate::runs::{line, or_stopped, programs, ranged};
use anyhow::{Context, Result, bail};
use clap::{Args, ValueEnum};
use dunlincleat_trial::audit::{Bounds, Verdict};
use dunlincleat_trial::duty_stats::duty_stats;
use dunlincleat_trial::history::Event;
use dunlincleat_trial::load::LoadSpec;
use dunlincleat_trial::rig::{FleetConfig, Outcome, Progress, Trial, run_trial};
use dunlincleat_trial::schedule::{Participants, Schedule};
use serde_json::json;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

/// Which trial.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Name {
    /// Requests while sidecars die, stand still and are cut off
    Requests,
    /// The same, with a duty that one of them alone may hold
    Duties,
    /// One sidecar from its start to the kill, signalled again and again; --seeds of them, one after another
    Soak,
}

#[derive(Clone, Copy, PartialEq, Eq, ValueEnum)]
enum Format {
    /// For persons
    Text,
    /// For programs
    Json,
}

/// The lease of a trial's fleet, in milliseconds; its duty is due every two of them.
const LEASE_MS: u64 = 500;

/// What is wanted of a trial.
#[derive(Args)]
pub struct Wanted {
    /// Which
    #[arg(value_enum)]
    name: Name,
    /// How many instances of the program, from 1 to 50
    #[arg(long, default_value_t = 3)]
    instances: usize,
    /// How many stand-in servers, from 1 to 50
    #[arg(long, default_value_t = 4)]
    servers: usize,
    /// The seed of all that is drawn
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Of a soak: how many seeds, from 1 to 1000
    #[arg(long, default_value_t = 1)]
    seeds: u64,
    /// For how many seconds, from 4 to 600
    #[arg(long, default_value_t = 20)]
    lasts: u64,
    /// Requests of each instance a second, from 1 to 500
    #[arg(long, default_value_t = 20)]
    rate: u64,
    /// Play this schedule in place of the one that the seed draws
    #[arg(long, value_name = "FILE")]
    schedule: Option<PathBuf>,
    /// Print the schedule as a file that --schedule takes, and play nothing
    #[arg(long)]
    show: bool,
    /// What each time limit may be over, in milliseconds
    #[arg(long, default_value_t = 250)]
    slack_ms: u64,
    /// By how many milliseconds the rig's own timers may be late for its verdict to count
    #[arg(long, default_value_t = 150)]
    late_ms: u64,
    /// Plant a fault: any-fence in the receiver, another in a program that is built with the feature `plant`
    #[arg(long)]
    plant: Option<String>,
    /// How to tell what came of it
    #[arg(long, value_enum, default_value = "text")]
    format: Format,
    /// Where the time line, the verdict and each process's log are kept
    #[arg(long, value_name = "DIR")]
    out: Option<PathBuf>,
    /// The program under test; `dunlincleat` beside this one where it is not told
    #[arg(long)]
    program: Option<PathBuf>,
}

/// Plays a trial; none where it was ended by hand, and all that it started with it.
pub fn play_here(trial: &Trial, look: impl FnMut(&Progress<'_>)) -> Result<Option<Outcome>> {
    or_stopped(run_trial(trial, look))
}

/// Says what came of it: 0 kept, 1 broken, 2 void.
pub fn finish(outcome: &Outcome, seed: u64) -> ExitCode {
    match &outcome.verdict {
        Verdict::Kept => {
            crate::say(&format!("KEPT: every property held, seed {seed}"));
            ExitCode::SUCCESS
        }
        Verdict::Void(late) => {
            crate::say(&format!(
                "VOID: the rig ran {} ms late, so that nothing can be said, seed {seed}",
                late / 1000
            ));
            ExitCode::from(2)
        }
        Verdict::Broken(broken) => {
            for fault in broken.iter().take(20) {
                let at = fault.at.saturating_sub(outcome.start) as f64 / 1e6;
                crate::say(&format!("BROKEN {}: at {at:.3} s, seed {seed}: {}", fault.property, fault.what));
            }
            if let Some(first) = broken.first() {
                crate::say("the last ten events before the first:");
                let before: Vec<&Event> =
                    outcome.history.iter().filter(|event| event.at <= first.at).collect();
                before
                    .iter()
                    .skip(before.len().saturating_sub(10))
                    .for_each(|event| crate::say(&line(event, outcome.start)));
            }
            crate::say(&format!("{} times broken, seed {seed}", broken.len()));
            ExitCode::from(1)
        }
    }
}

/// Runs it: 0 where every property held, 1 where one was broken, 2 where nothing can be said.
pub fn run(wanted: Wanted) -> Result<ExitCode> {
    ranged("instances", wanted.instances as u64, 1, 50)?;
    ranged("servers", wanted.servers as u64, 1, 50)?;
    ranged("lasts", wanted.lasts, 4, 600)?;
    ranged("rate", wanted.rate, 1, 500)?;
    ranged("seeds", wanted.seeds, 1, 1000)?;
    let (lab, program) = programs("dunlincleat", "--program", wanted.program.as_deref())?;
    let bounds = Bounds {
        drain_grace: 1_000_000,
        slack: wanted.slack_ms * 1000,
        duty_recovery: 0,
        timer_lateness: wanted.late_ms * 1000,
    };
    if wanted.name == Name::Soak {
        return crate::soak::run(
            &lab,
            &program,
            wanted.seed..wanted.seed + wanted.seeds,
            bounds,
            wanted.out.as_deref(),
        );
    }
    let names = |of: char, n: usize| -> Vec<String> { (0..n).map(|n| format!("{of}{n}")).collect() };
    let (instances, servers) = (names('n', wanted.instances), names('s', wanted.servers));
    let peers = match wanted.name {
        Name::Requests | Name::Soak => false,
        Name::Duties => true,
    };
    let cast =
        Participants { instances: instances.clone(), servers: servers.clone(), peers, lease_ms: LEASE_MS };
    let schedule = match &wanted.schedule {
        Some(path) => Schedule::read(path, &cast)?,
        None => Schedule::draw(wanted.seed, &cast, wanted.lasts * 1000),
    };
    if wanted.show {
        crate::say(&toml::to_string(&schedule)?);
        return Ok(ExitCode::SUCCESS);
    }
    if let Some(out) = &wanted.out {
        std::fs::create_dir_all(out).with_context(|| out.display().to_string())?;
    }
    let voters = match wanted.instances {
        0..3 if peers => {
            bail!("--instances: {} can't be a fleet; right would be 3 or more", wanted.instances)
        }
        0..5 => 3,
        5..7 => 5,
        _ => 7,
    };
    let fleet = FleetConfig { voters, lease_ms: LEASE_MS, period_ms: 2 * LEASE_MS };
    // Voters that lost their memory are silent for five leases at the most; then a lease, and two periods.
    let duty_recovery = if peers { 10 * LEASE_MS * 1000 } else { 0 };
    let load = LoadSpec {
        requests_per_s: wanted.rate as f64,
        duration: Duration::from_secs(wanted.lasts),
        client_timeout: Duration::from_millis(740),
    };
    let trial = Trial {
        lab,
        program,
        arguments: vec!["serve".to_owned()],
        instances,
        servers,
        seed: wanted.seed,
        load,
        aim: Duration::from_millis(300),
        bounds: Bounds { duty_recovery, ..bounds },
        schedule,
        log_dir: wanted.out.clone(),
        fleet: peers.then_some(fleet),
        injected_fault: wanted.plant.clone(),
    };
    let text = wanted.format == Format::Text;
    if text {
        trial.schedule.steps.iter().for_each(|step| {
            crate::say(&format!("{:8.3} s  {}", step.at_ms as f64 / 1e3, step.fault));
        });
        crate::say("  s  asked served refused failed");
    }
    let look = |look: &Progress<'_>| {
        let Progress { second, requests: done, faults: did, .. } = look;
        let did: Vec<String> = did.iter().map(|fault| format!("  <- {fault}")).collect();
        if text {
            let (asked, served, refused, failed) = (done.sent, done.served, done.refused, done.failed);
            crate::say(&format!("{second:3} {asked:6} {served:6} {refused:7} {failed:6}{}", did.concat()));
        }
    };
    let Some(outcome) = play_here(&trial, look)? else { return Ok(ExitCode::from(130)) };
    if let Some(out) = &wanted.out {
        let lines: Vec<String> = outcome.history.iter().map(|event| line(event, outcome.start)).collect();
        std::fs::write(out.join("timeline.txt"), lines.join("\n") + "\n")?;
        let kept: Result<Vec<String>, _> = outcome.history.iter().map(serde_json::to_string).collect();
        std::fs::write(out.join("history.jsonl"), kept?.join("\n") + "\n")?;
        let verdict = match &outcome.verdict {
            Verdict::Kept => "kept".to_owned(),
            Verdict::Broken(broken) => format!("broken {} times", broken.len()),
            Verdict::Void(late) => format!("void: the rig ran {} ms late", late / 1000),
        };
        let title = format!("trial of {} instances, seed {}", wanted.instances, wanted.seed);
        let page = dunlincleat_trial::page::page(&title, &verdict, &outcome.history, outcome.start);
        std::fs::write(out.join("page.html"), page)?;
        std::fs::write(out.join("schedule.toml"), toml::to_string(&trial.schedule)?)?;
    }
    if text {
        if peers {
            let found = duty_stats(&outcome.history);
            let takeovers: Vec<String> =
                found.takeovers_ms.iter().map(|(how, ms)| format!("{how:?} {ms:.0?} ms")).collect();
            crate::say(&format!(
                "duty: {} effects, {} refused for their fence, {} grants, held {:.3} of the time; next holder after {}",
                found.effects,
                found.fenced,
                found.grants,
                found.held_fraction,
                takeovers.join(", ")
            ));
        }
        return Ok(finish(&outcome, wanted.seed));
    }
    let broken = match &outcome.verdict {
        Verdict::Broken(broken) => broken.as_slice(),
        Verdict::Kept | Verdict::Void(_) => &[],
    };
    let told = |b: &dunlincleat_trial::audit::Violation| json!({"property": b.property.to_string(), "at_us": b.at.saturating_sub(outcome.start), "what": b.what});
    let (verdict, code) = match outcome.verdict {
        Verdict::Kept => ("kept", 0),
        Verdict::Broken(_) => ("broken", 1),
        Verdict::Void(_) => ("void", 2),
    };
    let broken: Vec<_> = broken.iter().map(told).collect();
    crate::say(&json!({"seed": wanted.seed, "verdict": verdict, "broken": broken, "figures": duty_stats(&outcome.history)}).to_string());
    Ok(ExitCode::from(code))
}
