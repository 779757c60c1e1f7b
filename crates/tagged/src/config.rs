//! The bounds of the decisions of one host.

/// Times in milliseconds, and sizes of tables.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Config {
    /// The number of this host's failure domain.
    pub domain_seed: u64,
    /// How old a view may be for a refusal to be based on it: less than the time in which settings
    /// have to be in force.
    pub max_view_age_ms: u64,
    /// How long after an opening its caller's next packet may take before the target is doubted:
    /// several round trips between failure domains and callers.
    pub handshake_timeout_ms: u64,
    /// How old an opening is when a copy of it goes to another target. Callers send copies after
    /// 200 ms and after 600 ms.
    pub opening_retry_ms: u64,
    /// How long an opening is remembered: a caller gives up after 1.4 s.
    pub opening_retention_ms: u64,
    /// How long a flow without packets counts as load; its packets may have moved to another host.
    /// It is remembered for the idle time-out of the settings.
    pub flow_idle_ms: u64,
    /// How many flows are remembered.
    pub max_flows: usize,
    /// How long a report of another host of the failure domain about its flows counts.
    pub report_ttl_ms: u64,
    /// The same of hosts of other failure domains, which report more seldom.
    pub far_report_ttl_ms: u64,
    /// How long a tag has to be unknown, on views that are newer than its first packet, before its
    /// target counts as gone.
    pub unknown_tag_timeout_ms: u64,
    /// How long a suspicion lasts without confirmation.
    pub suspicion_timeout_ms: u64,
    /// How long no target is checked again after it answered.
    pub check_interval_ms: u64,
    /// How long a target that lives but answers no opening takes no new flows.
    pub initial_full_backoff_ms: u64,
    /// How long ago a target may have answered for others' reports of its death to be ignored.
    pub recent_progress_ms: u64,
    /// How long a target that failed its check counts as dead before it is checked again; each
    /// further failure doubles it.
    pub initial_recheck_delay_ms: u64,
    /// How long that pause gets.
    pub max_recheck_delay_ms: u64,
    /// How soon after a target was found dead another one may answer at its address: the platform
    /// uses addresses again after 2 s, and a death is found within half a second.
    pub address_reuse_ms: u64,
    /// How long after its death a target is no longer listed, if the store is well: three missed
    /// announcements, and the two seconds in which they come back.
    pub lapse_ms: u64,
}

impl Default for Config {
    fn default() -> Config {
        Config {
            domain_seed: 0,
            max_view_age_ms: 2_000,
            handshake_timeout_ms: 60,
            opening_retry_ms: 150,
            opening_retention_ms: 1_500,
            flow_idle_ms: 6_000,
            max_flows: 65_536,
            report_ttl_ms: 5_000,
            far_report_ttl_ms: 10_000,
            unknown_tag_timeout_ms: 1_000,
            suspicion_timeout_ms: 2_000,
            check_interval_ms: 1_000,
            initial_full_backoff_ms: 300,
            recent_progress_ms: 300,
            initial_recheck_delay_ms: 2_000,
            max_recheck_delay_ms: 8_000,
            address_reuse_ms: 1_500,
            lapse_ms: 6_000,
        }
    }
}
