//! Tests of `lib.rs`.

use super::*;
use std::net::{TcpStream, UdpSocket};
use std::os::fd::IntoRawFd;

#[test]
fn an_inherited_listener_stays_open_until_every_copy_is_closed() -> Result<()> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    let copy = listener.try_clone()?;
    let inherited = take_listener(listener.into_raw_fd())?;
    check_address(&inherited, address)?;
    let _client = TcpStream::connect(address)?;
    // The connection may not have reached the accept queue yet.
    while inherited.accept().is_err() {
        std::thread::yield_now();
    }
    drop(inherited);
    assert!(TcpStream::connect(address).is_ok(), "the other copy still listens");
    drop(copy);
    assert!(TcpStream::connect(address).is_err());
    Ok(())
}

#[test]
fn descriptors_that_are_no_listening_tcp_socket_are_rejected() -> Result<()> {
    let rejection = |fd: RawFd| take_listener(fd).map(drop).unwrap_err().to_string();
    assert!(rejection(1 << 20).contains("is not an open descriptor"));
    assert!(rejection(-1).contains("is not an open descriptor"));
    let file = std::fs::File::open("/dev/null")?;
    assert!(rejection(std::os::fd::AsRawFd::as_raw_fd(&file)).contains("expected a listening TCP socket"));
    assert!(
        rejection(UdpSocket::bind("127.0.0.1:0")?.into_raw_fd()).contains("is not a listening TCP socket")
    );
    let bound = Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None)?;
    assert!(
        rejection(bound.into_raw_fd()).contains("is not a listening TCP socket"),
        "the socket is bound but not listening"
    );
    let elsewhere = TcpListener::bind("127.0.0.1:0")?;
    let error = check_address(&elsewhere, "127.0.0.1:9".parse()?).unwrap_err().to_string();
    assert!(error.contains("expected 127.0.0.1:9"));
    Ok(())
}
