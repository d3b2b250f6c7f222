//! Validates the pools of a file.

use super::known_pools;
use crate::codes::Code;
use crate::fault::Faults;
use crate::file::{LimitsFile, Located, PoolSection};
use crate::names::check_unique;
use dunlincleat_settings::InstanceSettings;

pub(super) fn check(file: &LimitsFile, instance: Option<&InstanceSettings>, faults: &mut Faults<'_>) {
    for (n, pool) in file.pools.iter().enumerate() {
        let earlier = file.pools[..n].iter().map(|other| &other.name);
        check_unique("pool", &pool.name, earlier, faults);
        if let Some(instance) = instance {
            check_zones(pool, &instance.zones, faults);
        }
        check_selectors(pool, faults);
        check_fall_back(pool, file, faults);
    }
}

fn check_zones(pool: &PoolSection, known: &[String], faults: &mut Faults<'_>) {
    let Some(zones) = &pool.zones else { return };
    for zone in zones.value.iter().filter(|zone| !known.contains(zone)) {
        let reason = format!("the settings have no zone '{zone}'");
        faults.error(Code::UnknownZone, zones, reason, format!("one of {}", known.join(", ")));
    }
}

fn check_selectors(pool: &PoolSection, faults: &mut Faults<'_>) {
    check_not_empty(pool.zones.as_ref(), faults);
    check_not_empty(pool.models.as_ref(), faults);
    check_not_empty(pool.cells.as_ref(), faults);
    if let Some(weight) = &pool.weight
        && weight.value.least > weight.value.most
    {
        let reason = format!("least, {}, is greater than most, {}", weight.value.least, weight.value.most);
        faults.error(Code::EmptyPool, weight, reason, "least at most as large as most");
    }
}

fn check_not_empty<T>(list: Option<&Located<Vec<T>>>, faults: &mut Faults<'_>) {
    if let Some(list) = list.filter(|list| list.value.is_empty()) {
        faults.error(Code::EmptyPool, list, "the list is empty", "omit the key to select all");
    }
}

fn check_fall_back(pool: &PoolSection, file: &LimitsFile, faults: &mut Faults<'_>) {
    let own_name = pool.name.value.as_str();
    let mut seen = vec![own_name];
    if let Some(fall_back) = &pool.fall_back {
        for name in &fall_back.value {
            if !file.pools.iter().any(|other| other.name.value == *name) {
                let reason = format!("the file has no pool '{name}'");
                faults.error(Code::UnknownPool, fall_back, reason, known_pools(file));
            } else if seen.contains(&name.as_str()) {
                let reason = if name == own_name {
                    format!("'{name}' is the pool itself")
                } else {
                    format!("'{name}' is listed twice")
                };
                faults.error(Code::FallBackCycle, fall_back, reason, "each other pool at most once");
            }
            seen.push(name);
        }
    }
    let has_fall_back = pool.fall_back.as_ref().is_some_and(|names| !names.value.is_empty());
    if let Some(least_healthy) = &pool.least_healthy
        && !has_fall_back
    {
        let reason = "the pool has no pool to fall back to";
        faults.warn(Code::UnusedLeastHealthy, least_healthy, reason, "list pools in fall_back");
    }
}
