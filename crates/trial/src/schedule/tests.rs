//! Tests of `schedule.rs`.

use super::*;

fn cast() -> Participants {
    let names = |of: char, n: usize| (0..n).map(|n| format!("{of}{n}")).collect();
    Participants { instances: names('n', 5), servers: names('s', 2), peers: true, lease_ms: 1000 }
}

/// A schedule that leaves a process stopped or a way cut would judge the rig; one that is drawn otherwise the second
/// time would find nothing again.
#[test]
fn one_seed_draws_one_schedule_and_all_is_mended_before_the_end() {
    let mut kinds = std::collections::BTreeSet::new();
    for seed in 0..200 {
        let schedule = Schedule::draw(seed, &cast(), 20_000);
        assert_eq!(schedule, Schedule::draw(seed, &cast(), 20_000));
        let mut state = BTreeMap::new();
        for step in &schedule.steps {
            assert!(step.at_ms <= 15_000);
            let (key, well) = match &step.fault {
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
            assert_ne!(state.insert(key.clone(), well).unwrap_or(true), well, "seed {seed}: {key} twice");
        }
        assert!(state.values().all(|well| *well), "seed {seed}: {state:?}");
    }
    assert!(kinds.len() > 10, "{kinds:?}");
}

#[test]
fn a_schedule_is_read_as_it_is_written_and_a_wrong_name_is_told() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("case.toml");
    let text = "[[step]]\nat_ms = 900\ndo = { way = { from = \"n0\", to = \"n1\", ill = { cut = true } } }\n\
                [[step]]\nat_ms = 100\ndo = { kill = { who = \"n2\" } }\n";
    std::fs::write(&path, text).unwrap();
    let read = Schedule::read(&path, &cast()).unwrap();
    let told: Vec<String> = read.steps.iter().map(|step| step.fault.to_string()).collect();
    assert_eq!(told, ["n2 is killed", "n0 -> n1 is cut"]);
    std::fs::write(&path, text.replace("n2", "n7")).unwrap();
    let error = Schedule::read(&path, &cast()).unwrap_err().to_string();
    assert!(error.contains("step[1]: nobody is called 'n7'; right would be one of n0,"), "{error}");
}
