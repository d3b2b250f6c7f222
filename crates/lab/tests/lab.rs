//! The program as it is called: its gate, what its gate notices, its page, and the first look on loopback.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};

fn lab(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_dunlincleat-lab")).args(args).output().unwrap()
}

fn size() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../fleet/size")
}

fn text(out: &Output) -> String {
    format!("{}{}", String::from_utf8_lossy(&out.stdout), String::from_utf8_lossy(&out.stderr))
}

/// What was mended for days at size stays mended: with a part taken out, the gate names its scenario and figure.
#[test]
fn the_gate_passes_and_names_what_each_part_taken_out_costs() {
    let folder = size().display().to_string();
    let whole = lab(&["gate", &folder]);
    assert_eq!(whole.status.code(), Some(0), "{}", text(&whole));
    assert!(text(&whole).ends_with("gate passed\n"));
    for (part, named) in [
        ("turns", "FAILED: herd, seed 1: list_calls is"),
        ("few-servers", "FAILED: calm, seed 1: connections is"),
        ("worth", "FAILED: calm, seed 1: worth is"),
    ] {
        let out = lab(&["gate", &folder, "--without", part]);
        assert_eq!(out.status.code(), Some(1), "{part}: {}", text(&out));
        assert!(text(&out).contains(named), "{part}: {}", text(&out));
    }
}

#[test]
fn a_band_at_fault_is_named_with_its_line_and_what_would_be_right() {
    let folder = tempfile::tempdir().unwrap();
    std::fs::copy(size().join("calm.toml"), folder.path().join("calm.toml")).unwrap();
    let band =
        "scale = 0.1\nseeds = [1]\n[[day]]\nscenario = \"calm\"\n[day.band]\nworth = { least = 0.1 }\n";
    for (from, to, said) in [
        (
            "worth =",
            "worht =",
            "gate.toml: line 6: day[0].band.worht: no such figure; right would be one of worth",
        ),
        ("{ least = 0.1 }", "{}", "line 6: day[0].band.worth: neither least nor most"),
        ("scale = 0.1", "scale = 7", "line 1: scale: 7 is not from 0.005 to 1"),
        ("[1]", "[]", "line 2: seeds: none"),
        ("\"calm\"", "\"warm\"", "warm.toml: No such file"),
    ] {
        std::fs::write(folder.path().join("gate.toml"), band.replacen(from, to, 1)).unwrap();
        let out = lab(&["gate", &folder.path().display().to_string()]);
        assert_eq!(out.status.code(), Some(2), "{}", text(&out));
        assert!(text(&out).contains(said), "{said}: {}", text(&out));
    }
}

#[test]
fn a_run_with_seconds_becomes_a_page() {
    let folder = tempfile::tempdir().unwrap();
    let (results, page) = (folder.path().join("r.jsonl"), folder.path().join("r.html"));
    let scenario = size().join("split.toml").display().to_string();
    let out = results.display().to_string();
    let ran = lab(&["run", &scenario, "--scale", "0.02", "--seeds", "2", "--seconds", "--out", &out]);
    assert_eq!(ran.status.code(), Some(0), "{}", text(&ran));
    let folder = folder.path().display().to_string();
    let told = lab(&["report", &folder, "--out", &page.display().to_string()]);
    assert_eq!(told.status.code(), Some(0), "{}", text(&told));
    let page = std::fs::read_to_string(page).unwrap();
    assert_eq!(page.matches("<svg").count(), 8, "four plots a day");
    assert!(page.contains("black_hole") && !page.contains("Partial"));
}

/// The limits of time are loose here, as the machine may be busy; what no rule allows at any time is not.
#[test]
fn the_first_look_keeps_the_rules_and_ends() {
    let program = Path::new(env!("CARGO_BIN_EXE_dunlincleat-lab")).with_file_name("dunlincleat-sidecar");
    let built = Command::new(env!("CARGO"))
        .args(["build", "--locked", "-p", "dunlincleat-sidecar", "--bin", "dunlincleat-sidecar"])
        .status()
        .unwrap();
    assert!(built.success() && program.is_file(), "{}", program.display());
    let out = lab(&["demo", "--lasts", "6", "--rate", "60", "--slack-ms", "3000"]);
    assert_eq!(out.status.code(), Some(0), "{}", text(&out));
    assert!(text(&out).contains("rules kept for") && text(&out).contains("south is drained"));
    let none = lab(&["demo", "--sidecar", "/nowhere/sidecar"]);
    assert_eq!(none.status.code(), Some(2));
    assert!(text(&none).contains("--sidecar: /nowhere/sidecar is no program"));
}
