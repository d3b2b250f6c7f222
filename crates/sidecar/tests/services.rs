//! A sidecar that names the services it calls: its requests to discovery, and its list if discovery sends
//! servers of all services.

mod common;

use common::*;
use serde_json::{Value, json};

fn service_entry(service: &str, uid: &str, server: &FakeServer, state: &str) -> Value {
    let mut entry = entry(uid, server.address, state);
    entry["model"] = json!(service);
    entry
}

/// Discovery that ignores the query sends servers of all services: a server of another service gets no
/// requests, and drains apply.
#[test]
fn servers_of_other_services_get_no_requests() {
    let cart = FakeServer::start(|_, _| ok("cart"));
    let [spare, other] = [(); 2].map(|()| FakeServer::start(|n, _| ok(&format!("spare {n}"))));
    let discovery = StubDiscovery::start();
    let known = vec![service_entry("cart", "s1", &cart, "up"), service_entry("stock", "s2", &other, "up")];
    let setup = Setup::new(known).discovery(&discovery).set("/sidecar/services", json!(["cart", "pay/eu"]));
    let sidecar = setup.start();
    assert_eq!(discovery.watches.wait(1, "watches")[0], "/v1/servers?watch=1&after=7&models=cart,pay%2Feu");
    discovery.publish_changes(
        8,
        vec![service_entry("stock", "s3", &other, "up"), service_entry("cart", "s4", &spare, "draining")],
    );
    sidecar.wait_for_log("revision 8: ");
    for n in 0..20 {
        assert_eq!(sidecar.request(&read_request(&format!("r{n}"))).text(), "cart");
    }
    discovery.publish_changes(
        9,
        vec![service_entry("cart", "s4", &spare, "up"), service_entry("cart", "s1", &cart, "draining")],
    );
    sidecar.wait_for_log("revision 9: ");
    let before = cart.request_count();
    for n in 0..20 {
        assert!(sidecar.request(&read_request(&format!("q{n}"))).text().starts_with("spare"));
    }
    assert_eq!((cart.request_count(), other.request_count()), (before, 0));
    // A new request for the full list is restricted to these services too.
    discovery.set_full_list(9, vec![service_entry("cart", "s4", &spare, "up")]);
    discovery.close_watches();
    assert_eq!(
        discovery.list_calls.wait(1, "calls for the whole list")[0],
        "/v1/servers?models=cart,pay%2Feu"
    );
}

/// A list stored for other services lacks servers that no later change would bring.
#[test]
fn list_stored_for_other_services_is_not_used() {
    let cart = FakeServer::start(|_, _| ok("cart"));
    let pay = FakeServer::start(|_, _| ok("pay"));
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("list");
    let discovery = StubDiscovery::start();
    let setup = |services: &[&str]| {
        let file = json!(file.to_str().unwrap());
        Setup::new(vec![]).set("/sidecar/list_file", file).set("/sidecar/services", json!(services))
    };
    let sidecar = setup(&["cart"]).discovery(&discovery).start();
    discovery.watches.wait(1, "watches");
    discovery.publish_changes(
        9,
        vec![service_entry("cart", "s1", &cart, "up"), service_entry("pay", "s2", &pay, "up")],
    );
    let give_up_at = std::time::Instant::now() + WAIT_TIMEOUT;
    while !std::fs::read_to_string(&file).unwrap_or_default().contains("\"rev\":9") {
        assert!(std::time::Instant::now() < give_up_at, "the list was not stored");
        std::thread::yield_now();
    }
    drop(sidecar);
    let sidecar = setup(&["cart"]).start();
    sidecar.wait_for_log("revision 9, ");
    assert_eq!(sidecar.request(&read_request("r1")).text(), "cart");
    drop(sidecar);
    let again = StubDiscovery::start();
    let sidecar = setup(&["cart", "pay"]).discovery(&again).start();
    sidecar.wait_for_log("ignored, as it covers other services");
    // It starts from the configured revision, so that all servers are sent again.
    assert_eq!(again.watches.wait(1, "watches")[0], "/v1/servers?watch=1&after=7&models=cart,pay");
}

#[test]
fn invalid_list_of_services_fails_the_start_and_names_its_key() {
    for (services, message) in [
        (json!("cart"), "sidecar.services: \"cart\"; expected the names of the services called"),
        (json!([]), "sidecar.services: the list is empty; expected"),
        (json!(["cart", ""]), "sidecar.services: \"\" is not a name; expected"),
        (json!([7]), "sidecar.services: 7 is not a name; expected"),
        (
            json!(["x".repeat(16 << 10)]),
            "sidecar.services: the names have 16385 bytes in total, the maximum is 16384; expected",
        ),
    ] {
        let Exit { status, log } =
            Setup::new(vec![]).set("/sidecar/services", services).spawn().wait_for_exit();
        assert!(!status.success());
        assert!(log.contains(message), "{log}");
    }
}
