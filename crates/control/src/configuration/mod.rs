//! The configuration in force: built-in defaults under what `Configuration` resources set.

mod keys;
mod parse;

use std::time::Duration;

use elderworks_types::resource::{Resource, Spec};

pub use keys::{KNOWN_KEYS, KnownKey, Unit, known_key};

/// Settings that apply to every node. [`KNOWN_KEYS`] lists keys, units and ranges.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Longest time for one attempt of a model call.
    pub model_call_timeout: Duration,
    /// Attempts of one call, the first included.
    pub max_attempts: u32,
    /// Longest time that a call waits for an earlier one of its run to arrive.
    pub earlier_call_wait: Duration,
    /// Calls that may be waiting or open in one partition.
    pub max_open_calls: u32,
    /// Retries allowed in percent of first attempts.
    pub retry_budget_percent: u32,
    /// An engine that has not answered for this long gets no new work.
    pub engine_silent_after: Duration,
    /// Records of the control stream between two snapshots.
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
    /// The defaults, overridden by each resource's values. Values that are not valid leave the
    /// default; validation admits none.
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

    /// Sets one key; the error says what is wrong with the key or its value.
    pub fn set(&mut self, key: &str, value: &str) -> Result<(), String> {
        let known = known_key(key).ok_or_else(|| "unknown key".to_owned())?;
        parse::set(self, known, value)
    }

    /// The value of one key in the form in which it is written.
    pub fn value(&self, known: &KnownKey) -> String {
        parse::format(self, known)
    }
}
