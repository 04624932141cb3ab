//! `apply`: creates or changes the resources listed in files.

use std::io::Read;
use std::time::Duration;

use elderworks_control::api::{Collection, ErrorCode};
use elderworks_control::manifest::{Document, Manifest, from_yaml};
use elderworks_types::resource::Kind;
use tokio::time::{Instant, sleep};

use super::{ApiClient, VerbError};

/// File name that selects standard input.
const STANDARD_INPUT: &str = "-";

/// Pause between attempts while no node accepts changes.
const RETRY_INTERVAL: Duration = Duration::from_millis(300);

/// Result of applying one document.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Applied {
    /// The resource did not exist and was created.
    Created,
    /// The resource existed and was changed.
    Changed,
    /// The resource already matched the document.
    Unchanged,
}

/// Reads every document of every file and sorts them so that referenced resources come first.
///
/// # Errors
///
/// Fails if a file cannot be read, a document is invalid, or there are no documents at all. The
/// caller applies nothing in that case.
pub fn read_files(files: &[String]) -> Result<Vec<Manifest>, VerbError> {
    let mut manifests = Vec::new();
    for file in files {
        manifests.extend(read_file(file)?);
    }
    if manifests.is_empty() {
        return Err(VerbError::Usage(
            "nothing to apply: name a file by -f".to_owned(),
        ));
    }
    manifests.sort_by_key(|manifest| apply_order(manifest.resource.spec.kind()));
    Ok(manifests)
}

fn read_file(file: &str) -> Result<Vec<Manifest>, VerbError> {
    let text = read_text(file).map_err(|source| VerbError::Unreadable {
        file: file.to_owned(),
        source,
    })?;
    from_yaml(&text).map_err(|source| VerbError::Manifest {
        file: file.to_owned(),
        source,
    })
}

fn read_text(file: &str) -> std::io::Result<String> {
    if file != STANDARD_INPUT {
        return std::fs::read_to_string(file);
    }
    let mut text = String::new();
    std::io::stdin().read_to_string(&mut text)?;
    Ok(text)
}

/// Returns the position of a kind in the order of application. Programs refer to services and
/// budgets, so they come last.
fn apply_order(kind: Kind) -> u8 {
    match kind {
        Kind::Configuration => 0,
        Kind::Service => 1,
        Kind::Budget => 2,
        Kind::Program => 3,
    }
}

/// Applies one document and returns the line to print. Retries for at most `wait` while no node
/// accepts changes.
///
/// # Errors
///
/// Fails if the change is rejected, no node accepts changes within `wait`, or it remains unknown
/// whether the change was made.
pub async fn apply(
    client: &ApiClient,
    manifest: &Manifest,
    wait: Duration,
) -> Result<String, VerbError> {
    let deadline = Instant::now() + wait;
    loop {
        match apply_once(client, manifest).await {
            Err(error) if error.is_retryable() && Instant::now() < deadline => {
                sleep(RETRY_INTERVAL).await;
            }
            result => return result,
        }
    }
}

async fn apply_once(client: &ApiClient, manifest: &Manifest) -> Result<String, VerbError> {
    let resource = &manifest.resource;
    let collection = Collection::Writable(resource.spec.kind());
    let name = resource.metadata.name.as_str();
    let before = match client.get(collection, name).await {
        Ok(document) => document.metadata.revision,
        Err(error) if error.code() == Some(ErrorCode::NotFound) => None,
        Err(error) => return Err(error),
    };
    let mut document = Document::from(resource);
    document.metadata.revision = manifest.expected.map(|revision| revision.0);
    let after = match client.put(collection, &document).await {
        Ok(after) => after,
        Err(error) => resolve_unknown_outcome(client, collection, &document, error).await?,
    };
    let applied = match before {
        None => Applied::Created,
        Some(before) if Some(before) == after.metadata.revision => Applied::Unchanged,
        Some(_) => Applied::Changed,
    };
    let revision = after.metadata.revision.unwrap_or_default();
    Ok(format!(
        "{collection}/{name} {}, revision {revision}",
        applied.word()
    ))
}

/// Resolves an unknown outcome by reading the resource: if its spec equals `wanted`, the change was
/// made. Otherwise returns `error`.
async fn resolve_unknown_outcome(
    client: &ApiClient,
    collection: Collection,
    wanted: &Document,
    error: VerbError,
) -> Result<Document, VerbError> {
    let outcome_is_unknown = matches!(error, VerbError::ConnectionLost(_))
        || error.code() == Some(ErrorCode::OutcomeUnknown);
    if !outcome_is_unknown {
        return Err(error);
    }
    match client.get(collection, &wanted.metadata.name).await {
        Ok(found) if found.spec == wanted.spec => Ok(found),
        _ => Err(error),
    }
}

impl Applied {
    fn word(self) -> &'static str {
        match self {
            Self::Created => "created",
            Self::Changed => "changed",
            Self::Unchanged => "unchanged",
        }
    }
}
