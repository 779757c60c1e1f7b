//! What the hosts know of a deployment whose targets announce themselves: listeners, services and
//! targets, as rows that are copied between hosts.
//!
//! This crate does no I/O and does not decide where a flow goes. [`Catalog`] merges rows from any
//! source in any order; [`Directory`] is the immutable form that traffic looks things up in.
//!
//! Architecture Invariant: merging is commutative and idempotent, and a row never goes back to an
//! earlier revision.

mod directory;
mod row;
mod rows;
mod tag;

pub use crate::{
    directory::{Directory, ListenerIndex, TargetIndex},
    row::{
        Key, Limits, Listener, Presence, Record, RequestKind, Row, Service, Share, Stage, Target,
        TargetId,
    },
    rows::{Absence, Catalog, Digest},
    tag::{FlowTag, TagTable},
};
