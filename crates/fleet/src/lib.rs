//! The systems that a sidecar serves, as stand-ins in simulated time: nodes, callers, the list, the network, faults.
//! They are driven by scenarios and drive the very engine that serves on sockets; an auditor that knows only what
//! nodes and callers saw tells broken rules. Figures from here are simulated.
//!
//! [`scenario`] is read from TOML, [`node`] is one node, [`world`] the clock and all that happens, [`audit`] the rules,
//! [`balancing`] what is under test: the engine, [`baseline`] policies for comparison, or a [`mutant`] that must be
//! caught.

#![forbid(unsafe_code)]

pub mod audit;
pub mod balancing;
pub mod baseline;
pub mod mutant;
pub mod node;
pub mod scenario;
pub mod world;

pub use scenario::Scenario;
pub use world::{Report, play};
