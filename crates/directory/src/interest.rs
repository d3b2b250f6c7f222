//! The interest set: the services whose servers a sidecar wants to know, as a subscription is called where
//! configuration is fanned out. What stands outside is passed over by [`crate::ServerTable`], whether or not discovery
//! left it out, so that state and work follow the servers that are called and not those that there are.
//!
//! A server's service is the `model` of its entry.

use crate::entry::Entry;
use std::collections::BTreeSet;

/// The services of which servers are wanted; all servers where none is named.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Interest(Option<BTreeSet<String>>);

impl Interest {
    /// Servers of these services alone.
    #[must_use]
    pub fn of<S: Into<String>>(services: impl IntoIterator<Item = S>) -> Interest {
        Interest(Some(services.into_iter().map(Into::into).collect()))
    }

    /// The services named, in order; nothing where all servers are wanted.
    #[must_use]
    pub fn services(&self) -> Option<impl Iterator<Item = &str>> {
        self.0.as_ref().map(|services| services.iter().map(String::as_str))
    }

    /// Whether a server of this entry is wanted.
    #[must_use]
    pub fn wants(&self, entry: &Entry) -> bool {
        self.0.as_ref().is_none_or(|services| services.contains(&entry.model))
    }
}
