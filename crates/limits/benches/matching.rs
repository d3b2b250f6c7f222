//! Time to find the route of a request among 1, 50 and 1,000 routes, and to validate a file with that many.

// criterion_group! generates a public function without documentation.
#![allow(missing_docs)]

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use dunlincleat_limits::{RequestAttributes, check};
use dunlincleat_settings::{InstanceSettings, read};
use std::hint::black_box;

fn instance() -> InstanceSettings {
    let class =
        |n: usize| format!(r#"{{"name":"c{n}","aim":300000,"deadline":740000,"semantics":"retryable"}}"#);
    let classes: Vec<String> = (0..20).map(class).collect();
    read(&format!(r#"{{"classes":[{}],"safety":{{}}}}"#, classes.join(","))).expect("valid settings")
}

fn file(routes: usize) -> String {
    let route = |n: usize| {
        let path = format!("/c{}/part-{n}/*", n % 20);
        format!(
            "[[route]]\nname = 'r{n}'\nattempts = 1\nmatch = {{ path = '{path}', header = {{ X-Venue = 'v' }} }}\n"
        )
    };
    (0..routes).map(route).collect()
}

fn matching(c: &mut Criterion) {
    let instance = instance();
    for routes in [1, 50, 1000] {
        let text = file(routes);
        let rules = check(&text, &instance).rules.expect("a valid file");
        let header = |name: &str| (name == "x-venue").then_some("v");
        // The last route of its class, which is found after all others of the class were compared.
        let last = routes - 1;
        let path = format!("/c{}/part-{last}/7", last % 20);
        let class = (last % 20) as u32;
        let request = RequestAttributes { path: &path, method: "GET", class, tenant: 0, header: &header };
        assert_eq!(rules.find(&request).name, format!("r{last}"));
        c.bench_with_input(BenchmarkId::new("find", routes), &routes, |b, _| {
            b.iter(|| black_box(rules.find(&request)))
        });
        c.bench_with_input(BenchmarkId::new("check", routes), &routes, |b, _| {
            b.iter(|| check(&text, &instance))
        });
    }
}

criterion_group!(benches, matching);
criterion_main!(benches);
