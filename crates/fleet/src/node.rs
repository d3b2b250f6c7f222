//! A simulated node: cores, a queue, a slow start, and the states that faults put it in. A pure state machine: it is
//! given the arrivals and completions of requests and returns when the next request completes.

use crate::cold_start;
use crate::scenario::Fleet;
use std::collections::VecDeque;

/// An attempt of a request, as a node sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Job {
    /// The instance that sent it.
    pub instance: u32,
    /// The request.
    pub request: u64,
    /// The attempt.
    pub attempt: u32,
}

/// One process of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct NodeProcess {
    /// The node.
    pub node: usize,
    /// The number of restarts before this process.
    pub incarnation: u32,
}

/// The state of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NodeState {
    /// It serves requests.
    Serving,
    /// It answers every request with an error at once.
    Failing,
    /// It accepts requests and never answers.
    Unresponsive,
    /// It refuses connections.
    Dead,
}

/// What happens to a request that arrives at a node.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Admission {
    /// A core works on it.
    Started {
        /// When it completes.
        ends_at: u64,
    },
    /// It waits in the queue.
    Queued,
    /// It is rejected without work: the queue is full.
    QueueFull,
    /// It fails at once.
    Failed,
    /// It is accepted and never answered.
    Ignored,
    /// The connection is refused.
    ConnectionRefused,
}

/// A request that left the queue and was started.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Started {
    /// The request.
    pub job: Job,
    /// When it completes.
    pub ends_at: u64,
}

/// The load that a node reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NodeLoad {
    /// Requests running and queued.
    pub in_flight: usize,
    /// Requests queued.
    pub queued: usize,
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
    /// When its process started; `None` if that was before the simulation.
    pub started_at: Option<u64>,
    /// Its state.
    pub state: NodeState,
    /// The factor by which work takes longer.
    pub slowdown: f64,
    /// It makes no progress until this time.
    pub stalled_until: u64,
    running: Vec<Job>,
    queued: VecDeque<(Job, f64)>,
    /// Arrivals while it was cold: their times and their work.
    cold_arrivals: VecDeque<(u64, f64)>,
    cold_work: f64,
    /// The mean work of a request. If it is known, overload takes more than the budget and the tolerated random
    /// variation.
    mean_work: f64,
    /// It received more than its budget.
    pub over_budget: bool,
    /// It received more than its budget and the tolerated variation.
    pub overloaded: bool,
    /// The highest ratio of the work received while cold to the budget.
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

    /// Sets the mean work of a request, in microseconds. Without it a cold node is overloaded by the first work beyond
    /// its budget.
    #[must_use]
    pub fn with_mean_work(self, mean_work: f64) -> Node {
        Node { mean_work, ..self }
    }

    /// The part of its full capacity that it has now.
    #[must_use]
    pub fn capacity(&self, now: u64) -> f64 {
        let Some(started_at) = self.started_at else { return 1.0 };
        let part = now.saturating_sub(started_at) as f64 / self.warm_up.max(1) as f64;
        self.initial_capacity + (1.0 - self.initial_capacity) * part.min(1.0)
    }

    /// Its present load.
    #[must_use]
    pub fn load(&self) -> NodeLoad {
        NodeLoad { in_flight: self.running.len() + self.queued.len(), queued: self.queued.len() }
    }

    /// The part of its cores that are busy.
    #[must_use]
    pub fn utilization(&self) -> f64 {
        self.running.len() as f64 / self.cores as f64
    }

    /// Starts a new process. Returns the requests of the old one, which are lost.
    pub fn restart(&mut self, now: u64) -> Vec<Job> {
        self.started_at = Some(now);
        self.state = NodeState::Serving;
        self.slowdown = 1.0;
        self.stalled_until = 0;
        self.over_budget = false;
        self.overloaded = false;
        self.drop_all()
    }

    /// Ends its process. Returns its requests, which are lost.
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
        let duration = work * self.slowdown / self.capacity(now);
        now.max(self.stalled_until) + (duration as u64).max(1)
    }

    /// Takes a request; `work` is in microseconds on a core of a warm node.
    pub fn admit(&mut self, now: u64, job: Job, work: f64) -> Admission {
        match self.state {
            NodeState::Dead => return Admission::ConnectionRefused,
            NodeState::Unresponsive => return Admission::Ignored,
            NodeState::Failing => return Admission::Failed,
            NodeState::Serving => {}
        }
        if let Some(budget) = self.exceeded_cold_budget(now, work) {
            self.over_budget = true;
            self.overloaded = self.cold_work > self.tolerated_work(budget);
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

    /// The work that overloads a node with this budget, both in microseconds.
    fn tolerated_work(&self, budget: f64) -> f64 {
        let mean = self.mean_work;
        if mean > 0.0 { mean * cold_start::limit(budget / mean) } else { budget }
    }

    /// Records work that arrives at a cold node. Returns the work that the node has capacity for within the window if
    /// more has arrived.
    fn exceeded_cold_budget(&mut self, now: u64, work: f64) -> Option<f64> {
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

    /// Removes a request that completed or was cancelled. Returns the queued request that is started in its place.
    pub fn finish(&mut self, now: u64, job: Job) -> Option<Started> {
        if let Some(at) = self.queued.iter().position(|(queued, _)| *queued == job) {
            self.queued.remove(at);
            return None;
        }
        let at = self.running.iter().position(|running| *running == job)?;
        self.running.swap_remove(at);
        let (job, work) = self.queued.pop_front()?;
        self.running.push(job);
        Some(Started { job, ends_at: self.completion_time(now, work) })
    }

    /// Whether a core works on a request.
    #[must_use]
    pub fn is_running(&self, job: Job) -> bool {
        self.running.contains(&job)
    }
}
