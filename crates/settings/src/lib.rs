//! The settings object that an instance is told at its start, read into the module's settings and the names and
//! limits that only a host needs. Unknown keys are passed over. Both hosts read it by this code.

#![forbid(unsafe_code)]

use anyhow::{Context, Result, anyhow, bail};
use dunlincleat::api::{
    Class, Discovery, Effect, Field, Group, Limits, Prices, Reports, Safety, Settings, Span, Tail, Tenant,
    Weights,
};
use serde::Deserialize;
use serde_json::{Map, Value};

#[derive(Deserialize)]
struct Env {
    #[serde(default = "one")]
    balancers: u32,
    #[serde(default)]
    me: u32,
    #[serde(default)]
    locality: u32,
    classes: Vec<EnvClass>,
    #[serde(default)]
    tenants: Vec<EnvTenant>,
    #[serde(default)]
    over_share_worth: Option<f64>,
    #[serde(default)]
    discovery: Option<String>,
    #[serde(default)]
    stats: EnvStats,
    #[serde(default)]
    limits: EnvLimits,
    #[serde(default)]
    zones: Vec<String>,
    #[serde(default)]
    deductions: Map<String, Value>,
    safety: EnvSafety,
    #[serde(default)]
    weight_source: Option<Value>,
    #[serde(default)]
    family_info: Map<String, Value>,
    #[serde(default)]
    objective_mix: Map<String, Value>,
    #[serde(default)]
    tick: u64,
}

#[derive(Deserialize)]
struct EnvClass {
    #[serde(default)]
    name: String,
    aim: u64,
    deadline: u64,
    #[serde(default)]
    gain: f64,
    #[serde(default)]
    late_worth: f64,
    semantics: String,
    #[serde(default)]
    group: Option<String>,
    #[serde(default)]
    window: Option<u64>,
    #[serde(default)]
    stream: bool,
}

#[derive(Deserialize)]
struct EnvTenant {
    #[serde(default)]
    name: String,
    #[serde(default)]
    share: f64,
    #[serde(default)]
    quota_per_s: f64,
}

#[derive(Deserialize, Default)]
struct EnvStats {
    #[serde(default)]
    fields: Vec<String>,
    #[serde(default)]
    how: Option<String>,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct EnvLimits {
    try_limit: Option<u32>,
    parallel_tries: bool,
    retry_after: bool,
    max_retry_after: u64,
    probes: bool,
    cancel: bool,
    peers: bool,
    connect_timeout: u64,
    conn_idle: Option<u64>,
    max_open: Option<u64>,
}

#[derive(Deserialize)]
struct EnvSafety {
    #[serde(default)]
    ask_within: Option<u64>,
    #[serde(default)]
    cold_from: Option<f64>,
    #[serde(default)]
    cold: u64,
    #[serde(default)]
    drain_grace: Option<u64>,
}

mod succession;
pub use succession::{Succession, lacking};

/// What an instance is told: the module's settings, and what only its host needs.
#[derive(Clone, Debug)]
pub struct Site {
    /// What the module decides by.
    pub settings: Settings,
    /// The names of the classes, by number.
    pub classes: Vec<String>,
    /// The names of the tenants, by number.
    pub tenants: Vec<String>,
    /// The names of the zones, by number.
    pub zones: Vec<String>,
    /// The names of the figures in a load report, in order.
    pub fields: Vec<String>,
    /// How long a server keeps an idle connection at the most, where that is told.
    pub conn_idle: Option<Span>,
    /// Requests that an instance may hold open.
    pub max_open: Option<u64>,
    /// The grace of a drain, where that is told; none of it is spent, the list is followed by it.
    pub drain_grace: Option<Span>,
}

fn one() -> u32 {
    1
}

/// Reads the settings of one instance from text.
pub fn read(text: &str) -> Result<Site> {
    read_value(serde_json::from_str(text).context("settings")?)
}

/// Reads the settings of one instance from a part of a larger object.
pub fn read_value(value: serde_json::Value) -> Result<Site> {
    site(serde_path_to_error::deserialize(value).map_err(|error| anyhow!("settings: {error}"))?)
}

/// The longest time that a class may be given: a day. A larger figure is a unit mistaken.
const LONGEST: u64 = 86_400_000_000;
/// The most attempts that a request may be given.
const ATTEMPTS: u32 = 1000;

/// Whether the figures that requests are judged by can be true.
fn prove(env: &Env) -> Result<()> {
    for (n, class) in env.classes.iter().enumerate() {
        for (key, value) in [("aim", class.aim), ("deadline", class.deadline)] {
            if !(1..=LONGEST).contains(&value) {
                bail!(
                    "settings: classes[{n}].{key}: {value} is no number of microseconds from 1 to {LONGEST}"
                );
            }
        }
        if !class.name.is_empty() && env.classes[..n].iter().any(|other| other.name == class.name) {
            bail!(
                "settings: classes[{n}].name: '{}' stands there twice; each class has one entry",
                class.name
            );
        }
    }
    match env.limits.try_limit {
        Some(most) if !(1..=ATTEMPTS).contains(&most) => {
            bail!("settings: limits.try_limit: {most} is no number of attempts from 1 to {ATTEMPTS}")
        }
        Some(_) | None => Ok(()),
    }
}

fn site(env: Env) -> Result<Site> {
    prove(&env)?;
    let names = |names: &[EnvClass]| names.iter().map(|c| c.name.clone()).collect();
    Ok(Site {
        classes: names(&env.classes),
        tenants: env.tenants.iter().map(|t| t.name.clone()).collect(),
        zones: env.zones.clone(),
        fields: env.stats.fields.clone(),
        conn_idle: env.limits.conn_idle.map(Span),
        max_open: env.limits.max_open,
        drain_grace: env.safety.drain_grace.map(Span),
        settings: settings(&env)?,
    })
}

fn settings(env: &Env) -> Result<Settings> {
    // A price that is left out is nothing; one below nothing would have servers used for what they cost.
    let price = |key: &str| match env.deductions.get(key).map_or(Some(0.0), Value::as_f64) {
        Some(price) if price >= 0.0 => Ok(price),
        Some(price) => bail!("settings: deductions.{key}: {price} is negative"),
        None => bail!("settings: deductions.{key}: {} is no number", env.deductions[key]),
    };
    Ok(Settings {
        instance_count: env.balancers,
        instance_index: env.me,
        zone: env.locality,
        classes: env.classes.iter().map(class).collect::<Result<_>>()?,
        tenants: env.tenants.iter().map(|t| Tenant { share: t.share, quota_per_s: t.quota_per_s }).collect(),
        over_share_worth: env.over_share_worth.unwrap_or(1.0),
        discovery: match env.discovery.as_deref() {
            Some("on_request") => Discovery::OnRequest,
            Some("pushed") | None => Discovery::Pushed,
            Some(other) => bail!("settings: unknown discovery '{other}'"),
        },
        reports: match env.stats.how.as_deref() {
            Some("inline") => Reports::InAnswers,
            Some("on_probe") => Reports::InProbes,
            Some("off") | None => Reports::Off,
            Some(other) => bail!("settings: unknown stats.how '{other}'"),
        },
        fields: env.stats.fields.iter().map(|f| field(f)).collect(),
        limits: Limits {
            max_attempts: env.limits.try_limit.unwrap_or(1).max(1),
            hedging: env.limits.parallel_tries,
            retry_after: env.limits.retry_after.then_some(Span(env.limits.max_retry_after)),
            probes: env.limits.probes,
            cancellation: env.limits.cancel,
            peer_messages: env.limits.peers,
            connect_timeout: Span(env.limits.connect_timeout),
            conn_idle: Span(env.limits.conn_idle.unwrap_or(5_000_000)),
        },
        prices: Prices {
            cross_zone: price("cross_zone")?,
            probe: price("probe")?,
            waste: price("waste")?,
            peer: price("peer")?,
            connection: price("connection")?,
            handshake: price("handshake")?,
        },
        safety: Safety {
            ask_within: Span(env.safety.ask_within.unwrap_or(10_000_000)),
            cold_from: env.safety.cold_from.unwrap_or(1.0),
            cold: Span(env.safety.cold),
        },
        weights: weights(env.weight_source.as_ref())?,
        key_affinity: match env.family_info.get("warm_keys") {
            None | Some(Value::Null) => false,
            Some(Value::Bool(warm)) => *warm,
            Some(other) => bail!("settings: family_info.warm_keys: {other} is neither true nor false"),
        },
        tail: Tail {
            share: part(&env.objective_mix, "objective_mix", "tail_part")?,
            allowed_misses: part(&env.objective_mix, "objective_mix", "borne_misses")?,
        },
        tick: Span(env.tick),
    })
}

fn class(c: &EnvClass) -> Result<Class> {
    let effect = match c.semantics.as_str() {
        "retryable" => Effect::Safe,
        "fragile" => Effect::Unsafe,
        "dedup" => Effect::Keyed {
            group: match c.group.as_deref() {
                Some("all") => Group::All,
                Some("zone") => Group::Zone,
                Some("cell") => Group::Cell,
                other => bail!("settings: unknown group {other:?} of a keyed class"),
            },
            window: Span(c.window.unwrap_or(0)),
        },
        other => bail!("settings: unknown semantics '{other}'"),
    };
    Ok(Class {
        aim: Span(c.aim),
        deadline: Span(c.deadline),
        worth: c.gain,
        late_worth: c.late_worth,
        effect,
        stream: c.stream,
        retired: false,
    })
}

fn weights(source: Option<&Value>) -> Result<Weights> {
    Ok(match source {
        None | Some(Value::Null) => Weights::Off,
        Some(Value::String(word)) if word == "off" => Weights::Off,
        Some(Value::String(word)) if matches!(word.as_str(), "nominal" | "rough") => Weights::Size,
        Some(Value::String(word)) if word == "live" => Weights::Live,
        Some(other) => {
            bail!("settings: weight_source: {other} is none of \"off\", \"nominal\", \"rough\", \"live\"")
        }
    })
}

/// A share among the keys of an object, nothing where it is left out.
fn part(keys: &Map<String, Value>, object: &str, key: &str) -> Result<f64> {
    match keys.get(key) {
        None => Ok(0.0),
        Some(value) => match value.as_f64() {
            Some(part) if (0.0..=1.0).contains(&part) => Ok(part),
            _ => bail!("settings: {object}.{key}: {value} is no number from 0 to 1"),
        },
    }
}

fn field(name: &str) -> Field {
    match name {
        "inflight" => Field::Inflight,
        "queue" => Field::Queue,
        "util" => Field::Util,
        _ => Field::Other,
    }
}

/// A number for a server that comes out the same at every instance, from its name (FNV-1a).
pub fn common_name(name: &str) -> u64 {
    name.bytes().fold(0xcbf2_9ce4_8422_2325, |h, b| (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3))
}

#[cfg(test)]
mod tests;
