//! Idle clients at the descriptor limit and beyond it, while discovery is down: everything other than client
//! traffic keeps its reserved descriptors, however many connections clients open.

mod common;

use common::*;
use serde_json::json;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// `limits.sockets`: room for twenty clients and as many server connections.
const SOCKET_LIMIT: usize = 104;
/// Limit on client connections, beside four server connections and the reserved descriptors.
const CLIENT_LIMIT: usize = 36;
/// The drain grace period, and the longest delay between attempts to reach discovery: two thirds of the grace
/// period.
const DRAIN_GRACE: Duration = Duration::from_secs(6);
const LONGEST_RETRY_DELAY: Duration = Duration::from_secs(4);

/// How discovery fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Outage {
    /// Connections are refused.
    Refuses,
    /// Connections are not established: each attempt holds a descriptor while it waits.
    Hangs,
}

enum DownDiscovery {
    Refuses(SocketAddr),
    Hangs(SaturatedListener),
}

impl DownDiscovery {
    fn new(outage: Outage) -> DownDiscovery {
        match outage {
            Outage::Refuses => DownDiscovery::Refuses(unique_address()),
            Outage::Hangs => DownDiscovery::Hangs(SaturatedListener::new()),
        }
    }

    fn address(&self) -> SocketAddr {
        match self {
            DownDiscovery::Refuses(address) => *address,
            DownDiscovery::Hangs(listener) => listener.address,
        }
    }

    fn restore(self) -> StubDiscovery {
        match self {
            DownDiscovery::Refuses(address) => StubDiscovery::start_on(TcpListener::bind(address).unwrap()),
            DownDiscovery::Hangs(listener) => listener.open_as_discovery(),
        }
    }
}

/// Opens connections whenever there is room, until stopped: some stay silent, some send part of a request,
/// some send one request and stay.
fn run_idle_clients(listen: SocketAddr, full: &AtomicBool, stop: &AtomicBool) {
    let mut held = std::collections::VecDeque::new();
    for n in 0_usize.. {
        if stop.load(Ordering::SeqCst) {
            return;
        }
        let Ok(mut stream) = TcpStream::connect_timeout(&listen, Duration::from_millis(100)) else {
            // The accept queue of the operating system is full as well.
            full.store(true, Ordering::SeqCst);
            continue;
        };
        let request = read_request(&format!("crowd{n}"));
        let _ = stream.write_all(match n % 3 {
            0 => b"",
            1 => &request.as_bytes()[..20],
            _ => request.as_bytes(),
        });
        held.push_back(stream);
        // The oldest were closed long ago: there are far fewer slots.
        if held.len() > 3 * SOCKET_LIMIT {
            held.pop_front();
        }
    }
}

/// Retries until a request is served and returns the response body.
fn wait_until_served(sidecar: &Sidecar, id: &str) -> String {
    let give_up_at = Instant::now() + WAIT_TIMEOUT;
    loop {
        let mut client = sidecar.connect();
        client.send(&read_request(id));
        if let Some(answer) = client.read_response_or_close().filter(|answer| answer.status() == 200) {
            return answer.text();
        }
        assert!(Instant::now() < give_up_at, "no well-behaved client is served");
    }
}

/// Checks that, while idle clients take every available connection, the watch is reopened when discovery
/// returns, list changes are applied, servers are reached and the console answers.
fn check_reserved_descriptors(outage: Outage, sockets: usize, os_limit: Option<usize>) {
    let (gate, action) = gated_ok("in hand");
    let old = FakeServer::start(move |_, message| match message.target() {
        "/read/held" => action.clone(),
        _ => ok("old"),
    });
    let new = FakeServer::start(|_, _| ok("new"));
    let down = DownDiscovery::new(outage);
    let console = unique_address();
    let mut setup = Setup::new(vec![entry("s1", old.address, "up")])
        .set("/discovery", json!(down.address().to_string()))
        .set("/console", json!(console.to_string()))
        .set("/limits/sockets", json!(sockets))
        .set("/settings/safety/drain_grace", json!(DRAIN_GRACE.as_micros() as u64))
        .set("/settings/classes/0/aim", json!(60_000_000))
        .set("/settings/classes/0/deadline", json!(60_000_000))
        // Long enough that no client time-out closes them during the test.
        .set("/sidecar/client_request_ms", json!(600_000))
        .set("/sidecar/client_idle_ms", json!(600_000));
    if sockets == SOCKET_LIMIT {
        let clients = json!(CLIENT_LIMIT);
        let servers = json!(4);
        setup = setup.set("/sidecar/client_connections", clients).set("/sidecar/server_connections", servers);
    }
    setup.descriptor_limit = os_limit;
    let sidecar = setup.start();
    let mut kept = sidecar.connect();
    kept.send(&read_request("kept0"));
    assert_eq!(kept.read_response().text(), "old");
    let mut held = sidecar.connect();
    held.send(
        &read_request("held")
            .replace("GET /read", "GET /read/held")
            .replace("X-Timeout: 0.9", "X-Timeout: 60"),
    );
    old.requests.wait(2, "requests");
    let limit = os_limit.unwrap_or(sockets).min(sockets);
    let full = AtomicBool::new(false);
    let stop = AtomicBool::new(false);
    let check_limits = || {
        let open = sidecar.open_descriptors();
        assert!(open <= limit, "{open} descriptors of {limit}");
        assert_eq!(console_call(console, b"status\n"), "YES active\n");
    };
    // Stops the idle clients when the test ends, also by a panic.
    struct StopOnDrop<'a>(&'a AtomicBool);
    impl Drop for StopOnDrop<'_> {
        fn drop(&mut self) {
            self.0.store(true, Ordering::SeqCst);
        }
    }
    thread::scope(|scope| {
        let _stop_on_drop = StopOnDrop(&stop);
        scope.spawn(|| run_idle_clients(sidecar.listen, &full, &stop));
        let give_up_at = Instant::now() + WAIT_TIMEOUT;
        while !full.load(Ordering::SeqCst) {
            assert!(Instant::now() < give_up_at, "the accept queue did not fill up");
            check_limits();
        }
        // Some attempts to reach discovery fail meanwhile.
        let failed = || sidecar.log.all().iter().filter(|l| l.contains(" of discovery at ")).count();
        let before = failed();
        while failed() < before + 3 {
            assert!(Instant::now() < give_up_at, "no attempt to reach discovery");
            check_limits();
        }
        let restored = Instant::now();
        let discovery = down.restore();
        discovery.watches.wait(1, "watches");
        let called_after = restored.elapsed();
        assert!(
            called_after <= LONGEST_RETRY_DELAY,
            "{outage:?}: called {called_after:?} after discovery returned"
        );
        sidecar.wait_for_log("open after revision 7");
        let drained = entry("s1", old.address, "draining");
        let added = entry("s2", new.address, "up");
        let published = Instant::now();
        discovery.publish_changes(9, vec![drained, added]);
        sidecar.wait_for_log("list changes revision 9: 1 up, 1 draining");
        let applied_after = published.elapsed();
        assert!(
            applied_after <= DRAIN_GRACE,
            "{outage:?}: a drain applied {applied_after:?} after it was published"
        );
        check_limits();
        // The in-flight request is served, and the new server is reached.
        gate.send(()).unwrap();
        assert_eq!(held.read_response().text(), "in hand");
        let _ = kept.stream.write_all(read_request("kept1").as_bytes());
        let answer = kept.read_response_or_close();
        assert!(answer.as_ref().is_none_or(|answer| answer.text() == "new"), "{answer:?}");
        assert_eq!(wait_until_served(&sidecar, "after"), "new");
        check_limits();
    });
    assert!(!sidecar.log.all().iter().any(|line| line.contains("os error 24")), "out of descriptors");
}

#[test]
fn idle_clients_at_the_limit_leave_discovery_servers_and_console_their_descriptors() {
    for outage in [Outage::Refuses, Outage::Hangs] {
        check_reserved_descriptors(outage, SOCKET_LIMIT, None);
    }
}

#[test]
fn configured_socket_limit_suffices_when_the_os_limit_is_equal() {
    for outage in [Outage::Refuses, Outage::Hangs] {
        check_reserved_descriptors(outage, SOCKET_LIMIT, Some(SOCKET_LIMIT));
    }
}

/// The limit of the operating system applies if it is lower than the configured one.
#[test]
fn lower_os_limit_restricts_clients_only() {
    for outage in [Outage::Refuses, Outage::Hangs] {
        check_reserved_descriptors(outage, 1024, Some(SOCKET_LIMIT));
    }
}

/// Idle server connections at the limit occupied every slot until they expired, at four fifths of the
/// servers' idle time-out: the log reported the limit while nothing was in flight, and other servers got no
/// requests.
#[test]
fn idle_server_connections_at_the_limit_make_room_for_other_servers() {
    let servers = ["one", "two", "three", "four"].map(|name| FakeServer::start(move |_, _| ok(name)));
    let uids = ["s1", "s2", "s3", "s4"];
    let known = servers.iter().zip(uids).map(|(server, uid)| entry(uid, server.address, "up")).collect();
    let sidecar = Setup::new(known).set("/sidecar/server_connections", json!(2)).start();
    for n in 0..100 {
        assert_eq!(sidecar.request(&read_request(&format!("r{n}"))).status(), 200, "request {n}");
    }
    let asked: Vec<usize> = servers.iter().map(FakeServer::request_count).collect();
    assert!(asked.iter().all(|asked| *asked > 0), "requests by server: {asked:?}");
    let refused = sidecar.log.all().iter().any(|line| line.contains("server connection limit reached"));
    assert!(!refused, "limit reached although nothing was in flight");
}
