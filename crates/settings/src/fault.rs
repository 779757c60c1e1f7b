//! What is wrong with a tree, where and why.

use std::fmt;

/// The numbered result codes of settings faults. `docs/RESULT-CODES.md` lists them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
#[repr(u16)]
pub enum Code {
    /// The input is not JSON.
    InvalidJson = 101,
    /// A field is unknown, missing, of the wrong type or out of range.
    SchemaMismatch = 102,
    /// An address is a target of two services, or twice of one.
    DuplicateTarget = 103,
    /// Two listeners claim one address, port and protocol.
    DuplicateListener = 104,
    /// The guaranteed shares of a service's listeners exceed 100 percent.
    ShareOverflow = 105,
    /// A part of the tree is too large for one value of the store.
    BlobTooLarge = 106,
    /// An upstream names a failure domain that does not exist.
    UnknownDomain = 107,
    /// An address is both a listener's and a target's.
    AddressRoleConflict = 108,
    /// A listener and a target of one service have different address families.
    MixedAddressFamilies = 109,
    /// Two listeners of one service share a target port and protocol.
    DuplicateTargetPort = 110,
    /// A guaranteed share exceeds the cap of its class.
    ShareOverCap = 111,
    /// A target was removed that was not leaving before.
    RemovedWhileActive = 112,
    /// A value was changed that cannot change while flows are open.
    ImmutableValue = 113,
    /// The number of buckets is not a power of two.
    InvalidBucketCount = 114,
    /// A path names no node of the tree.
    UnknownPath = 115,
    /// Two listeners have the same derived key.
    ListenerKeyCollision = 116,
    /// A listener for datagrams takes requests, whose slots nothing would free.
    DatagramRequest = 117,
}

impl Code {
    /// Every code, in numeric order.
    pub const ALL: [Code; 17] = [
        Code::InvalidJson,
        Code::SchemaMismatch,
        Code::DuplicateTarget,
        Code::DuplicateListener,
        Code::ShareOverflow,
        Code::BlobTooLarge,
        Code::UnknownDomain,
        Code::AddressRoleConflict,
        Code::MixedAddressFamilies,
        Code::DuplicateTargetPort,
        Code::ShareOverCap,
        Code::RemovedWhileActive,
        Code::ImmutableValue,
        Code::InvalidBucketCount,
        Code::UnknownPath,
        Code::ListenerKeyCollision,
        Code::DatagramRequest,
    ];

    /// The stable number of this code.
    pub fn number(self) -> u16 {
        self as u16
    }
}

/// One fault of a tree.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fault {
    /// The result code.
    pub code: Code,
    /// The JSON pointer of the node at fault, RFC 6901.
    pub path: String,
    /// What is wrong.
    pub cause: String,
    /// What to do about it.
    pub hint: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let path = if self.path.is_empty() { "/" } else { &self.path };
        write!(f, "{} at {path}: {} ({})", self.code.number(), self.cause, self.hint)
    }
}
