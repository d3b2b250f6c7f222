//! Tests of the soak's auditor.

use super::*;

const BOUNDS: Bounds = Bounds { drain_grace: 0, slack: 250_000, duty_recovery: 0, timer_lateness: 100_000 };

fn sent(id: &str, at_most_once: bool) -> Event {
    Event {
        at: 0,
        what: EventKind::RequestSent {
            instance: "n0".into(),
            id: id.into(),
            at_most_once,
            client_timeout: 300_000,
        },
    }
}

fn answered(at: u64, answer: Answer) -> Event {
    Event { at, what: EventKind::Answered { id: "a".into(), answer } }
}

fn started(at: u64) -> Event {
    Event { at, what: EventKind::RequestStarted { server: "s0".into(), id: "a".into(), body: "s0 a".into() } }
}

fn down(how: &str) -> Event {
    Event { at: 900_000, what: EventKind::Down { process: "n0".into(), how: how.into(), expected: true } }
}

/// The properties that a history violates. The process exits in order where the history has no exit.
fn violated(history: &[Event]) -> Vec<Property> {
    let mut history = history.to_vec();
    if !history.iter().any(|event| matches!(event.what, EventKind::Down { .. })) {
        history.push(down(ORDERLY_EXIT));
    }
    match judge(&history, BOUNDS).0 {
        Verdict::Kept => Vec::new(),
        Verdict::Broken(violations) => violations.into_iter().map(|violation| violation.property).collect(),
        Verdict::Void(late) => panic!("void: {late}"),
    }
}

#[test]
fn every_request_needs_one_complete_answer_in_time() {
    let served = || answered(100, Answer::Served("s0 a".into()));
    assert_eq!(violated(&[sent("a", false), started(50), served()]), []);
    assert_eq!(violated(&[sent("a", false)]), [Property::OneAnswer]);
    assert_eq!(violated(&[sent("a", false), served()]), [Property::OneAnswer], "no server made it");
    assert_eq!(violated(&[sent("a", false), started(50), served(), served()]), [Property::OneAnswer]);
    assert_eq!(violated(&[sent("a", false), answered(550_001, Answer::Failed)]), [Property::OneAnswer]);
    let broken_answer = Answer::Broken("it ended after the request was read".into());
    assert_eq!(violated(&[sent("a", false), answered(100, broken_answer)]), [Property::OneAnswer]);
}

#[test]
fn request_lost_to_a_close_must_not_have_started() {
    let crossed = Event { at: 100, what: EventKind::CrossedClose { id: "a".into() } };
    assert_eq!(violated(&[sent("a", false), crossed.clone()]), []);
    assert_eq!(violated(&[sent("a", false), started(50), crossed]), [Property::OneAnswer]);
}

#[test]
fn unsafe_request_starts_once_at_most_and_is_not_refused_afterwards() {
    assert_eq!(
        violated(&[sent("a", true), started(50), started(60), answered(90, Answer::Failed)]),
        [Property::AtMostOnce]
    );
    assert_eq!(
        violated(&[sent("a", true), started(50), answered(90, Answer::Refused)]),
        [Property::AtMostOnce]
    );
}

#[test]
fn no_attempt_starts_after_its_client_left() {
    let left = Event { at: 1000, what: EventKind::ClientLeft { id: "a".into() } };
    assert_eq!(violated(&[sent("a", false), left.clone(), started(101_000)]), []);
    assert_eq!(
        violated(&[sent("a", false), left.clone(), started(101_001)]),
        [Property::NoStartAfterClientLeft]
    );
    // A stopped server reads at the end what was sent to it before.
    let stop = |process: &str| Event {
        at: 0,
        what: EventKind::FaultInjected { fault: Fault::Stop { process: process.into() } },
    };
    assert_eq!(violated(&[stop("s0"), sent("a", false), left.clone(), started(800_000)]), []);
    let other = [stop("s1"), sent("a", false), left, started(800_000)];
    assert_eq!(violated(&other), [Property::NoStartAfterClientLeft]);
}

#[test]
fn process_must_exit_in_time_and_in_order() {
    assert_eq!(violated(&[down("ended with exit status: 1")]), [Property::NoCrash]);
    let overdue = Event { at: 800_000, what: EventKind::Overdue { process: "n0".into() } };
    assert_eq!(violated(&[overdue]), [Property::TerminatesInTime]);
    let (verdict, _) = judge(&[], BOUNDS);
    assert!(
        matches!(verdict, Verdict::Broken(violations) if violations[0].property == Property::TerminatesInTime)
    );
}

#[test]
fn late_rig_gives_no_verdict() {
    let late = |by| Event { at: 10, what: EventKind::TimerLate { by } };
    assert_eq!(judge(&[late(BOUNDS.timer_lateness), down(ORDERLY_EXIT)], BOUNDS).0, Verdict::Kept);
    // Also where a property is violated: the late rig may be the cause.
    let history = [late(BOUNDS.timer_lateness + 1), sent("a", false), down(ORDERLY_EXIT)];
    assert_eq!(judge(&history, BOUNDS).0, Verdict::Void(BOUNDS.timer_lateness + 1));
}
