//! Short scale runs, judged by counts only so that the load of the machine does not matter; injected faults; the counters
//! of control; rejected runs; and cleanup of processes.

mod common;

use common::{build_program, children, lab, wait_for_exit};
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::process::{Child, ChildStdin, Command, Output, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const TIMEOUT: Duration = Duration::from_secs(60);

fn output_text(out: &Output) -> String {
    String::from_utf8_lossy(&out.stdout).into_owned() + &String::from_utf8_lossy(&out.stderr)
}

/// With a hundred hollow sidecars and two real ones, every change comes into force everywhere, no sidecar whose connection
/// held receives the whole list, each message written by control is applied, and a hollow sidecar is sent the same as a
/// real one.
#[test]
fn hundred_sidecars_apply_every_change() {
    build_program("dunlincleat-sidecar");
    let common = ["scale", "--counts", "--sizes", "102", "--hollow", "100", "--real", "2", "--lasts", "4"];
    let days = ["--days", "changes-peak,restarts,zone,control-killed,reconnects", "--waits", "60"];
    let out = lab().args(common).args(days).output().unwrap();
    let text = output_text(&out);
    assert_eq!(out.status.code(), Some(0), "{text}");
    assert_eq!(text.matches("KEPT").count(), 5, "{text}");
    assert!(text.contains("hollow against real: messages 25 and 25"), "{text}");
}

/// Three faulty hollow sidecars among others: each is named under the rule that it breaks.
#[test]
fn injected_faults_are_reported() {
    let common = ["scale", "--counts", "--sizes", "30", "--hollow", "30", "--lasts", "4", "--waits", "10"];
    let faults = ["--plant", "7=whole-list", "--plant", "11=deaf", "--plant", "13=leak"];
    let days = ["--days", "changes-peak,reconnects"];
    let out = lab().args(common).args(faults).args(days).output().unwrap();
    let text = output_text(&out);
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

/// Too few descriptors or too little memory are reported at the start. Without this check, connections failed minutes into
/// the run.
#[test]
fn insufficient_resources_are_rejected_before_the_start() {
    let lab = env!("CARGO_BIN_EXE_dunlincleat-lab");
    let run = format!("ulimit -n 200; exec '{lab}' scale --sizes 310 --hollow 300");
    let out = Command::new("sh").args(["-c", &run]).output().unwrap();
    assert_eq!(out.status.code(), Some(2));
    let text = output_text(&out);
    assert!(text.contains("file descriptors and may open 200; raise the limit with ulimit -n"), "{text}");
    let out = Command::new(lab).args(["scale", "--sizes", "20000", "--hollow", "20000"]).output().unwrap();
    assert_eq!(out.status.code(), Some(2));
    assert!(output_text(&out).contains("GB; expected under 12 GB"), "{}", output_text(&out));
}

/// A killed run leaves no processes behind.
#[test]
fn killed_scale_run_leaves_no_processes() {
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
    let children = children(&rig, 8, TIMEOUT);
    rig.kill().unwrap();
    rig.wait().unwrap();
    wait_for_exit(&children, TIMEOUT);
}

/// A control machine that receives the commands of a rig.
struct Control {
    process: Child,
    commands: ChildStdin,
    /// Last reported bytes, messages, whole lists and heartbeats of each sidecar.
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
        let commands = process.stdin.take().unwrap();
        let mut lines = BufReader::new(process.stdout.take().unwrap()).lines().map_while(Result::ok);
        let port = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap().local_addr().unwrap().port();
        let counts = Arc::new(Mutex::new(BTreeMap::new()));
        let at = SocketAddr::from((Ipv4Addr::new(127, 30, 0, 1), port));
        let mut control = Control { process, commands, counts: counts.clone(), at };
        let addresses: Vec<(u8, SocketAddr)> = (0..3).map(|n| (n, control.address(n))).collect();
        // Before it serves: a call in between would be told an empty list of revision 0.
        let all = [entry("s-1", "pay", "up"), entry("s-2", "book", "up")];
        control.send(&serde_json::json!({"list": {"rev": 5, "entries": all}}));
        control.send(&serde_json::json!({"serve": addresses}));
        assert_eq!(lines.find(|line| line.contains("serves")).as_deref(), Some("{\"serves\":3}"));
        std::thread::spawn(move || {
            for line in lines {
                let reported: serde_json::Value = serde_json::from_str(&line).unwrap();
                for sent in reported["sample"]["sidecars"].as_array().into_iter().flatten() {
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

    fn send(&mut self, order: &serde_json::Value) {
        writeln!(self.commands, "{order}").unwrap();
    }

    fn change(&mut self, rev: u64, uid: &str, model: &str, state: &str) {
        let entries = [entry(uid, model, state)];
        self.send(&serde_json::json!({"change": {"rev": rev, "entries": entries}}));
    }

    fn get(&self, sidecar: u8, target: &str) -> WatchStream {
        let mut stream = TcpStream::connect(self.address(sidecar)).unwrap();
        stream.set_read_timeout(Some(TIMEOUT)).unwrap();
        write!(stream, "GET {target} HTTP/1.1\r\nhost: x\r\n\r\n").unwrap();
        WatchStream { stream, bytes: 0, text: String::new() }
    }

    /// Waits until it reports exactly the bytes that arrived, and returns its counts of messages and whole lists.
    /// Heartbeats, which continue meanwhile, are left out.
    fn wait_until_written(&self, sidecar: u64, received: &WatchStream) -> [u64; 2] {
        let arrived = received.bytes - 6 * received.text.matches("1\r\n\n\r\n").count() as u64;
        let end = Instant::now() + TIMEOUT;
        loop {
            let reported = self.counts.lock().unwrap().get(&sidecar).copied().unwrap_or_default();
            let written = reported[0] - 6 * reported[3];
            assert!(written <= arrived, "{written} bytes written, {arrived} came");
            if written == arrived {
                return [reported[1], reported[2]];
            }
            assert!(Instant::now() < end, "{written} bytes written, {arrived} came");
            std::thread::sleep(Duration::from_millis(5));
        }
    }
}

/// A connection and the bytes received on it.
struct WatchStream {
    stream: TcpStream,
    bytes: u64,
    text: String,
}

impl WatchStream {
    /// Reads until a list of this revision is complete.
    fn read_until(&mut self, rev: u64) -> &str {
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

/// The bytes that control reports as written are those that arrive. A watch that names services receives only their
/// changes, and one that names none receives all.
#[test]
fn control_counts_written_bytes_and_filters_by_service() {
    let mut control = Control::start();
    let mut whole = control.get(0, "/v1/servers");
    let body = whole.read_until(5);
    assert!(body.contains("\"all\":true") && body.contains("s-1") && body.contains("s-2"), "{body}");
    assert_eq!(control.wait_until_written(0, &whole), [1, 1]);

    let mut all = control.get(1, "/v1/servers?watch=1&after=5");
    let mut pay = control.get(2, "/v1/servers?watch=1&after=0&models=pay,none");
    let first = all.read_until(5);
    assert!(first.contains("\"all\":false,\"targets\":[]}"), "{first}");
    let first = pay.read_until(5);
    assert!(first.contains("\"all\":true") && first.contains("s-1") && !first.contains("s-2"), "{first}");
    control.change(6, "s-2", "book", "draining");
    control.change(7, "s-1", "pay", "draining");
    let received = all.read_until(7);
    assert!(received.contains("{\"rev\":6,\"all\":false") && received.contains("s-2"), "{received}");
    let received = pay.read_until(7);
    assert!(!received.contains("\"rev\":6") && !received.contains("s-2"), "{received}");
    assert_eq!(control.wait_until_written(1, &all), [3, 0]);
    assert_eq!(control.wait_until_written(2, &pay), [2, 0]);

    // A watch after a revision starts with the changes since then, including removed servers.
    control.change(8, "s-1", "pay", "removed");
    pay.read_until(8);
    let mut again = control.get(1, "/v1/servers?watch=1&after=6&models=pay");
    let received = again.read_until(8);
    assert!(received.contains("removed") && !received.contains("s-2"), "{received}");

    // A change of several services is filtered for each watch: the loss of a zone was once sent to every watch in full.
    let both = [entry("s-1", "pay", "up"), entry("s-2", "book", "up")];
    control.send(&serde_json::json!({"change": {"rev": 9, "entries": both}}));
    let received = again.read_until(9);
    assert!(
        received.contains("s-1") && received.contains("\"up\"") && !received.contains("s-2"),
        "{received}"
    );
}
