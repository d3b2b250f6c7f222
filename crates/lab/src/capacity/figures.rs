//! Figures compared with limits. Each is either played, that is measured by a run at the plan's size, or worked out as
//! slope × driver. All are given without the interest set and with it; with it for the sidecar that calls the most
//! services, as the limits have to hold there too.

use super::results::{Added, Form, Results, Seen, Slope, Verdict};
use super::show::{amount, count, part};
use crate::plan::{Change, Plan};
use std::fmt::Write;

/// Shown in place of a figure of a void run.
pub const VOID: &str = "void";

/// Role of the process that a figure describes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Role {
    Caller,
    Follower,
    Control,
}

impl Role {
    pub fn name(self) -> &'static str {
        match self {
            Role::Caller => "caller's side of a sidecar",
            Role::Follower => "follower of discovery",
            Role::Control => "control machine",
        }
    }
}

/// Unit of a figure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unit {
    Bytes,
    BytesASecond,
    MessagesASecond,
    PartOfCore,
    Seconds,
    Millis,
    Count,
    Micros,
}

/// A limit: first those required, then those of the assumed machines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Limit {
    Added,
    InForce,
    Cpu,
    Memory,
    Bytes,
    Descriptors,
    ControlCpu,
    ControlMemory,
    ControlBytes,
    ControlDescriptors,
}

impl Limit {
    pub const ALL: [Limit; 10] = [
        Limit::Added,
        Limit::InForce,
        Limit::Cpu,
        Limit::Memory,
        Limit::Bytes,
        Limit::Descriptors,
        Limit::ControlCpu,
        Limit::ControlMemory,
        Limit::ControlBytes,
        Limit::ControlDescriptors,
    ];

    pub fn name(self) -> &'static str {
        match self {
            Limit::Added => "added to a call, p99",
            Limit::InForce => "a change in force everywhere",
            Limit::Cpu => "a sidecar's processor time",
            Limit::Memory => "a sidecar's memory",
            Limit::Bytes => "a sidecar's bytes a second, in any 10 s",
            Limit::Descriptors => "a sidecar's descriptors (assumed)",
            Limit::ControlCpu => "a control machine's processor time (assumed)",
            Limit::ControlMemory => "a control machine's memory (assumed)",
            Limit::ControlBytes => "a control machine's bytes out a second (assumed)",
            Limit::ControlDescriptors => "a control machine's descriptors (assumed)",
        }
    }

    pub fn unit(self) -> Unit {
        match self {
            Limit::Added => Unit::Millis,
            Limit::InForce => Unit::Seconds,
            Limit::Cpu | Limit::ControlCpu => Unit::PartOfCore,
            Limit::Memory | Limit::ControlMemory => Unit::Bytes,
            Limit::Bytes | Limit::ControlBytes => Unit::BytesASecond,
            Limit::Descriptors | Limit::ControlDescriptors => Unit::Count,
        }
    }

    pub fn of(self, plan: &Plan) -> f64 {
        let (limits, own) = (&plan.told.limits, &plan.assumed);
        match self {
            Limit::Added => limits.added_ms,
            Limit::InForce => limits.in_force_s,
            Limit::Cpu => limits.cpu_part_of_core,
            Limit::Memory => limits.memory_bytes,
            Limit::Bytes => limits.bytes_a_second,
            Limit::Descriptors => own.sidecar_descriptors.is.into(),
            Limit::ControlCpu => own.control_cores.is.into(),
            Limit::ControlMemory => own.control_memory_bytes.is,
            Limit::ControlBytes => own.control_bytes_a_second.is,
            Limit::ControlDescriptors => own.control_descriptors.is.into(),
        }
    }
}

/// Situation: ordinary operation or a loss.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum When {
    Mean,
    Peak,
    Restarts,
    Zone,
    ControlKilled,
    AllAnew,
}

impl When {
    pub const ALL: [When; 6] =
        [When::Mean, When::Peak, When::Restarts, When::Zone, When::ControlKilled, When::AllAnew];

    pub fn name(self) -> &'static str {
        match self {
            When::Mean => "changes at mean",
            When::Peak => "changes at peak",
            When::Restarts => "restarts of a day",
            When::Zone => "a zone at once",
            When::ControlKilled => "a control machine killed",
            When::AllAnew => "all sidecars anew",
        }
    }

    fn of_day(name: &str) -> Option<When> {
        Some(match name {
            "changes-mean" => When::Mean,
            "changes-peak" => When::Peak,
            "restarts" => When::Restarts,
            "zone" => When::Zone,
            "control-killed" => When::ControlKilled,
            "all-anew" => When::AllAnew,
            _ => return None,
        })
    }
}

/// Origin of a figure.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum How {
    Played,
    WorkedOut,
}

impl How {
    pub fn name(self) -> &'static str {
        match self {
            How::Played => "played",
            How::WorkedOut => "worked out",
        }
    }
}

/// A figure with its derivation.
#[derive(Clone, Debug)]
pub struct Value {
    pub is: f64,
    /// How it was worked out, or what was measured.
    pub working: String,
    /// The result files that it is based on.
    pub from: Vec<String>,
    /// It is extrapolated beyond the measured sizes.
    pub beyond: bool,
    /// A lower bound, as a part of it was not measured.
    pub least: bool,
}

/// A figure, or the reason why there is none.
pub type Cell = Result<Value, String>;

/// A figure of a role in a situation, without the interest set and with it.
#[derive(Clone, Debug)]
pub struct Row {
    pub role: Role,
    pub what: &'static str,
    pub when: When,
    pub how: How,
    pub unit: Unit,
    pub limit: Option<Limit>,
    /// Without the interest set, and with it for the sidecar that calls the most services.
    pub cells: [Cell; 2],
    /// The mechanism responsible and its source files.
    pub by: &'static str,
    /// It counts against its limit; otherwise it is shown only as the strictest interpretation of the limit.
    pub counts: bool,
}

impl Row {
    /// The limit divided by the figure; below 1 the limit is missed.
    pub fn headroom(&self, plan: &Plan, side: usize) -> Option<f64> {
        let limit = self.limit?.of(plan);
        self.cells[side].as_ref().ok().filter(|value| value.is > 0.0).map(|value| limit / value.is)
    }
}

pub fn median(values: &[f64]) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    match sorted.len() {
        0 => f64::NAN,
        n if n % 2 == 1 => sorted[n / 2],
        n => f64::midpoint(sorted[n / 2 - 1], sorted[n / 2]),
    }
}

/// Largest residual up to which the line is used in place of the points.
const TRUSTED: f64 = 0.15;

/// Value of a slope at a size of its driver: on its line, interpolated between the points where the line does not fit, and
/// extrapolated by the form beyond them. `None` beyond the points where the form is not clear.
fn at(slope: &Slope, driver: f64, unit: Unit) -> Option<(f64, String, bool)> {
    let mut points: Vec<(f64, f64)> = slope.points.iter().map(|p| (p.at, median(&p.values))).collect();
    points.sort_by(|a, b| a.0.total_cmp(&b.0));
    let (first, last) = (*points.first()?, *points.last()?);
    let beyond = driver > last.0 * 1.001;
    let show = |value: f64| amount(value, unit);
    let line = slope.intercept + slope.slope * driver;
    let straight = slope.form == Form::Linear && slope.residual <= TRUSTED && line > 0.0;
    if slope.form == Form::Constant {
        let all: Vec<f64> = points.iter().map(|p| p.1).collect();
        return Some((median(&all), format!("constant {}", show(median(&all))), beyond));
    }
    if straight {
        let working = format!("{} + {} × {}", show(slope.intercept), show(slope.slope), count(driver));
        return Some((line, working, beyond));
    }
    if !beyond {
        let place = points.partition_point(|p| p.0 < driver);
        let value = match (place.checked_sub(1).map(|n| points[n]), points.get(place)) {
            (Some(low), Some(high)) => low.1 + (high.1 - low.1) * (driver - low.0) / (high.0 - low.0),
            (Some(low), None) => low.1,
            (None, _) => first.1,
        };
        return Some((value, format!("{} by its points, at {}", show(value), count(driver)), false));
    }
    let over = driver / last.0;
    let grown = match slope.form {
        Form::Linear => last.1 * over,
        Form::NLogN => last.1 * over * driver.ln() / last.0.ln(),
        Form::Quadratic => last.1 * over * over,
        Form::Constant | Form::NotClear => return None,
    };
    let by = slope.form.name();
    Some((grown, format!("{} at {}, grown as {by} to {}", show(last.1), count(last.0), count(driver)), true))
}

/// A row for messages, without a limit and with figures still to be filled in.
fn message_row((role, when): (Role, When), what: &'static str, by: &'static str) -> Row {
    let none = || Err(String::new());
    let (how, unit, cells) = (How::WorkedOut, Unit::MessagesASecond, [none(), none()]);
    Row { role, what, when, how, unit, limit: None, cells, by, counts: true }
}

/// A sum with its derivation.
#[derive(Default)]
struct Sum {
    is: f64,
    working: String,
    from: Vec<String>,
    beyond: bool,
    least: bool,
}

impl Sum {
    fn add(&mut self, name: &str, is: f64, unit: Unit) {
        self.is += is;
        if !self.working.is_empty() {
            self.working.push_str(" + ");
        }
        let _ = write!(self.working, "{name} {}", amount(is, unit));
    }

    fn add_value(&mut self, name: &str, value: Value, factor: f64, unit: Unit) {
        self.add(name, value.is * factor, unit);
        self.from.extend(value.from);
        self.beyond |= value.beyond;
    }

    /// Adds the processor time of an operation in microseconds, done `times` times per second, with its derivation.
    fn add_times(&mut self, name: &str, value: Value, times: f64) {
        let shown = value.working.clone();
        self.add_value(name, value, times / 1e6, Unit::PartOfCore);
        let _ = write!(self.working, " ({} a second of {shown})", count(times));
    }

    fn take_in(&mut self, other: Sum) {
        self.is += other.is;
        let _ = write!(self.working, " + {}", other.working);
        self.from.extend(other.from);
        self.beyond |= other.beyond;
        self.least |= other.least;
    }

    fn cell(mut self) -> Cell {
        self.from.sort();
        self.from.dedup();
        let Sum { is, working, from, beyond, least } = self;
        Ok(Value { is, working, from, beyond, least })
    }
}

/// Load that a plan puts on sidecars and control machines: the drivers and the figures worked out from them.
pub struct Work<'a> {
    pub plan: &'a Plan,
    pub results: &'a Results,
}

const FOLLOWER: &str = "interest set: `crates/directory`, `crates/http/src/list.rs`";
const MODULE: &str = "interest set: `crates/directory`; `src/rules.rs`, `crates/engine`";
const DRAW: &str = "interest set: `crates/directory`; `src/rules.rs`";
const STAND_IN: &str = "stand-in of discovery (`crates/trial`)";
const PATH: &str = "`crates/http`, `crates/engine`, `src/rules.rs`";

impl Work<'_> {
    /// Number of servers that a sidecar knows: all, or those of the most services that a sidecar calls.
    pub fn known(&self, interest: bool) -> f64 {
        if interest { self.plan.servers_called_most() } else { self.plan.told.endpoints.into() }
    }

    /// Mean number of servers that a sidecar knows, which determines the load of a control machine.
    pub fn known_mean(&self, interest: bool) -> f64 {
        let mean = self.plan.servers_called(self.plan.services_called_mean());
        if interest { mean } else { self.plan.told.endpoints.into() }
    }

    /// Fraction of the list's changes that a sidecar with so many known servers receives.
    pub fn seen(&self, known: f64) -> f64 {
        known / f64::from(self.plan.told.endpoints)
    }

    /// Mean calls per second of a sidecar.
    pub fn calls(&self) -> f64 {
        self.plan.told.calls_a_second / f64::from(self.plan.told.endpoints)
    }

    /// Number of sidecars on one control machine, with all machines running or with one lost.
    pub fn sidecars(&self, one_gone: bool) -> f64 {
        let machines = self.plan.told.control_machines - u32::from(one_gone);
        f64::from(self.plan.told.endpoints.div_ceil(machines))
    }

    /// Number of endpoints of a zone.
    pub fn zone(&self) -> f64 {
        f64::from(self.plan.told.endpoints.div_ceil(self.plan.zones()))
    }

    /// Changes of the list per second.
    pub fn list_changes(&self, peak: bool) -> f64 {
        let of_list = Change::ALL.into_iter().filter(|kind| kind.is_of_list());
        of_list.map(|kind| self.rate(kind, peak)).sum()
    }

    fn rate(&self, kind: Change, peak: bool) -> f64 {
        let rate = self.plan.change(kind);
        if peak { rate.peak } else { rate.mean }
    }

    /// Changes of settings per second that a sidecar applies: those of its service, and those of all services.
    fn settings(&self, peak: bool) -> [f64; 2] {
        let of_one = if peak {
            self.plan.assumed.peak_settings_of_a_service.is
        } else {
            self.rate(Change::SettingsOfOne, false) / f64::from(self.plan.told.services)
        };
        [of_one, self.rate(Change::SettingsOfAll, peak)]
    }

    /// A measured figure at a size of its driver, from its slope.
    pub fn slope(&self, name: &str, driver: f64, interest: bool, unit: Unit) -> Cell {
        let Some((file, slope)) = self.results.slope(name, interest) else {
            return Err(format!("not measured ({name})"));
        };
        let file = file.to_owned();
        match at(slope, driver, unit) {
            Some((is, working, beyond)) => Ok(Value { is, working, from: vec![file], beyond, least: false }),
            None => Err(format!("not worked out: {name}'s form isn't clear past {}", count(driver))),
        }
    }

    /// Bytes of a whole list of `known` servers.
    pub fn whole_list(&self, known: f64, interest: bool) -> Value {
        self.slope("whole-list-bytes", known, interest, Unit::Bytes).unwrap_or_else(|_| {
            let entry = self.plan.assumed.bytes_entry.is;
            let working = format!("{} × {} (assumed)", amount(entry, Unit::Bytes), count(known));
            Value { is: entry * known, working, from: Vec::new(), beyond: false, least: false }
        })
    }

    /// Bytes per second of heartbeats, list and settings to a sidecar with so many known servers.
    fn steady_bytes(&self, peak: bool, known: f64) -> Sum {
        let own = &self.plan.assumed;
        let mut sum = Sum::default();
        sum.add("signs of life", own.heartbeats_a_second.is * own.bytes_heartbeat.is, Unit::BytesASecond);
        let of_list = Change::ALL.into_iter().filter(|kind| kind.is_of_list());
        let list: f64 = of_list.map(|kind| self.rate(kind, peak) * self.plan.change(kind).bytes).sum();
        sum.add("list", list * self.seen(known), Unit::BytesASecond);
        let [one, all] = self.settings(peak);
        let settings = one * own.bytes_settings_of_one.is + all * own.bytes_settings_of_all.is;
        sum.add("settings", settings, Unit::BytesASecond);
        sum
    }

    /// Bytes for the loss of a zone to a sidecar with so many known servers.
    pub fn zone_bytes(&self, known: f64) -> f64 {
        self.zone() * self.plan.change(Change::ServerGoes).bytes * self.seen(known)
    }

    /// Messages per second to a sidecar with so many known servers.
    fn messages(&self, peak: bool, known: f64) -> Sum {
        let mut sum = Sum::default();
        sum.add("signs of life", self.plan.assumed.heartbeats_a_second.is, Unit::MessagesASecond);
        sum.add("list", self.list_changes(peak) * self.seen(known), Unit::MessagesASecond);
        sum.add("settings", self.settings(peak).iter().sum(), Unit::MessagesASecond);
        sum
    }

    /// Bytes sent to a sidecar after its watch broke.
    pub fn reconnect(&self, known: f64, interest: bool) -> Value {
        let measured = self.slope("reconnect-bytes", known, interest, Unit::Bytes);
        measured.unwrap_or_else(|_| self.whole_list(known, interest))
    }

    fn both(cell: impl Fn(bool) -> Cell) -> [Cell; 2] {
        [cell(false), cell(true)]
    }

    /// A sidecar's processor time for control, apart from calls: idle time and changes.
    fn cpu_of_control(&self, peak: bool, interest: bool) -> Result<Sum, String> {
        let known = self.known(interest);
        let mut sum = Sum::default();
        // Without the idle figure the sum is a lower bound and marked as such.
        match self.slope("cpu-idle", known, interest, Unit::PartOfCore) {
            Ok(idle) => {
                let shown = idle.working.clone();
                sum.add_value("idle", idle, 1.0, Unit::PartOfCore);
                let _ = write!(sum.working, " ({shown})");
            }
            Err(why) => {
                sum.working.push_str(&format!("idle {why}"));
                sum.least = true;
            }
        }
        let change = self.slope("change-applied", known, interest, Unit::Micros)?;
        sum.add_value("changes", change, self.list_changes(peak) * self.seen(known) / 1e6, Unit::PartOfCore);
        let taken = self.slope("settings-taken-up", known, interest, Unit::Micros)?;
        let settings: f64 = self.settings(peak).iter().sum();
        sum.add_value("settings", taken, settings / 1e6, Unit::PartOfCore);
        Ok(sum)
    }

    /// Processor time of windows and draws, from the measured cost of each.
    fn cpu_of_draws(&self, peak: bool, interest: bool) -> Result<Sum, String> {
        let known = self.known(interest);
        let own = &self.plan.assumed;
        let calls = self.calls() * if peak { own.peak_over_mean.is } else { 1.0 };
        let mut sum = Sum::default();
        let window = self.slope("window-step", known, interest, Unit::Micros)?;
        sum.add_times("windows", window, own.windows_a_second.is);
        let decision = self.slope("decision", known, interest, Unit::Micros)?;
        sum.add_times("draws", decision, calls);
        Ok(sum)
    }

    /// Processor time of windows and draws where the operator's file has a pool for each called service. It was measured
    /// with all servers known, so it applies to the interest set only where a run with it was measured.
    fn cpu_of_pools(&self, peak: bool, interest: bool) -> Cell {
        let own = &self.plan.assumed;
        let calls = self.calls() * if peak { own.peak_over_mean.is } else { 1.0 };
        let mut sum = Sum::default();
        let window = self.by_services("window-step-by-services", interest, Unit::Micros)?;
        sum.add_times("windows", window, own.windows_a_second.is);
        sum.add_times("draws", self.by_services("decision-by-services", interest, Unit::Micros)?, calls);
        sum.cell()
    }

    fn by_services(&self, name: &str, interest: bool, unit: Unit) -> Cell {
        if !self.results.slopes[usize::from(interest)].contains_key(name) {
            return Err(format!("not measured ({name})"));
        }
        // Services were varied with the largest measured number of known servers, so the figure applies to that number only.
        let slopes = self.results.slopes[usize::from(interest)].values().map(|(_, slope)| slope);
        let by_servers = slopes.filter(|slope| slope.driver == "known-servers");
        let most = by_servers.flat_map(|slope| &slope.points).map(|point| point.at).fold(0.0, f64::max);
        if (self.known(interest) - most).abs() > 0.001 * most {
            return Err(format!("not worked out: {name} was measured with {} known", count(most)));
        }
        self.slope(name, f64::from(self.plan.services_called_most()), interest, unit)
    }

    /// Processor time that known servers add to the program in service, over the smallest measured number.
    fn cpu_of_known(&self, interest: bool) -> Cell {
        let unit = Unit::PartOfCore;
        let whole = self.slope("cpu-in-service", self.known(interest), interest, unit)?;
        let Some((_, slope)) = self.results.slope("cpu-in-service", interest) else {
            return Err("not measured (cpu-in-service)".to_owned());
        };
        let fewest = slope.points.iter().min_by(|a, b| a.at.total_cmp(&b.at));
        let (at, least) = fewest.map_or((0.0, 0.0), |point| (point.at, median(&point.values)));
        let working = format!("{} - {} at {}", amount(whole.is, unit), amount(least, unit), count(at));
        Ok(Value { is: whole.is - least, working, ..whole })
    }

    fn worked_row(
        &self,
        (role, when): (Role, When),
        what: &'static str,
        limit: Limit,
        by: &'static str,
        cell: impl Fn(bool) -> Cell,
    ) -> Row {
        let (cells, unit) = (Self::both(cell), limit.unit());
        Row { role, what, when, how: How::WorkedOut, unit, limit: Some(limit), cells, by, counts: true }
    }

    /// All figures that are worked out.
    pub fn worked(&self) -> Vec<Row> {
        let mut rows = Vec::new();
        for (when, peak) in [(When::Mean, false), (When::Peak, true)] {
            let (follower, caller) = ((Role::Follower, when), (Role::Caller, when));
            rows.push(self.worked_row(
                follower,
                "control without windows and draws",
                Limit::Cpu,
                FOLLOWER,
                |i| self.cpu_of_control(peak, i)?.cell(),
            ));
            rows.push(self.worked_row(
                follower,
                "list, signs of life, settings",
                Limit::Bytes,
                FOLLOWER,
                |i| self.steady_bytes(peak, self.known(i)).cell(),
            ));
            let cells = Self::both(|i| self.messages(peak, self.known(i)).cell());
            let messages = Row { cells, ..message_row(follower, "messages in", FOLLOWER) };
            rows.push(messages);
            rows.push(self.worked_row(caller, "windows and draws", Limit::Cpu, DRAW, |interest| {
                self.cpu_of_draws(peak, interest)?.cell()
            }));
            rows.push(self.worked_row(
                caller,
                "control with windows and draws",
                Limit::Cpu,
                DRAW,
                |interest| {
                    let (mut sum, draws) =
                        (self.cpu_of_control(peak, interest)?, self.cpu_of_draws(peak, interest)?);
                    sum.take_in(draws);
                    sum.cell()
                },
            ));
        }
        let (follower, caller) = ((Role::Follower, When::Mean), (Role::Caller, When::Mean));
        for (when, peak) in [(When::Mean, false), (When::Peak, true)] {
            let what = "windows and draws, a pool for each service called";
            rows.push(self.worked_row((Role::Caller, when), what, Limit::Cpu, DRAW, |interest| {
                self.cpu_of_pools(peak, interest)
            }));
        }
        let what = "state, a pool for each service called";
        rows.push(self.worked_row(caller, what, Limit::Memory, MODULE, |interest| {
            self.by_services("state-by-services", interest, Unit::Bytes)
        }));
        rows.push(self.worked_row(caller, "state, one pool", Limit::Memory, MODULE, |interest| {
            self.slope("state", self.known(interest), interest, Unit::Bytes)
        }));
        rows.push(self.worked_row(
            caller,
            "what knowing its servers adds in service",
            Limit::Cpu,
            DRAW,
            |i| self.cpu_of_known(i),
        ));
        rows.push(self.worked_row(follower, "idle, the list held", Limit::Memory, FOLLOWER, |interest| {
            self.slope("memory-idle", self.known(interest), interest, Unit::Bytes)
        }));
        let whole = "the whole process in service (strictest reading)";
        let mut memory = self.worked_row(caller, whole, Limit::Memory, MODULE, |interest| {
            self.slope("memory-in-service", self.known(interest), interest, Unit::Bytes)
        });
        let mut cpu = self.worked_row(caller, whole, Limit::Cpu, MODULE, |interest| {
            self.slope("cpu-in-service", self.known(interest), interest, Unit::PartOfCore)
        });
        (memory.counts, cpu.counts) = (false, false);
        rows.extend([memory, cpu]);
        let by = "bounds of `crates/sidecar/src/config.rs`";
        let what = "one connection to each server known, up to the bound";
        rows.push(self.worked_row(caller, what, Limit::Descriptors, by, |interest| {
            // docs/configuration.md: half of the descriptors, after 40 are set aside, are for servers.
            let bound = (f64::from(self.plan.assumed.sidecar_descriptors.is) - 40.0) / 2.0;
            let servers = self.known(interest).min(bound).round();
            let working = format!("40 kept + {} of at most {}", count(servers), count(bound));
            Ok(Value { is: 40.0 + servers, working, from: Vec::new(), beyond: false, least: false })
        }));
        self.worked_losses(&mut rows);
        self.worked_control(&mut rows);
        rows
    }

    fn worked_losses(&self, rows: &mut Vec<Row>) {
        let zone = (Role::Follower, When::Zone);
        rows.push(self.worked_row(zone, "a zone goes within 10 s", Limit::Bytes, FOLLOWER, |interest| {
            let mut sum = self.steady_bytes(false, self.known(interest));
            sum.add("zone", self.zone_bytes(self.known(interest)) / 10.0, Unit::BytesASecond);
            sum.cell()
        }));
        rows.push(self.worked_row(
            zone,
            "its changes taken in within 10 s",
            Limit::Cpu,
            FOLLOWER,
            |interest| {
                let known = self.known(interest);
                let mut sum = self.cpu_of_control(false, interest)?;
                let change = self.slope("change-applied", known, interest, Unit::Micros)?;
                sum.add_value("zone", change, self.zone() * self.seen(known) / 1e7, Unit::PartOfCore);
                sum.cell()
            },
        ));
        let budget = self.plan.told.limits.bytes_a_second;
        for (when, what) in
            [(When::ControlKilled, "a watch opened anew"), (When::AllAnew, "the whole list, told anew")]
        {
            let loss = (Role::Follower, when);
            let told = |interest| {
                let known = self.known(interest);
                match when {
                    When::ControlKilled => self.reconnect(known, interest),
                    _ => self.whole_list(known, interest),
                }
            };
            rows.push(self.worked_row(loss, what, Limit::Bytes, FOLLOWER, |interest| {
                let mut sum = self.steady_bytes(false, self.known(interest));
                let told = told(interest);
                sum.add_value("list in 10 s", told, 0.1, Unit::BytesASecond);
                sum.cell()
            }));
            // Nothing paces the transfer in this way; a faster one counts against the bytes per second in the previous row.
            let paced = "were it paced to the bytes allowed (strictest reading)";
            let paced = self.worked_row(loss, paced, Limit::InForce, FOLLOWER, |interest| {
                let told = told(interest);
                let (bytes, a_second) = (amount(told.is, Unit::Bytes), amount(budget, Unit::BytesASecond));
                Ok(Value { is: told.is / budget, working: format!("{bytes} / {a_second}"), ..told })
            });
            rows.push(Row { counts: false, ..paced });
            rows.push(self.worked_row(
                loss,
                "the list taken in within 10 s",
                Limit::Cpu,
                FOLLOWER,
                |interest| {
                    let mut sum = self.cpu_of_control(false, interest)?;
                    let whole =
                        self.slope("whole-list-applied", self.known(interest), interest, Unit::Micros)?;
                    sum.add_value("list", whole, 1e-7, Unit::PartOfCore);
                    sum.cell()
                },
            ));
        }
    }

    fn worked_control(&self, rows: &mut Vec<Row>) {
        let own = &self.plan.assumed;
        for (when, peak) in [(When::Mean, false), (When::Peak, true)] {
            let control = (Role::Control, when);
            let sidecars = self.sidecars(false);
            let all = |each: Sum| {
                let working = format!("{} × ({})", count(sidecars), each.working);
                Ok(Value {
                    is: each.is * sidecars,
                    working,
                    from: each.from,
                    beyond: each.beyond,
                    least: each.least,
                })
            };
            rows.push(self.worked_row(
                control,
                "to its sidecars",
                Limit::ControlBytes,
                STAND_IN,
                |interest| all(self.steady_bytes(peak, self.known_mean(interest))),
            ));
            let cells = Self::both(|interest| all(self.messages(peak, self.known_mean(interest))));
            rows.push(Row { cells, ..message_row(control, "messages to its sidecars", STAND_IN) });
        }
        let spread = own.reconnect_spread_s.is;
        for when in [When::ControlKilled, When::AllAnew] {
            let control = (Role::Control, when);
            rows.push(self.worked_row(
                control,
                "lists told anew",
                Limit::ControlBytes,
                STAND_IN,
                |interest| {
                    let known = self.known_mean(interest);
                    // The share taken over from the lost machine, or all of a machine's own sidecars where all restart.
                    let more = self.sidecars(true) - self.sidecars(false);
                    let (sidecars, told) = match when {
                        When::ControlKilled => (more, self.reconnect(known, interest)),
                        _ => (self.sidecars(false), self.whole_list(known, interest)),
                    };
                    let each = amount(told.is, Unit::Bytes);
                    let working = format!("{} × {each} in {spread} s", count(sidecars));
                    Ok(Value { is: sidecars * told.is / spread, working, ..told })
                },
            ));
        }
        let control = (Role::Control, When::ControlKilled);
        rows.push(self.worked_row(
            control,
            "a watch of each sidecar",
            Limit::ControlDescriptors,
            STAND_IN,
            |_| {
                let sidecars = self.sidecars(true);
                let working = format!("{} × 2, one late and one beside it", count(sidecars));
                Ok(Value { is: 2.0 * sidecars, working, from: Vec::new(), beyond: false, least: false })
            },
        ));
    }

    /// All figures that were measured by a run at the plan's size.
    pub fn played(&self) -> Vec<Row> {
        let mut rows: Vec<Row> = Vec::new();
        for (file, run) in self.results.runs.iter().filter(|(_, run)| run.size == self.plan.told.endpoints) {
            for (day, when) in run.days.iter().filter_map(|day| Some((day, When::of_day(&day.name)?))) {
                for seen in &day.figures {
                    let Some((role, what, unit, limit)) = place(seen) else { continue };
                    let cell = match (day.verdict, judged(seen)) {
                        (Verdict::Void, _) => Err(VOID.to_owned()),
                        (_, None) => Err("not measured".to_owned()),
                        (_, Some((is, of))) => {
                            let pressed = match run.pressed(day) {
                                1.0 => String::new(),
                                pressed => format!(", events pressed {}", count(pressed)),
                            };
                            let played = run.hollow + run.real;
                            let fewer = if played < run.size {
                                format!(", {} sidecars played", count(played.into()))
                            } else {
                                String::new()
                            };
                            let working = format!("{of}{pressed}{fewer}");
                            let is = if seen.unit == "ms" { is / 1e3 } else { is };
                            Ok(Value { is, working, from: vec![file.clone()], beyond: false, least: false })
                        }
                    };
                    let side = usize::from(run.interest);
                    let same = |row: &&mut Row| (row.role, row.what, row.when) == (role, what, when);
                    match rows.iter_mut().find(same) {
                        Some(row) => row.cells[side] = cell,
                        None => {
                            let none = || Err("not measured".to_owned());
                            let mut cells = [none(), none()];
                            cells[side] = cell;
                            let by = if role == Role::Control { STAND_IN } else { FOLLOWER };
                            rows.push(Row {
                                role,
                                what,
                                when,
                                how: How::Played,
                                unit,
                                limit,
                                cells,
                                by,
                                counts: true,
                            });
                        }
                    }
                }
            }
        }
        rows.extend(self.added());
        rows
    }

    /// The measurement of added latency that is closest to the plan: depth 1, its rate, and most known servers.
    fn added(&self) -> Option<Row> {
        if self.results.added.is_empty() {
            return None;
        }
        let cell = |interest: bool| {
            let near = |rate: f64| (rate / self.calls()).ln().abs() < 0.1;
            let fits = |p: &Added| p.interest == interest && p.depth == 1 && near(p.rate);
            // Without the interest set, a point with fewer known servers than the plan's does not apply.
            let least = if interest { 1 } else { self.plan.told.endpoints };
            let points = self.results.added.iter().filter(|(_, p)| fits(p) && p.known >= least);
            let Some((file, point)) = points.max_by_key(|(_, p)| p.known) else {
                return Err("not measured at this size".to_owned());
            };
            if point.verdict == Verdict::Void {
                return Err(VOID.to_owned());
            }
            let low_high =
                [point.added_p99_low_us, point.added_p99_high_us].map(|us| amount(us / 1e3, Unit::Millis));
            let working = format!(
                "{} listed, {} a second, from {} to {}, {} of the calls answered",
                count(f64::from(point.known)),
                count(point.rate),
                low_high[0],
                low_high[1],
                answered(point)
            );
            Ok(Value {
                is: point.added_p99_us / 1e3,
                working,
                from: vec![file.clone()],
                beyond: false,
                least: false,
            })
        };
        let (role, what, when) = (Role::Caller, "through the sidecar against the direct way", When::Mean);
        let (unit, limit, cells) = (Unit::Millis, Some(Limit::Added), Self::both(cell));
        Some(Row { role, what, when, how: How::Played, unit, limit, cells, by: PATH, counts: true })
    }
}

/// Fraction of a point's calls that were served, as text.
pub fn answered(point: &Added) -> String {
    let all = point.answered + point.refused + point.lost;
    part(point.answered as f64 / (all.max(1)) as f64)
}

/// Role, name, unit and limit of a figure of a scale run.
fn place(seen: &Seen) -> Option<(Role, &'static str, Unit, Option<Limit>)> {
    let (role, words) = match seen.role.as_str() {
        "control" => (Role::Control, ["", "", "", "", "", "", ""]),
        "sidecar" | "follower" => (
            Role::Follower,
            [
                "hollow sidecars, change in force",
                "hollow sidecars, bytes in",
                "hollow sidecars, messages in",
                "hollow sidecars, bytes out",
                "hollow sidecars, messages out",
                "hollow sidecars, processor time",
                "hollow sidecars, memory",
            ],
        ),
        "real" | "caller" => (
            Role::Caller,
            [
                "real sidecars, change in force",
                "real sidecars, bytes in",
                "real sidecars, messages in",
                "real sidecars, bytes out",
                "real sidecars, messages out",
                "real sidecars, processor time",
                "real sidecars, memory",
            ],
        ),
        _ => return None,
    };
    let control = role == Role::Control;
    let of = |n: usize, own: &'static str| if control { own } else { words[n] };
    let limit = |sidecar: Limit, machine: Option<Limit>| if control { machine } else { Some(sidecar) };
    Some(match seen.name.as_str() {
        "in-force" => (role, of(0, "change in force"), Unit::Seconds, Some(Limit::InForce)),
        "bytes-in" => (role, of(1, "bytes in"), Unit::BytesASecond, limit(Limit::Bytes, None)),
        "messages-in" => (role, of(2, "messages in"), Unit::MessagesASecond, None),
        "bytes-out" => {
            (role, of(3, "bytes out"), Unit::BytesASecond, limit(Limit::Bytes, Some(Limit::ControlBytes)))
        }
        "messages-out" => (role, of(4, "messages out"), Unit::MessagesASecond, None),
        "cpu" => {
            (role, of(5, "processor time"), Unit::PartOfCore, limit(Limit::Cpu, Some(Limit::ControlCpu)))
        }
        "memory" => (role, of(6, "memory"), Unit::Bytes, limit(Limit::Memory, Some(Limit::ControlMemory))),
        _ => return None,
    })
}

/// The value that is compared with a limit, and its name: bytes of a sidecar in any 10 s, of a control machine in any
/// second, and for all other figures the largest value of any process.
fn judged(seen: &Seen) -> Option<(f64, &'static str)> {
    let most_10s = seen.most_10s.map(|is| (is, "most of any in any 10 s"));
    let most_1s = seen.most_1s.map(|is| (is, "most of any in any second"));
    let max = seen.max.map(|is| (is, "most of any"));
    match (seen.name.as_str(), seen.role.as_str()) {
        ("bytes-out", "control") => most_1s.or(max),
        ("bytes-in" | "bytes-out", _) => most_10s.or(max),
        _ => max.or(most_10s),
    }
}
