//! Subscriptions of operators to changes.

use std::collections::BTreeMap;

use elderworks_types::Offset;
use elderworks_types::resource::Kind;

use crate::{Change, Control, RequestId};

/// Maximum number of open watches per node.
pub const MAX_WATCHES: usize = 1_024;

/// The error returned when a watch cannot be opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum WatchError {
    /// The changes after the revision are no longer retained, so the watcher must list the resources
    /// again.
    #[error("the changes after that revision are no longer available; list the resources again")]
    TooOld,
    /// Too many watches are open.
    #[error("too many watches are open")]
    TooMany,
}

#[derive(Clone, Copy, Debug)]
struct Watch {
    /// Kind to watch, or `None` for all.
    kind: Option<Kind>,
    /// Revision after which changes are sent.
    after: Offset,
}

impl Watch {
    fn matches(&self, change: &Change) -> bool {
        let kind_matches = self.kind.is_none_or(|kind| kind == change.kind);
        kind_matches && change.revision > self.after
    }
}

/// Open watches of one node.
#[derive(Debug, Default)]
pub struct Watches {
    open: BTreeMap<RequestId, Watch>,
}

impl Watches {
    /// Opens a watch and returns the changes made since revision `after`. Changes up to and including
    /// `after` are never sent, even if this node applies them later.
    ///
    /// # Errors
    ///
    /// Returns an error if too many watches are open or changes after `after` are no longer retained.
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
        missed.retain(|change| watch.matches(change));
        self.open.insert(request, watch);
        Ok(missed)
    }

    /// Closes a watch.
    pub fn unsubscribe(&mut self, request: RequestId) {
        self.open.remove(&request);
    }

    /// Iterates over the watches that must be notified of a change, in order of request.
    pub fn subscribers_of<'a>(
        &'a self,
        change: &'a Change,
    ) -> impl Iterator<Item = RequestId> + use<'a> {
        self.open
            .iter()
            .filter(|(_, watch)| watch.matches(change))
            .map(|(request, _)| *request)
    }
}
