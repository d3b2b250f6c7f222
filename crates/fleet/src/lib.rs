//! A discrete-event simulation of the systems around a sidecar: nodes, callers, discovery, the network and faults.
//! Scenarios drive the same engine that serves on sockets; an auditor that knows only what nodes and callers observed
//! reports violated rules. All figures are simulated.
//!
//! - [`scenario`]: scenarios as read from TOML; [`template`] draws the values of their ranges from a seed
//! - [`world`]: the clock and the events of a simulation
//! - [`node`], [`connections`], [`discovery`]: the simulated nodes, connections and discovery service
//! - [`cold_start`]: the budget of nodes that have just started
//! - [`timeline`]: the timed steps of faults
//! - [`balancer`]: the interface of what is under test: the engine, a [`baseline`] policy for comparison, or a
//!   [`mutant`] that the auditor must detect
//! - [`audit`]: the rules; [`report`]: the result of a simulation

#![forbid(unsafe_code)]

pub mod audit;
pub mod balancer;
pub mod baseline;
pub mod cold_start;
pub mod connections;
pub mod discovery;
pub mod mutant;
pub mod node;
pub mod report;
pub mod scenario;
pub mod template;
pub mod timeline;
pub mod world;

pub use report::Report;
pub use scenario::Scenario;
pub use template::Template;
pub use world::simulate;
