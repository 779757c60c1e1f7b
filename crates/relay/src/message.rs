//! Messages that hosts exchange about their catalogs.

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
    /// The hash of its failure domain's name.
    pub domain_seed: u64,
}

/// Which catalog the sender holds, and when it was last known to be current.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Heartbeat {
    /// The root of the tree that the heartbeat is forwarded down: the reader or, in other domains,
    /// the leader that it sent the heartbeat to. `HostId(0)` if it is not forwarded.
    pub root: HostId,
    /// The revision up to which the sender knows every change.
    pub revision: u64,
    /// The digest of the sender's rows.
    pub digest: Digest,
    /// The time since the catalog was last known to be current, in milliseconds.
    pub age_ms: u64,
    /// The host whose read of the store the age is counted from.
    pub reader: HostId,
}

/// Which rows a pull requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Scope {
    /// The rows that changed after the requesting host's revision.
    Changes,
    /// Every row.
    All,
}

/// Requests rows; answered with a heartbeat if nothing is newer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Pull {
    /// The revision of the requesting host; 0 also to request every row that the store no longer
    /// lists, which only a host that has them all answers with rows.
    pub revision: u64,
    /// The digest of its rows.
    pub digest: Digest,
    /// Which rows it requests.
    pub scope: Scope,
}

/// One part of a transfer of rows.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RowBatch {
    /// The state of the sender's catalog once all parts are applied.
    pub heartbeat: Heartbeat,
    /// Which rows the whole transfer contains.
    pub scope: Scope,
    /// The transfer contains all changes after this revision. With [`Scope::All`] it contains every
    /// listed row too, but may lack rows that the store stopped listing up to this revision.
    pub after: u64,
    /// The index of this part, from 0.
    pub part: u32,
    /// The number of parts in the transfer.
    pub parts: u32,
    /// The rows of this part.
    pub rows: Vec<Row>,
}

/// A message between hosts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Message {
    /// The state of the sender's catalog.
    Heartbeat(Heartbeat),
    /// A request for rows.
    Pull(Pull),
    /// A part of a transfer of rows.
    Rows(RowBatch),
}

impl Message {
    /// Sets the root of the tree that the message is forwarded down.
    pub(crate) fn with_root(mut self, root: HostId) -> Message {
        match &mut self {
            Message::Heartbeat(heartbeat) => heartbeat.root = root,
            Message::Rows(batch) => batch.heartbeat.root = root,
            Message::Pull(_) => {}
        }
        self
    }
}

/// A message to send.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Outgoing {
    /// The receiver's peer address.
    pub to: SocketAddr,
    /// The message.
    pub message: Message,
}
