//! Which host decides about a flow, and which target a flow is pinned to.
//!
//! [`Placement`] assigns every bucket a home and a backup host. [`PinTable`] holds the flows that a
//! host knows. [`rank`] orders candidates by weighted rendezvous hashing.
//!
//! This crate does not choose targets by load (see `admission`) and does not know packets.
//!
//! Architecture Invariant: a placement depends on the set of hosts and the bucket count alone, not
//! on the order in which hosts came and went. There is no clock here; times are arguments.

mod pins;
mod placement;
mod rendezvous;

pub use crate::{
    pins::{Pin, PinState, PinTable, TARGET_NONE, TargetDirectory, TargetHandle},
    placement::{HostEntry, HostId, Owners, Placement},
    rendezvous::{mix, score, weighted_score},
};
