//! Lines of a watch.

use serde::{Deserialize, Serialize};

use crate::Change;
use crate::manifest::Document;

/// What happened to a resource.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WatchAction {
    /// Created or replaced.
    Put,
    /// Deleted.
    Deleted,
}

/// One change, as one line of JSON.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct WatchLine {
    /// What happened.
    pub action: WatchAction,
    /// Revision of the change; a watch after this revision goes on with the next one.
    pub revision: u64,
    /// Kind of the resource.
    pub kind: String,
    /// Its name.
    pub name: String,
    /// The resource as it is now; absent once deleted.
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
