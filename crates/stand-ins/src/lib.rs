//! Stand-ins (simulators) for the environment of the system in production: the platform's store,
//! the fabric, the upstreams and the callers. Not shipped.
//!
//! They use only the published protocols and no internals of the hosts.

pub mod caller;
pub mod fabric;
pub mod memory_store;
pub mod platform;
mod tcp_stack;
pub mod upstream;
mod wire;
