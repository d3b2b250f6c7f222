//! Shared by commands that start processes: locating programs, stopping on a signal, and formatting timelines.

use anyhow::{Context, Result, bail};
use dunlincleat_trial::history::{Event, EventKind};
use std::path::{Path, PathBuf};
use tokio::signal::unix::{SignalKind, signal};

/// Returns the paths of this program and of the program under test, which is `given` or the file `name` in the same
/// directory.
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

/// Runs the work to completion; returns `None` if a signal interrupted it. Dropping the work terminates the processes that
/// it started.
pub fn run_until_signal<T>(work: impl Future<Output = Result<T>>) -> Result<Option<T>> {
    actix_rt::System::new().block_on(async move {
        tokio::select! {
            result = work => result.map(Some),
            signal = termination_signal() => {
                signal.context("waiting for termination signals")?;
                crate::print_line("stopped by hand");
                Ok(None)
            }
        }
    })
}

/// Waits for the first SIGINT, SIGTERM or SIGHUP. Handling them lets started processes be terminated in an orderly way.
pub async fn termination_signal() -> std::io::Result<()> {
    let mut signals = [SignalKind::interrupt(), SignalKind::terminate(), SignalKind::hangup()].map(signal);
    let [Ok(interrupt), Ok(terminate), Ok(hangup)] = &mut signals else {
        return Err(std::io::Error::other("signal handlers could not be installed"));
    };
    tokio::select! {
        _ = interrupt.recv() => {}
        _ = terminate.recv() => {}
        _ = hangup.recv() => {}
    }
    Ok(())
}

/// Formats an event as a line of the timeline; `start` and event times are microseconds.
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

/// Checks that a flag's value is within its inclusive range.
pub fn check_range(flag: &str, value: u64, min: u64, max: u64) -> Result<()> {
    if !(min..=max).contains(&value) {
        bail!("--{flag}: {value} is not from {min} to {max}");
    }
    Ok(())
}
