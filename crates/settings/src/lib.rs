//! The settings tree that operators edit: its format, inheritance, validation and storage layout,
//! and the compiled [`Snapshot`] that hosts route by.
//!
//! This crate does no I/O. It says which blobs to write before the root record; the `store` crate
//! and the binaries write them.
//!
//! Architecture Invariant: a [`Snapshot`] is compiled only from a tree that passed [`check()`], and
//! depends only on that tree and its revision.

mod advice;
mod blobs;
mod check;
mod explain;
mod fault;
mod inherit;
mod snapshot;
mod tree;

pub use crate::{
    advice::advise,
    blobs::{BLOB_LIMIT_BYTES, Blobs, Digest, Group, Packed, Root, RootError, pack, unpack},
    check::{check, check_change, parse, schema},
    explain::{EffectiveValue, explain},
    fault::{Code, Fault},
    inherit::{ListenerPolicy, TargetPolicy, listener_policy, target_policy},
    snapshot::{
        DomainId, Listener, ListenerId, Service, ServiceId, Snapshot, Target, TargetId, name_seed,
    },
    tree::{
        FailureDomain, Kind, ListenerNode, Policy, Routing, ServiceNode, TargetNode, TargetState,
        Transport, Tree, UpstreamNode,
    },
};
