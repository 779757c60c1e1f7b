//! Packet handling at the home of a flow.

use std::net::IpAddr;

use flow::{DropReason, PacketView, TcpView, reset_from_destination, reset_to_destination};
use routing::{Pin, PinState};

use crate::{
    Outbox, TrafficEvent,
    traffic::{Context, Direction, Packet, Traffic, search::FirstCandidate, silence::track_data},
};

/// How far the caller's first acknowledgement may be past the target's initial sequence number, in
/// bytes.
const FIRST_ACK_WINDOW: u32 = 1 << 17;

/// How far a caller's reset may be from the end of the data it sent, in bytes.
const RESET_WINDOW: u32 = 1 << 20;

impl Traffic {
    pub(super) fn handle_at_home(
        &mut self,
        packet: &Packet,
        bytes: &mut [u8],
        cx: &mut Context<'_>,
    ) {
        if self.forward_established(packet, bytes, cx) {
            return;
        }
        if self.pins.get(packet.hash).is_some() {
            return self.handle_with_pin(packet, bytes, cx);
        }
        if self.ask_holder(packet, bytes, cx) {
            return;
        }
        self.handle_without_pin(packet, bytes, cx);
    }

    /// Fast path: forwards data of an established flow with a single pin lookup. Nearly all packets
    /// take it. Returns whether the packet was handled.
    fn forward_established(
        &mut self,
        packet: &Packet,
        bytes: &mut [u8],
        cx: &mut Context<'_>,
    ) -> bool {
        let (Direction::Forward, Some(tcp)) = (packet.direction, packet.view.tcp) else {
            return false;
        };
        if tcp.is_control() {
            return false;
        }
        let clock_ds = self.clock_ds(cx.now_ms);
        let Some(pin) = self.pins.get_mut(packet.hash) else { return false };
        if pin.state != PinState::Established {
            return false;
        }
        pin.seen_at_ds = clock_ds;
        let data = track_data(pin, &tcp, packet.view.payload_len, clock_ds);
        let pin = *pin;
        let Some(target) = self.directory.address(pin.target) else { return false };
        if self.detect_silence(&pin, data, clock_ds) {
            self.reset_silent(packet, target, cx);
        } else {
            self.send_to_target(packet, bytes, target, cx);
        }
        true
    }

    /// Handles a packet of a flow for which neither this host nor the bucket's previous holder has
    /// a pin.
    pub(super) fn handle_without_pin(
        &mut self,
        packet: &Packet,
        bytes: &mut [u8],
        cx: &mut Context<'_>,
    ) {
        // The pin may have arrived while the previous holder was asked.
        if self.pins.get(packet.hash).is_some() {
            return self.handle_with_pin(packet, bytes, cx);
        }
        match (packet.direction, packet.view.tcp) {
            (Direction::Forward, None) => self.start_opening(packet, bytes, cx),
            (Direction::Forward, Some(tcp)) if tcp.is_opening() => {
                self.start_opening(packet, bytes, cx);
            }
            (Direction::Forward, Some(tcp)) if tcp.flags.rst => {
                self.counters.count_drop(DropReason::NoTarget);
            }
            (Direction::Forward, Some(_)) => {
                self.start_search(packet, bytes, FirstCandidate::Any, cx);
            }
            (Direction::Return { target }, Some(tcp)) => {
                self.pin_to_sender(packet, bytes, &tcp, target, cx);
            }
            (Direction::Return { .. }, None) => self.send_to_caller(packet, bytes, cx),
        }
    }

    pub(super) fn handle_with_pin(
        &mut self,
        packet: &Packet,
        bytes: &mut [u8],
        cx: &mut Context<'_>,
    ) {
        let clock_ds = self.clock_ds(cx.now_ms);
        let Some(pin) = self.pins.get_mut(packet.hash) else { return };
        pin.seen_at_ds = clock_ds;
        let pin = *pin;
        match packet.direction {
            Direction::Forward => self.forward_pinned(packet, bytes, &pin, cx),
            Direction::Return { target } => {
                self.return_pinned(packet, bytes, &pin, target, cx);
            }
        }
    }

    fn forward_pinned(
        &mut self,
        packet: &Packet,
        bytes: &mut [u8],
        pin: &Pin,
        cx: &mut Context<'_>,
    ) {
        let target = self.directory.address(pin.target);
        let (Some(tcp), Some(target)) = (packet.view.tcp, target) else {
            return self.forward_udp_or_waiting(packet, bytes, pin, cx);
        };
        match pin.state {
            PinState::Waiting => {}
            PinState::Opening if tcp.is_opening() => {
                self.send_to_target(packet, bytes, target, cx);
            }
            PinState::Opening if tcp.flags.rst => {
                self.close_pin(packet, cx);
                self.send_to_target(packet, bytes, target, cx);
            }
            // The caller sends this only after a target's answer, and the pinned target gave none.
            PinState::Opening => {
                let first = FirstCandidate::Likely(target);
                self.start_search(packet, bytes, first, cx);
            }
            PinState::Answered if tcp.is_opening() => {
                self.send_to_target(packet, bytes, target, cx);
            }
            PinState::Answered if acknowledges(pin, &tcp) => {
                self.set_state(packet, PinState::Established);
                self.forward_tcp(packet, bytes, &tcp, target, cx);
            }
            // The acknowledgement does not fit the pinned target, so another target has answered.
            PinState::Answered => {
                let first = FirstCandidate::AllBut(target);
                self.start_search(packet, bytes, first, cx);
            }
            PinState::Searching => self.forward_during_search(packet, bytes, cx),
            PinState::Established | PinState::Closing | PinState::Guessed => {
                self.forward_tcp(packet, bytes, &tcp, target, cx);
            }
        }
    }

    // Handles UDP datagrams and flows that wait for a target.
    fn forward_udp_or_waiting(
        &mut self,
        packet: &Packet,
        bytes: &mut [u8],
        pin: &Pin,
        cx: &mut Context<'_>,
    ) {
        if let Some(target) = self.directory.address(pin.target) {
            return self.send_to_target(packet, bytes, target, cx);
        }
        let is_aborted = packet.view.tcp.is_some_and(|tcp| tcp.flags.rst);
        if is_aborted {
            return self.close_pin(packet, cx);
        }
        let is_opening = packet.view.tcp.is_none_or(|tcp| tcp.is_opening());
        if pin.state == PinState::Waiting && is_opening {
            return self.on_opening_repeated(packet, bytes, cx);
        }
        self.counters.count_drop(DropReason::NoTarget);
    }

    fn forward_tcp(
        &mut self,
        packet: &Packet,
        bytes: &mut [u8],
        tcp: &TcpView,
        target: IpAddr,
        cx: &mut Context<'_>,
    ) {
        if tcp.flags.rst && self.is_plausible_reset(packet, tcp) {
            self.close_pin(packet, cx);
            return self.send_to_target(packet, bytes, target, cx);
        }
        if tcp.is_opening() && self.can_reuse_ports(packet, cx.now_ms) {
            self.pins.remove(packet.hash);
            return self.start_opening(packet, bytes, cx);
        }
        if self.track_caller_progress(packet, tcp, cx.now_ms) {
            return self.reset_silent(packet, target, cx);
        }
        self.send_to_target(packet, bytes, target, cx);
    }

    fn return_pinned(
        &mut self,
        packet: &Packet,
        bytes: &mut [u8],
        pin: &Pin,
        target: IpAddr,
        cx: &mut Context<'_>,
    ) {
        let Some(tcp) = packet.view.tcp else {
            return self.send_to_caller(packet, bytes, cx);
        };
        if pin.state == PinState::Searching {
            return self.return_during_search(packet, bytes, &tcp, target, cx);
        }
        if self.directory.address(pin.target) != Some(target) {
            // Two hosts opened the flow while their views of its home differed; the pinned target
            // is kept. The other target is not reset: a delayed reset could hit an unrelated flow,
            // and a half-open connection times out by itself.
            return self.counters.count_drop(DropReason::WrongTarget);
        }
        self.answer_times.record(pin.target, self.clock_ds(cx.now_ms));
        if tcp.flags.rst && pin.state == PinState::Opening {
            return self.retry_after_reset(packet, pin, cx);
        }
        // The search ended at a target that could not answer at the time. The caller's next packet
        // starts another search.
        if tcp.flags.rst && pin.state == PinState::Guessed {
            self.pins.remove(packet.hash);
            return;
        }
        // The caller has not acknowledged this target's answer: a delayed copy of the opening may
        // have been sent to it, while the flow continues at another target.
        if tcp.flags.rst && pin.state == PinState::Answered {
            self.pins.remove(packet.hash);
            return self.release(packet.hash, packet.listener, target, cx);
        }
        if tcp.is_syn_ack() {
            self.record_answer(packet, pin, &tcp);
            return self.send_to_caller(packet, bytes, cx);
        }
        // The target has closed the flow, so its slot is free.
        self.close_by_target(packet, bytes, pin, cx);
    }

    fn record_answer(&mut self, packet: &Packet, pin: &Pin, tcp: &TcpView) {
        let Some(stored) = self.pins.get_mut(packet.hash) else { return };
        if pin.state == PinState::Opening || pin.state == PinState::Closing {
            stored.state = PinState::Answered;
        }
        if stored.state == PinState::Answered {
            stored.sequence = tcp.sequence;
        }
        stored.caller_sequence = tcp.acknowledgement;
        stored.attempts = 0;
        self.openings.remove(packet.hash);
    }

    fn is_plausible_reset(&self, packet: &Packet, tcp: &TcpView) -> bool {
        let Some(pin) = self.pins.get(packet.hash) else { return false };
        // A pin received from another host does not include the caller's sequence number.
        pin.caller_sequence == 0
            || sequence_distance(tcp.sequence, pin.caller_sequence) < RESET_WINDOW
    }

    /// Whether the flow has ended long enough ago that a new flow may reuse its ports.
    fn can_reuse_ports(&self, packet: &Packet, now_ms: u64) -> bool {
        const REUSE_AFTER_DS: u32 = 10;
        let clock_ds = self.clock_ds(now_ms);
        self.pins.get(packet.hash).is_some_and(|pin| {
            pin.state == PinState::Closing
                && clock_ds.saturating_sub(pin.progress_at_ds) >= REUSE_AFTER_DS
        })
    }

    pub(super) fn set_state(&mut self, packet: &Packet, state: PinState) {
        if let Some(pin) = self.pins.get_mut(packet.hash) {
            pin.state = state;
        }
    }

    /// Resets both ends of a silent flow, whose state was lost somewhere between them.
    fn reset_silent(&mut self, packet: &Packet, target: IpAddr, cx: &mut Context<'_>) {
        self.counters.count(crate::Counter::Silent);
        if let Some(reset) = reset_from_destination(&packet.view) {
            cx.out.push_fabric(&reset);
        }
        if let Some(mut reset) = reset_to_destination(&packet.view)
            && let Ok(parsed) = PacketView::parse(&reset)
        {
            let forward = Packet { view: parsed, ..*packet };
            self.send_to_target(&forward, &mut reset, target, cx);
        }
        self.close_pin(packet, cx);
    }

    pub(super) fn push_closed_event(&mut self, pin: &Pin, now_ms: u64, out: &mut Outbox) {
        let age_ds = self.clock_ds(now_ms).saturating_sub(pin.opened_at_ds);
        out.events.push(TrafficEvent::Closed {
            listener_key: pin.listener_key,
            open_ms: u64::from(age_ds) * 100,
        });
    }
}

/// Whether `tcp` acknowledges the target's answer, or is a reset, which need not acknowledge it.
fn acknowledges(pin: &Pin, tcp: &TcpView) -> bool {
    let offset = tcp.acknowledgement.wrapping_sub(pin.sequence.wrapping_add(1));
    (tcp.flags.ack && offset < FIRST_ACK_WINDOW) || (tcp.flags.rst && !tcp.flags.ack)
}

fn sequence_distance(left: u32, right: u32) -> u32 {
    left.wrapping_sub(right).min(right.wrapping_sub(left))
}
