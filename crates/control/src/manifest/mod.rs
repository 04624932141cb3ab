//! Resources as people and programs write them: YAML or JSON documents with `apiVersion`, `kind`,
//! `metadata`, `spec` and `status`.

mod document;
mod error;
mod read;

pub use document::{API_VERSION, Document, DocumentMetadata};
pub use error::ManifestError;
pub use read::{Manifest, from_json, from_value, from_yaml};
