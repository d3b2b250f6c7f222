//! Idle clients at the bound on descriptors, and beyond it, while discovery is down: what is no traffic keeps its places,
//! whatever clients hold.

mod common;

use common::*;
use serde_json::json;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// What the program is told that it may hold: room for twenty clients, where servers have as many.
const SOCKETS: usize = 104;
/// The most that clients may have of these, beside four connections to servers and what is kept.
const CLIENTS: usize = 36;
/// The grace of a drain, and the longest that a try of discovery is put off: two thirds of it, by the follower.
const GRACE: Duration = Duration::from_secs(6);
const TRIES: Duration = Duration::from_secs(4);

/// How discovery is down.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Outage {
    /// Connections are refused.
    Refuses,
    /// They do not come up: each try of the program holds a descriptor for as long as it waits.
    Hangs,
}

enum Down {
    Refuses(SocketAddr),
    Hangs(SaturatedListener),
}

impl Down {
    fn new(outage: Outage) -> Down {
        match outage {
            Outage::Refuses => Down::Refuses(unique_address()),
            Outage::Hangs => Down::Hangs(SaturatedListener::new()),
        }
    }

    fn address(&self) -> SocketAddr {
        match self {
            Down::Refuses(address) => *address,
            Down::Hangs(late) => late.address,
        }
    }

    fn returns(self) -> StubDiscovery {
        match self {
            Down::Refuses(address) => StubDiscovery::start_on(TcpListener::bind(address).unwrap()),
            Down::Hangs(late) => late.open_as_discovery(),
        }
    }
}

/// Idle clients that come whenever there is a place, until they are told to stop: some say nothing, some half of what they
/// have to say, some ask once and stay.
fn crowd(listen: SocketAddr, full: &AtomicBool, stop: &AtomicBool) {
    let mut held = std::collections::VecDeque::new();
    for n in 0_usize.. {
        if stop.load(Ordering::SeqCst) {
            return;
        }
        let Ok(mut stream) = TcpStream::connect_timeout(&listen, Duration::from_millis(100)) else {
            // The machine's own queue is full as well.
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
        // Those were closed long ago: the places are far fewer.
        if held.len() > 3 * SOCKETS {
            held.pop_front();
        }
    }
}

/// Asks until it is served, and by whom.
fn served(sidecar: &Sidecar, id: &str) -> String {
    let end = Instant::now() + WAIT_TIMEOUT;
    loop {
        let mut client = sidecar.connect();
        client.send(&read_request(id));
        if let Some(answer) = client.read_response_or_close().filter(|answer| answer.status() == 200) {
            return answer.text();
        }
        assert!(Instant::now() < end, "a usual client is kept out");
    }
}

/// The list is followed at once when discovery returns, its change is acted on, servers are reached and the console answers,
/// with a crowd of idle clients that takes every place there is.
fn all_keep_their_places(outage: Outage, sockets: usize, machine: Option<usize>) {
    let (gate, wait) = gated_ok("in hand");
    let old = FakeServer::start(move |_, message| match message.target() {
        "/read/held" => wait.clone(),
        _ => ok("old"),
    });
    let new = FakeServer::start(|_, _| ok("new"));
    let (down, console) = (Down::new(outage), unique_address());
    let mut setup = Setup::new(vec![entry("s1", old.address, "up")])
        .set("/discovery", json!(down.address().to_string()))
        .set("/console", json!(console.to_string()))
        .set("/limits/sockets", json!(sockets))
        .set("/settings/safety/drain_grace", json!(GRACE.as_micros() as u64))
        .set("/settings/classes/0/aim", json!(60_000_000))
        .set("/settings/classes/0/deadline", json!(60_000_000))
        // No time of their own ends them while this test waits.
        .set("/sidecar/client_request_ms", json!(600_000))
        .set("/sidecar/client_idle_ms", json!(600_000));
    if sockets == SOCKETS {
        let (clients, servers) = (json!(CLIENTS), json!(4));
        setup = setup.set("/sidecar/client_connections", clients).set("/sidecar/server_connections", servers);
    }
    setup.descriptor_limit = machine;
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
    let most = machine.unwrap_or(sockets).min(sockets);
    let (full, stop) = (AtomicBool::new(false), AtomicBool::new(false));
    let fits = || {
        let holds = sidecar.open_descriptors();
        assert!(holds <= most, "{holds} descriptors of {most}");
        assert_eq!(console_call(console, b"status\n"), "YES active\n");
    };
    // However this ends, the crowd goes home.
    struct Home<'a>(&'a AtomicBool);
    impl Drop for Home<'_> {
        fn drop(&mut self) {
            self.0.store(true, Ordering::SeqCst);
        }
    }
    thread::scope(|scope| {
        let _home = Home(&stop);
        scope.spawn(|| crowd(sidecar.listen, &full, &stop));
        let end = Instant::now() + WAIT_TIMEOUT;
        while !full.load(Ordering::SeqCst) {
            assert!(Instant::now() < end, "the places are never full");
            fits();
        }
        // Some tries of discovery fail among them.
        let failed = || sidecar.log.all().iter().filter(|l| l.contains(" of discovery at ")).count();
        let before = failed();
        while failed() < before + 3 {
            assert!(Instant::now() < end, "discovery is not asked for");
            fits();
        }
        let back = Instant::now();
        let discovery = down.returns();
        discovery.watches.wait(1, "watches");
        let asked = back.elapsed();
        assert!(asked <= TRIES, "{outage:?}: asked {asked:?} after the return of discovery");
        sidecar.wait_for_log("open after revision 7");
        let (leaves, comes) = (entry("s1", old.address, "draining"), entry("s2", new.address, "up"));
        let told = Instant::now();
        discovery.publish_changes(9, vec![leaves, comes]);
        sidecar.wait_for_log("list changes revision 9: 1 up, 1 draining");
        let acted = told.elapsed();
        assert!(acted <= GRACE, "{outage:?}: a drain acted on {acted:?} after it was told");
        fits();
        // What was held is served, and a new server is reached.
        gate.send(()).unwrap();
        assert_eq!(held.read_response().text(), "in hand");
        let _ = kept.stream.write_all(read_request("kept1").as_bytes());
        assert!(kept.read_response_or_close().is_none_or(|answer| answer.text() == "new"));
        assert_eq!(served(&sidecar, "after"), "new");
        fits();
    });
    assert!(!sidecar.log.all().iter().any(|line| line.contains("os error 24")), "no descriptor was left");
}

#[test]
fn idle_clients_at_the_bound_leave_the_list_servers_and_console_their_places() {
    for outage in [Outage::Refuses, Outage::Hangs] {
        all_keep_their_places(outage, SOCKETS, None);
    }
}

#[test]
fn what_it_is_told_that_it_may_hold_is_enough_where_the_machine_gives_no_more() {
    for outage in [Outage::Refuses, Outage::Hangs] {
        all_keep_their_places(outage, SOCKETS, Some(SOCKETS));
    }
}

/// The limit of the machine binds where it is lower than what the program was told.
#[test]
fn a_lower_limit_of_the_machine_binds_clients_alone() {
    for outage in [Outage::Refuses, Outage::Hangs] {
        all_keep_their_places(outage, 1024, Some(SOCKETS));
    }
}

/// Idle connections to servers that stay held every place at the bound until they were too old, four fifths of the servers'
/// own time: the log said that the bound was reached while nothing was in hand, and other servers were never asked.
#[test]
fn idle_connections_at_the_bound_make_room_for_other_servers() {
    let servers = ["one", "two", "three", "four"].map(|name| FakeServer::start(move |_, _| ok(name)));
    let uids = ["s1", "s2", "s3", "s4"];
    let known = servers.iter().zip(uids).map(|(server, uid)| entry(uid, server.address, "up")).collect();
    let sidecar = Setup::new(known).set("/sidecar/server_connections", json!(2)).start();
    for n in 0..100 {
        assert_eq!(sidecar.request(&read_request(&format!("r{n}"))).status(), 200, "request {n}");
    }
    let asked: Vec<usize> = servers.iter().map(FakeServer::request_count).collect();
    assert!(asked.iter().all(|asked| *asked > 0), "requests by server: {asked:?}");
    let refused = sidecar.log.all().iter().any(|line| line.contains("bound on server connections"));
    assert!(!refused, "nothing was in hand, and no place was found");
}
