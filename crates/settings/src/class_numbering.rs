//! Applies new settings to a running process: assigns stable numbers to the classes and keeps the values that can't
//! change without a restart. No I/O, no clock.

use crate::InstanceSettings;
use crate::class_lease::ClassLeases;
use dunlincleat::api::Class;

/// The result of [`transition`].
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
    leases: ClassLeases,
}

/// Combines the settings in force, `old`, with those that replace them, `new`. A class keeps its number over all
/// settings that contain it unchanged. The number of a retired class is given to another one only when no request holds
/// a lease of it. Settings that are read only at start-up (reports, discovery, zones) keep their old values, and their
/// keys are returned if `new` has other values.
#[must_use]
pub fn transition(old: &InstanceSettings, mut new: InstanceSettings) -> Transition {
    let mut classes = named_classes(old);
    let requested = named_classes(&new);
    // Before any class is retired here: the decision module is told that a class is retired before another one gets its
    // number.
    let mut free_numbers = free_numbers(&classes).into_iter();
    retire_missing(&mut classes, &requested);
    for class in requested {
        let in_use = classes.iter().any(|other| other.name == class.name && !other.class.retired);
        if in_use {
            continue;
        }
        match free_numbers.next() {
            Some(number) => classes[number] = class,
            None => classes.push(class),
        }
    }
    new.class_leases = classes.iter().map(|named| named.leases.clone()).collect();
    (new.classes, new.settings.classes) = classes.into_iter().map(|named| (named.name, named.class)).unzip();
    let restart_only = keep_start_up_settings(old, &mut new);
    Transition { instance: new, restart_only }
}

/// The numbers of the retired classes that no request refers to any more.
fn free_numbers(classes: &[NamedClass]) -> Vec<usize> {
    let numbered = classes.iter().enumerate();
    let free = numbered.filter(|(_, named)| named.class.retired && !named.leases.any_held());
    free.map(|(number, _)| number).collect()
}

/// Retires the classes that were removed or changed.
fn retire_missing(classes: &mut [NamedClass], requested: &[NamedClass]) {
    for current in classes {
        let stays = requested.iter().any(|other| other.name == current.name && other.class == current.class);
        if !stays && !current.class.retired {
            // Without a name, no path selects the class any more.
            current.name.clear();
            current.class.retired = true;
        }
    }
}

fn named_classes(instance: &InstanceSettings) -> Vec<NamedClass> {
    let names = instance.classes.iter().cloned();
    let classes = instance.settings.classes.iter().cloned();
    let leases = instance.class_leases.iter().cloned();
    names.zip(classes).zip(leases).map(|((name, class), leases)| NamedClass { name, class, leases }).collect()
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
