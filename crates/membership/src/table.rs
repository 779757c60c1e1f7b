//! The table of known hosts, sorted by id.

use routing::{HostEntry, HostId};

use crate::{Member, MemberState};

/// One row of the table.
#[derive(Debug, Clone)]
pub(crate) struct Row {
    pub(crate) member: Member,
    /// When the report last changed, in milliseconds.
    pub(crate) changed_at_ms: u64,
    /// How many more times the report is gossiped.
    pub(crate) gossip_left: u32,
}

/// The table of known hosts.
#[derive(Debug, Default, Clone)]
pub struct Table {
    pub(crate) rows: Vec<Row>,
}

impl Table {
    /// The latest report about `id`.
    pub fn get(&self, id: HostId) -> Option<&Member> {
        self.position(id).ok().map(|position| &self.rows[position].member)
    }

    /// The latest report about every known host, sorted by id.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.rows.iter().map(|row| &row.member)
    }

    /// The hosts in a state for which `is_wanted` returns true, sorted by id.
    pub fn entries(&self, is_wanted: fn(MemberState) -> bool) -> Vec<HostEntry> {
        self.members().filter(|member| is_wanted(member.state)).map(Member::entry).collect()
    }

    pub(crate) fn position(&self, id: HostId) -> Result<usize, usize> {
        self.rows.binary_search_by_key(&id, |row| row.member.id)
    }

    /// Stores `member` if it supersedes the known report. Returns whether it did.
    pub(crate) fn merge(&mut self, member: Member, now_ms: u64, gossip_left: u32) -> bool {
        let row = Row { member, changed_at_ms: now_ms, gossip_left };
        match self.position(member.id) {
            Ok(position) if member.supersedes(&self.rows[position].member) => {
                self.rows[position] = row;
                true
            }
            Ok(_) => false,
            Err(position) => {
                self.rows.insert(position, row);
                true
            }
        }
    }

    /// Takes up to `limit` reports that still have to be gossiped, the least often sent first.
    pub(crate) fn take_gossip(&mut self, limit: usize) -> Vec<Member> {
        let mut fresh: Vec<usize> =
            (0..self.rows.len()).filter(|index| self.rows[*index].gossip_left > 0).collect();
        fresh.sort_by_key(|index| std::cmp::Reverse(self.rows[*index].gossip_left));
        fresh.truncate(limit);
        for index in &fresh {
            self.rows[*index].gossip_left -= 1;
        }
        fresh.into_iter().map(|index| self.rows[index].member).collect()
    }
}
