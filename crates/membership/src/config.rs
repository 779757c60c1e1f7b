//! Timing and size limits of the SWIM protocol.

/// Timing and size limits of the protocol.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Config {
    /// How often this host probes another one, in milliseconds.
    pub probe_interval_ms: u64,
    /// How long a direct ack may take before indirect probes are sent, in milliseconds.
    pub ack_timeout_ms: u64,
    /// How many hosts are asked to probe on this host's behalf.
    pub indirect_probes: usize,
    /// How long a suspected host has to refute the suspicion, in milliseconds.
    pub suspicion_ms: u64,
    /// The maximum number of gossiped reports per message.
    pub members_per_message: usize,
    /// The maximum number of reports per ack to a join, or to a ping from an unknown host.
    pub members_per_join_ack: usize,
    /// How long a host requests all members from others after it changes its state, in
    /// milliseconds.
    pub member_sync_ms: u64,
    /// How long a host that left or died is kept in the table, in milliseconds.
    pub dead_retention_ms: u64,
}

impl Default for Config {
    fn default() -> Config {
        Config {
            probe_interval_ms: 400,
            ack_timeout_ms: 120,
            indirect_probes: 3,
            suspicion_ms: 1_000,
            members_per_message: 12,
            members_per_join_ack: 12,
            member_sync_ms: 3_000,
            dead_retention_ms: 60 * 60 * 1000,
        }
    }
}
