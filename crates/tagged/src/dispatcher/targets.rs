//! Handles targets that die, leave, start or are no longer listed.

use catalog::{Directory, Presence, TargetId, TargetIndex};
use rand::seq::IndexedRandom;
use routing::HostId;

use super::KnownTarget;
use crate::{
    CheckVerdict, Counter, Dispatcher, DueCheck, Event, HostLoad, Reason, Segment, SegmentKind,
    Standing, StandingCause,
};

impl Dispatcher {
    /// Applies a new directory: unlisted targets to which this host sees flows are checked, flows
    /// to replaced or dead ones are reset, and the warm-ups of new targets begin.
    pub fn on_directory(&mut self, directory: &Directory, now_ms: u64) {
        self.revision = directory.revision;
        self.update_known(directory, now_ms);
        let is_listed = |index| directory.presence(index) != Presence::Gone;
        self.health.on_listed(|target| directory.find_target(target).is_some_and(is_listed));
        let targets_with_flows =
            self.own_load.keys().filter_map(|target| directory.find_target(*target));
        let gone: Vec<TargetIndex> =
            targets_with_flows.filter(|index| !is_listed(*index)).collect();
        for index in gone {
            let target = directory.target(index).id;
            self.record_gone(target);
            if directory.is_replaced(index) || self.health.standing(target) == Standing::Dead {
                self.reset_flows(target, Reason::TargetGone);
            }
        }
        self.warmups.on_directory(directory, self.config.warmup_limit, now_ms);
    }

    /// Applies the hosts that this host knows, sorted by id, each with its failure domain. They
    /// include this host, `me`.
    pub fn on_members(&mut self, me: HostId, members: &[(HostId, u64)], now_ms: u64) {
        self.warmups.on_members(me, members, now_ms);
    }

    /// Notes the targets of `directory`, and forgets the health of those that have started again.
    fn update_known(&mut self, directory: &Directory, now_ms: u64) {
        let known = (0..directory.target_count()).map(TargetIndex).map(|index| {
            let target = directory.target(index);
            KnownTarget {
                id: target.id,
                domain_seed: target.domain_seed,
                started_at_ms: target.started_at_ms,
                slots: target.slots,
                is_listed: directory.presence(index) == Presence::Listed,
            }
        });
        let previous = std::mem::replace(&mut self.known, known.collect());
        for earlier in previous {
            let found = self.known.binary_search_by_key(&earlier.id, |target| target.id);
            if found.is_ok_and(|index| self.known[index].started_at_ms != earlier.started_at_ms) {
                self.health.forget(earlier.id, now_ms);
                self.speeds.forget(earlier.id, now_ms);
            }
        }
    }

    /// Returns the health checks that are due now. `drained_at_ms` is when the socket was last
    /// empty: all packets that came before have been handled, so only openings that were unanswered
    /// at that time count.
    pub fn take_due_checks(&mut self, drained_at_ms: u64, now_ms: u64) -> Vec<DueCheck> {
        for target in self.openings.take_unanswered(self.config.handshake_timeout_ms, drained_at_ms)
        {
            self.record_unanswered(target, now_ms);
        }
        for target in self.health.expire_verdicts(&self.config, now_ms) {
            self.has_load_changes = true;
            self.record_standing(target, StandingCause::Expiry);
        }
        let own_load = &self.own_load;
        let has_flows = |target| own_load.contains_key(&target);
        let due = self.health.take_due_checks(has_flows, &self.config, now_ms);
        due.into_iter()
            .map(|target| DueCheck { target, reference: self.choose_reference(target, now_ms) })
            .collect()
    }

    /// Chooses the reference target for a check of `target`.
    ///
    /// Without a target that answered recently, it is drawn at random, preferably from another
    /// failure domain than that of `target`: one that is dead too decides nothing.
    fn choose_reference(&mut self, target: TargetId, now_ms: u64) -> Option<TargetId> {
        if let Some(reference) = self.health.find_reference(target, &self.config, now_ms) {
            return Some(reference);
        }
        let found = self.known.binary_search_by_key(&target, |known| known.id);
        let domain_seed = found.ok().map(|index| self.known[index].domain_seed);
        let rank = |other: &KnownTarget| {
            let is_same_domain = Some(other.domain_seed) == domain_seed;
            (self.health.standing(other.id) as u8, is_same_domain)
        };
        let others = || self.known.iter().filter(|other| other.id != target && other.is_listed);
        let best = others().map(rank).min()?;
        let candidates: Vec<TargetId> =
            others().filter(|other| rank(other) == best).map(|other| other.id).collect();
        candidates.choose(&mut self.rng).copied()
    }

    /// Applies the outcome of a check that was started at `started_at_ms`.
    pub fn on_check(
        &mut self,
        target: TargetId,
        verdict: CheckVerdict,
        started_at_ms: u64,
        now_ms: u64,
    ) {
        let has_died = self.health.has_died(target);
        if self.health.on_check(target, verdict, started_at_ms, &self.config, now_ms) {
            self.has_new_deaths |= !has_died && self.health.standing(target) == Standing::Dead;
            self.on_standing_change(target, StandingCause::Check);
        }
    }

    /// Applies a load report of another host.
    pub fn on_report(&mut self, load: HostLoad, now_ms: u64) {
        let dead: Vec<TargetId> =
            load.targets.iter().filter(|load| load.is_dead).map(|load| load.target).collect();
        let cause = StandingCause::Report(load.host);
        self.reported.on_report(load, now_ms);
        for target in dead {
            let has_flows = self.own_load.contains_key(&target);
            if self.health.on_reported_dead(target, has_flows, &self.config, now_ms) {
                self.on_standing_change(target, cause);
            }
        }
    }

    /// Takes the flows to be reset because their targets are gone or dead. This does not wait for
    /// the callers' next packets, since a caller may wait for an answer without sending anything.
    pub fn take_resets(&mut self) -> Vec<Segment> {
        std::mem::take(&mut self.pending_resets)
    }

    pub(super) fn record_unanswered(&mut self, target: TargetId, now_ms: u64) {
        if self.health.on_failed_opening(target, &self.config, now_ms) {
            self.counters.count(Counter::Suspected);
            self.record_standing(target, StandingCause::Evidence);
        }
    }

    /// Records that the store no longer lists `target`, to which this host sees flows.
    pub(super) fn record_gone(&mut self, target: TargetId) {
        if self.health.on_gone(target) {
            self.record_standing(target, StandingCause::Unlisted);
        }
    }

    /// Reports a changed standing to other hosts and resets the flows of a dead target.
    fn on_standing_change(&mut self, target: TargetId, cause: StandingCause) {
        self.has_load_changes = true;
        self.record_standing(target, cause);
        if self.health.standing(target) == Standing::Dead {
            self.reset_flows(target, Reason::TargetDead);
        }
    }

    /// Resets the established flows to `target`.
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

    pub(super) fn record_standing(&mut self, target: TargetId, cause: StandingCause) {
        let standing = self.health.standing(target);
        if standing == Standing::Dead {
            self.counters.count(Counter::Dead);
        }
        let (failed_openings, stalled_flows) = self.health.evidence(target);
        self.push_event(Event::Standing {
            target,
            standing,
            cause,
            failed_openings,
            stalled_flows,
        });
    }
}
