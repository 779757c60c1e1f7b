//! Replay protection: a sliding window of sequence numbers for each sender.

use routing::HostId;

/// The size of a window. A sequence number that is this far behind the newest, or further, is
/// rejected.
const WINDOW_SIZE: u64 = 64;

/// The sequence numbers received from one host.
#[derive(Debug, Clone, Copy)]
struct HostWindow {
    host: HostId,
    newest: u64,
    /// Bit n is set if sequence number `newest - n` was received.
    seen_bits: u64,
}

/// Rejects replayed datagrams, with one window for each sender.
#[derive(Debug, Default)]
pub(crate) struct ReplayGuard {
    /// Sorted by host.
    hosts: Vec<HostWindow>,
}

impl ReplayGuard {
    /// Records a datagram. Returns whether it is new and within the window.
    pub(crate) fn admit(&mut self, host: HostId, sequence_number: u64) -> bool {
        let position = match self.hosts.binary_search_by_key(&host, |window| window.host) {
            Ok(position) => position,
            Err(position) => {
                self.hosts
                    .insert(position, HostWindow { host, newest: sequence_number, seen_bits: 1 });
                return true;
            }
        };
        let window = &mut self.hosts[position];
        if sequence_number > window.newest {
            let shift = sequence_number - window.newest;
            window.seen_bits = if shift < WINDOW_SIZE { window.seen_bits << shift | 1 } else { 1 };
            window.newest = sequence_number;
            return true;
        }
        let age = window.newest - sequence_number;
        if age >= WINDOW_SIZE || window.seen_bits & (1 << age) != 0 {
            return false;
        }
        window.seen_bits |= 1 << age;
        true
    }
}
