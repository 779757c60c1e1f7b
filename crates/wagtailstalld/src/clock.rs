//! The wall clock.

use std::time::{SystemTime, UNIX_EPOCH};

/// The wall-clock time in milliseconds since 1970.
pub(crate) fn now_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |elapsed| elapsed.as_millis() as u64)
}
