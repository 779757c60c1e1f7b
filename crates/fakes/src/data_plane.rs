//! What a host does with packets, so that other ways can be compared with the real one.

use std::{net::SocketAddr, sync::Arc};

use host::{Destination, Outbox, Traffic, View};

/// The packet side of a host.
pub trait DataPlane {
    /// Takes over a view.
    fn on_view(&mut self, view: Arc<View>, now_ms: u64, out: &mut Outbox);

    /// Handles a packet from the fabric.
    fn on_fabric(&mut self, packet: &mut [u8], now_ms: u64, out: &mut Outbox);

    /// Handles a datagram from another host.
    fn on_peer(&mut self, from: SocketAddr, datagram: &mut [u8], now_ms: u64, out: &mut Outbox);

    /// Advances time.
    fn on_tick(&mut self, now_ms: u64, out: &mut Outbox);

    /// How many slots this host has assigned that are in use, if it assigns any.
    fn assigned_slots(&self) -> u32 {
        0
    }
}

impl DataPlane for Traffic {
    fn on_view(&mut self, view: Arc<View>, now_ms: u64, out: &mut Outbox) {
        Traffic::on_view(self, view, now_ms, out);
    }

    fn on_fabric(&mut self, packet: &mut [u8], now_ms: u64, out: &mut Outbox) {
        Traffic::on_fabric(self, packet, now_ms, out);
    }

    fn on_peer(&mut self, from: SocketAddr, datagram: &mut [u8], now_ms: u64, out: &mut Outbox) {
        Traffic::on_peer(self, from, datagram, now_ms, out);
    }

    fn on_tick(&mut self, now_ms: u64, out: &mut Outbox) {
        Traffic::on_tick(self, now_ms, out);
    }

    fn assigned_slots(&self) -> u32 {
        self.usage().iter().map(|(_, usage)| usage.requests).sum()
    }
}

/// A datagram on its way.
pub(crate) type Datagram = (Destination, Vec<u8>);
