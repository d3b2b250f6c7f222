//! Applications that send requests at times drawn in advance, whether or not earlier ones are answered. Latencies are
//! measured from when a request was due, so that a sidecar that is stopped shows in them (coordinated omission).

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

/// Requests in flight at a time; further ones are not sent, but counted.
pub(crate) const MAX_IN_FLIGHT: usize = 512;

/// Results of the requests of one second.
pub struct SecondStats {
    /// Requests that were sent.
    pub sent: u64,
    /// Answered with 200.
    pub served: u64,
    /// Answered with 429 or 503.
    pub refused: u64,
    /// Any other result.
    pub failed: u64,
    /// Not sent, since too many were in flight.
    pub unsent: u64,
    /// Latencies of served requests, in microseconds from when they were due.
    pub latencies_us: Histogram<u64>,
}

impl SecondStats {
    /// An empty second.
    ///
    /// # Errors
    ///
    /// The histogram's bounds are invalid, which does not happen: they are constant.
    pub fn new() -> anyhow::Result<SecondStats> {
        let latencies_us = Histogram::new_with_bounds(1, 60_000_000, 3)?;
        Ok(SecondStats { sent: 0, served: 0, refused: 0, failed: 0, unsent: 0, latencies_us })
    }
}

/// The load of one application.
#[derive(Clone, Copy, Debug)]
pub struct LoadSpec {
    /// Requests a second.
    pub requests_per_s: f64,
    /// For how long requests are sent.
    pub duration: Duration,
    /// How long a client waits for each answer.
    pub client_timeout: Duration,
}

/// An application beside its sidecar.
#[derive(Clone)]
pub struct Application {
    /// The instance.
    pub name: String,
    /// Where its sidecar serves; none while it is down: both stop and start together.
    pub at: Rc<Cell<Option<SocketAddr>>>,
    /// The trial's events.
    pub history: Rc<RefCell<Vec<Event>>>,
    /// Results of the present second.
    pub current_second: Rc<RefCell<SecondStats>>,
}

impl Application {
    /// Sends requests for the given duration, and waits until all are answered.
    pub async fn run(self, load: LoadSpec, mut rng: SmallRng) {
        let client = http_client(load.client_timeout);
        let permits = std::sync::Arc::new(Semaphore::new(MAX_IN_FLIGHT));
        let gaps = Exp::new(load.requests_per_s).ok();
        let mut due = Instant::now();
        let ends = due + load.duration;
        let mut tasks = Vec::new();
        loop {
            due += Duration::from_secs_f64(gaps.map_or(1.0, |gaps| gaps.sample(&mut rng)));
            if due >= ends {
                break;
            }
            let request = PlannedRequest::draw(&mut rng, load.client_timeout, due);
            sleep_until(due).await;
            let Some(at) = self.at.get() else { continue };
            let Ok(permit) = permits.clone().try_acquire_owned() else {
                self.current_second.borrow_mut().unsent += 1;
                continue;
            };
            let client = client.clone();
            let application = self.clone();
            tasks.push(actix_rt::spawn(async move {
                application.current_second.borrow_mut().sent += 1;
                let (answer, latency) =
                    request.send(&client, at, &application.name, &application.history).await;
                application.count(&answer, latency);
                drop(permit);
            }));
            if tasks.len() > 2 * MAX_IN_FLIGHT {
                tasks.retain(|task| !task.is_finished());
            }
        }
        for task in tasks {
            let _ = task.await;
        }
    }

    fn count(&self, answer: &Answer, latency: Duration) {
        let mut current_second = self.current_second.borrow_mut();
        match answer {
            Answer::Served(_) => {
                current_second.served += 1;
                current_second.latencies_us.saturating_record(latency.as_micros() as u64);
            }
            Answer::Refused => current_second.refused += 1,
            Answer::Failed | Answer::Broken(_) => current_second.failed += 1,
        }
    }
}

/// An HTTP client that gives up on a request five seconds after the client's timeout, with at most `MAX_IN_FLIGHT`
/// connections.
pub(crate) fn http_client(client_timeout: Duration) -> awc::Client {
    let connector = awc::Connector::new().limit(MAX_IN_FLIGHT);
    let timeout = client_timeout + Duration::from_secs(5);
    awc::Client::builder().connector(connector).timeout(timeout).no_default_headers().finish()
}

/// A request and when it is due.
#[derive(Clone)]
pub(crate) struct PlannedRequest {
    id: String,
    class: u32,
    client_timeout: Duration,
    due: Instant,
}

impl PlannedRequest {
    /// Draws a request of a random class.
    pub(crate) fn draw(rng: &mut SmallRng, client_timeout: Duration, due: Instant) -> PlannedRequest {
        let class = rng.random_range(0..10);
        let number = rng.random::<u64>();
        PlannedRequest { id: format!("{number:016x}"), class, client_timeout, due }
    }

    /// Sends the request; returns its answer and its latency from when it was due.
    pub(crate) async fn send(
        self,
        client: &awc::Client,
        at: SocketAddr,
        instance: &str,
        history: &RefCell<Vec<Event>>,
    ) -> (Answer, Duration) {
        let record = |what: EventKind| history.borrow_mut().push(Event::now(what));
        let PlannedRequest { id, class, client_timeout, due } = self;
        // Six of ten requests are safe to repeat, two have an idempotency key and two are unsafe.
        let (path, at_most_once) = match class {
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
        let instance = instance.to_owned();
        record(EventKind::RequestSent {
            instance,
            id: id.clone(),
            at_most_once,
            client_timeout: client_timeout.as_micros() as u64,
        });
        let mut sent = send().await;
        // The sidecar may close an idle connection. A request that was sent at that moment, and of which nothing was
        // delivered, is sent once more on a new connection, as the protocol demands.
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
        let latency = due.elapsed();
        record(EventKind::Answered { id, answer: answer.clone() });
        (answer, latency)
    }
}
