//! The slow-start ramp of cold nodes holds for the whole fleet: the sum of what all instances send to a cold node stays
//! within its budget plus the tolerated random variation, for few instances and for hundreds.

use dunlincleat::api::Span;
use dunlincleat_fleet::audit::Auditor;
use dunlincleat_fleet::cold_start::{Allowance, ColdBudget, limit};
use dunlincleat_fleet::mutant::InjectedFault;
use dunlincleat_fleet::node::{Job, NodeProcess};
use dunlincleat_fleet::report::Report;
use dunlincleat_fleet::scenario::{Fault, Scenario, Time};
use dunlincleat_fleet::world::{Policy, simulate};

const RULE: &str = "cold budget";
const SECOND: u64 = 1_000_000;
/// The cold process that hand-made requests are sent to.
const COLD: NodeProcess = NodeProcess { node: 3, incarnation: 1 };
const ALLOWANCE: Allowance = Allowance { budget: 100.0, window: SECOND };

/// A hand-made request to a cold node.
#[derive(Clone, Copy)]
struct Send {
    instance: u32,
    at: u64,
    /// Its work relative to the mean.
    calls: f64,
}

fn violations_of_rule(auditor: Auditor) -> u64 {
    auditor.into_findings().counts.get(RULE).copied().unwrap_or(0)
}

/// How often the rule is violated by requests to one cold node with a budget of 100 within 1 s, where the instances
/// below `notified` have been notified of the process.
fn count_violations(notified: u32, sends: impl IntoIterator<Item = Send>) -> u64 {
    let mut auditor = Auditor::default();
    for instance in 0..notified {
        auditor.listed(instance, COLD, false, 0);
    }
    for (request, Send { instance, at, calls }) in (0..).zip(sends) {
        auditor.cold_arrival(Job { instance, request, attempt: 0 }, COLD, calls, ALLOWANCE, at);
    }
    violations_of_rule(auditor)
}

/// This number of requests of mean work at one instant, spread over 40 instances.
fn simultaneous(count: u32) -> impl Iterator<Item = Send> {
    (0..count).map(|n| Send { instance: n % 40, at: 7 * SECOND, calls: 1.0 })
}

#[test]
fn limit_adds_statistical_tolerance_to_the_budget() {
    for (budget, expected) in [(0.0, 2.0), (1.0, 5.0), (4.0, 10.0), (100.0, 122.0), (2500.0, 2602.0)] {
        assert_eq!(limit(budget), expected);
    }
    // No instance sends more than four: only the sum is above the limit.
    assert_eq!(count_violations(40, simultaneous(122)), 0);
    assert_eq!(count_violations(40, simultaneous(123)), 1);
    // A process is overloaded once, whatever arrives afterwards.
    assert_eq!(count_violations(40, simultaneous(500)), 1);
}

#[test]
fn requests_are_weighted_by_work_relative_to_the_mean() {
    assert_eq!(count_violations(40, simultaneous(61).map(|send| Send { calls: 2.0, ..send })), 0);
    assert_eq!(count_violations(40, simultaneous(62).map(|send| Send { calls: 2.0, ..send })), 1);
    assert_eq!(count_violations(40, simultaneous(244).map(|send| Send { calls: 0.5, ..send })), 0);
}

#[test]
fn budget_applies_to_a_sliding_window() {
    // 122 in every second, for 10 s.
    let even = |n: u32| Send { instance: n % 40, at: SECOND * u64::from(n) / 122, calls: 1.0 };
    assert_eq!(count_violations(40, (0..1220).map(even)), 0);
    // 123 in two groups: after a whole second the first group has left the window when the second one arrives.
    let two_groups = |gap: u64| {
        (0..123_u32).map(move |n| Send { instance: n % 40, at: if n < 62 { 0 } else { gap }, calls: 1.0 })
    };
    assert_eq!(count_violations(40, two_groups(SECOND)), 0);
    assert_eq!(count_violations(40, two_groups(SECOND - 1)), 1);
}

#[test]
fn overload_counts_only_if_over_two_thirds_came_from_notified_instances() {
    // Of 123 requests, 82 are exactly two thirds.
    let mixed = |notified: u32| {
        (0..123_u32).map(move |n| Send { instance: u32::from(n >= notified), at: 0, calls: 1.0 })
    };
    assert_eq!(count_violations(1, mixed(82)), 0);
    assert_eq!(count_violations(1, mixed(83)), 1);
    assert_eq!(count_violations(0, simultaneous(500)), 0);
}

#[test]
fn each_process_start_has_its_own_budget_and_the_initial_list_notifies() {
    let job = |instance, request| Job { instance, request, attempt: 0 };
    let count = |incarnations: [u32; 2], nodes: [usize; 2]| {
        let mut auditor = Auditor::default();
        for (n, (incarnation, node)) in (0..).zip(incarnations.into_iter().zip(nodes)) {
            let process = NodeProcess { node, incarnation };
            auditor.initially_listed(9, process);
            for request in 0..100 {
                auditor.cold_arrival(job(9, 1000 * n + request), process, 1.0, ALLOWANCE, 0);
            }
        }
        violations_of_rule(auditor)
    };
    assert_eq!(count([1, 1], [0, 0]), 1);
    assert_eq!(count([1, 2], [0, 0]), 0);
    assert_eq!(count([1, 1], [0, 1]), 0);
}

#[test]
fn budget_grows_linearly_over_the_warm_up() {
    let cold_budget =
        ColdBudget { initial_part: 0.25, warm_up: 8 * SECOND, window: 3 * SECOND, warm_budget: 400.0 };
    let at = [0, 4, 8, 80].map(|age| cold_budget.budget(age * SECOND));
    assert_eq!(at, [100.0, 250.0, 400.0, 400.0]);
    let cold_budget = burst_scenario(30).cold_budget();
    // 2.5 times what two cores do in 3 s, at 100 ms each.
    assert!(
        (cold_budget.warm_budget - 150.0).abs() < 1e-9 && (cold_budget.budget(0) - 45.0).abs() < 1e-9,
        "{cold_budget:?}"
    );
}

/// New and returning servers under a burst, for any number of instances that together send the same traffic: the more
/// instances, the less each of them sends.
fn burst_scenario(instances: usize) -> Scenario {
    let mut scenario = Scenario::read(include_str!("../scenarios/cold-burst.toml")).unwrap();
    scenario.traffic.instances = instances;
    scenario
}

/// The same with half of the servers replaced within 3 s, half of them dying and returning, and a window of 1 s: a
/// budget of 15 at the start, so that single requests of many instances add up.
fn short_window_scenario(instances: usize) -> Scenario {
    let mut scenario = burst_scenario(instances);
    scenario.fleet.falls_over = Time(Span(SECOND));
    for fault in &mut scenario.faults {
        if let Fault::Death { part, .. } | Fault::Replace { part, .. } = fault {
            *part = 0.5;
        }
    }
    scenario
}

fn run_seeds(scenario: &Scenario, seeds: std::ops::Range<u64>) -> Vec<Report> {
    std::thread::scope(|scope| {
        let run = |seed| simulate(scenario, Policy::Module, seed).unwrap();
        let runs: Vec<_> = seeds.map(|seed| scope.spawn(move || run(seed))).collect();
        runs.into_iter().map(|run| run.join().unwrap()).collect()
    })
}

/// The same with aims of 2 s and a window of 1 s: overload is hardly noticed, and only the ramp limits the sum.
fn long_deadline_scenario(instances: usize) -> Scenario {
    let mut scenario = burst_scenario(instances);
    scenario.fleet.falls_over = Time(Span(SECOND));
    for class in &mut scenario.classes {
        (class.aim, class.deadline) = (Time(Span(2 * SECOND)), Time(Span(4 * SECOND)));
    }
    scenario
}

/// The same with a window of 3 s and nodes that report no load: instances know only their own requests.
fn scenario_without_load_reports(instances: usize) -> Scenario {
    let mut scenario = long_deadline_scenario(instances);
    (scenario.fleet.falls_over, scenario.fleet.reports) = (Time(Span(3 * SECOND)), false);
    scenario
}

/// Checks on each seed that no cold server is overloaded or comes close to it, that none receives more than its budget
/// even without the tolerated variation, and that the scenario tests this: servers started, and were sent a fair part
/// of their budget.
fn assert_ramp_holds(scenario: &Scenario, seeds: std::ops::Range<u64>) {
    for Report { seed, broken, cases, cold_peak, worth, .. } in run_seeds(scenario, seeds) {
        let peak = cold_peak.unwrap();
        assert!(broken.is_empty(), "seed {seed}: {peak:?} {broken:?} {cases:#?}");
        // Without the ramp, three hundred instances reach between 0.54 and 0.66 of the limit, in scenarios that would
        // pass otherwise.
        assert!((0.15..0.5).contains(&peak.fraction_of_limit()), "seed {seed}: {peak:?}");
        assert!(worth > 0.4, "seed {seed}: worth {worth}");
    }
}

/// The violations on these seeds, whichever instances are responsible. A few requests exceed a budget of 15 by chance,
/// which alone is tolerated.
fn violations(scenario: &Scenario, seeds: std::ops::Range<u64>) -> Vec<String> {
    let instances = scenario.traffic.instances;
    let describe = |Report { seed, broken, cold_peak, .. }: &Report| {
        let broken: Vec<&String> = broken.keys().filter(|rule| rule.as_str() != "cold nodes").collect();
        (!broken.is_empty())
            .then(|| format!("{instances} instances, seed {seed}: {broken:?}, {:?}", cold_peak.unwrap()))
    };
    run_seeds(scenario, seeds).iter().filter_map(describe).collect()
}

#[test]
fn the_ramp_holds_for_twenty_instances() {
    assert_ramp_holds(&burst_scenario(20), 1..7);
    assert_ramp_holds(&short_window_scenario(20), 1..7);
    assert_eq!(violations(&long_deadline_scenario(20), 1..7), [""; 0]);
    assert_eq!(violations(&scenario_without_load_reports(20), 1..7), [""; 0]);
}

#[test]
fn the_ramp_holds_for_thirty_instances() {
    assert_ramp_holds(&burst_scenario(30), 1..7);
    assert_ramp_holds(&short_window_scenario(30), 1..7);
    assert_eq!(violations(&long_deadline_scenario(30), 1..7), [""; 0]);
    assert_eq!(violations(&scenario_without_load_reports(30), 1..7), [""; 0]);
}

#[test]
fn the_ramp_holds_for_three_hundred_instances() {
    assert_ramp_holds(&burst_scenario(300), 1..6);
}

/// Guards against cold servers receiving up to 2.5 times what they have capacity for, when hundreds of instances met
/// full and dead servers. Each send earned an instance a part of a cold server's budget, and most sends in such a case
/// are further attempts of rejected requests: in the second before an overload there were 1,157 sends, 519 of them
/// first attempts, and 42 requests at the overloaded server, from 42 instances. What servers accept is bounded by their
/// capacity, what is sent is not; so only accepted sends earn budget.
#[test]
fn the_ramp_holds_for_hundreds_with_long_deadlines() {
    let found: Vec<String> = [
        violations(&scenario_without_load_reports(100), 1..6),
        violations(&scenario_without_load_reports(300), 1..6),
        violations(&long_deadline_scenario(300), 8..12),
    ]
    .concat();
    assert!(found.is_empty(), "{found:#?}");
}

/// The same with half of the servers replaced, half of them dying and returning, a window of 1 s, and no load reports.
fn short_window_without_load_reports(instances: usize) -> Scenario {
    let mut scenario = short_window_scenario(instances);
    scenario.fleet.reports = false;
    scenario
}

/// Hundreds of instances without load reports and with the shortest window. Guards against the same fault as the test
/// above: it made 4 and 18 of 20 seeds fail here.
#[test]
fn the_ramp_holds_for_hundreds_without_load_reports_where_half_die_and_half_are_replaced() {
    let found = [
        violations(&short_window_without_load_reports(100), 1..9),
        violations(&short_window_without_load_reports(300), 1..9),
    ]
    .concat();
    assert!(found.is_empty(), "{found:#?}");
}

/// Servers that are seen idle get one request ahead of the budget from each instance whose credit is positive; with
/// three hundred instances, half a request each is ten times the budget of 15 of a second. This is rare: of seeds 1 to
/// 40 only seed 3 fails.
#[test]
fn the_ramp_holds_for_three_hundred_where_half_die_and_half_are_replaced() {
    let found = violations(&short_window_scenario(300), 1..5);
    assert!(found.is_empty(), "{found:#?}");
}

/// An instance with two fifths of the traffic stays within the budget on its own, but not together with what the others
/// send. The same scenario passes without the fault.
#[test]
fn an_instance_that_takes_the_whole_budget_is_detected() {
    let scenario = Scenario::read(include_str!("../scenarios/cold-hot-caller.toml")).unwrap();
    for seed in 1..5 {
        let [without_fault, with_fault] = [Policy::Module, Policy::Mutant(InjectedFault::TakesBudget)]
            .map(|policy| simulate(&scenario, policy, seed).unwrap().broken.get(RULE).copied().unwrap_or(0));
        assert_eq!(
            (without_fault, with_fault > 0),
            (0, true),
            "seed {seed}: {without_fault} violations without the fault, {with_fault} with it"
        );
    }
}
