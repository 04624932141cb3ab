//! Plain-text tables of resources.

use comfy_table::{Table, presets};
use elderworks_control::api::Collection;
use elderworks_control::manifest::Document;
use elderworks_types::resource::Kind;
use serde_json::Value;

/// Heading of a column and JSON pointer to its value in a document.
type Column = (&'static str, &'static str);

const PROGRAM_COLUMNS: &[Column] = &[
    ("SERVICES", "/spec/services"),
    ("BUDGET", "/spec/budget"),
    ("RUN BUDGET", "/spec/runBudget"),
    ("TURNS", "/spec/maxTurns"),
    ("DURATION", "/spec/maxDuration"),
    ("PRIORITY", "/spec/priority"),
];

const SERVICE_COLUMNS: &[Column] = &[
    ("MODEL", "/spec/model/model"),
    ("ENGINES", "/spec/model/engines"),
    ("TOOL", "/spec/tool/tool"),
    ("URL", "/spec/tool/url"),
    ("TIMEOUT", "/spec/tool/timeout"),
];

const BUDGET_COLUMNS: &[Column] = &[("TENANT", "/spec/tenant"), ("LIMIT", "/spec/limit")];

const CONFIGURATION_COLUMNS: &[Column] = &[("VALUES", "/spec/values")];

const RUN_COLUMNS: &[Column] = &[
    ("PHASE", "/status/phase"),
    ("PROGRAM", "/status/program"),
    ("TENANT", "/status/tenant"),
    ("SPENT", "/status/spent"),
    ("BUDGET", "/status/budget"),
    ("CALLS", "/status/callCount"),
];

const NODE_COLUMNS: &[Column] = &[
    ("STATE", "/status/state"),
    ("ZONE", "/status/zone"),
    ("ADDRESS", "/status/address"),
    ("INCARNATION", "/status/incarnation"),
];

const ENGINE_COLUMNS: &[Column] = &[
    ("STATE", "/status/state"),
    ("ZONE", "/status/zone"),
    ("MODELS", "/status/models"),
    ("URL", "/status/url"),
];

fn columns(collection: Collection) -> &'static [Column] {
    match collection {
        Collection::Writable(Kind::Program) => PROGRAM_COLUMNS,
        Collection::Writable(Kind::Service) => SERVICE_COLUMNS,
        Collection::Writable(Kind::Budget) => BUDGET_COLUMNS,
        Collection::Writable(Kind::Configuration) => CONFIGURATION_COLUMNS,
        Collection::Runs => RUN_COLUMNS,
        Collection::Nodes => NODE_COLUMNS,
        Collection::Engines => ENGINE_COLUMNS,
    }
}

/// Formats documents as a table with one row each.
pub(super) fn documents(collection: Collection, documents: &[Document]) -> String {
    if documents.is_empty() {
        return format!("no {collection}");
    }
    let columns = columns(collection);
    let has_revision = matches!(collection, Collection::Writable(_));
    let mut headings = vec!["NAME"];
    headings.extend(has_revision.then_some("REVISION"));
    headings.extend(columns.iter().map(|(heading, _)| *heading));
    let rows = documents.iter().map(|document| {
        let mut row = vec![document.metadata.name.clone()];
        let revision = document.metadata.revision;
        row.extend(has_revision.then(|| revision.unwrap_or_default().to_string()));
        row.extend(columns.iter().map(|(_, pointer)| cell(document, pointer)));
        row
    });
    render(&headings, rows)
}

/// Formats a table without borders.
pub(super) fn render(headings: &[&str], rows: impl Iterator<Item = Vec<String>>) -> String {
    let mut table = Table::new();
    table.load_preset(presets::NOTHING);
    table.set_header(headings.iter().copied());
    for row in rows {
        table.add_row(row);
    }
    let text = table.to_string();
    let lines = text.lines().map(|line| line.trim().to_owned());
    lines.collect::<Vec<_>>().join("\n")
}

/// Returns the value at `/spec/...` or `/status/...` as text, or `-` if there is none.
fn cell(document: &Document, pointer: &str) -> String {
    let in_spec = pointer.strip_prefix("/spec");
    let in_status = pointer.strip_prefix("/status");
    let value = match (in_spec, in_status) {
        (Some(rest), _) => document.spec.as_ref().and_then(|spec| spec.pointer(rest)),
        (None, Some(rest)) => document
            .status
            .as_ref()
            .and_then(|status| status.pointer(rest)),
        (None, None) => None,
    };
    value.map_or_else(|| "-".to_owned(), text)
}

fn text(value: &Value) -> String {
    match value {
        Value::Null => "-".to_owned(),
        Value::String(text) => text.clone(),
        Value::Array(items) => items.iter().map(text).collect::<Vec<_>>().join(","),
        Value::Object(fields) => match fields.get("id") {
            Some(id) => text(id),
            None => fields
                .iter()
                .map(|(key, value)| format!("{key}={}", text(value)))
                .collect::<Vec<_>>()
                .join(","),
        },
        other => other.to_string(),
    }
}
