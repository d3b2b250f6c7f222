//! The connections between instances and nodes, as a limited resource: a connection carries one request at a time,
//! opening one takes a round trip and work, and a node limits their number and closes idle ones. A pure state machine
//! that owns every connection; one is returned exactly once, by [`Connections::release`] or [`Connections::close`].

use rustc_hash::FxHashMap;

/// The limits of each node.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionLimits {
    /// Open connections at most; `None` for no limit.
    pub max_per_node: Option<usize>,
    /// Microseconds after which an idle connection is closed; 0 for never.
    pub idle_timeout: u64,
}

/// The connection that an attempt gets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Acquired {
    /// An idle one.
    Reused,
    /// A new one.
    Opened,
    /// None: the node has reached its limit.
    LimitReached,
}

/// All connections.
#[derive(Clone, Debug)]
pub struct Connections {
    limits: ConnectionLimits,
    /// When each idle connection was last used, by instance and node, oldest first.
    idle: FxHashMap<(u32, u32), Vec<u64>>,
    /// The number of open connections of each node, idle or in use.
    open: Vec<usize>,
    opened: u64,
    peak_per_node: usize,
}

impl Connections {
    /// No connections yet to this number of nodes.
    #[must_use]
    pub fn new(limits: ConnectionLimits, nodes: usize) -> Connections {
        Connections { limits, idle: FxHashMap::default(), open: vec![0; nodes], opened: 0, peak_per_node: 0 }
    }

    /// Takes an idle connection or opens one.
    pub fn acquire(&mut self, now: u64, instance: u32, node: u32) -> Acquired {
        let (idle_timeout, at) = (self.limits.idle_timeout, node as usize);
        if let Some(idle) = self.idle.get_mut(&(instance, node)) {
            if idle_timeout > 0 {
                let expired = idle.partition_point(|used| used + idle_timeout <= now);
                idle.drain(..expired);
                self.open[at] -= expired;
            }
            // The most recently used one first, so that the others can time out.
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

    /// Makes a connection idle again after its request was answered.
    pub fn release(&mut self, now: u64, instance: u32, node: u32) {
        self.idle.entry((instance, node)).or_default().push(now);
    }

    /// Closes a connection that is in use.
    pub fn close(&mut self, node: u32) {
        self.open[node as usize] = self.open[node as usize].saturating_sub(1);
    }

    /// Closes the idle connections of a node whose process ended; those in use are closed with their requests.
    pub fn close_node(&mut self, node: u32) {
        for ((_, at), idle) in &mut self.idle {
            if *at == node {
                self.open[node as usize] -= std::mem::take(idle).len();
            }
        }
    }

    /// Closes the idle connections of an instance that ended.
    pub fn close_instance(&mut self, instance: u32) {
        let open = &mut self.open;
        self.idle.retain(|(owner, node), idle| {
            if *owner == instance {
                open[*node as usize] -= idle.len();
            }
            *owner != instance
        });
    }

    /// Closes the connections that have reached the idle timeout, so that they no longer count towards the limits.
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

    /// Returns and resets the number of connections opened since the last call.
    pub fn take_opened_count(&mut self) -> u64 {
        std::mem::take(&mut self.opened)
    }

    /// The number of open connections of all nodes.
    #[must_use]
    pub fn open_count(&self) -> usize {
        self.open.iter().sum()
    }

    /// The highest number of open connections that a node ever had.
    #[must_use]
    pub fn peak_per_node(&self) -> usize {
        self.peak_per_node
    }
}

#[cfg(test)]
mod tests;
