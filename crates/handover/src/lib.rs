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
pub fn take_listener(number: RawFd) -> Result<TcpListener> {
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
pub fn check_address(listener: &TcpListener, listen: SocketAddr) -> Result<()> {
    let at = listener.local_addr()?;
    if at.port() != listen.port() || !(at.ip() == listen.ip() || at.ip().is_unspecified()) {
        bail!("it listens at {at}; right would be {listen}");
    }
    Ok(())
}

#[cfg(test)]
mod tests;
