//! Draws which new flows leave the failure domain, and counts what crosses.

use catalog::{Listener, TargetId};
use rand::RngExt;

use super::View;
use crate::{Candidate, Counter, Dispatcher, Event, ExitInputs, ExitRule, Segment, flows::Flow};

impl Dispatcher {
    /// Draws whether a new flow leaves the failure domain.
    pub(super) fn exit_rule(
        &mut self,
        view: View<'_>,
        service_seed: u64,
        listener: &Listener,
        candidates: &[Candidate],
        now_ms: u64,
    ) -> ExitRule {
        let Some(settings) = self.config.domain_exit else { return ExitRule::FixedExcess };
        let busy_ratio = match self.domain_exits.busy_ratio(service_seed, now_ms) {
            Some(busy_ratio) => busy_ratio,
            None => {
                let busy_ratio = self.busy_ratio(view, candidates);
                self.domain_exits.set_busy_ratio(service_seed, busy_ratio, now_ms)
            }
        };
        let inputs = ExitInputs {
            listener: listener.address,
            candidates,
            busy_ratio,
            has_far_loads: self.reported.has_far_loads(),
        };
        if let Some(change) = self.domain_exits.adjust(settings, inputs, now_ms) {
            self.push_event(Event::DomainExit { listener: listener.address, change });
        }
        self.domain_exits.rule(listener.address, self.rng.random())
    }

    /// The flows with a request in flight, as a fraction of all flows of the candidates.
    fn busy_ratio(&self, view: View<'_>, candidates: &[Candidate]) -> f64 {
        let (mut flows, mut busy) = (0, 0);
        for candidate in candidates {
            let target = view.directory.target(candidate.index).id;
            let own_load = self.own_load.get(&target).copied().unwrap_or_default();
            let reported = self.reported.get(target);
            flows += own_load.flows + reported.flows;
            // An overdue request counts several times.
            busy += (own_load.busy + reported.busy).min(own_load.flows + reported.flows);
        }
        f64::from(busy) / f64::from(flows.max(1))
    }

    /// Counts the bytes of a packet and of the answer that it acknowledges. `previous` is the flow
    /// before the packet came.
    pub(super) fn record_crossing(
        &mut self,
        segment: &Segment,
        previous: Option<&Flow>,
        target: TargetId,
    ) {
        let flow = self.flows.get(&segment.key);
        let (true, Some(previous), Some(flow)) =
            (self.config.domain_exit.is_some(), previous, flow)
        else {
            return;
        };
        let bytes = flow.acknowledged_since(previous) + u32::from(segment.data_bytes);
        self.domain_exits.record_bytes(segment.key.listener, bytes);
        let known = self.known.binary_search_by_key(&target, |known| known.id);
        if known.is_ok_and(|known| self.known[known].domain_seed != self.config.domain_seed) {
            self.counters.add(Counter::LeftDomainBytes, u64::from(bytes));
        }
    }
}
