//! A bad client: it sends a request in pieces, reads as fast as it likes, and connects again when its connection ends.

use rand::Rng;
use rand::rngs::SmallRng;
use std::fmt::{self, Display, Formatter};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// How long connecting may take; a process that does not listen yet refuses at once.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(20);
/// Until a client whose connection has ended connects again.
const RECONNECT_AFTER: Duration = Duration::from_millis(60);
/// Bytes read or written at once by a client that knows no pace.
const FULL_SPEED_BYTES: usize = 64 * 1024;
/// Bytes of a chunk of a long body.
const CHUNK_BYTES: usize = 1_000;
/// Receive buffer of a client that reads slowly, in bytes.
const SLOW_READER_BUFFER: usize = 16 * 1024;

/// What is wrong with a client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Stops half way through a body that is buffered.
    HalfBody,
    /// Writes such a body slowly.
    SlowBody,
    /// Stops half way through a body that is streamed.
    HalfUpload,
    /// Writes such a body slowly.
    SlowUpload,
    /// Sends a head of many short fields and half a body.
    ManyFields,
    /// Sends a body in chunks of a byte and stops.
    TinyChunks,
    /// Stops within a long head.
    HalfHead,
    /// Writes a long head slowly.
    SlowHead,
    /// Reads a long response slowly.
    SlowReader,
    /// Sends hundreds of requests at once.
    Pipeline,
    /// Sends requests for large responses at once and reads these slowly.
    SlowPipeline,
    /// Sends a long body in chunks and stops.
    ChunkedUpload,
    /// Sends whole requests with large bodies without a pause.
    FullBodies,
    /// Sends nothing.
    Silent,
    /// Sends what is no request.
    Noise,
}

impl Kind {
    pub const ALL: [Kind; 15] = [
        Kind::HalfBody,
        Kind::SlowBody,
        Kind::HalfUpload,
        Kind::SlowUpload,
        Kind::ManyFields,
        Kind::TinyChunks,
        Kind::HalfHead,
        Kind::SlowHead,
        Kind::SlowReader,
        Kind::Pipeline,
        Kind::SlowPipeline,
        Kind::ChunkedUpload,
        Kind::FullBodies,
        Kind::Silent,
        Kind::Noise,
    ];
}

impl Kind {
    /// Whether it reads its responses slowly.
    fn reads_slowly(self) -> bool {
        matches!(self, Kind::SlowReader | Kind::SlowPipeline)
    }
}

/// A number of bytes each interval; all at once without one.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    pub bytes: usize,
    pub every: Duration,
}

pub const FULL_SPEED: Pace = Pace { bytes: FULL_SPEED_BYTES, every: Duration::ZERO };

/// How a client behaves, with its sizes and rates.
#[derive(Clone, Debug)]
pub struct Behaviour {
    pub kind: Kind,
    /// Bytes of the body that are sent; of the head where there is no body.
    pub sent: usize,
    /// Announced bytes of the body.
    pub length: usize,
    /// Header fields, or requests sent at once.
    pub count: usize,
    pub write: Pace,
    pub read: Pace,
}

impl Behaviour {
    /// Draws sizes and rates.
    pub fn draw(kind: Kind, rng: &mut SmallRng) -> Behaviour {
        let slow = Pace {
            bytes: rng.random_range(500..=6000),
            every: Duration::from_millis(rng.random_range(30..=120)),
        };
        let buffered = rng.random_range(20_000..=65_000);
        let part = rng.random_range(0.3..0.98);
        let streamed = rng.random_range(100_000..=2_000_000);
        let (length, sent) = match kind {
            Kind::HalfBody | Kind::ManyFields => (buffered, (buffered as f64 * part) as usize),
            Kind::SlowBody | Kind::FullBodies => (buffered, buffered),
            Kind::HalfUpload => (streamed, (streamed as f64 * part * 0.6) as usize),
            Kind::SlowUpload => (streamed, streamed),
            Kind::TinyChunks => (0, rng.random_range(2_000..=60_000)),
            Kind::HalfHead | Kind::SlowHead => (0, rng.random_range(1_000..=15_500)),
            Kind::SlowReader => (rng.random_range(100_000..=6_000_000), 0),
            Kind::SlowPipeline => (rng.random_range(5_000..=65_000), 0),
            Kind::ChunkedUpload => (0, streamed / CHUNK_BYTES * CHUNK_BYTES),
            Kind::Pipeline | Kind::Silent => (0, 0),
            Kind::Noise => (0, rng.random_range(100..=40_000)),
        };
        let writes_slowly = matches!(kind, Kind::SlowBody | Kind::SlowUpload | Kind::SlowHead);
        Behaviour {
            kind,
            sent,
            length,
            count: match kind {
                Kind::ManyFields => rng.random_range(40..=88),
                Kind::SlowPipeline => rng.random_range(10..=60),
                Kind::Pipeline => rng.random_range(50..=400),
                Kind::FullBodies => rng.random_range(1..=6),
                _ => 1,
            },
            write: if writes_slowly { slow } else { FULL_SPEED },
            read: if kind.reads_slowly() { slow } else { FULL_SPEED },
        }
    }

    /// The bytes that it sends on each connection after the head.
    pub fn body(&self) -> Arc<[u8]> {
        match self.kind {
            Kind::HalfBody | Kind::SlowBody | Kind::HalfUpload | Kind::SlowUpload | Kind::ManyFields => {
                vec![b'b'; self.sent].into()
            }
            Kind::ChunkedUpload => {
                let chunk = format!("{CHUNK_BYTES:x}\r\n{}\r\n", "b".repeat(CHUNK_BYTES));
                chunk.repeat(self.sent / CHUNK_BYTES).into_bytes().into()
            }
            Kind::TinyChunks => "1\r\nb\r\n".repeat(self.sent).into_bytes().into(),
            _ => Arc::default(),
        }
    }

    /// The bytes that it sends before that; all of them where there are several requests.
    fn head(&self, id: u64) -> Vec<u8> {
        let text = match self.kind {
            Kind::HalfBody | Kind::SlowBody | Kind::HalfUpload | Kind::SlowUpload => {
                post_head(id, &format!("Content-Length: {}", self.length))
            }
            Kind::ManyFields => {
                let fields: String = (0..self.count).map(|field| format!("{field}:\r\n")).collect();
                post_head(id, &format!("{fields}Content-Length: {}", self.length))
            }
            Kind::TinyChunks | Kind::ChunkedUpload => post_head(id, "Transfer-Encoding: chunked"),
            Kind::HalfHead | Kind::SlowHead => {
                post_head(id, "Content-Length: 4").trim_end().to_owned()
                    + "\r\nX-Long: "
                    + &"h".repeat(self.sent)
            }
            Kind::SlowReader => get_head(id, &format!("/read/{}", self.length)),
            Kind::SlowPipeline => (0..self.count as u64)
                .map(|n| get_head(id + (n << 48), &format!("/read/{}", self.length)))
                .collect(),
            Kind::Pipeline => (0..self.count as u64).map(|n| get_head(id + (n << 48), "/read")).collect(),
            Kind::FullBodies => (0..self.count as u64)
                .map(|n| {
                    post_head(id + (n << 48), &format!("Content-Length: {}", self.length))
                        + &"b".repeat(self.sent)
                })
                .collect(),
            Kind::Silent => String::new(),
            Kind::Noise => "\u{1}\u{7f}? ".repeat(self.sent / 4),
        };
        text.into_bytes()
    }
}

impl Display for Behaviour {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{:?}({} of {} x{}", self.kind, self.sent, self.length, self.count)?;
        for (name, pace) in [("write", self.write), ("read", self.read)] {
            if !pace.every.is_zero() {
                write!(f, ", {name} {} each {:?}", pace.bytes, pace.every)?;
            }
        }
        write!(f, ")")
    }
}

fn post_head(id: u64, fields: &str) -> String {
    format!(
        "POST /once HTTP/1.1\r\nHost: x\r\nX-Request-ID: bad{id:x}\r\nX-Timeout: 0.74\r\n{fields}\r\n\r\n"
    )
}

fn get_head(id: u64, path: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nHost: x\r\nX-Request-ID: bad{id:x}\r\nX-Timeout: 0.74\r\n\r\n")
}

/// An open connection of a bad client.
struct OpenConnection {
    stream: TcpStream,
    head: Vec<u8>,
    written: usize,
    next_write: Instant,
    next_read: Instant,
}

/// A bad client.
pub struct BadClient {
    behaviour: Behaviour,
    body: Arc<[u8]>,
    connection: Option<OpenConnection>,
    /// When it connects next.
    connect_at: Instant,
    connections: usize,
    /// Distinguishes its ids from those of all others.
    salt: u32,
}

impl BadClient {
    /// A client that begins at the given time.
    pub fn new(behaviour: Behaviour, body: Arc<[u8]>, begins: Instant, salt: u32) -> BadClient {
        BadClient { behaviour, body, connection: None, connect_at: begins, connections: 0, salt }
    }

    /// How many connections it has opened.
    pub fn connections(&self) -> usize {
        self.connections
    }

    /// Does what is due.
    pub fn step(&mut self, listen: SocketAddr, now: Instant) {
        if self.connection.is_none() && now >= self.connect_at {
            self.connect(listen, now);
        }
        let Some(connection) = &mut self.connection else { return };
        if !connection.exchange(&self.behaviour, &self.body, now) {
            self.connection = None;
            self.connect_at = now + RECONNECT_AFTER;
        }
    }

    fn connect(&mut self, listen: SocketAddr, now: Instant) {
        self.connect_at = now + RECONNECT_AFTER;
        let Ok(stream) = self.open(listen) else { return };
        self.connections += 1;
        let id = u64::from(self.salt) << 12 | self.connections as u64;
        self.connection = Some(OpenConnection {
            stream,
            head: self.behaviour.head(id),
            written: 0,
            next_write: now,
            next_read: now,
        });
    }

    fn open(&self, listen: SocketAddr) -> std::io::Result<TcpStream> {
        let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None)?;
        if self.behaviour.kind.reads_slowly() {
            socket.set_recv_buffer_size(SLOW_READER_BUFFER)?;
        }
        socket.connect_timeout(&listen.into(), CONNECT_TIMEOUT)?;
        let stream = TcpStream::from(socket);
        stream.set_nonblocking(true)?;
        Ok(stream)
    }
}

impl OpenConnection {
    /// Writes and reads what is due; returns whether the connection is still open.
    fn exchange(&mut self, behaviour: &Behaviour, body: &[u8], now: Instant) -> bool {
        let left = match self.head.get(self.written..) {
            Some(head) if !head.is_empty() => head,
            _ => &body[self.written - self.head.len()..],
        };
        if now >= self.next_write && !left.is_empty() {
            match (&self.stream).write(&left[..behaviour.write.bytes.min(left.len())]) {
                Ok(count) => self.written += count,
                Err(error) if error.kind() == ErrorKind::WouldBlock => {}
                Err(_) => return false,
            }
            self.next_write = now + behaviour.write.every;
        }
        if now >= self.next_read {
            self.next_read = now + behaviour.read.every;
            let mut buffer = [0; FULL_SPEED_BYTES];
            match (&self.stream).read(&mut buffer[..behaviour.read.bytes]) {
                Ok(0) => return false,
                Ok(_) => {}
                Err(error) if error.kind() == ErrorKind::WouldBlock => {}
                Err(_) => return false,
            }
        }
        true
    }
}
