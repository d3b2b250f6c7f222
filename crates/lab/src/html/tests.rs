//! Tests of the HTML page.

use super::*;
use crate::results::RunHeader;
use std::collections::BTreeMap;

#[test]
fn page_is_self_contained_and_marks_partial_runs() {
    let seconds = (0..20)
        .map(|n| Second {
            wanted: 100.0,
            served: 90.0 - f64::from(n),
            lost: BTreeMap::from([("queueing".to_owned(), f64::from(n))]),
            arrived: (0..50).map(|node| (node * n) as u32).collect(),
            ..Second::default()
        })
        .collect();
    let mark = dunlincleat_fleet::report::Mark { name: "cut".into(), from_s: 3.0, to_s: 6.0 };
    let day = Report {
        scenario: "a <b>".into(),
        policy: "module".into(),
        seed: 4,
        worth: 0.8,
        broken: BTreeMap::from([("drains".to_owned(), 2)]),
        seconds,
        marks: vec![mark],
        ..Report::default()
    };
    let plan = RunHeader { v: 2, plan: "a.toml".into(), policy: "module".into(), seeds: vec![4, 5] };
    let page = page(&[Run { plan, days: vec![day] }]).unwrap();
    assert_eq!(page.matches("<svg").count(), 4);
    assert!(page.contains("a &lt;b&gt;") && !page.contains("a <b>"));
    assert!(page.contains("Partial: 1 of 2 days") && page.contains(">cut<") || page.contains("cut\n"));
    // No external resources are loaded: the only URL is the SVG namespace.
    let addresses = page.replace("http://www.w3.org/2000/svg", "");
    assert!(!addresses.contains("http") && !addresses.contains("src=") && !addresses.contains("<script"));
}
