//! The system that runs over the pins: it copies settled ones and removes those that have ended.

use flow::FlowHash;
use membership::MemberState;
use routing::{Pin, PinState};

use crate::{
    Outbox, TrafficEvent, View,
    traffic::{Context, Traffic, replication::is_worth_copying, report::occupies_target},
};

/// In how many ticks the whole table is looked at.
const TICKS_PER_SWEEP: usize = 20;

/// How long the pin of an ended flow is kept, in tenths of a second.
const CLOSED_KEPT_DS: u32 = 50;

/// How long an unanswered opening is kept, in tenths of a second.
const OPENING_KEPT_DS: u32 = 300;

/// Where the next tick goes on.
#[derive(Debug, Default)]
pub(super) struct Sweep {
    next_block: usize,
}

/// What has to be done about a pin.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Action {
    Copy,
    Remove,
    Release,
}

impl Traffic {
    pub(super) fn tick_sweep(&mut self, now_ms: u64, out: &mut Outbox) {
        let Some(view) = self.view.clone() else { return };
        let is_leaving = view.peer(self.me).is_some_and(|peer| peer.state == MemberState::Leaving);
        let block_count = self.pins.block_count();
        // A leaving host looks at everything each time, so that nothing new is left behind.
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
        let actions: Vec<(FlowHash, Action)> = self
            .pins
            .block(block)
            .filter_map(|pin| Some((pin.hash, self.action(cx.view, pin, is_leaving, cx.now_ms)?)))
            .collect();
        for (hash, action) in actions {
            match action {
                Action::Copy => self.queue_copy(cx.view, hash, cx.now_ms),
                Action::Remove => self.remove_pin(hash),
                Action::Release => self.release_pin(hash, cx),
            }
        }
    }

    fn action(&self, view: &View, pin: &Pin, is_leaving: bool, now_ms: u64) -> Option<Action> {
        let clock_ds = self.clock_ds(now_ms);
        let idle_ds = clock_ds.saturating_sub(pin.seen_at_ds);
        if pin.state == PinState::Closing {
            return (idle_ds >= CLOSED_KEPT_DS).then_some(Action::Remove);
        }
        let is_home = view.owners(pin.hash).home == Some(self.me);
        let Some(listener) = view.settings.find_listener_by_key(pin.listener_key) else {
            return Some(Action::Remove);
        };
        let idle_timeout_ds = (listener.policy.idle_timeout_ms / 100) as u32;
        // Copies see no packets; the home renews them once within the idle timeout.
        let kept_ds = match (is_home, pin.state) {
            (_, PinState::Waiting | PinState::Opening) => OPENING_KEPT_DS.min(idle_timeout_ds),
            (true, _) => idle_timeout_ds,
            (false, _) => idle_timeout_ds.saturating_mul(3),
        };
        if idle_ds >= kept_ds {
            return Some(if is_home { Action::Release } else { Action::Remove });
        }
        let age_ds = clock_ds.saturating_sub(pin.opened_at_ds);
        let settled_age_ds = (self.config.settled_age_ms / 100) as u32;
        let is_settled = pin.state == PinState::Established && age_ds >= settled_age_ds;
        let is_due = is_settled || (is_leaving && is_worth_copying(pin));
        (is_home && is_due && !pin.is_copied).then_some(Action::Copy)
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
        self.note_closed(&pin, cx.now_ms, cx.out);
    }
}
