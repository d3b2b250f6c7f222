//! What instances hold in memory: the allocator counts, and a day's instances are dropped alone at its end.

use anyhow::Result;
use cap::Cap;
use dunlincleat_fleet::scenario::Scenario;
use dunlincleat_fleet::world::{Policy, instance_memory};
use std::alloc::System;

#[global_allocator]
static ALLOCATOR: Cap<System> = Cap::new(System, usize::MAX);

/// Bytes that are allocated now.
pub fn allocated() -> usize {
    ALLOCATOR.allocated()
}

/// Bytes that an instance holds at the end of a day, in the mean. Nothing else may run meanwhile.
pub fn mean_instance_bytes(scenario: &Scenario, policy: Policy, seed: u64) -> Result<f64> {
    let memory = instance_memory(scenario, policy, seed, allocated)?;
    Ok(memory.bytes as f64 / memory.instances.max(1) as f64)
}

/// The most that was ever allocated, in bytes.
pub fn peak_bytes() -> usize {
    ALLOCATOR.max_allocated()
}
