//! Setup of logging with `log` and `env_logger`, as text or as JSON lines.

use std::io::Write;

use env_logger::fmt::Formatter;
use log::kv::{Key, Value, VisitSource};
use log::{LevelFilter, Record};
use serde::Deserialize;

/// Format of log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogFormat {
    /// Human-readable text.
    #[default]
    Text,
    /// One JSON object per line.
    Json,
}

/// The optional `logging` table in the settings of every process.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LoggingSettings {
    /// Format of log lines.
    pub format: LogFormat,
}

/// Initializes logging to standard error. The default level is `info` and can be changed with the
/// environment variable `RUST_LOG`. Has no effect if logging is already initialized.
pub fn init_logging(format: LogFormat) {
    init(format, env_logger::Target::Stderr);
}

/// Initializes logging like [`init_logging`], but writes to `output`, one `write` call per line.
pub fn init_logging_to(format: LogFormat, output: Box<dyn Write + Send>) {
    init(format, env_logger::Target::Pipe(output));
}

fn init(format: LogFormat, target: env_logger::Target) {
    let mut builder = env_logger::Builder::new();
    builder.target(target);
    builder.filter_level(LevelFilter::Info);
    builder.parse_default_env();
    if format == LogFormat::Json {
        builder.format(write_json_line);
    }
    // Fails if logging is already initialized, for example in a process that runs several components.
    let _ = builder.try_init();
}

fn write_json_line(out: &mut Formatter, record: &Record<'_>) -> std::io::Result<()> {
    let mut fields = JsonFields::default();
    fields.insert("time", out.timestamp_millis().to_string());
    fields.insert("level", record.level().as_str());
    fields.insert("target", record.target());
    fields.insert("message", record.args().to_string());
    // The visitor returns no errors, and a line with missing fields is still worth writing.
    let _ = record.key_values().visit(&mut fields);
    serde_json::to_writer(&mut *out, &fields.0)?;
    writeln!(out)
}

/// Collects the key-value pairs of a log record into a JSON object.
#[derive(Default)]
struct JsonFields(serde_json::Map<String, serde_json::Value>);

impl JsonFields {
    fn insert(&mut self, key: &str, value: impl Into<serde_json::Value>) {
        self.0.insert(key.to_owned(), value.into());
    }
}

impl<'kvs> VisitSource<'kvs> for JsonFields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), log::kv::Error> {
        let value = serde_json::to_value(&value).unwrap_or_else(|_| value.to_string().into());
        self.insert(key.as_str(), value);
        Ok(())
    }
}
