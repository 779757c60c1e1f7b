//! The home and the backup host of each bucket.

use std::net::{IpAddr, SocketAddr};

use crate::{mix, score};

/// The identity of a host, stable across restarts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct HostId(pub u64);

impl HostId {
    /// The identity of the host with this peer address.
    pub fn from_address(address: SocketAddr) -> HostId {
        let ip = match address.ip() {
            IpAddr::V4(ip) => ip.to_ipv6_mapped(),
            IpAddr::V6(ip) => ip,
        };
        let bits = ip.to_bits();
        HostId(mix(mix(bits as u64, (bits >> 64) as u64), u64::from(address.port())))
    }
}

/// The properties of a host that the placement depends on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HostEntry {
    /// The host.
    pub id: HostId,
    /// The seed of its failure domain, derived from the domain's name.
    pub domain_seed: u64,
    /// The seed of its rack, derived from the rack's name.
    pub rack_seed: u64,
}

/// The hosts responsible for the flows of one bucket.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Owners {
    /// The host that routes the bucket's flows and creates their pins.
    pub home: Option<HostId>,
    /// The host that keeps copies of the settled pins (established, and past a minimum age).
    pub backup: Option<HostId>,
}

impl Owners {
    /// Whether `host` is the home or the backup.
    pub fn contains(&self, host: HostId) -> bool {
        self.home == Some(host) || self.backup == Some(host)
    }
}

/// Homes and backups for all buckets.
///
/// A bucket belongs to one failure domain; the two hosts of that domain with the highest scores are
/// its home and its backup, where the backup is in another rack than the home if there is one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Placement {
    hosts: Vec<HostEntry>,
    owners: Vec<Owners>,
}

impl Placement {
    /// Creates the placement of `bucket_count` buckets, a power of two, on `hosts`.
    pub fn new(bucket_count: usize, hosts: &[HostEntry]) -> Placement {
        let mut placement =
            Placement { hosts: Vec::new(), owners: vec![Owners::default(); bucket_count] };
        placement.set_hosts(hosts);
        placement
    }

    /// Creates a placement without buckets, for [`Placement::opener`].
    pub fn openers_only(hosts: &[HostEntry]) -> Placement {
        Placement::new(0, hosts)
    }

    /// The owners of `bucket`.
    pub fn owners(&self, bucket: usize) -> Owners {
        self.owners[bucket]
    }

    /// The number of buckets.
    pub fn bucket_count(&self) -> usize {
        self.owners.len()
    }

    /// The hosts, sorted by identity.
    pub fn hosts(&self) -> &[HostEntry] {
        &self.hosts
    }

    /// Replaces the hosts. Recomputes only the buckets that the change can affect.
    ///
    /// Returns the buckets whose owners changed, with their previous owners, ascending by bucket.
    pub fn set_hosts(&mut self, hosts: &[HostEntry]) -> Vec<(usize, Owners)> {
        let mut next = hosts.to_vec();
        next.sort_unstable_by_key(|host| host.id);
        next.dedup_by_key(|host| host.id);
        let removed = difference(&self.hosts, &next);
        let added = difference(&next, &self.hosts);
        let domains_changed = domain_seeds(&self.hosts) != domain_seeds(&next);
        self.hosts = next;
        let by_domain = hosts_by_domain(&self.hosts);
        let mut changed = Vec::new();
        for bucket in 0..self.owners.len() {
            let before = self.owners[bucket];
            let may_change = domains_changed
                || removed.iter().any(|host| before.contains(host.id))
                || added.iter().any(|host| self.may_own(bucket, before, host));
            if !may_change {
                continue;
            }
            let after = owners_of(bucket, &by_domain);
            if after != before {
                self.owners[bucket] = after;
                changed.push((bucket, before));
            }
        }
        changed
    }

    /// The opener: the host of the failure domain `domain_seed` that assigns its targets to the
    /// openings of the service `service_seed`.
    pub fn opener(&self, domain_seed: u64, service_seed: u64) -> Option<HostId> {
        self.hosts
            .iter()
            .filter(|host| host.domain_seed == domain_seed)
            .max_by_key(|host| score(service_seed, host.id.0))
            .map(|host| host.id)
    }

    // Whether adding `host` can change the owners of the bucket: not if it is in another failure
    // domain, nor if it scores below both owners while these are in different racks.
    fn may_own(&self, bucket: usize, owners: Owners, host: &HostEntry) -> bool {
        let (Some(home), Some(backup)) = (owners.home, owners.backup) else { return true };
        let home_entry = self.find(home);
        if home_entry.is_none_or(|entry| entry.domain_seed != host.domain_seed) {
            return false;
        }
        let lower_score = score(bucket as u64, home.0).min(score(bucket as u64, backup.0));
        let shares_rack = home_entry
            .zip(self.find(backup))
            .is_some_and(|(home, backup)| home.rack_seed == backup.rack_seed);
        shares_rack || score(bucket as u64, host.id.0) > lower_score
    }

    fn find(&self, id: HostId) -> Option<HostEntry> {
        let found = self.hosts.binary_search_by_key(&id, |host| host.id);
        found.ok().map(|position| self.hosts[position])
    }
}

/// The hosts of one failure domain.
struct DomainHosts {
    domain_seed: u64,
    hosts: Vec<HostEntry>,
}

fn owners_of(bucket: usize, domains: &[DomainHosts]) -> Owners {
    let key = bucket as u64;
    let chosen = domains.iter().max_by_key(|domain| mix(score(key, domain.domain_seed), 1));
    let Some(domain) = chosen else { return Owners::default() };
    let score_of = |host: &&HostEntry| score(key, host.id.0);
    let Some(home) = domain.hosts.iter().max_by_key(score_of) else { return Owners::default() };
    let others = || domain.hosts.iter().filter(|host| host.id != home.id);
    let in_other_rack =
        others().filter(|host| host.rack_seed != home.rack_seed).max_by_key(score_of);
    let backup = in_other_rack.or_else(|| others().max_by_key(score_of));
    Owners { home: Some(home.id), backup: backup.map(|host| host.id) }
}

fn hosts_by_domain(hosts: &[HostEntry]) -> Vec<DomainHosts> {
    domain_seeds(hosts)
        .into_iter()
        .map(|domain_seed| DomainHosts {
            domain_seed,
            hosts: hosts.iter().copied().filter(|host| host.domain_seed == domain_seed).collect(),
        })
        .collect()
}

fn domain_seeds(hosts: &[HostEntry]) -> Vec<u64> {
    let mut seeds: Vec<u64> = hosts.iter().map(|host| host.domain_seed).collect();
    seeds.sort_unstable();
    seeds.dedup();
    seeds
}

/// The entries of `left` that are not in `right`. Both are sorted by identity.
fn difference(left: &[HostEntry], right: &[HostEntry]) -> Vec<HostEntry> {
    let is_in_right = |host: &HostEntry| {
        let found = right.binary_search_by_key(&host.id, |other| other.id);
        found.is_ok_and(|position| right[position] == *host)
    };
    left.iter().copied().filter(|host| !is_in_right(host)).collect()
}
