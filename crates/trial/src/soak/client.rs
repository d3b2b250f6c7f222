//! Clients of the soak: each sends one request at a time on a connection, keeps it for as long as it stays open, and opens
//! another while the platform still sends to the process.

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

/// How long a connection may take to come up.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// How long a client reads on after its time, to see whether an answer comes late.
const LATE_ANSWER_WAIT: Duration = Duration::from_secs(1);
/// How long a reset may come after the end of a connection.
const RESET_WAIT: Duration = Duration::from_secs(1);
/// Of a hundred requests so many are left by their client while they are in hand.
const ABANDON_PERCENT: u32 = 3;
/// How often one more client of a crowd comes.
const CROWD_CONNECT_INTERVAL: Duration = Duration::from_millis(20);
/// The largest head of an answer.
const MAX_HEAD_BYTES: usize = 16 * 1024;

/// How an exchange ended.
enum ExchangeResult {
    /// With an answer, after which the connection stays or ends.
    Answered { answer: Answer, reusable: bool },
    /// Nothing came, and the connection ended after the process had read the request.
    Dropped,
    /// Nothing came, and the connection was reset: the process had closed it, or left the request unread.
    Unread,
    /// Neither an answer nor an end came in time.
    Silent,
}

/// A client.
pub struct Client {
    name: String,
    /// Where the process serves; nowhere once the platform sends it no more connections.
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
    /// The nth client, which stops when the time is over.
    pub fn new(
        n: usize,
        at: Rc<Cell<Option<SocketAddr>>>,
        history: History,
        client_timeout: Duration,
        end: Instant,
    ) -> Client {
        Client { name: format!("c{n}"), at, history, client_timeout, end, requests_sent: 0 }
    }

    /// Asks until the time is over, or no connection is left and none can be opened.
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
            // Most ask again at once; some keep their connection idle for a while.
            let idle = if rng.random_bool(0.1) { 700 } else { 30 };
            sleep(Duration::from_millis(rng.random_range(0..idle))).await;
        }
    }

    /// One request; gives the connection back where it stays.
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
            // A request crosses the close of a connection between two requests, and of no other.
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

/// The kinds of requests, one for each kind of semantics.
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

/// Whether nothing has come on an idle connection, its end included.
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
            Ok(Some((answer, reusable))) => return ExchangeResult::Answered { answer, reusable },
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

/// Whether a reset follows the end of a connection. The machine resets one that is closed with something unread on it, or on
/// which something comes after it was closed; what was read before ends without.
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

/// The answer in what was read, where it is whole, and whether the connection stays.
fn parse_answer(read: &[u8]) -> Result<Option<(Answer, bool)>, httparse::Error> {
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
    Ok(Some((answer, reusable)))
}

/// Idle clients that hold as many connections as they get: some say nothing, some half of what they have to say.
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
