//! Attempts between instances and nodes, and the processes of nodes. Every attempt ends exactly once, in
//! `finish_attempt`.

use super::*;

impl World<'_> {
    /// The present process of a node.
    fn process(&self, node: usize) -> NodeProcess {
        NodeProcess { node, incarnation: self.slots[node].incarnation }
    }

    /// The node behind a server of an instance.
    fn node_of(&self, instance: u32, server: ServerId) -> Option<usize> {
        self.instances.get(&instance).and_then(|state| state.servers.get(&server).copied())
    }

    /// Whether an instance and a node can reach each other.
    fn reachable(&self, instance: u32, node: usize) -> bool {
        let zone = self.slots[node].zone;
        let from = self.instances.get(&instance).map_or(0, |state| state.zone);
        self.zone_reachable[zone] && !self.path_cut[from][zone]
    }

    pub(super) fn send_attempt(
        &mut self,
        job: Job,
        server: ServerId,
        until: u64,
        connect_timeout: Option<Span>,
    ) {
        self.tally.attempts += 1;
        let now = self.now;
        let until = until.max(now);
        let Some(node) = self.node_of(job.instance, server) else {
            let pending = PendingAttempt {
                server,
                process: None,
                sent: now,
                connection: None,
                lost: false,
                cold: false,
            };
            self.pending_attempts.insert(job, pending);
            return self.schedule(now, Event::AttemptEnds(job, Status::ConnectFailed));
        };
        let process = self.process(node);
        let reachable = self.reachable(job.instance, node);
        let network = self.scenario.fleet.network.us();
        self.auditor.attempt_sent(job, process, now);
        let acquired = self.connections.acquire(now, job.instance, node as u32);
        let pending = PendingAttempt {
            server,
            process: Some(process),
            sent: now,
            connection: (acquired != Acquired::LimitReached).then_some(acquired),
            lost: !reachable,
            cold: self.slots[node].node.capacity(now) < 1.0,
        };
        self.pending_attempts.insert(job, pending);
        self.schedule(until, Event::AttemptTimesOut(job));
        match acquired {
            Acquired::LimitReached => {
                self.schedule(now + 2 * network, Event::AttemptEnds(job, Status::Rejected));
            }
            // The connection is never established.
            Acquired::Opened if !reachable => {
                let failed = now + connect_timeout.unwrap_or(DEFAULT_CONNECT_TIMEOUT).0;
                self.schedule(failed.min(until), Event::AttemptEnds(job, Status::ConnectFailed));
            }
            Acquired::Reused if !reachable => {}
            Acquired::Reused | Acquired::Opened => {
                let handshake = if acquired == Acquired::Opened { 2 * network } else { 0 };
                let arrives = now + network + handshake;
                self.schedule(arrives, Event::AttemptArrives(job));
                if self.probabilities.occurs(RandomFault::ConnectionReset, &mut self.rng) {
                    self.schedule(arrives + network, Event::AttemptEnds(job, Status::Reset));
                }
            }
        }
    }

    /// Ends an attempt for its instance, once. A node that still works on it stops.
    pub(super) fn finish_attempt(&mut self, job: Job, status: Status, latencies: &mut Histogram<u64>) {
        let Some(pending) = self.pending_attempts.remove(&job) else { return };
        self.auditor.attempt_ended(job, self.now);
        *self.tally.outcomes.entry(outcome_key(status)).or_default() += 1;
        let answered = matches!(status, Status::Ok | Status::Error | Status::Rejected);
        let mut load = Vec::new();
        if let Some(process) = pending.process.filter(|_| answered) {
            load = self.load_report(process.node);
        }
        let same_process = pending.process.is_some_and(|process| self.process(process.node) == process);
        if let Some(process) = pending.process.filter(|_| same_process) {
            self.release_node(job, process.node);
        }
        if let (Some(_), Some(NodeProcess { node, .. })) = (pending.connection, pending.process) {
            if same_process && answered && self.slots[node].node.state != NodeState::Dead {
                self.connections.release(self.now, job.instance, node as u32);
            } else {
                self.connections.close(node as u32);
            }
        }
        if let Some(request) = self.requests.get_mut(&job.request).filter(|request| !request.answered) {
            if status == Status::Ok {
                latencies.saturating_record((self.now - request.origin.first_sent).max(1));
            }
            request.last_loss = match status {
                Status::Ok | Status::Cancelled | Status::NotSent => request.last_loss,
                Status::Timeout if pending.lost => Some(Loss::Unreachable),
                Status::Timeout | Status::Rejected if pending.cold => Some(Loss::Cold),
                Status::Timeout | Status::Rejected => Some(Loss::Queueing),
                Status::Error | Status::Reset | Status::ConnectFailed => Some(Loss::Unreachable),
            };
        }
        let latency = Span(self.now - pending.sent);
        let body = (status == Status::Ok).then_some(job.request);
        let completion = Completion { status, latency, load, body };
        let (id, attempt, server) = (RequestId(job.request), Attempt(job.attempt), pending.server);
        self.notify(job.instance, Input::AttemptEnded { id, attempt, server, completion });
    }

    /// Removes a request from a node, which then starts the next one in its queue.
    pub(super) fn release_node(&mut self, job: Job, node: usize) {
        if let Some(Started { job, ends_at }) = self.slots[node].node.finish(self.now, job) {
            self.auditor.attempt_started(job, self.now);
            self.schedule(ends_at, Event::WorkDone(job, self.process(node)));
        }
    }

    /// The load of a node as it reports it: requests in flight, requests queued, utilization.
    fn load_report(&self, node: usize) -> Vec<f64> {
        let NodeLoad { in_flight, queued } = self.slots[node].node.load();
        vec![in_flight as f64, queued as f64, self.slots[node].node.utilization()]
    }

    /// A node has completed the work of a request, unless it has restarted, dropped the request or stalled since.
    pub(super) fn finish_work(&mut self, job: Job, process: NodeProcess) {
        let node = process.node;
        if self.process(node) != process || !self.slots[node].node.is_running(job) {
            return;
        }
        let stalled_until = self.slots[node].node.stalled_until;
        if stalled_until > self.now {
            return self.schedule(stalled_until, Event::WorkDone(job, process));
        }
        self.release_node(job, node);
        let lost = self.probabilities.occurs(RandomFault::ResponseLost, &mut self.rng);
        if lost || !self.reachable(job.instance, node) {
            if let Some(pending) = self.pending_attempts.get_mut(&job) {
                pending.lost = true;
            }
            return;
        }
        let corrupted = self.probabilities.occurs(RandomFault::ResponseCorrupted, &mut self.rng);
        let status = if corrupted { Status::Error } else { Status::Ok };
        self.schedule(self.now + self.scenario.fleet.network.us(), Event::AttemptEnds(job, status));
    }

    pub(super) fn probe_answered(&mut self, instance: u32, server: ServerId, pool: PoolId) {
        let responding = self.node_of(instance, server).filter(|node| {
            let state = self.slots[*node].node.state;
            matches!(state, NodeState::Serving | NodeState::Failing) && self.reachable(instance, *node)
        });
        let stalled = responding.is_some_and(|node| self.slots[node].node.stalled_until > self.now);
        let completion = match responding.filter(|_| !stalled) {
            Some(node) => {
                let latency = Span(2 * self.scenario.fleet.network.us());
                Completion { status: Status::Ok, latency, load: self.load_report(node), body: None }
            }
            None if stalled => Completion::without_response(Status::Timeout),
            None => Completion::without_response(Status::ConnectFailed),
        };
        self.notify(instance, Input::ProbeEnded { server, pool, completion });
    }

    pub(super) fn attempt_arrives(&mut self, job: Job) {
        let Some(pending) = self.pending_attempts.get(&job) else { return };
        let Some(process) = pending.process else { return };
        let opened = pending.connection == Some(Acquired::Opened);
        let node = process.node;
        let back = self.now + self.scenario.fleet.network.us();
        // The process ended in the meantime, and the connection with it.
        if self.process(node) != process {
            return self.schedule(back, Event::AttemptEnds(job, Status::ConnectFailed));
        }
        let nodes = self.slots.len();
        self.tally.second(self.now, nodes).arrived[node] += 1;
        let work = self.requests.get(&job.request).map_or(1.0, |request| request.origin.work);
        let handshake = self.scenario.fleet.handshake.filter(|_| opened);
        let work = work + handshake.map_or(0.0, |cost| cost.us() as f64);
        self.audit_cold_arrival(job, process, work);
        let was_over_budget = self.slots[node].node.over_budget;
        let admission = self.slots[node].node.admit(self.now, job, work);
        if !was_over_budget && self.slots[node].node.over_budget {
            self.auditor.cold_node_overloaded(node, self.now);
        }
        match admission {
            Admission::Started { ends_at } => {
                self.auditor.attempt_started(job, self.now);
                self.schedule(ends_at, Event::WorkDone(job, process));
            }
            Admission::Queued => {}
            Admission::Ignored => {
                if let Some(pending) = self.pending_attempts.get_mut(&job) {
                    pending.lost = true;
                }
            }
            Admission::QueueFull => self.schedule(back, Event::AttemptEnds(job, Status::Rejected)),
            Admission::Failed => {
                self.auditor.attempt_started(job, self.now);
                self.schedule(back, Event::AttemptEnds(job, Status::Error));
            }
            Admission::ConnectionRefused => {
                self.schedule(back, Event::AttemptEnds(job, Status::ConnectFailed));
                if self.slots[node].node.overloaded && self.slots[node].node.state != NodeState::Dead {
                    self.stop_node(node);
                }
            }
        }
    }

    /// Reports a request to the auditor if it arrives at a serving node that is cold.
    fn audit_cold_arrival(&mut self, job: Job, process: NodeProcess, work: f64) {
        let node = &self.slots[process.node].node;
        if node.state != NodeState::Serving {
            return;
        }
        let Some(started_at) = node.started_at else { return };
        let age = self.now - started_at;
        if age >= self.cold_budget.warm_up {
            return;
        }
        let allowance = Allowance { budget: self.cold_budget.budget(age), window: self.cold_budget.window };
        self.auditor.cold_arrival(job, process, work / self.mean_work, allowance, self.now);
    }

    /// Ends the process of a node; its requests are reset.
    pub(super) fn stop_node(&mut self, node: usize) {
        let back = self.now + self.scenario.fleet.network.us();
        self.connections.close_node(node as u32);
        for job in self.slots[node].node.die() {
            self.schedule(back, Event::AttemptEnds(job, Status::Reset));
        }
    }

    /// Changes the entry of a node in the list; the change is published with others shortly after.
    pub(super) fn change_entry(&mut self, node: usize, uid: u32, state: State, boot: u64) {
        let entry = entry(self.scenario, &self.slots, node, uid, state, boot);
        self.service.change(self.process(node), entry);
        if !std::mem::replace(&mut self.publish_scheduled, true) {
            self.schedule(self.now + CHANGE_BATCH_US, Event::PublishChanges);
        }
    }

    /// Starts the next process of a node.
    pub(super) fn start_node(&mut self, node: usize) {
        let now = self.now;
        let slot = &mut self.slots[node];
        slot.incarnation += 1;
        slot.state = State::Ready;
        let lost = slot.node.restart(now);
        debug_assert!(lost.is_empty());
        let uid = slot.uid;
        self.change_entry(node, uid, State::Ready, now);
    }
}

/// The key of an attempt's status in reports: the name of the status, except for two that keep earlier names.
fn outcome_key(status: Status) -> String {
    match status {
        Status::Rejected => "Full".to_owned(),
        Status::NotSent => "Moot".to_owned(),
        other => format!("{other:?}"),
    }
}
