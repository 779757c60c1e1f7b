//! Refuses datagrams that were seen before.

use routing::HostId;

/// How many numbers behind the newest a late datagram may be.
const WINDOW: u64 = 64;

#[derive(Debug, Clone, Copy)]
struct Seen {
    host: HostId,
    newest: u64,
    /// Bit n is set if number `newest - n` was seen.
    bits: u64,
}

/// The numbers of the datagrams of each host, sorted by host.
#[derive(Debug, Default)]
pub(crate) struct ReplayGuard {
    hosts: Vec<Seen>,
}

impl ReplayGuard {
    /// Notes a datagram. Returns whether it is new.
    pub(crate) fn admit(&mut self, host: HostId, number: u64) -> bool {
        let position = match self.hosts.binary_search_by_key(&host, |seen| seen.host) {
            Ok(position) => position,
            Err(position) => {
                self.hosts.insert(position, Seen { host, newest: number, bits: 1 });
                return true;
            }
        };
        let seen = &mut self.hosts[position];
        if number > seen.newest {
            let shift = number - seen.newest;
            seen.bits = if shift < WINDOW { seen.bits << shift | 1 } else { 1 };
            seen.newest = number;
            return true;
        }
        let behind = seen.newest - number;
        if behind >= WINDOW || seen.bits & (1 << behind) != 0 {
            return false;
        }
        seen.bits |= 1 << behind;
        true
    }
}
