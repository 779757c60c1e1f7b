//! What a change of the hosts costs the placement.

use std::time::Instant;

use routing::{HostEntry, HostId, Placement, mix};
use serde::Serialize;

/// The result.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct PlacementCost {
    /// Hosts in all.
    pub hosts: usize,
    /// Failure domains.
    pub domains: usize,
    /// Buckets.
    pub buckets: usize,
    /// The time of the first computation, in microseconds.
    pub build_us: u64,
    /// The time of one host's removal and return, in microseconds, in the mean.
    pub change_us: u64,
    /// The share of buckets whose owners one removal changes, over the smallest possible share.
    pub moved_over_minimum: f64,
    /// The most buckets of a host over the mean.
    pub imbalance: f64,
}

/// Measures a placement.
pub fn placement_cost(hosts: usize, domains: usize, buckets: usize) -> PlacementCost {
    const CHANGES: usize = 16;
    let entries: Vec<HostEntry> = (0..hosts as u64)
        .map(|number| HostEntry {
            id: HostId(mix(number, 5)),
            domain_seed: number % domains as u64,
            rack_seed: number / 40,
        })
        .collect();
    let started = Instant::now();
    let mut placement = Placement::new(buckets, &entries);
    let build_us = started.elapsed().as_micros() as u64;
    let mut owned: Vec<(HostId, usize)> =
        placement.hosts().iter().map(|host| (host.id, 0)).collect();
    for bucket in 0..buckets {
        if let Some(home) = placement.owners(bucket).home
            && let Ok(position) = owned.binary_search_by_key(&home, |entry| entry.0)
        {
            owned[position].1 += 1;
        }
    }
    let most = owned.iter().map(|entry| entry.1).max().unwrap_or(0);
    let started = Instant::now();
    let mut moved = 0;
    for number in 0..CHANGES {
        let mut fewer = entries.clone();
        fewer.remove(number * 7 % hosts);
        moved += placement.set_hosts(&fewer).len();
        placement.set_hosts(&entries);
    }
    let change_us = started.elapsed().as_micros() as u64 / (2 * CHANGES as u64);
    // A host is home or backup of two in so many buckets.
    let minimum = CHANGES as f64 * 2.0 * buckets as f64 / hosts as f64;
    PlacementCost {
        hosts,
        domains,
        buckets,
        build_us,
        change_us,
        moved_over_minimum: moved as f64 / minimum,
        imbalance: most as f64 * hosts as f64 / buckets as f64,
    }
}
