//! Long bodies that one side writes or reads slowly: progress keeps them alive, however long they take.

mod common;

use common::*;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

/// Starts a server that handles each connection with this function.
fn raw_server(handle: impl Fn(TcpStream) + Send + Sync + Clone + 'static) -> SocketAddr {
    serve_on(TcpListener::bind("127.0.0.1:0").unwrap(), handle)
}

/// The same with small receive buffers, so that what it does not read is not sent either.
fn raw_server_with_small_buffers(handle: impl Fn(TcpStream) + Send + Sync + Clone + 'static) -> SocketAddr {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    socket.set_recv_buffer_size(SMALL_RECEIVE_BUFFER).unwrap();
    socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
    socket.listen(16).unwrap();
    serve_on(TcpListener::from(socket), handle)
}

/// Receive buffer of such a server, in bytes.
const SMALL_RECEIVE_BUFFER: usize = 4096;

fn serve_on(listener: TcpListener, handle: impl Fn(TcpStream) + Send + Sync + Clone + 'static) -> SocketAddr {
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let handle = handle.clone();
            thread::spawn(move || handle(stream));
        }
    });
    address
}

/// Reads a response whose body ends with its connection, or has the given length; returns the number of its bytes.
fn read_body_bytes(stream: &mut impl Read, mut received: Vec<u8>, length: usize) -> usize {
    let mut part = vec![0; 1 << 16];
    let body_bytes = |received: &[u8]| {
        let head =
            received.windows(4).position(|four| four == b"\r\n\r\n").map_or(received.len(), |at| at + 4);
        received.len() - head
    };
    while body_bytes(&received) < length {
        match stream.read(&mut part) {
            Ok(0) | Err(_) => break,
            Ok(count) => received.extend_from_slice(&part[..count]),
        }
    }
    body_bytes(&received)
}

/// Half the rate of the slowest readers, in bytes a second, so that the longest wait for room comes at the start.
const SLOW_RATE: f64 = 32_000.0;
/// What they read at a time.
const SLOW_READ_BYTES: usize = 4_000;
/// Longer than a client that takes nothing is waited for.
const SLOW_READING: Duration = Duration::from_secs(26);
/// More than the system buffers between the server and its client, and than is read slowly.
const LONG_RESPONSE_BYTES: usize = 9_000_000;

/// Guards against a long response cut off while its client reads it steadily: the time until the socket had room again
/// was taken for that of a client that reads no more.
#[test]
fn long_response_is_not_cut_off_while_its_client_reads_slowly() {
    let server = raw_server(|mut stream| {
        let _ = stream.read(&mut [0; 4096]);
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {LONG_RESPONSE_BYTES}\r\n\r\n");
        let _ = stream.write_all(head.as_bytes());
        let _ = stream.write_all(&vec![b'x'; LONG_RESPONSE_BYTES]);
    });
    let sidecar = Setup::new(vec![entry("s1", server, "up")]).start();
    let mut stream = sidecar.connect().stream;
    stream.write_all(once_request("r1").as_bytes()).unwrap();
    let start = Instant::now();
    let mut received = Vec::new();
    let mut part = [0; SLOW_READ_BYTES];
    while start.elapsed() < SLOW_READING {
        let count = stream.read(&mut part).unwrap();
        received.extend_from_slice(&part[..count]);
        let due = Duration::from_secs_f64(received.len() as f64 / SLOW_RATE);
        thread::sleep(due.saturating_sub(start.elapsed()));
    }
    assert_eq!(read_body_bytes(&mut stream, received, LONG_RESPONSE_BYTES), LONG_RESPONSE_BYTES);
}

/// How a server tells the end of its response.
#[derive(Clone, Copy, Debug)]
enum Framing {
    Length,
    Chunked,
    UntilClose,
}

/// Writes a response of `pieces` pieces with a pause before each.
fn write_in_pieces(stream: &mut TcpStream, framing: Framing, piece: usize, pieces: usize, pause: Duration) {
    let head = match framing {
        Framing::Length => format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", piece * pieces),
        Framing::Chunked => "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".to_owned(),
        Framing::UntilClose => "HTTP/1.1 200 OK\r\n\r\n".to_owned(),
    };
    let _ = stream.write_all(head.as_bytes());
    let bytes = match framing {
        Framing::Length | Framing::UntilClose => vec![b'x'; piece],
        Framing::Chunked => format!("{piece:x}\r\n{}\r\n", "x".repeat(piece)).into_bytes(),
    };
    for _ in 0..pieces {
        thread::sleep(pause);
        if stream.write_all(&bytes).is_err() {
            return;
        }
    }
    if matches!(framing, Framing::Chunked) {
        let _ = stream.write_all(b"0\r\n\r\n");
    }
}

/// The number of bytes `x` that a client is served, which is that of the body, however it is framed.
fn served_body_bytes(sidecar: &Sidecar, request: &str) -> usize {
    let mut stream = sidecar.connect().stream;
    stream.write_all(request.replace("\r\n\r\n", "\r\nConnection: close\r\n\r\n").as_bytes()).unwrap();
    let mut received = Vec::new();
    let _ = stream.read_to_end(&mut received);
    let head = received.windows(4).position(|four| four == b"\r\n\r\n").map_or(0, |at| at + 4);
    if !received.starts_with(b"HTTP/1.1 200 ") {
        return 0;
    }
    received[head..].iter().filter(|byte| **byte == b'x').count()
}

/// Guards against a long response cut off within a pause of its server, which was taken for a stall: the body came
/// slowly in pieces, or long after the head.
#[test]
fn long_response_is_not_cut_off_while_its_server_writes_slowly() {
    for framing in [Framing::Length, Framing::Chunked, Framing::UntilClose] {
        for (piece, pieces, pause) in [(8_000, 12, 125), (60_000, 3, 500), (90_000, 1, 1_200)] {
            let pause = Duration::from_millis(pause);
            let server = raw_server(move |mut stream| {
                let _ = stream.read(&mut [0; 4096]);
                write_in_pieces(&mut stream, framing, piece, pieces, pause);
            });
            let sidecar = Setup::new(vec![entry("s1", server, "up")]).start();
            for request in [once_request("r1"), read_request("r2"), pay_request("r3")] {
                let served = served_body_bytes(&sidecar, &request);
                assert_eq!(served, piece * pieces, "{framing:?}, {piece} bytes each {pause:?}: {request}");
            }
        }
    }
}

/// Reads a request at this rate until its body is complete, then answers.
fn read_slowly(mut stream: TcpStream, bytes_per_s: f64, body_bytes: usize) {
    let start = Instant::now();
    let mut total = 0;
    let mut part = vec![0; 16_000];
    while total < body_bytes {
        match stream.read(&mut part) {
            Ok(0) | Err(_) => return,
            Ok(count) => total += count,
        }
        thread::sleep(Duration::from_secs_f64(total as f64 / bytes_per_s).saturating_sub(start.elapsed()));
    }
    let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
}

/// Sends a long upload at full speed; returns the status line and the time from the last byte sent to it.
fn upload(sidecar: &Sidecar, id: &str, length: &str, body: &[u8]) -> (String, Duration) {
    let mut stream = sidecar.connect().stream;
    let head = once_request(id).replace("Content-Length: 4", length).replace("\r\n\r\nbody", "\r\n\r\n");
    stream.write_all(head.as_bytes()).unwrap();
    // The sidecar may answer before it has read all.
    let _ = stream.write_all(body);
    let sent = Instant::now();
    let mut status = [0; 12];
    let _ = stream.read_exact(&mut status);
    (String::from_utf8_lossy(&status).into_owned(), sent.elapsed())
}

/// The time of the clients of these tests, and by how much an answer may be late.
const CLIENT_TIMEOUT: Duration = Duration::from_millis(900);
const MAX_LATENESS: Duration = Duration::from_millis(500);

/// Guards against a final answer seconds after its time: the client had sent its body, which waited in buffers while the
/// server read it slowly, and its time was counted from the last byte that the server took.
#[test]
fn upload_that_its_server_reads_slowly_is_answered_in_time() {
    const BODY_BYTES: usize = 5_000_000;
    let server = raw_server_with_small_buffers(|stream| read_slowly(stream, 75_000.0, BODY_BYTES));
    let sidecar = Setup::new(vec![entry("s1", server, "up")]).start();
    let chunk = format!("{BODY_BYTES:x}\r\n{}\r\n0\r\n\r\n", "x".repeat(BODY_BYTES));
    let plain = "x".repeat(BODY_BYTES);
    let cases = [
        ("Transfer-Encoding: chunked".to_owned(), chunk.as_bytes()),
        (format!("Content-Length: {BODY_BYTES}"), plain.as_bytes()),
    ];
    for (number, (length, body)) in cases.iter().enumerate() {
        let (status, after) = upload(&sidecar, &format!("r{number}"), length, body);
        assert!(matches!(status.as_str(), "HTTP/1.1 502" | "HTTP/1.1 503"), "{length}: {status:?}");
        assert!(after < CLIENT_TIMEOUT + MAX_LATENESS, "{length}: answered after {after:?}");
    }
}

/// The other side of it: an upload that takes longer than the client's time is served while both sides make progress.
#[test]
fn long_upload_is_served_while_it_makes_progress() {
    const BODY_BYTES: usize = 24 << 20;
    let server = raw_server(|stream| read_slowly(stream, 16e6, BODY_BYTES));
    let sidecar = Setup::new(vec![entry("s1", server, "up")]).start();
    let (status, _) =
        upload(&sidecar, "r1", &format!("Content-Length: {BODY_BYTES}"), &vec![b'x'; BODY_BYTES]);
    assert_eq!(status, "HTTP/1.1 200");
}

/// Guards against an attempt that begins after its client has closed: the rest of a body, still unread by then, was sent
/// on to a server that read it slowly.
#[test]
fn upload_is_not_sent_on_after_its_client_closed() {
    const BODY_BYTES: usize = 6_000_000;
    let (ended, received) = std::sync::mpsc::channel();
    let server = raw_server_with_small_buffers(move |mut stream| {
        let mut total = 0;
        let mut part = vec![0; 16_000];
        while let Ok(count @ 1..) = stream.read(&mut part) {
            total += count;
            thread::sleep(Duration::from_secs_f64(count as f64 / 8e6));
        }
        let _ = ended.send(total);
    });
    let sidecar = Setup::new(vec![entry("s1", server, "up")]).start();
    let mut stream = sidecar.connect().stream;
    let length = format!("Content-Length: {BODY_BYTES}");
    let head = once_request("r1").replace("Content-Length: 4", &length).replace("\r\n\r\nbody", "\r\n\r\n");
    stream.write_all(head.as_bytes()).unwrap();
    stream.write_all(&vec![b'x'; BODY_BYTES]).unwrap();
    drop(stream);
    let total = received.recv_timeout(WAIT_TIMEOUT).unwrap();
    assert!(total < BODY_BYTES, "the server received the whole request");
}
