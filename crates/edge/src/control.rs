//! The control state of one host, without its sockets.

use std::net::SocketAddr;

use catalog::{Key, Record, Row};
use membership::{Member, MemberState, Membership};
use relay::{Peer, Relay, StoreUpdate};
use routing::HostId;
use store::{Change, ChangeList, Item, Listing, StoreError};
use telemetry::{Event, field};
use wire::Control as Message;

use crate::{Platform, Source, replay::ReplayGuard, shared::Shared};

/// How long a host waits between two reports of its loads to its failure domain, for each host of
/// the domain, in milliseconds: the messages that a host receives from it stay below 20 a second.
const LOADS_STEP_MS: u64 = 50;

/// How long it waits at least, in milliseconds.
const LOADS_MIN_MS: u64 = 200;

/// Every how many reports go to the hosts of other failure domains as well.
const LOADS_ABROAD_EVERY: u32 = 5;

/// Messages to other hosts.
pub(crate) type Mail = Vec<(SocketAddr, Message)>;

/// Membership and the relay.
pub(crate) struct Core {
    membership: Membership,
    relay: Relay,
    guard: ReplayGuard,
    members_version: u64,
    /// Whether the last call to the store was answered, for the log.
    is_store_well: bool,
    loads_sent_at_ms: u64,
    load_reports: u32,
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
        // Only the choice of readers depends on who is alive, and a silent reader is replaced by
        // the age of the catalog, so probes may be slow.
        let pace = membership::Config {
            probe_interval_ms: 1_000,
            ack_timeout_ms: 300,
            suspicion_ms: 2_000,
            ..membership::Config::default()
        };
        let mut membership = Membership::new(pace, me, seed);
        membership.set_seeds(&shared.settings.seeds());
        // The change of state makes the host ask others for all members for a while.
        membership.set_state(MemberState::Ready, now_ms);
        let config = relay::Config::default();
        Core {
            membership,
            relay: Relay::new(config, shared.me, shared.domain_seed, now_ms, seed),
            guard: ReplayGuard::default(),
            members_version: 0,
            is_store_well: true,
            loads_sent_at_ms: 0,
            load_reports: 0,
        }
    }

    pub(crate) fn relay(&self) -> &Relay {
        &self.relay
    }

    /// Whether the store has to be listed anew.
    pub(crate) fn take_contradiction(&mut self) -> bool {
        self.relay.take_relist_request()
    }

    pub(crate) fn members(&self) -> &membership::Table {
        self.membership.table()
    }

    /// Whether a datagram of `sender` is new.
    pub(crate) fn admit(&mut self, sender: HostId, number: u64) -> bool {
        self.guard.admit(sender, number)
    }

    /// Asks the hosts that the settings name.
    pub(crate) fn ask_seeds(&self, seeds: &[SocketAddr]) -> Mail {
        seeds.iter().map(|seed| relay_mail(self.relay.pull_from(*seed))).collect()
    }

    pub(crate) fn set_seeds(&mut self, seeds: &[SocketAddr]) {
        self.membership.set_seeds(seeds);
    }

    pub(crate) fn on_probe(
        &mut self,
        from: SocketAddr,
        probe: &membership::Probe,
        now_ms: u64,
    ) -> Mail {
        let revision = self.relay.catalog().revision();
        let out = self.membership.on_probe(from, probe, now_ms, revision);
        self.follow_members();
        out.into_iter().map(probe_mail).collect()
    }

    pub(crate) fn on_relay(
        &mut self,
        from: SocketAddr,
        sender: HostId,
        message: relay::Message,
        now_ms: u64,
    ) -> Mail {
        let out = self.relay.on_message(from, sender, message, now_ms);
        out.into_iter().map(relay_mail).collect()
    }

    pub(crate) fn tick(&mut self, now_ms: u64) -> Mail {
        let revision = self.relay.catalog().revision();
        let mut mail: Mail =
            self.membership.tick(now_ms, revision).into_iter().map(probe_mail).collect();
        self.follow_members();
        mail.extend(self.relay.tick(now_ms).into_iter().map(relay_mail));
        mail
    }

    /// Tells others that this host leaves.
    pub(crate) fn leave(&mut self, now_ms: u64) -> Mail {
        self.membership.set_state(MemberState::Left, now_ms);
        let revision = self.relay.catalog().revision();
        self.membership.broadcast(4, revision).into_iter().map(probe_mail).collect()
    }

    /// Who hears of this host's loads now; nobody if the last report was a moment ago.
    pub(crate) fn take_load_receivers(&mut self, shared: &Shared, now_ms: u64) -> Vec<SocketAddr> {
        let near = self.peers().filter(|peer| peer.domain_seed == shared.domain_seed).count();
        let step_ms = (near as u64 * LOADS_STEP_MS).max(LOADS_MIN_MS);
        if now_ms < self.loads_sent_at_ms + step_ms {
            return Vec::new();
        }
        self.loads_sent_at_ms = now_ms;
        self.load_reports += 1;
        let is_abroad = self.load_reports.is_multiple_of(LOADS_ABROAD_EVERY);
        self.peers()
            .filter(|peer| is_abroad || peer.domain_seed == shared.domain_seed)
            .map(|peer| peer.address)
            .collect()
    }

    /// Makes the next report due now.
    pub(crate) fn hurry_loads(&mut self) {
        self.loads_sent_at_ms = 0;
    }

    /// Whether `host` is in this host's failure domain.
    pub(crate) fn is_near(&self, host: HostId) -> bool {
        let table = self.membership.table();
        table.get(host).is_some_and(|member| member.domain_seed == self.membership.me().domain_seed)
    }

    /// Every item of the store was listed.
    pub(crate) fn on_listing<P: Platform>(
        &mut self,
        listing: Listing,
        sent_at_ms: u64,
        now_ms: u64,
    ) -> Mail {
        self.on_answer();
        let listed = decode_all::<P>(listing.items.iter());
        let mut removed = self.unlisted_targets::<P>(&listing);
        for item in &listing.items {
            if P::source(&item.key) == Source::Settings {
                removed.extend(self.replaced_settings(item, &listed));
            }
        }
        let changes =
            StoreUpdate { revision: listing.revision, listed, removed, valid_at_ms: sent_at_ms };
        self.take_over(changes, now_ms)
    }

    /// The known targets that the store does not list. An entry that cannot be decoded still stands
    /// for its target.
    fn unlisted_targets<P: Platform>(&self, listing: &Listing) -> Vec<(u64, Key)> {
        let mut listed: Vec<Key> = listing
            .items
            .iter()
            .filter_map(|item| match P::source(&item.key) {
                Source::Target(id) => Some(Key::Target(id)),
                _ => None,
            })
            .collect();
        listed.sort_unstable();
        let rows = self.relay.catalog().rows().iter();
        rows.map(|row| row.record.key())
            .filter(|key| matches!(key, Key::Target(_)) && listed.binary_search(key).is_err())
            .map(|key| (listing.revision, key))
            .collect()
    }

    /// The store told what has changed.
    pub(crate) fn on_change_list<P: Platform>(
        &mut self,
        list: ChangeList,
        valid_at_ms: u64,
        now_ms: u64,
    ) -> Mail {
        self.on_answer();
        let written = list.changes.iter().filter_map(|change| match change {
            Change::Written(item) => Some(item),
            Change::Removed { .. } => None,
        });
        let listed = decode_all::<P>(written);
        let mut removed: Vec<(u64, Key)> = Vec::new();
        for change in &list.changes {
            match change {
                Change::Removed { key, revision } => {
                    if let Source::Target(id) = P::source(key) {
                        removed.push((*revision, Key::Target(id)));
                    }
                }
                Change::Written(item) if P::source(&item.key) == Source::Settings => {
                    removed.extend(self.replaced_settings(item, &listed));
                }
                Change::Written(_) => {}
            }
        }
        let changes = StoreUpdate { revision: list.revision, listed, removed, valid_at_ms };
        self.take_over(changes, now_ms)
    }

    /// A call to the store failed.
    pub(crate) fn on_failure(&mut self, error: &StoreError) {
        self.relay.on_store_failure();
        if std::mem::replace(&mut self.is_store_well, false) {
            telemetry::emit(Event::StoreUnavailable, &[field("cause", error)]);
        }
    }

    fn on_answer(&mut self) {
        if !std::mem::replace(&mut self.is_store_well, true) {
            telemetry::emit(Event::StoreAvailable, &[]);
        }
    }

    fn take_over(&mut self, changes: StoreUpdate, now_ms: u64) -> Mail {
        self.relay.on_store_update(changes, now_ms).into_iter().map(relay_mail).collect()
    }

    /// What the settings in `item` no longer hold.
    fn replaced_settings(&self, item: &Item, listed: &[(u64, Record)]) -> Vec<(u64, Key)> {
        // Settings that cannot be decoded replace nothing.
        let kept: Vec<Key> = listed
            .iter()
            .filter(|(revision, _)| *revision == item.revision)
            .map(|(_, record)| record.key())
            .collect();
        if kept.is_empty() {
            return Vec::new();
        }
        let is_replaced = |row: &&Row| {
            let key = row.record.key();
            !matches!(key, Key::Target(_)) && !kept.contains(&key)
        };
        let rows = self.relay.catalog().rows().iter().filter(is_replaced);
        rows.map(|row| (item.revision, row.record.key())).collect()
    }

    fn peers(&self) -> impl Iterator<Item = &Member> {
        let me = self.membership.me().id;
        let members = self.membership.table().members();
        members.filter(move |member| member.state.is_alive() && member.id != me)
    }

    fn follow_members(&mut self) {
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

fn decode_all<'a, P: Platform>(items: impl Iterator<Item = &'a Item>) -> Vec<(u64, Record)> {
    let mut records = Vec::new();
    for item in items {
        match P::decode(item) {
            Ok(decoded) => {
                records.extend(decoded.into_iter().map(|record| (item.revision, record)));
            }
            Err(fault) => {
                telemetry::emit(
                    Event::EntryRejected,
                    &[
                        field("key", &item.key),
                        field("revision", item.revision),
                        field("cause", fault),
                    ],
                );
            }
        }
    }
    records
}

fn relay_mail(outgoing: relay::Outgoing) -> (SocketAddr, Message) {
    (outgoing.to, Message::Relay(outgoing.message))
}

fn probe_mail(outgoing: membership::Outgoing) -> (SocketAddr, Message) {
    (outgoing.to, Message::Probe(outgoing.probe))
}
