//! Start and shutdown of the process: configuration errors and signals.

mod common;

use common::*;
use serde_json::{Value, json};

#[test]
fn sigterm_completes_accepted_requests_and_serves_new_connections_for_a_grace_period() {
    let (gate, action) = gated_ok("slow");
    let server = FakeServer::start(move |n, _| if n == 0 { action.clone() } else { ok("late") });
    let sidecar = Setup::new(vec![entry("s1", server.address, "up")])
        .set("/settings/classes/1/aim", json!(60_000_000))
        .set("/settings/classes/1/deadline", json!(60_000_000))
        // Idle connections are closed at two thirds of this, long after this test has used the ones that it
        // keeps.
        .set("/sidecar/accept_after_term_ms", json!(6000))
        .set("/sidecar/end_after_term_ms", json!(60_000))
        .start();
    let mut taken = sidecar.connect();
    taken.send(&once_request("r1").replace("X-Timeout: 0.9", "X-Timeout: 60"));
    server.requests.wait(1, "requests");
    let mut kept = sidecar.connect();
    kept.send(&read_request("r2"));
    assert_eq!(kept.read_response().header("connection"), None);
    let mut idle = sidecar.connect();
    sidecar.signal("TERM");
    sidecar.wait_for_log("shutting down");
    // Kept and new connections are served, with `Connection: close`.
    kept.send(&read_request("r3"));
    let answer = kept.read_response();
    assert_eq!((answer.status(), answer.header("connection")), (200, Some("close")));
    kept.wait_for_close();
    let answer = sidecar.request(&read_request("r4"));
    assert_eq!((answer.status(), answer.header("connection")), (200, Some("close")));
    // The idle connection is closed at the end of the grace period; the accepted request is still answered
    // after it.
    idle.wait_for_close();
    gate.send(()).unwrap();
    assert_eq!(taken.read_response().text(), "slow");
    taken.wait_for_close();
    let Exit { status, log } = sidecar.wait_for_exit();
    assert!(status.success(), "{status}: {log}");
}

#[test]
fn connections_in_the_accept_queue_at_the_end_of_the_grace_period_are_answered() {
    // The operating system accepts these connections while the process is stopped: they count as accepted,
    // even if there are more of them than slots.
    for places in [492, 20] {
        check_accept_queue_is_answered(places);
    }
}

fn check_accept_queue_is_answered(places: usize) {
    let server = FakeServer::start(|_, _| ok("x"));
    let sidecar = Setup::new(vec![entry("s1", server.address, "up")])
        .set("/sidecar/client_connections", json!(places))
        .set("/sidecar/accept_after_term_ms", json!(0))
        .set("/sidecar/end_after_term_ms", json!(60_000))
        .start();
    sidecar.signal("STOP");
    let ask = |n| {
        let mut client = sidecar.connect();
        client.send(&read_request(&format!("r{n}")));
        client
    };
    // Too many to accept before the process sees the signal, and more than the usual accept queue of 128:
    // beyond it, connections would not be established while the process is stopped.
    let clients: Vec<Client> = (0..if places < 200 { places + 16 } else { 200 }).map(ask).collect();
    sidecar.signal("TERM");
    sidecar.signal("CONT");
    for mut client in clients {
        // The decision module may reject some of so many at once; each must get a response.
        let status = client.read_response().status();
        assert!(matches!(status, 200 | 503), "{status}");
        client.wait_for_close();
    }
    let Exit { status, log } = sidecar.wait_for_exit();
    assert!(status.success(), "{status}: {log}");
}

#[test]
fn sigint_shuts_down_like_sigterm() {
    let sidecar = Setup::new(vec![]).set("/sidecar/accept_after_term_ms", json!(0)).start();
    sidecar.signal("INT");
    let Exit { status, log } = sidecar.wait_for_exit();
    assert!(status.success() && log.contains("sidecar n0 stopped"), "{status}: {log}");
}

/// Guards accepted requests at the exit of the process: each gets a response first. A request that never
/// arrived completely was not accepted and does not delay the exit.
#[test]
fn request_in_flight_at_the_shutdown_limit_is_answered_before_the_exit() {
    let server = FakeServer::start(|_, _| Action::Hang);
    let sidecar = Setup::new(vec![entry("s1", server.address, "up")])
        .set("/settings/classes/0/aim", json!(60_000_000))
        .set("/settings/classes/0/deadline", json!(60_000_000))
        .set("/sidecar/accept_after_term_ms", json!(50))
        .set("/sidecar/end_after_term_ms", json!(1000))
        .start();
    let mut client = sidecar.connect();
    client.send(&read_request("r1").replace("X-Timeout: 0.9", "X-Timeout: 60"));
    server.requests.wait(1, "requests");
    let mut half = sidecar.connect();
    half.send("GET /read HTTP/1.1\r\nHost: x\r\nX-Req");
    sidecar.signal("TERM");
    let answer = client.read_response();
    assert_eq!((answer.status(), answer.header("connection")), (502, Some("close")));
    client.wait_for_close();
    half.wait_for_close();
    let Exit { status, log } = sidecar.wait_for_exit();
    assert!(status.success(), "{status}");
    assert!(log.contains("connections still open"), "{log}");
}

/// Starts the process with one invalid option; it must exit with a message that names it.
fn assert_start_fails(setup: Setup, message: &str) {
    let Exit { status, log } = setup.spawn().wait_for_exit();
    assert!(!status.success(), "the process started: {message}");
    assert!(log.contains(message), "'{message}' is not in: {log}");
}

fn setup_without(key: &str) -> Setup {
    let mut setup = Setup::new(vec![]);
    setup.config.as_object_mut().unwrap().remove(key);
    setup
}

fn setup_with(pointer: &str, value: Value) -> Setup {
    Setup::new(vec![]).set(pointer, value)
}

fn setup_with_env(name: &'static str, value: &str) -> Setup {
    let mut setup = Setup::new(vec![]);
    setup.env.push((name, value.to_owned()));
    setup
}

#[test]
fn configuration_error_is_named() {
    assert_start_fails(
        setup_with_env("EDGE_CONFIG", "/nowhere/config.json"),
        "EDGE_CONFIG: '/nowhere/config.json'",
    );
    assert_start_fails(setup_with_env("EDGE_CONFIG", ""), "EDGE_CONFIG is empty");
    assert_start_fails(setup_with_env("EDGE_LISTEN", "localhost"), "EDGE_LISTEN: 'localhost'");
    assert_start_fails(setup_with_env("EDGE_DISCOVERY", "10.0.0.1"), "EDGE_DISCOVERY: '10.0.0.1'");
    assert_start_fails(setup_with("/listen", json!("here")), "EDGE_CONFIG: listen: 'here'");
    assert_start_fails(setup_with("/listen", json!(5)), "EDGE_CONFIG: listen: not a string");
    assert_start_fails(setup_without("listen"), "neither EDGE_LISTEN nor the key listen");
    assert_start_fails(setup_without("discovery"), "neither EDGE_DISCOVERY nor the key discovery");
    assert_start_fails(setup_without("name"), "neither EDGE_NAME nor the key name");
    assert_start_fails(setup_without("seed"), "EDGE_CONFIG: seed is missing");
    assert_start_fails(setup_with("/seed", json!("xyz")), "EDGE_CONFIG: seed: 'xyz'");
    assert_start_fails(setup_without("settings"), "EDGE_CONFIG: settings is missing");
    assert_start_fails(setup_with("/settings", json!({})), "EDGE_CONFIG: settings: missing field `classes`");
    assert_start_fails(setup_with("/settings/classes/0/semantics", json!("odd")), "unknown semantics 'odd'");
    assert_start_fails(
        setup_with("/known", json!({"rev": 1})),
        "EDGE_CONFIG: known: missing field `targets`",
    );
    assert_start_fails(
        setup_with("/known/targets", json!([{"uid": "s1", "state": "up"}])),
        "EDGE_CONFIG: known: server s1",
    );
    assert_start_fails(setup_with("/limits", json!({"sockets": "many"})), "EDGE_CONFIG: limits");
    assert_start_fails(setup_with("/limits/sockets", json!(20)), "EDGE_CONFIG: limits.sockets: 20");
    assert_start_fails(setup_with("/sidecar/log", json!("loud")), "EDGE_CONFIG: sidecar.log");
    assert_start_fails(setup_with("/sidecar/body_bytes", json!(-1)), "EDGE_CONFIG: sidecar.body_bytes");
    assert_start_fails(
        setup_with("/sidecar/requests", json!(0)),
        "EDGE_CONFIG: sidecar.requests: 0 is under 1",
    );
    assert_start_fails(setup_with("/sidecar/client_connections", json!(900)), "sidecar.client_connections");
    assert_start_fails(setup_with("/sidecar", json!([])), "EDGE_CONFIG: sidecar: not an object");
}

#[test]
fn listen_address_in_use_is_named() {
    let taken = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let listen = taken.local_addr().unwrap().to_string();
    assert_start_fails(setup_with("/listen", json!(listen)), &format!("EDGE_LISTEN: {listen}"));
}

#[test]
fn unknown_keys_are_ignored_and_environment_overrides_the_file() {
    let server = FakeServer::start(|_, _| ok("x"));
    let mut setup = Setup::new(vec![entry("s1", server.address, "up")])
        .set("/settings/new", json!({"a": 1}))
        .set("/new", json!(1))
        .set("/sidecar/new", json!(1))
        .set("/known/targets/0/new", json!(1));
    setup.env.push(("EDGE_NAME", "other".to_owned()));
    let sidecar = setup.start();
    sidecar.wait_for_log("sidecar other starts");
    assert_eq!(sidecar.request(&read_request("r1")).status(), 200);
}
