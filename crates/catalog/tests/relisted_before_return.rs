//! A target that was taken for gone and was listed again with the same announcement, before the store
//! returned from a copy that lists it too.
//!
//! Failure scenario: a host that has missed the second listing takes the target for gone, and the copy
//! does not correct it. Which row a host ends with depends on the order in which the rows arrive.

use catalog::{Catalog, Presence, Record, Revision, Row, Stage, Target, TargetId};

fn row(era: u64, number: u64, presence: Presence) -> Row {
    let record = Record::Target(Target {
        id: TargetId(1),
        service_seed: 1,
        address: "10.0.0.1:8000".parse().expect("an address"),
        domain_seed: 1,
        slots: 3,
        stage: Stage::Ready,
        warmup_ms: 0,
        started_at_ms: 7,
    });
    Row { revision: Revision::new(era, number), edition: 5, presence, record }
}

#[test]
fn any_order() {
    let gone = row(1, 10, Presence::Gone);
    let relisted = row(1, 20, Presence::Listed);
    let copied = row(2, 8, Presence::Listed);
    let orders = [
        [&gone, &relisted, &copied],
        [&gone, &copied, &relisted],
        [&relisted, &gone, &copied],
        [&relisted, &copied, &gone],
        [&copied, &gone, &relisted],
        [&copied, &relisted, &gone],
    ];
    for order in orders {
        let mut catalog = Catalog::default();
        order.into_iter().for_each(|row| {
            catalog.merge(row.clone());
        });
        assert_eq!(catalog.rows()[0].presence, Presence::Listed, "{order:?}");
    }
}
