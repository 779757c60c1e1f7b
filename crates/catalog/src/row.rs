//! Rows of the catalog: a record, its presence in the store and its revision.

use std::net::SocketAddrV4;

use crate::Revision;

/// Identifies a target; a target may keep its id across restarts.
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

/// Whether the requests of a listener may be repeated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestKind {
    /// They may be repeated.
    Idempotent,
    /// They may run at most once.
    Unsafe,
    /// They may be repeated, and each opens a separate flow.
    Download,
}

/// A target, as it announced itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// Its id.
    pub id: TargetId,
    /// The hash of its service's name.
    pub service_seed: u64,
    /// The address at which it receives packets.
    pub address: SocketAddrV4,
    /// The hash of its failure domain's name.
    pub domain_seed: u64,
    /// The number of requests that it runs concurrently.
    pub slots: u16,
    /// Whether it takes new flows.
    pub stage: Stage,
    /// How long it stays slow after this announcement, in milliseconds.
    pub warmup_ms: u32,
    /// When it started, in milliseconds since 1970; differs between starts under the same id.
    pub started_at_ms: u64,
}

/// The share of a listener's new flows that goes to one service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Share {
    /// The hash of the service's name.
    pub service_seed: u64,
    /// The weight relative to the listener's other shares.
    pub weight: u32,
}

/// An address that callers open flows to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Listener {
    /// The address and port.
    pub address: SocketAddrV4,
    /// The services that take its flows.
    pub shares: Vec<Share>,
    /// Whether its requests may be repeated.
    pub kind: RequestKind,
    /// Its priority; 0 is the highest.
    pub priority: u8,
    /// The response time to aim for, in milliseconds.
    pub aim_ms: u32,
    /// The limit on the response time, in milliseconds.
    pub timeout_ms: u32,
}

/// A service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Service {
    /// The hash of its name.
    pub seed: u64,
    /// The path of its health check.
    pub health_path: String,
    /// The maximum number of flows that one of its targets holds.
    pub flows_max: u32,
}

/// Limits that apply to the whole deployment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// How long a flow may be idle before it may be dropped from the flow table, in milliseconds.
    pub idle_timeout_ms: u32,
}

/// Identifies a row; rows are sorted by key.
///
/// Transfers between hosts go in this order. Listeners are last: there may be thousands, and a target
/// that leaves must not wait for them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Key {
    /// The limits.
    Limits,
    /// The service whose name has this hash.
    Service(u64),
    /// The target with this id.
    Target(TargetId),
    /// The listener at this address.
    Listener(SocketAddrV4),
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
    /// Whether the record is part of the settings, which are written as a whole.
    pub fn is_settings(&self) -> bool {
        !matches!(self, Record::Target(_))
    }

    /// The key of the row that holds this record.
    pub fn key(&self) -> Key {
        match self {
            Record::Limits(_) => Key::Limits,
            Record::Listener(listener) => Key::Listener(listener.address),
            Record::Service(service) => Key::Service(service.seed),
            Record::Target(target) => Key::Target(target.id),
        }
    }

    /// Appends an encoding that is the same on every host for the same record.
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

/// Whether the store lists a record. Of two rows with the same revision, the one with the greater
/// presence counts: a host read that the record is listed, but concludes that it is absent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Presence {
    /// It vanished during a store outage and may reappear.
    Lapsed,
    /// It is gone permanently.
    Gone,
    /// The store lists it.
    Listed,
}

/// A record with its revision and presence.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Row {
    /// The store's revision at the last change of the record or of its presence.
    pub revision: Revision,
    /// The writer's own count, which rises with each write, whatever the store loses: the version of
    /// the settings, or the number of announcements of a target since its start.
    pub edition: u64,
    /// Whether the store lists it.
    pub presence: Presence,
    /// The record as it was last listed.
    pub record: Record,
}

impl Row {
    /// Whether this row is newer than `other`, which has the same key.
    ///
    /// The version decides between settings. Between rows of targets the store's revision does within
    /// an era, and what the target wrote last across eras: a later one may list what the target wrote
    /// before the copy was made.
    pub fn supersedes(&self, other: &Row) -> bool {
        let (Record::Target(target), Record::Target(other_target)) = (&self.record, &other.record)
        else {
            return (self.edition, self.revision, self.presence)
                > (other.edition, other.revision, other.presence);
        };
        let is_same_start = target.started_at_ms == other_target.started_at_ms;
        let are_listed = [self, other].iter().all(|row| row.presence == Presence::Listed);
        if is_same_start && are_listed && self.edition != other.edition {
            return self.edition > other.edition;
        }
        if self.revision.era == other.revision.era {
            return (self.revision, self.presence) > (other.revision, other.presence);
        }
        // Of two rows with the same announcement, the one that knows of its end is newer.
        let order = |row: &Row, target: &Target| {
            (target.started_at_ms, row.edition, row.presence == Presence::Gone, row.revision.era)
        };
        order(self, target) > order(other, other_target)
    }
}
