//! Clients of the soak: each sends one request at a time on a connection, keeps it for as long as it stays open, and opens
//! another while the platform still sends to the process.

use super::plan::NAME;
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
const CONNECTS: Duration = Duration::from_secs(1);
/// How long a client reads on after its time, to see whether an answer comes late.
const READS_ON: Duration = Duration::from_secs(1);
/// How long a reset may come after the end of a connection.
const RESETS_WITHIN: Duration = Duration::from_secs(1);
/// Of a hundred requests so many are left by their client while they are in hand.
const LEFT_PERCENT: u32 = 3;
/// How often one more client of a crowd comes.
const CROWD_GAP: Duration = Duration::from_millis(20);
/// The largest head of an answer.
const HEAD: usize = 16 * 1024;

/// How an exchange ended.
enum End {
    /// With an answer, after which the connection stays or ends.
    Answered { answer: Answer, stays: bool },
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
    over: Instant,
    asked: u64,
}

/// A connection, and whether it has carried an answer.
struct Open {
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
        over: Instant,
    ) -> Client {
        Client { name: format!("c{n}"), at, history, client_timeout, over, asked: 0 }
    }

    /// Asks until the time is over, or no connection is left and none can be opened.
    pub async fn run(mut self, mut rng: SmallRng) {
        let mut kept: Option<Open> = None;
        while Instant::now() < self.over {
            let Some(open) = kept.take().filter(|open| is_open(&open.stream)) else {
                let Some(at) = self.at.get() else { return };
                match timeout(CONNECTS, TcpStream::connect(at)).await {
                    Ok(Ok(stream)) => kept = Some(Open { stream, used: false }),
                    Ok(Err(_)) | Err(_) => sleep(Duration::from_millis(5)).await,
                }
                continue;
            };
            kept = self.ask(open, &mut rng).await;
            // Most ask again at once; some keep their connection idle for a while.
            let idle = if rng.random_bool(0.1) { 700 } else { 30 };
            sleep(Duration::from_millis(rng.random_range(0..idle))).await;
        }
    }

    /// One request; gives the connection back where it stays.
    async fn ask(&mut self, mut open: Open, rng: &mut SmallRng) -> Option<Open> {
        let id = format!("{}-{}", self.name, self.asked);
        self.asked += 1;
        let client_timeout = self.client_timeout.mul_f64(rng.random_range(0.5..=1.0));
        let kind = [Kind::Read, Kind::Pay, Kind::Book][rng.random_range(0..3)];
        let asked = EventKind::RequestSent {
            by: NAME.to_owned(),
            id: id.clone(),
            at_most_once: kind == Kind::Book,
            client_timeout: client_timeout.as_micros() as u64,
        };
        record(&self.history, asked);
        let leaves = rng.random_ratio(LEFT_PERCENT, 100);
        let patience =
            if leaves { Duration::from_millis(rng.random_range(0..50)) } else { client_timeout + READS_ON };
        match exchange(&mut open.stream, &kind.request(&id, client_timeout), patience).await {
            End::Answered { answer, stays } => {
                record(&self.history, EventKind::Answered { id, answer });
                open.used = true;
                stays.then_some(open)
            }
            End::Silent if leaves => {
                drop(open);
                record(&self.history, EventKind::ClientLeft { id });
                None
            }
            // A request crosses the close of a connection between two requests, and of no other.
            End::Unread if open.used => {
                record(&self.history, EventKind::CrossedClose { id });
                None
            }
            End::Unread => self.broken(id, "its first request was never read"),
            End::Dropped => self.broken(id, "it ended after the request was read"),
            End::Silent => self.broken(id, "nothing came"),
        }
    }

    fn broken(&self, id: String, why: &str) -> Option<Open> {
        record(&self.history, EventKind::Answered { id, answer: Answer::Broken(why.to_owned()) });
        None
    }
}

/// The kinds of requests, one for each kind of semantics.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Kind {
    Read,
    Pay,
    Book,
}

impl Kind {
    fn request(self, id: &str, client_timeout: Duration) -> String {
        let (line, rest) = match self {
            Kind::Read => ("GET /read", "\r\n".to_owned()),
            Kind::Pay => ("POST /pay", format!("Idempotency-Key: {id}\r\nContent-Length: 2\r\n\r\n{{}}")),
            Kind::Book => ("POST /book", "Content-Length: 2\r\n\r\n{}".to_owned()),
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

async fn exchange(stream: &mut TcpStream, request: &str, patience: Duration) -> End {
    let until = Instant::now() + patience;
    if stream.write_all(request.as_bytes()).await.is_err() {
        return End::Unread;
    }
    let mut read = Vec::new();
    loop {
        match answer(&read) {
            Ok(Some((answer, stays))) => return End::Answered { answer, stays },
            Ok(None) if read.len() <= HEAD => {}
            Ok(None) | Err(_) => return broken("an answer that can't be read"),
        }
        match timeout_at(until, stream.read_buf(&mut read)).await {
            Err(_) => return End::Silent,
            Ok(Ok(1..)) => {}
            Ok(Ok(0) | Err(_)) if !read.is_empty() => return broken("half an answer"),
            Ok(Ok(0)) => return if reset(stream).await { End::Unread } else { End::Dropped },
            Ok(Err(_)) => return End::Unread,
        }
    }
}

fn broken(why: &str) -> End {
    End::Answered { answer: Answer::Broken(why.to_owned()), stays: false }
}

/// Whether a reset follows the end of a connection. The machine resets one that is closed with something unread on it, or on
/// which something comes after it was closed; what was read before ends without.
async fn reset(stream: &TcpStream) -> bool {
    let until = Instant::now() + RESETS_WITHIN;
    while Instant::now() < until {
        if stream.take_error().is_ok_and(|error| error.is_some()) {
            return true;
        }
        sleep(Duration::from_millis(2)).await;
    }
    false
}

/// The answer in what was read, where it is whole, and whether the connection stays.
fn answer(read: &[u8]) -> Result<Option<(Answer, bool)>, httparse::Error> {
    let mut headers = [httparse::EMPTY_HEADER; 32];
    let mut response = httparse::Response::new(&mut headers);
    let httparse::Status::Complete(head) = response.parse(read)? else { return Ok(None) };
    let value = |name: &str| {
        let header = response.headers.iter().find(|header| header.name.eq_ignore_ascii_case(name))?;
        std::str::from_utf8(header.value).ok().map(str::trim)
    };
    let length = value("content-length").and_then(|length| length.parse().ok()).unwrap_or(0);
    let Some(body) = read[head..].get(..length) else { return Ok(None) };
    let stays = !value("connection").is_some_and(|value| value.eq_ignore_ascii_case("close"));
    let answer = match response.code {
        Some(200) => Answer::Served(String::from_utf8_lossy(body).into_owned()),
        Some(429 | 503) => Answer::Refused,
        _ => Answer::Failed,
    };
    Ok(Some((answer, stays)))
}

/// Idle clients that hold as many connections as they get: some say nothing, some half of what they have to say.
pub async fn crowd(at: Rc<Cell<Option<SocketAddr>>>, most: usize, over: Instant) {
    let mut held = VecDeque::new();
    let mut n = 0_usize;
    while Instant::now() < over {
        sleep(CROWD_GAP).await;
        let Some(at) = at.get() else { return };
        let Ok(Ok(mut stream)) = timeout(Duration::from_millis(100), TcpStream::connect(at)).await else {
            continue;
        };
        n += 1;
        if n.is_multiple_of(2) {
            let _ = stream.write_all(b"GET /read HTTP/1.1\r\nX-Req").await;
        }
        held.push_back(stream);
        if held.len() > most {
            held.pop_front();
        }
    }
}
