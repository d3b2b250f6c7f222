//! The limits file in the running process: what it restricts, what a reload keeps, and the command line.

mod common;

use common::*;
use serde_json::json;
use std::collections::HashMap;
use std::path::Path;
use std::process::{Command, Output};
use std::sync::atomic::{AtomicBool, Ordering};

/// Names the file in the environment.
fn with_limits(setup: Setup, file: &Path) -> Setup {
    let mut setup = setup;
    setup.env.push(("EDGE_LIMITS", file.display().to_string()));
    setup
}

#[test]
fn attempt_limit_of_a_route_does_not_affect_others() {
    // Each attempt may have run, so reads are retried, but not on the route.
    let first = FakeServer::start(|_, _| Action::Close);
    let second = FakeServer::start(|_, _| Action::Close);
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("limits.toml");
    std::fs::write(&file, "[[route]]\nname = 'once'\nattempts = 1\nmatch = { path = '/read/once' }").unwrap();
    let known = vec![entry("s1", first.address, "up"), entry("s2", second.address, "up")];
    let sidecar = with_limits(Setup::new(known), &file).start();
    sidecar.wait_for_log("applied: 1 routes, 0 pools");
    let attempts = || first.request_count() + second.request_count();
    sidecar.request(&read_request("r1").replace("GET /read", "GET /read/once"));
    assert_eq!(attempts(), 1);
    sidecar.request(&read_request("r2"));
    assert!(attempts() > 2, "the route's limit applies to another route");
}

#[test]
fn full_route_rejects_while_another_is_served() {
    let (gate, action) = gated_ok("slow");
    let server = FakeServer::start(
        move |_, message| if message.target() == "/read/slow" { action.clone() } else { ok("x") },
    );
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("limits.toml");
    std::fs::write(&file, "[[route]]\nname = 'slow'\nmax_in_hand = 1\nmatch = { path = '/read/slow' }")
        .unwrap();
    let sidecar = with_limits(Setup::new(vec![entry("s1", server.address, "up")]), &file).start();
    let slow = |id| read_request(id).replace("GET /read", "GET /read/slow");
    let mut client = sidecar.connect();
    client.send(&slow("r1"));
    server.requests.wait(1, "requests");
    assert_eq!(sidecar.request(&slow("r2")).status(), 503);
    assert_eq!(sidecar.request(&read_request("r3")).status(), 200);
    gate.send(()).unwrap();
    assert_eq!(client.read_response().text(), "slow");
    assert_eq!(server.request_count(), 2, "the rejected request reached a server");
}

#[test]
fn two_hundred_reloads_under_five_thousand_requests_lose_none() {
    const GOOD: [&str; 2] = [
        "[defaults]\nattempts = 1\nattempt_timeout = '380ms'",
        "[defaults]\nattempts = 2\n[[route]]\nname = 'r'\nmatch = { class = 'read' }\npool = 'p'\n[[pool]]\nname = 'p'\nzones = ['a']",
    ];
    const BAD: &str = "[defaults]\nattempts = 0\ntimeout = '9s'";
    let servers: Vec<FakeServer> =
        (0..3).map(|_| FakeServer::start(|_, message| ok(message.target()))).collect();
    let known = servers.iter().enumerate().map(|(n, s)| entry(&format!("s{n}"), s.address, "up")).collect();
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("limits.toml");
    std::fs::write(&file, GOOD[0]).unwrap();
    let setup = with_limits(Setup::new(known).set("/sidecar/log", json!("info")), &file);
    let sidecar = setup.start();
    let done = AtomicBool::new(false);
    std::thread::scope(|scope| {
        let ask = |worker: usize| {
            let sidecar = &sidecar;
            let done = &done;
            move || {
                let mut client = sidecar.connect();
                let mut asked = 0;
                let mut lost = HashMap::new();
                while asked < 1250 || !done.load(Ordering::SeqCst) {
                    client.send(&read_request(&format!("w{worker}-{asked}")));
                    let answer = client.read_response();
                    if answer.status() != 200 || !answer.text().starts_with("/read") {
                        *lost.entry(answer.status()).or_insert(0) += 1;
                    }
                    asked += 1;
                }
                (asked, lost)
            }
        };
        let workers: Vec<_> = (0..4).map(|worker| scope.spawn(ask(worker))).collect();
        for n in 0..200 {
            let bad = n % 3 == 2;
            std::fs::write(&file, if bad { BAD } else { GOOD[n % 2] }).unwrap();
            let seen = sidecar.log.len();
            sidecar.signal("HUP");
            // Each reload is applied or rejected before the next one.
            let message = if bad { "keeping the old configuration" } else { "applied: " };
            let give_up_at = std::time::Instant::now() + WAIT_TIMEOUT;
            while !sidecar.log.all()[seen..].iter().any(|line| line.contains(message)) {
                if std::time::Instant::now() >= give_up_at {
                    // Otherwise the workers would never stop.
                    done.store(true, Ordering::SeqCst);
                    panic!("reload {n} is not logged");
                }
                std::thread::yield_now();
            }
        }
        done.store(true, Ordering::SeqCst);
        let ended: Vec<(usize, HashMap<u16, usize>)> =
            workers.into_iter().map(|w| w.join().unwrap()).collect();
        let asked: usize = ended.iter().map(|(asked, _)| asked).sum();
        assert!(asked >= 5000);
        assert!(ended.iter().all(|(_, lost)| lost.is_empty()), "{ended:?}");
    });
    let log = sidecar.log.all().join("\n");
    assert!(log.contains("DL005: defaults.attempts") && log.contains("DL031: defaults.timeout"));
}

#[test]
fn invalid_limits_file_fails_the_start_with_all_its_faults() {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("limits.toml");
    std::fs::write(&file, "[defaults]\nattempts = 0\ntimeout = 3").unwrap();
    let Exit { status, log } = with_limits(Setup::new(vec![]), &file).spawn().wait_for_exit();
    assert!(!status.success());
    assert!(log.contains("2 faults") && log.contains("DL005") && log.contains("DL003"), "{log}");
}

fn run_cli(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_dunlincleat"))
        .args(arguments)
        .env_remove("EDGE_CONFIG")
        .output()
        .unwrap()
}

#[test]
fn command_line_checks_shows_and_explains() {
    let folder = tempfile::tempdir().unwrap();
    let path = |name: &str| folder.path().join(name).display().to_string();
    let file = path("limits.toml");
    let config = path("config.json");
    std::fs::write(&config, json!({"settings": settings()}).to_string()).unwrap();
    std::fs::write(&file, "[defaults]\nattempts = 7\n\n[[route]]\nname = 'x'\nmatch = { class = 'reed' }")
        .unwrap();
    let text = |output: &Output| String::from_utf8_lossy(&output.stdout).into_owned();
    let found = run_cli(&["check", &file, "--settings", &config]);
    assert_eq!(found.status.code(), Some(1));
    assert!(text(&found).contains(":2:12: error DL020: defaults.attempts:"), "{}", text(&found));
    assert!(text(&found).contains(":6:19: error DL010: route[0].match.class:"), "{}", text(&found));
    let found = run_cli(&["check", &file, "--settings", &config, "--format", "json"]);
    let report: serde_json::Value = serde_json::from_slice(&found.stdout).unwrap();
    assert_eq!((&report["errors"], &report["faults"][0]["code"]), (&json!(2), &json!("DL020")));
    // Without settings only the syntax is checked, and the output says so.
    let form = run_cli(&["check", &file]);
    assert_eq!(form.status.code(), Some(0));
    assert!(text(&form).contains("its form alone"));
    assert_eq!(run_cli(&["check", &path("none.toml")]).status.code(), Some(2));
    assert_eq!(run_cli(&["check", &file, "--settings", &file]).status.code(), Some(2));
    std::fs::write(
        &file,
        "[defaults]\nattempts = 1\n[[route]]\nname = 'x'\ntimeout = '90ms'\nmatch = { class = 'pay' }",
    )
    .unwrap();
    let shown = text(&run_cli(&["route", &file, "--settings", &config, "--class", "pay"]));
    assert!(shown.contains("route x (line 4)"), "{shown}");
    assert!(shown.contains("attempts         1  (line 2)") && shown.contains("90ms  (line 5)"), "{shown}");
    let shown = text(&run_cli(&["route", &file, "--settings", &config, "--class", "read"]));
    assert!(shown.contains("route default (no route matches)"), "{shown}");
    assert_eq!(run_cli(&["route", &file, "--settings", &config, "--class", "reed"]).status.code(), Some(2));
    assert!(text(&run_cli(&["explain", "dl033"])).contains("key is forgotten"));
    assert_eq!(run_cli(&["explain", "DL999"]).status.code(), Some(2));
    assert!(text(&run_cli(&["completions", "bash"])).contains("dunlincleat"));
    assert!(text(&run_cli(&["manual"])).contains(".TH dunlincleat"));
}
