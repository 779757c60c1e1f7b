//! The state and channels shared by the traffic thread and the control thread.

use std::{
    net::{IpAddr, UdpSocket},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
};

use admission::Usage;
use arc_swap::ArcSwapOption;
use eyre::{Result, WrapErr};
use flow::FlowKey;
use host::{Counters, FlowReport, HostConfig, TrafficEvent, View};
use smol::channel::{Receiver, Sender, bounded};
use socket2::{Domain, Protocol, Socket, Type};
use telemetry::Metrics;

use crate::local_settings::LocalSettings;

/// The capacity of each channel between the threads, in messages.
const CHANNEL_CAPACITY: usize = 8192;

/// The requested size of each kernel buffer of a socket, in bytes.
const SOCKET_BUFFER_BYTES: usize = 4 << 20;

/// A query for one flow, sent to the traffic thread, which owns the flow tables.
#[derive(Debug)]
pub(crate) struct FlowQuery {
    pub(crate) key: FlowKey,
    pub(crate) answer: Sender<Option<FlowReport>>,
}

/// The counters and table sizes that the traffic thread publishes.
#[derive(Debug, Clone, Default)]
pub(crate) struct TrafficStatus {
    pub(crate) counters: Counters,
    pub(crate) pins: usize,
    pub(crate) pin_memory_bytes: usize,
    pub(crate) waiting: usize,
    pub(crate) usage: Vec<(IpAddr, Usage)>,
}

/// The state shared by the two threads.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) settings: LocalSettings,
    pub(crate) config: HostConfig,
    /// The socket for packets from and to the fabric.
    pub(crate) data: UdpSocket,
    /// The socket for messages from and to other hosts.
    pub(crate) peer: UdpSocket,
    pub(crate) view: ArcSwapOption<View>,
    pub(crate) events: (Sender<TrafficEvent>, Receiver<TrafficEvent>),
    pub(crate) flow_queries: (Sender<FlowQuery>, Receiver<FlowQuery>),
    pub(crate) status: Arc<Mutex<TrafficStatus>>,
    pub(crate) metrics: Metrics,
    is_exiting: AtomicBool,
}

impl Shared {
    /// Opens the sockets of the host that `settings` describes.
    pub(crate) fn new(settings: LocalSettings) -> Result<Arc<Shared>> {
        Ok(Arc::new(Shared {
            config: settings.host_config()?,
            data: open_socket(settings.data_address).wrap_err("131: /data_address")?,
            peer: open_socket(settings.peer_address).wrap_err("131: /peer_address")?,
            settings,
            view: ArcSwapOption::empty(),
            events: bounded(CHANNEL_CAPACITY),
            flow_queries: bounded(CHANNEL_CAPACITY),
            status: Arc::default(),
            metrics: Metrics::new()?,
            is_exiting: AtomicBool::new(false),
        }))
    }

    /// Makes the traffic thread exit.
    pub(crate) fn request_exit(&self) {
        self.is_exiting.store(true, Ordering::Relaxed);
    }

    /// Whether the traffic thread has to exit.
    pub(crate) fn is_exiting(&self) -> bool {
        self.is_exiting.load(Ordering::Relaxed)
    }
}

fn open_socket(address: std::net::SocketAddr) -> Result<UdpSocket> {
    let socket = Socket::new(Domain::for_address(address), Type::DGRAM, Some(Protocol::UDP))
        .wrap_err("the socket cannot be opened")?;
    // The kernel may grant less. A smaller buffer only drops packets during bursts.
    let _ = socket.set_recv_buffer_size(SOCKET_BUFFER_BYTES);
    let _ = socket.set_send_buffer_size(SOCKET_BUFFER_BYTES);
    socket.set_nonblocking(true).wrap_err("the socket cannot be made non-blocking")?;
    socket.bind(&address.into()).wrap_err_with(|| format!("{address} cannot be bound"))?;
    Ok(socket.into())
}
