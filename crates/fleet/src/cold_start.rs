//! The slow start of a node as a budget of the whole fleet: what a cold node has capacity for within a sliding window,
//! and what arrived at it from all instances together. An instance that keeps to its part of the budget proves nothing:
//! the limit is on the sum.

use crate::node::NodeProcess;
use rustc_hash::{FxHashMap, FxHashSet};
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// The slow-start settings of cold nodes. Times are in microseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdBudget {
    /// The part of its full capacity that a node has when it starts.
    pub initial_part: f64,
    /// The time after which it has its full capacity.
    pub warm_up: u64,
    /// The sliding window over which requests are counted.
    pub window: u64,
    /// Requests of mean work that a warm node may receive within the window.
    pub warm_budget: f64,
}

impl ColdBudget {
    /// Requests of mean work that a node of this age may receive within the window.
    #[must_use]
    pub fn budget(&self, age: u64) -> f64 {
        let part = (age as f64 / self.warm_up.max(1) as f64).min(1.0);
        self.warm_budget * (self.initial_part + (1.0 - self.initial_part) * part)
    }
}

/// What a cold node may receive at one time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Allowance {
    /// Requests of mean work.
    pub budget: f64,
    /// The sliding window that the budget applies to, in microseconds.
    pub window: u64,
}

/// The number of requests above which a node with this budget is overloaded. Twice the square root of the budget, plus
/// two, is tolerated as random variation.
#[must_use]
pub fn limit(budget: f64) -> f64 {
    budget + 2.0 * budget.sqrt() + 2.0
}

/// The requests that arrived at a cold node within one sliding window.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ColdArrivals {
    /// Requests, each weighted by its work relative to the mean.
    pub calls: f64,
    /// Those of them from instances that discovery had notified of the process.
    #[serde(rename = "told")]
    pub notified: f64,
    /// The budget of the node at that time.
    pub budget: f64,
}

impl ColdArrivals {
    /// The requests as a part of the limit; the node is overloaded above 1.
    #[must_use]
    pub fn fraction_of_limit(&self) -> f64 {
        self.calls / limit(self.budget)
    }

    /// The requests above the limit; negative while there is room left.
    #[must_use]
    pub fn excess(&self) -> f64 {
        self.calls - limit(self.budget)
    }

    /// Whether the instances are responsible: over two thirds of the requests came from instances that had been
    /// notified of the process.
    #[must_use]
    pub fn is_attributable(&self) -> bool {
        3.0 * self.notified > 2.0 * self.calls
    }
}

#[derive(Clone, Copy, Debug)]
struct Arrival {
    at: u64,
    calls: f64,
    notified: bool,
}

#[derive(Clone, Debug, Default)]
struct Window {
    incarnation: u32,
    arrivals: VecDeque<Arrival>,
    overloaded: bool,
}

/// The arrivals at each cold node, over all instances.
#[derive(Clone, Debug, Default)]
pub struct ColdStartMonitor {
    /// The processes that each instance was notified of.
    notified: FxHashSet<(u32, NodeProcess)>,
    nodes: FxHashMap<usize, Window>,
    peak: Option<ColdArrivals>,
}

impl ColdStartMonitor {
    /// Records that an instance was notified of a process.
    pub fn notified(&mut self, instance: u32, process: NodeProcess) {
        self.notified.insert((instance, process));
    }

    /// Records a request of an instance at a cold node; `calls` is its work relative to the mean. Returns the arrivals
    /// of the window if this request overloads the node and the instances are responsible for that.
    pub fn record_arrival(
        &mut self,
        instance: u32,
        process: NodeProcess,
        calls: f64,
        allowance: Allowance,
        now: u64,
    ) -> Option<ColdArrivals> {
        let notified = self.notified.contains(&(instance, process));
        let window = self.nodes.entry(process.node).or_default();
        if window.incarnation != process.incarnation {
            *window = Window { incarnation: process.incarnation, ..Window::default() };
        }
        if window.overloaded {
            return None;
        }
        window.arrivals.push_back(Arrival { at: now, calls, notified });
        while window.arrivals.front().is_some_and(|arrival| arrival.at + allowance.window <= now) {
            window.arrivals.pop_front();
        }
        // Summed up each time: a running sum would drift, and overload is decided by the last request.
        let (calls, notified) = window.arrivals.iter().fold((0.0, 0.0), |(calls, notified), arrival| {
            (calls + arrival.calls, notified + if arrival.notified { arrival.calls } else { 0.0 })
        });
        let arrivals = ColdArrivals { calls, notified, budget: allowance.budget };
        if arrivals.is_attributable()
            && self.peak.is_none_or(|peak| arrivals.fraction_of_limit() > peak.fraction_of_limit())
        {
            self.peak = Some(arrivals);
        }
        window.overloaded = arrivals.excess() > 0.0;
        (window.overloaded && arrivals.is_attributable()).then_some(arrivals)
    }

    /// The arrivals that came closest to the limit or exceeded it most, among those that instances are responsible for.
    #[must_use]
    pub fn peak(&self) -> Option<ColdArrivals> {
        self.peak
    }
}
