//! Long answers to clients that read slowly but steadily: the sidecar takes the time until its socket has room again for a client
//! that reads no more, and cuts off what the server still gives.

#[path = "../harness-2.rs"]
mod harness;

use harness::*;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// Bytes a second that a slow client reads.
const RATE: f64 = 64_000.0;
/// It reads so much at a time: 16 times a second.
const PIECE: usize = 4_000;
/// The length of the answers, from client to client a little more.
const SHORTEST: usize = 5_600_000;
const STEP: usize = 60_000;
const CLIENTS: usize = 12;

/// The settings of the site's wire page.
const SETTINGS: &str = r#"{"balancers":2,"me":0,"zones":["ljubljana-1"],"tick":1000,"discovery":"pushed","classes":[
{"aim":300000,"deadline":740000,"gain":3.0,"group":"all","late_worth":0.0,"name":"standings","semantics":"retryable","stream":false,"window":5000000},
{"aim":300000,"deadline":740000,"gain":3.0,"group":"all","late_worth":0.0,"name":"match-result","semantics":"fragile","stream":false,"window":5000000}],
"limits":{"cancel":true,"conn_idle":5000000,"connect_timeout":200000,"max_open":40000,"parallel_tries":false,"probes":true,"try_limit":6},
"safety":{"cold":8600000,"cold_from":0.32,"drain_grace":1000000,"fall_multiple":2.5,"tip_after":3000000}}"#;

fn length_of(number: usize) -> usize {
    SHORTEST + number * STEP
}

/// Writes the whole answer as fast as the connection takes it.
fn serve(n: usize, record: &Record, request: &Message, stream: &mut TcpStream) -> io::Result<bool> {
    let id = request.header("x-request-id").to_owned();
    record.line(&format!("s{n} runs {id}"));
    thread::sleep(ms(30));
    let number = id.trim_start_matches('r').parse().unwrap_or(0);
    let body = vec![b'x'; length_of(number)];
    write!(stream, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len())?;
    let written = stream.write_all(&body);
    match &written {
        Ok(()) => record.line(&format!("s{n} has written its answer to {id}")),
        Err(error) => record.line(&format!("s{n} can't write the rest of its answer to {id}: {error}")),
    }
    written.map(|()| true)
}

/// Reads an answer steadily; returns whether it came whole.
fn client(number: usize, to: SocketAddr, record: &Record) -> bool {
    let id = format!("r{number}");
    let wanted = length_of(number);
    let mut received = Vec::new();
    let mut read = || -> io::Result<()> {
        let mut stream = TcpStream::connect(to)?;
        // Longer than the case lasts: the client itself never gives up.
        stream.set_read_timeout(Some(Duration::from_secs(120)))?;
        write!(
            stream,
            "POST /match-result HTTP/1.1\r\nHost: service.internal\r\nX-Request-ID: {id}\r\nX-Timeout: 0.740\r\nContent-Length: 6\r\n\r\nresult"
        )?;
        record.line(&format!("client {number} sends {id}"));
        let start = Instant::now();
        let mut total = 0;
        let mut head = None;
        let mut piece = vec![0; PIECE];
        while head.is_none_or(|head: usize| total < head + wanted) {
            let count = stream.read(&mut piece)?;
            if count == 0 {
                return Ok(());
            }
            total += count;
            received.extend_from_slice(&piece[..count]);
            head = head.or_else(|| received.windows(4).position(|four| four == b"\r\n\r\n").map(|at| at + 4));
            if trouble() {
                let due = Duration::from_secs_f64(total as f64 / RATE);
                thread::sleep(due.saturating_sub(start.elapsed()));
            }
        }
        Ok(())
    };
    let end =
        read().map_or_else(|error| error.to_string(), |()| "its connection ended or it was whole".to_owned());
    let head = received.windows(4).position(|four| four == b"\r\n\r\n").map_or(0, |at| at + 4);
    let served = received.starts_with(b"HTTP/1.1 200");
    let body = received.len().saturating_sub(head);
    record.line(&format!("client {number}: {id} has {body} bytes of {wanted}, served: {served}; {end}"));
    served && body == wanted
}

fn main() {
    guard();
    let record = Record::create("review/10");
    let folder = Folder::create();
    let entries: Vec<Entry> = (0..3)
        .map(|n| {
            let record = record.clone();
            let server = Server::start(Arc::new(move |request, stream| serve(n, &record, request, stream)));
            entry(&format!("s{n}"), server.address)
        })
        .collect();
    let discovery = Discovery::start(&record, &entries);
    let sidecar = Sidecar::start(&folder, "n0", discovery.address, &discovery.known(), SETTINGS, LIMITS, "")
        .expect("a sidecar");
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (to, record) = (sidecar.listen, record.clone());
            // One after the other, so that each finds an idle server.
            thread::sleep(ms(100));
            thread::spawn(move || client(number, to, &record))
        })
        .collect();
    let whole =
        clients.into_iter().map(|client| client.join().expect("a client")).filter(|whole| *whole).count();
    sidecar.copy_log(&record);
    drop(sidecar);
    drop(folder);
    let cut = CLIENTS - whole;
    finish(
        &record,
        i32::from(cut > 0),
        &format!("{cut} of {CLIENTS} answers were cut off while their client read on"),
    )
}
