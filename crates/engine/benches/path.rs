//! Benchmarks of the request path through the engine and the decision module: a request is received, drawn to a
//! server, sent and answered. The first group runs one request per millisecond by number of servers, with and without
//! a limits file, and includes the window steps. The second group measures decisions and window steps separately, up
//! to the number of servers of the capacity plan.

// `criterion_group!` generates a public function without documentation.
#![allow(missing_docs)]

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use dunlincleat::api::{Attempt, ListKind, RequestId, ServerId, Span, State, Status, Time};
use dunlincleat_directory::{Delivery, Entry};
use dunlincleat_engine::{Completion, Engine, Input, Output, RequestInfo};
use dunlincleat_limits::{Rule, check};
use dunlincleat_settings::{InstanceSettings, read};
use stats_alloc::{INSTRUMENTED_SYSTEM, Region, StatsAlloc};
use std::alloc::System;
use std::hint::black_box;
use std::sync::Arc;
use std::time::{Duration, Instant};

#[global_allocator]
static GLOBAL: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

const SETTINGS: &str = r#"{"zones":["a"],"tenants":[{"name":"t","share":1.0,"quota_per_s":100.0}],
    "stats":{"fields":["inflight","queue","util"],"how":"inline"},
    "limits":{"try_limit":4,"connect_timeout":100000},
    "classes":[{"name":"read","aim":300000,"deadline":740000,"gain":1.0,"late_worth":0.5,"semantics":"retryable"}],
    "safety":{"cold":1000000,"cold_from":0.3}}"#;
const LIMITS_FILE: &str =
    "[defaults]\nattempts = 3\nattempt_timeout = '200ms'\nmax_in_hand = 100\nretry_budget = { part = 0.2 }";

struct RequestPath {
    engine: Engine<u64, u64>,
    rule: Option<Arc<Rule>>,
    now: u64,
    id: u64,
    outputs: Vec<Output<u64, u64>>,
}

impl RequestPath {
    fn new(servers: u16, limits: bool) -> RequestPath {
        let site: InstanceSettings = read(SETTINGS).expect("valid settings");
        let rules = check(LIMITS_FILE, &site).rules.expect("valid limits file");
        let mut engine = Engine::new(&site, 7, 10_000);
        let entry = |n: u16| Entry {
            uid: format!("s{n}"),
            endpoint: Some(([127, 0, 0, 1], 1 + n).into()),
            zone: "a".to_owned(),
            model: String::new(),
            cell: 0,
            state: State::Ready,
            weight: 1.0,
            boot_ms: 0,
        };
        let entries = (0..servers).map(entry).collect();
        let now = 1_800_000_000_000_000;
        let mut outputs = Vec::new();
        let known = Delivery { kind: ListKind::Cached, rev: 1, entries, anomalies: Vec::new() };
        engine.input(Time(now), Input::ServerList(known), &mut outputs);
        let rule = limits.then(|| rules.default_rule().clone());
        RequestPath { engine, rule, now, id: 0, outputs }
    }

    /// Runs one request, one millisecond after the previous one, and first the timers that have expired by then.
    fn request(&mut self) {
        self.now += 1000;
        self.outputs.clear();
        self.engine.wake(Time(self.now), &mut self.outputs);
        self.decide();
    }

    /// Runs the next window step.
    fn window_step(&mut self) {
        self.outputs.clear();
        self.now = self.now.max(self.engine.due().map_or(0, |due| due.0));
        self.engine.wake(Time(self.now), &mut self.outputs);
        black_box(&self.outputs);
    }

    /// Runs one request, answered with a latency of 5 ms.
    fn decide(&mut self) {
        self.id += 1;
        let now = Time(self.now);
        let id = RequestId(self.id);
        let info = RequestInfo { wait: Span(740_000), rule: self.rule.clone(), ..RequestInfo::default() };
        self.outputs.clear();
        self.engine.input(
            now,
            Input::Request { id, info, received: now, payload: self.id },
            &mut self.outputs,
        );
        let sent = self.outputs.iter().find_map(|output| match output {
            Output::Attempt { attempt, server, .. } => Some((*attempt, *server)),
            _ => None,
        });
        let Some((attempt, server)): Option<(Attempt, ServerId)> = sent else { return };
        self.outputs.clear();
        let load = vec![1.0, 0.0, 0.4];
        let completion = Completion { status: Status::Ok, latency: Span(5000), load, body: Some(self.id) };
        self.engine.input(now, Input::AttemptEnded { id, attempt, server, completion }, &mut self.outputs);
        black_box(&self.outputs);
    }
}

fn requests(c: &mut Criterion) {
    let mut group = c.benchmark_group("request");
    for servers in [12, 160, 1000] {
        for limits in [false, true] {
            let name = if limits { "with limits" } else { "without a file" };
            let mut path = RequestPath::new(servers, limits);
            (0..5000).for_each(|_| path.request());
            let region = Region::new(GLOBAL);
            (0..5000).for_each(|_| path.request());
            let allocations = region.change().allocations as f64 / 5000.0;
            println!("request/{name}/{servers}: {allocations:.1} allocations a request");
            group.bench_function(BenchmarkId::new(name, servers), |b| b.iter(|| path.request()));
        }
    }
    group.finish();
}

/// Requests between two window steps, and the microseconds between these requests. Their product stays below the time
/// after which a request would close the window early.
const REQUESTS_BETWEEN_STEPS: u64 = 25;
const REQUEST_INTERVAL_US: u64 = 200;

/// Measures decisions and window steps, each without the other.
fn separate_steps(c: &mut Criterion) {
    let mut group = c.benchmark_group("apart");
    for servers in [6, 60, 200, 3100] {
        let mut path = RequestPath::new(servers, false);
        (0..3 * servers.max(200)).for_each(|_| path.request());
        group.bench_function(BenchmarkId::new("decision", servers), |b| {
            b.iter_custom(|iterations| {
                let mut elapsed = Duration::ZERO;
                let mut left = iterations;
                while left > 0 {
                    path.window_step();
                    let batch = left.min(REQUESTS_BETWEEN_STEPS);
                    let started = Instant::now();
                    for _ in 0..batch {
                        path.now += REQUEST_INTERVAL_US;
                        path.decide();
                    }
                    elapsed += started.elapsed();
                    left -= batch;
                }
                elapsed
            });
        });
        group.bench_function(BenchmarkId::new("window step", servers), |b| {
            b.iter_custom(|iterations| {
                let mut elapsed = Duration::ZERO;
                for _ in 0..iterations {
                    (0..4).for_each(|_| path.decide());
                    let started = Instant::now();
                    path.window_step();
                    elapsed += started.elapsed();
                }
                elapsed
            });
        });
    }
    group.finish();
}

criterion_group!(benches, requests, separate_steps);
criterion_main!(benches);
