//! A user-space TCP stack for the caller or target at one address.

use std::{collections::VecDeque, net::IpAddr, time::Instant as StdInstant};

use etherparse::{NetSlice, SlicedPacket, TransportSlice};
use smoltcp::{
    iface::{Config, Interface, SocketHandle, SocketSet},
    phy::{Device, DeviceCapabilities, Medium, RxToken, TxToken},
    socket::{Socket, tcp},
    time::Instant,
    wire::{HardwareAddress, IpAddress, IpCidr, IpEndpoint},
};

/// The maximum size of an IP packet, in bytes.
const MTU_BYTES: usize = 1_400;

/// The size of each socket buffer, in bytes.
const BUFFER_BYTES: usize = 8_192;

/// A TCP stack with one IP address, connected through the fabric.
pub(crate) struct TcpStack {
    pub(crate) address: IpAddr,
    pub(crate) sockets: SocketSet<'static>,
    interface: Interface,
    queues: PacketQueues,
    started: StdInstant,
}

#[derive(Default)]
struct PacketQueues {
    received: VecDeque<Vec<u8>>,
    to_send: VecDeque<Vec<u8>>,
}

pub(crate) struct ReceivedPacket(Vec<u8>);

pub(crate) struct PacketSender<'a>(&'a mut VecDeque<Vec<u8>>);

impl RxToken for ReceivedPacket {
    fn consume<R, F: FnOnce(&[u8]) -> R>(self, handle: F) -> R {
        handle(&self.0)
    }
}

impl TxToken for PacketSender<'_> {
    fn consume<R, F: FnOnce(&mut [u8]) -> R>(self, length: usize, fill: F) -> R {
        let mut packet = vec![0; length];
        let result = fill(&mut packet);
        self.0.push_back(packet);
        result
    }
}

impl Device for PacketQueues {
    type RxToken<'a> = ReceivedPacket;
    type TxToken<'a> = PacketSender<'a>;

    fn receive(&mut self, _now: Instant) -> Option<(ReceivedPacket, PacketSender<'_>)> {
        let packet = self.received.pop_front()?;
        Some((ReceivedPacket(packet), PacketSender(&mut self.to_send)))
    }

    fn transmit(&mut self, _now: Instant) -> Option<PacketSender<'_>> {
        Some(PacketSender(&mut self.to_send))
    }

    fn capabilities(&self) -> DeviceCapabilities {
        let mut capabilities = DeviceCapabilities::default();
        capabilities.medium = Medium::Ip;
        capabilities.max_transmission_unit = MTU_BYTES;
        capabilities
    }
}

impl TcpStack {
    pub(crate) fn new(address: IpAddr, seed: u64) -> TcpStack {
        let mut queues = PacketQueues::default();
        let mut config = Config::new(HardwareAddress::Ip);
        config.random_seed = seed;
        let started = StdInstant::now();
        let mut interface = Interface::new(config, &mut queues, Instant::from_millis(0));
        let (ip_address, prefix_length) = match address {
            IpAddr::V4(ip) => (IpAddress::Ipv4(ip), 32),
            IpAddr::V6(ip) => (IpAddress::Ipv6(ip), 128),
        };
        interface.update_ip_addrs(|addresses| {
            let _ = addresses.push(IpCidr::new(ip_address, prefix_length));
        });
        // The stack sends only if it has a route; no link layer resolves the gateway, so any will
        // do.
        let _ = match address {
            IpAddr::V4(ip) => interface.routes_mut().add_default_ipv4_route(ip).map(|_| ()),
            IpAddr::V6(ip) => interface.routes_mut().add_default_ipv6_route(ip).map(|_| ()),
        };
        TcpStack { address, sockets: SocketSet::new(Vec::new()), interface, queues, started }
    }

    pub(crate) fn receive(&mut self, packet: &[u8]) {
        if !self.is_duplicate_syn(packet) {
            self.queues.received.push_back(packet.to_vec());
        }
    }

    // Whether `packet` is a duplicate SYN of a known connection. With several sockets listening on
    // a port, smoltcp would open a second connection for it, unlike a kernel, so it is dropped.
    fn is_duplicate_syn(&self, packet: &[u8]) -> bool {
        let Ok(sliced) = SlicedPacket::from_ip(packet) else { return false };
        let Some(TransportSlice::Tcp(header)) = sliced.transport else { return false };
        let source = match &sliced.net {
            Some(NetSlice::Ipv4(ip)) => IpAddr::V4(ip.header().source_addr()),
            Some(NetSlice::Ipv6(ip)) => IpAddr::V6(ip.header().source_addr()),
            _ => return false,
        };
        if !header.syn() || header.ack() {
            return false;
        }
        let remote = IpEndpoint::new(IpAddress::from(source), header.source_port());
        self.sockets.iter().any(|(_, socket)| match socket {
            Socket::Tcp(socket) => {
                socket.remote_endpoint() == Some(remote)
                    && socket.state() != tcp::State::Closed
                    && socket.state() != tcp::State::TimeWait
            }
            _ => false,
        })
    }

    /// Advances the stack and returns the packets to send.
    pub(crate) fn poll(&mut self) -> impl Iterator<Item = Vec<u8>> + '_ {
        let now = Instant::from_micros(self.started.elapsed().as_micros() as i64);
        self.interface.poll(now, &mut self.queues, &mut self.sockets);
        self.queues.to_send.drain(..)
    }

    pub(crate) fn listen(&mut self, port: u16) -> SocketHandle {
        let mut socket = new_socket();
        // Fails only for port 0.
        let _ = socket.listen(port);
        self.sockets.add(socket)
    }

    pub(crate) fn connect(&mut self, to: (IpAddr, u16), local_port: u16) -> SocketHandle {
        let mut socket = new_socket();
        let remote = IpEndpoint::new(IpAddress::from(to.0), to.1);
        // Fails only for invalid endpoints, which a settings tree does not contain.
        let _ = socket.connect(self.interface.context(), remote, local_port);
        self.sockets.add(socket)
    }

    pub(crate) fn socket(&mut self, handle: SocketHandle) -> &mut tcp::Socket<'static> {
        self.sockets.get_mut(handle)
    }

    pub(crate) fn remove(&mut self, handle: SocketHandle) {
        self.sockets.remove(handle);
    }
}

fn new_socket() -> tcp::Socket<'static> {
    let received = tcp::SocketBuffer::new(vec![0; BUFFER_BYTES]);
    let to_send = tcp::SocketBuffer::new(vec![0; BUFFER_BYTES]);
    let mut socket = tcp::Socket::new(received, to_send);
    socket.set_nagle_enabled(false);
    socket
}
