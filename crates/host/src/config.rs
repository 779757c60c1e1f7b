//! The configuration of a host that does not depend on settings or other hosts.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use routing::HostId;
use wire::PeerKey;

/// The identity and the limits of one host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HostConfig {
    /// The address of the peer port.
    pub peer_address: SocketAddr,
    /// The hash of the failure domain's name.
    pub domain_seed: u64,
    /// The hash of the rack's name.
    pub rack_seed: u64,
    /// The key that all hosts of a deployment share; it authenticates peer datagrams.
    pub peer_key: PeerKey,
    /// The incarnation at the start of the process, which grows with each start of the host.
    /// Membership also increments it with each change of the host's state.
    pub incarnation: u64,
    /// The rate limit for pin transfers to other hosts, in bytes per second.
    pub transfer_bytes_per_s: u64,
    /// The maximum number of pins.
    pub pins_max: usize,
    /// The maximum number of pending openings.
    pub openings_max: usize,
    /// The maximum number of concurrent searches for the targets of lost flows.
    pub searches_max: usize,
    /// The age from which a flow counts as settled and its pin is copied to the backup, in
    /// milliseconds.
    pub settled_age_ms: u64,
    /// The shortest gap between two events that counts as a pause of the process, in milliseconds.
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
    /// The identity of the host, derived from its peer address.
    pub fn id(&self) -> HostId {
        HostId::from_address(self.peer_address)
    }
}
