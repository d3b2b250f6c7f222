//! Resource accounting of a hollow sidecar from outside its code: [`Metered`] wraps all of its tasks, and log events
//! that occur while they are polled are attributed to it.

use crate::{AppliedRevision, SidecarCounts};
use dunlincleat_trial::clock::now;
use rustix::time::{ClockId, clock_gettime};
use std::cell::{Cell, RefCell};
use std::fmt::Write;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use tracing::field::{Field, Visit};
use tracing::span::{Attributes, Id, Record};
use tracing::{Event, Level, Metadata, Subscriber};

thread_local! {
    /// The account whose tasks are being polled.
    static CURRENT_ACCOUNT: RefCell<Option<Rc<Account>>> = const { RefCell::new(None) };
}

/// Revisions that sidecars applied since the last report.
pub type AppliedRevisions = Rc<RefCell<Vec<AppliedRevision>>>;

/// The counters of one sidecar.
pub struct Account {
    /// Its number.
    pub sidecar: usize,
    allocated: fn() -> usize,
    applied_revisions: AppliedRevisions,
    cpu_nanos: Cell<u64>,
    memory: Cell<i64>,
    /// Lists and changes that its engine received.
    deliveries: Cell<u64>,
    rev: Cell<Option<u64>>,
    /// How often a watch of discovery was opened.
    watches_started: Cell<u64>,
    /// Probes that its engine requested.
    pub probes: Cell<u64>,
}

impl Account {
    /// An account with all counters at zero.
    #[must_use]
    pub fn new(sidecar: usize, allocated: fn() -> usize, applied_revisions: AppliedRevisions) -> Account {
        Account {
            sidecar,
            allocated,
            applied_revisions,
            cpu_nanos: Cell::new(0),
            memory: Cell::new(0),
            deliveries: Cell::new(0),
            rev: Cell::new(None),
            watches_started: Cell::new(0),
            probes: Cell::new(0),
        }
    }

    /// The present counters.
    #[must_use]
    pub fn counts(&self) -> SidecarCounts {
        SidecarCounts {
            sidecar: self.sidecar,
            cpu: self.cpu_nanos.get() / 1000,
            memory: u64::try_from(self.memory.get()).unwrap_or(0),
            deliveries: self.deliveries.get(),
            probes: self.probes.get(),
        }
    }

    /// How often a watch of discovery was opened.
    #[must_use]
    pub fn watches_started(&self) -> u64 {
        self.watches_started.get()
    }

    /// Lists and changes that its engine received.
    #[must_use]
    pub fn deliveries(&self) -> u64 {
        self.deliveries.get()
    }

    /// Evaluates a line of the sidecar's log.
    fn observe_log_line(&self, line: &str) {
        if let Some(rev) = revision_of(line) {
            self.deliveries.set(self.deliveries.get() + 1);
            self.rev.set(Some(rev));
        } else if line.starts_with("watch of discovery at ") {
            self.watches_started.set(self.watches_started.get() + 1);
        }
    }
}

/// The revision that the engine applied according to a line of a sidecar's log; not the one that it started with.
#[must_use]
pub fn revision_of(line: &str) -> Option<u64> {
    let markers = ["list changes revision ", "list in whole revision "];
    let rest = markers.iter().find_map(|marker| Some(line.split_once(marker)?.1))?;
    rest.split(':').next()?.parse().ok()
}

/// All tasks of a sidecar as one future, whose polls are measured.
pub struct Metered<F> {
    inner: Pin<Box<F>>,
    account: Rc<Account>,
}

impl<F: Future> Metered<F> {
    /// Wraps the tasks of a sidecar.
    pub fn new(inner: F, account: Rc<Account>) -> Metered<F> {
        Metered { inner: Box::pin(inner), account }
    }
}

fn thread_nanos() -> u64 {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    u64::try_from(time.tv_sec).unwrap_or(0) * 1_000_000_000 + u64::try_from(time.tv_nsec).unwrap_or(0)
}

impl<F: Future> Future for Metered<F> {
    type Output = F::Output;

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<F::Output> {
        let account = self.account.clone();
        CURRENT_ACCOUNT.set(Some(account.clone()));
        let memory_before = (account.allocated)() as i64;
        let nanos_before = thread_nanos();
        let polled = self.inner.as_mut().poll(cx);
        account.cpu_nanos.set(account.cpu_nanos.get() + thread_nanos().saturating_sub(nanos_before));
        account.memory.set(account.memory.get() + (account.allocated)() as i64 - memory_before);
        CURRENT_ACCOUNT.set(None);
        if let Some(rev) = account.rev.take() {
            account.applied_revisions.borrow_mut().push(AppliedRevision {
                sidecar: account.sidecar,
                rev,
                at: now(),
            });
        }
        polled
    }
}

/// Receives what the crates log, as the program's logger would, for the account whose tasks are being polled.
pub struct LogSubscriber;

#[derive(Default)]
struct Message(String);

impl Visit for Message {
    fn record_debug(&mut self, field: &Field, value: &dyn std::fmt::Debug) {
        if field.name() == "message" {
            // Writing to a string does not fail.
            let _ = write!(self.0, "{value:?}");
        }
    }
}

impl Subscriber for LogSubscriber {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        *metadata.level() <= Level::INFO && metadata.target().starts_with("dunlincleat")
    }

    fn new_span(&self, _: &Attributes<'_>) -> Id {
        Id::from_u64(1)
    }

    fn record(&self, _: &Id, _: &Record<'_>) {}

    fn record_follows_from(&self, _: &Id, _: &Id) {}

    fn event(&self, event: &Event<'_>) {
        let mut message = Message::default();
        event.record(&mut message);
        CURRENT_ACCOUNT.with_borrow(|current| {
            if let Some(account) = current {
                account.observe_log_line(&message.0);
            }
        });
    }

    fn enter(&self, _: &Id) {}

    fn exit(&self, _: &Id) {}
}
