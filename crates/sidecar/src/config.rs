//! What the sidecar is told at its start: read, checked and given its defaults here and nowhere else.
//!
//! `EDGE_CONFIG` names a JSON file. `EDGE_NAME`, `EDGE_LISTEN` and `EDGE_DISCOVERY` go before its keys of the
//! same meaning. Unknown keys are passed over; each message names the key at fault.

use crate::logger::Form;
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

/// Descriptors kept for what is no traffic: standard streams, the poller, signals, listener, discovery, spares.
const DESCRIPTORS_KEPT: usize = 40;
/// The bytes that the names of services may have in all: they go into the head of a call of discovery.
const SERVICE_BYTES: usize = 16 << 10;
/// The same for the console: its connections, its listener, its poller and a signal to it.
const CONSOLE_KEPT: usize = dunlincleat_console::MAX_CONNECTIONS + 8;

/// All that the sidecar is told.
pub struct Config {
    /// Its name, the same after a restart.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where operators call, where that is told.
    pub console: Option<SocketAddr>,
    /// Where discovery answers.
    pub discovery: SocketAddr,
    /// For random numbers; new with each start.
    pub seed: u64,
    /// The list of servers as last held.
    pub known: Listing,
    /// The settings object.
    pub site: Arc<InstanceSettings>,
    /// The figures that the deployment does not tell, from the object `sidecar`, each with a default.
    pub own: Rc<Own>,
    /// The least level of log lines.
    pub log: LevelFilter,
    /// How log lines are written.
    pub form: Form,
    /// How long connections are still accepted after SIGTERM.
    pub accept_after_term: Duration,
    /// How long after SIGTERM the process ends at the latest.
    pub end_after_term: Duration,
    /// The operator's file, where one is named.
    pub limits_file: Option<PathBuf>,
    /// Settings that are only watched: how they would have decided is counted.
    pub watch: Option<Settings>,
    /// The descriptors that it was told and those that the machine lets it have, where these are fewer.
    pub lowered: Option<(usize, usize)>,
    /// What is taken up only at a start, by key, to tell where a new file differs in it.
    fixed: Vec<(&'static str, Option<Value>)>,
    /// The file as it was read.
    told: Value,
}

/// Where a key of the file and a variable say the same thing, the one that goes before the other.
#[derive(Clone, Copy, PartialEq, Eq)]
enum First {
    Variable,
    File,
}

/// The keys that a reload does not take up. `seed` and `known` matter at a start alone.
const FIXED: [&str; 5] = ["name", "listen", "console", "limits", "sidecar"];

/// The keys that may come and go with a reload.
const OPTIONAL: [&str; 4] = ["known", "limits_file", "sidecar", "watch"];

impl Config {
    /// Reads the environment and the file that it names.
    pub fn read() -> Result<Config> {
        Config::load(First::Variable)
    }

    /// Reads them once more. The environment is that of the start: the file's `discovery` is the newer word.
    pub fn reread() -> Result<Config> {
        Config::load(First::File)
    }

    /// The first key that the file in force has and the other's lacks, of those that may not be left out.
    pub fn lacking(&self, other: &Config) -> Option<String> {
        let (Value::Object(old), Value::Object(new)) = (&self.told, &other.told) else { return None };
        let kept = old.iter().filter(|(key, _)| !OPTIONAL.contains(&key.as_str()));
        kept.into_iter().find_map(|(key, was)| match new.get(key) {
            None | Some(Value::Null) if !was.is_null() => Some(key.clone()),
            Some(is) if key == "settings" => first_missing_key(was, is).map(|rest| format!("{key}.{rest}")),
            Some(_) | None => None,
        })
    }

    /// The keys in which the other differs, of those that are taken up only at a start.
    pub fn differs(&self, other: &Config) -> Vec<&'static str> {
        let pairs = self.fixed.iter().zip(&other.fixed);
        pairs.filter(|(mine, others)| mine != others).map(|(mine, _)| mine.0).collect()
    }

    /// What a reload took up is in force.
    pub fn took(&mut self, new: Config, site: Arc<InstanceSettings>) {
        let fixed = std::mem::take(&mut self.fixed);
        let (listen, console, own, name) = (self.listen, self.console, self.own.clone(), self.name.clone());
        // A request in hand may have been taken under a longer deadline: at SIGTERM it has its time all the same.
        let end_after_term = self.end_after_term.max(new.end_after_term);
        // What is taken up only at a start stays as it was.
        *self = Config { fixed, listen, console, own, name, site, end_after_term, ..new };
    }

    fn load(discovery: First) -> Result<Config> {
        let path = env("EDGE_CONFIG")?.context("EDGE_CONFIG is not set")?;
        let text = std::fs::read_to_string(&path).with_context(|| format!("EDGE_CONFIG: '{path}'"))?;
        Config::parse(&text, discovery, env, machine_descriptors())
    }

    fn parse(
        text: &str,
        discovery_by: First,
        env: impl Fn(&'static str) -> Result<Option<String>>,
        machine: Option<usize>,
    ) -> Result<Config> {
        let value: Value = serde_json::from_str(text).context("EDGE_CONFIG: not JSON")?;
        let told = value.clone();
        let Value::Object(mut file) = value else { bail!("EDGE_CONFIG: not a JSON object") };
        let mut fixed = FIXED.map(|key| (key, file.get(key).cloned())).to_vec();
        // The level of the log is taken up at once.
        fixed.iter_mut().filter_map(|(_, value)| value.as_mut()?.as_object_mut()).for_each(|own| {
            own.remove("log");
        });
        let told_console =
            env("EDGE_CONSOLE")?.is_some() || file.get("console").is_some_and(|c| !c.is_null());
        let mut text_of = |variable, key: &str, by: First| -> Result<(String, String)> {
            let variables = env(variable)?.filter(|_| by == First::Variable || !file.contains_key(key));
            if let Some(value) = variables {
                return Ok((value, variable.to_owned()));
            }
            match file.remove(key) {
                Some(Value::String(value)) => Ok((value, format!("EDGE_CONFIG: {key}"))),
                Some(_) => bail!("EDGE_CONFIG: {key}: not a string"),
                None => bail!("neither {variable} nor the key {key} of EDGE_CONFIG is set"),
            }
        };
        let address = |(value, key): (String, String)| -> Result<SocketAddr> {
            value.parse().map_err(|_| anyhow!("{key}: '{value}' is not an address and port"))
        };
        let name = text_of("EDGE_NAME", "name", First::Variable)?.0;
        let listen = address(text_of("EDGE_LISTEN", "listen", First::Variable)?)?;
        let console = told_console.then(|| address(text_of("EDGE_CONSOLE", "console", First::Variable)?));
        let console = console.transpose()?;
        if let Some(console) = console.filter(|console| *console == listen) {
            bail!("console: '{console}' is where clients connect; right would be an address of its own");
        }
        let discovery = address(text_of("EDGE_DISCOVERY", "discovery", discovery_by)?)?;
        let seed = match file.remove("seed") {
            Some(Value::String(hex)) => u64::from_str_radix(&hex, 16)
                .map_err(|_| anyhow!("EDGE_CONFIG: seed: '{hex}' is not a number of up to 16 hex digits"))?,
            Some(other) => other.as_u64().context("EDGE_CONFIG: seed: neither hex digits nor a number")?,
            None => bail!("EDGE_CONFIG: seed is missing"),
        };
        let settings = file.remove("settings").context("EDGE_CONFIG: settings is missing")?;
        let watch = match file.remove("watch") {
            None | Some(Value::Null) => None,
            Some(other @ Value::Object(_)) => {
                let mut laid = settings.clone();
                lay_over(&mut laid, other);
                Some(dunlincleat_settings::read_value(laid).context("EDGE_CONFIG: watch")?)
            }
            Some(other) => {
                bail!("EDGE_CONFIG: watch: {other} is no object of settings that differ from those in force")
            }
        };
        let site = dunlincleat_settings::read_value(settings).context("EDGE_CONFIG")?;
        let watch = match watch {
            Some(watch) if watch.classes != site.classes || watch.tenants != site.tenants => {
                bail!(
                    "EDGE_CONFIG: watch: its classes or tenants are not those of settings, by name and order"
                )
            }
            // The protocol has no messages between sidecars.
            watch => watch.map(|mut watch| {
                watch.settings.limits.peer_messages = false;
                watch.settings
            }),
        };
        let known = match file.remove("known") {
            None | Some(Value::Null) => Listing { whole: true, ..Listing::default() },
            Some(known) => Listing::from_value(known).context("EDGE_CONFIG: known")?,
        };
        let limits = match file.remove("limits") {
            None | Some(Value::Null) => Limits::default(),
            Some(limits) => serde_json::from_value(limits).context("EDGE_CONFIG: limits")?,
        };
        let lowered = machine.filter(|machine| *machine < limits.sockets).map(|to| (limits.sockets, to));
        let limits_file = match (env("EDGE_LIMITS")?, file.remove("limits_file")) {
            (Some(path), _) => Some(PathBuf::from(path)),
            (None, None | Some(Value::Null)) => None,
            (None, Some(Value::String(path))) if !path.is_empty() => Some(PathBuf::from(path)),
            (None, Some(other)) => bail!("EDGE_CONFIG: limits_file: {other} is no path"),
        };
        let own = match file.remove("sidecar") {
            None | Some(Value::Null) => Map::new(),
            Some(Value::Object(own)) => own,
            Some(_) => bail!("EDGE_CONFIG: sidecar: not an object"),
        };
        let Told { own, log, form, accept_after_term, end_after_term } =
            Told::read(&own, &limits, lowered, &site, console.map_or(0, |_| CONSOLE_KEPT))?;
        let (own, site) = (Rc::new(own), Arc::new(site));
        Ok(Config {
            name,
            listen,
            console,
            discovery,
            seed,
            known,
            site,
            own,
            log,
            form,
            accept_after_term,
            end_after_term,
            limits_file,
            watch,
            lowered,
            fixed,
            told,
        })
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

/// The names of `sidecar.services`.
fn services_of(told: &Value) -> Result<Vec<String>> {
    let right = "right would be the names of the services called, or no such key for all servers";
    let names = told.as_array().with_context(|| format!("EDGE_CONFIG: sidecar.services: {told}; {right}"))?;
    if names.is_empty() {
        bail!("EDGE_CONFIG: sidecar.services: no name; {right}");
    }
    let name = |name: &Value| match name.as_str() {
        Some(text) if !text.is_empty() => Ok(text.to_owned()),
        _ => bail!("EDGE_CONFIG: sidecar.services: {name} is no name; {right}"),
    };
    let names = names.iter().map(name).collect::<Result<Vec<_>>>()?;
    let bytes: usize = names.iter().map(|name| name.len() + 1).sum();
    if bytes > SERVICE_BYTES {
        bail!("EDGE_CONFIG: sidecar.services: names of {bytes} bytes in all, over {SERVICE_BYTES}; {right}");
    }
    Ok(names)
}

/// What the object `sidecar` says.
struct Told {
    own: Own,
    log: LevelFilter,
    form: Form,
    accept_after_term: Duration,
    end_after_term: Duration,
}

impl Told {
    fn read(
        own: &Map<String, Value>,
        limits: &Limits,
        lowered: Option<(usize, usize)>,
        site: &InstanceSettings,
        console: usize,
    ) -> Result<Told> {
        let kept = DESCRIPTORS_KEPT + console;
        // Guards discovery and the console: by the told number alone, clients took the last descriptor of a machine that
        // gives fewer, and no watch could be opened any more.
        let (sockets, whose) = match lowered {
            Some((_, machine)) => (machine, "the machine's limit on open files, lower than limits.sockets"),
            None => (limits.sockets, "limits.sockets"),
        };
        let number = |key: &str, default: u64, least: u64| -> Result<u64> {
            let value = match own.get(key) {
                None => default,
                Some(v) => v.as_u64().with_context(|| format!("EDGE_CONFIG: sidecar.{key}: not a number"))?,
            };
            if value < least {
                bail!("EDGE_CONFIG: sidecar.{key}: {value} is under {least}");
            }
            Ok(value)
        };
        let millis = |key: &str, default: u64, least| number(key, default, least).map(Duration::from_millis);
        let log = match own.get("log") {
            None => LevelFilter::INFO,
            Some(level) => level.as_str().and_then(level_of).with_context(|| {
                format!("EDGE_CONFIG: sidecar.log: {level} is none of off, error, warn, info, debug, trace")
            })?,
        };
        let form = match own.get("log_form").map(|form| form.as_str().unwrap_or_default()) {
            None | Some("text") => Form::Text,
            Some("json") => Form::Json,
            Some(other) => bail!("EDGE_CONFIG: sidecar.log_form: '{other}' is neither text nor json"),
        };
        // Half of the descriptors for each side.
        let half = (sockets.saturating_sub(kept) / 2) as u64;
        if half == 0 {
            bail!("EDGE_CONFIG: {whose}: {sockets} is under {}", kept + 2);
        }
        let client_connections = number("client_connections", half, 1)? as usize;
        let server_connections = number("server_connections", half, 1)? as usize;
        if client_connections + server_connections + kept > sockets {
            bail!(
                "EDGE_CONFIG: sidecar.client_connections and sidecar.server_connections: {client_connections} and \
                 {server_connections} leave no {kept} of {sockets} descriptors ({whose})"
            );
        }
        let watch = {
            let ms = |ms: u64| Span(ms * 1000);
            let heartbeat = ms(number("watch_heartbeat_ms", 2000, 1)?);
            let told = ms(number("watch_told_within_ms", 6000, 1)?);
            let derived = Timing::derive(heartbeat, told, site.drain_grace.unwrap_or_default());
            let call = ms(number("watch_call_ms", derived.call_timeout.0 / 1000, 1)?);
            Timing {
                silence_timeout: ms(number("watch_silence_ms", derived.silence_timeout.0 / 1000, 1)?),
                call_timeout: call,
                max_retry_interval: derived.max_retry_interval.min(call),
                backoff: Backoff {
                    initial: ms(number("watch_again_ms", derived.backoff.initial.0 / 1000, 1)?),
                    max: ms(number("watch_again_most_ms", derived.backoff.max.0 / 1000, 1)?),
                },
                max_watch_age: ms(number("watch_renew_ms", 0, 0)?),
                ..derived
            }
        };
        let list_file = match own.get("list_file") {
            None => None,
            Some(Value::String(path)) if !path.is_empty() => Some(PathBuf::from(path)),
            Some(other) => bail!("EDGE_CONFIG: sidecar.list_file: {other} is no path"),
        };
        let interest = match own.get("services") {
            None => Interest::default(),
            Some(services) => Interest::of(services_of(services)?),
        };
        let ms = |span: Span| span.0 / 1000;
        let classes = &site.settings.classes;
        let longest = classes.iter().map(|c| ms(c.deadline)).max().unwrap_or(0);
        let connect = ms(site.settings.limits.connect_timeout);
        let aim = classes.iter().map(|c| ms(c.aim)).min().unwrap_or(1000);
        let connect = if connect > 0 { connect } else { 1000 };
        let body_bytes = number("body_bytes", 64 * 1024, 1)?;
        // Half of the memory for bodies: a request's and its answer's, each once more in a buffer on its way.
        let bodies = ((limits.memory_mb << 20) / 2 / (4 * body_bytes)).max(1);
        let requests = site.max_open.unwrap_or(u64::MAX).min(half).min(bodies);
        let own = Own {
            body_bytes: body_bytes as usize,
            requests: number("requests", requests, 1)? as usize,
            client_connections,
            client_request: millis("client_request_ms", 2600, 1)?,
            client_idle: millis("client_idle_ms", 3000, 2000)?,
            server_connections,
            // The server closes one that is as old as the site's figure at the latest: four fifths of it are before, and
            // half of it had quiet sidecars open a connection for every other request.
            idle: millis("idle_ms", site.conn_idle.map_or(2500, |s| ms(s) * 4 / 5), 1)?,
            connect: millis("connect_ms", connect, 1)?,
            // A probe that takes a quarter of the tightest aim tells nothing that is of use any more.
            probe: millis("probe_ms", connect.min(aim / 4).max(1), 1)?,
            // An answer is written in one go: one that stops for longer will not come in time.
            answer_stall: millis("answer_stall_ms", (aim / 4).max(1), 1)?,
            watch,
            interest,
            list_file,
            halved: Rc::default(),
        };
        let accept_after_term = millis("accept_after_term_ms", 600, 0)?;
        let end_after_term = millis("end_after_term_ms", longest + 600, 1)?;
        Ok(Told { own, log, form, accept_after_term, end_after_term })
    }
}

/// The settings in a text that is the settings object itself, or a configuration that holds it.
///
/// # Errors
///
/// The text is no JSON, or the settings in it are at fault; names the key.
pub fn settings_of(text: &str) -> Result<InstanceSettings> {
    let mut value: Value = serde_json::from_str(text).context("not JSON")?;
    let settings = value.as_object_mut().and_then(|object| object.remove("settings"));
    dunlincleat_settings::read_value(settings.unwrap_or(value))
}

/// Lays the keys of one object over those of another, objects within them key by key.
fn lay_over(under: &mut Value, over: Value) {
    match (under, over) {
        (Value::Object(under), Value::Object(over)) => {
            for (key, value) in over {
                lay_over(under.entry(key).or_insert(Value::Null), value);
            }
        }
        (under, over) => *under = over,
    }
}

fn level_of(name: &str) -> Option<LevelFilter> {
    // Numbers, which tracing would take too, are no names.
    name.parse().ok().filter(|_| name.chars().all(|c| c.is_ascii_alphabetic()))
}

/// The descriptor of the listening socket that the platform holds, where it does.
///
/// # Errors
///
/// `EDGE_INHERITED_FD` is no number.
pub fn inherited() -> Result<Option<std::os::fd::RawFd>> {
    let Some(number) = env("EDGE_INHERITED_FD")? else { return Ok(None) };
    let read = number.parse().ok().filter(|number| *number > 2);
    let read = read.with_context(|| {
        format!(
            "EDGE_INHERITED_FD: '{number}' is no descriptor; right would be the number of a listening socket"
        )
    })?;
    Ok(Some(read))
}

/// Descriptors that the machine lets this process have, where it tells a limit.
fn machine_descriptors() -> Option<usize> {
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
