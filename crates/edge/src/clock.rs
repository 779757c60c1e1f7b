//! The monotonic clock, and the incarnation number from the wall clock.

use std::time::{SystemTime, UNIX_EPOCH};

use rustix::time::{ClockId, clock_gettime};

/// The monotonic time in milliseconds. It includes time during which the machine was suspended, so
/// that ages are not underestimated.
pub(crate) fn now_ms() -> u64 {
    now_us() / 1_000
}

/// The same clock in microseconds.
pub(crate) fn now_us() -> u64 {
    let now = clock_gettime(ClockId::Boottime);
    now.tv_sec as u64 * 1_000_000 + now.tv_nsec as u64 / 1_000
}

/// The incarnation number of this process: the wall-clock time in milliseconds since 1970. That
/// clock may jump, so it serves only to number process starts.
pub(crate) fn new_incarnation() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(1, |elapsed| elapsed.as_millis() as u64)
}
