//! Eras of the store: it may return from a copy some seconds old.
//!
//! Until their writers have written again what is lost, the copy shows older settings and
//! announcements, and lacks targets. Rows decide by what their writer wrote last
//! (`catalog::Row::supersedes`); what the copy lacks may reappear.

use catalog::{Key, Revision};

use super::{Relay, Role};

/// The era that this host follows.
#[derive(Debug, Default)]
pub(super) struct Era {
    number: u64,
    /// When this host learned of it.
    started_at_ms: u64,
    /// Whether what is known from earlier eras has been reconciled with what the store lists.
    is_settled: bool,
}

impl Relay {
    /// Records that the catalog has every change up to `revision` and the settings of
    /// `settings_version`.
    pub(super) fn advance(&mut self, revision: Revision, settings_version: u64, now_ms: u64) {
        let is_first = self.catalog.revision() == Revision::ZERO;
        // A host that has read an old copy may hear of changes before the settings they are part of.
        let known_version = self.catalog.get(Key::Limits).map_or(0, |row| row.edition);
        self.catalog.advance(revision, settings_version.min(known_version));
        let number = self.catalog.revision().era;
        if number != self.era.number {
            self.era = Era { number, started_at_ms: now_ms, is_settled: is_first };
        }
    }

    /// Whether what the store lists at `revision` is listed, not only part of the copy it returned from.
    pub(super) fn is_settled(&self, revision: Revision) -> bool {
        self.era.is_settled && self.era.number == revision.era
    }

    /// Reconciles rows of earlier eras once every live writer has written again.
    pub(super) fn settle_era(&mut self, now_ms: u64) {
        if self.era.is_settled || now_ms < self.era.started_at_ms + self.config.era_settling_ms {
            return;
        }
        self.era.is_settled = true;
        self.needs_relist |= self.role == Role::Reader;
    }
}
