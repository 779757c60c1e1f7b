//! The operators' tree of settings: its format, inheritance, checks, storage layout and the
//! compiled snapshot that hosts decide by.
//!
//! This crate does not talk to the platform's store. It says which blobs to write and in which
//! order; the `store` crate and the binaries carry that out.
//!
//! Architecture Invariant: a [`Snapshot`] is only ever compiled from a tree that passed
//! [`check`], and depends on nothing but that tree and its revision.

mod blobs;
mod check;
mod explain;
mod fault;
mod inherit;
mod snapshot;
mod tree;

pub use crate::{
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
