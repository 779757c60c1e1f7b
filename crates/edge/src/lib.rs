//! A host with tagged affinity: sockets, clocks and threads around the decisions of `tagged`,
//! `relay` and `membership`.
//!
//! One thread carries packets. One thread holds control state: membership, the relay, the reading
//! of the store, health checks and the pages. They share one immutable directory and two channels.
//!
//! What a deployment's platform speaks is behind the trait [`Platform`]; this crate knows no names
//! of it.

mod checks;
mod clock;
mod control;
mod control_thread;
mod data_thread;
mod decision_log;
mod pages;
mod platform;
mod reader;
mod replay;
mod settings_file;
mod shared;

use std::{path::Path, thread};

use eyre::{Result, WrapErr, eyre};
use telemetry::{Event, field};

use crate::{data_thread::DataThread, shared::Shared};
pub use crate::{
    platform::{DecodeError, KeyKind, Platform},
    settings_file::EdgeSettings,
};

/// Runs a host by the settings at `path` until it is told to stop.
///
/// # Errors
///
/// Fails if a socket cannot be opened or a thread ends unexpectedly.
pub fn run<P: Platform>(path: &Path, settings: EdgeSettings) -> Result<()> {
    let shared = Shared::new(settings)?;
    telemetry::emit(
        Event::Started,
        &[field("peer_address", shared.settings.peer_address), field("boot", shared.incarnation)],
    );
    let data = {
        let shared = shared.clone();
        let mut data = DataThread::<P>::new(shared)?;
        thread::Builder::new()
            .name("data".to_owned())
            .spawn(move || data.run())
            .wrap_err("the data thread cannot be started")?
    };
    let result = control_thread::run::<P>(&shared, path);
    shared.request_exit();
    data.join().map_err(|_| eyre!("the data thread failed"))??;
    telemetry::emit(Event::Stopped, &[]);
    result
}
