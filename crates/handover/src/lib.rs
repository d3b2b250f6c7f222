//! What processes of one sidecar share: the listener that the platform opened, and who else of them runs.

mod presence;

pub use presence::Presence;

use anyhow::{Context, Result, bail};
use socket2::Socket;
use std::net::{SocketAddr, TcpListener};
use std::os::fd::{FromRawFd, OwnedFd, RawFd};

/// Takes the listening socket at this descriptor. Dropped, it closes this process's copy alone: the socket listens on
/// as long as another process holds one.
///
/// To be called once, before any other descriptor is opened.
///
/// # Errors
///
/// The descriptor is not open, or is no listening TCP socket.
pub fn take(number: RawFd) -> Result<TcpListener> {
    let link = std::fs::read_link(format!("/proc/self/fd/{number}")).ok().with_context(|| {
        format!("{number} is no open descriptor; right would be that of a listening TCP socket")
    })?;
    if !link.to_string_lossy().starts_with("socket:") {
        bail!("{number} is {}; right would be a listening TCP socket", link.display());
    }
    if number <= 2 {
        bail!("{number} is a standard stream; right would be a listening TCP socket");
    }
    // SAFETY: it is open, as was just seen, it is no standard stream, and nothing else in this process owns it: the
    // caller takes it once, before other descriptors are opened.
    #[allow(unsafe_code)]
    let owned = unsafe { OwnedFd::from_raw_fd(number) };
    let socket = Socket::from(owned);
    let listens = socket.is_listener().context("its kind can't be read")?;
    let at = socket.local_addr().context("its address can't be read")?.as_socket();
    if !listens || at.is_none() || socket.r#type().is_ok_and(|t| t != socket2::Type::STREAM) {
        bail!("{number} is no listening TCP socket");
    }
    socket.set_cloexec(true).context("close-on-exec")?;
    socket.set_nonblocking(true).context("non-blocking")?;
    Ok(socket.into())
}

/// Whether a listener that was taken is the one that clients of `listen` reach.
///
/// # Errors
///
/// It listens elsewhere.
pub fn listens_at(listener: &TcpListener, listen: SocketAddr) -> Result<()> {
    let at = listener.local_addr()?;
    if at.port() != listen.port() || !(at.ip() == listen.ip() || at.ip().is_unspecified()) {
        bail!("it listens at {at}; right would be {listen}");
    }
    Ok(())
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::net::{TcpStream, UdpSocket};
    use std::os::fd::IntoRawFd;

    #[test]
    fn a_listening_socket_is_taken_and_serves_on() -> Result<()> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let at = listener.local_addr()?;
        let other = listener.try_clone()?;
        let taken = take(listener.into_raw_fd())?;
        listens_at(&taken, at)?;
        let _client = TcpStream::connect(at)?;
        // The connection may still be on its way to the queue.
        while taken.accept().is_err() {
            std::thread::yield_now();
        }
        drop(taken);
        assert!(TcpStream::connect(at).is_ok(), "the other copy listens on");
        drop(other);
        assert!(TcpStream::connect(at).is_err());
        Ok(())
    }

    #[test]
    fn whatever_else_is_there_is_named() -> Result<()> {
        let fault = |number: RawFd| take(number).map(drop).unwrap_err().to_string();
        assert!(fault(1 << 20).contains("is no open descriptor"));
        assert!(fault(-1).contains("is no open descriptor"));
        let file = std::fs::File::open("/dev/null")?;
        assert!(
            fault(std::os::fd::AsRawFd::as_raw_fd(&file)).contains("right would be a listening TCP socket")
        );
        assert!(fault(UdpSocket::bind("127.0.0.1:0")?.into_raw_fd()).contains("is no listening TCP socket"));
        let bound = Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None)?;
        assert!(fault(bound.into_raw_fd()).contains("is no listening TCP socket"), "it does not listen");
        let elsewhere = TcpListener::bind("127.0.0.1:0")?;
        let error = listens_at(&elsewhere, "127.0.0.1:9".parse()?).unwrap_err().to_string();
        assert!(error.contains("right would be 127.0.0.1:9"));
        Ok(())
    }
}
