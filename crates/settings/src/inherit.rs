//! Effective policies: own values, then inherited ones, then the defaults.

use crate::{Kind, ListenerNode, Policy, ServiceNode, TargetNode, TargetState, Tree, UpstreamNode};

/// The effective policy of a listener.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ListenerPolicy {
    /// Whether flows are requests or sessions.
    pub kind: Kind,
    /// The urgency of the class; 0 is the most urgent.
    pub priority: u8,
    /// The share of the service's slots that the class can always get, in percent.
    pub guaranteed_percent: u8,
    /// The share of the service's slots that the class never exceeds, in percent.
    pub cap_percent: u8,
    /// How many openings may wait for a slot.
    pub queue_limit: u32,
    /// How long an opening may wait for a slot, in milliseconds.
    pub queue_deadline_ms: u64,
    /// After how long without a packet a flow is forgotten, in milliseconds.
    pub idle_timeout_ms: u64,
    /// After how long of unanswered retransmission a flow is reset, in milliseconds.
    pub silent_timeout_ms: u64,
}

impl Default for ListenerPolicy {
    fn default() -> ListenerPolicy {
        ListenerPolicy {
            kind: Kind::Request,
            priority: 1,
            guaranteed_percent: 0,
            cap_percent: 100,
            queue_limit: 256,
            queue_deadline_ms: 2_000,
            idle_timeout_ms: 4 * 60 * 60 * 1000,
            silent_timeout_ms: 15_000,
        }
    }
}

impl ListenerPolicy {
    /// Replaces the absent values of `policy` by the defaults.
    pub fn from_policy(policy: &Policy) -> ListenerPolicy {
        let default = ListenerPolicy::default();
        ListenerPolicy {
            kind: policy.kind.unwrap_or(default.kind),
            priority: policy.priority.unwrap_or(default.priority),
            guaranteed_percent: policy.guaranteed_percent.unwrap_or(default.guaranteed_percent),
            cap_percent: policy.cap_percent.unwrap_or(default.cap_percent),
            queue_limit: policy.queue_limit.unwrap_or(default.queue_limit),
            queue_deadline_ms: policy.queue_deadline_ms.unwrap_or(default.queue_deadline_ms),
            idle_timeout_ms: policy.idle_timeout_ms.unwrap_or(default.idle_timeout_ms),
            silent_timeout_ms: policy.silent_timeout_ms.unwrap_or(default.silent_timeout_ms),
        }
    }
}

/// The effective policy of a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TargetPolicy {
    /// How many requests the target runs at a time.
    pub slots: u32,
    /// How many flows the target holds at a time.
    pub connections: u32,
    /// The target's share of new flows relative to its siblings.
    pub weight: u32,
    /// How long a new target is ramped up, in milliseconds.
    pub slow_start_ms: u64,
    /// Whether the target takes new flows.
    pub state: TargetState,
}

impl Default for TargetPolicy {
    fn default() -> TargetPolicy {
        TargetPolicy {
            slots: 3,
            connections: 5_000,
            weight: 100,
            slow_start_ms: 10_000,
            state: TargetState::Active,
        }
    }
}

impl TargetPolicy {
    /// Replaces the absent values of `policy` by the defaults.
    pub fn from_policy(policy: &Policy) -> TargetPolicy {
        let default = TargetPolicy::default();
        TargetPolicy {
            slots: policy.slots.unwrap_or(default.slots),
            connections: policy.connections.unwrap_or(default.connections),
            weight: policy.weight.unwrap_or(default.weight),
            slow_start_ms: policy.slow_start_ms.unwrap_or(default.slow_start_ms),
            state: policy.state.unwrap_or(default.state),
        }
    }
}

/// The effective policy of `listener`, inherited from `service` and the tree.
pub fn listener_policy(
    tree: &Tree,
    service: &ServiceNode,
    listener: &ListenerNode,
) -> ListenerPolicy {
    let inherited = service.policy.inherit(&tree.policy);
    ListenerPolicy::from_policy(&listener.policy.inherit(&inherited))
}

/// The effective policy of `target`, inherited from `upstream`, `service` and the tree.
pub fn target_policy(
    tree: &Tree,
    service: &ServiceNode,
    upstream: &UpstreamNode,
    target: &TargetNode,
) -> TargetPolicy {
    let inherited = upstream.policy.inherit(&service.policy.inherit(&tree.policy));
    TargetPolicy::from_policy(&target.policy.inherit(&inherited))
}
