//! Operation: the console and its metrics, standby, settings reload by SIGHUP, a second process on the same
//! socket.

mod common;

use common::*;
use serde_json::{Value, json};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::time::Instant;

/// A setup and the address of its console.
struct SetupWithConsole {
    setup: Setup,
    console: SocketAddr,
}

fn with_console(setup: Setup) -> SetupWithConsole {
    let console = unique_address();
    SetupWithConsole { setup: setup.set("/console", json!(console.to_string())), console }
}

/// The current value of a metric, from the console.
fn metric(console: SocketAddr, name: &str) -> i64 {
    let text = console_call(console, b"stats\n");
    assert!(text.ends_with("\nEND\n"), "{text}");
    let line = text.lines().find_map(|line| line.strip_prefix(&format!("svc_{name} ")));
    line.unwrap_or_else(|| panic!("no {name} in\n{text}")).parse().unwrap()
}

/// Waits until a metric has this value.
fn wait_for_metric(console: SocketAddr, name: &str, value: i64) {
    let give_up_at = Instant::now() + WAIT_TIMEOUT;
    while metric(console, name) != value {
        assert!(Instant::now() < give_up_at, "{name} is {}, not {value}", metric(console, name));
    }
}

#[test]
fn console_answers_while_other_connections_are_silent() {
    let SetupWithConsole { setup, console } = with_console(Setup::new(vec![]));
    let sidecar = setup.start();
    // More silent and incomplete connections than slots: the oldest is closed and nobody waits.
    let silent: Vec<TcpStream> = (0..40)
        .map(|n| {
            let mut stream = TcpStream::connect(console).unwrap();
            stream.write_all(&b"sta"[..n % 4]).unwrap();
            stream
        })
        .collect();
    let since = Instant::now();
    assert_eq!(console_call(console, b"status\r\n"), "YES active\n");
    assert!(since.elapsed().as_secs_f64() < 1.0);
    for (wrong, why) in [
        (&b"\n"[..], "NO the call is empty"),
        (b"status please\n", "NO no such call"),
        (b"\0\xff\x01\n", "NO no such call"),
        (&[b'x'; 300], "NO the call is too long"),
    ] {
        let answer = console_call(console, wrong);
        assert!(answer.starts_with(why) && answer.lines().count() == 1, "{answer}");
    }
    // A half-closed connection without a line end gets an error reply.
    let mut half = TcpStream::connect(console).unwrap();
    half.write_all(b"status").unwrap();
    half.shutdown(std::net::Shutdown::Write).unwrap();
    let mut answer = String::new();
    half.read_to_string(&mut answer).unwrap();
    assert_eq!(answer, "NO the call has no line end\n");
    drop(silent);
    drop(sidecar);
}

/// Guards the metrics: each request is counted once, under its class and outcome.
#[test]
fn each_request_and_each_finished_attempt_is_counted_once() {
    let server = FakeServer::start(|n, m| match m.target() {
        "/once" if n % 2 == 0 => Action::Close,
        _ => ok("x"),
    });
    let gone = unique_address();
    let known = vec![entry("s1", server.address, "up"), entry("s2", gone, "draining")];
    let SetupWithConsole { setup, console } = with_console(Setup::new(known));
    let sidecar = setup.start();
    let mut outcomes = std::collections::HashMap::new();
    for n in 0..30 {
        let request =
            if n % 3 == 0 { once_request(&format!("r{n}")) } else { read_request(&format!("r{n}")) };
        let status = sidecar.request(&request).status();
        *outcomes.entry((n % 3 == 0, status)).or_insert(0_i64) += 1;
    }
    assert_eq!(sidecar.request("GET /nowhere HTTP/1.1\r\nHost: x\r\nX-Request-ID: r\r\n\r\n").status(), 404);
    let count = |once, status| outcomes.get(&(once, status)).copied().unwrap_or(0);
    let text = console_call(console, b"stats\n");
    for (once, class) in [(true, "once"), (false, "read")] {
        for (name, status) in [("passed", 200), ("dropped", 503), ("bad_gateway", 502)] {
            let line = format!("svc_{name}{{category=\"{class}\"}} {}", count(once, status));
            assert!(text.lines().any(|l| l == line), "{line} is not in\n{text}");
        }
    }
    assert_eq!(outcomes.values().sum::<i64>(), 30);
    assert!(count(true, 502) > 0 && count(false, 200) > 0);
    assert_eq!(metric(console, "upstream_tries"), server.request_count() as i64);
    assert_eq!((metric(console, "in_progress"), metric(console, "known_endpoints")), (0, 2));
}

#[test]
fn standby_closes_client_connections_without_loss_until_active() {
    let (gate, action) = gated_ok("finished");
    let server = FakeServer::start(move |n, _| if n == 1 { action.clone() } else { ok("x") });
    let SetupWithConsole { setup, console } =
        with_console(Setup::new(vec![entry("s1", server.address, "up")]));
    let sidecar = setup.start();
    let health = "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n";
    let mut idle = sidecar.connect();
    let mut busy = sidecar.connect();
    let mut late = sidecar.connect();
    idle.send(&read_request("r0"));
    assert_eq!(idle.read_response().status(), 200);
    busy.send(&once_request("r1"));
    server.requests.wait(2, "requests");
    assert_eq!(console_call(console, b"standby\n"), "YES standby\n");
    // The reply came after the switch: from here on no health check succeeds.
    let answer = sidecar.request(health);
    assert_eq!((answer.status(), answer.header("connection")), (503, Some("close")));
    assert_eq!(console_call(console, b"status\n"), "NO standby\n");
    assert_eq!(
        console_call(console, b"standby\n"),
        "YES standby\n",
        "a repeated command has no further effect"
    );
    // A request on an open connection is served with `Connection: close`.
    late.send(&read_request("r2"));
    let answer = late.read_response();
    assert_eq!((answer.status(), answer.header("connection")), (200, Some("close")));
    idle.wait_for_close();
    gate.send(()).unwrap();
    let answer = busy.read_response();
    assert_eq!((answer.text().as_str(), answer.header("connection")), ("finished", Some("close")));
    busy.wait_for_close();
    assert_eq!(console_call(console, b"active\n"), "YES active\n");
    assert_eq!(sidecar.request(health).status(), 200);
    let mut stays = sidecar.connect();
    for n in 3..5 {
        stays.send(&read_request(&format!("r{n}")));
        assert_eq!(stays.read_response().header("connection"), None);
    }
}

fn class_mut<'a>(config: &'a mut Value, name: &str) -> &'a mut Value {
    let classes = config["settings"]["classes"].as_array_mut().unwrap();
    classes.iter_mut().find(|class| class["name"] == name).unwrap()
}

/// Guards open requests: they keep the class under which they were accepted, whatever a reload does to it.
#[test]
fn settings_reload_is_atomic_and_open_requests_keep_their_class() {
    let (gate, action) = gated_ok("late");
    let server = FakeServer::start(move |n, m| match (n, m.target()) {
        (0, _) => action.clone(),
        (_, "/pay") => Action::Close,
        _ => ok("x"),
    });
    let other = FakeServer::start(|_, m| if m.target() == "/pay" { Action::Close } else { ok("x") });
    let known = vec![entry("s1", server.address, "up"), entry("s2", other.address, "draining")];
    let SetupWithConsole { setup, console } = with_console(Setup::new(known));
    let sidecar = setup.start();
    let new = "GET /new HTTP/1.1\r\nHost: x\r\nX-Request-ID: n1\r\n\r\n";
    assert_eq!(sidecar.request(new).status(), 404);
    let mut open = sidecar.connect();
    open.send(&once_request("r0"));
    server.requests.wait(1, "requests");

    // One class is added, the open request's class is removed, and one class becomes one that must not run
    // twice.
    let mut config = sidecar.config.clone();
    class_mut(&mut config, "pay")["semantics"] = json!("fragile");
    let mut added = class_mut(&mut config, "read").clone();
    added["name"] = json!("new");
    let classes = config["settings"]["classes"].as_array_mut().unwrap();
    classes.retain(|class| class["name"] != "once");
    classes.insert(0, added);
    config["settings"]["limits"]["try_limit"] = json!(2);
    sidecar.reload(&config.to_string());
    wait_for_metric(console, "loads", 1);
    let give_up_at = Instant::now() + WAIT_TIMEOUT;
    while sidecar.request(new).status() != 200 {
        assert!(Instant::now() < give_up_at, "the new class is unknown");
    }
    assert_eq!(sidecar.request(&once_request("r1")).status(), 404, "its class was removed");
    let before = server.request_count();
    assert_eq!(
        sidecar.request(&pay_request("r2")).status(),
        502,
        "it may have run, and now must not run twice"
    );
    assert_eq!(server.request_count(), before + 1);
    gate.send(()).unwrap();
    assert_eq!(open.read_response().text(), "late");
    let text = console_call(console, b"stats\n");
    assert!(
        text.contains("svc_passed{category=\"once\"} 1\n"),
        "counters must not decrease or disappear:\n{text}"
    );

    // An invalid configuration changes nothing, and the message names its key.
    let good = config;
    let mut errors = 0;
    let broken = |change: &dyn Fn(&mut Value)| {
        let mut config = good.clone();
        change(&mut config);
        config.to_string()
    };
    let text = good.to_string();
    for (file, message) in [
        (String::new(), "EDGE_CONFIG: not JSON"),
        (text[..text.len() / 2].to_owned(), "EDGE_CONFIG: not JSON"),
        (
            broken(&|c| class_mut(c, "new")["deadline"] = json!(0)),
            "classes[0].deadline: 0 is no number of microseconds",
        ),
        (
            broken(&|c| class_mut(c, "new")["deadline"] = json!(-5)),
            "classes[0].deadline: invalid value: integer `-5`",
        ),
        (
            broken(&|c| class_mut(c, "new")["deadline"] = json!("soon")),
            "classes[0].deadline: invalid type: string",
        ),
        (
            broken(&|c| class_mut(c, "new")["deadline"] = json!(1e300)),
            "classes[0].deadline: invalid type: floating",
        ),
        (
            broken(&|c| drop(class_mut(c, "new").as_object_mut().unwrap().remove("deadline"))),
            "missing field `deadline`",
        ),
        (
            broken(&|c| drop(class_mut(c, "new").as_object_mut().unwrap().remove("gain"))),
            "settings.classes[0].gain is missing",
        ),
        (broken(&|c| class_mut(c, "new")["name"] = json!("read")), "'read' stands there twice"),
        (
            broken(&|c| c["settings"]["limits"]["try_limit"] = json!(0)),
            "limits.try_limit: 0 is no number of attempts",
        ),
        (
            broken(&|c| c["settings"]["limits"]["try_limit"] = json!(null)),
            "settings.limits.try_limit is missing",
        ),
        (
            broken(&|c| drop(c["settings"]["limits"].as_object_mut().unwrap().remove("try_limit"))),
            "settings.limits.try_limit is missing",
        ),
        (broken(&|c| drop(c.as_object_mut().unwrap().remove("settings"))), "settings is missing"),
    ] {
        sidecar.reload(&file);
        errors += 1;
        wait_for_metric(console, "load_errors", errors);
        sidecar.wait_for_log(message);
        assert_eq!(sidecar.request(new).status(), 200, "{message}");
    }
    assert_eq!(metric(console, "loads"), 1);
}

/// A listening socket that the processes under test inherit.
fn inherited_listener() -> TcpListener {
    let listener = TcpListener::bind(unique_address()).unwrap();
    socket2::SockRef::from(&listener).set_cloexec(false).unwrap();
    listener
}

fn setup_on_listener(listener: &TcpListener, at: SocketAddr, known: Vec<Value>) -> SetupWithConsole {
    let mut setup = Setup::new(known).set("/listen", json!(at.to_string()));
    setup.env.push(("EDGE_INHERITED_FD", listener.as_raw_fd().to_string()));
    // The name also identifies the process to others of the same sidecar, in a folder that the tests of this
    // run share.
    with_console(setup.set("/name", json!(at.to_string())))
}

/// Guards an upgrade under load: no request meets a refused, reset or unread connection.
#[test]
fn handover_to_a_second_process_loses_no_request() {
    let server = FakeServer::start(|_, _| ok("x"));
    let listener = inherited_listener();
    let at = listener.local_addr().unwrap();
    let known = vec![entry("s1", server.address, "up")];
    let setup = setup_on_listener(&listener, at, known.clone()).setup;
    // Idle connections are closed at two thirds of this, long after this one is used.
    let old = setup.set("/sidecar/accept_after_term_ms", json!(6000)).start();
    let mut kept = old.connect();
    kept.send(&read_request("k0"));
    assert_eq!(kept.read_response().status(), 200);
    let stop = std::sync::atomic::AtomicBool::new(false);
    std::thread::scope(|scope| {
        let asks = |worker: usize| {
            let mut asked = 0;
            while !stop.load(std::sync::atomic::Ordering::SeqCst) {
                let mut client = TcpStream::connect(at).unwrap();
                client.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
                let id = format!("w{worker}-{asked}");
                let request = read_request(&id).replace("\r\n\r\n", "\r\nConnection: close\r\n\r\n");
                client.write_all(request.as_bytes()).unwrap();
                let mut answer = String::new();
                client.read_to_string(&mut answer).unwrap();
                assert!(answer.starts_with("HTTP/1.1 200"), "{id}: {answer}");
                asked += 1;
            }
            asked
        };
        let workers: Vec<_> = (0..4).map(|n| scope.spawn(move || asks(n))).collect();
        let SetupWithConsole { setup, console } = setup_on_listener(&listener, at, known);
        // The shared socket accepts connections from the start, since the old process serves it.
        let new = setup.spawn();
        new.wait_for_log("listening on");
        assert_eq!(console_call(console, b"status\n"), "YES active\n");
        old.wait_for_log("another process of this sidecar is running: ");
        new.wait_for_log("another process of this sidecar is running: ");
        old.signal("TERM");
        // A kept connection of the old process is served with `Connection: close`.
        kept.send(&read_request("k1"));
        assert_eq!(kept.read_response().header("connection"), Some("close"));
        let Exit { status, log } = old.wait_for_exit();
        assert!(status.success(), "{log}");
        new.wait_for_log("another process of this sidecar has stopped: ");
        let before = metric(console, "upstream_tries");
        let give_up_at = Instant::now() + WAIT_TIMEOUT;
        while metric(console, "upstream_tries") < before + 100 {
            assert!(Instant::now() < give_up_at, "the new process serves no requests");
        }
        stop.store(true, std::sync::atomic::Ordering::SeqCst);
        assert!(workers.into_iter().map(|w| w.join().unwrap()).sum::<usize>() > 100);
        drop(new);
    });
}

/// The old process exits, with a request in flight, before the new one starts: connections made in between
/// wait in the inherited socket and are served by the new process.
#[test]
fn connections_between_two_processes_wait_for_the_new_one() {
    let (gate, action) = gated_ok("0");
    let server = FakeServer::start(move |n, _| if n == 0 { action.clone() } else { ok(&n.to_string()) });
    let listener = inherited_listener();
    let at = listener.local_addr().unwrap();
    let known = vec![entry("s1", server.address, "up")];
    let old = setup_on_listener(&listener, at, known.clone()).setup.start();
    let mut in_flight = old.connect();
    in_flight.send(&once_request("r0"));
    server.requests.wait(1, "requests");
    old.signal("TERM");
    old.wait_for_log("shutting down");
    let mut between: Vec<TcpStream> = (1..4)
        .map(|n| {
            let mut client = TcpStream::connect(at).unwrap();
            client.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
            let request = read_request(&format!("r{n}")).replace("\r\n\r\n", "\r\nConnection: close\r\n\r\n");
            client.write_all(request.as_bytes()).unwrap();
            client
        })
        .collect();
    gate.send(()).unwrap();
    assert_eq!(in_flight.read_response().text(), "0");
    let Exit { status, log } = old.wait_for_exit();
    assert!(status.success(), "{log}");
    let _new = setup_on_listener(&listener, at, known).setup.spawn();
    for client in &mut between {
        let mut answer = String::new();
        client.read_to_string(&mut answer).unwrap();
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    }
}

/// A new process takes over while an upload and a response, both longer than the buffers, are half
/// transferred: the old process completes both and then exits, while the new one serves requests.
#[test]
fn uploads_and_long_responses_in_flight_at_a_handover_complete() {
    const LONG_BODY_BYTES: usize = 400_000;
    let (gate, second_half) = gated(Action::Raw("x".repeat(LONG_BODY_BYTES / 2), AfterWrite::KeepOpen));
    let server = FakeServer::start(move |_, message| match message.target() {
        "/read/long" => {
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {LONG_BODY_BYTES}\r\n\r\n");
            let half = Action::Raw(head + &"x".repeat(LONG_BODY_BYTES / 2), AfterWrite::KeepOpen);
            Action::Sequence(Box::new(half), Box::new(second_half.clone()))
        }
        "/once" => ok(&message.body.len().to_string()),
        _ => ok("x"),
    });
    let listener = inherited_listener();
    let at = listener.local_addr().unwrap();
    let known = vec![entry("s1", server.address, "up")];
    let setup = setup_on_listener(&listener, at, known.clone()).setup;
    let old = setup.set("/sidecar/end_after_term_ms", json!(60_000)).start();
    let mut upload = old.connect();
    upload.send(
        &once_request("up").replace("Content-Length: 4", &format!("Content-Length: {LONG_BODY_BYTES}")),
    );
    // This counts the bytes sent so far; four bytes of the body came with the head.
    let mut part = |bytes: usize| upload.stream.write_all("x".repeat(bytes).as_bytes()).unwrap();
    part(LONG_BODY_BYTES / 2);
    old.wait_for_log("attempt 0 of request 0 goes out");
    let mut download = old.connect();
    download.send(&read_request("down").replace("GET /read", "GET /read/long"));
    let mut begun = [0; 1];
    download.stream.read_exact(&mut begun).unwrap();
    let SetupWithConsole { setup, console } = setup_on_listener(&listener, at, known);
    let new = setup.spawn();
    new.wait_for_log("listening on");
    part(1000);
    old.signal("TERM");
    old.wait_for_log("shutting down");
    let give_up_at = Instant::now() + WAIT_TIMEOUT;
    while metric(console, "upstream_tries") == 0 {
        assert!(Instant::now() < give_up_at, "the new process serves no requests");
        let mut client = TcpStream::connect(at).unwrap();
        client.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
        let request = read_request("beside").replace("\r\n\r\n", "\r\nConnection: close\r\n\r\n");
        client.write_all(request.as_bytes()).unwrap();
        let mut answer = String::new();
        client.read_to_string(&mut answer).unwrap();
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    }
    assert!(!server.request_ids().contains(&"up".to_owned()), "the upload should still be in flight");
    part(LONG_BODY_BYTES - LONG_BODY_BYTES / 2 - 1000 - "body".len());
    let answer = upload.read_response();
    assert_eq!((answer.text(), answer.header("connection")), (LONG_BODY_BYTES.to_string(), Some("close")));
    gate.send(()).unwrap();
    let mut got = Vec::new();
    download.stream.read_to_end(&mut got).unwrap();
    let body = got.windows(4).position(|bytes| bytes == b"\r\n\r\n").unwrap() + 4;
    assert_eq!(got.len() - body, LONG_BODY_BYTES);
    let Exit { status, log } = old.wait_for_exit();
    assert!(status.success() && !log.contains("still open"), "{log}");
}

#[test]
fn invalid_startup_options_fail_without_disturbing_a_running_process() {
    let listener = inherited_listener();
    let at = listener.local_addr().unwrap();
    let SetupWithConsole { setup, console } = setup_on_listener(&listener, at, vec![]);
    let first = setup.start();
    let assert_start_fails = |setup: Setup, message: &str| {
        let Exit { status, log } = setup.spawn().wait_for_exit();
        assert!(!status.success() && log.contains(message), "{message} is not in {log}");
    };
    for (fd, message) in [
        ("four", "EDGE_INHERITED_FD: 'four' is not a descriptor"),
        ("1", "EDGE_INHERITED_FD: '1' is not a descriptor"),
        ("999", "EDGE_INHERITED_FD: 999 is not an open descriptor"),
    ] {
        let mut setup = Setup::new(vec![]);
        setup.env.push(("EDGE_INHERITED_FD", fd.to_owned()));
        assert_start_fails(setup, message);
    }
    let setup = setup_on_listener(&listener, unique_address(), vec![]).setup;
    assert_start_fails(setup, "; expected ");
    let in_use = json!(console.to_string());
    assert_start_fails(
        Setup::new(vec![]).set("/console", in_use),
        &format!("console: '{console}' can't be listened on"),
    );
    let same = Setup::new(vec![]);
    let listen = same.config["listen"].clone();
    assert_start_fails(same.set("/console", listen), "is the address for clients");
    assert_start_fails(
        Setup::new(vec![]).set("/console", json!("here")),
        "console: 'here' is not an address and port",
    );
    assert_eq!(console_call(console, b"status\n"), "YES active\n");
    drop(first);
}
