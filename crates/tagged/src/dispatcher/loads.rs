//! How many flows and requests each target has, as this host sees it and tells others.

use catalog::TargetId;
use hashbrown::HashMap;

use crate::{Dispatcher, Segment, SegmentKind, Standing, TargetLoad, View, flows::Flow};

/// By how many times its aim a request has to be under way to be overdue. Most take a quarter of it.
const OVERDUE_AIM_FACTOR: u64 = 2;

/// How many requests an overdue one counts as: as many as keep new flows away while other targets of
/// the users' larger sites hold 30 flows for each slot.
const OVERDUE_WEIGHT: u32 = 20;

/// What others should hear of this host's flows.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LoadUpdate {
    /// The flows of each target, sorted by target.
    pub loads: Vec<TargetLoad>,
    /// Whether a target was found dead, so that others should hear of it at once.
    pub is_urgent: bool,
}

/// The flows of one target that this host sees.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct OwnLoad {
    pub(super) flows: u32,
    /// Those of them with a request under way.
    pub(super) busy: u32,
    /// The flows that may have moved to another host.
    pub(super) idle: u32,
    /// The requests that are under way for much longer than they should.
    pub(super) overdue: u32,
}

impl OwnLoad {
    /// The requests under way, as placement counts them.
    ///
    /// Load pattern: a target that hangs takes requests, answers none, and turns away what its queue
    /// does not hold, quickly. It looks no fuller than others.
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
    pub(super) fn count_overdue(&mut self, view: View<'_>, now_ms: u64) {
        self.own_load.values_mut().for_each(|own_load| own_load.overdue = 0);
        for (key, target, under_way_ms) in self.flows.busy(now_ms) {
            let Some(listener) = view.directory.find_listener(key.listener) else { continue };
            if under_way_ms > OVERDUE_AIM_FACTOR * u64::from(listener.aim_ms) {
                self.own_load.entry(target).or_default().overdue += 1;
                self.has_load_changes = true;
            }
        }
    }

    /// The flows that this host sees, for the others, if they changed since the last call.
    pub fn take_load_update(&mut self) -> Option<LoadUpdate> {
        let is_urgent = std::mem::take(&mut self.has_new_deaths);
        let loads = std::mem::take(&mut self.has_load_changes).then(|| self.loads())?;
        Some(LoadUpdate { loads, is_urgent })
    }

    /// The flows that this host sees, sorted by target.
    pub fn loads(&self) -> Vec<TargetLoad> {
        let mut loads: Vec<TargetLoad> = self
            .own_load
            .iter()
            .map(|(target, own_load)| TargetLoad {
                target: *target,
                flows: own_load.flows,
                busy: own_load.weighted_busy(),
                is_dead: self.health.standing(*target) == Standing::Dead,
            })
            .collect();
        let idle = self.health.dead().filter(|target| !self.own_load.contains_key(target));
        loads.extend(idle.map(|target| TargetLoad { target, flows: 0, busy: 0, is_dead: true }));
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

pub(super) fn subtract_flow(own_load: &mut HashMap<TargetId, OwnLoad>, flow: &Flow) {
    let Some(load) = own_load.get_mut(&flow.target) else { return };
    load.subtract(flow);
    if load.flows + load.idle == 0 {
        own_load.remove(&flow.target);
    }
}
