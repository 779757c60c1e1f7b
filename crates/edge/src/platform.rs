//! What a host needs of the platform it runs on.

use std::{fmt, net::SocketAddr};

use catalog::{FlowTag, Record, TargetId};
use store::{Item, RangeStore};
use tagged::Segment;

/// What a key of the store holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyKind {
    /// Every listener and service.
    Settings,
    /// One target.
    Target(TargetId),
    /// Nothing that concerns hosts.
    Other,
}

/// Why an item of the store cannot be used.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DecodeError(pub String);

impl fmt::Display for DecodeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for DecodeError {}

/// The codecs and clients of one platform.
pub trait Platform: Send + 'static {
    /// The client of its store.
    type Store: RangeStore;

    /// The path under which it asks whether a host takes packets.
    const READY_PATH: &'static str;

    /// The prefix of all keys that concern hosts.
    const KEY_PREFIX: &'static str;

    /// Creates the client of the store at `address`.
    fn open_store(address: SocketAddr) -> Self::Store;

    /// What `key` holds.
    fn key_kind(key: &str) -> KeyKind;

    /// Decodes an item of the store.
    ///
    /// # Errors
    ///
    /// Says what is wrong with the item.
    fn decode(item: &Item) -> Result<Vec<Record>, DecodeError>;

    /// Reads a datagram of a caller; none if it is no packet.
    fn parse(datagram: &[u8]) -> Option<Segment>;

    /// Appends the datagram that carries `packet` to its target.
    fn write_forward(packet: &[u8], target: TargetId, tag: FlowTag, out: &mut Vec<u8>);

    /// Appends a reset for the caller of `segment`.
    fn write_reset(segment: &Segment, out: &mut Vec<u8>);
}
