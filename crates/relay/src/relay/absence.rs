//! Rows that the store no longer lists: when they lapsed, are gone, and are forgotten.

use catalog::{Key, Listing, Presence, Row};

use super::Relay;

impl Relay {
    /// Notes when rows lapsed and when they were gone.
    pub(super) fn note_absent(&mut self, news: &[Row], now_ms: u64) {
        for row in news {
            match row.presence {
                Presence::Listed => {}
                Presence::Lapsed => self.lapsed.push((now_ms, row.record.key())),
                Presence::Gone => self.gone.push((now_ms, row.record.key())),
            }
        }
    }

    /// Takes targets for gone that lapsed long before the catalog was last known to be current: the
    /// reader's word may have been lost, or the reader never knew them.
    pub(super) fn expire_lapsed(&mut self, now_ms: u64) {
        let Some(confirmed_at_ms) = self.confirmed_at_ms else { return };
        let is_old = |entry: &(u64, Key)| entry.0 + self.config.lapsed_ms <= confirmed_at_ms;
        let old = self.lapsed.partition_point(is_old);
        if old == 0 {
            return;
        }
        let keys: Vec<Key> = self.lapsed.drain(..old).map(|entry| entry.1).collect();
        let revision = self.catalog.revision();
        let news = self.catalog.mark_absent(revision, Listing::Conclusive, |row| {
            row.presence == Presence::Lapsed && keys.contains(&row.record.key())
        });
        self.note_absent(&news, now_ms);
    }

    /// Forgets rows that have been gone for longer than a flow lives.
    pub(super) fn forget_gone(&mut self, now_ms: u64) {
        let old = self.gone.partition_point(|entry| entry.0 + self.config.gone_ms <= now_ms);
        if old == 0 {
            return;
        }
        let mut keys: Vec<Key> = self.gone.drain(..old).map(|entry| entry.1).collect();
        keys.sort_unstable();
        self.catalog.forget(|row| {
            row.presence == Presence::Gone && keys.binary_search(&row.record.key()).is_ok()
        });
    }
}
