//! Small stand-ins for what surrounds the system in production: the platform's store, the fabric,
//! the upstreams and the callers. Not shipped.
//!
//! They speak the published protocols and know nothing of the hosts' inner workings.

pub mod caller;
pub mod fabric;
pub mod memory_store;
pub mod platform;
mod tcp_stack;
pub mod upstream;
mod wire;
