//! Openings at the home: it asks an opener for a target and pins the flow to it.

use std::net::{IpAddr, Ipv6Addr};

use flow::{DropReason, FlowHash, PacketView, reset_from_destination};
use hashbrown::HashMap;
use routing::{Pin, PinState, TARGET_NONE};
use settings::ListenerId;
use wire::{Frame, FrameKind};

use crate::{
    Counter, Outbox, TrafficEvent, View,
    traffic::{Context, Packet, Traffic},
};

/// How long the home waits for the target's answer to an opening, in milliseconds.
const ANSWER_TIMEOUT_MS: u64 = 700;

/// The maximum number of times that an opening is retried.
const RETRIES_MAX: u8 = 3;

/// An opening that no target has answered yet.
#[derive(Debug)]
struct PendingOpening {
    packet: Vec<u8>,
    started_at_ms: u64,
    /// When the opening was last sent to a target, unless it waits for one.
    sent_at_ms: Option<u64>,
}

/// The pending openings of flows whose home is this host.
#[derive(Debug, Default)]
pub(super) struct OpeningTable {
    pending: HashMap<FlowHash, PendingOpening>,
}

impl OpeningTable {
    pub(super) fn len(&self) -> usize {
        self.pending.len()
    }

    pub(super) fn remove(&mut self, hash: FlowHash) {
        self.pending.remove(&hash);
    }
}

impl Traffic {
    pub(super) fn start_opening(
        &mut self,
        packet: &Packet,
        bytes: &mut [u8],
        cx: &mut Context<'_>,
    ) {
        // A target might process data sent with an opening. Refusing the flow afterwards would
        // wrongly tell the caller that the data was not processed.
        if packet.view.tcp.is_some() && packet.view.payload_len > 0 {
            return self.counters.count_drop(DropReason::OpeningWithData);
        }
        let is_full = self.openings.len() >= self.config.openings_max
            || self.pins.len() >= self.config.pins_max;
        if is_full {
            return self.counters.count_drop(DropReason::Full);
        }
        let unspecified = IpAddr::V6(Ipv6Addr::UNSPECIFIED);
        let pin = Pin {
            target: TARGET_NONE,
            state: PinState::Waiting,
            ..self.new_pin(packet, unspecified, cx.now_ms)
        };
        self.pins.insert(pin);
        let pending =
            PendingOpening { packet: bytes.to_vec(), started_at_ms: cx.now_ms, sent_at_ms: None };
        self.openings.pending.insert(packet.hash, pending);
        self.ask_opener(packet, bytes, cx);
    }

    /// Handles a retransmitted opening that still waits for a target.
    pub(super) fn on_opening_repeated(
        &mut self,
        packet: &Packet,
        bytes: &mut [u8],
        cx: &mut Context<'_>,
    ) {
        self.ask_opener(packet, bytes, cx);
    }

    fn ask_opener(&mut self, packet: &Packet, bytes: &mut [u8], cx: &mut Context<'_>) {
        let service = cx.view.settings.listener(packet.listener).service;
        let openers = cx.view.openers_for(service, packet.hash, cx.view.domain_seed);
        let header = self.header(FrameKind::AskOpener, 0, packet.listener_key, cx.now_ms);
        match openers.first() {
            Some(opener) if *opener == self.me => {
                self.on_ask_opener(&header, packet, bytes, cx);
            }
            Some(opener) => self.send_frame(*opener, &header, bytes, cx),
            None => self.on_refused(&header, packet, cx),
        }
    }

    pub(super) fn on_granted(
        &mut self,
        frame: &Frame<'_>,
        packet: &Packet,
        bytes: &mut [u8],
        cx: &mut Context<'_>,
    ) {
        let pinned = self.pins.get(packet.hash).copied();
        let Some(pin) = pinned.filter(|pin| pin.state == PinState::Waiting) else {
            let pinned_target = pinned.and_then(|pin| self.directory.address(pin.target));
            if pinned_target != Some(frame.target) {
                self.release(packet.hash, packet.listener, frame.target, cx);
            }
            return;
        };
        let is_tcp = packet.view.tcp.is_some();
        let state = if is_tcp { PinState::Opening } else { PinState::Established };
        let target = self.directory.intern(frame.target);
        // The age by which openers count flows starts here; it excludes the time in the queue.
        let opened_at_ds = self.clock_ds(cx.now_ms);
        self.pins.insert(Pin { target, state, opened_at_ds, ..pin });
        let started_at_ms =
            self.openings.pending.get(&packet.hash).map_or(cx.now_ms, |entry| entry.started_at_ms);
        if let Some(pending) = self.openings.pending.get_mut(&packet.hash) {
            pending.sent_at_ms = Some(cx.now_ms);
        }
        if !is_tcp {
            self.openings.remove(packet.hash);
        }
        self.counters.count(Counter::Opened);
        cx.out.events.push(TrafficEvent::Opened {
            listener_key: packet.listener_key,
            waited_ms: cx.now_ms.saturating_sub(started_at_ms),
        });
        self.send_to_target(packet, bytes, frame.target, cx);
    }

    /// Resets a flow that no target accepted. No target has seen any of its data, so a reset does
    /// not mislead the caller.
    pub(super) fn on_refused(&mut self, frame: &Frame<'_>, packet: &Packet, cx: &mut Context<'_>) {
        let is_waiting =
            self.pins.get(packet.hash).is_some_and(|pin| pin.state == PinState::Waiting);
        if !is_waiting {
            return;
        }
        self.pins.remove(packet.hash);
        self.openings.remove(packet.hash);
        self.counters.count(Counter::Refused);
        let code = super::opener::refusal_code(frame.hops);
        cx.out.events.push(TrafficEvent::Refused { listener_key: packet.listener_key, code });
        if let Some(reset) = reset_from_destination(&packet.view) {
            cx.out.push_fabric(&reset);
        }
    }

    /// Moves openings to another target if theirs has not answered in time.
    pub(super) fn tick_openings(&mut self, now_ms: u64, out: &mut Outbox) {
        let Some(view) = self.view.clone() else { return };
        let is_timed_out = |pending: &PendingOpening| {
            pending.sent_at_ms.is_some_and(|at_ms| now_ms >= at_ms + ANSWER_TIMEOUT_MS)
        };
        let timed_out: Vec<FlowHash> = self
            .openings
            .pending
            .iter()
            .filter(|(_, pending)| is_timed_out(pending))
            .map(|(hash, _)| *hash)
            .collect();
        for hash in timed_out {
            let Some(pending) = self.openings.pending.get_mut(&hash) else { continue };
            pending.sent_at_ms = None;
            let mut bytes = pending.packet.clone();
            let pin = self.pins.get(hash).copied();
            let Some(pin) = pin.filter(|pin| pin.state == PinState::Opening) else { continue };
            let Some(packet) = self.reparse(&view, &bytes) else { continue };
            self.retry_opening(
                &packet,
                &mut bytes,
                &pin,
                &mut Context { view: &view, now_ms, out },
            );
        }
    }

    /// Moves an opening to another target after its target has reset it.
    pub(super) fn retry_after_reset(&mut self, packet: &Packet, pin: &Pin, cx: &mut Context<'_>) {
        let Some(pending) = self.openings.pending.get(&packet.hash) else {
            return self.close_pin(packet, cx);
        };
        let mut bytes = pending.packet.clone();
        let Ok(parsed) = PacketView::parse(&bytes) else { return };
        let opening = Packet { view: parsed, direction: super::Direction::Forward, ..*packet };
        self.retry_opening(&opening, &mut bytes, pin, cx);
    }

    /// Asks the opener for another target after one has reset the opening or did not answer.
    pub(super) fn retry_opening(
        &mut self,
        packet: &Packet,
        bytes: &mut [u8],
        pin: &Pin,
        cx: &mut Context<'_>,
    ) {
        let Some(target) = self.directory.address(pin.target) else { return };
        let attempts = pin.attempts + 1;
        let waiting = Pin { target: TARGET_NONE, state: PinState::Waiting, attempts, ..*pin };
        self.pins.insert(waiting);
        if attempts > RETRIES_MAX {
            self.release(packet.hash, packet.listener, target, cx);
            let header = self.header(FrameKind::Refused, 0, packet.listener_key, cx.now_ms);
            return self.on_refused(&header, packet, cx);
        }
        self.counters.count(Counter::Retried);
        let header =
            Frame { target, ..self.header(FrameKind::Failed, 0, packet.listener_key, cx.now_ms) };
        match self.opener_of_target(cx.view, packet.listener, target) {
            Some(opener) if opener != self.me => {
                self.send_frame(opener, &header, bytes, cx);
            }
            Some(_) => self.on_failed_frame(&header, packet, bytes, cx),
            None => self.on_refused(&header, packet, cx),
        }
    }

    /// Closes a flow on the caller's side: frees the target's slot and lets the pin expire.
    pub(super) fn close_pin(&mut self, packet: &Packet, cx: &mut Context<'_>) {
        let clock_ds = self.clock_ds(cx.now_ms);
        let Some(pin) = self.pins.get_mut(packet.hash) else { return };
        let previous = *pin;
        pin.state = PinState::Closing;
        pin.progress_at_ds = clock_ds;
        self.openings.remove(packet.hash);
        if previous.state == PinState::Closing {
            return;
        }
        let target = self.directory.address(previous.target);
        if target.is_none() {
            self.pins.remove(packet.hash);
        }
        let target = target.unwrap_or(IpAddr::V6(Ipv6Addr::UNSPECIFIED));
        self.release(packet.hash, packet.listener, target, cx);
        self.copy_closing(cx.view, &previous, cx.now_ms);
        self.push_closed_event(&previous, cx.now_ms, cx.out);
    }

    /// Closes a flow on the target's side, and sends the target's packet on to the caller.
    pub(super) fn close_by_target(
        &mut self,
        packet: &Packet,
        bytes: &mut [u8],
        pin: &Pin,
        cx: &mut Context<'_>,
    ) {
        if pin.state == PinState::Closing {
            return self.send_to_caller(packet, bytes, cx);
        }
        let clock_ds = self.clock_ds(cx.now_ms);
        if let Some(stored) = self.pins.get_mut(packet.hash) {
            stored.state = PinState::Closing;
            stored.progress_at_ds = clock_ds;
        }
        self.openings.remove(packet.hash);
        self.copy_closing(cx.view, pin, cx.now_ms);
        self.push_closed_event(pin, cx.now_ms, cx.out);
        let Some(target) = self.directory.address(pin.target) else { return };
        let header =
            Frame { target, ..self.header(FrameKind::Close, 0, packet.listener_key, cx.now_ms) };
        match self.opener_of_target(cx.view, packet.listener, target) {
            Some(opener) if opener != self.me => {
                self.send_frame(opener, &header, bytes, cx);
            }
            Some(_) => self.on_close_frame(&header, packet, bytes, cx),
            None => self.send_to_caller(packet, bytes, cx),
        }
    }

    /// Tells the opener that a flow has ended when there is no packet to send along.
    pub(super) fn release(
        &mut self,
        hash: FlowHash,
        listener: ListenerId,
        target: IpAddr,
        cx: &mut Context<'_>,
    ) {
        let listener_key = cx.view.settings.listener(listener).key;
        let header =
            Frame { target, ..self.header(FrameKind::Released, 0, listener_key, cx.now_ms) };
        let body = hash.0.to_be_bytes();
        let service = cx.view.settings.listener(listener).service;
        let opener = self
            .opener_of_target(cx.view, listener, target)
            .or_else(|| cx.view.openers_for(service, hash, cx.view.domain_seed).first().copied());
        match opener {
            Some(opener) if opener != self.me => self.send_frame(opener, &header, &body, cx),
            Some(_) => self.on_released(&header, &body, cx),
            None => {}
        }
    }

    fn opener_of_target(
        &self,
        view: &View,
        listener: ListenerId,
        target: IpAddr,
    ) -> Option<routing::HostId> {
        let id = view.settings.find_target(target)?;
        let domain_seed = view.settings.domain_seed(view.settings.target(id));
        let service = view.settings.listener(listener).service;
        view.openers.opener(domain_seed, view.settings.service(service).seed)
    }
}
