//! Targets for tests.

use std::net::SocketAddrV4;

use catalog::{Stage, Target, TargetId};

/// A ready target at an address that all targets share.
pub fn target(id: TargetId, service_seed: u64, started_at_ms: u64) -> Target {
    Target {
        id,
        service_seed,
        address: SocketAddrV4::new([10, 0, 0, 1].into(), 8_000),
        domain_seed: 1,
        slots: 3,
        stage: Stage::Ready,
        warmup_ms: 0,
        started_at_ms,
    }
}
