//! Reassembly of a transfer of rows that arrives in parts.

use catalog::{Digest, Key};
use routing::HostId;

use crate::{Heartbeat, RowBatch, Scope};

/// A transfer with some parts still missing.
#[derive(Debug)]
pub(crate) struct Reassembly {
    from: HostId,
    heartbeat: Heartbeat,
    scope: Scope,
    after: u64,
    parts: u32,
    missing: Vec<u32>,
    /// When the latest part arrived.
    pub(crate) last_part_at_ms: u64,
    /// The keys and the digest of all rows received so far; used for [`Scope::All`].
    pub(crate) keys: Vec<Key>,
    digest: Digest,
}

impl Reassembly {
    /// Creates the state for the transfer that `batch` belongs to, with all parts missing.
    pub(crate) fn new(from: HostId, batch: &RowBatch) -> Reassembly {
        Reassembly {
            from,
            heartbeat: batch.heartbeat,
            scope: batch.scope,
            after: batch.after,
            parts: batch.parts,
            missing: (0..batch.parts).collect(),
            last_part_at_ms: 0,
            keys: Vec::new(),
            digest: Digest::default(),
        }
    }

    /// Whether `batch` belongs to this transfer.
    pub(crate) fn matches(&self, from: HostId, batch: &RowBatch) -> bool {
        self.from == from
            && self.heartbeat == batch.heartbeat
            && self.scope == batch.scope
            && self.after == batch.after
            && self.parts == batch.parts
    }

    /// Adds a part. Returns whether the transfer is complete.
    pub(crate) fn add(&mut self, batch: &RowBatch) -> bool {
        if let Some(position) = self.missing.iter().position(|part| *part == batch.part) {
            self.missing.swap_remove(position);
            if self.scope == Scope::All {
                self.keys.extend(batch.rows.iter().map(|row| row.record.key()));
                batch.rows.iter().for_each(|row| self.digest.toggle(row));
            }
        }
        self.missing.is_empty()
    }

    /// Whether the parts are of one transfer. Parts of two look alike if the sender deleted a gone
    /// row in between, which moves rows to other parts.
    pub(crate) fn is_consistent(&self) -> bool {
        self.scope != Scope::All || self.digest == self.heartbeat.digest
    }
}
