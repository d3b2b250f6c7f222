//! A client that sends at full speed on one connection: others are served in time beside it, and memory does not grow.

mod common;

use common::*;
use std::io::{Read, Write};
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// How long the greedy client sends.
const GREEDY_FOR: Duration = Duration::from_secs(3);
/// The time of the other clients.
const CLIENT_TIMEOUT: Duration = Duration::from_millis(900);
/// What memory may grow by between the first and the last second.
const MAX_GROWTH: usize = 4 << 20;

/// Sends what the function gives, again and again, on one connection after the other, and reads all that comes back.
fn send_at_full_speed(sidecar: &Sidecar, over: &AtomicBool, bytes: &(dyn Fn(usize) -> String + Sync)) {
    let mut number = 0;
    while !over.load(Ordering::SeqCst) {
        let mut stream = sidecar.connect().stream;
        let mut reader = stream.try_clone().unwrap();
        let reading = thread::spawn(move || {
            let mut part = vec![0; 1 << 16];
            while matches!(reader.read(&mut part), Ok(count) if count > 0) {}
        });
        while !over.load(Ordering::SeqCst) {
            let batch: String = (number..number + 100).map(bytes).collect();
            number += 100;
            if stream.write_all(batch.as_bytes()).is_err() {
                break;
            }
        }
        let _ = stream.shutdown(std::net::Shutdown::Both);
        reading.join().unwrap();
    }
}

fn assert_others_are_served(what: &str, bytes: impl Fn(usize) -> String + Sync) {
    let server = FakeServer::start(|_, _| ok("x"));
    let sidecar = Setup::new(vec![entry("s1", server.address, "up")])
        .set("/sidecar/log", serde_json::json!("info"))
        .start();
    let over = AtomicBool::new(false);
    thread::scope(|scope| {
        scope.spawn(|| send_at_full_speed(&sidecar, &over, &bytes));
        let start = Instant::now();
        let mut early_memory = None;
        let mut number = 0;
        while start.elapsed() < GREEDY_FOR {
            let sent = Instant::now();
            let served = sidecar.request(&once_request(&format!("other{number}"))).status();
            let took = sent.elapsed();
            if served != 200 || took > CLIENT_TIMEOUT {
                over.store(true, Ordering::SeqCst);
                panic!("{what}: request {number} was answered {served} after {took:?}");
            }
            if start.elapsed() > GREEDY_FOR / 3 && early_memory.is_none() {
                early_memory = Some(sidecar.resident_memory());
            }
            number += 1;
        }
        over.store(true, Ordering::SeqCst);
        let grown = sidecar.resident_memory().saturating_sub(early_memory.unwrap());
        assert!(grown < MAX_GROWTH, "{what}: memory grew by {grown} bytes");
    });
}

/// Guards against one client that takes all the time of the process, or makes it remember each name it sends.
#[test]
fn greedy_client_does_not_keep_others_from_being_served() {
    let long_name = "n".repeat(200);
    assert_others_are_served("sound requests", |n| read_request(&format!("greedy{n}")));
    assert_others_are_served("health checks", |_| "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n".to_owned());
    assert_others_are_served("new classes", |n| {
        read_request(&format!("g{n}")).replace("/read", &format!("/c{n}-{long_name}"))
    });
    assert_others_are_served("new tenants", |n| {
        read_request(&format!("g{n}")).replace("acme", &format!("t{n}-{long_name}"))
    });
    assert_others_are_served("new objects", |n| {
        read_request(&format!("g{n}"))
            .replace("\r\n\r\n", &format!("\r\nX-Attrs: object=o{n}-{long_name}\r\n\r\n"))
    });
    assert_others_are_served("noise", |_| "noise without an end\r\n\r\n".to_owned());
}
