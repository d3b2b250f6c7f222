//! The `trial soak` command: prints one line per seed, followed by its violations.

use anyhow::{Context, Result};
use dunlincleat_trial::audit::{Bounds, Verdict};
use dunlincleat_trial::soak::{Soak, SoakOutcome};
use std::ops::Range;
use std::path::Path;
use std::process::ExitCode;

/// Runs the soak of each seed and returns the exit code: 0 if every property held, 1 if one was broken, 2 if none was broken
/// but some seed is void, 130 if a signal interrupted it.
pub fn run(
    lab: &Path,
    program: &Path,
    seeds: Range<u64>,
    bounds: Bounds,
    out: Option<&Path>,
) -> Result<ExitCode> {
    if let Some(out) = out {
        std::fs::create_dir_all(out).with_context(|| out.display().to_string())?;
    }
    let (mut broken_seeds, mut void_seeds) = (0, 0);
    for seed in seeds {
        let log = out.map(|out| out.join(format!("soak-{seed}.log")));
        let soak = Soak { lab: lab.to_owned(), program: program.to_owned(), seed, bounds, log };
        let Some(outcome) = crate::processes::run_until_signal(soak.run())? else {
            return Ok(ExitCode::from(130));
        };
        print_outcome(&outcome, seed);
        match &outcome.verdict {
            Verdict::Kept => {}
            Verdict::Broken(_) => broken_seeds += 1,
            Verdict::Void(_) => void_seeds += 1,
        }
        if let Some(out) = out {
            let lines: Vec<String> = outcome
                .history
                .iter()
                .map(|event| crate::processes::timeline_line(event, outcome.start))
                .collect();
            std::fs::write(out.join(format!("soak-{seed}.txt")), lines.join("\n") + "\n")?;
        }
    }
    crate::print_line(&format!("{broken_seeds} seeds broken, {void_seeds} void"));
    Ok(ExitCode::from(if broken_seeds > 0 {
        1
    } else if void_seeds > 0 {
        2
    } else {
        0
    }))
}

/// Prints the verdict, counts and drawn conditions of a seed, and up to ten violations.
fn print_outcome(outcome: &SoakOutcome, seed: u64) {
    let SoakOutcome { plan, verdict, counts, start, .. } = outcome;
    let mut conditions = vec![format!("deadline {} ms", plan.max_deadline.as_millis())];
    let drawn_faults = [("crowd", plan.crowd), ("discovery down", plan.discovery_down)];
    conditions
        .extend(drawn_faults.into_iter().filter(|(_, active)| *active).map(|(name, _)| name.to_owned()));
    let (hung, slow, signals) = (plan.hung.len(), plan.slow.len(), plan.signals.len());
    conditions.push(format!("{hung} hung, {slow} slow, {signals} signals"));
    let verdict_text = match verdict {
        Verdict::Kept => "KEPT".to_owned(),
        Verdict::Void(late) => format!("VOID, the rig ran {} ms late", late / 1000),
        Verdict::Broken(broken) => format!("BROKEN {} times", broken.len()),
    };
    let counts_text = format!(
        "{} asked, {} served, {} refused, {} failed, {} crossed a close, {} left",
        counts.asked, counts.served, counts.refused, counts.failed, counts.crossed, counts.left
    );
    crate::print_line(&format!("seed {seed}: {verdict_text}: {counts_text} ({})", conditions.join(", ")));
    if let Verdict::Broken(broken) = verdict {
        for violation in broken.iter().take(10) {
            let at = violation.at.saturating_sub(*start) as f64 / 1e6;
            crate::print_line(&format!("  BROKEN {}: at {at:.3} s: {}", violation.property, violation.what));
        }
    }
}
