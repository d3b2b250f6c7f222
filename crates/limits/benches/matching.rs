//! Finding a request's route among 1, 50 and 1,000, and proving a file of so many.

// The macro below makes a public function without a page.
#![allow(missing_docs)]

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use dunlincleat_limits::{Facts, check};
use dunlincleat_settings::{Site, read};
use std::hint::black_box;

fn site() -> Site {
    let class =
        |n: usize| format!(r#"{{"name":"c{n}","aim":300000,"deadline":740000,"semantics":"retryable"}}"#);
    let classes: Vec<String> = (0..20).map(class).collect();
    read(&format!(r#"{{"classes":[{}],"safety":{{}}}}"#, classes.join(","))).expect("the settings are right")
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
    let site = site();
    for routes in [1, 50, 1000] {
        let text = file(routes);
        let rules = check(&text, &site).1.expect("the file is right");
        let header = |name: &str| (name == "x-venue").then_some("v");
        // The last route of its class: all others of the class are looked at first.
        let last = routes - 1;
        let path = format!("/c{}/part-{last}/7", last % 20);
        let class = (last % 20) as u32;
        let facts = Facts { path: &path, method: "GET", class, tenant: 0, header: &header };
        assert_eq!(rules.find(&facts).name, format!("r{last}"));
        c.bench_with_input(BenchmarkId::new("find", routes), &routes, |b, _| {
            b.iter(|| black_box(rules.find(&facts)))
        });
        c.bench_with_input(BenchmarkId::new("check", routes), &routes, |b, _| b.iter(|| check(&text, &site)));
    }
}

criterion_group!(benches, matching);
criterion_main!(benches);
