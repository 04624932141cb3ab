//! Parsing and validation of documents.

use elderworks_types::Offset;
use elderworks_types::resource::{Metadata, Resource, Spec};
use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::Value;

use super::{API_VERSION, Document, ManifestError};
use crate::validation::did_you_mean;
use crate::{ControlError, validate_syntax};

/// Kinds that operators can write.
const WRITABLE_KINDS: [&str; 4] = ["Program", "Service", "Budget", "Configuration"];

/// A parsed document whose resource is valid on its own. References to other resources are not
/// checked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Manifest {
    /// The parsed resource.
    pub resource: Resource,
    /// Expected current revision, if the document specifies one.
    pub expected: Option<Offset>,
}

/// Parses all documents of a YAML file, skipping empty ones.
///
/// # Errors
///
/// Returns the first error found in any document.
pub fn from_yaml(text: &str) -> Result<Vec<Manifest>, ManifestError> {
    let mut manifests = Vec::new();
    for (position, document) in serde_norway::Deserializer::from_str(text).enumerate() {
        let number = position + 1;
        let value = Value::deserialize(document).map_err(|error| {
            ManifestError::new("", format!("not YAML: {error}")).in_document(number)
        })?;
        if value.is_null() {
            continue;
        }
        let manifest = from_value(value).map_err(|error| error.in_document(number))?;
        manifests.push(manifest);
    }
    Ok(manifests)
}

/// Parses one JSON document.
///
/// # Errors
///
/// Returns an error if the text is not JSON or not a valid resource.
pub fn from_json(bytes: &[u8]) -> Result<Manifest, ManifestError> {
    let value = serde_json::from_slice(bytes)
        .map_err(|error| ManifestError::new("", format!("not JSON: {error}")))?;
    from_value(value)
}

/// Converts a JSON value into a resource.
///
/// # Errors
///
/// Returns an error if the value is not a valid resource.
pub fn from_value(value: Value) -> Result<Manifest, ManifestError> {
    let document: Document = deserialize_at(value, "")?;
    if document.api_version != API_VERSION {
        let problem = format!("expected {API_VERSION:?}, found {:?}", document.api_version);
        return Err(ManifestError::new("apiVersion", problem));
    }
    let spec = document
        .spec
        .ok_or_else(|| ManifestError::new("spec", "missing"))?;
    let resource = Resource {
        metadata: Metadata {
            name: document.metadata.name.as_str().into(),
            revision: Offset(document.metadata.revision.unwrap_or(0)),
        },
        spec: deserialize_spec(&document.kind, spec)?,
    };
    validate_syntax(&resource).map_err(to_manifest_error)?;
    Ok(Manifest {
        resource,
        expected: document.metadata.revision.map(Offset),
    })
}

fn deserialize_spec(kind: &str, spec: Value) -> Result<Spec, ManifestError> {
    match kind {
        "Program" => deserialize_at(spec, "spec").map(Spec::Program),
        "Service" => deserialize_at(spec, "spec").map(Spec::Service),
        "Budget" => deserialize_at(spec, "spec").map(Spec::Budget),
        "Configuration" => deserialize_at(with_text_values(spec), "spec").map(Spec::Configuration),
        other => {
            let hint = did_you_mean(other, WRITABLE_KINDS);
            let problem = format!(
                "expected one of {}, found {other:?}{hint}",
                WRITABLE_KINDS.join(", ")
            );
            Err(ManifestError::new("kind", problem))
        }
    }
}

/// Converts the numeric values of a configuration to strings, because YAML parses unquoted numbers as
/// such while configuration values are strings.
fn with_text_values(mut spec: Value) -> Value {
    let values = spec.get_mut("values").and_then(Value::as_object_mut);
    for value in values.into_iter().flat_map(|values| values.values_mut()) {
        if value.is_number() {
            *value = Value::String(value.to_string());
        }
    }
    spec
}

/// Deserializes a value. Errors contain the path of the invalid field, prefixed with `root`.
fn deserialize_at<T: DeserializeOwned>(value: Value, root: &str) -> Result<T, ManifestError> {
    serde_path_to_error::deserialize(value).map_err(|error| {
        let inner = error.path().to_string();
        let path = match (root, inner.as_str()) {
            ("", ".") => String::new(),
            ("", inner) => inner.to_owned(),
            (root, ".") => root.to_owned(),
            (root, inner) => format!("{root}.{inner}"),
        };
        let problem = error.into_inner().to_string();
        let hint = field_hint(&problem);
        ManifestError::new(path, format!("{problem}{hint}"))
    })
}

/// Returns a suggestion for a message of the form "unknown field `a`, expected one of `b`, `c`", or an
/// empty string for other messages.
fn field_hint(problem: &str) -> String {
    if !problem.starts_with("unknown ") {
        return String::new();
    }
    let mut quoted = problem.split('`').skip(1).step_by(2);
    match quoted.next() {
        Some(unknown) => did_you_mean(unknown, quoted),
        None => String::new(),
    }
}

fn to_manifest_error(error: ControlError) -> ManifestError {
    match error {
        ControlError::Invalid { path, problem } => ManifestError::new(path, problem),
        other => ManifestError::new("", other.to_string()),
    }
}
