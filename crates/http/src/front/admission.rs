//! Admission: places and memory for connections, requests, long bodies and long responses. Whoever finds none waits a
//! moment at most, while connections that make no progress give way, and is then refused.

use super::Front;
use super::clients::{ClientConnection, Clients, ConnectionSummary};
use super::eviction::Shortage;
use super::memory::Account;
use crate::Answer;
use crate::message::{BodyData, ResponseBody};
use actix_http::Method;
use dunlincleat_status::log_limited;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{AcquireError, OwnedSemaphorePermit, Semaphore};
use tokio::time::{Instant, timeout, timeout_at};

/// Time a request or a connection waits for a place or for memory that others give back.
const PLACE_TIMEOUT: Duration = Duration::from_millis(50);

/// Acquires a place for the next connection; at the limit, connections that serve no request are evicted until there is one.
pub(super) async fn acquire_connection_permit(
    connections: &Arc<Semaphore>,
    clients: &Clients,
) -> Result<OwnedSemaphorePermit, AcquireError> {
    loop {
        if connections.available_permits() == 0 {
            clients.evict_one(Instant::now());
        }
        if let Ok(permit) = timeout(PLACE_TIMEOUT, connections.clone().acquire_owned()).await {
            return permit;
        }
    }
}

impl Front {
    /// Acquires a place among the open requests. At the limit, a request whose client makes no progress gives way; requests
    /// wait a moment, in the order in which they came: refused at once, those of a client that sends hundreds took each
    /// place that became free.
    pub(super) async fn acquire_request_permit(&self) -> Option<OwnedSemaphorePermit> {
        let permits = &self.request_permits;
        if let Ok(permit) = permits.clone().try_acquire_owned() {
            return Some(permit);
        }
        self.clients.evict_stalled(Shortage::OpenRequests, Instant::now());
        timeout(PLACE_TIMEOUT, permits.clone().acquire_owned()).await.ok()?.ok()
    }

    /// Acquires a place among the requests whose bodies are streamed.
    pub(super) async fn acquire_upload_permit(
        &self,
        state: Option<&Rc<ClientConnection>>,
    ) -> Option<OwnedSemaphorePermit> {
        let permits = &self.upload_permits;
        let mut permit = permits.clone().try_acquire_owned().ok();
        // The task of an evicted connection releases its place.
        if permit.is_none() && self.clients.evict_stalled(Shortage::OpenRequests, Instant::now()) {
            let released = timeout(PLACE_TIMEOUT, permits.clone().acquire_owned()).await;
            permit = released.ok().and_then(Result::ok);
        }
        if permit.is_none() {
            log_limited!(self.limit_log, warn, "request refused: limit of requests being received reached");
        } else if let Some(state) = state {
            state.holds_upload_place.set(true);
        }
        permit
    }

    /// The place of a response that is streamed from here on: one of those for long responses, so that clients that read
    /// slowly leave the places of requests to others. Without a free one it keeps that of its request, as long as half of
    /// these are free, and neither connections nor memory are scarce.
    pub(super) fn place_for_stream(
        &self,
        request_permit: OwnedSemaphorePermit,
    ) -> Option<OwnedSemaphorePermit> {
        if let Ok(permit) = self.stream_permits.clone().try_acquire_owned() {
            return Some(permit);
        }
        self.clients.evict_stalled(Shortage::OpenRequests, Instant::now());
        let half_free = 2 * self.request_permits.available_permits() >= self.options.max_requests;
        let has_room =
            half_free && !self.clients.is_crowded() && self.clients.memory.pressure.has_room_to_hold(0);
        has_room.then_some(request_permit)
    }

    /// An answer that is streamed with its place; any other one gives its place back. A long response for which there is no
    /// place is turned down: that of a request that may be repeated as refused, any other one as failed.
    pub(super) fn place_answer(
        &self,
        answer: Answer,
        permit: Option<OwnedSemaphorePermit>,
        method: &Method,
    ) -> (Answer, Option<OwnedSemaphorePermit>) {
        let Answer::Served(ResponseBody { data: BodyData::Streaming { .. }, .. }) = answer else {
            return (answer, None);
        };
        if let Some(permit) = permit.and_then(|permit| self.place_for_stream(permit)) {
            return (answer, Some(permit));
        }
        log_limited!(self.limit_log, warn, "response turned down: limit of long responses reached");
        let repeatable = *method == Method::GET;
        (if repeatable { Answer::Refused { retry_after: None } } else { Answer::Failed }, None)
    }

    /// Waits a moment until a connection may hold the memory of a request; returns whether it does. At the limit, one that
    /// serves no request is evicted for it.
    pub(super) async fn wait_for_request_memory(&self, state: &ClientConnection) -> bool {
        let give_up_at = Instant::now() + PLACE_TIMEOUT;
        loop {
            if state.memory.try_hold_request() {
                return true;
            }
            if self.clients.evict_one(Instant::now()) {
                state.memory.hold_request();
                return true;
            }
            if timeout_at(give_up_at, self.clients.memory.request_freed.notified()).await.is_err() {
                let summary = ConnectionSummary(&self.clients);
                let line = format_args!("no memory for another request: {summary}");
                log_limited!(self.limit_log, warn, line);
                return false;
            }
        }
    }

    /// Whether there is memory for another response. Where it is scarce, a connection that makes no progress is evicted.
    pub(super) fn has_memory_for_response(&self) -> bool {
        let memory = &self.clients.memory;
        if memory.is_scarce(Account::Responding) {
            self.clients.evict_stalled(Shortage::Responding, Instant::now());
        }
        if memory.is_exhausted(Account::Responding) {
            log_limited!(self.limit_log, warn, "request refused: no memory, as clients read no responses");
            return false;
        }
        if !memory.pressure.has_room_for_request() {
            self.clients.evict_stalled(Shortage::Receiving, Instant::now());
            log_limited!(self.limit_log, warn, "request refused: the process is near its memory limit");
            return false;
        }
        true
    }
}
