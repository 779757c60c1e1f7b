//! Buckets whose home changed recently.

use routing::HostId;

use crate::{
    Counter, View,
    traffic::{Context, Packet, Traffic},
};
use wire::{Frame, FrameKind};

/// How long the previous holder of a bucket is asked about flows without a pin, in milliseconds.
const ASK_HOLDER_MS: u64 = 10_000;

/// How long a host that asked for pins of a bucket is treated as its home, whatever the view says,
/// in milliseconds.
const HOME_OVERRIDE_MS: u64 = 3_000;

/// A bucket whose home became this host, while `holder` may still have pins of it.
#[derive(Debug, Clone, Copy)]
struct IncomingBucket {
    bucket: usize,
    holder: HostId,
    until_ms: u64,
}

/// A bucket of which another host claims to be the home.
#[derive(Debug, Clone, Copy)]
struct HomeOverride {
    bucket: usize,
    home: HostId,
    until_ms: u64,
}

/// Buckets that moved recently, sorted by number.
#[derive(Debug, Default)]
pub(super) struct BucketMoves {
    incoming: Vec<IncomingBucket>,
    overrides: Vec<HomeOverride>,
}

impl BucketMoves {
    /// The host that claimed to be the home of `bucket`, against this host's view.
    pub(super) fn overriding_home(&self, bucket: usize) -> Option<HostId> {
        let found = self.overrides.binary_search_by_key(&bucket, |entry| entry.bucket);
        found.ok().map(|position| self.overrides[position].home)
    }

    /// The previous holder of `bucket`, which may have pins that this host lacks.
    pub(super) fn holder(&self, bucket: usize) -> Option<HostId> {
        let found = self.incoming.binary_search_by_key(&bucket, |entry| entry.bucket);
        found.ok().map(|position| self.incoming[position].holder)
    }

    pub(super) fn add_incoming(&mut self, bucket: usize, holder: HostId, now_ms: u64) {
        let new_entry = IncomingBucket { bucket, holder, until_ms: now_ms + ASK_HOLDER_MS };
        match self.incoming.binary_search_by_key(&bucket, |entry| entry.bucket) {
            Ok(position) => self.incoming[position] = new_entry,
            Err(position) => self.incoming.insert(position, new_entry),
        }
    }

    pub(super) fn add_override(&mut self, bucket: usize, home: HostId, now_ms: u64) {
        let entry = HomeOverride { bucket, home, until_ms: now_ms + HOME_OVERRIDE_MS };
        match self.overrides.binary_search_by_key(&bucket, |entry| entry.bucket) {
            Ok(position) => self.overrides[position] = entry,
            Err(position) => self.overrides.insert(position, entry),
        }
    }

    /// Drops the claims of other hosts; a new view takes precedence over them.
    pub(super) fn clear_overrides(&mut self) {
        self.overrides.clear();
    }

    pub(super) fn remove_incoming(&mut self, bucket: usize) {
        self.incoming.retain(|entry| entry.bucket != bucket);
    }

    /// Extends the time for asking a holder that is still transferring pins.
    pub(super) fn extend_incoming(&mut self, holder: HostId, now_ms: u64) {
        for entry in self.incoming.iter_mut().filter(|entry| entry.holder == holder) {
            entry.until_ms = now_ms + ASK_HOLDER_MS;
        }
    }

    /// Stops asking a holder that has transferred all pins this host needs.
    pub(super) fn on_transfer_done(&mut self, holder: HostId) {
        self.incoming.retain(|entry| entry.holder != holder);
    }

    pub(super) fn expire(&mut self, now_ms: u64) {
        self.incoming.retain(|entry| entry.until_ms > now_ms);
        self.overrides.retain(|entry| entry.until_ms > now_ms);
    }
}

impl Traffic {
    /// Compares two views: records buckets whose home became this host, and queues pins for their
    /// new holders.
    pub(super) fn record_bucket_moves(&mut self, before: Option<&View>, view: &View, now_ms: u64) {
        self.moves.clear_overrides();
        let Some(before) = before else { return };
        let bucket_count = view.placement.bucket_count();
        if before.placement.bucket_count() != bucket_count {
            return;
        }
        let mut receivers: Vec<Vec<HostId>> = Vec::new();
        receivers.resize(bucket_count, Vec::new());
        let mut has_receivers = false;
        for (bucket, receivers) in receivers.iter_mut().enumerate() {
            self.record_incoming(before, view, bucket, now_ms);
            if !is_transfer_source(self.me, before, view, bucket) {
                continue;
            }
            let previous_holders = before.copy_holders(bucket);
            *receivers = view.copy_holders(bucket);
            // A host that joins again may lack pins that it held before.
            receivers.retain(|holder| {
                let is_rejoining = before.peer(*holder).map(|peer| peer.incarnation)
                    < view.peer(*holder).map(|peer| peer.incarnation)
                    && view.peer(*holder).is_some_and(|peer| peer.state.is_future_owner())
                    && !view.peer(*holder).is_some_and(|peer| peer.state.is_owner());
                is_rejoining || previous_holders.binary_search(holder).is_err()
            });
            has_receivers |= !receivers.is_empty();
        }
        if has_receivers {
            self.queue_pins(&receivers);
        }
    }

    fn record_incoming(&mut self, before: &View, view: &View, bucket: usize, now_ms: u64) {
        let old = before.placement.owners(bucket);
        let new = view.placement.owners(bucket);
        if old == new {
            return;
        }
        if new.home != Some(self.me) {
            self.moves.remove_incoming(bucket);
            return;
        }
        if old.home == Some(self.me) {
            return;
        }
        let holder = [old.home, old.backup]
            .into_iter()
            .flatten()
            .find(|holder| view.can_be_asked(*holder) && *holder != self.me);
        let is_last_holder =
            old.backup == Some(self.me) && old.home.is_some_and(|home| !view.can_be_asked(home));
        if let Some(holder) = holder
            && !is_last_holder
        {
            self.moves.add_incoming(bucket, holder, now_ms);
        }
    }

    /// Answers a host that considers itself the new home of the packet's bucket.
    pub(super) fn on_ask_holder(
        &mut self,
        frame: &Frame<'_>,
        packet: &Packet,
        bytes: &mut [u8],
        cx: &mut Context<'_>,
    ) {
        self.moves.add_override(packet.bucket, frame.sender, cx.now_ms);
        if self.pins.get(packet.hash).is_some_and(|pin| pin.state != routing::PinState::Waiting) {
            self.handle_with_pin(packet, bytes, cx);
            self.replication.queue(frame.sender, packet.hash);
            return;
        }
        let header = self.header(FrameKind::NoPin, frame.hops + 1, packet.listener_key, cx.now_ms);
        self.send_frame(frame.sender, &header, bytes, cx);
    }

    /// Sends a packet without a pin to the previous holder of its bucket, if there is one.
    /// Returns whether it was sent.
    pub(super) fn ask_holder(
        &mut self,
        packet: &Packet,
        bytes: &[u8],
        cx: &mut Context<'_>,
    ) -> bool {
        let Some(holder) = self.moves.holder(packet.bucket) else { return false };
        if !cx.view.can_be_asked(holder) {
            return false;
        }
        self.counters.count(Counter::AskedHolder);
        let header = self.header(FrameKind::AskHolder, 1, packet.listener_key, cx.now_ms);
        self.send_frame(holder, &header, bytes, cx);
        true
    }
}

// The previous home transfers the pins of a bucket, or the previous backup if that home is gone.
fn is_transfer_source(me: HostId, before: &View, view: &View, bucket: usize) -> bool {
    let old = before.placement.owners(bucket);
    let is_home_gone = old.home.is_none_or(|home| !view.is_alive(home));
    old.home == Some(me) || (old.backup == Some(me) && is_home_gone)
}
