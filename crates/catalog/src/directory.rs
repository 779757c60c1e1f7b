//! Immutable lookup tables built from a catalog.

use std::{net::SocketAddrV4, sync::Arc};

use crate::{
    Catalog, Evacuation, FlowTag, Listener, Presence, Record, Revision, Service, Stage, TagTable,
    Target,
};

/// The index of a listener in its directory.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ListenerIndex(pub usize);

/// The index of a target in its directory.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct TargetIndex(pub usize);

/// Which target the flows with a tag belong to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TagOwner {
    /// No known target has the tag.
    Unknown,
    /// Several targets have it, and their entries do not tell which of them was first.
    Ambiguous,
    /// The one target that has it, or the first of several; it may be gone.
    Target(TargetIndex),
}

/// The listeners, services and targets of one revision.
#[derive(Debug, Clone, Default)]
pub struct Directory {
    /// The store's revision.
    pub revision: Revision,
    /// How long a flow may be idle before it may be dropped from the flow table, in milliseconds.
    pub idle_timeout_ms: u64,
    /// Whether a target that the directory lacks is gone; see [`Catalog::is_complete`].
    pub is_complete: bool,
    listeners: Vec<Listener>,
    services: Vec<Service>,
    /// The evacuations in force, sorted by failure domain.
    evacuations: Vec<Evacuation>,
    targets: Vec<(Target, Presence)>,
    /// The revisions at which the items of `targets` were created.
    created: Vec<Revision>,
    /// The editions of the rows of `targets`.
    editions: Vec<u64>,
    tags: Arc<TagTable>,
    /// The targets whose address a target that started later reuses, sorted.
    replaced: Vec<TargetIndex>,
    /// The targets that may take new flows, sorted by service.
    open: Vec<(u64, TargetIndex)>,
}

impl Directory {
    /// Builds the directory of `catalog`.
    pub fn new(catalog: &Catalog) -> Directory {
        Directory::default().updated(catalog)
    }

    /// Builds the directory of `catalog`, of which this directory holds an earlier state. The tag
    /// table is shared if the set of targets is unchanged.
    pub fn updated(&self, catalog: &Catalog) -> Directory {
        let mut directory = Directory {
            revision: catalog.revision(),
            is_complete: catalog.is_complete(),
            ..Directory::default()
        };
        for row in catalog.rows() {
            match &row.record {
                Record::Target(target) => {
                    directory.targets.push((target.clone(), row.presence));
                    directory.created.push(row.created);
                    directory.editions.push(row.edition);
                }
                _ if row.presence == Presence::Gone => {}
                Record::Listener(listener) => directory.listeners.push(listener.clone()),
                Record::Service(service) => directory.services.push(service.clone()),
                Record::Evacuation(evacuation) => directory.evacuations.push(evacuation.clone()),
                Record::Limits(limits) => {
                    directory.idle_timeout_ms = u64::from(limits.idle_timeout_ms);
                }
            }
        }
        directory.mark_replaced();
        directory.tags = self.updated_tags(&directory.targets);
        let open = directory.targets.iter().enumerate().filter(|(_, (target, presence))| {
            *presence != Presence::Gone
                && target.stage == Stage::Ready
                && !directory.is_evacuated(target.domain_seed)
        });
        directory.open = open
            .map(|(position, (target, _))| (target.service_seed, TargetIndex(position)))
            .collect();
        directory.open.sort_unstable();
        directory
    }

    /// The tags of `targets`, sorted by id; shared with this directory if it has the same targets.
    fn updated_tags(&self, targets: &[(Target, Presence)]) -> Arc<TagTable> {
        let (mut added, mut removed) = (Vec::new(), Vec::new());
        let mut known = self.targets.iter().map(|entry| entry.0.id).peekable();
        for id in targets.iter().map(|entry| entry.0.id) {
            while let Some(other) = known.next_if(|other| *other < id) {
                removed.push(other);
            }
            if known.next_if_eq(&id).is_none() {
                added.push(id);
            }
        }
        removed.extend(known);
        if added.is_empty() && removed.is_empty() {
            return self.tags.clone();
        }
        Arc::new(self.tags.updated(&added, &removed))
    }

    /// Marks a target as gone if another was started later at its address: its entry has not
    /// lapsed yet. Entries of services that the settings do not name are not from a target, nor is one
    /// that does not state its start beside one that does.
    fn mark_replaced(&mut self) {
        let shares = self.listeners.iter().flat_map(|listener| &listener.shares);
        let mut named: Vec<u64> = self.services.iter().map(|service| service.seed).collect();
        named.extend(shares.map(|share| share.service_seed));
        named.sort_unstable();
        named.dedup();
        let mut by_address: Vec<(SocketAddrV4, usize)> = self
            .targets
            .iter()
            .enumerate()
            .filter(|(_, (target, presence))| {
                *presence != Presence::Gone && named.binary_search(&target.service_seed).is_ok()
            })
            .map(|(position, (target, _))| (target.address, position))
            .collect();
        by_address.sort_unstable();
        let (mut replaced, mut foreign) = (Vec::new(), Vec::new());
        for same_address in by_address.chunk_by(|one, other| one.0 == other.0) {
            let positions = same_address.iter().map(|entry| entry.1);
            let (stated, unstated): (Vec<usize>, Vec<usize>) =
                positions.partition(|position| self.targets[*position].0.states_start());
            let genuine = if stated.is_empty() { &unstated } else { &stated };
            let is_replaced =
                |one: &usize| genuine.iter().any(|other| self.is_earlier(*one, *other));
            replaced.extend(genuine.iter().copied().filter(is_replaced).map(TargetIndex));
            if !stated.is_empty() {
                foreign.extend(unstated.into_iter().map(TargetIndex));
            }
        }
        replaced.sort_unstable();
        for index in replaced.iter().chain(&foreign) {
            self.targets[index.0].1 = Presence::Gone;
        }
        self.replaced = replaced;
    }

    /// Whether the target at position `one` appeared before the one at `other`, of the same address. The
    /// store's order counts where it is known, since the clocks of targets may be wrong.
    fn is_earlier(&self, one: usize, other: usize) -> bool {
        let (created, other_created) = (self.created[one], self.created[other]);
        if created.era == other_created.era && created != other_created {
            return created < other_created;
        }
        self.targets[one].0.started_at_ms < self.targets[other].0.started_at_ms
    }

    /// Every listener, sorted by address.
    pub fn listeners(&self) -> &[Listener] {
        &self.listeners
    }

    /// The listener at `address`.
    pub fn find_listener(&self, address: SocketAddrV4) -> Option<&Listener> {
        let found = self.listeners.binary_search_by_key(&address, |listener| listener.address);
        found.ok().map(|position| &self.listeners[position])
    }

    /// The service whose name hashes to `seed`.
    pub fn find_service(&self, seed: u64) -> Option<&Service> {
        let found = self.services.binary_search_by_key(&seed, |service| service.seed);
        found.ok().map(|position| &self.services[position])
    }

    /// The evacuations in force, sorted by failure domain.
    pub fn evacuations(&self) -> &[Evacuation] {
        &self.evacuations
    }

    /// Whether the targets of the failure domain whose name hashes to `domain_seed` take no new flows.
    pub fn is_evacuated(&self, domain_seed: u64) -> bool {
        let seed = |evacuation: &Evacuation| evacuation.domain_seed;
        self.evacuations.binary_search_by_key(&domain_seed, seed).is_ok()
    }

    /// The target at `index`.
    pub fn target(&self, index: TargetIndex) -> &Target {
        &self.targets[index.0].0
    }

    /// Every target, gone ones included, sorted by id.
    pub fn targets(&self) -> impl Iterator<Item = &Target> {
        self.targets.iter().map(|entry| &entry.0)
    }

    /// Every target with the edition of its row.
    pub fn targets_with_editions(&self) -> impl Iterator<Item = (&Target, u64)> {
        self.targets().zip(self.editions.iter().copied())
    }

    /// Whether the store lists the target at `index`.
    pub fn presence(&self, index: TargetIndex) -> Presence {
        self.targets[index.0].1
    }

    /// Whether a target that started later reuses the address of the one at `index`.
    pub fn is_replaced(&self, index: TargetIndex) -> bool {
        self.replaced.binary_search(&index).is_ok()
    }

    /// The number of targets, gone ones included.
    pub fn target_count(&self) -> usize {
        self.targets.len()
    }

    /// The index of the target `id`.
    pub fn find_target(&self, id: crate::TargetId) -> Option<TargetIndex> {
        self.targets.binary_search_by_key(&id, |entry| entry.0.id).ok().map(TargetIndex)
    }

    /// The target whose flows carry `tag`.
    ///
    /// New flows carry a tag that no other known target has. So flows with a shared tag were opened
    /// when only the first of these targets was known, and belong to it.
    pub fn tag_owner(&self, tag: FlowTag) -> TagOwner {
        match self.tags.targets_with_tag(tag) {
            [] => TagOwner::Unknown,
            [only] => self.find_target(*only).map_or(TagOwner::Unknown, TagOwner::Target),
            _ => self.first_owner(tag),
        }
    }

    fn first_owner(&self, tag: FlowTag) -> TagOwner {
        let owners: Vec<usize> = self
            .tags
            .owners(tag)
            .into_iter()
            .filter_map(|owner| self.find_target(owner))
            .map(|index| index.0)
            .collect();
        let is_first = |one: &&usize| {
            owners.iter().all(|other| other == *one || self.is_certainly_earlier(**one, *other))
        };
        match owners.iter().find(is_first) {
            Some(first) => TagOwner::Target(TargetIndex(*first)),
            None => TagOwner::Ambiguous,
        }
    }

    /// Whether both the store's order and the start times, where they are known, say that the target at
    /// `one` appeared before the one at `other`. An entry that lapsed and returned was created anew, and
    /// the clock of a target may be wrong.
    fn is_certainly_earlier(&self, one: usize, other: usize) -> bool {
        let (target, other_target) = (&self.targets[one].0, &self.targets[other].0);
        let (created, other_created) = (self.created[one], self.created[other]);
        let states_starts = target.states_start() && other_target.states_start();
        let is_same_era = created.era == other_created.era;
        (states_starts || is_same_era)
            && (!states_starts || target.started_at_ms < other_target.started_at_ms)
            && (!is_same_era || created < other_created)
    }

    /// Whether `tag` is one of the tags of the target `id`.
    pub fn has_tag(&self, id: crate::TargetId, tag: FlowTag) -> bool {
        self.tags.targets_with_tag(tag).binary_search(&id).is_ok()
    }

    /// The target that `tag` names, even if it is gone; `None` if it is unknown or ambiguous.
    pub fn find_target_by_tag(&self, tag: FlowTag) -> Option<TargetIndex> {
        match self.tag_owner(tag) {
            TagOwner::Target(index) => Some(index),
            TagOwner::Unknown | TagOwner::Ambiguous => None,
        }
    }

    /// The tag for new flows to the target at `index`; `None` if all its tags are shared.
    pub fn tag_for(&self, index: TargetIndex) -> Option<FlowTag> {
        self.tags.unique_tag(self.target(index).id)
    }

    /// Whether any target of `listener` is known, including targets that take no new flows.
    pub fn has_targets(&self, listener: &Listener) -> bool {
        let is_served = |seed: u64| listener.shares.iter().any(|share| share.service_seed == seed);
        self.targets.iter().any(|(target, _)| is_served(target.service_seed))
    }

    /// The targets of the service `seed` that may take new flows.
    pub fn open_targets(&self, seed: u64) -> impl Iterator<Item = TargetIndex> + '_ {
        let start = self.open.partition_point(|entry| entry.0 < seed);
        self.open[start..].iter().take_while(move |entry| entry.0 == seed).map(|entry| entry.1)
    }
}
