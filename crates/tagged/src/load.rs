//! The load of each target as reported by other hosts.

use catalog::TargetId;
use routing::HostId;

use crate::{AnswerStats, Config};

/// The load of one target as seen by one host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TargetLoad {
    /// The target.
    pub target: TargetId,
    /// Its open flows.
    pub flows: u32,
    /// Those with a request in flight; an overdue request counts several times.
    pub busy: u32,
    /// Whether the host considers it dead.
    pub is_dead: bool,
    /// How it answered recent requests.
    pub answers: AnswerStats,
}

/// The load of all targets as seen by one host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HostLoad {
    /// The host.
    pub host: HostId,
    /// Whether it is in this host's failure domain, and therefore prefers the same targets.
    pub is_near: bool,
    /// The targets with flows and the dead ones, sorted by target.
    pub targets: Vec<TargetLoad>,
}

/// The age of the reports that a decision is based on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Evidence {
    /// They show the present load.
    Recent,
    /// The load may have changed since.
    Old,
    /// Most hosts have not reported.
    Missing {
        /// The number of hosts alive, with this one.
        host_count: usize,
    },
}

#[derive(Debug)]
struct Report {
    received_at_ms: u64,
    /// The requests in flight over all targets.
    busy: u64,
    load: HostLoad,
}

/// The maximum age that a report contributes to [`ReportedLoads::unreported_ms`], in milliseconds.
/// Hosts that see no change send no report, so a longer silence does not mean more openings.
const MAX_COUNTED_AGE_MS: u64 = 2_000;

/// The latest reports of other hosts.
#[derive(Debug, Default)]
pub struct ReportedLoads {
    /// Sorted by host.
    reports: Vec<Report>,
    /// The sum over all reports, sorted by target.
    totals: Vec<TargetLoad>,
}

impl ReportedLoads {
    /// Stores a report in place of the host's previous one.
    pub fn on_report(&mut self, load: HostLoad, now_ms: u64) {
        let position = self.reports.binary_search_by_key(&load.host, |report| report.load.host);
        let busy = load.targets.iter().map(|target| u64::from(target.busy)).sum();
        let report = Report { received_at_ms: now_ms, busy, load };
        match position {
            Ok(position) => {
                let previous = std::mem::replace(&mut self.reports[position], report);
                self.subtract(&previous.load);
            }
            Err(position) => {
                self.reports.insert(position, report);
            }
        }
        let position = position.unwrap_or_else(|position| position);
        self.add(position);
    }

    /// Removes reports that are too old to be used.
    pub fn expire(&mut self, config: &Config, now_ms: u64) {
        let ttl_ms =
            |is_near: bool| if is_near { config.report_ttl_ms } else { config.far_report_ttl_ms };
        let is_expired =
            |report: &Report| report.received_at_ms + ttl_ms(report.load.is_near) <= now_ms;
        while let Some(position) = self.reports.iter().position(is_expired) {
            let report = self.reports.remove(position);
            self.subtract(&report.load);
        }
    }

    /// The load of `target` as seen by all other hosts together. `is_dead` is never set.
    pub fn get(&self, target: TargetId) -> TargetLoad {
        let empty = TargetLoad {
            target,
            flows: 0,
            busy: 0,
            is_dead: false,
            answers: AnswerStats::default(),
        };
        self.totals
            .binary_search_by_key(&target, |total| total.target)
            .map_or(empty, |position| self.totals[position])
    }

    /// How the targets answered each of the other hosts.
    pub(crate) fn answers(&self) -> impl Iterator<Item = (TargetId, AnswerStats)> {
        let loads = self.reports.iter().flat_map(|report| &report.load.targets);
        let answers = loads.map(|load| (load.target, load.answers));
        answers.filter(|(_, answers)| *answers != AnswerStats::default())
    }

    /// The time since the last report, summed over the hosts of the own failure domain, in
    /// milliseconds. The flows that they opened during this time are not counted yet.
    pub fn unreported_ms(&self, now_ms: u64) -> u64 {
        let near = self.reports.iter().filter(|report| report.load.is_near);
        near.map(|report| now_ms.saturating_sub(report.received_at_ms).min(MAX_COUNTED_AGE_MS))
            .sum()
    }

    /// Whether the reports show the present load of `host_count` hosts: whether most have reported,
    /// and at least half of the requests in flight that hosts of the own failure domain report were
    /// counted recently.
    pub fn evidence(&self, host_count: usize, now_ms: u64) -> Evidence {
        if 2 * self.reports.len() + 1 < host_count {
            return Evidence::Missing { host_count };
        }
        let near = self.reports.iter().filter(|report| report.load.is_near);
        let (recent, total) = near.fold((0, 0), |(recent, total), report| {
            let age_ms = now_ms.saturating_sub(report.received_at_ms);
            let is_recent = age_ms <= MAX_COUNTED_AGE_MS;
            (recent + if is_recent { report.busy } else { 0 }, total + report.busy)
        });
        if 2 * recent >= total { Evidence::Recent } else { Evidence::Old }
    }

    /// Whether enough hosts of other failure domains have reported for loads to be compared across
    /// domains: at least as many as of the own one.
    pub fn has_far_loads(&self) -> bool {
        let near = self.reports.iter().filter(|report| report.load.is_near).count();
        self.reports.len() - near >= near
    }

    fn add(&mut self, position: usize) {
        for load in &self.reports[position].load.targets {
            match self.totals.binary_search_by_key(&load.target, |total| total.target) {
                Ok(found) => {
                    self.totals[found].flows += load.flows;
                    self.totals[found].busy += load.busy;
                }
                Err(index) => self.totals.insert(index, TargetLoad { is_dead: false, ..*load }),
            }
        }
    }

    fn subtract(&mut self, previous: &HostLoad) {
        for load in &previous.targets {
            let found = self.totals.binary_search_by_key(&load.target, |total| total.target);
            let Ok(found) = found else { continue };
            let total = &mut self.totals[found];
            total.flows = total.flows.saturating_sub(load.flows);
            total.busy = total.busy.saturating_sub(load.busy);
            if total.flows == 0 && total.busy == 0 {
                self.totals.remove(found);
            }
        }
    }
}
