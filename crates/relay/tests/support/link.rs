//! Links with a bandwidth, and a queue that drops what it cannot hold.

use relay::Message;

/// The bytes of a datagram besides its rows: headers, the frame and the heartbeat.
const OVERHEAD_BYTES: u64 = 160;

/// The encoded size of a row.
const ROW_BYTES: u64 = 100;

/// The limits of a link in one direction.
#[derive(Debug, Clone, Copy)]
pub struct LinkConfig {
    /// The bandwidth, in bytes per millisecond.
    pub bytes_per_ms: u64,
    /// How many bytes wait at most.
    pub queue_bytes: u64,
    /// The delay of half the way, in microseconds.
    pub delay_us: u64,
}

/// One direction of a host's link.
#[derive(Debug)]
pub(super) struct Link {
    config: LinkConfig,
    /// When the last datagram has left the queue.
    free_at_us: u64,
}

impl Link {
    pub(super) fn new(config: LinkConfig) -> Link {
        Link { config, free_at_us: 0 }
    }

    /// Queues a datagram. Returns when it has passed the link; `None` if the queue is full.
    pub(super) fn transmit(&mut self, at_us: u64, bytes: u64) -> Option<u64> {
        let backlog_us = self.free_at_us.saturating_sub(at_us);
        if backlog_us * self.config.bytes_per_ms / 1_000 + bytes > self.config.queue_bytes {
            return None;
        }
        self.free_at_us = self.free_at_us.max(at_us) + bytes * 1_000 / self.config.bytes_per_ms;
        Some(self.free_at_us + self.config.delay_us)
    }
}

/// The size of the datagram that carries `message`.
pub(super) fn datagram_bytes(message: &Message) -> u64 {
    let rows = match message {
        Message::Rows(batch) => batch.rows.len() as u64,
        Message::Heartbeat(_) | Message::Poll | Message::Pull(_) => 0,
    };
    OVERHEAD_BYTES + rows * ROW_BYTES
}
