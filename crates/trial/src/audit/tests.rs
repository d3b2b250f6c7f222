//! Tests of `audit.rs`.

use super::*;

const BOUNDS: Bounds = Bounds { drain_grace: 100, slack: 50, duty_recovery: 5000, timer_lateness: 1000 };

fn sent(at: u64, id: &str, at_most_once: bool) -> Event {
    Event {
        at,
        what: EventKind::RequestSent {
            instance: "n0".into(),
            id: id.into(),
            at_most_once,
            client_timeout: 100,
        },
    }
}

fn answered(at: u64, id: &str, answer: Answer) -> Event {
    Event { at, what: EventKind::Answered { id: id.into(), answer } }
}

fn started(at: u64, server: &str, id: &str) -> Event {
    Event {
        at,
        what: EventKind::RequestStarted {
            server: server.into(),
            id: id.into(),
            body: format!("{server} {id}"),
        },
    }
}

fn injected(at: u64, fault: Fault) -> Event {
    Event { at, what: EventKind::FaultInjected { fault } }
}

fn up(at: u64) -> Event {
    Event { at, what: EventKind::Up { process: "n0".into(), pid: 1 } }
}

fn effect(at: u64, period: u64, fence: u64, id: &str, accepted: bool) -> Event {
    Event { at, what: EventKind::DutyEffect { duty: "d".into(), period, fence, id: id.into(), accepted } }
}

fn drain_announced(at: u64) -> Event {
    Event { at, what: EventKind::DrainAnnounced { to: "n0".into(), server: "b".into() } }
}

/// Regression: an instance that was killed once was excused until the end, since the window that its kill opened was
/// never closed.
#[test]
fn instance_is_judged_again_after_a_restart() {
    let down = EventKind::Down { process: "n0".into(), how: "ended".into(), expected: true };
    let history = [
        up(1),
        injected(10, Fault::Kill { process: "n0".into() }),
        Event { at: 11, what: down },
        up(20),
        sent(100, "7", false),
        answered(105, "7", Answer::Broken("reset".into())),
    ];
    assert!(matches!(judge(&history, BOUNDS), Verdict::Broken(found) if found.len() == 1));
}

/// Each kind of violation is found once, and nothing is found in a run without violations.
#[test]
fn each_violation_is_found_and_nothing_else() {
    let served = |id: &str, by: &str| Answer::Served(format!("{by} {id}"));
    let faults: Vec<(&str, Vec<Event>)> = vec![
        ("", vec![]),
        ("request 7 of n0 got none", vec![sent(1000, "7", false)]),
        (
            "got none that is whole",
            vec![sent(1000, "7", false), answered(1005, "7", Answer::Broken("reset".into()))],
        ),
        ("after its time", vec![sent(1000, "7", false), answered(1151, "7", Answer::Failed)]),
        (
            "which no server made",
            vec![sent(1000, "7", false), started(1003, "a", "7"), answered(1005, "7", served("8", "a"))],
        ),
        (
            "ran 2 times",
            vec![
                sent(1000, "7", true),
                started(1003, "a", "7"),
                started(1004, "c", "7"),
                answered(1005, "7", served("7", "c")),
            ],
        ),
        (
            "refused after it ran",
            vec![sent(1000, "7", true), started(1003, "a", "7"), answered(1005, "7", Answer::Refused)],
        ),
        (
            "request 7 of n0 came to b",
            vec![sent(1000, "7", false), started(1003, "b", "7"), answered(1005, "7", served("7", "b"))],
        ),
        (
            "got 2",
            vec![
                sent(1000, "7", false),
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
        ("which nobody asked for", vec![started(1003, "a", "9")]),
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
        ("no effect since", vec![sent(9000, "7", false), answered(9005, "7", Answer::Failed)]),
    ];
    for (expected, events) in faults {
        let mut history = vec![
            up(1),
            drain_announced(110),
            drain_announced(200),
            sent(210, "1", true),
            started(260, "b", "1"),
            answered(270, "1", served("1", "b")),
            sent(300, "2", false),
            started(301, "a", "2"),
            started(302, "c", "2"),
            answered(450, "2", Answer::Refused),
            // Killed with a request in flight, and one that was sent while it was down.
            sent(600, "3", false),
            injected(610, Fault::Kill { process: "n0".into() }),
            answered(611, "3", Answer::Broken("reset".into())),
            sent(612, "4", true),
            up(700),
        ];
        history.extend(events);
        // This incarnation was notified while the link was cut, and knows since the link was repaired.
        if expected.contains("came to b") {
            history.insert(15, drain_announced(701));
            assert_ne!(judge(&history, BOUNDS), Verdict::Kept);
            let cut = Impairment { cut: true, ..Impairment::default() };
            let set_link = |impairment| Fault::Link { from: "list".into(), to: "n0".into(), impairment };
            history.insert(15, injected(700, set_link(cut)));
            history.insert(17, injected(900, set_link(Impairment::default())));
            assert_eq!(judge(&history, BOUNDS), Verdict::Kept);
            history.remove(17);
            history.insert(17, injected(800, set_link(Impairment::default())));
        }
        match judge(&history, BOUNDS) {
            Verdict::Kept => assert_eq!(expected, ""),
            Verdict::Broken(found) => {
                assert!(found.len() == 1 && found[0].what.contains(expected), "{expected}: {found:?}");
            }
            Verdict::Void(_) => panic!("void"),
        }
        history.push(Event { at: 2000, what: EventKind::TimerLate { by: 1001 } });
        assert_eq!(judge(&history, BOUNDS), Verdict::Void(1001), "a rig that ran late gives no verdict");
    }
}
