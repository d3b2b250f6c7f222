//! Long answers that a server writes slowly, in pieces: the sidecar takes a pause between two pieces for a spoilt answer, and
//! cuts off what the server still gives.

#[path = "../harness-2.rs"]
mod harness;

use harness::*;
use std::io::{self, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// Bytes of each answer: over 64 KiB.
const LENGTH: usize = 160_000;
/// 8,000 bytes each 125 ms are 64 kB a second.
const PIECE: usize = 8_000;
const PAUSE: Duration = Duration::from_millis(125);
const REQUESTS: usize = 12;

/// The settings of the site's wire page.
const SETTINGS: &str = r#"{"balancers":2,"me":0,"zones":["ljubljana-1"],"tick":1000,"discovery":"pushed","classes":[
{"aim":300000,"deadline":740000,"gain":3.0,"group":"all","late_worth":0.0,"name":"standings","semantics":"retryable","stream":false,"window":5000000},
{"aim":300000,"deadline":740000,"gain":3.0,"group":"all","late_worth":0.0,"name":"match-result","semantics":"fragile","stream":false,"window":5000000}],
"limits":{"cancel":true,"conn_idle":5000000,"connect_timeout":200000,"max_open":40000,"parallel_tries":false,"probes":true,"try_limit":6},
"safety":{"cold":8600000,"cold_from":0.32,"drain_grace":1000000,"fall_multiple":2.5,"tip_after":3000000}}"#;

/// The body of the answer to a request: its id, again and again.
fn body_of(id: &str) -> Vec<u8> {
    id.bytes().chain([b' ']).cycle().take(LENGTH).collect()
}

fn serve(n: usize, record: &Record, request: &Message, stream: &mut TcpStream) -> io::Result<bool> {
    let id = request.header("x-request-id").to_owned();
    record.line(&format!("s{n} runs {id}"));
    thread::sleep(ms(30));
    let body = body_of(&id);
    // The ids that end with an l get an answer with a length, the others one in chunks.
    let with_length = id.ends_with('l');
    if with_length {
        write!(stream, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len())?;
    } else {
        stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?;
    }
    for (number, piece) in body.chunks(PIECE).enumerate() {
        if trouble() {
            thread::sleep(PAUSE);
        }
        let written = if with_length {
            stream.write_all(piece)
        } else {
            let mut chunk = format!("{:x}\r\n", piece.len()).into_bytes();
            chunk.extend_from_slice(piece);
            chunk.extend_from_slice(b"\r\n");
            stream.write_all(&chunk)
        };
        if let Err(error) = written {
            record.line(&format!("s{n} can't write piece {number} of its answer to {id}: {error}"));
            return Err(error);
        }
    }
    if !with_length {
        stream.write_all(b"0\r\n\r\n")?;
    }
    record.line(&format!("s{n} has written its answer to {id}"));
    Ok(true)
}

fn main() {
    guard();
    let record = Record::create("review/9");
    let folder = Folder::create();
    let entries: Vec<Entry> = (0..2)
        .map(|n| {
            let record = record.clone();
            let server = Server::start(Arc::new(move |request, stream| serve(n, &record, request, stream)));
            entry(&format!("s{n}"), server.address)
        })
        .collect();
    let discovery = Discovery::start(&record, &entries);
    let sidecar = Sidecar::start(&folder, "n0", discovery.address, &discovery.known(), SETTINGS, LIMITS, "")
        .expect("a sidecar");
    let mut lost = 0;
    for number in 0..REQUESTS {
        let id = format!("r{number}{}", if number % 2 == 0 { "c" } else { "l" });
        let headers = [("X-Request-ID", id.as_str()), ("X-Timeout", "0.740")];
        record.line(&format!("the client sends {id}"));
        // A client of its own each time: it takes what comes, however slowly.
        let answer =
            Client::new(sidecar.listen).post("/match-result", &headers, "result", Duration::from_secs(5));
        let whole = answer.as_ref().is_ok_and(|answer| answer.status == 200 && answer.body == body_of(&id));
        let text = match answer {
            Ok(answer) => format!("{}, {} bytes", answer.status, answer.body.len()),
            Err(error) => error.to_string(),
        };
        record.line(&format!("the client is answered {id}: {text}"));
        lost += usize::from(!whole);
    }
    sidecar.copy_log(&record);
    drop(sidecar);
    drop(folder);
    let summary = format!("{lost} of {REQUESTS} answers were cut off while their server still gave them");
    finish(&record, i32::from(lost > 0), &summary)
}
