//! Generated inputs of one sidecar: a server list of any size in discovery's format, in services of six servers, with
//! matching settings and operator's file.

use anyhow::{Context, Result, bail};
use dunlincleat::api::State;
use dunlincleat_directory::{Entry, Listing};
use dunlincleat_limits::{Checked, RuleSet, check};
use dunlincleat_settings::{InstanceSettings, read};
use std::fmt::Write;

/// Servers of one service: the plan's 3,100 endpoints over its 490 services, rounded.
pub const SERVERS_PER_SERVICE: usize = 6;
/// Number of zones in the plan.
const ZONES: usize = 8;

/// List entry of server number `n`, from 0.
pub fn entry(n: usize) -> Entry {
    let [_, a, b, c] = (n as u32).to_be_bytes();
    Entry {
        // As long as discovery's own names, and not sorted.
        uid: format!("s-{:08x}", (n as u32).wrapping_mul(0x9e37_79b1)),
        endpoint: Some(([10, a, b, c], 5000).into()),
        zone: format!("z{}", n % ZONES),
        model: format!("service-{:03}", n / SERVERS_PER_SERVICE),
        cell: (n % 4) as u32,
        state: State::Ready,
        weight: 1.0,
        boot_ms: 0,
    }
}

/// A full list of `servers` servers.
pub fn listing(servers: usize, rev: u64) -> Listing {
    Listing { rev, whole: true, entries: (0..servers).map(entry).collect(), decode_errors: Vec::new() }
}

/// A change of one server, encoded as a line of a watch.
pub fn change(n: usize, state: State, rev: u64) -> String {
    let entries = vec![Entry { state, ..entry(n) }];
    line(&Listing { rev, whole: false, entries, decode_errors: Vec::new() })
}

/// A list, encoded as a line of a watch.
pub fn line(listing: &Listing) -> String {
    format!("{}\n", listing.to_value())
}

/// Settings as JSON: loads in responses, no prices, and probes where enabled.
pub fn settings_json(classes: usize, probes: bool) -> String {
    let zones: Vec<String> = (0..ZONES).map(|n| format!("\"z{n}\"")).collect();
    let class = |n: usize| {
        format!(
            r#"{{"name":"class-{n}","aim":300000,"deadline":740000,"gain":1.0,"late_worth":0.5,"semantics":"retryable"}}"#
        )
    };
    let classes: Vec<String> = (0..classes).map(class).collect();
    format!(
        r#"{{"zones":[{}],"stats":{{"fields":["inflight","queue","util"],"how":"inline"}},
        "limits":{{"try_limit":4,"connect_timeout":100000,"probes":{probes}}},
        "classes":[{}],"safety":{{"cold":1000000,"cold_from":0.3,"drain_grace":1000000}}}}"#,
        zones.join(","),
        classes.join(",")
    )
}

/// The parsed settings.
pub fn instance_settings(classes: usize, probes: bool) -> Result<InstanceSettings> {
    read(&settings_json(classes, probes)).context("the settings")
}

/// Operator's file with a pool and a route for each called service.
pub fn rules_file(services: usize) -> String {
    let mut text = String::from("version = 1\n");
    for n in 0..services {
        // Writing to a `String` does not fail.
        let _ = write!(
            text,
            "[[route]]\nname = \"to {n:03}\"\nmatch = {{ path = \"/class-0/{n:03}/**\" }}\npool = \"service-{n:03}\"\n\
             [[pool]]\nname = \"service-{n:03}\"\nmodels = [\"service-{n:03}\"]\n"
        );
    }
    text
}

/// The parsed operator's file.
pub fn rule_set(services: usize, settings: &InstanceSettings) -> Result<RuleSet> {
    let Checked { faults, rules } = check(&rules_file(services), settings);
    let Some(rules) = rules else {
        let faults: Vec<String> = faults.iter().map(ToString::to_string).collect();
        bail!("the operator's file: {}", faults.join("; "));
    };
    Ok(rules)
}
