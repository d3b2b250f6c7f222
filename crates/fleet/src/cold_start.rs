//! The slow start of a node as the fleet's budget: what a cold node bears in its sliding time, and what came to it from all
//! instances together. An instance that keeps to a part of the budget proves nothing: only the sum does.

use rustc_hash::{FxHashMap, FxHashSet};
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// What the settings say of cold nodes. Times are in microseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdBudget {
    /// The part of its capacity that a node has when it starts.
    pub initial_part: f64,
    /// The time after which it has all of it.
    pub warm_up: u64,
    /// The sliding time over which requests are counted.
    pub window: u64,
    /// Requests of mean work that a warm node may get in that time.
    pub warm_budget: f64,
}

impl ColdBudget {
    /// Requests of mean work that a node may get in the sliding time, at this age: N.
    #[must_use]
    pub fn budget(&self, age: u64) -> f64 {
        let part = (age as f64 / self.warm_up.max(1) as f64).min(1.0);
        self.warm_budget * (self.initial_part + (1.0 - self.initial_part) * part)
    }
}

/// Requests that a budget of so many bears: twice the root of it, and two, are put down to chance.
#[must_use]
pub fn limit(budget: f64) -> f64 {
    budget + 2.0 * budget.sqrt() + 2.0
}

/// What came to a cold node in one sliding time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ColdArrivals {
    /// Requests, each counted by its work over the mean.
    pub calls: f64,
    /// Those of them from instances that had been told of the start.
    pub told: f64,
    /// What the node was allowed then, N.
    pub budget: f64,
}

impl ColdArrivals {
    /// The calls as a part of what the budget bears; over 1 the node falls.
    #[must_use]
    pub fn fraction_of_limit(&self) -> f64 {
        self.calls / limit(self.budget)
    }

    /// The calls beyond the budget and what is put down to chance; below 0 there is room left.
    #[must_use]
    pub fn excess(&self) -> f64 {
        self.calls - limit(self.budget)
    }

    /// Whether the instances answer for it: over two thirds came from those that had been told of the start.
    #[must_use]
    pub fn is_attributable(&self) -> bool {
        3.0 * self.told > 2.0 * self.calls
    }
}

#[derive(Clone, Debug, Default)]
struct Window {
    start: u32,
    arrivals: VecDeque<(u64, f64, bool)>,
    overloaded: bool,
}

/// What came to each cold node, over all instances.
#[derive(Clone, Debug, Default)]
pub struct ColdStartMonitor {
    /// Which starts each instance was told of.
    told: FxHashSet<(u32, usize, u32)>,
    nodes: FxHashMap<usize, Window>,
    peak: Option<ColdArrivals>,
}

impl ColdStartMonitor {
    /// An instance was told of a node's start.
    pub fn notified(&mut self, instance: u32, node: usize, start: u32) {
        self.told.insert((instance, node, start));
    }

    /// A request of an instance came to a cold node that may get `budget` of them within `over`; `calls` is its work over
    /// the mean. Gives what came where the node falls by it and the instances answer for that.
    pub fn record_arrival(
        &mut self,
        instance: u32,
        (node, start): (usize, u32),
        calls: f64,
        (budget, span): (f64, u64),
        now: u64,
    ) -> Option<ColdArrivals> {
        let told = self.told.contains(&(instance, node, start));
        let window = self.nodes.entry(node).or_default();
        if window.start != start {
            *window = Window { start, ..Window::default() };
        }
        if window.overloaded {
            return None;
        }
        window.arrivals.push_back((now, calls, told));
        while window.arrivals.front().is_some_and(|(at, ..)| at + span <= now) {
            window.arrivals.pop_front();
        }
        // Summed anew: a running sum drifts, and a fall is judged at the last request.
        let (calls, told) =
            window.arrivals.iter().fold((0.0, 0.0), |(calls, told), (_, work, attributable)| {
                (calls + work, told + if *attributable { *work } else { 0.0 })
            });
        let arrivals = ColdArrivals { calls, told, budget };
        if arrivals.is_attributable()
            && self.peak.is_none_or(|peak| arrivals.fraction_of_limit() > peak.fraction_of_limit())
        {
            self.peak = Some(arrivals);
        }
        window.overloaded = arrivals.excess() > 0.0;
        (window.overloaded && arrivals.is_attributable()).then_some(arrivals)
    }

    /// What came nearest to a fall, or went furthest beyond, of what instances answer for.
    #[must_use]
    pub fn peak(&self) -> Option<ColdArrivals> {
        self.peak
    }
}
