//! What is wrong with a document.

/// A document that is not a resource.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("document {document}: {path}: {problem}")]
pub struct ManifestError {
    /// Which document of the file, from 1.
    pub document: usize,
    /// Path of the field, for example `spec.model.engines[0].url`; `.` for the document itself.
    pub path: String,
    /// What is wrong with it.
    pub problem: String,
}

impl ManifestError {
    /// A problem in a document that stands alone.
    pub(super) fn new(path: impl Into<String>, problem: impl Into<String>) -> Self {
        let path = path.into();
        Self {
            document: 1,
            path: if path.is_empty() { ".".into() } else { path },
            problem: problem.into(),
        }
    }

    /// The same problem in the document at this position of a file, from 1.
    pub(super) fn in_document(self, document: usize) -> Self {
        Self { document, ..self }
    }
}
