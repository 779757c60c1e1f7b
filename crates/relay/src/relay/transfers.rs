//! Transfers of rows that are too many for a push.

use std::net::SocketAddr;

use catalog::{Absence, Key, Revision, Row};
use routing::HostId;

use super::Relay;
use crate::{
    Heartbeat, KeyRange, Message, Outgoing, Pull, RowBatch, Scope,
    transfer::{Progress, Transfer},
};

impl Relay {
    pub(super) fn pull_request(&self, scope: Scope) -> Pull {
        let (revision, digest) = (self.catalog.revision(), self.catalog.digest());
        let batches = self.config.batches_per_window.min(usize::from(u8::MAX)) as u8;
        Pull { revision, digest, scope, start: None, batches }
    }

    /// Pulls rows unless some are already in transit: many hosts that pull a large change at once
    /// would saturate the links it crosses. The end of the transfer is announced down the tree of
    /// `root`.
    pub(super) fn pull_rows(
        &mut self,
        to: SocketAddr,
        scope: Scope,
        root: HostId,
        now_ms: u64,
    ) -> Vec<Outgoing> {
        // Changes in force come before rows that only tell which targets are gone.
        self.transfer.take_if(|transfer| transfer.is_history);
        if let Some(transfer) = &mut self.transfer {
            transfer.root = if root == HostId(0) { transfer.root } else { root };
            if transfer.retries > 0 {
                // The peer does not answer, and another one has the rows.
                transfer.peer = to;
            }
            return Vec::new();
        }
        let mut transfer = Transfer::new(to, scope, self.catalog.revision(), now_ms);
        transfer.root = root;
        self.transfer = Some(transfer);
        self.waiting_pulls.clear();
        self.pull_window()
    }

    /// Pulls the missing rows of a transfer again if none have arrived for a while. Gives the transfer
    /// up if several pulls were not answered.
    pub(super) fn repeat_pull(&mut self, now_ms: u64) -> Vec<Outgoing> {
        let Some(transfer) = &mut self.transfer else { return Vec::new() };
        if now_ms < transfer.active_at_ms + self.config.pull_timeout_ms {
            return Vec::new();
        }
        if transfer.retries == self.config.pull_retries_max {
            self.transfer = None;
            return Vec::new();
        }
        transfer.active_at_ms = now_ms;
        transfer.retries += 1;
        transfer.shrink_window();
        self.pull_window()
    }

    /// Pulls the next window of the transfer.
    fn pull_window(&mut self) -> Vec<Outgoing> {
        let Some(transfer) = &mut self.transfer else { return Vec::new() };
        transfer.window_batches = transfer.window_batches.min(self.config.batches_per_window);
        let (to, scope, start) = (transfer.peer, transfer.scope, transfer.position);
        let batches = transfer.window_batches.min(usize::from(u8::MAX)) as u8;
        // All windows are of changes after the same revision, whatever this host hears meanwhile.
        let (is_history, revision) = (transfer.is_history, transfer.after);
        let request = match is_history {
            true => Pull::HISTORY,
            false => Pull { revision, ..self.pull_request(scope) },
        };
        vec![Outgoing { to, message: Message::Pull(Pull { start, batches, ..request }) }]
    }

    pub(super) fn on_pull(&mut self, to: SocketAddr, pull: Pull, now_ms: u64) -> Vec<Outgoing> {
        let Some(heartbeat) = self.heartbeat(HostId(0), now_ms) else { return Vec::new() };
        if let Some(out) = self.pass_on(to, pull, now_ms) {
            return out;
        }
        let is_complete = self.catalog.is_complete();
        let has_changes = match (pull.scope, pull.revision) {
            // The host lacks rows that the store does not list, which no digest shows.
            (Scope::All, Revision::ZERO) => is_complete,
            (Scope::All, _) => self.catalog.digest() != pull.digest,
            (Scope::Changes, revision) => {
                self.catalog.revision() > revision && self.catalog.digest() != pull.digest
            }
        };
        if !has_changes {
            return vec![Outgoing { to, message: Message::Heartbeat(heartbeat) }];
        }
        // A host that has just started does not know which rows were removed before.
        let (scope, after) = match (pull.scope, pull.revision) {
            (Scope::Changes, revision) if self.knows_changes_after(revision) => {
                (Scope::Changes, revision)
            }
            _ if is_complete => (Scope::All, Revision::ZERO),
            _ => (Scope::All, heartbeat.revision),
        };
        self.window(to, heartbeat, scope, after, pull, None)
    }

    /// Answers a pull of changes with those that this host has pulled itself so far, so that a large
    /// change passes a chain of hosts in little more time than a single one. A pull of rows that this
    /// host lacks too waits. Returns `None` if the pull asks for something else.
    fn pass_on(&mut self, to: SocketAddr, pull: Pull, now_ms: u64) -> Option<Vec<Outgoing>> {
        let transfer = self.transfer.as_ref()?;
        let is_same_change = pull.scope == Scope::Changes
            && transfer.scope == Scope::Changes
            && pull.revision >= transfer.after
            && pull.revision >= self.catalog.revision()
            && self.knows_changes_after(pull.revision);
        if !is_same_change || transfer.peer == to {
            return None;
        }
        self.waiting_pulls.retain(|waiting| waiting.0 != to);
        let Some((source, received_at_ms)) =
            transfer.source.filter(|_| transfer.position > pull.start)
        else {
            if self.waiting_pulls.len() < self.config.waiting_pulls_max {
                self.waiting_pulls.push((to, pull));
            }
            return Some(Vec::new());
        };
        let age_ms = source.age_ms + now_ms - received_at_ms + self.config.max_transit_ms;
        let (revision, settings_version) = transfer.known?;
        let root = HostId(0);
        let heartbeat = Heartbeat { root, revision, settings_version, age_ms, ..source };
        let (after, end) = (pull.revision, transfer.position);
        Some(self.window(to, heartbeat, Scope::Changes, after, pull, end))
    }

    /// Answers the pulls that wait for rows of this host's own transfer.
    fn answer_waiting_pulls(&mut self, now_ms: u64) -> Vec<Outgoing> {
        let waiting = std::mem::take(&mut self.waiting_pulls);
        waiting.into_iter().flat_map(|(to, pull)| self.on_pull(to, pull, now_ms)).collect()
    }

    /// The next window of rows that answers `pull`, up to the key `end`.
    fn window(
        &self,
        to: SocketAddr,
        heartbeat: Heartbeat,
        scope: Scope,
        after: Revision,
        pull: Pull,
        end: Option<Key>,
    ) -> Vec<Outgoing> {
        let revision = (scope == Scope::Changes).then_some(after);
        let batches_max = usize::from(pull.batches).clamp(1, self.config.batches_per_window);
        let is_before_end = |row: &&Row| end.is_none_or(|end| row.record.key() <= end);
        let mut rows = self.catalog.rows_after(pull.start, revision).take_while(is_before_end);
        let rows_max = self.config.rows_per_batch * batches_max;
        let window: Vec<Row> = rows.by_ref().take(rows_max).cloned().collect();
        let is_last_window = rows.next().is_none();
        let batches = window.len().div_ceil(self.config.rows_per_batch).max(1);
        let mut chunks = window.chunks(self.config.rows_per_batch);
        let mut start = pull.start;
        let mut out = Vec::new();
        for index in 1..=batches {
            let rows = chunks.next().unwrap_or(&[]).to_vec();
            let ends_window = index == batches;
            let last_key = rows.last().map(|row| row.record.key());
            let range_end = if ends_window && is_last_window { end } else { last_key };
            let range = KeyRange { start, end: range_end };
            start = range_end;
            let batch = RowBatch { heartbeat, scope, after, range, ends_window, rows };
            out.push(Outgoing { to, message: Message::Rows(batch) });
        }
        out
    }

    /// Counts a batch that this host pulled towards its transfer.
    pub(super) fn on_pulled_batch(
        &mut self,
        from: SocketAddr,
        batch: &RowBatch,
        now_ms: u64,
    ) -> Vec<Outgoing> {
        let current = self.transfer.take_if(|transfer| transfer.accepts(batch));
        let mut transfer = match current {
            Some(transfer) => transfer,
            // Batches from the middle of an earlier transfer.
            None if self.transfer.is_some() || batch.range.start.is_some() => return Vec::new(),
            None => {
                let mut transfer = Transfer::new(from, batch.scope, batch.after, now_ms);
                transfer.is_history = batch.scope == Scope::All
                    && batch.after == Revision::ZERO
                    && !self.catalog.is_complete();
                transfer
            }
        };
        let progress = transfer.add(batch, now_ms);
        let mut out = if progress == Progress::Complete {
            self.finish_transfer(from, transfer, batch, now_ms)
        } else {
            transfer.peer = from;
            self.transfer = Some(transfer);
            if progress == Progress::WindowEnded { self.pull_window() } else { Vec::new() }
        };
        out.extend(self.answer_waiting_pulls(now_ms));
        out
    }

    fn finish_transfer(
        &mut self,
        from: SocketAddr,
        transfer: Transfer,
        batch: &RowBatch,
        now_ms: u64,
    ) -> Vec<Outgoing> {
        let Some((revision, settings_version)) = transfer.known else { return Vec::new() };
        if transfer.scope == Scope::All {
            let mut keys = transfer.keys;
            keys.sort_unstable();
            let is_absent = |row: &Row| keys.binary_search(&row.record.key()).is_err();
            // The senders may have started during an outage and never known the lapsed targets.
            let absence = Absence::Provisional;
            let mut changed_rows = self.catalog.mark_absent(revision, absence, is_absent);
            changed_rows.extend(self.catalog.mark_removed(revision, settings_version, is_absent));
            self.on_absence_from_peer(&changed_rows, now_ms);
        }
        if transfer.unlisted_after == Revision::ZERO {
            self.on_complete_history(revision);
        }
        if transfer.scope == Scope::All || transfer.after <= self.catalog.revision() {
            // Others take the rows of a host for those of the version that it claims to know. As long as
            // it does not claim the later one, the heartbeat makes it pull all rows.
            let settings_version = if transfer.may_lack_removals { 0 } else { settings_version };
            self.advance(revision, settings_version, now_ms);
        }
        let heartbeat = Heartbeat { root: transfer.root, ..batch.heartbeat };
        self.on_heartbeat(from, heartbeat, now_ms)
    }
}
