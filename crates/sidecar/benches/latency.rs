//! What a sidecar adds to a call, in one run: a stand-in server is asked directly and through the sidecar in turn, by an
//! open loop that counts from when a request was due. `SIDECAR=path` measures another build's program.
//!
//! `cargo bench -p dunlincleat-sidecar --bench latency`: 20,000 requests at 1,000 a second, on loopback.

use hdrhistogram::Histogram;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

const REQUESTS: u32 = 20_000;
const EACH: Duration = Duration::from_millis(1);

fn answer(stream: TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut input = BufReader::new(stream.try_clone()?);
    let mut out = stream;
    let mut line = String::new();
    loop {
        line.clear();
        if input.read_line(&mut line)? == 0 {
            return Ok(());
        }
        if line == "\r\n" {
            out.write_all(
                b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Server-Load: {\"inflight\":0,\"queue\":0,\"util\":0.1}\r\n\r\nok",
            )?;
        }
    }
}

fn server() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port on loopback");
    let address = listener.local_addr().expect("its address");
    std::thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            std::thread::spawn(move || drop(answer(stream)));
        }
    });
    address
}

struct Client(BufReader<TcpStream>);

impl Client {
    fn on(address: SocketAddr) -> std::io::Result<Client> {
        let stream = TcpStream::connect(address)?;
        stream.set_nodelay(true)?;
        Ok(Client(BufReader::new(stream)))
    }

    fn ask(&mut self, id: u32) -> std::io::Result<()> {
        let text = format!("GET /read HTTP/1.1\r\nHost: x\r\nX-Request-ID: {id}\r\nX-Timeout: 0.7\r\n\r\n");
        self.0.get_mut().write_all(text.as_bytes())?;
        let (mut line, mut length) = (String::new(), 0);
        loop {
            line.clear();
            self.0.read_line(&mut line)?;
            if let Some((name, value)) = line.split_once(':')
                && name.eq_ignore_ascii_case("content-length")
            {
                length = value.trim().parse().unwrap_or(0);
            }
            if line == "\r\n" || line.is_empty() {
                break;
            }
        }
        let mut body = vec![0; length];
        self.0.read_exact(&mut body)?;
        if body == b"ok" { Ok(()) } else { Err(std::io::Error::other(format!("answered {body:?}"))) }
    }
}

struct Sidecar(Child);

impl Drop for Sidecar {
    fn drop(&mut self) {
        // Started here, and ended by its own number.
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let server = server();
    let listen: SocketAddr = TcpListener::bind("127.0.0.1:0")?.local_addr()?;
    let program =
        std::env::var("SIDECAR").unwrap_or_else(|_| env!("CARGO_BIN_EXE_dunlincleat-sidecar").to_owned());
    let config = tempfile::NamedTempFile::new()?;
    let settings = r#"{"zones":["a"],"classes":[{"name":"read","aim":300000,"deadline":740000,"semantics":"retryable"}],
        "limits":{"try_limit":3,"connect_timeout":200000},"safety":{},
        "stats":{"fields":["inflight","queue","util"],"how":"inline"}}"#;
    let known = format!(
        r#"{{"rev":1,"all":true,"targets":[{{"uid":"s","endpoint":"{server}","az":"a","state":"up","boot_ms":0}}]}}"#
    );
    std::fs::write(
        config.path(),
        format!(
            r#"{{"name":"n","listen":"{listen}","discovery":"127.0.0.1:9","seed":"1","known":{known},
            "settings":{settings},"sidecar":{{"log":"error"}}}}"#
        ),
    )?;
    let child = Command::new(&program).env("EDGE_CONFIG", config.path()).stderr(Stdio::null()).spawn()?;
    let sidecar = Sidecar(child);
    let start = Instant::now();
    let mut through = loop {
        match Client::on(listen) {
            Ok(client) => break client,
            Err(error) if start.elapsed() > Duration::from_secs(10) => return Err(error.into()),
            Err(_) => std::thread::sleep(Duration::from_millis(10)),
        }
    };
    let rss = |pid: u32| -> Option<u64> {
        let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
        status.lines().find_map(|l| l.strip_prefix("VmRSS:")?.trim().strip_suffix(" kB")?.trim().parse().ok())
    };
    println!("{program}\nidle memory: {} kB", rss(sidecar.0.id()).unwrap_or(0));
    let mut direct = Client::on(server)?;
    let mut times = [Histogram::<u64>::new(3)?, Histogram::<u64>::new(3)?];
    for n in 0..200 {
        direct.ask(n)?;
        through.ask(n)?;
    }
    let start = Instant::now();
    for n in 0..REQUESTS {
        let due = start + EACH * n;
        std::thread::sleep(due.saturating_duration_since(Instant::now()));
        let (client, times) =
            if n % 2 == 0 { (&mut direct, &mut times[0]) } else { (&mut through, &mut times[1]) };
        // From when it was due: a slow answer delays the next, and that counts.
        let sent = due.max(start);
        client.ask(1000 + n)?;
        times.record(u64::try_from(sent.elapsed().as_nanos())?)?;
    }
    let us = |h: &Histogram<u64>, q: f64| h.value_at_quantile(q) as f64 / 1e3;
    for q in [0.5, 0.99] {
        let (direct, through) = (us(&times[0], q), us(&times[1], q));
        println!(
            "p{:.0}: direct {direct:.1} us, through {through:.1} us, added {:.1} us",
            q * 100.0,
            through - direct
        );
    }
    println!("memory after: {} kB", rss(sidecar.0.id()).unwrap_or(0));
    Ok(())
}
