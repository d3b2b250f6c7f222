//! The limits of a route and the pools that it may use, completed by the defaults of the file.

use crate::file::{HedgeDelay, RetryBudget, WeightRange};
use dunlincleat::api::Span;
use std::sync::Arc;

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

    /// Chooses a pool: the first with enough healthy servers, otherwise the one with the largest healthy part, and the
    /// first among equals.
    #[must_use]
    pub fn choose_pool(&self, health: impl Fn(&PoolRule) -> PoolHealth) -> Option<&PoolRule> {
        let healthy_part = |choice: &PoolChoice| health(&choice.pool).healthy_part();
        let is_usable = |choice: &&PoolChoice| {
            let part = healthy_part(choice);
            part > 0.0 && part >= choice.least_healthy
        };
        if let Some(choice) = self.pools.iter().find(is_usable) {
            return Some(&choice.pool);
        }
        // `max_by` returns the last of equal elements: reversed, that is the first one listed.
        let healthiest = self.pools.iter().rev().max_by(|a, b| healthy_part(a).total_cmp(&healthy_part(b)));
        healthiest.map(|choice| &*choice.pool)
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
    /// The pool. It exists for as long as a rule refers to it.
    pub pool: Arc<PoolRule>,
    /// The part of its servers that must be healthy for the pool to be used.
    pub least_healthy: f64,
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
    /// The weights; `None` for all.
    pub weight: Option<WeightRange>,
}

impl PoolRule {
    /// Whether a server belongs to the pool.
    #[must_use]
    pub fn selects(&self, zone: &str, model: &str, cell: u32, weight: f64) -> bool {
        self.zones.as_ref().is_none_or(|zones| zones.iter().any(|z| z == zone))
            && self.models.as_ref().is_none_or(|models| models.iter().any(|m| m == model))
            && self.cells.as_ref().is_none_or(|cells| cells.contains(&cell))
            && self.weight.is_none_or(|range| (range.least..=range.most).contains(&weight))
    }
}
