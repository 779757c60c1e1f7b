//! Messages that hosts exchange about their catalogs.

use std::net::SocketAddr;

use catalog::{Digest, Key, Revision, Row};
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
    pub revision: Revision,
    /// The version of the settings of which the sender knows every row.
    pub settings_version: u64,
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

/// Requests the next rows of a transfer; answered with a heartbeat if nothing is newer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Pull {
    /// The revision of the requesting host; [`Revision::ZERO`] also to request every row that the store
    /// no longer lists, which only a host that has them all answers with rows.
    pub revision: Revision,
    /// The digest of its rows.
    pub digest: Digest,
    /// Which rows it requests.
    pub scope: Scope,
    /// The key up to which it has the rows; `None` at the start of the transfer.
    pub start: Option<Key>,
    /// Maximum number of batches to send; the sender may send fewer.
    pub batches: u8,
}

impl Pull {
    /// The request for every row that the store no longer lists.
    pub const HISTORY: Pull = Pull {
        revision: Revision::ZERO,
        digest: Digest(0),
        scope: Scope::All,
        start: None,
        batches: u8::MAX,
    };
}

/// A range of keys.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KeyRange {
    /// The key before the range; `None` if it starts with the first key.
    pub start: Option<Key>,
    /// The last key of the range; `None` if it ends with the last key.
    pub end: Option<Key>,
}

impl KeyRange {
    /// The range of all keys.
    pub const ALL: KeyRange = KeyRange { start: None, end: None };
}

/// The rows of a range of keys.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RowBatch {
    /// The state of the sender's catalog.
    pub heartbeat: Heartbeat,
    /// Which rows of the range the batch contains.
    pub scope: Scope,
    /// The batch contains all changes after this revision. With [`Scope::All`] it contains every
    /// listed row too, but may lack rows that the store stopped listing up to this revision.
    pub after: Revision,
    /// The keys that the batch is about.
    pub range: KeyRange,
    /// Whether the sender waits for a pull before it sends more.
    pub ends_window: bool,
    /// The rows.
    pub rows: Vec<Row>,
}

/// A message between hosts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Message {
    /// The state of the sender's catalog.
    Heartbeat(Heartbeat),
    /// A request for a heartbeat.
    Poll,
    /// A request for rows.
    Pull(Pull),
    /// Rows, pushed or pulled.
    Rows(RowBatch),
}

impl Message {
    /// Sets the root of the tree that the message is forwarded down.
    pub(crate) fn with_root(mut self, root: HostId) -> Message {
        match &mut self {
            Message::Heartbeat(heartbeat) => heartbeat.root = root,
            Message::Rows(batch) => batch.heartbeat.root = root,
            Message::Poll | Message::Pull(_) => {}
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
