//! `explain`: describes the calls of a run, or the configuration keys.

use elderworks_control::Settings;
use elderworks_control::api::{AttemptReport, CallReport, Collection, RunReport};
use elderworks_control::configuration::{KNOWN_KEYS, Unit};
use elderworks_types::CallKind;

use super::{ApiClient, OutputFormat, VerbError, table};

/// Fetches a run and formats its state and all of its calls.
///
/// # Errors
///
/// Fails if the run cannot be fetched or its status cannot be parsed.
pub async fn run(client: &ApiClient, id: &str, format: OutputFormat) -> Result<String, VerbError> {
    let document = client.get(Collection::Runs, id).await?;
    let status = document.status.clone().unwrap_or_default();
    let report: RunReport =
        serde_json::from_value(status).map_err(|error| VerbError::Unexpected(error.to_string()))?;
    format.render(&document, |_| format_run(id, &report))
}

/// Formats a run as text: a summary followed by its calls.
pub fn format_run(id: &str, report: &RunReport) -> String {
    let mut lines = vec![
        format!("{id}: {} of tenant {}", report.phase, report.tenant),
        format!(
            "program {}, {} calls, {} messages of history",
            report.program,
            report.calls.len(),
            report.history_messages
        ),
        format!(
            "spent {} of {} credits, {} reserved",
            report.spent, report.budget, report.reserved
        ),
    ];
    if let Some(parent) = &report.parent {
        lines.push(format!("spawned by {parent}"));
    }
    for call in &report.calls {
        lines.push(String::new());
        lines.extend(format_call(call));
    }
    lines.join("\n")
}

fn format_call(call: &CallReport) -> Vec<String> {
    let repeatable = if call.repeatable {
        ""
    } else {
        ", at most once"
    };
    let mut lines = vec![format!(
        "call {}: {} {}{repeatable}: {}",
        call.number,
        kind(call.kind),
        call.target,
        outcome(call)
    )];
    if call.prompt_tokens > 0 {
        lines.push(format!(
            "  tokens: {} prompt ({} from cache), {} generated",
            call.prompt_tokens, call.cached_tokens, call.output_tokens
        ));
    }
    lines.extend(call.attempts.iter().map(format_attempt));
    lines.extend(call.notes.iter().map(|note| format!("  {note}")));
    lines
}

fn outcome(call: &CallReport) -> String {
    let mut text = call.outcome.clone();
    if let Some(reason) = &call.reason {
        text.push_str(&format!(" ({reason})"));
    }
    if let Some(duration) = call.duration_ms {
        text.push_str(&format!(" after {duration} ms"));
    }
    if let Some(delay) = call.retry_after_ms {
        text.push_str(&format!(", ask again after {delay} ms"));
    }
    if call.cost > 0 {
        text.push_str(&format!(", {} credits", call.cost));
    }
    text
}

fn format_attempt(attempt: &AttemptReport) -> String {
    let place = match &attempt.engine {
        Some(engine) => format!("on {engine}"),
        None => "sent".to_owned(),
    };
    let first = match attempt.first_chunk_ms {
        Some(first) => format!(", first answer {first} ms later"),
        None => String::new(),
    };
    format!(
        "  attempt {}: {place} after waiting {} ms{first}",
        attempt.attempt, attempt.waited_ms
    )
}

fn kind(kind: CallKind) -> &'static str {
    match kind {
        CallKind::Model => "model",
        CallKind::Tool => "tool",
    }
}

/// Returns a table of every configuration key with its range, default and meaning.
pub fn configuration() -> String {
    let defaults = Settings::default();
    let rows = KNOWN_KEYS.iter().map(|known| {
        vec![
            known.key.to_owned(),
            range(&known.unit),
            defaults.value(known),
            known.description.to_owned(),
        ]
    });
    table::render(&["KEY", "RANGE", "DEFAULT", "MEANING"], rows)
}

fn range(unit: &Unit) -> String {
    match unit {
        Unit::Duration { min, max, .. } => format!("{min:?} to {max:?}"),
        Unit::Count { min, max, .. } => format!("{min} to {max}"),
        Unit::Percent { max, .. } => format!("0 to {max} percent"),
    }
}
