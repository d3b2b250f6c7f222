//! `dunlincleat route`: the route that applies to a request.

use super::{Format, print_line, read_file, read_settings};
use anyhow::{Result, anyhow};
use dunlincleat_limits::{Checked, HedgeDelay, RequestAttributes, Rule, check, format_duration};
use serde_json::json;
use std::path::Path;
use std::process::ExitCode;

/// The request to find the route of.
pub(super) struct RouteQuery {
    pub(super) class: String,
    pub(super) tenant: Option<String>,
    pub(super) path: Option<String>,
    pub(super) method: Option<String>,
    pub(super) headers: Vec<String>,
}

pub(super) fn run(file: &Path, settings: &Path, query: &RouteQuery, format: Format) -> Result<ExitCode> {
    let text = read_file(file)?;
    let settings = read_settings(settings)?;
    let Checked { faults, rules } = check(&text, &settings);
    let Some(rules) = rules else {
        faults.iter().for_each(|fault| eprintln!("{}:{fault}", file.display()));
        return Ok(ExitCode::from(1));
    };
    let class = settings.classes.iter().position(|name| *name == query.class);
    let class = class.ok_or_else(|| {
        anyhow!("no class '{}'; expected one of {}", query.class, settings.classes.join(", "))
    })?;
    let tenant =
        match &query.tenant {
            None => settings.tenants.len(),
            Some(name) => settings.tenants.iter().position(|tenant| tenant == name).ok_or_else(|| {
                anyhow!("no tenant '{name}'; expected one of {}", settings.tenants.join(", "))
            })?,
        };
    let headers = query.headers.iter().map(|header| {
        header.split_once('=').map(|(name, value)| (name.to_ascii_lowercase(), value)).ok_or(header)
    });
    let headers =
        headers.collect::<Result<Vec<_>, _>>().map_err(|header| anyhow!("'{header}' is not NAME=VALUE"))?;
    let header =
        |name: &str| headers.iter().find(|(header_name, _)| header_name == name).map(|(_, value)| *value);
    let path = query.path.clone().unwrap_or_else(|| format!("/{}", query.class));
    let safe = settings.settings.classes[class].effect == dunlincleat::api::Effect::Safe;
    let method = query.method.as_deref().unwrap_or(if safe { "GET" } else { "POST" });
    let attributes = RequestAttributes {
        path: &path,
        method,
        class: class as u32,
        tenant: tenant as u32,
        header: &header,
    };
    print_rule(rules.find(&attributes), format);
    Ok(ExitCode::SUCCESS)
}

fn print_rule(rule: &Rule, format: Format) {
    let hedge_delay = rule.hedge_delay.as_ref().map(|delay| match delay {
        HedgeDelay::Fixed(delay) => format_duration(*delay),
        HedgeDelay::Quantile(quantile) => format!("quantile {quantile}"),
    });
    let budget = rule.retry_budget.map(|budget| {
        format!(
            "{} of first tries, {} a second at least",
            budget.retries_per_attempt, budget.min_retries_per_s
        )
    });
    let pools: Vec<&str> = rule.pools.iter().map(|choice| choice.pool.name.as_str()).collect();
    let pool = (!pools.is_empty()).then(|| pools.join(", then "));
    let number = |value: Option<u32>| value.map(|value| value.to_string());
    let keys = [
        ("attempt_timeout", rule.attempt_timeout.map(format_duration)),
        ("timeout", rule.timeout.map(format_duration)),
        ("connect_timeout", rule.connect_timeout.map(format_duration)),
        ("attempts", number(rule.attempts)),
        ("second_copy", hedge_delay),
        ("retry_budget", budget),
        ("max_in_hand", number(rule.max_in_hand)),
        ("max_waiting", number(rule.max_waiting)),
        ("priority", number(rule.priority)),
        ("pool", pool),
    ];
    let line = |key: &str| rule.key_lines.iter().find(|set| set.key == key).map(|set| set.line);
    match format {
        Format::Json => {
            let set = keys.iter().filter_map(|(key, value)| {
                let value = value.as_ref()?;
                Some(((*key).to_owned(), json!({"value": value, "line": line(key)})))
            });
            let set: serde_json::Map<String, serde_json::Value> = set.collect();
            print_line(&json!({"route": rule.name, "line": rule.line, "set": set}).to_string());
        }
        Format::Text => {
            let at = rule.line.map_or_else(|| "no route matches".to_owned(), |line| format!("line {line}"));
            print_line(&format!("route {} ({at})", rule.name));
            for (key, value) in keys {
                match value {
                    Some(value) => {
                        let source = line(key).map(|line| format!("line {line}")).unwrap_or_default();
                        print_line(&format!("  {key:<16} {value}  ({source})"));
                    }
                    None => {
                        print_line(&format!("  {key:<16} as the settings and the decision module have it"))
                    }
                }
            }
        }
    }
}
