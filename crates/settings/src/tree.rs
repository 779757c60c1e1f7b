//! The JSON format of the settings tree. Durations are in milliseconds, shares in percent.

use std::{collections::BTreeMap, net::IpAddr};

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// The whole tree of settings.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema, Default)]
#[serde(deny_unknown_fields)]
pub struct Tree {
    /// How flows are spread over hosts.
    #[serde(default)]
    pub routing: Routing,
    /// Defaults that every service inherits.
    #[serde(default)]
    pub policy: Policy,
    /// The failure domains by name.
    pub failure_domains: BTreeMap<String, FailureDomain>,
    /// The services by name.
    pub services: BTreeMap<String, ServiceNode>,
}

/// How flows are spread over hosts. These values cannot change while flows are open.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Routing {
    /// The number of buckets, a power of two.
    #[schemars(range(min = 16, max = 1_048_576))]
    pub bucket_count: u32,
    /// The secret of the flow hash: 32 hexadecimal digits.
    #[schemars(regex(pattern = "^[0-9a-f]{32}$"))]
    pub flow_hash_key: String,
}

impl Default for Routing {
    fn default() -> Routing {
        Routing { bucket_count: 4096, flow_hash_key: "00000000000000000000000000000000".to_owned() }
    }
}

/// One failure domain.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema, Default)]
#[serde(deny_unknown_fields)]
pub struct FailureDomain {
    /// The region that the failure domain lies in.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub region: Option<String>,
}

/// One service: its listeners, and the upstreams that serve it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema, Default)]
#[serde(deny_unknown_fields)]
pub struct ServiceNode {
    /// What this service overrides.
    #[serde(default, skip_serializing_if = "Policy::is_empty")]
    pub policy: Policy,
    /// The listeners by name. Each one is a class of work.
    pub listeners: BTreeMap<String, ListenerNode>,
    /// The upstreams by name.
    pub upstreams: BTreeMap<String, UpstreamNode>,
}

/// A service address and port that callers connect to.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ListenerNode {
    /// The service address.
    pub address: IpAddr,
    /// The service port.
    #[schemars(range(min = 1))]
    pub port: u16,
    /// The transport protocol.
    #[serde(default)]
    pub transport: Transport,
    /// The port on the targets that serves this listener.
    #[schemars(range(min = 1))]
    pub target_port: u16,
    /// What this listener overrides.
    #[serde(default, skip_serializing_if = "Policy::is_empty")]
    pub policy: Policy,
}

/// A group of targets in one failure domain.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct UpstreamNode {
    /// The name of the failure domain that the targets live in.
    pub failure_domain: String,
    /// What this upstream overrides.
    #[serde(default, skip_serializing_if = "Policy::is_empty")]
    pub policy: Policy,
    /// The targets by name.
    pub targets: BTreeMap<String, TargetNode>,
}

/// One instance of an upstream.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct TargetNode {
    /// The target's address.
    pub address: IpAddr,
    /// What this target overrides.
    #[serde(default, skip_serializing_if = "Policy::is_empty")]
    pub policy: Policy,
}

/// The transport protocol of a listener.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, JsonSchema, Default)]
#[serde(rename_all = "lowercase")]
pub enum Transport {
    /// Transmission Control Protocol.
    #[default]
    Tcp,
    /// User Datagram Protocol.
    Udp,
}

/// What a flow of a listener is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// A short flow that occupies a slot of its target.
    Request,
    /// A long flow that occupies a connection of its target.
    Session,
}

/// Whether a target takes new flows.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum TargetState {
    /// The target takes new flows.
    Active,
    /// The target keeps its open flows and takes no new ones.
    Leaving,
}

/// Values that children inherit from their parents. An absent value is inherited.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema, Default)]
#[serde(deny_unknown_fields)]
pub struct Policy {
    /// Whether flows are requests or sessions. For listeners.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub kind: Option<Kind>,
    /// The urgency of the class; 0 is the most urgent. For listeners.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub priority: Option<u8>,
    /// The share of the service's slots that the class can always get, in percent. For listeners.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[schemars(range(max = 100))]
    pub guaranteed_percent: Option<u8>,
    /// The share of the service's slots that the class never exceeds, in percent. For listeners.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[schemars(range(min = 1, max = 100))]
    pub cap_percent: Option<u8>,
    /// How many openings may wait for a slot. For listeners.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[schemars(range(max = 100_000))]
    pub queue_limit: Option<u32>,
    /// How long an opening may wait for a slot, in milliseconds. For listeners.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub queue_deadline_ms: Option<u64>,
    /// After how long without a packet a flow is forgotten, in milliseconds. For listeners.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[schemars(range(min = 1000))]
    pub idle_timeout_ms: Option<u64>,
    /// After how long of unanswered retransmission a flow is reset, in milliseconds. For listeners.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[schemars(range(min = 1000))]
    pub silent_timeout_ms: Option<u64>,
    /// How many requests the target runs at a time. For targets.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[schemars(range(min = 1, max = 100_000))]
    pub slots: Option<u32>,
    /// How many flows the target holds at a time. For targets.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[schemars(range(min = 1, max = 10_000_000))]
    pub connections: Option<u32>,
    /// The target's share of new flows relative to its siblings. For targets.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[schemars(range(min = 1, max = 10_000))]
    pub weight: Option<u32>,
    /// How long a new target is ramped up, in milliseconds. For targets.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub slow_start_ms: Option<u64>,
    /// Whether the target takes new flows. For targets.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub state: Option<TargetState>,
}

impl Policy {
    /// Whether no value is set.
    pub fn is_empty(&self) -> bool {
        *self == Policy::default()
    }

    /// Returns `self` with absent values taken from `parent`.
    pub fn inherit(&self, parent: &Policy) -> Policy {
        Policy {
            kind: self.kind.or(parent.kind),
            priority: self.priority.or(parent.priority),
            guaranteed_percent: self.guaranteed_percent.or(parent.guaranteed_percent),
            cap_percent: self.cap_percent.or(parent.cap_percent),
            queue_limit: self.queue_limit.or(parent.queue_limit),
            queue_deadline_ms: self.queue_deadline_ms.or(parent.queue_deadline_ms),
            idle_timeout_ms: self.idle_timeout_ms.or(parent.idle_timeout_ms),
            silent_timeout_ms: self.silent_timeout_ms.or(parent.silent_timeout_ms),
            slots: self.slots.or(parent.slots),
            connections: self.connections.or(parent.connections),
            weight: self.weight.or(parent.weight),
            slow_start_ms: self.slow_start_ms.or(parent.slow_start_ms),
            state: self.state.or(parent.state),
        }
    }
}
