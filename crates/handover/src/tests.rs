//! Tests of `lib.rs`.

use super::*;
use std::net::{TcpStream, UdpSocket};
use std::os::fd::IntoRawFd;

#[test]
fn a_listening_socket_is_taken_and_serves_on() -> Result<()> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let at = listener.local_addr()?;
    let other = listener.try_clone()?;
    let taken = take_listener(listener.into_raw_fd())?;
    check_address(&taken, at)?;
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
    let fault = |number: RawFd| take_listener(number).map(drop).unwrap_err().to_string();
    assert!(fault(1 << 20).contains("is no open descriptor"));
    assert!(fault(-1).contains("is no open descriptor"));
    let file = std::fs::File::open("/dev/null")?;
    assert!(fault(std::os::fd::AsRawFd::as_raw_fd(&file)).contains("right would be a listening TCP socket"));
    assert!(fault(UdpSocket::bind("127.0.0.1:0")?.into_raw_fd()).contains("is no listening TCP socket"));
    let bound = Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None)?;
    assert!(fault(bound.into_raw_fd()).contains("is no listening TCP socket"), "it does not listen");
    let elsewhere = TcpListener::bind("127.0.0.1:0")?;
    let error = check_address(&elsewhere, "127.0.0.1:9".parse()?).unwrap_err().to_string();
    assert!(error.contains("right would be 127.0.0.1:9"));
    Ok(())
}
