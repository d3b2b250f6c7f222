//! `dunlincleat duties`: the duties of the fleet, by the console of a running sidecar.

use super::{DutiesOrder, Format, print_line};
use anyhow::{Context, Result};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::ExitCode;
use std::time::Duration;

/// Time limit for connecting to a console, and for each read of its reply.
const CONSOLE_TIMEOUT: Duration = Duration::from_secs(5);

/// Sends one call to a console and returns the reply.
fn call_console(console: SocketAddr, call: &str) -> Result<String> {
    let mut stream = TcpStream::connect_timeout(&console, CONSOLE_TIMEOUT)
        .with_context(|| format!("--console: '{console}'"))?;
    stream.set_read_timeout(Some(CONSOLE_TIMEOUT))?;
    stream.write_all(format!("{call}\n").as_bytes())?;
    let mut reply = String::new();
    stream.read_to_string(&mut reply).with_context(|| format!("--console: no reply from '{console}'"))?;
    Ok(reply)
}

/// Shows the duties, or releases one.
pub(super) fn run(
    console: Option<SocketAddr>,
    format: Format,
    order: Option<DutiesOrder>,
) -> Result<ExitCode> {
    let console = console.context(
        "--console is missing; expected the address of the sidecar's console, such as 127.0.0.1:7300",
    )?;
    if let Some(DutiesOrder::Hand { duty, to }) = order {
        let reply = call_console(console, &format!("hand {duty} {}", to.unwrap_or_default()))?;
        print_line(reply.trim_end());
        return Ok(if reply.starts_with("YES") { ExitCode::SUCCESS } else { ExitCode::from(1) });
    }
    let reply = call_console(console, "duties")?;
    let lines: Vec<serde_json::Value> =
        reply.lines().filter_map(|line| serde_json::from_str(line).ok()).collect();
    if format == Format::Json {
        lines.iter().for_each(|line| print_line(&line.to_string()));
        return Ok(ExitCode::SUCCESS);
    }
    if lines.is_empty() {
        print_line("no duties: the sidecar's operator's file has no [fleet], or no [[duty]]");
    }
    for line in &lines {
        let text = |key: &str| line[key].as_str().unwrap_or("nobody").to_owned();
        let number = |key: &str| line[key].as_u64().unwrap_or(0);
        let proved = if line["proved"] == false { ", not proved" } else { "" };
        print_line(&format!(
            "{}: held by {} under fence {}{proved}, {} ms left, for {} ms; period {}{}; last: {}",
            text("duty"),
            text("holder"),
            number("fence"),
            number("left_ms"),
            number("since_ms"),
            number("period"),
            if line["done"] == true { " done" } else { " begun" },
            text("why"),
        ));
    }
    Ok(ExitCode::SUCCESS)
}
