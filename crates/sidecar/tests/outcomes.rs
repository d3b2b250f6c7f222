//! The servers' side: what each outcome of an attempt leads to, and what happens to connections.

mod common;

use common::*;
use serde_json::json;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

/// Two servers of which the one asked first does as told, whichever it is; the other serves.
struct Pair {
    servers: [FakeServer; 2],
    sidecar: Sidecar,
}

fn pair(first: Action) -> Pair {
    let asked = Arc::new(AtomicUsize::new(0));
    let servers = [(), ()].map(|()| {
        let (asked, first) = (asked.clone(), first.clone());
        FakeServer::start(move |_, _| match asked.fetch_add(1, Ordering::SeqCst) {
            0 => first.clone(),
            _ => ok("served"),
        })
    });
    let known = vec![entry("s1", servers[0].address, "up"), entry("s2", servers[1].address, "up")];
    let sidecar = Setup::new(known).start();
    Pair { servers, sidecar }
}

impl Pair {
    fn attempts(&self) -> usize {
        self.servers.iter().map(FakeServer::request_count).sum()
    }
}

fn error() -> Action {
    Action::Reply { status: 500, headers: vec![], body: "broken".into() }
}

/// What each kind of request is answered, and after how many attempts, where the first attempt ends so.
fn expect(first: &Action, read_is: (u16, usize), once_is: (u16, usize), pay_is: (u16, usize)) {
    for (request, (status, attempts)) in
        [(read_request("r1"), read_is), (once_request("r1"), once_is), (pay_request("r1"), pay_is)]
    {
        let pair = pair(first.clone());
        let answer = pair.sidecar.request(&request);
        assert_eq!((answer.status(), pair.attempts()), (status, attempts), "{request}");
        if status == 200 {
            assert_eq!(answer.text(), "served");
        }
    }
}

#[test]
fn an_error_may_have_run() {
    expect(&error(), (200, 2), (502, 1), (200, 2));
}

#[test]
fn an_answer_of_no_known_status_may_have_run() {
    expect(&status_only(404), (200, 2), (502, 1), (200, 2));
    expect(&status_only(503), (200, 2), (502, 1), (200, 2));
}

#[test]
fn what_was_turned_away_never_ran() {
    expect(&rejected(503), (200, 2), (200, 2), (200, 2));
    expect(&rejected(504), (200, 2), (200, 2), (200, 2));
}

#[test]
fn a_connection_that_ends_before_the_answer_may_have_run() {
    expect(&Action::Close, (200, 2), (502, 1), (200, 2));
}

#[test]
fn a_connection_that_ends_within_the_answer_may_have_run() {
    // awc ends such a body as if it were whole: it was once served so.
    let half = Action::Raw("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf".into(), AfterWrite::Close);
    expect(&half, (200, 2), (502, 1), (200, 2));
}

#[test]
fn a_chunked_answer_is_served_whole_or_not_at_all() {
    let chunked = |body: &str, then| {
        Action::Raw(format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{body}"), then)
    };
    let pair = pair(chunked("4\r\nhalf\r\n", AfterWrite::Close));
    assert_eq!(pair.sidecar.request(&once_request("r1")).status(), 502);
    let server =
        FakeServer::start(move |_, _| chunked("4\r\nwhol\r\n1\r\ne\r\n0\r\n\r\n", AfterWrite::KeepOpen));
    let sidecar = Setup::new(vec![entry("s1", server.address, "up")]).start();
    for _ in 0..3 {
        assert_eq!(sidecar.request(&once_request("r1")).text(), "whole");
    }
}

#[test]
fn a_redirect_is_not_followed() {
    let pair = pair(Action::Reply {
        status: 302,
        headers: vec![("Location", "/once/again".into())],
        body: String::new(),
    });
    assert_eq!(pair.sidecar.request(&once_request("r1")).status(), 502);
    assert_eq!(pair.attempts(), 1);
}

#[test]
fn a_repeat_carries_the_same_names() {
    let pair = pair(error());
    assert_eq!(pair.sidecar.request(&pay_request("r9")).status(), 200);
    for server in &pair.servers {
        let got = server.requests.wait(1, "requests").remove(0).message;
        assert_eq!((got.header("x-request-id"), got.header("idempotency-key")), (Some("r9"), Some("k1")));
    }
}

#[test]
fn a_refused_connection_never_ran() {
    // Each request whose first draw is the closed port must be served by the other server all the same.
    let server = FakeServer::start(|_, _| ok("served"));
    for _ in 0..8 {
        let known = vec![entry("s1", unique_address(), "up"), entry("s2", server.address, "up")];
        let sidecar = Setup::new(known).start();
        for n in 0..4 {
            assert_eq!(sidecar.request(&once_request(&format!("r{n}"))).status(), 200);
        }
    }
}

/// A listener whose queue is full: connections to it never come up.
fn unreachable() -> (TcpListener, Vec<TcpStream>, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let mut held = Vec::new();
    while let Ok(stream) = TcpStream::connect_timeout(&address, Duration::from_millis(300)) {
        held.push(stream);
    }
    (listener, held, address)
}

#[test]
fn a_connection_that_never_comes_up_never_ran() {
    let (_listener, _held, address) = unreachable();
    let server = FakeServer::start(|_, _| ok("served"));
    let known = vec![entry("s1", address, "up"), entry("s2", server.address, "up")];
    let sidecar = Setup::new(known).start();
    for n in 0..6 {
        assert_eq!(sidecar.request(&once_request(&format!("r{n}"))).status(), 200);
    }
}

#[test]
fn an_attempt_without_an_answer_ends_in_time_and_with_its_connection() {
    let server = FakeServer::start(|_, _| Action::Hang);
    let sidecar = Setup::new(vec![entry("s1", server.address, "up")]).start();
    let start = Instant::now();
    assert_eq!(sidecar.request(&once_request("r1")).status(), 502);
    assert!(start.elapsed() < Duration::from_millis(950));
    server.closed.wait(1, "closed connections");
    assert_eq!(server.request_count(), 1);
}

#[test]
fn a_connection_carries_one_request_at_a_time_and_is_used_again() {
    let (gate, wait) = gated_ok("first");
    let server = FakeServer::start(move |n, _| if n == 0 { wait.clone() } else { ok("later") });
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
fn an_idle_connection_is_closed_well_before_the_servers_own_time() {
    let server = FakeServer::start(|_, _| ok("x"));
    let sidecar = Setup::new(vec![entry("s1", server.address, "up")])
        .set("/settings/limits/conn_idle", json!(4_000_000))
        .start();
    assert_eq!(sidecar.request(&read_request("r1")).status(), 200);
    let idle = server.closed.wait(1, "closed connections")[0].idle;
    assert!(idle < Duration::from_millis(3500), "closed after {idle:?}");
}

#[test]
fn a_connection_that_the_server_closed_while_idle_is_not_written_to() {
    // Ends each connection after its answer without a word in the answer's head.
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let served = Recorder::new();
    let count = served.clone();
    std::thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let message = read_message(&mut std::io::BufReader::new(&stream));
            assert!(matches!(message, Ok(Some(_))));
            let answer = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
            std::io::Write::write_all(&mut &stream, answer).unwrap();
            // The other side has seen the end once it closes its own.
            stream.shutdown(std::net::Shutdown::Write).unwrap();
            assert_eq!(std::io::Read::read(&mut &stream, &mut [0]).unwrap(), 0);
            drop(stream);
            count.push(());
        }
    });
    let sidecar = Setup::new(vec![entry("s1", address, "up")]).start();
    for n in 0..10 {
        assert_eq!(sidecar.request(&once_request(&format!("r{n}"))).status(), 200);
        served.wait(n + 1, "answers");
    }
}

#[test]
fn the_bound_on_server_connections_refuses_and_keeps_serving() {
    let (gate, wait) = gated_ok("first");
    let server = FakeServer::start(move |n, _| if n == 0 { wait.clone() } else { ok("later") });
    let sidecar = Setup::new(vec![entry("s1", server.address, "up")])
        .set("/sidecar/server_connections", json!(1))
        .start();
    let mut first = sidecar.connect();
    first.send(&once_request("r1"));
    server.requests.wait(1, "requests");
    // It never left, so it is refused, also where it must not run twice.
    assert_eq!(sidecar.request(&once_request("r2")).status(), 503);
    gate.send(()).unwrap();
    assert_eq!(first.read_response().text(), "first");
    let end = Instant::now() + WAIT_TIMEOUT;
    while sidecar.request(&once_request("r3")).status() != 200 {
        assert!(Instant::now() < end, "the place of the first is not given back");
    }
}

/// Asks until nearly all of fifty requests in a row are answered by this server, which fair draws never bring.
fn leans_to(sidecar: &Sidecar, server: &str) {
    let end = Instant::now() + WAIT_TIMEOUT;
    loop {
        let answers = (0..50).map(|n| sidecar.request(&read_request(&format!("r{n}"))).text());
        let share = answers.filter(|a| a == server).count();
        if share >= 45 {
            return;
        }
        assert!(Instant::now() < end, "{share} of 50 at the end");
    }
}

#[test]
fn load_reports_in_answers_move_the_draws() {
    let report = |inflight: u32| {
        let load = format!(r#"{{"inflight":{inflight},"queue":{inflight},"util":0.5,"other":1}}"#);
        vec![("X-Server-Load", load)]
    };
    let (full, idle) = (report(30), report(0));
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
    leans_to(&sidecar, "light");
}

#[test]
fn probes_are_sent_where_the_settings_allow_them_and_their_reports_count() {
    let busy =
        FakeServer::start_with_load(|_, _| ok("busy"), || r#"{"inflight":30,"queue":29,"util":1}"#.into());
    let light =
        FakeServer::start_with_load(|_, _| ok("light"), || r#"{"inflight":0,"queue":0,"util":0}"#.into());
    let known = vec![entry("s1", busy.address, "up"), entry("s2", light.address, "up")];
    let sidecar = Setup::new(known).set("/settings/limits/probes", json!(true)).start();
    let end = Instant::now() + WAIT_TIMEOUT;
    let mut asked = 0;
    while busy.probes.len() < 5 || light.probes.len() < 5 {
        assert_eq!(sidecar.request(&read_request(&format!("p{asked}"))).status(), 200);
        asked += 1;
        assert!(Instant::now() < end, "no probes");
    }
    assert!(busy.probes.all().iter().all(|p| p == "/load"));
    leans_to(&sidecar, "light");
}

#[test]
fn no_probe_is_sent_where_the_settings_forbid_them() {
    let server = FakeServer::start(|_, _| ok("x"));
    let sidecar = Setup::new(vec![entry("s1", server.address, "up")]).start();
    for n in 0..50 {
        assert_eq!(sidecar.request(&read_request(&format!("r{n}"))).status(), 200);
    }
    assert_eq!(server.probes.len(), 0);
}

#[test]
fn a_keyed_request_that_may_have_run_stays_within_its_group() {
    // The servers stand in different cells: none but the first may get the repeat, and it just failed.
    let asked = Arc::new(AtomicUsize::new(0));
    let servers = [(), ()].map(|()| {
        let asked = asked.clone();
        FakeServer::start(
            move |_, _| if asked.fetch_add(1, Ordering::SeqCst) == 0 { error() } else { ok("no") },
        )
    });
    let mut known = vec![entry("s1", servers[0].address, "up"), entry("s2", servers[1].address, "up")];
    known[1]["pod_group"] = json!(1);
    let sidecar = Setup::new(known).set("/settings/classes/2/group", json!("cell")).start();
    assert_eq!(sidecar.request(&pay_request("r1")).status(), 502);
    assert_eq!(servers.iter().map(FakeServer::request_count).sum::<usize>(), 1);
}
