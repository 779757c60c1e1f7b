//! The clocks.

use std::time::{SystemTime, UNIX_EPOCH};

use rustix::time::{ClockId, clock_gettime};

/// The steady time in milliseconds. It goes on while the machine is suspended, so that whatever has
/// an age is as old as it looks.
pub(crate) fn now_ms() -> u64 {
    let now = clock_gettime(ClockId::Boottime);
    now.tv_sec as u64 * 1_000 + now.tv_nsec as u64 / 1_000_000
}

/// The time of day in milliseconds since 1970; it may jump, so it only numbers starts.
pub(crate) fn new_incarnation() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(1, |elapsed| elapsed.as_millis() as u64)
}
