//! `delete`: deletes a resource.

use elderworks_control::api::Collection;

use super::{ApiClient, VerbError};

/// Deletes a resource and returns the line to print. With `expected`, the deletion fails if the
/// resource has another revision.
///
/// # Errors
///
/// Fails if [`ApiClient::delete`] fails.
pub async fn delete(
    client: &ApiClient,
    collection: Collection,
    name: &str,
    expected: Option<u64>,
) -> Result<String, VerbError> {
    client.delete(collection, name, expected).await?;
    Ok(format!("{collection}/{name} deleted"))
}
