//! Memory use of simulated instances, measured with a counting allocator: the instances of a simulation are dropped on their
//! own at its end, and the difference is counted.

use anyhow::Result;
use cap::Cap;
use dunlincleat_fleet::scenario::Scenario;
use dunlincleat_fleet::world::{Policy, instance_memory};
use std::alloc::System;

#[global_allocator]
static ALLOCATOR: Cap<System> = Cap::new(System, usize::MAX);

/// Returns the number of bytes currently allocated.
pub fn allocated() -> usize {
    ALLOCATOR.allocated()
}

/// Returns the mean number of bytes that an instance holds at the end of a simulation. No other thread may allocate meanwhile,
/// since the allocator counts for the whole process.
pub fn mean_instance_bytes(scenario: &Scenario, policy: Policy, seed: u64) -> Result<f64> {
    let memory = instance_memory(scenario, policy, seed, allocated)?;
    Ok(memory.bytes as f64 / memory.instances.max(1) as f64)
}

/// Returns the peak number of bytes allocated since the process started.
pub fn peak_bytes() -> usize {
    ALLOCATOR.max_allocated()
}
