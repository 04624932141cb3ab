//! Watch responses of the operators' API.

use serde::{Deserialize, Serialize};

use crate::Change;
use crate::manifest::Document;

/// Type of a change to a resource.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WatchAction {
    /// Created or replaced.
    Put,
    /// Deleted.
    Deleted,
}

/// A change to a resource, sent as one line of JSON.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct WatchLine {
    /// Type of the change.
    pub action: WatchAction,
    /// Revision of the change. A watch from this revision resumes with the next change.
    pub revision: u64,
    /// Kind of the resource.
    pub kind: String,
    /// Name of the resource.
    pub name: String,
    /// New state of the resource. Absent if deleted.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub object: Option<Document>,
}

impl From<&Change> for WatchLine {
    fn from(change: &Change) -> Self {
        let action = match change.resource {
            Some(_) => WatchAction::Put,
            None => WatchAction::Deleted,
        };
        Self {
            action,
            revision: change.revision.0,
            kind: format!("{:?}", change.kind),
            name: change.name.as_str().to_owned(),
            object: change.resource.as_ref().map(Document::from),
        }
    }
}
