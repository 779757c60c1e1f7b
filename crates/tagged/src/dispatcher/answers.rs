//! Records how targets answer, and judges them by it.

use catalog::{Listener, TargetId};

use super::View;
use crate::{
    Counter, Dispatcher, Event, Segment, SegmentKind, SpeedSummary, flows::Flow, speed::Answer,
};

impl Dispatcher {
    /// How many targets are set aside because of how they answer, and how slow the slowest is.
    pub fn speed_summary(&self) -> SpeedSummary {
        self.speeds.summary()
    }

    /// The speed of `target` relative to the others of its service.
    pub fn relative_speed(&self, target: TargetId) -> f64 {
        self.speeds.relative(target)
    }

    /// Whether `target` is set aside because of how it answers.
    pub fn is_set_aside(&self, target: TargetId) -> bool {
        self.speeds.is_set_aside(target)
    }

    /// Records what the progress of a flow says about its target. `previous` is the flow before it.
    pub(super) fn record_answer(
        &mut self,
        previous: Option<&Flow>,
        segment: &Segment,
        listener: &Listener,
        now_ms: u64,
    ) {
        let Some(flow) = previous.filter(|_| self.config.weighs_answers) else { return };
        // The caller may have paused between the answer and its next request.
        let is_next_request = segment.data_bytes > 0;
        if flow.is_opening {
            let round_trip_ms = now_ms.saturating_sub(flow.added_at_ms);
            self.speeds.samples_mut().add_round_trip(listener, round_trip_ms);
        } else if flow.is_busy
            && !is_next_request
            && self.warmups.share_left(flow.target, now_ms).is_none()
        {
            let current = self.flows.get(&segment.key);
            let answer = Answer {
                answer_ms: now_ms.saturating_sub(flow.busy_since_ms),
                bytes: current.map_or(0, |current| current.acknowledged_since(flow)),
                may_be_delayed: segment.kind == SegmentKind::Data,
                queue_factor: self.queue_factor(flow.target),
            };
            self.speeds.samples_mut().add_answer(listener, flow.target, &answer);
        }
    }

    /// Judges the targets by how they answered all hosts.
    pub(super) fn judge_answers(&mut self, view: View<'_>, now_ms: u64) {
        if !self.config.weighs_answers {
            return;
        }
        for change in self.speeds.judge(view.directory, &self.reported, now_ms) {
            if change.is_set_aside {
                self.counters.count(Counter::SetAside);
            }
            self.push_event(Event::SetAside {
                target: change.target,
                is_set_aside: change.is_set_aside,
                answers: change.answers,
                failures: change.failures,
            });
        }
    }

    /// How many requests are in flight at `target`, with one that was just answered, for each that
    /// it runs concurrently.
    fn queue_factor(&self, target: TargetId) -> f64 {
        let found = self.known.binary_search_by_key(&target, |known| known.id);
        let slots = found.map_or(1, |position| self.known[position].slots);
        let own_busy = self.own_load.get(&target).map_or(0, |own_load| own_load.busy);
        let in_flight = f64::from(own_busy) + f64::from(self.reported.get(target).busy) + 1.0;
        in_flight / f64::from(slots.max(1))
    }
}
