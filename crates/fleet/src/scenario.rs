//! What happens: a fleet, its traffic and a time line of faults, read from TOML with units and checked before use.

use anyhow::{Context, Result, bail};
use dunlincleat::api::Span;
use dunlincleat_limits::file::{duration, written};
use dunlincleat_settings::Site;
use serde::{Deserialize, Deserializer};

/// A length of time written with its unit, as "80ms".
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Time(pub Span);

impl<'de> Deserialize<'de> for Time {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Time, D::Error> {
        let text = String::deserialize(from)?;
        let span = duration(&text);
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
    /// First tries a second, over all.
    pub rate_per_s: f64,
    /// The part of all that the first instance sends; the others share the rest evenly.
    #[serde(default)]
    pub hot: f64,
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

fn one_zone() -> Vec<String> {
    vec!["a".to_owned()]
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

impl Scenario {
    /// Reads and checks a scenario.
    ///
    /// # Errors
    ///
    /// Names the key that is at fault, its place and what would be right.
    pub fn read(text: &str) -> Result<Scenario> {
        let scenario: Scenario = toml::from_str(text).context("the scenario")?;
        scenario.check()?;
        Ok(scenario)
    }

    fn check(&self) -> Result<()> {
        let Scenario { fleet, traffic, classes, .. } = self;
        if fleet.nodes == 0 || traffic.instances == 0 || fleet.cores == 0 || fleet.zones.is_empty() {
            bail!("fleet.nodes, fleet.cores, fleet.zones and traffic.instances: there must be one of each");
        }
        if fleet.nodes > 100_000 || traffic.instances > 100_000 {
            bail!("fleet.nodes and traffic.instances: 100,000 of each at most");
        }
        if !(traffic.rate_per_s > 0.0 && traffic.rate_per_s <= 1e6) {
            bail!("traffic.rate_per_s: over 0 and at most 1,000,000");
        }
        if !(0.0..1.0).contains(&traffic.hot)
            || !(0.0..=1.0).contains(&fleet.cold_from)
            || fleet.cold_from == 0.0
        {
            bail!("traffic.hot: from 0 to under 1; fleet.cold_from: over 0 and at most 1");
        }
        if classes.is_empty() || classes.iter().any(|c| !(c.share > 0.0 && c.share.is_finite())) {
            bail!("class: at least one, each with a share over 0");
        }
        if let Some(class) = classes.iter().find(|c| c.aim.us() > c.deadline.us()) {
            bail!("class '{}': aim {} is over deadline", class.name, written(class.aim.0));
        }
        if classes.iter().any(|c| !(0.0..=3.0).contains(&c.spread)) {
            bail!("class.spread: from 0 to 3");
        }
        for (n, fault) in self.faults.iter().enumerate() {
            let (at, part) = match fault {
                Fault::Death { at, part, .. }
                | Fault::Deploy { at, part, .. }
                | Fault::Stall { at, part, .. }
                | Fault::Slow { at, part, .. }
                | Fault::FailFast { at, part, .. }
                | Fault::BlackHole { at, part, .. } => (at, *part),
                Fault::ZoneLoss { at, zone, .. } => {
                    if !fleet.zones.contains(zone) {
                        bail!("fault[{n}].zone: '{zone}' is none of {}", fleet.zones.join(", "));
                    }
                    (at, 1.0)
                }
                Fault::ListSilent { at, .. } | Fault::Burst { at, .. } => (at, 1.0),
            };
            if at.us() > self.lasts.us() {
                bail!("fault[{n}].at: {} is after the end, {}", written(at.0), written(self.lasts.0));
            }
            if !(part > 0.0 && part <= 1.0) {
                bail!("fault[{n}].part: over 0 and at most 1");
            }
            let (Fault::Slow { factor, .. } | Fault::Burst { factor, .. }) = fault else { continue };
            if !(0.01..=1000.0).contains(factor) {
                bail!("fault[{n}].factor: from 0.01 to 1000");
            }
        }
        self.site(0).map(drop).context("the classes")
    }

    /// The settings of an instance.
    ///
    /// # Errors
    ///
    /// A class has a semantics that is not known.
    pub fn site(&self, me: usize) -> Result<Site> {
        let class = |c: &Class| {
            serde_json::json!({
                "name": c.name, "aim": c.aim.us(), "deadline": c.deadline.us(), "gain": 1.0, "late_worth": 0.5,
                "semantics": c.semantics, "group": "all", "window": 10 * c.deadline.us(),
            })
        };
        let classes: Vec<serde_json::Value> = self.classes.iter().map(class).collect();
        dunlincleat_settings::read_value(serde_json::json!({
            "balancers": self.traffic.instances, "me": me, "zones": self.fleet.zones, "tick": 1000,
            "classes": classes, "stats": {"fields": ["inflight", "queue", "util"], "how": "inline"},
            "limits": {"try_limit": 4, "probes": true, "cancel": true, "connect_timeout": 200_000},
            "deductions": {"probe": 0.02},
            "safety": {"drain_grace": GRACE.0, "cold": self.fleet.cold.us(), "cold_from": self.fleet.cold_from},
        }))
    }
}
