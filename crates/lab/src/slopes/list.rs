//! The fleet as one sidecar is told of it: a list of any size in discovery's form, in services of six servers, and the
//! settings and the operator's file that go with it.

use anyhow::{Context, Result, bail};
use dunlincleat::api::State;
use dunlincleat_directory::{Entry, Listing};
use dunlincleat_limits::{Checked, RuleSet, check};
use dunlincleat_settings::{InstanceSettings, read};
use std::fmt::Write;

/// Servers of a service: the plan's endpoints over its services, 3,100 over 490.
pub const SERVERS_PER_SERVICE: usize = 6;
/// The plan's zones.
const ZONES: usize = 8;

/// A server's place in the list, from 0.
pub fn entry(n: usize) -> Entry {
    let [_, a, b, c] = (n as u32).to_be_bytes();
    Entry {
        // Names of discovery's own length, in no order.
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

/// So many servers, in whole.
pub fn listing(servers: usize, rev: u64) -> Listing {
    Listing { rev, whole: true, entries: (0..servers).map(entry).collect(), decode_errors: Vec::new() }
}

/// What changed of one server, as a line of a watch.
pub fn change(n: usize, state: State, rev: u64) -> String {
    let entries = vec![Entry { state, ..entry(n) }];
    line(&Listing { rev, whole: false, entries, decode_errors: Vec::new() })
}

/// A list as a line of a watch.
pub fn line(listing: &Listing) -> String {
    format!("{}\n", listing.to_value())
}

/// The settings object: loads in answers, no prices, and probes where they are wanted.
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

/// The settings as they are read.
pub fn instance_settings(classes: usize, probes: bool) -> Result<InstanceSettings> {
    read(&settings_json(classes, probes)).context("the settings")
}

/// The operator's file: a pool and a route for each service that is called.
pub fn rules_file(services: usize) -> String {
    let mut text = String::from("version = 1\n");
    for n in 0..services {
        // Writing to a text can't fail.
        let _ = write!(
            text,
            "[[route]]\nname = \"to {n:03}\"\nmatch = {{ path = \"/class-0/{n:03}/**\" }}\npool = \"service-{n:03}\"\n\
             [[pool]]\nname = \"service-{n:03}\"\nmodels = [\"service-{n:03}\"]\n"
        );
    }
    text
}

/// The operator's file as it is read.
pub fn rule_set(services: usize, settings: &InstanceSettings) -> Result<RuleSet> {
    let Checked { faults, rules } = check(&rules_file(services), settings);
    let Some(rules) = rules else {
        let faults: Vec<String> = faults.iter().map(ToString::to_string).collect();
        bail!("the operator's file: {}", faults.join("; "));
    };
    Ok(rules)
}
