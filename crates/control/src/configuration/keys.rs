//! Keys that `Configuration` resources may set.

use std::time::Duration;

use super::Settings;

/// A key of a `Configuration` resource.
pub struct KnownKey {
    /// Name in the form `group.key`.
    pub key: &'static str,
    /// Description shown to operators.
    pub description: &'static str,
    /// Unit and range of the value, and the field that holds it.
    pub unit: Unit,
}

/// Unit and range of a key.
pub enum Unit {
    /// A duration with units, for example `30s` or `1m 30s`.
    Duration {
        /// Smallest accepted value.
        min: Duration,
        /// Largest accepted value.
        max: Duration,
        /// Accessor of the field that holds the value.
        field: fn(&mut Settings) -> &mut Duration,
    },
    /// A whole number.
    Count {
        /// Smallest accepted value.
        min: u32,
        /// Largest accepted value.
        max: u32,
        /// Accessor of the field that holds the value.
        field: fn(&mut Settings) -> &mut u32,
    },
    /// A whole number of percent, written without the percent sign.
    Percent {
        /// Largest accepted value. The smallest is 0.
        max: u32,
        /// Accessor of the field that holds the value.
        field: fn(&mut Settings) -> &mut u32,
    },
}

/// Every key that a `Configuration` may set, in order of name.
pub const KNOWN_KEYS: &[KnownKey] = &[
    KnownKey {
        key: "admission.maxOpenCalls",
        description: "maximum number of waiting or open calls per partition; further calls are refused",
        unit: Unit::Count {
            min: 1,
            max: 1_000_000,
            field: |settings| &mut settings.max_open_calls,
        },
    },
    KnownKey {
        key: "call.earlierCallWait",
        description: "maximum time that a call waits for an earlier call of its run to arrive",
        unit: Unit::Duration {
            min: Duration::from_millis(100),
            max: Duration::from_secs(60),
            field: |settings| &mut settings.earlier_call_wait,
        },
    },
    KnownKey {
        key: "call.maxAttempts",
        description: "maximum number of attempts per call, including the first; a call that may have run is retried only if it is repeatable",
        unit: Unit::Count {
            min: 1,
            max: 10,
            field: |settings| &mut settings.max_attempts,
        },
    },
    KnownKey {
        key: "call.modelTimeout",
        description: "timeout of one attempt of a model call",
        unit: Unit::Duration {
            min: Duration::from_secs(1),
            max: Duration::from_secs(3_600),
            field: |settings| &mut settings.model_call_timeout,
        },
    },
    KnownKey {
        key: "control.snapshotInterval",
        description: "number of control records between two snapshots",
        unit: Unit::Count {
            min: 64,
            max: 1_000_000,
            field: |settings| &mut settings.snapshot_interval,
        },
    },
    KnownKey {
        key: "engine.silentAfter",
        description: "time without an answer after which an engine receives no new work",
        unit: Unit::Duration {
            min: Duration::from_millis(500),
            max: Duration::from_secs(10),
            field: |settings| &mut settings.engine_silent_after,
        },
    },
    KnownKey {
        key: "retry.budgetPercent",
        description: "maximum number of retries, in percent of first attempts",
        unit: Unit::Percent {
            max: 100,
            field: |settings| &mut settings.retry_budget_percent,
        },
    },
];

/// Returns the key with the given name.
pub fn known_key(key: &str) -> Option<&'static KnownKey> {
    KNOWN_KEYS.iter().find(|known| known.key == key)
}
