//! The flows whose packets passed through this host recently.
//!
//! Records are soft state: losing one affects load counts, but never where a packet is forwarded.

use catalog::TargetId;
use hashbrown::HashMap;

use crate::{FlowKey, Segment, SegmentKind};

/// The state of one flow.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Flow {
    pub(crate) target: TargetId,
    /// When this host saw its first packet.
    pub(crate) added_at_ms: u64,
    pub(crate) last_packet_ms: u64,
    last_sequence: u32,
    last_acknowledged: u32,
    /// Whether only its opening was seen, which acknowledges nothing from the target yet.
    pub(crate) is_opening: bool,
    /// How many times the caller retransmitted its last data without an answer.
    pub(crate) repeats: u8,
    /// Whether a request is in flight: data was sent and no answer acknowledged since.
    pub(crate) is_busy: bool,
    /// When the request in flight was first sent.
    pub(crate) busy_since_ms: u64,
    /// Whether no packet has come for so long that the flow may have moved to another host. An idle
    /// flow does not count as load, but is reset if its target dies.
    pub(crate) is_idle: bool,
}

impl Flow {
    /// How many bytes of the target the caller acknowledged since `previous`.
    pub(crate) fn acknowledged_since(&self, previous: &Flow) -> u32 {
        // The first acknowledgement covers the target's initial sequence number.
        if previous.is_opening {
            return 0;
        }
        let bytes = self.last_acknowledged.wrapping_sub(previous.last_acknowledged) as i32;
        bytes.max(0) as u32
    }
}

/// What a packet reveals about the target of its flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum FlowSignal {
    /// Nothing.
    None,
    /// The caller acknowledged new data from the target.
    Progress,
    /// The caller sent the same data again; this is the n-th retransmission.
    Retransmission(u8),
}

/// The flows that this host sees.
#[derive(Debug, Default)]
pub(crate) struct FlowTable {
    flows: HashMap<FlowKey, Flow>,
}

impl FlowTable {
    pub(crate) fn get(&self, key: &FlowKey) -> Option<&Flow> {
        self.flows.get(key)
    }

    /// The established flows to `target`, each with its caller's last acknowledgement number.
    ///
    /// Flows of which only the opening was seen are left out: a copy of the opening may have
    /// established the flow at another target through another host.
    pub(crate) fn open_flows_to(&self, target: TargetId) -> Vec<(FlowKey, u32)> {
        let is_open = |flow: &Flow| flow.target == target && !flow.is_opening;
        let flows = self.flows.iter().filter(|(_, flow)| is_open(flow));
        flows.map(|(key, flow)| (*key, flow.last_acknowledged)).collect()
    }

    /// The flows with a request in flight, each with its target and the request's age.
    pub(crate) fn busy(&self, now_ms: u64) -> impl Iterator<Item = (&FlowKey, TargetId, u64)> {
        let busy = self.flows.iter().filter(|(_, flow)| flow.is_busy && !flow.is_idle);
        busy.map(move |(key, flow)| (key, flow.target, now_ms.saturating_sub(flow.busy_since_ms)))
    }

    pub(crate) fn len(&self) -> usize {
        self.flows.len()
    }

    pub(crate) fn remove(&mut self, key: &FlowKey) -> Option<Flow> {
        self.flows.remove(key)
    }

    /// Adds a flow by its opening, or by the first packet seen here of a flow opened elsewhere.
    pub(crate) fn add(&mut self, segment: &Segment, target: TargetId, now_ms: u64) {
        let flow = Flow {
            target,
            added_at_ms: now_ms,
            last_packet_ms: now_ms,
            last_sequence: segment.sequence,
            last_acknowledged: segment.acknowledged,
            is_opening: matches!(segment.kind, SegmentKind::Open { .. }),
            repeats: 0,
            is_busy: segment.data_bytes > 0,
            busy_since_ms: now_ms,
            is_idle: false,
        };
        self.flows.insert(segment.key, flow);
    }

    /// Updates a flow from one of its packets.
    pub(crate) fn update(&mut self, segment: &Segment, now_ms: u64) -> FlowSignal {
        let Some(flow) = self.flows.get_mut(&segment.key) else { return FlowSignal::None };
        flow.last_packet_ms = now_ms;
        flow.is_idle = false;
        if matches!(segment.kind, SegmentKind::Open { .. }) {
            return FlowSignal::None;
        }
        // The first acknowledgement covers the target's initial sequence number, which is arbitrary
        // and cannot be compared with anything.
        let is_opened = std::mem::take(&mut flow.is_opening);
        // Serial number arithmetic: sequence numbers wrap around.
        let has_advanced =
            is_opened || segment.acknowledged.wrapping_sub(flow.last_acknowledged) as i32 > 0;
        let is_new_data = segment.sequence.wrapping_sub(flow.last_sequence) as i32 > 0;
        let is_first_transmission = segment.data_bytes > 0 && (is_new_data || !flow.is_busy);
        if has_advanced {
            flow.last_acknowledged = segment.acknowledged;
            flow.repeats = 0;
            flow.is_busy = segment.data_bytes > 0;
            flow.busy_since_ms = now_ms;
            flow.last_sequence = segment.sequence;
            return FlowSignal::Progress;
        }
        if is_first_transmission {
            flow.last_sequence = segment.sequence;
            if !flow.is_busy {
                flow.busy_since_ms = now_ms;
            }
            flow.is_busy = true;
            flow.repeats = 0;
            return FlowSignal::None;
        }
        if segment.data_bytes > 0 && segment.sequence == flow.last_sequence {
            flow.repeats = flow.repeats.saturating_add(1);
            return FlowSignal::Retransmission(flow.repeats);
        }
        FlowSignal::None
    }

    /// Marks flows without a packet for `idle_ms` as idle and removes those without one for
    /// `retention_ms`. `on_change` is called for each of them with its state before the change.
    pub(crate) fn expire(
        &mut self,
        idle_ms: u64,
        retention_ms: u64,
        now_ms: u64,
        mut on_change: impl FnMut(&Flow),
    ) {
        self.flows.retain(|_, flow| {
            let silence_ms = now_ms.saturating_sub(flow.last_packet_ms);
            let is_kept = silence_ms < retention_ms;
            if !is_kept || (silence_ms >= idle_ms && !flow.is_idle) {
                on_change(flow);
                flow.is_idle = true;
            }
            is_kept
        });
    }
}
