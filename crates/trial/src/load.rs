//! The applications: requests at times drawn beforehand, whether or not earlier ones are answered. Each is timed from when
//! it was due, so that a sidecar that stands still is seen to (coordinated omission).

use crate::history::{Answer, Event, EventKind};
use awc::error::{ConnectError, SendRequestError};
use hdrhistogram::Histogram;
use rand::Rng;
use rand::rngs::SmallRng;
use rand_distr::{Distribution, Exp};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Semaphore;
use tokio::time::{Instant, sleep_until};

/// Requests out at a time at the most; one beyond is not sent, and counted.
pub(crate) const MAX_IN_FLIGHT: usize = 512;

/// What became of a second's requests.
pub struct SecondStats {
    /// Sent.
    pub sent: u64,
    /// Answered with 200.
    pub served: u64,
    /// 429 or 503.
    pub refused: u64,
    /// Anything else.
    pub failed: u64,
    /// Not sent: too many were out.
    pub unsent: u64,
    /// Microseconds until served, from when they were due.
    pub latencies_us: Histogram<u64>,
}

impl SecondStats {
    /// None yet.
    ///
    /// # Errors
    ///
    /// Its bounds are wrong, which they are not.
    pub fn new() -> anyhow::Result<SecondStats> {
        let latencies_us = Histogram::new_with_bounds(1, 60_000_000, 3)?;
        Ok(SecondStats { sent: 0, served: 0, refused: 0, failed: 0, unsent: 0, latencies_us })
    }
}

/// How much is asked.
#[derive(Clone, Copy, Debug)]
pub struct LoadSpec {
    /// Requests a second.
    pub requests_per_s: f64,
    /// For how long.
    pub duration: Duration,
    /// How long each waits.
    pub client_timeout: Duration,
}

/// An application beside its sidecar.
#[derive(Clone)]
pub struct Application {
    /// The instance.
    pub name: String,
    /// Where its sidecar serves; nowhere while it is down: the two stop and start together.
    pub at: Rc<Cell<Option<SocketAddr>>>,
    /// What was seen.
    pub history: Rc<RefCell<Vec<Event>>>,
    /// What became of this second's requests.
    pub now: Rc<RefCell<SecondStats>>,
}

impl Application {
    /// Asks until the time is over and all is answered.
    pub async fn ask(self, rate: LoadSpec, mut rng: SmallRng) {
        let client = http_client(rate.client_timeout);
        let places = std::sync::Arc::new(Semaphore::new(MAX_IN_FLIGHT));
        let gaps = Exp::new(rate.requests_per_s).ok();
        let mut due = Instant::now();
        let ends = due + rate.duration;
        let mut out = Vec::new();
        loop {
            due += Duration::from_secs_f64(gaps.map_or(1.0, |gaps| gaps.sample(&mut rng)));
            if due >= ends {
                break;
            }
            let one = PlannedRequest::draw(&mut rng, rate.client_timeout, due);
            sleep_until(due).await;
            let Some(at) = self.at.get() else { continue };
            let Ok(place) = places.clone().try_acquire_owned() else {
                self.now.borrow_mut().unsent += 1;
                continue;
            };
            let (client, application) = (client.clone(), self.clone());
            out.push(actix_rt::spawn(async move {
                application.now.borrow_mut().sent += 1;
                let (answer, took) = one.ask(&client, at, &application.name, &application.history).await;
                application.count(&answer, took);
                drop(place);
            }));
            if out.len() > 2 * MAX_IN_FLIGHT {
                out.retain(|task| !task.is_finished());
            }
        }
        for task in out {
            let _ = task.await;
        }
    }

    fn count(&self, answer: &Answer, took: Duration) {
        let mut now = self.now.borrow_mut();
        match answer {
            Answer::Served(_) => {
                now.served += 1;
                now.latencies_us.saturating_record(took.as_micros() as u64);
            }
            Answer::Refused => now.refused += 1,
            Answer::Failed | Answer::Broken(_) => now.failed += 1,
        }
    }
}

/// A client whose requests are out for no more than a wait and five seconds, `MAX_IN_FLIGHT` of them at a time.
pub(crate) fn http_client(client_timeout: Duration) -> awc::Client {
    let connector = awc::Connector::new().limit(MAX_IN_FLIGHT);
    let timeout = client_timeout + Duration::from_secs(5);
    awc::Client::builder().connector(connector).timeout(timeout).no_default_headers().finish()
}

/// A request that is due.
#[derive(Clone)]
pub(crate) struct PlannedRequest {
    id: String,
    class: u32,
    client_timeout: Duration,
    due: Instant,
}

impl PlannedRequest {
    /// One of any class.
    pub(crate) fn draw(rng: &mut SmallRng, client_timeout: Duration, due: Instant) -> PlannedRequest {
        let (class, number) = (rng.random_range(0..10), rng.random::<u64>());
        PlannedRequest { id: format!("{number:016x}"), class, client_timeout, due }
    }

    /// Sends it; gives its answer, and how long after it was due that came.
    pub(crate) async fn ask(
        self,
        client: &awc::Client,
        at: SocketAddr,
        by: &str,
        history: &RefCell<Vec<Event>>,
    ) -> (Answer, Duration) {
        let saw = |what: EventKind| history.borrow_mut().push(Event::now(what));
        let PlannedRequest { id, class, client_timeout, due } = self;
        // Six of ten are safe to repeat, two keyed, two unsafe.
        let (path, once) = match class {
            0..6 => ("read", false),
            6..8 => ("pay", false),
            _ => ("book", true),
        };
        let uri = format!("http://{at}/{path}");
        let send = || {
            let request = if path == "read" { client.get(&uri) } else { client.post(&uri) };
            let request = request
                .insert_header(("x-request-id", id.clone()))
                .insert_header(("x-timeout", format!("{:.3}", client_timeout.as_secs_f64())));
            match path {
                "read" => request.send(),
                "pay" => request.insert_header(("idempotency-key", id.clone())).send_body("{}"),
                _ => request.send_body("{}"),
            }
        };
        let by = by.to_owned();
        saw(EventKind::RequestSent {
            by,
            id: id.clone(),
            at_most_once: once,
            client_timeout: client_timeout.as_micros() as u64,
        });
        let mut sent = send().await;
        // The sidecar may close a connection between requests. One that crosses that, of which nothing was sent, is sent once more
        // on a new connection, as the protocol has it.
        if matches!(sent, Err(SendRequestError::Connect(ConnectError::Disconnected))) {
            sent = send().await;
        }
        let answer = match sent {
            Ok(mut response) => match (response.status().as_u16(), response.body().await) {
                (_, Err(error)) => Answer::Broken(error.to_string()),
                (200, Ok(body)) => Answer::Served(String::from_utf8_lossy(&body).into_owned()),
                (429 | 503, Ok(_)) => Answer::Refused,
                (_, Ok(_)) => Answer::Failed,
            },
            Err(error) => Answer::Broken(error.to_string()),
        };
        let took = due.elapsed();
        saw(EventKind::Answered { id, answer: answer.clone() });
        (answer, took)
    }
}
