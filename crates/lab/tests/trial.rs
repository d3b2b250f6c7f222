//! Trials: several processes of the program under process and network faults, audited from outside.

mod common;

use common::{build_program, lab, run_trial, wait_for_exit};
use std::io::{BufRead, BufReader};
use std::process::Stdio;
use std::time::Duration;

/// Requests go through three sidecars; one is killed and one is told to terminate while a server is stopped and links are
/// cut. The schedule is drawn from the seed, so the faults are the same in each run.
#[test]
fn properties_hold_while_sidecars_crash_and_links_are_cut() {
    let out = run_trial(&["trial", "requests", "--instances", "3", "--seed", "1", "--lasts", "10"]);
    let text = String::from_utf8_lossy(&out.stdout);
    assert_eq!(out.status.code(), Some(0), "{text}{}", String::from_utf8_lossy(&out.stderr));
    assert!(text.contains("is killed") && text.contains("is cut") && text.contains("KEPT"), "{text}");
}

/// Regression test: a killed rig used to leave its sidecar running.
#[test]
fn killed_rig_leaves_no_process_behind() {
    build_program("dunlincleat");
    let mut rig = lab()
        .args(["trial", "requests", "--instances", "3", "--lasts", "60"])
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    let lines = BufReader::new(rig.stdout.take().unwrap()).lines();
    let mut seconds = lines.map_while(Result::ok).skip_while(|line| !line.contains("asked served"));
    assert!(seconds.nth(1).is_some(), "the trial did not start");
    let children = std::fs::read_to_string(format!("/proc/{0}/task/{0}/children", rig.id())).unwrap();
    let children: Vec<String> = children.split_whitespace().map(str::to_owned).collect();
    assert_eq!(children.len(), 3 + 4 + 1, "instances, servers, the list");
    rig.kill().unwrap();
    rig.wait().unwrap();
    wait_for_exit(&children, Duration::from_secs(20));
}

/// Only one of five instances may hold the duty, while holders and voters are killed and lose their state, are stopped for longer
/// than the lease, or are cut off in one direction. The effect is carried out once per period with increasing fences, and
/// resumes once the faults are over.
#[test]
fn duty_takes_effect_once_per_period_under_faults() {
    let out =
        run_trial(&["trial", "duties", "--instances", "5", "--seed", "1", "--lasts", "20", "--rate", "10"]);
    let text = String::from_utf8_lossy(&out.stdout);
    assert_eq!(out.status.code(), Some(0), "{text}{}", String::from_utf8_lossy(&out.stderr));
    let effects =
        text.lines().find_map(|line| line.strip_prefix("duty: ")?.split(' ').next()?.parse::<u64>().ok());
    assert!(effects.is_some_and(|n| n >= 5), "{text}");
}

/// A receiver that accepts any fence carries out the delayed effect of a stopped holder after that of the next holder.
#[test]
fn receiver_that_accepts_any_fence_is_detected() {
    let folder = tempfile::tempdir().unwrap();
    let case = folder.path().join("case.toml");
    // The holder sends an effect within the 1.2 s before it is stopped, and the effect arrives 2.5 s late. By then the next holder,
    // which takes over within 0.8 s, has carried out its own. Each instance is stopped in turn, so one of them is the holder.
    let mut schedule = String::new();
    for n in 0..3 {
        let begin = n * 5000 + 2000;
        let step = |at: u64, what: &str| format!("[[step]]\nat_ms = {at}\ndo = {{ {what} }}\n");
        let link =
            |impairment: &str| format!("way = {{ from = \"n{n}\", to = \"s0\", ill = {{ {impairment} }} }}");
        schedule += &step(begin, &link("delay_ms = 2500"));
        schedule += &step(begin + 1200, &format!("stop = {{ who = \"n{n}\" }}"));
        schedule += &step(begin + 3200, &format!("go = {{ who = \"n{n}\" }}"));
        schedule += &step(begin + 4500, &link(""));
    }
    std::fs::write(&case, schedule).unwrap();
    let case = case.display().to_string();
    let common = ["trial", "duties", "--instances", "3", "--lasts", "18", "--rate", "5", "--schedule", &case];
    let faulty: Vec<&str> = common.iter().copied().chain(["--plant", "any-fence"]).collect();
    // The two trials are independent and run in parallel.
    let (kept, found) = std::thread::scope(|scope| {
        let found = scope.spawn(|| run_trial(&faulty));
        (run_trial(&common), found.join().unwrap())
    });
    let text = String::from_utf8_lossy(&found.stdout);
    assert!(text.contains("BROKEN fences rise"), "{text}");
    assert_eq!(kept.status.code(), Some(0), "{}", String::from_utf8_lossy(&kept.stdout));
}
