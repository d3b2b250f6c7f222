//! Half-written requests by the hundred: what the sidecar holds for them goes over its memory limit, whatever it counts.

#[path = "../harness-2.rs"]
mod harness;

use harness::*;
use std::collections::VecDeque;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// The least memory that the pages tell, and the most descriptors.
const SMALL: Limits = Limits { memory_mb: 32, sockets: 1024 };
/// The body of a bad client's request, and how much of it is ever sent.
const BODY: usize = 65_000;
const SENT: usize = 60_000;
/// Connections that bad clients hold at most, and how many they open in a tenth of a second.
const HELD: usize = 600;
const AT_ONCE: usize = 60;
const LASTS: Duration = Duration::from_secs(12);

/// The settings of the site's wire page.
const SETTINGS: &str = r#"{"balancers":2,"me":0,"zones":["ljubljana-1"],"tick":1000,"discovery":"pushed","classes":[
{"aim":300000,"deadline":740000,"gain":3.0,"group":"all","late_worth":0.0,"name":"standings","semantics":"retryable","stream":false,"window":5000000},
{"aim":300000,"deadline":740000,"gain":3.0,"group":"all","late_worth":0.0,"name":"match-result","semantics":"fragile","stream":false,"window":5000000}],
"limits":{"cancel":true,"conn_idle":5000000,"connect_timeout":200000,"max_open":40000,"parallel_tries":false,"probes":true,"try_limit":6},
"safety":{"cold":8600000,"cold_from":0.32,"drain_grace":1000000,"fall_multiple":2.5,"tip_after":3000000}}"#;

/// Resident memory of a process that is its own, not that of files, in KiB.
fn own_memory(process: u32) -> Option<u64> {
    let text = std::fs::read_to_string(format!("/proc/{process}/status")).ok()?;
    let line = text.lines().find(|line| line.starts_with("RssAnon:"))?;
    line.split_whitespace().nth(1)?.parse().ok()
}

/// Bad clients: each sends a head and most of a body, and stays. The oldest go as new ones come. Returns how many there were.
fn half_written(to: SocketAddr, over: &AtomicBool) -> usize {
    let body = "b".repeat(SENT);
    let mut held: VecDeque<TcpStream> = VecDeque::new();
    let mut opened = 0;
    while !over.load(Ordering::SeqCst) {
        for _ in 0..AT_ONCE {
            let Ok(mut stream) = TcpStream::connect_timeout(&to, ms(200)) else { continue };
            let head = format!(
                "POST /match-result HTTP/1.1\r\nHost: service.internal\r\nX-Request-ID: bad{opened}\r\nX-Timeout: 0.740\r\n\
                 Content-Length: {BODY}\r\n\r\n"
            );
            let _ = stream.set_write_timeout(Some(ms(50)));
            let _ = stream.write_all(head.as_bytes()).and_then(|()| stream.write_all(body.as_bytes()));
            held.push_back(stream);
            opened += 1;
        }
        while held.len() > HELD {
            held.pop_front();
        }
        thread::sleep(ms(100));
    }
    opened
}

fn main() {
    guard();
    let record = Record::create("review/8");
    let folder = Folder::create();
    let entries: Vec<Entry> = (0..3)
        .map(|n| {
            let record = record.clone();
            let server = Server::start(Arc::new(move |request, stream| {
                let id = request.header("x-request-id").to_owned();
                record.line(&format!("s{n} runs {id}"));
                thread::sleep(ms(50));
                write_answer(stream, "200 OK", "", &id)?;
                Ok(true)
            }));
            entry(&format!("s{n}"), server.address)
        })
        .collect();
    let discovery = Discovery::start(&record, &entries);
    let sidecar = Sidecar::start(&folder, "n0", discovery.address, &discovery.known(), SETTINGS, SMALL, "")
        .expect("a sidecar");
    let over = Arc::new(AtomicBool::new(false));
    let served = Arc::new(AtomicU64::new(0));
    // The usual clients: eight, with a request each 0.1 s.
    let usual: Vec<_> = (0..8)
        .map(|number| {
            let (to, record, over, served) = (sidecar.listen, record.clone(), over.clone(), served.clone());
            thread::spawn(move || {
                let mut client = Client::new(to);
                for n in 0.. {
                    if over.load(Ordering::SeqCst) {
                        return;
                    }
                    let id = format!("c{number}-{n}");
                    let headers = [("X-Request-ID", id.as_str()), ("X-Timeout", "0.740")];
                    let answer = client.get("/standings", &headers, Duration::from_secs(2));
                    served.fetch_add(
                        u64::from(answer.as_ref().is_ok_and(|answer| answer.status == 200)),
                        Ordering::SeqCst,
                    );
                    let text =
                        answer.map_or_else(|error| error.to_string(), |answer| answer.status.to_string());
                    record.line(&format!("client {number}: {id}: {text}"));
                    thread::sleep(ms(100));
                }
            })
        })
        .collect();
    let bad = trouble().then(|| {
        let (to, over) = (sidecar.listen, over.clone());
        thread::spawn(move || half_written(to, &over))
    });
    let limit = SMALL.memory_mb * 1024;
    let start = Instant::now();
    let mut most = 0;
    let mut samples = 0;
    while start.elapsed() < LASTS && most <= limit {
        if let Some(memory) = own_memory(sidecar.pid()) {
            samples += 1;
            if memory > most {
                most = memory;
                record.line(&format!("memory of the sidecar: {memory} KiB of {limit}"));
            }
        }
        thread::sleep(ms(20));
    }
    if most > limit {
        // The platform kills a sidecar that goes over its limit.
        record.line("the sidecar is over its limit: it is killed");
        sidecar.signal("KILL");
        thread::sleep(ms(300));
    }
    over.store(true, Ordering::SeqCst);
    usual.into_iter().for_each(|client| drop(client.join()));
    let opened = bad.map_or(0, |bad| bad.join().unwrap_or(0));
    sidecar.copy_log(&record);
    drop(sidecar);
    drop(folder);
    let served = served.load(Ordering::SeqCst);
    let summary = format!(
        "at most {most} KiB of {limit}; {opened} half-written requests; {served} of the usual ones served"
    );
    let code = if samples == 0 || served == 0 { 2 } else { i32::from(most > limit) };
    finish(&record, code, &summary)
}
