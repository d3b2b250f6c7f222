//! The source of random draws, and running means.

use crate::api::Time;
use rand::SeedableRng;
use rand::rngs::SmallRng;

/// A random generator: the same seed gives the same draws.
pub struct SeededRng(pub SmallRng);

impl SeededRng {
    /// A generator with this seed.
    pub fn new(seed: u64) -> SeededRng {
        SeededRng(SmallRng::seed_from_u64(seed))
    }
}

impl Default for SeededRng {
    fn default() -> SeededRng {
        SeededRng::new(0)
    }
}

/// Exponentially weighted moving average: `weight` is that of the new value. The first value is taken as it
/// is.
pub fn ewma(old: Option<f64>, value: f64, weight: f64) -> f64 {
    old.map_or(value, |old| old + weight * (value - old))
}

/// Service time of one class: how long one of its requests occupies a server, by the requests that the server
/// has. A running geometric mean.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServiceTime {
    /// Logarithm of the mean in microseconds.
    pub log_mean: f64,
    /// Number of samples.
    pub samples: u32,
    /// When the last sample came.
    pub updated_at: Time,
}
