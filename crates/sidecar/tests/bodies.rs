//! Long and slow bodies in both directions: streamed in bounded memory, and a truncated body is never passed
//! off as complete.

mod common;

use common::*;
use serde_json::json;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::mpsc::channel;
use std::thread;

const LONG_BODY_BYTES: usize = 32 << 20;

/// A setup whose only server handles each connection with this function.
fn setup_with_raw_server(act: impl Fn(TcpStream) + Send + Sync + 'static) -> Setup {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || listener.incoming().for_each(|stream| act(stream.unwrap())));
    Setup::new(vec![entry("s1", address, "up")])
}

/// The head of an HTTP message and the bytes read beyond it.
struct Head {
    text: String,
    rest: Vec<u8>,
}

/// Reads up to the end of a head.
fn read_head(stream: &mut TcpStream) -> Head {
    let mut bytes = Vec::new();
    loop {
        let mut part = [0; 4096];
        let n = stream.read(&mut part).unwrap();
        assert!(n > 0, "the connection was closed within a head");
        bytes.extend_from_slice(&part[..n]);
        if let Some(at) = bytes.windows(4).position(|w| w == b"\r\n\r\n") {
            let rest = bytes.split_off(at + 4);
            return Head { text: String::from_utf8(bytes).unwrap(), rest };
        }
    }
}

/// Guards the memory limit: a response is read from its server only as fast as its client reads it.
#[test]
fn long_responses_are_streamed_complete_in_bounded_memory() {
    let sidecar = setup_with_raw_server(|mut stream| {
        thread::spawn(move || {
            read_head(&mut stream);
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {LONG_BODY_BYTES}\r\n\r\n");
            stream.write_all(head.as_bytes()).unwrap();
            let part: Vec<u8> = (0..=255).cycle().take(1 << 16).collect();
            let _ = (0..LONG_BODY_BYTES >> 16).try_for_each(|_| stream.write_all(&part));
        });
    })
    .set("/limits/memory_mb", json!(48))
    .start();
    let mut clients: Vec<_> = (0..12).map(|_| sidecar.connect()).collect();
    for (n, client) in clients.iter_mut().enumerate() {
        client.send(&read_request(&format!("r{n}")));
    }
    // All twelve responses start before any of them is read; together they far exceed the limit.
    for client in &mut clients {
        let mut first = [0; 1];
        client.stream.read_exact(&mut first).unwrap();
    }
    assert!(sidecar.resident_memory() < 40 << 20, "{} bytes resident", sidecar.resident_memory());
    for client in &mut clients {
        let mut got = read_head(&mut client.stream).rest;
        while got.len() < LONG_BODY_BYTES {
            let mut part = vec![0; 1 << 20];
            let n = client.stream.read(&mut part).unwrap();
            assert!(n > 0, "the connection was closed after {} bytes", got.len());
            got.extend_from_slice(&part[..n]);
        }
        assert!(
            got.iter().zip((0..=255).cycle()).all(|(byte, expected)| *byte == expected)
                && got.len() == LONG_BODY_BYTES
        );
    }
    assert!(sidecar.resident_memory() < 48 << 20);
}

/// Shutdown while a response is half written to a slow client: the response completes, then the process
/// exits.
#[test]
fn long_response_in_flight_at_sigterm_completes() {
    let sidecar = setup_with_raw_server(|mut stream| {
        read_head(&mut stream);
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {LONG_BODY_BYTES}\r\n\r\n");
        // Allocated before the head is sent: on a busy machine the allocation took longer than a response may
        // stall.
        let body = vec![b'x'; LONG_BODY_BYTES];
        stream.write_all(head.as_bytes()).unwrap();
        let _ = stream.write_all(&body);
    })
    .set("/sidecar/accept_after_term_ms", json!(0))
    .set("/sidecar/end_after_term_ms", json!(60_000))
    .start();
    let mut client = sidecar.connect();
    client.send(&read_request("r1"));
    let mut got = vec![0; 1];
    client.stream.read_exact(&mut got).unwrap();
    sidecar.signal("TERM");
    sidecar.wait_for_log("shutting down");
    let _ = client.stream.read_to_end(&mut got);
    let body = got.windows(4).position(|w| w == b"\r\n\r\n").unwrap() + 4;
    assert_eq!(got.len() - body, LONG_BODY_BYTES);
    let Exit { status, log } = sidecar.wait_for_exit();
    assert!(status.success() && !log.contains("still open"), "{log}");
}

/// Guards against a truncated response that looks complete, with a content length and with chunked encoding.
#[test]
fn truncated_long_response_is_not_passed_off_as_complete() {
    for (length_header, chunk_head) in
        [("Content-Length: 200000", ""), ("Transfer-Encoding: chunked", "30d40\r\n")]
    {
        let sidecar = setup_with_raw_server(move |mut stream| {
            read_head(&mut stream);
            let head = format!("HTTP/1.1 200 OK\r\n{length_header}\r\n\r\n{chunk_head}");
            stream.write_all(head.as_bytes()).unwrap();
            stream.write_all(&vec![b'x'; 150_000]).unwrap();
        })
        .start();
        let mut client = sidecar.connect();
        client.send(&once_request("r1"));
        let mut got = Vec::new();
        let _ = client.stream.read_to_end(&mut got);
        let text = String::from_utf8_lossy(&got);
        assert!(text.starts_with("HTTP/1.1 200"), "{text:.60}");
        assert!(got.len() < 200_000 && !text.ends_with("0\r\n\r\n"), "{length_header}: {}", got.len());
    }
}

#[test]
fn response_delimited_by_connection_close_is_served() {
    for length in [0, 5, 100_000] {
        let sidecar = setup_with_raw_server(move |mut stream| {
            read_head(&mut stream);
            stream.write_all(b"HTTP/1.1 200 OK\r\n\r\n").unwrap();
            stream.write_all(&vec![b'x'; length]).unwrap();
        })
        .start();
        let mut client = sidecar.connect();
        client.send("GET /read HTTP/1.1\r\nHost: x\r\nX-Request-ID: r1\r\nConnection: close\r\n\r\n");
        let mut got = Vec::new();
        client.stream.read_to_end(&mut got).unwrap();
        let text = String::from_utf8(got).unwrap();
        assert!(text.starts_with("HTTP/1.1 200"), "{text:.60}");
        assert_eq!(text.matches('x').count(), length);
        assert!(length < 65_536 || text.ends_with("0\r\n\r\n"), "the last chunk is missing");
    }
}

/// The deadline of a request counts from its last byte. The first bytes of this one arrive earlier than the
/// last byte by more than the whole deadline.
#[test]
fn long_body_is_streamed_and_its_deadline_counts_from_its_last_byte() {
    let (head_sender, head_receiver) = channel();
    let (intact, receiver) = channel();
    let sidecar = setup_with_raw_server(move |mut stream| {
        let received = read_head(&mut stream);
        head_sender.send(received.text).unwrap();
        let mut body = received.rest;
        while body.len() < LONG_BODY_BYTES {
            let mut part = vec![0; 1 << 20];
            let n = stream.read(&mut part).unwrap();
            assert!(n > 0, "the connection was closed after {} bytes", body.len());
            body.extend_from_slice(&part[..n]);
        }
        // Compared after the response: on 32 MiB this takes as long as the deadline.
        stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok").unwrap();
        intact.send(body.iter().zip((0..=255).cycle()).all(|(byte, expected)| *byte == expected)).unwrap();
    })
    .set("/limits/memory_mb", json!(48))
    .set("/settings/classes/0/deadline", json!(300_000))
    .set("/settings/classes/0/aim", json!(300_000))
    .set("/settings/classes/1/deadline", json!(300_000))
    .set("/settings/classes/1/aim", json!(300_000))
    .start();
    let mut client = sidecar.connect();
    client.send(&format!(
        "POST /once HTTP/1.1\r\nHost: x\r\nX-Request-ID: r1\r\nContent-Length: {LONG_BODY_BYTES}\r\n\r\n"
    ));
    let body: Vec<u8> = (0..=255).cycle().take(LONG_BODY_BYTES).collect();
    client.stream.write_all(&body[..1 << 20]).unwrap();
    let head = head_receiver.recv_timeout(WAIT_TIMEOUT).unwrap().to_lowercase();
    assert!(head.contains(&format!("content-length: {LONG_BODY_BYTES}")), "{head}");
    // The upload outlasts the deadline of its class: another request with the same deadline, which the busy
    // server does not read, times out while the client still writes.
    assert_ne!(sidecar.request(&read_request("r2")).status(), 200);
    client.stream.write_all(&body[1 << 20..]).unwrap();
    assert_eq!(client.read_response().text(), "ok");
    assert!(receiver.recv_timeout(WAIT_TIMEOUT).unwrap(), "the body was altered");
    assert!(sidecar.resident_memory() < 48 << 20, "{}", sidecar.resident_memory());
}

/// Guards the rule that nothing runs twice, and the status that clients get: a truncated body was never run.
#[test]
fn truncated_long_body_is_not_served() {
    let server = FakeServer::start(|_, _| ok("x"));
    let sidecar = Setup::new(vec![entry("s1", server.address, "up")]).start();
    for n in 0..3 {
        let mut client = sidecar.connect();
        let head = format!(
            "POST /once HTTP/1.1\r\nHost: x\r\nX-Request-ID: r{n}\r\nContent-Length: {LONG_BODY_BYTES}\r\n\r\n"
        );
        client.send(&head);
        client.stream.write_all(&vec![b'x'; 1 << 18]).unwrap();
        let _ = client.stream.shutdown(std::net::Shutdown::Both);
    }
    assert_eq!(sidecar.request(&once_request("usual")).status(), 200);
    assert!(
        server.requests.all().iter().all(|request| request.message.header("x-request-id") == Some("usual"))
    );
}

/// Guards what servers receive: a second attempt sent the buffered part of a long body as if it were
/// complete.
#[test]
fn long_body_is_not_resent_in_part_by_a_second_attempt() {
    let (intact, receiver) = channel();
    let act = move |mut stream: TcpStream| {
        let intact = intact.clone();
        thread::spawn(move || {
            read_head(&mut stream);
            intact.send(()).unwrap();
            // The connection is closed in the middle of the body. The request never ran, and a short one
            // would be retried.
            let mut part = [0; 1000];
            let _ = stream.read(&mut part);
        });
    };
    let sidecar = setup_with_raw_server(act).start();
    let mut client = sidecar.connect();
    let head = format!(
        "POST /pay HTTP/1.1\r\nHost: x\r\nX-Request-ID: r1\r\nIdempotency-Key: k\r\nContent-Length: {LONG_BODY_BYTES}\r\n\r\n"
    );
    client.send(&head);
    let mut stream = client.stream.try_clone().unwrap();
    let writer = thread::spawn(move || stream.write_all(&vec![b'x'; LONG_BODY_BYTES]).is_ok());
    let answer = client.read_response_or_close();
    assert!(answer.is_none_or(|answer| answer.status() == 503), "the request never ran");
    drop(client);
    writer.join().unwrap();
    assert_eq!(receiver.try_iter().count(), 1, "attempts");
}

/// The server reads part of a long body and then stops, while its client stays connected. No deadline runs
/// before the last byte, so the attempt, its connection and its client were blocked for as long as both
/// stayed.
#[test]
fn server_that_stops_reading_a_long_body_does_not_block_its_client() {
    let (release, released) = channel::<()>();
    let released = std::sync::Mutex::new(released);
    let sidecar = setup_with_raw_server(move |mut stream| {
        read_head(&mut stream);
        let mut part = [0; 1000];
        let _ = stream.read(&mut part);
        let _ = released.lock().unwrap().recv_timeout(2 * WAIT_TIMEOUT);
    })
    .start();
    let mut client = sidecar.connect();
    client.send(&format!(
        "POST /once HTTP/1.1\r\nHost: x\r\nX-Request-ID: r1\r\nContent-Length: {LONG_BODY_BYTES}\r\n\r\n"
    ));
    let mut stream = client.stream.try_clone().unwrap();
    let writer = thread::spawn(move || stream.write_all(&vec![b'x'; LONG_BODY_BYTES]).is_ok());
    // Its last byte was never written, so it did not run anywhere.
    assert_eq!(client.read_response().status(), 503);
    drop(client);
    let _ = writer.join();
    release.send(()).unwrap();
}

/// Guards against two attempts that read one body: both waited for their connections, and when these came up each sent
/// a part of it. A server ran what no client had sent, or the client was never answered.
#[test]
fn long_body_is_sent_by_one_of_two_attempts_that_waited_for_their_connections() {
    const BODY_BYTES: usize = 1 << 20;
    let late = [SaturatedListener::new(), SaturatedListener::new()];
    let folder = tempfile::tempdir().unwrap();
    let limits = folder.path().join("limits.toml");
    let text = "[[route]]\nname = 'pays'\nmatch = { class = 'pay' }\nsecond_copy = { after = '10ms' }";
    std::fs::write(&limits, text).unwrap();
    let known = vec![entry("s1", late[0].address, "up"), entry("s2", late[1].address, "up")];
    let mut setup = Setup::new(known)
        .long_timeouts()
        .set("/settings/limits/parallel_tries", json!(true))
        .set("/settings/classes/2/window", json!(60_000_000));
    setup.env.push(("EDGE_LIMITS", limits.display().to_string()));
    let sidecar = setup.start();
    let mut client = sidecar.connect();
    client.send(&format!(
        "POST /pay HTTP/1.1\r\nHost: x\r\nX-Request-ID: r1\r\nX-Timeout: 60\r\nIdempotency-Key: k\r\n\
         Content-Length: {BODY_BYTES}\r\n\r\n"
    ));
    let body: Vec<u8> = (0..=255).cycle().take(BODY_BYTES).collect();
    client.stream.write_all(&body[..BODY_BYTES / 2]).unwrap();
    sidecar.wait_for_log("attempt 1 of request 0 goes out");
    let servers = late.map(|listener| {
        let queued = listener.queued_connections();
        let server = listener.open_as_server(|_, _| ok("ran"));
        (server, queued)
    });
    for (server, queued) in &servers {
        server.opened.wait(queued + 1, "connections");
    }
    for part in body[BODY_BYTES / 2..].chunks(1 << 14) {
        client.stream.write_all(part).unwrap();
    }
    assert_eq!(client.read_response().text(), "ran");
    let received: Vec<_> = servers.iter().flat_map(|(server, _)| server.requests.all()).collect();
    assert_eq!(received.len(), 1, "attempts that were written completely");
    assert!(received[0].message.body == body, "the body was altered");
}
