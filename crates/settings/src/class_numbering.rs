//! Applies new settings to a running process: assigns stable numbers to the classes and keeps the values that can't
//! change without a restart. No I/O, no clock.

use crate::InstanceSettings;
use dunlincleat::api::{Class, Span, Time};
use serde_json::Value;

/// How long after a class is removed the HTTP front may still submit a request of it.
const HANDED_IN: Span = Span(10_000_000);

/// Assigns numbers to classes over all settings that a process has had. A request in progress refers to its class by
/// number, so a number is reused only when no request can refer to it any more.
#[derive(Clone, Debug, Default)]
pub struct ClassNumbering {
    /// When each number was retired; `None` while it is in use.
    retired: Vec<Option<Time>>,
}

/// The result of [`ClassNumbering::apply`].
#[derive(Clone, Debug)]
pub struct Transition {
    /// The settings to use from now on.
    pub instance: InstanceSettings,
    /// The keys of changed settings that take effect only after a restart.
    pub restart_only: Vec<&'static str>,
}

impl ClassNumbering {
    /// Combines the settings in force, `old`, with those that replace them from `now` on, `new`. Classes of `new` get
    /// their permanent numbers. Settings that are read only at start-up (reports, discovery, zones) keep their old
    /// values, and their keys are returned if `new` has other values.
    pub fn apply(&mut self, now: Time, old: &InstanceSettings, mut new: InstanceSettings) -> Transition {
        let (mut names, mut classes) = (old.classes.clone(), old.settings.classes.clone());
        self.retired.resize(classes.len(), None);
        let told: Vec<(String, Class)> = new.classes.drain(..).zip(new.settings.classes.drain(..)).collect();
        for n in 0..classes.len() {
            let stays = told.iter().any(|(name, class)| *name == names[n] && *class == classes[n]);
            if !stays && !classes[n].retired {
                // Without a name, no path selects the class any more.
                names[n].clear();
                classes[n].retired = true;
                self.retired[n] = Some(now);
            }
        }
        for (name, class) in told {
            if names.iter().zip(&classes).any(|(other, held)| *other == name && !held.retired) {
                continue;
            }
            let over = |n: &usize| {
                let held = Span(classes[*n].deadline.0.saturating_add(HANDED_IN.0));
                self.retired[*n].is_some_and(|at| now - at > held)
            };
            let n = (0..classes.len()).find(over).unwrap_or(classes.len());
            if n == classes.len() {
                names.push(name);
                classes.push(class);
                self.retired.push(None);
            } else {
                (names[n], classes[n], self.retired[n]) = (name, class, None);
            }
        }
        (new.classes, new.settings.classes) = (names, classes);
        let mut restart_only = Vec::new();
        let (was, is) = (&old.settings, &mut new.settings);
        if new.fields != old.fields || is.reports != was.reports {
            restart_only.push("settings.stats");
        }
        if is.discovery != was.discovery {
            restart_only.push("settings.discovery");
        }
        if new.zones != old.zones || is.zone != was.zone {
            restart_only.push("settings.zones, settings.locality");
        }
        (is.reports, is.fields, is.discovery, is.zone) =
            (was.reports, was.fields.clone(), was.discovery, was.zone);
        (new.fields, new.zones) = (old.fields.clone(), old.zones.clone());
        Transition { instance: new, restart_only }
    }
}

/// Finds the first key of `old` that is missing from `new`, as a path such as `a.b[1].c`. Each object in a list of `new`
/// is compared with the first object in that list of `old`.
#[must_use]
pub fn first_missing_key(old: &Value, new: &Value) -> Option<String> {
    fn joined(at: &str, rest: String) -> String {
        if rest.is_empty() || rest.starts_with('[') { format!("{at}{rest}") } else { format!("{at}.{rest}") }
    }
    match (old, new) {
        (Value::Object(old), Value::Object(new)) => old.iter().find_map(|(key, was)| match new.get(key) {
            None => Some(key.clone()),
            Some(Value::Null) if !was.is_null() => Some(key.clone()),
            Some(is) => first_missing_key(was, is).map(|rest| joined(key, rest)),
        }),
        (Value::Array(old), Value::Array(new)) => {
            let first = old.first().filter(|first| first.is_object())?;
            new.iter()
                .enumerate()
                .find_map(|(n, is)| Some(joined(&format!("[{n}]"), first_missing_key(first, is)?)))
        }
        _ => None,
    }
}

#[cfg(test)]
mod tests;
