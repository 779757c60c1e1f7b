//! What hosts tell each other about catalogs.

use std::net::SocketAddr;

use catalog::{Digest, Row};
use routing::HostId;

/// Another host that is alive.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Peer {
    /// The host.
    pub id: HostId,
    /// Its peer address.
    pub address: SocketAddr,
    /// The number of its failure domain.
    pub domain_seed: u64,
}

/// Which catalog the sender holds, and when it was last known to be current.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Heartbeat {
    /// The reader whose tree the heartbeat goes down; `HostId(0)` if it is not passed on.
    pub root: HostId,
    /// The revision up to which the sender knows every change.
    pub revision: u64,
    /// The digest of the sender's rows.
    pub digest: Digest,
    /// How long ago the catalog was known to be current, in milliseconds.
    pub age_ms: u64,
    /// The host whose reading of the store the age is counted from.
    pub reader: HostId,
}

/// Which rows are asked for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Scope {
    /// What changed after the asking host's revision.
    Changes,
    /// Every row.
    All,
}

/// Asks for rows; answered by a heartbeat if there is nothing new.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Pull {
    /// The revision of the asking host.
    pub revision: u64,
    /// The digest of its rows.
    pub digest: Digest,
    /// What it wants.
    pub scope: Scope,
}

/// A part of some rows.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RowBatch {
    /// The sender's catalog after all parts.
    pub heartbeat: Heartbeat,
    /// Which rows the parts hold together.
    pub scope: Scope,
    /// The revision after which the rows changed.
    pub after: u64,
    /// The number of this part.
    pub part: u32,
    /// How many parts there are.
    pub parts: u32,
    /// The rows of this part.
    pub rows: Vec<Row>,
}

/// A message between hosts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Message {
    /// What the sender holds.
    Heartbeat(Heartbeat),
    /// A question for rows.
    Pull(Pull),
    /// Rows.
    Rows(RowBatch),
}

impl Message {
    /// The same message for the tree of `root`.
    pub(crate) fn with_root(mut self, root: HostId) -> Message {
        match &mut self {
            Message::Heartbeat(heartbeat) => heartbeat.root = root,
            Message::Rows(batch) => batch.heartbeat.root = root,
            Message::Pull(_) => {}
        }
        self
    }
}

/// A message to be sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Outgoing {
    /// The receiver's peer address.
    pub to: SocketAddr,
    /// The message.
    pub message: Message,
}
