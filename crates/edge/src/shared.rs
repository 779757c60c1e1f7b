//! The state and channels shared by the data thread and the control thread.

use std::{
    net::UdpSocket,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    },
};

use arc_swap::ArcSwapOption;
use catalog::{Directory, TargetId};
use eyre::{Result, WrapErr};
use routing::HostId;
use settings::name_seed;
use smol::channel::{Receiver, Sender, bounded};
use tagged::{
    CheckVerdict, Counters, DueCheck, Event, FlowKey, FlowReport, HostLoad, LoadUpdate,
    SpeedSummary,
};
use telemetry::Metrics;
use wire::PeerKey;

use crate::{EdgeSettings, clock};

/// The capacity of each channel between the threads, in messages.
const CHANNEL_CAPACITY: usize = 1_024;

/// A message from the data thread to the control thread.
#[derive(Debug)]
pub(crate) enum Notice {
    /// The counts of flows that this host sees, after a change.
    Loads(LoadUpdate),
    /// A target needs a health check.
    Check(DueCheck),
    /// Decisions to log, and how many more were discarded.
    Events(Vec<Event>, u64),
}

/// A message from the control thread to the data thread.
#[derive(Debug)]
pub(crate) enum Command {
    /// The counts of flows that another host sees.
    Loads(HostLoad),
    /// A health check has ended.
    Checked {
        target: TargetId,
        verdict: CheckVerdict,
        /// When the check began, by the monotonic clock.
        started_at_ms: u64,
    },
    /// The hosts that are alive, sorted by id, each with its failure domain; this host included.
    Members(Vec<(HostId, u64)>),
    /// Reports what is known of a flow, for an operator.
    Explain(FlowKey, Sender<Option<FlowReport>>),
}

/// What the data thread publishes.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Status {
    pub(crate) counters: Counters,
    pub(crate) flows: usize,
    pub(crate) speeds: SpeedSummary,
}

/// The state shared by the two threads.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) settings: EdgeSettings,
    /// The id of this host.
    pub(crate) me: HostId,
    pub(crate) incarnation: u64,
    pub(crate) domain_seed: u64,
    pub(crate) peer_key: PeerKey,
    /// The socket for callers' packets.
    pub(crate) data: UdpSocket,
    pub(crate) directory: ArcSwapOption<Directory>,
    /// When the directory was last confirmed as current, by the monotonic clock.
    pub(crate) confirmed_at_ms: AtomicU64,
    /// Until when new flows may be placed by the directory, by the monotonic clock.
    pub(crate) placement_until_ms: AtomicU64,
    /// When the last packet arrived, by the monotonic clock.
    pub(crate) packet_at_ms: AtomicU64,
    pub(crate) notices: (Sender<Notice>, Receiver<Notice>),
    pub(crate) commands: (Sender<Command>, Receiver<Command>),
    pub(crate) status: Arc<Mutex<Status>>,
    /// The bytes of rows and the number of pulls that the control thread has sent to other hosts.
    pub(crate) row_bytes_sent: Arc<AtomicU64>,
    pub(crate) pulls_sent: Arc<AtomicU64>,
    /// The number of writes to the store that cannot be used.
    pub(crate) entries_rejected: Arc<AtomicU64>,
    /// The number of hosts alive, with this one, as the control thread knows it.
    pub(crate) host_count: AtomicUsize,
    pub(crate) metrics: Metrics,
    is_exiting: AtomicBool,
}

impl Shared {
    /// Opens the data socket of the host that `settings` describes.
    pub(crate) fn new(settings: EdgeSettings) -> Result<Arc<Shared>> {
        let data = UdpSocket::bind(settings.data_address)
            .wrap_err_with(|| format!("131: /data_address: {}", settings.data_address))?;
        Ok(Arc::new(Shared {
            me: HostId::from_address(settings.peer_address),
            incarnation: clock::new_incarnation(),
            domain_seed: name_seed(&settings.failure_domain),
            peer_key: PeerKey::parse(&settings.peer_key)?,
            data,
            settings,
            directory: ArcSwapOption::empty(),
            confirmed_at_ms: AtomicU64::new(0),
            placement_until_ms: AtomicU64::new(0),
            packet_at_ms: AtomicU64::new(0),
            notices: bounded(CHANNEL_CAPACITY),
            commands: bounded(CHANNEL_CAPACITY),
            status: Arc::default(),
            row_bytes_sent: Arc::default(),
            pulls_sent: Arc::default(),
            entries_rejected: Arc::default(),
            host_count: AtomicUsize::new(1),
            metrics: Metrics::new()?,
            is_exiting: AtomicBool::new(false),
        }))
    }

    /// Makes the data thread exit.
    pub(crate) fn request_exit(&self) {
        self.is_exiting.store(true, Ordering::Relaxed);
        self.wake_data_thread();
    }

    /// Whether the data thread has to exit.
    pub(crate) fn is_exiting(&self) -> bool {
        self.is_exiting.load(Ordering::Relaxed)
    }

    /// Wakes the data thread by sending it a datagram that is not a valid packet, so that it
    /// handles commands and updates immediately.
    pub(crate) fn wake_data_thread(&self) {
        // If the send fails, the read timeout ends the wait.
        let _ = self.data.send_to(&[0], self.settings.data_address);
    }
}
