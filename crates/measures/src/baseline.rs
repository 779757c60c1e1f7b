//! Baselines: simpler ways to forward packets, for comparison.

use std::{
    net::{IpAddr, SocketAddr},
    sync::Arc,
};

use fakes::data_plane::DataPlane;
use flow::{FlowKey, PacketView, rewrite_destination, rewrite_source};
use host::{Outbox, View};
use routing::weighted_score;
use settings::ListenerId;

/// Forwards each packet by weighted rendezvous hashing of its flow, without any flow state.
#[derive(Debug, Default)]
pub struct StatelessHashPlane {
    view: Option<Arc<View>>,
}

/// Pins flows on each host without homes: a host keeps the target that it first sent a flow to.
#[derive(Debug, Default)]
pub struct LocalPins {
    stateless: StatelessHashPlane,
    pins: std::collections::BTreeMap<u128, IpAddr>,
}

/// A packet of a caller that needs a target.
struct CallerPacket {
    parsed: PacketView,
    listener: ListenerId,
    hash: flow::FlowHash,
}

impl StatelessHashPlane {
    /// Forwards the packet of a target; returns the packet of a caller, which needs a target.
    fn classify(&self, packet: &mut [u8], out: &mut Outbox) -> Option<CallerPacket> {
        let view = self.view.as_ref()?;
        let parsed = PacketView::parse(packet).ok()?;
        let settings = &view.settings;
        if let Some(listener) = settings.find_listener(parsed.protocol, parsed.destination) {
            let key = FlowKey {
                protocol: parsed.protocol,
                caller: parsed.source,
                service: parsed.destination,
            };
            return Some(CallerPacket { parsed, listener, hash: view.hasher.hash(&key) });
        }
        let target = settings.find_target(parsed.source.ip())?;
        let listener =
            settings.find_listener_by_target_port(target, parsed.protocol, parsed.source.port())?;
        rewrite_source(packet, &parsed, settings.listener(listener).address);
        out.push_fabric(packet);
        None
    }

    fn choose_target(&self, caller_packet: &CallerPacket) -> Option<IpAddr> {
        let view = self.view.as_ref()?;
        let listener = view.settings.listener(caller_packet.listener);
        let targets = &view.settings.service(listener.service).targets;
        targets
            .iter()
            .map(|id| view.settings.target(*id))
            .filter(|target| target.is_active())
            .max_by(|left, right| {
                let score = |target: &settings::Target| {
                    weighted_score(caller_packet.hash.seed(), target.seed, target.policy.weight)
                };
                score(left).total_cmp(&score(right))
            })
            .map(|target| target.address)
    }

    fn send(
        &self,
        caller_packet: &CallerPacket,
        target: IpAddr,
        packet: &mut [u8],
        out: &mut Outbox,
    ) {
        let Some(view) = &self.view else { return };
        let port = view.settings.listener(caller_packet.listener).target_port;
        rewrite_destination(packet, &caller_packet.parsed, SocketAddr::new(target, port));
        out.push_fabric(packet);
    }

    fn receive_control(from: SocketAddr, datagram: &[u8], out: &mut Outbox) {
        let key = host::HostConfig::default().peer_key;
        let Ok(frame) = wire::Frame::open(datagram, &key) else { return };
        if let Ok(message) = wire::decode(frame.body) {
            let sender = frame.sender;
            out.events.push(host::TrafficEvent::Control { from, sender, message });
        }
    }
}

impl DataPlane for StatelessHashPlane {
    fn on_view(&mut self, view: Arc<View>, _now_ms: u64, _out: &mut Outbox) {
        self.view = Some(view);
    }

    fn on_fabric(&mut self, packet: &mut [u8], _now_ms: u64, out: &mut Outbox) {
        if let Some(caller_packet) = self.classify(packet, out)
            && let Some(target) = self.choose_target(&caller_packet)
        {
            self.send(&caller_packet, target, packet, out);
        }
    }

    fn on_peer(&mut self, from: SocketAddr, datagram: &mut [u8], _now_ms: u64, out: &mut Outbox) {
        StatelessHashPlane::receive_control(from, datagram, out);
    }

    fn on_tick(&mut self, _now_ms: u64, out: &mut Outbox) {
        // A stopping host waits for this event; a baseline has no pins to transfer.
        out.events.push(host::TrafficEvent::HandedOver);
    }
}

impl DataPlane for LocalPins {
    fn on_view(&mut self, view: Arc<View>, now_ms: u64, out: &mut Outbox) {
        self.stateless.on_view(view, now_ms, out);
    }

    fn on_fabric(&mut self, packet: &mut [u8], _now_ms: u64, out: &mut Outbox) {
        let Some(caller_packet) = self.stateless.classify(packet, out) else { return };
        let Some(choice) = self.stateless.choose_target(&caller_packet) else { return };
        let target = *self.pins.entry(caller_packet.hash.0).or_insert(choice);
        self.stateless.send(&caller_packet, target, packet, out);
    }

    fn on_peer(&mut self, from: SocketAddr, datagram: &mut [u8], _now_ms: u64, out: &mut Outbox) {
        StatelessHashPlane::receive_control(from, datagram, out);
    }

    fn on_tick(&mut self, now_ms: u64, out: &mut Outbox) {
        self.stateless.on_tick(now_ms, out);
    }
}
