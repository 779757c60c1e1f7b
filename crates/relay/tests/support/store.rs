//! The simulated store: what it holds, and whose calls it serves.

use catalog::{Catalog, Key, Limits, Record, Revision, Row, Stage, Target, TargetId};
use relay::{Settings, StoreUpdate};

use super::{Fleet, evacuation, target};

/// Whether the store is available.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Store {
    Up,
    Down,
}

/// What the store holds.
#[derive(Debug, Clone, Default)]
pub struct Contents {
    revision: u64,
    /// The announcements, each with the number of its revision and its edition.
    targets: Vec<(u64, u64, Record)>,
    /// The removals of evacuations, each with the number of its revision.
    removals: Vec<(u64, Key)>,
    /// The settings, with the number of their revision and their version.
    settings: Option<(u64, u64, Vec<Record>)>,
}

impl Contents {
    /// A store that holds nothing.
    pub(super) fn empty() -> Contents {
        Contents { revision: 1, ..Contents::default() }
    }

    fn remove(&mut self, id: u64) {
        self.targets.retain(|entry| entry.2.key() != Key::Target(TargetId(id)));
    }

    fn lists(&self, key: Key) -> bool {
        self.targets.iter().any(|entry| entry.2.key() == key)
    }

    /// A full listing of the store by a host with `catalog`.
    pub(super) fn read(&self, era: u64, catalog: &Catalog, now_ms: u64) -> StoreUpdate {
        let revision = Revision::new(era, self.revision);
        let known = catalog.rows().iter().map(|row| row.record.key());
        let removed = known
            .filter(|key| matches!(key, Key::Target(_) | Key::Evacuation(_)) && !self.lists(*key))
            .map(|key| (revision, key))
            .collect();
        let rows = self.targets.iter().map(|(number, edition, record)| {
            Row::written(Revision::new(era, *number), *edition, record.clone())
        });
        let settings = self.settings.iter().map(|(number, version, records)| Settings {
            version: *version,
            revision: Revision::new(era, *number),
            records: records.clone(),
        });
        StoreUpdate {
            revision,
            settings: settings.collect(),
            rows: rows.collect(),
            removed,
            valid_at_ms: now_ms,
        }
    }

    /// What has changed in the store since the revision of `catalog`.
    pub(super) fn read_changes(&self, era: u64, catalog: &Catalog, now_ms: u64) -> StoreUpdate {
        let after = catalog.revision();
        let mut update = self.read(era, catalog, now_ms);
        update.rows.retain(|row| row.revision > after);
        update.settings.retain(|settings| settings.revision > after);
        let removals = self.removals.iter().filter(|entry| !self.lists(entry.1));
        update.removed =
            removals.map(|(number, key)| (Revision::new(era, *number), *key)).collect();
        update.removed.retain(|entry| entry.0 > after);
        update
    }
}

/// What targets and the operator write, and what the store answers.
impl Fleet {
    /// Writes the settings, which replace all earlier ones.
    pub fn write_settings(&mut self, settings: &[Record]) {
        self.writes += 1;
        let limits = Record::Limits(Limits { idle_timeout_ms: 15_000 });
        let records = std::iter::once(limits).chain(settings.iter().cloned()).collect();
        self.put_settings(self.writes, records);
    }

    fn put_settings(&mut self, version: u64, records: Vec<Record>) {
        self.contents.revision += 1;
        self.contents.settings = Some((self.contents.revision, version, records));
        self.written.settings.clone_from(&self.contents.settings);
    }

    /// The store's revision.
    pub fn revision(&self) -> Revision {
        Revision::new(self.era, self.contents.revision)
    }

    /// A copy of what the store holds.
    pub fn copy_store(&self) -> Contents {
        self.contents.clone()
    }

    /// The store returns with what it held at the time of the copy, in a new era.
    pub fn restore_store(&mut self, copy: &Contents) {
        self.era += 1;
        self.contents = copy.clone();
    }

    /// Every writer writes again what it wrote last, whatever the store has lost.
    pub fn rewrite_store(&mut self) {
        let written = std::mem::take(&mut self.written);
        self.contents.targets.retain(|entry| written.lists(entry.2.key()));
        for (_, _, record) in written.targets {
            self.write_target(record);
        }
        if let Some((_, version, records)) = written.settings {
            self.put_settings(version, records);
        }
    }

    /// A target ends without a word, and never writes again.
    pub fn end_silently(&mut self, id: u64) {
        self.written.remove(id);
    }

    /// Writes the announcement of a target.
    pub fn announce(&mut self, id: u64) {
        self.write_target(target(id));
    }

    /// Announces that a target leaves.
    pub fn announce_leaving(&mut self, id: u64) {
        let Record::Target(target) = target(id) else { panic!("a target is a target") };
        self.write_target(Record::Target(Target { stage: Stage::Draining, ..target }));
    }

    fn write_target(&mut self, record: Record) {
        self.contents.revision += 1;
        self.writes += 1;
        let edition = if matches!(record, Record::Evacuation(_)) { 0 } else { self.writes };
        let entry = (self.contents.revision, edition, record);
        for contents in [&mut self.contents, &mut self.written] {
            contents.targets.retain(|other| other.2.key() != entry.2.key());
            contents.targets.push(entry.clone());
        }
    }

    /// Requests the evacuation of a failure domain.
    pub fn evacuate(&mut self, domain_seed: u64) {
        self.write_target(evacuation(domain_seed));
    }

    /// Takes the request back.
    pub fn end_evacuation(&mut self, domain_seed: u64) {
        self.contents.revision += 1;
        for contents in [&mut self.contents, &mut self.written] {
            contents.targets.retain(|entry| entry.2.key() != Key::Evacuation(domain_seed));
        }
        self.contents.removals.push((self.contents.revision, Key::Evacuation(domain_seed)));
    }

    /// The store discards its history, so that the next read of each host is a full listing.
    pub fn lose_history(&mut self) {
        for host in &mut self.hosts {
            host.needs_listing = true;
            host.relay.on_history_lost();
        }
    }

    /// Removes the announcement of a target.
    pub fn remove(&mut self, id: u64) {
        self.contents.revision += 1;
        self.contents.remove(id);
        self.written.remove(id);
    }

    /// Whether the store rejects the calls of a host now.
    pub fn is_rejected(&self, index: usize) -> bool {
        self.rejected.contains(&index)
    }

    /// Whether a call of the host succeeds.
    pub(super) fn is_served(&mut self, index: usize) -> bool {
        self.rejected.truncate(self.rejected_max);
        if self.rejected.len() < self.rejected_max && !self.rejected.contains(&index) {
            self.rejected.push(index);
        }
        let has_lost_store = self.hosts[index].has_lost_store || self.is_rejected(index);
        self.store == Store::Up && !has_lost_store
    }
}
