//! The rules as seen from outside: what the application sent and got, what each server began, what the list told. It knows
//! nothing of the sidecar. Times are microseconds since the start.

use std::collections::BTreeMap;

/// How a request was answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// With this body.
    Served(String),
    /// 429 or 503.
    Refused,
    /// Any other status.
    Failed,
    /// The connection ended with no whole answer.
    Broken(String),
}

#[derive(Debug)]
struct Request {
    unsafe_to_repeat: bool,
    asked: u64,
    wait: u64,
    answers: Vec<(u64, Answer)>,
    /// What servers answer it with, for each time that one began it.
    began: Vec<String>,
}

/// What was seen.
#[derive(Debug)]
pub struct Audit {
    grace: u64,
    slack: u64,
    requests: BTreeMap<String, Request>,
    /// Servers that the list told to leave, and when.
    leaves: BTreeMap<String, u64>,
    faults: Vec<String>,
}

impl Audit {
    /// Nothing yet; a drained server may be sent to for `grace`, and each time limit has this slack.
    pub fn new(grace: u64, slack: u64) -> Audit {
        let (requests, leaves) = (BTreeMap::new(), BTreeMap::new());
        Audit { grace, slack, requests, leaves, faults: Vec::new() }
    }

    /// The application's request went out.
    pub fn asked(&mut self, id: &str, unsafe_to_repeat: bool, now: u64, wait: u64) {
        let request = Request { unsafe_to_repeat, asked: now, wait, answers: Vec::new(), began: Vec::new() };
        self.requests.insert(id.to_owned(), request);
    }

    /// The application got an answer.
    pub fn answered(&mut self, id: &str, now: u64, answer: Answer) {
        if let Some(request) = self.requests.get_mut(id) {
            request.answers.push((now, answer));
        }
    }

    /// A server was sent a request, and answers it with this where it answers.
    pub fn began(&mut self, server: &str, id: &str, now: u64, answer: String) {
        if let Some(told) = self.leaves.get(server).filter(|told| now > *told + self.grace + self.slack) {
            let late = (now - told) / 1000;
            self.faults.push(format!("drains: request {id} came to {server} {late} ms after it was told"));
        }
        match self.requests.get_mut(id) {
            Some(request) => request.began.push(answer),
            None => self.faults.push(format!("one answer: {server} was sent {id}, which nobody asked for")),
        }
    }

    /// The list told the sidecar that a server leaves.
    pub fn leaves(&mut self, server: &str, now: u64) {
        self.leaves.entry(server.to_owned()).or_insert(now);
    }

    /// Requests that were asked.
    pub fn asked_in_all(&self) -> usize {
        self.requests.len()
    }

    /// What was broken, in words.
    pub fn found(&self) -> Vec<String> {
        let mut faults = self.faults.clone();
        for (id, request) in &self.requests {
            let Request { unsafe_to_repeat, asked, wait, answers, began } = request;
            match answers.as_slice() {
                [] => faults.push(format!("one answer: request {id} got none")),
                [(at, answer)] => {
                    let limit = asked + wait + self.slack;
                    if *at > limit {
                        let late = (at - limit) / 1000;
                        faults.push(format!("one answer: request {id} got it {late} ms after its time"));
                    }
                    match answer {
                        Answer::Served(body) if !began.contains(body) => {
                            faults
                                .push(format!("one answer: request {id} got '{body}', which no server made"));
                        }
                        Answer::Refused if *unsafe_to_repeat && !began.is_empty() => {
                            faults.push(format!("no effect twice: request {id} was refused after it ran"));
                        }
                        Answer::Broken(why) => {
                            faults.push(format!("one answer: request {id} got none that is whole: {why}"));
                        }
                        Answer::Served(_) | Answer::Refused | Answer::Failed => {}
                    }
                }
                more => faults.push(format!("one answer: request {id} got {}", more.len())),
            }
            if *unsafe_to_repeat && began.len() > 1 {
                faults.push(format!("no effect twice: request {id} ran {} times", began.len()));
            }
        }
        faults
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// An auditor that lets a fault pass proves nothing: each is planted once, and a day without one is clean.
    #[test]
    fn each_planted_fault_is_found_and_nothing_else() {
        type Plant = fn(&mut Audit);
        let plants: [(&str, Plant); 9] = [
            ("", |_| {}),
            ("request 7 got none", |a| a.asked("7", false, 0, 100)),
            ("got none that is whole", |a| {
                a.asked("7", false, 0, 100);
                a.answered("7", 5, Answer::Broken("reset".into()));
            }),
            ("after its time", |a| {
                a.asked("7", false, 0, 100);
                a.answered("7", 151, Answer::Failed);
            }),
            ("which no server made", |a| {
                a.asked("7", false, 0, 100);
                a.began("a", "7", 3, "a 7".into());
                a.answered("7", 5, Answer::Served("a 8".into()));
            }),
            ("ran 2 times", |a| {
                a.asked("7", true, 0, 100);
                a.began("a", "7", 3, "a 7".into());
                a.began("b", "7", 4, "b 7".into());
                a.answered("7", 5, Answer::Served("b 7".into()));
            }),
            ("refused after it ran", |a| {
                a.asked("7", true, 0, 100);
                a.began("a", "7", 3, "a 7".into());
                a.answered("7", 5, Answer::Refused);
            }),
            ("drains: request 7 came to b", |a| {
                a.asked("7", false, 0, 1000);
                a.began("b", "7", 261, "b 7".into());
                a.answered("7", 300, Answer::Served("b 7".into()));
            }),
            ("got 2", |a| {
                a.asked("7", false, 0, 100);
                a.answered("7", 5, Answer::Failed);
                a.answered("7", 6, Answer::Failed);
            }),
        ];
        for (fault, plant) in plants {
            let mut audit = Audit::new(100, 50);
            audit.leaves("b", 110);
            audit.leaves("b", 200);
            audit.asked("1", true, 0, 1000);
            audit.began("b", "1", 260, "b 1".into());
            audit.answered("1", 270, Answer::Served("b 1".into()));
            audit.asked("2", false, 0, 100);
            audit.began("a", "2", 1, "a 2".into());
            audit.began("c", "2", 2, "c 2".into());
            audit.answered("2", 150, Answer::Refused);
            plant(&mut audit);
            let found = audit.found();
            assert_eq!(found.len(), usize::from(!fault.is_empty()), "{fault}: {found:?}");
            assert!(found.iter().all(|f| f.contains(fault)), "{fault}: {found:?}");
        }
    }
}
