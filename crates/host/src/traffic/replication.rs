//! Replication of pins to the hosts that may have to take over.

use std::collections::VecDeque;

use flow::FlowHash;
use routing::{HostId, Pin, PinState};
use wire::{Control, PinRecord};

use crate::{
    Counter, Outbox, View,
    traffic::{Context, TICK_MS, Traffic},
};

/// The maximum number of pins in one message.
const PINS_PER_MESSAGE: usize = 20;

/// The size of a pin in a message, in bytes.
const PIN_RECORD_BYTES: u64 = 56;

/// The time after which an unacknowledged message is retransmitted, in milliseconds.
const ACK_TIMEOUT_MS: u64 = 200;

/// How long copies of settled pins are batched before they are sent, in milliseconds.
const BATCH_DELAY_MS: u64 = 1_000;

/// The interval at which a joining host is notified that its transfer is done, in milliseconds.
const TRANSFER_DONE_INTERVAL_MS: u64 = 400;

/// The burst size of the transfer budget, in milliseconds at its rate.
const BUDGET_BURST_MS: u64 = 20_000;

/// A message that is not yet acknowledged.
#[derive(Debug)]
struct InFlight {
    sequence: u64,
    hashes: Vec<FlowHash>,
    sent_at_ms: u64,
}

/// The queue of pins to be sent to another host.
#[derive(Debug)]
struct Receiver {
    host: HostId,
    queue: VecDeque<FlowHash>,
    /// The time from which a message is sent even if it is not full.
    due_at_ms: u64,
    in_flight: Option<InFlight>,
    next_transfer_done_at_ms: u64,
}

/// The pins to be sent to other hosts, sorted by receiver, and the rate limit for them.
#[derive(Debug)]
pub(super) struct Replication {
    receivers: Vec<Receiver>,
    bytes_per_s: u64,
    budget_bytes: u64,
    refilled_at_ms: u64,
    next_sequence: u64,
}

impl Replication {
    pub(super) fn new(bytes_per_s: u64, now_ms: u64) -> Replication {
        Replication {
            receivers: Vec::new(),
            bytes_per_s,
            budget_bytes: bytes_per_s * BUDGET_BURST_MS / 1000,
            refilled_at_ms: now_ms,
            next_sequence: 1,
        }
    }

    /// Queues a pin that the receiver needs immediately.
    pub(super) fn queue(&mut self, host: HostId, hash: FlowHash) {
        let position = self.position_or_add(host);
        let receiver = &mut self.receivers[position];
        receiver.queue.push_back(hash);
        receiver.due_at_ms = 0;
    }

    /// Queues a copy of a pin, which may wait for others to fill a message.
    fn queue_copy(&mut self, host: HostId, hash: FlowHash, now_ms: u64) {
        let position = self.position_or_add(host);
        let receiver = &mut self.receivers[position];
        if receiver.queue.is_empty() {
            receiver.due_at_ms = now_ms + BATCH_DELAY_MS;
        }
        receiver.queue.push_back(hash);
    }

    pub(super) fn on_ack(&mut self, host: HostId, sequence: u64) {
        let Ok(position) = self.receivers.binary_search_by_key(&host, |entry| entry.host) else {
            return;
        };
        let receiver = &mut self.receivers[position];
        if receiver.in_flight.as_ref().is_some_and(|message| message.sequence == sequence) {
            receiver.in_flight = None;
        }
    }

    /// Whether nothing is queued and all messages are acknowledged.
    pub(super) fn is_idle(&self) -> bool {
        self.receivers.iter().all(|entry| entry.queue.is_empty() && entry.in_flight.is_none())
    }

    fn position_or_add(&mut self, host: HostId) -> usize {
        match self.receivers.binary_search_by_key(&host, |entry| entry.host) {
            Ok(position) => position,
            Err(position) => {
                let receiver = Receiver {
                    host,
                    queue: VecDeque::new(),
                    due_at_ms: 0,
                    in_flight: None,
                    next_transfer_done_at_ms: 0,
                };
                self.receivers.insert(position, receiver);
                position
            }
        }
    }

    fn refill(&mut self, now_ms: u64) {
        let elapsed_ms = now_ms.saturating_sub(self.refilled_at_ms);
        self.refilled_at_ms = now_ms;
        let refill_bytes = self.bytes_per_s * elapsed_ms / 1000;
        let limit = self.bytes_per_s * BUDGET_BURST_MS / 1000;
        self.budget_bytes = (self.budget_bytes + refill_bytes).min(limit);
    }

    /// Returns the pins to be sent to the receiver at `position` now, with their sequence number.
    fn next_message(&mut self, position: usize, now_ms: u64) -> Option<(u64, Vec<FlowHash>)> {
        let budget_pins = (self.budget_bytes / PIN_RECORD_BYTES) as usize;
        let receiver = &mut self.receivers[position];
        if let Some(message) = &mut receiver.in_flight {
            if now_ms < message.sent_at_ms + ACK_TIMEOUT_MS {
                return None;
            }
            message.sent_at_ms = now_ms;
            return Some((message.sequence, message.hashes.clone()));
        }
        let count = receiver.queue.len().min(PINS_PER_MESSAGE).min(budget_pins);
        let is_due = now_ms >= receiver.due_at_ms || receiver.queue.len() >= PINS_PER_MESSAGE;
        if count == 0 || !is_due {
            return None;
        }
        let hashes: Vec<FlowHash> = receiver.queue.drain(..count).collect();
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        self.budget_bytes -= PIN_RECORD_BYTES * count as u64;
        receiver.in_flight =
            Some(InFlight { sequence, hashes: hashes.clone(), sent_at_ms: now_ms });
        Some((sequence, hashes))
    }
}

impl Traffic {
    /// Queues each pin for the receivers of its bucket; `receivers` is indexed by bucket.
    pub(super) fn queue_pins(&mut self, receivers: &[Vec<HostId>]) {
        for pin in self.pins.iter() {
            if !is_worth_copying(pin) {
                continue;
            }
            for receiver in &receivers[pin.hash.bucket(receivers.len())] {
                self.replication.queue(*receiver, pin.hash);
            }
        }
    }

    /// Queues a pin for every host that should hold a copy.
    pub(super) fn queue_copy(&mut self, view: &View, hash: FlowHash, now_ms: u64) {
        for holder in view.copy_holders(hash.bucket(view.placement.bucket_count())) {
            self.replication.queue_copy(holder, hash, now_ms);
        }
        if let Some(pin) = self.pins.get_mut(hash) {
            pin.is_copied = true;
        }
    }

    /// Queues the pin of a closed flow again for the holders of a copy, if it was copied.
    pub(super) fn copy_closing(&mut self, view: &View, pin: &Pin, now_ms: u64) {
        if pin.is_copied {
            self.queue_copy(view, pin.hash, now_ms);
        }
    }

    pub(super) fn tick_replication(&mut self, now_ms: u64, out: &mut Outbox) {
        let Some(view) = self.view.clone() else { return };
        self.moves.expire(now_ms);
        self.replication.refill(now_ms);
        self.replication.receivers.retain(|entry| view.is_alive(entry.host));
        for position in 0..self.replication.receivers.len() {
            if let Some((sequence, hashes)) = self.replication.next_message(position, now_ms) {
                let host = self.replication.receivers[position].host;
                let pins: Vec<PinRecord> =
                    hashes.iter().filter_map(|hash| self.record(*hash, now_ms)).collect();
                self.counters.add(Counter::PinsSent, pins.len() as u64);
                self.send_control(host, &Control::Pins { sequence, pins }, now_ms, out);
            }
        }
        self.send_transfer_done(&mut Context { view: &view, now_ms, out });
    }

    // A joining host waits for this message from every owner.
    fn send_transfer_done(&mut self, cx: &mut Context<'_>) {
        let joining: Vec<(HostId, u64)> = cx
            .view
            .peers
            .iter()
            .filter(|peer| peer.state == membership::MemberState::Joining && peer.id != self.me)
            .map(|peer| (peer.id, peer.incarnation))
            .collect();
        for (host, incarnation) in joining {
            let position = self.replication.position_or_add(host);
            let receiver = &mut self.replication.receivers[position];
            let is_done = receiver.queue.is_empty() && receiver.in_flight.is_none();
            if !is_done || cx.now_ms < receiver.next_transfer_done_at_ms {
                continue;
            }
            receiver.next_transfer_done_at_ms = cx.now_ms + TRANSFER_DONE_INTERVAL_MS.max(TICK_MS);
            self.send_control(host, &Control::TransferDone { incarnation }, cx.now_ms, cx.out);
        }
    }

    /// Stores pins that another host sent.
    pub(super) fn on_pins(&mut self, sender: HostId, records: &[PinRecord], now_ms: u64) {
        self.counters.add(Counter::PinsReceived, records.len() as u64);
        self.moves.extend_incoming(sender, now_ms);
        for record in records {
            self.store_pin(record, now_ms);
        }
    }

    fn store_pin(&mut self, record: &PinRecord, now_ms: u64) {
        let clock_ds = self.clock_ds(now_ms);
        let opened_at_ds = clock_ds.saturating_sub(record.age_s * 10);
        let target = self.directory.intern(record.target);
        let existing = self.pins.get(record.hash).copied();
        if let Some(existing) = existing
            && !self.is_superseded_by(&existing, record, opened_at_ds)
        {
            return;
        }
        if existing.is_none() && record.state == PinState::Closing {
            return;
        }
        let is_home =
            self.view.as_ref().is_some_and(|view| view.owners(record.hash).home == Some(self.me));
        self.pins.insert(Pin {
            hash: record.hash,
            target,
            listener_key: record.listener_key,
            sequence: record.sequence,
            opened_at_ds,
            seen_at_ds: clock_ds,
            caller_sequence: existing.map_or(0, |pin| pin.caller_sequence),
            progress_at_ds: clock_ds,
            state: record.state,
            attempts: 0,
            is_copied: !is_home,
        });
    }

    // With the same target, a record in any state but `Opening` supersedes the existing pin. With
    // different targets, a closing record is ignored, an established pin takes precedence over one
    // in another state, and otherwise the older pin over the newer.
    fn is_superseded_by(&self, existing: &Pin, record: &PinRecord, opened_at_ds: u32) -> bool {
        if self.directory.address(existing.target) == Some(record.target) {
            return record.state != PinState::Opening;
        }
        if record.state == PinState::Closing {
            return false;
        }
        let rank = |state| matches!(state, PinState::Established) as u8;
        let existing_rank = (rank(existing.state), u32::MAX - existing.opened_at_ds);
        let received_rank = (rank(record.state), u32::MAX - opened_at_ds);
        received_rank > existing_rank
    }

    fn record(&self, hash: FlowHash, now_ms: u64) -> Option<PinRecord> {
        let pin = self.pins.get(hash)?;
        Some(PinRecord {
            hash,
            target: self.directory.address(pin.target)?,
            sequence: pin.sequence,
            age_s: self.clock_ds(now_ms).saturating_sub(pin.opened_at_ds) / 10,
            listener_key: pin.listener_key,
            state: pin.state,
        })
    }
}

/// Whether other hosts need a copy of the pin to find the flow's target. Waiting and searching flows
/// have no certain target yet, and closed flows need none any more.
pub(super) fn is_worth_copying(pin: &Pin) -> bool {
    matches!(
        pin.state,
        PinState::Opening | PinState::Answered | PinState::Established | PinState::Guessed
    )
}
