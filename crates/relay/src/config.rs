//! How the relay is paced.

/// Bounds and periods, in milliseconds unless said otherwise.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Config {
    /// How often a reader sends heartbeats while it reads nothing new; each reading sends one.
    pub heartbeat_ms: u64,
    /// How old a confirmation may be before others are asked. Longer than a waiting read of the
    /// store and a heartbeat together, shorter than the time in which settings have to be in force.
    pub stale_after_ms: u64,
    /// How long a message may have been on its way, which its age does not tell: well above the
    /// delay between regions.
    pub max_transit_ms: u64,
    /// How long others may take to answer before the host reads the store itself.
    pub poll_timeout_ms: u64,
    /// How long a host that knows nothing gives others to answer before it reads the store: a few
    /// round trips, since callers wait for it.
    pub initial_wait_ms: u64,
    /// By how much longer for each host that is to read before it: the reading of one takes about as
    /// long, and its push may save the next one's.
    pub initial_wait_step_ms: u64,
    /// How long after its start a host takes others for not found yet, so that its rank among them
    /// says little: membership needs a few probes.
    pub startup_grace_ms: u64,
    /// By how much each further host waits longer before it reads as well; a reading and its push
    /// take less.
    pub rank_step_ms: u64,
    /// How many hosts a host passes a push on to: few, since a large change goes over links of
    /// 10 Mbit/s as often.
    pub fanout: usize,
    /// How long a host waits for rows that it asked for before it asks again.
    pub pull_timeout_ms: u64,
    /// How many hosts are asked at a time.
    pub poll_fanout: usize,
    /// How many rows one datagram carries at most; a row takes about 100 bytes.
    pub rows_per_batch: usize,
    /// How long after a target lapsed a confirmation of the catalog means that it is gone: twice the
    /// time in which announcements come back.
    pub lapsed_ttl_ms: u64,
    /// How long rows that are gone are remembered: longer than a flow lives.
    pub gone_ttl_ms: u64,
}

impl Default for Config {
    fn default() -> Config {
        Config {
            heartbeat_ms: 800,
            stale_after_ms: 1_900,
            max_transit_ms: 80,
            poll_timeout_ms: 200,
            initial_wait_ms: 10,
            initial_wait_step_ms: 2,
            startup_grace_ms: 4_000,
            rank_step_ms: 130,
            fanout: 4,
            pull_timeout_ms: 300,
            poll_fanout: 3,
            rows_per_batch: 64,
            lapsed_ttl_ms: 5_000,
            gone_ttl_ms: 75_000,
        }
    }
}
