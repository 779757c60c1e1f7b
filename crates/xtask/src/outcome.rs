//! The combined result of a testbed run.

use std::collections::BTreeMap;

use eyre::{Result, bail};
use serde::Serialize;
use stand_ins::{caller, upstream};

/// Counts from the reports of callers and upstreams.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct Outcome {
    pub(crate) requests: u64,
    pub(crate) completed: u64,
    pub(crate) refused: u64,
    pub(crate) sessions: u64,
    pub(crate) broken_flows: u64,
    /// Requests and sessions that reached another service, and responses that don't match.
    pub(crate) misdelivered: u64,
    /// Requests that ran more than once.
    pub(crate) ran_twice: u64,
    /// Requests that ran although their caller was refused.
    pub(crate) refused_but_run: u64,
}

impl Outcome {
    /// Combines the reports of callers and upstreams.
    pub(crate) fn new(
        caller_report: &caller::Report,
        upstream_reports: &[upstream::Report],
    ) -> Outcome {
        let mut runs: BTreeMap<u64, u32> = BTreeMap::new();
        for report in upstream_reports {
            for (id, count) in &report.runs {
                *runs.entry(*id).or_default() += count;
            }
        }
        let misdelivered: u64 = upstream_reports.iter().map(|report| report.misdelivered).sum();
        let refused_but_run =
            caller_report.refused_ids.iter().filter(|id| runs.contains_key(id)).count();
        Outcome {
            requests: caller_report.requests,
            completed: caller_report.completed,
            refused: caller_report.refused,
            sessions: caller_report.sessions,
            broken_flows: caller_report.broken_flows,
            misdelivered: caller_report.misdelivered + misdelivered,
            ran_twice: runs.values().filter(|count| **count > 1).count() as u64,
            refused_but_run: refused_but_run as u64,
        }
    }

    /// Fails if a guarantee was violated. `other_checks` adds checks of the task: whether the
    /// guarantee was violated, and the message for it.
    pub(crate) fn check_guarantees(&self, other_checks: &[(bool, &str)]) -> Result<()> {
        let own_checks = [
            (self.broken_flows > 0, "flows broke"),
            (self.misdelivered > 0, "packets reached another service or wrong answers came"),
            (self.ran_twice > 0, "requests ran twice"),
            (self.refused_but_run > 0, "refused requests ran"),
            (self.completed + self.refused != self.requests, "requests are unaccounted for"),
        ];
        let violations: Vec<&str> = own_checks
            .iter()
            .chain(other_checks)
            .filter(|(is_violated, _)| *is_violated)
            .map(|(_, message)| *message)
            .collect();
        if violations.is_empty() {
            return Ok(());
        }
        bail!("promises were broken: {}", violations.join("; "))
    }
}
