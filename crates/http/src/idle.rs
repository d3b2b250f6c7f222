//! Idle connections to servers: which is used next, which have ended, and which gives way at the bound on connections.

use crate::line::Line;
use std::cell::RefCell;
use std::future::poll_fn;
use std::rc::{Rc, Weak};
use std::task::Poll;
use std::time::Duration;
use tokio::time::Instant;

/// How long a connection rests after an answer before it is used again. A second answer that comes some milliseconds
/// late, behind the next request, can't be told from that one's, and nothing warns of the first one.
const REST: Duration = Duration::from_millis(10);

/// Lines in the order in which they became idle.
type Lines = RefCell<Vec<Line>>;

/// The idle connections to one server.
pub struct Idle(Rc<Lines>);

/// The idle connections to all servers. Each server's actor owns its own; they are only known here.
#[derive(Clone, Default)]
pub struct AllIdle(Rc<RefCell<Vec<Weak<Lines>>>>);

impl AllIdle {
    /// Those to one more server, none yet.
    pub fn server(&self) -> Idle {
        let lines = Rc::new(Lines::default());
        let mut all = self.0.borrow_mut();
        all.retain(|lines| lines.strong_count() > 0);
        all.push(Rc::downgrade(&lines));
        Idle(lines)
    }

    /// Closes the connection that has been idle for longest: whether there was one.
    pub fn close_oldest(&self) -> bool {
        let since = |lines: &Rc<Lines>| lines.borrow().first().map(|line| line.since);
        let all = self.0.borrow();
        let idle = all.iter().filter_map(Weak::upgrade).filter_map(|lines| Some((since(&lines)?, lines)));
        let Some((_, lines)) = idle.min_by_key(|(since, _)| *since) else { return false };
        lines.borrow_mut().remove(0);
        true
    }
}

impl Idle {
    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.0.borrow().is_empty()
    }

    /// Since when the oldest has been idle.
    pub fn oldest(&self) -> Option<Instant> {
        self.0.borrow().first().map(|line| line.since)
    }

    /// Keeps a connection that was answered on just now.
    pub fn keep(&self, mut line: Line) {
        line.since = Instant::now();
        self.0.borrow_mut().push(line);
    }

    /// Takes the connection used last of those that have rested and may be sent on.
    pub fn take(&self) -> Option<Line> {
        let mut lines = self.0.borrow_mut();
        loop {
            let rested = lines.partition_point(|line| line.since.elapsed() >= REST);
            let line = lines.remove(rested.checked_sub(1)?);
            if line.wire.fit() {
                return Some(line);
            }
        }
    }

    /// Closes all of them.
    pub fn clear(&self) {
        self.0.borrow_mut().clear();
    }

    /// Closes those that have been idle for so long.
    pub fn close_older(&self, than: Duration) {
        let now = Instant::now();
        self.0.borrow_mut().retain(|line| line.since + than > now);
    }

    /// Waits until one has ended, and closes it. A server that closes one gets its end at once, and nothing is written
    /// to it any more.
    pub async fn ended(&self) {
        poll_fn(|cx| {
            let mut lines = self.0.borrow_mut();
            let Some(at) = lines.iter().position(|line| line.wire.ended(cx)) else { return Poll::Pending };
            lines.remove(at);
            Poll::Ready(())
        })
        .await;
    }
}
