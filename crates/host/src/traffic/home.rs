//! What the home of a flow does with its packets.

use std::net::IpAddr;

use flow::{DropReason, PacketView, TcpView, reset_from_destination, reset_to_destination};
use routing::{Pin, PinState};

use crate::{
    Outbox, TrafficEvent,
    traffic::{Context, Direction, Packet, Traffic, search::FirstTry, silence::note_data},
};

/// How far the first acknowledgement may be from the target's initial sequence number, in bytes.
const FIRST_ACK_WINDOW: u32 = 1 << 17;

/// How far a caller's reset may be from the data it sent, in bytes.
const RESET_WINDOW: u32 = 1 << 20;

impl Traffic {
    pub(super) fn at_home(&mut self, packet: &Packet, bytes: &mut [u8], cx: &mut Context<'_>) {
        if self.forward_established(packet, bytes, cx) {
            return;
        }
        if self.pins.get(packet.hash).is_some() {
            return self.at_home_pinned(packet, bytes, cx);
        }
        if self.ask_holder(packet, bytes, cx) {
            return;
        }
        self.at_home_unknown(packet, bytes, cx);
    }

    /// Forwards data of an established flow, which nearly all packets are, with one look at the pin.
    /// Returns whether the packet was such.
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
        let data = note_data(pin, &tcp, packet.view.payload_len, clock_ds);
        let pin = *pin;
        let Some(target) = self.directory.address(pin.target) else { return false };
        if self.is_silent(&pin, data, clock_ds) {
            self.reset_silent(packet, target, cx);
        } else {
            self.send_to_target(packet, bytes, target, cx);
        }
        true
    }

    /// A packet of a flow that neither this host nor an earlier holder has a pin for.
    pub(super) fn at_home_unknown(
        &mut self,
        packet: &Packet,
        bytes: &mut [u8],
        cx: &mut Context<'_>,
    ) {
        // The pin may have come while the packet was on its way.
        if self.pins.get(packet.hash).is_some() {
            return self.at_home_pinned(packet, bytes, cx);
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
                self.start_search(packet, bytes, FirstTry::Any, cx);
            }
            (Direction::Return { target }, Some(tcp)) => {
                self.adopt(packet, bytes, &tcp, target, cx);
            }
            (Direction::Return { .. }, None) => self.send_to_caller(packet, bytes, cx),
        }
    }

    pub(super) fn at_home_pinned(
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
            return self.forward_simple(packet, bytes, pin, cx);
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
            // Only a target's answer lets a caller send this, and none came from the pinned one.
            PinState::Opening => {
                let first = FirstTry::Likely(target);
                self.start_search(packet, bytes, first, cx);
            }
            PinState::Answered if tcp.is_opening() => {
                self.send_to_target(packet, bytes, target, cx);
            }
            PinState::Answered if acknowledges(pin, &tcp) => {
                self.set_state(packet, PinState::Established);
                self.pass_forward(packet, bytes, &tcp, target, cx);
            }
            // The caller was answered by another target than the pinned one.
            PinState::Answered => {
                let first = FirstTry::AllBut(target);
                self.start_search(packet, bytes, first, cx);
            }
            PinState::Searching => self.forward_searching(packet, bytes, cx),
            PinState::Established | PinState::Closing | PinState::Guessed => {
                self.pass_forward(packet, bytes, &tcp, target, cx);
            }
        }
    }

    // A datagram, or a flow that waits for its target.
    fn forward_simple(
        &mut self,
        packet: &Packet,
        bytes: &mut [u8],
        pin: &Pin,
        cx: &mut Context<'_>,
    ) {
        if let Some(target) = self.directory.address(pin.target) {
            return self.send_to_target(packet, bytes, target, cx);
        }
        let gave_up = packet.view.tcp.is_some_and(|tcp| tcp.flags.rst);
        if gave_up {
            return self.close_pin(packet, cx);
        }
        let is_opening = packet.view.tcp.is_none_or(|tcp| tcp.is_opening());
        if pin.state == PinState::Waiting && is_opening {
            return self.repeat_request(packet, bytes, cx);
        }
        self.counters.count_drop(DropReason::NoTarget);
    }

    fn pass_forward(
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
        if tcp.is_opening() && self.is_over(packet, cx.now_ms) {
            self.pins.remove(packet.hash);
            return self.start_opening(packet, bytes, cx);
        }
        if self.note_progress(packet, tcp, cx.now_ms) {
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
            return self.return_searching(packet, bytes, &tcp, target, cx);
        }
        if self.directory.address(pin.target) != Some(target) {
            // Two hosts opened the flow while they disagreed about its home; the pinned target stays.
            // The other one is not reset: a late reset could meet a flow it was not meant for, and
            // a half-open connection ends by itself.
            return self.counters.count_drop(DropReason::WrongTarget);
        }
        self.answers.note(pin.target, self.clock_ds(cx.now_ms));
        if tcp.flags.rst && pin.state == PinState::Opening {
            return self.retry_refused(packet, pin, cx);
        }
        // The search had ended at a target that could not answer; the caller's next packet starts
        // another.
        if tcp.flags.rst && pin.state == PinState::Guessed {
            self.pins.remove(packet.hash);
            return;
        }
        // The caller has not acknowledged this target: a late copy of its opening may have come
        // here, while the flow goes on at another target.
        if tcp.flags.rst && pin.state == PinState::Answered {
            self.pins.remove(packet.hash);
            return self.release(packet.hash, packet.listener, target, cx);
        }
        if tcp.is_syn_ack() {
            self.note_answer(packet, pin, &tcp);
            return self.send_to_caller(packet, bytes, cx);
        }
        // From here on the target is done with the flow: its slot is free.
        self.close_target(packet, bytes, pin, cx);
    }

    fn note_answer(&mut self, packet: &Packet, pin: &Pin, tcp: &TcpView) {
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
        // A copied pin does not know where the caller's data ends.
        pin.caller_sequence == 0 || distance(tcp.sequence, pin.caller_sequence) < RESET_WINDOW
    }

    /// Whether the flow has ended, so that a new one may use its ports.
    fn is_over(&self, packet: &Packet, now_ms: u64) -> bool {
        const QUIET_DS: u32 = 10;
        let clock_ds = self.clock_ds(now_ms);
        self.pins.get(packet.hash).is_some_and(|pin| {
            pin.state == PinState::Closing
                && clock_ds.saturating_sub(pin.progress_at_ds) >= QUIET_DS
        })
    }

    pub(super) fn set_state(&mut self, packet: &Packet, state: PinState) {
        if let Some(pin) = self.pins.get_mut(packet.hash) {
            pin.state = state;
        }
    }

    /// Resets both ends of a flow that something on the way has lost.
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

    pub(super) fn note_closed(&mut self, pin: &Pin, now_ms: u64, out: &mut Outbox) {
        let age_ds = self.clock_ds(now_ms).saturating_sub(pin.opened_at_ds);
        out.events.push(TrafficEvent::Closed {
            listener_key: pin.listener_key,
            open_ms: u64::from(age_ds) * 100,
        });
    }
}

fn acknowledges(pin: &Pin, tcp: &TcpView) -> bool {
    let offset = tcp.acknowledgement.wrapping_sub(pin.sequence.wrapping_add(1));
    (tcp.flags.ack && offset < FIRST_ACK_WINDOW) || (tcp.flags.rst && !tcp.flags.ack)
}

fn distance(left: u32, right: u32) -> u32 {
    left.wrapping_sub(right).min(right.wrapping_sub(left))
}
