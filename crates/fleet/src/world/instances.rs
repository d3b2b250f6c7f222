//! The instances under test: they start, receive events, have their outputs executed, follow discovery, and end.

use super::*;

impl World<'_> {
    /// The settings of a caller's instance.
    pub(super) fn instance_settings(&self, caller: u32) -> Result<InstanceSettings> {
        self.settings_scenario.instance_settings(caller as usize)
    }

    /// Starts an instance for a caller, with the list that discovery has now.
    pub(super) fn start_instance(&mut self, caller: u32, listing: Listing) -> Result<()> {
        let settings = self.instance_settings(caller)?;
        let number = self.next_instance;
        self.next_instance += 1;
        let seed = self.seed.wrapping_mul(0x9e37_79b9_7f4a_7c15).wrapping_add(u64::from(number));
        let engine = || Engine::<u64, u64>::new(&settings, seed, MAX_REQUESTS);
        let balancer: Box<dyn Balancer> = match self.policy {
            Policy::Module | Policy::Without(_) => Box::new(engine()),
            Policy::Baseline(choice) => Box::new(Baseline::new(choice, &settings, seed)),
            // Only the first instance takes the whole budget; the others keep to their part.
            Policy::Mutant(InjectedFault::TakesBudget) if caller > 0 => Box::new(engine()),
            Policy::Mutant(fault) => Box::new(Mutant::new(engine(), fault, self.scenario.cold_budget())),
        };
        let mut timing = Timing::derive(HEARTBEAT, KNOWN_WITHIN, DRAIN_GRACE);
        if self.policy == Policy::Without(Mechanism::CallQueueing) {
            timing.staleness_bound = timing.call_timeout;
        }
        let mode = if self.scenario.fleet.list_on_request { Discovery::OnRequest } else { Discovery::Pushed };
        let at = SocketAddr::from((Ipv4Addr::LOCALHOST, 1));
        let (follower, delivery) = Follower::new(Time(self.now), timing, mode, at, seed, listing);
        let zone = self.callers[caller as usize].zone;
        let servers = FxHashMap::default();
        let (next_wake, next_follow) = (u64::MAX, u64::MAX);
        let instance =
            Instance { caller, zone, balancer, follower, servers, next_wake, next_follow, open_requests: 0 };
        self.instances.insert(number, instance);
        self.callers[caller as usize].instance = Some(number);
        for process in self.service.listed_processes() {
            self.auditor.initially_listed(number, process);
        }
        self.notify(number, Input::ServerList(delivery));
        self.drive_follower(number, None);
        Ok(())
    }

    /// Passes an event to an instance and executes its outputs.
    pub(super) fn notify(&mut self, instance: u32, input: EngineInput) {
        let mut out = std::mem::take(&mut self.out);
        if let Some(state) = self.instances.get_mut(&instance) {
            state.balancer.input(Time(self.now), input, &mut out);
        }
        self.execute(instance, out);
    }

    /// Carries out the outputs of an instance and schedules its next wake.
    pub(super) fn execute(&mut self, instance: u32, mut out: Vec<EngineOutput>) {
        let mut watch = false;
        for output in out.drain(..) {
            match output {
                Output::Answer { id, answer } => self.answer(id.0, &answer),
                Output::Attempt { id, attempt, server, until, connect_timeout, .. } => {
                    let job = Job { instance, request: id.0, attempt: attempt.0 };
                    self.send_attempt(job, server, until.0, connect_timeout);
                }
                Output::Cancel { id, attempt, .. } => {
                    let job = Job { instance, request: id.0, attempt: attempt.0 };
                    self.schedule(self.now, Event::AttemptEnds(job, Status::Cancelled));
                }
                Output::Probe { server, pool } => {
                    self.tally.probes += 1;
                    let nodes = self.slots.len();
                    self.tally.second(self.now, nodes).probes += 1;
                    let back = self.now + 2 * self.scenario.fleet.network.us();
                    self.schedule(back, Event::ProbeAnswered { instance, server, pool });
                }
                Output::Open { server, endpoint: Endpoint { address: SocketAddr::V4(address), .. } } => {
                    let node = (u32::from(*address.ip()) - FIRST_NODE_ADDRESS) as usize;
                    if let Some(state) = self.instances.get_mut(&instance) {
                        state.servers.insert(server, node);
                    }
                }
                Output::Close { server } => {
                    if let Some(state) = self.instances.get_mut(&instance) {
                        state.servers.remove(&server);
                    }
                }
                Output::Watch => watch = true,
                // Attempts are written at once in the simulation, so there is nothing to withdraw.
                Output::Withdraw { .. } => {}
                Output::Open { .. } | Output::UpdateServer { .. } | Output::Log { .. } => {}
            }
        }
        self.out = out;
        if watch {
            self.drive_follower(instance, Some(dunlincleat_directory::Input::WatchRequested));
        }
        let now = self.now;
        let Some(state) = self.instances.get_mut(&instance) else { return };
        let due = state.balancer.due().map_or(u64::MAX, |t| t.0.max(now));
        if due < state.next_wake {
            state.next_wake = due;
            self.schedule(due, Event::WakeInstance(instance));
        }
    }

    /// Passes an event to the discovery follower of an instance, or wakes it, and executes its outputs.
    pub(super) fn drive_follower(&mut self, instance: u32, input: Option<dunlincleat_directory::Input>) {
        let (now, mut out) = (Time(self.now), Vec::new());
        let Some(state) = self.instances.get_mut(&instance) else { return };
        match input {
            Some(input) => state.follower.input(now, input, &mut out),
            None => state.follower.wake(now, &mut out),
        }
        for output in out {
            match output {
                FollowerOutput::Open { watch, kind, .. } => {
                    match self.service.call(self.now, instance, watch, kind) {
                        CallOutcome::Opened(line) => {
                            self.schedule(line.at, Event::DiscoveryLine(Box::new(line)))
                        }
                        CallOutcome::Refused(at) => {
                            self.schedule(at, Event::WatchEnded(instance, watch, Cause::Refused(503)));
                        }
                        CallOutcome::NoAnswer => {}
                    }
                }
                FollowerOutput::Close(watch) => self.service.close(instance, watch),
                FollowerOutput::Deliver(delivery) => self.notify(instance, Input::ServerList(delivery)),
                FollowerOutput::Failed => self.notify(instance, Input::DiscoveryFailed),
                FollowerOutput::Lost { .. } | FollowerOutput::Followed { .. } => {}
            }
        }
        let Some(state) = self.instances.get_mut(&instance) else { return };
        let due = state.follower.due().map_or(u64::MAX, |t| t.0.max(now.0 + 1));
        if due < state.next_follow {
            state.next_follow = due;
            self.schedule(due, Event::WakeFollower(instance));
        }
    }

    /// Sends the latest changes of the list on all watches; with `heartbeat`, an empty line where there are none.
    pub(super) fn publish_changes(&mut self, heartbeat: bool) {
        let mut lines = std::mem::take(&mut self.lines);
        self.service.publish(self.now, heartbeat, &mut self.rng, &mut lines);
        for line in lines.drain(..) {
            self.schedule(line.at, Event::DiscoveryLine(Box::new(line)));
        }
        self.lines = lines;
    }

    /// Ends an instance and all that it had: its connections are closed and its callers notice it.
    pub(super) fn end_instance(&mut self, instance: u32) {
        let Some(Instance { caller, .. }) = self.instances.remove(&instance) else { return };
        if self.callers[caller as usize].instance == Some(instance) {
            self.callers[caller as usize].instance = None;
        }
        self.service.close_instance(instance);
        self.connections.close_instance(instance);
        let mut pending_jobs: Vec<Job> =
            self.pending_attempts.keys().filter(|job| job.instance == instance).copied().collect();
        pending_jobs.sort_unstable();
        for job in pending_jobs {
            let Some(pending) = self.pending_attempts.remove(&job) else { continue };
            self.auditor.attempt_ended(job, self.now);
            let Some(NodeProcess { node, incarnation }) = pending.process else { continue };
            if pending.connection.is_some() {
                self.connections.close(node as u32);
            }
            if self.slots[node].incarnation == incarnation {
                self.release_node(job, node);
            }
        }
        let is_open = |request: &SubmittedRequest| request.instance == instance && !request.answered;
        let mut open: Vec<u64> =
            self.requests.iter().filter(|(_, request)| is_open(request)).map(|(id, _)| *id).collect();
        open.sort_unstable();
        for id in open {
            let Some((request, last)) = self.settle(id) else { continue };
            self.auditor.client_left(id);
            let harmless = self.effects[request.class] != Effect::Unsafe;
            self.retry_or_fail(request, harmless, false, last.unwrap_or(Loss::NoInstance));
        }
    }
}
