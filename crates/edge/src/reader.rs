//! Follows the store while this host is a reader.

use std::time::Duration;

use rand::RngExt;
use relay::Role;
use smol::Timer;
use store::{RangeStore, StoreError};
use telemetry::{Event, field};

use crate::{Platform, clock, control_thread::State};

/// How long a waiting read waits, in milliseconds. Its answer also shows that a quiet store is
/// really quiet, so it is well below the age at which a catalog is stale.
const WAIT_MS: u64 = 1_000;

/// The same after an answer with changes, which shows only that the store was current when it was
/// asked.
const FOLLOW_UP_MS: u64 = 500;

/// The pause after a failed call, in milliseconds, doubled up to the longest one, and half as much
/// again at random.
const PAUSE_MS: u64 = 100;
const PAUSE_MAX_MS: u64 = 800;

/// Follows the store whenever the relay makes this host a reader.
pub(crate) async fn run<P: Platform>(state: State) {
    let mut store = P::open_store(state.shared.settings.store_address);
    let mut pause_ms = PAUSE_MS;
    let mut is_following = false;
    let mut wait_ms = WAIT_MS;
    let mut was_reader = false;
    loop {
        let is_reader = state.with_core(|core| core.relay().role() == Role::Reader);
        if is_reader != was_reader {
            let role = if is_reader { "reader" } else { "listener" };
            telemetry::emit(Event::RoleChanged, &[field("role", role)]);
            was_reader = is_reader;
        }
        if !is_reader {
            is_following = false;
            state.role_changed().await;
            continue;
        }
        is_following &= !state.with_core(|core| core.take_contradiction());
        match read_once::<P>(&state, &mut store, is_following.then_some(wait_ms)).await {
            Ok(has_changes) => {
                is_following = true;
                wait_ms = if has_changes { FOLLOW_UP_MS } else { WAIT_MS };
                pause_ms = PAUSE_MS;
            }
            Err(error) => {
                state.with_core(|core| core.on_failure(&error));
                // Changes may be missing; a listing tells them all.
                is_following = is_following && error != StoreError::HistoryLost;
                if error == StoreError::HistoryLost {
                    continue;
                }
                let extra_ms = rand::rng().random_range(0..pause_ms / 2);
                Timer::after(Duration::from_millis(pause_ms + extra_ms)).await;
                pause_ms = (2 * pause_ms).min(PAUSE_MAX_MS);
            }
        }
    }
}

/// Lists everything, or waits for changes if `wait_ms` is given. Returns whether there were any.
async fn read_once<P: Platform>(
    state: &State,
    store: &mut P::Store,
    wait_ms: Option<u64>,
) -> Result<bool, StoreError> {
    let sent_at_ms = clock::now_ms();
    let revision = state.with_core(|core| core.relay().catalog().revision());
    let Some(wait_ms) = wait_ms.filter(|_| revision > 0) else {
        let listing = store.list(P::PREFIX).await?;
        let now_ms = clock::now_ms();
        let mail = state.with_core(|core| core.on_listing::<P>(listing, sent_at_ms, now_ms));
        state.after_change(mail);
        return Ok(true);
    };
    let list = store.watch(P::PREFIX, revision, Duration::from_millis(wait_ms)).await?;
    let now_ms = clock::now_ms();
    let has_changes = !list.changes.is_empty();
    // An empty answer was given at the end of the wait at the earliest.
    let waited_ms = if has_changes { 0 } else { wait_ms.min(now_ms - sent_at_ms) };
    let valid_at_ms = sent_at_ms + waited_ms;
    let mail = state.with_core(|core| core.on_change_list::<P>(list, valid_at_ms, now_ms));
    state.after_change(mail);
    Ok(has_changes)
}
