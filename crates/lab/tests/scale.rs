//! The scale run in its short form, judged by counts alone, so that a busy machine tells the same; planted faults, each
//! named; control's counts against what came; and what is refused or left behind.

mod common;

use common::{build_program, children, lab, wait_for_exit};
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::process::{Child, ChildStdin, Command, Output, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const PATIENCE: Duration = Duration::from_secs(60);

fn told(out: &Output) -> String {
    String::from_utf8_lossy(&out.stdout).into_owned() + &String::from_utf8_lossy(&out.stderr)
}

/// A hundred hollow sidecars and two real ones: every change is in force everywhere, no sidecar whose connection held took
/// the whole list, each message that control wrote was taken, and a hollow one is sent what a real one is.
#[test]
fn a_hundred_sidecars_have_every_change_in_force() {
    build_program("dunlincleat-sidecar");
    let common = ["scale", "--counts", "--sizes", "102", "--hollow", "100", "--real", "2", "--lasts", "4"];
    let days = ["--days", "changes-peak,restarts,zone,control-killed,reconnects", "--waits", "60"];
    let out = lab().args(common).args(days).output().unwrap();
    let text = told(&out);
    assert_eq!(out.status.code(), Some(0), "{text}");
    assert_eq!(text.matches("KEPT").count(), 5, "{text}");
    assert!(text.contains("hollow against real: messages 25 and 25"), "{text}");
}

/// Three hollow sidecars at fault among others: each is named under what it breaks.
#[test]
fn planted_faults_are_named() {
    let common = ["scale", "--counts", "--sizes", "30", "--hollow", "30", "--lasts", "4", "--waits", "10"];
    let plants = ["--plant", "7=whole-list", "--plant", "11=deaf", "--plant", "13=leak"];
    let days = ["--days", "changes-peak,reconnects"];
    let out = lab().args(common).args(plants).args(days).output().unwrap();
    let text = told(&out);
    assert_eq!(out.status.code(), Some(1), "{text}");
    for (rule, who) in [
        ("whole-list: 1 sidecars", " h7 "),
        ("in-force: never at 1 sidecars", " h11;"),
        ("growth: ", " h13,"),
    ] {
        let named = text.lines().any(|line| line.contains(rule) && line.contains(who));
        assert!(named, "{rule}{who}: {text}");
    }
}

/// More sidecars than there are descriptors for were found out by connections that failed, minutes later.
#[test]
fn too_few_descriptors_are_told_before_the_start() {
    let lab = env!("CARGO_BIN_EXE_dunlincleat-lab");
    let run = format!("ulimit -n 200; exec '{lab}' scale --sizes 310 --hollow 300");
    let out = Command::new("sh").args(["-c", &run]).output().unwrap();
    assert_eq!(out.status.code(), Some(2));
    let text = told(&out);
    assert!(text.contains("descriptors and may have 200; right would be ulimit -n"), "{text}");
    let out = Command::new(lab).args(["scale", "--sizes", "20000", "--hollow", "20000"]).output().unwrap();
    assert_eq!(out.status.code(), Some(2));
    assert!(told(&out).contains("GB; right would be under 12"), "{}", told(&out));
}

/// A rig that is killed leaves nothing behind.
#[test]
fn nothing_outlives_a_scale_run_that_is_killed() {
    build_program("dunlincleat-sidecar");
    let mut rig = lab()
        .args(["scale", "--sizes", "12", "--hollow", "10", "--real", "2", "--lasts", "60"])
        .args(["--days", "all-anew,changes-peak"])
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    let mut lines = BufReader::new(rig.stdout.take().unwrap()).lines().map_while(Result::ok);
    assert!(lines.next().is_some_and(|line| line.contains("12 endpoints")));
    // Two control machines, four processes of hollow sidecars, two real ones.
    let children = children(&rig, 8, PATIENCE);
    rig.kill().unwrap();
    rig.wait().unwrap();
    wait_for_exit(&children, PATIENCE);
}

/// A control machine, told what the rig would tell it.
struct Control {
    process: Child,
    orders: ChildStdin,
    /// What it said last of each sidecar's bytes, messages, whole lists and signs of life.
    counts: Arc<Mutex<BTreeMap<u64, [u64; 4]>>>,
    at: SocketAddr,
}

impl Drop for Control {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

fn entry(uid: &str, model: &str, state: &str) -> serde_json::Value {
    serde_json::json!({"uid": uid, "endpoint": "127.0.0.1:1", "az": "a", "model": model, "pod_group": 0,
        "state": state, "capacity_hint": 1.0, "boot_ms": 0})
}

impl Control {
    /// Serves sidecars 0 to 2.
    fn start() -> Control {
        let mut process = lab().arg("control").stdin(Stdio::piped()).stdout(Stdio::piped()).spawn().unwrap();
        let orders = process.stdin.take().unwrap();
        let mut lines = BufReader::new(process.stdout.take().unwrap()).lines().map_while(Result::ok);
        let port = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap().local_addr().unwrap().port();
        let counts = Arc::new(Mutex::new(BTreeMap::new()));
        let at = SocketAddr::from((Ipv4Addr::new(127, 30, 0, 1), port));
        let mut control = Control { process, orders, counts: counts.clone(), at };
        let places: Vec<(u8, SocketAddr)> = (0..3).map(|n| (n, control.address(n))).collect();
        control.tell(&serde_json::json!({"serve": places}));
        let all = [entry("s-1", "pay", "up"), entry("s-2", "book", "up")];
        control.tell(&serde_json::json!({"list": {"rev": 5, "entries": all}}));
        assert_eq!(lines.find(|line| line.contains("serves")).as_deref(), Some("{\"serves\":3}"));
        std::thread::spawn(move || {
            for line in lines {
                let said: serde_json::Value = serde_json::from_str(&line).unwrap();
                for sent in said["sample"]["sidecars"].as_array().into_iter().flatten() {
                    let of = |key: &str| sent[key].as_u64().unwrap();
                    let now = ["bytes", "messages", "whole", "heartbeats"].map(of);
                    counts.lock().unwrap().insert(of("sidecar"), now);
                }
            }
        });
        control
    }

    fn address(&self, sidecar: u8) -> SocketAddr {
        SocketAddr::from((Ipv4Addr::new(127, 30, 0, 1 + sidecar), self.at.port()))
    }

    fn tell(&mut self, order: &serde_json::Value) {
        writeln!(self.orders, "{order}").unwrap();
    }

    fn change(&mut self, rev: u64, uid: &str, model: &str, state: &str) {
        let entries = [entry(uid, model, state)];
        self.tell(&serde_json::json!({"change": {"rev": rev, "entries": entries}}));
    }

    fn call(&self, sidecar: u8, target: &str) -> Heard {
        let mut stream = TcpStream::connect(self.address(sidecar)).unwrap();
        stream.set_read_timeout(Some(PATIENCE)).unwrap();
        write!(stream, "GET {target} HTTP/1.1\r\nhost: x\r\n\r\n").unwrap();
        Heard { stream, bytes: 0, text: String::new() }
    }

    /// Waits until it has said that it wrote what came, and no byte more; gives messages and whole lists. Signs of life go
    /// on meanwhile and are left out.
    fn wrote(&self, sidecar: u64, heard: &Heard) -> [u64; 2] {
        let came = heard.bytes - 6 * heard.text.matches("1\r\n\n\r\n").count() as u64;
        let end = Instant::now() + PATIENCE;
        loop {
            let said = self.counts.lock().unwrap().get(&sidecar).copied().unwrap_or_default();
            let wrote = said[0] - 6 * said[3];
            assert!(wrote <= came, "{wrote} bytes written, {came} came");
            if wrote == came {
                return [said[1], said[2]];
            }
            assert!(Instant::now() < end, "{wrote} bytes written, {came} came");
            std::thread::sleep(Duration::from_millis(5));
        }
    }
}

/// What came on a connection.
struct Heard {
    stream: TcpStream,
    bytes: u64,
    text: String,
}

impl Heard {
    /// Reads on until a list of this version has come whole.
    fn until(&mut self, rev: u64) -> &str {
        let begins = format!("{{\"rev\":{rev},");
        while !self.text.contains(&begins) || !self.text.trim_end().ends_with("]}") {
            let mut part = [0; 4096];
            let read = self.stream.read(&mut part).unwrap();
            assert!(read > 0, "{}", self.text);
            self.bytes += read as u64;
            self.text += std::str::from_utf8(&part[..read]).unwrap();
        }
        &self.text
    }
}

/// What control says that it wrote is what came, byte for byte; a watch that names services hears of no other's change, and
/// one that names none hears of all.
#[test]
fn control_counts_what_it_writes_and_tells_services_apart() {
    let mut control = Control::start();
    let mut whole = control.call(0, "/v1/servers");
    let body = whole.until(5);
    assert!(body.contains("\"all\":true") && body.contains("s-1") && body.contains("s-2"), "{body}");
    assert_eq!(control.wrote(0, &whole), [1, 1]);

    let mut all = control.call(1, "/v1/servers?watch=1&after=5");
    let mut pay = control.call(2, "/v1/servers?watch=1&after=0&models=pay,none");
    let first = all.until(5);
    assert!(first.contains("\"all\":false,\"targets\":[]}"), "{first}");
    let first = pay.until(5);
    assert!(first.contains("\"all\":true") && first.contains("s-1") && !first.contains("s-2"), "{first}");
    control.change(6, "s-2", "book", "draining");
    control.change(7, "s-1", "pay", "draining");
    let heard = all.until(7);
    assert!(heard.contains("{\"rev\":6,\"all\":false") && heard.contains("s-2"), "{heard}");
    let heard = pay.until(7);
    assert!(!heard.contains("\"rev\":6") && !heard.contains("s-2"), "{heard}");
    assert_eq!(control.wrote(1, &all), [3, 0]);
    assert_eq!(control.wrote(2, &pay), [2, 0]);

    // After a version it is told what changed since, those that went with it.
    control.change(8, "s-1", "pay", "removed");
    pay.until(8);
    let mut again = control.call(1, "/v1/servers?watch=1&after=6&models=pay");
    let heard = again.until(8);
    assert!(heard.contains("removed") && !heard.contains("s-2"), "{heard}");

    // Of a change of several services each is told its own: a zone lost was told to all whole.
    let both = [entry("s-1", "pay", "up"), entry("s-2", "book", "up")];
    control.tell(&serde_json::json!({"change": {"rev": 9, "entries": both}}));
    let heard = again.until(9);
    assert!(heard.contains("s-1") && heard.contains("\"up\"") && !heard.contains("s-2"), "{heard}");
}
