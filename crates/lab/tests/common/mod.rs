//! Helpers for tests with real processes: building programs, running the lab, and tracking the processes that it starts.

#![allow(dead_code)]

use std::path::PathBuf;
use std::process::{Child, Command, Output};
use std::time::{Duration, Instant};

/// Builds the program of this name in the directory of the lab's binary and returns its path.
pub fn build_program(name: &str) -> PathBuf {
    let program = PathBuf::from(env!("CARGO_BIN_EXE_dunlincleat-lab")).with_file_name(name);
    let build = ["build", "--locked", "-p", "dunlincleat-sidecar"];
    let built = Command::new(env!("CARGO")).args(build).status().unwrap();
    assert!(built.success() && program.is_file(), "{}", program.display());
    program
}

/// Returns a command that runs the lab's binary.
pub fn lab() -> Command {
    Command::new(env!("CARGO_BIN_EXE_dunlincleat-lab"))
}

/// Runs a trial. A void result, on a machine that is too busy, is inconclusive, so the trial is repeated up to twice.
pub fn run_trial(arguments: &[&str]) -> Output {
    build_program("dunlincleat");
    let run = || lab().args(arguments).output().unwrap();
    let mut out = run();
    for _ in 0..2 {
        if out.status.code() == Some(2) && String::from_utf8_lossy(&out.stdout).contains("VOID") {
            out = run();
        }
    }
    out
}

/// Waits until a run has exactly `wanted` child processes and returns their ids.
pub fn children(run: &Child, wanted: usize, within: Duration) -> Vec<String> {
    let deadline = Instant::now() + within;
    loop {
        let path = format!("/proc/{0}/task/{0}/children", run.id());
        let found = std::fs::read_to_string(path).unwrap_or_default();
        let found: Vec<String> = found.split_whitespace().map(str::to_owned).collect();
        if found.len() == wanted {
            return found;
        }
        assert!(Instant::now() < deadline, "{} of {wanted} processes", found.len());
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// Whether the process exists and is not a zombie.
fn is_running(pid: &str) -> bool {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    stat.rsplit(')').next().is_some_and(|rest| !rest.is_empty() && !rest.trim().starts_with('Z'))
}

/// Waits until none of the processes is running.
pub fn wait_for_exit(children: &[String], within: Duration) {
    let deadline = Instant::now() + within;
    while children.iter().any(|pid| is_running(pid)) {
        let running: Vec<&String> = children.iter().filter(|pid| is_running(pid)).collect();
        assert!(Instant::now() < deadline, "{running:?} still run");
        std::thread::sleep(Duration::from_millis(5));
    }
}
