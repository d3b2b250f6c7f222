//! Discovery: the configured and the stored list, watches, drains, and servers that move or restart.

mod common;

use common::*;
use serde_json::{Value, json};
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Retries until the response body is `what`.
fn wait_for_response(sidecar: &Sidecar, what: &str) {
    let give_up_at = Instant::now() + WAIT_TIMEOUT;
    while sidecar.request(&read_request("u")).text() != what {
        assert!(Instant::now() < give_up_at, "no response '{what}'");
    }
}

/// Waits until the sidecar has read a list of this revision.
fn wait_for_revision(sidecar: &Sidecar, rev: u64) {
    sidecar.wait_for_log(&format!("revision {rev}: "));
}

#[test]
fn configured_list_is_used_until_discovery_answers() {
    let server = FakeServer::start(|_, _| ok("known"));
    let sidecar = Setup::new(vec![entry("s1", server.address, "up")]).start();
    assert_eq!(sidecar.request(&read_request("r1")).text(), "known");
}

#[test]
fn watch_starts_after_the_configured_revision() {
    let discovery = StubDiscovery::start();
    let _sidecar = Setup::new(vec![]).discovery(&discovery).start();
    assert_eq!(discovery.watches.wait(1, "watches")[0], "/v1/servers?watch=1&after=7");
}

#[test]
fn list_changes_add_drain_and_remove_servers() {
    let old = FakeServer::start(|_, _| ok("old"));
    let new = FakeServer::start(|_, _| ok("new"));
    let discovery = StubDiscovery::start();
    let sidecar = Setup::new(vec![entry("s1", old.address, "up")]).discovery(&discovery).start();
    discovery.watches.wait(1, "watches");
    discovery.publish_changes(8, vec![entry("s2", new.address, "up")]);
    wait_for_response(&sidecar, "new");
    for (rev, state) in [(9, "draining"), (10, "removed")] {
        discovery.publish_changes(rev, vec![entry("s1", old.address, state)]);
        wait_for_revision(&sidecar, rev);
        let before = old.request_count();
        for n in 0..20 {
            assert_eq!(sidecar.request(&read_request(&format!("r{n}"))).text(), "new");
        }
        assert_eq!(old.request_count(), before, "a {state} server got a request");
    }
}

#[test]
fn in_flight_request_at_a_draining_server_completes() {
    let (gate, action) = gated_ok("finished");
    let server = FakeServer::start(move |_, _| action.clone());
    let discovery = StubDiscovery::start();
    let sidecar = Setup::new(vec![entry("s1", server.address, "up")]).discovery(&discovery).start();
    discovery.watches.wait(1, "watches");
    let mut client = sidecar.connect();
    client.send(&once_request("r1"));
    server.requests.wait(1, "requests");
    discovery.publish_changes(8, vec![entry("s1", server.address, "draining")]);
    wait_for_revision(&sidecar, 8);
    gate.send(()).unwrap();
    assert_eq!(client.read_response().text(), "finished");
}

#[test]
fn unsent_attempt_to_a_draining_server_is_withdrawn() {
    // Connections to this listener are established only once its queue is emptied. The drain grace period is
    // no time to begin an attempt in: the drain may have been published long before it was received.
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let mut queued = Vec::new();
    while let Ok(s) = std::net::TcpStream::connect_timeout(&address, std::time::Duration::from_millis(300)) {
        queued.push(s);
    }
    let discovery = StubDiscovery::start();
    let sidecar = Setup::new(vec![entry("s1", address, "up")])
        .discovery(&discovery)
        .set("/settings/safety/drain_grace", json!(20_000_000))
        .set("/settings/limits/connect_timeout", json!(30_000_000))
        .set("/settings/classes/0/aim", json!(30_000_000))
        .set("/settings/classes/0/deadline", json!(30_000_000))
        .start();
    discovery.watches.wait(1, "watches");
    let mut client = sidecar.connect();
    client.send(&read_request("r1").replace("X-Timeout: 0.9", "X-Timeout: 30"));
    sidecar.wait_for_log("attempt 0 of request 0");
    discovery.publish_changes(8, vec![entry("s1", address, "draining")]);
    wait_for_revision(&sidecar, 8);
    // It was never sent, so it is rejected while its connection is still being established.
    assert_eq!(client.read_response().status(), 503);
    drop(queued);
    let reached = std::thread::spawn(move || {
        let mut requests = 0;
        for stream in listener.incoming().map_while(Result::ok) {
            match read_message(&mut std::io::BufReader::new(&stream)) {
                Ok(Some(message)) if message.target() == "/stop" => break,
                Ok(Some(_)) => requests += 1,
                Ok(None) | Err(_) => {}
            }
        }
        requests
    });
    let mut last = std::net::TcpStream::connect(address).unwrap();
    std::io::Write::write_all(&mut last, b"GET /stop HTTP/1.1\r\n\r\n").unwrap();
    assert_eq!(reached.join().unwrap(), 0, "the attempt was sent to a draining server");
}

#[test]
fn full_list_removes_servers_that_it_lacks() {
    let old = FakeServer::start(|_, _| ok("old"));
    let new = FakeServer::start(|_, _| ok("new"));
    let discovery = StubDiscovery::start();
    let sidecar = Setup::new(vec![entry("s1", old.address, "up")]).discovery(&discovery).start();
    discovery.watches.wait(1, "watches");
    discovery.publish_full_list(8, vec![entry("s2", new.address, "up")]);
    wait_for_revision(&sidecar, 8);
    for n in 0..20 {
        assert_eq!(sidecar.request(&read_request(&format!("r{n}"))).text(), "new");
    }
}

#[test]
fn broken_watch_is_reopened_at_the_last_revision() {
    let discovery = StubDiscovery::start();
    let sidecar = Setup::new(vec![]).discovery(&discovery).start();
    discovery.watches.wait(1, "watches");
    discovery.publish_changes(12, vec![]);
    wait_for_revision(&sidecar, 12);
    discovery.close_watches();
    assert_eq!(discovery.watches.wait(2, "watches")[1], "/v1/servers?watch=1&after=12");
}

#[test]
fn silent_watch_is_replaced_by_the_first_additional_watch_that_answers() {
    // Guards against a silent watch that was waited on for 7 s: a drain written to the next watch meanwhile
    // was not read.
    let old = FakeServer::start(|_, _| ok("old"));
    let new = FakeServer::start(|_, _| ok("new"));
    let discovery = StubDiscovery::start();
    let sidecar = Setup::new(vec![entry("s1", old.address, "up")])
        .discovery(&discovery)
        .set("/sidecar/watch_silence_ms", json!(1000))
        .set("/sidecar/watch_call_ms", json!(300))
        .start();
    sidecar.wait_for_log("open after revision 7");
    discovery.set_silent(true);
    discovery.watches.wait(4, "watches");
    discovery.set_silent(false);
    sidecar.wait_for_log("open after revision 7, silent for 1");
    discovery.publish_full_list(8, vec![entry("s2", new.address, "up")]);
    wait_for_revision(&sidecar, 8);
    assert_eq!(sidecar.request(&read_request("r1")).text(), "new");
    discovery.closed.wait(3, "the silent watches ended");
}

#[test]
fn drain_lost_with_a_reset_watch_is_received_on_the_next_watch() {
    let old = FakeServer::start(|_, _| ok("old"));
    let new = FakeServer::start(|_, _| ok("new"));
    let discovery = StubDiscovery::start();
    let entries = vec![entry("s1", old.address, "up"), entry("s2", new.address, "up")];
    let sidecar = Setup::new(entries).discovery(&discovery).start();
    sidecar.wait_for_log("open after revision 7");
    // The stub may not have recorded the watch that it has just written to.
    discovery.watches.wait(1, "watches");
    // Half of the drain's line is written when the watch is reset: none of it applies.
    discovery.send_raw("{\"rev\":8,\"all\":false,\"targets\":[{\"uid\":\"s1\",");
    discovery.reset_watches();
    sidecar.wait_for_log("ConnectionReset");
    discovery.watches.wait(2, "watches");
    discovery.publish_changes(8, vec![entry("s1", old.address, "draining")]);
    wait_for_revision(&sidecar, 8);
    for n in 0..20 {
        assert_eq!(sidecar.request(&read_request(&format!("r{n}"))).text(), "new");
    }
}

#[test]
fn drain_applies_even_if_the_rest_of_its_entry_is_invalid() {
    let old = FakeServer::start(|_, _| ok("old"));
    let new = FakeServer::start(|_, _| ok("new"));
    let discovery = StubDiscovery::start();
    let entries = vec![entry("s1", old.address, "up"), entry("s2", new.address, "up")];
    let sidecar = Setup::new(entries).discovery(&discovery).start();
    discovery.watches.wait(1, "watches");
    let invalid = json!({"uid": "s1", "state": "draining", "endpoint": 7, "boot_ms": []});
    discovery.publish_changes(8, vec![invalid, json!("x")]);
    sidecar.wait_for_log("server s1: only its state 'draining' can be read");
    wait_for_revision(&sidecar, 8);
    for n in 0..20 {
        assert_eq!(sidecar.request(&read_request(&format!("r{n}"))).text(), "new");
    }
}

#[test]
fn list_is_stored_on_disk_and_a_corrupt_file_is_rejected() {
    let server = FakeServer::start(|_, _| ok("kept"));
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("list");
    let discovery = StubDiscovery::start();
    let setup = || Setup::new(vec![]).set("/sidecar/list_file", json!(file.to_str().unwrap()));
    let sidecar = setup().discovery(&discovery).start();
    discovery.watches.wait(1, "watches");
    discovery.publish_changes(9, vec![entry("s1", server.address, "up")]);
    let stored = || std::fs::read_to_string(&file).unwrap_or_default();
    let give_up_at = Instant::now() + WAIT_TIMEOUT;
    while !stored().contains("\"rev\":9") {
        assert!(Instant::now() < give_up_at, "the list was not stored");
    }
    drop(sidecar);
    let sidecar = setup().start();
    sidecar.wait_for_log("revision 9, ");
    assert_eq!(sidecar.request(&read_request("r1")).text(), "kept");
    drop(sidecar);
    let whole = stored();
    for (damaged, message) in [
        (whole.replace("up", "xx"), "its checksum does not fit"),
        (whole[..whole.len() - 9].to_owned(), "it was cut off"),
        (whole.replacen(" 1 ", " 9 ", 1), "it is of version '9'"),
        ("[]\n".to_owned(), "it is no list of servers"),
    ] {
        std::fs::write(&file, damaged).unwrap();
        let sidecar = setup().start();
        sidecar.wait_for_log(message);
        assert_eq!(sidecar.request(&read_request("r1")).status(), 503, "a corrupt list was used");
    }
}

#[test]
fn invalid_watch_line_is_skipped_and_the_full_list_requested() {
    let server = FakeServer::start(|_, _| ok("x"));
    let discovery = StubDiscovery::start();
    let sidecar = Setup::new(vec![entry("s1", server.address, "up")]).discovery(&discovery).start();
    discovery.watches.wait(1, "watches");
    // A watch after the same revision would bring the same line again, so the full list is requested.
    discovery.set_full_list(7, vec![entry("s1", server.address, "up")]);
    discovery.send_raw("\n{\"rev\":9,\"targets\":\n");
    discovery.list_calls.wait(1, "calls for the whole list");
    assert_eq!(discovery.watches.wait(2, "watches")[1], "/v1/servers?watch=1&after=7");
    assert_eq!(sidecar.request(&read_request("r1")).text(), "x");
}

#[test]
fn invalid_entry_does_not_block_other_entries() {
    let old = FakeServer::start(|_, _| ok("old"));
    let new = FakeServer::start(|_, _| ok("new"));
    let discovery = StubDiscovery::start();
    let sidecar = Setup::new(vec![entry("s1", old.address, "up")]).discovery(&discovery).start();
    discovery.watches.wait(1, "watches");
    let mut without_endpoint = entry("s9", new.address, "up");
    without_endpoint["endpoint"] = json!("nowhere");
    let unknown_state = entry("s1", old.address, "resting");
    discovery.publish_changes(8, vec![without_endpoint, unknown_state, entry("s2", new.address, "up")]);
    wait_for_revision(&sidecar, 8);
    // A server in an unknown state gets no requests.
    for n in 0..20 {
        assert_eq!(sidecar.request(&read_request(&format!("r{n}"))).text(), "new");
    }
}

#[test]
fn watch_line_split_into_chunks_is_reassembled() {
    let server = FakeServer::start(|_, _| ok("x"));
    let discovery = StubDiscovery::start();
    let sidecar = Setup::new(vec![]).discovery(&discovery).start();
    discovery.watches.wait(1, "watches");
    let line = format!("\n{}\n\n", json!({"rev": 9, "targets": [entry("s1", server.address, "up")]}));
    for piece in line.as_bytes().chunks(7) {
        discovery.send_raw(std::str::from_utf8(piece).unwrap());
    }
    wait_for_response(&sidecar, "x");
}

/// Guards a watch with indented lists: each line was taken for invalid and the watch for broken.
#[test]
fn list_spanning_several_lines_is_parsed_as_one() {
    let server = FakeServer::start(|_, _| ok("x"));
    let discovery = StubDiscovery::start();
    let sidecar = Setup::new(vec![]).discovery(&discovery).start();
    discovery.watches.wait(1, "watches");
    let list = json!({"rev": 9, "all": true, "targets": [entry("s1", server.address, "up")]});
    discovery.send_raw(&format!("{}\n", serde_json::to_string_pretty(&list).unwrap()));
    wait_for_revision(&sidecar, 9);
    wait_for_response(&sidecar, "x");
    assert_eq!(discovery.watches.len(), 1, "the watch was reopened");
}

#[test]
fn on_request_discovery_is_called_at_start_and_after_a_broken_watch() {
    // The decision module's first call was once made before the client for discovery existed and was lost;
    // the next one is due only after a quarter of `ask_within`, which here is far beyond WAIT_TIMEOUT.
    let discovery = StubDiscovery::start();
    let sidecar = Setup::new(vec![])
        .discovery(&discovery)
        .set("/settings/discovery", json!("on_request"))
        .set("/settings/safety/ask_within", json!(4_000_000_000_u64))
        .start();
    discovery.watches.wait(1, "watches");
    discovery.publish_full_list(8, vec![]);
    wait_for_revision(&sidecar, 8);
    discovery.close_watches();
    assert_eq!(discovery.watches.wait(2, "watches")[1], "/v1/servers?watch=1&after=8");
}

#[test]
fn server_is_identified_by_uid_and_reached_at_its_current_endpoint() {
    let before = FakeServer::start(|_, _| ok("before"));
    let after = FakeServer::start(|_, _| ok("after"));
    let discovery = StubDiscovery::start();
    let sidecar = Setup::new(vec![entry("s1", before.address, "up")]).discovery(&discovery).start();
    discovery.watches.wait(1, "watches");
    assert_eq!(sidecar.request(&read_request("r1")).text(), "before");
    discovery.publish_changes(8, vec![entry("s1", after.address, "up")]);
    wait_for_revision(&sidecar, 8);
    assert_eq!(sidecar.request(&read_request("r2")).text(), "after");
    before.closed.wait(1, "closed connections");
}

#[test]
fn restarted_server_gets_new_connections() {
    // The old connections ended with the old process, possibly without any notice: a request written to one
    // of them could end as one that may have run.
    let server = FakeServer::start(|_, _| ok("x"));
    let discovery = StubDiscovery::start();
    let sidecar = Setup::new(vec![entry("s1", server.address, "up")]).discovery(&discovery).start();
    discovery.watches.wait(1, "watches");
    assert_eq!(sidecar.request(&read_request("r1")).status(), 200);
    let mut restarted: Value = entry("s1", server.address, "up");
    restarted["boot_ms"] = json!(1_700_000_000_000_u64);
    discovery.publish_changes(8, vec![restarted]);
    wait_for_revision(&sidecar, 8);
    server.closed.wait(1, "closed connections");
    assert_eq!(sidecar.request(&read_request("r2")).status(), 200);
    assert_eq!(server.opened.len(), 2);
}

/// How a stub discovery handles calls.
#[derive(Clone, Copy, Debug, PartialEq)]
enum StubMode {
    /// Answers each watch with the current full list and sends heartbeats.
    Answers,
    /// Nothing listens at its address.
    Refuses,
    /// Accepts calls and never answers them.
    Hangs,
    /// Accepts calls and resets their connections.
    Resets,
}

/// State that a faulty discovery shares with its threads.
#[derive(Clone)]
struct StubState {
    mode: Arc<Mutex<StubMode>>,
    list: Arc<Mutex<Value>>,
    watches: Arc<Mutex<Vec<TcpStream>>>,
    /// Calls accepted in each mode but `Answers`, and calls left hanging that the other side has closed.
    accepted: Recorder<StubMode>,
    abandoned: Recorder<()>,
}

impl StubState {
    fn call(&self, mut stream: TcpStream) {
        let Ok(Some(call)) = read_message(&mut BufReader::new(stream.try_clone().unwrap())) else { return };
        let mode = *self.mode.lock().unwrap();
        match mode {
            // Calls for the full list, made beside a watch, get no response; the watch brings the list.
            StubMode::Answers if !call.target().contains("watch=1") => {}
            StubMode::Answers => {
                let chunk = |text: &str| format!("{:x}\r\n{text}\r\n", text.len());
                let line = chunk(&format!("{}\n", self.list.lock().unwrap()));
                let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
                self.watches.lock().unwrap().push(stream.try_clone().unwrap());
                stream.set_read_timeout(Some(Duration::from_millis(200))).unwrap();
                let mut written = stream.write_all((head.to_owned() + &line).as_bytes());
                // Until the watch is closed by its reset.
                while written.is_ok() && !matches!(stream.read(&mut [0; 64]), Ok(0)) {
                    written = stream.write_all(chunk("\n").as_bytes());
                }
            }
            StubMode::Hangs => {
                self.accepted.push(mode);
                let _ = stream.read(&mut [0; 1]);
                self.abandoned.push(());
            }
            StubMode::Resets | StubMode::Refuses => {
                socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO)).unwrap();
                self.accepted.push(mode);
            }
        }
    }
}

/// A stub discovery whose failures can be switched.
struct FaultyDiscovery {
    address: SocketAddr,
    state: StubState,
    accept_thread: Option<JoinHandle<()>>,
}

impl FaultyDiscovery {
    fn start(list: Value) -> FaultyDiscovery {
        let mode = Arc::new(Mutex::new(StubMode::Answers));
        let watches = Arc::default();
        let list = Arc::new(Mutex::new(list));
        let accepted = Recorder::new();
        let abandoned = Recorder::new();
        let state = StubState { mode, list, watches, accepted, abandoned };
        let mut discovery = FaultyDiscovery { address: unique_address(), state, accept_thread: None };
        discovery.set_mode(StubMode::Answers);
        discovery
    }

    /// Handles calls in this mode from here on; open watches are reset.
    fn set_mode(&mut self, mode: StubMode) {
        *self.state.mode.lock().unwrap() = mode;
        for stream in self.state.watches.lock().unwrap().drain(..) {
            socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO)).unwrap();
            // The thread of the connection then drops its handle; dropping the last one sends the reset.
            let _ = stream.shutdown(std::net::Shutdown::Read);
        }
        if mode == StubMode::Refuses {
            // The listener is closed with its thread, which one more connection wakes up.
            drop(TcpStream::connect(self.address));
            self.accept_thread.take().into_iter().for_each(|thread| thread.join().unwrap());
        } else if self.accept_thread.is_none() {
            let listener = TcpListener::bind(self.address).unwrap();
            let state = self.state.clone();
            self.accept_thread = Some(std::thread::spawn(move || {
                for stream in listener.incoming().map_while(Result::ok) {
                    if *state.mode.lock().unwrap() == StubMode::Refuses {
                        return;
                    }
                    let state = state.clone();
                    std::thread::spawn(move || state.call(stream));
                }
            }));
        }
    }

    /// Switches to this mode and waits until calls are lost in it: two refused calls, or one accepted call,
    /// or with `wait_until_abandoned` a hanging call that the sidecar has closed.
    fn lose_calls(&mut self, sidecar: &Sidecar, mode: StubMode, wait_until_abandoned: bool) {
        let refused = || sidecar.log.all().iter().filter(|line| line.contains("refused")).count();
        let were_refused = refused();
        let accepted = self.state.accepted.len();
        let were_abandoned = self.state.abandoned.len();
        self.set_mode(mode);
        let give_up_at = Instant::now() + WAIT_TIMEOUT;
        match mode {
            StubMode::Answers => {}
            StubMode::Refuses => {
                while refused() < were_refused + 2 {
                    assert!(Instant::now() < give_up_at, "no call is refused: {:?}", sidecar.log.all());
                    sidecar.log.wait(sidecar.log.len() + 1, "log lines");
                }
            }
            StubMode::Hangs if wait_until_abandoned => {
                self.state.abandoned.wait(were_abandoned + 1, "abandoned calls");
            }
            StubMode::Hangs | StubMode::Resets => {
                self.state.accepted.wait(accepted + 1, "calls");
            }
        }
    }
}

/// A list of these servers of which the first `first` are draining.
fn list_with_drains(rev: u64, servers: &[FakeServer], first: usize) -> Value {
    let state = |n| if n < first { "draining" } else { "up" };
    let entries = servers.iter().enumerate().map(|(n, s)| entry(&format!("s{n}"), s.address, state(n)));
    json!({"rev": rev, "all": true, "targets": entries.collect::<Vec<_>>()})
}

/// Lets discovery lose calls in each of these orders with a drain published in the middle, and asserts that
/// it is applied in time.
fn check_drains_are_applied(discovery_mode: &str, orders: &[&[StubMode]], wait_until_abandoned: bool) {
    let names = (0..=orders.len()).map(|n| format!("server {n}"));
    let servers: Vec<FakeServer> = names.map(|name| FakeServer::start(move |_, _| ok(&name))).collect();
    let mut discovery = FaultyDiscovery::start(list_with_drains(7, &servers, 0));
    let known = list_with_drains(7, &servers, 0)["targets"].as_array().unwrap().clone();
    let sidecar = Setup::new(known)
        .set("/discovery", json!(discovery.address.to_string()))
        .set("/settings/discovery", json!(discovery_mode))
        // Only after a quarter of this does the decision module make another call beside a hanging one.
        .set("/settings/safety/ask_within", json!(60_000_000))
        .start();
    sidecar.wait_for_log("in whole revision 7: ");
    for (n, order) in orders.iter().enumerate() {
        let rev = 8 + n as u64;
        for (at, mode) in order.iter().enumerate() {
            discovery.lose_calls(&sidecar, *mode, wait_until_abandoned);
            if at == order.len() / 2 {
                *discovery.state.list.lock().unwrap() = list_with_drains(rev, &servers, n + 1);
            }
        }
        let reached = Instant::now();
        discovery.set_mode(StubMode::Answers);
        wait_for_revision(&sidecar, rev);
        let delay = reached.elapsed();
        println!("{discovery_mode}, {order:?}: {} ms", delay.as_millis());
        // The drain counts as published 6 s after discovery was reachable again, and the grace period is one
        // second.
        assert!(delay < Duration::from_secs(7), "{order:?}: applied after {delay:?}");
        let before = servers[n].request_count();
        for _ in 0..10 {
            // Whether servers respond in time on a busy machine is not checked here.
            sidecar.request(&read_request("r"));
        }
        assert_eq!(servers[n].request_count(), before, "{order:?}: a draining server got a request");
    }
}

/// Guards a drain published while calls to discovery were refused, hung or were reset.
#[test]
fn drain_published_during_an_outage_is_applied_once_discovery_is_reachable() {
    use StubMode::{Hangs, Refuses, Resets};
    let orders: [&[StubMode]; 6] = [
        &[Refuses, Hangs, Resets],
        &[Refuses, Resets, Hangs],
        &[Hangs, Refuses, Resets],
        &[Hangs, Resets, Refuses],
        &[Resets, Refuses, Hangs],
        &[Resets, Hangs, Refuses],
    ];
    check_drains_are_applied("pushed", &orders, true);
}

/// The same with lists on request. A hanging call is still pending when discovery is back: only another call
/// brings the list.
#[test]
fn drain_published_during_an_outage_is_applied_with_on_request_discovery() {
    check_drains_are_applied("on_request", &[&[StubMode::Refuses, StubMode::Resets, StubMode::Hangs]], false);
}
