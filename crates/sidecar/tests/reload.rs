//! New configurations while it serves: SIGHUP has the file read once more.

mod common;

use common::*;
use serde_json::json;

#[test]
fn discovery_moves_while_a_request_is_in_hand() {
    // Uncaught, the signal once ended the process with all that it had taken.
    let (gate, wait) = latch("finished");
    let old = Server::start(move |_, _| wait.clone());
    let (before, after) = (Discovery::start(), Discovery::start());
    let sidecar = Setup::new(vec![entry("s1", old.address, "up")]).discovery(&before).start();
    before.calls.wait(1, "watches");
    let mut client = sidecar.connect();
    client.send(&once("r1"));
    old.requests.wait(1, "requests");
    let mut config = sidecar.config.clone();
    config["discovery"] = json!(after.address.to_string());
    sidecar.reload(&config.to_string());
    after.lists.wait(1, "calls for the whole list");
    // The new address has not spoken yet: the old watch is still followed.
    before.send(8, false, vec![entry("s0", old.address, "draining")]);
    sidecar.logged("revision 8: ");
    assert_eq!(before.ended.len(), 0, "the old watch was dropped before the new one stood");
    gate.send(()).unwrap();
    assert_eq!(client.answer().text(), "finished");
}

#[test]
fn the_whole_list_of_the_new_address_counts_whatever_its_versions() {
    let (old, new) = (Server::start(|_, _| ok("old")), Server::start(|_, _| ok("new")));
    let (before, after) = (Discovery::start(), Discovery::start());
    after.hold(3, vec![entry("s2", new.address, "up")]);
    let mut setup = Setup::new(vec![entry("s1", old.address, "up")]).discovery(&before);
    // The environment still names the old address: the file is the newer word.
    setup.env.push(("EDGE_DISCOVERY", before.address.to_string()));
    let sidecar = setup.start();
    before.calls.wait(1, "watches");
    assert_eq!(sidecar.ask(&read("r0")).text(), "old");
    let mut config = sidecar.config.clone();
    config["discovery"] = json!(after.address.to_string());
    sidecar.reload(&config.to_string());
    assert_eq!(after.calls.wait(1, "watches")[0], "/v1/servers?watch=1&after=3");
    before.ended.wait(1, "old watches ended");
    sidecar.logged("in whole revision 3: ");
    for n in 1..20 {
        assert_eq!(sidecar.ask(&read(&format!("r{n}"))).text(), "new");
    }
    // The connection to a server that the whole list lacks is given back.
    old.closed.wait(1, "closed connections");
    after.send(4, false, vec![entry("s2", new.address, "removed"), entry("s1", old.address, "up")]);
    sidecar.logged("changes revision 4: ");
    assert_eq!(sidecar.ask(&read("r20")).text(), "old");
}

#[test]
fn a_file_at_fault_changes_nothing_and_the_key_is_named() {
    let server = Server::start(|_, _| ok("x"));
    let discovery = Discovery::start();
    let sidecar = Setup::new(vec![entry("s1", server.address, "up")]).discovery(&discovery).start();
    discovery.calls.wait(1, "watches");
    let mut config = sidecar.config.clone();
    config["discovery"] = json!("here");
    for (bad, said) in [
        (config.to_string(), "old configuration: EDGE_CONFIG: discovery: 'here'"),
        ("{\"name\":".to_owned(), "old configuration: EDGE_CONFIG: not JSON"),
        (json!({"name": "n0"}).to_string(), "old configuration: neither EDGE_LISTEN nor the key listen"),
    ] {
        sidecar.reload(&bad);
        sidecar.logged(said);
    }
    assert_eq!(sidecar.ask(&read("r1")).status(), 200);
    assert_eq!((discovery.calls.len(), discovery.ended.len()), (1, 0), "the watch stays");
}

#[test]
fn what_waits_for_the_next_start_is_named() {
    let sidecar = Setup::new(vec![]).start();
    let mut config = sidecar.config.clone();
    config["sidecar"] = json!({"log": "warn", "requests": 5});
    config["limits"]["sockets"] = json!(512);
    sidecar.reload(&config.to_string());
    sidecar.logged("changes that need a restart are ignored: limits, sidecar");
    // The level of the log was taken up, so another reload says no more than this.
    config["name"] = json!("n9");
    sidecar.reload(&config.to_string());
    sidecar.logged("changes that need a restart are ignored: name, limits, sidecar");
    assert!(!sidecar.log.all().iter().any(|line| line.contains("new configuration")));
}
