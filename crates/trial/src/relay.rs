//! All communication between two processes passes through a relay of the rig, and each direction can be impaired on its
//! own. A relay does not interpret what it carries. What is sent over a connection while its link is cut is delivered
//! when the link is repaired, as after a network partition; datagrams are lost. A connection is accepted at once and
//! connected to its target once the link there is open: to the client, a cut looks like a peer that does not answer.

use crate::schedule::Impairment;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, sleep, sleep_until, timeout};

/// Connections of a relay at a time.
const MAX_CONNECTIONS: usize = 512;
/// Chunks of a connection in transit.
const QUEUED_CHUNKS: usize = 64;
/// How much later a late duplicate of a datagram is sent.
const LATE_DUPLICATE_DELAY: Duration = Duration::from_secs(3);
/// How much later a reordered datagram is sent.
const REORDER_DELAY: Duration = Duration::from_millis(40);
/// How much later the duplicate of a datagram is sent.
const DUPLICATE_DELAY: Duration = Duration::from_millis(1);
/// How long connecting to the target may take.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);
/// Source addresses that a datagram relay keeps apart: a process has another one after each restart.
const MAX_SOURCES: usize = 64;

/// One direction between two processes.
#[derive(Clone)]
pub struct Link(Rc<watch::Sender<Impairment>>);

impl Link {
    fn healthy() -> Link {
        Link(Rc::new(watch::channel(Impairment::default()).0))
    }

    /// Sets the impairment from now on.
    pub fn set(&self, impairment: Impairment) {
        self.0.send_replace(impairment);
    }

    fn impairment(&self) -> Impairment {
        *self.0.borrow()
    }

    async fn wait_until_open(&self) {
        let _ = self.0.subscribe().wait_for(|impairment| !impairment.cut).await;
    }
}

/// Number of resets of the connections between two processes.
type Resets = BTreeMap<(String, String), watch::Sender<u64>>;

/// All links, by the names of both ends.
#[derive(Clone, Default)]
pub struct Links {
    links: Rc<RefCell<BTreeMap<(String, String), Link>>>,
    resets: Rc<RefCell<Resets>>,
    rng: Rc<RefCell<Option<SmallRng>>>,
}

/// The address that a relay forwards to. It may be unknown at first, and changes with a restart.
pub type Target = Rc<Cell<Option<SocketAddr>>>;

impl Links {
    /// All links are unimpaired; the seed determines which datagrams are lost.
    #[must_use]
    pub fn new(seed: u64) -> Links {
        let rng = Rc::new(RefCell::new(Some(SmallRng::seed_from_u64(seed))));
        Links { rng, ..Links::default() }
    }

    /// The link in one direction.
    #[must_use]
    pub fn link(&self, from: &str, to: &str) -> Link {
        let mut links = self.links.borrow_mut();
        links.entry((from.to_owned(), to.to_owned())).or_insert_with(Link::healthy).clone()
    }

    /// Removes the impairments of all links.
    pub fn repair_all(&self) {
        self.links.borrow().values().for_each(|link| link.set(Impairment::default()));
    }

    /// Resets the connections between two processes.
    pub fn reset(&self, a: &str, b: &str) {
        let resets = self.resets.borrow();
        for key in [(a.to_owned(), b.to_owned()), (b.to_owned(), a.to_owned())] {
            if let Some(reset) = resets.get(&key) {
                reset.send_modify(|n| *n += 1);
            }
        }
    }

    fn chance(&self, percent: u8) -> bool {
        percent > 0 && self.rng.borrow_mut().as_mut().is_some_and(|rng| rng.random_range(0..100) < percent)
    }

    /// Starts a relay for the connections that one process opens to another; returns the relay's address.
    ///
    /// # Errors
    ///
    /// No port is available.
    pub async fn tcp(&self, from: &str, to: &str, target: Target) -> io::Result<SocketAddr> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let at = listener.local_addr()?;
        let forward = self.link(from, to);
        let backward = self.link(to, from);
        let key = (from.to_owned(), to.to_owned());
        let reset = self.resets.borrow_mut().entry(key).or_insert_with(|| watch::channel(0).0).subscribe();
        let open = Rc::new(Cell::new(0));
        actix_rt::spawn(async move {
            loop {
                let Ok((stream, _)) = listener.accept().await else {
                    sleep(Duration::from_millis(20)).await;
                    continue;
                };
                if open.get() >= MAX_CONNECTIONS {
                    continue;
                }
                open.set(open.get() + 1);
                let forward = forward.clone();
                let backward = backward.clone();
                let target = target.clone();
                let mut reset = reset.clone();
                let open = open.clone();
                reset.mark_unchanged();
                actix_rt::spawn(async move {
                    let result = relay_connection(stream, forward, backward, target, reset).await;
                    open.set(open.get() - 1);
                    drop(result);
                });
            }
        });
        Ok(at)
    }

    /// Starts a relay for the datagrams that one process sends to another and for the replies; returns the relay's
    /// address.
    ///
    /// # Errors
    ///
    /// No port is available.
    pub async fn udp(&self, from: &str, to: &str, target: Target) -> io::Result<SocketAddr> {
        let socket = Rc::new(UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).await?);
        let at = socket.local_addr()?;
        let forward = self.link(from, to);
        let backward = self.link(to, from);
        let links = self.clone();
        actix_rt::spawn(async move {
            let mut sources: VecDeque<Source> = VecDeque::new();
            let mut bytes = vec![0; 65_536];
            loop {
                // Where the target process is gone, a datagram sent there causes an error on the socket.
                let Ok((len, source)) = socket.recv_from(&mut bytes).await else { continue };
                let Some(destination) = target.get() else { continue };
                if !sources.iter().any(|known| known.address == source) {
                    let Ok(upstream) = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).await else { continue };
                    let upstream = Rc::new(upstream);
                    let replies = upstream.clone();
                    let downstream = socket.clone();
                    let backward = backward.clone();
                    let links = links.clone();
                    let task = actix_rt::spawn(async move {
                        let mut bytes = vec![0; 65_536];
                        loop {
                            if let Ok((len, _)) = replies.recv_from(&mut bytes).await {
                                links.send_datagram(&backward, &downstream, source, &bytes[..len]);
                            }
                        }
                    });
                    sources.push_back(Source { address: source, upstream, reply_task: task });
                    if sources.len() > MAX_SOURCES
                        && let Some(oldest) = sources.pop_front()
                    {
                        oldest.reply_task.abort();
                    }
                }
                if let Some(known) = sources.iter().find(|known| known.address == source) {
                    links.send_datagram(&forward, &known.upstream, destination, &bytes[..len]);
                }
            }
        });
        Ok(at)
    }

    /// Sends a datagram with the link's impairment.
    fn send_datagram(&self, link: &Link, from: &Rc<UdpSocket>, to: SocketAddr, bytes: &[u8]) {
        let impairment = link.impairment();
        if impairment.cut || self.chance(impairment.loss_percent) {
            return;
        }
        let mut delay = Duration::from_millis(impairment.delay_ms);
        if self.chance(impairment.reorder_percent) {
            delay += REORDER_DELAY;
        }
        let mut delays = vec![delay];
        if self.chance(impairment.duplicate_percent) {
            delays.push(delay + DUPLICATE_DELAY);
        }
        if self.chance(impairment.late_duplicate_percent) {
            delays.push(delay + LATE_DUPLICATE_DELAY);
        }
        for delay in delays {
            let link = link.clone();
            let from = from.clone();
            let bytes = bytes.to_vec();
            actix_rt::spawn(async move {
                if !delay.is_zero() {
                    sleep(delay).await;
                }
                // Awaited, since `try_send_to` reports a socket as full that the runtime has not polled before.
                if !link.impairment().cut {
                    let _ = from.send_to(&bytes, to).await;
                }
            });
        }
    }
}

/// Relays one connection to its end.
async fn relay_connection(
    client: TcpStream,
    forward: Link,
    backward: Link,
    target: Target,
    mut reset: watch::Receiver<u64>,
) -> io::Result<()> {
    let connect = async {
        forward.wait_until_open().await;
        let destination = target.get().ok_or(io::ErrorKind::ConnectionRefused)?;
        let server = timeout(CONNECT_TIMEOUT, TcpStream::connect(destination)).await??;
        client.set_nodelay(true)?;
        server.set_nodelay(true)?;
        io::Result::Ok(server)
    };
    let server = tokio::select! {
        server = connect => server,
        _ = reset.changed() => Err(io::ErrorKind::ConnectionReset.into()),
    };
    let server = match server {
        Ok(server) => server,
        Err(error) => {
            SockRef::from(&client).set_linger(Some(Duration::ZERO))?;
            return Err(error);
        }
    };
    let (client_read, client_write) = client.into_split();
    let (server_read, server_write) = server.into_split();
    let forward_pump = pump(client_read, server_write, forward);
    let backward_pump = pump(server_read, client_write, backward);
    tokio::select! {
        _ = async { tokio::join!(forward_pump, backward_pump) } => {}
        // Dropping both ends resets them with what is still queued.
        _ = reset.changed() => {}
    }
    Ok(())
}

/// A sender of datagrams, and the socket that its datagrams are sent on from.
struct Source {
    address: SocketAddr,
    upstream: Rc<UdpSocket>,
    /// Sends replies back.
    reply_task: actix_rt::task::JoinHandle<()>,
}

/// Data of one direction, or how it ended.
enum Chunk {
    Bytes(Vec<u8>),
    End,
    Reset,
}

/// Forwards the data of one direction with the link's impairment.
async fn pump(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, link: Link) {
    let (chunks, mut received) = mpsc::channel::<(Instant, Chunk)>(QUEUED_CHUNKS);
    let read_link = link.clone();
    let reads = async move {
        loop {
            let mut bytes = vec![0; 16 * 1024];
            let chunk = match from.read(&mut bytes).await {
                Ok(0) => Chunk::End,
                Ok(len) => {
                    bytes.truncate(len);
                    Chunk::Bytes(bytes)
                }
                Err(_) => Chunk::Reset,
            };
            let finished = !matches!(chunk, Chunk::Bytes(_));
            let due = Instant::now() + Duration::from_millis(read_link.impairment().delay_ms);
            if chunks.send((due, chunk)).await.is_err() || finished {
                // The socket stays open until the other half has forwarded everything.
                return Some(from);
            }
        }
    };
    let writes = async move {
        while let Some((due, chunk)) = received.recv().await {
            sleep_until(due).await;
            link.wait_until_open().await;
            match chunk {
                Chunk::Bytes(bytes) => {
                    let rate = link.impairment().bytes_per_s;
                    if rate > 0 {
                        sleep(Duration::from_secs_f64(bytes.len() as f64 / rate as f64)).await;
                    }
                    if to.write_all(&bytes).await.is_err() {
                        return;
                    }
                }
                Chunk::End => {
                    let _ = to.shutdown().await;
                }
                Chunk::Reset => {
                    let _ = SockRef::from(to.as_ref()).set_linger(Some(Duration::ZERO));
                    to.forget();
                    return;
                }
            }
        }
    };
    // A peer that no longer reads ends the other direction too, as a reset would.
    let mut reads = std::pin::pin!(reads);
    let mut writes = std::pin::pin!(writes);
    let from = tokio::select! {
        from = &mut reads => { writes.await; from }
        () = &mut writes => None,
    };
    drop(from);
}

#[cfg(test)]
mod tests;
