//! `deploy/regression.sh` against stand-in programs that print what a bench prints.

use std::fs;
use std::os::unix::fs::PermissionsExt;
use std::path::Path;
use std::process::{Command, Output};

const STANDING: &str = "more/mass/bin/lbreal";
const SIMULATED: &str = "more/move/bin/lbsim";
const PROGRAMS: [&str; 4] = [STANDING, "more/ops/bin/lbreal", "more/bin/lbreal", SIMULATED];

/// Plays all panels, with one program that says `said` and ends with `ends`; the others say that all is well.
fn played(odd: &str, said: &str, ends: i32, args: &[&str]) -> Output {
    let kit = tempfile::tempdir().unwrap();
    for program in PROGRAMS {
        let (said, ends) =
            if program == odd { (said, ends) } else { ("score of the real nodes 0.700\nGATE passed", 0) };
        let path = kit.path().join(program);
        fs::create_dir_all(path.parent().unwrap()).unwrap();
        fs::write(
            &path,
            format!("#!/bin/sh\necho called: \"$@\"\ncat <<'SAID'\n{said}\nSAID\nexit {ends}\n"),
        )
        .unwrap();
        fs::set_permissions(&path, fs::Permissions::from_mode(0o755)).unwrap();
    }
    let script = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/regression.sh");
    Command::new("sh").arg(script).arg(kit.path()).args(args).output().unwrap()
}

/// A broken rule was only a column of the table once, and the script ended with 0 whatever a panel said.
#[test]
fn any_broken_rule_crash_or_failed_gate_ends_it_with_one() {
    let well = "score of the real nodes 0.650\nGATE passed";
    for (odd, said, ends, verdict, told) in [
        (STANDING, well, 0, 0, "standing                 | score of the real nodes 0.650 | rules kept"),
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
        (STANDING, well, 3, 1, "ended with 3"),
    ] {
        let out = played(odd, said, ends, &["--quick"]);
        let text = String::from_utf8_lossy(&out.stdout);
        assert_eq!(out.status.code(), Some(verdict), "{said}: {text}");
        assert!(text.contains(told), "{said}: {text}");
        // The others are played all the same, each to its name.
        assert!(text.contains("== standing") && text.contains("== liga-ljubljana-later"), "{text}");
        assert!(text.contains("score ") && text.contains("--quick --why"), "{text}");
        for panel in ["brink-liga-ljubljana-1", "brink-oulu-render-25", "perth-convert", "narva-desk"] {
            assert!(text.contains(&format!("== {panel}\n")), "{panel}: {text}");
        }
        assert!(text.contains("narva-desk.toml --panel brink --seed 13 --why"), "{text}");
    }
}

#[test]
fn a_wrong_call_is_told_what_would_be_right() {
    let out = played("", "", 0, &["--fast"]);
    assert_eq!(out.status.code(), Some(2));
    assert!(String::from_utf8_lossy(&out.stderr).contains("'--fast': right would be --quick"));
}
