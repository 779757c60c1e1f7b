//! What becomes of flows when their target dies, leaves or is no longer listed.

use catalog::{Directory, Presence, TargetId, TargetIndex};

use super::Warmup;
use crate::{
    CheckVerdict, Counter, Dispatcher, DueCheck, Event, HostLoad, Reason, Segment, SegmentKind,
    Standing,
};

impl Dispatcher {
    /// A new view is in force: targets that are gone are checked if this host sees flows of them,
    /// and targets that are slow after their start are noted.
    pub fn on_directory(&mut self, directory: &Directory, now_ms: u64) {
        self.revision = directory.revision;
        let is_listed = |index| directory.presence(index) != Presence::Gone;
        self.health.on_listed(|target| directory.find_target(target).is_some_and(is_listed));
        let own_load = self.own_load.keys().filter_map(|target| directory.find_target(*target));
        let gone: Vec<TargetIndex> = own_load.filter(|index| !is_listed(*index)).collect();
        for index in gone {
            let target = directory.target(index).id;
            self.health.on_gone(target, now_ms);
            if directory.is_replaced(index) || self.health.standing(target) == Standing::Dead {
                self.reset_flows(target, Reason::TargetGone);
            }
        }
        self.warmups.retain(|target, _| directory.find_target(*target).is_some());
        for position in 0..directory.target_count() {
            let target = directory.target(TargetIndex(position));
            if target.warmup_ms > 0 {
                let total_ms = target.warmup_ms;
                let ends_at_ms = now_ms + u64::from(total_ms);
                self.warmups.entry(target.id).or_insert(Warmup { ends_at_ms, total_ms });
            }
        }
    }

    /// The checks that are to be made now. `drained_at_ms` is when no packet waited last: what came
    /// before has been seen.
    pub fn take_due_checks(&mut self, drained_at_ms: u64, now_ms: u64) -> Vec<DueCheck> {
        for target in self.openings.take_unanswered(self.config.handshake_timeout_ms, drained_at_ms)
        {
            self.record_unanswered(target, now_ms);
        }
        let own_load = &self.own_load;
        let has_flows = |target| own_load.contains_key(&target);
        self.health.take_due_checks(has_flows, &self.config, now_ms)
    }

    /// A check that was started at `started_at_ms` has ended.
    pub fn on_check(
        &mut self,
        target: TargetId,
        verdict: CheckVerdict,
        started_at_ms: u64,
        now_ms: u64,
    ) {
        if self.health.on_check(target, verdict, started_at_ms, &self.config, now_ms) {
            self.on_standing_change(target);
        }
    }

    /// Another host tells what it sees.
    pub fn on_report(&mut self, load: HostLoad, now_ms: u64) {
        let dead: Vec<TargetId> =
            load.targets.iter().filter(|load| load.is_dead).map(|load| load.target).collect();
        self.reported.on_report(load, now_ms);
        for target in dead {
            let has_flows = self.own_load.contains_key(&target);
            if self.health.on_reported_dead(target, has_flows, &self.config, now_ms) {
                self.on_standing_change(target);
            }
        }
    }

    /// The flows that are to be reset at once, since their targets are gone or dead. A caller may
    /// wait for an answer without sending anything.
    pub fn take_resets(&mut self) -> Vec<Segment> {
        std::mem::take(&mut self.pending_resets)
    }

    pub(super) fn record_unanswered(&mut self, target: TargetId, now_ms: u64) {
        if self.health.on_failed_opening(target, &self.config, now_ms) {
            self.counters.count(Counter::Suspected);
            self.record_standing(target);
        }
    }

    /// A target's standing changed: others hear of it, and the flows of a dead one are reset.
    pub(super) fn on_standing_change(&mut self, target: TargetId) {
        self.has_load_changes = true;
        self.record_standing(target);
        if self.health.standing(target) == Standing::Dead {
            self.has_new_deaths = true;
            self.reset_flows(target, Reason::TargetDead);
        }
    }

    pub(super) fn reset_flows(&mut self, target: TargetId, reason: Reason) {
        let (revision, view_age_ms) = (self.revision, 0);
        for (key, acknowledged) in self.flows.open_flows_to(target) {
            let segment = Segment {
                key,
                kind: SegmentKind::Data,
                tag: None,
                sequence: 0,
                acknowledged,
                data_bytes: 0,
            };
            self.remove_flow(&segment);
            self.counters.count_reset(reason);
            self.push_event(Event::Reset {
                key,
                target: Some(target),
                reason,
                revision,
                view_age_ms,
            });
            self.pending_resets.push(segment);
        }
    }

    pub(super) fn record_standing(&mut self, target: TargetId) {
        let standing = self.health.standing(target);
        if standing == Standing::Dead {
            self.counters.count(Counter::Dead);
        }
        let (failed_openings, stalled_flows) = self.health.evidence(target);
        self.push_event(Event::Standing { target, standing, failed_openings, stalled_flows });
    }
}
