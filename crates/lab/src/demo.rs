//! A first look: one of the trial's schedules. The real sidecar between a stand-in application, four stand-in servers and a
//! stand-in list, all on loopback; one server stalls, one is drained; what happened is told by second, and the rules are
//! audited from outside.

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

/// What is wanted of the demo.
#[derive(Args)]
pub struct DemoArgs {
    /// For how many seconds, from 4 to 600
    #[arg(long = "lasts", value_name = "LASTS", default_value_t = 20)]
    duration_s: u64,
    /// Requests a second, from 1 to 2000
    #[arg(long, default_value_t = 200)]
    rate: u64,
    /// The sidecar's program; that beside this one where it is not told
    #[arg(long)]
    sidecar: Option<PathBuf>,
    /// What each time limit may be over, in milliseconds: more than the rules' 50 where the machine is busy
    #[arg(long, default_value_t = 50)]
    slack_ms: u64,
    /// The seed of arrivals and of the servers' times
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

/// Runs it; 1 where a rule was broken, 130 where it was ended by hand.
pub fn run(args: DemoArgs) -> Result<ExitCode> {
    if !(4..=600).contains(&args.duration_s) {
        bail!("--lasts: {} is not from 4 to 600 seconds", args.duration_s);
    }
    if !(1..=2000).contains(&args.rate) {
        bail!("--rate: {} is not from 1 to 2000 requests a second", args.rate);
    }
    let (lab, program) =
        crate::processes::locate_programs("dunlincleat-sidecar", "--sidecar", args.sidecar.as_deref())?;
    // What goes wrong: a stall for a fifth of the time, then a drain, then that server is gone.
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
