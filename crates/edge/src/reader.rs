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

/// The pause after a failed call, in milliseconds, doubled up to the longest one, and half as much
/// again at random.
const PAUSE_MS: u64 = 100;
const PAUSE_MAX_MS: u64 = 800;

/// Follows the store whenever the relay makes this host a reader.
pub(crate) async fn run<P: Platform>(state: State) {
    let mut store = P::open_store(state.shared.settings.store_address);
    let mut pause_ms = PAUSE_MS;
    let mut is_following = false;
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
        match read_once::<P>(&state, &mut store, is_following).await {
            Ok(()) => {
                is_following = true;
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

async fn read_once<P: Platform>(
    state: &State,
    store: &mut P::Store,
    is_following: bool,
) -> Result<(), StoreError> {
    let sent_at_ms = clock::now_ms();
    let revision = state.with_core(|core| core.relay().catalog().revision());
    if !is_following || revision == 0 {
        let listing = store.list(P::PREFIX).await?;
        let now_ms = clock::now_ms();
        let mail = state.with_core(|core| core.on_listing::<P>(listing, sent_at_ms, now_ms));
        state.after_change(mail);
        return Ok(());
    }
    let list = store.watch(P::PREFIX, revision, Duration::from_millis(WAIT_MS)).await?;
    let now_ms = clock::now_ms();
    // An empty answer was given at the end of the wait at the earliest.
    let waited_ms = if list.changes.is_empty() { WAIT_MS.min(now_ms - sent_at_ms) } else { 0 };
    let proven_at_ms = sent_at_ms + waited_ms;
    let mail = state.with_core(|core| core.on_change_list::<P>(list, proven_at_ms, now_ms));
    state.after_change(mail);
    Ok(())
}
