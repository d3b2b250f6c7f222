//! What callers do: they ask, try again, give up, and count what became of it. A request is settled once, by `settle`.

use super::*;

impl World<'_> {
    pub(super) fn next_ask(&mut self, caller: u32) {
        let Caller { zone, share, .. } = self.callers[caller as usize];
        let rate = self.rate * share * self.burst * self.shift[zone] / 1e6;
        if let Ok(gap) = Exp::new(rate) {
            let gap = gap.sample(&mut self.rng).min(1e12) as u64;
            self.at(self.now + gap, Event::Ask(caller));
        }
    }

    pub(super) fn work(&mut self, class: usize) -> f64 {
        let class = &self.scenario.classes[class];
        let mean = class.work.us() as f64;
        let drawn = if class.exponential {
            Exp::new(1.0 / mean).map(|d| d.sample(&mut self.rng))
        } else {
            let sigma = class.spread;
            // With this mean of the logarithm the mean itself is the one wanted.
            LogNormal::new(mean.ln() - sigma * sigma / 2.0, sigma)
                .map(|d| d.sample(&mut self.rng))
                .map_err(|_| rand_distr::ExpError::LambdaTooSmall)
        };
        drawn.unwrap_or(mean)
    }

    pub(super) fn ask(&mut self, caller: u32) {
        let shares: f64 = self.scenario.classes.iter().map(|c| c.share).sum();
        let mut draw = self.rng.random_range(0.0..shares);
        let class = self.scenario.classes.iter().position(|c| {
            draw -= c.share;
            draw < 0.0
        });
        let class = class.unwrap_or(0);
        let work = self.work(class);
        self.tally.wanted += 1;
        let (worth, nodes) = (self.scenario.classes[class].worth, self.places.len());
        self.tally.second(self.now, nodes).wanted += worth;
        self.take(Try { caller, class, work, first: self.now, tries: 0 });
    }

    /// A caller's request reaches its instance, or nobody.
    pub(super) fn take(&mut self, asked: Try) {
        let class = &self.scenario.classes[asked.class];
        let (aim, deadline) = (class.aim.us(), class.deadline.us());
        let left = (asked.first + deadline).saturating_sub(self.now);
        let Some(instance) = self.callers[asked.caller as usize].instance else {
            if left > KNOCK {
                return self.at(self.now + KNOCK, Event::Again(asked));
            }
            self.tally.failed += 1;
            return self.lose(asked, Loss::Away);
        };
        let id = self.next;
        self.next += 1;
        let wait =
            if self.scenario.traffic.retries > 0 { left.min((deadline as f64 * TRY) as u64) } else { left };
        self.auditor.taken(id, self.now, self.effects[asked.class], aim, self.now + wait);
        self.requests.insert(id, Request { instance, asked, answered: false, last: None });
        self.at(self.now + wait + crate::audit::SLACK + 1, Event::GaveUp(id));
        if self.chances.falls(Chance::GivesUp, &mut self.rng) && self.gives_up < wait {
            self.at(self.now + self.gives_up, Event::Leaves(id));
        }
        let guess = self.scenario.traffic.hints.map(|sigma| {
            let off = LogNormal::new(0.0, sigma).map_or(1.0, |spread| spread.sample(&mut self.rng));
            Span((asked.work * off) as u64)
        });
        let (number, repeat) = (asked.class as u32, asked.tries > 0);
        let wait = Span(wait);
        let ask = RequestInfo { class: number, tenant: 0, wait, hint: guess, key: None, repeat, rule: None };
        if let Some(of) = self.instances.get_mut(&instance) {
            of.in_hand += 1;
            self.tally.held = self.tally.held.max(of.in_hand);
        }
        let received = Time(self.now);
        self.tell(instance, Input::Request { id: RequestId(id), info: ask, received, payload: id });
    }

    /// A request will not be served: its worth is lost, for this cause.
    pub(super) fn lose(&mut self, asked: Try, loss: Loss) {
        let (worth, nodes) = (self.scenario.classes[asked.class].worth, self.places.len());
        let lost = &mut self.tally.second(asked.first, nodes).lost;
        *lost.entry(loss.name().to_owned()).or_default() += worth;
    }

    /// Nobody waits for it any more, or it has its answer.
    pub(super) fn settle(&mut self, id: u64) -> Option<(Try, Option<Loss>)> {
        let request = self.requests.get_mut(&id).filter(|request| !request.answered)?;
        request.answered = true;
        let (instance, asked, last) = (request.instance, request.asked, request.last);
        if let Some(of) = self.instances.get_mut(&instance) {
            of.in_hand -= 1;
        }
        Some((asked, last))
    }

    pub(super) fn answer(&mut self, id: u64, answer: &Answer<u64>) {
        let kind = match answer {
            Answer::Served(body) => Kind::Served(*body),
            Answer::Refused { .. } => Kind::Refused,
            Answer::Failed => Kind::Failed,
        };
        self.auditor.answered(id, self.now, kind);
        let Some((asked, last)) = self.settle(id) else { return };
        let spec = &self.scenario.classes[asked.class];
        if let Kind::Served(_) = kind {
            let in_time = self.now - asked.first <= spec.aim.us();
            let (worth, nodes) = (spec.worth, self.places.len());
            let part = if in_time { 1.0 } else { 0.5 };
            *(if in_time { &mut self.tally.in_time } else { &mut self.tally.late }) += 1;
            self.tally.second(asked.first, nodes).served += part * worth;
            if !in_time {
                let lost = &mut self.tally.second(asked.first, nodes).lost;
                *lost.entry(Loss::Late.name().to_owned()).or_default() += worth - part * worth;
            }
            return;
        }
        let harmless = kind == Kind::Refused || self.effects[asked.class] != Effect::Unsafe;
        self.unserved(asked, harmless, kind == Kind::Refused, last.unwrap_or(Loss::Refused));
    }

    /// A try brought no answer: the caller tries again where it may, or is done.
    pub(super) fn unserved(&mut self, asked: Try, harmless: bool, refused: bool, loss: Loss) {
        let traffic = &self.scenario.traffic;
        let backoff = traffic.backoff.map_or(0, |b| b.us());
        let mut most = traffic.retries;
        let mut wait = (backoff as f64 * self.rng.random_range(0.5..1.5)) as u64;
        if self.chances.falls(Chance::Abuse, &mut self.rng) {
            (most, wait) = (most + self.abuse_tries, wait / 10);
        }
        let deadline = self.scenario.classes[asked.class].deadline.us();
        if harmless && asked.tries < most && self.now + wait < asked.first + deadline {
            let again = Try { tries: asked.tries + 1, ..asked };
            return self.at(self.now + wait, Event::Again(again));
        }
        if refused {
            self.tally.refused += 1;
        } else {
            self.tally.failed += 1;
        }
        self.lose(asked, loss);
    }
}
