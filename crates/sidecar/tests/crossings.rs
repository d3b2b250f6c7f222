//! Races between pairs of events, each forced into the harmful order, as seen by clients and servers.
//! `docs/crossings.md` has the table.

mod common;

use common::*;
use serde_json::json;
use std::io::{Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

/// How a client leaves.
#[derive(Clone, Copy, Debug)]
enum Departure {
    Close,
    HalfClose,
    Reset,
    /// Sends far more than is buffered and then closes, so the close comes after unread bytes.
    FloodAndClose,
    /// Closes within a body that is longer than the buffer and is streamed to the server.
    CloseWithinBody,
}

/// Guards the requirement that a request is not sent after its client has left. An attempt that waited for
/// its connection was sent once that was established, whatever the `cancel` setting.
#[test]
fn connecting_attempt_is_withdrawn_when_its_client_leaves() {
    for (cancel, departure) in [
        (true, Departure::Close),
        (false, Departure::Close),
        (false, Departure::HalfClose),
        (true, Departure::Reset),
        (false, Departure::FloodAndClose),
        (false, Departure::CloseWithinBody),
    ] {
        let saturated = SaturatedListener::new();
        let sidecar = Setup::new(vec![entry("s1", saturated.address, "up")])
            .long_timeouts()
            .set("/settings/limits/cancel", json!(cancel))
            .set("/sidecar/requests", json!(1))
            .start();
        let mut client = sidecar.connect();
        let request = with_long_timeout(once_request("left"));
        match departure {
            Departure::CloseWithinBody => {
                let half = request.replace("Content-Length: 4", "Content-Length: 200000");
                client.send(&(half + &"x".repeat(100_000)));
            }
            _ => client.send(&request),
        }
        sidecar.wait_for_log("attempt 0 of request 0 goes out");
        match departure {
            Departure::Close | Departure::CloseWithinBody => drop(client),
            Departure::HalfClose => client.stream.shutdown(Shutdown::Write).unwrap(),
            Departure::Reset => client.reset(),
            Departure::FloodAndClose => {
                client.send(&read_request("ahead").repeat(10_000));
                drop(client);
            }
        }
        sidecar.wait_for_log("attempt 0 of request 0 at s1: NotSent");
        // The only request slot is free, and the server received nothing of the request, however long the
        // connection takes.
        let server = saturated.open_as_server(|_, _| ok("x"));
        assert_eq!(sidecar.request(&with_long_timeout(read_request("next"))).status(), 200, "{departure:?}");
        assert_eq!(server.request_ids(), ["next"], "{departure:?}, cancel {cancel}");
    }
}

/// The same while a retry is pending: the first attempt is rejected after the client has left.
#[test]
fn rejected_attempt_is_not_retried_after_its_client_has_left() {
    let (gate, action) = gated(rejected(503));
    let servers = [(), ()].map(|()| {
        let action = action.clone();
        FakeServer::start(move |_, m| match m.header("x-request-id") {
            Some("left") => action.clone(),
            _ => ok("x"),
        })
    });
    let known = vec![entry("s1", servers[0].address, "up"), entry("s2", servers[1].address, "up")];
    let sidecar = Setup::new(known).long_timeouts().set("/sidecar/requests", json!(1)).start();
    let mut client = sidecar.connect();
    client.send(&with_long_timeout(once_request("left")));
    sidecar.wait_for_log("attempt 0 of request 0 goes out");
    drop(client);
    // A free request slot shows that the departure was noticed.
    let give_up_at = Instant::now() + WAIT_TIMEOUT;
    while sidecar.request(&with_long_timeout(read_request("next"))).status() != 200 {
        assert!(Instant::now() < give_up_at, "the request slot is not released");
    }
    gate.send(()).unwrap();
    sidecar.wait_for_log("Rejected after");
    assert_eq!(sidecar.request(&with_long_timeout(read_request("after"))).status(), 200);
    let left = servers.iter().flat_map(FakeServer::request_ids).filter(|id| id == "left").count();
    assert_eq!(left, 1);
}

/// The same for a client that leaves before its request was read, while its connection is in the accept
/// queue.
#[test]
fn request_in_the_accept_queue_is_not_forwarded_after_its_client_has_left() {
    let server = FakeServer::start(|_, _| ok("x"));
    let sidecar = Setup::new(vec![entry("s1", server.address, "up")]).start();
    // An idle connection to the server exists, on which the request could be sent immediately.
    assert_eq!(sidecar.request(&read_request("before")).status(), 200);
    sidecar.signal("STOP");
    for n in 0..20 {
        let mut client = sidecar.connect();
        client.send(&once_request(&format!("left{n}")));
    }
    sidecar.signal("CONT");
    assert_eq!(sidecar.request(&read_request("next")).status(), 200);
    assert_eq!(server.request_ids(), ["before", "next"]);
}

/// Guards an accepted request: invalid bytes after it closed its connection and aborted it.
#[test]
fn invalid_bytes_after_an_in_flight_request_do_not_abort_it() {
    let long = format!("GET /read HTTP/1.1\r\nX: {}", "x".repeat(200_000));
    for trailing in ["\0 no HTTP\r\n\r\n", "GET /read HTTP/9.9\r\n\r\n", long.as_str()] {
        for at_once in [true, false] {
            let (gate, action) = gated_ok("served");
            let server = FakeServer::start(move |_, _| action.clone());
            let sidecar = Setup::new(vec![entry("s1", server.address, "up")]).start();
            let mut client = sidecar.connect();
            let (first, second) =
                if at_once { (once_request("r1") + trailing, "") } else { (once_request("r1"), trailing) };
            client.send(&first);
            server.requests.wait(1, "requests");
            client.send(second);
            gate.send(()).unwrap();
            assert_eq!(client.read_response().text(), "served", "{trailing:.20}, at once: {at_once}");
            let after = client.read_response_or_close().map(|answer| answer.status());
            // A request larger than the buffer counts as incomplete.
            assert!(matches!(after, None | Some(400 | 431 | 503)), "{after:?}");
        }
    }
}

/// Guards the request time-out: the last byte of a slow request that crossed the closing of its connection
/// reset it, and the response was lost. The 503 is sent first, and bytes that cross it do not reset the
/// connection.
#[test]
fn slow_request_gets_its_503_even_if_its_last_byte_crosses_it() {
    let server = FakeServer::start(|_, _| ok("x"));
    let sidecar = Setup::new(vec![entry("s1", server.address, "up")])
        .set("/sidecar/client_request_ms", json!(200))
        .start();
    for (request, body) in [(read_request("slow"), 2), (once_request("slow"), 4)] {
        let (first, last) = request.split_at(request.len() - body);
        let give_up_at = Instant::now() + WAIT_TIMEOUT;
        let mut client = loop {
            assert!(
                Instant::now() < give_up_at,
                "the test machine was too slow to force the order of events"
            );
            let mut client = sidecar.connect();
            let begun = Instant::now();
            client.send(first);
            // The 503 has arrived and is not read yet.
            assert_eq!(client.stream.peek(&mut [0]).unwrap(), 1);
            client.send(last);
            // The 503 is sent after 200 ms at the earliest, and the connection is read for as long again.
            // After that the last byte would not cross the close.
            if begun.elapsed() < Duration::from_millis(390) {
                break client;
            }
        };
        let mut response = String::new();
        client.stream.read_to_string(&mut response).expect("reset before the response was read");
        assert!(response.starts_with("HTTP/1.1 503 ") && response.ends_with("\r\n\r\n"), "{response}");
        assert!(response.contains("\r\nConnection: close\r\n"), "{response}");
    }
    assert_eq!(server.request_count(), 0);
}

/// Guards a request that crosses the closing of its idle connection at shutdown: idle connections were closed
/// together with the listener, so that the client could not reconnect.
#[test]
fn shutdown_closes_idle_connections_while_still_accepting_new_ones() {
    let server = FakeServer::start(|_, _| ok("x"));
    let sidecar = Setup::new(vec![entry("s1", server.address, "up")])
        .set("/sidecar/accept_after_term_ms", json!(6000))
        .set("/sidecar/end_after_term_ms", json!(60_000))
        .set("/sidecar/client_idle_ms", json!(600_000))
        .start();
    let mut idle = sidecar.connect();
    idle.send(&read_request("r1"));
    assert_eq!(idle.read_response().status(), 200);
    sidecar.signal("TERM");
    idle.wait_for_close();
    let _ = idle.stream.write_all(read_request("r2").as_bytes());
    let again = sidecar.request(&read_request("r2"));
    assert_eq!((again.status(), again.header("connection")), (200, Some("close")));
}

/// Sends SIGTERM and waits until connections are refused, which is the last stage of the shutdown. Silent
/// connections are closed in that stage and not before.
fn terminate_and_wait_for_closed_listener(sidecar: &Sidecar) {
    let mut silent = sidecar.connect();
    sidecar.signal("TERM");
    silent.wait_for_close();
    let give_up_at = Instant::now() + WAIT_TIMEOUT;
    while TcpStream::connect(sidecar.listen).is_ok() {
        assert!(Instant::now() < give_up_at, "the listener is still open");
    }
}

fn assert_clean_exit(sidecar: Sidecar) {
    let Exit { status, log } = sidecar.wait_for_exit();
    assert!(status.success() && !log.contains("still open"), "{status}: {log}");
}

/// Shutdown while a body is half received: its last byte arrives long after the listener is closed, with a SIGHUP
/// and a second SIGTERM in between. The wait for the last connections was once taken for a lack of connection
/// slots, and this connection was closed.
#[test]
fn half_received_body_at_shutdown_is_served_despite_further_signals() {
    let server =
        FakeServer::start(|_, m| if m.target() == "/read/hang" { Action::Hang } else { ok(&m.text()) });
    let sidecar = Setup::new(vec![entry("s1", server.address, "up")]).long_timeouts().start();
    let request = with_long_timeout(once_request("r1"));
    let (first, last) = request.split_at(request.len() - 2);
    let mut client = sidecar.connect();
    client.send(first);
    // It has been read: a request on a later connection is answered.
    assert_eq!(sidecar.request(&read_request("r2")).status(), 200);
    let mut hangs = sidecar.connect();
    hangs
        .send(&read_request("r3").replace("/read", "/read/hang").replace("X-Timeout: 0.9", "X-Timeout: 1.8"));
    server.requests.wait(2, "requests");
    sidecar.signal("TERM");
    sidecar.wait_for_log("shutting down");
    sidecar.signal("HUP");
    terminate_and_wait_for_closed_listener(&sidecar);
    // More than a second after the listener was closed.
    assert_eq!(hangs.read_response().status(), 503);
    client.send(last);
    let answer = client.read_response();
    assert_eq!((answer.text().as_str(), answer.header("connection")), ("body", Some("close")));
    client.wait_for_close();
    assert_clean_exit(sidecar);
}

/// Shutdown while an attempt waits for its connection, which is established after the listener is closed.
#[test]
fn connecting_attempt_at_shutdown_is_sent_and_answered() {
    let saturated = SaturatedListener::new();
    let sidecar = Setup::new(vec![entry("s1", saturated.address, "up")]).long_timeouts().start();
    let mut client = sidecar.connect();
    client.send(&with_long_timeout(once_request("r1")));
    sidecar.wait_for_log("attempt 0 of request 0 goes out");
    terminate_and_wait_for_closed_listener(&sidecar);
    let server = saturated.open_as_server(|_, _| ok("x"));
    assert_eq!(client.read_response().text(), "x");
    client.wait_for_close();
    assert_clean_exit(sidecar);
    assert_eq!(server.request_ids(), ["r1"]);
}

/// Shutdown before a pending retry, and a drain that arrives in between: the retry is sent, and not to the
/// draining server.
#[test]
fn retry_after_sigterm_avoids_a_draining_server() {
    let (gate, action) = gated(rejected(503));
    let asked = Arc::new(AtomicUsize::new(0));
    let servers = [(), (), ()].map(|()| {
        let asked = asked.clone();
        let action = action.clone();
        FakeServer::start(move |_, _| match asked.fetch_add(1, Ordering::SeqCst) {
            0 => action.clone(),
            _ => ok("served"),
        })
    });
    let discovery = StubDiscovery::start();
    let known: Vec<_> =
        servers.iter().enumerate().map(|(n, s)| entry(&format!("s{n}"), s.address, "up")).collect();
    let sidecar = Setup::new(known).long_timeouts().discovery(&discovery).start();
    discovery.watches.wait(1, "watches");
    let mut client = sidecar.connect();
    client.send(&with_long_timeout(once_request("r1")));
    let give_up_at = Instant::now() + WAIT_TIMEOUT;
    let first = loop {
        if let Some(n) = servers.iter().position(|s| s.request_count() > 0) {
            break n;
        }
        assert!(Instant::now() < give_up_at, "no attempt");
    };
    terminate_and_wait_for_closed_listener(&sidecar);
    let draining = (first + 1) % 3;
    discovery.publish_changes(9, vec![entry(&format!("s{draining}"), servers[draining].address, "draining")]);
    sidecar.wait_for_log("0 up, 1 draining");
    gate.send(()).unwrap();
    assert_eq!(client.read_response().text(), "served");
    assert_clean_exit(sidecar);
    assert_eq!(servers[draining].request_count(), 0, "the retry went to a server that was already draining");
    assert_eq!(servers[(first + 2) % 3].request_ids(), ["r1"]);
}

/// Shutdown after a reload with shorter deadlines: a request accepted before keeps its own deadline.
#[test]
fn reload_with_shorter_deadlines_keeps_the_deadline_of_an_in_flight_request_at_shutdown() {
    let server = FakeServer::start(|_, _| Action::Hang);
    let mut setup = Setup::new(vec![entry("s1", server.address, "up")]);
    for n in 0..3 {
        setup = setup.set(&format!("/settings/classes/{n}/deadline"), json!(3_000_000));
    }
    let sidecar = setup.start();
    let mut client = sidecar.connect();
    client.send(&once_request("r1").replace("X-Timeout: 0.9", "X-Timeout: 2.5"));
    server.requests.wait(1, "requests");
    let mut config = sidecar.config.clone();
    for n in 0..3 {
        config["settings"]["classes"][n]["aim"] = json!(100_000);
        config["settings"]["classes"][n]["deadline"] = json!(300_000);
    }
    sidecar.reload(&config.to_string());
    sidecar.wait_for_log("SIGHUP: new configuration");
    sidecar.signal("TERM");
    assert_eq!(client.read_response_or_close().map(|answer| answer.status()), Some(502));
    assert_clean_exit(sidecar);
}

/// A duplicate response arrives while its connection is idle: the connection is closed, and the next request
/// gets its own response.
#[test]
fn duplicate_response_on_an_idle_connection_is_not_used_for_the_next_request() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (send_duplicate, duplicate_due) = std::sync::mpsc::channel();
    let closed_connections = Recorder::new();
    let closed = closed_connections.clone();
    std::thread::spawn(move || {
        let answer = |body: &str| format!("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n{body}");
        for (n, mut stream) in listener.incoming().map_while(Result::ok).enumerate() {
            let asked = read_message(&mut std::io::BufReader::new(&stream));
            assert!(matches!(asked, Ok(Some(_))));
            stream.write_all(answer(if n == 0 { "first" } else { "other" }).as_bytes()).unwrap();
            if n == 0 {
                duplicate_due.recv_timeout(WAIT_TIMEOUT).unwrap();
                stream.write_all(answer("first").as_bytes()).unwrap();
                // A reset also means closed: what was sent is not read.
                let _ = stream.read(&mut [0]);
                closed.push(());
            }
        }
    });
    let sidecar = Setup::new(vec![entry("s1", address, "up")]).start();
    assert_eq!(sidecar.request(&once_request("r1")).text(), "first");
    send_duplicate.send(()).unwrap();
    closed_connections.wait(1, "closed connections");
    assert_eq!(sidecar.request(&once_request("r2")).text(), "other");
}

/// A duplicate response that arrives after the next request cannot be told from that request's own. Once any
/// server has sent more than requested, no connection is reused within the milliseconds by which a duplicate
/// may be late.
#[test]
fn connection_rests_before_reuse_once_duplicate_responses_were_seen() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for (n, mut stream) in listener.incoming().map_while(Result::ok).enumerate() {
            std::thread::spawn(move || {
                let answer = |body: &str| {
                    let length = body.len();
                    format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{body}")
                };
                let mut input = std::io::BufReader::new(stream.try_clone().unwrap());
                let mut last: Option<(String, Instant)> = None;
                while let Ok(Some(request)) = read_message(&mut input) {
                    let own = answer(request.header("x-request-id").unwrap());
                    // The request arrives here no earlier than it was sent, which was after the previous
                    // response was read.
                    let again = last.take().filter(|(_, at)| at.elapsed() < Duration::from_millis(10));
                    let duplicate = again.map(|(answer, _)| answer).unwrap_or_default();
                    last = Some((own.clone(), Instant::now()));
                    // The very first response is duplicated immediately, which is detected.
                    let twice = if n == 0 { own.as_str() } else { "" };
                    if stream.write_all(format!("{duplicate}{own}{twice}").as_bytes()).is_err() {
                        return;
                    }
                }
            });
        }
    });
    let sidecar = Setup::new(vec![entry("s1", address, "up")]).start();
    for n in 0..100 {
        let id = format!("r{n}");
        assert_eq!(sidecar.request(&once_request(&id)).text(), id);
    }
}

/// The first duplicate response of a process, before any other was detected: the request that reused the
/// connection immediately was served with the previous response.
#[test]
fn first_duplicate_response_of_a_process_is_not_used_for_the_next_request() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for mut stream in listener.incoming().map_while(Result::ok) {
            std::thread::spawn(move || {
                let mut input = std::io::BufReader::new(stream.try_clone().unwrap());
                let mut last: Option<(String, Instant)> = None;
                while let Ok(Some(request)) = read_message(&mut input) {
                    let body = request.header("x-request-id").unwrap();
                    let own = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
                    // The previous response is sent again before this one if this request followed it within
                    // 10 ms.
                    let again = last.take().filter(|(_, at)| at.elapsed() < Duration::from_millis(10));
                    let again = again.map(|(answer, _)| answer).unwrap_or_default();
                    last = Some((own.clone(), Instant::now()));
                    if stream.write_all(format!("{again}{own}").as_bytes()).is_err() {
                        return;
                    }
                }
            });
        }
    });
    // Each process gets two requests only, the second one immediately, so no duplicate was detected before.
    for n in 0..20 {
        let sidecar = Setup::new(vec![entry("s1", address, "up")]).start();
        let mut client = sidecar.connect();
        for id in [format!("first{n}"), format!("second{n}")] {
            let asked = Instant::now();
            client.send(&once_request(&id));
            let answer = client.read_response();
            assert_eq!(answer.text(), id, "response {:?} after the request", asked.elapsed());
        }
    }
}

/// The server restarts while a request is in flight: its connection is not reused, since it leads to the old
/// process, whose end may not have been reported.
#[test]
fn connection_in_use_during_a_server_restart_is_not_reused() {
    let (gate, action) = gated_ok("old");
    let server = FakeServer::start(move |n, _| if n == 0 { action.clone() } else { ok("new") });
    let discovery = StubDiscovery::start();
    let sidecar = Setup::new(vec![entry("s1", server.address, "up")]).discovery(&discovery);
    let sidecar = sidecar.long_timeouts().start();
    discovery.watches.wait(1, "watches");
    let mut client = sidecar.connect();
    client.send(&with_long_timeout(once_request("r1")));
    server.requests.wait(1, "requests");
    let mut restarted = entry("s1", server.address, "up");
    restarted["boot_ms"] = json!(1_000);
    discovery.publish_changes(9, vec![restarted]);
    sidecar.wait_for_log("list changes revision 9");
    gate.send(()).unwrap();
    assert_eq!(client.read_response().text(), "old");
    assert_eq!(sidecar.request(&once_request("r2")).text(), "new");
    let connections: Vec<usize> = server.requests.all().iter().map(|request| request.connection).collect();
    assert_eq!(connections, [0, 1]);
}

/// The server moves while an attempt waits for its connection: an attempt not yet sent to the old address,
/// which may belong to another server by now, is drawn again.
#[test]
fn connecting_attempt_to_a_moved_server_is_drawn_again() {
    let saturated = SaturatedListener::new();
    let new = FakeServer::start(|_, _| ok("new"));
    let discovery = StubDiscovery::start();
    let sidecar =
        Setup::new(vec![entry("s1", saturated.address, "up")]).long_timeouts().discovery(&discovery).start();
    discovery.watches.wait(1, "watches");
    let mut client = sidecar.connect();
    client.send(&with_long_timeout(once_request("r1")));
    sidecar.wait_for_log("attempt 0 of request 0 goes out");
    let other = FakeServer::start(|_, _| ok("new"));
    discovery.publish_changes(9, vec![entry("s1", new.address, "up"), entry("s2", other.address, "up")]);
    assert_eq!(client.read_response().text(), "new");
    assert_eq!(saturated.open_as_server(|_, _| ok("old")).request_ids(), Vec::<String>::new());
}

/// A client sends a second request with the same key and a new request id while the first is in flight: each
/// gets exactly one response of its own, and servers receive the key by which they identify duplicates.
#[test]
fn second_request_with_an_in_flight_key_gets_its_own_response() {
    let (gate, action) = gated_ok("first");
    let server = FakeServer::start(move |n, _| if n == 0 { action.clone() } else { ok("second") });
    let sidecar = Setup::new(vec![entry("s1", server.address, "up")]).long_timeouts().start();
    let mut first = sidecar.connect();
    first.send(&with_long_timeout(pay_request("r1")));
    server.requests.wait(1, "requests");
    assert_eq!(sidecar.request(&with_long_timeout(pay_request("r2"))).text(), "second");
    gate.send(()).unwrap();
    assert_eq!(first.read_response().text(), "first");
    assert_eq!(server.request_ids(), ["r1", "r2"]);
    let requests = server.requests.all();
    assert!(requests.iter().all(|request| request.message.header("idempotency-key") == Some("k1")));
}

/// A retry whose connection is established only after the window of its key is not sent.
#[test]
fn retry_that_connects_after_its_key_window_is_not_sent() {
    let (gate, action) = gated(status_only(500));
    let first = FakeServer::start(move |_, _| action.clone());
    let saturated = SaturatedListener::new();
    let discovery = StubDiscovery::start();
    let sidecar = Setup::new(vec![entry("s1", first.address, "up")])
        .long_timeouts()
        .set("/settings/classes/2/window", json!(3_000_000))
        .discovery(&discovery)
        .start();
    discovery.watches.wait(1, "watches");
    let mut client = sidecar.connect();
    client.send(&with_long_timeout(pay_request("r1")));
    first.requests.wait(1, "requests");
    discovery.publish_changes(9, vec![entry("s2", saturated.address, "up")]);
    sidecar.wait_for_log("list changes revision 9");
    gate.send(()).unwrap();
    sidecar.wait_for_log("attempt 1 of request 0 goes out");
    assert_eq!(client.read_response().status(), 503);
    assert_eq!(saturated.open_as_server(|_, _| ok("twice")).request_ids(), Vec::<String>::new());
}

/// A response and its deadline at the same instant: the process is blocked while the response arrives and the
/// deadline passes, and finds both at once. The response counts, and it is the only one.
#[test]
fn response_and_deadline_at_the_same_instant_give_one_response() {
    let give_up_at = Instant::now() + WAIT_TIMEOUT;
    loop {
        assert!(Instant::now() < give_up_at, "the test machine was too slow to force the order of events");
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let sidecar = Setup::new(vec![entry("s1", listener.local_addr().unwrap(), "up")]).start();
        let mut client = sidecar.connect();
        let sent = Instant::now();
        client.send(&once_request("r1"));
        let (mut server, _) = listener.accept().unwrap();
        let mut input = std::io::BufReader::new(server.try_clone().unwrap());
        assert!(matches!(read_message(&mut input), Ok(Some(_))));
        sidecar.wait_for_log("attempt 0 of request 0 goes out");
        let log_guard = sidecar.block_on_next_log_line();
        let mut other = sidecar.connect();
        other.send(&with_long_timeout(read_request("other")));
        // The process is blocked once a health check gets no response; until it writes its next log line it
        // is not.
        let mut health_checks = Vec::new();
        let mut blocked = false;
        while !blocked && sent.elapsed() < Duration::from_millis(550) {
            let mut health = sidecar.connect();
            health.send("GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n");
            health.stream.set_read_timeout(Some(Duration::from_millis(100))).unwrap();
            blocked = health.stream.peek(&mut [0]).is_err();
            health_checks.push(health);
        }
        let in_time = sent.elapsed() < Duration::from_millis(700);
        server.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nr1").unwrap();
        std::thread::sleep((sent + Duration::from_millis(1000)).saturating_duration_since(Instant::now()));
        drop(log_guard);
        let answer = client.read_response();
        if !blocked || !in_time {
            continue;
        }
        assert_eq!((answer.status(), answer.text().as_str()), (200, "r1"));
        // No part of a second response precedes the next one.
        client.send("GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n");
        assert_eq!(client.read_response().text(), "ok\n");
        return;
    }
}
