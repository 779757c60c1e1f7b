//! The replicated state of a deployment whose targets announce themselves: listeners, services,
//! targets and evacuations, as rows that hosts copy from each other.
//!
//! This crate does no I/O and does not choose targets for flows. [`Catalog`] merges rows from any
//! source in any order; [`Directory`] holds the immutable lookup tables that the data path uses.
//!
//! Architecture Invariant: merging is idempotent and, within an era, commutative. A row never goes back
//! to an earlier write of its writer nor, of the same write, to an earlier revision of its era.

mod directory;
mod revision;
mod row;
mod rows;
mod tag;
mod target_keys;

pub use crate::{
    directory::{Directory, ListenerIndex, TagOwner, TargetIndex},
    revision::Revision,
    row::{
        Evacuation, Key, Limits, Listener, Presence, Record, RequestKind, Row, Service, Share,
        Stage, Target, TargetId,
    },
    rows::{Absence, Catalog, Digest},
    tag::{FlowTag, TagTable},
    target_keys::TargetKeys,
};
