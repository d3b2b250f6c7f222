//! The time line of faults as steps: which nodes and instances each meets is drawn here, once, before the day begins.

use crate::node::NodeState;
use crate::scenario::{Fault, Scenario, Termination};
use rand::Rng;
use rand::rngs::SmallRng;

/// Something that happens to the fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Step {
    /// A node's process ends.
    NodeDies(usize),
    /// A dead node comes back cold.
    NodeReturns(usize),
    /// A node is told to drain.
    Drain(usize),
    /// A node is taken away and another comes.
    Replace(usize),
    /// A node's state.
    SetState(usize, NodeState),
    /// A node's work takes so many times as long.
    Slow(usize, f64),
    /// A node stands still for so many microseconds.
    Stall(usize, u64),
    /// A zone is out of reach, or in reach again.
    ZoneUnreachable(usize, bool),
    /// All of a zone's nodes start anew.
    RestartZone(usize),
    /// A way from instances of a zone to nodes of one is cut, or whole again.
    Cut(usize, usize, bool),
    /// Discovery is silent, or speaks again.
    DiscoverySilent(bool),
    /// Callers ask so many times as much as before.
    ScaleTraffic(f64),
    /// The same, of one zone.
    ScaleZoneTraffic(usize, f64),
    /// Chances, from here on.
    SetProbability(RandomFault, f64),
    /// Callers that give up do so after so many microseconds.
    SetGiveUpAfter(u64),
    /// Callers that come again too often do so so many times.
    SetExtraRetries(u32),
    /// A caller's instance ends; another serves after so many microseconds.
    RestartInstance(usize, Termination, u64),
    /// Instances get other settings: aims change by this factor.
    ScaleAims(f64),
}

/// What happens by chance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RandomFault {
    /// An answer gets lost.
    ResponseLost,
    /// A connection is reset under a request.
    ConnectionReset,
    /// An answer can't be read.
    ResponseCorrupted,
    /// A caller gives up early.
    ClientGivesUp,
    /// A caller comes again at once.
    AggressiveRetry,
}

/// The present chances.
#[derive(Clone, Copy, Debug, Default)]
pub struct Probabilities([f64; 5]);

impl Probabilities {
    /// Sets one.
    pub fn set(&mut self, fault: RandomFault, probability: f64) {
        self.0[fault as usize] = probability;
    }

    /// Draws; where nothing can happen no number is used up.
    pub fn occurs(&self, fault: RandomFault, rng: &mut SmallRng) -> bool {
        let probability = self.0[fault as usize];
        probability > 0.0 && rng.random::<f64>() < probability
    }
}

/// Drawn at random, a part of so many.
fn choose(rng: &mut SmallRng, of: usize, part: f64) -> Vec<usize> {
    let count = ((of as f64 * part).round() as usize).max(1);
    let mut all: Vec<usize> = (0..of).collect();
    for n in 0..count.min(all.len()) {
        let other = rng.random_range(n..all.len());
        all.swap(n, other);
    }
    all.truncate(count);
    all
}

/// The steps of a day, each with its time in microseconds from the start.
pub fn steps(scenario: &Scenario, rng: &mut SmallRng) -> Vec<(u64, Step)> {
    let mut plan = Vec::new();
    let (nodes, callers) = (scenario.fleet.nodes, scenario.traffic.instances);
    let zone_of = |name: &str| scenario.fleet.zones.iter().position(|zone| zone == name).unwrap_or(0);
    for fault in &scenario.faults {
        let (at, over) = fault.span();
        let mut begin_and_end = |begins: Step, ends: Step| plan.extend([(at, begins), (over, ends)]);
        match fault {
            Fault::Death { part, back, .. } => {
                for node in choose(rng, nodes, *part) {
                    let spread = rng.random_range(0..500_000);
                    plan.extend([
                        (at, Step::NodeDies(node)),
                        (at + back.us() + spread, Step::NodeReturns(node)),
                    ]);
                }
            }
            Fault::Deploy { part, step, .. } => {
                let (order, mut begins) = (choose(rng, nodes, 1.0), at);
                let size = ((order.len() as f64 * part).round() as usize).max(1);
                for batch in order.chunks(size) {
                    for node in batch {
                        plan.push((begins, Step::Drain(*node)));
                        plan.push((begins + step.us() / 2, Step::Replace(*node)));
                    }
                    begins += step.us();
                }
            }
            Fault::Replace { part, within, .. } => {
                for node in choose(rng, nodes, *part) {
                    let begins = at + rng.random_range(0..within.us().max(1));
                    let leaves = begins + (over - begins) / 2 + crate::scenario::DRAIN_GRACE.0;
                    plan.extend([(begins, Step::Drain(node)), (leaves, Step::Replace(node))]);
                }
            }
            Fault::Stall { part, each, every, .. } => {
                for node in choose(rng, nodes, *part) {
                    let mut begins = at + rng.random_range(0..every.us().max(1));
                    while begins < over {
                        plan.push((begins, Step::Stall(node, each.us())));
                        begins += every.us().max(1000);
                    }
                }
            }
            Fault::Slow { part, factor, .. } => {
                for node in choose(rng, nodes, *part) {
                    begin_and_end(Step::Slow(node, *factor), Step::Slow(node, 1.0));
                }
            }
            Fault::FailFast { part, .. } | Fault::BlackHole { part, .. } => {
                let state = if matches!(fault, Fault::FailFast { .. }) {
                    NodeState::Failing
                } else {
                    NodeState::Unresponsive
                };
                for node in choose(rng, nodes, *part) {
                    begin_and_end(Step::SetState(node, state), Step::SetState(node, NodeState::Serving));
                }
            }
            Fault::ZoneLoss { zone, cold, .. } => {
                let zone = zone_of(zone);
                begin_and_end(Step::ZoneUnreachable(zone, true), Step::ZoneUnreachable(zone, false));
                if *cold {
                    plan.push((over, Step::RestartZone(zone)));
                }
            }
            Fault::Cut { from, to, .. } => {
                let (from, to) = (zone_of(from), zone_of(to));
                begin_and_end(Step::Cut(from, to, true), Step::Cut(from, to, false));
            }
            Fault::AnswersLost { part, .. } => {
                begin_and_end(
                    Step::SetProbability(RandomFault::ResponseLost, *part),
                    Step::SetProbability(RandomFault::ResponseLost, 0.0),
                );
            }
            Fault::Resets { part, .. } => {
                begin_and_end(
                    Step::SetProbability(RandomFault::ConnectionReset, *part),
                    Step::SetProbability(RandomFault::ConnectionReset, 0.0),
                );
            }
            Fault::Spoilt { part, .. } => {
                begin_and_end(
                    Step::SetProbability(RandomFault::ResponseCorrupted, *part),
                    Step::SetProbability(RandomFault::ResponseCorrupted, 0.0),
                );
            }
            Fault::GiveUp { part, after, .. } => {
                begin_and_end(
                    Step::SetGiveUpAfter(after.us()),
                    Step::SetProbability(RandomFault::ClientGivesUp, 0.0),
                );
                plan.push((at, Step::SetProbability(RandomFault::ClientGivesUp, *part)));
            }
            Fault::Abuse { part, tries, .. } => {
                begin_and_end(
                    Step::SetExtraRetries(*tries),
                    Step::SetProbability(RandomFault::AggressiveRetry, 0.0),
                );
                plan.push((at, Step::SetProbability(RandomFault::AggressiveRetry, *part)));
            }
            Fault::Restarts { part, steps, step, how, back, .. } => {
                let chosen = choose(rng, callers, *part);
                for (n, caller) in chosen.iter().enumerate() {
                    let batch = (n * steps / chosen.len()) as u64;
                    plan.push((at + batch * step.us(), Step::RestartInstance(*caller, *how, back.us())));
                }
            }
            Fault::Reload { factor, .. } => plan.push((at, Step::ScaleAims(*factor))),
            Fault::Shift { zone, factor, .. } => {
                let zone = zone_of(zone);
                begin_and_end(
                    Step::ScaleZoneTraffic(zone, *factor),
                    Step::ScaleZoneTraffic(zone, 1.0 / factor),
                );
            }
            Fault::ListSilent { .. } => {
                begin_and_end(Step::DiscoverySilent(true), Step::DiscoverySilent(false))
            }
            Fault::Burst { factor, .. } => {
                begin_and_end(Step::ScaleTraffic(*factor), Step::ScaleTraffic(1.0 / factor))
            }
        }
    }
    plan
}
