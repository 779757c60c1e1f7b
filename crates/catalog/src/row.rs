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
    /// When it started, in milliseconds since 1970; differs between starts under the same id. 0 if
    /// it does not say.
    pub started_at_ms: u64,
}

impl Target {
    /// Whether it states when it started. In a deployment either all targets do or none.
    pub fn states_start(&self) -> bool {
        self.started_at_ms > 0
    }
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
    /// How many openings a target bears while it is cold, per 1,000 s; `None` if that is not limited.
    pub warmup_openings_per_ks: Option<u32>,
}

/// An operator's request that the targets of a failure domain take no new flows.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Evacuation {
    /// The hash of the failure domain's name.
    pub domain_seed: u64,
    /// The failure domain's name, for logs.
    pub domain: String,
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
/// that leaves must not wait for them. Evacuations precede what there may be hundreds of.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Key {
    /// The limits.
    Limits,
    /// The evacuation of the failure domain whose name has this hash.
    Evacuation(u64),
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
    /// An evacuation.
    Evacuation(Evacuation),
    /// A target.
    Target(Target),
}

impl Record {
    /// Whether the record is part of the settings, which are written as a whole.
    pub fn is_settings(&self) -> bool {
        !matches!(self, Record::Target(_) | Record::Evacuation(_))
    }

    /// Whether the record is of a target that states when it started.
    pub fn states_start(&self) -> bool {
        matches!(self, Record::Target(target) if target.states_start())
    }

    /// The key of the row that holds this record.
    pub fn key(&self) -> Key {
        match self {
            Record::Limits(_) => Key::Limits,
            Record::Listener(listener) => Key::Listener(listener.address),
            Record::Service(service) => Key::Service(service.seed),
            Record::Evacuation(evacuation) => Key::Evacuation(evacuation.domain_seed),
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
                if let Some(limit) = service.warmup_openings_per_ks {
                    bytes.push(0);
                    bytes.extend(limit.to_be_bytes());
                }
            }
            Record::Evacuation(evacuation) => {
                bytes.push(4);
                bytes.extend(evacuation.domain_seed.to_be_bytes());
                bytes.extend(evacuation.domain.as_bytes());
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
    /// Whether a host read that the record is listed after another host took it for absent. The
    /// revision is then that of the read.
    pub is_relisted: bool,
    /// How often a reader found a later start of the target with an earlier start time.
    pub clock_resets: u16,
    /// The store's revision at which the item was created.
    pub created: Revision,
    /// The record as it was last listed.
    pub record: Record,
}

/// The version of a row, in the order of its fields; of two rows with the same key, the one with
/// the higher version counts.
///
/// What the writer wrote last comes first, since a store that returned from a copy gives out
/// revisions again and lists what was written before the copy was made. Of rows with the same
/// announcement, one as it was written knows least: it may come from a copy. Removals and their
/// corrections know more, the later ones by their revision most.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Version {
    clock_resets: u16,
    started_at_ms: u64,
    edition: u64,
    /// The revision as of which a host read whether the record is listed; `None` if the row is as it
    /// was written.
    observed: Option<Revision>,
    presence: Presence,
    revision: Revision,
}

impl Row {
    /// A listed row as its writer wrote it; an item that was created at `revision`.
    pub fn written(revision: Revision, edition: u64, record: Record) -> Row {
        Row {
            revision,
            edition,
            presence: Presence::Listed,
            is_relisted: false,
            clock_resets: 0,
            created: revision,
            record,
        }
    }

    /// Whether this row is newer than `other`, which has the same key. This is a total order, so hosts
    /// end with the same row whatever the order in which rows arrive.
    pub fn supersedes(&self, other: &Row) -> bool {
        self.version() > other.version()
    }

    fn version(&self) -> Version {
        let started_at_ms = match &self.record {
            Record::Target(target) => target.started_at_ms,
            _ => 0,
        };
        let is_observed = self.presence != Presence::Listed || self.is_relisted;
        // Neither has a writer that writes again and again.
        let is_written_once = !matches!(self.record, Record::Target(_));
        Version {
            clock_resets: self.clock_resets,
            started_at_ms,
            edition: self.edition,
            observed: (is_observed || is_written_once).then_some(self.revision),
            presence: self.presence,
            revision: self.revision,
        }
    }

    /// This row, which the store lists as of `listed_at`, in the version in which it counts against
    /// `known`.
    ///
    /// Within the history that a reader follows the store is right. A row that does not supersede
    /// `known`, but was written or is listed later, corrects a false absence or a start time by a
    /// clock that was behind.
    pub(crate) fn corrected(mut self, known: &Row, listed_at: Revision) -> Row {
        if matches!(self.record, Record::Evacuation(_)) {
            return self.relisted(known, listed_at);
        }
        let (Record::Target(target), Record::Target(known_target)) = (&self.record, &known.record)
        else {
            return self;
        };
        let is_same_start = target.started_at_ms == known_target.started_at_ms;
        if is_same_start {
            self.clock_resets = self.clock_resets.max(known.clock_resets);
        }
        if self.supersedes(known) || (is_same_start && self.edition < known.edition) {
            return self;
        }
        let revision = match known.presence {
            Presence::Listed => self.revision,
            _ => listed_at.max(self.revision),
        };
        let is_later = match known.presence {
            Presence::Listed => revision > known.revision,
            _ => revision >= known.revision,
        };
        if !is_later {
            return self;
        }
        let clock_resets = known.clock_resets;
        let corrected = Row { revision, is_relisted: true, clock_resets, ..self };
        if corrected.supersedes(known) {
            return corrected;
        }
        Row { clock_resets: clock_resets.saturating_add(1), ..corrected }
    }

    /// This row of an item that is written once, as of the read that shows that `known` is not absent.
    fn relisted(self, known: &Row, listed_at: Revision) -> Row {
        let revision = listed_at.max(self.revision);
        let is_absence = known.presence != Presence::Listed && revision >= known.revision;
        if self.supersedes(known) || !is_absence {
            return self;
        }
        Row { revision, is_relisted: true, ..self }
    }
}
