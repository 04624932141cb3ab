//! Current resources and application of changes to them.

use std::collections::BTreeMap;

use elderworks_types::resource::{Kind, Metadata, Resource};
use elderworks_types::{Offset, ResourceName};

use crate::index::Index;
use crate::{Change, ControlError, Settings, validation};

/// Revision of a resource that does not exist.
pub(crate) const NO_REVISION: Offset = Offset(0);

/// Result of an accepted change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Applied {
    /// The resources changed.
    Changed(Change),
    /// The resource already had the desired state and keeps its revision.
    Unchanged(Change),
}

/// All resources, their indexes and the effective configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Resources {
    by_key: BTreeMap<(Kind, ResourceName), Resource>,
    index: Index,
    settings: Settings,
}

impl Resources {
    /// Returns a resource by kind and name.
    pub(crate) fn get(&self, kind: Kind, name: &ResourceName) -> Option<&Resource> {
        self.by_key.get(&(kind, name.clone()))
    }

    /// Iterates over the resources of a kind in order of name.
    pub(crate) fn list(&self, kind: Kind) -> impl Iterator<Item = &Resource> {
        self.by_key
            .range((kind, ResourceName::new(""))..)
            .take_while(move |((found, _), _)| *found == kind)
            .map(|(_, resource)| resource)
    }

    /// Iterates over the resources of all kinds.
    pub(crate) fn all(&self) -> impl Iterator<Item = &Resource> {
        self.by_key.values()
    }

    /// Returns the secondary indexes.
    pub(crate) fn index(&self) -> &Index {
        &self.index
    }

    /// Returns the effective configuration.
    pub(crate) fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Validates and stores a resource. `revision` becomes its revision unless it is unchanged.
    pub(crate) fn put(
        &mut self,
        resource: Resource,
        expected: Option<Offset>,
        revision: Offset,
    ) -> Result<Applied, ControlError> {
        let kind = resource.spec.kind();
        let name = resource.metadata.name.clone();
        let current = self.get(kind, &name);
        check_expected(current, expected)?;
        validation::validate(&resource, self)?;
        if let Some(current) = current.filter(|current| current.spec == resource.spec) {
            return Ok(Applied::Unchanged(change_to(current)));
        }
        let resource = Resource {
            metadata: Metadata { name, revision },
            spec: resource.spec,
        };
        let change = change_to(&resource);
        self.insert(resource);
        Ok(Applied::Changed(change))
    }

    /// Validates and applies the deletion of a resource, whose change gets `revision`.
    pub(crate) fn delete(
        &mut self,
        kind: Kind,
        name: ResourceName,
        expected: Option<Offset>,
        revision: Offset,
    ) -> Result<Applied, ControlError> {
        let current = self.get(kind, &name).ok_or(ControlError::NotFound)?;
        check_expected(Some(current), expected)?;
        validation::validate_deletion(kind, &name, self)?;
        self.remove(kind, &name);
        Ok(Applied::Changed(Change {
            revision,
            kind,
            name,
            resource: None,
        }))
    }

    /// Stores a resource without validation.
    pub(crate) fn insert(&mut self, resource: Resource) {
        let kind = resource.spec.kind();
        self.remove(kind, &resource.metadata.name);
        self.index.add(&resource);
        let key = (kind, resource.metadata.name.clone());
        self.by_key.insert(key, resource);
        self.refresh_settings(kind);
    }

    fn remove(&mut self, kind: Kind, name: &ResourceName) {
        let Some(resource) = self.by_key.remove(&(kind, name.clone())) else {
            return;
        };
        self.index.remove(&resource);
        self.refresh_settings(kind);
    }

    fn refresh_settings(&mut self, changed: Kind) {
        if changed == Kind::Configuration {
            self.settings = Settings::merged(self.list(Kind::Configuration));
        }
    }
}

/// Checks that the current revision matches the expected one, if any.
fn check_expected(
    current: Option<&Resource>,
    expected: Option<Offset>,
) -> Result<(), ControlError> {
    let found = current.map_or(NO_REVISION, |resource| resource.metadata.revision);
    match expected {
        Some(expected) if expected != found => Err(ControlError::Conflict { expected, found }),
        _ => Ok(()),
    }
}

/// Returns the change that results in `resource`.
fn change_to(resource: &Resource) -> Change {
    Change {
        revision: resource.metadata.revision,
        kind: resource.spec.kind(),
        name: resource.metadata.name.clone(),
        resource: Some(resource.clone()),
    }
}
