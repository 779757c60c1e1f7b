//! How many flows each target has, as far as this host and others have seen.

use catalog::TargetId;
use routing::HostId;

/// The flows of one target that one host sees.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TargetLoad {
    /// The target.
    pub target: TargetId,
    /// Its open flows.
    pub flows: u32,
    /// Those with a request under way.
    pub busy: u32,
    /// Whether the host holds it for dead.
    pub is_dead: bool,
}

/// What one host sees of all targets.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HostLoad {
    /// The host.
    pub host: HostId,
    /// The targets with flows, sorted.
    pub targets: Vec<TargetLoad>,
}

#[derive(Debug)]
struct Report {
    received_at_ms: u64,
    load: HostLoad,
}

/// The reports of other hosts, sorted by host.
#[derive(Debug, Default)]
pub struct LoadBoard {
    reports: Vec<Report>,
    /// The sum over all reports, sorted by target.
    totals: Vec<TargetLoad>,
}

impl LoadBoard {
    /// Takes a report, which replaces the host's last one.
    pub fn on_report(&mut self, load: HostLoad, now_ms: u64) {
        let position = self.reports.binary_search_by_key(&load.host, |report| report.load.host);
        let report = Report { received_at_ms: now_ms, load };
        match position {
            Ok(position) => self.reports[position] = report,
            Err(position) => self.reports.insert(position, report),
        }
        self.add_up();
    }

    /// Forgets reports that are older than `memory_ms`.
    pub fn expire(&mut self, memory_ms: u64, now_ms: u64) {
        let before = self.reports.len();
        self.reports.retain(|report| report.received_at_ms + memory_ms > now_ms);
        if self.reports.len() != before {
            self.add_up();
        }
    }

    /// The flows that others see at `target`.
    pub fn get(&self, target: TargetId) -> TargetLoad {
        let none = TargetLoad { target, flows: 0, busy: 0, is_dead: false };
        self.totals
            .binary_search_by_key(&target, |total| total.target)
            .map_or(none, |position| self.totals[position])
    }

    fn add_up(&mut self) {
        let mut all: Vec<TargetLoad> =
            self.reports.iter().flat_map(|report| report.load.targets.iter().copied()).collect();
        all.sort_unstable_by_key(|load| load.target);
        self.totals.clear();
        for load in all {
            match self.totals.last_mut() {
                Some(total) if total.target == load.target => {
                    total.flows += load.flows;
                    total.busy += load.busy;
                    total.is_dead |= load.is_dead;
                }
                _ => self.totals.push(load),
            }
        }
    }
}
