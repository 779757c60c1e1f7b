//! Rows that the store no longer lists: when they lapse, count as gone, and are deleted.

use catalog::{Absence, Key, Presence, Row};

use super::{Relay, Role};

impl Relay {
    /// Updates the times at which rows lapsed or became gone.
    pub(super) fn track_absence(&mut self, changed_rows: &[Row], now_ms: u64) {
        if changed_rows.is_empty() {
            return;
        }
        let mut changed: Vec<Key> = changed_rows.iter().map(|row| row.record.key()).collect();
        changed.sort_unstable();
        let is_changed = |key: Key| changed.binary_search(&key).is_ok();
        self.lapsed.remove(is_changed);
        self.gone.remove(is_changed);
        let keys_with = |presence: Presence| {
            let rows = changed_rows.iter().filter(move |row| row.presence == presence);
            rows.map(|row| row.record.key())
        };
        self.lapsed.add(keys_with(Presence::Lapsed), now_ms);
        self.gone.add(keys_with(Presence::Gone), now_ms);
    }

    /// Updates these times for rows of a peer. What lapsed for the peer may reappear, however long
    /// this host's own reads have succeeded.
    pub(super) fn on_absence_from_peer(&mut self, changed_rows: &[Row], now_ms: u64) {
        if changed_rows.iter().any(|row| row.presence == Presence::Lapsed) {
            self.store_health.on_failure();
        }
        let is_absent = |row: &Row| row.presence != Presence::Listed;
        self.needs_relist |= self.role == Role::Reader && changed_rows.iter().any(is_absent);
        self.track_absence(changed_rows, now_ms);
    }

    /// Marks targets as gone that lapsed long before the catalog was last known to be current: the
    /// reader's update may have been lost, or the reader never knew them.
    pub(super) fn expire_lapsed(&mut self, now_ms: u64) {
        let Some(confirmed_at_ms) = self.confirmed_at_ms else { return };
        let Some(since_ms) = confirmed_at_ms.checked_sub(self.config.lapsed_ttl_ms) else { return };
        let keys = self.lapsed.take_expired(since_ms);
        if keys.is_empty() {
            return;
        }
        let revision = self.catalog.revision();
        let changed_rows = self.catalog.mark_absent(revision, Absence::Conclusive, |row| {
            row.presence == Presence::Lapsed && keys.binary_search(&row.record.key()).is_ok()
        });
        self.track_absence(&changed_rows, now_ms);
    }

    /// Deletes rows that have been gone for longer than a flow lives.
    pub(super) fn purge_gone(&mut self, now_ms: u64) {
        let Some(since_ms) = now_ms.checked_sub(self.config.gone_ttl_ms) else { return };
        let keys = self.gone.take_expired(since_ms);
        if keys.is_empty() {
            return;
        }
        self.catalog.purge(|row| {
            row.presence == Presence::Gone && keys.binary_search(&row.record.key()).is_ok()
        });
    }
}
