//! Trials by processes: several processes of the program, faults between and in them, judged from outside.

mod common;

use common::{build_program, lab, run_trial, wait_for_exit};
use std::io::{BufRead, BufReader};
use std::process::Stdio;
use std::time::Duration;

/// Requests through three sidecars of which one is killed and one told to end while a server stands still and ways are cut:
/// the schedule is the seed's, so the same faults come each time.
#[test]
fn properties_hold_while_sidecars_crash_and_links_are_cut() {
    let out = run_trial(&["trial", "requests", "--instances", "3", "--seed", "1", "--lasts", "10"]);
    let text = String::from_utf8_lossy(&out.stdout);
    assert_eq!(out.status.code(), Some(0), "{text}{}", String::from_utf8_lossy(&out.stderr));
    assert!(text.contains("is killed") && text.contains("is cut") && text.contains("KEPT"), "{text}");
}

/// A rig that was killed left its sidecar running.
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
    assert!(seconds.nth(1).is_some(), "it plays");
    let children = std::fs::read_to_string(format!("/proc/{0}/task/{0}/children", rig.id())).unwrap();
    let children: Vec<String> = children.split_whitespace().map(str::to_owned).collect();
    assert_eq!(children.len(), 3 + 4 + 1, "instances, servers, the list");
    rig.kill().unwrap();
    rig.wait().unwrap();
    wait_for_exit(&children, Duration::from_secs(20));
}

/// A duty that one of five alone may hold, while holders and voters die with their memory, stand still across the lease and are
/// cut off one way: its effect is carried out once a period, under fences that rise, and goes on when all is mended.
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

/// A receiver that takes any fence lets a holder that stood still with its effect in hand come after the next one.
#[test]
fn receiver_that_accepts_any_fence_is_detected() {
    let folder = tempfile::tempdir().unwrap();
    let case = folder.path().join("case.toml");
    // Whoever holds it sends an effect within the 1.2 s before it stands still, which comes 2.5 s late; by then the next holder, there
    // within 0.8 s, has had its own. Each is hit in turn, so the holder is.
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
    // Side by side: neither says anything of the other.
    let (kept, found) = std::thread::scope(|scope| {
        let found = scope.spawn(|| run_trial(&faulty));
        (run_trial(&common), found.join().unwrap())
    });
    let text = String::from_utf8_lossy(&found.stdout);
    assert!(text.contains("BROKEN fences rise"), "{text}");
    assert_eq!(kept.status.code(), Some(0), "{}", String::from_utf8_lossy(&kept.stdout));
}
