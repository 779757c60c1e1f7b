//! The thread that owns the control state.

use std::{cell::RefCell, net::SocketAddr, rc::Rc, sync::Arc, time::Duration};

use async_signal::{Signal, Signals};
use eyre::{Result, WrapErr};
use futures_lite::{FutureExt, StreamExt};
use host::{Control, ControlOutput, Stage, TrafficEvent};
use routing::HostId;
use settings::{Blobs, Digest, Root, Snapshot, Tree};
use smol::{LocalExecutor, Timer};
use telemetry::{Event, field};
use wire::Frame;

use crate::{admin, announce, clock, peer_rpc, shared::Shared, store_task};

/// The tick interval of the control state, in milliseconds.
const TICK_INTERVAL_MS: u64 = 20;

/// The settings in force with all their blobs, kept for peers that fetch them.
#[derive(Debug, Default)]
pub(crate) struct CurrentSettings {
    pub(crate) root: Option<Root>,
    pub(crate) blobs: Blobs,
}

/// The control state, shared by the tasks of this thread.
#[derive(Clone)]
pub(crate) struct State {
    pub(crate) shared: Arc<Shared>,
    control: Rc<RefCell<Control>>,
    current_settings: Rc<RefCell<CurrentSettings>>,
    is_fetching: Rc<RefCell<bool>>,
    executor: Rc<LocalExecutor<'static>>,
}

/// Runs until a planned stop has ended.
pub(crate) fn run(shared: &Arc<Shared>) -> Result<()> {
    let executor = Rc::new(LocalExecutor::new());
    let membership = membership::Config::default();
    let control = Control::new(shared.config.clone(), membership, clock::now_ms());
    let state = State {
        shared: shared.clone(),
        control: Rc::new(RefCell::new(control)),
        current_settings: Rc::default(),
        is_fetching: Rc::default(),
        executor: executor.clone(),
    };
    state.control.borrow_mut().set_seeds(&shared.settings.seed_addresses);
    telemetry::emit(Event::Started, &[field("peer_address", shared.settings.peer_address)]);
    smol::block_on(executor.run(async {
        let admin = admin::listen(&state).await?;
        let peer_server = peer_rpc::listen(&state).await?;
        executor.spawn(admin).detach();
        executor.spawn(peer_server).detach();
        executor.spawn(store_task::follow_settings(state.clone())).detach();
        executor.spawn(store_task::list_hosts(state.clone())).detach();
        let announcer_state = state.clone();
        executor
            .spawn(async move { announce::run(&announcer_state.shared, &announcer_state).await })
            .detach();
        executor.spawn(handle_signals(state.clone())).detach();
        state.run_until_stopped().await
    }))
}

impl State {
    /// The lifecycle stage of this host.
    pub(crate) fn stage(&self) -> Stage {
        self.control.borrow().stage()
    }

    /// The settings revision in force, or 0.
    pub(crate) fn revision(&self) -> u64 {
        self.control.borrow().revision()
    }

    /// The settings that other hosts may fetch.
    pub(crate) fn current_settings(&self) -> std::cell::Ref<'_, CurrentSettings> {
        self.current_settings.borrow()
    }

    /// Calls `read` with the control state.
    pub(crate) fn read_control<T>(&self, read: impl FnOnce(&Control) -> T) -> T {
        read(&self.control.borrow())
    }

    /// Sets the membership seeds: `seeds` and those of the settings file.
    pub(crate) fn set_seeds(&self, seeds: &[SocketAddr]) {
        let mut all = self.shared.settings.seed_addresses.clone();
        all.extend_from_slice(seeds);
        self.control.borrow_mut().set_seeds(&all);
    }

    /// Applies the settings of `root` if they are newer than the current ones.
    pub(crate) fn apply_settings(&self, root: Root, tree: &Tree, mut blobs: Blobs) {
        let snapshot = Arc::new(Snapshot::compile(tree, root.revision));
        let mut out = ControlOutput::default();
        let is_applied = self.control.borrow_mut().on_settings(snapshot, &mut out);
        if is_applied {
            retain_used_blobs(&root, tree, &mut blobs);
            telemetry::emit(Event::SettingsInForce, &[field("revision", root.revision)]);
            *self.current_settings.borrow_mut() = CurrentSettings { root: Some(root), blobs };
        }
        self.apply_output(out);
    }

    /// Starts a planned stop.
    pub(crate) fn begin_stop(&self) {
        let mut out = ControlOutput::default();
        self.control.borrow_mut().begin_stop(clock::now_ms(), &mut out);
        self.apply_output(out);
    }

    async fn run_until_stopped(&self) -> Result<()> {
        let events = self.shared.events.1.clone();
        let mut last_stage = self.stage();
        let mut last_members = 0;
        loop {
            let tick = async {
                Timer::after(Duration::from_millis(TICK_INTERVAL_MS)).await;
                None
            };
            let event = async { events.recv().await.ok() }.or(tick).await;
            let mut out = ControlOutput::default();
            if let Some(event) = event {
                self.handle(event, &mut out);
            }
            while let Ok(event) = events.try_recv() {
                self.handle(event, &mut out);
            }
            self.control.borrow_mut().tick(clock::now_ms(), &mut out);
            self.apply_output(out);
            self.log_state_changes(&mut last_stage, &mut last_members);
            if self.stage() == Stage::Done {
                telemetry::emit(Event::Stopped, &[]);
                return Ok(());
            }
        }
    }

    fn handle(&self, event: TrafficEvent, out: &mut ControlOutput) {
        let now_ms = clock::now_ms();
        let mut control = self.control.borrow_mut();
        match event {
            TrafficEvent::Control { from, sender, message } => {
                control.on_message(from, sender, &message, now_ms, out);
            }
            TrafficEvent::Frozen { gap_ms } => {
                telemetry::emit(Event::Frozen, &[field("gap_ms", gap_ms)]);
                control.on_frozen(now_ms, out);
            }
            TrafficEvent::HandedOver => control.on_handed_over(),
            _ => {}
        }
    }

    fn apply_output(&self, out: ControlOutput) {
        if let Some(view) = out.view {
            self.shared.view.store(Some(view));
        }
        for (to, message) in out.messages {
            self.send(to, &message);
        }
        if let Some((from, revision)) = out.newer_settings {
            self.fetch_from_peer(from, revision);
        }
    }

    fn send(&self, to: SocketAddr, message: &wire::Control) {
        let body = wire::encode(message);
        let me = self.shared.config.id();
        let frame = Frame {
            kind: wire::FrameKind::Control,
            hops: 0,
            listener_key: 0,
            sender: me,
            origin: HostId(0),
            sent_at_ms: clock::now_ms(),
            target: std::net::IpAddr::V6(std::net::Ipv6Addr::UNSPECIFIED),
            body: &body,
        };
        let mut datagram = Vec::new();
        frame.seal(&self.shared.config.peer_key, &mut datagram);
        // A failed send is ignored: the membership protocol tolerates lost probes and repeats them.
        let _ = self.shared.peer.send_to(&datagram, to);
    }

    /// Fetches the newer settings that the host at `from` has announced, one fetch at a time. If it
    /// fails, the next probe from any host with newer settings starts another.
    fn fetch_from_peer(&self, from: SocketAddr, revision: u64) {
        if revision <= self.revision() || self.is_fetching.replace(true) {
            return;
        }
        let state = self.clone();
        self.executor
            .spawn(async move {
                if let Err(error) = peer_rpc::fetch(&state, from).await {
                    telemetry::emit(
                        Event::SettingsRejected,
                        &[field("from", from), field("cause", format!("{error:#}"))],
                    );
                }
                state.is_fetching.replace(false);
            })
            .detach();
    }

    fn log_state_changes(&self, last_stage: &mut Stage, last_members: &mut usize) {
        let stage = self.stage();
        if stage != *last_stage {
            *last_stage = stage;
            match stage {
                Stage::Ready => telemetry::emit(Event::Ready, &[]),
                Stage::Leaving => telemetry::emit(Event::Stopping, &[]),
                Stage::Left => telemetry::emit(Event::HandedOver, &[]),
                Stage::Joining | Stage::Done => {}
            }
        }
        let members = self.read_control(|control| {
            control.members().members().filter(|member| member.state.is_alive()).count()
        });
        if members != *last_members {
            *last_members = members;
            telemetry::emit(Event::MembersChanged, &[field("alive", members)]);
        }
    }
}

async fn handle_signals(state: State) {
    let signals = Signals::new([Signal::Term, Signal::Int, Signal::Hup])
        .wrap_err("signals cannot be handled");
    let Ok(mut signals) = signals else { return };
    while let Some(Ok(signal)) = signals.next().await {
        if matches!(signal, Signal::Hup) {
            continue;
        }
        state.begin_stop();
    }
}

/// Drops the blobs that the current settings do not use, so that memory does not grow with edits.
fn retain_used_blobs(root: &Root, tree: &Tree, blobs: &mut Blobs) {
    let used: Vec<Digest> = settings::pack(tree).blobs.into_keys().collect();
    blobs.retain(|digest, _| {
        used.binary_search(digest).is_ok() || root.groups.values().any(|group| group == digest)
    });
}
