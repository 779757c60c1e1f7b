//! What a host knows of itself before it has heard from anyone.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use routing::HostId;
use wire::PeerKey;

/// The identity and the limits of one host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HostConfig {
    /// The address of the peer port.
    pub peer_address: SocketAddr,
    /// The number of the failure domain.
    pub domain_seed: u64,
    /// The number of the rack.
    pub rack_seed: u64,
    /// The key that hosts of one deployment share.
    pub peer_key: PeerKey,
    /// Grows with each start of the host.
    pub incarnation: u64,
    /// The budget for copies of pins, in bytes a second.
    pub transfer_bytes_per_s: u64,
    /// How many flows may be pinned.
    pub pins_max: usize,
    /// How many openings may be under way.
    pub openings_max: usize,
    /// How many lost flows may be searched for at a time.
    pub searches_max: usize,
    /// How old a flow is when its pin is copied to the backup, in milliseconds.
    pub settled_age_ms: u64,
    /// A gap between two events that counts as a pause of the process, in milliseconds.
    pub freeze_ms: u64,
}

impl Default for HostConfig {
    fn default() -> HostConfig {
        HostConfig {
            peer_address: SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0),
            domain_seed: 0,
            rack_seed: 0,
            peer_key: PeerKey([0; 16]),
            incarnation: 1,
            transfer_bytes_per_s: 3_000,
            pins_max: 1_000_000,
            openings_max: 16_384,
            searches_max: 8_192,
            settled_age_ms: 3_000,
            freeze_ms: 1_500,
        }
    }
}

impl HostConfig {
    /// The identity, which follows from the peer address.
    pub fn id(&self) -> HostId {
        HostId::from_address(self.peer_address)
    }
}
