//! Measures the latency that a sidecar adds to a call. One run sends requests to a stub server directly and through the
//! sidecar in turn, in an open loop that measures from when each request was due. `SIDECAR=path` measures the program of
//! another build.
//!
//! `cargo bench -p dunlincleat-sidecar --bench latency`: 20,000 requests at 1,000 a second, on loopback.

use hdrhistogram::Histogram;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

const REQUESTS: u32 = 20_000;
const REQUEST_INTERVAL: Duration = Duration::from_millis(1);

fn serve_connection(stream: TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut input = BufReader::new(stream.try_clone()?);
    let mut output = stream;
    let mut line = String::new();
    loop {
        line.clear();
        if input.read_line(&mut line)? == 0 {
            return Ok(());
        }
        if line == "\r\n" {
            output.write_all(
                b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Server-Load: {\"inflight\":0,\"queue\":0,\"util\":0.1}\r\n\r\nok",
            )?;
        }
    }
}

fn start_server() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port on loopback");
    let address = listener.local_addr().expect("its address");
    std::thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            std::thread::spawn(move || drop(serve_connection(stream)));
        }
    });
    address
}

struct Client(BufReader<TcpStream>);

impl Client {
    fn connect(address: SocketAddr) -> std::io::Result<Client> {
        let stream = TcpStream::connect(address)?;
        stream.set_nodelay(true)?;
        Ok(Client(BufReader::new(stream)))
    }

    fn request(&mut self, id: u32) -> std::io::Result<()> {
        let text = format!("GET /read HTTP/1.1\r\nHost: x\r\nX-Request-ID: {id}\r\nX-Timeout: 0.7\r\n\r\n");
        self.0.get_mut().write_all(text.as_bytes())?;
        let mut line = String::new();
        let mut length = 0;
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
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let server = start_server();
    let listen: SocketAddr = TcpListener::bind("127.0.0.1:0")?.local_addr()?;
    let program =
        std::env::var("SIDECAR").unwrap_or_else(|_| env!("CARGO_BIN_EXE_dunlincleat-sidecar").to_owned());
    let config = tempfile::NamedTempFile::new()?;
    let settings = r#"{"zones":["a"],"classes":[{"name":"read","aim":300000,"deadline":740000,"semantics":"retryable"}],
        "limits":{"try_limit":3,"connect_timeout":200000},"safety":{},
        "stats":{"fields":["inflight","queue","util"],"how":"inline"}}"#;
    let known_servers = format!(
        r#"{{"rev":1,"all":true,"targets":[{{"uid":"s","endpoint":"{server}","az":"a","state":"up","boot_ms":0}}]}}"#
    );
    std::fs::write(
        config.path(),
        format!(
            r#"{{"name":"n","listen":"{listen}","discovery":"127.0.0.1:9","seed":"1","known":{known_servers},
            "settings":{settings},"sidecar":{{"log":"error"}}}}"#
        ),
    )?;
    let child = Command::new(&program).env("EDGE_CONFIG", config.path()).stderr(Stdio::null()).spawn()?;
    let sidecar = Sidecar(child);
    let start = Instant::now();
    let mut through = loop {
        match Client::connect(listen) {
            Ok(client) => break client,
            Err(error) if start.elapsed() > Duration::from_secs(10) => return Err(error.into()),
            Err(_) => std::thread::sleep(Duration::from_millis(10)),
        }
    };
    let resident_kb = |pid: u32| -> Option<u64> {
        let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
        status
            .lines()
            .find_map(|line| line.strip_prefix("VmRSS:")?.trim().strip_suffix(" kB")?.trim().parse().ok())
    };
    println!("{program}\nidle memory: {} kB", resident_kb(sidecar.0.id()).unwrap_or(0));
    let mut direct = Client::connect(server)?;
    let mut latencies = [Histogram::<u64>::new(3)?, Histogram::<u64>::new(3)?];
    for n in 0..200 {
        direct.request(n)?;
        through.request(n)?;
    }
    let start = Instant::now();
    for n in 0..REQUESTS {
        let due = start + REQUEST_INTERVAL * n;
        std::thread::sleep(due.saturating_duration_since(Instant::now()));
        let (client, histogram) =
            if n % 2 == 0 { (&mut direct, &mut latencies[0]) } else { (&mut through, &mut latencies[1]) };
        // Measured from when the request was due: a slow response delays the next request, and that counts.
        let due = due.max(start);
        client.request(1000 + n)?;
        histogram.record(u64::try_from(due.elapsed().as_nanos())?)?;
    }
    let micros =
        |histogram: &Histogram<u64>, quantile: f64| histogram.value_at_quantile(quantile) as f64 / 1e3;
    for quantile in [0.5, 0.99] {
        let (direct, through) = (micros(&latencies[0], quantile), micros(&latencies[1], quantile));
        println!(
            "p{:.0}: direct {direct:.1} us, through {through:.1} us, added {:.1} us",
            quantile * 100.0,
            through - direct
        );
    }
    println!("memory after: {} kB", resident_kb(sidecar.0.id()).unwrap_or(0));
    Ok(())
}
