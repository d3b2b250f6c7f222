//! The connections that instances hold to nodes, as things that cost: one carries one request at a time, a new one
//! takes a round trip and work, a node holds only so many and closes those that stand idle. Pure; it owns every connection,
//! and a connection is given back by [`Links::free`] or [`Links::close`], once.

use rustc_hash::FxHashMap;

/// What a node grants.
#[derive(Clone, Copy, Debug)]
pub struct Terms {
    /// Connections that a node holds at most; nothing for any number.
    pub most: Option<usize>,
    /// Microseconds after which an idle one is closed; 0 for never.
    pub idle: u64,
}

/// What an attempt gets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Got {
    /// One that was free.
    Kept,
    /// A new one.
    New,
    /// The node holds no more.
    Full,
}

/// All connections.
#[derive(Clone, Debug)]
pub struct Links {
    terms: Terms,
    /// When each free one was last used, by instance and node, oldest first.
    free: FxHashMap<(u32, u32), Vec<u64>>,
    /// Those open at each node, free or not.
    open: Vec<usize>,
    opened: u64,
    most_at_one: usize,
}

impl Links {
    /// No connections to so many nodes.
    #[must_use]
    pub fn new(terms: Terms, nodes: usize) -> Links {
        Links { terms, free: FxHashMap::default(), open: vec![0; nodes], opened: 0, most_at_one: 0 }
    }

    /// A connection for an attempt.
    pub fn take(&mut self, now: u64, instance: u32, node: u32) -> Got {
        let (idle, at) = (self.terms.idle, node as usize);
        if let Some(free) = self.free.get_mut(&(instance, node)) {
            if idle > 0 {
                let ended = free.partition_point(|used| used + idle <= now);
                free.drain(..ended);
                self.open[at] -= ended;
            }
            // The last used first: the others may go idle.
            if free.pop().is_some() {
                return Got::Kept;
            }
        }
        if self.terms.most.is_some_and(|most| self.open[at] >= most) {
            return Got::Full;
        }
        self.open[at] += 1;
        self.opened += 1;
        self.most_at_one = self.most_at_one.max(self.open[at]);
        Got::New
    }

    /// A connection's request has its answer: it is free again.
    pub fn free(&mut self, now: u64, instance: u32, node: u32) {
        self.free.entry((instance, node)).or_default().push(now);
    }

    /// A connection ends with its request.
    pub fn close(&mut self, node: u32) {
        self.open[node as usize] = self.open[node as usize].saturating_sub(1);
    }

    /// A node's process ends, and all that stood idle with it; those in use end with their requests.
    pub fn node_ends(&mut self, node: u32) {
        for ((_, at), free) in &mut self.free {
            if *at == node {
                self.open[node as usize] -= std::mem::take(free).len();
            }
        }
    }

    /// An instance ends, and its free connections with it.
    pub fn instance_ends(&mut self, instance: u32) {
        let open = &mut self.open;
        self.free.retain(|(of, node), free| {
            if *of == instance {
                open[*node as usize] -= free.len();
            }
            *of != instance
        });
    }

    /// Closes what stood idle for too long, so that it holds no place.
    pub fn sweep(&mut self, now: u64) {
        let (idle, open) = (self.terms.idle, &mut self.open);
        if idle == 0 {
            return;
        }
        for ((_, node), free) in &mut self.free {
            let ended = free.partition_point(|used| used + idle <= now);
            free.drain(..ended);
            open[*node as usize] -= ended;
        }
    }

    /// Opened since the last call.
    pub fn take_opened(&mut self) -> u64 {
        std::mem::take(&mut self.opened)
    }

    /// Open ones, all together.
    #[must_use]
    pub fn held(&self) -> usize {
        self.open.iter().sum()
    }

    /// The most that one node ever held.
    #[must_use]
    pub fn most_at_one(&self) -> usize {
        self.most_at_one
    }
}

#[cfg(test)]
mod tests;
