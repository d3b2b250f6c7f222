//! Parses the settings object of an instance into the settings of the decision module, and into the names and limits
//! that only its host needs. Unknown keys are ignored. Both hosts use this parser.

#![forbid(unsafe_code)]

mod class_lease;
mod class_numbering;
mod convert;
mod missing_key;
mod raw;

pub use class_lease::ClassLease;
pub use class_numbering::{Transition, transition};
pub use missing_key::first_missing_key;

use anyhow::{Context, Result, anyhow};
use class_lease::ClassLeases;
use dunlincleat::api::{Settings, Span};

/// The settings of one instance: those of the decision module, and what only its host needs.
#[derive(Clone, Debug)]
pub struct InstanceSettings {
    /// The settings of the decision module.
    pub settings: Settings,
    /// The names of the classes, indexed by class number.
    pub classes: Vec<String>,
    /// The names of the tenants, indexed by tenant number.
    pub tenants: Vec<String>,
    /// The names of the zones, indexed by zone number.
    pub zones: Vec<String>,
    /// The names of the fields of a load report, in order.
    pub fields: Vec<String>,
    /// The longest time for which a server keeps an idle connection, if stated.
    pub conn_idle: Option<Span>,
    /// The number of requests that the instance may have in progress, if limited.
    pub max_open: Option<u64>,
    /// The grace period of a drain, if stated. No new attempt is sent to a draining server, whatever is left of the
    /// period; hosts derive the timers of the discovery watch from it.
    pub drain_grace: Option<Span>,
    /// The leases of the classes, indexed by class number.
    class_leases: Vec<ClassLeases>,
}

impl InstanceSettings {
    /// Issues a lease of the class with this number, if there is one.
    #[must_use]
    pub fn lease_class(&self, number: usize) -> Option<ClassLease> {
        let leases = self.class_leases.get(number)?;
        Some(leases.issue(u32::try_from(number).ok()?))
    }
}

/// Parses the settings of one instance from JSON text.
///
/// # Errors
///
/// The text is not JSON, or a value is missing or invalid; the message names the key.
pub fn read(text: &str) -> Result<InstanceSettings> {
    read_value(serde_json::from_str(text).context("settings")?)
}

/// Parses the settings of one instance from a JSON value, such as a part of a larger object.
///
/// # Errors
///
/// A value is missing or invalid; the message names the key.
pub fn read_value(value: serde_json::Value) -> Result<InstanceSettings> {
    let raw = serde_path_to_error::deserialize(value).map_err(|error| anyhow!("settings: {error}"))?;
    convert::instance_settings(raw)
}

/// Hashes a name to a number that is the same in every instance (FNV-1a).
pub fn global_id(name: &str) -> u64 {
    const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0100_0000_01b3;
    name.bytes().fold(OFFSET_BASIS, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(PRIME))
}

#[cfg(test)]
mod tests;
