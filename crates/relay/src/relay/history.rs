//! Rows that the store stopped listing before this host started.
//!
//! Digests leave these rows out, so a host cannot tell from heartbeats that it lacks some. It pulls
//! them from its peers until one that has them all has sent them.

use catalog::Revision;
use rand::{RngExt, seq::IndexedRandom};

use super::Relay;
use crate::{Message, Outgoing, Pull};

/// What this host knows of the rows that the store stopped listing before it started.
#[derive(Debug, Default)]
pub(super) struct History {
    /// The revision from which on this host knows all changes.
    first_revision: Option<Revision>,
    /// When this host had that revision.
    started_at_ms: u64,
    /// When to pull these rows next, and how long to wait after that.
    next_pull_ms: u64,
    wait_ms: u64,
}

impl Relay {
    /// Records that the catalog was current, and completes it once this host has followed changes
    /// for longer than unlisted rows are kept.
    pub(super) fn track_history(&mut self, now_ms: u64) {
        if self.confirmed_at_ms.is_none() || self.catalog.is_complete() {
            return;
        }
        if self.history.first_revision.is_none() {
            self.history = History {
                first_revision: Some(self.catalog.revision()),
                started_at_ms: now_ms,
                next_pull_ms: now_ms + self.jittered(self.config.history_wait_ms),
                wait_ms: self.config.history_wait_ms,
            };
        }
        if now_ms >= self.history.started_at_ms + self.config.gone_ttl_ms {
            self.catalog.mark_complete();
        }
    }

    /// Whether this host knows every change after `revision`, removals included.
    pub(super) fn knows_changes_after(&self, revision: Revision) -> bool {
        let first_revision = self.history.first_revision;
        self.catalog.is_complete() || first_revision.is_some_and(|first| revision >= first)
    }

    /// Handles the end of a transfer of all changes up to `revision`.
    pub(super) fn on_complete_history(&mut self, revision: Revision) {
        // After an earlier revision, a target may have come and vanished before this host's first.
        let first_revision = self.history.first_revision.unwrap_or(self.catalog.revision());
        if revision >= first_revision {
            self.catalog.mark_complete();
        }
    }

    /// Pulls the rows that this host may lack from a random peer.
    pub(super) fn pull_history(&mut self, now_ms: u64) -> Vec<Outgoing> {
        let is_due = self.history.first_revision.is_some() && now_ms >= self.history.next_pull_ms;
        if self.catalog.is_complete() || !is_due || self.transfer.is_some() {
            return Vec::new();
        }
        let Some(to) = self.topology.peers().choose(&mut self.rng).map(|peer| peer.address) else {
            return Vec::new();
        };
        self.history.wait_ms = (2 * self.history.wait_ms).min(self.config.history_wait_max_ms);
        self.history.next_pull_ms = now_ms + self.jittered(self.history.wait_ms);
        vec![Outgoing { to, message: Message::Pull(Pull::HISTORY) }]
    }

    /// A random time around `wait_ms`.
    fn jittered(&mut self, wait_ms: u64) -> u64 {
        self.rng.random_range(wait_ms / 2..=wait_ms * 3 / 2)
    }
}
