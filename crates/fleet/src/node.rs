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
pub enum Mood {
    /// It serves.
    Serves,
    /// It answers errors at once.
    Fails,
    /// It takes requests and says nothing.
    Swallows,
    /// It refuses connections.
    Dead,
}

/// What becomes of a request that arrives.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Taken {
    /// It is in work, and ends then.
    Works(u64),
    /// It waits.
    Waits,
    /// Turned away unseen.
    Full,
    /// An error at once.
    Fails,
    /// Nothing will come.
    Swallowed,
    /// No connection.
    Refused,
}

/// A node. Times are in microseconds.
#[derive(Clone, Debug)]
pub struct Node {
    cores: usize,
    queue: usize,
    cold_from: f64,
    cold: u64,
    falls_at: f64,
    falls_over: u64,
    /// When its process started; nothing for long ago.
    pub born: Option<u64>,
    /// Its state.
    pub mood: Mood,
    /// Work takes so many times as long.
    pub slow: f64,
    /// It stands still until then.
    pub still: u64,
    busy: Vec<Job>,
    waiting: VecDeque<(Job, f64)>,
    /// Work that came while it was cold: when, and how much.
    came: VecDeque<(u64, f64)>,
    came_sum: f64,
    /// The mean work of a request; with it a fall takes more than the budget and what is put down to chance.
    mean: f64,
    /// It got more than its budget, and it fell over.
    pub over_budget: bool,
    /// The same.
    pub fell: bool,
    /// The most that came while it was cold, against what pushes it over.
    pub worst: f64,
}

impl Node {
    /// A warm node.
    #[must_use]
    pub fn new(fleet: &Fleet) -> Node {
        Node {
            cores: fleet.cores,
            queue: fleet.queue,
            cold_from: fleet.cold_from,
            cold: fleet.cold.us(),
            falls_at: fleet.falls_at,
            falls_over: fleet.falls_over.us(),
            born: None,
            mood: Mood::Serves,
            slow: 1.0,
            still: 0,
            busy: Vec::new(),
            waiting: VecDeque::new(),
            came: VecDeque::new(),
            came_sum: 0.0,
            mean: 0.0,
            over_budget: false,
            fell: false,
            worst: 0.0,
        }
    }

    /// The same node for requests of so much mean work, in microseconds. Where that is not told, a cold node falls with the
    /// first work beyond its budget.
    #[must_use]
    pub fn of_mean_work(self, mean: f64) -> Node {
        Node { mean, ..self }
    }

    /// The part of its work that it can do.
    #[must_use]
    pub fn warmth(&self, now: u64) -> f64 {
        let Some(born) = self.born else { return 1.0 };
        let part = now.saturating_sub(born) as f64 / self.cold.max(1) as f64;
        self.cold_from + (1.0 - self.cold_from) * part.min(1.0)
    }

    /// Requests in hand, and those of them that wait.
    #[must_use]
    pub fn load(&self) -> (usize, usize) {
        (self.busy.len() + self.waiting.len(), self.waiting.len())
    }

    /// The part of its cores that work.
    #[must_use]
    pub fn util(&self) -> f64 {
        self.busy.len() as f64 / self.cores as f64
    }

    /// It starts anew: what it had is lost.
    pub fn restart(&mut self, now: u64) -> Vec<Job> {
        self.born = Some(now);
        self.mood = Mood::Serves;
        (self.slow, self.still) = (1.0, 0);
        (self.over_budget, self.fell) = (false, false);
        self.clear()
    }

    /// It dies: what it had is lost.
    pub fn die(&mut self) -> Vec<Job> {
        self.mood = Mood::Dead;
        self.clear()
    }

    fn clear(&mut self) -> Vec<Job> {
        self.came.clear();
        self.came_sum = 0.0;
        let waiting = self.waiting.drain(..).map(|(job, _)| job);
        self.busy.drain(..).chain(waiting).collect()
    }

    fn ends(&self, now: u64, work: f64) -> u64 {
        let takes = work * self.slow / self.warmth(now);
        now.max(self.still) + (takes as u64).max(1)
    }

    /// A request of so much work, in microseconds on a warm core, arrives.
    pub fn take(&mut self, now: u64, job: Job, work: f64) -> Taken {
        match self.mood {
            Mood::Dead => return Taken::Refused,
            Mood::Swallows => return Taken::Swallowed,
            Mood::Fails => return Taken::Fails,
            Mood::Serves => {}
        }
        if let Some(bears) = self.overrun(now, work) {
            self.over_budget = true;
            let mean = self.mean;
            let most = if mean > 0.0 { mean * crate::cold::limit(bears / mean) } else { bears };
            self.fell = self.came_sum > most;
            if self.fell {
                return Taken::Refused;
            }
        }
        if self.busy.len() < self.cores {
            self.busy.push(job);
            Taken::Works(self.ends(now, work))
        } else if self.waiting.len() < self.queue {
            self.waiting.push_back((job, work));
            Taken::Waits
        } else {
            Taken::Full
        }
    }

    /// The work that a cold node bears over its time, where it has come to more.
    fn overrun(&mut self, now: u64, work: f64) -> Option<f64> {
        let born = self.born.filter(|born| now < born + self.cold)?;
        self.came.push_back((now, work));
        self.came_sum += work;
        while let Some((at, work)) = self.came.front().copied().filter(|(at, _)| at + self.falls_over <= now)
        {
            debug_assert!(at <= now);
            self.came.pop_front();
            self.came_sum -= work;
        }
        let bears = self.falls_over as f64 * self.cores as f64 * self.warmth(now) * self.falls_at;
        if now >= born {
            self.worst = self.worst.max(self.came_sum / bears);
        }
        (now >= born && self.came_sum > bears).then_some(bears)
    }

    /// A request ended or was given up. Gives the one that is begun in its place and when it ends.
    pub fn done(&mut self, now: u64, job: Job) -> Option<(Job, u64)> {
        if let Some(at) = self.waiting.iter().position(|(waiting, _)| *waiting == job) {
            self.waiting.remove(at);
            return None;
        }
        let at = self.busy.iter().position(|busy| *busy == job)?;
        self.busy.swap_remove(at);
        let (job, work) = self.waiting.pop_front()?;
        self.busy.push(job);
        Some((job, self.ends(now, work)))
    }

    /// Whether it holds a request.
    #[must_use]
    pub fn works_on(&self, job: Job) -> bool {
        self.busy.contains(&job)
    }
}
