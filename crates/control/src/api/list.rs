//! List responses of the operators' API.

use serde::{Deserialize, Serialize};

use super::Collection;
use crate::manifest::{API_VERSION, Document};

/// All resources of a collection.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct ListDocument {
    /// Always [`API_VERSION`].
    pub api_version: String,
    /// Kind of the items followed by `List`, for example `ProgramList`.
    pub kind: String,
    /// Revision that the list reflects. A watch from this revision receives every later change.
    /// Absent for collections that cannot be watched.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub revision: Option<u64>,
    /// Resources in order of name.
    pub items: Vec<Document>,
}

impl ListDocument {
    /// Creates a list of the resources of a collection.
    pub fn new(collection: Collection, revision: Option<u64>, items: Vec<Document>) -> Self {
        Self {
            api_version: API_VERSION.to_owned(),
            kind: format!("{}List", collection.kind_name()),
            revision,
            items,
        }
    }
}
