//! The faults of a scenario as timed steps. The nodes and instances that each fault affects are drawn here, once,
//! before the simulation starts.

use crate::node::NodeState;
use crate::scenario::{DRAIN_GRACE, Fault, Period, Scenario, Termination};
use rand::Rng;
use rand::rngs::SmallRng;

/// Dead nodes return within this time of each other, in microseconds.
const RETURN_SPREAD_US: u64 = 500_000;
/// The shortest interval between two stalls of a node, in microseconds.
const MIN_STALL_INTERVAL_US: u64 = 1000;

/// A change of the simulated environment. Durations are in microseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Step {
    /// The process of a node ends.
    NodeDies(usize),
    /// A dead node starts again, cold.
    NodeReturns(usize),
    /// Discovery announces that a node drains.
    Drain(usize),
    /// A node is removed and replaced by a new one.
    Replace(usize),
    /// Sets the state of a node.
    SetState(usize, NodeState),
    /// The work of a node takes longer by this factor.
    Slow {
        /// The node.
        node: usize,
        /// The factor.
        factor: f64,
    },
    /// A node makes no progress for a time.
    Stall {
        /// The node.
        node: usize,
        /// For how long.
        duration: u64,
    },
    /// A zone becomes unreachable, or reachable again.
    SetZoneReachable {
        /// The zone.
        zone: usize,
        /// Whether it is reachable.
        reachable: bool,
    },
    /// All nodes of a zone restart.
    RestartZone(usize),
    /// The network path from the instances of one zone to the nodes of another is cut or restored.
    SetPathCut {
        /// The zone of the instances.
        from: usize,
        /// The zone of the nodes.
        to: usize,
        /// Whether the path is cut.
        cut: bool,
    },
    /// Discovery becomes silent, or ends that.
    SetDiscoverySilent(bool),
    /// Multiplies the request rate of all callers.
    ScaleTraffic(f64),
    /// Multiplies the request rate of the callers of one zone.
    ScaleZoneTraffic {
        /// The zone.
        zone: usize,
        /// The factor.
        factor: f64,
    },
    /// Sets the probability of a random fault.
    SetProbability(RandomFault, f64),
    /// Sets the time after which callers that give up early do so.
    SetGiveUpAfter(u64),
    /// Sets the number of extra retries of callers that retry aggressively.
    SetExtraRetries(u32),
    /// The instance of a caller ends, and another one starts.
    RestartInstance {
        /// The caller.
        caller: usize,
        /// How the instance ends.
        termination: Termination,
        /// The time until the next one serves.
        back_after: u64,
    },
    /// All instances get new settings in which aims are multiplied by this factor.
    ScaleAims(f64),
}

/// A step and its time, in microseconds from the start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlannedStep {
    /// When it happens.
    pub at: u64,
    /// What happens.
    pub step: Step,
}

/// A fault that affects single requests, attempts or responses at random.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RandomFault {
    /// A response is lost.
    ResponseLost,
    /// A connection is reset during a request.
    ConnectionReset,
    /// A response is unreadable.
    ResponseCorrupted,
    /// A caller gives up before its deadline.
    ClientGivesUp,
    /// A caller retries sooner and more often than usual.
    AggressiveRetry,
}

/// The current probabilities of the random faults.
#[derive(Clone, Copy, Debug, Default)]
pub struct Probabilities([f64; 5]);

impl Probabilities {
    /// Sets the probability of a fault.
    pub fn set(&mut self, fault: RandomFault, probability: f64) {
        self.0[fault as usize] = probability;
    }

    /// Draws whether a fault occurs. If it is impossible, no random number is consumed.
    pub fn occurs(&self, fault: RandomFault, rng: &mut SmallRng) -> bool {
        let probability = self.0[fault as usize];
        probability > 0.0 && rng.random::<f64>() < probability
    }
}

#[derive(Default)]
struct Timeline(Vec<PlannedStep>);

impl Timeline {
    fn push(&mut self, at: u64, step: Step) {
        self.0.push(PlannedStep { at, step });
    }
}

/// Draws a part of the indices below `count`, at least one.
fn choose(rng: &mut SmallRng, count: usize, part: f64) -> Vec<usize> {
    let chosen = ((count as f64 * part).round() as usize).max(1);
    let mut all: Vec<usize> = (0..count).collect();
    for n in 0..chosen.min(all.len()) {
        let other = rng.random_range(n..all.len());
        all.swap(n, other);
    }
    all.truncate(chosen);
    all
}

/// The steps of a scenario, in the order of its faults.
pub fn steps(scenario: &Scenario, rng: &mut SmallRng) -> Vec<PlannedStep> {
    let mut timeline = Timeline::default();
    for fault in &scenario.faults {
        plan_fault(scenario, fault, rng, &mut timeline);
    }
    timeline.0
}

fn plan_fault(scenario: &Scenario, fault: &Fault, rng: &mut SmallRng, timeline: &mut Timeline) {
    let (nodes, callers) = (scenario.fleet.nodes, scenario.traffic.instances);
    let zone_of = |name: &str| scenario.fleet.zones.iter().position(|zone| zone == name).unwrap_or(0);
    let Period { begin: at, end } = fault.period();
    let mut begin_and_end = |begin: Step, restore: Step| {
        timeline.push(at, begin);
        timeline.push(end, restore);
    };
    match fault {
        Fault::Death { part, back, .. } => {
            for node in choose(rng, nodes, *part) {
                let spread = rng.random_range(0..RETURN_SPREAD_US);
                timeline.push(at, Step::NodeDies(node));
                timeline.push(at + back.us() + spread, Step::NodeReturns(node));
            }
        }
        Fault::Deploy { part, step, .. } => {
            let order = choose(rng, nodes, 1.0);
            let size = ((order.len() as f64 * part).round() as usize).max(1);
            let mut begin = at;
            for batch in order.chunks(size) {
                for node in batch {
                    timeline.push(begin, Step::Drain(*node));
                    timeline.push(begin + step.us() / 2, Step::Replace(*node));
                }
                begin += step.us();
            }
        }
        Fault::Replace { part, within, .. } => {
            for node in choose(rng, nodes, *part) {
                let begin = at + rng.random_range(0..within.us().max(1));
                let replaced = begin + (end - begin) / 2 + DRAIN_GRACE.0;
                timeline.push(begin, Step::Drain(node));
                timeline.push(replaced, Step::Replace(node));
            }
        }
        Fault::Stall { part, each, every, .. } => {
            for node in choose(rng, nodes, *part) {
                let mut begin = at + rng.random_range(0..every.us().max(1));
                while begin < end {
                    timeline.push(begin, Step::Stall { node, duration: each.us() });
                    begin += every.us().max(MIN_STALL_INTERVAL_US);
                }
            }
        }
        Fault::Slow { part, factor, .. } => {
            for node in choose(rng, nodes, *part) {
                begin_and_end(Step::Slow { node, factor: *factor }, Step::Slow { node, factor: 1.0 });
            }
        }
        Fault::FailFast { part, .. } | Fault::BlackHole { part, .. } => {
            let state = match fault {
                Fault::FailFast { .. } => NodeState::Failing,
                _ => NodeState::Unresponsive,
            };
            for node in choose(rng, nodes, *part) {
                begin_and_end(Step::SetState(node, state), Step::SetState(node, NodeState::Serving));
            }
        }
        Fault::ZoneLoss { zone, cold, .. } => {
            let zone = zone_of(zone);
            begin_and_end(
                Step::SetZoneReachable { zone, reachable: false },
                Step::SetZoneReachable { zone, reachable: true },
            );
            if *cold {
                timeline.push(end, Step::RestartZone(zone));
            }
        }
        Fault::Cut { from, to, .. } => {
            let (from, to) = (zone_of(from), zone_of(to));
            begin_and_end(
                Step::SetPathCut { from, to, cut: true },
                Step::SetPathCut { from, to, cut: false },
            );
        }
        Fault::AnswersLost { part, .. } => {
            let fault = RandomFault::ResponseLost;
            begin_and_end(Step::SetProbability(fault, *part), Step::SetProbability(fault, 0.0));
        }
        Fault::Resets { part, .. } => {
            let fault = RandomFault::ConnectionReset;
            begin_and_end(Step::SetProbability(fault, *part), Step::SetProbability(fault, 0.0));
        }
        Fault::Spoilt { part, .. } => {
            let fault = RandomFault::ResponseCorrupted;
            begin_and_end(Step::SetProbability(fault, *part), Step::SetProbability(fault, 0.0));
        }
        Fault::GiveUp { part, after, .. } => {
            let fault = RandomFault::ClientGivesUp;
            begin_and_end(Step::SetGiveUpAfter(after.us()), Step::SetProbability(fault, 0.0));
            timeline.push(at, Step::SetProbability(fault, *part));
        }
        Fault::Abuse { part, tries, .. } => {
            let fault = RandomFault::AggressiveRetry;
            begin_and_end(Step::SetExtraRetries(*tries), Step::SetProbability(fault, 0.0));
            timeline.push(at, Step::SetProbability(fault, *part));
        }
        Fault::Restarts { part, steps, step, how, back, .. } => {
            let chosen = choose(rng, callers, *part);
            for (n, caller) in chosen.iter().enumerate() {
                let batch = (n * steps / chosen.len()) as u64;
                let restart =
                    Step::RestartInstance { caller: *caller, termination: *how, back_after: back.us() };
                timeline.push(at + batch * step.us(), restart);
            }
        }
        Fault::Reload { factor, .. } => timeline.push(at, Step::ScaleAims(*factor)),
        Fault::Shift { zone, factor, .. } => {
            let zone = zone_of(zone);
            begin_and_end(
                Step::ScaleZoneTraffic { zone, factor: *factor },
                Step::ScaleZoneTraffic { zone, factor: 1.0 / factor },
            );
        }
        Fault::ListSilent { .. } => {
            begin_and_end(Step::SetDiscoverySilent(true), Step::SetDiscoverySilent(false));
        }
        Fault::Burst { factor, .. } => {
            begin_and_end(Step::ScaleTraffic(*factor), Step::ScaleTraffic(1.0 / factor));
        }
    }
}
