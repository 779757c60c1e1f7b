//! The catalog: a table of rows that merges in any order.

use crate::{Key, Presence, Record, Revision, Row};

/// An order-independent digest of the listed records; equal on hosts that hold the same ones.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Digest(pub u64);

impl Digest {
    /// Adds a row, or removes it if it was added before.
    pub fn toggle(&mut self, row: &Row) {
        self.0 ^= fingerprint(row);
    }
}

/// Whether a record that a read of the store does not list is gone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Absence {
    /// The store has been healthy for long enough: unlisted records are gone.
    Conclusive,
    /// The store recovered only recently: unlisted records may reappear.
    Provisional,
}

/// Every row that a host knows, sorted by key.
#[derive(Debug, Clone, Default)]
pub struct Catalog {
    rows: Vec<Row>,
    /// For each row, the revision after which other hosts may lack its content.
    content_revisions: Vec<Revision>,
    revision: Revision,
    settings_version: u64,
    digest: Digest,
    change_count: u64,
    is_complete: bool,
}

impl Catalog {
    /// The store's revision up to which every change is known.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// The version of the settings of which every row is known.
    pub fn settings_version(&self) -> u64 {
        self.settings_version
    }

    /// The digest of all rows.
    pub fn digest(&self) -> Digest {
        self.digest
    }

    /// The number of changes in this process, other than mere changes of revision.
    pub fn change_count(&self) -> u64 {
        self.change_count
    }

    /// Whether the catalog contains every target that may still have flows. The store does not list
    /// some of them, so a host that has just started has to learn of these from other hosts.
    pub fn is_complete(&self) -> bool {
        self.is_complete
    }

    /// Records that the catalog contains every target that may still have flows.
    pub fn mark_complete(&mut self) {
        self.change_count += u64::from(!self.is_complete);
        self.is_complete = true;
    }

    /// The rows, sorted by key.
    pub fn rows(&self) -> &[Row] {
        &self.rows
    }

    /// The row with this key.
    pub fn get(&self, key: Key) -> Option<&Row> {
        self.position(key).ok().map(|position| &self.rows[position])
    }

    /// Merges a row of another host. Returns whether the record or its presence changed.
    pub fn merge(&mut self, row: Row) -> bool {
        self.merge_with(row, true)
    }

    /// Merges a row that the store lists as of the revision `listed_at`; `None` if that does not show
    /// that it is listed, as in a copy. Returns the row if the record or its presence changed.
    ///
    /// A row with the same content only raises the revision of the known row, and is not sent to
    /// other hosts again: all settings are written at once, whatever changed.
    ///
    /// A row of a target that no longer states its start was not written by the target.
    pub fn merge_read(&mut self, row: Row, listed_at: Option<Revision>) -> Option<Row> {
        let known = self.get(row.record.key());
        if known.is_some_and(|known| known.record.states_start()) && !row.record.states_start() {
            return None;
        }
        let row = match (self.get(row.record.key()), listed_at) {
            (Some(known), Some(listed_at)) => row.corrected(known, listed_at),
            _ => row,
        };
        self.merge_with(row.clone(), false).then_some(row)
    }

    fn merge_with(&mut self, row: Row, sends_unchanged: bool) -> bool {
        let key = row.record.key();
        match self.position(key) {
            Ok(position) if row.supersedes(&self.rows[position]) => {
                let known = &mut self.rows[position];
                let is_changed = known.presence != row.presence
                    || known.record != row.record
                    || (key == Key::Limits && known.edition != row.edition);
                if is_changed {
                    self.digest.toggle(known);
                    self.digest.toggle(&row);
                }
                if is_changed || sends_unchanged {
                    self.content_revisions[position] = row.revision;
                }
                *known = row;
                self.change_count += u64::from(is_changed);
                is_changed
            }
            Ok(_) => false,
            // Later settings have dropped it, and this host never knew it.
            Err(_) if row.record.is_settings() && row.edition < self.settings_version => false,
            Err(position) => {
                self.digest.toggle(&row);
                self.content_revisions.insert(position, row.revision);
                self.rows.insert(position, row);
                self.change_count += 1;
                true
            }
        }
    }

    /// Records that every change up to `revision` is known, and the settings of `settings_version`.
    /// Lower values have no effect.
    pub fn advance(&mut self, revision: Revision, settings_version: u64) {
        self.revision = self.revision.max(revision);
        self.settings_version = self.settings_version.max(settings_version);
    }

    /// Marks the targets for which `is_absent` returns true as lapsed or gone as of `revision`.
    /// Returns the changed rows.
    ///
    /// Targets that changed after `revision`, or that were listed at it, are left unchanged.
    pub fn mark_absent(
        &mut self,
        revision: Revision,
        absence: Absence,
        is_absent: impl Fn(&Row) -> bool,
    ) -> Vec<Row> {
        let presence = match absence {
            Absence::Provisional => Presence::Lapsed,
            Absence::Conclusive => Presence::Gone,
        };
        self.replace_rows(|row| {
            let is_earlier = (row.presence == Presence::Listed || row.presence < presence)
                && (row.revision, row.presence) < (revision, presence);
            let absent = || Row { revision, presence, is_relisted: false, ..row.clone() };
            (!row.record.is_settings() && is_earlier && is_absent(row)).then(absent)
        })
    }

    /// Marks the settings for which `is_removed` returns true as gone, as of `revision` and the
    /// version `settings_version`. Returns the changed rows.
    ///
    /// Settings cannot lapse: they are written once and do not expire. Rows of this version or a later
    /// one are left unchanged.
    pub fn mark_removed(
        &mut self,
        revision: Revision,
        settings_version: u64,
        is_removed: impl Fn(&Row) -> bool,
    ) -> Vec<Row> {
        let (edition, presence) = (settings_version, Presence::Gone);
        self.replace_rows(|row| {
            let is_earlier = row.presence == Presence::Listed && row.edition < edition;
            let removed = || Row { revision, edition, presence, ..row.clone() };
            (row.record.is_settings() && is_earlier && is_removed(row)).then(removed)
        })
    }

    /// Merges the rows that `replacement` returns. Returns those that changed.
    fn replace_rows(&mut self, replacement: impl Fn(&Row) -> Option<Row>) -> Vec<Row> {
        let mut replacements: Vec<Row> = self.rows.iter().filter_map(replacement).collect();
        replacements.retain(|row| self.merge(row.clone()));
        replacements
    }

    /// Deletes the rows for which `is_expired` returns true.
    pub fn purge(&mut self, is_expired: impl Fn(&Row) -> bool) {
        let rows = std::mem::take(&mut self.rows);
        let content_revisions = std::mem::take(&mut self.content_revisions);
        for (row, content_revision) in rows.into_iter().zip(content_revisions) {
            if is_expired(&row) {
                self.digest.toggle(&row);
                self.change_count += 1;
            } else {
                self.rows.push(row);
                self.content_revisions.push(content_revision);
            }
        }
    }

    /// The rows whose content changed after `revision`, sorted by key.
    pub fn changed_after(&self, revision: Revision) -> impl Iterator<Item = &Row> {
        self.rows_after(None, Some(revision))
    }

    /// The rows behind the key `start`, sorted by key; only those whose content changed after
    /// `revision`, if one is given.
    pub fn rows_after(
        &self,
        start: Option<Key>,
        revision: Option<Revision>,
    ) -> impl Iterator<Item = &Row> {
        let first = start.map_or(0, |key| self.rows.partition_point(|row| row.record.key() <= key));
        let revisions = self.content_revisions[first..].iter();
        let rows = self.rows[first..].iter().zip(revisions);
        rows.filter(move |entry| revision.is_none_or(|revision| *entry.1 > revision))
            .map(|entry| entry.0)
    }

    /// Whether a row is newer than the revision up to which every change is known.
    pub fn has_later_rows(&self) -> bool {
        self.rows.iter().any(|row| row.revision > self.revision)
    }

    fn position(&self, key: Key) -> Result<usize, usize> {
        self.rows.binary_search_by_key(&key, |row| row.record.key())
    }
}

// Rows that are not listed are left out: hosts that started at different times know different ones.
// Revisions are left out: a record that was rewritten without a change is the same. The version of
// the settings is part of the row of the limits.
fn fingerprint(row: &Row) -> u64 {
    if row.presence != Presence::Listed {
        return 0;
    }
    let mut bytes = Vec::new();
    row.record.write_bytes(&mut bytes);
    if matches!(row.record, Record::Limits(_)) {
        bytes.extend(row.edition.to_be_bytes());
    }
    let mut digest = [0; 8];
    digest.copy_from_slice(&blake3::hash(&bytes).as_bytes()[..8]);
    u64::from_be_bytes(digest)
}
