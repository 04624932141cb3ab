//! What a resource must satisfy before it is accepted.
//!
//! The rules decide whether a record on the control stream counts, so every reader must judge alike:
//! they depend on the resource and on the resources before it, on nothing else. Changing a rule
//! needs a new version of the record encoding.

mod names;
mod references;
mod suggestion;
mod syntax;

use elderworks_types::ResourceName;
use elderworks_types::resource::{Kind, Resource};

use crate::ControlError;
use crate::resources::Resources;

pub(crate) use suggestion::hint;
pub use suggestion::nearest;
pub use syntax::validate_syntax;

/// Checks a resource by itself and against the others.
pub(crate) fn validate(resource: &Resource, resources: &Resources) -> Result<(), ControlError> {
    validate_syntax(resource)?;
    references::validate(resource, resources)
}

/// Checks that nothing refers to a resource that is to be deleted.
pub(crate) fn validate_deletion(
    kind: Kind,
    name: &ResourceName,
    resources: &Resources,
) -> Result<(), ControlError> {
    references::validate_deletion(kind, name, resources)
}
