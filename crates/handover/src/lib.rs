//! Sharing between processes of one sidecar: the listener that the platform opened, and detection of other processes.

mod presence;

pub use presence::Presence;

use anyhow::{Context, Result, bail};
use socket2::Socket;
use std::net::{SocketAddr, TcpListener};
use std::os::fd::{FromRawFd, OwnedFd, RawFd};

/// Takes ownership of an inherited listening socket. Dropping the listener closes only this process's descriptor: the
/// socket keeps listening as long as another process has one.
///
/// Must be called once, before any other descriptor is opened.
///
/// # Errors
///
/// The descriptor is not open or not a listening TCP socket.
pub fn take_listener(fd: RawFd) -> Result<TcpListener> {
    let target = std::fs::read_link(format!("/proc/self/fd/{fd}")).ok().with_context(|| {
        format!("{fd} is not an open descriptor; expected that of a listening TCP socket")
    })?;
    if !target.to_string_lossy().starts_with("socket:") {
        bail!("{fd} is {}; expected a listening TCP socket", target.display());
    }
    if fd <= 2 {
        bail!("{fd} is a standard stream; expected a listening TCP socket");
    }
    // SAFETY: the descriptor was just checked to be open and is no standard stream. Nothing else in this process owns
    // it, as the caller takes it once, before other descriptors are opened.
    #[allow(unsafe_code)]
    let owned = unsafe { OwnedFd::from_raw_fd(fd) };
    let socket = Socket::from(owned);
    let is_listener = socket.is_listener().context("cannot read the kind of the socket")?;
    let address = socket.local_addr().context("cannot read the address of the socket")?.as_socket();
    if !is_listener || address.is_none() || socket.r#type().is_ok_and(|kind| kind != socket2::Type::STREAM) {
        bail!("{fd} is not a listening TCP socket");
    }
    socket.set_cloexec(true).context("close-on-exec")?;
    socket.set_nonblocking(true).context("non-blocking")?;
    Ok(socket.into())
}

/// Checks that clients which connect to `listen` reach this listener.
///
/// # Errors
///
/// The listener is bound to another address.
pub fn check_address(listener: &TcpListener, listen: SocketAddr) -> Result<()> {
    let address = listener.local_addr()?;
    if address.port() != listen.port() || !(address.ip() == listen.ip() || address.ip().is_unspecified()) {
        bail!("the socket listens at {address}; expected {listen}");
    }
    Ok(())
}

#[cfg(test)]
mod tests;
