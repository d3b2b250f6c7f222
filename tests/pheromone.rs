//! The window step against values calculated by hand, and the frequencies of the draw.

mod common;

use common::*;
use dunlincleat::api::*;
use dunlincleat::rules::{saturated, window_step};

fn assert_close(actual: &[f64], expected: &[f64]) {
    assert_eq!(actual.len(), expected.len());
    for (a, e) in actual.iter().zip(expected) {
        assert!((a - e).abs() < 1e-6, "{actual:?} is not {expected:?}");
    }
}

#[test]
fn idle_server_rises_while_silent_one_evaporates() {
    // Idle: 0.5 + 1 * (1 - 0.5) = 1. Silent: 0.5 - 0.2 * 0.5 = 0.4. Sum 1.4.
    let mut pheromone = [0.5, 0.5];
    window_step(&mut pheromone, &[Some(0.0), None], 1.0, 1.0);
    assert_close(&pheromone, &[1.0 / 1.4, 0.4 / 1.4]);
}

#[test]
fn rise_follows_the_formula_of_the_paper() {
    // x = 0.5: 0.5 * 1.6487213 = 0.8243606 of the 0.75 left to 1: 0.25 + 0.6182705. x = 1: no rise.
    let mut pheromone = [0.25, 0.75];
    window_step(&mut pheromone, &[Some(0.5), Some(1.0)], 1.0, 1.0);
    let sum = 0.868_270_5 + 0.75;
    assert_close(&pheromone, &[0.868_270_5 / sum, 0.75 / sum]);
}

#[test]
fn shares_move_part_of_the_way() {
    let mut pheromone = [0.5, 0.5];
    window_step(&mut pheromone, &[Some(0.0), None], 0.2, 0.2);
    // A fifth of the way from 0.5 to 0.7142857 and to 0.2857143.
    assert_close(&pheromone, &[0.542_857_1, 0.457_142_9]);
}

#[test]
fn floor_holds_and_sum_stays_one() {
    let mut pheromone = [0.5, 0.25, 0.25];
    for _ in 0..200 {
        window_step(&mut pheromone, &[Some(0.0), Some(1.0), None], 0.5, 0.5);
    }
    assert!((pheromone.iter().sum::<f64>() - 1.0).abs() < 1e-9);
    assert!(pheromone[1] > 0.002 && pheromone[2] > 0.002, "{pheromone:?}");
    assert!(pheromone[0] > 0.9, "{pheromone:?}");
}

#[test]
fn shares_are_unchanged_if_all_servers_are_silent() {
    let mut pheromone = [0.2, 0.3, 0.5];
    window_step(&mut pheromone, &[None, None, None], 1.0, 1.0);
    assert_close(&pheromone, &[0.2, 0.3, 0.5]);
}

#[test]
fn scores_are_relative_to_the_largest_and_zeros_stay_zero() {
    assert_eq!(saturated(&[Some(0.0), None, Some(0.0)]), vec![Some(0.0), None, Some(0.0)]);
    let x = saturated(&[Some(0.0), Some(1.0), None, Some(2.0)]);
    assert_eq!(x[0], Some(0.0));
    assert_eq!(x[2], None);
    assert_eq!(x[3], Some(1.0));
    assert!(x[1].is_some_and(|v| v > 0.9 && v < 1.0), "{x:?}");
}

#[test]
fn equal_servers_are_drawn_equally() {
    let mut host = TestHost::new(settings(), &members(4));
    let received = host.serve(0, 4_000, |_| Vec::new());
    for n in 0..4 {
        let part = received[&n] as f64 / 4_000.0;
        assert!((part - 0.25).abs() < 0.05, "{received:?}");
    }
}

#[test]
fn draws_follow_reported_load() {
    let mut set = settings();
    set.reports = Reports::InAnswers;
    set.fields = vec![Field::Other, Field::Util];
    let mut host = TestHost::new(set, &members(4));
    host.serve(0, 500, |s| vec![50.0, if s == 0 { 0.1 } else { 0.9 }]);
    let received = host.serve(500, 1_000, |s| vec![50.0, if s == 0 { 0.1 } else { 0.9 }]);
    assert!(received[&0] > 500, "the server with the lowest load is drawn most: {received:?}");
    let least = (1..4).map(|n| received.get(&n).copied().unwrap_or(0)).min();
    assert!(least > Some(0), "draws are weighted, no server is left out: {received:?}");
}

#[test]
fn request_in_an_old_window_waits_for_a_probe_round() {
    let mut set = counting();
    set.limits.probes = true;
    set.prices.probe = 0.002;
    let mut host = TestHost::new(set, &members(4));
    for id in 0..200 {
        host.advance(Span(40 * MS));
        host.request(id, SAFE, Span(700 * MS));
        if !host.probes.is_empty() {
            assert_eq!(host.probes.len(), 4, "all servers are probed");
            assert_eq!(host.attempts_of(id), 0, "the request waits for the probe answers");
            host.answer_probes(|s| if s == 3 { 0.0 } else { 3.0 });
        }
        assert_eq!(host.attempts_of(id), 1);
        host.advance(Span(10 * MS));
        let load = if host.server_of(id).0 == 3 { 0.0 } else { 3.0 };
        host.finish(id, Status::Ok, &[load, 0.0, 0.5]);
    }
    let to_idle = host.sends.iter().rev().take(100).filter(|(_, s)| s.0 == 3).count();
    assert!(to_idle > 85, "the idle server got {to_idle} of the last 100");
}

#[test]
fn probe_round_ends_without_an_answer() {
    let mut set = counting();
    set.limits.probes = true;
    set.prices.probe = 0.002;
    let mut host = TestHost::new(set, &members(2));
    let mut waited = 0;
    for id in 0..50 {
        host.request(id, SAFE, Span(700 * MS));
        waited += u32::from(host.attempts_of(id) == 0);
        host.advance(Span(10 * MS));
        assert_eq!(host.attempts_of(id), 1, "an unanswered probe must not block a request");
        host.finish(id, Status::Ok, &[0.0, 0.0, 0.0]);
        host.answer_probe(0, Status::Ok, &[0.0, 0.0, 0.0]);
        host.answer_probe(1, Status::Timeout, &[]);
        host.advance(Span(20 * MS));
    }
    assert!(waited > 0, "no request ever waited for a probe round");
}
