//! Numbers: the source of random draws, and running means.

use crate::api::Time;
use rand::SeedableRng;
use rand::rngs::SmallRng;

/// A generator that the same seed has give the same draws.
pub struct SeededRng(pub SmallRng);

impl SeededRng {
    /// One by this seed.
    pub fn new(seed: u64) -> SeededRng {
        SeededRng(SmallRng::seed_from_u64(seed))
    }
}

impl Default for SeededRng {
    fn default() -> SeededRng {
        SeededRng::new(0)
    }
}

/// A running mean in which a new value has the given weight.
pub fn ewma(old: Option<f64>, value: f64, weight: f64) -> f64 {
    old.map_or(value, |old| old + weight * (value - old))
}

/// How long one request of a class takes a server, by those it holds: a running geometric mean.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServiceTime {
    /// The logarithm of the mean, in microseconds.
    pub log_mean: f64,
    /// How many told it.
    pub samples: u32,
    /// When the last one came.
    pub updated_at: Time,
}
