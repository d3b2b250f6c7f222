//! Clients of the soak: each sends one request at a time, reuses its connection while that is open, and opens another
//! one while the platform still sends requests to the process.

use super::plan::INSTANCE;
use crate::history::{Answer, EventKind};
use crate::rig::{History, record};
use rand::Rng;
use rand::rngs::SmallRng;
use std::cell::Cell;
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, timeout, timeout_at};

/// How long connecting may take.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// How long a client waits beyond its timeout, to detect late answers.
const LATE_ANSWER_WAIT: Duration = Duration::from_secs(1);
/// How long after the end of a connection a reset may follow.
const RESET_WAIT: Duration = Duration::from_secs(1);
/// Percentage of requests that the client abandons while they are in flight.
const ABANDON_PERCENT: u32 = 3;
/// How often another idle client connects.
const CROWD_CONNECT_INTERVAL: Duration = Duration::from_millis(20);
/// The largest head of an answer.
const MAX_HEAD_BYTES: usize = 16 * 1024;

/// How an exchange ended.
enum ExchangeResult {
    /// An answer arrived; the connection may be reusable.
    Answered { answer: Answer, reusable: bool },
    /// No answer arrived, and the connection ended after the process had read the request.
    Dropped,
    /// No answer arrived, and the connection was reset: the process had closed it, or left the request unread.
    Unread,
    /// Neither an answer nor the end of the connection arrived in time.
    Silent,
}

/// A client.
pub struct Client {
    name: String,
    /// Where the process serves; none once the platform opens no more connections to it.
    at: Rc<Cell<Option<SocketAddr>>>,
    history: History,
    /// The longest deadline.
    client_timeout: Duration,
    /// When it stops.
    end: Instant,
    requests_sent: u64,
}

/// A connection, and whether it has carried an answer.
struct Connection {
    stream: TcpStream,
    used: bool,
}

impl Client {
    /// The nth client, which stops at the given time.
    pub fn new(
        n: usize,
        at: Rc<Cell<Option<SocketAddr>>>,
        history: History,
        client_timeout: Duration,
        end: Instant,
    ) -> Client {
        Client { name: format!("c{n}"), at, history, client_timeout, end, requests_sent: 0 }
    }

    /// Sends requests until the end, or until no connection is left and none can be opened.
    pub async fn run(mut self, mut rng: SmallRng) {
        let mut kept_connection: Option<Connection> = None;
        while Instant::now() < self.end {
            let Some(connection) = kept_connection.take().filter(|connection| is_open(&connection.stream))
            else {
                let Some(at) = self.at.get() else { return };
                match timeout(CONNECT_TIMEOUT, TcpStream::connect(at)).await {
                    Ok(Ok(stream)) => kept_connection = Some(Connection { stream, used: false }),
                    Ok(Err(_)) | Err(_) => sleep(Duration::from_millis(5)).await,
                }
                continue;
            };
            kept_connection = self.send_request(connection, &mut rng).await;
            // Most requests follow immediately; some connections stay idle for a while.
            let idle = if rng.random_bool(0.1) { 700 } else { 30 };
            sleep(Duration::from_millis(rng.random_range(0..idle))).await;
        }
    }

    /// Sends a request; returns the connection where it can be reused.
    async fn send_request(&mut self, mut connection: Connection, rng: &mut SmallRng) -> Option<Connection> {
        let id = format!("{}-{}", self.name, self.requests_sent);
        self.requests_sent += 1;
        let client_timeout = self.client_timeout.mul_f64(rng.random_range(0.5..=1.0));
        let kind = [RequestKind::Read, RequestKind::Pay, RequestKind::Book][rng.random_range(0..3)];
        let request_sent = EventKind::RequestSent {
            instance: INSTANCE.to_owned(),
            id: id.clone(),
            at_most_once: kind == RequestKind::Book,
            client_timeout: client_timeout.as_micros() as u64,
        };
        record(&self.history, request_sent);
        let abandons = rng.random_ratio(ABANDON_PERCENT, 100);
        let limit = if abandons {
            Duration::from_millis(rng.random_range(0..50))
        } else {
            client_timeout + LATE_ANSWER_WAIT
        };
        match exchange(&mut connection.stream, &kind.request(&id, client_timeout), limit).await {
            ExchangeResult::Answered { answer, reusable } => {
                record(&self.history, EventKind::Answered { id, answer });
                connection.used = true;
                reusable.then_some(connection)
            }
            ExchangeResult::Silent if abandons => {
                drop(connection);
                record(&self.history, EventKind::ClientLeft { id });
                None
            }
            // A request can only be lost to a close between two requests of a connection, not on a new one.
            ExchangeResult::Unread if connection.used => {
                record(&self.history, EventKind::CrossedClose { id });
                None
            }
            ExchangeResult::Unread => self.record_broken(id, "its first request was never read"),
            ExchangeResult::Dropped => self.record_broken(id, "it ended after the request was read"),
            ExchangeResult::Silent => self.record_broken(id, "nothing came"),
        }
    }

    fn record_broken(&self, id: String, why: &str) -> Option<Connection> {
        record(&self.history, EventKind::Answered { id, answer: Answer::Broken(why.to_owned()) });
        None
    }
}

/// The kinds of requests, one for each of the semantics.
#[derive(Clone, Copy, PartialEq, Eq)]
enum RequestKind {
    Read,
    Pay,
    Book,
}

impl RequestKind {
    fn request(self, id: &str, client_timeout: Duration) -> String {
        let (line, rest) = match self {
            RequestKind::Read => ("GET /read", "\r\n".to_owned()),
            RequestKind::Pay => {
                ("POST /pay", format!("Idempotency-Key: {id}\r\nContent-Length: 2\r\n\r\n{{}}"))
            }
            RequestKind::Book => ("POST /book", "Content-Length: 2\r\n\r\n{}".to_owned()),
        };
        let client_timeout = client_timeout.as_secs_f64();
        format!(
            "{line} HTTP/1.1\r\nHost: soak\r\nX-Request-ID: {id}\r\nX-Timeout: {client_timeout:.3}\r\n{rest}"
        )
    }
}

/// Whether an idle connection is open and has nothing to read.
fn is_open(stream: &TcpStream) -> bool {
    stream.try_read(&mut [0]).is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock)
}

async fn exchange(stream: &mut TcpStream, request: &str, limit: Duration) -> ExchangeResult {
    let until = Instant::now() + limit;
    if stream.write_all(request.as_bytes()).await.is_err() {
        return ExchangeResult::Unread;
    }
    let mut read = Vec::new();
    loop {
        match parse_answer(&read) {
            Ok(Some(ParsedAnswer { answer, reusable })) => {
                return ExchangeResult::Answered { answer, reusable };
            }
            Ok(None) if read.len() <= MAX_HEAD_BYTES => {}
            Ok(None) | Err(_) => return broken_answer("an answer that can't be read"),
        }
        match timeout_at(until, stream.read_buf(&mut read)).await {
            Err(_) => return ExchangeResult::Silent,
            Ok(Ok(1..)) => {}
            Ok(Ok(0) | Err(_)) if !read.is_empty() => return broken_answer("half an answer"),
            Ok(Ok(0)) => {
                return if reset_follows(stream).await {
                    ExchangeResult::Unread
                } else {
                    ExchangeResult::Dropped
                };
            }
            Ok(Err(_)) => return ExchangeResult::Unread,
        }
    }
}

fn broken_answer(why: &str) -> ExchangeResult {
    ExchangeResult::Answered { answer: Answer::Broken(why.to_owned()), reusable: false }
}

/// Whether a reset follows the end of a connection. The kernel resets a connection that is closed with unread data, or
/// that receives data after the close; where the request was read, no reset follows.
async fn reset_follows(stream: &TcpStream) -> bool {
    let until = Instant::now() + RESET_WAIT;
    while Instant::now() < until {
        if stream.take_error().is_ok_and(|error| error.is_some()) {
            return true;
        }
        sleep(Duration::from_millis(2)).await;
    }
    false
}

/// A complete answer, and whether its connection can be reused.
struct ParsedAnswer {
    answer: Answer,
    reusable: bool,
}

/// Parses a complete answer, and whether the connection can be reused.
fn parse_answer(read: &[u8]) -> Result<Option<ParsedAnswer>, httparse::Error> {
    let mut headers = [httparse::EMPTY_HEADER; 32];
    let mut response = httparse::Response::new(&mut headers);
    let httparse::Status::Complete(head) = response.parse(read)? else { return Ok(None) };
    let value = |name: &str| {
        let header = response.headers.iter().find(|header| header.name.eq_ignore_ascii_case(name))?;
        std::str::from_utf8(header.value).ok().map(str::trim)
    };
    let length = value("content-length").and_then(|length| length.parse().ok()).unwrap_or(0);
    let Some(body) = read[head..].get(..length) else { return Ok(None) };
    let reusable = !value("connection").is_some_and(|value| value.eq_ignore_ascii_case("close"));
    let answer = match response.code {
        Some(200) => Answer::Served(String::from_utf8_lossy(body).into_owned()),
        Some(429 | 503) => Answer::Refused,
        _ => Answer::Failed,
    };
    Ok(Some(ParsedAnswer { answer, reusable }))
}

/// Idle clients that hold as many connections as they can get: half of them send nothing, the others half a request.
pub async fn crowd(at: Rc<Cell<Option<SocketAddr>>>, max_connections: usize, end: Instant) {
    let mut connections = VecDeque::new();
    let mut n = 0_usize;
    while Instant::now() < end {
        sleep(CROWD_CONNECT_INTERVAL).await;
        let Some(at) = at.get() else { return };
        let Ok(Ok(mut stream)) = timeout(Duration::from_millis(100), TcpStream::connect(at)).await else {
            continue;
        };
        n += 1;
        if n.is_multiple_of(2) {
            let _ = stream.write_all(b"GET /read HTTP/1.1\r\nX-Req").await;
        }
        connections.push_back(stream);
        if connections.len() > max_connections {
            connections.pop_front();
        }
    }
}
