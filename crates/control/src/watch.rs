//! Watches of operators: who is told of which change.

use std::collections::BTreeMap;

use elderworks_types::Offset;
use elderworks_types::resource::Kind;

use crate::{Change, Control, RequestId};

/// Watches open on one node at a time; more are refused.
pub const MAX_WATCHES: usize = 1_024;

/// Why a watch did not begin.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum WatchError {
    /// The changes after that revision are no longer remembered; the watcher must list anew.
    #[error("the changes after that revision are no longer remembered: list anew")]
    TooOld,
    /// Too many watches are open.
    #[error("too many watches are open")]
    TooMany,
}

#[derive(Clone, Copy, Debug)]
struct Watch {
    kind: Option<Kind>,
    after: Offset,
}

impl Watch {
    fn wants(&self, change: &Change) -> bool {
        let kind_matches = self.kind.is_none_or(|kind| kind == change.kind);
        kind_matches && change.revision > self.after
    }
}

/// The open watches of one node.
#[derive(Debug, Default)]
pub struct Watches {
    open: BTreeMap<RequestId, Watch>,
}

impl Watches {
    /// Opens a watch and returns the changes that it has missed so far. Changes at or before
    /// `after` are never sent, also if this node has yet to apply them.
    pub fn subscribe(
        &mut self,
        control: &Control,
        request: RequestId,
        kind: Option<Kind>,
        after: Offset,
    ) -> Result<Vec<Change>, WatchError> {
        if self.open.len() >= MAX_WATCHES {
            return Err(WatchError::TooMany);
        }
        let watch = Watch { kind, after };
        let mut missed = control.changes_since(after).ok_or(WatchError::TooOld)?;
        missed.retain(|change| watch.wants(change));
        self.open.insert(request, watch);
        Ok(missed)
    }

    /// Closes a watch.
    pub fn unsubscribe(&mut self, request: RequestId) {
        self.open.remove(&request);
    }

    /// The watches to be told of a change, in order of request.
    pub fn subscribers_of<'a>(
        &'a self,
        change: &'a Change,
    ) -> impl Iterator<Item = RequestId> + use<'a> {
        self.open
            .iter()
            .filter(|(_, watch)| watch.wants(change))
            .map(|(request, _)| *request)
    }
}
