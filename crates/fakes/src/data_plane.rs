//! The interface of a host's data plane, so that alternatives can be compared with the real one.

use std::{net::SocketAddr, sync::Arc};

use host::{Destination, Outbox, Traffic, View};

/// The data plane of a host.
pub trait DataPlane {
    /// Replaces the view that forwarding decisions use.
    fn on_view(&mut self, view: Arc<View>, now_ms: u64, out: &mut Outbox);

    /// Handles a packet from the fabric.
    fn on_fabric(&mut self, packet: &mut [u8], now_ms: u64, out: &mut Outbox);

    /// Handles a datagram from another host.
    fn on_peer(&mut self, from: SocketAddr, datagram: &mut [u8], now_ms: u64, out: &mut Outbox);

    /// Advances time.
    fn on_tick(&mut self, now_ms: u64, out: &mut Outbox);

    /// Slots that this host has assigned and that are in use; 0 if it assigns none.
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

/// A datagram that a host sends, with its destination.
pub(crate) type Datagram = (Destination, Vec<u8>);
