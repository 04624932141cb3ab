//! Timestamps and amounts.

use std::fmt;
use std::ops::{Add, AddAssign, Sub};
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// A time read from a process's clock, in microseconds since the Unix epoch or since the start of a
/// simulation. Clocks of different processes may differ, so correctness must not depend on comparing
/// their timestamps.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Timestamp(pub u64);

impl Timestamp {
    /// Returns the time elapsed since `earlier`, or zero if `earlier` is later than `self`.
    pub fn since(self, earlier: Timestamp) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Timestamp {
    type Output = Timestamp;

    fn add(self, duration: Duration) -> Timestamp {
        let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        Timestamp(self.0.saturating_add(micros))
    }
}

impl Sub<Duration> for Timestamp {
    type Output = Timestamp;

    fn sub(self, duration: Duration) -> Timestamp {
        let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        Timestamp(self.0.saturating_sub(micros))
    }
}

macro_rules! amount_type {
    ($(#[$doc:meta])* $name:ident, $unit:literal) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl $name {
            /// The zero amount.
            pub const ZERO: Self = Self(0);

            /// Returns the difference, or zero if `other` is larger.
            #[must_use]
            pub fn saturating_sub(self, other: Self) -> Self {
                Self(self.0.saturating_sub(other.0))
            }

            /// Returns the difference, or `None` if `other` is larger.
            #[must_use]
            pub fn checked_sub(self, other: Self) -> Option<Self> {
                self.0.checked_sub(other.0).map(Self)
            }
        }

        impl Add for $name {
            type Output = Self;

            fn add(self, other: Self) -> Self {
                Self(self.0.saturating_add(other.0))
            }
        }

        impl AddAssign for $name {
            fn add_assign(&mut self, other: Self) {
                *self = *self + other;
            }
        }

        impl Sub for $name {
            type Output = Self;

            /// # Panics
            /// Panics if `other` is larger, which means that the caller's accounting is inconsistent.
            fn sub(self, other: Self) -> Self {
                Self(self.0.checked_sub(other.0).expect("amount must not become negative"))
            }
        }

        impl std::iter::Sum for $name {
            fn sum<I: Iterator<Item = Self>>(amounts: I) -> Self {
                amounts.fold(Self::ZERO, |total, amount| total + amount)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(formatter, concat!("{} ", $unit), self.0)
            }
        }
    };
}

amount_type!(
    /// The unit of budgets and prices. Services are priced in whole credits per token or per
    /// invocation, so that sums are exact.
    Credits,
    "credits"
);
amount_type!(
    /// Model tokens.
    Tokens,
    "tokens"
);
