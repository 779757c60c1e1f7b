//! Reports of flow counts from homes to openers, and the explanation of a single flow for operators.

use std::net::IpAddr;

use flow::FlowKey;
use routing::{HostId, Pin, PinState};
use wire::{Control, FlowLoad, LoadReport};

use crate::{Outbox, View, traffic::Traffic};

/// The age from which a flow is reported, in tenths of a second. Openers count a younger flow by
/// their own grant, and rely on reports from then on.
const REPORT_MIN_AGE_DS: u32 = 10;

/// The maximum number of reports with flows in one round.
const REPORTS_PER_ROUND: usize = 16;

/// How many times an empty report is sent after the last flow of a service has ended.
const EMPTY_REPORT_REPEATS: u8 = 3;

/// A service about which a report was sent to an opener.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct SentReport {
    opener: HostId,
    service_seed: u64,
    empty_reports_left: u8,
}

/// The services about which reports were sent, sorted by opener and service.
#[derive(Debug, Default)]
pub(super) struct SentReportTable {
    rows: Vec<SentReport>,
}

impl SentReportTable {
    fn record(&mut self, opener: HostId, service_seed: u64) {
        let row = SentReport { opener, service_seed, empty_reports_left: EMPTY_REPORT_REPEATS };
        match self.rows.binary_search_by_key(&(opener, service_seed), SentReport::key) {
            Ok(position) => self.rows[position] = row,
            Err(position) => self.rows.insert(position, row),
        }
    }

    /// Returns the services that have no more flows and still need an empty report.
    fn take_emptied(&mut self, groups: &[&[Load]]) -> Vec<(HostId, u64)> {
        let has_flows = |row: &SentReport| {
            let found = groups
                .binary_search_by_key(&row.key(), |group| (group[0].opener, group[0].service_seed));
            found.is_ok()
        };
        let mut empty = Vec::new();
        for row in self.rows.iter_mut().filter(|row| !has_flows(row)) {
            row.empty_reports_left -= 1;
            empty.push((row.opener, row.service_seed));
        }
        self.rows.retain(|row| row.empty_reports_left > 0);
        empty
    }
}

impl SentReport {
    fn key(&self) -> (HostId, u64) {
        (self.opener, self.service_seed)
    }
}

/// The number of reported flows at this home for one opener, service, target and listener.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Load {
    opener: HostId,
    service_seed: u64,
    target: IpAddr,
    listener_key: u32,
    flows: u32,
}

/// Where a flow is routed, and the state of its pin.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FlowReport {
    /// The bucket.
    pub bucket: usize,
    /// The home.
    pub home: Option<HostId>,
    /// The backup.
    pub backup: Option<HostId>,
    /// The target, if this host has a pin of the flow.
    pub target: Option<IpAddr>,
    /// The state of the pin, if this host has one.
    pub state: Option<PinState>,
}

impl Traffic {
    /// Explains where packets of the flow `key` are routed.
    pub fn explain(&self, key: &FlowKey) -> Option<FlowReport> {
        let view = self.view.as_ref()?;
        let hash = view.hasher.hash(key);
        let owners = view.owners(hash);
        let pin = self.pins.get(hash);
        Some(FlowReport {
            bucket: hash.bucket(view.placement.bucket_count()),
            home: owners.home,
            backup: owners.backup,
            target: pin.and_then(|pin| self.directory.address(pin.target)),
            state: pin.map(|pin| pin.state),
        })
    }

    /// Sends the reports of one round. If there are more than fit, successive rounds rotate
    /// through them.
    pub(super) fn send_reports(&mut self, now_ms: u64, out: &mut Outbox) {
        let Some(view) = self.view.clone() else { return };
        let loads = self.loads(&view, now_ms);
        let round = (now_ms / super::REPORT_MS) as usize;
        let groups: Vec<&[Load]> = groups(&loads).collect();
        for (opener, service_seed) in self.sent_reports.take_emptied(&groups) {
            let report = LoadReport { service_seed, loads: Vec::new() };
            self.deliver_report(opener, report, now_ms, out);
        }
        let count = groups.len().min(REPORTS_PER_ROUND);
        for step in 0..count {
            let group = groups[(round * REPORTS_PER_ROUND + step) % groups.len()];
            self.send_report(group, now_ms, out);
        }
    }

    pub(super) fn report_to_new_openers(
        &mut self,
        before: Option<&View>,
        view: &View,
        now_ms: u64,
        out: &mut Outbox,
    ) {
        let Some(before) = before else { return };
        if before.openers.hosts() == view.openers.hosts() {
            return;
        }
        let loads = self.loads(view, now_ms);
        for group in groups(&loads) {
            let first = group[0];
            let domain_seed =
                view.peer(first.opener).map_or(view.domain_seed, |peer| peer.domain_seed);
            let previous = before.openers.opener(domain_seed, first.service_seed);
            if previous != Some(first.opener) {
                self.send_report(group, now_ms, out);
            }
        }
    }

    fn send_report(&mut self, group: &[Load], now_ms: u64, out: &mut Outbox) {
        let loads = group
            .iter()
            .map(|load| FlowLoad {
                target: load.target,
                listener_key: load.listener_key,
                flows: load.flows,
            })
            .collect();
        let report = LoadReport { service_seed: group[0].service_seed, loads };
        self.sent_reports.record(group[0].opener, group[0].service_seed);
        self.deliver_report(group[0].opener, report, now_ms, out);
    }

    fn deliver_report(
        &mut self,
        opener: HostId,
        report: LoadReport,
        now_ms: u64,
        out: &mut Outbox,
    ) {
        if opener == self.me {
            return self.on_report(self.me, &report);
        }
        self.send_control(opener, &Control::Report(report), now_ms, out);
    }

    /// Counts the flows to report whose home is this host, sorted by opener and service.
    fn loads(&self, view: &View, now_ms: u64) -> Vec<Load> {
        let clock_ds = self.clock_ds(now_ms);
        let mut loads: Vec<Load> = self
            .pins
            .iter()
            .filter(|pin| {
                occupies_target(pin)
                    && clock_ds.saturating_sub(pin.opened_at_ds) >= REPORT_MIN_AGE_DS
            })
            .filter(|pin| view.owners(pin.hash).home == Some(self.me))
            .filter_map(|pin| self.load_of(view, pin))
            .collect();
        loads.sort_unstable();
        loads.dedup_by(|next, kept| {
            let is_same = (next.opener, next.service_seed, next.target, next.listener_key)
                == (kept.opener, kept.service_seed, kept.target, kept.listener_key);
            kept.flows += if is_same { next.flows } else { 0 };
            is_same
        });
        loads
    }

    fn load_of(&self, view: &View, pin: &Pin) -> Option<Load> {
        let listener = view.settings.find_listener_by_key(pin.listener_key)?;
        let service_seed = view.settings.service(listener.service).seed;
        let target = self.directory.address(pin.target)?;
        let id = view.settings.find_target(target)?;
        let domain_seed = view.settings.domain_seed(view.settings.target(id));
        let opener = view.openers.opener(domain_seed, service_seed)?;
        Some(Load { opener, service_seed, target, listener_key: pin.listener_key, flows: 1 })
    }
}

/// Whether the flow takes up a slot or connection of its target.
pub(super) fn occupies_target(pin: &Pin) -> bool {
    !matches!(pin.state, PinState::Waiting | PinState::Closing)
}

fn groups(loads: &[Load]) -> impl Iterator<Item = &[Load]> {
    loads.chunk_by(|left, right| {
        (left.opener, left.service_seed) == (right.opener, right.service_seed)
    })
}
