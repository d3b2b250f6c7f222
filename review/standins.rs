//! Stand-ins for the cases of the review: servers, discovery, clients, and the start of the sidecar. Standard library
//! only. `review/build.sh` compiles this file into each case's driver.
#![allow(dead_code)]

use std::collections::HashMap;
use std::fs::File;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn listen(fd: i32, backlog: i32) -> i32;
}

pub const SIGHUP: i32 = 1;
pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;

pub fn signal(pid: u32, number: i32) {
    // SAFETY: a plain system call; the process is a child of this one.
    unsafe { kill(pid as i32, number) };
}

/// Sets the length of the queue of a listening socket.
pub fn set_backlog(listener: &TcpListener, backlog: i32) {
    // SAFETY: a plain system call on a descriptor that is open.
    unsafe { listen(listener.as_raw_fd(), backlog) };
}

/// What was sent, answered and run, with the time since the start; written to `record.txt`.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    file: Arc<Mutex<File>>,
    pub broken: Arc<AtomicBool>,
}

impl Record {
    pub fn create(path: &Path) -> Record {
        let file = File::create(path).expect("record.txt");
        Record { started: Instant::now(), file: Arc::new(Mutex::new(file)), broken: Arc::default() }
    }

    pub fn at(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: &str) {
        let at = self.at();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:9.3} {text}");
    }

    pub fn broken(&self, text: &str) {
        self.broken.store(true, Ordering::SeqCst);
        self.line(&format!("BROKEN: {text}"));
        eprintln!("BROKEN: {text}");
    }

    pub fn cannot_run(&self, text: &str) -> ! {
        self.line(&format!("CANNOT RUN: {text}"));
        eprintln!("cannot run: {text}");
        kill_children();
        std::process::exit(2);
    }

    /// Ends the case: 1 if a rule was broken, else 0.
    pub fn finish(&self) -> ! {
        kill_children();
        let broken = self.broken.load(Ordering::SeqCst);
        self.line(if broken { "result: the rule was BROKEN" } else { "result: the rule held" });
        std::process::exit(i32::from(broken));
    }
}

static CHILDREN: Mutex<Vec<Child>> = Mutex::new(Vec::new());

pub fn kill_children() {
    for mut child in CHILDREN.lock().unwrap().drain(..) {
        let _ = child.kill();
        let _ = child.wait();
    }
}

pub fn trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

/// An address on loopback that is free now.
pub fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

pub fn unix_ms() -> u64 {
    std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap().as_millis() as u64
}

/// A message as received.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub start: String,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }
}

/// Reads one message with its body; none if the connection ended before its first byte. `is_response` says that a body
/// without a length lasts until the end.
pub fn read_message(input: &mut impl BufRead, is_response: bool) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    if input.read_line(&mut message.start)? == 0 {
        return Ok(None);
    }
    message.start = message.start.trim_end().to_owned();
    loop {
        let mut line = String::new();
        if input.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let Some((name, value)) = line.trim_end().split_once(':') else { break };
        message.headers.insert(name.to_lowercase(), value.trim().to_owned());
    }
    if message.header("transfer-encoding") == "chunked" {
        loop {
            let mut size = String::new();
            if input.read_line(&mut size)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let size = usize::from_str_radix(size.trim(), 16).map_err(|_| io::ErrorKind::InvalidData)?;
            let mut chunk = vec![0; size + 2];
            input.read_exact(&mut chunk)?;
            if size == 0 {
                return Ok(Some(message));
            }
            message.body.extend_from_slice(&chunk[..size]);
        }
    }
    match message.header("content-length").parse() {
        Ok(length) => {
            message.body = vec![0; length];
            input.read_exact(&mut message.body)?;
        }
        Err(_) if is_response => drop(input.read_to_end(&mut message.body)?),
        Err(_) => {}
    }
    Ok(Some(message))
}

/// What a server does with a request whose last byte has come.
pub enum Reply {
    /// 200 with this body.
    Ok(String),
    /// Another status.
    Status(u16),
    /// The connection is reset.
    Reset,
    /// Nothing is answered; the connection stays open.
    Silence,
}

/// A stand-in server. `serve` is called once for each request, when its last byte has come.
pub struct Server {
    pub name: String,
    pub address: SocketAddr,
    /// New connections come up as long after they were begun as the machine takes to try again (about 1 s).
    pub late: Arc<AtomicBool>,
}

pub type Serve = Arc<dyn Fn(&str, &Message) -> Reply + Send + Sync>;

impl Server {
    pub fn start(name: &str, serve: Serve) -> Server {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let late = Arc::new(AtomicBool::new(false));
        let (is_late, own_name) = (late.clone(), name.to_owned());
        listener.set_nonblocking(true).unwrap();
        thread::spawn(move || {
            let mut fillers: Vec<TcpStream> = Vec::new();
            let mut was_late = false;
            let mut since = Instant::now();
            loop {
                let late = is_late.load(Ordering::SeqCst);
                if late && !was_late {
                    // The queue of the listener is kept full, so that the machine drops the first SYN of each further
                    // connection; the sender's machine tries again a second later.
                    set_backlog(&listener, 0);
                    fillers.push(TcpStream::connect(address).unwrap());
                    since = Instant::now();
                    was_late = true;
                }
                if late && since.elapsed() < Duration::from_millis(900) {
                    thread::sleep(Duration::from_millis(5));
                    continue;
                }
                if was_late {
                    set_backlog(&listener, 128);
                    was_late = false;
                    is_late.store(false, Ordering::SeqCst);
                    fillers.clear();
                }
                match listener.accept() {
                    Ok((stream, _)) => {
                        stream.set_nonblocking(false).unwrap();
                        let (serve, name) = (serve.clone(), own_name.clone());
                        thread::spawn(move || serve_connection(stream, &name, &serve));
                    }
                    Err(_) => thread::sleep(Duration::from_millis(1)),
                }
            }
        });
        Server { name: name.to_owned(), address, late }
    }
}

fn serve_connection(stream: TcpStream, name: &str, serve: &Serve) {
    let _ = stream.set_nodelay(true);
    let mut output = stream.try_clone().unwrap();
    let mut input = BufReader::new(stream);
    while let Ok(Some(request)) = read_message(&mut input, false) {
        let text = match serve(name, &request) {
            Reply::Ok(body) => format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()),
            Reply::Status(status) => format!("HTTP/1.1 {status} Status\r\nContent-Length: 0\r\n\r\n"),
            Reply::Reset => {
                reset(&output);
                return;
            }
            Reply::Silence => {
                let _ = input.read(&mut [0; 4096]);
                return;
            }
        };
        if output.write_all(text.as_bytes()).is_err() {
            return;
        }
    }
}

/// Ends a connection with a reset.
pub fn reset(stream: &TcpStream) {
    #[repr(C)]
    struct Linger {
        on: i32,
        seconds: i32,
    }
    unsafe extern "C" {
        fn setsockopt(fd: i32, level: i32, name: i32, value: *const Linger, length: u32) -> i32;
    }
    let linger = Linger { on: 1, seconds: 0 };
    // SAFETY: SO_LINGER on a descriptor that is open; the machine reads the value during the call.
    unsafe { setsockopt(stream.as_raw_fd(), 1, 13, &linger, 8) };
    // The last descriptor of the connection is closed by its owner, which then sends the reset.
    let _ = stream.shutdown(Shutdown::Read);
}

/// Discovery: the whole list and a watch, by the protocol's page. Each change is one line of the watch.
pub struct Discovery {
    pub address: SocketAddr,
    state: Arc<Mutex<ListState>>,
}

struct ListState {
    rev: u64,
    /// Entries by name.
    entries: Vec<(String, String)>,
    /// Version and line of each change.
    changes: Vec<(u64, String)>,
}

pub fn entry(uid: &str, address: SocketAddr, zone: &str, cell: u32, state: &str) -> String {
    format!(
        r#"{{"uid":"{uid}","endpoint":"{address}","az":"{zone}","model":"m1","pod_group":{cell},"state":"{state}","capacity_hint":1.0,"boot_ms":0}}"#
    )
}

pub fn whole(rev: u64, entries: &[String]) -> String {
    format!(r#"{{"rev":{rev},"all":true,"targets":[{}]}}"#, entries.join(","))
}

impl Discovery {
    pub fn start(entries: &[(String, String)]) -> Discovery {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let state = Arc::new(Mutex::new(ListState { rev: 1, entries: entries.to_vec(), changes: Vec::new() }));
        let shared = state.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let state = shared.clone();
                thread::spawn(move || drop(answer_list(stream, &state)));
            }
        });
        Discovery { address, state }
    }

    pub fn list(&self) -> String {
        let state = self.state.lock().unwrap();
        let entries: Vec<String> = state.entries.iter().map(|(_, entry)| entry.clone()).collect();
        whole(state.rev, &entries)
    }

    /// Tells a new or changed entry.
    pub fn tell(&self, uid: &str, entry: &str) {
        let mut state = self.state.lock().unwrap();
        state.rev += 1;
        let rev = state.rev;
        state.entries.retain(|(name, _)| name != uid);
        state.entries.push((uid.to_owned(), entry.to_owned()));
        let line = format!(r#"{{"rev":{rev},"all":false,"targets":[{entry}]}}"#);
        state.changes.push((rev, line));
    }
}

fn answer_list(stream: TcpStream, state: &Mutex<ListState>) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut output = stream.try_clone()?;
    let mut input = BufReader::new(stream);
    while let Some(request) = read_message(&mut input, false)? {
        let Some((_, query)) = request.target().split_once('?').filter(|(_, query)| query.contains("watch=1"))
        else {
            let state = state.lock().unwrap();
            let entries: Vec<String> = state.entries.iter().map(|(_, entry)| entry.clone()).collect();
            let list = whole(state.rev, &entries);
            drop(state);
            write!(output, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}", list.len())?;
            continue;
        };
        let after = query.split('&').find_map(|part| part.strip_prefix("after=")).unwrap_or("0");
        let mut told: u64 = after.parse().unwrap_or(0);
        write!(output, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?;
        let mut beat = Instant::now() - Duration::from_secs(2);
        loop {
            let lines: Vec<(u64, String)> = {
                let state = state.lock().unwrap();
                state.changes.iter().filter(|(rev, _)| *rev > told).cloned().collect()
            };
            for (rev, line) in lines {
                told = rev;
                write!(output, "{:x}\r\n{line}\n\r\n", line.len() + 1)?;
                beat = Instant::now();
            }
            if beat.elapsed() >= Duration::from_millis(1900) {
                write!(output, "1\r\n\n\r\n")?;
                beat = Instant::now();
            }
            thread::sleep(Duration::from_millis(10));
        }
    }
    Ok(())
}

/// The sidecar, started as the deploy file says.
pub struct Sidecar {
    pub listen: SocketAddr,
    pub config: PathBuf,
    pub pid: u32,
}

pub struct SidecarConfig<'a> {
    pub name: &'a str,
    pub listen: SocketAddr,
    pub console: Option<SocketAddr>,
    pub discovery: SocketAddr,
    pub known: &'a str,
    pub settings: &'a str,
    pub limits_file: Option<&'a Path>,
}

pub fn write_config(path: &Path, config: &SidecarConfig) {
    let SidecarConfig { name, listen, console, discovery, known, settings, limits_file } = config;
    let console = console.map(|c| format!(r#""console":"{c}","#)).unwrap_or_default();
    let limits_file = limits_file.map(|l| format!(r#""limits_file":"{}","#, l.display())).unwrap_or_default();
    let text = format!(
        r#"{{"name":"{name}","listen":"{listen}","discovery":"{discovery}","seed":"{:x}",{console}{limits_file}
"limits":{{"cores":1.0,"memory_mb":192,"sockets":512}},"known":{known},"settings":{settings}}}"#,
        unix_ms() ^ u64::from(listen.port()) << 20
    );
    let new = path.with_extension("new");
    std::fs::write(&new, text).unwrap();
    std::fs::rename(&new, path).unwrap();
}

/// Starts the sidecar by `run` of the deploy file (in `RUN`) and waits until it is ready.
pub fn start_sidecar(record: &Record, folder: &Path, config: &SidecarConfig) -> Sidecar {
    let path = folder.join(format!("{}.json", config.name));
    write_config(&path, config);
    let log = File::create(folder.join(format!("{}.log", config.name))).unwrap();
    let run = std::env::var("RUN").unwrap_or_else(|_| record.cannot_run("RUN is not set"));
    let mut command = Command::new("/bin/sh");
    command.arg("-c").arg(&run);
    command.env("EDGE_CONFIG", &path).env("EDGE_NAME", config.name).env("EDGE_LISTEN", config.listen.to_string());
    command.env("EDGE_DISCOVERY", config.discovery.to_string()).env("TMPDIR", folder);
    if let Some(console) = config.console {
        command.env("EDGE_CONSOLE", console.to_string());
    }
    command.stdin(Stdio::null()).stdout(log.try_clone().unwrap()).stderr(log);
    let child = command.spawn().unwrap_or_else(|error| record.cannot_run(&format!("start: {error}")));
    let pid = child.id();
    CHILDREN.lock().unwrap().push(child);
    let begun = Instant::now();
    while begun.elapsed() < Duration::from_secs(30) {
        let mut answer = [0; 12];
        if let Ok(mut stream) = TcpStream::connect(config.listen) {
            let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
            let _ = stream.write_all(b"GET /healthz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
            if stream.read_exact(&mut answer).is_ok() && &answer == b"HTTP/1.1 200" {
                record.line(&format!("sidecar {} is ready, process {pid}", config.name));
                return Sidecar { listen: config.listen, config: path, pid };
            }
        }
        thread::sleep(Duration::from_millis(30));
    }
    record.cannot_run(&format!("sidecar {} is not ready after 30 s", config.name))
}

/// Whether the first sidecars that were started still run.
pub fn all_running() -> bool {
    CHILDREN.lock().unwrap().iter_mut().all(|child| matches!(child.try_wait(), Ok(None)))
}

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

pub fn new_id() -> String {
    format!("{:016x}", NEXT_ID.fetch_add(1, Ordering::SeqCst) | unix_ms() << 20)
}

/// How a client's request ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Ended {
    Answered(u16, String),
    /// The connection ended with no whole answer.
    Closed(String),
    /// Nothing came within the time.
    Nothing,
}

/// Reads the answer to a request, waiting for `wait` at most.
pub fn read_answer(stream: &TcpStream, wait: Duration) -> Ended {
    let _ = stream.set_read_timeout(Some(wait));
    let mut input = BufReader::new(stream);
    match read_message(&mut input, true) {
        Ok(Some(answer)) => {
            Ended::Answered(answer.status(), String::from_utf8_lossy(&answer.body).into_owned())
        }
        Ok(None) => Ended::Closed("ended without an answer".to_owned()),
        Err(error) if matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => Ended::Nothing,
        Err(error) => Ended::Closed(error.to_string()),
    }
}

/// Where a case writes: its own folder for the record, a temporary one for the rest.
pub fn folders() -> (PathBuf, PathBuf) {
    // A fault of the driver itself is no verdict, and leaves no process behind.
    let usual = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |info| {
        usual(info);
        if thread::current().name() == Some("main") {
            kill_children();
            std::process::exit(2);
        }
    }));
    let case = PathBuf::from(std::env::var("CASE").expect("CASE"));
    let temporary = PathBuf::from(std::env::var("WORK").expect("WORK"));
    (case, temporary)
}
