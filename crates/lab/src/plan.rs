//! The plan of a fleet: the operators' requirements, and assumptions with a reason each. Reads and validates the file; an
//! invalid value is reported with its line, key and permitted range.

use anyhow::{Context, Result, anyhow};
use dunlincleat_fleet::template::{line_at, line_of};
use serde::Deserialize;
use std::path::Path;

/// A plan of a fleet.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// Version of the file format: 1.
    pub version: u32,
    /// Name of the fleet.
    pub name: String,
    /// Requirements stated by the operators.
    pub told: Requirements,
    /// Assumptions beside the requirements.
    pub assumed: Assumed,
}

/// Requirements stated by the operators.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Requirements {
    /// Number of endpoints, each with a sidecar.
    pub endpoints: u32,
    /// Number of services.
    pub services: u32,
    /// Calls per second of all sidecars together.
    pub calls_a_second: f64,
    /// Largest number of calls in a chain.
    pub depth: u32,
    /// Number of regions.
    pub regions: u32,
    /// Number of zones; whether in total or in each region is an assumption.
    pub zones: u32,
    /// Configuration changes per day.
    pub changes_a_day: f64,
    /// Number of machines reserved for control.
    pub control_machines: u32,
    /// Required limits.
    pub limits: Limits,
    /// Expected failures.
    pub failures: Failures,
}

/// Required limits.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Limits {
    /// 99th percentile of the latency added to a call, in milliseconds.
    pub added_ms: f64,
    /// Time until a change is in force everywhere, in seconds.
    pub in_force_s: f64,
    /// A sidecar's processor time for control, as a fraction of one core.
    pub cpu_part_of_core: f64,
    /// A sidecar's memory for control, in bytes.
    pub memory_bytes: f64,
    /// A sidecar's bytes per second for control.
    pub bytes_a_second: f64,
}

/// Expected failures.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Failures {
    /// Machines lost on an ordinary day.
    pub machines_a_day: f64,
    /// Machines restarted or replaced on an ordinary day.
    pub restarts_a_day: f64,
    /// Racks or switches lost in a year.
    pub racks_a_year: f64,
    /// Zones lost in a year.
    pub zones_a_year: f64,
    /// Duration of a loss of connection between regions, in seconds.
    pub region_cut_s: f64,
}

/// An assumed value and its reason.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Assumption<T> {
    /// The value.
    pub is: T,
    /// The reason.
    pub why: String,
}

/// A depth of call chains and the share of chains with it.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Depth {
    /// Number of calls in the chain.
    pub depth: u32,
    /// Share of the chains.
    pub share: f64,
}

/// A group of services of similar size: its share of the services and of the endpoints.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SizeGroup {
    /// Share of the services.
    pub services: f64,
    /// Share of the endpoints.
    pub endpoints: f64,
}

/// Number of services, including the hub, that a share of the sidecars calls.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServicesCalled {
    /// Number of services.
    pub services: u32,
    /// Share of the sidecars.
    pub share: f64,
}

/// Assumptions; each key has its reason in the file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
#[allow(missing_docs, reason = "each key is documented in the plan's file, beside its value")]
pub struct Assumed {
    pub zones_in_each_region: Assumption<bool>,
    pub endpoints_a_machine: Assumption<u32>,
    pub machines_a_rack: Assumption<u32>,
    pub peak_over_mean: Assumption<f64>,
    pub depths: Assumption<Vec<Depth>>,
    pub hub_endpoints: Assumption<u32>,
    pub largest_endpoints: Assumption<u32>,
    pub service_sizes: Assumption<Vec<SizeGroup>>,
    pub services_called: Assumption<Vec<ServicesCalled>>,
    pub list_changes_counted: Assumption<bool>,
    pub settings_of_all_a_day: Assumption<f64>,
    pub peak_server_comes: Assumption<f64>,
    pub peak_server_drains: Assumption<f64>,
    pub peak_server_goes: Assumption<f64>,
    pub peak_settings_of_one: Assumption<f64>,
    pub peak_settings_of_a_service: Assumption<f64>,
    pub peak_settings_of_all: Assumption<f64>,
    pub bytes_server_comes: Assumption<f64>,
    pub bytes_server_drains: Assumption<f64>,
    pub bytes_server_goes: Assumption<f64>,
    pub bytes_entry: Assumption<f64>,
    pub bytes_settings_of_one: Assumption<f64>,
    pub bytes_settings_of_all: Assumption<f64>,
    pub heartbeats_a_second: Assumption<f64>,
    pub bytes_heartbeat: Assumption<f64>,
    pub windows_a_second: Assumption<f64>,
    pub probe_rounds_a_second: Assumption<f64>,
    pub reconnect_spread_s: Assumption<f64>,
    pub control_cores: Assumption<u32>,
    pub control_memory_bytes: Assumption<f64>,
    pub control_bytes_a_second: Assumption<f64>,
    pub control_descriptors: Assumption<u32>,
    pub sidecar_descriptors: Assumption<u32>,
}

/// A kind of change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// A server joins the list.
    ServerComes,
    /// A server drains.
    ServerDrains,
    /// A server leaves the list.
    ServerGoes,
    /// New settings of one service.
    SettingsOfOne,
    /// New settings of all services.
    SettingsOfAll,
}

impl Change {
    /// All kinds of change.
    pub const ALL: [Change; 5] = [
        Change::ServerComes,
        Change::ServerDrains,
        Change::ServerGoes,
        Change::SettingsOfOne,
        Change::SettingsOfAll,
    ];

    /// Name on the capacity page.
    pub fn name(self) -> &'static str {
        match self {
            Change::ServerComes => "a server comes",
            Change::ServerDrains => "a server drains",
            Change::ServerGoes => "a server goes",
            Change::SettingsOfOne => "settings of one service",
            Change::SettingsOfAll => "settings of all",
        }
    }

    /// Whether the change is one of discovery's list.
    pub fn is_of_list(self) -> bool {
        !matches!(self, Change::SettingsOfOne | Change::SettingsOfAll)
    }
}

/// Frequency and size of a kind of change.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rate {
    /// Changes per second, mean over a day.
    pub mean: f64,
    /// Changes per second, peak of an ordinary day.
    pub peak: f64,
    /// Bytes of one change on the wire.
    pub bytes: f64,
}

/// A service of the plan.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Service {
    /// Name, as in `model` of discovery's list.
    pub name: String,
    /// Number of endpoints.
    pub endpoints: u32,
}

/// Seconds per day.
const DAY_S: f64 = 86_400.0;

/// An invalid value: its key, and the value with what is permitted.
struct InvalidValue {
    key: String,
    problem: String,
}

impl InvalidValue {
    fn new(key: impl Into<String>, problem: impl Into<String>) -> InvalidValue {
        InvalidValue { key: key.into(), problem: problem.into() }
    }
}

fn check_range(key: &str, value: f64, least: f64, most: f64) -> Result<(), InvalidValue> {
    if value.is_finite() && (least..=most).contains(&value) {
        return Ok(());
    }
    Err(InvalidValue::new(key, format!("{value} is not from {least} to {most}")))
}

/// Checks that shares are from 0 to 1 and sum to 1.
fn check_shares(key: &str, parts: impl Iterator<Item = f64> + Clone) -> Result<(), InvalidValue> {
    for (n, part) in parts.clone().enumerate() {
        check_range(&format!("{key}[{n}]"), part, 0.0, 1.0)?;
    }
    let sum: f64 = parts.sum();
    if (sum - 1.0).abs() > 1e-6 {
        return Err(InvalidValue::new(key, format!("the parts come to {sum:.6}, not to 1")));
    }
    Ok(())
}

/// Apportions `whole` items by `parts` with the largest remainder method; each part gets at least its `least`.
fn apportion(whole: u32, parts: &[f64], least: &[u32]) -> Vec<u32> {
    let remaining = whole.saturating_sub(least.iter().sum());
    let exact: Vec<f64> = parts.iter().map(|part| part * f64::from(whole)).collect();
    // The excess of each part over its minimum, scaled to the remaining items.
    let over: Vec<f64> = exact.iter().zip(least).map(|(e, l)| (e - f64::from(*l)).max(0.0)).collect();
    let sum = over.iter().sum::<f64>().max(f64::MIN_POSITIVE);
    let quotas: Vec<f64> = over.iter().map(|over| over / sum * f64::from(remaining)).collect();
    let mut out: Vec<u32> = quotas.iter().zip(least).map(|(w, l)| w.floor() as u32 + l).collect();
    let mut order: Vec<usize> = (0..parts.len()).collect();
    order.sort_by(|a, b| quotas[*b].fract().total_cmp(&quotas[*a].fract()).then(a.cmp(b)));
    let left = whole.saturating_sub(out.iter().sum()) as usize;
    order.into_iter().cycle().take(if parts.is_empty() { 0 } else { left }).for_each(|n| out[n] += 1);
    out
}

impl Plan {
    /// Reads and validates a plan's file.
    ///
    /// # Errors
    ///
    /// The file cannot be read or a value is invalid: file, line, key, value and the permitted range.
    pub fn read(path: &Path) -> Result<Plan> {
        let shown = path.display().to_string();
        let text = std::fs::read_to_string(path).with_context(|| shown.clone())?;
        let plan: Plan = toml::from_str(&text).with_context(|| shown.clone())?;
        plan.check().map_err(|InvalidValue { key, problem }| {
            let line = line_of(&text, &key).unwrap_or_else(|| line_at(&text, 0));
            anyhow!("{shown}: line {line}: {key}: {problem}")
        })?;
        Ok(plan)
    }

    fn check(&self) -> Result<(), InvalidValue> {
        let (told, own) = (&self.told, &self.assumed);
        if self.version != 1 {
            return Err(InvalidValue::new("version", format!("{} is not 1", self.version)));
        }
        check_range("told.endpoints", told.endpoints.into(), 10.0, 1e6)?;
        check_range("told.services", told.services.into(), 3.0, told.endpoints.into())?;
        check_range("told.calls_a_second", told.calls_a_second, 1.0, 1e9)?;
        check_range("told.depth", told.depth.into(), 1.0, 100.0)?;
        check_range("told.regions", told.regions.into(), 1.0, 100.0)?;
        check_range("told.zones", told.zones.into(), 1.0, told.endpoints.into())?;
        check_range("told.control_machines", told.control_machines.into(), 2.0, 1000.0)?;
        let limits = &told.limits;
        check_range("told.limits.added_ms", limits.added_ms, 0.01, 1000.0)?;
        check_range("told.limits.in_force_s", limits.in_force_s, 0.01, 3600.0)?;
        check_range("told.limits.cpu_part_of_core", limits.cpu_part_of_core, 1e-4, 64.0)?;
        check_range("told.limits.memory_bytes", limits.memory_bytes, 1e6, 1e12)?;
        check_range("told.limits.bytes_a_second", limits.bytes_a_second, 1.0, 1e10)?;
        let failures = &told.failures;
        check_range("told.failures.machines_a_day", failures.machines_a_day, 0.0, told.endpoints.into())?;
        check_range("told.failures.restarts_a_day", failures.restarts_a_day, 0.0, 1e6)?;
        check_range("told.failures.racks_a_year", failures.racks_a_year, 0.0, 1e4)?;
        check_range("told.failures.zones_a_year", failures.zones_a_year, 0.0, 1e3)?;
        check_range("told.failures.region_cut_s", failures.region_cut_s, 1.0, DAY_S)?;
        for (key, figure, least, most) in [
            ("endpoints_a_machine", f64::from(own.endpoints_a_machine.is), 1.0, 1000.0),
            ("machines_a_rack", f64::from(own.machines_a_rack.is), 1.0, 1000.0),
            ("peak_over_mean", own.peak_over_mean.is, 1.0, 100.0),
            ("settings_of_all_a_day", own.settings_of_all_a_day.is, 0.0, 1e5),
            ("peak_server_comes", own.peak_server_comes.is, 0.0, 1e4),
            ("peak_server_drains", own.peak_server_drains.is, 0.0, 1e4),
            ("peak_server_goes", own.peak_server_goes.is, 0.0, 1e4),
            ("peak_settings_of_one", own.peak_settings_of_one.is, 0.0, 1e4),
            ("peak_settings_of_a_service", own.peak_settings_of_a_service.is, 0.0, 1e3),
            ("peak_settings_of_all", own.peak_settings_of_all.is, 0.0, 1e3),
            ("bytes_server_comes", own.bytes_server_comes.is, 1.0, 65_536.0),
            ("bytes_server_drains", own.bytes_server_drains.is, 1.0, 65_536.0),
            ("bytes_server_goes", own.bytes_server_goes.is, 1.0, 65_536.0),
            ("bytes_entry", own.bytes_entry.is, 1.0, 65_536.0),
            ("bytes_settings_of_one", own.bytes_settings_of_one.is, 1.0, 4e6),
            ("bytes_settings_of_all", own.bytes_settings_of_all.is, 1.0, 4e6),
            ("heartbeats_a_second", own.heartbeats_a_second.is, 0.0, 100.0),
            ("bytes_heartbeat", own.bytes_heartbeat.is, 1.0, 65_536.0),
            ("windows_a_second", own.windows_a_second.is, 0.1, 1000.0),
            ("probe_rounds_a_second", own.probe_rounds_a_second.is, 0.0, 100.0),
            ("reconnect_spread_s", own.reconnect_spread_s.is, 0.01, 3600.0),
            ("control_cores", own.control_cores.is.into(), 1.0, 1024.0),
            ("control_memory_bytes", own.control_memory_bytes.is, 1e8, 1e13),
            ("control_bytes_a_second", own.control_bytes_a_second.is, 1e5, 1e11),
            ("control_descriptors", own.control_descriptors.is.into(), 64.0, 1e8),
            ("sidecar_descriptors", own.sidecar_descriptors.is.into(), 64.0, 1e7),
        ] {
            check_range(&format!("assumed.{key}.is"), figure, least, most)?;
        }
        let remaining = f64::from(told.endpoints) - f64::from(told.services - 2);
        check_range("assumed.hub_endpoints.is", own.hub_endpoints.is.into(), 1.0, remaining - 1.0)?;
        let remaining = remaining - f64::from(own.hub_endpoints.is);
        check_range("assumed.largest_endpoints.is", own.largest_endpoints.is.into(), 1.0, remaining)?;
        for (n, called) in own.services_called.is.iter().enumerate() {
            let key = format!("assumed.services_called.is[{n}]");
            check_range(&key, called.services.into(), 1.0, told.services.into())?;
        }
        for (n, depth) in own.depths.is.iter().enumerate() {
            check_range(&format!("assumed.depths.is[{n}]"), depth.depth.into(), 1.0, told.depth.into())?;
        }
        check_shares("assumed.depths.is", own.depths.is.iter().map(|depth| depth.share))?;
        check_shares("assumed.service_sizes.is", own.service_sizes.is.iter().map(|sizes| sizes.services))?;
        check_shares("assumed.service_sizes.is", own.service_sizes.is.iter().map(|sizes| sizes.endpoints))?;
        check_shares("assumed.services_called.is", own.services_called.is.iter().map(|called| called.share))?;
        let known = self.changes_of_list_a_day() + own.settings_of_all_a_day.is;
        let least = if own.list_changes_counted.is { known } else { own.settings_of_all_a_day.is };
        check_range("told.changes_a_day", told.changes_a_day, least, 1e7)?;
        self.check_reasons()
    }

    fn check_reasons(&self) -> Result<(), InvalidValue> {
        let own = &self.assumed;
        for (key, why) in [
            ("zones_in_each_region", &own.zones_in_each_region.why),
            ("endpoints_a_machine", &own.endpoints_a_machine.why),
            ("machines_a_rack", &own.machines_a_rack.why),
            ("peak_over_mean", &own.peak_over_mean.why),
            ("depths", &own.depths.why),
            ("hub_endpoints", &own.hub_endpoints.why),
            ("largest_endpoints", &own.largest_endpoints.why),
            ("service_sizes", &own.service_sizes.why),
            ("services_called", &own.services_called.why),
            ("list_changes_counted", &own.list_changes_counted.why),
            ("settings_of_all_a_day", &own.settings_of_all_a_day.why),
            ("peak_server_comes", &own.peak_server_comes.why),
            ("peak_server_drains", &own.peak_server_drains.why),
            ("peak_server_goes", &own.peak_server_goes.why),
            ("peak_settings_of_one", &own.peak_settings_of_one.why),
            ("peak_settings_of_a_service", &own.peak_settings_of_a_service.why),
            ("peak_settings_of_all", &own.peak_settings_of_all.why),
            ("bytes_server_comes", &own.bytes_server_comes.why),
            ("bytes_server_drains", &own.bytes_server_drains.why),
            ("bytes_server_goes", &own.bytes_server_goes.why),
            ("bytes_entry", &own.bytes_entry.why),
            ("bytes_settings_of_one", &own.bytes_settings_of_one.why),
            ("bytes_settings_of_all", &own.bytes_settings_of_all.why),
            ("heartbeats_a_second", &own.heartbeats_a_second.why),
            ("bytes_heartbeat", &own.bytes_heartbeat.why),
            ("windows_a_second", &own.windows_a_second.why),
            ("probe_rounds_a_second", &own.probe_rounds_a_second.why),
            ("reconnect_spread_s", &own.reconnect_spread_s.why),
            ("control_cores", &own.control_cores.why),
            ("control_memory_bytes", &own.control_memory_bytes.why),
            ("control_bytes_a_second", &own.control_bytes_a_second.why),
            ("control_descriptors", &own.control_descriptors.why),
            ("sidecar_descriptors", &own.sidecar_descriptors.why),
        ] {
            if why.trim().is_empty() {
                return Err(InvalidValue::new(
                    format!("assumed.{key}.why"),
                    "it is empty; an assumption has a reason",
                ));
            }
        }
        Ok(())
    }

    /// Changes of the list per day: three for a restart (drain, leave, join), two for each endpoint of a failed machine (leave,
    /// join).
    pub fn changes_of_list_a_day(&self) -> f64 {
        let failures = &self.told.failures;
        let lost = failures.machines_a_day * f64::from(self.assumed.endpoints_a_machine.is);
        3.0 * failures.restarts_a_day + 2.0 * lost
    }

    /// Frequency and size of a kind of change.
    pub fn change(&self, kind: Change) -> Rate {
        let (told, own) = (&self.told, &self.assumed);
        let lost = told.failures.machines_a_day * f64::from(own.endpoints_a_machine.is);
        let restarts = told.failures.restarts_a_day;
        let of_list = if own.list_changes_counted.is { self.changes_of_list_a_day() } else { 0.0 };
        let of_one = told.changes_a_day - of_list - own.settings_of_all_a_day.is;
        let (a_day, peak, bytes) = match kind {
            Change::ServerComes => (restarts + lost, own.peak_server_comes.is, own.bytes_server_comes.is),
            Change::ServerDrains => (restarts, own.peak_server_drains.is, own.bytes_server_drains.is),
            Change::ServerGoes => (restarts + lost, own.peak_server_goes.is, own.bytes_server_goes.is),
            Change::SettingsOfOne => (of_one, own.peak_settings_of_one.is, own.bytes_settings_of_one.is),
            Change::SettingsOfAll => {
                (own.settings_of_all_a_day.is, own.peak_settings_of_all.is, own.bytes_settings_of_all.is)
            }
        };
        Rate { mean: a_day / DAY_S, peak, bytes }
    }

    /// Total number of zones.
    pub fn zones(&self) -> u32 {
        let each = if self.assumed.zones_in_each_region.is { self.told.regions } else { 1 };
        self.told.zones * each
    }

    /// All services: the hub, the largest, then the others by size. Deterministic.
    pub fn services(&self) -> Vec<Service> {
        let own = &self.assumed;
        let mut all = vec![
            Service { name: "hub".into(), endpoints: own.hub_endpoints.is },
            Service { name: "largest".into(), endpoints: own.largest_endpoints.is },
        ];
        let parts: Vec<f64> = own.service_sizes.is.iter().map(|sizes| sizes.services).collect();
        let counts = apportion(self.told.services - 2, &parts, &vec![0; parts.len()]);
        let parts: Vec<f64> = own.service_sizes.is.iter().map(|sizes| sizes.endpoints).collect();
        let left = self.told.endpoints - own.hub_endpoints.is - own.largest_endpoints.is;
        // A group without services has no endpoints.
        let parts: Vec<f64> =
            parts.iter().zip(&counts).map(|(p, n)| if *n == 0 { 0.0 } else { *p }).collect();
        for (endpoints, services) in apportion(left, &parts, &counts).into_iter().zip(counts) {
            for n in 0..services {
                let endpoints = endpoints / services + u32::from(n < endpoints % services);
                all.push(Service { name: format!("s{}", all.len()), endpoints });
            }
        }
        all
    }

    /// Largest number of services that a sidecar calls.
    pub fn services_called_most(&self) -> u32 {
        self.assumed.services_called.is.iter().map(|called| called.services).max().unwrap_or(1)
    }

    /// Number of servers of the services that the sidecar with the most services calls: the hub, the largest service, and
    /// other services of mean size.
    pub fn servers_called_most(&self) -> f64 {
        let own = &self.assumed;
        let widest = self.services_called_most();
        let (hub, largest) = (f64::from(own.hub_endpoints.is), f64::from(own.largest_endpoints.is));
        let all = f64::from(self.told.endpoints);
        let others = (all - hub - largest) / f64::from(self.told.services - 2);
        match widest {
            0 | 1 => hub,
            widest => (hub + largest + f64::from(widest - 2) * others).min(all),
        }
    }

    /// The plan of a fleet that is larger by a factor, with the same control machines and the same numbers of called
    /// services.
    #[must_use]
    pub fn grown(&self, factor: f64) -> Plan {
        let mut plan = self.clone();
        let whole = |n: u32| (f64::from(n) * factor).round() as u32;
        let (told, own) = (&mut plan.told, &mut plan.assumed);
        (told.endpoints, told.services) = (whole(told.endpoints), whole(told.services));
        told.calls_a_second *= factor;
        told.changes_a_day *= factor;
        told.failures.machines_a_day *= factor;
        told.failures.restarts_a_day *= factor;
        told.failures.racks_a_year *= factor;
        own.hub_endpoints.is = whole(own.hub_endpoints.is);
        own.largest_endpoints.is = whole(own.largest_endpoints.is);
        for peak in [
            &mut own.peak_server_comes.is,
            &mut own.peak_server_drains.is,
            &mut own.peak_server_goes.is,
            &mut own.peak_settings_of_one.is,
        ] {
            *peak *= factor;
        }
        plan
    }

    /// Mean number of services that a sidecar calls.
    pub fn services_called_mean(&self) -> f64 {
        self.assumed.services_called.is.iter().map(|called| f64::from(called.services) * called.share).sum()
    }

    /// Number of servers that a sidecar calls: those of the hub, and of `services - 1` other services of mean size.
    pub fn servers_called(&self, services: f64) -> f64 {
        let hub = f64::from(self.assumed.hub_endpoints.is);
        let others = (f64::from(self.told.endpoints) - hub) / f64::from(self.told.services - 1);
        hub + (services - 1.0).max(0.0) * others
    }
}
