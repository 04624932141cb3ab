//! The envelope that every document shares.

use elderworks_types::resource::{Resource, Spec};
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// The version of the format.
pub const API_VERSION: &str = "elderworks/v1";

/// One document.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "camelCase")]
pub struct Document {
    /// Always [`API_VERSION`].
    pub api_version: String,
    /// Kind of the resource, for example `Program`.
    pub kind: String,
    /// Identity and revision.
    pub metadata: DocumentMetadata,
    /// The wanted state; absent in read-only kinds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub spec: Option<Value>,
    /// The state as the system found it; ignored when written by an operator.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub status: Option<Value>,
}

/// Identity and revision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "camelCase")]
pub struct DocumentMetadata {
    /// Unique within the kind.
    pub name: String,
    /// The version that the document was read at. When written, the change is made only if this is
    /// still the present version; 0 means that the resource must not exist yet.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub revision: Option<u64>,
}

impl Document {
    /// A document of a read-only kind.
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
    value.expect("a spec is plain data with text keys")
}
