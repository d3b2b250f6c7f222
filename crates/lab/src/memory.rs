//! What instances hold in memory: the allocator counts, and a day's instances are dropped alone at its end.

use anyhow::Result;
use cap::Cap;
use dunlincleat_fleet::scenario::Scenario;
use dunlincleat_fleet::world::{Policy, held_by_instances};
use std::alloc::System;

#[global_allocator]
static ALLOCATOR: Cap<System> = Cap::new(System, usize::MAX);

/// Bytes that are allocated now.
pub fn allocated() -> usize {
    ALLOCATOR.allocated()
}

/// Bytes that an instance holds at the end of a day, in the mean. Nothing else may run meanwhile.
pub fn an_instance(scenario: &Scenario, policy: Policy, seed: u64) -> Result<f64> {
    let (bytes, instances) = held_by_instances(scenario, policy, seed, allocated)?;
    Ok(bytes as f64 / instances.max(1) as f64)
}

/// The most that was ever allocated, in bytes.
pub fn peak() -> usize {
    ALLOCATOR.max_allocated()
}
