//! Stage: a line of discovery's to a typed list. Each message is decoded here once; nothing here is kept.

use anyhow::{Context, Result};
use dunlincleat::api::State;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use serde_json::value::RawValue;
use std::net::SocketAddr;

/// A list of servers, or changes to one.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Listing {
    /// Its version.
    pub rev: u64,
    /// It is the whole list.
    pub whole: bool,
    /// Its entries, in order.
    pub entries: Vec<Entry>,
    /// Why entries were passed over, for the log.
    pub passed_over: Vec<String>,
}

/// A server of a list.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// Its name, the same at every sidecar.
    pub uid: String,
    /// Where it is reached; servers that leave may do without.
    pub endpoint: Option<SocketAddr>,
    /// The name of its zone.
    pub zone: String,
    /// The name of its model, empty where none was told.
    pub model: String,
    /// Its cell.
    pub cell: u32,
    /// Whether it takes new work.
    pub state: State,
    /// Its size against that of others.
    pub weight: f64,
    /// When it last started, in milliseconds of Unix time; 0 for long ago.
    pub boot_ms: u64,
}

#[derive(Deserialize)]
struct RawListing<'a> {
    #[serde(default)]
    rev: u64,
    #[serde(default)]
    all: bool,
    #[serde(borrow)]
    targets: Vec<&'a RawValue>,
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

/// What must be readable for a server that leaves to be left alone.
#[derive(Deserialize)]
struct Leaving {
    uid: String,
    state: String,
}

impl Listing {
    /// Reads a line of a watch. An entry that can't be read is passed over, so that it keeps no other back; where
    /// its name and a state other than `up` can be read, that much counts: a drain must not be lost to a bad port.
    ///
    /// # Errors
    ///
    /// The line is no JSON object with a list of targets.
    pub fn decode(line: &[u8]) -> Result<Listing> {
        let raw: RawListing<'_> = serde_json::from_slice(line)?;
        let mut listing = Listing { rev: raw.rev, whole: raw.all, ..Listing::default() };
        for raw in raw.targets {
            let read = serde_json::from_str(raw.get()).map_err(anyhow::Error::from).and_then(Entry::from_raw);
            match (read, serde_json::from_str::<Leaving>(raw.get())) {
                (Ok(entry), _) => listing.entries.push(entry),
                (Err(error), Ok(Leaving { uid, state })) if state != "up" => {
                    let what = format!("server {uid}: only its state '{state}' can be read: {error:#}");
                    listing.passed_over.push(what);
                    listing.entries.push(Entry::leaving(uid, leaving_state(&state)));
                }
                (Err(error), _) => listing.passed_over.push(format!("entry passed over: {error:#}")),
            }
        }
        Ok(listing)
    }

    /// Reads the list in the configuration, where each fault is one to be told.
    ///
    /// # Errors
    ///
    /// Names the entry and what can't be read of it.
    pub fn from_value(value: Value) -> Result<Listing> {
        #[derive(Deserialize)]
        struct Strict {
            #[serde(default)]
            rev: u64,
            #[serde(default)]
            all: bool,
            targets: Vec<RawEntry>,
        }
        let Strict { rev, all, targets } = serde_json::from_value(value)?;
        let entries = targets.into_iter().map(Entry::from_raw).collect::<Result<_>>()?;
        Ok(Listing { rev, whole: all, entries, passed_over: Vec::new() })
    }

    /// The whole list in discovery's form.
    #[must_use]
    pub fn to_value(&self) -> Value {
        let targets: Vec<RawEntry> = self.entries.iter().map(Entry::to_raw).collect();
        serde_json::json!({"rev": self.rev, "all": self.whole, "targets": targets})
    }
}

/// Nothing new is sent to a server of which it is not known that it wants any: an unknown state is a drain.
fn leaving_state(state: &str) -> State {
    if state == "removed" { State::Removed } else { State::Draining }
}

impl Entry {
    /// One of which nothing is known but that it leaves.
    #[must_use]
    pub fn leaving(uid: String, state: State) -> Entry {
        let (zone, model) = (String::new(), String::new());
        Entry { uid, endpoint: None, zone, model, cell: 0, state, weight: 1.0, boot_ms: 0 }
    }

    fn from_raw(raw: RawEntry) -> Result<Entry> {
        let state = if raw.state == "up" { State::Ready } else { leaving_state(&raw.state) };
        let endpoint = match raw.endpoint.parse() {
            Ok(address) => Some(address),
            Err(_) if state == State::Removed => None,
            Err(error) => {
                return Err(error)
                    .with_context(|| format!("server {}: endpoint '{}'", raw.uid, raw.endpoint));
            }
        };
        Ok(Entry {
            uid: raw.uid,
            endpoint,
            zone: raw.az,
            model: raw.model,
            cell: raw.pod_group,
            state,
            weight: raw.capacity_hint.filter(|w| w.is_finite() && *w > 0.0).unwrap_or(1.0),
            boot_ms: raw.boot_ms.max(0.0) as u64,
        })
    }

    fn to_raw(&self) -> RawEntry {
        RawEntry {
            uid: self.uid.clone(),
            endpoint: self.endpoint.map(|e| e.to_string()).unwrap_or_default(),
            az: self.zone.clone(),
            model: self.model.clone(),
            pod_group: self.cell,
            state: match self.state {
                State::Ready => "up",
                State::Draining => "draining",
                State::Removed => "removed",
            }
            .to_owned(),
            capacity_hint: Some(self.weight),
            boot_ms: self.boot_ms as f64,
        }
    }
}
