//! Admits requests and repeats under their rules. Owns the counts and budgets of each route, by name, over a reload: a
//! route's request gives its place back by [`Gate::over`], once, under the rule that it was taken under.

use crate::file::{Budget, CopyAfter};
use crate::routes::Rule;
use dunlincleat::api::{Span, Time};
use rustc_hash::FxHashMap;

/// How long a first try pays for repeats.
const MEMORY: Span = Span(10_000_000);
/// The part of the instance's requests at which the least priority is refused; each step of priority adds an equal
/// part of what is left.
const EASE: f64 = 0.5;

/// Why a request was not admitted. Refused, so trying again does no harm.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Turned {
    /// The route has as many in hand as it may.
    InHand,
    /// As many of the route wait as may.
    Waiting,
    /// The instance is under pressure, and others have priority.
    Pressure,
}

/// Where a request stands with its route.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Stand {
    /// No attempt of it is out.
    pub waits: bool,
    /// A repeat is paid for and has not gone out.
    pub paid: bool,
}

#[derive(Clone, Debug, Default)]
struct Route {
    in_hand: u32,
    waiting: u32,
    /// Repeats that are paid for, as of a time.
    credit: f64,
    at: Option<Time>,
    /// Answers that were timed, and the delay that the quantile of the rule lies at.
    timed: u32,
    quantile: f64,
}

/// So many answers must have been timed before a quantile is believed.
const TIMED: u32 = 20;
/// How far an answer moves the quantile, in parts of it.
const MOVE: f64 = 0.05;

impl Route {
    /// Lets time pass on the budget: what first tries paid is forgotten over [`MEMORY`], the least rate comes in.
    fn settle(&mut self, now: Time, budget: &Budget) {
        let flow = budget.least_per_s * MEMORY.as_f64() / 1e6;
        let (passed, from) = match self.at {
            // A new route may make a second's repeats at once.
            None => (0.0, budget.least_per_s.max(budget.part)),
            Some(at) => ((now - at).as_f64(), self.credit),
        };
        self.credit = flow + (from - flow) * (-passed / MEMORY.as_f64()).exp();
        self.at = Some(self.at.map_or(now, |at| at.max(now)));
    }
}

/// The gate of one instance.
#[derive(Clone, Debug)]
pub struct Gate {
    /// Requests that the instance may hold.
    most: u32,
    in_hand: u32,
    routes: FxHashMap<String, Route>,
}

impl Gate {
    /// A gate of an instance that may hold so many requests.
    #[must_use]
    pub fn new(most: u32) -> Gate {
        Gate { most, in_hand: 0, routes: FxHashMap::default() }
    }

    /// Requests in hand.
    #[must_use]
    pub fn in_hand(&self) -> u32 {
        self.in_hand
    }

    /// Requests in hand and waiting of a route.
    #[must_use]
    pub fn of(&self, route: &str) -> (u32, u32) {
        self.routes.get(route).map_or((0, 0), |route| (route.in_hand, route.waiting))
    }

    /// Takes a request in, which waits until [`Gate::goes_out`].
    ///
    /// # Errors
    ///
    /// Why it is to be refused; nothing was counted.
    pub fn admit(&mut self, now: Time, rule: &Rule) -> Result<Stand, Turned> {
        let route = match self.routes.get_mut(&rule.name) {
            Some(route) => route,
            None => self.routes.entry(rule.name.clone()).or_default(),
        };
        if rule.max_in_hand.is_some_and(|most| route.in_hand >= most) {
            return Err(Turned::InHand);
        }
        if rule.max_waiting.is_some_and(|most| route.waiting >= most) {
            return Err(Turned::Waiting);
        }
        if let Some(priority) = rule.priority {
            let part = EASE + (1.0 - EASE) * f64::from(priority.min(9) + 1) / 10.0;
            if f64::from(self.in_hand) >= f64::from(self.most) * part {
                return Err(Turned::Pressure);
            }
        }
        if let Some(budget) = &rule.retry_budget {
            route.settle(now, budget);
            route.credit += budget.part;
        }
        route.in_hand += 1;
        route.waiting += 1;
        self.in_hand += 1;
        Ok(Stand { waits: true, paid: false })
    }

    /// An attempt goes out. What was paid for it is spent.
    pub fn goes_out(&mut self, rule: &Rule, stand: &mut Stand) {
        let Some(route) = self.routes.get_mut(&rule.name) else { return };
        if std::mem::take(&mut stand.waits) {
            route.waiting = route.waiting.saturating_sub(1);
        }
        stand.paid = false;
    }

    /// The last attempt that was out has come back without an answer.
    pub fn waits_again(&mut self, rule: &Rule, stand: &mut Stand) {
        let Some(route) = self.routes.get_mut(&rule.name) else { return };
        if !std::mem::replace(&mut stand.waits, true) {
            route.waiting += 1;
        }
    }

    /// Whether one more attempt is within the rule after so many, and pays for it. Asked again before it has gone out,
    /// it is paid for once.
    pub fn repeat(&mut self, now: Time, rule: &Rule, stand: &mut Stand, made: u32) -> bool {
        if rule.attempts.is_some_and(|most| made >= most) {
            return false;
        }
        let Some(budget) = rule.retry_budget.as_ref().filter(|_| !stand.paid) else { return true };
        let Some(route) = self.routes.get_mut(&rule.name) else { return false };
        route.settle(now, budget);
        if route.credit < 1.0 {
            return false;
        }
        route.credit -= 1.0;
        stand.paid = true;
        true
    }

    /// How long after the first attempt a second copy is due, if ever.
    #[must_use]
    pub fn copy_after(&self, rule: &Rule) -> Option<Span> {
        match rule.second_copy.as_ref()? {
            CopyAfter::Delay(after) => Some(*after),
            CopyAfter::Quantile(_) => {
                let route = self.routes.get(&rule.name).filter(|route| route.timed >= TIMED)?;
                Some(Span(route.quantile as u64).max(Span(1000)))
            }
        }
    }

    /// An attempt was answered after so long. The quantile rises with each answer behind it and falls with each before,
    /// so that it settles where the wanted part lies before it (stochastic approximation, Robbins and Monro 1951).
    pub fn took(&mut self, rule: &Rule, latency: Span) {
        let Some(CopyAfter::Quantile(part)) = rule.second_copy else { return };
        let Some(route) = self.routes.get_mut(&rule.name) else { return };
        if route.timed == 0 {
            route.quantile = latency.as_f64();
        }
        route.timed = route.timed.saturating_add(1);
        let before = f64::from(u8::from(latency.as_f64() <= route.quantile));
        route.quantile = (route.quantile * (MOVE * (part - before)).exp()).max(1.0);
    }

    /// A request is over: its place is given back, and what was paid and not spent.
    pub fn over(&mut self, rule: &Rule, stand: Stand) {
        let Some(route) = self.routes.get_mut(&rule.name) else { return };
        route.in_hand = route.in_hand.saturating_sub(1);
        route.waiting = route.waiting.saturating_sub(u32::from(stand.waits));
        route.credit += f64::from(u8::from(stand.paid));
        self.in_hand = self.in_hand.saturating_sub(1);
    }

    /// Forgets routes that a new file lacks and that have nothing in hand.
    pub fn keep<'a>(&mut self, names: impl Iterator<Item = &'a str>) {
        let names: Vec<&str> = names.collect();
        self.routes.retain(|name, route| route.in_hand > 0 || names.contains(&name.as_str()));
    }
}
