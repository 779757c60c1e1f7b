//! Reads the platform's store while the relay has assigned this host the reader role.

use std::time::Duration;

use catalog::Revision;
use rand::RngExt;
use relay::Role;
use smol::Timer;
use store::{RangeStore, StoreError};
use telemetry::{Event, field};

use crate::{Platform, clock, control_thread::State};

/// The timeout of a watch call, in milliseconds. An empty answer confirms that the catalog is still
/// current, so the timeout is well below the age at which a catalog is stale.
const WATCH_TIMEOUT_MS: u64 = 1_000;

/// The timeout of the watch call after one that returned changes, in milliseconds. Such an answer
/// confirms the catalog only as of the time when the call was sent, so the next one is due sooner.
const FOLLOW_UP_TIMEOUT_MS: u64 = 500;

/// The first delay before a failed call is retried, in milliseconds. It doubles up to
/// [`MAX_RETRY_DELAY_MS`], and a random jitter of up to half of it is added.
const RETRY_DELAY_MS: u64 = 100;
const MAX_RETRY_DELAY_MS: u64 = 800;

/// Lists and watches the store whenever this host is a reader.
pub(crate) async fn run<P: Platform>(state: State) {
    let mut store = P::open_store(state.shared.settings.store_address);
    let mut retry_delay_ms = RETRY_DELAY_MS;
    let mut can_watch = false;
    let mut timeout_ms = WATCH_TIMEOUT_MS;
    let mut was_reader = false;
    loop {
        let is_reader = state.with_core(|core| core.relay().role() == Role::Reader);
        if is_reader != was_reader {
            let role = if is_reader { "reader" } else { "listener" };
            telemetry::emit(Event::RoleChanged, &[field("role", role)]);
            was_reader = is_reader;
        }
        if !is_reader {
            can_watch = false;
            state.role_changed().await;
            continue;
        }
        can_watch &= !state.with_core(|core| core.take_relist_request());
        match read_once::<P>(&state, &mut store, can_watch.then_some(timeout_ms)).await {
            Ok(has_changes) => {
                can_watch = true;
                timeout_ms = if has_changes { FOLLOW_UP_TIMEOUT_MS } else { WATCH_TIMEOUT_MS };
                retry_delay_ms = RETRY_DELAY_MS;
            }
            Err(error) => {
                state.with_core(|core| core.on_store_error(&error, clock::now_ms()));
                // The store no longer has the changes since our revision, or has returned from a copy
                // without them, so list everything again.
                can_watch = can_watch && error != StoreError::HistoryLost;
                if error == StoreError::HistoryLost {
                    continue;
                }
                let jitter_ms = rand::rng().random_range(0..retry_delay_ms / 2);
                Timer::after(Duration::from_millis(retry_delay_ms + jitter_ms)).await;
                retry_delay_ms = (2 * retry_delay_ms).min(MAX_RETRY_DELAY_MS);
            }
        }
    }
}

/// Lists all items, or watches for changes if `timeout_ms` is given.
/// Returns whether there were any.
async fn read_once<P: Platform>(
    state: &State,
    store: &mut P::Store,
    timeout_ms: Option<u64>,
) -> Result<bool, StoreError> {
    let sent_at_ms = clock::now_ms();
    let revision = state.with_core(|core| core.relay().catalog().revision());
    let Some(timeout_ms) = timeout_ms.filter(|_| revision > Revision::ZERO) else {
        let listing = store.list(P::KEY_PREFIX, revision.era).await?;
        let now_ms = clock::now_ms();
        let messages = state.with_core(|core| core.on_listing::<P>(listing, sent_at_ms, now_ms));
        state.publish_and_send(messages);
        return Ok(true);
    };
    let list = store.watch(P::KEY_PREFIX, revision, Duration::from_millis(timeout_ms)).await?;
    let now_ms = clock::now_ms();
    let has_changes = !list.changes.is_empty();
    // The store sends an empty answer only after the timeout, so nothing had changed by then.
    let waited_ms = if has_changes { 0 } else { timeout_ms.min(now_ms - sent_at_ms) };
    let valid_at_ms = sent_at_ms + waited_ms;
    let messages = state.with_core(|core| core.on_change_list::<P>(list, valid_at_ms, now_ms));
    state.publish_and_send(messages);
    Ok(has_changes)
}
