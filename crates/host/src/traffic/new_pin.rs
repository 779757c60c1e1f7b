//! The creation of pins, also for flows first seen in a packet from their target.

use std::net::IpAddr;

use flow::{DropReason, TcpView};
use routing::{Pin, PinState};

use crate::traffic::{Context, Packet, Traffic};

impl Traffic {
    /// Pins a flow to the target that sent `packet`. Only the target that has the connection sends
    /// anything but a reset.
    pub(super) fn pin_to_sender(
        &mut self,
        packet: &Packet,
        bytes: &mut [u8],
        tcp: &TcpView,
        target: IpAddr,
        cx: &mut Context<'_>,
    ) {
        // The reset may answer a search by another host, so it must not reach the caller, who will
        // retransmit.
        if tcp.flags.rst {
            return self.counters.count_drop(DropReason::NoTarget);
        }
        let state = if tcp.is_answer() { PinState::Answered } else { PinState::Closing };
        let pin = Pin {
            state,
            sequence: tcp.sequence,
            caller_sequence: tcp.acknowledgement,
            ..self.new_pin(packet, target, cx.now_ms)
        };
        self.pins.insert(pin);
        if state == PinState::Answered {
            return self.send_to_caller(packet, bytes, cx);
        }
        self.close_by_target(packet, bytes, &pin, cx);
    }

    pub(super) fn new_pin(&mut self, packet: &Packet, target: IpAddr, now_ms: u64) -> Pin {
        let clock_ds = self.clock_ds(now_ms);
        Pin {
            hash: packet.hash,
            target: self.directory.intern(target),
            listener_key: packet.listener_key,
            sequence: 0,
            opened_at_ds: clock_ds,
            seen_at_ds: clock_ds,
            caller_sequence: 0,
            progress_at_ds: clock_ds,
            state: PinState::Opening,
            attempts: 0,
            is_copied: false,
        }
    }
}
