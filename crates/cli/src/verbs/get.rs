//! `get` and `describe`: show resources.

use elderworks_control::api::Collection;
use elderworks_control::manifest::Document;
use elderworks_types::resource::Kind;

use super::{ApiClient, OutputFormat, VerbError, table};

/// Fetches one resource, or all of a collection, and formats the result.
///
/// # Errors
///
/// Fails if the resources cannot be fetched or formatted.
pub async fn get(
    client: &ApiClient,
    collection: Collection,
    name: Option<&str>,
    format: OutputFormat,
) -> Result<String, VerbError> {
    match name {
        Some(name) => {
            let document = client.get(collection, name).await?;
            format.render(&document, |document| {
                table::documents(collection, std::slice::from_ref(document))
            })
        }
        None => {
            let list = client.list(collection).await?;
            format.render(&list, |list| table::documents(collection, &list.items))
        }
    }
}

/// Returns every field of a resource as YAML, and the programs that refer to it.
///
/// # Errors
///
/// Fails if the resource or the list of programs cannot be fetched or formatted.
pub async fn describe(
    client: &ApiClient,
    collection: Collection,
    name: &str,
) -> Result<String, VerbError> {
    let document = client.get(collection, name).await?;
    let mut text = OutputFormat::Yaml.render(&document, |_| String::new())?;
    let referring_programs = referring_programs(client, collection, name).await?;
    if !referring_programs.is_empty() {
        text.push_str(&format!(
            "usedByPrograms: {}\n",
            referring_programs.join(", ")
        ));
    }
    Ok(text)
}

/// Returns the names of the programs that refer to a service or budget.
async fn referring_programs(
    client: &ApiClient,
    collection: Collection,
    name: &str,
) -> Result<Vec<String>, VerbError> {
    let Collection::Writable(Kind::Service | Kind::Budget) = collection else {
        return Ok(Vec::new());
    };
    let programs = client.list(Collection::Writable(Kind::Program)).await?;
    let referring_programs = programs.items.into_iter();
    Ok(referring_programs
        .filter(|program| refers_to(program, collection, name))
        .map(|program| program.metadata.name)
        .collect())
}

fn refers_to(program: &Document, collection: Collection, name: &str) -> bool {
    let Some(spec) = &program.spec else {
        return false;
    };
    if collection == Collection::Writable(Kind::Budget) {
        return spec["budget"] == name;
    }
    let services = spec["services"].as_array();
    services.is_some_and(|services| services.iter().any(|service| service == name))
}
