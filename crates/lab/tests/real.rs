//! `added` with real sidecars beside stub servers, judged by counts only so that the load of the machine does not matter.

mod common;

use common::{build_program, children, wait_for_exit};
use serde_json::Value;
use std::path::{Path, PathBuf};
use std::process::{Command, Output, Stdio};
use std::sync::LazyLock;
use std::time::Duration;

/// The sidecar's program, built once beside the lab.
static SIDECAR: LazyLock<PathBuf> = LazyLock::new(|| build_program("dunlincleat-sidecar"));
/// Time limit for processes to start and to exit.
const TIMEOUT: Duration = Duration::from_secs(20);

fn lab() -> Command {
    LazyLock::force(&SIDECAR);
    common::lab()
}

fn added(out: &Path, arguments: &[&str]) -> Output {
    lab().arg("added").args(arguments).arg("--out").arg(out).output().unwrap()
}

fn points(out: &Path) -> Vec<Value> {
    let result: Value = serde_json::from_str(&std::fs::read_to_string(out).unwrap()).unwrap();
    assert_eq!((&result["v"], &result["kind"]), (&Value::from(1), &Value::from("added")));
    result["points"].as_array().unwrap().clone()
}

fn number(point: &Value, key: &str) -> u64 {
    point[key].as_u64().unwrap_or_else(|| panic!("{key} of {point}"))
}

/// Every call has one response, each sidecar receives every server (the run fails otherwise), and all started processes
/// exit with the run.
#[test]
fn each_call_has_one_response_and_no_process_is_left() {
    let folder = tempfile::tempdir().unwrap();
    let out = folder.path().join("added.json");
    let run = lab()
        .args(["added", "--known", "60,200", "--real", "2", "--rate", "50", "--lasts", "2", "--rounds", "1"])
        .args(["--interest", "--counts-only", "--out"])
        .arg(&out)
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    let children = children(&run, 2 + 2, TIMEOUT);
    let done = run.wait_with_output().unwrap();
    wait_for_exit(&children, TIMEOUT);
    let text = String::from_utf8_lossy(&done.stdout);
    assert_eq!(done.status.code(), Some(0), "{text}{}", String::from_utf8_lossy(&done.stderr));
    let points = points(&out);
    assert_eq!(points.iter().map(|point| number(point, "known")).collect::<Vec<_>>(), [60, 200]);
    for point in &points {
        assert_eq!(point["verdict"], "kept", "{point}");
        assert_eq!(number(point, "lost"), 0, "{point}");
        // The same seed gives the same arrivals for any number of servers: about 50 per second of each of the two, for 2 s.
        let answers = |point: &Value| number(point, "answered") + number(point, "refused");
        assert!(answers(point) > 100 && answers(point) == answers(&points[0]), "{point}");
        assert!(number(point, "answered") > 0 && number(point, "rss_bytes") > 1 << 20, "{point}");
        assert!(point["cpu_us_a_call"].as_f64().unwrap() > 0.0 && point["interest"] == true, "{point}");
    }
}

/// Without a sidecar there is nothing to compare direct calls with, so the verdict must not be `kept`.
#[test]
fn run_without_a_sidecar_is_void() {
    let folder = tempfile::tempdir().unwrap();
    let out = folder.path().join("added.json");
    let arguments =
        ["--known", "60", "--real", "0", "--rate", "50", "--lasts", "2", "--rounds", "1", "--counts-only"];
    let done = added(&out, &arguments);
    assert_eq!(done.status.code(), Some(2), "{}", String::from_utf8_lossy(&done.stderr));
    let points = points(&out);
    assert_eq!(points[0]["verdict"], "void");
    assert!(points[0]["why"][0].as_str().unwrap().contains("no call was served through a sidecar"));
    assert!(points[0]["direct_p50_us"].as_f64().unwrap() > 0.0, "direct calls were made");
}

/// The sidecars and stubs of a killed run exit with it.
#[test]
fn killed_run_leaves_no_processes() {
    let folder = tempfile::tempdir().unwrap();
    let mut run = lab()
        .args(["added", "--known", "6", "--real", "3", "--lasts", "60", "--out"])
        .arg(folder.path().join("added.json"))
        .stdout(Stdio::null())
        .spawn()
        .unwrap();
    let children = children(&run, 3 + 2, TIMEOUT);
    run.kill().unwrap();
    run.wait().unwrap();
    wait_for_exit(&children, TIMEOUT);
}

/// Invalid options are rejected before anything starts, with the flag, its value and the expected range.
#[test]
fn invalid_options_are_rejected_by_name() {
    let folder = tempfile::tempdir().unwrap();
    let out = folder.path().join("added.json");
    let refused = |arguments: &[&str], named: &[&str]| {
        let done = added(&out, arguments);
        let text = String::from_utf8_lossy(&done.stderr);
        assert_eq!(done.status.code(), Some(2), "{arguments:?}: {text}");
        assert!(named.iter().all(|part| text.contains(part)), "{arguments:?}: {text}");
        assert!(!out.exists());
    };
    refused(&["--known", "5"], &["--known", "5 is not from 6 to 10000"]);
    refused(&["--known", "60,x"], &["--known", "'x'"]);
    refused(&["--real", "17"], &["--real", "17 is not from 0 to 16"]);
    refused(&["--rate", "0"], &["--rate", "0 is not from 1 to 1000"]);
    refused(&["--depth", "24"], &["--depth", "24 is not from 1 to 1"]);
    refused(&["--lasts", "1"], &["--lasts", "1 is not from 2 to 120"]);
    refused(&["--rounds", "0"], &["--rounds", "0 is not from 1 to 20"]);
    refused(&["--rate", "1000", "--real", "5"], &["--rate 1000", "--real 5", "4000 or fewer"]);
    refused(&["--program", "/nowhere"], &["--program", "/nowhere is no program"]);
    refused(&["--known", "6", "--program", "/bin/true"], &["6 servers known, round 0: n0", "ended at once"]);
    // Too few descriptors are rejected at the start, not by a stub that fails in the middle of the run.
    let few = "ulimit -n 2000 && exec \"$0\" added --known 3100 --out \"$1\"";
    let done =
        Command::new("sh").args(["-c", few]).arg(env!("CARGO_BIN_EXE_dunlincleat-lab")).arg(&out).output();
    let done = done.unwrap();
    let text = String::from_utf8_lossy(&done.stderr);
    assert_eq!(done.status.code(), Some(2), "{text}");
    assert!(text.contains("--known 3100") && text.contains("allows 2000; right would be"), "{text}");
}
