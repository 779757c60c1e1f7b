//! Time limits and table sizes of the dispatcher.

/// By how much all hosts together may exceed the limit on openings of a cold target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WarmupLimit {
    /// The factor by which the openings of any second may exceed the limit, in thousandths.
    pub overshoot_permille: u32,
    /// How many openings more any second may have.
    pub slack: u32,
}

impl WarmupLimit {
    /// The number of openings that a target may get in any second, if it bears `per_ks` in 1,000 s.
    pub fn openings_per_second(&self, per_ks: u32) -> u64 {
        let permille = u64::from(per_ks).saturating_mul(u64::from(self.overshoot_permille));
        permille / 1_000_000 + u64::from(self.slack)
    }
}

/// What it costs to serve a caller from another failure domain than the host's own.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DomainExit {
    /// The additional time of one round trip, in microseconds.
    pub round_trip_us: u32,
    /// How long a caller may rather wait than have 1,000 bytes cross between failure domains, in
    /// microseconds.
    pub price_us_per_kb: u32,
}

/// The configuration of a [`Dispatcher`](crate::Dispatcher).
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Config {
    /// The hash of the name of this host's failure domain.
    pub domain_seed: u64,
    /// The maximum age of a view on which a reset may be based. It is shorter than the time within
    /// which new settings must take effect.
    pub max_view_age_ms: u64,
    /// How long after an opening the caller's next packet may take before the opening counts as
    /// unanswered: several round trips between failure domains and callers.
    pub handshake_timeout_ms: u64,
    /// How long after an attempt a copy of the opening is sent to another target. Callers send
    /// copies after 200 ms and after 600 ms.
    pub opening_retry_ms: u64,
    /// How long an opening is remembered. Callers give up after 1.4 s.
    pub opening_retention_ms: u64,
    /// How long a flow without packets counts as load; after that, its packets may arrive at
    /// another host. It is remembered for the idle timeout of the settings, if that is longer.
    pub flow_idle_ms: u64,
    /// The maximum number of flows remembered.
    pub max_flows: usize,
    /// How long a load report of a host in the same failure domain is used.
    pub report_ttl_ms: u64,
    /// How long a load report of a host in another failure domain is used. Such hosts report less
    /// often.
    pub far_report_ttl_ms: u64,
    /// How much newer than a flow's first packet a view must be for the flow to be reset because
    /// its tag or its listener is unknown.
    pub unknown_flow_timeout_ms: u64,
    /// How long a target stays suspect if no check decides.
    pub suspicion_timeout_ms: u64,
    /// How long stalled flows and failed openings trigger no new check after the target answered
    /// one; also the interval between checks of a target that is not listed.
    pub check_interval_ms: u64,
    /// The initial time for which a target that answers checks but not openings gets no new flows.
    /// It doubles with each repetition, up to `suspicion_timeout_ms`.
    pub initial_full_backoff_ms: u64,
    /// How recently a flow of a target must have made progress for the target to count as
    /// responding. A stalled flow then triggers no check, and reports of its death are ignored.
    pub recent_progress_ms: u64,
    /// How long after its start a failed check is a reason to reset flows of its target. It is
    /// longer than `initial_recheck_delay_ms`, so that a target that stays dead is not taken for
    /// alive, and shorter than the time after which a host that was cut off counts as sound again.
    pub verdict_ttl_ms: u64,
    /// How long after its first failed check a dead target is checked again. The delay doubles with
    /// each further failure.
    pub initial_recheck_delay_ms: u64,
    /// The upper limit of the delay between checks of a dead target. For the same time after a
    /// target was confirmed alive, reports of its death are ignored.
    pub max_recheck_delay_ms: u64,
    /// The time after a target was found dead from which another one may answer at its address. The
    /// platform reuses addresses after 2 s, and a death is detected within 0.5 s.
    pub address_reuse_ms: u64,
    /// The time after a target was found dead by which the store no longer lists it, if the store
    /// is available: three missed announcements, and the 2 s within which announcements reappear
    /// after an outage.
    pub lapse_ms: u64,
    /// Whether listeners with a more urgent priority go first when a service has too little room.
    pub orders_by_priority: bool,
    /// Whether targets are weighted by how they answer.
    pub weighs_answers: bool,
    /// The limit on openings of cold targets; only for services whose settings limit them. `None`:
    /// they are not limited.
    pub warmup_limit: Option<WarmupLimit>,
    /// Decides when flows leave the failure domain; `None`: at a fixed excess of load.
    pub domain_exit: Option<DomainExit>,
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
            unknown_flow_timeout_ms: 1_000,
            suspicion_timeout_ms: 2_000,
            check_interval_ms: 1_000,
            initial_full_backoff_ms: 300,
            recent_progress_ms: 300,
            verdict_ttl_ms: 2_500,
            initial_recheck_delay_ms: 2_000,
            max_recheck_delay_ms: 8_000,
            address_reuse_ms: 1_500,
            lapse_ms: 6_000,
            orders_by_priority: false,
            weighs_answers: false,
            warmup_limit: None,
            domain_exit: None,
        }
    }
}
