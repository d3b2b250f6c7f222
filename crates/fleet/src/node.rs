//! One node: cores, a queue, a cold ramp, and the states that faults put it in. Pure: it is told of arrivals and ends and
//! says when the next request ends.

use crate::scenario::Fleet;
use std::collections::VecDeque;

/// A request at a node: whose, and which attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Job {
    /// The instance.
    pub instance: u32,
    /// The request.
    pub request: u64,
    /// The attempt.
    pub attempt: u32,
}

/// What state a node is in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NodeState {
    /// It serves.
    Serving,
    /// It answers errors at once.
    Failing,
    /// It takes requests and says nothing.
    Unresponsive,
    /// It refuses connections.
    Dead,
}

/// What becomes of a request that arrives.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Admission {
    /// It is in work, and ends then.
    Started {
        /// When it ends.
        ends_at: u64,
    },
    /// It waits.
    Queued,
    /// Turned away unseen.
    QueueFull,
    /// An error at once.
    Failed,
    /// Nothing will come.
    Ignored,
    /// No connection.
    ConnectionRefused,
}

/// A node. Times are in microseconds.
#[derive(Clone, Debug)]
pub struct Node {
    cores: usize,
    queue: usize,
    initial_capacity: f64,
    warm_up: u64,
    overload_factor: f64,
    overload_window: u64,
    /// When its process started; nothing for long ago.
    pub started_at: Option<u64>,
    /// Its state.
    pub state: NodeState,
    /// Work takes so many times as long.
    pub slowdown: f64,
    /// It stands still until then.
    pub stalled_until: u64,
    running: Vec<Job>,
    queued: VecDeque<(Job, f64)>,
    /// Work that came while it was cold: when, and how much.
    cold_arrivals: VecDeque<(u64, f64)>,
    cold_work: f64,
    /// The mean work of a request; with it a fall takes more than the budget and what is put down to chance.
    mean_work: f64,
    /// It got more than its budget, and it fell over.
    pub over_budget: bool,
    /// The same.
    pub overloaded: bool,
    /// The most that came while it was cold, against what pushes it over.
    pub peak_overload: f64,
}

impl Node {
    /// A warm node.
    #[must_use]
    pub fn new(fleet: &Fleet) -> Node {
        Node {
            cores: fleet.cores,
            queue: fleet.queue,
            initial_capacity: fleet.cold_from,
            warm_up: fleet.cold.us(),
            overload_factor: fleet.falls_at,
            overload_window: fleet.falls_over.us(),
            started_at: None,
            state: NodeState::Serving,
            slowdown: 1.0,
            stalled_until: 0,
            running: Vec::new(),
            queued: VecDeque::new(),
            cold_arrivals: VecDeque::new(),
            cold_work: 0.0,
            mean_work: 0.0,
            over_budget: false,
            overloaded: false,
            peak_overload: 0.0,
        }
    }

    /// The same node for requests of so much mean work, in microseconds. Where that is not told, a cold node falls with the
    /// first work beyond its budget.
    #[must_use]
    pub fn with_mean_work(self, mean_work: f64) -> Node {
        Node { mean_work, ..self }
    }

    /// The part of its work that it can do.
    #[must_use]
    pub fn capacity(&self, now: u64) -> f64 {
        let Some(started_at) = self.started_at else { return 1.0 };
        let part = now.saturating_sub(started_at) as f64 / self.warm_up.max(1) as f64;
        self.initial_capacity + (1.0 - self.initial_capacity) * part.min(1.0)
    }

    /// Requests in hand, and those of them that wait.
    #[must_use]
    pub fn load(&self) -> (usize, usize) {
        (self.running.len() + self.queued.len(), self.queued.len())
    }

    /// The part of its cores that work.
    #[must_use]
    pub fn utilization(&self) -> f64 {
        self.running.len() as f64 / self.cores as f64
    }

    /// It starts anew: what it had is lost.
    pub fn restart(&mut self, now: u64) -> Vec<Job> {
        self.started_at = Some(now);
        self.state = NodeState::Serving;
        (self.slowdown, self.stalled_until) = (1.0, 0);
        (self.over_budget, self.overloaded) = (false, false);
        self.drop_all()
    }

    /// It dies: what it had is lost.
    pub fn die(&mut self) -> Vec<Job> {
        self.state = NodeState::Dead;
        self.drop_all()
    }

    fn drop_all(&mut self) -> Vec<Job> {
        self.cold_arrivals.clear();
        self.cold_work = 0.0;
        let queued = self.queued.drain(..).map(|(job, _)| job);
        self.running.drain(..).chain(queued).collect()
    }

    fn completion_time(&self, now: u64, work: f64) -> u64 {
        let takes = work * self.slowdown / self.capacity(now);
        now.max(self.stalled_until) + (takes as u64).max(1)
    }

    /// A request of so much work, in microseconds on a warm core, arrives.
    pub fn admit(&mut self, now: u64, job: Job, work: f64) -> Admission {
        match self.state {
            NodeState::Dead => return Admission::ConnectionRefused,
            NodeState::Unresponsive => return Admission::Ignored,
            NodeState::Failing => return Admission::Failed,
            NodeState::Serving => {}
        }
        if let Some(budget) = self.cold_overload(now, work) {
            self.over_budget = true;
            let mean_work = self.mean_work;
            let tolerated = if mean_work > 0.0 {
                mean_work * crate::cold_start::limit(budget / mean_work)
            } else {
                budget
            };
            self.overloaded = self.cold_work > tolerated;
            if self.overloaded {
                return Admission::ConnectionRefused;
            }
        }
        if self.running.len() < self.cores {
            self.running.push(job);
            Admission::Started { ends_at: self.completion_time(now, work) }
        } else if self.queued.len() < self.queue {
            self.queued.push_back((job, work));
            Admission::Queued
        } else {
            Admission::QueueFull
        }
    }

    /// The work that a cold node bears over its time, where it has come to more.
    fn cold_overload(&mut self, now: u64, work: f64) -> Option<f64> {
        let started_at = self.started_at.filter(|started_at| now < started_at + self.warm_up)?;
        self.cold_arrivals.push_back((now, work));
        self.cold_work += work;
        while let Some((at, work)) =
            self.cold_arrivals.front().copied().filter(|(at, _)| at + self.overload_window <= now)
        {
            debug_assert!(at <= now);
            self.cold_arrivals.pop_front();
            self.cold_work -= work;
        }
        let budget =
            self.overload_window as f64 * self.cores as f64 * self.capacity(now) * self.overload_factor;
        if now >= started_at {
            self.peak_overload = self.peak_overload.max(self.cold_work / budget);
        }
        (now >= started_at && self.cold_work > budget).then_some(budget)
    }

    /// A request ended or was given up. Gives the one that is begun in its place and when it ends.
    pub fn finish(&mut self, now: u64, job: Job) -> Option<(Job, u64)> {
        if let Some(at) = self.queued.iter().position(|(queued, _)| *queued == job) {
            self.queued.remove(at);
            return None;
        }
        let at = self.running.iter().position(|running| *running == job)?;
        self.running.swap_remove(at);
        let (job, work) = self.queued.pop_front()?;
        self.running.push(job);
        Some((job, self.completion_time(now, work)))
    }

    /// Whether it holds a request.
    #[must_use]
    pub fn is_running(&self, job: Job) -> bool {
        self.running.contains(&job)
    }
}
