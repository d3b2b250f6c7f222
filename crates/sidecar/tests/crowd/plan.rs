//! What is drawn from a seed: the limits of the process and the crowds that it meets.

use super::bad_client::{Behaviour, Kind};
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use std::fmt::{self, Display, Formatter};
use std::time::Duration;

/// Memory limits in MiB; the first is the least that the deployment names.
const MEMORY_LIMITS_MIB: [usize; 5] = [32, 32, 48, 64, 96];
/// Limits of descriptors.
const DESCRIPTOR_LIMITS: [usize; 5] = [1024, 1024, 768, 512, 256];
/// Number of different behaviours in a mixed crowd, at most.
const MAX_BEHAVIOURS: usize = 6;

/// One crowd.
#[derive(Clone, Debug)]
pub struct Wave {
    /// How its clients behave; each draws one.
    pub behaviours: Vec<Behaviour>,
    /// Number of clients at a time.
    pub clients: usize,
    /// Time over which they begin.
    pub ramp: Duration,
    /// Time for which they stay; each connects again as its connection ends.
    pub duration: Duration,
    /// Time until the next crowd.
    pub pause_after: Duration,
}

/// The limits and the crowds, one after another.
#[derive(Clone, Debug)]
pub struct CrowdPlan {
    /// What it was drawn from.
    pub seed: u64,
    /// The memory limit in MiB.
    pub memory_mib: usize,
    /// The limit of descriptors.
    pub descriptors: usize,
    /// Whether the first crowd is there before the process listens.
    pub present_at_start: bool,
    /// The crowds.
    pub waves: Vec<Wave>,
}

impl CrowdPlan {
    /// Draws a plan.
    pub fn draw(seed: u64) -> CrowdPlan {
        let mut rng = SmallRng::seed_from_u64(seed);
        let waves = (0..rng.random_range(1..=3)).map(|_| Wave::draw(&mut rng)).collect();
        CrowdPlan {
            seed,
            memory_mib: *MEMORY_LIMITS_MIB.choose(&mut rng).unwrap(),
            descriptors: *DESCRIPTOR_LIMITS.choose(&mut rng).unwrap(),
            present_at_start: rng.random_bool(0.5),
            waves,
        }
    }

    /// A crowd of one kind at the least limits.
    pub fn of_kind(kind: Kind, clients: usize, seed: u64, present_at_start: bool) -> CrowdPlan {
        let mut rng = SmallRng::seed_from_u64(seed);
        let behaviours = vec![Behaviour::draw(kind, &mut rng)];
        CrowdPlan { seed, present_at_start, ..CrowdPlan::of_behaviours(behaviours, clients) }
    }

    /// A crowd of these behaviours at the least limits.
    pub fn of_behaviours(behaviours: Vec<Behaviour>, clients: usize) -> CrowdPlan {
        let wave = Wave {
            behaviours,
            clients,
            ramp: Duration::from_millis(200),
            duration: Duration::from_secs(4),
            pause_after: Duration::ZERO,
        };
        CrowdPlan { seed: 0, memory_mib: 32, descriptors: 1024, present_at_start: false, waves: vec![wave] }
    }
}

impl Wave {
    fn draw(rng: &mut SmallRng) -> Wave {
        let count = rng.random_range(1..=MAX_BEHAVIOURS);
        let behaviours = (0..count)
            .map(|_| {
                let kind = *Kind::ALL.choose(rng).unwrap();
                Behaviour::draw(kind, rng)
            })
            .collect();
        Wave {
            behaviours,
            clients: rng.random_range(150..=600),
            ramp: Duration::from_millis(rng.random_range(0..=1500)),
            duration: Duration::from_millis(rng.random_range(2500..=5000)),
            pause_after: Duration::from_millis(rng.random_range(0..=1000)),
        }
    }
}

impl Display for CrowdPlan {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let start = if self.present_at_start { ", the first at the start" } else { "" };
        write!(f, "seed {}: {} MB, {} descriptors{start}:", self.seed, self.memory_mib, self.descriptors)?;
        for wave in &self.waves {
            write!(f, " [{} clients over {:?} for {:?}:", wave.clients, wave.ramp, wave.duration)?;
            for behaviour in &wave.behaviours {
                write!(f, " {behaviour}")?;
            }
            write!(f, "]")?;
        }
        Ok(())
    }
}
