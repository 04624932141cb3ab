//! One node's view of the members of its cell.

use std::collections::BTreeMap;

use elderworks_protocol::gossip::{MemberState, MemberUpdate};
use elderworks_types::{Incarnation, NodeId, Timestamp};

use crate::event::Member;
use crate::settings::MAX_MEMBERS;

/// Result of merging an update or digest into a table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MergeOutcome {
    /// It was rejected, because it does not supersede the stored one or the table is full.
    Stale,
    /// It was stored, and the state is unchanged.
    Refreshed,
    /// It was stored, and the entry is new or its state changed.
    Changed,
}

/// Members of the cell by name, this node included.
#[derive(Debug, Default)]
pub struct MemberTable {
    members: BTreeMap<NodeId, Member>,
    rejected: u64,
}

impl MemberTable {
    /// Stores `update` if it supersedes the stored one.
    pub fn merge(&mut self, now: Timestamp, update: MemberUpdate) -> MergeOutcome {
        let Some(member) = self.members.get_mut(&update.node) else {
            return self.insert(now, update);
        };
        if precedence(&update) <= precedence(&member.update) {
            return MergeOutcome::Stale;
        }
        let same_process = update.incarnation == member.update.incarnation;
        let changed = !same_process || update.state != member.update.state;
        if changed {
            member.since = now;
        }
        member.update = update;
        if changed {
            MergeOutcome::Changed
        } else {
            MergeOutcome::Refreshed
        }
    }

    fn insert(&mut self, now: Timestamp, update: MemberUpdate) -> MergeOutcome {
        if self.members.len() >= MAX_MEMBERS {
            self.rejected += 1;
            return MergeOutcome::Stale;
        }
        let member = Member { update, since: now };
        self.members.insert(member.update.node.clone(), member);
        MergeOutcome::Changed
    }

    /// Returns a member by name.
    pub fn get(&self, node: &NodeId) -> Option<&Member> {
        self.members.get(node)
    }

    /// Iterates over all members in order of name.
    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Returns the number of members in any state.
    pub fn count(&self) -> usize {
        self.members.len()
    }

    /// Returns the number of updates dropped because the table was full.
    pub fn rejected(&self) -> u64 {
        self.rejected
    }

    /// Restarts the suspicion timeout of every suspect member.
    pub fn restart_suspicions(&mut self, now: Timestamp) {
        for member in self.members.values_mut() {
            if member.update.state == MemberState::Suspect {
                member.since = now;
            }
        }
    }

    /// Removes the members for which `expired` holds.
    pub fn remove_if(&mut self, expired: impl Fn(&Member) -> bool) {
        self.members.retain(|_, member| !expired(member));
    }
}

/// Returns the sort key of updates on one node, the greater of which supersedes the other. A later
/// incarnation supersedes an earlier one, then a refutation what it refutes, then a worse state a
/// better one.
pub fn precedence(update: &MemberUpdate) -> (Incarnation, u32, MemberState) {
    (update.incarnation, update.refutation, update.state)
}

/// Returns whether a member in this state can be expected to answer.
pub fn is_reachable(state: MemberState) -> bool {
    state != MemberState::Dead
}

/// Returns whether a member in this state may own partitions.
pub fn is_eligible(state: MemberState) -> bool {
    matches!(state, MemberState::Alive | MemberState::Suspect)
}
