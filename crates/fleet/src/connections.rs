//! The connections that instances hold to nodes, as things that cost: one carries one request at a time, a new one
//! takes a round trip and work, a node holds only so many and closes those that stand idle. Pure; it owns every connection,
//! and a connection is given back by [`Connections::release`] or [`Connections::close`], once.

use rustc_hash::FxHashMap;

/// What a node grants.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionLimits {
    /// Connections that a node holds at most; nothing for any number.
    pub max_per_node: Option<usize>,
    /// Microseconds after which an idle one is closed; 0 for never.
    pub idle_timeout: u64,
}

/// What an attempt gets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Acquired {
    /// One that was free.
    Reused,
    /// A new one.
    Opened,
    /// The node holds no more.
    LimitReached,
}

/// All connections.
#[derive(Clone, Debug)]
pub struct Connections {
    limits: ConnectionLimits,
    /// When each free one was last used, by instance and node, oldest first.
    idle: FxHashMap<(u32, u32), Vec<u64>>,
    /// Those open at each node, free or not.
    open: Vec<usize>,
    opened: u64,
    peak_per_node: usize,
}

impl Connections {
    /// No connections to so many nodes.
    #[must_use]
    pub fn new(limits: ConnectionLimits, nodes: usize) -> Connections {
        Connections { limits, idle: FxHashMap::default(), open: vec![0; nodes], opened: 0, peak_per_node: 0 }
    }

    /// A connection for an attempt.
    pub fn acquire(&mut self, now: u64, instance: u32, node: u32) -> Acquired {
        let (idle_timeout, at) = (self.limits.idle_timeout, node as usize);
        if let Some(idle) = self.idle.get_mut(&(instance, node)) {
            if idle_timeout > 0 {
                let expired = idle.partition_point(|used| used + idle_timeout <= now);
                idle.drain(..expired);
                self.open[at] -= expired;
            }
            // The last used first: the others may go idle.
            if idle.pop().is_some() {
                return Acquired::Reused;
            }
        }
        if self.limits.max_per_node.is_some_and(|max_per_node| self.open[at] >= max_per_node) {
            return Acquired::LimitReached;
        }
        self.open[at] += 1;
        self.opened += 1;
        self.peak_per_node = self.peak_per_node.max(self.open[at]);
        Acquired::Opened
    }

    /// A connection's request has its answer: it is free again.
    pub fn release(&mut self, now: u64, instance: u32, node: u32) {
        self.idle.entry((instance, node)).or_default().push(now);
    }

    /// A connection ends with its request.
    pub fn close(&mut self, node: u32) {
        self.open[node as usize] = self.open[node as usize].saturating_sub(1);
    }

    /// A node's process ends, and all that stood idle with it; those in use end with their requests.
    pub fn close_node(&mut self, node: u32) {
        for ((_, at), idle) in &mut self.idle {
            if *at == node {
                self.open[node as usize] -= std::mem::take(idle).len();
            }
        }
    }

    /// An instance ends, and its free connections with it.
    pub fn close_instance(&mut self, instance: u32) {
        let open = &mut self.open;
        self.idle.retain(|(of, node), idle| {
            if *of == instance {
                open[*node as usize] -= idle.len();
            }
            *of != instance
        });
    }

    /// Closes what stood idle for too long, so that it holds no place.
    pub fn close_idle(&mut self, now: u64) {
        let (idle_timeout, open) = (self.limits.idle_timeout, &mut self.open);
        if idle_timeout == 0 {
            return;
        }
        for ((_, node), idle) in &mut self.idle {
            let expired = idle.partition_point(|used| used + idle_timeout <= now);
            idle.drain(..expired);
            open[*node as usize] -= expired;
        }
    }

    /// Opened since the last call.
    pub fn take_opened_count(&mut self) -> u64 {
        std::mem::take(&mut self.opened)
    }

    /// Open ones, all together.
    #[must_use]
    pub fn open_count(&self) -> usize {
        self.open.iter().sum()
    }

    /// The most that one node ever held.
    #[must_use]
    pub fn peak_per_node(&self) -> usize {
        self.peak_per_node
    }
}

#[cfg(test)]
mod tests;
