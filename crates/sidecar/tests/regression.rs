//! Runs `deploy/regression.sh` with stub programs that print the output of a bench.

use std::fs;
use std::os::unix::fs::PermissionsExt;
use std::path::Path;
use std::process::{Command, Output};

const STANDING: &str = "more/mass/bin/lbreal";
const SIMULATED: &str = "more/move/bin/lbsim";
const PROGRAMS: [&str; 4] = [STANDING, "more/ops/bin/lbreal", "more/bin/lbreal", SIMULATED];

/// Runs all panels with one faulty program that prints `output` and exits with `exit_code`; the others
/// succeed.
fn run_script(faulty: &str, output: &str, exit_code: i32, args: &[&str]) -> Output {
    let kit = tempfile::tempdir().unwrap();
    for program in PROGRAMS {
        let (output, exit_code) = if program == faulty {
            (output, exit_code)
        } else {
            ("score of the real nodes 0.700\nGATE passed", 0)
        };
        let path = kit.path().join(program);
        fs::create_dir_all(path.parent().unwrap()).unwrap();
        fs::write(
            &path,
            format!("#!/bin/sh\necho called: \"$@\"\ncat <<'SAID'\n{output}\nSAID\nexit {exit_code}\n"),
        )
        .unwrap();
        fs::set_permissions(&path, fs::Permissions::from_mode(0o755)).unwrap();
    }
    let script = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/regression.sh");
    Command::new("sh").arg(script).arg(kit.path()).args(args).output().unwrap()
}

/// Guards the exit code: a broken rule was once only a column of the table, and the script exited with 0
/// whatever a panel reported.
#[test]
fn any_broken_rule_crash_or_failed_gate_exits_with_one() {
    let passed = "score of the real nodes 0.650\nGATE passed";
    for (faulty, output, exit_code, verdict, expected) in [
        (STANDING, passed, 0, 0, "standing                 | score of the real nodes 0.650 | rules kept"),
        (
            STANDING,
            "score of the real nodes 0.650\nGATE failed: lost on join+mass",
            0,
            1,
            "GATE failed: lost",
        ),
        (STANDING, "herd+mass  score 0.00  BROKEN: lost\nscore of the real nodes 0.4", 0, 1, "BROKEN: lost"),
        (STANDING, "FAULT: node n4 crashed\nscore of the real nodes 0.4", 0, 1, "FAULT: node n4 crashed"),
        (SIMULATED, "quick estimate 0.785\nrules BROKEN: lost on big-1", 0, 1, "BROKEN: lost on big-1"),
        (SIMULATED, "no figure here", 0, 1, "| no figure"),
        (STANDING, passed, 3, 1, "ended with 3"),
    ] {
        let finished = run_script(faulty, output, exit_code, &["--quick"]);
        let text = String::from_utf8_lossy(&finished.stdout);
        assert_eq!(finished.status.code(), Some(verdict), "{output}: {text}");
        assert!(text.contains(expected), "{output}: {text}");
        // The other panels are run all the same, each under its name.
        assert!(text.contains("== standing") && text.contains("== liga-ljubljana-later"), "{text}");
        assert!(text.contains("score ") && text.contains("--quick --why"), "{text}");
        for panel in ["brink-liga-ljubljana-1", "brink-oulu-render-25", "perth-convert", "narva-desk"] {
            assert!(text.contains(&format!("== {panel}\n")), "{panel}: {text}");
        }
        assert!(text.contains("narva-desk.toml --panel brink --seed 13 --why"), "{text}");
    }
}

#[test]
fn invalid_argument_names_the_valid_one() {
    let finished = run_script("", "", 0, &["--fast"]);
    assert_eq!(finished.status.code(), Some(2));
    assert!(String::from_utf8_lossy(&finished.stderr).contains("'--fast': right would be --quick"));
}
