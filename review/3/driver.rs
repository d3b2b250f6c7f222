//! Case 3: a long body of a class that must not run twice, while new configurations come in a row.

#[path = "../standins.rs"]
mod standins;

use standins::*;
use std::collections::HashMap;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const UPLOADS: usize = 3;
const BODY_BYTES: usize = 1280 * 1024;
const BYTES_PER_S: usize = 64 * 1024;
const TIMEOUT_S: f64 = 0.74;
/// From one new configuration to the next.
const BETWEEN: Duration = Duration::from_secs(12);

/// The settings of liga-ljubljana, with these classes.
fn settings(classes: &[&str]) -> String {
    format!(
        r#"{{"zones":["ljubljana-1","ljubljana-2"],"locality":0,"balancers":3,"me":0,"discovery":"pushed",
"classes":[{}],
"limits":{{"try_limit":6,"parallel_tries":false,"cancel":true,"retry_after":false,"max_retry_after":2000000,"probes":true,
"connect_timeout":200000,"conn_idle":5000000,"max_open":40000}},
"safety":{{"drain_grace":1000000,"cold":8600000,"cold_from":0.32}},"stats":{{"fields":["inflight","queue","util"],"how":"inline"}}}}"#,
        classes.join(",")
    )
}

fn class(name: &str, gain: f64, semantics: &str) -> String {
    format!(
        r#"{{"name":"{name}","aim":300000,"deadline":740000,"gain":{gain},"late_worth":0.0,"semantics":"{semantics}","group":"all","window":7500000}}"#
    )
}

fn main() {
    let (case, work) = folders();
    let record = Record::create(&case.join("record.txt"));
    // Of each result (the first line of its body), the requests that a server ran for it.
    let runs: Arc<Mutex<HashMap<String, Vec<String>>>> = Arc::default();
    let serve: Serve = {
        let (record, runs) = (record.clone(), runs.clone());
        Arc::new(move |name, request| {
            if request.target() == "/healthz" || request.target() == "/load" {
                return Reply::Ok(String::new());
            }
            if request.target() != "/match-result" {
                return Reply::Ok(format!("{name} ran {}", request.header("x-request-id")));
            }
            let result = String::from_utf8_lossy(&request.body).lines().next().unwrap_or_default().to_owned();
            let id = request.header("x-request-id").to_owned();
            let mut runs = runs.lock().unwrap();
            let ran = runs.entry(result.clone()).or_default();
            ran.push(id.clone());
            // The first time, work is done and the answer is an error; later the answer is good.
            record.line(&format!("{name} runs {result}, request {id}, {} bytes; {} times now", request.body.len(), ran.len()));
            if ran.len() == 1 { Reply::Status(500) } else { Reply::Ok(format!("{name} ran {id}")) }
        })
    };
    let servers: Vec<Server> = (1..=4).map(|n| Server::start(&format!("s-{n}"), serve.clone())).collect();
    let entries: Vec<(String, String)> =
        servers.iter().map(|s| (s.name.clone(), entry(&s.name, s.address, "ljubljana-1", 1, "up"))).collect();
    let discovery = Discovery::start(&entries);
    let known = discovery.list();
    let standings = class("standings", 3.0, "retryable");
    let payout = class("prize-payout", 10.0, "dedup");
    let first = settings(&[&standings, &class("match-result", 3.0, "fragile"), &payout]);
    let keyed = class("match-result", 3.0, "dedup");
    let second = settings(&[&standings, &keyed, &payout]);
    let third = settings(&[&standings, &keyed, &payout, &class("seedings", 3.0, "retryable")]);
    let mut config = SidecarConfig {
        name: "n1",
        listen: free_address(),
        console: None,
        discovery: discovery.address,
        known: &known,
        settings: &first,
        limits_file: None,
    };
    let sidecar = start_sidecar(&record, &work, &config);
    let listen = config.listen;
    let over = Arc::new(AtomicBool::new(false));
    let usual = thread::spawn({
        let (record, over) = (record.clone(), over.clone());
        move || usual_requests(&record, listen, &over)
    });
    let clients: Vec<_> = (1..=UPLOADS)
        .map(|n| {
            let (record, runs) = (record.clone(), runs.clone());
            thread::spawn(move || client(&record, listen, n, &runs))
        })
        .collect();
    thread::sleep(Duration::from_secs(3));
    if trouble() {
        record.line("SIGHUP: match-result carries a key from now on");
        config.settings = &second;
        write_config(&sidecar.config, &config);
        signal(sidecar.pid, SIGHUP);
        thread::sleep(BETWEEN);
        record.line("SIGHUP: a class seedings is added");
        config.settings = &third;
        write_config(&sidecar.config, &config);
        signal(sidecar.pid, SIGHUP);
    }
    for client in clients {
        client.join().unwrap();
    }
    over.store(true, Ordering::SeqCst);
    usual.join().unwrap();
    if !all_running() {
        record.broken("the sidecar has ended");
    }
    record.finish();
}

/// Sends a result that must not run twice, at the rate of a slow client, and does as it is told: it sends the result
/// again only after a refusal.
fn client(record: &Record, listen: SocketAddr, n: usize, runs: &Mutex<HashMap<String, Vec<String>>>) {
    let result = format!("result {n}");
    let mut body = format!("{result}\n").into_bytes();
    body.resize(BODY_BYTES, b'x');
    let id = new_id();
    record.line(&format!("client sends {result}, request {id}, {BODY_BYTES} bytes, at {BYTES_PER_S} bytes a second"));
    let ended = send(listen, &id, "", &body, BYTES_PER_S);
    record.line(&format!("client of {result}, request {id}: {ended:?}"));
    match ended {
        Ended::Answered(429 | 503, _) => {
            let ran = runs.lock().unwrap().get(&result).cloned().unwrap_or_default();
            if ran.contains(&id) {
                record.broken(&format!("request {id} must not run twice, a server ran it, and it was refused"));
            }
            let again = new_id();
            let ended = send(listen, &again, &format!("Idempotency-Key: k-{again}\r\n"), &body, usize::MAX);
            let ran = runs.lock().unwrap().get(&result).cloned().unwrap_or_default();
            record.line(&format!(
                "client of {result}: trying again is harmless, so request {again}: {ended:?}; {result} was run {} times",
                ran.len()
            ));
        }
        Ended::Answered(..) => {}
        Ended::Closed(why) => record.broken(&format!("the connection of request {id} {why}")),
        Ended::Nothing => record.broken(&format!("request {id} has no answer in its time")),
    }
}

fn send(listen: SocketAddr, id: &str, key: &str, body: &[u8], bytes_per_s: usize) -> Ended {
    let mut stream = TcpStream::connect(listen).unwrap();
    stream.set_nodelay(true).unwrap();
    let head = format!(
        "POST /match-result HTTP/1.1\r\nHost: service.internal\r\nX-Request-ID: {id}\r\n{key}X-Timeout: {TIMEOUT_S}\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    let mut ok = stream.write_all(head.as_bytes()).is_ok();
    let begun = Instant::now();
    for (n, piece) in body.chunks(4096).enumerate() {
        ok = ok && stream.write_all(piece).is_ok();
        if bytes_per_s != usize::MAX {
            let due = Duration::from_secs_f64((n + 1) as f64 * 4096.0 / bytes_per_s as f64);
            thread::sleep(due.saturating_sub(begun.elapsed()));
        }
    }
    read_answer(&stream, Duration::from_secs_f64(TIMEOUT_S + 0.5))
}

/// Usual short requests, one after the other.
fn usual_requests(record: &Record, listen: SocketAddr, over: &AtomicBool) {
    let mut counts: HashMap<String, usize> = HashMap::new();
    while !over.load(Ordering::SeqCst) {
        let id = new_id();
        let mut stream = TcpStream::connect(listen).unwrap();
        let _ = write!(
            stream,
            "GET /standings HTTP/1.1\r\nHost: service.internal\r\nX-Request-ID: {id}\r\nX-Timeout: {TIMEOUT_S}\r\n\r\n"
        );
        let what = match read_answer(&stream, Duration::from_secs_f64(TIMEOUT_S + 0.5)) {
            Ended::Answered(status, _) => status.to_string(),
            other => format!("{other:?}"),
        };
        *counts.entry(what).or_default() += 1;
        thread::sleep(Duration::from_millis(20));
    }
    record.line(&format!("usual requests were answered with {counts:?}"));
}
