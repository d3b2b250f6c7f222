//! Request lifecycle: every completion status for every class, retry groups and windows, final answers.

mod common;

use common::*;
use dunlincleat::api::*;

const MAY_HAVE_RUN: [Status; 4] = [Status::Error, Status::Timeout, Status::Reset, Status::Cancelled];
const NEVER_RAN: [Status; 3] = [Status::Rejected, Status::ConnectFailed, Status::NotSent];

/// Sends one request, ends its first attempt with `status`, and returns the attempts made and the final
/// answer.
fn outcome_after(class: u32, status: Status) -> (usize, Option<Answer>) {
    let mut host = TestHost::new(settings(), &members(8));
    host.request(1, class, Span(700 * MS));
    assert_eq!(host.attempts_of(1), 1);
    host.advance(Span(10 * MS));
    host.finish(1, status, &[]);
    (host.attempts_of(1), host.answer_of(1))
}

#[test]
fn served_request_is_closed() {
    for class in [SAFE, UNSAFE, KEYED_ALL, KEYED_ZONE, KEYED_CELL] {
        assert_eq!(outcome_after(class, Status::Ok), (1, Some(Answer::Served)));
    }
}

#[test]
fn attempt_that_never_ran_is_retried_for_every_class() {
    for class in [SAFE, UNSAFE, KEYED_ALL, KEYED_ZONE, KEYED_CELL] {
        for status in NEVER_RAN {
            assert_eq!(outcome_after(class, status), (2, None), "class {class} after {status:?}");
        }
    }
}

#[test]
fn attempt_that_may_have_run_is_retried_only_where_safe() {
    for status in MAY_HAVE_RUN {
        for class in [SAFE, KEYED_ALL, KEYED_ZONE, KEYED_CELL] {
            assert_eq!(outcome_after(class, status), (2, None), "class {class} after {status:?}");
        }
        assert_eq!(outcome_after(UNSAFE, status), (1, Some(Answer::Failed)), "{status:?}");
    }
}

#[test]
fn retry_goes_to_another_server_of_the_group() {
    for (class, same) in [(KEYED_ZONE, true), (KEYED_CELL, true), (SAFE, false)] {
        let mut host = TestHost::new(settings(), &members(8));
        host.request(1, class, Span(700 * MS));
        let first = host.server_of(1);
        host.finish(1, Status::Error, &[]);
        let second = host.server_of(1);
        assert_ne!(first, second);
        if same {
            let (a, b) = (host.members[&first.0], host.members[&second.0]);
            assert!(if class == KEYED_ZONE { a.zone == b.zone } else { a.cell == b.cell });
        }
    }
}

#[test]
fn keyed_request_is_not_retried_after_its_window() {
    let mut set = settings();
    set.classes[KEYED_ALL as usize].aim = Span(700 * MS);
    set.classes[KEYED_ZONE as usize].aim = Span(700 * MS);
    for (class, answer) in [(KEYED_ALL, Answer::Refused), (KEYED_ZONE, Answer::Failed)] {
        let mut host = TestHost::new(set.clone(), &members(8));
        host.request(1, class, Span(700 * MS));
        host.advance(Span(450 * MS));
        host.finish(1, Status::Error, &[]);
        assert_eq!((host.attempts_of(1), host.answer_of(1)), (1, Some(answer)));
    }
}

#[test]
fn key_window_starts_at_first_attempt_that_may_have_run() {
    let mut set = settings();
    set.classes[KEYED_ALL as usize].aim = Span(700 * MS);
    let mut host = TestHost::new(set, &members(8));
    host.request(1, KEYED_ALL, Span(700 * MS));
    host.advance(Span(200 * MS));
    host.finish(1, Status::ConnectFailed, &[]);
    host.advance(Span(300 * MS));
    // 500 ms after the first attempt, but only 300 ms after the first one that may have run.
    host.finish(1, Status::Error, &[]);
    assert_eq!(host.attempts_of(1), 3);
}

#[test]
fn request_is_refused_at_the_attempt_limit_if_nothing_ran() {
    let mut host = TestHost::new(settings(), &members(8));
    host.request(1, UNSAFE, Span(700 * MS));
    for _ in 0..10 {
        host.finish(1, Status::Rejected, &[]);
    }
    assert_eq!((host.attempts_of(1), host.answer_of(1)), (4, Some(Answer::Refused)));
}

#[test]
fn timeout_at_the_aim_is_answered_at_once() {
    for (class, answer) in [(SAFE, Answer::Refused), (UNSAFE, Answer::Failed), (KEYED_ALL, Answer::Refused)] {
        let mut host = TestHost::new(settings(), &members(4));
        host.request(1, class, Span(700 * MS));
        host.advance(Span(301 * MS));
        assert_eq!(host.answer_of(1), Some(answer));
    }
}

#[test]
fn client_timeout_overrides_class_deadline() {
    let mut host = TestHost::new(settings(), &members(4));
    host.request(1, SAFE, Span(40 * MS));
    host.advance(Span(41 * MS));
    assert_eq!(host.answer_of(1), Some(Answer::Refused));
}

#[test]
fn no_answer_after_the_client_left() {
    let mut host = TestHost::new(settings(), &members(4));
    host.request(1, SAFE, Span(700 * MS));
    host.leave(1);
    host.advance(Span(20 * MS));
    host.finish(1, Status::Error, &[]);
    assert_eq!(host.attempts_of(1), 1);
    host.leave(1);
}

#[test]
fn requests_are_refused_at_once_without_servers() {
    let mut host = TestHost::new(settings(), &[]);
    for class in [SAFE, UNSAFE, KEYED_ALL, KEYED_ZONE, KEYED_CELL] {
        host.request(u64::from(class), class, Span(700 * MS));
        assert_eq!(host.answer_of(u64::from(class)), Some(Answer::Refused));
    }
}

#[test]
fn single_server_gets_all_requests() {
    let mut host = TestHost::new(settings(), &members(1));
    let received = host.serve(0, 50, |_| Vec::new());
    assert_eq!(received[&0], 50);
}

#[test]
fn started_stream_is_not_retried() {
    let mut set = settings();
    set.classes[0].stream = true;
    let mut host = TestHost::new(set, &members(4));
    host.request(1, SAFE, Span(700 * MS));
    host.deliver(Event::ResponseStarted { id: RequestId(1), attempt: Attempt(0) });
    host.requests.get_mut(&1).unwrap().deadline = Time(u64::MAX);
    host.advance(Span(50 * MS));
    assert_eq!((host.attempts_of(1), host.answer_of(1)), (1, None));
}

#[test]
fn retry_after_is_given_only_where_allowed() {
    for (allowed, longest) in [(None, None), (Some(Span(50 * MS)), Some(Span(50 * MS)))] {
        let mut set = settings();
        set.limits.retry_after = allowed;
        let mut host = TestHost::new(set, &[]);
        host.request(1, SAFE, Span(700 * MS));
        let advice = host.actions.iter().find_map(|a| match a {
            Action::Refuse { retry_after, .. } => Some(*retry_after),
            _ => None,
        });
        let advice = advice.expect("refused");
        assert!(advice.is_some() == longest.is_some() && advice <= longest);
    }
}

/// Guards open requests when settings change: one whose class becomes unsafe or gets fewer attempts in the
/// new settings is handled as before.
#[test]
fn open_requests_keep_class_and_attempt_limit_under_new_settings() {
    let mut host = TestHost::new(settings(), &members(8));
    host.request(1, SAFE, Span(700 * MS));
    let mut new_settings = settings();
    new_settings.classes[SAFE as usize].retired = true;
    new_settings.classes.push(class(Effect::Unsafe));
    new_settings.limits.max_attempts = 2;
    host.deliver(Event::Settings { set: &new_settings });
    let new_class = new_settings.classes.len() as u32 - 1;
    host.set.classes = new_settings.classes;
    for _ in 0..2 {
        host.advance(Span(5 * MS));
        host.finish(1, Status::Reset, &[]);
    }
    assert_eq!(
        (host.attempts_of(1), host.answer_of(1)),
        (3, None),
        "retried as before, beyond the new attempt limit"
    );
    host.request(2, new_class, Span(700 * MS));
    host.advance(Span(5 * MS));
    host.finish(2, Status::Reset, &[]);
    assert_eq!((host.attempts_of(2), host.answer_of(2)), (1, Some(Answer::Failed)));
    host.request(3, KEYED_ALL, Span(700 * MS));
    for _ in 0..2 {
        host.advance(Span(5 * MS));
        host.finish(3, Status::Reset, &[]);
    }
    assert_eq!((host.attempts_of(3), host.answer_of(3)), (2, Some(Answer::Refused)));
}
