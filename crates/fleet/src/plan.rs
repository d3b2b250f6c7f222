//! The time line of faults as steps: which nodes and instances each meets is drawn here, once, before the day begins.

use crate::node::Mood;
use crate::scenario::{Fault, How, Scenario};
use rand::Rng;
use rand::rngs::SmallRng;

/// Something that happens to the fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Step {
    /// A node's process ends.
    Die(usize),
    /// A dead node comes back cold.
    Return(usize),
    /// A node is told to drain.
    Drain(usize),
    /// A node is taken away and another comes.
    Replace(usize),
    /// A node's state.
    Mood(usize, Mood),
    /// A node's work takes so many times as long.
    Slow(usize, f64),
    /// A node stands still for so many microseconds.
    Still(usize, u64),
    /// A zone is out of reach, or in reach again.
    Zone(usize, bool),
    /// All of a zone's nodes start anew.
    ZoneAnew(usize),
    /// A way from instances of a zone to nodes of one is cut, or whole again.
    Cut(usize, usize, bool),
    /// Discovery is silent, or speaks again.
    List(bool),
    /// Callers ask so many times as much as before.
    Burst(f64),
    /// The same, of one zone.
    Shift(usize, f64),
    /// Chances, from here on.
    Chance(Chance, f64),
    /// Callers that give up do so after so many microseconds.
    GivesUp(u64),
    /// Callers that come again too often do so so many times.
    Tries(u32),
    /// A caller's instance ends; another serves after so many microseconds.
    Restart(usize, How, u64),
    /// Instances get other settings: aims change by this factor.
    Reload(f64),
}

/// What happens by chance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Chance {
    /// An answer gets lost.
    AnswerLost,
    /// A connection is reset under a request.
    Reset,
    /// An answer can't be read.
    Spoilt,
    /// A caller gives up early.
    GivesUp,
    /// A caller comes again at once.
    Abuse,
}

/// The present chances.
#[derive(Clone, Copy, Debug, Default)]
pub struct Chances([f64; 5]);

impl Chances {
    /// Sets one.
    pub fn set(&mut self, chance: Chance, part: f64) {
        self.0[chance as usize] = part;
    }

    /// Draws; where nothing can happen no number is used up.
    pub fn falls(&self, chance: Chance, rng: &mut SmallRng) -> bool {
        let part = self.0[chance as usize];
        part > 0.0 && rng.random::<f64>() < part
    }
}

/// Drawn at random, a part of so many.
fn draw(rng: &mut SmallRng, of: usize, part: f64) -> Vec<usize> {
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
        let mut both = |begins: Step, ends: Step| plan.extend([(at, begins), (over, ends)]);
        match fault {
            Fault::Death { part, back, .. } => {
                for node in draw(rng, nodes, *part) {
                    let spread = rng.random_range(0..500_000);
                    plan.extend([(at, Step::Die(node)), (at + back.us() + spread, Step::Return(node))]);
                }
            }
            Fault::Deploy { part, step, .. } => {
                let (order, mut begins) = (draw(rng, nodes, 1.0), at);
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
                for node in draw(rng, nodes, *part) {
                    let begins = at + rng.random_range(0..within.us().max(1));
                    let leaves = begins + (over - begins) / 2 + crate::scenario::GRACE.0;
                    plan.extend([(begins, Step::Drain(node)), (leaves, Step::Replace(node))]);
                }
            }
            Fault::Stall { part, each, every, .. } => {
                for node in draw(rng, nodes, *part) {
                    let mut begins = at + rng.random_range(0..every.us().max(1));
                    while begins < over {
                        plan.push((begins, Step::Still(node, each.us())));
                        begins += every.us().max(1000);
                    }
                }
            }
            Fault::Slow { part, factor, .. } => {
                for node in draw(rng, nodes, *part) {
                    both(Step::Slow(node, *factor), Step::Slow(node, 1.0));
                }
            }
            Fault::FailFast { part, .. } | Fault::BlackHole { part, .. } => {
                let mood = if matches!(fault, Fault::FailFast { .. }) { Mood::Fails } else { Mood::Swallows };
                for node in draw(rng, nodes, *part) {
                    both(Step::Mood(node, mood), Step::Mood(node, Mood::Serves));
                }
            }
            Fault::ZoneLoss { zone, cold, .. } => {
                let zone = zone_of(zone);
                both(Step::Zone(zone, true), Step::Zone(zone, false));
                if *cold {
                    plan.push((over, Step::ZoneAnew(zone)));
                }
            }
            Fault::Cut { from, to, .. } => {
                let (from, to) = (zone_of(from), zone_of(to));
                both(Step::Cut(from, to, true), Step::Cut(from, to, false));
            }
            Fault::AnswersLost { part, .. } => {
                both(Step::Chance(Chance::AnswerLost, *part), Step::Chance(Chance::AnswerLost, 0.0));
            }
            Fault::Resets { part, .. } => {
                both(Step::Chance(Chance::Reset, *part), Step::Chance(Chance::Reset, 0.0));
            }
            Fault::Spoilt { part, .. } => {
                both(Step::Chance(Chance::Spoilt, *part), Step::Chance(Chance::Spoilt, 0.0));
            }
            Fault::GiveUp { part, after, .. } => {
                both(Step::GivesUp(after.us()), Step::Chance(Chance::GivesUp, 0.0));
                plan.push((at, Step::Chance(Chance::GivesUp, *part)));
            }
            Fault::Abuse { part, tries, .. } => {
                both(Step::Tries(*tries), Step::Chance(Chance::Abuse, 0.0));
                plan.push((at, Step::Chance(Chance::Abuse, *part)));
            }
            Fault::Restarts { part, steps, step, how, back, .. } => {
                let chosen = draw(rng, callers, *part);
                for (n, caller) in chosen.iter().enumerate() {
                    let turn = (n * steps / chosen.len()) as u64;
                    plan.push((at + turn * step.us(), Step::Restart(*caller, *how, back.us())));
                }
            }
            Fault::Reload { factor, .. } => plan.push((at, Step::Reload(*factor))),
            Fault::Shift { zone, factor, .. } => {
                let zone = zone_of(zone);
                both(Step::Shift(zone, *factor), Step::Shift(zone, 1.0 / factor));
            }
            Fault::ListSilent { .. } => both(Step::List(true), Step::List(false)),
            Fault::Burst { factor, .. } => both(Step::Burst(*factor), Step::Burst(1.0 / factor)),
        }
    }
    plan
}
