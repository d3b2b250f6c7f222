//! Every two processes talk through a relay of the rig, and each direction can fall ill by itself. A relay knows nothing of
//! what it carries. What is held while a way is cut comes through when it is mended, as after a partition; datagrams are
//! lost. A connection is taken at once and goes on to its target when the way there is whole: to the one who calls it
//! looks like a peer that says nothing.

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
const CONNECTIONS: usize = 512;
/// Pieces of a connection that are on their way.
const PIECES: usize = 64;
/// How much later a datagram from before comes once more.
const LATE: Duration = Duration::from_secs(3);
/// Lives of one end that a relay of datagrams tells apart.
const LIVES: usize = 64;

/// One direction between two processes.
#[derive(Clone)]
pub struct Link(Rc<watch::Sender<Impairment>>);

impl Link {
    fn well() -> Link {
        Link(Rc::new(watch::channel(Impairment::default()).0))
    }

    /// It is like this from now on.
    pub fn set(&self, impairment: Impairment) {
        self.0.send_replace(impairment);
    }

    fn now(&self) -> Impairment {
        *self.0.borrow()
    }

    async fn open(&self) {
        let _ = self.0.subscribe().wait_for(|impairment| !impairment.cut).await;
    }
}

/// How often the connections between two were reset.
type Resets = BTreeMap<(String, String), watch::Sender<u64>>;

/// All directions, by the names of both ends.
#[derive(Clone, Default)]
pub struct Links {
    ways: Rc<RefCell<BTreeMap<(String, String), Link>>>,
    resets: Rc<RefCell<Resets>>,
    rng: Rc<RefCell<Option<SmallRng>>>,
}

/// Where a relay leads: it may not be known yet, and change with a new start.
pub type Target = Rc<Cell<Option<SocketAddr>>>;

impl Links {
    /// All well; which datagrams are lost is drawn by this seed.
    #[must_use]
    pub fn new(seed: u64) -> Links {
        let rng = Rc::new(RefCell::new(Some(SmallRng::seed_from_u64(seed))));
        Links { rng, ..Links::default() }
    }

    /// One direction.
    #[must_use]
    pub fn link(&self, from: &str, to: &str) -> Link {
        let mut ways = self.ways.borrow_mut();
        ways.entry((from.to_owned(), to.to_owned())).or_insert_with(Link::well).clone()
    }

    /// All are well.
    pub fn repair_all(&self) {
        self.ways.borrow().values().for_each(|way| way.set(Impairment::default()));
    }

    /// Connections between two are reset.
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

    /// A relay for the connections that one opens to another; gives the address to call.
    ///
    /// # Errors
    ///
    /// No port can be had.
    pub async fn tcp(&self, from: &str, to: &str, target: Target) -> io::Result<SocketAddr> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let at = listener.local_addr()?;
        let (there, back) = (self.link(from, to), self.link(to, from));
        let key = (from.to_owned(), to.to_owned());
        let reset = self.resets.borrow_mut().entry(key).or_insert_with(|| watch::channel(0).0).subscribe();
        let open = Rc::new(Cell::new(0));
        actix_rt::spawn(async move {
            loop {
                let Ok((stream, _)) = listener.accept().await else {
                    sleep(Duration::from_millis(20)).await;
                    continue;
                };
                if open.get() >= CONNECTIONS {
                    continue;
                }
                open.set(open.get() + 1);
                let (there, back, target) = (there.clone(), back.clone(), target.clone());
                let (mut reset, open) = (reset.clone(), open.clone());
                reset.mark_unchanged();
                actix_rt::spawn(async move {
                    let carried = carry(stream, there, back, target, reset).await;
                    open.set(open.get() - 1);
                    drop(carried);
                });
            }
        });
        Ok(at)
    }

    /// A relay for the datagrams that one sends to another, and what comes back to it.
    ///
    /// # Errors
    ///
    /// No port can be had.
    pub async fn udp(&self, from: &str, to: &str, target: Target) -> io::Result<SocketAddr> {
        let socket = Rc::new(UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).await?);
        let at = socket.local_addr()?;
        let (there, back, ways) = (self.link(from, to), self.link(to, from), self.clone());
        actix_rt::spawn(async move {
            let mut lives: VecDeque<(SocketAddr, Rc<UdpSocket>, actix_rt::task::JoinHandle<()>)> =
                VecDeque::new();
            let mut bytes = vec![0; 65_536];
            loop {
                // An answer to a process that is gone comes back as a fault of the socket.
                let Ok((len, source)) = socket.recv_from(&mut bytes).await else { continue };
                let Some(goal) = target.get() else { continue };
                if !lives.iter().any(|(at, ..)| *at == source) {
                    let Ok(out) = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).await else { continue };
                    let out = Rc::new(out);
                    let (answers, front, back, ways) =
                        (out.clone(), socket.clone(), back.clone(), ways.clone());
                    let task = actix_rt::spawn(async move {
                        let mut bytes = vec![0; 65_536];
                        loop {
                            if let Ok((len, _)) = answers.recv_from(&mut bytes).await {
                                ways.datagram(&back, &front, source, &bytes[..len]);
                            }
                        }
                    });
                    lives.push_back((source, out, task));
                    if lives.len() > LIVES
                        && let Some((.., task)) = lives.pop_front()
                    {
                        task.abort();
                    }
                }
                if let Some((_, out, _)) = lives.iter().find(|(at, ..)| *at == source) {
                    ways.datagram(&there, out, goal, &bytes[..len]);
                }
            }
        });
        Ok(at)
    }

    /// Sends a datagram as the way has it.
    fn datagram(&self, way: &Link, from: &Rc<UdpSocket>, to: SocketAddr, bytes: &[u8]) {
        let impairment = way.now();
        if impairment.cut || self.chance(impairment.loss_percent) {
            return;
        }
        let mut delay = Duration::from_millis(impairment.delay_ms);
        if self.chance(impairment.reorder_percent) {
            delay += Duration::from_millis(40);
        }
        let mut after = vec![delay];
        if self.chance(impairment.duplicate_percent) {
            after.push(delay + Duration::from_millis(1));
        }
        if self.chance(impairment.late_duplicate_percent) {
            after.push(delay + LATE);
        }
        for after in after {
            let (way, from, bytes) = (way.clone(), from.clone(), bytes.to_vec());
            actix_rt::spawn(async move {
                if !after.is_zero() {
                    sleep(after).await;
                }
                // Tried at once, a socket that the runtime has not met yet would say that it is full.
                if !way.now().cut {
                    let _ = from.send_to(&bytes, to).await;
                }
            });
        }
    }
}

/// Carries one connection to its end.
async fn carry(
    client: TcpStream,
    there: Link,
    back: Link,
    target: Target,
    mut reset: watch::Receiver<u64>,
) -> io::Result<()> {
    let whole = async {
        there.open().await;
        let goal = target.get().ok_or(io::ErrorKind::ConnectionRefused)?;
        let server = timeout(Duration::from_secs(5), TcpStream::connect(goal)).await??;
        client.set_nodelay(true)?;
        server.set_nodelay(true)?;
        io::Result::Ok(server)
    };
    let server = tokio::select! {
        server = whole => server,
        _ = reset.changed() => Err(io::ErrorKind::ConnectionReset.into()),
    };
    let server = match server {
        Ok(server) => server,
        Err(error) => {
            SockRef::from(&client).set_linger(Some(Duration::ZERO))?;
            return Err(error);
        }
    };
    let (client_in, client_out) = client.into_split();
    let (server_in, server_out) = server.into_split();
    let (client_socket, server_socket) = (client_out, server_out);
    let forth = pump(client_in, server_socket, there);
    let back = pump(server_in, client_socket, back);
    tokio::select! {
        _ = async { tokio::join!(forth, back) } => {}
        // Both ends are dropped with what they hold.
        _ = reset.changed() => {}
    }
    Ok(())
}

/// What goes one way: a piece of it, or why it ended.
enum Piece {
    Bytes(Vec<u8>),
    End,
    Reset,
}

/// Passes on what goes one way, as the way has it.
async fn pump(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, way: Link) {
    let (pieces, mut coming) = mpsc::channel::<(Instant, Piece)>(PIECES);
    let impairment = way.clone();
    let reads = async move {
        loop {
            let mut bytes = vec![0; 16 * 1024];
            let piece = match from.read(&mut bytes).await {
                Ok(0) => Piece::End,
                Ok(len) => {
                    bytes.truncate(len);
                    Piece::Bytes(bytes)
                }
                Err(_) => Piece::Reset,
            };
            let over = !matches!(piece, Piece::Bytes(_));
            let due = Instant::now() + Duration::from_millis(impairment.now().delay_ms);
            if pieces.send((due, piece)).await.is_err() || over {
                // The socket is kept until the other half has passed on all.
                return Some(from);
            }
        }
    };
    let writes = async move {
        while let Some((due, piece)) = coming.recv().await {
            sleep_until(due).await;
            way.open().await;
            match piece {
                Piece::Bytes(bytes) => {
                    let rate = way.now().bytes_per_s;
                    if rate > 0 {
                        sleep(Duration::from_secs_f64(bytes.len() as f64 / rate as f64)).await;
                    }
                    if to.write_all(&bytes).await.is_err() {
                        return;
                    }
                }
                Piece::End => {
                    let _ = to.shutdown().await;
                }
                Piece::Reset => {
                    let _ = SockRef::from(to.as_ref()).set_linger(Some(Duration::ZERO));
                    to.forget();
                    return;
                }
            }
        }
    };
    // A side that takes nothing any more ends what comes from the other, as a reset would.
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
