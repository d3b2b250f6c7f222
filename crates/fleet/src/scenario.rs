//! Scenarios: a fleet, its traffic and a timeline of faults, read from TOML with units and checked before use.

use crate::cold_start::ColdBudget;
use crate::template::{Template, line_of};
use anyhow::{Context, Result, anyhow};
use dunlincleat::api::Span;
use dunlincleat_limits::{format_duration, parse_duration};
use dunlincleat_settings::InstanceSettings;
use serde::{Deserialize, Deserializer};

/// A duration written with its unit, such as "80ms".
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Time(pub Span);

impl<'de> Deserialize<'de> for Time {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Time, D::Error> {
        let text = String::deserialize(from)?;
        let span = parse_duration(&text);
        span.map(Time)
            .ok_or_else(|| serde::de::Error::custom(format!("'{text}' is not a duration such as \"80ms\"")))
    }
}

impl Time {
    /// The duration in microseconds.
    #[must_use]
    pub fn us(self) -> u64 {
        self.0.0
    }
}

/// A scenario: what a simulation runs.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Its name.
    pub name: String,
    /// How long callers send requests.
    pub lasts: Time,
    /// The nodes.
    pub fleet: Fleet,
    /// The callers.
    pub traffic: Traffic,
    /// The prices in the settings of instances, as parts of the result.
    #[serde(default)]
    pub prices: Prices,
    /// The classes of requests.
    #[serde(rename = "class")]
    pub classes: Vec<Class>,
    /// The faults and their times.
    #[serde(rename = "fault", default)]
    pub faults: Vec<Fault>,
}

/// The nodes, all the same except for their zones.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    /// The number of nodes.
    pub nodes: usize,
    /// The zones, to which nodes are assigned in turn.
    #[serde(default = "single_zone")]
    pub zones: Vec<String>,
    /// The number of requests that a node works on at a time.
    #[serde(default = "default_cores")]
    pub cores: usize,
    /// The number of requests that may wait at a node; further ones are rejected.
    #[serde(default = "default_queue")]
    pub queue: usize,
    /// The part of its full capacity that a node has when it starts.
    #[serde(default = "default_cold_from")]
    pub cold_from: f64,
    /// The time after which a node has its full capacity.
    #[serde(default = "default_cold")]
    pub cold: Time,
    /// A cold node is overloaded if it receives more than this multiple of the work that it has capacity for.
    #[serde(default = "default_falls_at")]
    pub falls_at: f64,
    /// The window over which the work that a cold node receives is counted.
    #[serde(default = "default_falls_over")]
    pub falls_over: Time,
    /// The delay of discovery.
    #[serde(default = "default_list_late")]
    pub list_late: Time,
    /// Calls per second that discovery answers; others wait.
    #[serde(default = "default_list_calls_per_s")]
    pub list_calls_per_s: f64,
    /// The number of calls that may wait; further ones are refused.
    #[serde(default = "default_list_queue")]
    pub list_queue: usize,
    /// Discovery answers only on request.
    #[serde(default)]
    pub list_on_request: bool,
    /// The maximum number of open connections of a node; unlimited if not given.
    #[serde(default)]
    pub connections: Option<usize>,
    /// The work of a new connection at its node, in addition to a round trip.
    #[serde(default)]
    pub handshake: Option<Time>,
    /// The time after which a node closes an idle connection; never if not given.
    #[serde(default)]
    pub idle: Option<Time>,
    /// Nodes report their load in responses. Without reports, instances know only their own requests.
    #[serde(default = "enabled")]
    pub reports: bool,
    /// The one-way network latency between instances and nodes.
    #[serde(default = "default_network")]
    pub network: Time,
}

/// The callers and their instances.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Traffic {
    /// The number of instances, one for each caller.
    pub instances: usize,
    /// Requests per second of all callers, not counting retries; `load` can be given instead.
    #[serde(default)]
    pub rate_per_s: Option<f64>,
    /// Requests, not counting retries, as a part of the capacity of all nodes when warm.
    #[serde(default)]
    pub load: Option<f64>,
    /// The part of the traffic that the first caller sends; the others share the rest, evenly unless `skew` is given.
    #[serde(default)]
    pub hot: f64,
    /// How unevenly the other callers send: the sigma of the logarithm of their shares, 0 for equal shares.
    #[serde(default)]
    pub skew: f64,
    /// Callers give an estimate of the work of a request, whose error has this sigma of its logarithm; no estimate if
    /// not given.
    #[serde(default)]
    pub hints: Option<f64>,
    /// How often a caller retries requests that were refused, or failed where a retry is safe.
    #[serde(default)]
    pub retries: u32,
    /// How long a caller waits before a retry.
    #[serde(default)]
    pub backoff: Option<Time>,
}

/// A class of requests.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Its name.
    pub name: String,
    /// Its share of the traffic, relative to the other classes.
    pub share: f64,
    /// The mean service time on a core of a warm node.
    pub work: Time,
    /// How the service time varies: the sigma of its logarithm, 0 for a constant time. `exponential` is set separately.
    #[serde(default)]
    pub spread: f64,
    /// The service time is exponentially distributed.
    #[serde(default)]
    pub exponential: bool,
    /// An answer within this time has its full worth.
    pub aim: Time,
    /// How long the caller waits.
    pub deadline: Time,
    /// `retryable`, `dedup` or `fragile`, as in the settings.
    pub semantics: String,
    /// The worth of an answer in time.
    #[serde(default = "default_worth")]
    pub worth: f64,
}

/// Prices as parts of the result, as in the settings.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Prices {
    /// The price of opened connections, per request.
    #[serde(default)]
    pub handshake: f64,
    /// The price of open connections, for a hundred at each server.
    #[serde(default)]
    pub connection: f64,
    /// The price of attempts across zones, per request.
    #[serde(default)]
    pub cross_zone: f64,
    /// The price of probes, per request.
    #[serde(default = "default_probe_price")]
    pub probe: f64,
}

impl Default for Prices {
    fn default() -> Prices {
        Prices { handshake: 0.0, connection: 0.0, cross_zone: 0.0, probe: default_probe_price() }
    }
}

/// The limits of the discovery service.
#[derive(Clone, Copy, Debug)]
pub struct DiscoveryLimits {
    /// Its delay.
    pub delay: Time,
    /// Calls per second.
    pub calls_per_s: f64,
    /// The number of calls that may wait.
    pub max_queued: usize,
    /// Discovery answers only on request.
    pub on_request: bool,
}

/// How an instance ends before its caller gets another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Termination {
    /// It is asked to terminate: it accepts no more requests and finishes those it has.
    Term,
    /// It dies with all its requests.
    Death,
}

/// A fault.
#[derive(Clone, Debug, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case", deny_unknown_fields)]
pub enum Fault {
    /// A part of the nodes dies without notice to discovery and restarts cold.
    Death {
        /// When it happens.
        at: Time,
        /// The part of the nodes.
        part: f64,
        /// The time after which they restart.
        back: Time,
    },
    /// All nodes are drained, removed and replaced in batches.
    Deploy {
        /// When it begins.
        at: Time,
        /// The part of the nodes in each batch.
        part: f64,
        /// The duration of each batch.
        step: Time,
    },
    /// A part of the nodes stalls repeatedly.
    Stall {
        /// When it begins.
        at: Time,
        /// Its duration.
        lasts: Time,
        /// The part of the nodes.
        part: f64,
        /// The duration of each stall.
        each: Time,
        /// The interval between stalls.
        every: Time,
    },
    /// A part of the nodes is slower.
    Slow {
        /// When it begins.
        at: Time,
        /// Its duration.
        lasts: Time,
        /// The part of the nodes.
        part: f64,
        /// The factor by which work takes longer.
        factor: f64,
    },
    /// A part of the nodes answers every request with an error at once.
    FailFast {
        /// When it begins.
        at: Time,
        /// Its duration.
        lasts: Time,
        /// The part of the nodes.
        part: f64,
    },
    /// A part of the nodes accepts requests and never answers.
    BlackHole {
        /// When it begins.
        at: Time,
        /// Its duration.
        lasts: Time,
        /// The part of the nodes.
        part: f64,
    },
    /// A zone is unreachable.
    ZoneLoss {
        /// When it begins.
        at: Time,
        /// Its duration.
        lasts: Time,
        /// The zone.
        zone: String,
        /// Its nodes restart as new processes at the end.
        #[serde(default)]
        cold: bool,
    },
    /// The network path from the instances of one zone to the nodes of another is cut: requests on it are lost, and no
    /// connection is established.
    Cut {
        /// When it begins.
        at: Time,
        /// Its duration.
        lasts: Time,
        /// The zone of the instances.
        from: String,
        /// The zone of the nodes.
        to: String,
    },
    /// A part of the nodes is drained, removed and replaced, each at its own time.
    Replace {
        /// When it begins.
        at: Time,
        /// The part of the nodes.
        part: f64,
        /// The period in which all of them are replaced.
        within: Time,
    },
    /// Responses are lost on their way back.
    AnswersLost {
        /// When it begins.
        at: Time,
        /// Its duration.
        lasts: Time,
        /// The part of the responses.
        part: f64,
    },
    /// Connections are reset during requests.
    Resets {
        /// When it begins.
        at: Time,
        /// Its duration.
        lasts: Time,
        /// The part of the attempts.
        part: f64,
    },
    /// Responses are unreadable.
    Spoilt {
        /// When it begins.
        at: Time,
        /// Its duration.
        lasts: Time,
        /// The part of the responses.
        part: f64,
    },
    /// Callers give up before their deadline.
    GiveUp {
        /// When it begins.
        at: Time,
        /// Its duration.
        lasts: Time,
        /// The part of the requests.
        part: f64,
        /// The time after which they give up.
        after: Time,
    },
    /// Callers retry sooner and more often than usual.
    Abuse {
        /// When it begins.
        at: Time,
        /// Its duration.
        lasts: Time,
        /// The part of the requests.
        part: f64,
        /// The number of extra retries.
        tries: u32,
    },
    /// A part of the instances ends and restarts in batches.
    Restarts {
        /// When it begins.
        at: Time,
        /// The part of the instances, over all batches.
        part: f64,
        /// The number of batches.
        steps: usize,
        /// The duration of each batch.
        step: Time,
        /// How the instances end.
        how: Termination,
        /// The time until the next instance serves.
        back: Time,
    },
    /// All instances get new settings at run time: the aims change.
    Reload {
        /// When it happens.
        at: Time,
        /// The factor of the change.
        factor: f64,
    },
    /// Callers of one zone send more requests.
    Shift {
        /// When it begins.
        at: Time,
        /// Its duration.
        lasts: Time,
        /// The zone.
        zone: String,
        /// The factor of the change.
        factor: f64,
    },
    /// Discovery is silent.
    ListSilent {
        /// When it begins.
        at: Time,
        /// Its duration.
        lasts: Time,
    },
    /// Callers send more requests.
    Burst {
        /// When it begins.
        at: Time,
        /// Its duration.
        lasts: Time,
        /// The factor of the change.
        factor: f64,
    },
}

fn default_worth() -> f64 {
    1.0
}

fn default_probe_price() -> f64 {
    0.02
}

fn default_list_calls_per_s() -> f64 {
    1000.0
}

fn default_list_queue() -> usize {
    10_000
}

fn single_zone() -> Vec<String> {
    vec!["a".to_owned()]
}
fn enabled() -> bool {
    true
}
fn default_cores() -> usize {
    1
}
fn default_queue() -> usize {
    64
}
fn default_cold_from() -> f64 {
    0.3
}
fn default_cold() -> Time {
    Time(Span(8_000_000))
}
fn default_falls_at() -> f64 {
    2.5
}
fn default_falls_over() -> Time {
    Time(Span(3_000_000))
}
fn default_list_late() -> Time {
    Time(Span(500_000))
}
fn default_network() -> Time {
    Time(Span(200))
}

/// A period of a scenario, in microseconds from the start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Period {
    /// When it begins.
    pub begin: u64,
    /// When it ends.
    pub end: u64,
}

/// The values of a fault that are checked against a range or the zones; `None` where it has no such value.
#[derive(Default)]
struct CheckedValues<'a> {
    part: Option<f64>,
    factor: Option<f64>,
    /// Zones with their keys.
    zones: Vec<(&'static str, &'a str)>,
}

/// The grace period of a drain.
pub const DRAIN_GRACE: Span = Span(1_000_000);

impl Fault {
    /// When it begins and when its cause ends.
    #[must_use]
    pub fn period(&self) -> Period {
        let (at, duration) = match self {
            Fault::Death { at, back, .. } => (at, back.us()),
            Fault::Deploy { at, part, step } => (at, (step.us() as f64 / part.max(1e-3)) as u64),
            Fault::Stall { at, lasts, .. }
            | Fault::Slow { at, lasts, .. }
            | Fault::FailFast { at, lasts, .. }
            | Fault::BlackHole { at, lasts, .. }
            | Fault::ZoneLoss { at, lasts, .. }
            | Fault::Cut { at, lasts, .. }
            | Fault::AnswersLost { at, lasts, .. }
            | Fault::Resets { at, lasts, .. }
            | Fault::Spoilt { at, lasts, .. }
            | Fault::GiveUp { at, lasts, .. }
            | Fault::Abuse { at, lasts, .. }
            | Fault::Shift { at, lasts, .. }
            | Fault::ListSilent { at, lasts }
            | Fault::Burst { at, lasts, .. } => (at, lasts.us()),
            Fault::Replace { at, within, .. } => (at, within.us()),
            Fault::Restarts { at, steps, step, back, .. } => (at, *steps as u64 * step.us() + back.us()),
            Fault::Reload { at, .. } => (at, 0),
        };
        Period { begin: at.us(), end: at.us() + duration }
    }

    /// Its name in scenario files and reports.
    #[must_use]
    pub fn name(&self) -> &'static str {
        match self {
            Fault::Death { .. } => "death",
            Fault::Deploy { .. } => "deploy",
            Fault::Stall { .. } => "stall",
            Fault::Slow { .. } => "slow",
            Fault::FailFast { .. } => "fail_fast",
            Fault::BlackHole { .. } => "black_hole",
            Fault::ZoneLoss { .. } => "zone_loss",
            Fault::Cut { .. } => "cut",
            Fault::Replace { .. } => "replace",
            Fault::AnswersLost { .. } => "answers_lost",
            Fault::Resets { .. } => "resets",
            Fault::Spoilt { .. } => "spoilt",
            Fault::GiveUp { .. } => "give_up",
            Fault::Abuse { .. } => "abuse",
            Fault::Restarts { .. } => "restarts",
            Fault::Reload { .. } => "reload",
            Fault::Shift { .. } => "shift",
            Fault::ListSilent { .. } => "list_silent",
            Fault::Burst { .. } => "burst",
        }
    }

    fn checked_values(&self) -> CheckedValues<'_> {
        let none = CheckedValues::default();
        match self {
            Fault::Death { part, .. }
            | Fault::Deploy { part, .. }
            | Fault::Stall { part, .. }
            | Fault::FailFast { part, .. }
            | Fault::BlackHole { part, .. }
            | Fault::Replace { part, .. }
            | Fault::AnswersLost { part, .. }
            | Fault::Resets { part, .. }
            | Fault::Spoilt { part, .. }
            | Fault::GiveUp { part, .. }
            | Fault::Abuse { part, .. }
            | Fault::Restarts { part, .. } => CheckedValues { part: Some(*part), ..none },
            Fault::Slow { part, factor, .. } => {
                CheckedValues { part: Some(*part), factor: Some(*factor), ..none }
            }
            Fault::Burst { factor, .. } | Fault::Reload { factor, .. } => {
                CheckedValues { factor: Some(*factor), ..none }
            }
            Fault::Shift { zone, factor, .. } => {
                CheckedValues { factor: Some(*factor), zones: vec![("zone", zone)], ..none }
            }
            Fault::ZoneLoss { zone, .. } => CheckedValues { zones: vec![("zone", zone)], ..none },
            Fault::Cut { from, to, .. } => CheckedValues { zones: vec![("from", from), ("to", to)], ..none },
            Fault::ListSilent { .. } => none,
        }
    }
}

/// An invalid value: its key, what is wrong, and what is valid.
struct InvalidValue {
    key: String,
    problem: String,
}

fn invalid(key: &str, problem: impl Into<String>) -> InvalidValue {
    InvalidValue { key: key.to_owned(), problem: problem.into() }
}

/// Checks that a number is within a range.
fn within(key: &str, value: f64, range: std::ops::RangeInclusive<f64>) -> Result<(), InvalidValue> {
    if range.contains(&value) {
        return Ok(());
    }
    Err(invalid(key, format!("{value} is not from {} to {}", range.start(), range.end())))
}

impl Scenario {
    /// Reads and checks a scenario. Ranges are replaced by their lower ends.
    ///
    /// # Errors
    ///
    /// Names the invalid key, its line and value, and what is valid.
    pub fn read(text: &str) -> Result<Scenario> {
        Scenario::read_without_ranges(&Template::read(text).context("invalid scenario")?.at_bound(false))
    }

    /// Reads and checks a text without ranges.
    ///
    /// # Errors
    ///
    /// As [`Scenario::read`].
    pub fn read_without_ranges(text: &str) -> Result<Scenario> {
        let scenario: Scenario = toml::from_str(text).context("invalid scenario")?;
        scenario.check().map_err(|InvalidValue { key, problem }| match line_of(text, &key) {
            Some(line) => anyhow!("line {line}: {key}: {problem}"),
            None => anyhow!("{key}: {problem}"),
        })?;
        scenario.instance_settings(0).map(drop).context("invalid classes")?;
        Ok(scenario)
    }

    fn check(&self) -> Result<(), InvalidValue> {
        let Scenario { fleet, traffic, classes, .. } = self;
        for (key, count) in [
            ("fleet.nodes", fleet.nodes),
            ("fleet.cores", fleet.cores),
            ("fleet.zones", fleet.zones.len()),
            ("traffic.instances", traffic.instances),
        ] {
            within(key, count as f64, 1.0..=100_000.0)?;
        }
        match (traffic.rate_per_s, traffic.load) {
            (Some(rate), None) => within("traffic.rate_per_s", rate, 1e-3..=1e6)?,
            (None, Some(load)) => within("traffic.load", load, 0.01..=10.0)?,
            (Some(_), Some(_)) => {
                return Err(invalid(
                    "traffic.load",
                    "given together with rate_per_s; only one of them is allowed",
                ));
            }
            (None, None) => {
                return Err(invalid("traffic", "neither rate_per_s nor load given; one of them is required"));
            }
        }
        within("traffic.hot", traffic.hot, 0.0..=0.999)?;
        within("traffic.skew", traffic.skew, 0.0..=3.0)?;
        within("traffic.hints", traffic.hints.unwrap_or(0.0), 0.0..=3.0)?;
        within("fleet.cold_from", fleet.cold_from, 1e-3..=1.0)?;
        within("fleet.list_calls_per_s", fleet.list_calls_per_s, 0.1..=1e6)?;
        within("fleet.connections", fleet.connections.unwrap_or(1) as f64, 1.0..=1e6)?;
        for (key, price) in [
            ("prices.handshake", self.prices.handshake),
            ("prices.connection", self.prices.connection),
            ("prices.cross_zone", self.prices.cross_zone),
            ("prices.probe", self.prices.probe),
        ] {
            within(key, price, 0.0..=1.0)?;
        }
        if classes.is_empty() {
            return Err(invalid("class", "none given; at least one is required"));
        }
        for (n, class) in classes.iter().enumerate() {
            let key = |name: &str| format!("class[{n}].{name}");
            within(&key("share"), class.share, 1e-9..=1e9)?;
            within(&key("spread"), class.spread, 0.0..=3.0)?;
            within(&key("worth"), class.worth, 1e-3..=1e3)?;
            if class.aim.us() > class.deadline.us() {
                let (aim, deadline) = (format_duration(class.aim.0), format_duration(class.deadline.0));
                return Err(invalid(&key("aim"), format!("{aim} is longer than the deadline, {deadline}")));
            }
        }
        for (n, fault) in self.faults.iter().enumerate() {
            let key = |name: &str| format!("fault[{n}].{name}");
            let begin = fault.period().begin;
            if begin > self.lasts.us() {
                let (at, end) = (format_duration(Span(begin)), format_duration(self.lasts.0));
                return Err(invalid(&key("at"), format!("{at} is after the end, {end}")));
            }
            let CheckedValues { part, factor, zones } = fault.checked_values();
            within(&key("part"), part.unwrap_or(1.0), 1e-6..=1.0)?;
            within(&key("factor"), factor.unwrap_or(1.0), 0.01..=1000.0)?;
            for (name, zone) in zones {
                if !fleet.zones.iter().any(|known| known == zone) {
                    let known = fleet.zones.join(", ");
                    return Err(invalid(&key(name), format!("'{zone}' is not one of {known}")));
                }
            }
            if let Fault::Restarts { steps, .. } = fault {
                within(&key("steps"), *steps as f64, 1.0..=10_000.0)?;
            }
            if let Fault::Abuse { tries, .. } = fault {
                within(&key("tries"), f64::from(*tries), 1.0..=100.0)?;
            }
        }
        Ok(())
    }

    /// When the first fault begins and the last one ends; `None` without faults.
    #[must_use]
    pub fn fault_period(&self) -> Option<Period> {
        let periods = || self.faults.iter().map(Fault::period);
        let begin = periods().map(|period| period.begin).min()?;
        let end = periods().map(|period| period.end).max()?;
        Some(Period { begin, end })
    }

    /// The mean work of a request, in microseconds.
    #[must_use]
    pub fn mean_work(&self) -> f64 {
        let shares: f64 = self.classes.iter().map(|c| c.share).sum();
        self.classes.iter().map(|c| c.share / shares * c.work.us() as f64).sum::<f64>().max(1.0)
    }

    /// The budget of a cold node.
    #[must_use]
    pub fn cold_budget(&self) -> ColdBudget {
        let Fleet { cores, cold_from, cold, falls_at, falls_over, .. } = self.fleet;
        let window = falls_over.us();
        let warm_budget = falls_at * cores as f64 * window as f64 / self.mean_work();
        ColdBudget { initial_part: cold_from, warm_up: cold.us(), window, warm_budget }
    }

    /// Requests per second of all callers, not counting retries.
    #[must_use]
    pub fn rate(&self) -> f64 {
        let capacity = (self.fleet.nodes * self.fleet.cores) as f64 * 1e6 / self.mean_work();
        self.traffic.rate_per_s.unwrap_or_else(|| self.traffic.load.unwrap_or(0.0) * capacity)
    }

    /// The same scenario with a part of the nodes and instances, each as busy as before.
    #[must_use]
    pub fn scaled(mut self, part: f64) -> Scenario {
        let count = |n: usize| ((n as f64 * part).round() as usize).max(2);
        self.fleet.nodes = count(self.fleet.nodes);
        self.traffic.instances = count(self.traffic.instances);
        self.traffic.rate_per_s = self.traffic.rate_per_s.map(|rate| rate * part);
        self.fleet.list_calls_per_s = (self.fleet.list_calls_per_s * part).max(0.1);
        // Every instance needs its own connections to a node, so the limit scales with the number of instances.
        self.fleet.connections = self.fleet.connections.map(|n| ((n as f64 * part).ceil() as usize).max(4));
        self
    }

    /// The limits of discovery.
    #[must_use]
    pub fn discovery_limits(&self) -> DiscoveryLimits {
        DiscoveryLimits {
            delay: self.fleet.list_late,
            calls_per_s: self.fleet.list_calls_per_s,
            max_queued: self.fleet.list_queue,
            on_request: self.fleet.list_on_request,
        }
    }

    /// The settings of an instance.
    ///
    /// # Errors
    ///
    /// The semantics of a class is unknown.
    pub fn instance_settings(&self, me: usize) -> Result<InstanceSettings> {
        let class = |c: &Class| {
            serde_json::json!({
                "name": c.name, "aim": c.aim.us(), "deadline": c.deadline.us(), "gain": c.worth, "late_worth": 0.5,
                "semantics": c.semantics, "group": "all", "window": 10 * c.deadline.us(),
            })
        };
        let classes: Vec<serde_json::Value> = self.classes.iter().map(class).collect();
        dunlincleat_settings::read_value(serde_json::json!({
            "balancers": self.traffic.instances, "me": me, "zones": self.fleet.zones, "tick": 1000,
            "locality": me % self.fleet.zones.len().max(1),
            "discovery": if self.fleet.list_on_request { "on_request" } else { "pushed" },
            "classes": classes,
            "stats": {"fields": ["inflight", "queue", "util"], "how": if self.fleet.reports { "inline" } else { "off" }},
            "limits": {"try_limit": 4, "probes": true, "cancel": true, "connect_timeout": 200_000},
            "deductions": {"probe": self.prices.probe, "handshake": self.prices.handshake,
                "connection": self.prices.connection, "cross_zone": self.prices.cross_zone},
            "safety": {"drain_grace": DRAIN_GRACE.0, "cold": self.fleet.cold.us(), "cold_from": self.fleet.cold_from},
        }))
    }
}
