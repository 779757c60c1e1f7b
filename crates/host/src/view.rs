//! The immutable snapshot of settings and membership that control publishes to traffic.

use std::{net::SocketAddr, sync::Arc};

use flow::{FlowHash, FlowHasher};
use membership::MemberState;
use routing::{HostId, Owners, Placement, mix};
use settings::{ServiceId, Snapshot};

/// A known host, which may be this one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Peer {
    /// The identity of the host.
    pub id: HostId,
    /// The address of the host's peer port.
    pub address: SocketAddr,
    /// The hash of the name of the host's failure domain.
    pub domain_seed: u64,
    /// The host's incarnation.
    pub incarnation: u64,
    /// The host's membership state.
    pub state: MemberState,
}

/// The settings and the hosts, as known to this host.
#[derive(Debug, Clone)]
pub struct View {
    /// This host.
    pub me: HostId,
    /// This host's incarnation.
    pub incarnation: u64,
    /// The hash of the name of this host's failure domain.
    pub domain_seed: u64,
    /// The settings in force.
    pub settings: Arc<Snapshot>,
    /// Hashes flow keys with the key from these settings.
    pub hasher: FlowHasher,
    /// The current owners of the buckets.
    pub placement: Arc<Placement>,
    /// The owners of the buckets after the pending joins and leaves.
    pub future: Arc<Placement>,
    /// The hosts that may assign targets to new flows.
    pub openers: Arc<Placement>,
    /// All known hosts, sorted by identity.
    pub peers: Vec<Peer>,
}

impl View {
    /// Returns the peer with the identity `id`.
    pub fn peer(&self, id: HostId) -> Option<&Peer> {
        let found = self.peers.binary_search_by_key(&id, |peer| peer.id);
        found.ok().map(|position| &self.peers[position])
    }

    /// Whether this host considers `id` alive.
    pub fn is_alive(&self, id: HostId) -> bool {
        self.peer(id).is_some_and(|peer| peer.state.is_alive())
    }

    /// Whether `id` can still be asked about flows in buckets that it used to own.
    pub fn can_be_asked(&self, id: HostId) -> bool {
        self.peer(id).is_some_and(|peer| peer.state != MemberState::Dead)
    }

    /// Returns the owners of the bucket that `hash` falls into.
    pub fn owners(&self, hash: FlowHash) -> Owners {
        self.placement.owners(hash.bucket(self.placement.bucket_count()))
    }

    /// Returns the hosts other than this one that should hold the pins of `bucket`: its current and
    /// future owners.
    pub fn copy_holders(&self, bucket: usize) -> Vec<HostId> {
        let current = self.placement.owners(bucket);
        let future = self.future.owners(bucket);
        let mut holders: Vec<HostId> = [current.home, current.backup, future.home, future.backup]
            .into_iter()
            .flatten()
            .filter(|holder| *holder != self.me)
            .collect();
        holders.sort_unstable();
        holders.dedup();
        holders
    }

    /// Returns the openers that can assign targets of `service` to the flow `hash`, one for each
    /// failure domain with an active target. The opener of `near_domain_seed` comes first; the order
    /// of the others depends on the flow, so that flows spread over them.
    pub fn openers_for(
        &self,
        service: ServiceId,
        hash: FlowHash,
        near_domain_seed: u64,
    ) -> Vec<HostId> {
        let service_settings = self.settings.service(service);
        let mut domains: Vec<u64> = service_settings
            .targets
            .iter()
            .map(|target| self.settings.target(*target))
            .filter(|target| target.is_active())
            .map(|target| self.settings.domain_seed(target))
            .collect();
        domains.sort_unstable();
        domains.dedup();
        domains.sort_by_key(|domain| (*domain != near_domain_seed, mix(hash.seed(), *domain)));
        domains
            .iter()
            .filter_map(|domain| self.openers.opener(*domain, service_settings.seed))
            .collect()
    }
}
