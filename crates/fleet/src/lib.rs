//! The systems that a sidecar serves, as stand-ins in simulated time: nodes, callers, the list, the network, faults.
//! They are driven by scenarios and drive the very engine that serves on sockets; an auditor that knows only what
//! nodes and callers saw tells broken rules. Figures from here are simulated.
//!
//! [`scenario`] is read from TOML, in which [`template`] puts a seed's numbers for ranges; [`node`] is one node, [`links`] all
//! connections, [`discovery`] the service that lists, [`cold`] the budget of a node that starts, [`plan`] the time line of faults, [`world`] the clock and all that
//! happens, [`audit`] the rules, [`report`] what is told of a day; [`balancing`] what is under test: the engine,
//! [`baseline`] policies for comparison, or a [`mutant`] that must be caught.

#![forbid(unsafe_code)]

pub mod audit;
pub mod balancing;
pub mod baseline;
pub mod cold;
pub mod discovery;
pub mod links;
pub mod mutant;
pub mod node;
pub mod plan;
pub mod report;
pub mod scenario;
pub mod template;
pub mod world;

pub use report::Report;
pub use scenario::Scenario;
pub use template::Template;
pub use world::simulate;
