//! `apply`: creates and changes the resources of files.

use std::io::Read;
use std::time::Duration;

use elderworks_control::api::{Collection, ErrorCode};
use elderworks_control::manifest::{Document, Manifest, from_yaml};
use elderworks_types::resource::Kind;
use tokio::time::{Instant, sleep};

use super::{ApiClient, VerbError};

/// The name of standard input on the command line.
const STANDARD_INPUT: &str = "-";

/// Pause between tries while no node takes changes.
const RETRY_INTERVAL: Duration = Duration::from_millis(300);

/// What became of one document.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Applied {
    /// It did not exist.
    Created,
    /// It was changed.
    Changed,
    /// It already was as wanted.
    Unchanged,
}

/// Reads every document of every file, in an order in which what is referred to comes first.
/// Nothing is applied unless all of them are sound.
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
    manifests.sort_by_key(|manifest| rank(manifest.resource.spec.kind()));
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

/// Programs refer to services and budgets, so they come last.
fn rank(kind: Kind) -> u8 {
    match kind {
        Kind::Configuration => 0,
        Kind::Service => 1,
        Kind::Budget => 2,
        Kind::Program => 3,
    }
}

/// Applies one document. While no node takes changes it is tried again, for at most `wait`.
pub async fn apply(
    client: &ApiClient,
    manifest: &Manifest,
    wait: Duration,
) -> Result<String, VerbError> {
    let give_up = Instant::now() + wait;
    loop {
        match apply_once(client, manifest).await {
            Err(error) if error.may_be_tried_again() && Instant::now() < give_up => {
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
        Err(error) => look_again(client, collection, &document, error).await?,
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

/// After an unknown outcome, the change was made if the resource is now as wanted.
async fn look_again(
    client: &ApiClient,
    collection: Collection,
    wanted: &Document,
    error: VerbError,
) -> Result<Document, VerbError> {
    let outcome_is_unknown =
        matches!(error, VerbError::Broken(_)) || error.code() == Some(ErrorCode::OutcomeUnknown);
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
