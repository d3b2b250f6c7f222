//! What happens between an instance and a node: an attempt goes out, is worked on and ends, once, by `ended`; a node's process
//! comes and goes.

use super::*;

impl World<'_> {
    /// Whether an instance and a node reach each other.
    pub(super) fn reach(&self, instance: u32, node: usize) -> bool {
        let (zone, from) = (self.places[node].zone, self.instances.get(&instance).map_or(0, |of| of.zone));
        !self.zones_lost[zone] && !self.cut[from][zone]
    }

    pub(super) fn send(&mut self, job: Job, server: ServerId, until: u64, connect: Option<Span>) {
        self.tally.attempts += 1;
        let (now, until) = (self.now, until.max(self.now));
        let node = self.instances.get(&job.instance).and_then(|of| of.servers.get(&server).copied());
        let mut flight = Flight { server, node, starts: 0, sent: now, link: None, lost: false, cold: false };
        let Some(at) = node else {
            self.flights.insert(job, flight);
            return self.at(now, Event::Back(job, Status::ConnectFailed));
        };
        let (reached, network) = (self.reach(job.instance, at), self.scenario.fleet.network.us());
        let place = &self.places[at];
        flight.starts = place.starts;
        flight.cold = place.node.warmth(now) < 1.0;
        self.auditor.sent(job, at, flight.starts, now);
        let got = self.links.take(now, job.instance, at as u32);
        flight.link = match got {
            Got::Kept => Some(false),
            Got::New => Some(true),
            Got::Full => None,
        };
        flight.lost = !reached;
        self.flights.insert(job, flight);
        self.at(until, Event::Until(job));
        match got {
            Got::Full => self.at(now + 2 * network, Event::Back(job, Status::Rejected)),
            // It never comes up.
            Got::New if !reached => {
                let failed = now + connect.unwrap_or(CONNECT).0;
                self.at(failed.min(until), Event::Back(job, Status::ConnectFailed));
            }
            Got::Kept if !reached => {}
            Got::Kept | Got::New => {
                let there = network + if got == Got::New { 2 * network } else { 0 };
                self.at(now + there, Event::Arrive(job));
                if self.chances.falls(Chance::Reset, &mut self.rng) {
                    self.at(now + there + network, Event::Back(job, Status::Reset));
                }
            }
        }
    }

    /// An attempt ends for its instance, once; what a node still does for it stops.
    pub(super) fn ended(&mut self, job: Job, status: Status, times: &mut Histogram<u64>) {
        let Some(flight) = self.flights.remove(&job) else { return };
        self.auditor.ended(job, self.now);
        *self.tally.outcomes.entry(outcome_key(status)).or_default() += 1;
        let latency = self.now - flight.sent;
        let mut load = Vec::new();
        if let (Some(node), Status::Ok | Status::Error | Status::Rejected) = (flight.node, status) {
            load = self.report_of(node);
        }
        let same = flight.node.filter(|node| self.places[*node].starts == flight.starts);
        if let Some(node) = same {
            self.leaves_node(job, node);
        }
        if let (Some(_), Some(node)) = (flight.link, flight.node) {
            let kept = same.is_some() && matches!(status, Status::Ok | Status::Error | Status::Rejected);
            if kept && self.places[node].node.mood != Mood::Dead {
                self.links.free(self.now, job.instance, node as u32);
            } else {
                self.links.close(node as u32);
            }
        }
        let body = (status == Status::Ok).then_some(job.request);
        if let Some(request) = self.requests.get_mut(&job.request).filter(|request| !request.answered) {
            if status == Status::Ok {
                times.saturating_record((self.now - request.asked.first).max(1));
            }
            request.last = match status {
                Status::Ok | Status::Cancelled | Status::NotSent => request.last,
                Status::Timeout if flight.lost => Some(Loss::NoSight),
                Status::Timeout | Status::Rejected if flight.cold => Some(Loss::Cold),
                Status::Timeout | Status::Rejected => Some(Loss::Queueing),
                Status::Error | Status::Reset | Status::ConnectFailed => Some(Loss::NoSight),
            };
        }
        let ended = Ended { status, latency: Span(latency), load, body };
        let (id, attempt, server) = (RequestId(job.request), Attempt(job.attempt), flight.server);
        self.tell(job.instance, Input::Ended { id, attempt, server, ended });
    }

    /// A node is done with a request, and begins the next that waits.
    pub(super) fn leaves_node(&mut self, job: Job, node: usize) {
        if let Some((next, ends)) = self.places[node].node.done(self.now, job) {
            self.auditor.began(next, self.now);
            self.at(ends, Event::Done(next, node, self.places[node].starts));
        }
    }

    pub(super) fn report_of(&self, node: usize) -> Vec<f64> {
        let (in_hand, waiting) = self.places[node].node.load();
        vec![in_hand as f64, waiting as f64, self.places[node].node.util()]
    }

    pub(super) fn done(&mut self, job: Job, node: usize, starts: u32) {
        if self.places[node].starts != starts || !self.places[node].node.works_on(job) {
            return;
        }
        let still = self.places[node].node.still;
        if still > self.now {
            return self.at(still, Event::Done(job, node, starts));
        }
        self.leaves_node(job, node);
        let lost = self.chances.falls(Chance::AnswerLost, &mut self.rng);
        if lost || !self.reach(job.instance, node) {
            if let Some(flight) = self.flights.get_mut(&job) {
                flight.lost = true;
            }
            return;
        }
        let spoilt = self.chances.falls(Chance::Spoilt, &mut self.rng);
        let status = if spoilt { Status::Error } else { Status::Ok };
        self.at(self.now + self.scenario.fleet.network.us(), Event::Back(job, status));
    }

    pub(super) fn probed(&mut self, instance: u32, server: ServerId, asked: SlotId) {
        let node = self.instances.get(&instance).and_then(|of| of.servers.get(&server).copied());
        let well = node.filter(|n| {
            let mood = self.places[*n].node.mood;
            matches!(mood, Mood::Serves | Mood::Fails) && self.reach(instance, *n)
        });
        let still = well.is_some_and(|n| self.places[n].node.still > self.now);
        let ended = match well.filter(|_| !still) {
            Some(node) => {
                let latency = Span(2 * self.scenario.fleet.network.us());
                Ended { status: Status::Ok, latency, load: self.report_of(node), body: None }
            }
            None if still => Ended::unsent(Status::Timeout),
            None => Ended::unsent(Status::ConnectFailed),
        };
        self.tell(instance, Input::Probed { server, asked, ended });
    }

    pub(super) fn arrive(&mut self, job: Job) {
        let Some(Flight { node: Some(node), starts, link, .. }) = self.flights.get(&job) else { return };
        let (node, starts, new) = (*node, *starts, *link == Some(true));
        let back = self.now + self.scenario.fleet.network.us();
        // Its process has gone meanwhile, and the connection with it.
        if starts != self.places[node].starts {
            return self.at(back, Event::Back(job, Status::ConnectFailed));
        }
        let nodes = self.places.len();
        self.tally.second(self.now, nodes).arrived[node] += 1;
        let work = self.requests.get(&job.request).map_or(1.0, |request| request.asked.work);
        let work = work + self.scenario.fleet.handshake.filter(|_| new).map_or(0.0, |cost| cost.us() as f64);
        let serves = self.places[node].node.mood == Mood::Serves;
        if let Some(born) = self.places[node].node.born.filter(|_| serves) {
            let (terms, age) = (self.cold, self.now - born);
            if age < terms.cold {
                let (calls, budget) = (work / self.mean_work, terms.budget(age));
                self.auditor.came_cold(job, (node, starts), calls, (budget, terms.over), self.now);
            }
        }
        let within = !self.places[node].node.over_budget;
        let taken = self.places[node].node.take(self.now, job, work);
        if within && self.places[node].node.over_budget {
            self.auditor.fell(node, self.now);
        }
        match taken {
            Taken::Works(ends) => {
                self.auditor.began(job, self.now);
                self.at(ends, Event::Done(job, node, starts));
            }
            Taken::Waits => {}
            Taken::Swallowed => {
                if let Some(flight) = self.flights.get_mut(&job) {
                    flight.lost = true;
                }
            }
            Taken::Full => self.at(back, Event::Back(job, Status::Rejected)),
            Taken::Fails => {
                self.auditor.began(job, self.now);
                self.at(back, Event::Back(job, Status::Error));
            }
            Taken::Refused => {
                self.at(back, Event::Back(job, Status::ConnectFailed));
                if self.places[node].node.fell && self.places[node].node.mood != Mood::Dead {
                    self.down(node);
                }
            }
        }
    }

    /// A node's process ends: what it had is reset.
    pub(super) fn down(&mut self, node: usize) {
        let back = self.now + self.scenario.fleet.network.us();
        self.links.node_ends(node as u32);
        for job in self.places[node].node.die() {
            self.at(back, Event::Back(job, Status::Reset));
        }
    }

    /// Discovery has something to tell of a node.
    pub(super) fn list(&mut self, node: usize, uid: u32, state: State, boot: u64) {
        let entry = entry(self.scenario, &self.places, node, uid, state, boot);
        self.service.change(node, self.places[node].starts, entry);
        if !std::mem::replace(&mut self.news_due, true) {
            self.at(self.now + TOGETHER, Event::News);
        }
    }

    /// A node's next process begins.
    pub(super) fn anew(&mut self, node: usize) {
        let now = self.now;
        let place = &mut self.places[node];
        place.starts += 1;
        place.state = State::Ready;
        let lost = place.node.restart(now);
        debug_assert!(lost.is_empty());
        let uid = place.uid;
        self.list(node, uid, State::Ready, now);
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
