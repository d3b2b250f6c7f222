//! Tests of the soak's auditor.

use super::*;

const BOUNDS: Bounds = Bounds { drain_grace: 0, slack: 250_000, duty_recovery: 0, timer_lateness: 100_000 };

fn asked(id: &str, once: bool) -> Event {
    Event {
        at: 0,
        what: EventKind::RequestSent {
            by: "n0".into(),
            id: id.into(),
            at_most_once: once,
            client_timeout: 300_000,
        },
    }
}

fn answered(at: u64, answer: Answer) -> Event {
    Event { at, what: EventKind::Answered { id: "a".into(), answer } }
}

fn began(at: u64) -> Event {
    Event { at, what: EventKind::RequestStarted { server: "s0".into(), id: "a".into(), body: "s0 a".into() } }
}

fn down(how: &str) -> Event {
    Event { at: 900_000, what: EventKind::Down { process: "n0".into(), how: how.into(), expected: true } }
}

/// The properties that a history breaks; the process ends in order where it does not say otherwise.
fn broken(history: &[Event]) -> Vec<Property> {
    let mut history = history.to_vec();
    if !history.iter().any(|event| matches!(event.what, EventKind::Down { .. })) {
        history.push(down(IN_ORDER));
    }
    match judge(&history, BOUNDS).0 {
        Verdict::Kept => Vec::new(),
        Verdict::Broken(broken) => broken.into_iter().map(|broken| broken.property).collect(),
        Verdict::Void(late) => panic!("void: {late}"),
    }
}

#[test]
fn one_whole_answer_in_time_is_due() {
    let served = || answered(100, Answer::Served("s0 a".into()));
    assert_eq!(broken(&[asked("a", false), began(50), served()]), []);
    assert_eq!(broken(&[asked("a", false)]), [Property::OneAnswer]);
    assert_eq!(broken(&[asked("a", false), served()]), [Property::OneAnswer], "no server made it");
    assert_eq!(broken(&[asked("a", false), began(50), served(), served()]), [Property::OneAnswer]);
    assert_eq!(broken(&[asked("a", false), answered(550_001, Answer::Failed)]), [Property::OneAnswer]);
    let lost = Answer::Broken("it ended after the request was read".into());
    assert_eq!(broken(&[asked("a", false), answered(100, lost)]), [Property::OneAnswer]);
}

#[test]
fn a_request_crosses_a_close_only_where_it_began_nowhere() {
    let crossed = Event { at: 100, what: EventKind::CrossedClose { id: "a".into() } };
    assert_eq!(broken(&[asked("a", false), crossed.clone()]), []);
    assert_eq!(broken(&[asked("a", false), began(50), crossed]), [Property::OneAnswer]);
}

#[test]
fn no_effect_comes_twice_or_is_denied() {
    assert_eq!(
        broken(&[asked("a", true), began(50), began(60), answered(90, Answer::Failed)]),
        [Property::AtMostOnce]
    );
    assert_eq!(broken(&[asked("a", true), began(50), answered(90, Answer::Refused)]), [Property::AtMostOnce]);
}

#[test]
fn nothing_begins_after_its_client_has_left() {
    let left = Event { at: 1000, what: EventKind::ClientLeft { id: "a".into() } };
    assert_eq!(broken(&[asked("a", false), left.clone(), began(101_000)]), []);
    assert_eq!(
        broken(&[asked("a", false), left.clone(), began(101_001)]),
        [Property::NoStartAfterClientLeft]
    );
    // A server that stood still reads at the end what had come to it before.
    let stop = |process: &str| Event {
        at: 0,
        what: EventKind::FaultInjected { fault: Fault::Stop { process: process.into() } },
    };
    assert_eq!(broken(&[stop("s0"), asked("a", false), left.clone(), began(800_000)]), []);
    let other = [stop("s1"), asked("a", false), left, began(800_000)];
    assert_eq!(broken(&other), [Property::NoStartAfterClientLeft]);
}

#[test]
fn the_process_ends_by_itself_in_time_and_in_order() {
    assert_eq!(broken(&[down("ended with exit status: 1")]), [Property::NoCrash]);
    let overdue = Event { at: 800_000, what: EventKind::Overdue { process: "n0".into() } };
    assert_eq!(broken(&[overdue]), [Property::TerminatesInTime]);
    let (verdict, _) = judge(&[], BOUNDS);
    assert!(matches!(verdict, Verdict::Broken(broken) if broken[0].property == Property::TerminatesInTime));
}

#[test]
fn a_rig_that_ran_late_says_nothing() {
    let late = |by| Event { at: 10, what: EventKind::TimerLate { by } };
    assert_eq!(judge(&[late(BOUNDS.timer_lateness), down(IN_ORDER)], BOUNDS).0, Verdict::Kept);
    // Also where something is broken: the rig may have broken it.
    let history = [late(BOUNDS.timer_lateness + 1), asked("a", false), down(IN_ORDER)];
    assert_eq!(judge(&history, BOUNDS).0, Verdict::Void(BOUNDS.timer_lateness + 1));
}
