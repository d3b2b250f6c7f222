//! The callers: they send requests, retry, give up, and record the outcome. A request is settled exactly once, by
//! `settle`.

use super::*;

impl World<'_> {
    /// Schedules the next request of a caller, as a Poisson process with its present rate.
    pub(super) fn schedule_next_request(&mut self, caller: u32) {
        let Caller { zone, share, .. } = self.callers[caller as usize];
        let rate = self.rate * share * self.traffic_factor * self.zone_factors[zone] / 1e6;
        if let Ok(gap) = Exp::new(rate) {
            let gap = gap.sample(&mut self.rng).min(1e12) as u64;
            self.schedule(self.now + gap, Event::NewRequest(caller));
        }
    }

    /// Draws the work of a request, in microseconds on a core of a warm node.
    pub(super) fn sample_work(&mut self, class: usize) -> f64 {
        let class = &self.scenario.classes[class];
        let mean = class.work.us() as f64;
        let sample = if class.exponential {
            Exp::new(1.0 / mean).map(|d| d.sample(&mut self.rng))
        } else {
            let sigma = class.spread;
            // With this mean of the logarithm, the mean of the distribution is the one wanted.
            LogNormal::new(mean.ln() - sigma * sigma / 2.0, sigma)
                .map(|d| d.sample(&mut self.rng))
                .map_err(|_| rand_distr::ExpError::LambdaTooSmall)
        };
        sample.unwrap_or(mean)
    }

    /// Draws a new request of a caller and sends it.
    pub(super) fn new_request(&mut self, caller: u32) {
        let shares: f64 = self.scenario.classes.iter().map(|c| c.share).sum();
        let mut draw = self.rng.random_range(0.0..shares);
        let class = self.scenario.classes.iter().position(|c| {
            draw -= c.share;
            draw < 0.0
        });
        let class = class.unwrap_or(0);
        let work = self.sample_work(class);
        self.tally.wanted += 1;
        let (worth, nodes) = (self.scenario.classes[class].worth, self.slots.len());
        self.tally.second(self.now, nodes).wanted += worth;
        self.submit(ClientRequest { caller, class, work, first_sent: self.now, retries: 0 });
    }

    /// Sends a request of a caller to its instance. Without an instance, the caller tries again later.
    pub(super) fn submit(&mut self, request: ClientRequest) {
        let class = &self.scenario.classes[request.class];
        let (aim, deadline) = (class.aim.us(), class.deadline.us());
        let left = (request.first_sent + deadline).saturating_sub(self.now);
        let Some(instance) = self.callers[request.caller as usize].instance else {
            if left > RECONNECT_INTERVAL_US {
                return self.schedule(self.now + RECONNECT_INTERVAL_US, Event::Retry(request));
            }
            self.tally.failed += 1;
            return self.record_loss(request, Loss::NoInstance);
        };
        let id = self.next_request;
        self.next_request += 1;
        let wait = if self.scenario.traffic.retries > 0 {
            left.min((deadline as f64 * TRY_TIMEOUT_PART) as u64)
        } else {
            left
        };
        self.auditor.request_received(id, self.now, self.effects[request.class], aim, self.now + wait);
        self.requests
            .insert(id, SubmittedRequest { instance, origin: request, answered: false, last_loss: None });
        self.schedule(self.now + wait + crate::audit::SLACK_US + 1, Event::RequestExpires(id));
        if self.probabilities.occurs(RandomFault::ClientGivesUp, &mut self.rng) && self.give_up_after < wait {
            self.schedule(self.now + self.give_up_after, Event::ClientLeaves(id));
        }
        let hint = self.scenario.traffic.hints.map(|sigma| {
            let error = LogNormal::new(0.0, sigma).map_or(1.0, |spread| spread.sample(&mut self.rng));
            Span((request.work * error) as u64)
        });
        let (class, repeat) = (ClassLease::fixed(request.class as u32), request.retries > 0);
        let wait = Span(wait);
        let info = RequestInfo { class, tenant: 0, wait, hint, key: None, repeat, rule: None };
        if let Some(state) = self.instances.get_mut(&instance) {
            state.open_requests += 1;
            self.tally.max_open_requests = self.tally.max_open_requests.max(state.open_requests);
        }
        let received = Time(self.now);
        self.notify(instance, Input::Request { id: RequestId(id), info, received, payload: id });
    }

    /// Records a request that will not be served: its worth is lost for this reason.
    pub(super) fn record_loss(&mut self, request: ClientRequest, loss: Loss) {
        let (worth, nodes) = (self.scenario.classes[request.class].worth, self.slots.len());
        let lost = &mut self.tally.second(request.first_sent, nodes).lost;
        *lost.entry(loss.name().to_owned()).or_default() += worth;
    }

    /// Marks a request as answered or abandoned. Returns `None` if it already was.
    pub(super) fn settle(&mut self, id: u64) -> Option<(ClientRequest, Option<Loss>)> {
        let request = self.requests.get_mut(&id).filter(|request| !request.answered)?;
        request.answered = true;
        let (instance, request, last) = (request.instance, request.origin, request.last_loss);
        if let Some(state) = self.instances.get_mut(&instance) {
            state.open_requests -= 1;
        }
        Some((request, last))
    }

    /// Records the answer that a caller received, and retries if it was not served.
    pub(super) fn answer(&mut self, id: u64, answer: &Answer<u64>) {
        let kind = match answer {
            Answer::Served(body) => AnswerKind::Served(*body),
            Answer::Refused { .. } => AnswerKind::Refused,
            Answer::Failed => AnswerKind::Failed,
        };
        self.auditor.request_answered(id, self.now, kind);
        let Some((request, last)) = self.settle(id) else { return };
        let spec = &self.scenario.classes[request.class];
        if let AnswerKind::Served(_) = kind {
            let in_time = self.now - request.first_sent <= spec.aim.us();
            let (worth, nodes) = (spec.worth, self.slots.len());
            let part = if in_time { 1.0 } else { LATE_WORTH_PART };
            if in_time {
                self.tally.in_time += 1;
            } else {
                self.tally.late += 1;
            }
            self.tally.second(request.first_sent, nodes).served += part * worth;
            if !in_time {
                let lost = &mut self.tally.second(request.first_sent, nodes).lost;
                *lost.entry(Loss::Late.name().to_owned()).or_default() += worth - part * worth;
            }
            return;
        }
        let harmless = kind == AnswerKind::Refused || self.effects[request.class] != Effect::Unsafe;
        self.retry_or_fail(request, harmless, kind == AnswerKind::Refused, last.unwrap_or(Loss::Refused));
    }

    /// Retries a request that was not served, if the caller may and has time left; else records its outcome.
    pub(super) fn retry_or_fail(
        &mut self,
        request: ClientRequest,
        harmless: bool,
        refused: bool,
        loss: Loss,
    ) {
        let traffic = &self.scenario.traffic;
        let backoff = traffic.backoff.map_or(0, |b| b.us());
        let mut max_retries = traffic.retries;
        let mut wait = (backoff as f64 * self.rng.random_range(0.5..1.5)) as u64;
        if self.probabilities.occurs(RandomFault::AggressiveRetry, &mut self.rng) {
            max_retries += self.extra_retries;
            wait /= AGGRESSIVE_BACKOFF_DIVISOR;
        }
        let deadline = self.scenario.classes[request.class].deadline.us();
        if harmless && request.retries < max_retries && self.now + wait < request.first_sent + deadline {
            let again = ClientRequest { retries: request.retries + 1, ..request };
            return self.schedule(self.now + wait, Event::Retry(again));
        }
        if refused {
            self.tally.refused += 1;
        } else {
            self.tally.failed += 1;
        }
        self.record_loss(request, loss);
    }
}
