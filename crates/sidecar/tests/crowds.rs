//! Crowds of slow and of broken clients: the process keeps to the least memory that is configured, and good clients
//! beside them are served.

mod common;

use common::*;
use serde_json::json;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

const MEMORY_LIMIT_MIB: usize = 32;
const DESCRIPTORS: usize = 1024;
/// Connections that a crowd opens, and how many of them it keeps at a time.
const CROWD: usize = 1_500;
const KEPT: usize = 600;
/// Good clients, and the requests that each of them sends in a row.
const GOOD_CLIENTS: usize = 4;
const GOOD_REQUESTS: usize = 40;
const BETWEEN_GOOD_REQUESTS: Duration = Duration::from_millis(25);

fn setup(server: SocketAddr) -> Setup {
    Setup::new(vec![entry("s1", server, "up")])
        .set("/limits/memory_mb", json!(MEMORY_LIMIT_MIB))
        .set("/limits/sockets", json!(DESCRIPTORS))
        .set("/sidecar/log", json!("info"))
}

/// Opens connections one after the other, writes to each what the function gives, and keeps the youngest.
fn crowd(to: SocketAddr, over: &AtomicBool, bytes: impl Fn(usize) -> Vec<u8>) {
    let mut kept = std::collections::VecDeque::new();
    for number in 0..CROWD {
        if over.load(Ordering::SeqCst) {
            return;
        }
        let Ok(mut stream) = TcpStream::connect(to) else { continue };
        stream.set_write_timeout(Some(Duration::from_millis(20))).unwrap();
        // The sidecar may refuse it before it has read all.
        let _ = stream.write_all(&bytes(number));
        kept.push_back(stream);
        if kept.len() > KEPT {
            kept.pop_front();
        }
    }
}

/// Sends good requests, each on a new connection where the last one was closed; returns how many were served.
fn good_requests(sidecar: &Sidecar, client: usize) -> usize {
    let mut served = 0;
    for number in 0..GOOD_REQUESTS {
        let request = once_request(&format!("good{client}-{number}"));
        let mut connection = sidecar.connect();
        connection.send(&request);
        served +=
            usize::from(connection.read_response_or_close().is_some_and(|answer| answer.status() == 200));
        thread::sleep(BETWEEN_GOOD_REQUESTS);
    }
    served
}

/// Plays a crowd beside good clients: memory stays within the limit, and nine in ten good requests are served.
fn assert_crowd_is_borne(sidecar: &Sidecar, bytes: impl Fn(usize) -> Vec<u8> + Sync) {
    let over = AtomicBool::new(false);
    let served: usize = thread::scope(|scope| {
        scope.spawn(|| crowd(sidecar.listen, &over, &bytes));
        let clients: Vec<_> =
            (0..GOOD_CLIENTS).map(|client| scope.spawn(move || good_requests(sidecar, client))).collect();
        let served = clients.into_iter().map(|client| client.join().unwrap()).sum();
        over.store(true, Ordering::SeqCst);
        served
    });
    let peak = sidecar.peak_resident_memory();
    assert!(peak < MEMORY_LIMIT_MIB << 20, "{} KiB resident at the peak", peak >> 10);
    let good = GOOD_CLIENTS * GOOD_REQUESTS;
    assert!(10 * served >= 9 * good, "{served} of {good} good requests were served");
}

fn post_head(number: usize, length: &str) -> String {
    format!(
        "POST /once HTTP/1.1\r\nHost: x\r\nX-Request-ID: bad{number}\r\nX-Timeout: 0.74\r\n{length}\r\n\r\n"
    )
}

/// Guards against a process killed for its memory: half-written bodies of some hundreds of clients, those behind a refusal
/// included, were held in buffers that nobody counted.
#[test]
fn half_written_bodies_do_not_exceed_the_memory_limit() {
    let server = FakeServer::start(|_, _| ok("x"));
    let sidecar = setup(server.address).start();
    assert_crowd_is_borne(&sidecar, |number| {
        (post_head(number, "Content-Length: 65000") + &"b".repeat(60_000)).into_bytes()
    });
}

/// The same with chunks of one byte, each of which took many times its size.
#[test]
fn half_written_tiny_chunks_do_not_exceed_the_memory_limit() {
    let server = FakeServer::start(|_, _| ok("x"));
    let sidecar = setup(server.address).start();
    assert_crowd_is_borne(&sidecar, |number| {
        (post_head(number, "Transfer-Encoding: chunked") + &"1\r\nb\r\n".repeat(60_000)).into_bytes()
    });
}

/// The same with heads that do not end.
#[test]
fn half_written_heads_do_not_exceed_the_memory_limit() {
    let server = FakeServer::start(|_, _| ok("x"));
    let sidecar = setup(server.address).start();
    assert_crowd_is_borne(&sidecar, |number| {
        let head = post_head(number, "Content-Length: 4").trim_end().to_owned();
        (head + "\r\nX-Long: " + &"h".repeat(15_000)).into_bytes()
    });
}

/// The same with complete heads of very many short fields, whose decoded form takes many times their bytes.
#[test]
fn heads_of_many_short_fields_do_not_exceed_the_memory_limit() {
    let server = FakeServer::start(|_, _| ok("x"));
    let sidecar = setup(server.address).start();
    assert_crowd_is_borne(&sidecar, |number| {
        let fields: String = (0..88).map(|field| format!("{field}:\r\n")).collect();
        let head = post_head(number, &format!("{fields}Content-Length: 65000"));
        (head + &"b".repeat(30_000)).into_bytes()
    });
}

/// The same with bodies that are streamed to a server, whose clients stop half way.
#[test]
fn half_written_long_uploads_do_not_exceed_the_memory_limit() {
    let server = FakeServer::start(|_, _| ok("x"));
    let sidecar = setup(server.address).start();
    assert_crowd_is_borne(&sidecar, |number| {
        (post_head(number, "Content-Length: 900000") + &"b".repeat(300_000)).into_bytes()
    });
}
