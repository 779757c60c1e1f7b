//! Reassembly of a transfer of rows that arrives in parts.

use catalog::Key;
use routing::HostId;

use crate::{RowBatch, Scope};

/// A transfer with some parts still missing.
#[derive(Debug)]
pub(crate) struct Reassembly {
    from: HostId,
    revision: u64,
    scope: Scope,
    after: u64,
    missing: Vec<u32>,
    /// When the latest part arrived.
    pub(crate) last_part_at_ms: u64,
    /// The keys of all rows received so far; used for [`Scope::All`].
    pub(crate) keys: Vec<Key>,
}

impl Reassembly {
    /// Creates the state for the transfer that `batch` belongs to, with all parts missing.
    pub(crate) fn new(from: HostId, batch: &RowBatch) -> Reassembly {
        Reassembly {
            from,
            revision: batch.heartbeat.revision,
            scope: batch.scope,
            after: batch.after,
            missing: (0..batch.parts).collect(),
            last_part_at_ms: 0,
            keys: Vec::new(),
        }
    }

    /// Whether `batch` belongs to this transfer.
    pub(crate) fn matches(&self, from: HostId, batch: &RowBatch) -> bool {
        self.from == from
            && self.revision == batch.heartbeat.revision
            && self.scope == batch.scope
            && self.after == batch.after
    }

    /// Adds a part. Returns whether the transfer is complete.
    pub(crate) fn add(&mut self, batch: &RowBatch) -> bool {
        self.missing.retain(|part| *part != batch.part);
        self.keys.extend(batch.rows.iter().map(|row| row.record.key()));
        self.missing.is_empty()
    }
}
