//! The configuration of the sidecar: read, validated and completed with defaults here and nowhere else.
//!
//! `EDGE_CONFIG` names a JSON file. `EDGE_NAME`, `EDGE_LISTEN` and `EDGE_DISCOVERY` take precedence over its keys of the
//! same meaning. Unknown keys are ignored; each error message names the key at fault.

use crate::logger::LogFormat;
use anyhow::{Context, Result, anyhow, bail};
use dunlincleat::api::{Settings, Span};
use dunlincleat_directory::{Backoff, Interest, Listing, Timing};
use dunlincleat_http::own::Own;
use dunlincleat_settings::{InstanceSettings, first_missing_key};
use serde::Deserialize;
use serde_json::{Map, Value};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tracing::level_filters::LevelFilter;

/// Descriptors reserved for other uses than traffic: standard streams, poller, signals, listener, discovery, spares.
const RESERVED_DESCRIPTORS: usize = 40;
/// Maximum total length of the service names in bytes: they are sent in the head of each discovery call.
const MAX_SERVICE_NAME_BYTES: usize = 16 << 10;
/// Descriptors reserved for the console: its connections, its listener, its poller and a signal to it.
const CONSOLE_DESCRIPTORS: usize = dunlincleat_console::MAX_CONNECTIONS + 8;

/// The configuration of one process.
pub struct Config {
    /// The name of the sidecar, the same after a restart.
    pub name: String,
    /// The address for clients.
    pub listen: SocketAddr,
    /// The address of the operators' console, if any.
    pub console: Option<SocketAddr>,
    /// The address of the discovery service.
    pub discovery: SocketAddr,
    /// The seed of the random numbers, new at each start.
    pub seed: u64,
    /// The last known list of servers.
    pub known_servers: Listing,
    /// The settings of the balancer.
    pub settings: Arc<InstanceSettings>,
    /// Limits and timeouts of the process, from the object `sidecar`, each with a default.
    pub options: Rc<Own>,
    /// The minimum level of log lines.
    pub log_level: LevelFilter,
    /// The format of log lines.
    pub log_format: LogFormat,
    /// How long connections are still accepted after SIGTERM.
    pub accept_after_term: Duration,
    /// How long after SIGTERM the process exits at the latest.
    pub end_after_term: Duration,
    /// The limits file, if one is named.
    pub limits_file: Option<PathBuf>,
    /// Shadow settings: their decisions are counted but affect no request.
    pub shadow_settings: Option<Settings>,
    /// Set if the limit on open files is lower than the configured number of descriptors.
    pub lowered_descriptors: Option<DescriptorLimits>,
    /// The values that need a restart, to report changes of them at a reload.
    restart_only: Vec<RestartOnlyValue>,
    /// The file as read.
    file: Value,
}

/// The number of descriptors that is configured and the number that the operating system allows.
#[derive(Clone, Copy)]
pub struct DescriptorLimits {
    pub configured: usize,
    pub actual: usize,
}

/// A key whose changes need a restart, with its value.
#[derive(PartialEq)]
struct RestartOnlyValue {
    key: &'static str,
    value: Option<Value>,
}

/// Which of an environment variable and a key of the file of the same meaning takes precedence.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Precedence {
    Variable,
    File,
}

/// The keys that a reload does not apply. `seed` and `known` are used only at the start and are not reported.
const RESTART_ONLY_KEYS: [&str; 5] = ["name", "listen", "console", "limits", "sidecar"];

/// The keys that a reload may add or remove.
const OPTIONAL_KEYS: [&str; 4] = ["known", "limits_file", "sidecar", "watch"];

impl Config {
    /// Reads the environment and the file that it names.
    pub fn read() -> Result<Config> {
        Config::load(Precedence::Variable)
    }

    /// Reads both again. The environment is that of the start, so `discovery` in the file is newer and takes precedence.
    pub fn reread() -> Result<Config> {
        Config::load(Precedence::File)
    }

    /// The first key that the active file has and the new one lacks, other than the optional ones.
    pub fn removed_key(&self, new: &Config) -> Option<String> {
        let (Value::Object(old_keys), Value::Object(new_keys)) = (&self.file, &new.file) else { return None };
        let mut required = old_keys.iter().filter(|(key, _)| !OPTIONAL_KEYS.contains(&key.as_str()));
        required.find_map(|(key, old)| match new_keys.get(key) {
            None | Some(Value::Null) if !old.is_null() => Some(key.clone()),
            Some(new) if key == "settings" => first_missing_key(old, new).map(|rest| format!("{key}.{rest}")),
            Some(_) | None => None,
        })
    }

    /// The keys that differ in the new configuration and need a restart.
    pub fn restart_only_changes(&self, new: &Config) -> Vec<&'static str> {
        let pairs = self.restart_only.iter().zip(&new.restart_only);
        pairs.filter(|(old, new)| old != new).map(|(old, _)| old.key).collect()
    }

    /// Replaces the configuration after a reload, except for what needs a restart.
    pub fn replace(&mut self, new: Config, settings: Arc<InstanceSettings>) {
        // A request in flight may have been accepted under a longer deadline: after SIGTERM it still has that time.
        let end_after_term = self.end_after_term.max(new.end_after_term);
        *self = Config {
            restart_only: std::mem::take(&mut self.restart_only),
            listen: self.listen,
            console: self.console,
            options: self.options.clone(),
            name: self.name.clone(),
            settings,
            end_after_term,
            ..new
        };
    }

    fn load(discovery: Precedence) -> Result<Config> {
        let path = env("EDGE_CONFIG")?.context("EDGE_CONFIG is not set")?;
        let text = std::fs::read_to_string(&path).with_context(|| format!("EDGE_CONFIG: '{path}'"))?;
        Config::parse(&text, discovery, env, open_files_limit())
    }

    fn parse(
        text: &str,
        discovery_precedence: Precedence,
        env: impl Fn(&'static str) -> Result<Option<String>>,
        open_files: Option<usize>,
    ) -> Result<Config> {
        let value: Value = serde_json::from_str(text).context("EDGE_CONFIG: not JSON")?;
        let original = value.clone();
        let Value::Object(mut file) = value else { bail!("EDGE_CONFIG: not a JSON object") };
        let restart_only = restart_only_values(&file);
        let has_console =
            env("EDGE_CONSOLE")?.is_some() || file.get("console").is_some_and(|console| !console.is_null());
        let mut read_text = |variable: &'static str,
                             key: &str,
                             precedence: Precedence|
         -> Result<SourcedText> {
            let from_environment =
                env(variable)?.filter(|_| precedence == Precedence::Variable || !file.contains_key(key));
            if let Some(text) = from_environment {
                return Ok(SourcedText { text, source: variable.to_owned() });
            }
            match file.remove(key) {
                Some(Value::String(text)) => Ok(SourcedText { text, source: format!("EDGE_CONFIG: {key}") }),
                Some(_) => bail!("EDGE_CONFIG: {key}: not a string"),
                None => bail!("neither {variable} nor the key {key} of EDGE_CONFIG is set"),
            }
        };
        let name = read_text("EDGE_NAME", "name", Precedence::Variable)?.text;
        let listen = read_text("EDGE_LISTEN", "listen", Precedence::Variable)?.into_address()?;
        let console = has_console
            .then(|| read_text("EDGE_CONSOLE", "console", Precedence::Variable)?.into_address())
            .transpose()?;
        if let Some(console) = console.filter(|console| *console == listen) {
            bail!("console: '{console}' is the address for clients; expected another address");
        }
        let discovery = read_text("EDGE_DISCOVERY", "discovery", discovery_precedence)?.into_address()?;
        let seed = match file.remove("seed") {
            Some(Value::String(hex)) => u64::from_str_radix(&hex, 16)
                .map_err(|_| anyhow!("EDGE_CONFIG: seed: '{hex}' is not a number of up to 16 hex digits"))?,
            Some(other) => other.as_u64().context("EDGE_CONFIG: seed: neither hex digits nor a number")?,
            None => bail!("EDGE_CONFIG: seed is missing"),
        };
        let settings = file.remove("settings").context("EDGE_CONFIG: settings is missing")?;
        let shadow = match file.remove("watch") {
            None | Some(Value::Null) => None,
            Some(other @ Value::Object(_)) => {
                let mut merged = settings.clone();
                merge(&mut merged, other);
                Some(dunlincleat_settings::read_value(merged).context("EDGE_CONFIG: watch")?)
            }
            Some(other) => {
                bail!(
                    "EDGE_CONFIG: watch: {other} is not an object; expected the settings that differ from the active ones"
                )
            }
        };
        let settings = dunlincleat_settings::read_value(settings).context("EDGE_CONFIG")?;
        let shadow_settings = match shadow {
            Some(shadow) if shadow.classes != settings.classes || shadow.tenants != settings.tenants => {
                bail!(
                    "EDGE_CONFIG: watch: its classes or tenants differ from those of settings in name or order"
                )
            }
            // There is no protocol for messages between sidecars.
            shadow => shadow.map(|mut shadow| {
                shadow.settings.limits.peer_messages = false;
                shadow.settings
            }),
        };
        let known_servers = match file.remove("known") {
            None | Some(Value::Null) => Listing { whole: true, ..Listing::default() },
            Some(known) => Listing::from_value(known).context("EDGE_CONFIG: known")?,
        };
        let limits = match file.remove("limits") {
            None | Some(Value::Null) => Limits::default(),
            Some(limits) => serde_json::from_value(limits).context("EDGE_CONFIG: limits")?,
        };
        let lowered_descriptors = open_files
            .filter(|actual| *actual < limits.sockets)
            .map(|actual| DescriptorLimits { configured: limits.sockets, actual });
        let limits_file = match (env("EDGE_LIMITS")?, file.remove("limits_file")) {
            (Some(path), _) => Some(PathBuf::from(path)),
            (None, None | Some(Value::Null)) => None,
            (None, Some(Value::String(path))) if !path.is_empty() => Some(PathBuf::from(path)),
            (None, Some(other)) => bail!("EDGE_CONFIG: limits_file: {other} is not a path"),
        };
        let section = match file.remove("sidecar") {
            None | Some(Value::Null) => Map::new(),
            Some(Value::Object(section)) => section,
            Some(_) => bail!("EDGE_CONFIG: sidecar: not an object"),
        };
        let console_descriptors = console.map_or(0, |_| CONSOLE_DESCRIPTORS);
        let SidecarSection { options, log_level, log_format, accept_after_term, end_after_term } =
            SidecarSection::read(&section, &limits, lowered_descriptors, &settings, console_descriptors)?;
        Ok(Config {
            name,
            listen,
            console,
            discovery,
            seed,
            known_servers,
            settings: Arc::new(settings),
            options: Rc::new(options),
            log_level,
            log_format,
            accept_after_term,
            end_after_term,
            limits_file,
            shadow_settings,
            lowered_descriptors,
            restart_only,
            file: original,
        })
    }
}

fn restart_only_values(file: &Map<String, Value>) -> Vec<RestartOnlyValue> {
    let mut values = RESTART_ONLY_KEYS.map(|key| RestartOnlyValue { key, value: file.get(key).cloned() });
    for entry in &mut values {
        if let Some(section) = entry.value.as_mut().and_then(Value::as_object_mut) {
            // A reload applies the log level.
            section.remove("log");
        }
    }
    values.into()
}

/// A text with the name of the variable or key that it was read from.
struct SourcedText {
    text: String,
    source: String,
}

impl SourcedText {
    fn into_address(self) -> Result<SocketAddr> {
        let SourcedText { text, source } = self;
        text.parse().map_err(|_| anyhow!("{source}: '{text}' is not an address and port"))
    }
}

#[derive(Deserialize)]
#[serde(default)]
struct Limits {
    sockets: usize,
    memory_mb: u64,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits { sockets: 1024, memory_mb: 192 }
    }
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
            "EDGE_CONFIG: sidecar.services: the names have {bytes} bytes in total, the maximum is {MAX_SERVICE_NAME_BYTES}; {expected}"
        );
    }
    Ok(names)
}

/// The values of the object `sidecar`, completed with defaults.
struct SidecarSection {
    options: Own,
    log_level: LevelFilter,
    log_format: LogFormat,
    accept_after_term: Duration,
    end_after_term: Duration,
}

impl SidecarSection {
    fn read(
        section: &Map<String, Value>,
        limits: &Limits,
        lowered_descriptors: Option<DescriptorLimits>,
        settings: &InstanceSettings,
        console_descriptors: usize,
    ) -> Result<SidecarSection> {
        let reserved = RESERVED_DESCRIPTORS + console_descriptors;
        // Protects discovery and the console: with the configured number alone, on a machine that allows fewer, clients
        // used up the last descriptor, and no discovery watch could be opened any more.
        let (descriptors, source) = match lowered_descriptors {
            Some(lowered) => (lowered.actual, "the limit on open files, lower than limits.sockets"),
            None => (limits.sockets, "limits.sockets"),
        };
        let number = |key: &str, default: u64, min: u64| -> Result<u64> {
            let value = match section.get(key) {
                None => default,
                Some(value) => {
                    value.as_u64().with_context(|| format!("EDGE_CONFIG: sidecar.{key}: not a number"))?
                }
            };
            if value < min {
                bail!("EDGE_CONFIG: sidecar.{key}: {value} is under {min}");
            }
            Ok(value)
        };
        let millis = |key: &str, default: u64, min| number(key, default, min).map(Duration::from_millis);
        let log_level = match section.get("log") {
            None => LevelFilter::INFO,
            Some(level) => level.as_str().and_then(parse_log_level).with_context(|| {
                format!("EDGE_CONFIG: sidecar.log: {level} is not a level; expected off, error, warn, info, debug or trace")
            })?,
        };
        let log_format = match section.get("log_form").map(|form| form.as_str().unwrap_or_default()) {
            None | Some("text") => LogFormat::Text,
            Some("json") => LogFormat::Json,
            Some(other) => {
                bail!("EDGE_CONFIG: sidecar.log_form: '{other}' is not a format; expected text or json")
            }
        };
        // Half of the descriptors for clients, half for servers.
        let half = (descriptors.saturating_sub(reserved) / 2) as u64;
        if half == 0 {
            bail!("EDGE_CONFIG: {source}: {descriptors} is under {}", reserved + 2);
        }
        let client_connections = number("client_connections", half, 1)? as usize;
        let server_connections = number("server_connections", half, 1)? as usize;
        if client_connections + server_connections + reserved > descriptors {
            bail!(
                "EDGE_CONFIG: sidecar.client_connections and sidecar.server_connections: {client_connections} and \
                 {server_connections} leave no {reserved} of {descriptors} descriptors ({source})"
            );
        }
        let watch = {
            let ms = |ms: u64| Span(ms * 1000);
            let heartbeat = ms(number("watch_heartbeat_ms", 2000, 1)?);
            let max_delay = ms(number("watch_told_within_ms", 6000, 1)?);
            let derived = Timing::derive(heartbeat, max_delay, settings.drain_grace.unwrap_or_default());
            let call_timeout = ms(number("watch_call_ms", derived.call_timeout.0 / 1000, 1)?);
            Timing {
                silence_timeout: ms(number("watch_silence_ms", derived.silence_timeout.0 / 1000, 1)?),
                call_timeout,
                max_retry_interval: derived.max_retry_interval.min(call_timeout),
                backoff: Backoff {
                    initial: ms(number("watch_again_ms", derived.backoff.initial.0 / 1000, 1)?),
                    max: ms(number("watch_again_most_ms", derived.backoff.max.0 / 1000, 1)?),
                },
                max_watch_age: ms(number("watch_renew_ms", 0, 0)?),
                ..derived
            }
        };
        let list_file = match section.get("list_file") {
            None => None,
            Some(Value::String(path)) if !path.is_empty() => Some(PathBuf::from(path)),
            Some(other) => bail!("EDGE_CONFIG: sidecar.list_file: {other} is not a path"),
        };
        let interest = match section.get("services") {
            None => Interest::default(),
            Some(services) => Interest::of(parse_services(services)?),
        };
        let ms = |span: Span| span.0 / 1000;
        let classes = &settings.settings.classes;
        let longest_deadline = classes.iter().map(|class| ms(class.deadline)).max().unwrap_or(0);
        let shortest_aim = classes.iter().map(|class| ms(class.aim)).min().unwrap_or(1000);
        let connect_timeout = match ms(settings.settings.limits.connect_timeout) {
            0 => 1000,
            configured => configured,
        };
        let body_bytes = number("body_bytes", 64 * 1024, 1)?;
        // Half of the memory is for bodies: those of a request and its response, each held a second time in a buffer.
        let requests_in_memory = ((limits.memory_mb << 20) / 2 / (4 * body_bytes)).max(1);
        let requests = settings.max_open.unwrap_or(u64::MAX).min(half).min(requests_in_memory);
        let options = Own {
            body_bytes: body_bytes as usize,
            requests: number("requests", requests, 1)? as usize,
            client_connections,
            client_request: millis("client_request_ms", 2600, 1)?,
            client_idle: millis("client_idle_ms", 3000, 2000)?,
            server_connections,
            // Servers close a connection that was idle for `conn_idle` at the latest. Four fifths of that is safely
            // earlier; with half of it, sidecars with little traffic opened a connection for every other request.
            idle: millis("idle_ms", settings.conn_idle.map_or(2500, |idle| ms(idle) * 4 / 5), 1)?,
            connect: millis("connect_ms", connect_timeout, 1)?,
            // A probe that takes more than a quarter of the shortest aim gives no useful information any more.
            probe: millis("probe_ms", connect_timeout.min(shortest_aim / 4).max(1), 1)?,
            // Servers write a response in one go: one that stalls for longer will not be complete in time.
            answer_stall: millis("answer_stall_ms", (shortest_aim / 4).max(1), 1)?,
            watch,
            interest,
            list_file,
            halved: Rc::default(),
        };
        let accept_after_term = millis("accept_after_term_ms", 600, 0)?;
        let end_after_term = millis("end_after_term_ms", longest_deadline + 600, 1)?;
        Ok(SidecarSection { options, log_level, log_format, accept_after_term, end_after_term })
    }
}

/// Parses a text that is a settings object, or a configuration that contains one.
///
/// # Errors
///
/// The text is not JSON, or the settings are invalid; the message names the key.
pub fn parse_settings(text: &str) -> Result<InstanceSettings> {
    let mut value: Value = serde_json::from_str(text).context("not JSON")?;
    let settings = value.as_object_mut().and_then(|object| object.remove("settings"));
    dunlincleat_settings::read_value(settings.unwrap_or(value))
}

/// Merges the keys of an overlay into an object, recursively.
fn merge(base: &mut Value, overlay: Value) {
    match (base, overlay) {
        (Value::Object(base), Value::Object(overlay)) => {
            for (key, value) in overlay {
                merge(base.entry(key).or_insert(Value::Null), value);
            }
        }
        (base, overlay) => *base = overlay,
    }
}

fn parse_log_level(name: &str) -> Option<LevelFilter> {
    // `LevelFilter` also parses numbers, which are not accepted here.
    name.parse().ok().filter(|_| name.chars().all(|c| c.is_ascii_alphabetic()))
}

/// The descriptor of the listening socket that the platform holds, if any.
///
/// # Errors
///
/// `EDGE_INHERITED_FD` is not a descriptor number above those of the standard streams.
pub fn inherited_descriptor() -> Result<Option<std::os::fd::RawFd>> {
    let Some(text) = env("EDGE_INHERITED_FD")? else { return Ok(None) };
    let descriptor = text.parse().ok().filter(|descriptor| *descriptor > 2);
    let descriptor = descriptor.with_context(|| {
        format!("EDGE_INHERITED_FD: '{text}' is not a descriptor; expected the number of a listening socket")
    })?;
    Ok(Some(descriptor))
}

/// The limit of the operating system on open files of this process, if there is one.
fn open_files_limit() -> Option<usize> {
    let limits = std::fs::read_to_string("/proc/self/limits").ok()?;
    let line = limits.lines().find_map(|line| line.strip_prefix("Max open files"))?;
    line.split_whitespace().next()?.parse().ok()
}

fn env(name: &'static str) -> Result<Option<String>> {
    match std::env::var(name) {
        Ok(value) if value.is_empty() => bail!("{name} is empty"),
        Ok(value) => Ok(Some(value)),
        Err(std::env::VarError::NotPresent) => Ok(None),
        Err(std::env::VarError::NotUnicode(_)) => bail!("{name} is not UTF-8"),
    }
}

#[cfg(test)]
mod tests;
