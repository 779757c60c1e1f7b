//! What traffic decides by: one immutable value that control publishes.

use std::{net::SocketAddr, sync::Arc};

use flow::{FlowHash, FlowHasher};
use membership::MemberState;
use routing::{HostId, Owners, Placement, mix};
use settings::{ServiceId, Snapshot};

/// Another host, or this one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Peer {
    /// The host.
    pub id: HostId,
    /// Its peer address.
    pub address: SocketAddr,
    /// The number of its failure domain.
    pub domain_seed: u64,
    /// Its incarnation.
    pub incarnation: u64,
    /// Its state.
    pub state: MemberState,
}

/// The settings and the hosts, as this host knows them.
#[derive(Debug, Clone)]
pub struct View {
    /// This host.
    pub me: HostId,
    /// This host's incarnation.
    pub incarnation: u64,
    /// This host's failure domain.
    pub domain_seed: u64,
    /// The settings in force.
    pub settings: Arc<Snapshot>,
    /// The hash of flow keys under these settings.
    pub hasher: FlowHasher,
    /// The hosts that own buckets now.
    pub placement: Arc<Placement>,
    /// The owners once joins and leaves under way are done.
    pub future: Arc<Placement>,
    /// The hosts that may assign targets.
    pub openers: Arc<Placement>,
    /// The known hosts, sorted by identity.
    pub peers: Vec<Peer>,
}

impl View {
    /// The peer `id`.
    pub fn peer(&self, id: HostId) -> Option<&Peer> {
        let found = self.peers.binary_search_by_key(&id, |peer| peer.id);
        found.ok().map(|position| &self.peers[position])
    }

    /// Whether `id` answers, as far as this host knows.
    pub fn is_alive(&self, id: HostId) -> bool {
        self.peer(id).is_some_and(|peer| peer.state.is_alive())
    }

    /// Whether `id` still answers questions about the buckets it had.
    pub fn can_be_asked(&self, id: HostId) -> bool {
        self.peer(id).is_some_and(|peer| peer.state != MemberState::Dead)
    }

    /// The owners of the bucket of `hash`.
    pub fn owners(&self, hash: FlowHash) -> Owners {
        self.placement.owners(hash.bucket(self.placement.bucket_count()))
    }

    /// The other hosts that should have the pins of `bucket`.
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

    /// The openers that can assign targets of `service` to the flow `hash`, first the one of the
    /// failure domain `near_domain_seed`.
    pub fn openers_for(
        &self,
        service: ServiceId,
        hash: FlowHash,
        near_domain_seed: u64,
    ) -> Vec<HostId> {
        let node = self.settings.service(service);
        let mut domains: Vec<u64> = node
            .targets
            .iter()
            .map(|target| self.settings.target(*target))
            .filter(|target| target.is_active())
            .map(|target| self.settings.domain_seed(target))
            .collect();
        domains.sort_unstable();
        domains.dedup();
        domains.sort_by_key(|domain| (*domain != near_domain_seed, mix(hash.seed(), *domain)));
        domains.iter().filter_map(|domain| self.openers.opener(*domain, node.seed)).collect()
    }
}
