//! The encoding of messages between hosts: the datagram frame with its authentication tag, and
//! control messages in Cap'n Proto.
//!
//! This crate makes no decisions and does no I/O.
//!
//! Architecture Invariant: every datagram of the peer port passes [`Frame::open`] first; a datagram
//! without a valid tag of the shared key is never decoded.

mod catalog_rows;
mod control;
mod frame;
#[allow(missing_docs, clippy::all, unused_parens, dead_code, unsafe_code)]
#[path = "generated/peer_capnp.rs"]
pub mod peer_capnp;

pub use crate::{
    control::{Control, DecodeError, FlowLoad, LoadReport, PinRecord, decode, encode},
    frame::{FRAME_HEADER_BYTES, Frame, FrameKind, ParseKeyError, PeerKey},
};
