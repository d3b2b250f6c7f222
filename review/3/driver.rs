//! Case 3: a keyed class whose repeats are dropped by the servers of one hall; halls that join with a new configuration.

#[path = "../standins.rs"]
mod standins;

use standins::*;
use std::collections::HashMap;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const CLASS: &str = "keyed-send";
/// How long the servers of one hall drop a repeat of a key.
const WINDOW: Duration = Duration::from_secs(1);
const TIMEOUT_S: f64 = 0.21;
/// Clients send one after the other, so many a second.
const REQUESTS: usize = 400;

fn main() {
    let (case, work) = folders();
    let record = Record::create(&case.join("record.txt"));
    // The halls' memories: of each hall and key, when it ran. Who ran each key, and how often connections were reset.
    let memory: Arc<Mutex<HashMap<(String, String), Instant>>> = Arc::default();
    let runs: Arc<Mutex<HashMap<String, Vec<String>>>> = Arc::default();
    let count: Arc<Mutex<u64>> = Arc::default();
    let serve = |hall: &'static str| -> Serve {
        let (record, memory, runs, count) = (record.clone(), memory.clone(), runs.clone(), count.clone());
        Arc::new(move |name, request| {
            if request.target() == "/healthz" || request.target() == "/load" {
                return Reply::Ok(String::new());
            }
            let key = request.header("idempotency-key").to_owned();
            let id = request.header("x-request-id").to_owned();
            {
                let mut memory = memory.lock().unwrap();
                let known = memory.get(&(hall.to_owned(), key.clone())).is_some_and(|at| at.elapsed() < WINDOW);
                if known {
                    record.line(&format!("{name} in {hall}: request {id}, key {key}: dropped as a repeat"));
                } else {
                    memory.insert((hall.to_owned(), key.clone()), Instant::now());
                    let mut runs = runs.lock().unwrap();
                    let ran = runs.entry(key.clone()).or_default();
                    ran.push(format!("{name} in {hall}"));
                    if ran.len() > 1 {
                        record.broken(&format!("request {id}, key {key} was run by {}", ran.join(" and by ")));
                    }
                }
            }
            thread::sleep(Duration::from_millis(20));
            // One request in twenty ends with a reset under its work.
            let mut count = count.lock().unwrap();
            *count += 1;
            if trouble() && count.is_multiple_of(20) {
                record.line(&format!("{name} in {hall}: request {id}, key {key} ran, its connection is reset"));
                return Reply::Reset;
            }
            Reply::Ok(format!("{name} ran {id}"))
        })
    };
    let halls = ["hall-a", "hall-b", "hall-c", "hall-d"];
    let servers: Vec<(Server, &str)> = halls
        .iter()
        .flat_map(|hall| (1..=2).map(move |n| (format!("s-{}{n}", &hall[5..]), *hall)))
        .map(|(name, hall)| (Server::start(&name, serve(hall)), hall))
        .collect();
    let entry_of = |server: &Server, hall: &str| entry(&server.name, server.address, hall, 1, "up");
    let old: Vec<(String, String)> =
        servers[..4].iter().map(|(s, hall)| (s.name.clone(), entry_of(s, hall))).collect();
    let discovery = Discovery::start(&old);
    // The figures of istanbul-push.
    let settings = |zones: &str| {
        format!(
            r#"{{"zones":[{zones}],"locality":0,"balancers":3,"me":0,"discovery":"pushed",
"classes":[{{"name":"{CLASS}","aim":82000,"deadline":210000,"gain":10.0,"late_worth":0.0,"semantics":"dedup","group":"zone","window":{}}},
{{"name":"once-send","aim":82000,"deadline":210000,"gain":8.0,"late_worth":0.0,"semantics":"fragile"}}],
"limits":{{"try_limit":3,"parallel_tries":true,"cancel":true,"retry_after":false,"probes":true,
"connect_timeout":75000,"conn_idle":30000000,"max_open":2000}},
"safety":{{"drain_grace":500000,"cold":8900000,"cold_from":0.34}},"stats":{{"fields":["inflight","queue","util"],"how":"inline"}}}}"#,
            WINDOW.as_micros()
        )
    };
    let (two, four) = (settings(r#""hall-a","hall-b""#), settings(r#""hall-a","hall-b","hall-c","hall-d""#));
    let known = discovery.list();
    let mut config = SidecarConfig {
        name: "n1",
        listen: free_address(),
        console: None,
        discovery: discovery.address,
        known: &known,
        settings: &two,
        limits_file: None,
    };
    let sidecar = start_sidecar(&record, &work, &config);
    thread::sleep(Duration::from_millis(1500));
    if trouble() {
        record.line("a new configuration names two further halls; SIGHUP; their servers join the list 2 s later");
        config.settings = &four;
        write_config(&sidecar.config, &config);
        signal(sidecar.pid, SIGHUP);
    }
    thread::sleep(Duration::from_secs(2));
    if trouble() {
        for (server, hall) in &servers[4..] {
            discovery.tell(&server.name, &entry_of(server, hall));
        }
    }
    thread::sleep(Duration::from_secs(1));
    let mut counts: HashMap<String, usize> = HashMap::new();
    for _ in 0..REQUESTS {
        let (id, ended) = send(config.listen);
        let what = match &ended {
            Ended::Answered(status, _) => status.to_string(),
            other => format!("{other:?}"),
        };
        if !matches!(&ended, Ended::Answered(200, _)) {
            record.line(&format!("client of {id}: {ended:?}"));
        }
        *counts.entry(what).or_default() += 1;
        thread::sleep(Duration::from_millis(10));
    }
    record.line(&format!("{REQUESTS} requests were answered with {counts:?}"));
    record.finish();
}

/// Sends one keyed request on a connection of its own.
fn send(listen: SocketAddr) -> (String, Ended) {
    let id = new_id();
    let mut stream = TcpStream::connect(listen).unwrap();
    let _ = write!(
        stream,
        "POST /{CLASS} HTTP/1.1\r\nHost: service.internal\r\nX-Request-ID: {id}\r\nIdempotency-Key: k-{id}\r\nX-Timeout: {TIMEOUT_S}\r\nContent-Length: 5\r\n\r\nhello"
    );
    let ended = read_answer(&stream, Duration::from_secs_f64(TIMEOUT_S + 0.5));
    (id, ended)
}
