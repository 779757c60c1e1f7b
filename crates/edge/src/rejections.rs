//! Items of the store that cannot be used, or only in part.

use std::{
    fmt::Display,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};

use catalog::Revision;
use store::Item;
use telemetry::{Event, field};

/// Maximum number of items that are remembered as logged.
const LOGGED_MAX: usize = 1_024;

/// Counts such items and logs each write of one once, however often it is listed.
#[derive(Debug, Default)]
pub(crate) struct Rejections {
    count: Arc<AtomicU64>,
    /// The key of each logged item and the revision of its write, sorted.
    logged: Vec<(String, Revision)>,
}

impl Rejections {
    pub(crate) fn new(count: Arc<AtomicU64>) -> Rejections {
        Rejections { count, logged: Vec::new() }
    }

    pub(crate) fn record(&mut self, item: &Item, cause: impl Display) {
        let (key, revision) = (&item.key, item.revision);
        let order = |entry: &(String, Revision)| (entry.0.as_str(), entry.1).cmp(&(key, revision));
        let Err(position) = self.logged.binary_search_by(order) else { return };
        self.count.fetch_add(1, Ordering::Relaxed);
        if self.logged.len() < LOGGED_MAX {
            self.logged.insert(position, (key.clone(), revision));
        }
        telemetry::emit(
            Event::EntryRejected,
            &[field("key", key), field("revision", revision), field("cause", cause)],
        );
    }
}
