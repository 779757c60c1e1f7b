//! Faults of a settings tree and their result codes.

use std::fmt;

/// The result code of a settings fault. `docs/RESULT-CODES.md` lists the numbers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
#[repr(u16)]
pub enum Code {
    /// The input is not JSON.
    InvalidJson = 101,
    /// A field is unknown, missing, of the wrong type or out of range.
    SchemaMismatch = 102,
    /// Two targets, of two services or of one, have the same address.
    DuplicateTarget = 103,
    /// Two listeners have the same address, port and protocol.
    DuplicateListener = 104,
    /// The guaranteed shares of a service's listeners exceed 100 percent.
    ShareOverflow = 105,
    /// A part of the tree is too large for one value of the store.
    BlobTooLarge = 106,
    /// An upstream names a failure domain that does not exist.
    UnknownDomain = 107,
    /// An address belongs to both a listener and a target.
    AddressRoleConflict = 108,
    /// The addresses of a service's listeners and targets are not all of one family.
    MixedAddressFamilies = 109,
    /// Two listeners of one service share a target port and protocol.
    DuplicateTargetPort = 110,
    /// The guaranteed share of a listener exceeds its cap.
    ShareOverCap = 111,
    /// A target was removed without being in the state "leaving" before.
    RemovedWhileActive = 112,
    /// A change of a value that must not change while flows are open.
    ImmutableValue = 113,
    /// The number of buckets is not a power of two.
    InvalidBucketCount = 114,
    /// A path does not name a node of the tree.
    UnknownPath = 115,
    /// The keys that are derived from two listeners collide.
    ListenerKeyCollision = 116,
    /// A UDP listener is of kind request, but nothing would free the slots of its flows.
    DatagramRequest = 117,
    /// Advice: nothing can ever use an entry. The tree is accepted.
    NeverMatches = 118,
    /// Advice: two limits contradict each other. The tree is accepted.
    ContradictoryLimits = 119,
}

impl Code {
    /// Every code, in numeric order.
    pub const ALL: [Code; 19] = [
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
        Code::NeverMatches,
        Code::ContradictoryLimits,
    ];

    /// Whether settings with such a fault are accepted all the same.
    pub fn is_advice(self) -> bool {
        matches!(self, Code::NeverMatches | Code::ContradictoryLimits)
    }

    /// The stable number of this code.
    pub fn number(self) -> u16 {
        self as u16
    }
}

/// A fault of a settings tree.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fault {
    /// The result code.
    pub code: Code,
    /// The JSON pointer of the node at fault, RFC 6901.
    pub path: String,
    /// What is wrong.
    pub cause: String,
    /// How to correct it.
    pub hint: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let path = if self.path.is_empty() { "/" } else { &self.path };
        write!(f, "{} at {path}: {} ({})", self.code.number(), self.cause, self.hint)
    }
}
