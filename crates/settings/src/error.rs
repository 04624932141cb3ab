//! What can be wrong with a settings file.

use std::path::PathBuf;

/// A settings file or flag that cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The file could not be read.
    #[error("{}: {source}", path.display())]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// What the operating system said.
        source: std::io::Error,
    },
    /// The file is not TOML, or a key or value is not what it should be.
    #[error("{}:{line}: {problem}", path.display())]
    Malformed {
        /// The file.
        path: PathBuf,
        /// The line, from 1.
        line: usize,
        /// What is wrong, with the nearest known key where one is unknown.
        problem: String,
    },
    /// The file is for another process.
    #[error("{}: this file is for `{found}`, not for `{expected}`", path.display())]
    OtherProcess {
        /// The file.
        path: PathBuf,
        /// The process that was started.
        expected: &'static str,
        /// The process that the file is for.
        found: &'static str,
    },
    /// A value parses but is out of its range, or contradicts another.
    #[error("{}: {problem}", path.display())]
    Invalid {
        /// The file.
        path: PathBuf,
        /// Which key, and why.
        problem: Problem,
    },
    /// A `--set` flag cannot be laid over the file.
    #[error("--set {flag}: {problem}")]
    Flag {
        /// The flag as given.
        flag: String,
        /// What is wrong with it.
        problem: String,
    },
}

/// A value out of its range.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{key}: {problem}")]
pub struct Problem {
    /// Dotted path of the key below the process's table.
    pub key: String,
    /// What is wrong with the value.
    pub problem: String,
}

impl Problem {
    /// A problem with the value of `key`.
    pub fn new(key: impl Into<String>, problem: impl Into<String>) -> Self {
        Self {
            key: key.into(),
            problem: problem.into(),
        }
    }
}
