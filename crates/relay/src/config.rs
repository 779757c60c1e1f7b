//! Timing and size limits of the relay.

/// Timing and size limits of the relay.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Config {
    /// Heartbeat interval of a reader between answers from the store; each answer sends one too.
    pub heartbeat_ms: u64,
    /// The age at which a confirmation is stale; peers are polled `poll_timeout_ms` before. Longer
    /// than a blocking read of the store plus a heartbeat, shorter than the time within which
    /// settings have to be in force.
    pub stale_after_ms: u64,
    /// Upper bound on the transit time of a message, added to the age it states: well above the
    /// delay between regions.
    pub max_transit_ms: u64,
    /// How long polled peers may take to answer before the host reads the store itself.
    pub poll_timeout_ms: u64,
    /// How long a host without a catalog waits for its peers to answer before it reads the store: a
    /// few round trips, since callers are waiting.
    pub initial_wait_ms: u64,
    /// Added to `initial_wait_ms` for each host that ranks before it: a read takes about this long,
    /// and its push may make the next one unnecessary.
    pub initial_wait_step_ms: u64,
    /// How long after its start a host's rank is unreliable, since membership needs a few probes to
    /// find the other hosts.
    pub startup_grace_ms: u64,
    /// Wait between the waves in which more and more hosts try to read the store while views are stale;
    /// longer than a read and its push take.
    pub rank_step_ms: u64,
    /// How long a host whose call failed in an outage waits before it calls the store again, unless it is
    /// among the first in the reading order. Changes have to be in force soon after an outage of the
    /// whole store turns into one for some hosts.
    pub outage_retry_ms: u64,
    /// The shortest such wait for each host of the fleet, which bounds the calls of all hosts.
    pub outage_retry_per_host_ms: u64,
    /// How many hosts a host forwards a push to: few, since a large change crosses 10 Mbit/s links
    /// that many times.
    pub fanout: usize,
    /// How long a host waits for rows that it pulled before it pulls them again, with half the window.
    pub pull_timeout_ms: u64,
    /// How many times a pull is repeated before the transfer is given up.
    pub pull_retries_max: u32,
    /// How long a host that has started waits at first before it pulls the rows that the store no
    /// longer lists. The wait doubles up to `history_wait_max_ms` and is jittered, since many hosts
    /// may start at once and all rows take long on their links.
    pub history_wait_ms: u64,
    /// Upper bound on that wait.
    pub history_wait_max_ms: u64,
    /// How many peers a host polls at a time.
    pub poll_fanout: usize,
    /// Maximum number of rows per datagram; a row takes about 50 bytes.
    pub rows_per_batch: usize,
    /// Maximum number of batches in flight to a host that pulls rows; fewer after a loss. A window
    /// fills a link of 10 Mbit/s for 10 ms, longer than a round trip in a region, and those of all
    /// children of a reader fit into a socket's buffer.
    pub batches_per_window: usize,
    /// Maximum number of hosts whose pulls wait until this host has the rows itself: its children in
    /// the trees of a few readers.
    pub waiting_pulls_max: usize,
    /// The maximum age of a catalog by which new flows are placed without asking peers and the store
    /// for a newer one. Longer than it takes another host to replace a silent reader, shorter than
    /// the time within which announcements have to be in force.
    pub max_placement_age_ms: u64,
    /// How long peers and the store may take to answer before new flows are placed by an older
    /// catalog: two polls of peers, and less than the time after which callers send their last copy
    /// of an opening. A gap of this length between ticks counts as a pause of the process.
    pub placement_wait_ms: u64,
    /// How long after a tick new flows may be placed by an older catalog. With `placement_wait_ms`
    /// added, shorter than the time within which announcements have to be in force.
    pub placement_lease_ms: u64,
    /// How long a target must have been lapsed when the catalog was last confirmed, for the target
    /// to be marked as gone: twice the time within which announcements reappear.
    pub lapsed_ttl_ms: u64,
    /// How long after the start of an era announcements of earlier ones may be missing or older than
    /// known: twice the time within which they are written again.
    pub era_settling_ms: u64,
    /// How long gone rows are kept: longer than a flow lives.
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
            outage_retry_ms: 3_000,
            outage_retry_per_host_ms: 50,
            fanout: 4,
            pull_timeout_ms: 300,
            pull_retries_max: 10,
            history_wait_ms: 500,
            history_wait_max_ms: 8_000,
            poll_fanout: 3,
            rows_per_batch: 64,
            batches_per_window: 4,
            waiting_pulls_max: 16,
            max_placement_age_ms: 2_500,
            placement_wait_ms: 500,
            placement_lease_ms: 1_000,
            lapsed_ttl_ms: 5_000,
            era_settling_ms: 5_000,
            gone_ttl_ms: 75_000,
        }
    }
}
