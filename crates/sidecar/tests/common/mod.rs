//! Stand-ins for the application, the servers and discovery, and a handle on the program under test. All of
//! them live on loopback; each wait is for a condition and fails after `PATIENCE`.

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
pub const PATIENCE: Duration = Duration::from_secs(20);

/// A message of HTTP/1.1 as it came.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Request line or status line.
    pub line: String,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(&name.to_lowercase()).map(String::as_str)
    }

    pub fn status(&self) -> u16 {
        self.line.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    pub fn method(&self) -> &str {
        self.line.split(' ').next().unwrap_or_default()
    }

    pub fn target(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or_default()
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Reads one message; none where the connection ended before it began.
pub fn read_message(input: &mut impl BufRead) -> std::io::Result<Option<Message>> {
    let mut message = Message::default();
    if input.read_line(&mut message.line)? == 0 {
        return Ok(None);
    }
    message.line.truncate(message.line.trim_end().len());
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

/// A count or list that tests wait on.
pub struct Seen<T>(Arc<(Mutex<Vec<T>>, Condvar)>);

impl<T> Clone for Seen<T> {
    fn clone(&self) -> Self {
        Seen(self.0.clone())
    }
}

impl<T: Clone> Seen<T> {
    pub fn new() -> Seen<T> {
        Seen(Arc::new((Mutex::new(Vec::new()), Condvar::new())))
    }

    pub fn push(&self, value: T) {
        self.0.0.lock().unwrap().push(value);
        self.0.1.notify_all();
    }

    pub fn all(&self) -> Vec<T> {
        self.0.0.lock().unwrap().clone()
    }

    pub fn len(&self) -> usize {
        self.0.0.lock().unwrap().len()
    }

    /// Waits until so many were seen and gives them.
    pub fn wait(&self, count: usize, what: &str) -> Vec<T> {
        let end = Instant::now() + PATIENCE;
        let mut seen = self.0.0.lock().unwrap();
        while seen.len() < count {
            let left = end.saturating_duration_since(Instant::now());
            assert!(!left.is_zero(), "{what}: {} of {count} came", seen.len());
            seen = self.0.1.wait_timeout(seen, left).unwrap().0;
        }
        seen.clone()
    }
}

/// What a server does with a request.
#[derive(Clone)]
pub enum Act {
    /// Answers with this status, these headers and this body.
    Reply(u16, Vec<(&'static str, String)>, String),
    /// Says nothing until the other side closes.
    Hang,
    /// Ends the connection without an answer.
    Break,
    /// Writes these bytes and keeps the connection, or ends it.
    Raw(String, Then),
    /// Does this once the test lets it.
    Wait(Arc<Mutex<Receiver<()>>>, Box<Act>),
    /// Does one, then the other where the connection is not over.
    Both(Box<Act>, Box<Act>),
}

/// What becomes of the connection.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Then {
    Keep,
    End,
}

pub fn ok(body: &str) -> Act {
    Act::Reply(200, vec![], body.to_owned())
}

/// A latch: the act waits until something is sent.
pub fn latch(body: &str) -> (Sender<()>, Act) {
    held(ok(body))
}

/// The same before any act.
pub fn held(act: Act) -> (Sender<()>, Act) {
    let (sender, receiver) = channel();
    (sender, Act::Wait(Arc::new(Mutex::new(receiver)), Box::new(act)))
}

/// Turns a request away, which never ran.
pub fn turned_away(status: u16) -> Act {
    Act::Reply(status, vec![("X-Not-Processed", "1".into())], String::new())
}

/// A server that the sidecar sends to.
pub struct Server {
    pub address: SocketAddr,
    /// Requests other than probes, in the order in which their last byte came, with their connection.
    pub requests: Seen<(usize, Message)>,
    /// Their names, each with the moment at which its last byte came: that of the beginning of an attempt.
    pub begun: Seen<(String, Instant)>,
    /// Paths of probes.
    pub probes: Seen<String>,
    /// Connections opened.
    pub opened: Seen<usize>,
    /// Connections that the other side ended, and how long after the last answer.
    pub closed: Seen<(usize, Duration)>,
}

impl Server {
    /// A server that does as told by the number of the request, from 0.
    pub fn start(act: impl Fn(usize, &Message) -> Act + Send + Sync + 'static) -> Server {
        Server::with_load(act, || r#"{"inflight":0,"queue":0,"util":0.0}"#.to_owned())
    }

    /// The same with a load report for its probes.
    pub fn with_load(
        act: impl Fn(usize, &Message) -> Act + Send + Sync + 'static,
        load: impl Fn() -> String + Send + Sync + 'static,
    ) -> Server {
        Server::on(TcpListener::bind("127.0.0.1:0").unwrap(), act, load)
    }

    /// The same behind this listener.
    fn on(
        listener: TcpListener,
        act: impl Fn(usize, &Message) -> Act + Send + Sync + 'static,
        load: impl Fn() -> String + Send + Sync + 'static,
    ) -> Server {
        let address = listener.local_addr().unwrap();
        let (requests, probes, begun) = (Seen::new(), Seen::new(), Seen::new());
        let (opened, closed) = (Seen::new(), Seen::new());
        let server = Server {
            address,
            requests: requests.clone(),
            begun: begun.clone(),
            probes: probes.clone(),
            opened: opened.clone(),
            closed: closed.clone(),
        };
        let (act, load) = (Arc::new(act), Arc::new(load));
        thread::spawn(move || {
            for (connection, stream) in listener.incoming().enumerate() {
                let Ok(stream) = stream else { return };
                opened.push(connection);
                let (requests, probes, closed) = (requests.clone(), probes.clone(), closed.clone());
                let (act, load, begun) = (act.clone(), load.clone(), begun.clone());
                thread::spawn(move || {
                    let mut last = Instant::now();
                    let mut input = BufReader::new(stream.try_clone().unwrap());
                    while let Ok(Some(message)) = read_message(&mut input) {
                        if matches!(message.target(), "/load" | "/healthz") {
                            probes.push(message.target().to_owned());
                            let body = load();
                            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
                            let _ = (&stream).write_all((head + &body).as_bytes());
                            last = Instant::now();
                            continue;
                        }
                        let id = message.header("x-request-id").unwrap_or_default().to_owned();
                        begun.push((id, Instant::now()));
                        let number = {
                            let mut seen = requests.0.0.lock().unwrap();
                            seen.push((connection, message.clone()));
                            requests.0.1.notify_all();
                            seen.len() - 1
                        };
                        if !perform(&stream, act(number, &message)) {
                            break;
                        }
                        last = Instant::now();
                    }
                    closed.push((connection, last.elapsed()));
                });
            }
        });
        server
    }

    pub fn count(&self) -> usize {
        self.requests.len()
    }

    /// The names of the requests that came, in their order.
    pub fn ids(&self) -> Vec<String> {
        let id = |message: &Message| message.header("x-request-id").unwrap_or_default().to_owned();
        self.requests.all().iter().map(|(_, message)| id(message)).collect()
    }
}

/// A server to which connections come up only once the test lets them: its queue is full until then.
pub struct Late {
    listener: TcpListener,
    held: Vec<TcpStream>,
    pub address: SocketAddr,
}

impl Late {
    pub fn new() -> Late {
        let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
        socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
        socket.listen(1).unwrap();
        let listener = TcpListener::from(socket);
        let address = listener.local_addr().unwrap();
        let mut held = Vec::new();
        while let Ok(stream) = TcpStream::connect_timeout(&address, Duration::from_millis(300)) {
            held.push(stream);
        }
        Late { listener, held, address }
    }

    /// Lets connections come up from here on, to discovery.
    pub fn open_discovery(self) -> Discovery {
        drop(self.held);
        Discovery::on(self.listener)
    }

    /// Lets connections come up from here on.
    pub fn open(self, act: impl Fn(usize, &Message) -> Act + Send + Sync + 'static) -> Server {
        drop(self.held);
        Server::on(self.listener, act, || String::from("{}"))
    }
}

/// Carries an act out; false where the connection is over.
fn perform(mut stream: &TcpStream, act: Act) -> bool {
    match act {
        Act::Reply(status, headers, body) => {
            let mut head = format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n", body.len());
            for (name, value) in headers {
                head += &format!("{name}: {value}\r\n");
            }
            stream.write_all((head + "\r\n" + &body).as_bytes()).is_ok()
        }
        Act::Hang => {
            let _ = stream.read(&mut [0; 1]);
            false
        }
        Act::Break => {
            let _ = stream.shutdown(std::net::Shutdown::Both);
            false
        }
        Act::Raw(bytes, then) => {
            let _ = stream.write_all(bytes.as_bytes());
            if then == Then::End {
                let _ = stream.shutdown(std::net::Shutdown::Both);
            }
            then == Then::Keep
        }
        Act::Wait(latch, act) => {
            let _ = latch.lock().unwrap().recv_timeout(PATIENCE);
            perform(stream, *act)
        }
        Act::Both(first, then) => perform(stream, *first) && perform(stream, *then),
    }
}

/// An address of loopback that no other test of this run has, so that no port is taken in between: one that
/// was free a moment ago once belonged to another test's stand-in by the time it was used.
pub fn own_address() -> SocketAddr {
    static NEXT: AtomicU8 = AtomicU8::new(1);
    let [.., high, low] = std::process::id().to_be_bytes();
    SocketAddr::from(([127, 128 | high, low, NEXT.fetch_add(1, Ordering::SeqCst)], 5000))
}

/// Discovery: takes watches and sends the lines that a test gives it.
pub struct Discovery {
    pub address: SocketAddr,
    /// The targets of the watches, and of calls for the whole list.
    pub calls: Seen<String>,
    pub lists: Seen<String>,
    /// What a call for the whole list is answered with; while there is nothing, it gets no answer.
    whole: Arc<Mutex<Option<String>>>,
    /// Watches that the other side ended.
    pub ended: Seen<usize>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
    /// It says nothing: neither a first line nor signs of life.
    silent: Arc<AtomicBool>,
}

/// How often a watch brings a sign of life; the program under test is told of 2 s.
const HEARTBEAT: Duration = Duration::from_millis(200);

fn chunk(bytes: &str) -> Vec<u8> {
    format!("{:x}\r\n{bytes}\r\n", bytes.len()).into_bytes()
}

impl Discovery {
    pub fn start() -> Discovery {
        Discovery::on(TcpListener::bind("127.0.0.1:0").unwrap())
    }

    /// The same behind this listener.
    pub fn on(listener: TcpListener) -> Discovery {
        let (calls, lists, ended) = (Seen::new(), Seen::new(), Seen::new());
        let (streams, whole) = (Arc::new(Mutex::new(Vec::new())), Arc::new(Mutex::new(None)));
        let silent = Arc::new(AtomicBool::new(false));
        let streams: Arc<Mutex<Vec<TcpStream>>> = streams;
        let address = listener.local_addr().unwrap();
        let discovery = Discovery {
            address,
            calls: calls.clone(),
            lists: lists.clone(),
            whole: whole.clone(),
            ended: ended.clone(),
            streams: streams.clone(),
            silent: silent.clone(),
        };
        let (beating, beat) = (streams.clone(), silent.clone());
        thread::spawn(move || {
            loop {
                thread::sleep(HEARTBEAT);
                if !beat.load(Ordering::SeqCst) {
                    let mut streams = beating.lock().unwrap();
                    streams.iter_mut().for_each(|stream| drop(stream.write_all(&chunk("\n"))));
                }
            }
        });
        thread::spawn(move || {
            for (connection, stream) in listener.incoming().enumerate() {
                let Ok(mut stream) = stream else { return };
                let (calls, lists, ended) = (calls.clone(), lists.clone(), ended.clone());
                let silent = silent.clone();
                let (whole, streams): (Arc<Mutex<Option<String>>>, _) = (whole.clone(), streams.clone());
                thread::spawn(move || {
                    let mut input = BufReader::new(stream.try_clone().unwrap());
                    while let Ok(Some(call)) = read_message(&mut input) {
                        if call.target().contains("watch=1") {
                            let _ =
                                stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
                            if !silent.load(Ordering::SeqCst) {
                                let after = call.target().split_once("after=").map_or("0", |(_, rest)| rest);
                                let after = after.split('&').next().unwrap_or("0");
                                let first = format!("{{\"rev\":{after},\"all\":false,\"targets\":[]}}\n");
                                let _ = stream.write_all(&chunk(&first));
                            }
                            streams.lock().unwrap().push(stream.try_clone().unwrap());
                            calls.push(call.target().to_owned());
                            continue;
                        }
                        lists.push(call.target().to_owned());
                        if let Some(list) = whole.lock().unwrap().as_ref() {
                            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", list.len());
                            let _ = stream.write_all((head + list).as_bytes());
                        }
                    }
                    ended.push(connection);
                });
            }
        });
        discovery
    }

    /// Sets what a call for the whole list is answered with.
    pub fn hold(&self, rev: u64, targets: Vec<Value>) {
        let list = json!({"rev": rev, "all": true, "targets": targets}).to_string();
        *self.whole.lock().unwrap() = Some(list);
    }

    /// Sends bytes on every watch that is open.
    pub fn send_raw(&self, bytes: &str) {
        let mut streams = self.streams.lock().unwrap();
        let reached = streams.iter_mut().filter_map(|stream| stream.write_all(&chunk(bytes)).ok());
        assert!(reached.count() > 0, "no watch is open");
    }

    /// Sends a list or changes as one line on every watch.
    pub fn send(&self, rev: u64, whole: bool, targets: Vec<Value>) {
        self.send_raw(&format!("{}\n", json!({"rev": rev, "all": whole, "targets": targets})));
    }

    /// Says nothing from now on, or speaks again.
    pub fn silence(&self, silent: bool) {
        self.silent.store(silent, Ordering::SeqCst);
    }

    /// Resets all watches: what was written to them and not read is lost with them.
    pub fn reset(&self) {
        for stream in self.streams.lock().unwrap().drain(..) {
            socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO)).unwrap();
            // Its thread lets go of it, and the last to do so resets it.
            let _ = stream.shutdown(std::net::Shutdown::Read);
        }
    }

    /// Ends all watches.
    pub fn break_off(&self) {
        for stream in self.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    }
}

/// How long a connection to a server rests after an answer before it is used again.
pub const REST: Duration = Duration::from_millis(10);

/// Waits until what was answered by now has rested: its connection is to be used again from here on.
pub fn rested() {
    let answered = Instant::now();
    while answered.elapsed() <= REST {
        thread::yield_now();
    }
}

/// An entry of a list.
pub fn entry(uid: &str, address: SocketAddr, state: &str) -> Value {
    json!({"uid": uid, "endpoint": address.to_string(), "az": "a", "model": "m", "pod_group": 0,
           "state": state, "capacity_hint": 1.0, "boot_ms": 0})
}

/// Settings with a class of each kind, no probes and room for two attempts.
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

/// How to start the program.
pub struct Setup {
    pub config: Value,
    pub env: Vec<(&'static str, String)>,
    /// The limit of the machine on its descriptors, where the test sets one.
    pub descriptors: Option<usize>,
}

impl Setup {
    /// With these servers known and no discovery listening.
    pub fn new(known: Vec<Value>) -> Setup {
        let listen = own_address();
        let discovery = own_address();
        let config = json!({
            "name": "n0", "listen": listen.to_string(), "discovery": discovery.to_string(),
            "seed": "8c1f30d27a5be964", "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": {"rev": 7, "all": true, "targets": known}, "settings": settings(),
            "sidecar": {"log": "debug"},
        });
        Setup { config, env: Vec::new(), descriptors: None }
    }

    pub fn discovery(mut self, discovery: &Discovery) -> Setup {
        self.config["discovery"] = json!(discovery.address.to_string());
        self
    }

    /// Sets a part of the configuration, by its JSON pointer.
    pub fn set(mut self, pointer: &str, value: Value) -> Setup {
        let (parent, key) = pointer.rsplit_once('/').unwrap();
        self.config.pointer_mut(parent).unwrap_or_else(|| panic!("no {parent}"))[key] = value;
        self
    }

    /// Starts the program without waiting for it to serve.
    pub fn spawn(self) -> Sidecar {
        let file = tempfile::NamedTempFile::new().unwrap();
        std::fs::write(file.path(), self.config.to_string()).unwrap();
        let program = env!("CARGO_BIN_EXE_dunlincleat-sidecar");
        let mut command = match self.descriptors {
            None => Command::new(program),
            // In its place: the limit is there before its first line, and its number is that of the shell.
            Some(most) => {
                let mut shell = Command::new("sh");
                shell.args(["-c", &format!("ulimit -n {most} && exec \"$0\""), program]);
                shell
            }
        };
        for name in ["EDGE_NAME", "EDGE_LISTEN", "EDGE_DISCOVERY"] {
            command.env_remove(name);
        }
        command.env("EDGE_CONFIG", file.path()).envs(self.env).stderr(Stdio::piped()).stdout(Stdio::null());
        let mut child = command.spawn().unwrap();
        let log = Seen::new();
        let (lines, stderr) = (log.clone(), child.stderr.take().unwrap());
        let (reading, parked) = (Arc::new(Mutex::new(())), Arc::new(AtomicBool::new(false)));
        let (reads, parks) = (reading.clone(), parked.clone());
        let reader = thread::spawn(move || {
            for line in BufReader::new(stderr).lines().map_while(Result::ok) {
                parks.store(true, Ordering::SeqCst);
                drop(reads.lock());
                parks.store(false, Ordering::SeqCst);
                lines.push(line);
            }
        });
        let listen = self.config["listen"].as_str().and_then(|l| l.parse().ok());
        let listen = listen.unwrap_or_else(|| SocketAddr::from(([127, 0, 0, 1], 0)));
        let (reader, config) = (Some(reader), self.config);
        Sidecar { child, listen, log, reader, reading, parked, file, config }
    }

    /// Starts the program and waits until it serves.
    pub fn start(self) -> Sidecar {
        let sidecar = self.spawn();
        let end = Instant::now() + PATIENCE;
        loop {
            if let Ok(stream) = TcpStream::connect(sidecar.listen) {
                let mut client = Client::on(stream);
                client.send("GET /healthz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
                assert_eq!(client.answer().status(), 200);
                return sidecar;
            }
            assert!(Instant::now() < end, "the sidecar does not listen: {:?}", sidecar.log.all());
            thread::yield_now();
        }
    }
}

/// The program under test, killed at the end.
pub struct Sidecar {
    child: Child,
    pub listen: SocketAddr,
    pub log: Seen<String>,
    reader: Option<thread::JoinHandle<()>>,
    /// Held while its log is not read, and whether the reader waits for that.
    reading: Arc<Mutex<()>>,
    parked: Arc<AtomicBool>,
    file: tempfile::NamedTempFile,
    pub config: Value,
}

impl Sidecar {
    pub fn connect(&self) -> Client {
        Client::on(TcpStream::connect(self.listen).unwrap())
    }

    /// One request on a connection of its own.
    pub fn ask(&self, request: &str) -> Message {
        let mut client = self.connect();
        client.send(request);
        client.answer()
    }

    pub fn signal(&self, signal: &str) {
        let pid = self.child.id().to_string();
        assert!(Command::new("kill").args(["-s", signal, &pid]).status().unwrap().success());
    }

    /// Until this is dropped its log is not read, and the pipe is full: the next line that it writes has it stand still, in
    /// the midst of what it does. What happens meanwhile it then finds in one moment.
    pub fn stands_still_at_its_next_line(&self) -> MutexGuard<'_, ()> {
        let unread = self.reading.lock().unwrap();
        // Of Linux; not shared with the program's own end of the pipe.
        const O_NONBLOCK: i32 = 0o4000;
        let pipe = format!("/proc/{}/fd/2", self.child.id());
        let mut pipe = std::fs::OpenOptions::new().write(true).custom_flags(O_NONBLOCK).open(pipe).unwrap();
        let end = Instant::now() + PATIENCE;
        // A block at a time, then what is left: byte by byte alone it took longer than the order can wait for.
        while pipe.write(&[b'\n'; 4096]).is_ok()
            || pipe.write(b"\n").is_ok()
            || !self.parked.load(Ordering::SeqCst)
        {
            assert!(Instant::now() < end, "the pipe of its log is never full");
        }
        unread
    }

    /// Replaces the file of the configuration and tells the program so.
    pub fn reload(&self, config: &str) {
        std::fs::write(self.file.path(), config).unwrap();
        self.signal("HUP");
    }

    /// Waits for the end of the program and gives what it wrote.
    pub fn end(mut self) -> (ExitStatus, String) {
        let end = Instant::now() + PATIENCE;
        let status = loop {
            if let Some(status) = self.child.try_wait().unwrap() {
                break status;
            }
            assert!(Instant::now() < end, "the sidecar does not end");
            thread::yield_now();
        };
        self.reader.take().unwrap().join().unwrap();
        (status, self.log.all().join("\n"))
    }

    /// The processor time that the program has used.
    pub fn processor_time(&self) -> Duration {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.child.id())).unwrap();
        let fields: Vec<&str> = stat.rsplit(") ").next().unwrap().split(' ').collect();
        // In hundredths of a second, the unit of Linux's user interface.
        let ticks = fields[11].parse::<u64>().unwrap() + fields[12].parse::<u64>().unwrap();
        Duration::from_millis(ticks * 10)
    }

    /// The descriptors that the program holds.
    pub fn descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.child.id())).unwrap().count()
    }

    /// How many of them are datagram sockets, and how many threads the program has.
    pub fn datagram_sockets_and_threads(&self) -> (usize, usize) {
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
        (links.filter(datagram).count(), std::fs::read_dir(of("task")).unwrap().count())
    }

    /// The memory that the program holds, in bytes.
    pub fn memory(&self) -> usize {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap();
        let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:")).unwrap();
        line.trim().trim_end_matches(" kB").parse::<usize>().unwrap() * 1024
    }

    /// Waits for a line of the log that holds this.
    pub fn logged(&self, what: &str) {
        let end = Instant::now() + PATIENCE;
        let mut seen = 0;
        loop {
            let lines = self.log.wait(seen, "log lines");
            if lines.iter().any(|l| l.contains(what)) {
                return;
            }
            assert!(Instant::now() < end, "'{what}' is not in the log: {lines:?}");
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

/// A connection of the application's.
pub struct Client {
    pub stream: TcpStream,
    input: BufReader<TcpStream>,
}

impl Client {
    fn on(stream: TcpStream) -> Client {
        stream.set_read_timeout(Some(PATIENCE)).unwrap();
        let input = BufReader::new(stream.try_clone().unwrap());
        Client { stream, input }
    }

    pub fn send(&mut self, request: &str) {
        self.stream.write_all(request.as_bytes()).unwrap();
    }

    pub fn answer(&mut self) -> Message {
        read_message(&mut self.input).unwrap().expect("the connection ended without an answer")
    }

    /// Waits for an answer or the end of the connection.
    pub fn answer_or_end(&mut self) -> Option<Message> {
        match read_message(&mut self.input) {
            Ok(message) => message,
            Err(error) if error.kind() == std::io::ErrorKind::ConnectionReset => None,
            Err(error) => panic!("neither an answer nor an end: {error}"),
        }
    }

    /// Goes as a process that dies does: what it had not read or written is lost.
    pub fn reset(self) {
        socket2::SockRef::from(&self.stream).set_linger(Some(Duration::ZERO)).unwrap();
    }

    /// Waits until the other side ends the connection; no byte may come before.
    pub fn ended(&mut self) {
        let mut rest = Vec::new();
        match self.input.read_to_end(&mut rest) {
            Ok(_) => {}
            Err(error) if error.kind() == std::io::ErrorKind::ConnectionReset => {}
            Err(error) => panic!("the connection did not end: {error}"),
        }
        assert_eq!(String::from_utf8_lossy(&rest), "", "bytes came after the answer");
    }
}

fn request(method: &str, path: &str, id: &str, extra: &str, body: &str) -> String {
    let length = if method == "POST" { format!("Content-Length: {}\r\n", body.len()) } else { String::new() };
    format!(
        "{method} {path} HTTP/1.1\r\nHost: service.internal\r\nX-Request-ID: {id}\r\nX-Tenant-Id: acme\r\n\
         X-Timeout: 0.9\r\n{extra}{length}\r\n{body}"
    )
}

/// A request of the class that is safe to repeat.
pub fn read(id: &str) -> String {
    request("GET", "/read", id, "", "")
}

/// One of the class that must not run twice.
pub fn once(id: &str) -> String {
    request("POST", "/once", id, "", "body")
}

/// One of the class that carries a key.
pub fn pay(id: &str) -> String {
    request("POST", "/pay", id, "Idempotency-Key: k1\r\n", "body")
}
