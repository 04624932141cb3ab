//! Applies the example resources through the HTTP interface for operators.

use elderworks_control::api::{API_PREFIX, Collection};
use elderworks_control::manifest::{Document, Manifest, from_yaml};
use elderworks_types::resource::{Resource, ServiceSpec, Spec};
use eyre::{WrapErr, eyre};

use super::system::System;

/// Example resource files; referenced resources come before those that refer to them.
const EXAMPLES: [&str; 3] = [
    include_str!("../../../../examples/resources/services.yaml"),
    include_str!("../../../../examples/resources/boundary-correction.yaml"),
    include_str!("../../../../examples/resources/weekly-menu.yaml"),
];

/// Applies every example resource, with the fixed back-end addresses replaced by those of the
/// embedded back ends. Returns the kind and name of each resource.
pub async fn apply_examples(system: &System) -> eyre::Result<Vec<String>> {
    let mut applied = Vec::new();
    for text in EXAMPLES {
        let manifests = from_yaml(text).wrap_err("cannot parse an example resource file")?;
        for Manifest { mut resource, .. } in manifests {
            use_embedded_back_ends(&mut resource, system)?;
            put(system, &resource).await?;
            let kind = resource.spec.kind();
            applied.push(format!("{kind:?}/{}", resource.metadata.name));
        }
    }
    Ok(applied)
}

/// Replaces the URLs of a service with those of the embedded back ends.
fn use_embedded_back_ends(resource: &mut Resource, system: &System) -> eyre::Result<()> {
    let Spec::Service(service) = &mut resource.spec else {
        return Ok(());
    };
    match service {
        ServiceSpec::Tool(tool) => tool.url = system.tool_url(),
        ServiceSpec::Model(model) => {
            for engine in &mut model.engines {
                engine.url = system
                    .engine_url(&engine.id)
                    .ok_or_else(|| eyre!("the demo does not run {}", engine.id))?;
            }
        }
    }
    Ok(())
}

async fn put(system: &System, resource: &Resource) -> eyre::Result<()> {
    let collection = Collection::Writable(resource.spec.kind());
    let name = &resource.metadata.name;
    let url = format!("{}{API_PREFIX}/{collection}/{name}", system.operator_url());
    let document = Document::from(resource);
    let mut response = awc::Client::default()
        .put(url)
        .send_json(&document)
        .await
        .map_err(|error| eyre!("{collection}/{name}: {error}"))?;
    if !response.status().is_success() {
        let body = response.body().await.unwrap_or_default();
        let body = String::from_utf8_lossy(&body);
        eyre::bail!("{collection}/{name}: {}: {body}", response.status());
    }
    Ok(())
}
