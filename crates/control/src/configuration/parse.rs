//! Parsing and formatting of configuration values.

use std::time::Duration;

use super::{KnownKey, Settings, Unit};

/// Parses `value` and stores it in the key's field.
///
/// # Errors
///
/// Returns a description of the expected format or range.
pub(super) fn set(settings: &mut Settings, known: &KnownKey, value: &str) -> Result<(), String> {
    match known.unit {
        Unit::Duration { min, max, field } => {
            *field(settings) = parse_duration(value, min, max)?;
        }
        Unit::Count { min, max, field } => {
            *field(settings) = parse_number(value, min, max, "a whole number")?;
        }
        Unit::Percent { max, field } => {
            *field(settings) = parse_number(value, 0, max, "a whole number of percent")?;
        }
    }
    Ok(())
}

/// Formats the current value of a key.
pub(super) fn format(settings: &Settings, known: &KnownKey) -> String {
    let mut settings = settings.clone();
    match known.unit {
        Unit::Duration { field, .. } => {
            humantime::format_duration(*field(&mut settings)).to_string()
        }
        Unit::Count { field, .. } | Unit::Percent { field, .. } => field(&mut settings).to_string(),
    }
}

fn parse_duration(value: &str, min: Duration, max: Duration) -> Result<Duration, String> {
    let duration = humantime::parse_duration(value)
        .map_err(|_| format!("expected a duration such as 30s or 500ms, found {value:?}"))?;
    if duration < min || duration > max {
        let min = humantime::format_duration(min);
        let max = humantime::format_duration(max);
        return Err(format!("expected {min} to {max}, found {value}"));
    }
    Ok(duration)
}

fn parse_number(value: &str, min: u32, max: u32, expected: &str) -> Result<u32, String> {
    let number: u32 = value
        .parse()
        .map_err(|_| format!("expected {expected} from {min} to {max}, found {value:?}"))?;
    if number < min || number > max {
        return Err(format!("expected {min} to {max}, found {value}"));
    }
    Ok(number)
}
