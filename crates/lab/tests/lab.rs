//! Tests the lab's binary: the gate and what it detects, the HTML report, and the demo on loopback.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};

fn lab(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_dunlincleat-lab")).args(args).output().unwrap()
}

fn size_scenarios() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../fleet/size")
}

fn output_text(out: &Output) -> String {
    format!("{}{}", String::from_utf8_lossy(&out.stdout), String::from_utf8_lossy(&out.stderr))
}

/// Guards against regressions at full size: with a mechanism disabled, the gate names the scenario and figure that suffer.
#[test]
fn gate_passes_and_names_the_figure_hurt_by_each_disabled_mechanism() {
    let folder = size_scenarios().display().to_string();
    let complete = lab(&["gate", &folder]);
    assert_eq!(complete.status.code(), Some(0), "{}", output_text(&complete));
    assert!(output_text(&complete).ends_with("gate passed\n"));
    for (mechanism, failure) in [
        ("turns", "FAILED: herd, seed 1: list_calls is"),
        ("few-servers", "FAILED: calm, seed 1: connections is"),
        ("worth", "FAILED: calm, seed 1: worth is"),
    ] {
        let out = lab(&["gate", &folder, "--without", mechanism]);
        assert_eq!(out.status.code(), Some(1), "{mechanism}: {}", output_text(&out));
        assert!(output_text(&out).contains(failure), "{mechanism}: {}", output_text(&out));
    }
}

#[test]
fn invalid_gate_file_is_reported_with_line_and_valid_values() {
    let folder = tempfile::tempdir().unwrap();
    std::fs::copy(size_scenarios().join("calm.toml"), folder.path().join("calm.toml")).unwrap();
    let band =
        "scale = 0.1\nseeds = [1]\n[[day]]\nscenario = \"calm\"\n[day.band]\nworth = { least = 0.1 }\n";
    for (from, to, message) in [
        ("worth =", "worht =", "gate.toml: line 6: day[0].band.worht: unknown figure; must be one of worth"),
        ("{ least = 0.1 }", "{}", "line 6: day[0].band.worth: neither least nor most"),
        ("scale = 0.1", "scale = 7", "line 1: scale: 7 is not from 0.005 to 1"),
        ("[1]", "[]", "line 2: seeds: none"),
        ("\"calm\"", "\"warm\"", "warm.toml: No such file"),
    ] {
        std::fs::write(folder.path().join("gate.toml"), band.replacen(from, to, 1)).unwrap();
        let out = lab(&["gate", &folder.path().display().to_string()]);
        assert_eq!(out.status.code(), Some(2), "{}", output_text(&out));
        assert!(output_text(&out).contains(message), "{message}: {}", output_text(&out));
    }
}

#[test]
fn report_renders_a_run_kept_by_second() {
    let folder = tempfile::tempdir().unwrap();
    let (results, page) = (folder.path().join("r.jsonl"), folder.path().join("r.html"));
    let scenario = size_scenarios().join("split.toml").display().to_string();
    let out = results.display().to_string();
    let simulated = lab(&["run", &scenario, "--scale", "0.02", "--seeds", "2", "--seconds", "--out", &out]);
    assert_eq!(simulated.status.code(), Some(0), "{}", output_text(&simulated));
    let folder = folder.path().display().to_string();
    let reported = lab(&["report", &folder, "--out", &page.display().to_string()]);
    assert_eq!(reported.status.code(), Some(0), "{}", output_text(&reported));
    let page = std::fs::read_to_string(page).unwrap();
    assert_eq!(page.matches("<svg").count(), 8, "four plots a day");
    assert!(page.contains("black_hole") && !page.contains("Partial"));
}

/// Time limits are loose because the machine may be busy; all other rules are checked strictly.
#[test]
fn demo_keeps_the_rules_and_exits() {
    let program = Path::new(env!("CARGO_BIN_EXE_dunlincleat-lab")).with_file_name("dunlincleat-sidecar");
    let built = Command::new(env!("CARGO"))
        .args(["build", "--locked", "-p", "dunlincleat-sidecar", "--bin", "dunlincleat-sidecar"])
        .status()
        .unwrap();
    assert!(built.success() && program.is_file(), "{}", program.display());
    let out = lab(&["demo", "--lasts", "6", "--rate", "60", "--slack-ms", "3000"]);
    assert_eq!(out.status.code(), Some(0), "{}", output_text(&out));
    assert!(output_text(&out).contains("rules kept for") && output_text(&out).contains("south is drained"));
    let none = lab(&["demo", "--sidecar", "/nowhere/sidecar"]);
    assert_eq!(none.status.code(), Some(2));
    assert!(output_text(&none).contains("--sidecar: /nowhere/sidecar is no program"));
}
