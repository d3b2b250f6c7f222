//! StubDiscovery's side: the list as last held, watches, drains and servers that move or start anew.

mod common;

use common::*;
use serde_json::{Value, json};
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Asks until the answer is this.
fn ask_until(sidecar: &Sidecar, what: &str) {
    let end = Instant::now() + WAIT_TIMEOUT;
    while sidecar.request(&read_request("u")).text() != what {
        assert!(Instant::now() < end, "no answer '{what}' comes");
    }
}

/// Waits until the sidecar has read a list of this revision.
fn read_revision(sidecar: &Sidecar, rev: u64) {
    sidecar.wait_for_log(&format!("revision {rev}: "));
}

#[test]
fn the_list_as_last_held_serves_until_discovery_speaks() {
    let server = FakeServer::start(|_, _| ok("known"));
    let sidecar = Setup::new(vec![entry("s1", server.address, "up")]).start();
    assert_eq!(sidecar.request(&read_request("r1")).text(), "known");
}

#[test]
fn a_watch_asks_for_what_came_after_the_list_held() {
    let discovery = StubDiscovery::start();
    let _sidecar = Setup::new(vec![]).discovery(&discovery).start();
    assert_eq!(discovery.watches.wait(1, "watches")[0], "/v1/servers?watch=1&after=7");
}

#[test]
fn changes_bring_servers_in_and_take_them_out() {
    let (old, new) = (FakeServer::start(|_, _| ok("old")), FakeServer::start(|_, _| ok("new")));
    let discovery = StubDiscovery::start();
    let sidecar = Setup::new(vec![entry("s1", old.address, "up")]).discovery(&discovery).start();
    discovery.watches.wait(1, "watches");
    discovery.publish_changes(8, vec![entry("s2", new.address, "up")]);
    ask_until(&sidecar, "new");
    for (rev, state) in [(9, "draining"), (10, "removed")] {
        discovery.publish_changes(rev, vec![entry("s1", old.address, state)]);
        read_revision(&sidecar, rev);
        let before = old.request_count();
        for n in 0..20 {
            assert_eq!(sidecar.request(&read_request(&format!("r{n}"))).text(), "new");
        }
        assert_eq!(old.request_count(), before, "a {state} server got a request");
    }
}

#[test]
fn a_request_in_work_at_a_draining_server_is_finished() {
    let (gate, wait) = gated_ok("finished");
    let server = FakeServer::start(move |_, _| wait.clone());
    let discovery = StubDiscovery::start();
    let sidecar = Setup::new(vec![entry("s1", server.address, "up")]).discovery(&discovery).start();
    discovery.watches.wait(1, "watches");
    let mut client = sidecar.connect();
    client.send(&once_request("r1"));
    server.requests.wait(1, "requests");
    discovery.publish_changes(8, vec![entry("s1", server.address, "draining")]);
    read_revision(&sidecar, 8);
    gate.send(()).unwrap();
    assert_eq!(client.read_response().text(), "finished");
}

#[test]
fn an_attempt_that_has_not_begun_at_a_server_that_leaves_ends_at_once() {
    // Connections to it come up only once its queue is emptied. The grace is no time to begin in: the drain may
    // have been told long before it was heard.
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let mut held = Vec::new();
    while let Ok(s) = std::net::TcpStream::connect_timeout(&address, std::time::Duration::from_millis(300)) {
        held.push(s);
    }
    let discovery = StubDiscovery::start();
    let sidecar = Setup::new(vec![entry("s1", address, "up")])
        .discovery(&discovery)
        .set("/settings/safety/drain_grace", json!(20_000_000))
        .set("/settings/limits/connect_timeout", json!(30_000_000))
        .set("/settings/classes/0/aim", json!(30_000_000))
        .set("/settings/classes/0/deadline", json!(30_000_000))
        .start();
    discovery.watches.wait(1, "watches");
    let mut client = sidecar.connect();
    client.send(&read_request("r1").replace("X-Timeout: 0.9", "X-Timeout: 30"));
    sidecar.wait_for_log("attempt 0 of request 0");
    discovery.publish_changes(8, vec![entry("s1", address, "draining")]);
    read_revision(&sidecar, 8);
    // It was never sent, so it is refused, while the connection is still waited for.
    assert_eq!(client.read_response().status(), 503);
    drop(held);
    let reached = std::thread::spawn(move || {
        let mut requests = 0;
        for stream in listener.incoming().map_while(Result::ok) {
            match read_message(&mut std::io::BufReader::new(&stream)) {
                Ok(Some(message)) if message.target() == "/stop" => break,
                Ok(Some(_)) => requests += 1,
                Ok(None) | Err(_) => {}
            }
        }
        requests
    });
    let mut last = std::net::TcpStream::connect(address).unwrap();
    std::io::Write::write_all(&mut last, b"GET /stop HTTP/1.1\r\n\r\n").unwrap();
    assert_eq!(reached.join().unwrap(), 0, "it was sent to a server that leaves");
}

#[test]
fn a_whole_list_takes_out_what_it_lacks() {
    let (old, new) = (FakeServer::start(|_, _| ok("old")), FakeServer::start(|_, _| ok("new")));
    let discovery = StubDiscovery::start();
    let sidecar = Setup::new(vec![entry("s1", old.address, "up")]).discovery(&discovery).start();
    discovery.watches.wait(1, "watches");
    discovery.publish_full_list(8, vec![entry("s2", new.address, "up")]);
    read_revision(&sidecar, 8);
    for n in 0..20 {
        assert_eq!(sidecar.request(&read_request(&format!("r{n}"))).text(), "new");
    }
}

#[test]
fn a_watch_that_breaks_is_made_again_from_the_last_version() {
    let discovery = StubDiscovery::start();
    let sidecar = Setup::new(vec![]).discovery(&discovery).start();
    discovery.watches.wait(1, "watches");
    discovery.publish_changes(12, vec![]);
    read_revision(&sidecar, 12);
    discovery.close_watches();
    assert_eq!(discovery.watches.wait(2, "watches")[1], "/v1/servers?watch=1&after=12");
}

#[test]
fn beside_a_watch_that_falls_silent_further_ones_are_opened_and_the_first_to_speak_is_followed() {
    // The first watch once was waited on for 7 s: a drain that was written to the next one meanwhile was not heard.
    let (old, new) = (FakeServer::start(|_, _| ok("old")), FakeServer::start(|_, _| ok("new")));
    let discovery = StubDiscovery::start();
    let sidecar = Setup::new(vec![entry("s1", old.address, "up")])
        .discovery(&discovery)
        .set("/sidecar/watch_silence_ms", json!(1000))
        .set("/sidecar/watch_call_ms", json!(300))
        .start();
    sidecar.wait_for_log("open after revision 7");
    discovery.set_silent(true);
    discovery.watches.wait(4, "watches");
    discovery.set_silent(false);
    sidecar.wait_for_log("open after revision 7, unheard for 1");
    discovery.publish_full_list(8, vec![entry("s2", new.address, "up")]);
    read_revision(&sidecar, 8);
    assert_eq!(sidecar.request(&read_request("r1")).text(), "new");
    discovery.closed.wait(3, "the silent watches ended");
}

#[test]
fn a_drain_written_to_a_watch_that_is_reset_unread_is_heard_with_the_next() {
    let (old, new) = (FakeServer::start(|_, _| ok("old")), FakeServer::start(|_, _| ok("new")));
    let discovery = StubDiscovery::start();
    let entries = vec![entry("s1", old.address, "up"), entry("s2", new.address, "up")];
    let sidecar = Setup::new(entries).discovery(&discovery).start();
    sidecar.wait_for_log("open after revision 7");
    // The stand-in may not have noted the watch that it has just written to.
    discovery.watches.wait(1, "watches");
    // Half of the drain's line is written when the watch is reset: nothing of it counts.
    discovery.send_raw("{\"rev\":8,\"all\":false,\"targets\":[{\"uid\":\"s1\",");
    discovery.reset_watches();
    sidecar.wait_for_log("ConnectionReset");
    discovery.watches.wait(2, "watches");
    discovery.publish_changes(8, vec![entry("s1", old.address, "draining")]);
    read_revision(&sidecar, 8);
    for n in 0..20 {
        assert_eq!(sidecar.request(&read_request(&format!("r{n}"))).text(), "new");
    }
}

#[test]
fn a_drain_counts_even_where_the_rest_of_its_entry_cannot_be_read() {
    let (old, new) = (FakeServer::start(|_, _| ok("old")), FakeServer::start(|_, _| ok("new")));
    let discovery = StubDiscovery::start();
    let entries = vec![entry("s1", old.address, "up"), entry("s2", new.address, "up")];
    let sidecar = Setup::new(entries).discovery(&discovery).start();
    discovery.watches.wait(1, "watches");
    let odd = json!({"uid": "s1", "state": "draining", "endpoint": 7, "boot_ms": []});
    discovery.publish_changes(8, vec![odd, json!("x")]);
    sidecar.wait_for_log("server s1: only its state 'draining' can be read");
    read_revision(&sidecar, 8);
    for n in 0..20 {
        assert_eq!(sidecar.request(&read_request(&format!("r{n}"))).text(), "new");
    }
}

#[test]
fn the_list_is_kept_on_disk_and_a_damaged_file_is_refused() {
    let server = FakeServer::start(|_, _| ok("kept"));
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("list");
    let discovery = StubDiscovery::start();
    let setup = || Setup::new(vec![]).set("/sidecar/list_file", json!(file.to_str().unwrap()));
    let sidecar = setup().discovery(&discovery).start();
    discovery.watches.wait(1, "watches");
    discovery.publish_changes(9, vec![entry("s1", server.address, "up")]);
    let kept = || std::fs::read_to_string(&file).unwrap_or_default();
    let end = Instant::now() + WAIT_TIMEOUT;
    while !kept().contains("\"rev\":9") {
        assert!(Instant::now() < end, "the list is not kept");
    }
    drop(sidecar);
    let sidecar = setup().start();
    sidecar.wait_for_log("revision 9, ");
    assert_eq!(sidecar.request(&read_request("r1")).text(), "kept");
    drop(sidecar);
    let whole = kept();
    for (damaged, said) in [
        (whole.replace("up", "xx"), "its checksum does not fit"),
        (whole[..whole.len() - 9].to_owned(), "it was cut off"),
        (whole.replacen(" 1 ", " 9 ", 1), "it is of version '9'"),
        ("[]\n".to_owned(), "it is no list of servers"),
    ] {
        std::fs::write(&file, damaged).unwrap();
        let sidecar = setup().start();
        sidecar.wait_for_log(said);
        assert_eq!(sidecar.request(&read_request("r1")).status(), 503, "a damaged list was used");
    }
}

#[test]
fn what_is_no_list_is_passed_over_and_asked_for_again() {
    let server = FakeServer::start(|_, _| ok("x"));
    let discovery = StubDiscovery::start();
    let sidecar = Setup::new(vec![entry("s1", server.address, "up")]).discovery(&discovery).start();
    discovery.watches.wait(1, "watches");
    // Asked for after the same version, it would come again: the whole list is asked for.
    discovery.set_full_list(7, vec![entry("s1", server.address, "up")]);
    discovery.send_raw("\n{\"rev\":9,\"targets\":\n");
    discovery.list_calls.wait(1, "calls for the whole list");
    assert_eq!(discovery.watches.wait(2, "watches")[1], "/v1/servers?watch=1&after=7");
    assert_eq!(sidecar.request(&read_request("r1")).text(), "x");
}

#[test]
fn an_entry_that_cannot_be_read_keeps_no_other_back() {
    let (old, new) = (FakeServer::start(|_, _| ok("old")), FakeServer::start(|_, _| ok("new")));
    let discovery = StubDiscovery::start();
    let sidecar = Setup::new(vec![entry("s1", old.address, "up")]).discovery(&discovery).start();
    discovery.watches.wait(1, "watches");
    let mut lost = entry("s9", new.address, "up");
    lost["endpoint"] = json!("nowhere");
    let odd = entry("s1", old.address, "resting");
    discovery.publish_changes(8, vec![lost, odd, entry("s2", new.address, "up")]);
    read_revision(&sidecar, 8);
    // Nothing more goes to a server in a state that is not known.
    for n in 0..20 {
        assert_eq!(sidecar.request(&read_request(&format!("r{n}"))).text(), "new");
    }
}

#[test]
fn lines_may_come_in_pieces() {
    let server = FakeServer::start(|_, _| ok("x"));
    let discovery = StubDiscovery::start();
    let sidecar = Setup::new(vec![]).discovery(&discovery).start();
    discovery.watches.wait(1, "watches");
    let line = format!("\n{}\n\n", json!({"rev": 9, "targets": [entry("s1", server.address, "up")]}));
    for piece in line.as_bytes().chunks(7) {
        discovery.send_raw(std::str::from_utf8(piece).unwrap());
    }
    ask_until(&sidecar, "x");
}

/// Guards a watch whose lists are indented: each was taken for garbage, and the watch for broken.
#[test]
fn a_list_over_several_lines_is_taken_as_one() {
    let server = FakeServer::start(|_, _| ok("x"));
    let discovery = StubDiscovery::start();
    let sidecar = Setup::new(vec![]).discovery(&discovery).start();
    discovery.watches.wait(1, "watches");
    let list = json!({"rev": 9, "all": true, "targets": [entry("s1", server.address, "up")]});
    discovery.send_raw(&format!("{}\n", serde_json::to_string_pretty(&list).unwrap()));
    read_revision(&sidecar, 9);
    ask_until(&sidecar, "x");
    assert_eq!(discovery.watches.len(), 1, "the watch is good");
}

#[test]
fn where_lists_come_on_request_the_first_call_is_made_at_once_and_again_after_a_break() {
    // The module's first call once came before the way to discovery stood and was lost; the next is due only
    // after a quarter of `ask_within`, here far beyond the patience of this test.
    let discovery = StubDiscovery::start();
    let sidecar = Setup::new(vec![])
        .discovery(&discovery)
        .set("/settings/discovery", json!("on_request"))
        .set("/settings/safety/ask_within", json!(4_000_000_000_u64))
        .start();
    discovery.watches.wait(1, "watches");
    discovery.publish_full_list(8, vec![]);
    read_revision(&sidecar, 8);
    discovery.close_watches();
    assert_eq!(discovery.watches.wait(2, "watches")[1], "/v1/servers?watch=1&after=8");
}

#[test]
fn a_server_is_known_by_its_uid_and_reached_where_the_list_says() {
    let (before, after) = (FakeServer::start(|_, _| ok("before")), FakeServer::start(|_, _| ok("after")));
    let discovery = StubDiscovery::start();
    let sidecar = Setup::new(vec![entry("s1", before.address, "up")]).discovery(&discovery).start();
    discovery.watches.wait(1, "watches");
    assert_eq!(sidecar.request(&read_request("r1")).text(), "before");
    discovery.publish_changes(8, vec![entry("s1", after.address, "up")]);
    read_revision(&sidecar, 8);
    assert_eq!(sidecar.request(&read_request("r2")).text(), "after");
    before.closed.wait(1, "closed connections");
}

#[test]
fn a_server_that_started_anew_gets_new_connections() {
    // Its old process took the old ones with it, though nothing may have told of that: a request written to
    // one of them could end as one that may have run.
    let server = FakeServer::start(|_, _| ok("x"));
    let discovery = StubDiscovery::start();
    let sidecar = Setup::new(vec![entry("s1", server.address, "up")]).discovery(&discovery).start();
    discovery.watches.wait(1, "watches");
    assert_eq!(sidecar.request(&read_request("r1")).status(), 200);
    let mut restarted: Value = entry("s1", server.address, "up");
    restarted["boot_ms"] = json!(1_700_000_000_000_u64);
    discovery.publish_changes(8, vec![restarted]);
    read_revision(&sidecar, 8);
    server.closed.wait(1, "closed connections");
    assert_eq!(sidecar.request(&read_request("r2")).status(), 200);
    assert_eq!(server.opened.len(), 2);
}

/// How a stand-in discovery treats calls.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Mood {
    /// It answers each watch with the whole list as it is then, and brings signs of life.
    Tells,
    /// Nobody listens at its address.
    Refuses,
    /// It takes calls and says nothing, also later.
    Hangs,
    /// It takes calls and resets their connections.
    Resets,
}

/// What it has to tell, and what became of calls.
#[derive(Clone)]
struct Told {
    mood: Arc<Mutex<Mood>>,
    list: Arc<Mutex<Value>>,
    watches: Arc<Mutex<Vec<TcpStream>>>,
    /// Calls that it took in each mood but the first, and calls left to hang that the other side has given up.
    taken: Recorder<Mood>,
    given_up: Recorder<()>,
}

impl Told {
    fn call(&self, mut stream: TcpStream) {
        let Ok(Some(call)) = read_message(&mut BufReader::new(stream.try_clone().unwrap())) else { return };
        let mood = *self.mood.lock().unwrap();
        match mood {
            // The whole list alone is asked for beside a watch; what is silent to that is the watch's alone.
            Mood::Tells if !call.target().contains("watch=1") => {}
            Mood::Tells => {
                let chunk = |text: &str| format!("{:x}\r\n{text}\r\n", text.len());
                let line = chunk(&format!("{}\n", self.list.lock().unwrap()));
                let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
                self.watches.lock().unwrap().push(stream.try_clone().unwrap());
                stream.set_read_timeout(Some(Duration::from_millis(200))).unwrap();
                let mut written = stream.write_all((head.to_owned() + &line).as_bytes());
                // Up to the end of the watch, which its reset brings.
                while written.is_ok() && !matches!(stream.read(&mut [0; 64]), Ok(0)) {
                    written = stream.write_all(chunk("\n").as_bytes());
                }
            }
            Mood::Hangs => {
                self.taken.push(mood);
                let _ = stream.read(&mut [0; 1]);
                self.given_up.push(());
            }
            Mood::Resets | Mood::Refuses => {
                socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO)).unwrap();
                self.taken.push(mood);
            }
        }
    }
}

/// A stand-in discovery that has moods.
struct Moody {
    address: SocketAddr,
    told: Told,
    listens: Option<JoinHandle<()>>,
}

impl Moody {
    fn start(list: Value) -> Moody {
        let (mood, watches) = (Arc::new(Mutex::new(Mood::Tells)), Arc::default());
        let (list, taken, given_up) = (Arc::new(Mutex::new(list)), Recorder::new(), Recorder::new());
        let told = Told { mood, list, watches, taken, given_up };
        let mut moody = Moody { address: unique_address(), told, listens: None };
        moody.becomes(Mood::Tells);
        moody
    }

    /// Treats calls in this way from here on; watches that are open are reset.
    fn becomes(&mut self, mood: Mood) {
        *self.told.mood.lock().unwrap() = mood;
        for stream in self.told.watches.lock().unwrap().drain(..) {
            socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO)).unwrap();
            // Its thread lets go of it, and the last to do so resets it.
            let _ = stream.shutdown(std::net::Shutdown::Read);
        }
        if mood == Mood::Refuses {
            // Its listener goes with its thread, which one more connection wakes.
            drop(TcpStream::connect(self.address));
            self.listens.take().into_iter().for_each(|thread| thread.join().unwrap());
        } else if self.listens.is_none() {
            let listener = TcpListener::bind(self.address).unwrap();
            let told = self.told.clone();
            self.listens = Some(std::thread::spawn(move || {
                for stream in listener.incoming().map_while(Result::ok) {
                    if *told.mood.lock().unwrap() == Mood::Refuses {
                        return;
                    }
                    let told = told.clone();
                    std::thread::spawn(move || told.call(stream));
                }
            }));
        }
    }

    /// Has calls lost in this mood: so many, or one that hangs until it is given up where that is to be waited for.
    fn loses(&mut self, sidecar: &Sidecar, mood: Mood, given_up: bool) {
        let refused = || sidecar.log.all().iter().filter(|line| line.contains("refused")).count();
        let (were_refused, taken) = (refused(), self.told.taken.len());
        let were_given_up = self.told.given_up.len();
        self.becomes(mood);
        let end = Instant::now() + WAIT_TIMEOUT;
        match mood {
            Mood::Tells => {}
            Mood::Refuses => {
                while refused() < were_refused + 2 {
                    assert!(Instant::now() < end, "no call is refused: {:?}", sidecar.log.all());
                    sidecar.log.wait(sidecar.log.len() + 1, "log lines");
                }
            }
            Mood::Hangs if given_up => {
                self.told.given_up.wait(were_given_up + 1, "calls given up");
            }
            Mood::Hangs | Mood::Resets => {
                self.told.taken.wait(taken + 1, "calls");
            }
        }
    }
}

/// A list of these servers, of which the first so many drain.
fn draining(rev: u64, servers: &[FakeServer], first: usize) -> Value {
    let state = |n| if n < first { "draining" } else { "up" };
    let entries = servers.iter().enumerate().map(|(n, s)| entry(&format!("s{n}"), s.address, state(n)));
    json!({"rev": rev, "all": true, "targets": entries.collect::<Vec<_>>()})
}

/// Has discovery lose calls in each of these orders with a drain in its midst, and asserts that it is acted on in time.
fn drains_are_acted_on(mode: &str, orders: &[&[Mood]], given_up: bool) {
    let names = (0..=orders.len()).map(|n| format!("server {n}"));
    let servers: Vec<FakeServer> = names.map(|name| FakeServer::start(move |_, _| ok(&name))).collect();
    let mut discovery = Moody::start(draining(7, &servers, 0));
    let known = draining(7, &servers, 0)["targets"].as_array().unwrap().clone();
    let sidecar = Setup::new(known)
        .set("/discovery", json!(discovery.address.to_string()))
        .set("/settings/discovery", json!(mode))
        // The module asks again beside a call that hangs only after a quarter of it.
        .set("/settings/safety/ask_within", json!(60_000_000))
        .start();
    sidecar.wait_for_log("in whole revision 7: ");
    for (n, order) in orders.iter().enumerate() {
        let rev = 8 + n as u64;
        for (at, mood) in order.iter().enumerate() {
            discovery.loses(&sidecar, *mood, given_up);
            if at == order.len() / 2 {
                *discovery.told.list.lock().unwrap() = draining(rev, &servers, n + 1);
            }
        }
        let reached = Instant::now();
        discovery.becomes(Mood::Tells);
        read_revision(&sidecar, rev);
        let late = reached.elapsed();
        println!("{mode}, {order:?}: {} ms", late.as_millis());
        // What it had counts as told 6 s after it could be reached, and the grace is a second.
        assert!(late < Duration::from_secs(7), "{order:?}: acted on after {late:?}");
        let before = servers[n].request_count();
        for _ in 0..10 {
            // Whether a busy machine's servers answer in time is not what is asked here.
            sidecar.request(&read_request("r"));
        }
        assert_eq!(servers[n].request_count(), before, "{order:?}: a server that drains got a request");
    }
}

/// Guards a drain that discovery came to have while calls to it were refused, hung or were reset.
#[test]
fn a_drain_told_while_calls_were_lost_is_acted_on_once_discovery_can_be_reached() {
    use Mood::{Hangs, Refuses, Resets};
    let orders: [&[Mood]; 6] = [
        &[Refuses, Hangs, Resets],
        &[Refuses, Resets, Hangs],
        &[Hangs, Refuses, Resets],
        &[Hangs, Resets, Refuses],
        &[Resets, Refuses, Hangs],
        &[Resets, Hangs, Refuses],
    ];
    drains_are_acted_on("pushed", &orders, true);
}

/// The same where lists come on request. A call that hangs is still out when discovery is back: only another brings the list.
#[test]
fn a_drain_told_while_calls_were_lost_is_acted_on_where_lists_come_on_request() {
    drains_are_acted_on("on_request", &[&[Mood::Refuses, Mood::Resets, Mood::Hangs]], false);
}
