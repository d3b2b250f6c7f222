//! Outcomes of attempts and handling of server connections.

mod common;

use common::*;
use serde_json::json;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

/// Two servers of which the first one to get a request performs the given action; all other requests are
/// served.
struct ServerPair {
    servers: [FakeServer; 2],
    sidecar: Sidecar,
}

fn start_pair(first: Action) -> ServerPair {
    let requests = Arc::new(AtomicUsize::new(0));
    let servers = [(), ()].map(|()| {
        let requests = requests.clone();
        let first = first.clone();
        FakeServer::start(move |_, _| match requests.fetch_add(1, Ordering::SeqCst) {
            0 => first.clone(),
            _ => ok("served"),
        })
    });
    let known = vec![entry("s1", servers[0].address, "up"), entry("s2", servers[1].address, "up")];
    let sidecar = Setup::new(known).start();
    ServerPair { servers, sidecar }
}

impl ServerPair {
    fn attempts(&self) -> usize {
        self.servers.iter().map(FakeServer::request_count).sum()
    }
}

fn error_response() -> Action {
    Action::Reply { status: 500, headers: vec![], body: "broken".into() }
}

/// Status of a request and its number of attempts.
#[derive(Debug, PartialEq, Eq)]
struct Outcome {
    status: u16,
    attempts: usize,
}

const RETRIED: Outcome = Outcome { status: 200, attempts: 2 };
const NOT_RETRIED: Outcome = Outcome { status: 502, attempts: 1 };

/// Checks the outcome of a request of each class whose first attempt gets this action.
fn check_outcomes(first: &Action, read: Outcome, once: Outcome, pay: Outcome) {
    for (request, expected) in
        [(read_request("r1"), read), (once_request("r1"), once), (pay_request("r1"), pay)]
    {
        let pair = start_pair(first.clone());
        let response = pair.sidecar.request(&request);
        let outcome = Outcome { status: response.status(), attempts: pair.attempts() };
        assert_eq!(outcome, expected, "{request}");
        if expected.status == 200 {
            assert_eq!(response.text(), "served");
        }
    }
}

#[test]
fn error_response_is_retried_only_where_a_repeat_is_safe() {
    check_outcomes(&error_response(), RETRIED, NOT_RETRIED, RETRIED);
}

#[test]
fn unexpected_status_is_retried_only_where_a_repeat_is_safe() {
    check_outcomes(&status_only(404), RETRIED, NOT_RETRIED, RETRIED);
    check_outcomes(&status_only(503), RETRIED, NOT_RETRIED, RETRIED);
}

#[test]
fn rejected_attempt_is_retried_in_every_class() {
    check_outcomes(&rejected(503), RETRIED, RETRIED, RETRIED);
    check_outcomes(&rejected(504), RETRIED, RETRIED, RETRIED);
}

#[test]
fn connection_closed_before_the_response_is_retried_only_where_a_repeat_is_safe() {
    check_outcomes(&Action::Close, RETRIED, NOT_RETRIED, RETRIED);
}

#[test]
fn truncated_response_is_retried_only_where_a_repeat_is_safe() {
    // awc ends such a body as if it were complete, and the truncated response was once served.
    let half = Action::Raw("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf".into(), AfterWrite::Close);
    check_outcomes(&half, RETRIED, NOT_RETRIED, RETRIED);
}

#[test]
fn chunked_response_is_complete_or_an_error() {
    let chunked = |body: &str, then| {
        Action::Raw(format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{body}"), then)
    };
    let pair = start_pair(chunked("4\r\nhalf\r\n", AfterWrite::Close));
    assert_eq!(pair.sidecar.request(&once_request("r1")).status(), 502);
    let server =
        FakeServer::start(move |_, _| chunked("4\r\nwhol\r\n1\r\ne\r\n0\r\n\r\n", AfterWrite::KeepOpen));
    let sidecar = Setup::new(vec![entry("s1", server.address, "up")]).start();
    for _ in 0..3 {
        assert_eq!(sidecar.request(&once_request("r1")).text(), "whole");
    }
}

#[test]
fn redirect_is_not_followed() {
    let pair = start_pair(Action::Reply {
        status: 302,
        headers: vec![("Location", "/once/again".into())],
        body: String::new(),
    });
    assert_eq!(pair.sidecar.request(&once_request("r1")).status(), 502);
    assert_eq!(pair.attempts(), 1);
}

#[test]
fn retry_carries_the_same_request_id_and_idempotency_key() {
    let pair = start_pair(error_response());
    assert_eq!(pair.sidecar.request(&pay_request("r9")).status(), 200);
    for server in &pair.servers {
        let received = server.requests.wait(1, "requests").remove(0).message;
        assert_eq!(
            (received.header("x-request-id"), received.header("idempotency-key")),
            (Some("r9"), Some("k1"))
        );
    }
}

#[test]
fn refused_connection_is_retried_on_another_server() {
    // A request whose first draw is the closed port must be served by the other server.
    let server = FakeServer::start(|_, _| ok("served"));
    for _ in 0..8 {
        let known = vec![entry("s1", unique_address(), "up"), entry("s2", server.address, "up")];
        let sidecar = Setup::new(known).start();
        for n in 0..4 {
            assert_eq!(sidecar.request(&once_request(&format!("r{n}"))).status(), 200);
        }
    }
}

#[test]
fn connect_timeout_is_retried_on_another_server() {
    let saturated = SaturatedListener::new();
    let server = FakeServer::start(|_, _| ok("served"));
    let known = vec![entry("s1", saturated.address, "up"), entry("s2", server.address, "up")];
    let sidecar = Setup::new(known).start();
    for n in 0..6 {
        assert_eq!(sidecar.request(&once_request(&format!("r{n}"))).status(), 200);
    }
}

#[test]
fn unanswered_attempt_times_out_and_closes_its_connection() {
    let server = FakeServer::start(|_, _| Action::Hang);
    let sidecar = Setup::new(vec![entry("s1", server.address, "up")]).start();
    let start = Instant::now();
    assert_eq!(sidecar.request(&once_request("r1")).status(), 502);
    assert!(start.elapsed() < Duration::from_millis(950));
    server.closed.wait(1, "closed connections");
    assert_eq!(server.request_count(), 1);
}

#[test]
fn server_connection_carries_one_request_at_a_time_and_is_reused() {
    let (gate, action) = gated_ok("first");
    let server = FakeServer::start(move |n, _| if n == 0 { action.clone() } else { ok("later") });
    let sidecar = Setup::new(vec![entry("s1", server.address, "up")]).start();
    let mut first = sidecar.connect();
    first.send(&read_request("r1"));
    server.requests.wait(1, "requests");
    for n in 0..4 {
        assert_eq!(sidecar.request(&read_request(&format!("q{n}"))).text(), "later");
        wait_for_connection_rest();
    }
    gate.send(()).unwrap();
    assert_eq!(first.read_response().text(), "first");
    let by_connection: Vec<usize> = server.requests.all().iter().map(|request| request.connection).collect();
    assert_eq!(by_connection, [0, 1, 1, 1, 1]);
}

#[test]
fn idle_server_connection_is_closed_before_the_servers_idle_timeout() {
    let server = FakeServer::start(|_, _| ok("x"));
    let sidecar = Setup::new(vec![entry("s1", server.address, "up")])
        .set("/settings/limits/conn_idle", json!(4_000_000))
        .start();
    assert_eq!(sidecar.request(&read_request("r1")).status(), 200);
    let idle = server.closed.wait(1, "closed connections")[0].idle;
    assert!(idle < Duration::from_millis(3500), "closed after {idle:?}");
}

#[test]
fn connection_closed_by_the_server_while_idle_is_not_reused() {
    // Closes each connection after its response without `Connection: close` in the head.
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let responses = Recorder::new();
    let count = responses.clone();
    std::thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let message = read_message(&mut std::io::BufReader::new(&stream));
            assert!(matches!(message, Ok(Some(_))));
            let answer = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
            std::io::Write::write_all(&mut &stream, answer).unwrap();
            // The sidecar has seen the close once it closes its own side.
            stream.shutdown(std::net::Shutdown::Write).unwrap();
            assert_eq!(std::io::Read::read(&mut &stream, &mut [0]).unwrap(), 0);
            drop(stream);
            count.push(());
        }
    });
    let sidecar = Setup::new(vec![entry("s1", address, "up")]).start();
    for n in 0..10 {
        assert_eq!(sidecar.request(&once_request(&format!("r{n}"))).status(), 200);
        responses.wait(n + 1, "answers");
    }
}

#[test]
fn server_connection_limit_rejects_requests_and_recovers() {
    let (gate, action) = gated_ok("first");
    let server = FakeServer::start(move |n, _| if n == 0 { action.clone() } else { ok("later") });
    let sidecar = Setup::new(vec![entry("s1", server.address, "up")])
        .set("/sidecar/server_connections", json!(1))
        .start();
    let mut first = sidecar.connect();
    first.send(&once_request("r1"));
    server.requests.wait(1, "requests");
    // It was never sent, so it is rejected with 503 even in the class that must not run twice.
    assert_eq!(sidecar.request(&once_request("r2")).status(), 503);
    gate.send(()).unwrap();
    assert_eq!(first.read_response().text(), "first");
    let give_up_at = Instant::now() + WAIT_TIMEOUT;
    while sidecar.request(&once_request("r3")).status() != 200 {
        assert!(Instant::now() < give_up_at, "the connection slot of the first request is not released");
    }
}

/// Retries until at least 45 of 50 requests in a row are answered by this server, which uniform draws do not
/// produce.
fn wait_until_preferred(sidecar: &Sidecar, server: &str) {
    let give_up_at = Instant::now() + WAIT_TIMEOUT;
    loop {
        let answers = (0..50).map(|n| sidecar.request(&read_request(&format!("r{n}"))).text());
        let share = answers.filter(|a| a == server).count();
        if share >= 45 {
            return;
        }
        assert!(Instant::now() < give_up_at, "{share} of 50 responses at the time-out");
    }
}

#[test]
fn load_reports_in_responses_shift_the_draws() {
    let report = |inflight: u32| {
        let load = format!(r#"{{"inflight":{inflight},"queue":{inflight},"util":0.5,"other":1}}"#);
        vec![("X-Server-Load", load)]
    };
    let full = report(30);
    let idle = report(0);
    let busy = FakeServer::start(move |_, _| Action::Reply {
        status: 200,
        headers: full.clone(),
        body: "busy".into(),
    });
    let light = FakeServer::start(move |_, _| Action::Reply {
        status: 200,
        headers: idle.clone(),
        body: "light".into(),
    });
    let known = vec![entry("s1", busy.address, "up"), entry("s2", light.address, "up")];
    let sidecar = Setup::new(known).start();
    wait_until_preferred(&sidecar, "light");
}

#[test]
fn probes_are_sent_when_enabled_and_their_load_reports_shift_the_draws() {
    let busy =
        FakeServer::start_with_load(|_, _| ok("busy"), || r#"{"inflight":30,"queue":29,"util":1}"#.into());
    let light =
        FakeServer::start_with_load(|_, _| ok("light"), || r#"{"inflight":0,"queue":0,"util":0}"#.into());
    let known = vec![entry("s1", busy.address, "up"), entry("s2", light.address, "up")];
    let sidecar = Setup::new(known).set("/settings/limits/probes", json!(true)).start();
    let give_up_at = Instant::now() + WAIT_TIMEOUT;
    let mut requests = 0;
    while busy.probes.len() < 5 || light.probes.len() < 5 {
        assert_eq!(sidecar.request(&read_request(&format!("p{requests}"))).status(), 200);
        requests += 1;
        assert!(Instant::now() < give_up_at, "no probes");
    }
    assert!(busy.probes.all().iter().all(|p| p == "/load"));
    wait_until_preferred(&sidecar, "light");
}

#[test]
fn no_probes_are_sent_when_disabled() {
    let server = FakeServer::start(|_, _| ok("x"));
    let sidecar = Setup::new(vec![entry("s1", server.address, "up")]).start();
    for n in 0..50 {
        assert_eq!(sidecar.request(&read_request(&format!("r{n}"))).status(), 200);
    }
    assert_eq!(server.probes.len(), 0);
}

#[test]
fn keyed_retry_stays_within_its_group() {
    // The servers are in different cells: only the first may get the retry, and it has just failed.
    let requests = Arc::new(AtomicUsize::new(0));
    let servers = [(), ()].map(|()| {
        let requests = requests.clone();
        FakeServer::start(move |_, _| {
            if requests.fetch_add(1, Ordering::SeqCst) == 0 { error_response() } else { ok("no") }
        })
    });
    let mut known = vec![entry("s1", servers[0].address, "up"), entry("s2", servers[1].address, "up")];
    known[1]["pod_group"] = json!(1);
    let sidecar = Setup::new(known).set("/settings/classes/2/group", json!("cell")).start();
    assert_eq!(sidecar.request(&pay_request("r1")).status(), 502);
    assert_eq!(servers.iter().map(FakeServer::request_count).sum::<usize>(), 1);
}
