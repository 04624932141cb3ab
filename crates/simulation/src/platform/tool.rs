//! A tool service in small: runs invocations, remembers keys if it keeps them, hangs.

use std::collections::BTreeMap;

use elderworks_types::ToolName;

use crate::kernel::Instant;

/// One tool.
#[derive(Debug)]
pub struct Tool {
    /// Its name.
    pub name: ToolName,
    /// Whether it remembers idempotency keys.
    pub keeps_keys: bool,
    /// Until when it answers nothing, though it runs what it is given.
    pub hung_until: Instant,
    results: BTreeMap<String, String>,
}

/// What became of an invocation, as the tool says when asked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ToolAnswer {
    /// It ran; this was the result.
    Completed(String),
    /// The key is not known, or keys are not kept.
    Unknown,
}

impl Tool {
    /// An idle tool.
    pub fn new(name: ToolName, keeps_keys: bool) -> Self {
        Self {
            name,
            keeps_keys,
            hung_until: Instant(0),
            results: BTreeMap::new(),
        }
    }

    /// The result of an earlier invocation of the same key, if keys are kept.
    pub fn repeated(&self, key: &str) -> Option<&String> {
        self.results.get(key).filter(|_| self.keeps_keys)
    }

    /// Remembers a result.
    pub fn remember(&mut self, key: &str, result: &str) {
        self.results.insert(key.to_owned(), result.to_owned());
    }

    /// Answers a question about a key.
    pub fn query(&self, key: &str) -> ToolAnswer {
        self.repeated(key).map_or(ToolAnswer::Unknown, |result| {
            ToolAnswer::Completed(result.clone())
        })
    }
}
