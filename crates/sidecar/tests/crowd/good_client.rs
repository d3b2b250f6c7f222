//! Good clients: they send small requests at a steady rate and read the answers at once.

use super::super::common::read_message;
use std::fmt::{self, Display, Formatter};
use std::io::{BufReader, ErrorKind, Write};
use std::net::{SocketAddr, TcpStream};
use std::ops::Add;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// Interval between the requests of a client.
const BETWEEN_REQUESTS: Duration = Duration::from_millis(25);
/// How long a client tells that it waits.
const CLIENT_TIMEOUT: Duration = Duration::from_millis(900);
/// How long a client really waits for an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(3);
/// How long the process may take until it listens.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// How a good client uses connections and what it sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GoodKind {
    /// A request that may be repeated, on a new connection each.
    NewConnections,
    /// The same on one connection while that stays open.
    KeptConnection,
    /// A request with a body that must not run twice, on a connection while that stays open.
    Bodies,
}

impl GoodKind {
    pub const ALL: [GoodKind; 3] = [GoodKind::NewConnections, GoodKind::KeptConnection, GoodKind::Bodies];

    fn request(self, number: usize) -> String {
        let timeout = CLIENT_TIMEOUT.as_secs_f64();
        let id = format!("X-Request-ID: good-{self:?}-{number}\r\nX-Timeout: {timeout}\r\n");
        match self {
            GoodKind::NewConnections => {
                format!("GET /read HTTP/1.1\r\nHost: x\r\n{id}Connection: close\r\n\r\n")
            }
            GoodKind::KeptConnection => format!("GET /read HTTP/1.1\r\nHost: x\r\n{id}\r\n"),
            GoodKind::Bodies => {
                let body = "g".repeat(2000);
                format!("POST /once HTTP/1.1\r\nHost: x\r\n{id}Content-Length: {}\r\n\r\n{body}", body.len())
            }
        }
    }
}

/// The requests of a good client by result.
#[derive(Clone, Copy, Debug, Default)]
pub struct GoodCounts {
    pub sent: usize,
    /// Answered 200 in time.
    pub served: usize,
    /// Answered 200 after the time that the client waits.
    pub late: usize,
    /// Answered 429 or 503.
    pub refused: usize,
    /// Answered otherwise.
    pub failed: usize,
    /// The connection ended without an answer, or none came in time.
    pub unanswered: usize,
    /// The longest time until an answer.
    pub slowest: Duration,
}

impl Add for GoodCounts {
    type Output = GoodCounts;

    fn add(self, other: GoodCounts) -> GoodCounts {
        GoodCounts {
            sent: self.sent + other.sent,
            served: self.served + other.served,
            late: self.late + other.late,
            refused: self.refused + other.refused,
            failed: self.failed + other.failed,
            unanswered: self.unanswered + other.unanswered,
            slowest: self.slowest.max(other.slowest),
        }
    }
}

impl Display for GoodCounts {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let GoodCounts { sent, served, late, refused, failed, unanswered, slowest } = self;
        write!(
            f,
            "{served} of {sent} ({late} late, {refused} refused, {failed} failed, {unanswered} unanswered, {slowest:.0?} at most)"
        )
    }
}

type Connection = BufReader<TcpStream>;

fn connect(listen: SocketAddr) -> std::io::Result<Connection> {
    let stream = TcpStream::connect(listen)?;
    stream.set_read_timeout(Some(ANSWER_TIMEOUT))?;
    Ok(BufReader::new(stream))
}

/// Sends requests until it is over.
pub fn run(kind: GoodKind, listen: SocketAddr, over: &AtomicBool) -> GoodCounts {
    let give_up_at = Instant::now() + START_TIMEOUT;
    while TcpStream::connect(listen).is_err() && Instant::now() < give_up_at {
        thread::yield_now();
    }
    let mut counts = GoodCounts::default();
    let mut kept = None;
    for number in 0.. {
        if over.load(Ordering::SeqCst) {
            break;
        }
        let sent_at = Instant::now();
        counts.sent += 1;
        match exchange(&mut kept, listen, &kind.request(number)) {
            Ok(200) if sent_at.elapsed() <= CLIENT_TIMEOUT => counts.served += 1,
            Ok(200) => counts.late += 1,
            Ok(429 | 503) => counts.refused += 1,
            Ok(_) => counts.failed += 1,
            Err(_) => counts.unanswered += 1,
        }
        counts.slowest = counts.slowest.max(sent_at.elapsed());
        if kind == GoodKind::NewConnections {
            kept = None;
        }
        thread::sleep(BETWEEN_REQUESTS);
    }
    counts
}

/// Sends a request on the kept connection, or on a new one where that has ended unused; returns the status.
fn exchange(kept: &mut Option<Connection>, listen: SocketAddr, request: &str) -> std::io::Result<u16> {
    if let Some(mut connection) = kept.take()
        && connection.get_mut().write_all(request.as_bytes()).is_ok()
    {
        match read_message(&mut connection) {
            Ok(Some(answer)) => {
                if answer.header("connection") != Some("close") {
                    *kept = Some(connection);
                }
                return Ok(answer.status());
            }
            // The close crossed the request, which was not read.
            Ok(None) => {}
            Err(error) if error.kind() == ErrorKind::ConnectionReset => {}
            Err(error) => return Err(error),
        }
    }
    let mut connection = connect(listen)?;
    connection.get_mut().write_all(request.as_bytes())?;
    let answer = read_message(&mut connection)?.ok_or(ErrorKind::UnexpectedEof)?;
    if answer.header("connection") != Some("close") {
        *kept = Some(connection);
    }
    Ok(answer.status())
}
