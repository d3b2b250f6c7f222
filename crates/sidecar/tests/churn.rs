//! Servers are replaced continuously under new names, some of them at the address of a removed one: memory
//! and descriptors stay bounded, and no connection of the old server is used for the new one.

mod common;

use common::*;
use serde_json::json;

/// Memory in bytes and open descriptors of the sidecar.
struct Usage {
    memory: usize,
    descriptors: usize,
}

#[test]
fn memory_and_descriptors_stay_bounded_while_servers_are_replaced() {
    let server = FakeServer::start(|_, _| ok("x"));
    let discovery = StubDiscovery::start();
    let mut setup = Setup::new(vec![]).discovery(&discovery).set("/sidecar/log", json!("info"));
    for class in 0..3 {
        // A request may keep a server in memory for this long.
        setup = setup.set(&format!("/settings/classes/{class}/deadline"), json!(20_000));
    }
    let sidecar = setup.start();
    discovery.watches.wait(1, "watches");
    // Long names make retained memory visible.
    let name = |n: usize| format!("s-{n:08}-{}", "x".repeat(4000));
    let mut rev = 10;
    let mut replace = |from: usize, to: usize| {
        for n in (from..to).step_by(50) {
            let come = (n..n + 50).map(|n| entry(&name(n), server.address, "up"));
            let go = (n..n + 50).map(|n| entry(&name(n), server.address, "removed"));
            discovery.publish_changes(rev + 1, come.collect());
            sidecar.wait_for_log(&format!("revision {}: ", rev + 1));
            discovery.publish_changes(rev + 2, go.collect());
            sidecar.wait_for_log(&format!("revision {}: ", rev + 2));
            rev += 2;
        }
        Usage { memory: sidecar.resident_memory(), descriptors: sidecar.open_descriptors() }
    };
    let before = replace(0, 3000);
    let after = replace(3000, 9000);
    let grown = after.memory.saturating_sub(before.memory);
    assert!(grown < 12 << 20, "{grown} bytes for 6000 servers replaced");
    assert!(
        after.descriptors <= before.descriptors + 2,
        "{} descriptors, then {}",
        before.descriptors,
        after.descriptors
    );
}

#[test]
fn new_server_at_a_reused_address_gets_new_connections() {
    let server = FakeServer::start(|_, _| ok("x"));
    let discovery = StubDiscovery::start();
    let sidecar = Setup::new(vec![entry("s1", server.address, "up")]).discovery(&discovery).start();
    discovery.watches.wait(1, "watches");
    assert_eq!(sidecar.request(&once_request("r1")).status(), 200);
    discovery
        .publish_changes(8, vec![entry("s1", server.address, "removed"), entry("s2", server.address, "up")]);
    sidecar.wait_for_log("revision 8: ");
    server.closed.wait(1, "closed connections");
    assert_eq!(sidecar.request(&once_request("r2")).status(), 200);
    assert_eq!(server.opened.len(), 2);
}

#[test]
fn removed_server_still_answers_its_in_flight_request() {
    let (gate, action) = gated_ok("finished");
    let server = FakeServer::start(move |_, _| action.clone());
    let discovery = StubDiscovery::start();
    let sidecar = Setup::new(vec![entry("s1", server.address, "up")]).discovery(&discovery).start();
    discovery.watches.wait(1, "watches");
    let mut client = sidecar.connect();
    client.send(&once_request("r1"));
    server.requests.wait(1, "requests");
    for rev in 8..30 {
        let fresh = entry(&format!("s{rev}"), unique_address(), "removed");
        discovery.publish_changes(rev, vec![entry("s1", server.address, "removed"), fresh]);
    }
    sidecar.wait_for_log("revision 29: ");
    gate.send(()).unwrap();
    assert_eq!(client.read_response().text(), "finished");
}
