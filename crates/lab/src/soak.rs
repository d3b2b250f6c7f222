//! The soak from the command line: one line a seed, and what was broken.

use anyhow::{Context, Result};
use dunlincleat_trial::audit::{Bounds, Verdict};
use dunlincleat_trial::soak::{Soak, SoakOutcome};
use std::ops::Range;
use std::path::Path;
use std::process::ExitCode;

/// Runs the soak of each seed: 0 where every property held, 1 where one was broken, 2 where of some seed nothing can be said.
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
    let (mut broken, mut void) = (0, 0);
    for seed in seeds {
        let log = out.map(|out| out.join(format!("soak-{seed}.log")));
        let soak = Soak { lab: lab.to_owned(), program: program.to_owned(), seed, bounds, log };
        let Some(soaked) = crate::runs::or_stopped(soak.run())? else { return Ok(ExitCode::from(130)) };
        tell(&soaked, seed);
        match &soaked.verdict {
            Verdict::Kept => {}
            Verdict::Broken(_) => broken += 1,
            Verdict::Void(_) => void += 1,
        }
        if let Some(out) = out {
            let lines: Vec<String> =
                soaked.history.iter().map(|event| crate::runs::line(event, soaked.start)).collect();
            std::fs::write(out.join(format!("soak-{seed}.txt")), lines.join("\n") + "\n")?;
        }
    }
    crate::say(&format!("{broken} seeds broken, {void} void"));
    Ok(ExitCode::from(if broken > 0 {
        1
    } else if void > 0 {
        2
    } else {
        0
    }))
}

fn tell(soaked: &SoakOutcome, seed: u64) {
    let SoakOutcome { plan, verdict, counts, start, .. } = soaked;
    let mut drawn = vec![format!("deadline {} ms", plan.max_deadline.as_millis())];
    let ills = [("crowd", plan.crowd), ("discovery down", plan.discovery_down)];
    drawn.extend(ills.into_iter().filter(|(_, is)| *is).map(|(ill, _)| ill.to_owned()));
    let (hung, slow, signals) = (plan.hung.len(), plan.slow.len(), plan.signals.len());
    drawn.push(format!("{hung} hung, {slow} slow, {signals} signals"));
    let said = match verdict {
        Verdict::Kept => "KEPT".to_owned(),
        Verdict::Void(late) => format!("VOID, the rig ran {} ms late", late / 1000),
        Verdict::Broken(broken) => format!("BROKEN {} times", broken.len()),
    };
    let audit = format!(
        "{} asked, {} served, {} refused, {} failed, {} crossed a close, {} left",
        counts.asked, counts.served, counts.refused, counts.failed, counts.crossed, counts.left
    );
    crate::say(&format!("seed {seed}: {said}: {audit} ({})", drawn.join(", ")));
    if let Verdict::Broken(broken) = verdict {
        for fault in broken.iter().take(10) {
            let at = fault.at.saturating_sub(*start) as f64 / 1e6;
            crate::say(&format!("  BROKEN {}: at {at:.3} s: {}", fault.property, fault.what));
        }
    }
}
