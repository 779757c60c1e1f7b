//! Which hosts own a flow, and which target a flow is pinned to.
//!
//! A bucket holds the flows whose hashes have the same lowest bits. [`Placement`] assigns every
//! bucket a home and a backup host. [`PinTable`] stores the pins of a host: for each flow its
//! target and state. [`score`] and [`weighted_score`] order candidates by rendezvous hashing.
//!
//! This crate does not select targets by load (see `admission`) and parses no packets.
//!
//! Architecture Invariant: a placement depends only on the set of hosts and the bucket count, not
//! on the order in which hosts were added and removed. There is no clock here; times are arguments.

mod pins;
mod placement;
mod rendezvous;

pub use crate::{
    pins::{Pin, PinState, PinTable, TARGET_NONE, TargetDirectory, TargetHandle},
    placement::{HostEntry, HostId, Owners, Placement},
    rendezvous::{mix, score, weighted_score},
};
