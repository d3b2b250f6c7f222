//! The interest set: the services whose servers a sidecar subscribes to. [`crate::ServerTable`] ignores all other
//! servers, whether or not discovery filters them, so that memory and work depend on the number of servers that are
//! called and not on the size of the fleet.
//!
//! A server's service is the `model` of its entry.

use crate::entry::Entry;
use std::collections::BTreeSet;

/// The services whose servers are wanted; the default is all servers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Interest(Option<BTreeSet<String>>);

impl Interest {
    /// Only the servers of these services.
    #[must_use]
    pub fn of<S: Into<String>>(services: impl IntoIterator<Item = S>) -> Interest {
        Interest(Some(services.into_iter().map(Into::into).collect()))
    }

    /// The selected services in sorted order; `None` if all servers are wanted.
    #[must_use]
    pub fn services(&self) -> Option<impl Iterator<Item = &str>> {
        self.0.as_ref().map(|services| services.iter().map(String::as_str))
    }

    /// Whether the server of this entry is wanted.
    #[must_use]
    pub fn wants(&self, entry: &Entry) -> bool {
        self.0.as_ref().is_none_or(|services| services.contains(&entry.model))
    }
}
