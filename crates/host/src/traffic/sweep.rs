//! The periodic task over all pins: it copies settled ones and removes those of ended flows.

use flow::FlowHash;
use membership::MemberState;
use routing::{Pin, PinState};

use crate::{
    Outbox, TrafficEvent, View,
    traffic::{Context, Traffic, replication::is_worth_copying, report::occupies_target},
};

/// The number of ticks in which the whole table is visited once.
const TICKS_PER_SWEEP: usize = 20;

/// How long the pin of a closed flow is kept, in tenths of a second.
const CLOSED_RETENTION_DS: u32 = 50;

/// How long the pin of an unanswered opening is kept, in tenths of a second.
const OPENING_RETENTION_DS: u32 = 300;

/// The position of the sweep in the pin table.
#[derive(Debug, Default)]
pub(super) struct Sweep {
    next_block: usize,
}

/// What the sweep does with a pin.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum PinAction {
    /// Copy it to the hosts that should hold a copy.
    Copy,
    /// Remove it.
    Remove,
    /// Remove it and free the target's slot at its opener.
    Release,
}

impl Traffic {
    pub(super) fn tick_sweep(&mut self, now_ms: u64, out: &mut Outbox) {
        let Some(view) = self.view.clone() else { return };
        let is_leaving = view.peer(self.me).is_some_and(|peer| peer.state == MemberState::Leaving);
        let block_count = self.pins.block_count();
        // A leaving host visits all pins on every tick, so that recent pins are handed over too.
        let count = if is_leaving { block_count } else { block_count.div_ceil(TICKS_PER_SWEEP) };
        for _ in 0..count {
            let block = self.sweep.next_block % block_count;
            self.sweep.next_block = block + 1;
            self.sweep_block(block, is_leaving, &mut Context { view: &view, now_ms, out });
        }
        if is_leaving && self.replication.is_idle() {
            out.events.push(TrafficEvent::HandedOver);
        }
    }

    fn sweep_block(&mut self, block: usize, is_leaving: bool, cx: &mut Context<'_>) {
        let actions: Vec<(FlowHash, PinAction)> = self
            .pins
            .block(block)
            .filter_map(|pin| Some((pin.hash, self.action(cx.view, pin, is_leaving, cx.now_ms)?)))
            .collect();
        for (hash, action) in actions {
            match action {
                PinAction::Copy => self.queue_copy(cx.view, hash, cx.now_ms),
                PinAction::Remove => self.remove_pin(hash),
                PinAction::Release => self.release_pin(hash, cx),
            }
        }
    }

    fn action(&self, view: &View, pin: &Pin, is_leaving: bool, now_ms: u64) -> Option<PinAction> {
        let clock_ds = self.clock_ds(now_ms);
        let idle_ds = clock_ds.saturating_sub(pin.seen_at_ds);
        if pin.state == PinState::Closing {
            return (idle_ds >= CLOSED_RETENTION_DS).then_some(PinAction::Remove);
        }
        let is_home = view.owners(pin.hash).home == Some(self.me);
        let Some(listener) = view.settings.find_listener_by_key(pin.listener_key) else {
            return Some(PinAction::Remove);
        };
        let idle_timeout_ds = (listener.policy.idle_timeout_ms / 100) as u32;
        // Copies see no packets, so they are kept for several idle timeouts.
        let retention_ds = match (is_home, pin.state) {
            (_, PinState::Waiting | PinState::Opening) => OPENING_RETENTION_DS.min(idle_timeout_ds),
            (true, _) => idle_timeout_ds,
            (false, _) => idle_timeout_ds.saturating_mul(3),
        };
        if idle_ds >= retention_ds {
            return Some(if is_home { PinAction::Release } else { PinAction::Remove });
        }
        let age_ds = clock_ds.saturating_sub(pin.opened_at_ds);
        let settled_age_ds = (self.config.settled_age_ms / 100) as u32;
        let is_settled = pin.state == PinState::Established && age_ds >= settled_age_ds;
        let is_due = is_settled || (is_leaving && is_worth_copying(pin));
        (is_home && is_due && !pin.is_copied).then_some(PinAction::Copy)
    }

    fn remove_pin(&mut self, hash: FlowHash) {
        self.pins.remove(hash);
        self.openings.remove(hash);
    }

    fn release_pin(&mut self, hash: FlowHash, cx: &mut Context<'_>) {
        let Some(pin) = self.pins.get(hash).copied() else { return };
        self.remove_pin(hash);
        let target = self.directory.address(pin.target);
        let listener =
            cx.view.settings.find_listener_by_key(pin.listener_key).and_then(|listener| {
                cx.view.settings.find_listener(listener.protocol, listener.address)
            });
        if let (Some(target), Some(listener)) = (target, listener)
            && occupies_target(&pin)
        {
            self.release(hash, listener, target, cx);
        }
        self.push_closed_event(&pin, cx.now_ms, cx.out);
    }
}
