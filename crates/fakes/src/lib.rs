//! A simulated network for tests: a virtual clock, fault injection, and targets and callers with a
//! minimal TCP. Not shipped.
//!
//! The hosts run the real control plane and data plane; only the network, the clock and both
//! endpoints of a flow are simulated. Runs are deterministic for a given seed.

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
