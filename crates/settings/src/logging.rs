//! Logging by `log` and `env_logger`, as text or as one JSON object per line.

use std::io::Write;

use env_logger::fmt::Formatter;
use log::kv::{Key, Value, VisitSource};
use log::{LevelFilter, Record};
use serde::Deserialize;

/// Form of a log line.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogFormat {
    /// For people.
    #[default]
    Text,
    /// One JSON object per line.
    Json,
}

/// The `logging` table of any process.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LoggingSettings {
    /// Form of the lines.
    pub format: LogFormat,
}

/// Sends log lines to standard error. The level is `info`, or what `RUST_LOG` says. A second call
/// in one process changes nothing.
pub fn init_logging(format: LogFormat) {
    init(format, env_logger::Target::Stderr);
}

/// Like [`init_logging`], with the lines sent to `output`. Each line is one call of `write`.
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
    // A process that embeds several parts sets its logger up once; later calls are harmless.
    let _ = builder.try_init();
}

fn write_json_line(out: &mut Formatter, record: &Record<'_>) -> std::io::Result<()> {
    let mut fields = JsonFields::default();
    fields.insert("time", out.timestamp_millis().to_string());
    fields.insert("level", record.level().as_str());
    fields.insert("target", record.target());
    fields.insert("message", record.args().to_string());
    // Collecting into a map cannot fail; a line with fewer fields is better than none.
    let _ = record.key_values().visit(&mut fields);
    serde_json::to_writer(&mut *out, &fields.0)?;
    writeln!(out)
}

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
