//! What commands share that start processes: which programs, how a run ends by hand, and how its time line is told.

use anyhow::{Context, Result, bail};
use dunlincleat_trial::history::{Event, EventKind};
use std::path::{Path, PathBuf};
use tokio::signal::unix::{SignalKind, signal};

/// This program, and the one under test.
pub fn programs(name: &str, flag: &str, told: Option<&Path>) -> Result<(PathBuf, PathBuf)> {
    let lab = std::env::current_exe()?;
    let program = told.map_or_else(|| lab.with_file_name(name), Path::to_path_buf);
    if !program.is_file() {
        bail!(
            "{flag}: {} is no program; `cargo build --release` builds it beside this one",
            program.display()
        );
    }
    Ok((lab, program))
}

/// Works to the end; none where that was ended by hand, and all that it started with it.
pub fn or_stopped<T>(work: impl Future<Output = Result<T>>) -> Result<Option<T>> {
    actix_rt::System::new().block_on(async move {
        tokio::select! {
            done = work => done.map(Some),
            stopped = told_to_end() => {
                stopped.context("signals")?;
                crate::say("stopped by hand");
                Ok(None)
            }
        }
    })
}

/// The first of the signals that end a program: so that what was started is ended in order.
pub async fn told_to_end() -> std::io::Result<()> {
    let mut end = [SignalKind::interrupt(), SignalKind::terminate(), SignalKind::hangup()].map(signal);
    let [Ok(interrupt), Ok(terminate), Ok(hangup)] = &mut end else {
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
pub fn line(event: &Event, start: u64) -> String {
    let at = event.at as f64 - start as f64;
    let what = match &event.what {
        EventKind::FaultInjected { fault } => fault.to_string(),
        EventKind::Up { process, pid } => format!("{process} serves, process {pid}"),
        EventKind::Down { process, how, expected: told } => {
            format!("{process} {how}{}", if *told { "" } else { ", by itself" })
        }
        other => serde_json::to_string(other).unwrap_or_default(),
    };
    format!("{:8.3} s  {what}", at / 1e6)
}

/// Proves that a flag's value is within its range.
pub fn ranged(flag: &str, value: u64, least: u64, most: u64) -> Result<()> {
    if !(least..=most).contains(&value) {
        bail!("--{flag}: {value} is not from {least} to {most}");
    }
    Ok(())
}
