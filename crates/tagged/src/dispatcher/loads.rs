//! The load of each target by the flows of this host, and its reports to other hosts.

use catalog::TargetId;
use hashbrown::HashMap;

use super::SWEEP_INTERVAL_MS;
use crate::{
    AnswerStats, Dispatcher, Segment, SegmentKind, Standing, TargetLoad, View, flows::Flow,
};

/// A request is overdue when it has been in flight for more than this many times the listener's
/// `aim_ms`. Most requests take a quarter of that.
const OVERDUE_AIM_FACTOR: u64 = 2;

/// How many requests an overdue one counts as. This is enough to keep new flows away from its
/// target even if the others have 30 flows per slot, as on larger sites.
pub(super) const OVERDUE_WEIGHT: u32 = 20;

/// This host's load report to other hosts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LoadUpdate {
    /// The load of each target, sorted by target.
    pub loads: Vec<TargetLoad>,
    /// Whether a target was found dead, so that the report should be sent at once.
    pub is_urgent: bool,
}

/// The load of one target by the flows of this host.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct OwnLoad {
    pub(super) flows: u32,
    /// Those of `flows` with a request in flight.
    pub(super) busy: u32,
    /// The idle flows, which may have moved to another host. Not included in `flows`.
    pub(super) idle: u32,
    /// The overdue requests.
    pub(super) overdue: u32,
}

impl OwnLoad {
    /// The requests in flight, with extra weight for overdue ones.
    ///
    /// Load pattern: a target that hangs accepts requests and answers none, and quickly rejects
    /// those that do not fit in its queue. By its number of flows, it looks no fuller than others.
    pub(super) fn weighted_busy(&self) -> u32 {
        self.busy + OVERDUE_WEIGHT * self.overdue
    }

    pub(super) fn add(&mut self, flow: &Flow) {
        match flow.is_idle {
            true => self.idle += 1,
            false => {
                self.flows += 1;
                self.busy += u32::from(flow.is_busy);
            }
        }
    }

    pub(super) fn subtract(&mut self, flow: &Flow) {
        match flow.is_idle {
            true => self.idle = self.idle.saturating_sub(1),
            false => {
                self.flows = self.flows.saturating_sub(1);
                self.busy = self.busy.saturating_sub(u32::from(flow.is_busy));
            }
        }
    }
}

impl Dispatcher {
    /// Recounts the overdue requests of each target.
    pub(super) fn count_overdue(&mut self, view: View<'_>, now_ms: u64) {
        self.own_load.values_mut().for_each(|own_load| own_load.overdue = 0);
        for (key, target, in_flight_ms) in self.flows.busy(now_ms) {
            let Some(listener) = view.directory.find_listener(key.listener) else { continue };
            if in_flight_ms > OVERDUE_AIM_FACTOR * u64::from(listener.aim_ms) {
                self.own_load.entry(target).or_default().overdue += 1;
                self.has_load_changes = true;
                // Each request counts in the first sweep that finds it overdue.
                let overdue_ms = in_flight_ms - OVERDUE_AIM_FACTOR * u64::from(listener.aim_ms);
                if self.config.weighs_answers && overdue_ms <= SWEEP_INTERVAL_MS {
                    self.speeds.samples_mut().add_unanswered(target);
                }
            }
        }
    }

    /// The load report for other hosts, if the load changed since the last call.
    pub fn take_load_update(&mut self) -> Option<LoadUpdate> {
        let is_urgent = std::mem::take(&mut self.has_new_deaths);
        let loads = std::mem::take(&mut self.has_load_changes).then(|| self.loads())?;
        Some(LoadUpdate { loads, is_urgent })
    }

    /// The load of each target with flows of this host, and of each dead one, sorted by target.
    pub fn loads(&self) -> Vec<TargetLoad> {
        let mut loads: Vec<TargetLoad> = self
            .own_load
            .iter()
            .map(|(target, own_load)| TargetLoad {
                target: *target,
                flows: own_load.flows,
                busy: own_load.weighted_busy(),
                is_dead: self.health.standing(*target) == Standing::Dead,
                answers: self.speeds.own_stats(*target),
            })
            .collect();
        let dead_without_flows =
            self.health.dead().filter(|target| !self.own_load.contains_key(target));
        loads.extend(dead_without_flows.map(|target| TargetLoad {
            target,
            flows: 0,
            busy: 0,
            is_dead: true,
            answers: AnswerStats::default(),
        }));
        let answered_without_flows = self.speeds.targets().filter(|target| {
            !self.own_load.contains_key(target) && self.health.standing(*target) != Standing::Dead
        });
        loads.extend(answered_without_flows.map(|target| TargetLoad {
            target,
            flows: 0,
            busy: 0,
            is_dead: false,
            answers: self.speeds.own_stats(target),
        }));
        loads.sort_unstable_by_key(|load| load.target);
        loads
    }

    pub(super) fn add_flow(&mut self, segment: &Segment, target: TargetId, now_ms: u64) {
        if self.flows.len() >= self.config.max_flows || segment.kind == SegmentKind::Abort {
            return;
        }
        self.flows.add(segment, target, now_ms);
        let own_load = self.own_load.entry(target).or_default();
        self.flows.get(&segment.key).into_iter().for_each(|flow| own_load.add(flow));
        self.has_load_changes = true;
    }

    pub(super) fn remove_flow(&mut self, segment: &Segment) {
        if let Some(flow) = self.flows.remove(&segment.key) {
            subtract_flow(&mut self.own_load, &flow);
            self.has_load_changes = true;
        }
    }
}

/// Subtracts `flow` from the load of its target.
pub(super) fn subtract_flow(own_load: &mut HashMap<TargetId, OwnLoad>, flow: &Flow) {
    let Some(load) = own_load.get_mut(&flow.target) else { return };
    load.subtract(flow);
    if load.flows + load.idle == 0 {
        own_load.remove(&flow.target);
    }
}
