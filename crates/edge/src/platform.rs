//! The interface between a host and the platform that it runs on.

use std::{fmt, net::SocketAddr};

use catalog::{FlowTag, Record, TargetId};
use store::{Item, RangeStore};
use tagged::Segment;

/// The kind of data under a key of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyKind {
    /// The configuration: all listeners, services and limits.
    Settings,
    /// The announcement of one target.
    Target(TargetId),
    /// The request to evacuate the failure domain whose name has this hash.
    Evacuation(u64),
    /// Data that hosts do not use.
    Other,
}

/// The content of an item of the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Decoded {
    /// The writer's own count of its writes; see [`catalog::Row::edition`].
    pub edition: u64,
    /// The records.
    pub records: Vec<Record>,
    /// What the records leave out, or what is likely an error, for the log.
    pub warnings: Vec<String>,
}

/// Why an item of the store cannot be decoded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DecodeError(pub String);

impl fmt::Display for DecodeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for DecodeError {}

/// The packet formats, store client and store entries of one platform.
pub trait Platform: Send + 'static {
    /// The client of the platform's store.
    type Store: RangeStore;

    /// The HTTP path at which the platform polls a host's readiness.
    const READY_PATH: &'static str;

    /// The prefix of all keys that hosts use.
    const KEY_PREFIX: &'static str;

    /// Creates a client of the store at `address`.
    fn open_store(address: SocketAddr) -> Self::Store;

    /// The kind of data under `key`.
    fn key_kind(key: &str) -> KeyKind;

    /// Decodes an item of the store.
    ///
    /// # Errors
    ///
    /// Fails if the item is malformed; the error says why.
    fn decode(item: &Item) -> Result<Decoded, DecodeError>;

    /// Parses a datagram from a caller. Returns `None` if it is not a valid packet.
    fn parse(datagram: &[u8]) -> Option<Segment>;

    /// Appends the datagram that forwards `packet` to `target`, with `tag` in it.
    fn write_forward(packet: &[u8], target: TargetId, tag: FlowTag, out: &mut Vec<u8>);

    /// Appends the packet that resets the flow of `segment`, addressed to its caller.
    fn write_reset(segment: &Segment, out: &mut Vec<u8>);
}
