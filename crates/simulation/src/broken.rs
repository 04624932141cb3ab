//! Deliberately broken variants, by name. They exist only under the cargo feature `broken`.

use std::fmt;
use std::str::FromStr;

use crate::check::Invariant;
use crate::run::Plan;

/// One way to break the system on purpose.
#[derive(Clone, Copy)]
pub struct Broken {
    /// Its name on the command line.
    pub name: &'static str,
    /// The invariant whose checker must notice.
    pub invariant: Invariant,
    switch: fn(&mut Plan),
}

impl Broken {
    /// Every variant.
    pub fn all() -> &'static [Broken] {
        VARIANTS
    }

    /// Breaks a plan.
    pub fn apply(&self, plan: &mut Plan) {
        (self.switch)(plan);
    }
}

impl fmt::Debug for Broken {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.name)
    }
}

/// A name that is not a variant's, or a build without them.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum UnknownVariant {
    /// No variant has this name.
    #[error("no broken variant is called {0:?}")]
    Name(String),
    /// The build has none.
    #[error("this build has no broken variants: build with the feature `broken`")]
    Build,
}

impl FromStr for Broken {
    type Err = UnknownVariant;

    fn from_str(text: &str) -> Result<Self, UnknownVariant> {
        if VARIANTS.is_empty() {
            return Err(UnknownVariant::Build);
        }
        let found = VARIANTS.iter().find(|variant| variant.name == text);
        found
            .copied()
            .ok_or_else(|| UnknownVariant::Name(text.to_owned()))
    }
}

#[cfg(not(feature = "broken"))]
const VARIANTS: &[Broken] = &[];

#[cfg(feature = "broken")]
const VARIANTS: &[Broken] = &[];
