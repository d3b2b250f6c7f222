//! Finds the rule that applies to a request: that of the first matching route, or the default. A request keeps the rule
//! under which it was admitted, also after a reload.

use crate::file::{At, File, HedgeDelay, Knobs, Match, Pool, RetryBudget};
use crate::fleet::Fleet;
use dunlincleat::api::Span;
use dunlincleat_settings::InstanceSettings;
use std::sync::Arc;

/// A pattern of paths: segments separated by '/', of which '*' matches any one segment, and '**' at the end any number of
/// segments, including none.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PathPattern {
    parts: Vec<Option<String>>,
    open: bool,
}

impl PathPattern {
    /// Parses a pattern; `None` if the text is not a valid one.
    #[must_use]
    pub fn parse(text: &str) -> Option<PathPattern> {
        let mut parts: Vec<&str> = text.strip_prefix('/')?.split('/').collect();
        let open = parts.last() == Some(&"**");
        if open {
            parts.pop();
        }
        let read = |part: &&str| match *part {
            "*" => Some(None),
            part if part.contains('*') || part.contains('?') || part.contains('#') => None,
            part => Some(Some(part.to_owned())),
        };
        let parts = parts.iter().map(read).collect::<Option<Vec<_>>>()?;
        Some(PathPattern { parts, open })
    }

    /// The pattern that matches every path.
    #[must_use]
    pub fn any() -> PathPattern {
        PathPattern { parts: Vec::new(), open: true }
    }

    /// The pattern that matches every path with this first segment; `None` if the segment can't be part of a pattern.
    #[must_use]
    pub fn under(first: &str) -> Option<PathPattern> {
        PathPattern::parse(&format!("/{first}/**"))
    }

    /// The first segment, unless it is a wildcard.
    #[must_use]
    pub fn first(&self) -> Option<&str> {
        self.parts.first().and_then(Option::as_deref)
    }

    /// Whether the pattern matches a path, given without its query.
    #[must_use]
    pub fn matches(&self, path: &str) -> bool {
        let mut given = path.strip_prefix('/').unwrap_or(path).split('/');
        for part in &self.parts {
            match (given.next(), part) {
                (None, _) => return false,
                (Some(_), None) => {}
                (Some(given), Some(part)) => {
                    if given != part {
                        return false;
                    }
                }
            }
        }
        self.open || given.next().is_none()
    }

    /// Whether this pattern matches every path that the other one matches.
    #[must_use]
    pub fn covers(&self, other: &PathPattern) -> bool {
        let fits = |(mine, others): (&Option<String>, &Option<String>)| mine.is_none() || mine == others;
        let long = if self.open {
            other.parts.len() >= self.parts.len()
        } else {
            other.parts.len() == self.parts.len()
        };
        long && (self.open || !other.open) && self.parts.iter().zip(&other.parts).all(fits)
    }
}

/// The attributes of a request by which its route is found.
pub struct RequestAttributes<'a> {
    /// The path, without its query.
    pub path: &'a str,
    /// The method.
    pub method: &'a str,
    /// The number of the class.
    pub class: u32,
    /// The number of the tenant.
    pub tenant: u32,
    /// Looks up the value of a header by its name in lower case.
    pub header: &'a dyn Fn(&str) -> Option<&'a str>,
}

/// The limits of a route. `None` leaves the decision to the settings and the decision module.
#[derive(Clone, Debug, PartialEq)]
pub struct Rule {
    /// The route's name.
    pub name: String,
    /// The line of the file on which the route begins; `None` for the default rule.
    pub line: Option<usize>,
    /// The timeout of one attempt.
    pub attempt_timeout: Option<Span>,
    /// The timeout of the request, over all attempts.
    pub timeout: Option<Span>,
    /// The timeout for opening a connection.
    pub connect_timeout: Option<Span>,
    /// The highest number of attempts.
    pub attempts: Option<u32>,
    /// When a hedged request may be sent.
    pub hedge_delay: Option<HedgeDelay>,
    /// The retry budget.
    pub retry_budget: Option<RetryBudget>,
    /// The highest number of requests in progress.
    pub max_in_hand: Option<u32>,
    /// The highest number of requests without an attempt in flight.
    pub max_waiting: Option<u32>,
    /// The priority from 0, which is refused first when the instance is near its limit, to 9.
    pub priority: Option<u32>,
    /// The pool of the route and those that it falls back to, in order; empty for all servers.
    pub pools: Vec<PoolChoice>,
    /// The line of the file on which each key is set.
    pub key_lines: Vec<KeyLine>,
}

/// The line of the file on which a key is set.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeyLine {
    /// The key of the route, without its section.
    pub key: &'static str,
    /// The line, from 1.
    pub line: usize,
}

impl Rule {
    /// The default rule of an instance without a file, which limits nothing.
    #[must_use]
    pub fn unrestricted() -> Rule {
        Rule {
            name: "default".to_owned(),
            line: None,
            attempt_timeout: None,
            timeout: None,
            connect_timeout: None,
            attempts: None,
            hedge_delay: None,
            retry_budget: None,
            max_in_hand: None,
            max_waiting: None,
            priority: None,
            pools: Vec::new(),
            key_lines: Vec::new(),
        }
    }
}

/// The servers of a pool.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PoolHealth {
    /// All servers that take new requests.
    pub servers: usize,
    /// Those of them that are healthy.
    pub healthy: usize,
}

impl PoolHealth {
    /// The healthy part of the servers; 0 if there are none.
    #[must_use]
    pub fn healthy_part(self) -> f64 {
        if self.servers == 0 { 0.0 } else { self.healthy as f64 / self.servers as f64 }
    }
}

/// A pool that a route may use.
#[derive(Clone, Debug, PartialEq)]
pub struct PoolChoice {
    /// Its name.
    pub name: String,
    /// The part of its servers that must be healthy for the pool to be used.
    pub least_healthy: f64,
}

impl Rule {
    /// Chooses a pool: the first with enough healthy servers, otherwise the one with the largest healthy part, and the
    /// first among equals.
    #[must_use]
    pub fn choose_pool(&self, health: impl Fn(&str) -> PoolHealth) -> Option<&str> {
        let part = |choice: &PoolChoice| health(&choice.name).healthy_part();
        let enough = |choice: &&PoolChoice| {
            let part = part(choice);
            part > 0.0 && part >= choice.least_healthy
        };
        if let Some(choice) = self.pools.iter().find(enough) {
            return Some(&choice.name);
        }
        // `max_by` returns the last of equal elements: reversed, that is the first one listed.
        let best = self.pools.iter().rev().max_by(|a, b| part(a).total_cmp(&part(b)));
        best.map(|choice| choice.name.as_str())
    }
}

/// The selectors of a pool of servers; a server must match all of them.
#[derive(Clone, Debug, PartialEq)]
pub struct PoolRule {
    /// Its name.
    pub name: String,
    /// The names of the zones; `None` for all.
    pub zones: Option<Vec<String>>,
    /// The names of the server models; `None` for all.
    pub models: Option<Vec<String>>,
    /// The cells; `None` for all.
    pub cells: Option<Vec<u32>>,
    /// The lowest and the highest weight; `None` for all.
    pub weight: Option<(f64, f64)>,
}

impl PoolRule {
    /// Whether a server belongs to the pool.
    #[must_use]
    pub fn selects(&self, zone: &str, model: &str, cell: u32, weight: f64) -> bool {
        self.zones.as_ref().is_none_or(|zones| zones.iter().any(|z| z == zone))
            && self.models.as_ref().is_none_or(|models| models.iter().any(|m| m == model))
            && self.cells.as_ref().is_none_or(|cells| cells.contains(&cell))
            && self.weight.is_none_or(|(least, most)| (least..=most).contains(&weight))
    }
}

#[derive(Clone, Debug)]
struct Matcher {
    path: Option<PathPattern>,
    method: Option<String>,
    class: Option<u32>,
    tenant: Option<u32>,
    headers: Vec<(String, String)>,
}

impl Matcher {
    fn new(matches: &Match, site: &InstanceSettings) -> Matcher {
        let number = |names: &[String], at: &Option<At<String>>| {
            let at = at.as_ref()?;
            // Validation rejects unknown names; u32::MAX matches no request.
            Some(names.iter().position(|name| *name == at.value).map_or(u32::MAX, |n| n as u32))
        };
        Matcher {
            path: matches.path.as_ref().and_then(|path| PathPattern::parse(&path.value)),
            method: matches.method.as_ref().map(|method| method.value.clone()),
            class: number(&site.classes, &matches.class),
            tenant: number(&site.tenants, &matches.tenant),
            headers: matches.headers.iter().map(|(name, at)| (name.clone(), at.value.clone())).collect(),
        }
    }

    fn matches(&self, facts: &RequestAttributes<'_>) -> bool {
        self.class.is_none_or(|class| class == facts.class)
            && self.tenant.is_none_or(|tenant| tenant == facts.tenant)
            && self.method.as_ref().is_none_or(|method| method == facts.method)
            && self.path.as_ref().is_none_or(|path| path.matches(facts.path))
            && self.headers.iter().all(|(name, value)| (facts.header)(name) == Some(value))
    }
}

/// The rules of one operator's file.
#[derive(Clone, Debug)]
pub struct RuleSet {
    routes: Vec<(Matcher, Arc<Rule>)>,
    /// For each class, the indices of the routes that its requests may match.
    by_class: Vec<Vec<u32>>,
    default: Arc<Rule>,
    pools: Vec<PoolRule>,
    fleet: Option<Arc<Fleet>>,
}

impl RuleSet {
    /// The rules of an instance without a file, which limit nothing.
    #[must_use]
    pub fn unrestricted() -> RuleSet {
        RuleSet {
            routes: Vec::new(),
            by_class: Vec::new(),
            default: Arc::new(Rule::unrestricted()),
            pools: Vec::new(),
            fleet: None,
        }
    }

    /// Builds the rules of a validated file.
    pub(crate) fn new(text: &str, file: &File, site: &InstanceSettings, fleet: Option<Fleet>) -> RuleSet {
        let ends: Vec<usize> = text.match_indices('\n').map(|(at, _)| at).collect();
        let line = |offset: usize| ends.partition_point(|end| *end < offset) + 1;
        let rule = |name: String, begins: Option<usize>, knobs: &Knobs| {
            let set = Knobs::inherit(knobs, &file.defaults);
            let named = |name: &String| file.pools.iter().find(|pool| pool.name.value == *name);
            let choice = |pool: &Pool| PoolChoice {
                name: pool.name.value.clone(),
                least_healthy: pool.least_healthy.as_ref().map_or(0.0, |at| at.value),
            };
            let first = set.pool.as_ref().and_then(|at| named(&at.value));
            let others = first.and_then(|pool| pool.fall_back.as_ref()).into_iter().flat_map(|at| &at.value);
            let pools = first.into_iter().chain(others.filter_map(named)).map(choice).collect();
            Rule {
                name,
                line: begins.map(line),
                key_lines: set
                    .offsets()
                    .into_iter()
                    .map(|(key, offset)| KeyLine { key, line: line(offset) })
                    .collect(),
                attempt_timeout: set.attempt_timeout.map(|at| at.value),
                timeout: set.timeout.map(|at| at.value),
                connect_timeout: set.connect_timeout.map(|at| at.value),
                attempts: set.attempts.map(|at| at.value),
                hedge_delay: set.second_copy.map(|at| at.value),
                retry_budget: set.retry_budget.map(|at| at.value),
                max_in_hand: set.max_in_hand.map(|at| at.value),
                max_waiting: set.max_waiting.map(|at| at.value),
                priority: set.priority.map(|at| at.value),
                pools,
            }
        };
        let routes: Vec<(Matcher, Arc<Rule>)> = file
            .routes
            .iter()
            .map(|route| {
                let rule = rule(route.name.value.clone(), Some(route.name.offset), &route.knobs);
                (Matcher::new(&route.matches, site), Arc::new(rule))
            })
            .collect();
        let default = Arc::new(rule("default".to_owned(), None, &Knobs::default()));
        let may = |class: usize, matcher: &Matcher| {
            let path = matcher.path.as_ref().and_then(PathPattern::first);
            matcher.class.is_none_or(|n| n as usize == class)
                && path.is_none_or(|first| first == site.classes[class])
        };
        let of_class = |class: usize| {
            let fit = routes.iter().enumerate().filter(|(_, (matcher, _))| may(class, matcher));
            fit.map(|(n, _)| n as u32).collect()
        };
        let by_class = (0..site.classes.len()).map(of_class).collect();
        let pools = file.pools.iter().map(|pool| PoolRule {
            name: pool.name.value.clone(),
            zones: pool.zones.as_ref().map(|at| at.value.clone()),
            models: pool.models.as_ref().map(|at| at.value.clone()),
            cells: pool.cells.as_ref().map(|at| at.value.clone()),
            weight: pool.weight.as_ref().map(|at| at.value),
        });
        RuleSet { by_class, default, pools: pools.collect(), routes, fleet: fleet.map(Arc::new) }
    }

    /// The fleet and its duties, if the file has a fleet.
    #[must_use]
    pub fn fleet(&self) -> Option<&Arc<Fleet>> {
        self.fleet.as_ref()
    }

    /// Finds the rule that applies to a request.
    #[must_use]
    pub fn find(&self, facts: &RequestAttributes<'_>) -> &Arc<Rule> {
        let of_class = self.by_class.get(facts.class as usize).map_or(&[][..], Vec::as_slice);
        let mut routes = of_class.iter().filter_map(|n| self.routes.get(*n as usize));
        routes.find(|(matcher, _)| matcher.matches(facts)).map_or(&self.default, |(_, rule)| rule)
    }

    /// The rule of requests that no route matches.
    #[must_use]
    pub fn default_rule(&self) -> &Arc<Rule> {
        &self.default
    }

    /// All rules in the order of their routes, the default rule last.
    pub fn rules(&self) -> impl Iterator<Item = &Arc<Rule>> {
        self.routes.iter().map(|(_, rule)| rule).chain([&self.default])
    }

    /// The pools, in the order of the file.
    #[must_use]
    pub fn pools(&self) -> &[PoolRule] {
        &self.pools
    }
}

impl Knobs {
    /// The options of a route, completed by the defaults.
    #[must_use]
    pub fn inherit(route: &Knobs, defaults: &Knobs) -> Knobs {
        let (route, defaults) = (route.clone(), defaults.clone());
        Knobs {
            attempt_timeout: route.attempt_timeout.or(defaults.attempt_timeout),
            timeout: route.timeout.or(defaults.timeout),
            connect_timeout: route.connect_timeout.or(defaults.connect_timeout),
            attempts: route.attempts.or(defaults.attempts),
            second_copy: route.second_copy.or(defaults.second_copy),
            retry_budget: route.retry_budget.or(defaults.retry_budget),
            max_in_hand: route.max_in_hand.or(defaults.max_in_hand),
            max_waiting: route.max_waiting.or(defaults.max_waiting),
            priority: route.priority.or(defaults.priority),
            pool: route.pool.or(defaults.pool),
        }
    }

    /// The keys that are set, each with its offset in the text.
    fn offsets(&self) -> Vec<(&'static str, usize)> {
        let all = [
            ("attempt_timeout", self.attempt_timeout.as_ref().map(|at| at.offset)),
            ("timeout", self.timeout.as_ref().map(|at| at.offset)),
            ("connect_timeout", self.connect_timeout.as_ref().map(|at| at.offset)),
            ("attempts", self.attempts.as_ref().map(|at| at.offset)),
            ("second_copy", self.second_copy.as_ref().map(|at| at.offset)),
            ("retry_budget", self.retry_budget.as_ref().map(|at| at.offset)),
            ("max_in_hand", self.max_in_hand.as_ref().map(|at| at.offset)),
            ("max_waiting", self.max_waiting.as_ref().map(|at| at.offset)),
            ("priority", self.priority.as_ref().map(|at| at.offset)),
            ("pool", self.pool.as_ref().map(|at| at.offset)),
        ];
        all.into_iter().filter_map(|(key, offset)| Some((key, offset?))).collect()
    }
}
