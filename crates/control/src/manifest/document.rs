//! Common envelope of all documents.

use elderworks_types::resource::{Resource, Spec};
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Version of the document format.
pub const API_VERSION: &str = "elderworks/v1";

/// A resource or read-only report as an API document.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "camelCase")]
pub struct Document {
    /// Always [`API_VERSION`].
    pub api_version: String,
    /// Kind of the resource, for example `Program`.
    pub kind: String,
    /// Name and revision.
    pub metadata: DocumentMetadata,
    /// Desired state. Absent in read-only kinds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub spec: Option<Value>,
    /// Observed state. Ignored in documents written by operators.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub status: Option<Value>,
}

/// Name and revision of a document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "camelCase")]
pub struct DocumentMetadata {
    /// Name of the resource, unique within its kind.
    pub name: String,
    /// Revision at which the document was read. When written, the change is rejected unless this is
    /// the current revision, where 0 requires that the resource does not exist.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub revision: Option<u64>,
}

impl Document {
    /// Creates a document of a read-only kind.
    pub fn report(kind: &str, name: String, status: Value) -> Self {
        Self {
            api_version: API_VERSION.to_owned(),
            kind: kind.to_owned(),
            metadata: DocumentMetadata {
                name,
                revision: None,
            },
            spec: None,
            status: Some(status),
        }
    }
}

impl From<&Resource> for Document {
    fn from(resource: &Resource) -> Self {
        Self {
            api_version: API_VERSION.to_owned(),
            kind: format!("{:?}", resource.spec.kind()),
            metadata: DocumentMetadata {
                name: resource.metadata.name.as_str().to_owned(),
                revision: Some(resource.metadata.revision.0),
            },
            spec: Some(spec_value(&resource.spec)),
            status: None,
        }
    }
}

fn spec_value(spec: &Spec) -> Value {
    let value = match spec {
        Spec::Program(program) => serde_json::to_value(program),
        Spec::Service(service) => serde_json::to_value(service),
        Spec::Budget(budget) => serde_json::to_value(budget),
        Spec::Configuration(configuration) => serde_json::to_value(configuration),
    };
    value.expect("a spec serializes to JSON")
}
