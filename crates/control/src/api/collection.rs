//! The collections of the interface.

use std::fmt;
use std::str::FromStr;

use elderworks_types::resource::Kind;

use crate::validation::hint;

/// A collection: the resources of one kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Collection {
    /// Written by operators.
    Writable(Kind),
    /// Runs, read-only.
    Runs,
    /// Nodes, read-only.
    Nodes,
    /// Engines, read-only.
    Engines,
}

/// Every collection with its name in paths and the name of its kind.
const NAMES: [(Collection, &str, &str); 7] = [
    (Collection::Writable(Kind::Program), "programs", "Program"),
    (Collection::Writable(Kind::Service), "services", "Service"),
    (Collection::Writable(Kind::Budget), "budgets", "Budget"),
    (
        Collection::Writable(Kind::Configuration),
        "configurations",
        "Configuration",
    ),
    (Collection::Runs, "runs", "Run"),
    (Collection::Nodes, "nodes", "Node"),
    (Collection::Engines, "engines", "Engine"),
];

impl Collection {
    /// Its name in paths, for example `programs`.
    pub fn plural(self) -> &'static str {
        self.names().0
    }

    /// The name of its kind, for example `Program`.
    pub fn kind_name(self) -> &'static str {
        self.names().1
    }

    fn names(self) -> (&'static str, &'static str) {
        let entry = NAMES.iter().find(|(collection, _, _)| *collection == self);
        let (_, plural, kind) = entry.expect("every collection has an entry");
        (plural, kind)
    }
}

impl fmt::Display for Collection {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.plural())
    }
}

/// A word that names no collection.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("there is no kind {word:?}{hint}")]
pub struct UnknownCollection {
    /// The word.
    pub word: String,
    hint: String,
}

impl FromStr for Collection {
    type Err = UnknownCollection;

    /// Takes singular and plural, in either case.
    fn from_str(word: &str) -> Result<Self, UnknownCollection> {
        let lower = word.to_lowercase();
        let entry = NAMES
            .iter()
            .find(|(_, plural, kind)| *plural == lower || kind.to_lowercase() == lower);
        entry
            .map(|(collection, _, _)| *collection)
            .ok_or_else(|| UnknownCollection {
                word: word.to_owned(),
                hint: hint(word, NAMES.iter().map(|(_, plural, _)| *plural)),
            })
    }
}
