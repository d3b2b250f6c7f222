//! Finds the rule that applies to a request: that of the first matching route, or the default. A request keeps the rule
//! under which it was admitted, also after a reload.

use crate::file::{KeyOffset, LimitsFile, Located, PoolSection, RouteMatch, RouteOptions, RouteSection};
use crate::fleet::Fleet;
use crate::path::PathPattern;
use crate::rule::{KeyLine, PoolChoice, PoolRule, Rule};
use dunlincleat_settings::InstanceSettings;
use std::sync::Arc;

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

#[derive(Clone, Debug)]
struct Matcher {
    path: Option<PathPattern>,
    method: Option<String>,
    class: Option<u32>,
    tenant: Option<u32>,
    headers: Vec<(String, String)>,
}

impl Matcher {
    fn new(conditions: &RouteMatch, instance: &InstanceSettings) -> Matcher {
        let value = |at: &Located<String>| at.value.clone();
        Matcher {
            path: conditions.path.as_ref().and_then(|path| PathPattern::parse(&path.value)),
            method: conditions.method.as_ref().map(value),
            class: conditions.class.as_ref().map(|class| number_of(&instance.classes, &class.value)),
            tenant: conditions.tenant.as_ref().map(|tenant| number_of(&instance.tenants, &tenant.value)),
            headers: conditions.headers.iter().map(|(name, at)| (name.clone(), value(at))).collect(),
        }
    }

    fn matches(&self, request: &RequestAttributes<'_>) -> bool {
        self.class.is_none_or(|class| class == request.class)
            && self.tenant.is_none_or(|tenant| tenant == request.tenant)
            && self.method.as_ref().is_none_or(|method| method == request.method)
            && self.path.as_ref().is_none_or(|path| path.matches(request.path))
            && self.headers.iter().all(|(name, value)| (request.header)(name) == Some(value))
    }

    /// Whether some request of a class can match.
    fn may_match_class(&self, number: usize, name: &str) -> bool {
        let first_segment = self.path.as_ref().and_then(PathPattern::first);
        self.class.is_none_or(|class| class as usize == number)
            && first_segment.is_none_or(|segment| segment == name)
    }
}

/// The number of a name. Validation rejects unknown names; u32::MAX matches no request.
fn number_of(names: &[String], name: &str) -> u32 {
    names.iter().position(|other| other == name).map_or(u32::MAX, |n| n as u32)
}

#[derive(Clone, Debug)]
struct Route {
    matcher: Matcher,
    rule: Arc<Rule>,
}

/// The rules of one operator's file.
#[derive(Clone, Debug)]
pub struct RuleSet {
    routes: Vec<Route>,
    /// For each class, the indices of the routes that its requests may match.
    by_class: Vec<Vec<u32>>,
    default: Arc<Rule>,
    pools: Vec<Arc<PoolRule>>,
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
    pub(crate) fn new(
        text: &str,
        file: &LimitsFile,
        instance: &InstanceSettings,
        fleet: Option<Fleet>,
    ) -> RuleSet {
        let pools: Vec<Arc<PoolRule>> = file.pools.iter().map(pool_rule).map(Arc::new).collect();
        let builder = RuleBuilder { file, lines: LineIndex::new(text), pools: &pools };
        let build_route = |route: &RouteSection| Route {
            matcher: Matcher::new(&route.conditions, instance),
            rule: Arc::new(builder.route_rule(route)),
        };
        let routes: Vec<Route> = file.routes.iter().map(build_route).collect();
        let routes_of_class = |number: usize, name: &str| {
            let routes = routes.iter().enumerate();
            let routes = routes.filter(|(_, route)| route.matcher.may_match_class(number, name));
            routes.map(|(n, _)| n as u32).collect()
        };
        let classes = instance.classes.iter().enumerate();
        let by_class = classes.map(|(number, name)| routes_of_class(number, name)).collect();
        RuleSet {
            by_class,
            default: Arc::new(builder.default_rule()),
            routes,
            fleet: fleet.map(Arc::new),
            pools,
        }
    }

    /// The fleet and its duties, if the file has a fleet.
    #[must_use]
    pub fn fleet(&self) -> Option<&Arc<Fleet>> {
        self.fleet.as_ref()
    }

    /// Finds the rule that applies to a request.
    #[must_use]
    pub fn find(&self, request: &RequestAttributes<'_>) -> &Arc<Rule> {
        let of_class = self.by_class.get(request.class as usize).map_or(&[][..], Vec::as_slice);
        let mut routes = of_class.iter().filter_map(|n| self.routes.get(*n as usize));
        routes.find(|route| route.matcher.matches(request)).map_or(&self.default, |route| &route.rule)
    }

    /// The rule of requests that no route matches.
    #[must_use]
    pub fn default_rule(&self) -> &Arc<Rule> {
        &self.default
    }

    /// All rules in the order of their routes, the default rule last.
    pub fn rules(&self) -> impl Iterator<Item = &Arc<Rule>> {
        self.routes.iter().map(|route| &route.rule).chain([&self.default])
    }

    /// The pools, in the order of the file.
    #[must_use]
    pub fn pools(&self) -> &[Arc<PoolRule>] {
        &self.pools
    }
}

fn pool_rule(pool: &PoolSection) -> PoolRule {
    PoolRule {
        name: pool.name.value.clone(),
        zones: pool.zones.as_ref().map(|at| at.value.clone()),
        models: pool.models.as_ref().map(|at| at.value.clone()),
        cells: pool.cells.as_ref().map(|at| at.value.clone()),
        weight: pool.weight.as_ref().map(|at| at.value),
    }
}

/// Builds the rules of the routes of one file.
struct RuleBuilder<'a> {
    file: &'a LimitsFile,
    lines: LineIndex,
    /// The pools of the file, in its order.
    pools: &'a [Arc<PoolRule>],
}

impl RuleBuilder<'_> {
    fn default_rule(&self) -> Rule {
        self.rule("default".to_owned(), None, &RouteOptions::default())
    }

    fn route_rule(&self, route: &RouteSection) -> Rule {
        let line = self.lines.line_of(route.name.offset);
        self.rule(route.name.value.clone(), Some(line), &route.options)
    }

    fn rule(&self, name: String, line: Option<usize>, options: &RouteOptions) -> Rule {
        let options = options.with_defaults(&self.file.defaults);
        let key_line = |at: KeyOffset| KeyLine { key: at.key, line: self.lines.line_of(at.offset) };
        Rule {
            name,
            line,
            key_lines: options.key_offsets().into_iter().map(key_line).collect(),
            pools: self.pools(&options),
            attempt_timeout: options.attempt_timeout.map(|at| at.value),
            timeout: options.timeout.map(|at| at.value),
            connect_timeout: options.connect_timeout.map(|at| at.value),
            attempts: options.attempts.map(|at| at.value),
            hedge_delay: options.hedge_delay.map(|at| at.value),
            retry_budget: options.retry_budget.map(|at| at.value),
            max_in_hand: options.max_in_hand.map(|at| at.value),
            max_waiting: options.max_waiting.map(|at| at.value),
            priority: options.priority.map(|at| at.value),
        }
    }

    /// The pool of a route, followed by those that it falls back to.
    fn pools(&self, options: &RouteOptions) -> Vec<PoolChoice> {
        let Some(first) = options.pool.as_ref().and_then(|at| self.find_pool(&at.value)) else {
            return Vec::new();
        };
        let fall_back = first.section.fall_back.iter().flat_map(|at| &at.value);
        let fall_back = fall_back.filter_map(|name| self.find_pool(name));
        std::iter::once(first).chain(fall_back).map(PoolEntry::choice).collect()
    }

    fn find_pool(&self, name: &str) -> Option<PoolEntry<'_>> {
        let mut entries = self.file.pools.iter().zip(self.pools);
        let (section, rule) = entries.find(|(section, _)| section.name.value == name)?;
        Some(PoolEntry { section, rule })
    }
}

/// A pool of the file.
struct PoolEntry<'a> {
    section: &'a PoolSection,
    rule: &'a Arc<PoolRule>,
}

impl PoolEntry<'_> {
    fn choice(self) -> PoolChoice {
        let least_healthy = self.section.least_healthy.as_ref().map_or(0.0, |at| at.value);
        PoolChoice { pool: self.rule.clone(), least_healthy }
    }
}

/// The offsets at which the lines of a text end.
struct LineIndex {
    ends: Vec<usize>,
}

impl LineIndex {
    fn new(text: &str) -> LineIndex {
        LineIndex { ends: text.match_indices('\n').map(|(offset, _)| offset).collect() }
    }

    /// The line of a byte offset, from 1.
    fn line_of(&self, offset: usize) -> usize {
        self.ends.partition_point(|end| *end < offset) + 1
    }
}
