//! Effective configuration: built-in defaults overridden by `Configuration` resources.

mod keys;
mod parse;

use std::time::Duration;

use elderworks_types::resource::{Resource, Spec};

pub use keys::{KNOWN_KEYS, KnownKey, Unit, known_key};

/// Settings that apply to every node. [`KNOWN_KEYS`] lists the keys, units and ranges.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Timeout of one attempt of a model call.
    pub model_call_timeout: Duration,
    /// Maximum number of attempts per call, including the first.
    pub max_attempts: u32,
    /// Maximum time that a call waits for an earlier call of its run to arrive.
    pub earlier_call_wait: Duration,
    /// Maximum number of waiting or open calls per partition.
    pub max_open_calls: u32,
    /// Maximum number of retries, in percent of first attempts.
    pub retry_budget_percent: u32,
    /// Time without an answer after which an engine receives no new work.
    pub engine_silent_after: Duration,
    /// Number of control records between two snapshots.
    pub snapshot_interval: u32,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            model_call_timeout: Duration::from_secs(120),
            max_attempts: 4,
            earlier_call_wait: Duration::from_secs(5),
            max_open_calls: 4_096,
            retry_budget_percent: 10,
            engine_silent_after: Duration::from_secs(2),
            snapshot_interval: 4_096,
        }
    }
}

impl Settings {
    /// Returns the defaults overridden by the values of each resource. Invalid values, which
    /// validation excludes, are ignored.
    pub(crate) fn merged<'a>(configurations: impl Iterator<Item = &'a Resource>) -> Self {
        let mut settings = Self::default();
        for resource in configurations {
            let Spec::Configuration(configuration) = &resource.spec else {
                continue;
            };
            for (key, value) in &configuration.values {
                let _ = settings.set(key, value);
            }
        }
        settings
    }

    /// Sets the value of a key.
    ///
    /// # Errors
    ///
    /// Returns a description of the problem if the key is unknown or the value is invalid.
    pub fn set(&mut self, key: &str, value: &str) -> Result<(), String> {
        let known = known_key(key).ok_or_else(|| "unknown key".to_owned())?;
        parse::set(self, known, value)
    }

    /// Returns the value of a key in the format that [`Settings::set`] accepts.
    pub fn value(&self, known: &KnownKey) -> String {
        parse::format(self, known)
    }
}
