//! Handles openings: copies, retries and refusals.

use catalog::{Presence, Target, TargetId};

use super::{View, placement::Unplaced};
use crate::{Counter, Dispatcher, Event, Reason, Segment, Verdict};

impl Dispatcher {
    /// Decides on the opening of a flow, of which the caller has sent `copy` copies before.
    pub(super) fn on_opening(
        &mut self,
        view: View<'_>,
        segment: &Segment,
        copy: u32,
        now_ms: u64,
    ) -> Verdict {
        if let Some(verdict) = self.forward_late_copy(view, segment, now_ms) {
            return verdict;
        }
        if !view.can_place_flows {
            return Verdict::Drop(Reason::StaleView);
        }
        let Some(listener) = view.directory.find_listener(segment.key.listener) else {
            return self.refuse_opening(view, Reason::NoListener, copy);
        };
        let tried = match self.start_retry(view, segment, now_ms) {
            Ok(tried) => tried,
            Err(verdict) => return verdict,
        };
        let index = match self.place_flow(view, listener, &tried, now_ms) {
            Ok(index) => index,
            Err(Unplaced::Waiting(reason)) => return Verdict::Drop(reason),
            Err(Unplaced::Refused(reason)) => return self.refuse_opening(view, reason, copy),
        };
        let target = view.directory.target(index);
        let Some(tag) = view.directory.tag_for(index) else {
            return Verdict::Drop(Reason::NoTarget);
        };
        self.record_opened(view, segment, target, copy, now_ms);
        Verdict::Forward { target: target.id, address: target.address, tag }
    }

    /// Returns the targets that earlier copies of an opening were sent to without an answer; or the
    /// verdict on a copy that comes too early for a retry.
    fn start_retry(
        &mut self,
        view: View<'_>,
        segment: &Segment,
        now_ms: u64,
    ) -> Result<Vec<TargetId>, Verdict> {
        let Some(opening) = self.openings.get(&segment.key) else { return Ok(Vec::new()) };
        let last = opening.tried.last().copied();
        let is_waiting = now_ms < opening.sent_at_ms + self.config.opening_retry_ms;
        let is_counted = opening.is_counted;
        // An early copy is a duplicate or was delayed in the network: no retry.
        if is_waiting
            && let Some(last) = last.filter(|last| !is_evacuated(view, *last))
            && let Some(verdict) = forward_to(view, last)
        {
            return Err(verdict);
        }
        let tried = opening.tried.clone();
        if let Some(last) = last {
            self.counters.count(Counter::Retried);
            self.remove_flow(segment);
            if !is_counted && !is_waiting {
                self.record_unanswered(last, now_ms);
            }
        }
        Ok(tried)
    }

    /// Records that an opening is sent to `target`.
    fn record_opened(
        &mut self,
        view: View<'_>,
        segment: &Segment,
        target: &Target,
        copy: u32,
        now_ms: u64,
    ) {
        self.openings.record_sent(segment.key, target.id, now_ms);
        if self.warmups.is_limited(target.id, now_ms) {
            self.counters.count(Counter::OpenedCold);
        }
        self.warmups.record_opening(target.id, now_ms);
        self.add_flow(segment, target.id, now_ms);
        self.counters.count(Counter::Opened);
        if target.domain_seed != self.config.domain_seed {
            self.counters.count(Counter::LeftDomain);
        }
        let flows = self.own_load.get(&target.id).map_or(0, |own_load| own_load.flows);
        self.push_event(Event::Opened {
            key: segment.key,
            target: target.id,
            copy,
            flows,
            is_near: target.domain_seed == self.config.domain_seed,
            revision: view.directory.revision,
            view_age_ms: view.age_ms,
        });
    }

    /// Forwards a copy of an opening to the target at which its flow is established by now. Another
    /// target would take it for a new flow, so this holds also if the target is evacuated meanwhile.
    fn forward_late_copy(&self, view: View<'_>, segment: &Segment, now_ms: u64) -> Option<Verdict> {
        let flow = self.flows.get(&segment.key).filter(|flow| !flow.is_opening)?;
        let is_recent = now_ms < flow.added_at_ms + self.config.opening_retention_ms;
        is_recent.then(|| forward_to(view, flow.target)).flatten()
    }

    /// Refuses an opening. Another host may have forwarded an earlier copy, so that the flow may be
    /// established; only the first copy can be refused truthfully.
    pub(super) fn refuse_opening(&self, view: View<'_>, reason: Reason, copy: u32) -> Verdict {
        if copy > 0 {
            return Verdict::Drop(reason);
        }
        self.refuse(view, reason)
    }
}

/// Whether the failure domain of `target` is being evacuated.
pub(super) fn is_evacuated(view: View<'_>, target: TargetId) -> bool {
    if view.directory.evacuations().is_empty() {
        return false;
    }
    let index = view.directory.find_target(target);
    index.is_some_and(|index| view.directory.is_evacuated(view.directory.target(index).domain_seed))
}

/// Forwards to `target` unless it is gone or unknown.
fn forward_to(view: View<'_>, target: TargetId) -> Option<Verdict> {
    let index = view.directory.find_target(target)?;
    let tag = view.directory.tag_for(index)?;
    let address = view.directory.target(index).address;
    (view.directory.presence(index) != Presence::Gone).then_some(Verdict::Forward {
        target,
        address,
        tag,
    })
}
