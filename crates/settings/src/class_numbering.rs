//! Applies new settings to a running process: assigns stable numbers to the classes and keeps the values that can't
//! change without a restart. No I/O, no clock.

use crate::InstanceSettings;
use dunlincleat::api::{Class, Span, Time};

/// How long after a class is removed the HTTP front may still submit a request of it.
const LATE_SUBMISSION: Span = Span(10_000_000);

/// Assigns numbers to classes over all settings that a process has had. A request in progress refers to its class by
/// number, so a number is reused only when no request can refer to it any more.
#[derive(Clone, Debug, Default)]
pub struct ClassNumbering {
    /// When each number was retired; `None` while it is in use.
    retired_at: Vec<Option<Time>>,
}

/// The result of [`ClassNumbering::apply`].
#[derive(Clone, Debug)]
pub struct Transition {
    /// The settings to use from now on.
    pub instance: InstanceSettings,
    /// The keys of changed settings that take effect only after a restart.
    pub restart_only: Vec<&'static str>,
}

struct NamedClass {
    name: String,
    class: Class,
}

impl ClassNumbering {
    /// Combines the settings in force, `old`, with those that replace them from `now` on, `new`. Classes of `new` get
    /// their permanent numbers. Settings that are read only at start-up (reports, discovery, zones) keep their old
    /// values, and their keys are returned if `new` has other values.
    pub fn apply(&mut self, now: Time, old: &InstanceSettings, mut new: InstanceSettings) -> Transition {
        let mut classes = named_classes(old);
        let requested = named_classes(&new);
        self.retired_at.resize(classes.len(), None);
        self.retire_missing(now, &mut classes, &requested);
        for class in requested {
            self.add(now, &mut classes, class);
        }
        (new.classes, new.settings.classes) =
            classes.into_iter().map(|named| (named.name, named.class)).unzip();
        let restart_only = keep_start_up_settings(old, &mut new);
        Transition { instance: new, restart_only }
    }

    /// Retires the classes that were removed or changed.
    fn retire_missing(&mut self, now: Time, classes: &mut [NamedClass], requested: &[NamedClass]) {
        for (current, retired_at) in classes.iter_mut().zip(&mut self.retired_at) {
            let stays =
                requested.iter().any(|other| other.name == current.name && other.class == current.class);
            if !stays && !current.class.retired {
                // Without a name, no path selects the class any more.
                current.name.clear();
                current.class.retired = true;
                *retired_at = Some(now);
            }
        }
    }

    /// Gives a class that is not in use yet the first number that is free, or the next one.
    fn add(&mut self, now: Time, classes: &mut Vec<NamedClass>, class: NamedClass) {
        if classes.iter().any(|other| other.name == class.name && !other.class.retired) {
            return;
        }
        match (0..classes.len()).find(|n| self.is_free(now, *n, &classes[*n].class)) {
            Some(n) => {
                classes[n] = class;
                self.retired_at[n] = None;
            }
            None => {
                classes.push(class);
                self.retired_at.push(None);
            }
        }
    }

    /// Whether no request can refer to a retired class any more.
    fn is_free(&self, now: Time, number: usize, class: &Class) -> bool {
        let longest_use = class.deadline + LATE_SUBMISSION;
        self.retired_at[number].is_some_and(|retired_at| now - retired_at > longest_use)
    }
}

fn named_classes(instance: &InstanceSettings) -> Vec<NamedClass> {
    let names = instance.classes.iter().cloned();
    let classes = instance.settings.classes.iter().cloned();
    names.zip(classes).map(|(name, class)| NamedClass { name, class }).collect()
}

/// Replaces the settings that are read only at start-up by the old ones. Returns the keys of those that differ.
fn keep_start_up_settings(old: &InstanceSettings, new: &mut InstanceSettings) -> Vec<&'static str> {
    let mut changed = Vec::new();
    if new.fields != old.fields || new.settings.reports != old.settings.reports {
        changed.push("settings.stats");
    }
    if new.settings.discovery != old.settings.discovery {
        changed.push("settings.discovery");
    }
    if new.zones != old.zones || new.settings.zone != old.settings.zone {
        changed.push("settings.zones, settings.locality");
    }
    new.fields = old.fields.clone();
    new.zones = old.zones.clone();
    new.settings.reports = old.settings.reports;
    new.settings.fields = old.settings.fields.clone();
    new.settings.discovery = old.settings.discovery;
    new.settings.zone = old.settings.zone;
    changed
}

#[cfg(test)]
mod tests;
