//! The object `sidecar` of the configuration: limits and timeouts of the process, with their defaults.

use super::DescriptorLimits;
use crate::logger::LogFormat;
use anyhow::{Context, Result, bail};
use dunlincleat::api::Span;
use dunlincleat_directory::{Backoff, Interest, Timing};
use dunlincleat_http::options::{
    CLIENT_CONNECTION_BYTES, CLIENT_REQUEST_BYTES, HttpOptions, SERVER_CONNECTION_BYTES,
};
use dunlincleat_settings::InstanceSettings;
use serde::Deserialize;
use serde_json::{Map, Value};
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use tracing::level_filters::LevelFilter;

/// Descriptors reserved for other uses than traffic: standard streams, poller, signals, listener, discovery, spares.
const RESERVED_DESCRIPTORS: usize = 40;
/// Maximum total length of the service names in bytes: they are sent in the head of each discovery call.
const MAX_SERVICE_NAME_BYTES: usize = 16 << 10;
/// The part of the memory limit for client connections without what they hold beyond a small request.
const CLIENT_CONNECTION_MEMORY: MemoryShare = MemoryShare { numerator: 3, denominator: 8 };
/// The least part of the memory limit for what is received of requests beyond that.
const RECEIVING_MEMORY: MemoryShare = MemoryShare { numerator: 1, denominator: 8 };
/// The part of the memory limit for responses that clients have not taken.
const RESPONDING_MEMORY: MemoryShare = MemoryShare { numerator: 1, denominator: 8 };
/// The part of the memory limit for connections to servers.
const SERVER_CONNECTION_MEMORY: MemoryShare = MemoryShare { numerator: 1, denominator: 4 };
/// The part of the memory limit for the responses of open requests, each held a second time in a buffer.
const RESPONSE_MEMORY_DIVISOR: u64 = 4;

/// A part of the memory limit.
struct MemoryShare {
    numerator: usize,
    denominator: usize,
}

impl MemoryShare {
    fn of(&self, bytes: usize) -> usize {
        bytes / self.denominator * self.numerator
    }
}

/// The object `limits` of the configuration.
#[derive(Deserialize)]
#[serde(default)]
pub(super) struct Limits {
    pub(super) sockets: usize,
    memory_mb: u64,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits { sockets: 1024, memory_mb: 192 }
    }
}

/// The values of the object `sidecar`, completed with defaults.
pub(super) struct SidecarSection {
    pub(super) options: HttpOptions,
    pub(super) log_level: LevelFilter,
    pub(super) log_format: LogFormat,
    pub(super) accept_after_term: Duration,
    pub(super) end_after_term: Duration,
}

impl SidecarSection {
    pub(super) fn read(
        section: &Map<String, Value>,
        limits: &Limits,
        lowered_descriptors: Option<DescriptorLimits>,
        settings: &InstanceSettings,
        console_descriptors: usize,
    ) -> Result<SidecarSection> {
        let section = Section(section);
        let reserved = RESERVED_DESCRIPTORS + console_descriptors;
        // Protects discovery and the console: with the configured number alone, on a machine that allows fewer, clients
        // used up the last descriptor, and no discovery watch could be opened any more.
        let (descriptors, source) = match lowered_descriptors {
            Some(lowered) => (lowered.actual, "the limit on open files, lower than limits.sockets"),
            None => (limits.sockets, "limits.sockets"),
        };
        let log_level = section.log_level()?;
        let log_format = section.log_format()?;
        // Half of the descriptors for clients, half for servers.
        let half = (descriptors.saturating_sub(reserved) / 2) as u64;
        if half == 0 {
            bail!("EDGE_CONFIG: {source}: {descriptors} is under {}", reserved + 2);
        }
        let memory_limit_bytes =
            usize::try_from(limits.memory_mb).unwrap_or(usize::MAX).saturating_mul(1 << 20);
        let in_memory =
            |share: MemoryShare, bytes: usize| (share.of(memory_limit_bytes) / bytes).max(1) as u64;
        let default_clients = half.min(in_memory(CLIENT_CONNECTION_MEMORY, CLIENT_CONNECTION_BYTES));
        let default_servers = half.min(in_memory(SERVER_CONNECTION_MEMORY, SERVER_CONNECTION_BYTES));
        let client_connections = section.number("client_connections", default_clients, 1)? as usize;
        let server_connections = section.number("server_connections", default_servers, 1)? as usize;
        // What connections do not take may hold requests.
        let max_connection_bytes = CLIENT_CONNECTION_MEMORY.of(memory_limit_bytes);
        let all_connections =
            client_connections.saturating_mul(CLIENT_CONNECTION_BYTES + CLIENT_REQUEST_BYTES);
        let free_of_connections = max_connection_bytes.saturating_sub(all_connections);
        let max_receiving_bytes = RECEIVING_MEMORY.of(memory_limit_bytes) + free_of_connections;
        if client_connections + server_connections + reserved > descriptors {
            bail!(
                "EDGE_CONFIG: sidecar.client_connections and sidecar.server_connections: {client_connections} and \
                 {server_connections} leave no {reserved} of {descriptors} descriptors ({source})"
            );
        }
        let watch = section.watch_timing(settings)?;
        let list_file = section.list_file()?;
        let interest = section.interest()?;
        let classes = &settings.settings.classes;
        let longest_deadline = classes.iter().map(|class| millis(class.deadline)).max().unwrap_or(0);
        let shortest_aim = classes.iter().map(|class| millis(class.aim)).min().unwrap_or(1000);
        let connect_timeout = match millis(settings.settings.limits.connect_timeout) {
            0 => 1000,
            configured => configured,
        };
        let body_bytes = section.number("body_bytes", 64 * 1024, 1)?;
        let response_memory = limits.memory_mb.saturating_mul(1 << 20) / RESPONSE_MEMORY_DIVISOR;
        let requests_in_memory = (response_memory / (2 * body_bytes)).max(1);
        let requests = settings.max_open.unwrap_or(u64::MAX).min(half).min(requests_in_memory);
        let options = HttpOptions {
            max_body_bytes: body_bytes as usize,
            max_requests: section.number("requests", requests, 1)? as usize,
            memory_limit_bytes,
            max_connection_bytes,
            max_receiving_bytes,
            max_responding_bytes: RESPONDING_MEMORY.of(memory_limit_bytes),
            max_client_connections: client_connections,
            client_request_timeout: section.duration("client_request_ms", 2600, 1)?,
            client_idle_timeout: section.duration("client_idle_ms", 3000, 2000)?,
            max_server_connections: server_connections,
            // Servers close a connection that was idle for `conn_idle` at the latest. Four fifths of that is safely
            // earlier; with half of it, sidecars with little traffic opened a connection for every other request.
            server_idle_timeout: section.duration(
                "idle_ms",
                settings.conn_idle.map_or(2500, |idle| millis(idle) * 4 / 5),
                1,
            )?,
            connect_timeout: section.duration("connect_ms", connect_timeout, 1)?,
            // A probe that takes more than a quarter of the shortest aim gives no useful information any more.
            probe_timeout: section.duration("probe_ms", connect_timeout.min(shortest_aim / 4).max(1), 1)?,
            // Servers write a response in one go: one that stalls for longer will not be complete in time.
            response_stall_timeout: section.duration("answer_stall_ms", (shortest_aim / 4).max(1), 1)?,
            watch_timing: watch,
            interest,
            list_file,
            limits_halved: Rc::default(),
        };
        let accept_after_term = section.duration("accept_after_term_ms", 600, 0)?;
        let end_after_term = section.duration("end_after_term_ms", longest_deadline + 600, 1)?;
        Ok(SidecarSection { options, log_level, log_format, accept_after_term, end_after_term })
    }
}

/// The object `sidecar` as read, with typed access to its keys.
struct Section<'a>(&'a Map<String, Value>);

impl Section<'_> {
    /// A number that is at least `min`.
    fn number(&self, key: &str, default: u64, min: u64) -> Result<u64> {
        let value = match self.0.get(key) {
            None => default,
            Some(value) => {
                value.as_u64().with_context(|| format!("EDGE_CONFIG: sidecar.{key}: not a number"))?
            }
        };
        if value < min {
            bail!("EDGE_CONFIG: sidecar.{key}: {value} is under {min}");
        }
        Ok(value)
    }

    /// A duration in milliseconds that is at least `min`.
    fn duration(&self, key: &str, default: u64, min: u64) -> Result<Duration> {
        self.number(key, default, min).map(Duration::from_millis)
    }

    /// A span in milliseconds that is at least `min`.
    fn span(&self, key: &str, default: u64, min: u64) -> Result<Span> {
        self.number(key, default, min).map(|value| Span(value * 1000))
    }

    fn log_level(&self) -> Result<LevelFilter> {
        let Some(level) = self.0.get("log") else { return Ok(LevelFilter::INFO) };
        level.as_str().and_then(parse_log_level).with_context(|| {
            format!(
                "EDGE_CONFIG: sidecar.log: {level} is not a level; expected off, error, warn, info, debug \
                 or trace"
            )
        })
    }

    fn log_format(&self) -> Result<LogFormat> {
        match self.0.get("log_form").map(|format| format.as_str().unwrap_or_default()) {
            None | Some("text") => Ok(LogFormat::Text),
            Some("json") => Ok(LogFormat::Json),
            Some(other) => {
                bail!("EDGE_CONFIG: sidecar.log_form: '{other}' is not a format; expected text or json")
            }
        }
    }

    /// The timing of the discovery watch, as far as it is not set, derived from the announced heartbeat and delay.
    fn watch_timing(&self, settings: &InstanceSettings) -> Result<Timing> {
        let heartbeat = self.span("watch_heartbeat_ms", 2000, 1)?;
        let max_delay = self.span("watch_told_within_ms", 6000, 1)?;
        let derived = Timing::derive(heartbeat, max_delay, settings.drain_grace.unwrap_or_default());
        let call_timeout = self.span("watch_call_ms", millis(derived.call_timeout), 1)?;
        Ok(Timing {
            silence_timeout: self.span("watch_silence_ms", millis(derived.silence_timeout), 1)?,
            call_timeout,
            max_retry_interval: derived.max_retry_interval.min(call_timeout),
            backoff: Backoff {
                initial: self.span("watch_again_ms", millis(derived.backoff.initial), 1)?,
                max: self.span("watch_again_most_ms", millis(derived.backoff.max), 1)?,
            },
            max_watch_age: self.span("watch_renew_ms", 0, 0)?,
            ..derived
        })
    }

    fn list_file(&self) -> Result<Option<PathBuf>> {
        match self.0.get("list_file") {
            None => Ok(None),
            Some(Value::String(path)) if !path.is_empty() => Ok(Some(PathBuf::from(path))),
            Some(other) => bail!("EDGE_CONFIG: sidecar.list_file: {other} is not a path"),
        }
    }

    fn interest(&self) -> Result<Interest> {
        match self.0.get("services") {
            None => Ok(Interest::default()),
            Some(services) => Ok(Interest::of(parse_services(services)?)),
        }
    }
}

fn millis(span: Span) -> u64 {
    span.0 / 1000
}

/// Parses `sidecar.services`.
fn parse_services(value: &Value) -> Result<Vec<String>> {
    let expected = "expected the names of the services called, or no such key for all servers";
    let names =
        value.as_array().with_context(|| format!("EDGE_CONFIG: sidecar.services: {value}; {expected}"))?;
    if names.is_empty() {
        bail!("EDGE_CONFIG: sidecar.services: the list is empty; {expected}");
    }
    let name = |name: &Value| match name.as_str() {
        Some(text) if !text.is_empty() => Ok(text.to_owned()),
        _ => bail!("EDGE_CONFIG: sidecar.services: {name} is not a name; {expected}"),
    };
    let names = names.iter().map(name).collect::<Result<Vec<_>>>()?;
    let bytes: usize = names.iter().map(|name| name.len() + 1).sum();
    if bytes > MAX_SERVICE_NAME_BYTES {
        bail!(
            "EDGE_CONFIG: sidecar.services: the names have {bytes} bytes in total, the maximum is \
             {MAX_SERVICE_NAME_BYTES}; {expected}"
        );
    }
    Ok(names)
}

fn parse_log_level(name: &str) -> Option<LevelFilter> {
    // `LevelFilter` also parses numbers, which are not accepted here.
    name.parse().ok().filter(|_| name.chars().all(|c| c.is_ascii_alphabetic()))
}
