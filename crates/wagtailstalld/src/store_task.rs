//! Follows the platform's store: settings and the list of hosts.
//!
//! Two hosts of each failure domain hold a waiting read. All others hear of changes from their
//! peers and read the root slowly, as a safety net.

use std::{net::SocketAddr, time::Duration};

use membership::MemberState;
use rand::RngExt;
use routing::{HostId, score};
use settings::Blobs;
use smol::Timer;
use store::{ConsulClient, Rejection, StoreError, Wait, load, read_root};
use telemetry::{Event, field};

use crate::control_thread::State;

/// How many hosts of a failure domain hold a waiting read.
const WATCHERS: usize = 2;

/// The number that decides which hosts watch.
const WATCHER_SEED: u64 = 0x7761_7463_6865_7273;

/// How long a waiting read waits.
const WAIT: Duration = Duration::from_secs(20);

/// How often the others read the root, in milliseconds, doubled at random.
const SLOW_READ_MS: u64 = 30_000;

/// How often a host without settings asks, in milliseconds.
const FIRST_READ_MS: u64 = 300;

/// The pause after a failed call, in milliseconds, doubled at random.
const FAILURE_PAUSE_MS: u64 = 1_000;

/// How often the list of hosts is read, in milliseconds, doubled at random.
const LIST_MS: u64 = 15_000;

/// The name of the service that the platform lists hosts under.
const SERVICE: &str = "wagtailstall";

/// Follows the settings.
pub(crate) async fn follow(state: State) {
    let client = ConsulClient::new(&state.shared.settings.store_addresses);
    let mut index = 0;
    let mut is_available = true;
    loop {
        let is_watcher = is_watcher(&state);
        let wait = if is_watcher && index > 0 {
            Wait::ForChange { index, timeout: WAIT }
        } else {
            Wait::No
        };
        match follow_once(&state, &client, wait).await {
            Ok(next_index) => {
                note_availability(&mut is_available, None);
                index = next_index;
                pause(&state, is_watcher).await;
            }
            Err(rejection) => {
                note_availability(&mut is_available, Some(&rejection));
                index = 0;
                Timer::after(jittered(FAILURE_PAUSE_MS)).await;
            }
        }
    }
}

async fn follow_once(state: &State, client: &ConsulClient, wait: Wait) -> Result<u64, Rejection> {
    let (root, index) = read_root(client, wait).await?;
    let Some(root) = root else { return Ok(index) };
    if root.revision < state.revision() {
        let in_force = state.revision();
        telemetry::emit(
            Event::StoreBehind,
            &[field("store_revision", root.revision), field("revision", in_force)],
        );
        return Ok(index);
    }
    if root.revision > state.revision() {
        let mut blobs: Blobs = state.held().blobs.clone();
        let tree = load(client, &root, &mut blobs).await?;
        state.take_settings(root, &tree, blobs);
    }
    Ok(index)
}

/// Follows the platform's list of hosts, which only names addresses to ask.
pub(crate) async fn list_hosts(state: State) {
    let client = ConsulClient::new(&state.shared.settings.store_addresses);
    loop {
        // The list is long; the others hear of hosts by gossip.
        let is_needed = is_watcher(&state) || is_alone(&state);
        if is_needed && let Ok(hosts) = client.service_hosts(SERVICE).await {
            let seeds: Vec<SocketAddr> = hosts
                .iter()
                .map(|host| SocketAddr::new(host.service_address, host.service_port))
                .collect();
            state.set_seeds(&seeds);
        }
        let pause_ms = if is_alone(&state) { FAILURE_PAUSE_MS } else { LIST_MS };
        Timer::after(jittered(pause_ms)).await;
    }
}

fn is_alone(state: &State) -> bool {
    state.with_control(|control| control.members().entries(MemberState::is_alive).len() <= 1)
}

async fn pause(state: &State, was_watcher: bool) {
    if state.revision() == 0 {
        Timer::after(Duration::from_millis(FIRST_READ_MS)).await;
        return;
    }
    if !was_watcher {
        // A host may become a watcher meanwhile, so the pause is taken in steps.
        let pause = jittered(SLOW_READ_MS);
        let mut slept = Duration::ZERO;
        while slept < pause && !is_watcher(state) {
            Timer::after(Duration::from_millis(FAILURE_PAUSE_MS)).await;
            slept += Duration::from_millis(FAILURE_PAUSE_MS);
        }
    }
}

fn is_watcher(state: &State) -> bool {
    let me = state.shared.config.id();
    let domain_seed = state.shared.config.domain_seed;
    state.with_control(|control| {
        let mut hosts: Vec<HostId> = control
            .members()
            .entries(MemberState::is_alive)
            .iter()
            .filter(|host| host.domain_seed == domain_seed)
            .map(|host| host.id)
            .collect();
        hosts.sort_by_key(|host| score(WATCHER_SEED, host.0));
        hosts.iter().rev().take(WATCHERS).any(|host| *host == me)
    })
}

fn note_availability(is_available: &mut bool, failure: Option<&Rejection>) {
    match failure {
        Some(Rejection::Store(error)) if *is_available => {
            let error: &StoreError = error;
            telemetry::emit(Event::StoreUnavailable, &[field("cause", error)]);
            *is_available = false;
        }
        Some(Rejection::Store(_)) => {}
        Some(rejection) => {
            telemetry::emit(Event::SettingsRejected, &[field("cause", rejection)]);
        }
        None if !*is_available => {
            telemetry::emit(Event::StoreAvailable, &[]);
            *is_available = true;
        }
        None => {}
    }
}

fn jittered(base_ms: u64) -> Duration {
    let extra_ms = rand::rng().random_range(0..base_ms);
    Duration::from_millis(base_ms + extra_ms)
}
