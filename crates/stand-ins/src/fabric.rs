//! The fabric: it sends each packet of a caller or an upstream to a random live host, and each
//! packet of a host to the endpoint that registered the destination address.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::{IpAddr, SocketAddr, UdpSocket},
    sync::{Arc, atomic::AtomicBool, atomic::Ordering},
    time::{Duration, Instant},
};

use argh::FromArgs;
use eyre::{Result, WrapErr};
use rand::{RngExt, SeedableRng, rngs::StdRng};

use crate::wire;

/// How long a host counts as live after an announcement.
const ANNOUNCEMENT_LIFETIME: Duration = Duration::from_millis(500);

/// The network in front of the hosts.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "fabric")]
pub struct Options {
    /// address to listen on
    #[argh(option)]
    listen: SocketAddr,
    /// seed of the host choice and of the faults
    #[argh(option, default = "1")]
    seed: u64,
    /// lost packets per 10,000
    #[argh(option, default = "0")]
    loss: u32,
    /// duplicated packets per 10,000
    #[argh(option, default = "0")]
    doubled: u32,
    /// packets delayed by up to 20 ms, per 10,000
    #[argh(option, default = "0")]
    delayed: u32,
}

struct Fabric<'a> {
    options: &'a Options,
    socket: UdpSocket,
    /// All hosts that ever announced themselves, live or not; only their packets are sent to the
    /// destination.
    known_hosts: BTreeSet<SocketAddr>,
    /// The hosts that accept packets, with the time of their last announcement.
    live_hosts: BTreeMap<SocketAddr, Instant>,
    endpoints: BTreeMap<IpAddr, SocketAddr>,
    rng: StdRng,
    delay_queue: Vec<(Instant, SocketAddr, Vec<u8>)>,
}

/// Routes packets until the process gets SIGTERM.
///
/// # Errors
///
/// Fails if the address cannot be bound.
pub fn run(options: &Options) -> Result<()> {
    let socket = UdpSocket::bind(options.listen).wrap_err("the address cannot be bound")?;
    socket.set_read_timeout(Some(Duration::from_millis(5)))?;
    let is_terminated = Arc::new(AtomicBool::new(false));
    signal_hook::flag::register(signal_hook::consts::SIGTERM, is_terminated.clone())?;
    let mut fabric = Fabric {
        options,
        socket,
        known_hosts: BTreeSet::new(),
        live_hosts: BTreeMap::new(),
        endpoints: BTreeMap::new(),
        rng: StdRng::seed_from_u64(options.seed),
        delay_queue: Vec::new(),
    };
    let mut buffer = vec![0; 65_535];
    while !is_terminated.load(Ordering::Relaxed) {
        if let Ok((length, from)) = fabric.socket.recv_from(&mut buffer) {
            fabric.handle(&buffer[..length], from);
        }
        fabric.send_due();
    }
    Ok(())
}

impl Fabric<'_> {
    fn handle(&mut self, datagram: &[u8], from: SocketAddr) {
        if datagram.first() == Some(&wire::GUE_CONTROL) {
            return self.handle_control(datagram, from);
        }
        // A packet of a caller or an upstream goes to any host, a packet of a host to its
        // destination.
        if !self.known_hosts.contains(&from) {
            if let Some(host) = self.pick_host() {
                self.send(datagram, host);
            }
            return;
        }
        let Some(destination) = wire::destination(datagram) else { return };
        if let Some(endpoint) = self.endpoints.get(&destination).copied() {
            self.send(datagram, endpoint);
        }
    }

    fn handle_control(&mut self, message: &[u8], from: SocketAddr) {
        match message.get(1).copied() {
            Some(wire::HOST_AVAILABLE) => {
                self.known_hosts.insert(from);
                self.live_hosts.insert(from, Instant::now());
            }
            Some(wire::HOST_WITHDRAWN) => {
                self.live_hosts.remove(&from);
            }
            Some(wire::ADDRESS_REGISTRATION) => {
                if let Some(address) = wire::registered_address(message) {
                    self.endpoints.insert(address, from);
                }
            }
            _ => {}
        }
    }

    fn pick_host(&mut self) -> Option<SocketAddr> {
        self.live_hosts.retain(|_, announced_at| announced_at.elapsed() < ANNOUNCEMENT_LIFETIME);
        let count = self.live_hosts.len();
        if count == 0 {
            return None;
        }
        let position = self.rng.random_range(0..count);
        self.live_hosts.keys().nth(position).copied()
    }

    fn send(&mut self, packet: &[u8], to: SocketAddr) {
        if self.occurs(self.options.loss) {
            return;
        }
        if self.occurs(self.options.doubled) {
            self.send_now(packet, to);
        }
        if self.occurs(self.options.delayed) {
            let delay = Duration::from_millis(self.rng.random_range(1..20));
            self.delay_queue.push((Instant::now() + delay, to, packet.to_vec()));
            return;
        }
        self.send_now(packet, to);
    }

    fn send_now(&self, packet: &[u8], to: SocketAddr) {
        // A failed send is a lost packet, which both ends tolerate.
        let _ = self.socket.send_to(packet, to);
    }

    fn send_due(&mut self) {
        let now = Instant::now();
        let due: Vec<_> = self.delay_queue.extract_if(.., |(at, _, _)| *at <= now).collect();
        for (_, to, packet) in due {
            self.send_now(&packet, to);
        }
    }

    fn occurs(&mut self, per_10000: u32) -> bool {
        per_10000 > 0 && self.rng.random_range(0..10_000) < per_10000
    }
}
