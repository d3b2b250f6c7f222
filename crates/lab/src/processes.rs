//! What commands share that start processes: which programs, how a run ends by hand, and how its time line is told.

use anyhow::{Context, Result, bail};
use dunlincleat_trial::history::{Event, EventKind};
use std::path::{Path, PathBuf};
use tokio::signal::unix::{SignalKind, signal};

/// This program, and the one under test.
pub fn locate_programs(name: &str, flag: &str, given: Option<&Path>) -> Result<(PathBuf, PathBuf)> {
    let lab = std::env::current_exe()?;
    let program = given.map_or_else(|| lab.with_file_name(name), Path::to_path_buf);
    if !program.is_file() {
        bail!(
            "{flag}: {} is no program; `cargo build --release` builds it beside this one",
            program.display()
        );
    }
    Ok((lab, program))
}

/// Works to the end; none where that was ended by hand, and all that it started with it.
pub fn run_until_signal<T>(work: impl Future<Output = Result<T>>) -> Result<Option<T>> {
    actix_rt::System::new().block_on(async move {
        tokio::select! {
            result = work => result.map(Some),
            signal = termination_signal() => {
                signal.context("signals")?;
                crate::print_line("stopped by hand");
                Ok(None)
            }
        }
    })
}

/// The first of the signals that end a program: so that what was started is ended in order.
pub async fn termination_signal() -> std::io::Result<()> {
    let mut signals = [SignalKind::interrupt(), SignalKind::terminate(), SignalKind::hangup()].map(signal);
    let [Ok(interrupt), Ok(terminate), Ok(hangup)] = &mut signals else {
        return Err(std::io::Error::other("they can't be waited for"));
    };
    tokio::select! {
        _ = interrupt.recv() => {}
        _ = terminate.recv() => {}
        _ = hangup.recv() => {}
    }
    Ok(())
}

/// One line of a time line.
pub fn timeline_line(event: &Event, start: u64) -> String {
    let elapsed_us = event.at as f64 - start as f64;
    let what = match &event.what {
        EventKind::FaultInjected { fault } => fault.to_string(),
        EventKind::Up { process, pid } => format!("{process} serves, process {pid}"),
        EventKind::Down { process, how, expected } => {
            format!("{process} {how}{}", if *expected { "" } else { ", by itself" })
        }
        other => serde_json::to_string(other).unwrap_or_default(),
    };
    format!("{:8.3} s  {what}", elapsed_us / 1e6)
}

/// Proves that a flag's value is within its range.
pub fn check_range(flag: &str, value: u64, min: u64, max: u64) -> Result<()> {
    if !(min..=max).contains(&value) {
        bail!("--{flag}: {value} is not from {min} to {max}");
    }
    Ok(())
}
