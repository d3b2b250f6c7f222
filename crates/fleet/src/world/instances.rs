//! The processes under test: they begin, are told things, have done what they want, follow discovery, and end.

use super::*;

impl World<'_> {
    /// What an instance of a caller is told.
    pub(super) fn site(&self, caller: u32) -> Result<InstanceSettings> {
        self.told.site(caller as usize)
    }

    /// A process begins for a caller, with the list as it was last held.
    pub(super) fn start(&mut self, caller: u32, known: Listing) -> Result<()> {
        let site = self.site(caller)?;
        let number = self.next_instance;
        self.next_instance += 1;
        let seed = self.seed.wrapping_mul(0x9e37_79b9_7f4a_7c15).wrapping_add(u64::from(number));
        let engine = || Engine::<u64, u64>::new(&site, seed, MOST);
        let balancing: Box<dyn Balancing> = match self.policy {
            Policy::Module | Policy::Without(_) => Box::new(engine()),
            Policy::Baseline(choice) => Box::new(Baseline::new(choice, &site, seed)),
            // What one instance takes for itself shows beside others that keep to their part.
            Policy::Mutant(InjectedFault::TakesBudget) if caller > 0 => Box::new(engine()),
            Policy::Mutant(fault) => Box::new(Mutant::new(engine(), fault, self.scenario.cold_terms())),
        };
        let mut timing = Timing::derive(HEARTBEAT, TOLD_WITHIN, GRACE);
        if self.policy == Policy::Without(Mechanism::CallQueueing) {
            timing.staleness_bound = timing.call_timeout;
        }
        let mode = if self.scenario.fleet.list_on_request { Discovery::OnRequest } else { Discovery::Pushed };
        let at = SocketAddr::from((Ipv4Addr::LOCALHOST, 1));
        let (follower, delivery) = Follower::new(Time(self.now), timing, mode, at, seed, known);
        let zone = self.callers[caller as usize].zone;
        let servers = FxHashMap::default();
        let (wakes, follows) = (u64::MAX, u64::MAX);
        let instance = Instance { caller, zone, balancing, follower, servers, wakes, follows, in_hand: 0 };
        self.instances.insert(number, instance);
        self.callers[caller as usize].instance = Some(number);
        for (node, start) in self.service.starts() {
            self.auditor.knew(number, node, start);
        }
        self.tell(number, Input::ServerList(delivery));
        self.follow(number, None);
        Ok(())
    }

    /// Tells an instance, and does what it wants.
    pub(super) fn tell(&mut self, instance: u32, input: In) {
        let mut out = std::mem::take(&mut self.out);
        if let Some(of) = self.instances.get_mut(&instance) {
            of.balancing.input(Time(self.now), input, &mut out);
        }
        self.carry_out(instance, out);
    }

    pub(super) fn carry_out(&mut self, instance: u32, mut out: Vec<Out>) {
        let mut watch = false;
        for output in out.drain(..) {
            match output {
                Output::Answer { id, answer } => self.answer(id.0, &answer),
                Output::Attempt { id, attempt, server, until, connect_timeout: connect, .. } => {
                    let job = Job { instance, request: id.0, attempt: attempt.0 };
                    self.send(job, server, until.0, connect);
                }
                Output::Cancel { id, attempt, .. } => {
                    let job = Job { instance, request: id.0, attempt: attempt.0 };
                    self.at(self.now, Event::Back(job, Status::Cancelled));
                }
                Output::Probe { server, pool: asked } => {
                    self.tally.probes += 1;
                    let nodes = self.places.len();
                    self.tally.second(self.now, nodes).probes += 1;
                    let back = self.now + 2 * self.scenario.fleet.network.us();
                    self.at(back, Event::Probed { instance, server, asked });
                }
                Output::Open { server, endpoint: Endpoint { address: SocketAddr::V4(at), .. } } => {
                    let node = (u32::from(*at.ip()) - 0x7f00_0001) as usize;
                    if let Some(of) = self.instances.get_mut(&instance) {
                        of.servers.insert(server, node);
                    }
                }
                Output::Close { server } => {
                    if let Some(of) = self.instances.get_mut(&instance) {
                        of.servers.remove(&server);
                    }
                }
                Output::Watch => watch = true,
                // Connections come up at once here: what goes out is written.
                Output::Withdraw { .. } => {}
                Output::Open { .. } | Output::UpdateServer { .. } | Output::Log { .. } => {}
            }
        }
        self.out = out;
        if watch {
            self.follow(instance, Some(dunlincleat_directory::Input::WatchRequested));
        }
        let now = self.now;
        let Some(of) = self.instances.get_mut(&instance) else { return };
        let due = of.balancing.due().map_or(u64::MAX, |t| t.0.max(now));
        if due < of.wakes {
            of.wakes = due;
            self.at(due, Event::Wake(instance));
        }
    }

    /// Tells the follower of an instance, or wakes it, and does what it wants.
    pub(super) fn follow(&mut self, instance: u32, input: Option<dunlincleat_directory::Input>) {
        let (now, mut out) = (Time(self.now), Vec::new());
        let Some(of) = self.instances.get_mut(&instance) else { return };
        match input {
            Some(input) => of.follower.input(now, input, &mut out),
            None => of.follower.wake(now, &mut out),
        }
        for output in out {
            match output {
                Follow::Open { watch, kind, .. } => {
                    match self.service.call(self.now, instance, watch, kind) {
                        Answered::Opens(line) => self.at(line.at, Event::Line(Box::new(line))),
                        Answered::Refused(at) => {
                            self.at(at, Event::WatchEnds(instance, watch, Cause::Refused(503)));
                        }
                        Answered::Nothing => {}
                    }
                }
                Follow::Close(watch) => self.service.close(instance, watch),
                Follow::Deliver(delivery) => self.tell(instance, Input::ServerList(delivery)),
                Follow::Failed => self.tell(instance, Input::DiscoveryFailed),
                Follow::Lost { .. } | Follow::Followed { .. } => {}
            }
        }
        let Some(of) = self.instances.get_mut(&instance) else { return };
        let due = of.follower.due().map_or(u64::MAX, |t| t.0.max(now.0 + 1));
        if due < of.follows {
            of.follows = due;
            self.at(due, Event::Follow(instance));
        }
    }

    pub(super) fn news(&mut self, beat: bool) {
        let mut lines = std::mem::take(&mut self.lines);
        self.service.tell(self.now, beat, &mut self.rng, &mut lines);
        for line in lines.drain(..) {
            self.at(line.at, Event::Line(Box::new(line)));
        }
        self.lines = lines;
    }

    /// An instance is gone, with all that it had: its connections break, its callers see that.
    pub(super) fn instance_ends(&mut self, instance: u32) {
        let Some(Instance { caller, .. }) = self.instances.remove(&instance) else { return };
        if self.callers[caller as usize].instance == Some(instance) {
            self.callers[caller as usize].instance = None;
        }
        self.service.instance_ends(instance);
        self.links.instance_ends(instance);
        let mut out: Vec<Job> = self.flights.keys().filter(|job| job.instance == instance).copied().collect();
        out.sort_unstable();
        for job in out {
            let Some(flight) = self.flights.remove(&job) else { continue };
            self.auditor.ended(job, self.now);
            let Some(node) = flight.node else { continue };
            if flight.link.is_some() {
                self.links.close(node as u32);
            }
            if self.places[node].starts == flight.starts {
                self.leaves_node(job, node);
            }
        }
        let of = |request: &Request| request.instance == instance && !request.answered;
        let mut left: Vec<u64> = self.requests.iter().filter(|(_, r)| of(r)).map(|(id, _)| *id).collect();
        left.sort_unstable();
        for id in left {
            let Some((asked, last)) = self.settle(id) else { continue };
            self.auditor.left(id);
            let harmless = self.effects[asked.class] != Effect::Unsafe;
            self.unserved(asked, harmless, false, last.unwrap_or(Loss::Away));
        }
    }
}
