//! A transfer of rows that this host pulls window by window.
//!
//! Each batch says which range of keys it is about, so a lost one is pulled again by itself, by this
//! host's position alone: the sender keeps no state, and any host that knows as much may go on for
//! it. The next window is pulled when the last batch of the one before has arrived, or after a timeout.

use std::net::SocketAddr;

use catalog::{Key, Revision};
use routing::HostId;

use crate::{Heartbeat, KeyRange, RowBatch, Scope};

/// The number of batches in the first window, which several hosts pull at the same time.
const INITIAL_WINDOW_BATCHES: usize = 2;

/// A transfer with some rows still missing.
#[derive(Debug)]
pub(crate) struct Transfer {
    /// The peer that the rows were last pulled from.
    pub(crate) peer: SocketAddr,
    /// Which rows are pulled: all, or those that changed after a revision.
    pub(crate) scope: Scope,
    pub(crate) after: Revision,
    /// The revision up to which the rows include every change, and the version of the settings of
    /// which they include every row; `None` until a batch has arrived.
    pub(crate) known: Option<(Revision, u64)>,
    /// The revision after which the rows include those that the store stopped listing.
    pub(crate) unlisted_after: Revision,
    /// Whether changes were pulled, and a sender that does not know all of them sent its rows instead.
    pub(crate) may_lack_removals: bool,
    /// Whether the transfer is only about rows that the store does not list.
    pub(crate) is_history: bool,
    /// The key up to which the rows have arrived.
    pub(crate) position: Option<Key>,
    /// Ranges that have arrived, some of them before the ones that they follow.
    ranges: Vec<KeyRange>,
    /// The end of the latest window, until it is reached; `None` if it is the last one. Each window is
    /// followed by one pull, also if windows overlap because an answer came after its timeout.
    window_end: Option<Key>,
    /// Maximum number of batches in the next window.
    pub(crate) window_batches: usize,
    /// The state of the sender's catalog, and when it was received.
    pub(crate) source: Option<(Heartbeat, u64)>,
    /// The keys of all rows; used for [`Scope::All`].
    pub(crate) keys: Vec<Key>,
    /// The root of the tree down which the end of the transfer is announced; `HostId(0)` if none is.
    pub(crate) root: HostId,
    /// When a batch last advanced the transfer, or the rows were last pulled.
    pub(crate) active_at_ms: u64,
    /// The number of pulls since then that were not answered.
    pub(crate) retries: u32,
}

/// The state of a transfer after a batch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Progress {
    /// More batches of the window are due, or the batch was known.
    Waiting,
    /// Everything that was in flight has arrived; what follows the position has to be pulled.
    WindowEnded,
    /// All rows have arrived.
    Complete,
}

impl Transfer {
    /// Creates the state for a transfer of rows that have been pulled from `peer`.
    pub(crate) fn new(peer: SocketAddr, scope: Scope, after: Revision, now_ms: u64) -> Transfer {
        Transfer {
            peer,
            scope,
            after,
            known: None,
            unlisted_after: Revision::ZERO,
            may_lack_removals: false,
            is_history: false,
            position: None,
            ranges: Vec::new(),
            window_end: None,
            window_batches: INITIAL_WINDOW_BATCHES,
            source: None,
            keys: Vec::new(),
            root: HostId(0),
            active_at_ms: now_ms,
            retries: 0,
        }
    }

    /// Whether the rows of `batch` can be counted towards this transfer.
    pub(crate) fn accepts(&self, batch: &RowBatch) -> bool {
        match (self.scope, batch.scope) {
            (_, Scope::All) => true,
            (Scope::All, Scope::Changes) => false,
            (Scope::Changes, Scope::Changes) => batch.after <= self.after,
        }
    }

    /// Reduces the bytes in flight after a loss, which is mostly due to a full link.
    pub(crate) fn shrink_window(&mut self) {
        self.window_batches = (self.window_batches / 2).max(1);
    }

    /// Adds a batch.
    pub(crate) fn add(&mut self, batch: &RowBatch, now_ms: u64) -> Progress {
        let (revision, version) = (batch.heartbeat.revision, batch.heartbeat.settings_version);
        let (known_revision, known_version) = self.known.unwrap_or((revision, version));
        self.known = Some((known_revision.min(revision), known_version.min(version)));
        self.unlisted_after = self.unlisted_after.max(batch.after);
        self.may_lack_removals |= self.scope == Scope::Changes && batch.scope == Scope::All;
        if self.scope == Scope::All {
            self.keys.extend(batch.rows.iter().map(|row| row.record.key()));
        }
        self.source = Some((batch.heartbeat, now_ms));
        let before = self.position;
        // The end of a window whose rows have all arrived already has been followed by a pull.
        if batch.ends_window && (batch.range.end.is_none() || batch.range.end > before) {
            self.window_end = batch.range.end;
        }
        self.ranges.push(batch.range);
        while let Some(next) = self.next_range() {
            if next.end.is_none() {
                return Progress::Complete;
            }
            self.position = next.end;
        }
        let position = self.position;
        self.ranges.retain(|range| range.end.is_none() || range.end > position);
        if self.position == before {
            // The last batch of the window has arrived, but not all before it.
            let has_gap = batch.ends_window && batch.range.start > self.position;
            if !has_gap {
                return Progress::Waiting;
            }
            self.shrink_window();
            return Progress::WindowEnded;
        }
        self.active_at_ms = now_ms;
        self.retries = 0;
        if self.window_end.is_none() || self.window_end > self.position {
            return Progress::Waiting;
        }
        self.window_batches += 1;
        self.window_end = None;
        Progress::WindowEnded
    }

    /// A range that starts at or before the position and ends behind it.
    fn next_range(&self) -> Option<KeyRange> {
        let is_next = |range: &&KeyRange| {
            range.start <= self.position && (range.end.is_none() || range.end > self.position)
        };
        self.ranges.iter().find(is_next).copied()
    }
}
