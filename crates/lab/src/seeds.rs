//! Parsing of seed ranges on the command line.

use std::ops::Range;
use std::str::FromStr;

/// A range of seeds `A..B`; `B` is excluded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SeedRange(pub Range<u64>);

/// Error for a string that is not `A..B` with `A` below `B`.
#[derive(Debug, PartialEq, Eq)]
pub struct SeedRangeError;

impl std::fmt::Display for SeedRangeError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("expected seeds as A..B with A below B")
    }
}

impl FromStr for SeedRange {
    type Err = SeedRangeError;

    fn from_str(text: &str) -> Result<Self, SeedRangeError> {
        let (start, end) = text.split_once("..").ok_or(SeedRangeError)?;
        let start = start.parse().map_err(|_| SeedRangeError)?;
        let end = end.parse().map_err(|_| SeedRangeError)?;
        if start < end {
            Ok(Self(start..end))
        } else {
            Err(SeedRangeError)
        }
    }
}
