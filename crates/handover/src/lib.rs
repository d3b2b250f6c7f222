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
pub fn take_listener(fd: RawFd) -> Result<TcpListener> {
    let target = std::fs::read_link(format!("/proc/self/fd/{fd}")).ok().with_context(|| {
        format!("{fd} is no open descriptor; right would be that of a listening TCP socket")
    })?;
    if !target.to_string_lossy().starts_with("socket:") {
        bail!("{fd} is {}; right would be a listening TCP socket", target.display());
    }
    if fd <= 2 {
        bail!("{fd} is a standard stream; right would be a listening TCP socket");
    }
    // SAFETY: it is open, as was just seen, it is no standard stream, and nothing else in this process owns it: the
    // caller takes it once, before other descriptors are opened.
    #[allow(unsafe_code)]
    let owned = unsafe { OwnedFd::from_raw_fd(fd) };
    let socket = Socket::from(owned);
    let is_listener = socket.is_listener().context("its kind can't be read")?;
    let address = socket.local_addr().context("its address can't be read")?.as_socket();
    if !is_listener || address.is_none() || socket.r#type().is_ok_and(|kind| kind != socket2::Type::STREAM) {
        bail!("{fd} is no listening TCP socket");
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
    let address = listener.local_addr()?;
    if address.port() != listen.port() || !(address.ip() == listen.ip() || address.ip().is_unspecified()) {
        bail!("it listens at {address}; right would be {listen}");
    }
    Ok(())
}

#[cfg(test)]
mod tests;
