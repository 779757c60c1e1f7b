//! Cost of recomputing the placement when a host leaves or returns.

use std::time::Instant;

use routing::{HostEntry, HostId, Placement, mix};
use serde::Serialize;

/// Costs and balance of a placement.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct PlacementCost {
    /// Total number of hosts.
    pub hosts: usize,
    /// Number of failure domains.
    pub domains: usize,
    /// Number of buckets.
    pub buckets: usize,
    /// Time to compute the first placement, in microseconds.
    pub build_us: u64,
    /// Mean time to recompute the placement after one host leaves or returns, in microseconds.
    pub change_us: u64,
    /// Number of buckets whose owners one removal changes, relative to the smallest possible
    /// number.
    pub moved_over_minimum: f64,
    /// Ratio of the largest to the mean number of buckets for which a host is home.
    pub imbalance: f64,
}

/// Measures a placement of `buckets` buckets on `hosts` hosts in `domains` failure domains.
pub fn placement_cost(hosts: usize, domains: usize, buckets: usize) -> PlacementCost {
    const REMOVALS: usize = 16;
    // The hosts are in racks of 40.
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
    let mut home_buckets: Vec<(HostId, usize)> =
        placement.hosts().iter().map(|host| (host.id, 0)).collect();
    for bucket in 0..buckets {
        if let Some(home) = placement.owners(bucket).home
            && let Ok(position) = home_buckets.binary_search_by_key(&home, |entry| entry.0)
        {
            home_buckets[position].1 += 1;
        }
    }
    let max_home_buckets = home_buckets.iter().map(|entry| entry.1).max().unwrap_or(0);
    let started = Instant::now();
    let mut moved_buckets = 0;
    for number in 0..REMOVALS {
        let mut remaining = entries.clone();
        remaining.remove(number * 7 % hosts);
        moved_buckets += placement.set_hosts(&remaining).len();
        placement.set_hosts(&entries);
    }
    let change_us = started.elapsed().as_micros() as u64 / (2 * REMOVALS as u64);
    // Each bucket has a home and a backup, so a host owns 2 * `buckets` / `hosts` of them on
    // average, and its removal moves at least these.
    let minimum = REMOVALS as f64 * 2.0 * buckets as f64 / hosts as f64;
    PlacementCost {
        hosts,
        domains,
        buckets,
        build_us,
        change_us,
        moved_over_minimum: moved_buckets as f64 / minimum,
        imbalance: max_home_buckets as f64 * hosts as f64 / buckets as f64,
    }
}
