//! Compares simulated nodes with queueing theory.

use dunlincleat_fleet::node::{Admission, Job, Node, Started};
use dunlincleat_fleet::scenario::Scenario;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rand_distr::{Distribution, Exp, LogNormal};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

const TEXT: &str = include_str!("../scenarios/calm.toml");

/// The mean wait for a core, in microseconds, of Poisson arrivals at one node, and its standard error from batch means.
fn simulated_wait(cores: usize, rate_per_us: f64, work: impl Fn(&mut SmallRng) -> f64) -> (f64, f64) {
    let mut fleet = Scenario::read(TEXT).unwrap().fleet;
    (fleet.cores, fleet.queue) = (cores, usize::MAX);
    let mut node = Node::new(&fleet);
    let mut rng = SmallRng::seed_from_u64(5);
    let gaps = Exp::new(rate_per_us).unwrap();
    let (mut next, mut ends): (f64, BinaryHeap<Reverse<(u64, Job)>>) = (0.0, BinaryHeap::new());
    let (mut arrived_at, mut waits) = (BTreeMap::new(), Vec::new());
    let mut next_request = 0;
    while waits.len() < 400_000 {
        if ends.peek().is_some_and(|Reverse((at, _))| (*at as f64) < next) {
            let Some(Reverse((at, job))) = ends.pop() else { break };
            if let Some(Started { job, ends_at }) = node.finish(at, job) {
                waits.push((at - arrived_at[&job.request]) as f64);
                ends.push(Reverse((ends_at, job)));
            }
            continue;
        }
        let now = next as u64;
        next += gaps.sample(&mut rng);
        let job = Job { instance: 0, request: next_request, attempt: 0 };
        next_request += 1;
        arrived_at.insert(job.request, now);
        match node.admit(now, job, work(&mut rng)) {
            Admission::Started { ends_at } => {
                waits.push(0.0);
                ends.push(Reverse((ends_at, job)));
            }
            Admission::Queued => {}
            other => panic!("{other:?}"),
        }
    }
    let batches: Vec<f64> = waits.chunks(20_000).map(|b| b.iter().sum::<f64>() / b.len() as f64).collect();
    let mean = batches.iter().sum::<f64>() / batches.len() as f64;
    let variance = batches.iter().map(|b| (b - mean).powi(2)).sum::<f64>() / (batches.len() - 1) as f64;
    (mean, (variance / batches.len() as f64).sqrt())
}

fn assert_wait((mean, error): (f64, f64), expected: f64) {
    // Three standard errors, plus a microsecond because simulated times are integers.
    assert!(
        (mean - expected).abs() < 3.0 * error + 1.0,
        "mean wait {mean:.1} +- {error:.1}, expected {expected:.1}"
    );
}

#[test]
fn mean_wait_of_one_core_matches_m_m_1() {
    let work = Exp::new(1.0 / 1000.0).unwrap();
    // W = rho / (1 - rho) of the service time.
    assert_wait(simulated_wait(1, 0.0007, move |rng| work.sample(rng)), 1000.0 * 0.7 / 0.3);
}

#[test]
fn mean_wait_of_four_cores_matches_m_m_c() {
    let work = Exp::new(1.0 / 1000.0).unwrap();
    let (c, a) = (4_i32, 3.2_f64);
    // Erlang C.
    let terms: f64 = (0..c).map(|k| a.powi(k) / (1..=k).map(f64::from).product::<f64>()).sum();
    let last = a.powi(c) / (1..=c).map(f64::from).product::<f64>() * f64::from(c) / (f64::from(c) - a);
    let probability_of_waiting = last / (terms + last);
    assert_wait(
        simulated_wait(4, 0.0032, move |rng| work.sample(rng)),
        probability_of_waiting * 1000.0 / (f64::from(c) - a),
    );
}

#[test]
fn mean_wait_with_lognormal_work_matches_m_g_1() {
    let sigma = 0.8_f64;
    let work = LogNormal::new(1000_f64.ln() - sigma * sigma / 2.0, sigma).unwrap();
    // Pollaczek-Khinchine: the squared coefficient of variation is exp(sigma^2) - 1.
    let wait = 0.6 / 0.4 * 1000.0 * (1.0 + ((sigma * sigma).exp() - 1.0)) / 2.0;
    assert_wait(simulated_wait(1, 0.0006, move |rng| work.sample(rng)), wait);
}
