//! The sections of an operator's file as typed values. They are parsed, but not yet validated.

use dunlincleat::api::Span;
use std::collections::BTreeMap;

/// A value with its key and position, so that a fault found by later validation can be reported there.
#[derive(Clone, Debug, PartialEq)]
pub struct Located<T> {
    /// The value.
    pub value: T,
    /// The full key.
    pub key: String,
    /// The offset of the value in the text, in bytes.
    pub offset: usize,
}

impl<T> Located<T> {
    /// Another value at the same key and position.
    pub(crate) fn with_value<U>(&self, value: U) -> Located<U> {
        Located { value, key: self.key.clone(), offset: self.offset }
    }
}

/// When a hedged request, a second attempt beside the first, may be sent.
#[derive(Clone, Debug, PartialEq)]
pub enum HedgeDelay {
    /// At a fixed delay after the first attempt.
    Fixed(Span),
    /// At this quantile of the measured latencies of the route.
    Quantile(f64),
}

/// A retry budget.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudget {
    /// The retries that each first attempt earns.
    pub retries_per_attempt: f64,
    /// The retries per second that are allowed in any case.
    pub min_retries_per_s: f64,
}

/// The options of a route; options that are not set come from the defaults.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RouteOptions {
    /// The timeout of one attempt.
    pub attempt_timeout: Option<Located<Span>>,
    /// The timeout of a request, over all attempts.
    pub timeout: Option<Located<Span>>,
    /// The timeout for opening a connection.
    pub connect_timeout: Option<Located<Span>>,
    /// The highest number of attempts.
    pub attempts: Option<Located<u32>>,
    /// When a hedged request may be sent.
    pub hedge_delay: Option<Located<HedgeDelay>>,
    /// The retry budget.
    pub retry_budget: Option<Located<RetryBudget>>,
    /// The highest number of requests in progress.
    pub max_in_hand: Option<Located<u32>>,
    /// The highest number of requests without an attempt in flight.
    pub max_waiting: Option<Located<u32>>,
    /// The priority from 0, which is refused first when the instance is near its limit, to 9, which is refused last.
    pub priority: Option<Located<u32>>,
    /// The pool of servers.
    pub pool: Option<Located<String>>,
}

impl RouteOptions {
    /// These options, completed by the defaults.
    #[must_use]
    pub fn with_defaults(&self, defaults: &RouteOptions) -> RouteOptions {
        let (options, defaults) = (self.clone(), defaults.clone());
        RouteOptions {
            attempt_timeout: options.attempt_timeout.or(defaults.attempt_timeout),
            timeout: options.timeout.or(defaults.timeout),
            connect_timeout: options.connect_timeout.or(defaults.connect_timeout),
            attempts: options.attempts.or(defaults.attempts),
            hedge_delay: options.hedge_delay.or(defaults.hedge_delay),
            retry_budget: options.retry_budget.or(defaults.retry_budget),
            max_in_hand: options.max_in_hand.or(defaults.max_in_hand),
            max_waiting: options.max_waiting.or(defaults.max_waiting),
            priority: options.priority.or(defaults.priority),
            pool: options.pool.or(defaults.pool),
        }
    }

    /// The positions of the keys that are set.
    pub(crate) fn key_offsets(&self) -> Vec<KeyOffset> {
        let all = [
            ("attempt_timeout", self.attempt_timeout.as_ref().map(|at| at.offset)),
            ("timeout", self.timeout.as_ref().map(|at| at.offset)),
            ("connect_timeout", self.connect_timeout.as_ref().map(|at| at.offset)),
            ("attempts", self.attempts.as_ref().map(|at| at.offset)),
            ("second_copy", self.hedge_delay.as_ref().map(|at| at.offset)),
            ("retry_budget", self.retry_budget.as_ref().map(|at| at.offset)),
            ("max_in_hand", self.max_in_hand.as_ref().map(|at| at.offset)),
            ("max_waiting", self.max_waiting.as_ref().map(|at| at.offset)),
            ("priority", self.priority.as_ref().map(|at| at.offset)),
            ("pool", self.pool.as_ref().map(|at| at.offset)),
        ];
        all.into_iter().filter_map(|(key, offset)| Some(KeyOffset { key, offset: offset? })).collect()
    }
}

/// The position of a key in the text.
pub(crate) struct KeyOffset {
    /// The key, without its section.
    pub(crate) key: &'static str,
    /// The offset of the value, in bytes.
    pub(crate) offset: usize,
}

/// The conditions of a route; a request must meet all that are set.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RouteMatch {
    /// The pattern of the path; see [`Code::InvalidPath`](crate::Code::InvalidPath).
    pub path: Option<Located<String>>,
    /// The method.
    pub method: Option<Located<String>>,
    /// The name of the class.
    pub class: Option<Located<String>>,
    /// The name of the tenant.
    pub tenant: Option<Located<String>>,
    /// Headers that must be present: names in lower case, and their values.
    pub headers: BTreeMap<String, Located<String>>,
}

impl RouteMatch {
    /// Whether every request matches.
    #[must_use]
    pub fn matches_all(&self) -> bool {
        *self == RouteMatch::default()
    }
}

/// A section `[[route]]`.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteSection {
    /// Its name.
    pub name: Located<String>,
    /// Which requests it applies to.
    pub conditions: RouteMatch,
    /// The options that it sets.
    pub options: RouteOptions,
}

/// A range of server weights, both ends included.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WeightRange {
    /// The lowest weight.
    pub least: f64,
    /// The highest weight.
    pub most: f64,
}

/// A section `[[pool]]`.
#[derive(Clone, Debug, PartialEq)]
pub struct PoolSection {
    /// Its name.
    pub name: Located<String>,
    /// The names of the zones; `None` for all.
    pub zones: Option<Located<Vec<String>>>,
    /// The names of the server models; `None` for all.
    pub models: Option<Located<Vec<String>>>,
    /// The cells; `None` for all.
    pub cells: Option<Located<Vec<u32>>>,
    /// The weights; `None` for all.
    pub weight: Option<Located<WeightRange>>,
    /// The pools to use instead, in order, when too few servers of this one are healthy.
    pub fall_back: Option<Located<Vec<String>>>,
    /// The part of the servers that must be healthy for the pool to be used.
    pub least_healthy: Option<Located<f64>>,
}

/// A parsed file.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LimitsFile {
    /// The options of routes that do not set them.
    pub defaults: RouteOptions,
    /// The routes, in the order in which they are matched.
    pub routes: Vec<RouteSection>,
    /// The pools.
    pub pools: Vec<PoolSection>,
    /// The fleet.
    pub fleet: Option<FleetSection>,
    /// The duties.
    pub duties: Vec<DutySection>,
}

/// The section `[fleet]`.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetSection {
    /// The name of the fleet.
    pub name: Located<String>,
    /// The UDP address on which this member receives datagrams.
    pub listen: Option<Located<String>>,
    /// The duration of a lease.
    pub lease: Option<Located<Span>>,
    /// The highest tolerated clock drift, as a fraction.
    pub drift: Option<Located<f64>>,
    /// The voters.
    pub voters: Vec<VoterSection>,
}

/// A section `[[fleet.voter]]`.
#[derive(Clone, Debug, PartialEq)]
pub struct VoterSection {
    /// Its name.
    pub name: Located<String>,
    /// Its UDP address.
    pub address: Option<Located<String>>,
}

/// A section `[[duty]]`.
#[derive(Clone, Debug, PartialEq)]
pub struct DutySection {
    /// Its name.
    pub name: Located<String>,
    /// The path that is called.
    pub path: Option<Located<String>>,
    /// The time from one call to the next.
    pub period: Option<Located<Span>>,
    /// How missed periods are treated.
    pub missed: Option<Located<String>>,
}
