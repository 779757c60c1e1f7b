//! The thread that owns the control state.

use std::{
    cell::{Cell, RefCell},
    future::Future,
    net::SocketAddr,
    path::{Path, PathBuf},
    rc::Rc,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use async_signal::{Signal, Signals};
use catalog::Directory;
use eyre::{Result, WrapErr};
use futures_lite::StreamExt;
use relay::{Relay, Role};
use routing::HostId;
use smol::{
    LocalExecutor, Timer,
    channel::{Receiver, Sender, bounded},
    net::UdpSocket,
};
use tagged::{HostLoad, TargetLoad};
use telemetry::{Event, field};
use wire::{Control as Message, Frame, FrameKind};

use crate::{
    EdgeSettings, Platform, checks, clock,
    control::{Core, OutgoingMessages},
    decision_log,
    evacuations::Evacuations,
    pages, reader,
    shared::{Command, Notice, Shared},
};

/// The tick interval of the control state, in milliseconds.
const TICK_INTERVAL_MS: u64 = 100;

/// The tick interval while the host has no directory and callers wait for it, in milliseconds.
const STARTUP_TICK_INTERVAL_MS: u64 = 10;

/// The shortest interval between two published directories, in milliseconds.
const MIN_PUBLISH_INTERVAL_MS: u64 = 50;

/// How much longer the publish interval is for each row, in microseconds: a hundred times the cost
/// of a row (`cargo xtask measure directory`), so that building directories takes at most one
/// percent of a core.
const PUBLISH_INTERVAL_PER_ROW_US: u64 = 20;

/// The gap between two runs of this thread that counts as a pause of the process, in milliseconds.
/// Datagrams that queued up during a pause may be outdated.
const MIN_PAUSE_GAP_MS: u64 = 500;

/// How long datagrams are discarded after a pause, in milliseconds: enough to empty the receive
/// queue.
const DISCARD_AFTER_PAUSE_MS: u64 = 50;

/// How often the settings file is read again, in milliseconds; it may change without a SIGHUP.
const SETTINGS_POLL_INTERVAL_MS: u64 = 5_000;

/// How long a stopping host keeps forwarding after it reports that it is not ready, in
/// milliseconds. Routers poll readiness twice a second and skip a host after two failures.
const MIN_LINGER_MS: u64 = 1_700;

/// How long a stopping host forwards at most while packets arrive, in milliseconds; less than the
/// platform's time limit for a stop.
const MAX_LINGER_MS: u64 = 4_000;

/// The time without a packet after which routers are assumed to skip this host, in milliseconds.
const QUIET_PERIOD_MS: u64 = 400;

/// The largest datagram between hosts, in bytes.
const MAX_DATAGRAM_BYTES: usize = 32_768;

/// How many low bits of a sequence number count datagrams. The bits above start at the incarnation,
/// which is a time in milliseconds, so the numbers grow over restarts unless a host sends more than
/// 2^20 datagrams a millisecond.
const SEQUENCE_BITS: u32 = 20;

/// The last directory that was published to the data thread.
#[derive(Debug, Clone, Copy)]
struct Published {
    /// The catalog's count of changes that the directory includes.
    changes: u64,
    /// The earliest time for the next directory, by the monotonic clock.
    next_at_ms: u64,
}

/// The control state, shared by the tasks of this thread.
#[derive(Clone)]
pub(crate) struct State {
    pub(crate) shared: Arc<Shared>,
    core: Rc<RefCell<Core>>,
    socket: Rc<UdpSocket>,
    executor: Rc<LocalExecutor<'static>>,
    last_sequence_number: Rc<Cell<u64>>,
    published: Rc<Cell<Option<Published>>>,
    is_stopping: Rc<Cell<bool>>,
    /// The loads of this host that have not been sent to other hosts yet.
    loads: Rc<RefCell<Option<Vec<TargetLoad>>>>,
    /// When this thread last ran, by the monotonic clock.
    last_run_at_ms: Rc<Cell<u64>>,
    /// Datagrams that are received before this time are discarded, by the monotonic clock.
    discard_until_ms: Rc<Cell<u64>>,
    role_changes: (Sender<()>, Receiver<()>),
    evacuations: Rc<RefCell<Evacuations>>,
}

/// Registers the signals that a host handles. Until then a SIGHUP ends the process.
pub(crate) fn register_signals() -> Result<Signals> {
    Signals::new([Signal::Term, Signal::Int, Signal::Hup]).wrap_err("signals cannot be received")
}

/// Runs until a planned stop has ended.
pub(crate) fn run<P: Platform>(shared: &Arc<Shared>, path: &Path, signals: Signals) -> Result<()> {
    let executor = Rc::new(LocalExecutor::new());
    smol::block_on(executor.run(async {
        let address = shared.settings.peer_address;
        let socket = UdpSocket::bind(address)
            .await
            .wrap_err_with(|| format!("131: /peer_address: {address} cannot be bound"))?;
        let state = State {
            shared: shared.clone(),
            core: Rc::new(RefCell::new(Core::new(shared, clock::now_ms()))),
            socket: Rc::new(socket),
            executor: executor.clone(),
            last_sequence_number: Rc::new(Cell::new(shared.incarnation << SEQUENCE_BITS)),
            published: Rc::default(),
            is_stopping: Rc::default(),
            loads: Rc::default(),
            evacuations: Rc::default(),
            last_run_at_ms: Rc::new(Cell::new(clock::now_ms())),
            discard_until_ms: Rc::default(),
            role_changes: bounded(1),
        };
        let ready = pages::listen("ready_address", shared.settings.ready_address).await?;
        let admin = pages::listen("admin_address", shared.settings.admin_address).await?;
        pages::register_counters(&state);
        state.spawn(pages::serve::<P>(state.clone(), ready));
        state.spawn(pages::serve::<P>(state.clone(), admin));
        state.spawn(state.clone().receive());
        state.spawn(state.clone().handle_notices());
        state.spawn(reader::run::<P>(state.clone()));
        state.spawn(state.clone().poll_settings_file(path.to_owned()));
        state.send_all(state.with_core(|core| core.ask_seeds(&shared.settings.seeds())));
        state.spawn(state.clone().tick_forever());
        state.wait_for_stop(path, signals).await
    }))
}

impl State {
    /// Calls `work` with the control state.
    pub(crate) fn with_core<T>(&self, work: impl FnOnce(&mut Core) -> T) -> T {
        work(&mut self.core.borrow_mut())
    }

    /// Runs `task` on this thread.
    pub(crate) fn spawn(&self, task: impl Future<Output = ()> + 'static) {
        self.executor.spawn(task).detach();
    }

    /// Whether the host accepts packets.
    pub(crate) fn is_ready(&self) -> bool {
        !self.is_stopping.get() && self.shared.directory.load().is_some()
    }

    /// Waits until the relay changes this host's role.
    pub(crate) async fn role_changed(&self) {
        // The channel cannot be closed: this state holds its sender.
        let _ = self.role_changes.1.recv().await;
    }

    /// Sends `messages`, and publishes a directory if the catalog has changed.
    pub(crate) fn publish_and_send(&self, messages: OutgoingMessages) {
        self.send_all(messages);
        let core = self.core.borrow();
        let relay = core.relay();
        let catalog = relay.catalog();
        let Some(confirmed_at_ms) = relay.confirmed_at_ms() else { return };
        let published = self.published.get();
        if published.is_some_and(|published| published.changes == catalog.change_count()) {
            self.publish_times(relay, confirmed_at_ms);
            return;
        }
        let now_ms = clock::now_ms();
        let is_early = published.is_some_and(|published| now_ms < published.next_at_ms);
        // A large change arrives in many parts; the next tick publishes what has arrived by then.
        if is_early || catalog.rows().is_empty() {
            return;
        }
        let directory = match &*self.shared.directory.load() {
            Some(earlier) => earlier.updated(catalog),
            None => Directory::new(catalog),
        };
        let rows = catalog.rows().len() as u64;
        self.published.set(Some(Published {
            changes: catalog.change_count(),
            next_at_ms: now_ms
                + MIN_PUBLISH_INTERVAL_MS
                + rows * PUBLISH_INTERVAL_PER_ROW_US / 1_000,
        }));
        telemetry::emit(
            Event::CatalogInForce,
            &[
                field("era", catalog.revision().era),
                field("revision", catalog.revision().number),
                field("settings_version", catalog.settings_version()),
                field("listeners", directory.listeners().len()),
                field("targets", directory.target_count()),
                field("view_age_ms", now_ms.saturating_sub(confirmed_at_ms)),
            ],
        );
        self.evacuations.borrow_mut().update(&directory, now_ms);
        self.shared.directory.store(Some(Arc::new(directory)));
        self.publish_times(relay, confirmed_at_ms);
        if published.is_none() {
            telemetry::emit(Event::Ready, &[]);
            self.shared.wake_data_thread();
        }
    }

    /// The evacuations in force; `domains` are the failure domains of known hosts.
    pub(crate) fn report_evacuations(
        &self,
        domains: &[u64],
        now_ms: u64,
    ) -> Vec<serde_json::Value> {
        match &*self.shared.directory.load() {
            Some(directory) => self.evacuations.borrow().report(directory, domains, now_ms),
            None => Vec::new(),
        }
    }

    /// Publishes the times that apply to the published directory.
    fn publish_times(&self, relay: &Relay, confirmed_at_ms: u64) {
        self.shared.confirmed_at_ms.store(confirmed_at_ms, Ordering::Release);
        self.shared.placement_until_ms.store(relay.placement_until_ms(), Ordering::Release);
    }

    fn send_all(&self, messages: OutgoingMessages) {
        for (to, message) in messages {
            self.send(to, &message);
        }
    }

    fn send(&self, to: SocketAddr, message: &Message) {
        let body = wire::encode(message);
        match message {
            Message::Relay(relay::Message::Rows(_)) => {
                self.shared.row_bytes_sent.fetch_add(body.len() as u64, Ordering::Relaxed);
            }
            Message::Relay(relay::Message::Pull(_)) => {
                self.shared.pulls_sent.fetch_add(1, Ordering::Relaxed);
            }
            _ => {}
        }
        let sequence_number = self.last_sequence_number.get() + 1;
        self.last_sequence_number.set(sequence_number);
        let frame = Frame {
            kind: FrameKind::Control,
            hops: 0,
            listener_key: 0,
            sender: self.shared.me,
            origin: HostId(0),
            sent_at_ms: sequence_number,
            target: std::net::Ipv4Addr::UNSPECIFIED.into(),
            body: &body,
        };
        let mut datagram = Vec::with_capacity(wire::FRAME_HEADER_BYTES + body.len());
        frame.seal(&self.shared.peer_key, &mut datagram);
        let socket = self.socket.clone();
        // One poll sends the datagram unless the send buffer is full; then it is lost, as it might
        // be in the network.
        let sent =
            smol::future::block_on(futures_lite::future::poll_once(socket.send_to(&datagram, to)));
        if let Some(Err(error)) = sent {
            telemetry::emit(Event::SendFailed, &[field("cause", error), field("to", to)]);
        }
    }

    async fn receive(self) {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        loop {
            let Ok((length, from)) = self.socket.recv_from(&mut buffer).await else { continue };
            let now_ms = clock::now_ms();
            if !self.detect_pause(now_ms) {
                self.on_datagram(from, &buffer[..length], now_ms);
            }
        }
    }

    /// Records that this thread runs at `now_ms`. Returns whether the process has just resumed
    /// after a pause, so that datagrams from the receive queue are of unknown age and may be
    /// outdated.
    fn detect_pause(&self, now_ms: u64) -> bool {
        let gap_ms = now_ms.saturating_sub(self.last_run_at_ms.replace(now_ms));
        if gap_ms > MIN_PAUSE_GAP_MS {
            telemetry::emit(Event::Frozen, &[field("gap_ms", gap_ms)]);
            self.discard_until_ms.set(now_ms + DISCARD_AFTER_PAUSE_MS);
        }
        now_ms < self.discard_until_ms.get()
    }

    fn on_datagram(&self, from: SocketAddr, datagram: &[u8], now_ms: u64) {
        let Ok(frame) = Frame::open(datagram, &self.shared.peer_key) else { return };
        if !self.with_core(|core| core.admit(frame.sender, frame.sent_at_ms)) {
            return;
        }
        let message = match wire::decode(frame.body) {
            Ok(message) => message,
            Err(error) => {
                telemetry::emit(
                    Event::EntryRejected,
                    &[field("from", from), field("cause", error)],
                );
                return;
            }
        };
        match message {
            Message::Probe(probe) => {
                self.send_all(self.with_core(|core| core.on_probe(from, &probe, now_ms)));
            }
            Message::Relay(message) => {
                let messages = self.with_core(|core| core.on_relay(from, message, now_ms));
                self.publish_and_send(messages);
            }
            Message::Loads(mut targets) => {
                // A target that hosts of another failure domain cannot reach may be reachable here.
                let is_near = self.with_core(|core| core.is_near(frame.sender));
                if !is_near {
                    targets.iter_mut().for_each(|target| target.is_dead = false);
                }
                let load = HostLoad { host: frame.sender, is_near, targets };
                // If the channel is full because the data thread lags, the report is dropped;
                // another one follows.
                let _ = self.shared.commands.0.try_send(Command::Loads(load));
            }
            _ => {}
        }
    }

    async fn tick_forever(self) {
        let mut role = Role::Listener;
        loop {
            if self.detect_pause(clock::now_ms()) {
                // Answers to the polls of this tick would be discarded.
                Timer::after(Duration::from_millis(DISCARD_AFTER_PAUSE_MS)).await;
            }
            let now_ms = clock::now_ms();
            self.detect_pause(now_ms);
            let messages = self.with_core(|core| core.tick(now_ms));
            let host_count = self.with_core(|core| core.host_count());
            self.shared.host_count.store(host_count, Ordering::Relaxed);
            self.publish_and_send(messages);
            self.send_loads(now_ms);
            self.publish_hosts();
            let next = self.with_core(|core| core.relay().role());
            if next != role {
                role = next;
                // The channel holds one message; an unread one already announces a change.
                let _ = self.role_changes.0.try_send(());
            }
            let lacks_directory = self.shared.directory.load().is_none();
            let tick_interval_ms =
                if lacks_directory { STARTUP_TICK_INTERVAL_MS } else { TICK_INTERVAL_MS };
            Timer::after(Duration::from_millis(tick_interval_ms)).await;
        }
    }

    /// Tells the data thread which hosts are alive, if that has changed.
    fn publish_hosts(&self) {
        let Some(hosts) = self.with_core(Core::take_changed_hosts) else { return };
        if self.shared.commands.0.try_send(Command::Members(hosts)).is_err() {
            // The data thread lags; the next tick tries again.
            self.with_core(Core::retake_hosts);
        }
    }

    fn send_loads(&self, now_ms: u64) {
        if self.loads.borrow().is_none() {
            return;
        }
        let receivers = self.with_core(|core| core.take_load_receivers(&self.shared, now_ms));
        if receivers.is_empty() {
            return;
        }
        if let Some(loads) = self.loads.take() {
            let message = Message::Loads(loads);
            receivers.into_iter().for_each(|to| self.send(to, &message));
        }
    }

    async fn handle_notices(self) {
        while let Ok(notice) = self.shared.notices.1.recv().await {
            match notice {
                Notice::Loads(update) => {
                    *self.loads.borrow_mut() = Some(update.loads);
                    if update.is_urgent {
                        self.with_core(|core| core.make_loads_due());
                        self.send_loads(clock::now_ms());
                    }
                }
                Notice::Check(due) => self.spawn(checks::check_target(self.clone(), due)),
                Notice::Events(events, dropped) => decision_log::write(&events, dropped),
            }
        }
    }

    async fn poll_settings_file(self, path: PathBuf) {
        loop {
            Timer::after(Duration::from_millis(SETTINGS_POLL_INTERVAL_MS)).await;
            self.reload_settings(&path);
        }
    }

    fn reload_settings(&self, path: &Path) {
        match EdgeSettings::read(path) {
            Ok(settings) => self.with_core(|core| core.set_seeds(&settings.seeds())),
            Err(error) => telemetry::emit(
                Event::SettingsRejected,
                &[field("cause", format_args!("{error:#}"))],
            ),
        }
    }

    async fn wait_for_stop(&self, path: &Path, mut signals: Signals) -> Result<()> {
        loop {
            match signals.next().await {
                Some(Ok(Signal::Hup)) => {
                    telemetry::emit(Event::Reloaded, &[]);
                    self.reload_settings(path);
                }
                Some(Ok(_)) => break,
                Some(Err(error)) => return Err(error).wrap_err("signals cannot be received"),
                None => break,
            }
        }
        self.is_stopping.set(true);
        telemetry::emit(Event::Stopping, &[]);
        let started_at_ms = clock::now_ms();
        loop {
            Timer::after(Duration::from_millis(TICK_INTERVAL_MS)).await;
            let now_ms = clock::now_ms();
            let packet_at_ms = self.shared.packet_at_ms.load(Ordering::Relaxed);
            let is_quiet = now_ms > packet_at_ms + QUIET_PERIOD_MS;
            let lingered_ms = now_ms - started_at_ms;
            if (lingered_ms >= MIN_LINGER_MS && is_quiet) || lingered_ms >= MAX_LINGER_MS {
                break;
            }
        }
        self.send_all(self.with_core(|core| core.leave(clock::now_ms())));
        Ok(())
    }
}
