//! What a run on a bed came to.

use std::collections::BTreeMap;

use eyre::{Result, bail};
use serde::Serialize;
use stand_ins::{caller, upstream};

/// What callers and upstreams saw.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct Outcome {
    pub(crate) requests: u64,
    pub(crate) completed: u64,
    pub(crate) refused: u64,
    pub(crate) sessions: u64,
    pub(crate) broken_flows: u64,
    pub(crate) misdelivered: u64,
    pub(crate) ran_twice: u64,
    pub(crate) refused_but_run: u64,
}

impl Outcome {
    /// Puts together what callers and upstreams saw.
    pub(crate) fn new(seen: &caller::Report, done: &[upstream::Report]) -> Outcome {
        let mut runs: BTreeMap<u64, u32> = BTreeMap::new();
        for report in done {
            for (id, count) in &report.runs {
                *runs.entry(*id).or_default() += count;
            }
        }
        let misdelivered: u64 = done.iter().map(|report| report.misdelivered).sum();
        let refused_but_run = seen.refused_ids.iter().filter(|id| runs.contains_key(id)).count();
        Outcome {
            requests: seen.requests,
            completed: seen.completed,
            refused: seen.refused,
            sessions: seen.sessions,
            broken_flows: seen.broken_flows,
            misdelivered: seen.misdelivered + misdelivered,
            ran_twice: runs.values().filter(|count| **count > 1).count() as u64,
            refused_but_run: refused_but_run as u64,
        }
    }

    /// Fails if a promise was broken; `others` are further promises and whether they were.
    pub(crate) fn judge(&self, others: &[(bool, &str)]) -> Result<()> {
        let own = [
            (self.broken_flows > 0, "flows broke"),
            (self.misdelivered > 0, "packets reached another service or wrong answers came"),
            (self.ran_twice > 0, "requests ran twice"),
            (self.refused_but_run > 0, "refused requests ran"),
            (self.completed + self.refused != self.requests, "requests are unaccounted for"),
        ];
        let causes: Vec<&str> = own
            .iter()
            .chain(others)
            .filter(|(is_broken, _)| *is_broken)
            .map(|(_, cause)| *cause)
            .collect();
        if causes.is_empty() {
            return Ok(());
        }
        bail!("promises were broken: {}", causes.join("; "))
    }
}
