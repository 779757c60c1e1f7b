//! One listener, service or target with the revision that it comes from.

use std::net::SocketAddrV4;

/// Identifies one start or several starts of a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TargetId(pub u64);

/// Whether a target takes new flows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// It takes new flows.
    Ready,
    /// It keeps its flows and takes no new ones.
    Draining,
}

/// What the requests of a listener permit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestKind {
    /// They may be repeated.
    Idempotent,
    /// They may run once at most.
    Unsafe,
    /// They may be repeated, and each opens a flow of its own.
    Download,
}

/// A target as it announced itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// The identity.
    pub id: TargetId,
    /// The number of the service that it serves.
    pub service_seed: u64,
    /// Where it receives packets.
    pub address: SocketAddrV4,
    /// The number of its failure domain.
    pub domain_seed: u64,
    /// How many requests it runs at a time.
    pub slots: u16,
    /// Whether it takes new flows.
    pub stage: Stage,
    /// How long it stays slow after this announcement, in milliseconds.
    pub warmup_ms: u32,
    /// When it started, in milliseconds since 1970; another start under the same identity has
    /// another value.
    pub started_at_ms: u64,
}

/// A part of a listener's new flows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Share {
    /// The number of the service.
    pub service_seed: u64,
    /// The weight among the listener's shares.
    pub weight: u32,
}

/// An address that callers open flows to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Listener {
    /// The address and port.
    pub address: SocketAddrV4,
    /// The services that take its flows.
    pub shares: Vec<Share>,
    /// What its requests permit.
    pub kind: RequestKind,
    /// Its priority; 0 is the highest.
    pub priority: u8,
    /// How long an answer should take at most, in milliseconds.
    pub aim_ms: u32,
    /// How long an answer may take, in milliseconds.
    pub timeout_ms: u32,
}

/// A service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Service {
    /// The number that follows from its name.
    pub seed: u64,
    /// The path of its health check.
    pub health_path: String,
    /// How many flows one of its targets holds.
    pub flows_max: u32,
}

/// Limits of the whole deployment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// How long a flow may be silent before it may be forgotten, in milliseconds.
    pub idle_timeout_ms: u32,
}

/// What a row is about. Rows are sorted by it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Key {
    /// The limits.
    Limits,
    /// The listener at this address.
    Listener(SocketAddrV4),
    /// The service with this number.
    Service(u64),
    /// The target with this identity.
    Target(TargetId),
}

/// The content of a row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Record {
    /// The limits.
    Limits(Limits),
    /// A listener.
    Listener(Listener),
    /// A service.
    Service(Service),
    /// A target.
    Target(Target),
}

impl Record {
    /// The key of the row that holds this record.
    pub fn key(&self) -> Key {
        match self {
            Record::Limits(_) => Key::Limits,
            Record::Listener(listener) => Key::Listener(listener.address),
            Record::Service(service) => Key::Service(service.seed),
            Record::Target(target) => Key::Target(target.id),
        }
    }

    /// Appends bytes that are the same on every host for the same record.
    pub(crate) fn write_bytes(&self, bytes: &mut Vec<u8>) {
        match self {
            Record::Limits(limits) => {
                bytes.push(0);
                bytes.extend(limits.idle_timeout_ms.to_be_bytes());
            }
            Record::Listener(listener) => {
                bytes.push(1);
                write_address(listener.address, bytes);
                for share in &listener.shares {
                    bytes.extend(share.service_seed.to_be_bytes());
                    bytes.extend(share.weight.to_be_bytes());
                }
                bytes.extend([listener.kind as u8, listener.priority]);
                bytes.extend(listener.aim_ms.to_be_bytes());
                bytes.extend(listener.timeout_ms.to_be_bytes());
            }
            Record::Service(service) => {
                bytes.push(2);
                bytes.extend(service.seed.to_be_bytes());
                bytes.extend(service.flows_max.to_be_bytes());
                bytes.extend(service.health_path.as_bytes());
            }
            Record::Target(target) => {
                bytes.push(3);
                bytes.extend(target.id.0.to_be_bytes());
                bytes.extend(target.service_seed.to_be_bytes());
                write_address(target.address, bytes);
                bytes.extend(target.domain_seed.to_be_bytes());
                bytes.extend(target.slots.to_be_bytes());
                bytes.push(target.stage as u8);
                bytes.extend(target.warmup_ms.to_be_bytes());
                bytes.extend(target.started_at_ms.to_be_bytes());
            }
        }
    }
}

fn write_address(address: SocketAddrV4, bytes: &mut Vec<u8>) {
    bytes.extend(address.ip().octets());
    bytes.extend(address.port().to_be_bytes());
}

/// Whether the store lists a record. Of two rows with one revision the greater is the newer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
#[repr(u8)]
pub enum Presence {
    /// The store lists it.
    Listed = 0,
    /// It vanished while the store was away; it may come back.
    Lapsed = 1,
    /// It is gone for good.
    Gone = 2,
}

/// A record with what is known about it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Row {
    /// The store's revision at the last change of the record or of its presence.
    pub revision: u64,
    /// Whether the store lists it.
    pub presence: Presence,
    /// The record as it was last listed.
    pub record: Record,
}

impl Row {
    /// Whether this row is newer than `other`.
    pub fn supersedes(&self, other: &Row) -> bool {
        (self.revision, self.presence) > (other.revision, other.presence)
    }
}
