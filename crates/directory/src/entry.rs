//! Decoding of discovery messages into typed lists. Stateless; each message is decoded here exactly once.

use anyhow::{Context, Result};
use dunlincleat::api::State;
use serde::de::{Error as _, SeqAccess, Visitor};
use serde::{Deserialize, Deserializer, Serialize};
use serde_json::Value;
use serde_json::value::RawValue;
use std::fmt::{self, Formatter};
use std::net::SocketAddr;

/// A full list of servers, or changes to one.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Listing {
    /// The revision of the list.
    pub rev: u64,
    /// Whether this is the full list rather than changes.
    pub whole: bool,
    /// The entries, in the order received.
    pub entries: Vec<Entry>,
    /// For each entry that could not be decoded in full, the reason, for the log.
    pub decode_errors: Vec<String>,
}

/// A server of a list.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// Unique name, the same at every sidecar.
    pub uid: String,
    /// The address; optional for servers that are draining or removed.
    pub endpoint: Option<SocketAddr>,
    /// The name of the zone.
    pub zone: String,
    /// The service that it belongs to; empty if not given.
    pub model: String,
    /// The cell.
    pub cell: u32,
    /// Whether it accepts new work.
    pub state: State,
    /// Capacity relative to other servers.
    pub weight: f64,
    /// When the process started, in milliseconds of Unix time; 0 for long ago.
    pub boot_ms: u64,
}

#[derive(Deserialize)]
struct RawListing<'a> {
    #[serde(default)]
    rev: u64,
    #[serde(default)]
    all: bool,
    #[serde(borrow, deserialize_with = "bounded_targets")]
    targets: Vec<&'a RawValue>,
}

/// Maximum number of entries of a message. Tiny invalid ones would otherwise take over twenty times the memory of the
/// message, and seconds to report.
pub const MAX_ENTRIES: usize = 1 << 16;

fn bounded_targets<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<&'de RawValue>, D::Error> {
    deserializer.deserialize_seq(BoundedTargets)
}

/// Collects the entries of a message up to the limit.
struct BoundedTargets;

impl<'de> Visitor<'de> for BoundedTargets {
    type Value = Vec<&'de RawValue>;

    fn expecting(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "a list of up to {MAX_ENTRIES} targets")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut targets: A) -> Result<Self::Value, A::Error> {
        let mut collected = Vec::new();
        while let Some(target) = targets.next_element()? {
            if collected.len() == MAX_ENTRIES {
                return Err(A::Error::invalid_length(MAX_ENTRIES + 1, &self));
            }
            collected.push(target);
        }
        Ok(collected)
    }
}

#[derive(Deserialize, Serialize)]
struct RawEntry {
    uid: String,
    #[serde(default)]
    endpoint: String,
    #[serde(default)]
    az: String,
    #[serde(default)]
    model: String,
    #[serde(default)]
    pod_group: u32,
    state: String,
    #[serde(default)]
    capacity_hint: Option<f64>,
    #[serde(default)]
    boot_ms: f64,
}

/// The fields that must be readable for a drain or removal to take effect.
#[derive(Deserialize)]
struct Departure {
    uid: String,
    state: String,
}

impl Listing {
    /// Decodes a message of a watch. An invalid entry is skipped and does not affect the others. If its name and a
    /// state other than `up` are readable, the state still applies: a drain must not be lost to an invalid port.
    ///
    /// # Errors
    ///
    /// The message is not a JSON object with a list of up to [`MAX_ENTRIES`] targets.
    pub fn decode(line: &[u8]) -> Result<Listing> {
        let raw: RawListing<'_> = serde_json::from_slice(line)?;
        let mut listing = Listing { rev: raw.rev, whole: raw.all, ..Listing::default() };
        for raw in raw.targets {
            let decoded =
                serde_json::from_str(raw.get()).map_err(anyhow::Error::from).and_then(Entry::from_raw);
            match (decoded, serde_json::from_str::<Departure>(raw.get())) {
                (Ok(entry), _) => listing.entries.push(entry),
                (Err(error), Ok(Departure { uid, state })) if state != "up" => {
                    let reason = format!("server {uid}: only its state '{state}' can be read: {error:#}");
                    listing.decode_errors.push(reason);
                    listing.entries.push(Entry::leaving(uid, departure_state(&state)));
                }
                (Err(error), _) => listing.decode_errors.push(format!("invalid entry skipped: {error:#}")),
            }
        }
        Ok(listing)
    }

    /// Decodes a list from the configuration or a snapshot, where every invalid entry is an error.
    ///
    /// # Errors
    ///
    /// Names the invalid entry and the field at fault.
    pub fn from_value(value: Value) -> Result<Listing> {
        #[derive(Deserialize)]
        struct StrictListing {
            #[serde(default)]
            rev: u64,
            #[serde(default)]
            all: bool,
            targets: Vec<RawEntry>,
        }
        let StrictListing { rev, all, targets } = serde_json::from_value(value)?;
        let entries = targets.into_iter().map(Entry::from_raw).collect::<Result<_>>()?;
        Ok(Listing { rev, whole: all, entries, decode_errors: Vec::new() })
    }

    /// Encodes the list in the format of discovery.
    #[must_use]
    pub fn to_value(&self) -> Value {
        let targets: Vec<RawEntry> = self.entries.iter().map(Entry::to_raw).collect();
        serde_json::json!({"rev": self.rev, "all": self.whole, "targets": targets})
    }
}

/// The state for a value other than `up`. An unknown value counts as draining: no new work goes to a server that is
/// not known to accept it.
fn departure_state(state: &str) -> State {
    if state == "removed" { State::Removed } else { State::Draining }
}

impl Entry {
    /// A server of which only the name and a state other than ready are known.
    #[must_use]
    pub fn leaving(uid: String, state: State) -> Entry {
        Entry {
            uid,
            endpoint: None,
            zone: String::new(),
            model: String::new(),
            cell: 0,
            state,
            weight: 1.0,
            boot_ms: 0,
        }
    }

    fn from_raw(raw: RawEntry) -> Result<Entry> {
        let state = if raw.state == "up" { State::Ready } else { departure_state(&raw.state) };
        let endpoint = match raw.endpoint.parse() {
            Ok(address) => Some(address),
            Err(_) if state == State::Removed => None,
            Err(error) => {
                return Err(error)
                    .with_context(|| format!("server {}: endpoint '{}'", raw.uid, raw.endpoint));
            }
        };
        let weight = raw.capacity_hint.filter(|weight| weight.is_finite() && *weight > 0.0);
        Ok(Entry {
            uid: raw.uid,
            endpoint,
            zone: raw.az,
            model: raw.model,
            cell: raw.pod_group,
            state,
            weight: weight.unwrap_or(1.0),
            boot_ms: raw.boot_ms.max(0.0) as u64,
        })
    }

    fn to_raw(&self) -> RawEntry {
        let state = match self.state {
            State::Ready => "up",
            State::Draining => "draining",
            State::Removed => "removed",
        };
        RawEntry {
            uid: self.uid.clone(),
            endpoint: self.endpoint.map(|endpoint| endpoint.to_string()).unwrap_or_default(),
            az: self.zone.clone(),
            model: self.model.clone(),
            pod_group: self.cell,
            state: state.to_owned(),
            capacity_hint: Some(self.weight),
            boot_ms: self.boot_ms as f64,
        }
    }
}
