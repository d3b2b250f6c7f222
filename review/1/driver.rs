//! Case 1: a long request body, a second copy, and a connection that comes up late.

#[path = "../standins.rs"]
mod standins;

use standins::*;
use std::io::Write;
use std::net::TcpStream;
use std::sync::{Arc, Mutex};
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

const CLASS: &str = "keyed-send";
/// How long a client waits after the last byte, in seconds.
const TIMEOUT_S: f64 = 3.0;
/// A request has to get its answer by half a second after its time.
const SLACK_S: f64 = 0.5;
const UPLOAD_BYTES: usize = 320 * 1024;
const BYTES_PER_S: usize = 64 * 1024;
const UPLOADS: usize = 6;
const ROUNDS: usize = 6;

/// The body of a request: each eight bytes hold its number and their place.
fn body_of(number: u64, length: usize) -> Vec<u8> {
    let words = (0..length / 8).map(|at| (number << 32 | at as u64).to_be_bytes());
    words.flatten().collect()
}

fn main() {
    let (case, work) = folders();
    let record = Record::create(&case.join("record.txt"));
    let sent: Arc<Mutex<std::collections::HashMap<String, Vec<u8>>>> = Arc::default();
    let serve: Serve = {
        let (record, sent) = (record.clone(), sent.clone());
        Arc::new(move |name, request| {
            if request.target() == "/healthz" || request.target() == "/load" {
                return Reply::Ok(String::new());
            }
            let id = request.header("x-request-id").to_owned();
            let Some(body) = sent.lock().unwrap().get(&id).cloned() else {
                record.broken(&format!("{name} was sent a request {id} that no client sent"));
                return Reply::Status(400);
            };
            let length = request.body.len();
            if length > 64 * 1024 {
                record.line(&format!("{name} runs {id}, body of {length} bytes"));
            }
            if body != request.body {
                record.broken(&format!(
                    "{name} was sent request {id} with a body of {length} bytes that no client sent: it sent {}",
                    body.len()
                ));
            }
            thread::sleep(Duration::from_millis(30));
            Reply::Ok(format!("{name} ran {id}"))
        })
    };
    let servers: Vec<Server> = (1..=3).map(|n| Server::start(&format!("s-{n}"), serve.clone())).collect();
    let entries: Vec<(String, String)> =
        servers.iter().map(|s| (s.name.clone(), entry(&s.name, s.address, "hall-a", 1, "up"))).collect();
    let discovery = Discovery::start(&entries);
    // istanbul-push with its times multiplied by about 16 (aim 82 ms, deadline 210 ms, connect_timeout 75 ms, window 1 s), the deadline no longer than 3 s.
    let settings = format!(
        r#"{{"zones":["hall-a","hall-b"],"locality":0,"balancers":3,"me":0,"discovery":"pushed",
"classes":[{{"name":"{CLASS}","aim":1300000,"deadline":3000000,"gain":10.0,"late_worth":0.0,"semantics":"dedup","group":"zone","window":16000000}},
{{"name":"once-send","aim":1300000,"deadline":3000000,"gain":8.0,"late_worth":0.0,"semantics":"fragile"}}],
"limits":{{"try_limit":3,"parallel_tries":true,"cancel":true,"retry_after":false,"probes":true,
"connect_timeout":1200000,"conn_idle":2000000,"max_open":2000}},
"safety":{{"drain_grace":500000,"cold":8900000,"cold_from":0.34}},"stats":{{"fields":["inflight","queue","util"],"how":"inline"}}}}"#
    );
    let listen = free_address();
    let sidecar = start_sidecar(
        &record,
        &work,
        &SidecarConfig {
            name: "n1",
            listen,
            console: None,
            discovery: discovery.address,
            known: &discovery.list(),
            settings: &settings,
            limits_file: None,
        },
    );
    let mut number = 0;
    for round in 0..ROUNDS {
        // Usual short requests.
        for _ in 0..30 {
            number += 1;
            let (id, body) = (new_id(), body_of(number, 256));
            sent.lock().unwrap().insert(id.clone(), body.clone());
            let (ended, _) = send(sidecar.listen, &id, &body, usize::MAX);
            judge(&record, &id, &ended);
        }
        // All connections to servers rest until they are closed.
        thread::sleep(Duration::from_millis(2500));
        if trouble() {
            record.line(&format!("round {round}: for 0.9 s new connections to s-1 come up late"));
            servers[0].late.store(true, Ordering::SeqCst);
            thread::sleep(Duration::from_millis(30));
        }
        let clients: Vec<_> = (0..UPLOADS)
            .map(|_| {
                number += 1;
                let (id, body) = (new_id(), body_of(number, UPLOAD_BYTES));
                sent.lock().unwrap().insert(id.clone(), body.clone());
                let (record, listen) = (record.clone(), sidecar.listen);
                thread::sleep(Duration::from_millis(5));
                thread::spawn(move || {
                    record.line(&format!("client sends {id}, {UPLOAD_BYTES} bytes"));
                    let (ended, took) = send(listen, &id, &body, BYTES_PER_S);
                    record.line(&format!("client of {id}: {ended:?}, {took:.3} s after its last byte"));
                    judge(&record, &id, &ended);
                })
            })
            .collect();
        for client in clients {
            client.join().unwrap();
        }
        if record.broken.load(Ordering::SeqCst) {
            break;
        }
    }
    if !all_running() {
        record.broken("the sidecar has ended");
    }
    record.finish();
}

fn judge(record: &Record, id: &str, ended: &Ended) {
    match ended {
        Ended::Answered(200, text) if !text.ends_with(&format!("ran {id}")) => {
            record.broken(&format!("request {id} was served with an answer of another request: {text}"));
        }
        Ended::Answered(..) => {}
        Ended::Nothing => record.broken(&format!(
            "request {id} has no answer {} s after its last byte", TIMEOUT_S + SLACK_S
        )),
        Ended::Closed(why) => record.broken(&format!("the connection of request {id} {why}")),
    }
}

/// Sends a keyed request with a chunked body; returns how it ended and how long after its last byte.
fn send(listen: std::net::SocketAddr, id: &str, body: &[u8], bytes_per_s: usize) -> (Ended, f64) {
    let mut stream = TcpStream::connect(listen).unwrap();
    stream.set_nodelay(true).unwrap();
    let chunked = std::env::var("FORM").as_deref() != Ok("length");
    let framing =
        if chunked { "Transfer-Encoding: chunked".to_owned() } else { format!("Content-Length: {}", body.len()) };
    let head = format!(
        "POST /{CLASS} HTTP/1.1\r\nHost: service.internal\r\nX-Request-ID: {id}\r\nIdempotency-Key: k{id}\r\nX-Timeout: {TIMEOUT_S:.3}\r\n{framing}\r\n\r\n"
    );
    let mut ok = stream.write_all(head.as_bytes()).is_ok();
    let begun = Instant::now();
    let mut done = 0;
    for piece in body.chunks(4096) {
        let text = if chunked { format!("{:x}\r\n", piece.len()) } else { String::new() };
        let end: &[u8] = if chunked { b"\r\n" } else { b"" };
        ok = ok && stream.write_all(&[text.as_bytes(), piece, end].concat()).is_ok();
        done += piece.len();
        if bytes_per_s != usize::MAX && done > 128 * 1024 {
            // The first part comes at once, the rest at the stated rate.
            let due = Duration::from_secs_f64((done - 128 * 1024) as f64 / bytes_per_s as f64);
            thread::sleep(due.saturating_sub(begun.elapsed()));
        }
    }
    if chunked {
        ok = ok && stream.write_all(b"0\r\n\r\n").is_ok();
    }
    let _ = ok;
    let last = Instant::now();
    let ended = read_answer(&stream, Duration::from_secs_f64(TIMEOUT_S + SLACK_S));
    (ended, last.elapsed().as_secs_f64())
}
