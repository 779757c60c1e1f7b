//! The load-balancing logic of one host, without sockets, clocks or threads.
//!
//! [`Traffic`] is the data plane: it routes packets and owns the pins and target pools. [`Control`]
//! is the control plane: it tracks membership and publishes [`View`]s, which traffic reads. Both
//! take typed events and the current time and return typed actions, so that tests, trace replay and
//! the daemon run the same code.
//!
//! A *pin* records the target of a flow. Flows are divided into *buckets* by their hash. The *home*
//! of a flow is the host that owns the flow's bucket and keeps its pin; the *backup* takes over if
//! the home fails, and keeps a copy of the pin once the flow is older than
//! [`HostConfig::settled_age_ms`]. An *opening* is a new flow, or its first packet, for which the
//! home needs a target. An *opener* assigns the targets of one service in one failure domain to
//! openings. A flow of kind request occupies a *slot* of its target until it ends.
//!
//! Architecture Invariant: traffic never waits for control. It uses the latest view it was given.

mod config;
mod control;
mod counters;
mod outbox;
mod traffic;
mod view;

pub use crate::{
    config::HostConfig,
    control::{Control, ControlOutput, Stage},
    counters::{Counter, Counters},
    outbox::{Destination, Outbox, TrafficEvent},
    traffic::{FlowReport, Traffic},
    view::{Peer, View},
};
