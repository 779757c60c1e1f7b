//! All decisions of one host, without sockets, clocks or threads.
//!
//! [`Traffic`] decides about packets and owns the pins and pools. [`Control`] decides about
//! membership and publishes [`View`]s, which traffic reads. Both take typed events and a time and
//! give typed actions, so that tests, trace replay and the daemon drive the same code.
//!
//! Architecture Invariant: traffic never waits for control. It works on the last view it was given.

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
