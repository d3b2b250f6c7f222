//! Validates a parsed file against the settings. Reports every fault at its position in the text, including values that
//! are legal by themselves and unsafe together with an inherited one.

mod options;
mod pools;
mod routes;

use crate::fault::{Fault, Faults, Severity};
use crate::file::LimitsFile;
use crate::fleet;
use crate::reader::read;
use crate::routes::RuleSet;
use dunlincleat_settings::InstanceSettings;

/// The result of [`check`].
#[derive(Clone, Debug)]
pub struct Checked {
    /// All faults, in the order of their positions.
    pub faults: Vec<Fault>,
    /// The rules of the file; `None` if a fault is an error.
    pub rules: Option<RuleSet>,
}

/// Parses and validates a file.
#[must_use]
pub fn check(text: &str, instance: &InstanceSettings) -> Checked {
    let mut faults = Faults::new(text);
    let file = read(text, &mut faults);
    pools::check(&file, Some(instance), &mut faults);
    routes::check_order(&file, &mut faults);
    routes::check(&file, instance, &mut faults);
    let fleet = fleet::validate(&file, Some(instance), &mut faults);
    let faults = faults.into_sorted();
    let is_rejected = faults.iter().any(|fault| fault.severity == Severity::Error);
    let rules = (!is_rejected).then(|| RuleSet::new(text, &file, instance, fleet));
    Checked { faults, rules }
}

/// Validates what needs no settings: syntax, names, pools and unreachable routes.
#[must_use]
pub fn check_without_settings(text: &str) -> Vec<Fault> {
    let mut faults = Faults::new(text);
    let file = read(text, &mut faults);
    pools::check(&file, None, &mut faults);
    routes::check_order(&file, &mut faults);
    fleet::validate(&file, None, &mut faults);
    faults.into_sorted()
}

/// The pools of a file, as an accepted value for a message.
fn known_pools(file: &LimitsFile) -> String {
    let names: Vec<&str> = file.pools.iter().map(|pool| pool.name.value.as_str()).collect();
    if names.is_empty() { "add a [[pool]]".to_owned() } else { format!("one of {}", names.join(", ")) }
}
