//! The table of known keys.

use std::time::Duration;

use super::Settings;

/// One key of a `Configuration` resource.
pub struct KnownKey {
    /// Its name, `group.key`.
    pub key: &'static str,
    /// What it decides.
    pub description: &'static str,
    /// Unit, range and where the value is kept.
    pub unit: Unit,
}

/// Unit and range of a key.
pub enum Unit {
    /// Written as a number with its unit, for example `30s` or `1m 30s`.
    Duration {
        /// Smallest.
        min: Duration,
        /// Largest.
        max: Duration,
        /// The field.
        field: fn(&mut Settings) -> &mut Duration,
    },
    /// A whole number.
    Count {
        /// Smallest.
        min: u32,
        /// Largest.
        max: u32,
        /// The field.
        field: fn(&mut Settings) -> &mut u32,
    },
    /// A whole number of percent, written without a sign.
    Percent {
        /// Largest; the smallest is 0.
        max: u32,
        /// The field.
        field: fn(&mut Settings) -> &mut u32,
    },
}

/// Every key that a `Configuration` may set, in order of name.
pub const KNOWN_KEYS: &[KnownKey] = &[
    KnownKey {
        key: "admission.maxOpenCalls",
        description: "calls that may be waiting or open in one partition; more are refused",
        unit: Unit::Count {
            min: 1,
            max: 1_000_000,
            field: |settings| &mut settings.max_open_calls,
        },
    },
    KnownKey {
        key: "call.earlierCallWait",
        description: "longest time that a call waits for an earlier one of its run to arrive",
        unit: Unit::Duration {
            min: Duration::from_millis(100),
            max: Duration::from_secs(60),
            field: |settings| &mut settings.earlier_call_wait,
        },
    },
    KnownKey {
        key: "call.maxAttempts",
        description: "attempts of one call, the first included; only repeatable calls get more than one",
        unit: Unit::Count {
            min: 1,
            max: 10,
            field: |settings| &mut settings.max_attempts,
        },
    },
    KnownKey {
        key: "call.modelTimeout",
        description: "longest time for one attempt of a model call",
        unit: Unit::Duration {
            min: Duration::from_secs(1),
            max: Duration::from_secs(3_600),
            field: |settings| &mut settings.model_call_timeout,
        },
    },
    KnownKey {
        key: "control.snapshotInterval",
        description: "records of the control stream between two snapshots",
        unit: Unit::Count {
            min: 64,
            max: 1_000_000,
            field: |settings| &mut settings.snapshot_interval,
        },
    },
    KnownKey {
        key: "engine.silentAfter",
        description: "an engine that has not answered for this long gets no new work",
        unit: Unit::Duration {
            min: Duration::from_millis(500),
            max: Duration::from_secs(10),
            field: |settings| &mut settings.engine_silent_after,
        },
    },
    KnownKey {
        key: "retry.budgetPercent",
        description: "retries allowed in percent of first attempts",
        unit: Unit::Percent {
            max: 100,
            field: |settings| &mut settings.retry_budget_percent,
        },
    },
];

/// Finds a key by its exact name.
pub fn known_key(key: &str) -> Option<&'static KnownKey> {
    KNOWN_KEYS.iter().find(|known| known.key == key)
}
