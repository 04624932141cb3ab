//! Validation of resources.
//!
//! The rules determine whether a record on the control stream takes effect, so all readers must come
//! to the same result. They depend only on the resource and the resources stored before it. Any change
//! of a rule requires a new version of the record encoding.

mod names;
mod references;
mod suggestion;
mod syntax;

use elderworks_types::ResourceName;
use elderworks_types::resource::{Kind, Resource};

use crate::ControlError;
use crate::resources::Resources;

pub(crate) use suggestion::did_you_mean;
pub use suggestion::nearest;
pub use syntax::validate_syntax;

/// Validates a resource on its own and against the other resources.
pub(crate) fn validate(resource: &Resource, resources: &Resources) -> Result<(), ControlError> {
    validate_syntax(resource)?;
    references::validate(resource, resources)
}

/// Checks that no other resource refers to a resource that is to be deleted.
pub(crate) fn validate_deletion(
    kind: Kind,
    name: &ResourceName,
    resources: &Resources,
) -> Result<(), ControlError> {
    references::validate_deletion(kind, name, resources)
}
