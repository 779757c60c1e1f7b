//! The control state of one host, without I/O.

use std::net::SocketAddr;

use catalog::{Key, Revision, Row, TargetKeys};
use membership::{Member, MemberState, Membership};
use relay::{Peer, Relay, Settings, StoreUpdate};
use routing::HostId;
use store::{Change, ChangeList, Item, Listing, StoreError};
use telemetry::{Event, field};
use wire::Control as Message;

use crate::{
    Decoded, KeyKind, Platform, rejections::Rejections, replay::ReplayGuard, shared::Shared,
};

/// The interval between load reports to the own failure domain, in milliseconds for each other host
/// of the domain. All of them together send a host fewer than 20 reports a second.
const LOADS_INTERVAL_PER_HOST_MS: u64 = 50;

/// The shortest interval between load reports, in milliseconds.
const MIN_LOADS_INTERVAL_MS: u64 = 200;

/// One in this many load reports also goes to the hosts of other failure domains.
const REMOTE_LOADS_EVERY: u32 = 5;

/// The settings revision in probes: with tagged affinity heartbeats tell it instead.
const NO_SETTINGS: u64 = 0;

/// Messages to send, each with its destination.
pub(crate) type OutgoingMessages = Vec<(SocketAddr, Message)>;

/// The state of membership, the relay and the replay protection. Does no I/O: messages, store
/// answers and times go in, messages to send come out.
pub(crate) struct Core {
    membership: Membership,
    relay: Relay,
    replay_guard: ReplayGuard,
    target_keys: TargetKeys,
    rejections: Rejections,
    members_version: u64,
    /// The version of the members that were last taken.
    taken_members_version: Option<u64>,
    /// Whether the last call to the store succeeded; a change is logged.
    is_store_available: bool,
    loads_sent_at_ms: u64,
    load_reports_sent: u32,
}

impl Core {
    pub(crate) fn new(shared: &Shared, now_ms: u64) -> Core {
        let me = Member {
            id: shared.me,
            address: shared.settings.peer_address,
            domain_seed: shared.domain_seed,
            rack_seed: shared.domain_seed,
            incarnation: shared.incarnation,
            state: MemberState::Joining,
        };
        let seed = shared.me.0 ^ shared.incarnation;
        // Probes may be slow: only the choice of readers depends on which hosts are alive, and a
        // silent reader is replaced anyway once the catalog grows too old.
        let membership_config = membership::Config {
            probe_interval_ms: 1_000,
            ack_timeout_ms: 300,
            suspicion_ms: 2_000,
            ..membership::Config::default()
        };
        let mut membership = Membership::new(membership_config, me, seed);
        membership.set_seeds(&shared.settings.seeds());
        // After a change of state the host requests full member lists for a while.
        membership.set_state(MemberState::Ready, now_ms);
        let config = relay::Config::default();
        Core {
            membership,
            relay: Relay::new(config, shared.me, shared.domain_seed, now_ms, seed),
            replay_guard: ReplayGuard::default(),
            target_keys: TargetKeys::default(),
            rejections: Rejections::new(shared.entries_rejected.clone()),
            members_version: 0,
            taken_members_version: None,
            is_store_available: true,
            loads_sent_at_ms: 0,
            load_reports_sent: 0,
        }
    }

    pub(crate) fn relay(&self) -> &Relay {
        &self.relay
    }

    /// Whether the next read of the store has to list everything. Each request is returned once.
    pub(crate) fn take_relist_request(&mut self) -> bool {
        self.relay.take_relist_request()
    }

    pub(crate) fn members(&self) -> &membership::Table {
        self.membership.table()
    }

    /// Records a datagram of `sender`. Returns whether it is new, not a replay.
    pub(crate) fn admit(&mut self, sender: HostId, sequence_number: u64) -> bool {
        self.replay_guard.admit(sender, sequence_number)
    }

    /// Asks the seed hosts for their catalog, since no members are known at the start.
    pub(crate) fn ask_seeds(&self, seeds: &[SocketAddr]) -> OutgoingMessages {
        seeds.iter().map(|seed| relay_message(self.relay.pull_from(*seed))).collect()
    }

    pub(crate) fn set_seeds(&mut self, seeds: &[SocketAddr]) {
        self.membership.set_seeds(seeds);
    }

    pub(crate) fn on_probe(
        &mut self,
        from: SocketAddr,
        probe: &membership::Probe,
        now_ms: u64,
    ) -> OutgoingMessages {
        let out = self.membership.on_probe(from, probe, now_ms, NO_SETTINGS);
        self.update_relay_peers();
        out.into_iter().map(probe_message).collect()
    }

    pub(crate) fn on_relay(
        &mut self,
        from: SocketAddr,
        message: relay::Message,
        now_ms: u64,
    ) -> OutgoingMessages {
        let out = self.relay.on_message(from, message, now_ms);
        out.into_iter().map(relay_message).collect()
    }

    pub(crate) fn tick(&mut self, now_ms: u64) -> OutgoingMessages {
        let mut messages: OutgoingMessages =
            self.membership.tick(now_ms, NO_SETTINGS).into_iter().map(probe_message).collect();
        self.update_relay_peers();
        messages.extend(self.relay.tick(now_ms).into_iter().map(relay_message));
        messages
    }

    /// Marks this host as having left and announces it to 4 random hosts, which gossip it further.
    pub(crate) fn leave(&mut self, now_ms: u64) -> OutgoingMessages {
        self.membership.set_state(MemberState::Left, now_ms);
        self.membership.broadcast(4, NO_SETTINGS).into_iter().map(probe_message).collect()
    }

    /// The hosts to send a load report to now; empty if none is due. Counts the report as sent.
    pub(crate) fn take_load_receivers(&mut self, shared: &Shared, now_ms: u64) -> Vec<SocketAddr> {
        let domain_peers =
            self.peers().filter(|peer| peer.domain_seed == shared.domain_seed).count();
        let interval_ms =
            (domain_peers as u64 * LOADS_INTERVAL_PER_HOST_MS).max(MIN_LOADS_INTERVAL_MS);
        if now_ms < self.loads_sent_at_ms + interval_ms {
            return Vec::new();
        }
        self.loads_sent_at_ms = now_ms;
        self.load_reports_sent += 1;
        let includes_other_domains = self.load_reports_sent.is_multiple_of(REMOTE_LOADS_EVERY);
        self.peers()
            .filter(|peer| includes_other_domains || peer.domain_seed == shared.domain_seed)
            .map(|peer| peer.address)
            .collect()
    }

    /// Makes the next load report due immediately.
    pub(crate) fn make_loads_due(&mut self) {
        self.loads_sent_at_ms = 0;
    }

    /// Whether `host` is in this host's failure domain.
    pub(crate) fn is_near(&self, host: HostId) -> bool {
        let table = self.membership.table();
        table.get(host).is_some_and(|member| member.domain_seed == self.membership.me().domain_seed)
    }

    /// Applies a listing of all items of the store.
    pub(crate) fn on_listing<P: Platform>(
        &mut self,
        listing: Listing,
        sent_at_ms: u64,
        now_ms: u64,
    ) -> OutgoingMessages {
        self.on_store_answer();
        let mut items: Vec<&Item> = listing.items.iter().collect();
        // Of several keys with the id of a target, its own was created first.
        items.sort_by_key(|item| item.created);
        let (settings, rows) = self.decode_all::<P>(items.into_iter());
        let removed = self.unlisted_rows::<P>(&listing);
        let (revision, valid_at_ms) = (listing.revision, sent_at_ms);
        self.apply_update(StoreUpdate { revision, settings, rows, removed, valid_at_ms }, now_ms)
    }

    /// The targets and evacuations of the catalog that the listing lacks. An entry that cannot be
    /// decoded still counts as listed.
    fn unlisted_rows<P: Platform>(&self, listing: &Listing) -> Vec<(Revision, Key)> {
        let mut listed: Vec<Key> =
            listing.items.iter().filter_map(|item| self.row_key::<P>(&item.key)).collect();
        listed.sort_unstable();
        let rows = self.relay.catalog().rows().iter();
        rows.map(|row| row.record.key())
            .filter(|key| {
                matches!(key, Key::Target(_) | Key::Evacuation(_))
                    && listed.binary_search(key).is_err()
            })
            .map(|key| (listing.revision, key))
            .collect()
    }

    /// The row that the item under `key` holds, unless it is part of the settings.
    fn row_key<P: Platform>(&self, key: &str) -> Option<Key> {
        match P::key_kind(key) {
            KeyKind::Target(id) => {
                self.target_keys.may_announce(id, key).then_some(Key::Target(id))
            }
            KeyKind::Evacuation(domain_seed) => Some(Key::Evacuation(domain_seed)),
            KeyKind::Settings | KeyKind::Other => None,
        }
    }

    /// Applies the changes that a watch call returned.
    pub(crate) fn on_change_list<P: Platform>(
        &mut self,
        list: ChangeList,
        valid_at_ms: u64,
        now_ms: u64,
    ) -> OutgoingMessages {
        self.on_store_answer();
        let written = list.changes.iter().filter_map(|change| match change {
            Change::Written(item) => Some(item),
            Change::Removed { .. } => None,
        });
        let (settings, rows) = self.decode_all::<P>(written);
        let removed = list.changes.iter().filter_map(|change| match change {
            Change::Removed { key, revision } => self.row_key::<P>(key).map(|key| (*revision, key)),
            Change::Written(_) => None,
        });
        let (revision, removed) = (list.revision, removed.collect());
        self.apply_update(StoreUpdate { revision, settings, rows, removed, valid_at_ms }, now_ms)
    }

    /// The settings and the rows of targets and evacuations in `items`. Items that cannot be decoded
    /// change nothing.
    fn decode_all<'a, P: Platform>(
        &mut self,
        items: impl Iterator<Item = &'a Item>,
    ) -> (Vec<Settings>, Vec<Row>) {
        let catalog = self.relay.catalog();
        if self.target_keys.len() > 2 * catalog.rows().len() {
            self.target_keys.retain(|id| catalog.get(Key::Target(id)).is_some());
        }
        let (mut settings, mut rows) = (Vec::new(), Vec::new());
        for item in items {
            let Decoded { edition, records, warnings } = match P::decode(item) {
                Ok(decoded) => decoded,
                Err(error) => {
                    self.rejections.record(item, error);
                    continue;
                }
            };
            if let KeyKind::Target(id) = P::key_kind(&item.key)
                && !self.target_keys.admit(id, &item.key)
            {
                self.rejections
                    .record(item, format_args!("another key announces target {:x}", id.0));
                continue;
            }
            if !warnings.is_empty() {
                self.rejections.record(item, warnings.join("; "));
            }
            let revision = item.revision;
            if P::key_kind(&item.key) == KeyKind::Settings {
                let in_force = catalog.settings_version();
                if edition < in_force {
                    self.rejections
                        .record(item, format_args!("version {edition} is before {in_force}"));
                }
                settings.push(Settings { version: edition, revision, records });
                continue;
            }
            let created = item.created;
            let written = records.into_iter().map(|record| Row::written(revision, edition, record));
            rows.extend(written.map(|row| Row { created, ..row }));
        }
        (settings, rows)
    }

    /// Notes that a call to the store failed.
    pub(crate) fn on_store_error(&mut self, error: &StoreError, now_ms: u64) {
        match error {
            StoreError::HistoryLost => self.relay.on_history_lost(),
            _ => self.relay.on_store_failure(now_ms),
        }
        if std::mem::replace(&mut self.is_store_available, false) {
            telemetry::emit(Event::StoreUnavailable, &[field("cause", error)]);
        }
    }

    fn on_store_answer(&mut self) {
        if !std::mem::replace(&mut self.is_store_available, true) {
            telemetry::emit(Event::StoreAvailable, &[]);
        }
    }

    fn apply_update(&mut self, update: StoreUpdate, now_ms: u64) -> OutgoingMessages {
        self.relay.on_store_update(update, now_ms).into_iter().map(relay_message).collect()
    }

    fn peers(&self) -> impl Iterator<Item = &Member> {
        let me = self.membership.me().id;
        let members = self.membership.table().members();
        members.filter(move |member| member.state.is_alive() && member.id != me)
    }

    /// The number of hosts alive, with this one.
    pub(crate) fn host_count(&self) -> usize {
        self.peers().count() + 1
    }

    /// The hosts that are alive, sorted by id, and this host, if they have changed since the last
    /// call.
    pub(crate) fn take_changed_hosts(&mut self) -> Option<Vec<(HostId, u64)>> {
        let version = self.membership.version();
        if self.taken_members_version == Some(version) {
            return None;
        }
        self.taken_members_version = Some(version);
        let me = self.membership.me();
        let mut hosts: Vec<(HostId, u64)> =
            self.peers().chain([me]).map(|member| (member.id, member.domain_seed)).collect();
        hosts.sort_unstable();
        Some(hosts)
    }

    /// Makes the next call of [`Core::take_changed_hosts`] return the hosts again.
    pub(crate) fn retake_hosts(&mut self) {
        self.taken_members_version = None;
    }

    fn update_relay_peers(&mut self) {
        if self.members_version == self.membership.version() {
            return;
        }
        self.members_version = self.membership.version();
        let peers: Vec<Peer> = self
            .peers()
            .map(|member| Peer {
                id: member.id,
                address: member.address,
                domain_seed: member.domain_seed,
            })
            .collect();
        self.relay.set_peers(peers);
    }
}

fn relay_message(outgoing: relay::Outgoing) -> (SocketAddr, Message) {
    (outgoing.to, Message::Relay(outgoing.message))
}

fn probe_message(outgoing: membership::Outgoing) -> (SocketAddr, Message) {
    (outgoing.to, Message::Probe(outgoing.probe))
}
