//! The memory limit: what clients send must not make the process exceed it.

mod common;

use common::*;
use serde_json::json;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// The configured memory limit in MiB.
const MEMORY_LIMIT_MIB: usize = 48;
/// Clients that send at the same time.
const PIPELINING_CLIENTS: usize = 20;
/// Bytes of requests that each of them sends at once.
const PIPELINED_BYTES: usize = 130_000;

fn setup(server: &FakeServer) -> Setup {
    Setup::new(vec![entry("s1", server.address, "up")])
        .set("/limits/memory_mb", json!(MEMORY_LIMIT_MIB))
        .set("/limits/sockets", json!(512))
        .set("/sidecar/log", json!("info"))
}

fn assert_within_memory_limit(sidecar: &Sidecar) {
    let peak = sidecar.peak_resident_memory();
    assert!(peak < MEMORY_LIMIT_MIB << 20, "{} MiB resident at the peak", peak >> 20);
}

/// Sends these bytes while it reads the responses, until the connection ends.
fn exchange(mut stream: TcpStream, bytes: &[u8]) -> String {
    let mut writer = stream.try_clone().unwrap();
    let mut received = Vec::new();
    thread::scope(|scope| {
        // The sidecar may close the connection before it has read everything.
        scope.spawn(move || writer.write_all(bytes));
        let _ = stream.read_to_end(&mut received);
    });
    String::from_utf8(received).unwrap()
}

/// Small requests, the last of which asks for the connection to be closed.
fn pipelined_requests(client: usize) -> Vec<u8> {
    let mut requests = String::new();
    for number in 0.. {
        let request = read_request(&format!("c{client}-{number}"));
        if requests.len() > PIPELINED_BYTES {
            requests.push_str(&request.replace("\r\n\r\n", "\r\nConnection: close\r\n\r\n"));
            break;
        }
        requests.push_str(&request);
    }
    requests.into_bytes()
}

/// Guards against a process killed for its memory: clients that pipelined 130 KB of requests took 13 MB each.
#[test]
fn pipelined_requests_do_not_exceed_the_memory_limit() {
    let server = FakeServer::start(|_, _| ok("x"));
    let sidecar = setup(&server).start();
    thread::scope(|scope| {
        for client in 0..PIPELINING_CLIENTS {
            let stream = sidecar.connect().stream;
            scope.spawn(move || {
                let responses = exchange(stream, &pipelined_requests(client));
                assert!(responses.starts_with("HTTP/1.1 "), "{responses}");
            });
        }
    });
    assert_within_memory_limit(&sidecar);
    assert_eq!(sidecar.request(&read_request("after")).status(), 200);
}

/// Clients that send long bodies at the same time, within the limit of client connections.
const UPLOADING_CLIENTS: usize = 230;
/// Bodies that each of them sends in a row.
const UPLOADS: usize = 4;
/// The largest body that is buffered.
const BUFFERED_BODY_BYTES: usize = 64 * 1024;

/// Guards against a process killed for its memory: bodies that were being received, and bytes behind them, were bounded
/// by the number of connections alone.
#[test]
fn bodies_of_a_crowd_do_not_exceed_the_memory_limit() {
    let server = FakeServer::start(|_, _| ok("x"));
    let sidecar = setup(&server).start();
    let body = "x".repeat(BUFFERED_BODY_BYTES);
    thread::scope(|scope| {
        for client in 0..UPLOADING_CLIENTS {
            let (stream, body) = (sidecar.connect().stream, &body);
            scope.spawn(move || {
                let uploads: String = (0..UPLOADS)
                    .map(|number| {
                        let close = if number + 1 == UPLOADS { "Connection: close\r\n" } else { "" };
                        let rest = format!("{close}Content-Length: {}\r\n\r\n{body}", body.len());
                        pay_request(&format!("c{client}-{number}"))
                            .replace("Content-Length: 4\r\n\r\nbody", &rest)
                    })
                    .collect();
                let responses = exchange(stream, uploads.as_bytes());
                assert!(responses.starts_with("HTTP/1.1 "), "{responses}");
            });
        }
    });
    assert_within_memory_limit(&sidecar);
    assert_eq!(sidecar.request(&read_request("after")).status(), 200);
}

/// Clients that read no response, within the limit of client connections.
const SILENT_READERS: usize = 400;
/// Receive buffer of such a client, in bytes.
const SMALL_RECEIVE_BUFFER: usize = 2048;
/// Time without a byte after which all buffers between a server and its client are taken to be full.
const NO_PROGRESS: Duration = Duration::from_millis(300);

/// A server whose responses never end, and the bytes that it has written.
struct EndlessServer {
    address: SocketAddr,
    written: Arc<AtomicUsize>,
}

impl EndlessServer {
    fn start() -> EndlessServer {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let server = EndlessServer { address: listener.local_addr().unwrap(), written: Arc::default() };
        let written = server.written.clone();
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let written = written.clone();
                thread::spawn(move || write_endless_response(stream, &written));
            }
        });
        server
    }

    /// Waits until nothing more is written.
    fn wait_until_blocked(&self) {
        let give_up_at = Instant::now() + WAIT_TIMEOUT;
        let mut last = (self.written.load(Ordering::SeqCst), Instant::now());
        while last.0 == 0 || last.1.elapsed() < NO_PROGRESS {
            assert!(Instant::now() < give_up_at, "the server is never blocked");
            let written = self.written.load(Ordering::SeqCst);
            if written != last.0 {
                last = (written, Instant::now());
            }
            thread::yield_now();
        }
    }
}

fn write_endless_response(mut stream: TcpStream, written: &AtomicUsize) {
    if stream.read(&mut [0; 4096]).is_err() || stream.write_all(b"HTTP/1.1 200 OK\r\n\r\n").is_err() {
        return;
    }
    while let Ok(count) = stream.write(&[b'x'; 1 << 16]) {
        written.fetch_add(count, Ordering::SeqCst);
    }
}

/// Sends a request from a connection with a small receive buffer, and waits for the start of its response.
fn send_without_reading(sidecar: &Sidecar, number: usize) -> TcpStream {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    socket.set_recv_buffer_size(SMALL_RECEIVE_BUFFER).unwrap();
    socket.connect(&sidecar.listen.into()).unwrap();
    let mut stream = TcpStream::from(socket);
    stream.write_all(read_request(&format!("r{number}")).as_bytes()).unwrap();
    stream.read_exact(&mut [0]).unwrap();
    stream
}

/// Guards against a process killed for its memory: a streamed response was not counted as an open request any more, so
/// that only the number of connections bounded the buffers of those that nobody reads.
#[test]
fn streamed_responses_that_nobody_reads_do_not_exceed_the_memory_limit() {
    let server = EndlessServer::start();
    let known = vec![entry("s1", server.address, "up")];
    let sidecar = Setup::new(known)
        .set("/limits/memory_mb", json!(MEMORY_LIMIT_MIB))
        .set("/limits/sockets", json!(1024))
        .set("/sidecar/log", json!("info"))
        .start();
    let clients: Vec<TcpStream> =
        (0..SILENT_READERS).map(|number| send_without_reading(&sidecar, number)).collect();
    server.wait_until_blocked();
    assert_within_memory_limit(&sidecar);
    drop(clients);
    // The places of the responses are given back with their connections.
    let give_up_at = Instant::now() + WAIT_TIMEOUT;
    loop {
        let mut client = sidecar.connect();
        client.send(&read_request("after"));
        let mut status = [0; 12];
        client.stream.read_exact(&mut status).unwrap();
        if status == *b"HTTP/1.1 200" {
            break;
        }
        assert!(Instant::now() < give_up_at, "{}", String::from_utf8_lossy(&status));
    }
}
