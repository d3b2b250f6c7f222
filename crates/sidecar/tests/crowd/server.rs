//! A server whose responses are as long as the path asks for, without holding them in memory.

use super::super::common::read_message;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;

/// Bytes written at once.
const PART_BYTES: usize = 64 * 1024;

/// A server: `/read/N` is answered with N bytes, anything else with one.
pub struct LongServer {
    pub address: SocketAddr,
}

impl LongServer {
    /// Starts a server that ends with the process.
    pub fn start() -> LongServer {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                thread::spawn(move || serve(&stream));
            }
        });
        LongServer { address }
    }
}

fn serve(stream: &TcpStream) -> Option<()> {
    let mut input = BufReader::new(stream.try_clone().ok()?);
    while let Some(request) = read_message(&mut input).ok()? {
        let length = request.target().rsplit('/').next().and_then(|last| last.parse().ok()).unwrap_or(1);
        write_response(stream, length).ok()?;
    }
    None
}

fn write_response(mut stream: &TcpStream, length: usize) -> std::io::Result<()> {
    stream.write_all(format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n").as_bytes())?;
    let part = [b'x'; PART_BYTES];
    let mut left = length;
    while left > 0 {
        let count = left.min(PART_BYTES);
        stream.write_all(&part[..count])?;
        left -= count;
    }
    Ok(())
}
