//! The evacuations that are in force on this host, and since when.

use catalog::{Directory, Evacuation, Presence, Revision};
use serde_json::{Value, json};
use telemetry::{Event, field};

use crate::shared::Shared;

/// An evacuation in force.
#[derive(Debug)]
struct InForce {
    evacuation: Evacuation,
    /// By the monotonic clock.
    since_ms: u64,
}

/// The evacuations of the latest directory, sorted by failure domain.
#[derive(Debug, Default)]
pub(crate) struct Evacuations {
    in_force: Vec<InForce>,
}

impl Evacuations {
    /// Takes over the evacuations of `directory`, and logs which began or ended.
    pub(crate) fn update(&mut self, directory: &Directory, now_ms: u64) {
        let revision = directory.revision;
        for ended in self
            .in_force
            .extract_if(.., |known| !directory.is_evacuated(known.evacuation.domain_seed))
        {
            log(Event::EvacuationEnded, &ended.evacuation, revision);
        }
        for evacuation in directory.evacuations() {
            let seed = |known: &InForce| known.evacuation.domain_seed;
            if let Err(position) = self.in_force.binary_search_by_key(&evacuation.domain_seed, seed)
            {
                log(Event::EvacuationBegun, evacuation, revision);
                let evacuation = evacuation.clone();
                self.in_force.insert(position, InForce { evacuation, since_ms: now_ms });
            }
        }
    }

    /// The report for operators. `directory` is the latest one, `domains` are those of known hosts.
    pub(crate) fn report(&self, directory: &Directory, domains: &[u64], now_ms: u64) -> Vec<Value> {
        let report = |known: &InForce| {
            let seed = known.evacuation.domain_seed;
            let targets = directory.targets().filter(|target| {
                let index = directory.find_target(target.id);
                target.domain_seed == seed
                    && index.is_some_and(|index| directory.presence(index) != Presence::Gone)
            });
            let targets = targets.count();
            json!({
                "domain": known.evacuation.domain,
                "in_force_ms": now_ms.saturating_sub(known.since_ms),
                "targets": targets,
                "known": targets > 0 || domains.contains(&seed),
            })
        };
        self.in_force.iter().map(report).collect()
    }
}

/// The number of evacuations in force.
pub(crate) fn count(shared: &Shared) -> u64 {
    shared.directory.load().as_ref().map_or(0, |directory| directory.evacuations().len() as u64)
}

fn log(event: Event, evacuation: &Evacuation, revision: Revision) {
    telemetry::emit(
        event,
        &[
            field("domain", &evacuation.domain),
            field("era", revision.era),
            field("revision", revision.number),
        ],
    );
}
