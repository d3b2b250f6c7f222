//! The soak: one sidecar from its start to the earliest documented kill, while clients keep using their open connections and
//! signals arrive in series. `dunlincleat-lab trial soak --seed N --seeds M` runs more seeds by hand.

mod common;

use common::{build_program, children, lab, run_trial, wait_for_exit};
use std::process::Stdio;
use std::time::Duration;

/// Runs the soaks of these seeds one after another and checks that each verdict is KEPT.
fn assert_kept(first_seed: u64, seeds: u64) {
    let out = run_trial(&["trial", "soak", "--seed", &first_seed.to_string(), "--seeds", &seeds.to_string()]);
    let text = String::from_utf8_lossy(&out.stdout);
    assert_eq!(out.status.code(), Some(0), "{text}{}", String::from_utf8_lossy(&out.stderr));
    assert_eq!(text.matches(": KEPT: ").count() as u64, seeds, "{text}");
}

/// No request is lost, none runs twice or starts after its client has left, and the process exits by itself, in order and in
/// time. The eight plans include crowds of idle clients, hung and slow servers, and discovery outages.
#[test]
fn no_request_is_lost_between_start_and_kill() {
    std::thread::scope(|scope| {
        scope.spawn(|| assert_kept(1, 4));
        assert_kept(5, 4);
    });
}

/// A killed rig leaves no process running: neither the sidecar, nor the four servers, some of which are stopped, nor the list.
#[test]
fn killed_soak_leaves_no_process_behind() {
    build_program("dunlincleat");
    // Seed 3 draws hung servers.
    let mut rig = lab().args(["trial", "soak", "--seed", "3"]).stdout(Stdio::null()).spawn().unwrap();
    let started = children(&rig, 1 + 4 + 1, Duration::from_secs(20));
    rig.kill().unwrap();
    rig.wait().unwrap();
    wait_for_exit(&started, Duration::from_secs(20));
}
