//! The ramp of cold nodes holds for the fleet: what all instances send one together stays within its budget and what is put
//! down to chance, with few instances and with hundreds.

use dunlincleat::api::Span;
use dunlincleat_fleet::audit::Auditor;
use dunlincleat_fleet::cold::{Terms, limit};
use dunlincleat_fleet::mutant::InjectedFault;
use dunlincleat_fleet::node::Job;
use dunlincleat_fleet::report::Report;
use dunlincleat_fleet::scenario::{Fault, Scenario, Time};
use dunlincleat_fleet::world::{Policy, simulate};

const RULE: &str = "cold budget";
const SECOND: u64 = 1_000_000;
/// The node and the start that hand-made sends go to.
const NODE: (usize, u32) = (3, 1);

/// How often the rule is broken by `sends` to one cold node, each an instance, a time and its work over the mean, with a
/// budget of 100 within 1 s, where the instances below `told` had been told of the start.
fn breaks(told: u32, sends: impl IntoIterator<Item = (u32, u64, f64)>) -> u64 {
    let mut auditor = Auditor::default();
    for instance in 0..told {
        auditor.told(instance, NODE.0, NODE.1, false, 0);
    }
    for (request, (instance, at, calls)) in (0..).zip(sends) {
        auditor.came_cold(Job { instance, request, attempt: 0 }, NODE, calls, (100.0, SECOND), at);
    }
    auditor.found().0.get(RULE).copied().unwrap_or(0)
}

/// So many requests of mean work, at one instant, by 40 instances in turn.
fn at_once(count: u32) -> impl Iterator<Item = (u32, u64, f64)> {
    (0..count).map(|n| (n % 40, 7 * SECOND, 1.0))
}

#[test]
fn twice_the_root_and_two_are_put_down_to_chance() {
    for (budget, most) in [(0.0, 2.0), (1.0, 5.0), (4.0, 10.0), (100.0, 122.0), (2500.0, 2602.0)] {
        assert_eq!(limit(budget), most);
    }
    // No instance sends more than four: only the sum is too much.
    assert_eq!(breaks(40, at_once(122)), 0);
    assert_eq!(breaks(40, at_once(123)), 1);
    // It falls once, whatever comes then.
    assert_eq!(breaks(40, at_once(500)), 1);
}

#[test]
fn requests_count_by_their_work_over_the_mean() {
    assert_eq!(breaks(40, at_once(61).map(|(from, at, _)| (from, at, 2.0))), 0);
    assert_eq!(breaks(40, at_once(62).map(|(from, at, _)| (from, at, 2.0))), 1);
    assert_eq!(breaks(40, at_once(244).map(|(from, at, _)| (from, at, 0.5))), 0);
}

#[test]
fn the_time_slides() {
    // 122 in each second without end, and 123 within one of which the first falls out as the last comes.
    let even = |n: u32| (n % 40, SECOND * u64::from(n) / 122, 1.0);
    assert_eq!(breaks(40, (0..1220).map(even)), 0);
    let pairs = |gap: u64| (0..123_u32).map(move |n| (n % 40, if n < 62 { 0 } else { gap }, 1.0));
    assert_eq!(breaks(40, pairs(SECOND)), 0);
    assert_eq!(breaks(40, pairs(SECOND - 1)), 1);
}

#[test]
fn instances_answer_where_over_two_thirds_came_from_those_told() {
    // Of 123, 82 are two thirds exactly.
    let mixed = |told: u32| (0..123_u32).map(move |n| (u32::from(n >= told), 0, 1.0));
    assert_eq!(breaks(1, mixed(82)), 0);
    assert_eq!(breaks(1, mixed(83)), 1);
    assert_eq!(breaks(0, at_once(500)), 0);
}

#[test]
fn each_start_has_a_budget_of_its_own_and_who_knew_it_from_the_list_was_told() {
    let job = |instance, request| Job { instance, request, attempt: 0 };
    let count = |starts: [u32; 2], nodes: [usize; 2]| {
        let mut auditor = Auditor::default();
        for (n, (start, node)) in (0..).zip(starts.into_iter().zip(nodes)) {
            auditor.knew(9, node, start);
            for request in 0..100 {
                auditor.came_cold(job(9, 1000 * n + request), (node, start), 1.0, (100.0, SECOND), 0);
            }
        }
        auditor.found().0.get(RULE).copied().unwrap_or(0)
    };
    assert_eq!(count([1, 1], [0, 0]), 1);
    assert_eq!(count([1, 2], [0, 0]), 0);
    assert_eq!(count([1, 1], [0, 1]), 0);
}

#[test]
fn the_budget_grows_as_the_settings_say() {
    let terms = Terms { from: 0.25, cold: 8 * SECOND, over: 3 * SECOND, warm_budget: 400.0 };
    let at = [0, 4, 8, 80].map(|age| terms.budget(age * SECOND));
    assert_eq!(at, [100.0, 250.0, 400.0, 400.0]);
    let day = day(30);
    let terms = day.cold_terms();
    // 2.5 times what two cores do in 3 s, at 100 ms each.
    assert!((terms.warm_budget - 150.0).abs() < 1e-9 && (terms.budget(0) - 45.0).abs() < 1e-9, "{terms:?}");
}

/// The day with servers that are new and that come back, under a burst, for so many instances that together send the same:
/// the more they are the less each of them sends.
fn day(instances: usize) -> Scenario {
    let mut day = Scenario::read(include_str!("../scenarios/cold-burst.toml")).unwrap();
    day.traffic.instances = instances;
    day
}

/// The same with half of the servers replaced within 3 s, half of them dead and back, and a sliding time of 1 s: a budget of
/// 15 at the start, so that single requests of many instances add up.
fn narrow_day(instances: usize) -> Scenario {
    let mut day = day(instances);
    day.fleet.falls_over = Time(Span(SECOND));
    for fault in &mut day.faults {
        if let Fault::Death { part, .. } | Fault::Replace { part, .. } = fault {
            *part = 0.5;
        }
    }
    day
}

fn played(day: &Scenario, seeds: std::ops::Range<u64>) -> Vec<Report> {
    std::thread::scope(|scope| {
        let run = |seed| simulate(day, Policy::Module, seed).unwrap();
        let days: Vec<_> = seeds.map(|seed| scope.spawn(move || run(seed))).collect();
        days.into_iter().map(|day| day.join().unwrap()).collect()
    })
}

/// The same where answers may take 2 s and the sliding time is 1 s: what is crowded is hardly seen, and only the ramp keeps the
/// sum small.
fn patient_day(instances: usize) -> Scenario {
    let mut day = day(instances);
    day.fleet.falls_over = Time(Span(SECOND));
    for class in &mut day.classes {
        (class.aim, class.deadline) = (Time(Span(2 * SECOND)), Time(Span(4 * SECOND)));
    }
    day
}

/// The same with a sliding time of 3 s and nodes that report no load: instances know of it only what they did themselves.
fn untold_day(instances: usize) -> Scenario {
    let mut day = patient_day(instances);
    (day.fleet.falls_over, day.fleet.reports) = (Time(Span(3 * SECOND)), false);
    day
}

/// No cold server falls, on any of these seeds, or comes near it, and the day tried it: servers started, and were sent a fair
/// part of what they may get. Nor does any get more than its budget, with nothing put down to chance.
fn holds(day: &Scenario, seeds: std::ops::Range<u64>) {
    for Report { seed, broken, cases, cold_peak, worth, .. } in played(day, seeds) {
        let peak = cold_peak.unwrap();
        assert!(broken.is_empty(), "seed {seed}: {peak:?} {broken:?} {cases:#?}");
        // Without the ramp three hundred come to between 0.54 and 0.66 of it, on days that would hold all the same.
        assert!((0.15..0.5).contains(&peak.of_limit()), "seed {seed}: {peak:?}");
        assert!(worth > 0.4, "seed {seed}: worth {worth}");
    }
}

/// What broke on these seeds, whoever's fault. A budget of 15 is passed by a few by chance: that alone is borne.
fn falls(day: &Scenario, seeds: std::ops::Range<u64>) -> Vec<String> {
    let instances = day.traffic.instances;
    let wrong = |Report { seed, broken, cold_peak, .. }: &Report| {
        let broken: Vec<&String> = broken.keys().filter(|rule| rule.as_str() != "cold nodes").collect();
        (!broken.is_empty())
            .then(|| format!("{instances} instances, seed {seed}: {broken:?}, {:?}", cold_peak.unwrap()))
    };
    played(day, seeds).iter().filter_map(wrong).collect()
}

#[test]
fn the_ramp_holds_for_twenty_instances() {
    holds(&day(20), 1..7);
    holds(&narrow_day(20), 1..7);
    assert_eq!(falls(&patient_day(20), 1..7), [""; 0]);
    assert_eq!(falls(&untold_day(20), 1..7), [""; 0]);
}

#[test]
fn the_ramp_holds_for_thirty_instances() {
    holds(&day(30), 1..7);
    holds(&narrow_day(30), 1..7);
    assert_eq!(falls(&patient_day(30), 1..7), [""; 0]);
    assert_eq!(falls(&untold_day(30), 1..7), [""; 0]);
}

#[test]
fn the_ramp_holds_for_three_hundred_instances() {
    holds(&day(300), 1..6);
}

/// Where hundreds of instances met full and dead servers, cold servers got up to 2.5 times what they bear. Each send earned an
/// instance a part of a cold server's budget, and most sends there are further attempts of requests that were turned away: in
/// the second before a fall 1,157 sends of which 519 were first attempts, and 42 requests at the fallen server, from 42
/// instances. What servers accept is bounded by what they can do, what is sent is not; now only accepted sends earn.
#[test]
fn the_ramp_holds_for_hundreds_that_know_little_of_loads() {
    let found: Vec<String> =
        [falls(&untold_day(100), 1..6), falls(&untold_day(300), 1..6), falls(&patient_day(300), 8..12)]
            .concat();
    assert!(found.is_empty(), "{found:#?}");
}

/// The same day with a sliding time of 1 s, half of the servers replaced and half of them dead and back, without load reports.
fn narrow_untold_day(instances: usize) -> Scenario {
    let mut day = narrow_day(instances);
    day.fleet.reports = false;
    day
}

/// Hundreds that know no loads, with the shortest sliding time: it was red on 4 and 18 of 20 seeds, as the one before.
#[test]
fn the_ramp_holds_for_hundreds_without_loads_where_half_die_and_half_are_replaced() {
    let found = [falls(&narrow_untold_day(100), 1..9), falls(&narrow_untold_day(300), 1..9)].concat();
    assert!(found.is_empty(), "{found:#?}");
}

/// Servers seen idle get one request ahead of the budget from instances whose credit is above none, and of three hundred
/// instances half a request each is ten times the budget of 15 of a second. Rare: seed 3 alone of 1 to 40.
#[test]
fn the_ramp_holds_for_three_hundred_where_half_die_and_half_are_replaced() {
    let found = falls(&narrow_day(300), 1..5);
    assert!(found.is_empty(), "{found:#?}");
}

/// One instance with two fifths of the traffic keeps, alone, within the budget; with what the others send it is too much. The
/// same days hold without the fault.
#[test]
fn an_instance_that_takes_the_whole_budget_for_itself_is_caught() {
    let day = Scenario::read(include_str!("../scenarios/cold-hot-caller.toml")).unwrap();
    for seed in 1..5 {
        let [fine, planted] = [Policy::Module, Policy::Mutant(InjectedFault::TakesBudget)]
            .map(|policy| simulate(&day, policy, seed).unwrap().broken.get(RULE).copied().unwrap_or(0));
        assert_eq!((fine, planted > 0), (0, true), "seed {seed}: {fine} without it, {planted} with it");
    }
}
