//! A new configuration at SIGHUP narrows the group of a keyed class. It is refused, as one of its classes lacks a key that may be
//! absent, and repeats go on to pods that do not know the key.

#[path = "../harness-2.rs"]
mod harness;

use harness::*;
use std::collections::BTreeMap;
use std::io;
use std::net::TcpStream;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// `window` of the class, as in the site file.
const WINDOW: Duration = Duration::from_millis(7500);
/// From SIGHUP until the new settings bind.
const BINDS_AFTER: Duration = Duration::from_millis(1200);
/// One in so many payouts has its connection ended after it ran.
const RESET_EVERY: u32 = 5;

/// The settings of the site's wire page; the first class has the key `aim_stretch`, the others don't. STRETCH=0 leaves it out.
fn settings(group: &str) -> String {
    let stretch =
        if std::env::var("STRETCH").is_ok_and(|value| value == "0") { "" } else { "\"aim_stretch\":1.0," };
    format!(
        r#"{{"balancers":2,"me":0,"zones":["ljubljana-1"],"tick":1000,"discovery":"pushed","classes":[
{{"aim":300000,{stretch}"deadline":740000,"gain":3.0,"group":"all","late_worth":0.0,"name":"standings","semantics":"retryable","stream":false,"window":5000000}},
{{"aim":300000,"deadline":740000,"gain":10.0,"group":"{group}","late_worth":0.0,"name":"prize-payout","semantics":"dedup","stream":false,"window":7500000}}],
"limits":{{"cancel":true,"conn_idle":5000000,"connect_timeout":200000,"max_open":40000,"parallel_tries":false,"probes":true,"try_limit":6}},
"safety":{{"cold":8600000,"cold_from":0.32,"drain_grace":1000000,"fall_multiple":2.5,"tip_after":3000000}}}}"#
    )
}

/// What the servers know.
#[derive(Default)]
struct Servers {
    /// The keys that each pod, or each server while all are one group, was sent, and when first. By pod; 0 is the group of all.
    keys: BTreeMap<(u32, String), Instant>,
    /// Which servers ran the work of each key.
    ran: BTreeMap<String, Vec<String>>,
    first_sends: u32,
    /// When the settings that name pods as groups bind.
    pods_since: Option<Instant>,
}

fn serve(
    name: &str,
    pod: u32,
    record: &Record,
    servers: &Mutex<Servers>,
    request: &Message,
    stream: &mut TcpStream,
) -> io::Result<bool> {
    let key = request.header("idempotency-key").to_owned();
    let id = request.header("x-request-id").to_owned();
    let ends = {
        let mut servers = servers.lock().unwrap();
        let by_pod = servers.pods_since.is_some_and(|since| since <= Instant::now());
        let group = if by_pod { pod } else { 0 };
        let known = |group: u32| {
            servers.keys.get(&(group, key.clone())).is_some_and(|since| since.elapsed() < WINDOW)
        };
        if known(group) {
            record.line(&format!("{name} of pod {pod} drops the repeat of {key} (request {id})"));
            false
        } else {
            servers.keys.insert((0, key.clone()), Instant::now());
            servers.keys.insert((pod, key.clone()), Instant::now());
            servers.ran.entry(key.clone()).or_default().push(name.to_owned());
            record.line(&format!("{name} of pod {pod} runs {key} (request {id})"));
            let first = servers.ran[&key].len() == 1;
            servers.first_sends += u32::from(first);
            first && servers.first_sends % RESET_EVERY == 0
        }
    };
    thread::sleep(ms(80));
    if ends {
        record.line(&format!("{name} has run {key}, and its connection ends without the answer"));
        return Ok(false);
    }
    write_answer(stream, "200 OK", "", &id)?;
    Ok(true)
}

fn main() {
    guard();
    let record = Record::create("review/6");
    let folder = Folder::create();
    let known: Arc<Mutex<Servers>> = Arc::default();
    let entries: Vec<Entry> = (0..4)
        .map(|n| {
            let (record, known, name, pod) = (record.clone(), known.clone(), format!("s{n}"), 1 + n / 2);
            let uid = name.clone();
            let handler = move |request: &Message, stream: &mut TcpStream| {
                serve(&name, pod, &record, &known, request, stream)
            };
            Entry { pod, ..entry(&uid, Server::start(Arc::new(handler)).address) }
        })
        .collect();
    let discovery = Discovery::start(&record, &entries);
    let old = settings("all");
    let sidecar = Sidecar::start(&folder, "n0", discovery.address, &discovery.known(), &old, LIMITS, "")
        .expect("a sidecar");
    let start = Instant::now();
    let mut clients: Vec<Client> = (0..4).map(|_| Client::new(sidecar.listen)).collect();
    let mut told = !trouble();
    let mut after = Vec::new();
    let mut number = 0;
    while start.elapsed() < Duration::from_secs(20) {
        if !told && start.elapsed() >= Duration::from_secs(5) {
            let path = folder.0.join("n0.json");
            let text = std::fs::read_to_string(&path).expect("the configuration");
            let new = folder.0.join("n0.new");
            std::fs::write(&new, text.replace(&old, &settings("cell"))).expect("the new configuration");
            std::fs::rename(&new, &path).expect("the new configuration");
            sidecar.signal("HUP");
            record.line("the configuration is replaced: the group of prize-payout is its pod; SIGHUP");
            known.lock().unwrap().pods_since = Some(Instant::now() + BINDS_AFTER);
            told = true;
        }
        let (id, key) = (format!("r{number}"), format!("k{number}"));
        let bound = known.lock().unwrap().pods_since.is_none_or(|since| since <= Instant::now());
        let headers =
            [("X-Request-ID", id.as_str()), ("X-Timeout", "0.740"), ("Idempotency-Key", key.as_str())];
        record.line(&format!("the client sends {id} with {key}"));
        let answer = clients[number % 4].post("/prize-payout", &headers, "pay", ms(2000));
        let text = answer.map_or_else(|error| error.to_string(), |answer| answer.status.to_string());
        record.line(&format!("the client is answered {id}: {text}"));
        if bound {
            after.push(key);
        }
        number += 1;
        thread::sleep(ms(20));
    }
    sidecar.copy_log(&record);
    drop(sidecar);
    drop(folder);
    let known = known.lock().unwrap();
    let twice: Vec<&String> =
        after.iter().filter(|key| known.ran.get(*key).is_some_and(|ran| ran.len() > 1)).collect();
    for key in &twice {
        record.line(&format!("{key} ran at {}", known.ran[*key].join(" and ")));
    }
    let summary =
        format!("of {} payouts under the rules in force {} ran more than once", after.len(), twice.len());
    let code = if after.len() < 50 { 2 } else { i32::from(!twice.is_empty()) };
    finish(&record, code, &summary)
}
