//! What the cases 6 to 10 share: the record, the sidecar's process, and small stand-ins for servers, discovery and clients.
//! Only the standard library; each case includes this file as a module, and `build-2.sh` compiles it.

#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Whether the disruption is played; `TROUBLE=0` plays the same without it.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// The root of the repository: the folder in which `run.sh` starts the case.
pub fn root() -> PathBuf {
    std::env::current_dir().expect("the current folder")
}

/// The processes that the case started and that may still run.
static CHILDREN: Mutex<Vec<u32>> = Mutex::new(Vec::new());

fn kill_children() {
    for child in CHILDREN.lock().unwrap_or_else(PoisonError::into_inner).drain(..) {
        let _ = Command::new("/bin/sh")
            .args(["-c", &format!("kill -KILL {child}")])
            .stderr(Stdio::null())
            .status();
    }
    let _ = std::fs::remove_dir_all(Folder::path());
}

/// Has the case end with 2, and its processes with it, where it panics or takes more than 115 s.
pub fn guard() {
    let report = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |info| {
        report(info);
        kill_children();
        std::process::exit(2);
    }));
    thread::spawn(|| {
        thread::sleep(Duration::from_secs(115));
        eprintln!("the case takes too long");
        kill_children();
        std::process::exit(2);
    });
}

/// Ends the case: 1 where the rule was broken, 0 where it held, 2 where nothing can be said.
pub fn finish(record: &Record, code: i32, text: &str) -> ! {
    kill_children();
    record.line(&format!("verdict {code}: {text}"));
    println!("verdict {code}: {text}");
    std::process::exit(code)
}

/// `record.txt` in the folder of the case: one event a line, with seconds since the start.
#[derive(Clone)]
pub struct Record(Arc<Mutex<File>>, Instant);

impl Record {
    pub fn create(folder: &str) -> Record {
        let file = File::create(root().join(folder).join("record.txt")).expect("record.txt");
        Record(Arc::new(Mutex::new(file)), Instant::now())
    }

    pub fn line(&self, text: &str) {
        let at = self.1.elapsed().as_secs_f64();
        let _ = writeln!(self.0.lock().unwrap(), "{at:9.3} {text}");
    }

    /// Seconds since the start.
    pub fn now(&self) -> f64 {
        self.1.elapsed().as_secs_f64()
    }
}

/// A private temporary folder, removed when it is dropped.
pub struct Folder(pub PathBuf);

impl Folder {
    fn path() -> PathBuf {
        std::env::temp_dir().join(format!("dunlincleat-review-2-{}", std::process::id()))
    }

    pub fn create() -> Folder {
        let path = Folder::path();
        std::fs::create_dir_all(&path).expect("a temporary folder");
        Folder(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// A free port on loopback.
pub fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").and_then(|listener| listener.local_addr()).expect("a free port")
}

/// The command `run` of the deploy file.
fn run_command() -> String {
    let text = std::fs::read_to_string(root().join("deploy/balancer.toml")).expect("deploy/balancer.toml");
    let line = text.lines().find(|line| line.starts_with("run ")).expect("run in deploy/balancer.toml");
    line.split('"').nth(1).expect("the command of run").to_owned()
}

/// The limits that the configuration tells.
#[derive(Clone, Copy)]
pub struct Limits {
    pub memory_mb: u64,
    pub sockets: u64,
}

/// The largest limits of the days that are scored.
pub const LIMITS: Limits = Limits { memory_mb: 192, sockets: 1024 };

/// A sidecar, a process of its own; killed when it is dropped.
pub struct Sidecar {
    child: Child,
    pub name: String,
    pub listen: SocketAddr,
    pub log: PathBuf,
}

impl Sidecar {
    /// Starts it by the deploy file's `run` and waits until `/healthz` says yes. `more` is put into the configuration, with a
    /// comma at its end.
    pub fn start(
        folder: &Folder,
        name: &str,
        discovery: SocketAddr,
        known: &str,
        settings: &str,
        limits: Limits,
        more: &str,
    ) -> io::Result<Sidecar> {
        let Limits { memory_mb, sockets } = limits;
        let listen = free_address();
        let config = folder.0.join(format!("{name}.json"));
        let text = format!(
            r#"{{"name":"{name}","listen":"{listen}","discovery":"{discovery}","seed":"8c1f30d27a5be964",{more}
"limits":{{"cores":1.0,"memory_mb":{memory_mb},"sockets":{sockets}}},"known":{known},"settings":{settings}}}"#
        );
        std::fs::write(&config, text)?;
        let log = folder.0.join(format!("{name}.log"));
        let errors = File::create(&log)?;
        let child = Command::new("/bin/sh")
            .args(["-c", &run_command()])
            .current_dir(root())
            .env("EDGE_CONFIG", &config)
            .env("EDGE_NAME", name)
            .env("EDGE_LISTEN", listen.to_string())
            .env("EDGE_DISCOVERY", discovery.to_string())
            .env("TMPDIR", &folder.0)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(errors)
            .spawn()?;
        CHILDREN.lock().unwrap().push(child.id());
        let sidecar = Sidecar { child, name: name.to_owned(), listen, log };
        let end = Instant::now() + Duration::from_secs(30);
        while Instant::now() < end {
            let mut client = Client::new(listen);
            if client.get("/healthz", &[], ms(500)).is_ok_and(|answer| answer.status == 200) {
                return Ok(sidecar);
            }
            thread::sleep(ms(50));
        }
        Err(io::Error::other("the sidecar was not ready within 30 s"))
    }

    /// Sends it a signal, by name.
    pub fn signal(&self, name: &str) {
        let command = format!("kill -{name} {}", self.child.id());
        let _ = Command::new("/bin/sh").args(["-c", &command]).status();
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Whether it still runs.
    pub fn runs(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Copies its log into the record.
    pub fn copy_log(&self, record: &Record) {
        let text = std::fs::read_to_string(&self.log).unwrap_or_default();
        for line in text.lines() {
            record.line(&format!("log of {}: {line}", self.name));
        }
    }
}

impl Drop for Sidecar {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        CHILDREN.lock().unwrap_or_else(PoisonError::into_inner).retain(|child| *child != self.child.id());
    }
}

/// A request or an answer as it was read.
pub struct Message {
    /// The words of the first line.
    pub first: Vec<String>,
    headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    pub fn path(&self) -> &str {
        self.first.get(1).map_or("", String::as_str)
    }
}

fn read_head(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let first = line.split_whitespace().map(str::to_owned).collect();
    let mut headers = BTreeMap::new();
    loop {
        line.clear();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let Some((name, value)) = line.trim_end().split_once(':') else { break };
        headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
    }
    Ok(Some(Message { first, headers, body: Vec::new() }))
}

/// Reads the body by `Content-Length`, by chunks, or to the end of the connection where `to_end` is set.
fn read_body(reader: &mut BufReader<TcpStream>, message: &mut Message, to_end: bool) -> io::Result<()> {
    if message.header("transfer-encoding").eq_ignore_ascii_case("chunked") {
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let size = usize::from_str_radix(line.trim(), 16).map_err(io::Error::other)?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk)?;
            if size == 0 {
                return Ok(());
            }
            message.body.extend_from_slice(&chunk[..size]);
        }
    }
    if let Ok(length) = message.header("content-length").parse::<usize>() {
        message.body = vec![0; length];
        return reader.read_exact(&mut message.body);
    }
    if to_end {
        reader.read_to_end(&mut message.body)?;
    }
    Ok(())
}

/// What a server does with a request: it writes the answer to the stream itself. False ends the connection.
pub type Handler = dyn Fn(&Message, &mut TcpStream) -> io::Result<bool> + Send + Sync;

/// A stand-in server: one thread a connection, one request at a time on it.
pub struct Server {
    pub address: SocketAddr,
}

impl Server {
    pub fn start(handler: Arc<Handler>) -> Server {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a listener");
        let address = listener.local_addr().expect("its address");
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let handler = handler.clone();
                thread::spawn(move || serve(stream, &*handler));
            }
        });
        Server { address }
    }
}

fn serve(mut stream: TcpStream, handler: &Handler) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream.try_clone()?);
    while let Some(mut message) = read_head(&mut reader)? {
        read_body(&mut reader, &mut message, false)?;
        let goes_on = match message.path() {
            "/healthz" | "/load" => {
                write_answer(&mut stream, "200 OK", "", "ok")?;
                true
            }
            _ => handler(&message, &mut stream)?,
        };
        if !goes_on {
            break;
        }
    }
    Ok(())
}

/// Writes a whole answer in one piece. `headers` are whole lines.
pub fn write_answer(stream: &mut TcpStream, status: &str, headers: &str, body: &str) -> io::Result<()> {
    let text = format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n{body}", body.len());
    stream.write_all(text.as_bytes())
}

/// A server of the list.
#[derive(Clone)]
pub struct Entry {
    pub uid: String,
    pub address: SocketAddr,
    pub state: &'static str,
    /// The pod; servers of one share the keys that they have seen where the settings say `cell`.
    pub pod: u32,
}

pub fn entry(uid: &str, address: SocketAddr) -> Entry {
    Entry { uid: uid.to_owned(), address, state: "up", pod: 1 }
}

fn list_json<'a>(rev: u64, all: bool, entries: impl Iterator<Item = &'a Entry>) -> String {
    let targets = entries.map(|Entry { uid, address, state, pod }| {
        format!(
            r#"{{"uid":"{uid}","endpoint":"{address}","az":"a","model":"m","pod_group":{pod},"state":"{state}","capacity_hint":1.0,"boot_ms":0}}"#
        )
    });
    let targets: Vec<String> = targets.collect();
    format!(r#"{{"rev":{rev},"all":{all},"targets":[{}]}}"#, targets.join(","))
}

/// The stand-in for discovery: the agent's list, watches with an empty line every 2 s, and how long each call waits for the
/// first byte of its answer.
#[derive(Clone)]
pub struct Discovery {
    pub address: SocketAddr,
    state: Arc<Mutex<(u64, Vec<(u64, Entry)>)>>,
    answer_delay_ms: Arc<AtomicU64>,
    /// Watches that began before the last call of `reset_watches` end.
    resets: Arc<AtomicU64>,
    record: Record,
}

impl Discovery {
    pub fn start(record: &Record, entries: &[Entry]) -> Discovery {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a listener");
        let address = listener.local_addr().expect("its address");
        let entries = entries.iter().map(|entry| (1, entry.clone())).collect();
        let discovery = Discovery {
            address,
            state: Arc::new(Mutex::new((1, entries))),
            answer_delay_ms: Arc::default(),
            resets: Arc::default(),
            record: record.clone(),
        };
        let serving = discovery.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let serving = serving.clone();
                thread::spawn(move || serving.serve(stream));
            }
        });
        discovery
    }

    /// The whole list, in the form of the configuration's `known`.
    pub fn known(&self) -> String {
        let state = self.state.lock().unwrap();
        list_json(state.0, true, state.1.iter().map(|(_, entry)| entry))
    }

    pub fn set_answer_delay(&self, delay_ms: u64) {
        self.answer_delay_ms.store(delay_ms, Ordering::SeqCst);
    }

    /// Ends all open watches.
    pub fn reset_watches(&self) {
        self.resets.fetch_add(1, Ordering::SeqCst);
    }

    /// Changes the state of a server.
    pub fn set_state(&self, uid: &str, to: &'static str) {
        let mut state = self.state.lock().unwrap();
        state.0 += 1;
        let rev = state.0;
        for (changed, entry) in state.1.iter_mut().filter(|(_, entry)| entry.uid == uid) {
            *changed = rev;
            entry.state = to;
        }
        self.record.line(&format!("discovery has: {uid} is {to}, revision {rev}"));
    }

    fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream.try_clone()?);
        while let Some(message) = read_head(&mut reader)? {
            let path = message.path().to_owned();
            self.record.line(&format!("discovery is called: {path}"));
            thread::sleep(ms(self.answer_delay_ms.load(Ordering::SeqCst)));
            if !path.contains("watch=1") {
                let body = self.known();
                write_answer(&mut stream, "200 OK", "", &body)?;
                continue;
            }
            let after =
                path.split("after=").nth(1).and_then(|rev| rev.split('&').next()?.parse::<u64>().ok());
            return self.watch(&mut stream, after.unwrap_or(0));
        }
        Ok(())
    }

    fn watch(&self, stream: &mut TcpStream, mut after: u64) -> io::Result<()> {
        stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?;
        let resets = self.resets.load(Ordering::SeqCst);
        let mut first = true;
        let mut spoke = Instant::now();
        loop {
            let line = {
                let state = self.state.lock().unwrap();
                let changed = state.1.iter().filter(|(rev, _)| *rev > after).map(|(_, entry)| entry);
                (first || state.0 > after).then(|| (state.0, list_json(state.0, false, changed)))
            };
            if let Some((rev, line)) = line {
                self.record.line(&format!("discovery writes: {line}"));
                write!(stream, "{:x}\r\n{line}\n\r\n", line.len() + 1)?;
                after = rev;
                spoke = Instant::now();
            } else if spoke.elapsed() >= Duration::from_secs(2) {
                stream.write_all(b"1\r\n\n\r\n")?;
                spoke = Instant::now();
            }
            first = false;
            if self.resets.load(Ordering::SeqCst) != resets {
                return Ok(());
            }
            thread::sleep(ms(10));
        }
    }
}

pub struct Answer {
    pub status: u16,
    pub body: Vec<u8>,
}

/// A client with one connection, which it keeps.
pub struct Client {
    to: SocketAddr,
    connection: Option<BufReader<TcpStream>>,
}

impl Client {
    pub fn new(to: SocketAddr) -> Client {
        Client { to, connection: None }
    }

    pub fn get(&mut self, path: &str, headers: &[(&str, &str)], patience: Duration) -> io::Result<Answer> {
        self.send("GET", path, headers, None, patience)
    }

    pub fn post(
        &mut self,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
        patience: Duration,
    ) -> io::Result<Answer> {
        self.send("POST", path, headers, Some(body), patience)
    }

    /// Sends a request and reads its answer; an error where none came whole within `patience`. One whose kept connection turns
    /// out to be closed with nothing answered is sent once more on a new one.
    pub fn send(
        &mut self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: Option<&str>,
        patience: Duration,
    ) -> io::Result<Answer> {
        let mut text = format!("{method} {path} HTTP/1.1\r\nHost: service.internal\r\n");
        for (name, value) in headers {
            text += &format!("{name}: {value}\r\n");
        }
        if let Some(body) = body {
            text += &format!("Content-Length: {}\r\n", body.len());
        }
        text += "\r\n";
        text += body.unwrap_or_default();
        let kept = self.connection.is_some();
        match self.exchange(&text, patience) {
            Err(error) if kept && error.kind() != io::ErrorKind::WouldBlock => self.exchange(&text, patience),
            result => result,
        }
    }

    fn exchange(&mut self, text: &str, patience: Duration) -> io::Result<Answer> {
        let mut reader = match self.connection.take() {
            Some(reader) => reader,
            None => {
                let stream = TcpStream::connect_timeout(&self.to, Duration::from_secs(2))?;
                stream.set_nodelay(true)?;
                BufReader::new(stream)
            }
        };
        reader.get_ref().set_read_timeout(Some(patience))?;
        reader.get_mut().write_all(text.as_bytes())?;
        let head = read_head(&mut reader)?;
        let Some(mut message) = head else { return Err(io::ErrorKind::UnexpectedEof.into()) };
        let closes = message.header("connection").eq_ignore_ascii_case("close");
        read_body(&mut reader, &mut message, closes)?;
        if !closes {
            self.connection = Some(reader);
        }
        let status = message.first.get(1).and_then(|status| status.parse().ok()).unwrap_or(0);
        Ok(Answer { status, body: message.body })
    }
}

/// One call of an operator at the console: a line, answered to the end of the connection.
pub fn console(at: SocketAddr, call: &str) -> io::Result<String> {
    let mut stream = TcpStream::connect_timeout(&at, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(Duration::from_secs(1)))?;
    stream.write_all(format!("{call}\n").as_bytes())?;
    let mut text = String::new();
    stream.read_to_string(&mut text)?;
    Ok(text)
}
