//! Test client, fake servers, stub discovery and a handle on the sidecar process under test. All of them use
//! loopback addresses; each wait is for a condition and fails after `WAIT_TIMEOUT`.

#![allow(dead_code)]

use serde_json::{Value, json};
use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::unix::fs::OpenOptionsExt;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU8, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

/// How long a condition may take on a busy machine before the test fails.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// An HTTP/1.1 message as received.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Request line or status line.
    pub start_line: String,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(&name.to_lowercase()).map(String::as_str)
    }

    pub fn status(&self) -> u16 {
        self.start_line.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    pub fn method(&self) -> &str {
        self.start_line.split(' ').next().unwrap_or_default()
    }

    pub fn target(&self) -> &str {
        self.start_line.split(' ').nth(1).unwrap_or_default()
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Reads one message; `None` if the connection was closed before its first byte.
pub fn read_message(input: &mut impl BufRead) -> std::io::Result<Option<Message>> {
    let mut message = Message::default();
    if input.read_line(&mut message.start_line)? == 0 {
        return Ok(None);
    }
    message.start_line.truncate(message.start_line.trim_end().len());
    loop {
        let mut line = String::new();
        if input.read_line(&mut line)? == 0 {
            return Err(std::io::ErrorKind::UnexpectedEof.into());
        }
        let Some((name, value)) = line.trim_end().split_once(':') else { break };
        message.headers.insert(name.to_lowercase(), value.trim().to_owned());
    }
    let length = message.header("content-length").and_then(|l| l.parse().ok()).unwrap_or(0);
    message.body = vec![0; length];
    input.read_exact(&mut message.body)?;
    Ok(Some(message))
}

/// A thread-safe list of observed events whose length tests can wait for.
pub struct Recorder<T>(Arc<RecorderState<T>>);

struct RecorderState<T> {
    events: Mutex<Vec<T>>,
    changed: Condvar,
}

impl<T> Clone for Recorder<T> {
    fn clone(&self) -> Self {
        Recorder(self.0.clone())
    }
}

impl<T: Clone> Recorder<T> {
    pub fn new() -> Recorder<T> {
        Recorder(Arc::new(RecorderState { events: Mutex::new(Vec::new()), changed: Condvar::new() }))
    }

    /// Appends an event and returns its index.
    pub fn push(&self, event: T) -> usize {
        let mut events = self.0.events.lock().unwrap();
        events.push(event);
        self.0.changed.notify_all();
        events.len() - 1
    }

    pub fn all(&self) -> Vec<T> {
        self.0.events.lock().unwrap().clone()
    }

    pub fn len(&self) -> usize {
        self.0.events.lock().unwrap().len()
    }

    /// Waits until at least `count` events were recorded and returns all of them.
    pub fn wait(&self, count: usize, what: &str) -> Vec<T> {
        let give_up_at = Instant::now() + WAIT_TIMEOUT;
        let mut events = self.0.events.lock().unwrap();
        while events.len() < count {
            let left = give_up_at.saturating_duration_since(Instant::now());
            assert!(!left.is_zero(), "{what}: {} of {count} observed", events.len());
            events = self.0.changed.wait_timeout(events, left).unwrap().0;
        }
        events.clone()
    }
}

/// What a fake server does with a request.
#[derive(Clone)]
pub enum Action {
    /// Responds with this status, these headers and this body.
    Reply { status: u16, headers: Vec<(&'static str, String)>, body: String },
    /// Sends nothing until the other side closes the connection.
    Hang,
    /// Closes the connection without a response.
    Close,
    /// Writes these bytes and then keeps or closes the connection.
    Raw(String, AfterWrite),
    /// Performs the action once the test opens the gate.
    Gated(Arc<Mutex<Receiver<()>>>, Box<Action>),
    /// Performs the first action, then the second one if the connection is still open.
    Sequence(Box<Action>, Box<Action>),
}

/// What happens to the connection after a raw write.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum AfterWrite {
    KeepOpen,
    Close,
}

/// A response without headers of its own and with an empty body.
pub fn status_only(status: u16) -> Action {
    Action::Reply { status, headers: vec![], body: String::new() }
}

pub fn ok(body: &str) -> Action {
    Action::Reply { status: 200, headers: vec![], body: body.to_owned() }
}

/// A response with status 200 that waits until something is sent on the gate.
pub fn gated_ok(body: &str) -> (Sender<()>, Action) {
    gated(ok(body))
}

/// Any action that waits until something is sent on the gate.
pub fn gated(action: Action) -> (Sender<()>, Action) {
    let (sender, receiver) = channel();
    (sender, Action::Gated(Arc::new(Mutex::new(receiver)), Box::new(action)))
}

/// Rejects a request and states that it was not processed.
pub fn rejected(status: u16) -> Action {
    Action::Reply { status, headers: vec![("X-Not-Processed", "1".into())], body: String::new() }
}

/// A request other than a probe, as a fake server received it.
#[derive(Clone)]
pub struct ReceivedRequest {
    /// Number of the connection that it came on.
    pub connection: usize,
    pub message: Message,
}

/// The moment at which the last byte of a request arrived, which is when its attempt began.
#[derive(Clone)]
pub struct Arrival {
    pub request_id: String,
    pub at: Instant,
}

/// A connection that the other side closed.
#[derive(Clone)]
pub struct ClosedConnection {
    pub connection: usize,
    /// Time since the last response on it.
    pub idle: Duration,
}

/// A server that the sidecar sends requests to.
pub struct FakeServer {
    pub address: SocketAddr,
    /// Requests other than probes, in the order in which their last byte arrived.
    pub requests: Recorder<ReceivedRequest>,
    pub arrivals: Recorder<Arrival>,
    /// Paths of probes.
    pub probes: Recorder<String>,
    /// Numbers of the connections opened.
    pub opened: Recorder<usize>,
    pub closed: Recorder<ClosedConnection>,
}

impl FakeServer {
    /// Starts a server that performs the action chosen by the number of the request, counted from 0.
    pub fn start(action: impl Fn(usize, &Message) -> Action + Send + Sync + 'static) -> FakeServer {
        FakeServer::start_with_load(action, || r#"{"inflight":0,"queue":0,"util":0.0}"#.to_owned())
    }

    /// The same with a load report for its probes.
    pub fn start_with_load(
        action: impl Fn(usize, &Message) -> Action + Send + Sync + 'static,
        load: impl Fn() -> String + Send + Sync + 'static,
    ) -> FakeServer {
        FakeServer::start_on(TcpListener::bind("127.0.0.1:0").unwrap(), action, load)
    }

    /// The same on this listener.
    fn start_on(
        listener: TcpListener,
        action: impl Fn(usize, &Message) -> Action + Send + Sync + 'static,
        load: impl Fn() -> String + Send + Sync + 'static,
    ) -> FakeServer {
        let recorders = ServerRecorders::new();
        let server = FakeServer {
            address: listener.local_addr().unwrap(),
            requests: recorders.requests.clone(),
            arrivals: recorders.arrivals.clone(),
            probes: recorders.probes.clone(),
            opened: recorders.opened.clone(),
            closed: recorders.closed.clone(),
        };
        let action = Arc::new(action);
        let load = Arc::new(load);
        thread::spawn(move || {
            for (connection, stream) in listener.incoming().enumerate() {
                let Ok(stream) = stream else { return };
                recorders.opened.push(connection);
                let recorders = recorders.clone();
                let action = action.clone();
                let load = load.clone();
                thread::spawn(move || recorders.serve(connection, stream, &*action, &*load));
            }
        });
        server
    }

    pub fn request_count(&self) -> usize {
        self.requests.len()
    }

    /// The ids of the requests received, in order of arrival.
    pub fn request_ids(&self) -> Vec<String> {
        let id = |message: &Message| message.header("x-request-id").unwrap_or_default().to_owned();
        self.requests.all().iter().map(|request| id(&request.message)).collect()
    }
}

/// The recorders of a fake server, shared with the threads of its connections.
#[derive(Clone)]
struct ServerRecorders {
    requests: Recorder<ReceivedRequest>,
    arrivals: Recorder<Arrival>,
    probes: Recorder<String>,
    opened: Recorder<usize>,
    closed: Recorder<ClosedConnection>,
}

impl ServerRecorders {
    fn new() -> ServerRecorders {
        ServerRecorders {
            requests: Recorder::new(),
            arrivals: Recorder::new(),
            probes: Recorder::new(),
            opened: Recorder::new(),
            closed: Recorder::new(),
        }
    }

    /// Serves one connection until either side closes it.
    fn serve(
        &self,
        connection: usize,
        stream: TcpStream,
        action: &impl Fn(usize, &Message) -> Action,
        load: &impl Fn() -> String,
    ) {
        let mut last_response = Instant::now();
        let mut input = BufReader::new(stream.try_clone().unwrap());
        while let Ok(Some(message)) = read_message(&mut input) {
            if matches!(message.target(), "/load" | "/healthz") {
                self.probes.push(message.target().to_owned());
                let body = load();
                let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
                let _ = (&stream).write_all((head + &body).as_bytes());
                last_response = Instant::now();
                continue;
            }
            let request_id = message.header("x-request-id").unwrap_or_default().to_owned();
            self.arrivals.push(Arrival { request_id, at: Instant::now() });
            let number = self.requests.push(ReceivedRequest { connection, message: message.clone() });
            if !perform(&stream, action(number, &message)) {
                break;
            }
            last_response = Instant::now();
        }
        self.closed.push(ClosedConnection { connection, idle: last_response.elapsed() });
    }
}

/// A listener whose accept queue is full: connections to it are not established until it is opened.
pub struct SaturatedListener {
    listener: TcpListener,
    queued: Vec<TcpStream>,
    pub address: SocketAddr,
}

impl SaturatedListener {
    pub fn new() -> SaturatedListener {
        let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
        socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
        socket.listen(1).unwrap();
        let listener = TcpListener::from(socket);
        let address = listener.local_addr().unwrap();
        let mut queued = Vec::new();
        while let Ok(stream) = TcpStream::connect_timeout(&address, Duration::from_millis(300)) {
            queued.push(stream);
        }
        SaturatedListener { listener, queued, address }
    }

    /// Number of connections in its accept queue, which are accepted first.
    pub fn queued_connections(&self) -> usize {
        self.queued.len()
    }

    /// Accepts connections from here on, as stub discovery.
    pub fn open_as_discovery(self) -> StubDiscovery {
        drop(self.queued);
        StubDiscovery::start_on(self.listener)
    }

    /// Accepts connections from here on, as a fake server.
    pub fn open_as_server(
        self,
        action: impl Fn(usize, &Message) -> Action + Send + Sync + 'static,
    ) -> FakeServer {
        drop(self.queued);
        FakeServer::start_on(self.listener, action, || String::from("{}"))
    }
}

/// Performs an action; returns false if the connection is closed afterwards.
fn perform(mut stream: &TcpStream, action: Action) -> bool {
    match action {
        Action::Reply { status, headers, body } => {
            let mut head = format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n", body.len());
            for (name, value) in headers {
                head += &format!("{name}: {value}\r\n");
            }
            stream.write_all((head + "\r\n" + &body).as_bytes()).is_ok()
        }
        Action::Hang => {
            let _ = stream.read(&mut [0; 1]);
            false
        }
        Action::Close => {
            let _ = stream.shutdown(std::net::Shutdown::Both);
            false
        }
        Action::Raw(bytes, after_write) => {
            let _ = stream.write_all(bytes.as_bytes());
            if after_write == AfterWrite::Close {
                let _ = stream.shutdown(std::net::Shutdown::Both);
            }
            after_write == AfterWrite::KeepOpen
        }
        Action::Gated(gate, action) => {
            let _ = gate.lock().unwrap().recv_timeout(WAIT_TIMEOUT);
            perform(stream, *action)
        }
        Action::Sequence(first, second) => perform(stream, *first) && perform(stream, *second),
    }
}

/// A loopback address that no other test of this run uses. A port that was merely free a moment ago could be
/// taken by another test's fake server before it is bound.
pub fn unique_address() -> SocketAddr {
    static NEXT: AtomicU8 = AtomicU8::new(1);
    let [.., high, low] = std::process::id().to_be_bytes();
    SocketAddr::from(([127, 128 | high, low, NEXT.fetch_add(1, Ordering::SeqCst)], 5000))
}

/// Discovery that accepts watches and sends the lines that a test gives it.
pub struct StubDiscovery {
    pub address: SocketAddr,
    /// Request targets of the watches.
    pub watches: Recorder<String>,
    /// Request targets of the calls for the full list.
    pub list_calls: Recorder<String>,
    /// Numbers of the connections that the other side closed.
    pub closed: Recorder<usize>,
    state: Arc<DiscoveryState>,
}

/// State that a stub discovery shares with its threads.
#[derive(Default)]
struct DiscoveryState {
    /// Response to calls for the full list; while there is none, they get no response.
    full_list: Mutex<Option<String>>,
    /// Open watches.
    streams: Mutex<Vec<TcpStream>>,
    /// Sends neither a first line nor heartbeats.
    silent: AtomicBool,
}

/// Interval of the heartbeats on a watch; the sidecar expects one every 2 s.
const HEARTBEAT: Duration = Duration::from_millis(200);

fn chunk(bytes: &str) -> Vec<u8> {
    format!("{:x}\r\n{bytes}\r\n", bytes.len()).into_bytes()
}

impl StubDiscovery {
    pub fn start() -> StubDiscovery {
        StubDiscovery::start_on(TcpListener::bind("127.0.0.1:0").unwrap())
    }

    /// The same on this listener.
    pub fn start_on(listener: TcpListener) -> StubDiscovery {
        let discovery = StubDiscovery {
            address: listener.local_addr().unwrap(),
            watches: Recorder::new(),
            list_calls: Recorder::new(),
            closed: Recorder::new(),
            state: Arc::default(),
        };
        let state = discovery.state.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(HEARTBEAT);
                if !state.silent.load(Ordering::SeqCst) {
                    let mut streams = state.streams.lock().unwrap();
                    streams.iter_mut().for_each(|stream| drop(stream.write_all(&chunk("\n"))));
                }
            }
        });
        let watches = discovery.watches.clone();
        let list_calls = discovery.list_calls.clone();
        let closed = discovery.closed.clone();
        let state = discovery.state.clone();
        thread::spawn(move || {
            for (connection, stream) in listener.incoming().enumerate() {
                let Ok(stream) = stream else { return };
                let watches = watches.clone();
                let list_calls = list_calls.clone();
                let closed = closed.clone();
                let state = state.clone();
                thread::spawn(move || {
                    state.serve(&stream, &watches, &list_calls);
                    closed.push(connection);
                });
            }
        });
        discovery
    }

    /// Sets the response to calls for the full list.
    pub fn set_full_list(&self, rev: u64, targets: Vec<Value>) {
        let list = json!({"rev": rev, "all": true, "targets": targets}).to_string();
        *self.state.full_list.lock().unwrap() = Some(list);
    }

    /// Sends bytes on every open watch.
    pub fn send_raw(&self, bytes: &str) {
        let mut streams = self.state.streams.lock().unwrap();
        let reached = streams.iter_mut().filter_map(|stream| stream.write_all(&chunk(bytes)).ok());
        assert!(reached.count() > 0, "no watch is open");
    }

    /// Sends changes to the list as one line on every watch.
    pub fn publish_changes(&self, rev: u64, targets: Vec<Value>) {
        self.publish(rev, false, targets);
    }

    /// Sends a full list as one line on every watch.
    pub fn publish_full_list(&self, rev: u64, targets: Vec<Value>) {
        self.publish(rev, true, targets);
    }

    fn publish(&self, rev: u64, full: bool, targets: Vec<Value>) {
        self.send_raw(&format!("{}\n", json!({"rev": rev, "all": full, "targets": targets})));
    }

    /// Stops or resumes first lines and heartbeats.
    pub fn set_silent(&self, silent: bool) {
        self.state.silent.store(silent, Ordering::SeqCst);
    }

    /// Resets all watches: data written to them and not yet read is lost.
    pub fn reset_watches(&self) {
        for stream in self.state.streams.lock().unwrap().drain(..) {
            socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO)).unwrap();
            // The thread of the connection then drops its handle; dropping the last one sends the reset.
            let _ = stream.shutdown(std::net::Shutdown::Read);
        }
    }

    /// Closes all watches.
    pub fn close_watches(&self) {
        for stream in self.state.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    }
}

impl DiscoveryState {
    /// Serves one connection until the other side closes it.
    fn serve(&self, mut stream: &TcpStream, watches: &Recorder<String>, list_calls: &Recorder<String>) {
        let mut input = BufReader::new(stream.try_clone().unwrap());
        while let Ok(Some(call)) = read_message(&mut input) {
            if call.target().contains("watch=1") {
                let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
                if !self.silent.load(Ordering::SeqCst) {
                    let after = call.target().split_once("after=").map_or("0", |(_, rest)| rest);
                    let after = after.split('&').next().unwrap_or("0");
                    let first = format!("{{\"rev\":{after},\"all\":false,\"targets\":[]}}\n");
                    let _ = stream.write_all(&chunk(&first));
                }
                self.streams.lock().unwrap().push(stream.try_clone().unwrap());
                watches.push(call.target().to_owned());
                continue;
            }
            list_calls.push(call.target().to_owned());
            if let Some(list) = self.full_list.lock().unwrap().as_ref() {
                let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", list.len());
                let _ = stream.write_all((head + list).as_bytes());
            }
        }
    }
}

/// How long a connection to a server rests after a response before it is reused.
pub const CONNECTION_REST: Duration = Duration::from_millis(10);

/// Waits until connections with a response received by now may be reused.
pub fn wait_for_connection_rest() {
    let answered = Instant::now();
    while answered.elapsed() <= CONNECTION_REST {
        thread::yield_now();
    }
}

/// A server entry of a discovery list.
pub fn entry(uid: &str, address: SocketAddr, state: &str) -> Value {
    json!({"uid": uid, "endpoint": address.to_string(), "az": "a", "model": "m", "pod_group": 0,
           "state": state, "capacity_hint": 1.0, "boot_ms": 0})
}

/// Settings with one class of each kind, no probes and time for two attempts.
pub fn settings() -> Value {
    let class = |name: &str, semantics: &str| {
        json!({"name": name, "aim": 400_000, "deadline": 1_000_000, "gain": 1.0, "group": "all",
               "late_worth": 0.5, "semantics": semantics, "stream": false, "window": 5_000_000})
    };
    json!({"balancers": 1, "me": 0, "locality": 0, "zones": ["a"], "tick": 1000, "discovery": "pushed",
           "classes": [class("read", "retryable"), class("once", "fragile"), class("pay", "dedup")],
           "tenants": [{"name": "acme", "quota_per_s": 100.0, "share": 1.0}],
           "limits": {"try_limit": 3, "connect_timeout": 200_000, "conn_idle": 60_000_000, "cancel": true,
                      "probes": false, "parallel_tries": false, "retry_after": false, "max_open": 1000},
           "stats": {"fields": ["inflight", "queue", "util"], "how": "inline"},
           "safety": {"drain_grace": 1_000_000, "cold": 8_000_000, "cold_from": 0.3}})
}

/// Builder for a sidecar process.
pub struct Setup {
    pub config: Value,
    pub env: Vec<(&'static str, String)>,
    /// The operating system's limit on descriptors (`ulimit -n`), if the test sets one.
    pub descriptor_limit: Option<usize>,
}

impl Setup {
    /// Uses these servers as the initial list; nothing listens at the address of discovery.
    pub fn new(known: Vec<Value>) -> Setup {
        let listen = unique_address();
        let discovery = unique_address();
        let config = json!({
            "name": "n0", "listen": listen.to_string(), "discovery": discovery.to_string(),
            "seed": "8c1f30d27a5be964", "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": {"rev": 7, "all": true, "targets": known}, "settings": settings(),
            "sidecar": {"log": "debug"},
        });
        Setup { config, env: Vec::new(), descriptor_limit: None }
    }

    pub fn discovery(mut self, discovery: &StubDiscovery) -> Setup {
        self.config["discovery"] = json!(discovery.address.to_string());
        self
    }

    /// Sets a value of the configuration, by its JSON pointer.
    pub fn set(mut self, pointer: &str, value: Value) -> Setup {
        let (parent, key) = pointer.rsplit_once('/').unwrap();
        self.config.pointer_mut(parent).unwrap_or_else(|| panic!("no {parent}"))[key] = value;
        self
    }

    /// Makes connect timeouts, aims and deadlines so long (60 s) that none expires during a test.
    pub fn long_timeouts(self) -> Setup {
        let long = json!(60_000_000);
        let setup = self.set("/settings/limits/connect_timeout", long.clone());
        (0..3).fold(setup, |setup, n| {
            let of = |key: &str| format!("/settings/classes/{n}/{key}");
            setup.set(&of("aim"), long.clone()).set(&of("deadline"), long.clone())
        })
    }

    /// Starts the process without waiting for it to serve.
    pub fn spawn(self) -> Sidecar {
        let file = tempfile::NamedTempFile::new().unwrap();
        std::fs::write(file.path(), self.config.to_string()).unwrap();
        let program = env!("CARGO_BIN_EXE_dunlincleat-sidecar");
        let mut command = match self.descriptor_limit {
            None => Command::new(program),
            // `exec` keeps the process id of the shell, and the limit is set before the sidecar starts.
            Some(limit) => {
                let mut shell = Command::new("sh");
                shell.args(["-c", &format!("ulimit -n {limit} && exec \"$0\""), program]);
                shell
            }
        };
        for name in ["EDGE_NAME", "EDGE_LISTEN", "EDGE_DISCOVERY"] {
            command.env_remove(name);
        }
        command.env("EDGE_CONFIG", file.path()).envs(self.env).stderr(Stdio::piped()).stdout(Stdio::null());
        let mut child = command.spawn().unwrap();
        let log = Recorder::new();
        let lines = log.clone();
        let stderr = child.stderr.take().unwrap();
        let log_reading = Arc::new(Mutex::new(()));
        let reader_blocked = Arc::new(AtomicBool::new(false));
        let reading = log_reading.clone();
        let blocked = reader_blocked.clone();
        let log_reader = thread::spawn(move || {
            for line in BufReader::new(stderr).lines().map_while(Result::ok) {
                blocked.store(true, Ordering::SeqCst);
                drop(reading.lock());
                blocked.store(false, Ordering::SeqCst);
                lines.push(line);
            }
        });
        let listen = self.config["listen"].as_str().and_then(|l| l.parse().ok());
        let listen = listen.unwrap_or_else(|| SocketAddr::from(([127, 0, 0, 1], 0)));
        Sidecar {
            child,
            listen,
            log,
            log_reader: Some(log_reader),
            log_reading,
            reader_blocked,
            file,
            config: self.config,
        }
    }

    /// Starts the process and waits until it serves.
    pub fn start(self) -> Sidecar {
        let sidecar = self.spawn();
        let give_up_at = Instant::now() + WAIT_TIMEOUT;
        loop {
            if let Ok(stream) = TcpStream::connect(sidecar.listen) {
                let mut client = Client::new(stream);
                client.send("GET /healthz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
                assert_eq!(client.read_response().status(), 200);
                return sidecar;
            }
            assert!(Instant::now() < give_up_at, "the sidecar does not listen: {:?}", sidecar.log.all());
            thread::yield_now();
        }
    }
}

/// The sidecar process under test, killed on drop.
pub struct Sidecar {
    child: Child,
    pub listen: SocketAddr,
    pub log: Recorder<String>,
    log_reader: Option<thread::JoinHandle<()>>,
    /// While a test locks this, the log is not read.
    log_reading: Arc<Mutex<()>>,
    /// Whether the log reader waits for `log_reading`.
    reader_blocked: Arc<AtomicBool>,
    file: tempfile::NamedTempFile,
    pub config: Value,
}

impl Sidecar {
    pub fn connect(&self) -> Client {
        Client::new(TcpStream::connect(self.listen).unwrap())
    }

    /// Sends one request on a new connection and returns its response.
    pub fn request(&self, request: &str) -> Message {
        let mut client = self.connect();
        client.send(request);
        client.read_response()
    }

    pub fn signal(&self, signal: &str) {
        let pid = self.child.id().to_string();
        assert!(Command::new("kill").args(["-s", signal, &pid]).status().unwrap().success());
    }

    /// Stops reading the log and fills its pipe, so that the process blocks in the middle of its work when it
    /// writes its next log line. After the guard is dropped it finds all that happened meanwhile at once.
    pub fn block_on_next_log_line(&self) -> MutexGuard<'_, ()> {
        let guard = self.log_reading.lock().unwrap();
        // Linux value; opening the pipe anew does not set the flag on the process's own end.
        const O_NONBLOCK: i32 = 0o4000;
        let pipe = format!("/proc/{}/fd/2", self.child.id());
        let mut pipe = std::fs::OpenOptions::new().write(true).custom_flags(O_NONBLOCK).open(pipe).unwrap();
        let give_up_at = Instant::now() + WAIT_TIMEOUT;
        // Whole blocks first, then single bytes: single bytes alone take longer than the tests can wait.
        while pipe.write(&[b'\n'; 4096]).is_ok()
            || pipe.write(b"\n").is_ok()
            || !self.reader_blocked.load(Ordering::SeqCst)
        {
            assert!(Instant::now() < give_up_at, "the log pipe did not fill up");
        }
        guard
    }

    /// Replaces the configuration file and sends SIGHUP.
    pub fn reload(&self, config: &str) {
        std::fs::write(self.file.path(), config).unwrap();
        self.signal("HUP");
    }

    /// Waits until the process exits and returns its log.
    pub fn wait_for_exit(mut self) -> Exit {
        let give_up_at = Instant::now() + WAIT_TIMEOUT;
        let status = loop {
            if let Some(status) = self.child.try_wait().unwrap() {
                break status;
            }
            assert!(Instant::now() < give_up_at, "the sidecar did not exit");
            thread::yield_now();
        };
        self.log_reader.take().unwrap().join().unwrap();
        Exit { status, log: self.log.all().join("\n") }
    }

    /// CPU time used by the process.
    pub fn cpu_time(&self) -> Duration {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.child.id())).unwrap();
        let fields: Vec<&str> = stat.rsplit(") ").next().unwrap().split(' ').collect();
        // In clock ticks of 10 ms (USER_HZ on Linux).
        let ticks = fields[11].parse::<u64>().unwrap() + fields[12].parse::<u64>().unwrap();
        Duration::from_millis(ticks * 10)
    }

    /// Number of open descriptors of the process.
    pub fn open_descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.child.id())).unwrap().count()
    }

    /// Counts the datagram sockets and threads of the process.
    pub fn resource_counts(&self) -> ResourceCounts {
        let of = |path: &str| format!("/proc/{}/{path}", self.child.id());
        let table = std::fs::read_to_string(of("net/udp")).unwrap();
        let sockets: Vec<&str> =
            table.lines().skip(1).filter_map(|line| line.split_whitespace().nth(9)).collect();
        let links =
            std::fs::read_dir(of("fd")).unwrap().filter_map(|fd| std::fs::read_link(fd.ok()?.path()).ok());
        let datagram = |link: &std::path::PathBuf| {
            let link = link.display().to_string();
            link.strip_prefix("socket:[").is_some_and(|rest| sockets.contains(&rest.trim_end_matches(']')))
        };
        ResourceCounts {
            datagram_sockets: links.filter(datagram).count(),
            threads: std::fs::read_dir(of("task")).unwrap().count(),
        }
    }

    /// Resident memory of the process, in bytes.
    pub fn resident_memory(&self) -> usize {
        self.status_bytes("VmRSS:")
    }

    /// The highest resident memory so far, in bytes.
    pub fn peak_resident_memory(&self) -> usize {
        self.status_bytes("VmHWM:")
    }

    fn status_bytes(&self, key: &str) -> usize {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap();
        let line = status.lines().find_map(|line| line.strip_prefix(key)).unwrap();
        line.trim().trim_end_matches(" kB").parse::<usize>().unwrap() * 1024
    }

    /// Waits for a log line that contains this text.
    pub fn wait_for_log(&self, what: &str) {
        let give_up_at = Instant::now() + WAIT_TIMEOUT;
        let mut seen = 0;
        loop {
            let lines = self.log.wait(seen, "log lines");
            if lines.iter().any(|l| l.contains(what)) {
                return;
            }
            assert!(Instant::now() < give_up_at, "'{what}' is not in the log: {lines:?}");
            seen = lines.len() + 1;
        }
    }
}

impl Drop for Sidecar {
    fn drop(&mut self) {
        if thread::panicking() {
            eprintln!("the sidecar's log:\n{}", self.log.all().join("\n"));
        }
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// How a sidecar process exited.
pub struct Exit {
    pub status: ExitStatus,
    /// All that it wrote to its log.
    pub log: String,
}

/// What a process holds of the operating system's resources.
pub struct ResourceCounts {
    pub datagram_sockets: usize,
    pub threads: usize,
}

/// A client connection to the sidecar.
pub struct Client {
    pub stream: TcpStream,
    input: BufReader<TcpStream>,
}

impl Client {
    fn new(stream: TcpStream) -> Client {
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
        let input = BufReader::new(stream.try_clone().unwrap());
        Client { stream, input }
    }

    pub fn send(&mut self, request: &str) {
        self.stream.write_all(request.as_bytes()).unwrap();
    }

    pub fn read_response(&mut self) -> Message {
        read_message(&mut self.input).unwrap().expect("the connection was closed without a response")
    }

    /// Waits for a response or until the connection is closed.
    pub fn read_response_or_close(&mut self) -> Option<Message> {
        match read_message(&mut self.input) {
            Ok(message) => message,
            Err(error) if error.kind() == std::io::ErrorKind::ConnectionReset => None,
            Err(error) => panic!("neither a response nor a closed connection: {error}"),
        }
    }

    /// Resets the connection, as when the process of the client is killed: unread and unwritten data is lost.
    pub fn reset(self) {
        socket2::SockRef::from(&self.stream).set_linger(Some(Duration::ZERO)).unwrap();
    }

    /// Waits until the other side closes the connection; no further byte may arrive.
    pub fn wait_for_close(&mut self) {
        let mut rest = Vec::new();
        match self.input.read_to_end(&mut rest) {
            Ok(_) => {}
            Err(error) if error.kind() == std::io::ErrorKind::ConnectionReset => {}
            Err(error) => panic!("the connection was not closed: {error}"),
        }
        assert_eq!(String::from_utf8_lossy(&rest), "", "bytes after the response");
    }
}

fn request(method: &str, path: &str, id: &str, extra: &str, body: &str) -> String {
    let length = if method == "POST" { format!("Content-Length: {}\r\n", body.len()) } else { String::new() };
    format!(
        "{method} {path} HTTP/1.1\r\nHost: service.internal\r\nX-Request-ID: {id}\r\nX-Tenant-Id: acme\r\n\
         X-Timeout: 0.9\r\n{extra}{length}\r\n{body}"
    )
}

/// A request of the class whose requests are safe to repeat.
pub fn read_request(id: &str) -> String {
    request("GET", "/read", id, "", "")
}

/// A request of the class whose requests must not run twice.
pub fn once_request(id: &str) -> String {
    request("POST", "/once", id, "", "body")
}

/// A request of the class whose requests carry an idempotency key.
pub fn pay_request(id: &str) -> String {
    request("POST", "/pay", id, "Idempotency-Key: k1\r\n", "body")
}

/// Lets a request wait for up to 60 s; goes with `Setup::long_timeouts`.
pub fn with_long_timeout(request: String) -> String {
    request.replace("X-Timeout: 0.9", "X-Timeout: 60")
}

/// Sends one line to the console and returns its reply.
pub fn console_call(console: SocketAddr, line: &[u8]) -> String {
    let mut stream = TcpStream::connect(console).unwrap();
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
    stream.write_all(line).unwrap();
    let mut reply = String::new();
    stream.read_to_string(&mut reply).unwrap();
    reply
}
