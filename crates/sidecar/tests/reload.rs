//! Configuration reload: SIGHUP makes the running process read the file again.

mod common;

use common::*;
use serde_json::json;
use std::io::Write;

#[test]
fn discovery_address_changes_while_a_request_is_in_flight() {
    // Guards against an unhandled SIGHUP, which terminated the process with all accepted requests.
    let (gate, action) = gated_ok("finished");
    let old = FakeServer::start(move |_, _| action.clone());
    let before = StubDiscovery::start();
    let after = StubDiscovery::start();
    let sidecar = Setup::new(vec![entry("s1", old.address, "up")]).discovery(&before).start();
    before.watches.wait(1, "watches");
    let mut client = sidecar.connect();
    client.send(&once_request("r1"));
    old.requests.wait(1, "requests");
    let mut config = sidecar.config.clone();
    config["discovery"] = json!(after.address.to_string());
    sidecar.reload(&config.to_string());
    after.list_calls.wait(1, "calls for the whole list");
    // The new address has not answered yet: the old watch is still followed.
    before.publish_changes(8, vec![entry("s0", old.address, "draining")]);
    sidecar.wait_for_log("revision 8: ");
    assert_eq!(before.closed.len(), 0, "the old watch was dropped before the new one was open");
    gate.send(()).unwrap();
    assert_eq!(client.read_response().text(), "finished");
}

#[test]
fn full_list_of_a_new_discovery_address_applies_whatever_its_revision() {
    let old = FakeServer::start(|_, _| ok("old"));
    let new = FakeServer::start(|_, _| ok("new"));
    let before = StubDiscovery::start();
    let after = StubDiscovery::start();
    after.set_full_list(3, vec![entry("s2", new.address, "up")]);
    let mut setup = Setup::new(vec![entry("s1", old.address, "up")]).discovery(&before);
    // The environment still names the old address, but the reloaded file is newer.
    setup.env.push(("EDGE_DISCOVERY", before.address.to_string()));
    let sidecar = setup.start();
    before.watches.wait(1, "watches");
    assert_eq!(sidecar.request(&read_request("r0")).text(), "old");
    let mut config = sidecar.config.clone();
    config["discovery"] = json!(after.address.to_string());
    sidecar.reload(&config.to_string());
    assert_eq!(after.watches.wait(1, "watches")[0], "/v1/servers?watch=1&after=3");
    before.closed.wait(1, "old watches ended");
    sidecar.wait_for_log("in whole revision 3: ");
    for n in 1..20 {
        assert_eq!(sidecar.request(&read_request(&format!("r{n}"))).text(), "new");
    }
    // The connection to a server that is missing from the full list is closed.
    old.closed.wait(1, "closed connections");
    after.publish_changes(4, vec![entry("s2", new.address, "removed"), entry("s1", old.address, "up")]);
    sidecar.wait_for_log("changes revision 4: ");
    assert_eq!(sidecar.request(&read_request("r20")).text(), "old");
}

#[test]
fn invalid_configuration_file_changes_nothing_and_its_key_is_named() {
    let server = FakeServer::start(|_, _| ok("x"));
    let discovery = StubDiscovery::start();
    let sidecar = Setup::new(vec![entry("s1", server.address, "up")]).discovery(&discovery).start();
    discovery.watches.wait(1, "watches");
    let mut config = sidecar.config.clone();
    config["discovery"] = json!("here");
    for (bad, said) in [
        (config.to_string(), "old configuration: EDGE_CONFIG: discovery: 'here'"),
        ("{\"name\":".to_owned(), "old configuration: EDGE_CONFIG: not JSON"),
        (json!({"name": "n0"}).to_string(), "old configuration: neither EDGE_LISTEN nor the key listen"),
    ] {
        sidecar.reload(&bad);
        sidecar.wait_for_log(said);
    }
    assert_eq!(sidecar.request(&read_request("r1")).status(), 200);
    assert_eq!((discovery.watches.len(), discovery.closed.len()), (1, 0), "the watch must stay open");
}

#[test]
fn keys_that_need_a_restart_are_named() {
    let sidecar = Setup::new(vec![]).start();
    let mut config = sidecar.config.clone();
    config["sidecar"] = json!({"log": "warn", "requests": 5});
    config["limits"]["sockets"] = json!(512);
    sidecar.reload(&config.to_string());
    sidecar.wait_for_log("changes that need a restart are ignored: limits, sidecar");
    // The log level was applied, so another reload reports no more than this.
    config["name"] = json!("n9");
    sidecar.reload(&config.to_string());
    sidecar.wait_for_log("changes that need a restart are ignored: name, limits, sidecar");
    assert!(!sidecar.log.all().iter().any(|line| line.contains("new configuration")));
}

/// Guards against an unsafe request that ran and was refused, so that its client sent it again: while its long body came,
/// two new configurations gave the number of its class to another class.
#[test]
fn request_whose_body_outlasts_two_reloads_keeps_its_class() {
    const BODY_BYTES: usize = 1 << 20;
    let server = FakeServer::start(|_, _| status_only(500));
    let sidecar = Setup::new(vec![entry("s1", server.address, "up")]).start();
    let mut client = sidecar.connect();
    client.send(&format!(
        "POST /once HTTP/1.1\r\nHost: x\r\nX-Request-ID: r1\r\nContent-Length: {BODY_BYTES}\r\n\r\n"
    ));
    let body = vec![b'x'; BODY_BYTES];
    client.stream.write_all(&body[..BODY_BYTES / 2]).unwrap();
    sidecar.wait_for_log("attempt 0 of request 0 goes out");
    let mut config = sidecar.config.clone();
    config["settings"]["classes"][1]["semantics"] = json!("dedup");
    sidecar.reload(&config.to_string());
    sidecar.wait_for_log("class 'once' has number 3");
    let classes = config["settings"]["classes"].as_array_mut().unwrap();
    let mut seedings = classes[0].clone();
    seedings["name"] = json!("seedings");
    classes.push(seedings);
    sidecar.reload(&config.to_string());
    sidecar.wait_for_log("class 'seedings' has number");
    client.stream.write_all(&body[BODY_BYTES / 2..]).unwrap();
    assert_eq!(client.read_response().status(), 502, "refused, though it may have run");
    assert_eq!(server.request_count(), 1);
}
