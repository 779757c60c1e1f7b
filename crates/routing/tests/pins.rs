//! Compares the pin table with a `BTreeMap`, and checks the target directory.

use std::collections::BTreeMap;

use flow::FlowHash;
use proptest::{prelude::*, test_runner::RngSeed};
use routing::{Pin, PinState, PinTable, TargetDirectory, TargetHandle};

fn pin(number: u64, target: u32) -> Pin {
    Pin {
        hash: FlowHash(u128::from(number) << 64 | u128::from(number)),
        target: TargetHandle(target),
        listener_key: 0,
        sequence: 0,
        opened_at_ds: 0,
        seen_at_ds: 0,
        caller_sequence: 0,
        progress_at_ds: 0,
        state: PinState::Established,
        attempts: 0,
        is_copied: false,
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 64, rng_seed: RngSeed::Fixed(5), failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn matches_btree_map(steps in proptest::collection::vec((0..40u64, 0..3u32), 0..300)) {
        let mut table = PinTable::default();
        let mut map: BTreeMap<u64, Pin> = BTreeMap::new();
        for (number, target) in steps {
            let new = pin(number, target);
            if target == 0 {
                prop_assert_eq!(table.remove(new.hash), map.remove(&number));
            } else {
                table.insert(new);
                map.insert(number, new);
            }
            prop_assert_eq!(table.len(), map.len());
        }
        for (number, expected) in &map {
            prop_assert_eq!(table.get(pin(*number, 0).hash), Some(expected));
        }
        prop_assert_eq!(table.iter().count(), map.len());
    }
}

#[test]
fn stable_handles() {
    let mut directory = TargetDirectory::default();
    let first = directory.intern("10.0.0.9".parse().unwrap());
    let second = directory.intern("10.0.0.1".parse().unwrap());
    assert_ne!(first, second);
    assert_eq!(directory.intern("10.0.0.9".parse().unwrap()), first);
    assert_eq!(directory.address(second), Some("10.0.0.1".parse().unwrap()));
}
