//! The demo: a trial with a fixed schedule. It runs the real sidecar on loopback between a stub application, four stub
//! servers and a stub discovery service; one server stalls and another drains. Figures are printed each second, and the
//! recorded history is audited against the rules.

use crate::trial::{report_verdict, run_in_foreground};
use anyhow::{Result, bail};
use clap::Args;
use dunlincleat_trial::audit::{Bounds, Verdict};
use dunlincleat_trial::history::EventKind;
use dunlincleat_trial::load::LoadSpec;
use dunlincleat_trial::rig::{Progress, Trial};
use dunlincleat_trial::schedule::{Fault, Schedule, Step};
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

/// Options of the demo.
#[derive(Args)]
pub struct DemoArgs {
    /// Duration in seconds, from 4 to 600
    #[arg(long = "lasts", value_name = "LASTS", default_value_t = 20)]
    duration_s: u64,
    /// Requests per second, from 1 to 2000
    #[arg(long, default_value_t = 200)]
    rate: u64,
    /// The sidecar binary; by default `dunlincleat-sidecar` in the directory of this one
    #[arg(long)]
    sidecar: Option<PathBuf>,
    /// Slack on each time limit, in milliseconds: the rules' 50, or more on a busy machine
    #[arg(long, default_value_t = 50)]
    slack_ms: u64,
    /// Seed of the arrivals and of the servers' service times
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

/// Runs the demo and returns its exit code: 1 if a rule was broken, 130 if it was interrupted by a signal.
pub fn run(args: DemoArgs) -> Result<ExitCode> {
    if !(4..=600).contains(&args.duration_s) {
        bail!("--lasts: {} is not from 4 to 600 seconds", args.duration_s);
    }
    if !(1..=2000).contains(&args.rate) {
        bail!("--rate: {} is not from 1 to 2000 requests a second", args.rate);
    }
    let (lab, program) =
        crate::processes::locate_programs("dunlincleat-sidecar", "--sidecar", args.sidecar.as_deref())?;
    // One server stalls for a fifth of the run, at least 1 s; later another drains and is removed from the list 2 s after.
    let step = |at_s: u64, fault| Step { at_ms: at_s * 1000, fault };
    let (stall_s, drain_s) = (args.duration_s * 3 / 10, args.duration_s * 6 / 10);
    let (east, south) = ("east".to_owned(), "south".to_owned());
    let mut steps = vec![
        step(stall_s, Fault::Stop { process: east.clone() }),
        step(stall_s + (args.duration_s / 5).max(1), Fault::Continue { process: east }),
        step(drain_s, Fault::Drain { server: south.clone() }),
        step(drain_s + 2, Fault::Remove { server: south }),
    ];
    steps.sort_by_key(|step| step.at_ms);
    let trial = Trial {
        lab,
        program,
        arguments: Vec::new(),
        instances: vec!["demo".to_owned()],
        servers: ["north", "east", "south", "west"].map(str::to_owned).to_vec(),
        seed: args.seed,
        load: LoadSpec {
            requests_per_s: args.rate as f64,
            duration: Duration::from_secs(args.duration_s),
            client_timeout: Duration::from_millis(740),
        },
        aim: Duration::from_millis(300),
        bounds: Bounds {
            drain_grace: 1_000_000,
            slack: args.slack_ms * 1000,
            duty_recovery: 0,
            timer_lateness: 5_000_000,
        },
        schedule: Schedule { steps },
        log_dir: None,
        fleet: None,
        injected_fault: None,
    };
    crate::print_line(&format!(
        "one sidecar, four servers, {} requests a second for {} s",
        args.rate, args.duration_s
    ));
    crate::print_line("  s  asked served refused failed   p50 ms   p99 ms  requests at each server");
    let Some(outcome) = run_in_foreground(&trial, print_second)? else { return Ok(ExitCode::from(130)) };
    let sent =
        outcome.history.iter().filter(|event| matches!(event.what, EventKind::RequestSent { .. })).count();
    if outcome.verdict == Verdict::Kept {
        crate::print_line(&format!(
            "rules kept for {sent} requests: one answer in time, no effect twice, drains kept"
        ));
        return Ok(ExitCode::SUCCESS);
    }
    Ok(report_verdict(&outcome, args.seed))
}

/// Prints the figures of one second as a row.
fn print_second(progress: &Progress<'_>) {
    let Progress { second, requests, starts_per_server, faults } = progress;
    let starts: Vec<String> = starts_per_server.iter().map(|(name, n)| format!("{name} {n}")).collect();
    let faults: Vec<String> = faults.iter().map(|fault| format!("  <- {fault}")).collect();
    let ms = |quantile: f64| requests.latencies_us.value_at_quantile(quantile) as f64 / 1e3;
    crate::print_line(&format!(
        "{second:3} {:6} {:6} {:7} {:6} {:8.1} {:8.1}  {}{}",
        requests.sent,
        requests.served,
        requests.refused,
        requests.failed,
        ms(0.5),
        ms(0.99),
        starts.join(", "),
        faults.concat()
    ));
    if requests.unsent > 0 {
        crate::print_line(&format!("    {} were not sent: too many were out", requests.unsent));
    }
}
