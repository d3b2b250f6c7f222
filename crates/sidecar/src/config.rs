//! The configuration of the sidecar: read, validated and completed with defaults here and nowhere else.
//!
//! `EDGE_CONFIG` names a JSON file. `EDGE_NAME`, `EDGE_LISTEN` and `EDGE_DISCOVERY` take precedence over its keys of the
//! same meaning. Unknown keys are ignored; each error message names the key at fault.

mod section;

use crate::logger::LogFormat;
use anyhow::{Context, Result, anyhow, bail};
use dunlincleat::api::Settings;
use dunlincleat_directory::Listing;
use dunlincleat_http::options::HttpOptions;
use dunlincleat_settings::{InstanceSettings, first_missing_key};
use section::{Limits, SidecarSection};
use serde_json::{Map, Value};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tracing::level_filters::LevelFilter;

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
    pub options: Rc<HttpOptions>,
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
        let seed = read_seed(file.remove("seed"))?;
        let settings = file.remove("settings").context("EDGE_CONFIG: settings is missing")?;
        let shadow = read_shadow(file.remove("watch"), &settings)?;
        let settings = dunlincleat_settings::read_value(settings).context("EDGE_CONFIG")?;
        let shadow_settings = shadow.map(|shadow| shadow_settings(shadow, &settings)).transpose()?;
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
        let limits_file = read_limits_file(env("EDGE_LIMITS")?, file.remove("limits_file"))?;
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

fn read_seed(value: Option<Value>) -> Result<u64> {
    match value {
        Some(Value::String(hex)) => u64::from_str_radix(&hex, 16)
            .map_err(|_| anyhow!("EDGE_CONFIG: seed: '{hex}' is not a number of up to 16 hex digits")),
        Some(other) => other.as_u64().context("EDGE_CONFIG: seed: neither hex digits nor a number"),
        None => bail!("EDGE_CONFIG: seed is missing"),
    }
}

/// Reads `watch`, merged into a copy of the active settings.
fn read_shadow(watch: Option<Value>, settings: &Value) -> Result<Option<InstanceSettings>> {
    match watch {
        None | Some(Value::Null) => Ok(None),
        Some(differences @ Value::Object(_)) => {
            let mut merged = settings.clone();
            merge(&mut merged, differences);
            dunlincleat_settings::read_value(merged).map(Some).context("EDGE_CONFIG: watch")
        }
        Some(other) => bail!(
            "EDGE_CONFIG: watch: {other} is not an object; expected the settings that differ from the active \
             ones"
        ),
    }
}

fn shadow_settings(mut shadow: InstanceSettings, active: &InstanceSettings) -> Result<Settings> {
    if shadow.classes != active.classes || shadow.tenants != active.tenants {
        bail!("EDGE_CONFIG: watch: its classes or tenants differ from those of settings in name or order");
    }
    // There is no protocol for messages between sidecars.
    shadow.settings.limits.peer_messages = false;
    Ok(shadow.settings)
}

fn read_limits_file(variable: Option<String>, key: Option<Value>) -> Result<Option<PathBuf>> {
    match (variable, key) {
        (Some(path), _) => Ok(Some(PathBuf::from(path))),
        (None, None | Some(Value::Null)) => Ok(None),
        (None, Some(Value::String(path))) if !path.is_empty() => Ok(Some(PathBuf::from(path))),
        (None, Some(other)) => bail!("EDGE_CONFIG: limits_file: {other} is not a path"),
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
