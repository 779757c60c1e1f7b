//! Other ways to forward packets, to compare with.

use std::{
    net::{IpAddr, SocketAddr},
    sync::Arc,
};

use fakes::data_plane::DataPlane;
use flow::{FlowKey, PacketView, rewrite_destination, rewrite_source};
use host::{Outbox, View};
use routing::weighted_score;
use settings::ListenerId;

/// A consistent table without state: every packet goes where the hash says.
#[derive(Debug, Default)]
pub struct TableOnly {
    view: Option<Arc<View>>,
}

/// Pins on each host without homes: a host remembers where it sent a flow first.
#[derive(Debug, Default)]
pub struct LocalPins {
    table: TableOnly,
    pins: std::collections::BTreeMap<u128, IpAddr>,
}

/// A packet towards a target.
struct Forward {
    parsed: PacketView,
    listener: ListenerId,
    hash: flow::FlowHash,
}

impl TableOnly {
    /// Sends a target's packet on; gives a caller's packet back for a decision.
    fn classify(&self, packet: &mut [u8], out: &mut Outbox) -> Option<Forward> {
        let view = self.view.as_ref()?;
        let parsed = PacketView::parse(packet).ok()?;
        let settings = &view.settings;
        if let Some(listener) = settings.find_listener(parsed.protocol, parsed.destination) {
            let key = FlowKey {
                protocol: parsed.protocol,
                caller: parsed.source,
                service: parsed.destination,
            };
            return Some(Forward { parsed, listener, hash: view.hasher.hash(&key) });
        }
        let target = settings.find_target(parsed.source.ip())?;
        let listener =
            settings.find_listener_by_target_port(target, parsed.protocol, parsed.source.port())?;
        rewrite_source(packet, &parsed, settings.listener(listener).address);
        out.push_fabric(packet);
        None
    }

    fn choose(&self, forward: &Forward) -> Option<IpAddr> {
        let view = self.view.as_ref()?;
        let listener = view.settings.listener(forward.listener);
        let targets = &view.settings.service(listener.service).targets;
        targets
            .iter()
            .map(|id| view.settings.target(*id))
            .filter(|target| target.is_active())
            .max_by(|left, right| {
                let rank = |target: &settings::Target| {
                    weighted_score(forward.hash.seed(), target.seed, target.policy.weight)
                };
                rank(left).total_cmp(&rank(right))
            })
            .map(|target| target.address)
    }

    fn send(&self, forward: &Forward, target: IpAddr, packet: &mut [u8], out: &mut Outbox) {
        let Some(view) = &self.view else { return };
        let port = view.settings.listener(forward.listener).target_port;
        rewrite_destination(packet, &forward.parsed, SocketAddr::new(target, port));
        out.push_fabric(packet);
    }

    fn take_control(from: SocketAddr, datagram: &[u8], out: &mut Outbox) {
        let key = host::HostConfig::default().peer_key;
        let Ok(frame) = wire::Frame::open(datagram, &key) else { return };
        if let Ok(message) = wire::decode(frame.body) {
            let sender = frame.sender;
            out.events.push(host::TrafficEvent::Control { from, sender, message });
        }
    }
}

impl DataPlane for TableOnly {
    fn on_view(&mut self, view: Arc<View>, _now_ms: u64, _out: &mut Outbox) {
        self.view = Some(view);
    }

    fn on_fabric(&mut self, packet: &mut [u8], _now_ms: u64, out: &mut Outbox) {
        if let Some(forward) = self.classify(packet, out)
            && let Some(target) = self.choose(&forward)
        {
            self.send(&forward, target, packet, out);
        }
    }

    fn on_peer(&mut self, from: SocketAddr, datagram: &mut [u8], _now_ms: u64, out: &mut Outbox) {
        TableOnly::take_control(from, datagram, out);
    }

    fn on_tick(&mut self, _now_ms: u64, out: &mut Outbox) {
        out.events.push(host::TrafficEvent::HandedOver);
    }
}

impl DataPlane for LocalPins {
    fn on_view(&mut self, view: Arc<View>, now_ms: u64, out: &mut Outbox) {
        self.table.on_view(view, now_ms, out);
    }

    fn on_fabric(&mut self, packet: &mut [u8], _now_ms: u64, out: &mut Outbox) {
        let Some(forward) = self.table.classify(packet, out) else { return };
        let Some(choice) = self.table.choose(&forward) else { return };
        let target = *self.pins.entry(forward.hash.0).or_insert(choice);
        self.table.send(&forward, target, packet, out);
    }

    fn on_peer(&mut self, from: SocketAddr, datagram: &mut [u8], _now_ms: u64, out: &mut Outbox) {
        TableOnly::take_control(from, datagram, out);
    }

    fn on_tick(&mut self, now_ms: u64, out: &mut Outbox) {
        self.table.on_tick(now_ms, out);
    }
}
