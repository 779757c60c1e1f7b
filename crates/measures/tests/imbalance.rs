//! Compares the distribution of sessions over targets with the stated goal.

use measures::imbalance;

#[test]
fn within_five_percent() {
    let result = imbalance(15_000, 1);
    assert!(result.overall <= 1.05, "{result:?}");
}
