//! The members of a cell as one node believes.

use std::collections::BTreeMap;

use elderworks_protocol::gossip::{MemberState, MemberUpdate};
use elderworks_types::{Incarnation, NodeId, Timestamp};

use crate::event::Member;
use crate::settings::MAX_MEMBERS;

/// What became of an update.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Merged {
    /// It was old news.
    Stale,
    /// It was news that leaves the member's state as it was.
    Refreshed,
    /// The member is new or its state changed.
    Changed,
}

/// Members by name, this node included.
#[derive(Debug, Default)]
pub struct MemberTable {
    members: BTreeMap<NodeId, Member>,
    refused: u64,
}

impl MemberTable {
    /// Takes an update if it is later than what is known.
    pub fn merge(&mut self, now: Timestamp, update: MemberUpdate) -> Merged {
        let Some(member) = self.members.get_mut(&update.node) else {
            return self.insert(now, update);
        };
        if precedence(&update) <= precedence(&member.update) {
            return Merged::Stale;
        }
        let same_process = update.incarnation == member.update.incarnation;
        let changed = !same_process || update.state != member.update.state;
        if changed {
            member.since = now;
        }
        member.update = update;
        if changed {
            Merged::Changed
        } else {
            Merged::Refreshed
        }
    }

    fn insert(&mut self, now: Timestamp, update: MemberUpdate) -> Merged {
        if self.members.len() >= MAX_MEMBERS {
            self.refused += 1;
            return Merged::Stale;
        }
        let member = Member { update, since: now };
        self.members.insert(member.update.node.clone(), member);
        Merged::Changed
    }

    /// One member.
    pub fn get(&self, node: &NodeId) -> Option<&Member> {
        self.members.get(node)
    }

    /// All members in order of name.
    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Number of members, in whatever state.
    pub fn count(&self) -> usize {
        self.members.len()
    }

    /// Members that were not taken in because the table was full.
    pub fn refused(&self) -> u64 {
        self.refused
    }

    /// Gives every suspect the whole suspicion timeout again.
    pub fn restart_suspicions(&mut self, now: Timestamp) {
        for member in self.members.values_mut() {
            if member.update.state == MemberState::Suspect {
                member.since = now;
            }
        }
    }

    /// Drops the members for which `expired` holds.
    pub fn forget(&mut self, expired: impl Fn(&Member) -> bool) {
        self.members.retain(|_, member| !expired(member));
    }
}

/// Order of updates about one node: a later start beats an earlier one, then a refutation beats what
/// it refutes, then the worse state beats the better.
pub fn precedence(update: &MemberUpdate) -> (Incarnation, u32, MemberState) {
    (update.incarnation, update.refutation, update.state)
}

/// Whether a member in this state can be expected to answer.
pub fn is_reachable(state: MemberState) -> bool {
    state != MemberState::Dead
}

/// Whether a member in this state may own partitions.
pub fn is_eligible(state: MemberState) -> bool {
    matches!(state, MemberState::Alive | MemberState::Suspect)
}
