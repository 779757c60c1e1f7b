//! How many flows each target has, as far as this host and others have seen.

use catalog::TargetId;
use routing::HostId;

use crate::Config;

/// The flows of one target that one host sees.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TargetLoad {
    /// The target.
    pub target: TargetId,
    /// Its open flows.
    pub flows: u32,
    /// Those with a request under way; one that is overdue counts as several.
    pub busy: u32,
    /// Whether the host holds it for dead.
    pub is_dead: bool,
}

/// What one host sees of all targets.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HostLoad {
    /// The host.
    pub host: HostId,
    /// Whether it is in this host's failure domain, and so opens flows to the same targets.
    pub is_near: bool,
    /// The targets with flows, sorted.
    pub targets: Vec<TargetLoad>,
}

#[derive(Debug)]
struct Report {
    received_at_ms: u64,
    load: HostLoad,
}

/// The longest age of a report that counts, in milliseconds: hosts that see no change send none.
const MAX_COUNTED_AGE_MS: u64 = 2_000;

/// The reports of other hosts, sorted by host.
#[derive(Debug, Default)]
pub struct ReportedLoads {
    reports: Vec<Report>,
    /// The sum over all reports, sorted by target.
    totals: Vec<TargetLoad>,
}

impl ReportedLoads {
    /// Takes a report, which replaces the host's last one.
    pub fn on_report(&mut self, load: HostLoad, now_ms: u64) {
        let position = self.reports.binary_search_by_key(&load.host, |report| report.load.host);
        let report = Report { received_at_ms: now_ms, load };
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

    /// Forgets reports that are too old to count.
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

    /// The flows that others see at `target`.
    pub fn get(&self, target: TargetId) -> TargetLoad {
        let empty = TargetLoad { target, flows: 0, busy: 0, is_dead: false };
        self.totals
            .binary_search_by_key(&target, |total| total.target)
            .map_or(empty, |position| self.totals[position])
    }

    /// How long hosts of the own failure domain have been opening flows unseen since their reports,
    /// added up, in milliseconds.
    pub fn unreported_ms(&self, now_ms: u64) -> u64 {
        let near = self.reports.iter().filter(|report| report.load.is_near);
        near.map(|report| now_ms.saturating_sub(report.received_at_ms).min(MAX_COUNTED_AGE_MS))
            .sum()
    }

    /// Whether enough hosts of other failure domains have reported for their loads to be compared
    /// with those of the own domain: as many as of the own one.
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
