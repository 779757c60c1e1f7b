//! Packets and flows: parsing, the flow key and its keyed hash, address rewriting and resets.
//!
//! This crate is not a TCP stack and holds no state. It reads and writes byte slices.
//!
//! Architecture Invariant: nothing here knows about services, targets or hosts, and there is no
//! socket, clock, thread or executor.

mod checksum;
mod drop_reason;
mod key;
mod packet;
mod reset;
mod rewrite;

pub use crate::{
    drop_reason::DropReason,
    key::{FlowHash, FlowHasher, FlowKey, HashKey, Protocol},
    packet::{PacketView, TcpFlags, TcpView},
    reset::{reset_from_destination, reset_to_destination},
    rewrite::{rewrite_destination, rewrite_source},
};
