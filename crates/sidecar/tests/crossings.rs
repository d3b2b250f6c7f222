//! Pairs of events that can cross, each forced into the order that does harm: what clients and servers then see.
//! `docs/crossings.md` has the table.

mod common;

use common::*;
use serde_json::json;
use std::io::{Read, Write};
use std::net::Shutdown;

/// Connections may take long to come up, and clients wait for long.
fn patient(setup: Setup) -> Setup {
    let long = json!(60_000_000);
    let setup = setup.set("/settings/limits/connect_timeout", long.clone());
    (0..3).fold(setup, |setup, n| {
        let of = |key: &str| format!("/settings/classes/{n}/{key}");
        setup.set(&of("aim"), long.clone()).set(&of("deadline"), long.clone())
    })
}

fn waits(request: String) -> String {
    request.replace("X-Timeout: 0.9", "X-Timeout: 60")
}

/// How a client leaves.
#[derive(Clone, Copy, Debug)]
enum Leaves {
    Closes,
    HalfCloses,
    Resets,
    /// It sends far more than is held of it, and closes: its end stands behind that.
    FloodsAndCloses,
}

/// Guards the operators' term that a request whose client has left is not sent on: an attempt that waited for its
/// connection was sent when that came up, whatever the settings say of calling off.
#[test]
fn what_waits_for_its_connection_is_taken_back_when_its_client_leaves() {
    for (cancel, leaves) in [
        (true, Leaves::Closes),
        (false, Leaves::Closes),
        (false, Leaves::HalfCloses),
        (true, Leaves::Resets),
        (false, Leaves::FloodsAndCloses),
    ] {
        let late = Late::new();
        let sidecar = patient(Setup::new(vec![entry("s1", late.address, "up")]))
            .set("/settings/limits/cancel", json!(cancel))
            .set("/sidecar/requests", json!(1))
            .start();
        let mut client = sidecar.connect();
        client.send(&waits(once("left")));
        sidecar.logged("attempt 0 of request 0 goes out");
        match leaves {
            Leaves::Closes => drop(client),
            Leaves::HalfCloses => client.stream.shutdown(Shutdown::Write).unwrap(),
            Leaves::Resets => client.reset(),
            Leaves::FloodsAndCloses => {
                client.send(&read("ahead").repeat(10_000));
                drop(client);
            }
        }
        sidecar.logged("attempt 0 of request 0 at s1: Moot");
        // Its one place is free, and its server has nothing of it, however long the connection takes to come up.
        let server = late.open(|_, _| ok("x"));
        assert_eq!(sidecar.ask(&waits(read("next"))).status(), 200, "{leaves:?}");
        assert_eq!(server.ids(), ["next"], "{leaves:?}, cancel {cancel}");
    }
}

/// The same where nothing of the request was read before its client had gone: it stood in the queue of the machine.
#[test]
fn what_waits_to_be_accepted_is_not_sent_on_when_its_client_has_left() {
    let server = Server::start(|_, _| ok("x"));
    let sidecar = Setup::new(vec![entry("s1", server.address, "up")]).start();
    // The connection that it has to the server is one that it could write to at once.
    assert_eq!(sidecar.ask(&read("before")).status(), 200);
    sidecar.signal("STOP");
    for n in 0..20 {
        let mut client = sidecar.connect();
        client.send(&once(&format!("left{n}")));
    }
    sidecar.signal("CONT");
    assert_eq!(sidecar.ask(&read("next")).status(), 200);
    assert_eq!(server.ids(), ["before", "next"]);
}

/// Guards a request that was taken: bytes behind it that can't be read ended its connection, and it with that.
#[test]
fn bytes_behind_a_request_in_hand_that_cannot_be_read_do_not_end_it() {
    let long = format!("GET /read HTTP/1.1\r\nX: {}", "x".repeat(200_000));
    for behind in ["\0 no HTTP\r\n\r\n", "GET /read HTTP/9.9\r\n\r\n", long.as_str()] {
        for at_once in [true, false] {
            let (gate, wait) = latch("served");
            let server = Server::start(move |_, _| wait.clone());
            let sidecar = Setup::new(vec![entry("s1", server.address, "up")]).start();
            let mut client = sidecar.connect();
            let (first, second) = if at_once { (once("r1") + behind, "") } else { (once("r1"), behind) };
            client.send(&first);
            server.requests.wait(1, "requests");
            client.send(second);
            gate.send(()).unwrap();
            assert_eq!(client.answer().text(), "served", "{behind:.20}, at once: {at_once}");
            let after = client.answer_or_end().map(|answer| answer.status());
            // What is more than is held of it counts as one that does not come whole.
            assert!(matches!(after, None | Some(400 | 431 | 503)), "{after:?}");
        }
    }
}

/// Guards the rule at the door: a request of a slow client whose last byte crosses the closing of its connection was lost
/// with it. It has its answer on the way, and what crosses that does not reset it.
#[test]
fn a_slow_request_is_told_so_and_its_last_byte_may_cross_that() {
    let server = Server::start(|_, _| ok("x"));
    let sidecar = Setup::new(vec![entry("s1", server.address, "up")])
        .set("/sidecar/client_request_ms", json!(200))
        .start();
    for (request, body) in [(read("slow"), 2), (once("slow"), 4)] {
        let mut client = sidecar.connect();
        let (first, last) = request.split_at(request.len() - body);
        client.send(first);
        // It has been told, and has not read that.
        assert_eq!(client.stream.peek(&mut [0]).unwrap(), 1);
        client.send(last);
        let mut told = String::new();
        client.stream.read_to_string(&mut told).expect("reset before its answer was read");
        assert!(told.starts_with("HTTP/1.1 503 ") && told.ends_with("\r\n\r\n"), "{told}");
        assert!(told.contains("\r\nConnection: close\r\n"), "{told}");
    }
    assert_eq!(server.count(), 0);
}

/// Guards a request that crosses the closing of its idle connection at the end: closed together with the listener, it
/// found nowhere to come again.
#[test]
fn at_the_end_idle_connections_are_closed_while_new_ones_are_still_taken() {
    let server = Server::start(|_, _| ok("x"));
    let sidecar = Setup::new(vec![entry("s1", server.address, "up")])
        .set("/sidecar/accept_after_term_ms", json!(6000))
        .set("/sidecar/end_after_term_ms", json!(60_000))
        .set("/sidecar/client_idle_ms", json!(600_000))
        .start();
    let mut idle = sidecar.connect();
    idle.send(&read("r1"));
    assert_eq!(idle.answer().status(), 200);
    sidecar.signal("TERM");
    idle.ended();
    let _ = idle.stream.write_all(read("r2").as_bytes());
    let again = sidecar.ask(&read("r2"));
    assert_eq!((again.status(), again.header("connection")), (200, Some("close")));
}
