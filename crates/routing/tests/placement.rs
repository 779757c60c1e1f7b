//! Placements depend only on the set of hosts.

use proptest::{prelude::*, test_runner::RngSeed};
use routing::{HostEntry, HostId, Placement};

const BUCKETS: usize = 256;

fn entry(number: u64) -> HostEntry {
    HostEntry { id: HostId(number), domain_seed: number % 3, rack_seed: number % 4 }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 64, rng_seed: RngSeed::Fixed(3), failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn order_independent(steps in proptest::collection::vec((0..24u64, any::<bool>()), 1..40)) {
        let mut hosts: Vec<HostEntry> = Vec::new();
        let mut placement = Placement::new(BUCKETS, &[]);
        for (number, is_added) in steps {
            hosts.retain(|host| host.id != HostId(number));
            if is_added {
                hosts.push(entry(number));
            }
            placement.set_hosts(&hosts);
        }
        prop_assert_eq!(placement, Placement::new(BUCKETS, &hosts));
    }
}

#[test]
fn separate_racks() {
    let hosts: Vec<HostEntry> = (0..24).map(entry).collect();
    let placement = Placement::new(BUCKETS, &hosts);
    for bucket in 0..BUCKETS {
        let owners = placement.owners(bucket);
        let (home, backup) = (owners.home.unwrap().0, owners.backup.unwrap().0);
        assert_ne!(entry(home).rack_seed, entry(backup).rack_seed);
        assert_eq!(entry(home).domain_seed, entry(backup).domain_seed);
    }
}

#[test]
fn removal_keeps_others() {
    let hosts: Vec<HostEntry> = (0..24).map(entry).collect();
    let mut placement = Placement::new(BUCKETS, &hosts);
    let removed = HostId(7);
    let owned = (0..BUCKETS).filter(|bucket| placement.owners(*bucket).contains(removed)).count();
    let fewer: Vec<HostEntry> = hosts.into_iter().filter(|host| host.id != removed).collect();
    assert_eq!(placement.set_hosts(&fewer).len(), owned);
}
