//! Exhaustive search over short histories of one target, its store and two hosts.
//!
//! Failure scenario: a target is announced, vanishes and starts again with a clock that is behind, the
//! store returns from a copy, and the hosts read some of it and tell each other the rest, in any
//! order. Whatever happened, both know in the end what the store lists.

use catalog::{Absence, Catalog, Key, Presence, Record, Revision, Row, Stage, Target, TargetId};

const KEY: Key = Key::Target(TargetId(1));

/// The number of events in a history.
const LENGTH: usize = 6;

/// One event of a history.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Event {
    /// The target announces itself again, as leaving from the second time on.
    Announce,
    /// The target starts again, by a clock that is behind.
    RestartEarlier,
    /// The announcement expires or is removed.
    Remove,
    /// A copy of the store is made.
    Copy,
    /// The store returns from the copy; an era begins.
    Return,
    /// A host reads all that the store lists.
    Read(usize),
    /// A host missed some changes and concludes that the target is gone as of the store's revision.
    Misjudge(usize),
    /// A host sends its rows to the other one.
    Tell(usize),
}

const EVENTS: [Event; 11] = [
    Event::Announce,
    Event::RestartEarlier,
    Event::Remove,
    Event::Copy,
    Event::Return,
    Event::Read(0),
    Event::Read(1),
    Event::Misjudge(0),
    Event::Misjudge(1),
    Event::Tell(0),
    Event::Tell(1),
];

#[derive(Debug, Clone, Default)]
struct Store {
    number: u64,
    /// The announcement, with the number of its revision.
    item: Option<(u64, u64, Target)>,
}

#[derive(Debug, Clone)]
struct World {
    store: Store,
    copy: Option<Store>,
    era: u64,
    /// Whether the target has written again since the era began, so that the store's listing shows
    /// more than the copy.
    is_settled: bool,
    started_at_ms: u64,
    edition: u64,
    hosts: [Catalog; 2],
}

impl World {
    fn new() -> World {
        World {
            store: Store { number: 1, item: None },
            copy: None,
            era: 1,
            is_settled: true,
            started_at_ms: 9,
            edition: 0,
            hosts: [Catalog::default(), Catalog::default()],
        }
    }

    fn announce(&mut self) {
        self.edition += 1;
        self.store.number += 1;
        let target = Target {
            id: TargetId(1),
            service_seed: 1,
            address: "10.0.0.1:8000".parse().expect("an address"),
            domain_seed: 1,
            slots: 3,
            stage: if self.edition > 1 { Stage::Draining } else { Stage::Ready },
            warmup_ms: 0,
            started_at_ms: self.started_at_ms,
        };
        self.store.item = Some((self.store.number, self.edition, target));
    }

    fn apply(&mut self, event: Event) {
        match event {
            Event::Announce => self.announce(),
            Event::RestartEarlier => {
                self.started_at_ms -= 1;
                self.edition = 0;
                self.announce();
            }
            Event::Remove => {
                self.store.number += 1;
                self.store.item = None;
            }
            Event::Copy => self.copy = Some(self.store.clone()),
            Event::Return => {
                if let Some(copy) = &self.copy {
                    self.store = copy.clone();
                    self.era += 1;
                    self.is_settled = false;
                }
            }
            Event::Read(host) => self.read(host),
            Event::Misjudge(host) => {
                let revision = Revision::new(self.era, self.store.number);
                self.hosts[host].mark_absent(revision, Absence::Conclusive, |_| true);
            }
            Event::Tell(host) => {
                let rows = self.hosts[host].rows().to_vec();
                let other = &mut self.hosts[1 - host];
                rows.into_iter().for_each(|row| {
                    other.merge(row);
                });
            }
        }
    }

    /// A full listing, as a reader merges it.
    fn read(&mut self, host: usize) {
        let revision = Revision::new(self.era, self.store.number);
        let catalog = &mut self.hosts[host];
        match &self.store.item {
            Some((number, edition, target)) => {
                let written = Revision::new(self.era, *number);
                let row = Row::written(written, *edition, Record::Target(target.clone()));
                let known_era = catalog.get(KEY).map(|known| known.revision.era);
                let follows = self.is_settled || known_era.is_none_or(|era| era == self.era);
                catalog.merge_read(row, follows.then_some(revision));
            }
            None => {
                catalog.mark_absent(revision, Absence::Conclusive, |_| true);
            }
        }
    }

    /// Lets the era settle: the target writes again if it is still there. Then both hosts read the
    /// store, and tell each other.
    fn settle(&mut self) {
        if self.store.item.is_some() {
            self.announce();
        }
        self.is_settled = true;
        for event in [Event::Read(0), Event::Read(1), Event::Tell(0), Event::Tell(1)] {
            self.apply(event);
        }
    }

    /// What a host holds, without what differs between hosts that agree.
    fn known(&self, host: usize) -> Option<&Target> {
        match self.hosts[host].get(KEY) {
            Some(Row { presence: Presence::Listed, record: Record::Target(target), .. }) => {
                Some(target)
            }
            _ => None,
        }
    }
}

/// Calls `visit` with every history of `length` more events and the state it leads to.
fn search(world: &World, history: &mut Vec<Event>, visit: &mut impl FnMut(&World, &[Event])) {
    visit(world, history);
    if history.len() == LENGTH {
        return;
    }
    for event in EVENTS {
        // A second event of this kind in a row changes nothing.
        let is_repeated = history.last() == Some(&event)
            && !matches!(event, Event::Announce | Event::RestartEarlier);
        let has_copy = world.copy.is_some();
        if is_repeated || (event == Event::Return && !has_copy) {
            continue;
        }
        let mut next = world.clone();
        next.apply(event);
        history.push(event);
        search(&next, history, visit);
        history.pop();
    }
}

#[test]
fn hosts_agree_with_store() {
    let mut visited = 0_u64;
    search(&World::new(), &mut Vec::new(), &mut |world, history| {
        visited += 1;
        let mut world = world.clone();
        world.settle();
        let listed = world.store.item.as_ref().map(|item| &item.2);
        for host in 0..2 {
            assert_eq!(world.known(host), listed, "host {host} after {history:?}");
        }
    });
    assert!(visited > 100_000, "{visited} histories");
}
