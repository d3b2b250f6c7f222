//! What happens between an instance and a node: an attempt goes out, is worked on and ends, once, by `ended`; a node's process
//! comes and goes.

use super::*;

impl World<'_> {
    /// Whether an instance and a node reach each other.
    pub(super) fn reachable(&self, instance: u32, node: usize) -> bool {
        let (zone, from) =
            (self.slots[node].zone, self.instances.get(&instance).map_or(0, |state| state.zone));
        !self.zones_lost[zone] && !self.cut[from][zone]
    }

    pub(super) fn send_attempt(&mut self, job: Job, server: ServerId, until: u64, connect: Option<Span>) {
        self.tally.attempts += 1;
        let (now, until) = (self.now, until.max(self.now));
        let node = self.instances.get(&job.instance).and_then(|state| state.servers.get(&server).copied());
        let mut pending = PendingAttempt {
            server,
            node,
            incarnation: 0,
            sent: now,
            connection: None,
            lost: false,
            cold: false,
        };
        let Some(at) = node else {
            self.pending_attempts.insert(job, pending);
            return self.schedule(now, Event::AttemptEnds(job, Status::ConnectFailed));
        };
        let (reached, network) = (self.reachable(job.instance, at), self.scenario.fleet.network.us());
        let slot = &self.slots[at];
        pending.incarnation = slot.incarnation;
        pending.cold = slot.node.capacity(now) < 1.0;
        self.auditor.attempt_sent(job, at, pending.incarnation, now);
        let acquired = self.connections.acquire(now, job.instance, at as u32);
        pending.connection = match acquired {
            Acquired::Reused => Some(false),
            Acquired::Opened => Some(true),
            Acquired::LimitReached => None,
        };
        pending.lost = !reached;
        self.pending_attempts.insert(job, pending);
        self.schedule(until, Event::AttemptTimesOut(job));
        match acquired {
            Acquired::LimitReached => {
                self.schedule(now + 2 * network, Event::AttemptEnds(job, Status::Rejected))
            }
            // It never comes up.
            Acquired::Opened if !reached => {
                let failed = now + connect.unwrap_or(DEFAULT_CONNECT_TIMEOUT).0;
                self.schedule(failed.min(until), Event::AttemptEnds(job, Status::ConnectFailed));
            }
            Acquired::Reused if !reached => {}
            Acquired::Reused | Acquired::Opened => {
                let arrives_after = network + if acquired == Acquired::Opened { 2 * network } else { 0 };
                self.schedule(now + arrives_after, Event::AttemptArrives(job));
                if self.probabilities.occurs(RandomFault::ConnectionReset, &mut self.rng) {
                    self.schedule(now + arrives_after + network, Event::AttemptEnds(job, Status::Reset));
                }
            }
        }
    }

    /// An attempt ends for its instance, once; what a node still does for it stops.
    pub(super) fn finish_attempt(&mut self, job: Job, status: Status, latencies: &mut Histogram<u64>) {
        let Some(pending) = self.pending_attempts.remove(&job) else { return };
        self.auditor.attempt_ended(job, self.now);
        *self.tally.outcomes.entry(outcome_key(status)).or_default() += 1;
        let latency = self.now - pending.sent;
        let mut load = Vec::new();
        if let (Some(node), Status::Ok | Status::Error | Status::Rejected) = (pending.node, status) {
            load = self.load_report(node);
        }
        let same_process = pending.node.filter(|node| self.slots[*node].incarnation == pending.incarnation);
        if let Some(node) = same_process {
            self.release_node(job, node);
        }
        if let (Some(_), Some(node)) = (pending.connection, pending.node) {
            let reusable =
                same_process.is_some() && matches!(status, Status::Ok | Status::Error | Status::Rejected);
            if reusable && self.slots[node].node.state != NodeState::Dead {
                self.connections.release(self.now, job.instance, node as u32);
            } else {
                self.connections.close(node as u32);
            }
        }
        let body = (status == Status::Ok).then_some(job.request);
        if let Some(request) = self.requests.get_mut(&job.request).filter(|request| !request.answered) {
            if status == Status::Ok {
                latencies.saturating_record((self.now - request.origin.first).max(1));
            }
            request.last = match status {
                Status::Ok | Status::Cancelled | Status::NotSent => request.last,
                Status::Timeout if pending.lost => Some(Loss::Unreachable),
                Status::Timeout | Status::Rejected if pending.cold => Some(Loss::Cold),
                Status::Timeout | Status::Rejected => Some(Loss::Queueing),
                Status::Error | Status::Reset | Status::ConnectFailed => Some(Loss::Unreachable),
            };
        }
        let completion = Completion { status, latency: Span(latency), load, body };
        let (id, attempt, server) = (RequestId(job.request), Attempt(job.attempt), pending.server);
        self.notify(job.instance, Input::AttemptEnded { id, attempt, server, completion });
    }

    /// A node is done with a request, and begins the next that waits.
    pub(super) fn release_node(&mut self, job: Job, node: usize) {
        if let Some((next, ends)) = self.slots[node].node.finish(self.now, job) {
            self.auditor.attempt_started(next, self.now);
            self.schedule(ends, Event::WorkDone(next, node, self.slots[node].incarnation));
        }
    }

    pub(super) fn load_report(&self, node: usize) -> Vec<f64> {
        let (open_requests, waiting) = self.slots[node].node.load();
        vec![open_requests as f64, waiting as f64, self.slots[node].node.utilization()]
    }

    pub(super) fn finish_work(&mut self, job: Job, node: usize, incarnation: u32) {
        if self.slots[node].incarnation != incarnation || !self.slots[node].node.is_running(job) {
            return;
        }
        let stalled_until = self.slots[node].node.stalled_until;
        if stalled_until > self.now {
            return self.schedule(stalled_until, Event::WorkDone(job, node, incarnation));
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
        let node = self.instances.get(&instance).and_then(|state| state.servers.get(&server).copied());
        let healthy = node.filter(|n| {
            let state = self.slots[*n].node.state;
            matches!(state, NodeState::Serving | NodeState::Failing) && self.reachable(instance, *n)
        });
        let stalled = healthy.is_some_and(|n| self.slots[n].node.stalled_until > self.now);
        let completion = match healthy.filter(|_| !stalled) {
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
        let Some(PendingAttempt { node: Some(node), incarnation, connection, .. }) =
            self.pending_attempts.get(&job)
        else {
            return;
        };
        let (node, incarnation, opened) = (*node, *incarnation, *connection == Some(true));
        let back = self.now + self.scenario.fleet.network.us();
        // Its process has gone meanwhile, and the connection with it.
        if incarnation != self.slots[node].incarnation {
            return self.schedule(back, Event::AttemptEnds(job, Status::ConnectFailed));
        }
        let nodes = self.slots.len();
        self.tally.second(self.now, nodes).arrived[node] += 1;
        let work = self.requests.get(&job.request).map_or(1.0, |request| request.origin.work);
        let work =
            work + self.scenario.fleet.handshake.filter(|_| opened).map_or(0.0, |cost| cost.us() as f64);
        let is_serving = self.slots[node].node.state == NodeState::Serving;
        if let Some(started_at) = self.slots[node].node.started_at.filter(|_| is_serving) {
            let (cold_budget, age) = (self.cold_budget, self.now - started_at);
            if age < cold_budget.warm_up {
                let (calls, budget) = (work / self.mean_work, cold_budget.budget(age));
                self.auditor.cold_arrival(
                    job,
                    (node, incarnation),
                    calls,
                    (budget, cold_budget.window),
                    self.now,
                );
            }
        }
        let was_within_budget = !self.slots[node].node.over_budget;
        let admission = self.slots[node].node.admit(self.now, job, work);
        if was_within_budget && self.slots[node].node.over_budget {
            self.auditor.cold_node_overloaded(node, self.now);
        }
        match admission {
            Admission::Started { ends_at } => {
                self.auditor.attempt_started(job, self.now);
                self.schedule(ends_at, Event::WorkDone(job, node, incarnation));
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

    /// A node's process ends: what it had is reset.
    pub(super) fn stop_node(&mut self, node: usize) {
        let back = self.now + self.scenario.fleet.network.us();
        self.connections.close_node(node as u32);
        for job in self.slots[node].node.die() {
            self.schedule(back, Event::AttemptEnds(job, Status::Reset));
        }
    }

    /// Discovery has something to tell of a node.
    pub(super) fn list_change(&mut self, node: usize, uid: u32, state: State, boot: u64) {
        let entry = entry(self.scenario, &self.slots, node, uid, state, boot);
        self.service.change(node, self.slots[node].incarnation, entry);
        if !std::mem::replace(&mut self.publish_scheduled, true) {
            self.schedule(self.now + CHANGE_BATCH_US, Event::PublishChanges);
        }
    }

    /// A node's next process begins.
    pub(super) fn start_node(&mut self, node: usize) {
        let now = self.now;
        let slot = &mut self.slots[node];
        slot.incarnation += 1;
        slot.state = State::Ready;
        let lost = slot.node.restart(now);
        debug_assert!(lost.is_empty());
        let uid = slot.uid;
        self.list_change(node, uid, State::Ready, now);
    }
}

/// The key of an attempt's status in reports: the name of the status, where two keep their earlier names.
fn outcome_key(status: Status) -> String {
    match status {
        Status::Rejected => "Full".to_owned(),
        Status::NotSent => "Moot".to_owned(),
        other => format!("{other:?}"),
    }
}
