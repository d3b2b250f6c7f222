//! What happens: a fleet, its traffic and a time line of faults, read from TOML with units and checked before use.

use crate::cold::Terms;
use crate::template::{Template, line_of};
use anyhow::{Context, Result, anyhow};
use dunlincleat::api::Span;
use dunlincleat_limits::{format_duration, parse_duration};
use dunlincleat_settings::InstanceSettings;
use serde::{Deserialize, Deserializer};

/// A length of time written with its unit, as "80ms".
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Time(pub Span);

impl<'de> Deserialize<'de> for Time {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Time, D::Error> {
        let text = String::deserialize(from)?;
        let span = parse_duration(&text);
        span.map(Time)
            .ok_or_else(|| serde::de::Error::custom(format!("'{text}' is no duration, as \"80ms\"")))
    }
}

impl Time {
    /// In microseconds.
    #[must_use]
    pub fn us(self) -> u64 {
        self.0.0
    }
}

/// A day in the life of a fleet.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Its name.
    pub name: String,
    /// How long callers ask.
    pub lasts: Time,
    /// The nodes.
    pub fleet: Fleet,
    /// The callers.
    pub traffic: Traffic,
    /// What instances are told that things cost, in parts of the result.
    #[serde(default)]
    pub prices: Prices,
    /// The classes of requests.
    #[serde(rename = "class")]
    pub classes: Vec<Class>,
    /// What goes wrong, and when.
    #[serde(rename = "fault", default)]
    pub faults: Vec<Fault>,
}

/// The nodes, all alike but for their zones.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    /// How many.
    pub nodes: usize,
    /// Zones, in turn.
    #[serde(default = "one_zone")]
    pub zones: Vec<String>,
    /// Requests in work at a time.
    #[serde(default = "one")]
    pub cores: usize,
    /// Requests that may wait; one more is turned away.
    #[serde(default = "queue")]
    pub queue: usize,
    /// A node that starts can do this part of its work,
    #[serde(default = "cold_from")]
    pub cold_from: f64,
    /// and all of it after this time.
    #[serde(default = "cold")]
    pub cold: Time,
    /// A cold node falls over where it is sent more than this multiple of what it can do
    #[serde(default = "falls_at")]
    pub falls_at: f64,
    /// over this time.
    #[serde(default = "falls_over")]
    pub falls_over: Time,
    /// How late the list tells.
    #[serde(default = "list_late")]
    pub list_late: Time,
    /// Calls a second that the list answers; others wait in turn.
    #[serde(default = "list_calls")]
    pub list_calls_per_s: f64,
    /// Calls that may wait; one more is turned away.
    #[serde(default = "list_queue")]
    pub list_queue: usize,
    /// Lists come only on request.
    #[serde(default)]
    pub list_on_request: bool,
    /// Connections that a node holds at most; any number where it is not told.
    #[serde(default)]
    pub connections: Option<usize>,
    /// Work of a new connection at its node, beside a way there and back.
    #[serde(default)]
    pub handshake: Option<Time>,
    /// After how long a node closes an idle connection; never where it is not told.
    #[serde(default)]
    pub idle: Option<Time>,
    /// Nodes report their load in answers; without, instances know of it only what they did themselves.
    #[serde(default = "yes")]
    pub reports: bool,
    /// One way from instance to node.
    #[serde(default = "network")]
    pub network: Time,
}

/// The callers and their instances.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Traffic {
    /// Instances, one beside each caller.
    pub instances: usize,
    /// First tries a second, over all; or `load` in its place.
    #[serde(default)]
    pub rate_per_s: Option<f64>,
    /// First tries as a part of what all nodes can do when warm.
    #[serde(default)]
    pub load: Option<f64>,
    /// The part of all that the first instance sends; the others share the rest evenly.
    #[serde(default)]
    pub hot: f64,
    /// How unevenly the others send: sigma of the logarithm of their shares, 0 for all alike.
    #[serde(default)]
    pub skew: f64,
    /// Callers tell a guess at the work, off by this sigma of its logarithm; nothing where they tell none.
    #[serde(default)]
    pub hints: Option<f64>,
    /// How often a caller tries again what was refused, or failed where it may.
    #[serde(default)]
    pub retries: u32,
    /// How long it waits before.
    #[serde(default)]
    pub backoff: Option<Time>,
}

/// A class of requests.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Its name.
    pub name: String,
    /// Its part of the traffic, against that of the others.
    pub share: f64,
    /// The mean time on a core.
    pub work: Time,
    /// How far it spreads: sigma of the logarithm, 0 for always alike; `exponential` is told apart.
    #[serde(default)]
    pub spread: f64,
    /// The time on a core is exponential.
    #[serde(default)]
    pub exponential: bool,
    /// An answer within this time has its full worth.
    pub aim: Time,
    /// How long the caller waits.
    pub deadline: Time,
    /// `retryable`, `dedup` or `fragile`, as in the settings.
    pub semantics: String,
    /// What an answer in time is worth.
    #[serde(default = "full_worth")]
    pub worth: f64,
}

/// Prices, as parts of the result; see the settings.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Prices {
    /// Of connections opened, for each first try.
    #[serde(default)]
    pub handshake: f64,
    /// Of open connections, for a hundred at each server.
    #[serde(default)]
    pub connection: f64,
    /// Of attempts that cross zones, for each first try.
    #[serde(default)]
    pub cross_zone: f64,
    /// Of probes, for each first try.
    #[serde(default = "probe_price")]
    pub probe: f64,
}

impl Default for Prices {
    fn default() -> Prices {
        Prices { handshake: 0.0, connection: 0.0, cross_zone: 0.0, probe: probe_price() }
    }
}

/// Limits of the service that tells of the servers.
#[derive(Clone, Copy, Debug)]
pub struct Discovery {
    /// How late it tells.
    pub late: Time,
    /// Calls a second.
    pub calls_per_s: f64,
    /// Calls that may wait.
    pub queue: usize,
    /// Lists come only on request.
    pub on_request: bool,
}

/// How an instance ends before it starts again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum How {
    /// It is told to, takes nothing more and finishes what it has.
    Term,
    /// At once, with all that it had.
    Death,
}

/// What goes wrong.
#[derive(Clone, Debug, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case", deny_unknown_fields)]
pub enum Fault {
    /// A part of the nodes dies, unheard by the list, and comes back cold.
    Death {
        /// When.
        at: Time,
        /// Which part.
        part: f64,
        /// After how long they are back.
        back: Time,
    },
    /// All nodes are drained, taken away and replaced, some at a time.
    Deploy {
        /// When it begins.
        at: Time,
        /// Which part at a time.
        part: f64,
        /// How long each step takes.
        step: Time,
    },
    /// A part of the nodes stands still again and again.
    Stall {
        /// When it begins.
        at: Time,
        /// For how long.
        lasts: Time,
        /// Which part.
        part: f64,
        /// How long each time.
        each: Time,
        /// How often.
        every: Time,
    },
    /// A part of the nodes is slower.
    Slow {
        /// When it begins.
        at: Time,
        /// For how long.
        lasts: Time,
        /// Which part.
        part: f64,
        /// By what factor work takes longer.
        factor: f64,
    },
    /// A part of the nodes answers errors at once.
    FailFast {
        /// When it begins.
        at: Time,
        /// For how long.
        lasts: Time,
        /// Which part.
        part: f64,
    },
    /// A part of the nodes takes requests and says nothing.
    BlackHole {
        /// When it begins.
        at: Time,
        /// For how long.
        lasts: Time,
        /// Which part.
        part: f64,
    },
    /// A zone is out of reach.
    ZoneLoss {
        /// When it begins.
        at: Time,
        /// For how long.
        lasts: Time,
        /// Which zone.
        zone: String,
        /// Its nodes come back as new processes.
        #[serde(default)]
        cold: bool,
    },
    /// The way from instances of one zone to nodes of another is cut: what is sent is lost, and no connection comes up.
    Cut {
        /// When it begins.
        at: Time,
        /// For how long.
        lasts: Time,
        /// The instances' zone.
        from: String,
        /// The nodes' zone.
        to: String,
    },
    /// A part of the nodes is drained, taken away and replaced, each at a time of its own.
    Replace {
        /// When it begins.
        at: Time,
        /// Which part.
        part: f64,
        /// Within how long.
        within: Time,
    },
    /// Answers get lost on their way back.
    AnswersLost {
        /// When it begins.
        at: Time,
        /// For how long.
        lasts: Time,
        /// Which part of them.
        part: f64,
    },
    /// Connections are reset under requests.
    Resets {
        /// When it begins.
        at: Time,
        /// For how long.
        lasts: Time,
        /// Which part of the attempts.
        part: f64,
    },
    /// Answers can't be read.
    Spoilt {
        /// When it begins.
        at: Time,
        /// For how long.
        lasts: Time,
        /// Which part of them.
        part: f64,
    },
    /// Callers give up early.
    GiveUp {
        /// When it begins.
        at: Time,
        /// For how long.
        lasts: Time,
        /// Which part of the requests.
        part: f64,
        /// After how long.
        after: Time,
    },
    /// Callers come again at once and more often than usual.
    Abuse {
        /// When it begins.
        at: Time,
        /// For how long.
        lasts: Time,
        /// Which part of the requests.
        part: f64,
        /// Further tries.
        tries: u32,
    },
    /// A part of the instances ends and starts again, some at a time.
    Restarts {
        /// When it begins.
        at: Time,
        /// Which part of them in all.
        part: f64,
        /// In how many steps.
        steps: usize,
        /// How long each step takes.
        step: Time,
        /// How they end.
        how: How,
        /// After how long the next process serves.
        back: Time,
    },
    /// All instances are given other settings in service: the aims change.
    Reload {
        /// When.
        at: Time,
        /// By what factor.
        factor: f64,
    },
    /// Callers of one zone ask more.
    Shift {
        /// When it begins.
        at: Time,
        /// For how long.
        lasts: Time,
        /// The zone.
        zone: String,
        /// So many times as much.
        factor: f64,
    },
    /// The list tells nothing new.
    ListSilent {
        /// When it begins.
        at: Time,
        /// For how long.
        lasts: Time,
    },
    /// Callers ask more.
    Burst {
        /// When it begins.
        at: Time,
        /// For how long.
        lasts: Time,
        /// So many times as much.
        factor: f64,
    },
}

fn full_worth() -> f64 {
    1.0
}

fn probe_price() -> f64 {
    0.02
}

fn list_calls() -> f64 {
    1000.0
}

fn list_queue() -> usize {
    10_000
}

fn one_zone() -> Vec<String> {
    vec!["a".to_owned()]
}
fn yes() -> bool {
    true
}
fn one() -> usize {
    1
}
fn queue() -> usize {
    64
}
fn cold_from() -> f64 {
    0.3
}
fn cold() -> Time {
    Time(Span(8_000_000))
}
fn falls_at() -> f64 {
    2.5
}
fn falls_over() -> Time {
    Time(Span(3_000_000))
}
fn list_late() -> Time {
    Time(Span(500_000))
}
fn network() -> Time {
    Time(Span(200))
}

/// The grace of a drain.
pub const GRACE: Span = Span(1_000_000);

impl Fault {
    /// When it begins, and when its cause is over.
    #[must_use]
    pub fn span(&self) -> (u64, u64) {
        let (at, over) = match self {
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
        (at.us(), at.us() + over)
    }

    /// Its name in a file.
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

    /// Its part, factor and zones, each with its key, for the checks.
    fn figures(&self) -> (Option<f64>, Option<f64>, Vec<(&'static str, &str)>) {
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
            | Fault::Restarts { part, .. } => (Some(*part), None, Vec::new()),
            Fault::Slow { part, factor, .. } => (Some(*part), Some(*factor), Vec::new()),
            Fault::Burst { factor, .. } | Fault::Reload { factor, .. } => (None, Some(*factor), Vec::new()),
            Fault::Shift { zone, factor, .. } => (None, Some(*factor), vec![("zone", zone)]),
            Fault::ZoneLoss { zone, .. } => (None, None, vec![("zone", zone)]),
            Fault::Cut { from, to, .. } => (None, None, vec![("from", from), ("to", to)]),
            Fault::ListSilent { .. } => (None, None, Vec::new()),
        }
    }
}

/// A value at fault: its key, and what is wrong and would be right.
struct Wrong(String, String);

fn wrong(key: &str, what: impl Into<String>) -> Wrong {
    Wrong(key.to_owned(), what.into())
}

/// The key and value of a number outside its range.
fn within(key: &str, value: f64, range: std::ops::RangeInclusive<f64>) -> Result<(), Wrong> {
    if range.contains(&value) {
        return Ok(());
    }
    Err(wrong(key, format!("{value} is not from {} to {}", range.start(), range.end())))
}

impl Scenario {
    /// Reads and checks a scenario; of ranges the lower ends are taken.
    ///
    /// # Errors
    ///
    /// Names the key that is at fault, its line, value and what would be right.
    pub fn read(text: &str) -> Result<Scenario> {
        Scenario::read_without_ranges(&Template::read(text).context("the scenario")?.at_bound(false))
    }

    /// Reads and checks a text without ranges.
    ///
    /// # Errors
    ///
    /// As [`Scenario::read`].
    pub fn read_without_ranges(text: &str) -> Result<Scenario> {
        let scenario: Scenario = toml::from_str(text).context("the scenario")?;
        scenario.check().map_err(|Wrong(key, what)| match line_of(text, &key) {
            Some(line) => anyhow!("line {line}: {key}: {what}"),
            None => anyhow!("{key}: {what}"),
        })?;
        scenario.site(0).map(drop).context("the classes")?;
        Ok(scenario)
    }

    fn check(&self) -> Result<(), Wrong> {
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
                return Err(wrong("traffic.load", "beside rate_per_s; there is one of them"));
            }
            (None, None) => {
                return Err(wrong("traffic", "neither rate_per_s nor load; there is one of them"));
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
            return Err(wrong("class", "none; there is at least one"));
        }
        for (n, class) in classes.iter().enumerate() {
            let key = |name: &str| format!("class[{n}].{name}");
            within(&key("share"), class.share, 1e-9..=1e9)?;
            within(&key("spread"), class.spread, 0.0..=3.0)?;
            within(&key("worth"), class.worth, 1e-3..=1e3)?;
            if class.aim.us() > class.deadline.us() {
                let (aim, deadline) = (format_duration(class.aim.0), format_duration(class.deadline.0));
                return Err(wrong(&key("aim"), format!("{aim} is over deadline, {deadline}")));
            }
        }
        for (n, fault) in self.faults.iter().enumerate() {
            let key = |name: &str| format!("fault[{n}].{name}");
            let (at, _) = fault.span();
            if at > self.lasts.us() {
                let (at, end) = (format_duration(Span(at)), format_duration(self.lasts.0));
                return Err(wrong(&key("at"), format!("{at} is after the end, {end}")));
            }
            let (part, factor, zones) = fault.figures();
            within(&key("part"), part.unwrap_or(1.0), 1e-6..=1.0)?;
            within(&key("factor"), factor.unwrap_or(1.0), 0.01..=1000.0)?;
            for (name, zone) in zones {
                if !fleet.zones.iter().any(|known| known == zone) {
                    let known = fleet.zones.join(", ");
                    return Err(wrong(&key(name), format!("'{zone}' is none of {known}")));
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

    /// When the last cause is over, in microseconds from the start, and when the first begins; nothing where there is none.
    #[must_use]
    pub fn troubled(&self) -> Option<(u64, u64)> {
        let spans = || self.faults.iter().map(Fault::span);
        Some((spans().map(|(at, _)| at).min()?, spans().map(|(_, over)| over).max()?))
    }

    /// The mean work of a request, in microseconds.
    #[must_use]
    pub fn mean_work(&self) -> f64 {
        let shares: f64 = self.classes.iter().map(|c| c.share).sum();
        self.classes.iter().map(|c| c.share / shares * c.work.us() as f64).sum::<f64>().max(1.0)
    }

    /// What a cold node may get.
    #[must_use]
    pub fn cold_terms(&self) -> Terms {
        let Fleet { cores, cold_from, cold, falls_at, falls_over, .. } = self.fleet;
        let over = falls_over.us();
        let warm_budget = falls_at * cores as f64 * over as f64 / self.mean_work();
        Terms { from: cold_from, cold: cold.us(), over, warm_budget }
    }

    /// First tries a second, over all.
    #[must_use]
    pub fn rate(&self) -> f64 {
        let capacity = (self.fleet.nodes * self.fleet.cores) as f64 * 1e6 / self.mean_work();
        self.traffic.rate_per_s.unwrap_or_else(|| self.traffic.load.unwrap_or(0.0) * capacity)
    }

    /// The same day with a part of the nodes and instances, each as busy as before.
    #[must_use]
    pub fn scaled(mut self, part: f64) -> Scenario {
        let count = |n: usize| ((n as f64 * part).round() as usize).max(2);
        self.fleet.nodes = count(self.fleet.nodes);
        self.traffic.instances = count(self.traffic.instances);
        self.traffic.rate_per_s = self.traffic.rate_per_s.map(|rate| rate * part);
        self.fleet.list_calls_per_s = (self.fleet.list_calls_per_s * part).max(0.1);
        // Each instance alone takes so many connections at a node: the limit follows their number.
        self.fleet.connections = self.fleet.connections.map(|n| ((n as f64 * part).ceil() as usize).max(4));
        self
    }

    /// The limits of discovery.
    #[must_use]
    pub fn discovery(&self) -> Discovery {
        Discovery {
            late: self.fleet.list_late,
            calls_per_s: self.fleet.list_calls_per_s,
            queue: self.fleet.list_queue,
            on_request: self.fleet.list_on_request,
        }
    }

    /// The settings of an instance.
    ///
    /// # Errors
    ///
    /// A class has a semantics that is not known.
    pub fn site(&self, me: usize) -> Result<InstanceSettings> {
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
            "safety": {"drain_grace": GRACE.0, "cold": self.fleet.cold.us(), "cold_from": self.fleet.cold_from},
        }))
    }
}
