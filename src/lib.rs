//! Decision module of dunlincleat, a client-side load balancer that runs beside each calling process.
//!
//! [`rules`] holds every decision about requests and servers, [`api`] the types of its interface. Helper
//! modules decide when to call discovery (`discovery_calls`), keep what other instances reported
//! (`peer_reports`), and compute figures (`key_popularity`, `statistics`).
//!
//! The crate does no I/O and reads no clock. A host hands it events with their times and carries out the
//! actions that it returns: the service on sockets is one, the adapter to the bench another.

#![forbid(unsafe_code)]

pub mod api;
mod discovery_calls;
mod key_popularity;
mod peer_reports;
pub mod rules;
mod statistics;

pub use rules::Balancer;
