//! Tests of `audit.rs`.

use super::*;

const BOUNDS: Bounds = Bounds { drain_grace: 100, slack: 50, duty_recovery: 5000, timer_lateness: 1000 };

fn asked(at: u64, id: &str, once: bool) -> Event {
    Event {
        at,
        what: EventKind::RequestSent {
            by: "n0".into(),
            id: id.into(),
            at_most_once: once,
            client_timeout: 100,
        },
    }
}

fn answered(at: u64, id: &str, answer: Answer) -> Event {
    Event { at, what: EventKind::Answered { id: id.into(), answer } }
}

fn began(at: u64, server: &str, id: &str) -> Event {
    Event {
        at,
        what: EventKind::RequestStarted {
            server: server.into(),
            id: id.into(),
            body: format!("{server} {id}"),
        },
    }
}

fn did(at: u64, fault: Fault) -> Event {
    Event { at, what: EventKind::FaultInjected { fault } }
}

fn up(at: u64) -> Event {
    Event { at, what: EventKind::Up { process: "n0".into(), pid: 1 } }
}

fn effect(at: u64, period: u64, fence: u64, id: &str, accepted: bool) -> Event {
    Event { at, what: EventKind::DutyEffect { duty: "d".into(), period, fence, id: id.into(), accepted } }
}

fn told(at: u64) -> Event {
    Event { at, what: EventKind::DrainAnnounced { to: "n0".into(), server: "b".into() } }
}

/// An instance that was once killed was excused for the rest of the play: its kill's own window was never closed.
#[test]
fn an_instance_that_serves_again_is_judged_again() {
    let down = EventKind::Down { process: "n0".into(), how: "ended".into(), expected: true };
    let history = [
        up(1),
        did(10, Fault::Kill { process: "n0".into() }),
        Event { at: 11, what: down },
        up(20),
        asked(100, "7", false),
        answered(105, "7", Answer::Broken("reset".into())),
    ];
    assert!(matches!(judge(&history, BOUNDS), Verdict::Broken(found) if found.len() == 1));
}

/// An auditor that lets a fault pass proves nothing: each is planted once, and a day without one is clean.
#[test]
fn each_planted_fault_is_found_and_nothing_else() {
    let served = |id: &str, by: &str| Answer::Served(format!("{by} {id}"));
    let plants: Vec<(&str, Vec<Event>)> = vec![
        ("", vec![]),
        ("request 7 of n0 got none", vec![asked(1000, "7", false)]),
        (
            "got none that is whole",
            vec![asked(1000, "7", false), answered(1005, "7", Answer::Broken("reset".into()))],
        ),
        ("after its time", vec![asked(1000, "7", false), answered(1151, "7", Answer::Failed)]),
        (
            "which no server made",
            vec![asked(1000, "7", false), began(1003, "a", "7"), answered(1005, "7", served("8", "a"))],
        ),
        (
            "ran 2 times",
            vec![
                asked(1000, "7", true),
                began(1003, "a", "7"),
                began(1004, "c", "7"),
                answered(1005, "7", served("7", "c")),
            ],
        ),
        (
            "refused after it ran",
            vec![asked(1000, "7", true), began(1003, "a", "7"), answered(1005, "7", Answer::Refused)],
        ),
        (
            "request 7 of n0 came to b",
            vec![asked(1000, "7", false), began(1003, "b", "7"), answered(1005, "7", served("7", "b"))],
        ),
        (
            "got 2",
            vec![
                asked(1000, "7", false),
                answered(1005, "7", Answer::Failed),
                answered(1006, "7", Answer::Failed),
            ],
        ),
        (
            "n0 ended",
            vec![Event {
                at: 1000,
                what: EventKind::Down { process: "n0".into(), how: "ended".into(), expected: false },
            }],
        ),
        ("which nobody asked for", vec![began(1003, "a", "9")]),
        (
            "period 3 was carried out 2 times",
            vec![effect(1000, 3, 5, "duty-x-5-3", true), effect(1001, 3, 5, "duty-x-5-3", true)],
        ),
        (
            "fence 4 was carried out after 5",
            vec![effect(1000, 3, 5, "duty-x-5-3", true), effect(1001, 4, 4, "duty-y-4-4", true)],
        ),
        (
            "fence 5 is used by lives x and y",
            vec![effect(1000, 3, 5, "duty-x-5-3", true), effect(1001, 3, 5, "duty-y-5-3", false)],
        ),
        ("no effect since", vec![asked(9000, "7", false), answered(9005, "7", Answer::Failed)]),
    ];
    for (fault, plant) in plants {
        let mut history = vec![
            up(1),
            told(110),
            told(200),
            asked(210, "1", true),
            began(260, "b", "1"),
            answered(270, "1", served("1", "b")),
            asked(300, "2", false),
            began(301, "a", "2"),
            began(302, "c", "2"),
            answered(450, "2", Answer::Refused),
            // Killed with a request in hand, and one that it did not live to see.
            asked(600, "3", false),
            did(610, Fault::Kill { process: "n0".into() }),
            answered(611, "3", Answer::Broken("reset".into())),
            asked(612, "4", true),
            up(700),
        ];
        history.extend(plant);
        // Of this life it was told while the way was cut, and knows since that is mended.
        if fault.contains("came to b") {
            history.insert(15, told(701));
            assert_ne!(judge(&history, BOUNDS), Verdict::Kept);
            let cut = Impairment { cut: true, ..Impairment::default() };
            let way = |impairment| Fault::Link { from: "list".into(), to: "n0".into(), impairment };
            history.insert(15, did(700, way(cut)));
            history.insert(17, did(900, way(Impairment::default())));
            assert_eq!(judge(&history, BOUNDS), Verdict::Kept);
            history.remove(17);
            history.insert(17, did(800, way(Impairment::default())));
        }
        match judge(&history, BOUNDS) {
            Verdict::Kept => assert_eq!(fault, ""),
            Verdict::Broken(found) => {
                assert!(found.len() == 1 && found[0].what.contains(fault), "{fault}: {found:?}");
            }
            Verdict::Void(_) => panic!("void"),
        }
        history.push(Event { at: 2000, what: EventKind::TimerLate { by: 1001 } });
        assert_eq!(
            judge(&history, BOUNDS),
            Verdict::Void(1001),
            "a machine too slow to judge on is no verdict"
        );
    }
}
