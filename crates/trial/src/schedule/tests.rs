//! Tests of `schedule.rs`.

use super::*;

fn participants() -> Participants {
    let names = |of: char, n: usize| (0..n).map(|n| format!("{of}{n}")).collect();
    Participants { instances: names('n', 5), servers: names('s', 2), peers: true, lease_ms: 1000 }
}

/// A schedule that leaves a process stopped or a link cut would test the rig instead of the program, and one that
/// differs between two draws of a seed could not reproduce a failure.
#[test]
fn schedule_depends_on_its_seed_alone_and_every_fault_is_repaired() {
    let mut kinds = std::collections::BTreeSet::new();
    for seed in 0..200 {
        let schedule = Schedule::draw(seed, &participants(), 20_000);
        assert_eq!(schedule, Schedule::draw(seed, &participants(), 20_000));
        let mut state = BTreeMap::new();
        for step in &schedule.steps {
            assert!(step.at_ms <= 15_000);
            let (key, healthy) = match &step.fault {
                Fault::Kill { process }
                | Fault::Term { process }
                | Fault::Interrupt { process }
                | Fault::Stop { process } => (process.clone(), false),
                Fault::Start { process, .. } | Fault::Continue { process } => (process.clone(), true),
                Fault::Link { from, to, impairment } => {
                    (format!("{from}>{to}"), *impairment == Impairment::default())
                }
                Fault::Reload { .. } | Fault::Reset { .. } | Fault::Drain { .. } | Fault::Remove { .. } => {
                    continue;
                }
            };
            kinds.insert(step.fault.to_string().replace(|c: char| c.is_ascii_digit(), ""));
            assert_ne!(
                state.insert(key.clone(), healthy).unwrap_or(true),
                healthy,
                "seed {seed}: {key} twice"
            );
        }
        assert!(state.values().all(|healthy| *healthy), "seed {seed}: {state:?}");
    }
    assert!(kinds.len() > 10, "{kinds:?}");
}

#[test]
fn schedule_file_is_read_and_an_unknown_process_is_reported() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("case.toml");
    let text = "[[step]]\nat_ms = 900\ndo = { way = { from = \"n0\", to = \"n1\", ill = { cut = true } } }\n\
                [[step]]\nat_ms = 100\ndo = { kill = { who = \"n2\" } }\n";
    std::fs::write(&path, text).unwrap();
    let read = Schedule::read(&path, &participants()).unwrap();
    let descriptions: Vec<String> = read.steps.iter().map(|step| step.fault.to_string()).collect();
    assert_eq!(descriptions, ["n2 is killed", "n0 -> n1 is cut"]);
    std::fs::write(&path, text.replace("n2", "n7")).unwrap();
    let error = Schedule::read(&path, &participants()).unwrap_err().to_string();
    assert!(error.contains("step[1]: unknown process 'n7'; expected one of n0,"), "{error}");
}
