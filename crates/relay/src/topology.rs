//! The trees that messages are forwarded down, and the order in which hosts read the store.

use std::{cmp::Reverse, net::SocketAddr};

use routing::{HostId, score};

use crate::Peer;

/// Rendezvous key for the order in which hosts read the store.
const READER_SEED: u64 = 0x7265_6164_6572_7321;

/// This host and the others that are alive.
#[derive(Debug)]
pub(crate) struct Topology {
    me: HostId,
    domain_seed: u64,
    /// Sorted by id.
    peers: Vec<Peer>,
}

impl Topology {
    pub(crate) fn new(me: HostId, domain_seed: u64) -> Topology {
        Topology { me, domain_seed, peers: Vec::new() }
    }

    pub(crate) fn set_peers(&mut self, mut peers: Vec<Peer>) {
        peers.sort_by_key(|peer| peer.id);
        self.peers = peers;
    }

    pub(crate) fn me(&self) -> HostId {
        self.me
    }

    pub(crate) fn peers(&self) -> &[Peer] {
        &self.peers
    }

    /// The hosts that this one forwards messages to in the tree of `root`, a host of this domain.
    ///
    /// The tree is the domain's hosts in id order, starting at `root` and wrapping around, laid out
    /// level by level with `fanout` children each.
    pub(crate) fn children(&self, root: HostId, fanout: usize) -> Vec<SocketAddr> {
        let mut members = self.domain_hosts();
        let Ok(start) = members.binary_search_by_key(&root, |member| member.0) else {
            return Vec::new();
        };
        members.rotate_left(start);
        let Some(position) = members.iter().position(|member| member.0 == self.me) else {
            return Vec::new();
        };
        let children = members.iter().skip(position * fanout + 1).take(fanout);
        children.filter_map(|member| member.1).collect()
    }

    /// The first-ranked host of each other domain.
    pub(crate) fn other_domain_leaders(&self) -> Vec<&Peer> {
        let mut others: Vec<&Peer> =
            self.peers.iter().filter(|peer| peer.domain_seed != self.domain_seed).collect();
        others.sort_by_key(|peer| (peer.domain_seed, Reverse(rank_score(peer.id.0))));
        others.dedup_by_key(|peer| peer.domain_seed);
        others
    }

    /// How many hosts come before this one in the reading order: the first of each domain, then the
    /// second of each, and so on.
    pub(crate) fn rank(&self) -> usize {
        self.rank_of(self.me, self.domain_seed)
    }

    fn rank_of(&self, id: HostId, domain_seed: u64) -> usize {
        let own = (self.me, self.domain_seed);
        let hosts = || {
            let peers = self.peers.iter().map(|peer| (peer.id, peer.domain_seed));
            peers.chain(std::iter::once(own))
        };
        let score = rank_score(id.0);
        let hosts_ahead =
            hosts().filter(|host| host.1 == domain_seed && rank_score(host.0.0) > score).count();
        let mut domains: Vec<u64> = hosts().map(|host| host.1).collect();
        domains.sort_unstable();
        domains.dedup();
        let domain_score = rank_score(domain_seed);
        let domains_ahead =
            domains.iter().filter(|domain| rank_score(**domain) > domain_score).count();
        hosts_ahead * domains.len() + domains_ahead
    }

    /// Whether `reader` comes before this host in the reading order.
    pub(crate) fn outranks_me(&self, reader: HostId) -> bool {
        let peer = self.peers.iter().find(|peer| peer.id == reader);
        peer.is_some_and(|peer| self.rank_of(peer.id, peer.domain_seed) < self.rank())
    }

    /// The hosts of this domain, sorted by id; this host has no address.
    fn domain_hosts(&self) -> Vec<(HostId, Option<SocketAddr>)> {
        let mut members: Vec<(HostId, Option<SocketAddr>)> = self
            .peers
            .iter()
            .filter(|peer| peer.domain_seed == self.domain_seed)
            .map(|peer| (peer.id, Some(peer.address)))
            .collect();
        members.push((self.me, None));
        members.sort_unstable_by_key(|member| member.0);
        members
    }
}

fn rank_score(number: u64) -> u64 {
    score(READER_SEED, number)
}
