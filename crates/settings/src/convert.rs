//! Validates the raw settings and converts them.

use crate::InstanceSettings;
use crate::class_lease::ClassLeases;
use crate::raw::{RawClass, RawLimits, RawSafety, RawSettings, RawTenant};
use anyhow::{Result, bail};
use dunlincleat::api::{
    Class, Discovery, Effect, Field, Group, Limits, Prices, Reports, Safety, Settings, Span, Tail, Tenant,
    Weights,
};
use serde_json::{Map, Value};

/// The longest aim or deadline of a class, in microseconds: one day. A larger value indicates a wrong unit.
const MAX_CLASS_TIME_US: u64 = 86_400_000_000;
/// The highest accepted number of attempts per request.
const MAX_ATTEMPTS: u32 = 1000;
const DEFAULT_CONN_IDLE_US: u64 = 5_000_000;
const DEFAULT_ASK_WITHIN_US: u64 = 10_000_000;

pub(crate) fn instance_settings(raw: RawSettings) -> Result<InstanceSettings> {
    validate(&raw)?;
    let settings = module_settings(&raw)?;
    Ok(InstanceSettings {
        class_leases: raw.classes.iter().map(|_| ClassLeases::default()).collect(),
        classes: raw.classes.into_iter().map(|class| class.name).collect(),
        tenants: raw.tenants.into_iter().map(|tenant| tenant.name).collect(),
        zones: raw.zones,
        fields: raw.stats.fields,
        conn_idle: raw.limits.conn_idle.map(Span),
        max_open: raw.limits.max_open,
        drain_grace: raw.safety.drain_grace.map(Span),
        settings,
    })
}

/// Checks the values that decide how long requests live and how often they are sent.
fn validate(raw: &RawSettings) -> Result<()> {
    for (n, class) in raw.classes.iter().enumerate() {
        validate_class_time(n, "aim", class.aim)?;
        validate_class_time(n, "deadline", class.deadline)?;
        let name = &class.name;
        if !name.is_empty() && raw.classes[..n].iter().any(|other| other.name == *name) {
            bail!("settings: classes[{n}].name: '{name}' stands there twice; each class has one entry");
        }
    }
    match raw.limits.try_limit {
        Some(attempts) if !(1..=MAX_ATTEMPTS).contains(&attempts) => {
            bail!("settings: limits.try_limit: {attempts} is no number of attempts from 1 to {MAX_ATTEMPTS}")
        }
        Some(_) | None => Ok(()),
    }
}

fn validate_class_time(class: usize, key: &str, value: u64) -> Result<()> {
    if !(1..=MAX_CLASS_TIME_US).contains(&value) {
        bail!(
            "settings: classes[{class}].{key}: {value} is no number of microseconds from 1 to \
             {MAX_CLASS_TIME_US}"
        );
    }
    Ok(())
}

fn module_settings(raw: &RawSettings) -> Result<Settings> {
    Ok(Settings {
        instance_count: raw.balancers,
        instance_index: raw.me,
        zone: raw.locality,
        classes: raw.classes.iter().map(class).collect::<Result<_>>()?,
        tenants: raw.tenants.iter().map(tenant).collect(),
        over_share_worth: raw.over_share_worth.unwrap_or(1.0),
        discovery: discovery(raw.discovery.as_deref())?,
        reports: reports(raw.stats.how.as_deref())?,
        fields: raw.stats.fields.iter().map(|name| field(name)).collect(),
        limits: limits(&raw.limits),
        prices: prices(&raw.deductions)?,
        safety: safety(&raw.safety),
        weights: weights(raw.weight_source.as_ref())?,
        key_affinity: key_affinity(raw.family_info.get("warm_keys"))?,
        tail: tail(&raw.objective_mix)?,
        tick: Span(raw.tick),
    })
}

fn class(raw: &RawClass) -> Result<Class> {
    Ok(Class {
        aim: Span(raw.aim),
        deadline: Span(raw.deadline),
        worth: raw.gain,
        late_worth: raw.late_worth,
        effect: effect(raw)?,
        stream: raw.stream,
        retired: false,
    })
}

fn effect(raw: &RawClass) -> Result<Effect> {
    Ok(match raw.semantics.as_str() {
        "retryable" => Effect::Safe,
        "fragile" => Effect::Unsafe,
        "dedup" => {
            Effect::Keyed { group: group(raw.group.as_deref())?, window: Span(raw.window.unwrap_or(0)) }
        }
        other => bail!("settings: unknown semantics '{other}'; expected 'retryable', 'dedup' or 'fragile'"),
    })
}

fn group(name: Option<&str>) -> Result<Group> {
    Ok(match name {
        Some("all") => Group::All,
        Some("zone") => Group::Zone,
        Some("cell") => Group::Cell,
        Some(other) => {
            bail!("settings: unknown group '{other}' of a keyed class; expected 'all', 'zone' or 'cell'")
        }
        None => bail!("settings: missing group of a keyed class; expected 'all', 'zone' or 'cell'"),
    })
}

fn tenant(raw: &RawTenant) -> Tenant {
    Tenant { share: raw.share, quota_per_s: raw.quota_per_s }
}

fn discovery(name: Option<&str>) -> Result<Discovery> {
    Ok(match name {
        Some("on_request") => Discovery::OnRequest,
        Some("pushed") | None => Discovery::Pushed,
        Some(other) => bail!("settings: unknown discovery '{other}'; expected 'pushed' or 'on_request'"),
    })
}

fn reports(name: Option<&str>) -> Result<Reports> {
    Ok(match name {
        Some("inline") => Reports::InAnswers,
        Some("on_probe") => Reports::InProbes,
        Some("off") | None => Reports::Off,
        Some(other) => {
            bail!("settings: unknown stats.how '{other}'; expected 'inline', 'on_probe' or 'off'")
        }
    })
}

fn field(name: &str) -> Field {
    match name {
        "inflight" => Field::Inflight,
        "queue" => Field::Queue,
        "util" => Field::Util,
        _ => Field::Other,
    }
}

fn limits(raw: &RawLimits) -> Limits {
    Limits {
        max_attempts: raw.try_limit.unwrap_or(1).max(1),
        hedging: raw.parallel_tries,
        retry_after: raw.retry_after.then_some(Span(raw.max_retry_after)),
        probes: raw.probes,
        cancellation: raw.cancel,
        peer_messages: raw.peers,
        connect_timeout: Span(raw.connect_timeout),
        conn_idle: Span(raw.conn_idle.unwrap_or(DEFAULT_CONN_IDLE_US)),
    }
}

fn prices(deductions: &Map<String, Value>) -> Result<Prices> {
    Ok(Prices {
        cross_zone: price(deductions, "cross_zone")?,
        probe: price(deductions, "probe")?,
        waste: price(deductions, "waste")?,
        peer: price(deductions, "peer")?,
        connection: price(deductions, "connection")?,
        handshake: price(deductions, "handshake")?,
    })
}

/// Reads a price; 0 if the key is missing. A negative price would make the decision module seek the cost instead of
/// avoiding it.
fn price(deductions: &Map<String, Value>, key: &str) -> Result<f64> {
    let Some(value) = deductions.get(key) else { return Ok(0.0) };
    match value.as_f64() {
        Some(price) if price >= 0.0 => Ok(price),
        Some(price) => bail!("settings: deductions.{key}: {price} is negative"),
        None => bail!("settings: deductions.{key}: {value} is not a number"),
    }
}

fn safety(raw: &RawSafety) -> Safety {
    Safety {
        ask_within: Span(raw.ask_within.unwrap_or(DEFAULT_ASK_WITHIN_US)),
        cold_from: raw.cold_from.unwrap_or(1.0),
        cold: Span(raw.cold),
    }
}

fn weights(source: Option<&Value>) -> Result<Weights> {
    let Some(source) = source else { return Ok(Weights::Off) };
    Ok(match (source, source.as_str()) {
        (Value::Null, _) | (_, Some("off")) => Weights::Off,
        (_, Some("nominal" | "rough")) => Weights::Size,
        (_, Some("live")) => Weights::Live,
        (other, _) => {
            bail!("settings: weight_source: {other} is none of \"off\", \"nominal\", \"rough\", \"live\"")
        }
    })
}

fn key_affinity(warm_keys: Option<&Value>) -> Result<bool> {
    match warm_keys {
        None | Some(Value::Null) => Ok(false),
        Some(Value::Bool(warm)) => Ok(*warm),
        Some(other) => bail!("settings: family_info.warm_keys: {other} is neither true nor false"),
    }
}

fn tail(objective_mix: &Map<String, Value>) -> Result<Tail> {
    Ok(Tail {
        share: objective_fraction(objective_mix, "tail_part")?,
        allowed_misses: objective_fraction(objective_mix, "borne_misses")?,
    })
}

/// Reads a fraction from 0 to 1; 0 if the key is missing.
fn objective_fraction(objective_mix: &Map<String, Value>, key: &str) -> Result<f64> {
    let Some(value) = objective_mix.get(key) else { return Ok(0.0) };
    match value.as_f64() {
        Some(fraction) if (0.0..=1.0).contains(&fraction) => Ok(fraction),
        _ => bail!("settings: objective_mix.{key}: {value} is no number from 0 to 1"),
    }
}
