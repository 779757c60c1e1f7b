//! The thread that holds control state.

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
use relay::Role;
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
    control::{Core, Mail},
    decision_log, pages, reader,
    shared::{Command, Notice, Shared},
};

/// How often control state advances, in milliseconds.
const TICK_MS: u64 = 100;

/// The same while the host has no directory and callers wait for it.
const NEWCOMER_TICK_MS: u64 = 10;

/// How soon after another a directory may be published, in milliseconds.
const PUBLISH_MS: u64 = 50;

/// How much longer the pause is for each row, in microseconds: a hundred times what a row costs
/// (`cargo xtask measure directory`), so that directories take one percent of a core at most.
const PUBLISH_ROW_US: u64 = 20;

/// A gap between two ticks after which waiting datagrams say nothing about the present, in
/// milliseconds.
const PAUSE_MS: u64 = 500;

/// How long datagrams are not believed after such a gap, in milliseconds: enough to empty the
/// socket.
const DISTRUST_MS: u64 = 50;

/// How often the settings file is looked at, in milliseconds; it may change without a signal.
const SETTINGS_MS: u64 = 5_000;

/// How long the host forwards after it reports that it is not ready, in milliseconds: routers ask
/// twice a second and leave a host out after two misses.
const LINGER_MS: u64 = 1_700;

/// How long it forwards at most while packets come, in milliseconds; less than the platform grants.
const LINGER_MAX_MS: u64 = 4_000;

/// For how long no packet has come when routers have moved on, in milliseconds.
const QUIET_MS: u64 = 400;

/// The largest datagram between hosts, in bytes.
const DATAGRAM_BYTES: usize = 32_768;

/// How many bits of a datagram's number count within one millisecond of the host's start.
const NUMBER_SHIFT: u32 = 20;

/// The directory that the data thread was given last.
#[derive(Debug, Clone, Copy)]
struct Published {
    /// The changes that it contains.
    changes: u64,
    /// The earliest moment for the next one.
    next_at_ms: u64,
}

/// The control state, shared by the tasks of this thread.
#[derive(Clone)]
pub(crate) struct State {
    pub(crate) shared: Arc<Shared>,
    core: Rc<RefCell<Core>>,
    socket: Rc<UdpSocket>,
    executor: Rc<LocalExecutor<'static>>,
    next_number: Rc<Cell<u64>>,
    published: Rc<Cell<Option<Published>>>,
    is_stopping: Rc<Cell<bool>>,
    /// The flows that this host sees, if others have not heard of them yet.
    loads: Rc<RefCell<Option<Vec<TargetLoad>>>>,
    /// When this thread last ran, by the steady clock.
    seen_at_ms: Rc<Cell<u64>>,
    distrust_until_ms: Rc<Cell<u64>>,
    role_changes: (Sender<()>, Receiver<()>),
}

/// Runs until a planned stop is done.
pub(crate) fn run<P: Platform>(shared: &Arc<Shared>, path: &Path) -> Result<()> {
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
            next_number: Rc::new(Cell::new(shared.incarnation << NUMBER_SHIFT)),
            published: Rc::default(),
            is_stopping: Rc::default(),
            loads: Rc::default(),
            seen_at_ms: Rc::new(Cell::new(clock::now_ms())),
            distrust_until_ms: Rc::default(),
            role_changes: bounded(1),
        };
        let ready = pages::listen("ready_address", shared.settings.ready_address).await?;
        let admin = pages::listen("admin_address", shared.settings.admin_address).await?;
        pages::observe_counters(&state);
        state.spawn(pages::serve::<P>(state.clone(), ready));
        state.spawn(pages::serve::<P>(state.clone(), admin));
        state.spawn(state.clone().receive());
        state.spawn(state.clone().follow_data_thread());
        state.spawn(reader::run::<P>(state.clone()));
        state.spawn(state.clone().follow_settings(path.to_owned()));
        state.send_all(state.with_core(|core| core.ask_seeds(&shared.settings.seeds())));
        state.spawn(state.clone().tick_forever());
        state.wait_for_stop(path).await
    }))
}

impl State {
    /// Works on the control state.
    pub(crate) fn with_core<T>(&self, work: impl FnOnce(&mut Core) -> T) -> T {
        work(&mut self.core.borrow_mut())
    }

    /// Runs `task` on this thread.
    pub(crate) fn spawn(&self, task: impl Future<Output = ()> + 'static) {
        self.executor.spawn(task).detach();
    }

    /// Whether the host takes packets.
    pub(crate) fn is_ready(&self) -> bool {
        !self.is_stopping.get() && self.shared.directory.load().is_some()
    }

    /// Ends when the relay has decided about this host's role anew.
    pub(crate) async fn role_changed(&self) {
        // The sender lives as long as this state.
        let _ = self.role_changes.1.recv().await;
    }

    /// Publishes the catalog if it changed, and sends `mail`.
    pub(crate) fn after_change(&self, mail: Mail) {
        self.send_all(mail);
        let core = self.core.borrow();
        let relay = core.relay();
        let catalog = relay.catalog();
        let Some(confirmed_at_ms) = relay.confirmed_at_ms() else { return };
        let published = self.published.get();
        if published.is_some_and(|published| published.changes == catalog.change_count()) {
            self.shared.confirmed_at_ms.store(confirmed_at_ms, Ordering::Relaxed);
            return;
        }
        let now_ms = clock::now_ms();
        let is_early = published.is_some_and(|published| now_ms < published.next_at_ms);
        // A large change comes in many parts; the next tick publishes what has come by then.
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
            next_at_ms: now_ms + PUBLISH_MS + rows * PUBLISH_ROW_US / 1_000,
        }));
        telemetry::emit(
            Event::CatalogInForce,
            &[
                field("revision", catalog.revision()),
                field("listeners", directory.listeners().len()),
                field("targets", directory.target_count()),
                field("view_age_ms", now_ms.saturating_sub(confirmed_at_ms)),
            ],
        );
        self.shared.directory.store(Some(Arc::new(directory)));
        self.shared.confirmed_at_ms.store(confirmed_at_ms, Ordering::Relaxed);
        if published.is_none() {
            telemetry::emit(Event::Ready, &[]);
            self.shared.wake_data_thread();
        }
    }

    fn send_all(&self, mail: Mail) {
        for (to, message) in mail {
            self.send(to, &message);
        }
    }

    fn send(&self, to: SocketAddr, message: &Message) {
        let body = wire::encode(message);
        let number = self.next_number.get() + 1;
        self.next_number.set(number);
        let frame = Frame {
            kind: FrameKind::Control,
            hops: 0,
            listener_key: 0,
            sender: self.shared.me,
            origin: HostId(0),
            sent_at_ms: number,
            target: std::net::Ipv4Addr::UNSPECIFIED.into(),
            body: &body,
        };
        let mut datagram = Vec::with_capacity(wire::FRAME_HEADER_BYTES + body.len());
        frame.seal(&self.shared.peer_key, &mut datagram);
        let socket = self.socket.clone();
        // A UDP socket takes a datagram at once or, if its buffer is full, loses it like the network.
        let sent =
            smol::future::block_on(futures_lite::future::poll_once(socket.send_to(&datagram, to)));
        if let Some(Err(error)) = sent {
            telemetry::emit(Event::SendFailed, &[field("cause", error), field("to", to)]);
        }
    }

    async fn receive(self) {
        let mut buffer = vec![0; DATAGRAM_BYTES];
        loop {
            let Ok((length, from)) = self.socket.recv_from(&mut buffer).await else { continue };
            let now_ms = clock::now_ms();
            if !self.is_after_pause(now_ms) {
                self.on_datagram(from, &buffer[..length], now_ms);
            }
        }
    }

    /// Whether the process was paused a moment ago, so that what waited in the socket is of unknown
    /// age and says nothing about the present.
    fn is_after_pause(&self, now_ms: u64) -> bool {
        let gap_ms = now_ms.saturating_sub(self.seen_at_ms.replace(now_ms));
        if gap_ms > PAUSE_MS {
            telemetry::emit(Event::Frozen, &[field("gap_ms", gap_ms)]);
            self.distrust_until_ms.set(now_ms + DISTRUST_MS);
        }
        now_ms < self.distrust_until_ms.get()
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
                let mail =
                    self.with_core(|core| core.on_relay(from, frame.sender, message, now_ms));
                self.after_change(mail);
            }
            Message::Loads(mut targets) => {
                // What hosts of other failure domains cannot reach may well be reachable here.
                let is_near = self.with_core(|core| core.is_near(frame.sender));
                if !is_near {
                    targets.iter_mut().for_each(|target| target.is_dead = false);
                }
                let load = HostLoad { host: frame.sender, is_near, targets };
                // A full channel means that the data thread is behind; another report follows.
                let _ = self.shared.commands.0.try_send(Command::Loads(load));
            }
            _ => {}
        }
    }

    async fn tick_forever(self) {
        let mut role = Role::Listener;
        loop {
            let now_ms = clock::now_ms();
            self.is_after_pause(now_ms);
            let mail = self.with_core(|core| core.tick(now_ms));
            self.after_change(mail);
            self.send_loads(now_ms);
            let next = self.with_core(|core| core.relay().role());
            if next != role {
                role = next;
                // A change that is not yet taken up is enough.
                let _ = self.role_changes.0.try_send(());
            }
            let is_new = self.shared.directory.load().is_none();
            let pause_ms = if is_new { NEWCOMER_TICK_MS } else { TICK_MS };
            Timer::after(Duration::from_millis(pause_ms)).await;
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

    async fn follow_data_thread(self) {
        while let Ok(notice) = self.shared.notices.1.recv().await {
            match notice {
                Notice::Loads(news) => {
                    *self.loads.borrow_mut() = Some(news.loads);
                    if news.is_urgent {
                        self.with_core(|core| core.hurry_loads());
                        self.send_loads(clock::now_ms());
                    }
                }
                Notice::Check(due) => self.spawn(checks::check(self.clone(), due)),
                Notice::Events(events, left_out) => decision_log::write(&events, left_out),
            }
        }
    }

    async fn follow_settings(self, path: PathBuf) {
        loop {
            Timer::after(Duration::from_millis(SETTINGS_MS)).await;
            self.reload(&path);
        }
    }

    fn reload(&self, path: &Path) {
        match EdgeSettings::read(path) {
            Ok(settings) => self.with_core(|core| core.set_seeds(&settings.seeds())),
            Err(error) => telemetry::emit(
                Event::SettingsRejected,
                &[field("cause", format_args!("{error:#}"))],
            ),
        }
    }

    async fn wait_for_stop(&self, path: &Path) -> Result<()> {
        let mut signals = Signals::new([Signal::Term, Signal::Int, Signal::Hup])
            .wrap_err("signals cannot be followed")?;
        loop {
            match signals.next().await {
                Some(Ok(Signal::Hup)) => {
                    telemetry::emit(Event::Reloaded, &[]);
                    self.reload(path);
                }
                Some(Ok(_)) => break,
                Some(Err(error)) => return Err(error).wrap_err("signals cannot be followed"),
                None => break,
            }
        }
        self.is_stopping.set(true);
        telemetry::emit(Event::Stopping, &[]);
        let started_at_ms = clock::now_ms();
        loop {
            Timer::after(Duration::from_millis(TICK_MS)).await;
            let now_ms = clock::now_ms();
            let packet_at_ms = self.shared.packet_at_ms.load(Ordering::Relaxed);
            let is_quiet = now_ms > packet_at_ms + QUIET_MS;
            let lingered_ms = now_ms - started_at_ms;
            if (lingered_ms >= LINGER_MS && is_quiet) || lingered_ms >= LINGER_MAX_MS {
                break;
            }
        }
        self.send_all(self.with_core(|core| core.leave(clock::now_ms())));
        Ok(())
    }
}
