//! Small fakes at the interfaces of a host: a local network with injected time and faults, targets
//! and callers that speak just enough TCP. Not shipped.
//!
//! The decisions under test are the real ones. What is faked is the network, the clock, and both
//! ends of a flow. Runs with one seed are the same every time.

mod caller;
pub mod data_plane;
mod lan;
mod lone_host;
mod node;
mod packet;
mod target;
mod trees;

pub use crate::{
    caller::{CallerKind, FlowOutcome},
    lan::{Faults, Lan, LanConfig, Report, TargetBehavior},
    lone_host::LoneHost,
    node::Node,
    trees::{ServiceSpec, tree},
};
