//! Retry budgets and limits on a simulated clock, and the choice among pools.

use dunlincleat::api::Time;
use dunlincleat_limits::{Gate, PoolChoice, PoolHealth, PoolRule, RetryBudget, Rule};
use std::sync::Arc;

fn rule(name: &str, part: f64, least_per_s: f64) -> Rule {
    Rule {
        name: name.into(),
        retry_budget: Some(RetryBudget { retries_per_attempt: part, min_retries_per_s: least_per_s }),
        ..Rule::unrestricted()
    }
}

/// Admits `tries` requests at one time, asks for `asked` retries, and returns how many of these the budget allows.
fn allowed_retries(gate: &mut Gate, now: u64, rule: &Rule, tries: u32, asked: u32) -> u32 {
    let mut allowed = 0;
    for n in 0..tries.max(asked) {
        let mut admission = if n < tries { gate.admit(Time(now), rule).unwrap() } else { Default::default() };
        if n < asked && gate.allow_retry(Time(now), rule, &mut admission, 1) {
            allowed += 1;
            gate.mark_sent(rule, &mut admission);
        }
        if n < tries {
            gate.release(rule, admission);
        }
    }
    allowed
}

#[test]
fn retry_budgets_of_routes_are_independent() {
    let mut gate = Gate::new(1000);
    let busy = rule("busy", 0.1, 0.0);
    let other = rule("other", 0.1, 0.0);
    let spent = allowed_retries(&mut gate, 1_000_000, &busy, 200, 200);
    assert!((15..=21).contains(&spent), "{spent} retries for 200 first attempts with a budget of 0.1");
    assert_eq!(allowed_retries(&mut gate, 1_000_000, &busy, 1, 50), 0);
    let others = allowed_retries(&mut gate, 1_000_000, &other, 200, 200);
    assert_eq!(others, spent);
    assert_eq!(gate.in_hand(), 0);
}

#[test]
fn clock_jump_earns_at_most_ten_seconds_of_the_least_rate() {
    let mut gate = Gate::new(1000);
    let quiet = rule("quiet", 0.0, 2.0);
    allowed_retries(&mut gate, 1_000_000, &quiet, 1, 50);
    let after_a_day = allowed_retries(&mut gate, 86_400_000_000, &quiet, 1, 500);
    assert_eq!(after_a_day, 20);
    // A clock that goes back earns no retries.
    assert_eq!(allowed_retries(&mut gate, 1_000_000, &quiet, 1, 50), 0);
}

#[test]
fn empty_pool_falls_back_and_is_used_again_once_healthy() {
    let pool = |name: &str| {
        Arc::new(PoolRule { name: name.into(), zones: None, models: None, cells: None, weight: None })
    };
    let choice = |name: &str, least_healthy| PoolChoice { pool: pool(name), least_healthy };
    let rule = Rule { pools: vec![choice("near", 0.5), choice("far", 0.0)], ..Rule::unrestricted() };
    let pool_for = |near: (usize, usize), far: (usize, usize)| {
        let health = |pool: &PoolRule| {
            let (servers, healthy) = if pool.name == "near" { near } else { far };
            PoolHealth { servers, healthy }
        };
        rule.choose_pool(health).unwrap().name.clone()
    };
    assert_eq!(pool_for((4, 4), (4, 4)), "near");
    assert_eq!(pool_for((4, 1), (4, 4)), "far");
    assert_eq!(pool_for((0, 0), (4, 1)), "far");
    assert_eq!(pool_for((4, 2), (4, 4)), "near");
    // Neither pool has enough healthy servers: the healthier one is used, and without any servers the first.
    assert_eq!(pool_for((4, 1), (4, 0)), "near");
    assert_eq!(pool_for((0, 0), (0, 0)), "near");
}
