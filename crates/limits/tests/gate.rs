//! Retry budgets and limits on a simulated clock, and the choice among pools.

use dunlincleat::api::Time;
use dunlincleat_limits::{Gate, PoolChoice, PoolHealth, RetryBudget, Rule};

fn rule(name: &str, part: f64, least_per_s: f64) -> Rule {
    Rule {
        name: name.into(),
        retry_budget: Some(RetryBudget { retries_per_attempt: part, min_retries_per_s: least_per_s }),
        ..Rule::unrestricted()
    }
}

/// Admits `tries` requests at one time, asks for `asked` retries, and returns how many of these the budget allows.
fn repeats(gate: &mut Gate, now: u64, rule: &Rule, tries: u32, asked: u32) -> u32 {
    let mut paid = 0;
    for n in 0..tries.max(asked) {
        let mut stand = if n < tries { gate.admit(Time(now), rule).unwrap() } else { Default::default() };
        if n < asked && gate.allow_retry(Time(now), rule, &mut stand, 1) {
            paid += 1;
            gate.mark_sent(rule, &mut stand);
        }
        if n < tries {
            gate.release(rule, stand);
        }
    }
    paid
}

#[test]
fn a_budget_spent_by_one_route_starves_no_other() {
    let mut gate = Gate::new(1000);
    let (greedy, other) = (rule("greedy", 0.1, 0.0), rule("other", 0.1, 0.0));
    let spent = repeats(&mut gate, 1_000_000, &greedy, 200, 200);
    assert!((15..=21).contains(&spent), "{spent} retries for 200 first attempts with a budget of 0.1");
    assert_eq!(repeats(&mut gate, 1_000_000, &greedy, 1, 50), 0);
    let others = repeats(&mut gate, 1_000_000, &other, 200, 200);
    assert_eq!(others, spent);
    assert_eq!(gate.in_hand(), 0);
}

#[test]
fn a_clock_that_jumps_brings_no_more_than_the_least_rate_of_ten_seconds() {
    let mut gate = Gate::new(1000);
    let quiet = rule("quiet", 0.0, 2.0);
    repeats(&mut gate, 1_000_000, &quiet, 1, 50);
    let after_a_day = repeats(&mut gate, 86_400_000_000, &quiet, 1, 500);
    assert_eq!(after_a_day, 20);
    // A clock that goes back earns no retries.
    assert_eq!(repeats(&mut gate, 1_000_000, &quiet, 1, 50), 0);
}

#[test]
fn a_pool_that_empties_in_a_deploy_falls_back_and_is_used_again() {
    let choice = |name: &str, least_healthy| PoolChoice { name: name.into(), least_healthy };
    let rule = Rule { pools: vec![choice("near", 0.5), choice("far", 0.0)], ..Rule::unrestricted() };
    let with = |near: (usize, usize), far: (usize, usize)| {
        let health = |name: &str| {
            let (servers, healthy) = if name == "near" { near } else { far };
            PoolHealth { servers, healthy }
        };
        rule.choose_pool(health).unwrap_or_default().to_owned()
    };
    assert_eq!(with((4, 4), (4, 4)), "near");
    assert_eq!(with((4, 1), (4, 4)), "far");
    assert_eq!(with((0, 0), (4, 1)), "far");
    assert_eq!(with((4, 2), (4, 4)), "near");
    // Neither pool has enough healthy servers: the healthier one is used, and without any servers the first.
    assert_eq!(with((4, 1), (4, 0)), "near");
    assert_eq!(with((0, 0), (0, 0)), "near");
}
