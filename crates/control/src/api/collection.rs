//! Collections of the operators' API.

use std::fmt;
use std::str::FromStr;

use elderworks_types::resource::Kind;

use crate::validation::did_you_mean;

/// All resources of one kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Collection {
    /// Resources that operators create and change.
    Writable(Kind),
    /// Runs (read-only).
    Runs,
    /// Nodes (read-only).
    Nodes,
    /// Engines (read-only).
    Engines,
}

/// Every collection with its plural name, as used in paths, and the name of its kind.
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
    /// Returns the name used in paths, for example `programs`.
    pub fn plural(self) -> &'static str {
        self.names().0
    }

    /// Returns the name of the kind, for example `Program`.
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

/// The error returned when a word does not name a collection.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("there is no kind {word:?}{hint}")]
pub struct UnknownCollection {
    /// The unrecognized word.
    pub word: String,
    /// Suggestion of a similar name, or empty.
    hint: String,
}

impl FromStr for Collection {
    type Err = UnknownCollection;

    /// Parses a plural or kind name, ignoring case.
    fn from_str(word: &str) -> Result<Self, UnknownCollection> {
        let lower = word.to_lowercase();
        let entry = NAMES
            .iter()
            .find(|(_, plural, kind)| *plural == lower || kind.to_lowercase() == lower);
        entry
            .map(|(collection, _, _)| *collection)
            .ok_or_else(|| UnknownCollection {
                word: word.to_owned(),
                hint: did_you_mean(word, NAMES.iter().map(|(_, plural, _)| *plural)),
            })
    }
}
