//! Tests of `connections.rs`.

use super::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// No node ever has more connections than its limit, and none is left open once all are released, over random
/// sequences.
#[test]
fn connections_are_released_once_and_never_exceed_the_node_limit() {
    for seed in 0..20 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut connections =
            Connections::new(ConnectionLimits { max_per_node: Some(5), idle_timeout: 300 }, 3);
        let mut in_use: Vec<(u32, u32)> = Vec::new();
        for now in 0..4000 {
            let (instance, node) = (rng.random_range(0..4), rng.random_range(0..3));
            match rng.random_range(0..10) {
                0..5 => match connections.acquire(now, instance, node) {
                    Acquired::Reused | Acquired::Opened => in_use.push((instance, node)),
                    Acquired::LimitReached => assert_eq!(connections.open[node as usize], 5),
                },
                5..9 if !in_use.is_empty() => {
                    let (instance, node) = in_use.swap_remove(rng.random_range(0..in_use.len()));
                    if rng.random() {
                        connections.release(now, instance, node)
                    } else {
                        connections.close(node)
                    }
                }
                9 if now % 50 == 0 => connections.close_node(node),
                _ => connections.close_idle(now),
            }
            assert!(connections.open.iter().all(|open| *open <= 5));
        }
        for (instance, node) in in_use {
            connections.release(4000, instance, node);
        }
        connections.close_idle(5000);
        assert_eq!(connections.open_count(), 0, "seed {seed}");
    }
}
