//! Tests of `metrics.rs`.

use super::*;

#[test]
fn each_figure_stands_on_a_line_of_its_own() {
    let metrics = Arc::new(Metrics::default());
    metrics.class("b").served.increment();
    metrics.class("a\"\n").refused.increment();
    metrics.class("b").served.increment();
    let one = metrics.request_started();
    drop(metrics.request_started());
    metrics.known_servers.set(14);
    let text = metrics.render();
    for line in [
        "svc_passed{category=\"b\"} 2",
        "svc_passed{category=\"a\\\"\\n\"} 0",
        "svc_dropped{category=\"a\\\"\\n\"} 1",
        "svc_bad_gateway{category=\"b\"} 0",
        "svc_upstream_tries 0",
        "svc_in_progress 1",
        "svc_known_endpoints 14",
        "svc_loads 0",
    ] {
        assert!(text.lines().any(|l| l == line), "{line} is not in\n{text}");
    }
    drop(one);
    assert!(metrics.render().contains("svc_in_progress 0\n"));
}
