//! Errors in documents.

/// The error returned when a document is not a valid resource.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("document {document}: {path}: {problem}")]
pub struct ManifestError {
    /// Position of the document in the file, from 1.
    pub document: usize,
    /// Path of the field, for example `spec.model.engines[0].url`; `.` for the document itself.
    pub path: String,
    /// Description of the problem.
    pub problem: String,
}

impl ManifestError {
    /// Creates an error in the only document of a file.
    pub(super) fn new(path: impl Into<String>, problem: impl Into<String>) -> Self {
        let path = path.into();
        Self {
            document: 1,
            path: if path.is_empty() { ".".into() } else { path },
            problem: problem.into(),
        }
    }

    /// Sets the position of the document in the file, from 1.
    pub(super) fn in_document(self, document: usize) -> Self {
        Self { document, ..self }
    }
}
