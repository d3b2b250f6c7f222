//! A sidecar that names the services it calls: what it asks of discovery, and what it knows where discovery tells of all.

mod common;

use common::*;
use serde_json::{Value, json};

fn of(service: &str, uid: &str, server: &Server, state: &str) -> Value {
    let mut entry = entry(uid, server.address, state);
    entry["model"] = json!(service);
    entry
}

/// Discovery that passes the query by tells of all: nothing goes to a server of another service, and a drain counts.
#[test]
fn nothing_goes_to_servers_of_other_services() {
    let cart = Server::start(|_, _| ok("cart"));
    let [spare, other] = [(); 2].map(|()| Server::start(|n, _| ok(&format!("spare {n}"))));
    let discovery = Discovery::start();
    let known = vec![of("cart", "s1", &cart, "up"), of("stock", "s2", &other, "up")];
    let setup = Setup::new(known).discovery(&discovery).set("/sidecar/services", json!(["cart", "pay/eu"]));
    let sidecar = setup.start();
    assert_eq!(discovery.calls.wait(1, "watches")[0], "/v1/servers?watch=1&after=7&models=cart,pay%2Feu");
    discovery.send(8, false, vec![of("stock", "s3", &other, "up"), of("cart", "s4", &spare, "draining")]);
    sidecar.logged("revision 8: ");
    for n in 0..20 {
        assert_eq!(sidecar.ask(&read(&format!("r{n}"))).text(), "cart");
    }
    discovery.send(9, false, vec![of("cart", "s4", &spare, "up"), of("cart", "s1", &cart, "draining")]);
    sidecar.logged("revision 9: ");
    let before = cart.count();
    for n in 0..20 {
        assert!(sidecar.ask(&read(&format!("q{n}"))).text().starts_with("spare"));
    }
    assert_eq!((cart.count(), other.count()), (before, 0));
    // Asked for anew, the whole list is that of these services too.
    discovery.hold(9, vec![of("cart", "s4", &spare, "up")]);
    discovery.break_off();
    assert_eq!(discovery.lists.wait(1, "calls for the whole list")[0], "/v1/servers?models=cart,pay%2Feu");
}

/// What was kept for other services lacks servers that no later change would bring.
#[test]
fn a_list_kept_for_other_services_is_not_used() {
    let (cart, pay) = (Server::start(|_, _| ok("cart")), Server::start(|_, _| ok("pay")));
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("list");
    let discovery = Discovery::start();
    let setup = |services: &[&str]| {
        let file = json!(file.to_str().unwrap());
        Setup::new(vec![]).set("/sidecar/list_file", file).set("/sidecar/services", json!(services))
    };
    let sidecar = setup(&["cart"]).discovery(&discovery).start();
    discovery.calls.wait(1, "watches");
    discovery.send(9, false, vec![of("cart", "s1", &cart, "up"), of("pay", "s2", &pay, "up")]);
    let end = std::time::Instant::now() + PATIENCE;
    while !std::fs::read_to_string(&file).unwrap_or_default().contains("\"rev\":9") {
        assert!(std::time::Instant::now() < end, "the list is not kept");
        std::thread::yield_now();
    }
    drop(sidecar);
    let sidecar = setup(&["cart"]).start();
    sidecar.logged("revision 9, ");
    assert_eq!(sidecar.ask(&read("r1")).text(), "cart");
    drop(sidecar);
    let again = Discovery::start();
    let sidecar = setup(&["cart", "pay"]).discovery(&again).start();
    sidecar.logged("ignored, as it covers other services");
    // It begins with what it was told, so that all is told anew.
    assert_eq!(again.calls.wait(1, "watches")[0], "/v1/servers?watch=1&after=7&models=cart,pay");
}

#[test]
fn what_is_no_list_of_services_ends_the_start_with_its_key() {
    for (told, said) in [
        (json!("cart"), "sidecar.services: \"cart\"; expected the names of the services called"),
        (json!([]), "sidecar.services: the list is empty; expected"),
        (json!(["cart", ""]), "sidecar.services: \"\" is not a name; expected"),
        (json!([7]), "sidecar.services: 7 is not a name; expected"),
        (
            json!(["x".repeat(16 << 10)]),
            "sidecar.services: the names have 16385 bytes in total, the maximum is 16384; expected",
        ),
    ] {
        let (status, log) = Setup::new(vec![]).set("/sidecar/services", told).spawn().end();
        assert!(!status.success());
        assert!(log.contains(said), "{log}");
    }
}
