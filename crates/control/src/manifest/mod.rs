//! YAML and JSON representation of resources, with the fields `apiVersion`, `kind`, `metadata`, `spec`
//! and `status`.

mod document;
mod error;
mod read;

pub use document::{API_VERSION, Document, DocumentMetadata};
pub use error::ManifestError;
pub use read::{Manifest, from_json, from_value, from_yaml};
