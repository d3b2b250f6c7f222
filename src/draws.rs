//! The source of an instance's random draws.

use rand::SeedableRng;
use rand::rngs::SmallRng;

/// A generator that the same seed has give the same draws.
pub struct Draws(pub SmallRng);

impl Draws {
    /// One by this seed.
    pub fn new(seed: u64) -> Draws {
        Draws(SmallRng::seed_from_u64(seed))
    }
}

impl Default for Draws {
    fn default() -> Draws {
        Draws::new(0)
    }
}
