//! Time from the start of the process to its first response: with the largest settings, a list on disk,
//! discovery slow or down, clients that send requests from the first moment, and parallel starts.
//! `READY_STARTS` sets the number of starts. The printed times are those of the binary under test, with its
//! build profile.

mod common;

use common::*;
use dunlincleat::api::Time;
use dunlincleat_directory::{Interest, Listing, Snapshot};
use serde_json::{Value, json};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// How long a start may take: nine in ten restarted processes must be ready by then, here each of them.
const READY_DEADLINE: Duration = Duration::from_secs(10);
/// Number of starts if READY_STARTS is not set, and how many run in parallel.
const DEFAULT_STARTS: usize = 4;
const PARALLEL_STARTS: usize = 10;
/// Clients of each process, which send requests from before it listens.
const CLIENTS_PER_PROCESS: usize = 4;
/// Size of the settings.
const CLASS_COUNT: usize = 100;
const TENANT_COUNT: usize = 1000;
const ZONE_COUNT: usize = 50;
/// Servers of a list that respond; nothing listens at the addresses of the others.
const ANSWERING_SERVERS: usize = 10;

/// Each request has its own id.
static NEXT_REQUEST_ID: AtomicUsize = AtomicUsize::new(0);

fn large_settings() -> Value {
    let mut settings = settings();
    let class = settings["classes"][0].clone();
    for n in settings["classes"].as_array().unwrap().len()..CLASS_COUNT {
        let mut class = class.clone();
        class["name"] = json!(format!("class-{n}"));
        settings["classes"].as_array_mut().unwrap().push(class);
    }
    for n in 1..TENANT_COUNT {
        let tenant = json!({"name": format!("tenant-{n}"), "quota_per_s": 100.0, "share": 0.001});
        settings["tenants"].as_array_mut().unwrap().push(tenant);
    }
    settings["zones"] = (0..ZONE_COUNT).map(|n| format!("zone-{n}")).collect();
    settings["balancers"] = json!(300);
    settings
}

/// Encodes the list file for this many servers, the last of which respond.
fn list_file(servers: usize, answering: &[FakeServer]) -> Vec<u8> {
    let entries = (0..servers).map(|n| {
        let [_, _, high, low] = (n as u32).to_be_bytes();
        let address = match (servers - n).checked_sub(1).and_then(|n| answering.get(n)) {
            Some(server) => server.address,
            None => SocketAddr::from(([127, 64, high, low], 9)),
        };
        let mut entry = entry(&format!("server-{n:05}"), address, "up");
        entry["az"] = json!(format!("zone-{}", n % ZONE_COUNT));
        entry
    });
    let targets: Vec<Value> = entries.collect();
    let listing = Listing::from_value(json!({"rev": 9, "all": true, "targets": targets})).unwrap();
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    let interest = Interest::default();
    Snapshot { fresh_at: Time(now.as_micros() as u64), listing, interest }.encode()
}

/// Sends requests until stopped, starting before the process listens; returns the number of responses.
fn request_until_stopped(listen: SocketAddr, stop: &AtomicBool) -> usize {
    let mut answered = 0;
    while !stop.load(Ordering::SeqCst) {
        let Ok(mut stream) = TcpStream::connect(listen) else {
            // Connections are refused: leaves CPU time to the start itself.
            thread::sleep(Duration::from_millis(2));
            continue;
        };
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
        let mut input = BufReader::new(stream.try_clone().unwrap());
        while !stop.load(Ordering::SeqCst) {
            let id = format!("r{}", NEXT_REQUEST_ID.fetch_add(1, Ordering::SeqCst));
            if stream.write_all(read_request(&id).as_bytes()).is_err() {
                break;
            }
            match read_message(&mut input) {
                Ok(Some(_)) => answered += 1,
                Ok(None) | Err(_) => break,
            }
        }
    }
    answered
}

/// Stops the clients when dropped.
struct StopOnDrop<'a>(&'a AtomicBool);

impl Drop for StopOnDrop<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::SeqCst);
    }
}

/// Times of a start from the log, in milliseconds after the process was spawned.
#[derive(Debug)]
struct StartTimes {
    /// The configuration was read.
    config_read: u64,
    /// The list on disk was read.
    list_read: u64,
    /// Clients can connect.
    listening: u64,
    /// The decision module has applied the list.
    list_applied: u64,
    /// `GET /healthz` was answered with 200.
    ready: u64,
}

/// Starts one process and measures it until it is ready, with `servers` servers in its list; nothing ever
/// responds at `discovery`.
fn measure_start(servers: usize, discovery: SocketAddr, answering: &[FakeServer]) -> StartTimes {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("list");
    std::fs::write(&file, list_file(servers, answering)).unwrap();
    let setup = Setup::new(vec![])
        .set("/settings", large_settings())
        .set("/sidecar/log", json!("info"))
        .set("/sidecar/list_file", json!(file.to_str().unwrap()))
        .set("/discovery", json!(discovery.to_string()));
    let listen: SocketAddr = setup.config["listen"].as_str().unwrap().parse().unwrap();
    let stop = AtomicBool::new(false);
    thread::scope(|scope| {
        // Stops the clients also if the start fails: the scope would wait for them forever.
        let stop_on_drop = StopOnDrop(&stop);
        for _ in 0..CLIENTS_PER_PROCESS {
            scope.spawn(|| request_until_stopped(listen, &stop));
        }
        let began = Instant::now();
        let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
        let sidecar = setup.spawn();
        sidecar.wait_for_log("listening on");
        assert_eq!(
            sidecar.request("GET /healthz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n").status(),
            200
        );
        let ready = began.elapsed().as_millis() as u64;
        let applied_line = format!("list as last held revision 9: {servers} up");
        sidecar.wait_for_log(&applied_line);
        drop(stop_on_drop);
        let lines = sidecar.log.all();
        // A line begins with its Unix time, "seconds.millis".
        let logged_at = |what: &str| {
            let line = lines.iter().find(|line| line.contains(what)).unwrap_or_else(|| panic!("no '{what}'"));
            let at: f64 = line.split(' ').next().unwrap().parse().unwrap();
            ((at - wall.as_secs_f64()) * 1000.0).max(0.0) as u64
        };
        let list_read = logged_at("list stored in");
        StartTimes {
            config_read: logged_at("sidecar n0 starts"),
            list_read,
            listening: logged_at("listening on"),
            list_applied: logged_at(&applied_line),
            ready,
        }
    })
}

/// A stage of the start.
struct Stage {
    name: &'static str,
    duration_ms: fn(&StartTimes) -> u64,
}

fn print_percentiles(what: &str, mut ms: Vec<u64>) {
    ms.sort_unstable();
    let at = |part: f64| ms[((ms.len() - 1) as f64 * part).round() as usize];
    println!("{what}: p50 {} ms, p90 {} ms, max {} ms", at(0.5), at(0.9), at(1.0));
}

/// Guards a restart at the worst moment: the process is ready within 10 s and serves from the list on disk,
/// with 200 and with 3,100 servers in it, whether discovery hangs or is down.
#[test]
fn process_started_under_load_without_discovery_is_ready_in_time() {
    let starts = std::env::var("READY_STARTS")
        .map_or(DEFAULT_STARTS, |n| n.parse().expect("READY_STARTS is not a number"));
    let answering: Vec<FakeServer> =
        (0..ANSWERING_SERVERS).map(|_| FakeServer::start(|_, _| ok("x"))).collect();
    // It accepts connections and never responds.
    let slow = TcpListener::bind("127.0.0.1:0").unwrap();
    let down = unique_address();
    let next = AtomicUsize::new(0);
    let measured = Recorder::new();
    thread::scope(|scope| {
        for _ in 0..PARALLEL_STARTS.min(starts) {
            scope.spawn(|| {
                loop {
                    let n = next.fetch_add(1, Ordering::SeqCst);
                    if n >= starts {
                        return;
                    }
                    let discovery = if n.is_multiple_of(2) { slow.local_addr().unwrap() } else { down };
                    let servers = if n % 4 < 2 { 200 } else { 3100 };
                    measured.push(std::sync::Arc::new(measure_start(servers, discovery, &answering)));
                }
            });
        }
    });
    let measured = measured.all();
    assert_eq!(measured.len(), starts);
    let stages: [Stage; 6] = [
        Stage { name: "made to configuration read", duration_ms: |s| s.config_read },
        Stage { name: "to list read from disk", duration_ms: |s| s.list_read - s.config_read },
        Stage { name: "to listening", duration_ms: |s| s.listening - s.list_read },
        Stage { name: "to ready", duration_ms: |s| s.ready.saturating_sub(s.listening) },
        Stage { name: "made to list taken in", duration_ms: |s| s.list_applied },
        Stage { name: "made to ready", duration_ms: |s| s.ready },
    ];
    for stage in stages {
        print_percentiles(stage.name, measured.iter().map(|start| (stage.duration_ms)(start)).collect());
    }
    let late: Vec<_> = measured.iter().filter(|s| u128::from(s.ready) > READY_DEADLINE.as_millis()).collect();
    assert!(late.is_empty(), "not ready within {READY_DEADLINE:?}: {late:?}");
}
