//! From text to checked resources.

use elderworks_types::Offset;
use elderworks_types::resource::{Metadata, Resource, Spec};
use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::Value;

use super::{API_VERSION, Document, ManifestError};
use crate::validation::hint;
use crate::{ControlError, validate_syntax};

/// The kinds that can be written.
const WRITABLE_KINDS: [&str; 4] = ["Program", "Service", "Budget", "Configuration"];

/// One document, read and checked by itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Manifest {
    /// The resource.
    pub resource: Resource,
    /// The revision that it was written against, if the document names one.
    pub expected: Option<Offset>,
}

/// Reads every document of a YAML file; empty documents are passed over.
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

/// Reads one JSON document.
pub fn from_json(bytes: &[u8]) -> Result<Manifest, ManifestError> {
    let value = serde_json::from_slice(bytes)
        .map_err(|error| ManifestError::new("", format!("not JSON: {error}")))?;
    from_value(value)
}

/// Reads one document that is parsed already.
pub fn from_value(value: Value) -> Result<Manifest, ManifestError> {
    let document: Document = typed(value, "")?;
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
        spec: typed_spec(&document.kind, spec)?,
    };
    validate_syntax(&resource).map_err(as_manifest_error)?;
    Ok(Manifest {
        resource,
        expected: document.metadata.revision.map(Offset),
    })
}

fn typed_spec(kind: &str, spec: Value) -> Result<Spec, ManifestError> {
    match kind {
        "Program" => typed(spec, "spec").map(Spec::Program),
        "Service" => typed(spec, "spec").map(Spec::Service),
        "Budget" => typed(spec, "spec").map(Spec::Budget),
        "Configuration" => typed(with_text_values(spec), "spec").map(Spec::Configuration),
        other => {
            let hint = hint(other, WRITABLE_KINDS);
            let problem = format!(
                "expected one of {}, found {other:?}{hint}",
                WRITABLE_KINDS.join(", ")
            );
            Err(ManifestError::new("kind", problem))
        }
    }
}

/// Values of a configuration are text; YAML makes numbers of some, so that they are written back.
fn with_text_values(mut spec: Value) -> Value {
    let values = spec.get_mut("values").and_then(Value::as_object_mut);
    for value in values.into_iter().flat_map(|values| values.values_mut()) {
        if value.is_number() {
            *value = Value::String(value.to_string());
        }
    }
    spec
}

/// Reads a value as a type; an error names the field's path below `root`.
fn typed<T: DeserializeOwned>(value: Value, root: &str) -> Result<T, ManifestError> {
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

/// For a message of the form "unknown field `a`, expected one of `b`, `c`": which known field is
/// near.
fn field_hint(problem: &str) -> String {
    if !problem.starts_with("unknown ") {
        return String::new();
    }
    let mut quoted = problem.split('`').skip(1).step_by(2);
    match quoted.next() {
        Some(unknown) => hint(unknown, quoted),
        None => String::new(),
    }
}

fn as_manifest_error(error: ControlError) -> ManifestError {
    match error {
        ControlError::Invalid { path, problem } => ManifestError::new(path, problem),
        other => ManifestError::new("", other.to_string()),
    }
}
