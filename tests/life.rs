//! The life of requests: every completion code for every class, groups and windows, final answers.

mod common;

use common::*;
use dunlincleat::api::*;

const MAY_HAVE_RUN: [Status; 4] = [Status::Error, Status::Timeout, Status::Reset, Status::Cancelled];
const NEVER_RAN: [Status; 3] = [Status::Rejected, Status::ConnectFailed, Status::NotSent];

/// Asks once, ends the first attempt so, and tells the attempts made and the final answer.
fn after(class: u32, status: Status) -> (usize, Option<&'static str>) {
    let mut world = World::new(settings(), &members(8));
    world.ask(1, class, Span(700 * MS));
    assert_eq!(world.attempts_of(1), 1);
    world.pass(Span(10 * MS));
    world.end(1, status, &[]);
    (world.attempts_of(1), world.answer_of(1))
}

#[test]
fn a_served_request_is_done() {
    for class in [SAFE, UNSAFE, KEYED_ALL, KEYED_ZONE, KEYED_CELL] {
        assert_eq!(after(class, Status::Ok), (1, Some("served")));
    }
}

#[test]
fn an_attempt_that_never_ran_is_made_elsewhere_for_every_class() {
    for class in [SAFE, UNSAFE, KEYED_ALL, KEYED_ZONE, KEYED_CELL] {
        for status in NEVER_RAN {
            assert_eq!(after(class, status), (2, None), "class {class} after {status:?}");
        }
    }
}

#[test]
fn what_may_have_run_is_repeated_only_where_that_does_no_harm() {
    for status in MAY_HAVE_RUN {
        for class in [SAFE, KEYED_ALL, KEYED_ZONE, KEYED_CELL] {
            assert_eq!(after(class, status), (2, None), "class {class} after {status:?}");
        }
        assert_eq!(after(UNSAFE, status), (1, Some("failed")), "{status:?}");
    }
}

#[test]
fn a_repeat_goes_to_another_server_of_the_group() {
    for (class, same) in [(KEYED_ZONE, true), (KEYED_CELL, true), (SAFE, false)] {
        let mut world = World::new(settings(), &members(8));
        world.ask(1, class, Span(700 * MS));
        let first = world.server_of(1);
        world.end(1, Status::Error, &[]);
        let second = world.server_of(1);
        assert_ne!(first, second);
        if same {
            let (a, b) = (world.known[&first.0], world.known[&second.0]);
            assert!(if class == KEYED_ZONE { a.zone == b.zone } else { a.cell == b.cell });
        }
    }
}

#[test]
fn a_keyed_request_is_not_repeated_after_its_window() {
    let mut set = settings();
    set.classes[KEYED_ALL as usize].aim = Span(700 * MS);
    set.classes[KEYED_ZONE as usize].aim = Span(700 * MS);
    for (class, answer) in [(KEYED_ALL, "refused"), (KEYED_ZONE, "failed")] {
        let mut world = World::new(set.clone(), &members(8));
        world.ask(1, class, Span(700 * MS));
        world.pass(Span(450 * MS));
        world.end(1, Status::Error, &[]);
        assert_eq!((world.attempts_of(1), world.answer_of(1)), (1, Some(answer)));
    }
}

#[test]
fn the_window_runs_from_the_first_attempt_that_may_have_run() {
    let mut set = settings();
    set.classes[KEYED_ALL as usize].aim = Span(700 * MS);
    let mut world = World::new(set, &members(8));
    world.ask(1, KEYED_ALL, Span(700 * MS));
    world.pass(Span(200 * MS));
    world.end(1, Status::ConnectFailed, &[]);
    world.pass(Span(300 * MS));
    // 500 ms after the first send, but only 300 ms after the one that may have run.
    world.end(1, Status::Error, &[]);
    assert_eq!(world.attempts_of(1), 3);
}

#[test]
fn attempts_end_at_the_limit_with_a_refusal_where_nothing_ran() {
    let mut world = World::new(settings(), &members(8));
    world.ask(1, UNSAFE, Span(700 * MS));
    for _ in 0..10 {
        world.end(1, Status::Rejected, &[]);
    }
    assert_eq!((world.attempts_of(1), world.answer_of(1)), (4, Some("refused")));
}

#[test]
fn a_time_out_at_the_aim_gets_its_final_answer_at_once() {
    for (class, answer) in [(SAFE, "refused"), (UNSAFE, "failed"), (KEYED_ALL, "refused")] {
        let mut world = World::new(settings(), &members(4));
        world.ask(1, class, Span(700 * MS));
        world.pass(Span(301 * MS));
        assert_eq!(world.answer_of(1), Some(answer));
    }
}

#[test]
fn the_time_that_the_client_waits_counts_not_the_class() {
    let mut world = World::new(settings(), &members(4));
    world.ask(1, SAFE, Span(40 * MS));
    world.pass(Span(41 * MS));
    assert_eq!(world.answer_of(1), Some("refused"));
}

#[test]
fn a_client_that_left_is_owed_nothing() {
    let mut world = World::new(settings(), &members(4));
    world.ask(1, SAFE, Span(700 * MS));
    world.withdraw(1);
    world.pass(Span(20 * MS));
    world.end(1, Status::Error, &[]);
    assert_eq!(world.attempts_of(1), 1);
    world.withdraw(1);
}

#[test]
fn without_any_server_requests_are_refused_promptly() {
    let mut world = World::new(settings(), &[]);
    for class in [SAFE, UNSAFE, KEYED_ALL, KEYED_ZONE, KEYED_CELL] {
        world.ask(u64::from(class), class, Span(700 * MS));
        assert_eq!(world.answer_of(u64::from(class)), Some("refused"));
    }
}

#[test]
fn with_one_server_all_goes_there() {
    let mut world = World::new(settings(), &members(1));
    let got = world.serve(0, 50, |_| Vec::new());
    assert_eq!(got[&0], 50);
}

#[test]
fn a_stream_that_began_is_left_alone() {
    let mut set = settings();
    set.classes[0].stream = true;
    let mut world = World::new(set, &members(4));
    world.ask(1, SAFE, Span(700 * MS));
    world.event(Event::ResponseStarted { id: RequestId(1), attempt: Attempt(0) });
    world.asked.get_mut(&1).unwrap().deadline = Time(u64::MAX);
    world.pass(Span(50 * MS));
    assert_eq!((world.attempts_of(1), world.answer_of(1)), (1, None));
}

#[test]
fn advice_to_come_back_is_given_only_where_clients_take_it() {
    for (allowed, most) in [(None, None), (Some(Span(50 * MS)), Some(Span(50 * MS)))] {
        let mut set = settings();
        set.limits.retry_after = allowed;
        let mut world = World::new(set, &[]);
        world.ask(1, SAFE, Span(700 * MS));
        let advice = world.said.iter().find_map(|a| match a {
            Action::Refuse { retry_after, .. } => Some(*retry_after),
            _ => None,
        });
        let advice = advice.expect("refused");
        assert!(advice.is_some() == most.is_some() && advice <= most);
    }
}

/// Guards requests in hand when settings change: one that a new file made unsafe, or gave fewer attempts, goes on as
/// it was taken.
#[test]
fn open_requests_keep_their_class_and_attempts_under_new_settings() {
    let mut world = World::new(settings(), &members(8));
    world.ask(1, SAFE, Span(700 * MS));
    let mut next = settings();
    next.classes[SAFE as usize].retired = true;
    next.classes.push(class(Effect::Unsafe));
    next.limits.max_attempts = 2;
    world.event(Event::Settings { set: &next });
    let new = next.classes.len() as u32 - 1;
    world.set.classes = next.classes;
    for _ in 0..2 {
        world.pass(Span(5 * MS));
        world.end(1, Status::Reset, &[]);
    }
    assert_eq!(
        (world.attempts_of(1), world.answer_of(1)),
        (3, None),
        "repeated as before, beyond the new number"
    );
    world.ask(2, new, Span(700 * MS));
    world.pass(Span(5 * MS));
    world.end(2, Status::Reset, &[]);
    assert_eq!((world.attempts_of(2), world.answer_of(2)), (1, Some("failed")));
    world.ask(3, KEYED_ALL, Span(700 * MS));
    for _ in 0..2 {
        world.pass(Span(5 * MS));
        world.end(3, Status::Reset, &[]);
    }
    assert_eq!((world.attempts_of(3), world.answer_of(3)), (2, Some("refused")));
}
