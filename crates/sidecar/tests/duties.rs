//! Duties in the running process: no cost without their section, and the status and commands for operators.

mod common;

use common::*;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::path::Path;
use std::process::Command;
use std::time::Instant;

/// Writes the limits file of a member of a fleet of three that listens at `at[n]`.
fn write_limits_file(folder: &Path, n: usize, at: &[SocketAddr]) -> String {
    let mut text = format!("[fleet]\nname = 'f'\nlisten = '{}'\nlease = '200ms'\n", at[n]);
    for (n, at) in at.iter().enumerate() {
        text += &format!("[[fleet.voter]]\nname = 'n{n}'\nat = '{at}'\n");
    }
    text +=
        "[[duty]]\nname = 'settle'\npath = '/once/settle'\nperiod = '400ms'\n[[duty]]\nname = 'recovery'\n";
    let path = folder.join(format!("n{n}.toml"));
    std::fs::write(&path, text).unwrap();
    path.display().to_string()
}

fn run_duties(arguments: &[&str], console: SocketAddr) -> String {
    let program = env!("CARGO_BIN_EXE_dunlincleat");
    let mut command = Command::new(program);
    let out =
        command.arg("duties").args(arguments).args(["--console", &console.to_string()]).output().unwrap();
    String::from_utf8_lossy(&out.stdout).into_owned()
}

#[test]
fn fleet_socket_exists_only_with_its_section_and_no_thread_is_added() {
    let folder = tempfile::tempdir().unwrap();
    let none = folder.path().join("none.toml");
    std::fs::write(&none, "version = 1").unwrap();
    let at = [unique_address(), unique_address(), unique_address()];
    let [without, with] =
        [none.display().to_string(), write_limits_file(folder.path(), 0, &at)].map(|file| {
            let mut setup = Setup::new(vec![]);
            setup.env.push(("EDGE_LIMITS", file));
            let sidecar = setup.start();
            sidecar.wait_for_log("listening on");
            sidecar.resource_counts()
        });
    assert_eq!((without.datagram_sockets, with.datagram_sockets), (0, 1));
    assert_eq!(without.threads, with.threads, "the fleet has no thread of its own");
}

/// Three members: one holds the duty and calls once per period, the others name it as the holder, and the
/// duty can be handed over. When two members are gone, the third holds nothing and still serves requests.
#[test]
fn duty_has_one_holder_can_be_handed_over_and_is_released_without_a_quorum() {
    let folder = tempfile::tempdir().unwrap();
    let server = FakeServer::start(|_, _| ok("x"));
    let at = [unique_address(), unique_address(), unique_address()];
    let consoles = [unique_address(), unique_address(), unique_address()];
    let start = |n: usize| {
        let mut setup = Setup::new(vec![entry("s1", server.address, "up")]);
        setup = setup.set("/name", json!(format!("n{n}"))).set("/console", json!(consoles[n].to_string()));
        setup.env.push(("EDGE_LIMITS", write_limits_file(folder.path(), n, &at)));
        setup.start()
    };
    let mut sidecars: Vec<_> = (0..3).map(start).collect();
    let duty_status = |n: usize, duty: &str| -> Value {
        let lines = run_duties(&["--format", "json"], consoles[n]);
        let lines = lines.lines().map(|line| serde_json::from_str::<Value>(line).unwrap());
        lines.into_iter().find(|line| line["duty"] == duty).unwrap()
    };
    let give_up_at = Instant::now() + WAIT_TIMEOUT;
    // The members are not compared at one moment, since a lease may be in transit: they converge to the same
    // holder.
    let wait_for_agreed_holder = |but: Option<&str>| loop {
        let names: Vec<Value> = (0..3).map(|n| duty_status(n, "settle")["holder"].clone()).collect();
        if names[0].is_string() && names.iter().all(|name| *name == names[0]) && names[0].as_str() != but {
            return names[0].as_str().unwrap().to_owned();
        }
        assert!(Instant::now() < give_up_at, "{names:?}");
    };
    let holder = wait_for_agreed_holder(None);
    let first: usize = holder[1..].parse().unwrap();
    let next = format!("n{}", (first + 1) % 3);
    assert!(run_duties(&["hand", "settle", &next], consoles[first]).starts_with("YES"));
    let after = wait_for_agreed_holder(Some(&holder));
    assert!(run_duties(&[], consoles[0]).contains(&format!("settle: held by {after} under fence")));
    // Each period was called once.
    let calls = server.requests.wait(3, "calls");
    let periods = calls.iter().filter_map(|call| call.message.header("x-duty-period")?.parse::<u64>().ok());
    let periods: Vec<u64> = periods.collect();
    assert_eq!(periods.len(), calls.len(), "a call lacks its period");
    assert!(periods.is_sorted_by(|a, b| a < b), "a period was called twice: {periods:?}");
    let last = sidecars.remove(0);
    drop(sidecars);
    while duty_status(0, "settle")["holder"].is_string() {
        assert!(Instant::now() < give_up_at, "the last member still has a holder");
    }
    assert_eq!(last.request(&read_request("r1")).status(), 200);
}
