//! A simulated host: the real control plane and a data plane, connected as in the daemon.

use std::{net::SocketAddr, sync::Arc};

use host::{Control, ControlOutput, Destination, HostConfig, Outbox, Stage, Traffic, TrafficEvent};
use routing::HostId;
use settings::Snapshot;
use wire::{Frame, FrameKind};

use crate::data_plane::{DataPlane, Datagram};

/// A simulated host.
#[derive(Debug)]
pub struct Node<P = Traffic> {
    /// The control plane.
    pub control: Control,
    /// The data plane.
    pub data_plane: P,
    /// The index of the failure domain.
    pub domain: usize,
    /// The settings in force.
    pub settings: Option<Arc<Snapshot>>,
    /// Bytes of control messages that the control plane sent.
    pub control_bytes: u64,
    /// Bytes that the data plane sent to other hosts.
    pub relayed_bytes: u64,
    pub(crate) config: HostConfig,
    pub(crate) is_running: bool,
    pub(crate) is_frozen: bool,
    /// When the process was last killed or frozen, in milliseconds.
    pub(crate) stopped_at_ms: u64,
    /// The peer that announced newer settings, until they are fetched.
    pub(crate) fetch_from: Option<SocketAddr>,
}

impl<P: DataPlane> Node<P> {
    pub(crate) fn new(config: HostConfig, domain: usize, data_plane: P, now_ms: u64) -> Node<P> {
        Node {
            control: Control::new(config.clone(), membership::Config::default(), now_ms),
            data_plane,
            domain,
            settings: None,
            control_bytes: 0,
            relayed_bytes: 0,
            config,
            is_running: true,
            is_frozen: false,
            stopped_at_ms: 0,
            fetch_from: None,
        }
    }

    /// Whether the fabric routes packets to this host. The route of a stopped or frozen host is
    /// withdrawn after a delay.
    pub(crate) fn receives_fabric_packets(&self, now_ms: u64) -> bool {
        const ROUTE_WITHDRAWAL_MS: u64 = 500;
        if !self.is_running || self.is_frozen {
            return now_ms < self.stopped_at_ms + ROUTE_WITHDRAWAL_MS;
        }
        self.control.stage() == Stage::Ready
    }

    /// Whether the process runs and is not frozen.
    pub(crate) fn is_active(&self) -> bool {
        self.is_running && !self.is_frozen
    }

    pub(crate) fn apply_settings(
        &mut self,
        settings: &Arc<Snapshot>,
        now_ms: u64,
    ) -> Vec<Datagram> {
        let mut out = ControlOutput::default();
        if self.control.on_settings(settings.clone(), &mut out) {
            self.settings = Some(settings.clone());
        }
        self.apply_control_output(out, now_ms)
    }

    pub(crate) fn begin_stop(&mut self, now_ms: u64) -> Vec<Datagram> {
        let mut out = ControlOutput::default();
        self.control.begin_stop(now_ms, &mut out);
        self.apply_control_output(out, now_ms)
    }

    pub(crate) fn on_fabric(&mut self, packet: &mut [u8], now_ms: u64) -> Vec<Datagram> {
        let mut out = Outbox::default();
        self.data_plane.on_fabric(packet, now_ms, &mut out);
        self.handle_outbox(out, now_ms)
    }

    pub(crate) fn on_peer(
        &mut self,
        from: SocketAddr,
        datagram: &mut [u8],
        now_ms: u64,
    ) -> Vec<Datagram> {
        let mut out = Outbox::default();
        self.data_plane.on_peer(from, datagram, now_ms, &mut out);
        self.handle_outbox(out, now_ms)
    }

    pub(crate) fn tick(&mut self, now_ms: u64) -> Vec<Datagram> {
        let mut out = Outbox::default();
        self.data_plane.on_tick(now_ms, &mut out);
        let mut datagrams = self.handle_outbox(out, now_ms);
        let mut out = ControlOutput::default();
        self.control.tick(now_ms, &mut out);
        datagrams.extend(self.apply_control_output(out, now_ms));
        datagrams
    }

    fn handle_outbox(&mut self, out: Outbox, now_ms: u64) -> Vec<Datagram> {
        let mut datagrams: Vec<Datagram> =
            out.datagrams().map(|(to, bytes)| (to, bytes.to_vec())).collect();
        let is_peer = |datagram: &&Datagram| matches!(datagram.0, Destination::Peer(_));
        let relayed = datagrams.iter().filter(is_peer).map(|(_, bytes)| bytes.len() as u64);
        self.relayed_bytes += relayed.sum::<u64>();
        for event in out.events {
            let mut control_out = ControlOutput::default();
            match event {
                TrafficEvent::Control { from, sender, message } => {
                    self.control.on_message(from, sender, &message, now_ms, &mut control_out);
                }
                TrafficEvent::Frozen { .. } => self.control.on_frozen(now_ms, &mut control_out),
                TrafficEvent::HandedOver => self.control.on_handed_over(),
                _ => {}
            }
            datagrams.extend(self.apply_control_output(control_out, now_ms));
        }
        datagrams
    }

    fn apply_control_output(&mut self, out: ControlOutput, now_ms: u64) -> Vec<Datagram> {
        let mut datagrams = Vec::new();
        for (to, message) in out.messages {
            let body = wire::encode(&message);
            let frame = Frame {
                kind: FrameKind::Control,
                hops: 0,
                listener_key: 0,
                sender: self.config.id(),
                origin: HostId(0),
                sent_at_ms: now_ms,
                target: std::net::IpAddr::V6(std::net::Ipv6Addr::UNSPECIFIED),
                body: &body,
            };
            let mut bytes = Vec::new();
            frame.seal(&self.config.peer_key, &mut bytes);
            self.control_bytes += bytes.len() as u64;
            datagrams.push((Destination::Peer(to), bytes));
        }
        if let Some((from, _)) = out.newer_settings {
            self.fetch_from = Some(from);
        }
        if let Some(view) = out.view {
            let mut data_plane_out = Outbox::default();
            self.data_plane.on_view(view, now_ms, &mut data_plane_out);
            datagrams.extend(self.handle_outbox(data_plane_out, now_ms));
        }
        datagrams
    }
}
