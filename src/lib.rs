//! Decision module of dunlincleat, a client-side load balancer that runs beside each calling process.
//!
//! [`rules`] holds every decision on requests and [`api`] the types it is spoken to with; `discovery_calls` says when discovery is
//! called, `peer_reports` keeps what other instances told. The crate does no I/O and reads
//! no clock: a host (the bench's adapter today, the service on sockets later) hands it events with their times
//! and carries out the actions it returns.

#![forbid(unsafe_code)]

pub mod api;
mod discovery_calls;
mod key_popularity;
mod peer_reports;
pub mod rules;
mod statistics;

pub use rules::Balancer;
