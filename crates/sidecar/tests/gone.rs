//! A request ends with the connection of its client: no attempt, first or further, may begin more than 0.1 s
//! after the client has closed it. Each way to close is tested at each moment at which an attempt is still to
//! come.
//!
//! `ClientConnection` detects the close, and `OpenRequest` notifies the engine, which withdraws attempts not yet
//! begun. Without the first all of these tests fail; without the second all but those in which nothing of the
//! request was accepted; without the third those in which a connection is being established, or is idle when
//! the request is accepted late. That no further attempt follows is decided twice, by the decision module and
//! by the engine's request table.

mod common;

use common::*;
use serde_json::{Value, json};
use std::cell::RefCell;
use std::collections::HashSet;
use std::io::Write;
use std::net::Shutdown;
use std::sync::mpsc::Sender;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// How long after its client has closed an attempt may still begin.
const MAX_ATTEMPT_DELAY: Duration = Duration::from_millis(100);

/// How a client closes its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CloseMode {
    Close,
    HalfClose,
    Reset,
}

const CLOSE_MODES: [CloseMode; 3] = [CloseMode::Close, CloseMode::HalfClose, CloseMode::Reset];

/// A client that has closed its connection.
struct ClosedClient {
    at: Instant,
    clock: SystemTime,
    mode: CloseMode,
    /// A half-closed connection stays open for reading.
    _kept_open: Option<Client>,
}

fn close_client(client: Client, mode: CloseMode) -> ClosedClient {
    let kept_open = match mode {
        CloseMode::Close => {
            drop(client);
            None
        }
        CloseMode::HalfClose => {
            client.stream.shutdown(Shutdown::Write).unwrap();
            Some(client)
        }
        CloseMode::Reset => {
            client.reset();
            None
        }
    };
    ClosedClient { at: Instant::now(), clock: SystemTime::now(), mode, _kept_open: kept_open }
}

impl ClosedClient {
    /// Waits until the bound has passed. The round trip ensures that the sidecar has seen the close, however
    /// slow the machine is.
    fn wait_out_bound(&self, sidecar: &Sidecar) {
        check_health(sidecar);
        thread::sleep((self.at + MAX_ATTEMPT_DELAY).saturating_duration_since(Instant::now()));
    }

    /// Returns whether the first attempt of a request, given by its number, was sent; asserts that it was
    /// sent before the client closed or within the bound. This reads the sidecar's log up to here: a fake
    /// server that waits for a CPU would record the attempt too late.
    fn first_attempt_was_sent_in_time(&self, sidecar: &Sidecar, number: usize, moment: &str) -> bool {
        let lines = sidecar.log.all();
        let line = lines.iter().find(|l| l.ends_with(&format!("attempt 0 of request {number} goes out")));
        let Some(line) = line else { return false };
        let at: f64 = line.split(' ').next().unwrap().parse().unwrap();
        let late = at - self.clock.duration_since(UNIX_EPOCH).unwrap().as_secs_f64();
        assert!(
            late <= MAX_ATTEMPT_DELAY.as_secs_f64(),
            "{moment}, {:?}: an attempt was sent {late:.3} s after the close",
            self.mode
        );
        true
    }

    /// Asserts that no attempt of this request began later than the bound.
    fn assert_no_late_attempt<'a>(
        &self,
        id: &str,
        servers: impl IntoIterator<Item = &'a FakeServer>,
        moment: &str,
    ) {
        for server in servers {
            for arrival in server.arrivals.all() {
                let late = arrival.at.saturating_duration_since(self.at);
                assert!(
                    arrival.request_id != id || late <= MAX_ATTEMPT_DELAY,
                    "{moment}, {:?}: an attempt began {late:?} after the close",
                    self.mode
                );
            }
        }
    }
}

fn check_health(sidecar: &Sidecar) {
    let health = sidecar.request("GET /healthz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    assert_eq!(health.status(), 200);
}

/// Whether no byte has arrived at this client so far.
fn has_no_response(client: &Client) -> bool {
    client.stream.set_nonblocking(true).unwrap();
    let peeked = client.stream.peek(&mut [0]);
    client.stream.set_nonblocking(false).unwrap();
    peeked.is_err()
}

fn list_entries(servers: &[FakeServer]) -> Vec<Value> {
    servers.iter().enumerate().map(|(n, s)| entry(&format!("s{n}"), s.address, "up")).collect()
}

/// Starts two servers that perform this action for the first attempt of each of these requests and serve all
/// others.
fn servers_with_first_action(names: &'static [&'static str], action: Action) -> Vec<FakeServer> {
    let seen_ids = Arc::new(Mutex::new(HashSet::new()));
    let server = |_| {
        let seen_ids = seen_ids.clone();
        let action = action.clone();
        FakeServer::start(move |_, message| {
            let id = message.header("x-request-id").unwrap_or_default().to_owned();
            if names.contains(&id.as_str()) && seen_ids.lock().unwrap().insert(id) {
                action.clone()
            } else {
                ok("x")
            }
        })
    };
    (0..2).map(server).collect()
}

/// Waits until an attempt of this request has begun.
fn wait_for_attempt(id: &str, servers: &[FakeServer]) {
    let give_up_at = Instant::now() + WAIT_TIMEOUT;
    while !servers.iter().any(|server| server.arrivals.all().iter().any(|arrival| arrival.request_id == id)) {
        assert!(Instant::now() < give_up_at, "no attempt of {id}");
        thread::yield_now();
    }
}

#[test]
fn client_gone_between_two_attempts() {
    type Class = fn(&str) -> String;
    let failed = |status| status_only(status);
    let ends: [(&str, Class, Action); 5] = [
        ("rejected", once_request, rejected(503)),
        ("rejected", read_request, rejected(503)),
        ("failed", read_request, failed(500)),
        ("reset", read_request, Action::Close),
        ("reset under its key", pay_request, Action::Close),
    ];
    for (moment, class, action) in ends {
        for mode in CLOSE_MODES {
            let (gate, gated_action): (Sender<()>, Action) = gated(action.clone());
            let servers = servers_with_first_action(&["left"], gated_action);
            let sidecar = Setup::new(list_entries(&servers)).long_timeouts().start();
            let mut client = sidecar.connect();
            client.send(&with_long_timeout(class("left")));
            wait_for_attempt("left", &servers);
            let closed = close_client(client, mode);
            closed.wait_out_bound(&sidecar);
            gate.send(()).unwrap();
            sidecar.wait_for_log("attempt 0 of request 0 at ");
            assert_eq!(sidecar.request(&with_long_timeout(read_request("after"))).status(), 200);
            closed.assert_no_late_attempt("left", &servers, moment);
        }
    }
}

/// Sets the limits file; the folder must outlive the process.
fn with_limits(setup: Setup, text: &str) -> (Setup, tempfile::TempDir) {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("limits.toml");
    std::fs::write(&file, text).unwrap();
    let mut setup = setup;
    setup.env.push(("EDGE_LIMITS", file.display().to_string()));
    (setup, folder)
}

/// One client closes; a later request whose client stays shows that the time at which the first would have
/// had its next attempt has come.
fn one_client_leaves_one_stays(sidecar: &Sidecar, servers: &[FakeServer], mode: CloseMode, moment: &str) {
    let mut client = sidecar.connect();
    client.send(&with_long_timeout(read_request("left")));
    wait_for_attempt("left", servers);
    let closed = close_client(client, mode);
    check_health(sidecar);
    assert_eq!(sidecar.request(&with_long_timeout(read_request("stays"))).text(), "x", "{moment}, {mode:?}");
    // It was served by a second attempt.
    let of = |id: &str| servers.iter().flat_map(FakeServer::request_ids).filter(|of| of == id).count();
    assert!(of("stays") >= 2, "{moment}, {mode:?}");
    closed.assert_no_late_attempt("left", servers, moment);
}

#[test]
fn client_gone_before_an_attempt_timeout() {
    for mode in CLOSE_MODES {
        let servers = servers_with_first_action(&["left", "stays"], Action::Hang);
        let (setup, _folder) = with_limits(
            Setup::new(list_entries(&servers)).long_timeouts(),
            "[defaults]\nattempt_timeout = '400ms'",
        );
        one_client_leaves_one_stays(&setup.start(), &servers, mode, "attempt timeout");
    }
}

#[test]
fn client_gone_before_a_configured_hedge() {
    for mode in CLOSE_MODES {
        let servers = servers_with_first_action(&["left", "stays"], Action::Hang);
        let setup = Setup::new(list_entries(&servers))
            .long_timeouts()
            .set("/settings/limits/parallel_tries", json!(true));
        let (setup, _folder) = with_limits(
            setup,
            "[[route]]\nname = 'reads'\nmatch = { class = 'read' }\nsecond_copy = { after = '400ms' }",
        );
        one_client_leaves_one_stays(&setup.start(), &servers, mode, "configured hedge due");
    }
}

#[test]
fn client_gone_before_a_hedge_of_the_decision_module() {
    for mode in CLOSE_MODES {
        let servers = servers_with_first_action(&["left", "stays"], Action::Hang);
        let sidecar = Setup::new(list_entries(&servers))
            .long_timeouts()
            .set("/settings/limits/parallel_tries", json!(true))
            // A hedge is due after half of this.
            .set("/settings/classes/0/aim", json!(1_000_000))
            .start();
        // One first attempt in ten may have a hedge: these suffice for both requests.
        let mut client = sidecar.connect();
        for n in 0..30 {
            client.send(&with_long_timeout(read_request(&format!("w{n}"))));
            assert_eq!(client.read_response().status(), 200);
        }
        one_client_leaves_one_stays(&sidecar, &servers, mode, "a hedge due");
    }
}

/// Retries until a request was certainly queued in the decision module when its client closed: none of its
/// attempts had begun and it had no response. A later request that waits for the same event shows that the
/// event has happened.
fn client_leaves_while_waiting(
    sidecar: &Sidecar,
    server: &FakeServer,
    (mode, moment): (CloseMode, &str),
    number: impl Fn(usize) -> usize,
    before: impl Fn(usize),
    after: impl Fn(),
) {
    let give_up_at = Instant::now() + WAIT_TIMEOUT;
    for n in 0.. {
        assert!(
            Instant::now() < give_up_at,
            "{moment}: the test machine was too slow to force the order of events"
        );
        before(n);
        let id = format!("left{n}");
        let mut client = sidecar.connect();
        client.send(&with_long_timeout(read_request(&id)));
        check_health(sidecar);
        let was_waiting = has_no_response(&client);
        let closed = close_client(client, mode);
        closed.wait_out_bound(sidecar);
        after();
        assert_eq!(
            sidecar.request(&with_long_timeout(read_request(&format!("stays{n}")))).status(),
            200,
            "{moment}, {mode:?}"
        );
        sidecar.wait_for_log(&format!("attempt 0 of request {} at ", number(n) + 1));
        if !closed.first_attempt_was_sent_in_time(sidecar, number(n), moment) && was_waiting {
            assert!(!server.request_ids().contains(&id), "{moment}, {mode:?}");
            return;
        }
    }
}

#[test]
fn client_gone_while_its_request_is_queued_for_a_server() {
    for mode in CLOSE_MODES {
        // A server that rejected a request gets no new one for a second, and the next request waits for it.
        let server = FakeServer::start(|_, message| match message.header("x-request-id") {
            Some(id) if id.starts_with("away") => rejected(503),
            _ => ok("x"),
        });
        let sidecar = Setup::new(vec![entry("s1", server.address, "up")]).long_timeouts().start();
        let reject_one = |n| {
            assert_eq!(sidecar.request(&with_long_timeout(read_request(&format!("away{n}")))).status(), 503)
        };
        client_leaves_while_waiting(
            &sidecar,
            &server,
            (mode, "queued for a server"),
            |n| 3 * n + 1,
            reject_one,
            || {},
        );
    }
}

#[test]
fn client_gone_while_its_request_waits_for_a_probe_round() {
    for mode in CLOSE_MODES {
        let probe_lock = Arc::new(Mutex::new(()));
        let blocked = probe_lock.clone();
        let load = move || {
            drop(blocked.lock());
            r#"{"inflight":0,"queue":0,"util":0.0}"#.to_owned()
        };
        let server = FakeServer::start_with_load(|_, _| ok("x"), load);
        let mut setup = Setup::new(vec![entry("s1", server.address, "up")])
            .long_timeouts()
            .set("/settings/limits/probes", json!(true))
            .set("/sidecar/probe_ms", json!(20_000));
        for class in 0..3 {
            // A request that arrives later in a one-second window than a fiftieth of this waits that long for
            // a probe round.
            setup = setup.set(&format!("/settings/classes/{class}/aim"), json!(20_000_000));
        }
        let sidecar = setup.start();
        let probe_guard = RefCell::new(None);
        let block_probes = |_| {
            // The previous request ended a window: this one arrives late in the next window, in which none
            // has ended yet.
            thread::sleep(Duration::from_millis(450));
            probe_guard.replace(probe_lock.lock().ok());
        };
        client_leaves_while_waiting(
            &sidecar,
            &server,
            (mode, "probe round"),
            |n| 2 * n,
            block_probes,
            || drop(probe_guard.take()),
        );
    }
}

/// An attempt that waits for its connection is withdrawn, be it the first or a later one.
#[test]
fn client_gone_while_an_attempt_connects() {
    for (attempt, moment) in [(0, "the first attempt connects"), (1, "a further attempt connects")] {
        for mode in CLOSE_MODES {
            let saturated = SaturatedListener::new();
            let (gate, action) = gated(rejected(503));
            let first = FakeServer::start(move |_, _| action.clone());
            let (of_first, of_late) =
                (entry("s1", first.address, "up"), entry("s2", saturated.address, "up"));
            let discovery = StubDiscovery::start();
            let known = if attempt == 0 { of_late.clone() } else { of_first };
            let sidecar = Setup::new(vec![known]).long_timeouts().discovery(&discovery).start();
            discovery.watches.wait(1, "watches");
            let mut client = sidecar.connect();
            client.send(&with_long_timeout(once_request("left")));
            if attempt > 0 {
                first.requests.wait(1, "requests");
                discovery.publish_changes(9, vec![of_late]);
                sidecar.wait_for_log("list changes revision 9");
                gate.send(()).unwrap();
            }
            sidecar.wait_for_log(&format!("attempt {attempt} of request 0 goes out"));
            let closed = close_client(client, mode);
            closed.wait_out_bound(&sidecar);
            drop(gate);
            let server = saturated.open_as_server(|_, _| ok("x"));
            let give_up_at = Instant::now() + WAIT_TIMEOUT;
            while server.request_count() == 0 {
                assert!(Instant::now() < give_up_at, "{moment}: no connection was established");
                sidecar.request(&with_long_timeout(read_request("after")));
            }
            closed.assert_no_late_attempt("left", [&first, &server], moment);
        }
    }
}

/// The connection is in the accept queue, as when the limit on client connections is reached: it is accepted
/// only after the client has closed it.
#[test]
fn client_gone_while_its_connection_is_in_the_accept_queue() {
    for mode in CLOSE_MODES {
        let server = FakeServer::start(|_, _| ok("x"));
        let sidecar = Setup::new(vec![entry("s1", server.address, "up")]).long_timeouts().start();
        // An idle connection to the server exists, on which the request could be sent immediately.
        assert_eq!(sidecar.request(&read_request("before")).status(), 200);
        sidecar.signal("STOP");
        let closed: Vec<ClosedClient> = (0..20)
            .map(|n| {
                let mut client = sidecar.connect();
                client.send(&once_request(&format!("left{n}")));
                close_client(client, mode)
            })
            .collect();
        thread::sleep(MAX_ATTEMPT_DELAY);
        sidecar.signal("CONT");
        assert_eq!(sidecar.request(&read_request("after")).status(), 200);
        assert_eq!(server.request_ids(), ["before", "after"], "{mode:?}");
        drop(closed);
    }
}

/// A pipelined request is not started when the request before it is answered.
#[test]
fn client_gone_while_an_earlier_request_on_its_connection_is_in_flight() {
    for mode in CLOSE_MODES {
        let (gate, action) = gated(ok("first"));
        let server = FakeServer::start(move |n, _| if n == 0 { action.clone() } else { ok("x") });
        let sidecar = Setup::new(vec![entry("s1", server.address, "up")]).long_timeouts().start();
        let mut client = sidecar.connect();
        client.send(&(with_long_timeout(read_request("first")) + &with_long_timeout(read_request("left"))));
        server.requests.wait(1, "requests");
        let closed = close_client(client, mode);
        closed.wait_out_bound(&sidecar);
        gate.send(()).unwrap();
        sidecar.wait_for_log("attempt 0 of request 0 at ");
        assert_eq!(sidecar.request(&with_long_timeout(read_request("after"))).status(), 200);
        closed.assert_no_late_attempt("left", [&server], "behind a request in flight");
    }
}

/// Guards against an effect that happens twice: the id of a request that was being processed came again after its client
/// had left, and was sent to a server a second time.
#[test]
fn id_that_comes_again_after_its_client_left_does_not_run_again() {
    for request in [once_request("r1"), pay_request("r1")] {
        let server = FakeServer::start(|_, _| Action::Hang);
        let sidecar = Setup::new(vec![entry("s1", server.address, "up")]).long_timeouts().start();
        let mut client = sidecar.connect();
        client.send(&with_long_timeout(request.clone()));
        server.requests.wait(1, "requests");
        drop(client);
        sidecar.wait_for_log("the client left");
        assert_eq!(sidecar.request(&with_long_timeout(request)).status(), 409);
        assert_eq!(server.request_count(), 1);
    }
}

/// Requests that a client sends at once, far more than are served within that time.
const FLOOD: usize = 20_000;
/// Time without an attempt after which none is to come.
const QUIET: Duration = Duration::from_millis(300);

/// Guards against requests sent on for a client that had closed its connection behind many that were still unread.
#[test]
fn requests_behind_a_close_are_not_sent() {
    for (round, work) in [0, 30, 70].into_iter().enumerate() {
        let server = FakeServer::start(move |_, _| {
            thread::sleep(Duration::from_millis(work));
            ok("x")
        });
        let known = vec![entry("s1", server.address, "up")];
        let sidecar = Setup::new(known).set("/sidecar/log", json!("info")).start();
        let mut client = sidecar.connect();
        let seen = server.arrivals.len();
        let flood: String = (0..FLOOD).map(|n| once_request(&format!("r{round}-{n}"))).collect();
        client.stream.set_write_timeout(Some(QUIET)).unwrap();
        // The rest finds no room, as the responses are not read.
        let _ = client.stream.write_all(flood.as_bytes());
        server.arrivals.wait(seen + 1, "attempts");
        drop(client);
        let closed = Instant::now();
        let mut last = server.arrivals.len();
        let mut quiet_since = Instant::now();
        while quiet_since.elapsed() < QUIET {
            assert!(closed.elapsed() < WAIT_TIMEOUT, "attempts go on");
            if server.arrivals.len() != last {
                last = server.arrivals.len();
                quiet_since = Instant::now();
            }
            thread::yield_now();
        }
        let late = server.arrivals.all().iter().filter(|a| a.at > closed + MAX_ATTEMPT_DELAY).count();
        assert_eq!(late, 0, "attempts that began after the close, with {work} ms of work");
    }
}

/// Bytes of a body that is streamed to its server, and how many of them its client sends.
const STOPPED_BODY_BYTES: usize = 400_000;
const SENT_OF_STOPPED_BODY: usize = 150_000;
/// Clients that stop within such a body.
const STOPPING_CLIENTS: usize = 8;

/// Guards against good clients locked out: a body that its client stopped sending counted as a server that could not be
/// reached, so that a few such clients had all servers excluded.
#[test]
fn server_is_not_excluded_for_a_client_that_stops_within_its_body() {
    let server = FakeServer::start(|_, _| ok("x"));
    let sidecar = Setup::new(vec![entry("s1", server.address, "up")]).start();
    let mut clients: Vec<Client> = (0..STOPPING_CLIENTS)
        .map(|number| {
            let mut client = sidecar.connect();
            let head =
                once_request(&format!("stops{number}")).replace("X-Timeout: 0.9", "X-Timeout: 0.3").replace(
                    "Content-Length: 4\r\n\r\nbody",
                    &format!("Content-Length: {STOPPED_BODY_BYTES}\r\n\r\n"),
                );
            client.send(&(head + &"b".repeat(SENT_OF_STOPPED_BODY)));
            client
        })
        .collect();
    for client in &mut clients {
        let status = client.read_response_or_close().map(|response| response.status());
        assert!(status.is_none_or(|status| status >= 400), "{status:?}");
    }
    for number in 0..STOPPING_CLIENTS {
        assert_eq!(sidecar.request(&once_request(&format!("good{number}"))).status(), 200);
    }
}
