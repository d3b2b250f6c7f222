//! Tests of `links.rs`.

use super::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Over random days no node holds more than it grants, and what is given back once is all given back in the end.
#[test]
fn every_connection_is_given_back_once_and_no_node_holds_too_many() {
    for seed in 0..20 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut links = Links::new(Terms { most: Some(5), idle: 300 }, 3);
        let mut out: Vec<(u32, u32)> = Vec::new();
        for now in 0..4000 {
            let (instance, node) = (rng.random_range(0..4), rng.random_range(0..3));
            match rng.random_range(0..10) {
                0..5 => match links.take(now, instance, node) {
                    Got::Kept | Got::New => out.push((instance, node)),
                    Got::Full => assert_eq!(links.open[node as usize], 5),
                },
                5..9 if !out.is_empty() => {
                    let (instance, node) = out.swap_remove(rng.random_range(0..out.len()));
                    if rng.random() { links.free(now, instance, node) } else { links.close(node) }
                }
                9 if now % 50 == 0 => links.node_ends(node),
                _ => links.sweep(now),
            }
            assert!(links.open.iter().all(|open| *open <= 5));
        }
        for (instance, node) in out {
            links.free(4000, instance, node);
        }
        links.sweep(5000);
        assert_eq!(links.held(), 0, "seed {seed}");
    }
}
