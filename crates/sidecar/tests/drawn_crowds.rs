//! Crowds drawn from a seed: kinds mixed, counts, rates, limits, one after another, there as the process starts.
//! By hand: `CROWD_SEED=100 CROWD_SEEDS=50 cargo test -p dunlincleat-sidecar --test drawn_crowds -- --ignored --nocapture`.

mod common;
mod crowd;

use crowd::bad_client::{Behaviour, FULL_SPEED, Kind, Pace};
use crowd::plan::CrowdPlan;
use crowd::{play, verdict};
use std::time::Duration;

/// The part of the good requests beside any crowd that has to be served: the share that the operators' gate asks for.
const MIN_SERVED_PERCENT: usize = 50;

fn number(name: &str, default: u64) -> u64 {
    std::env::var(name).ok().and_then(|value| value.parse().ok()).unwrap_or(default)
}

fn assert_borne(plans: impl Iterator<Item = CrowdPlan>) {
    let mut broken = Vec::new();
    for plan in plans {
        let outcome = play(plan);
        println!("{outcome}");
        broken.extend(verdict(&outcome, MIN_SERVED_PERCENT).err());
    }
    assert!(broken.is_empty(), "{}", broken.join("\n"));
}

/// Clients of a crowd of one kind.
const CROWD: usize = 500;

fn assert_kind_is_borne(kind: Kind, seed: u64) {
    assert_borne([true, false].into_iter().map(|at_start| CrowdPlan::of_kind(kind, CROWD, seed, at_start)));
}

/// Guards against a process killed for its memory: bodies were allocated at their announced length and charged as they
/// came, and a connection took twice of what it was charged.
#[test]
fn slowly_written_bodies_are_borne() {
    assert_kind_is_borne(Kind::SlowBody, 1);
}

/// The same with clients that stop within the body.
#[test]
fn half_written_bodies_are_borne() {
    assert_kind_is_borne(Kind::HalfBody, 1);
}

/// The same with whole bodies, several at once.
#[test]
fn whole_bodies_at_full_speed_are_borne() {
    assert_kind_is_borne(Kind::FullBodies, 1);
}

/// The same with heads of very many short fields.
#[test]
fn heads_of_many_short_fields_are_borne() {
    assert_kind_is_borne(Kind::ManyFields, 1);
}

/// The same with bodies that are streamed to a server.
#[test]
fn slowly_written_long_uploads_are_borne() {
    assert_kind_is_borne(Kind::SlowUpload, 1);
}

/// Guards against good clients locked out: uploads that stood still held all memory and all places.
#[test]
fn half_written_long_uploads_are_borne() {
    assert_kind_is_borne(Kind::HalfUpload, 1);
}

/// Guards against good clients locked out: long responses that are read slowly held all connections and all places.
#[test]
fn slow_readers_are_borne() {
    assert_kind_is_borne(Kind::SlowReader, 1);
}

/// Guards against good clients locked out by clients that send hundreds of requests at once.
#[test]
fn pipelines_are_borne() {
    assert_kind_is_borne(Kind::Pipeline, 1);
}

/// Guards against a process killed for its memory: what one crowd had left resident was added to what the next one took.
#[test]
fn mixed_crowds_one_after_another_are_borne() {
    assert_borne([1000, 1001, 1002, 1004].into_iter().map(CrowdPlan::draw));
}

/// Guards against good clients locked out where there are few descriptors: long responses and uploads held two thirds of
/// all connections.
#[test]
fn mixed_crowd_with_few_descriptors_is_borne() {
    let seed = 4015;
    let plan = CrowdPlan::draw(seed);
    assert_borne([CrowdPlan { memory_mib: 48, descriptors: 256, ..plan }].into_iter());
}

/// Sizes and rates at which a process passed its limit, or refused nearly all good clients.
fn recorded_behaviours() -> Vec<Behaviour> {
    let pace = Pace { bytes: 4_000, every: Duration::from_micros(62_500) };
    let full = |kind, sent, length, count| Behaviour {
        kind,
        sent,
        length,
        count,
        write: FULL_SPEED,
        read: FULL_SPEED,
    };
    vec![
        Behaviour { write: pace, ..full(Kind::SlowBody, 60_000, 60_000, 1) },
        full(Kind::ManyFields, 30_000, 65_000, 88),
        Behaviour { read: pace, ..full(Kind::SlowReader, 0, 6_000_000, 1) },
        full(Kind::HalfUpload, 400_000, 900_000, 1),
        full(Kind::Pipeline, 0, 0, 400),
        full(Kind::HalfBody, 60_000, 65_000, 1),
        full(Kind::TinyChunks, 60_000, 0, 1),
    ]
}

/// Guards against a process killed for its memory and good clients locked out, by the crowds of issue 71, mixed.
#[test]
fn recorded_crowds_mixed_are_borne() {
    assert_borne([CrowdPlan::of_behaviours(recorded_behaviours(), CROWD)].into_iter());
}

/// The same crowds, each alone.
#[test]
fn recorded_crowds_are_borne() {
    let alone = |behaviour| CrowdPlan::of_behaviours(vec![behaviour], CROWD);
    assert_borne(recorded_behaviours().into_iter().map(alone));
}

/// Plays the seeds that the environment names.
#[test]
#[ignore = "played by hand with seeds of its own"]
fn crowds_of_named_seeds() {
    let first = number("CROWD_SEED", 1000);
    assert_borne((first..first + number("CROWD_SEEDS", 10)).map(CrowdPlan::draw));
}

/// Plays each kind of client alone at the least limits.
#[test]
#[ignore = "played by hand with seeds of its own"]
fn crowds_of_each_kind() {
    let at_start = std::env::var_os("CROWD_AT_START").is_some();
    let seed = number("CROWD_SEED", 1000);
    let only = std::env::var("CROWD_KIND").ok();
    let kinds =
        Kind::ALL.into_iter().filter(|kind| only.as_ref().is_none_or(|name| *name == format!("{kind:?}")));
    assert_borne(kinds.map(|kind| CrowdPlan::of_kind(kind, 500, seed, at_start)));
}
