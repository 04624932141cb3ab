//! Explains one request from the log lines of gateway nodes.
//!
//! Each line is a JSON object after an optional prefix, whose last word is the name of the node.
//! The explanation lists the request's outcome and attempts, the lines that its node logged about
//! dependencies and tried workers during the request, other requests of the same program, and a
//! sentence on the likely cause.

use std::fmt::Write as _;
use std::path::Path;
use std::time::{Duration, SystemTime};

use eyre::{Context, Result, ensure};
use serde_json::{Map, Value};

/// Time before the arrival of the request from which the node's lines are included.
const LOOKBACK: Duration = Duration::from_secs(2);

/// Log messages of a node about its own state and its dependencies.
const DEPENDENCY_MESSAGES: [&str; 10] = [
    "starting",
    "draining",
    "append to the ledger failed",
    "reading the ledger failed",
    "peer did not answer for a partition",
    "use of the overdraft changed",
    "stream cannot be read",
    "stream can be read again",
    "configuration in force",
    "log lines dropped",
];

/// Log messages about a single worker.
const WORKER_MESSAGES: [&str; 6] = [
    "worker changed",
    "worker's entry is gone",
    "worker is not listed any more",
    "worker ejected after failures",
    "worker ejected on the word of other nodes",
    "another node has ejected a worker",
];

/// Maximum number of lines about dependencies in an explanation.
const MAX_DEPENDENCY_LINES: usize = 12;

/// Parsed log line of a node.
#[derive(Clone, Debug)]
struct LogLine {
    time: SystemTime,
    node: String,
    fields: Map<String, Value>,
}

impl LogLine {
    /// Parses a line; returns `None` if it is not a log line of a node.
    fn parse(text: &str) -> Option<Self> {
        let brace = text.find('{')?;
        let fields: Map<String, Value> = serde_json::from_str(&text[brace..]).ok()?;
        let time = humantime::parse_rfc3339(fields.get("time")?.as_str()?).ok()?;
        let node = text[..brace].split_whitespace().last();
        Some(Self {
            time,
            node: node.unwrap_or_default().to_owned(),
            fields,
        })
    }

    fn text(&self, key: &str) -> &str {
        let value = self.fields.get(key).and_then(Value::as_str);
        value.unwrap_or_default()
    }

    fn number(&self, key: &str) -> i64 {
        let value = self.fields.get(key).and_then(Value::as_i64);
        value.unwrap_or(-1)
    }

    fn message(&self) -> &str {
        self.text("message")
    }

    /// Returns whether the line reports the completion of a request.
    fn is_completion(&self) -> bool {
        self.fields.contains_key("status")
    }

    /// Formats the fields other than those that every line has.
    fn details(&self) -> String {
        let common = ["level", "message", "target", "time"];
        let details = self.fields.iter();
        let details = details.filter(|(key, _)| !common.contains(&key.as_str()));
        let formatted = details.map(|(key, value)| match value {
            Value::String(text) => format!("{key}={text}"),
            value => format!("{key}={value}"),
        });
        formatted.collect::<Vec<_>>().join(" ")
    }
}

/// Explains a request from the log files of one or more nodes.
///
/// # Errors
///
/// Fails if a file cannot be read or no line mentions the request.
pub fn explain(id: &str, files: &[impl AsRef<Path>]) -> Result<String> {
    let mut text = String::new();
    for file in files {
        let file = file.as_ref();
        let bytes = std::fs::read(file)
            .wrap_err_with(|| format!("cannot read the log file {}", file.display()))?;
        text.push_str(&String::from_utf8_lossy(&bytes));
        text.push('\n');
    }
    explain_text(id, &text)
}

/// Explains a request from the text of log files.
///
/// # Errors
///
/// Fails if no line mentions the request.
pub fn explain_text(id: &str, text: &str) -> Result<String> {
    let mut lines: Vec<LogLine> = text.lines().filter_map(LogLine::parse).collect();
    lines.sort_by_key(|line| line.time);
    let completions = lines.iter().filter(|line| line.is_completion());
    let completion = completions.clone().find(|line| line.text("request") == id);
    ensure!(
        completion.is_some() || lines.iter().any(|line| line.text("request") == id),
        "no log line mentions request {id}: it did not reach any of these nodes, or its lines were \
         lost with a machine"
    );
    let Some(completion) = completion else {
        return Ok(format!(
            "request {id} has no end line: its node was lost, or is still processing it\n"
        ));
    };
    let mut report = String::new();
    write_completion(&mut report, completion);
    write_attempts(&mut report, &lines, id);
    let node_lines = relevant_node_lines(&lines, completion);
    write_dependencies(&mut report, &node_lines);
    write_program(
        &mut report,
        completions.filter(|line| is_of_program(line, completion)),
        id,
    );
    writeln!(report, "cause: {}", cause(completion, &node_lines))?;
    Ok(report)
}

fn write_completion(report: &mut String, completion: &LogLine) {
    let took = completion.number("ms");
    let _ = writeln!(
        report,
        "request {} at {}: status {}, {} after {took} ms",
        completion.text("request"),
        completion.node,
        completion.number("status"),
        completion.message(),
    );
    let steps = [
        ("permit to run after", "leave_ms"),
        ("first event after", "first_ms"),
    ];
    for (step, key) in steps {
        match completion.number(key) {
            -1 => {}
            time => {
                let _ = writeln!(report, "  {step} {time} ms");
            }
        }
    }
    let _ = writeln!(
        report,
        "  route {}, configuration {}, workers [{}], program {} with {} ms left",
        completion.text("route"),
        completion.number("config"),
        completion.text("workers"),
        completion.text("program"),
        completion.number("finish_ms"),
    );
    if !completion.text("tenant").is_empty() {
        let _ = writeln!(
            report,
            "  tenant {}, configuration proved {} ms before",
            completion.text("tenant"),
            completion.number("proof_ms"),
        );
    }
}

fn write_attempts(report: &mut String, lines: &[LogLine], id: &str) {
    let attempts = lines
        .iter()
        .filter(|line| !line.is_completion() && line.text("request") == id);
    for line in attempts {
        let _ = writeln!(report, "  {}: {}", line.message(), line.details());
    }
}

/// Returns the lines that the request's node logged, shortly before and during the request, about
/// its dependencies and the workers that it tried.
fn relevant_node_lines<'a>(lines: &'a [LogLine], completion: &LogLine) -> Vec<&'a LogLine> {
    let took = Duration::from_millis(u64::try_from(completion.number("ms")).unwrap_or(0));
    let from = completion.time - took - LOOKBACK;
    let tried: Vec<&str> = completion.text("workers").split(',').collect();
    let is_relevant = |line: &LogLine| {
        let message = line.message();
        let is_of_tried_worker =
            WORKER_MESSAGES.contains(&message) && tried.contains(&line.text("worker"));
        DEPENDENCY_MESSAGES.contains(&message) || is_of_tried_worker
    };
    lines
        .iter()
        .filter(|line| {
            line.node == completion.node && (from..=completion.time).contains(&line.time)
        })
        .filter(|line| is_relevant(line))
        .collect()
}

fn write_dependencies(report: &mut String, node_lines: &[&LogLine]) {
    if node_lines.is_empty() {
        return;
    }
    let _ = writeln!(
        report,
        "its node from two seconds before the request until its end:"
    );
    for line in node_lines.iter().take(MAX_DEPENDENCY_LINES) {
        let _ = writeln!(report, "  {}: {}", line.message(), line.details());
    }
    if node_lines.len() > MAX_DEPENDENCY_LINES {
        let _ = writeln!(
            report,
            "  and {} more lines",
            node_lines.len() - MAX_DEPENDENCY_LINES
        );
    }
}

fn is_of_program(line: &LogLine, completion: &LogLine) -> bool {
    !completion.text("program").is_empty() && line.text("program") == completion.text("program")
}

fn write_program<'a>(report: &mut String, requests: impl Iterator<Item = &'a LogLine>, id: &str) {
    let others: Vec<&LogLine> = requests.filter(|line| line.text("request") != id).collect();
    if others.is_empty() {
        return;
    }
    let _ = writeln!(report, "other requests of its program:");
    for line in others {
        let _ = writeln!(
            report,
            "  {} at {}: status {}, {} after {} ms",
            line.text("request"),
            line.node,
            line.number("status"),
            line.message(),
            line.number("ms"),
        );
    }
}

/// Returns a sentence on the likely cause, derived from the outcome and the node's other lines.
fn cause(completion: &LogLine, node_lines: &[&LogLine]) -> String {
    let logged = |message: &str| node_lines.iter().any(|line| line.message() == message);
    let outcome = completion.message();
    match outcome {
        "answered" if completion.number("status") < 400 => "none: it was answered".to_owned(),
        "answered" => "the worker's own answer".to_owned(),
        "no configuration is known yet" => {
            "the node had just started or cannot read the log".to_owned()
        }
        "the program's ledger cannot be asked now"
        | "the program's ledger has not answered in time" => no_permit_cause(&logged),
        "the log answers nobody now" => {
            "the platform's store was silent for all nodes and the turn's end could not be made \
             durable; look for `the log is silent`"
                .to_owned()
        }
        "another node has yet to settle the program's budget" => {
            "whether the budget covers the turn depends on tokens that another owner has reserved \
             for the program; that reservation is settled within seconds, or is lost"
                .to_owned()
        }
        "a lost node may have spent the program's budget" => {
            "an owner that is gone may have let turns run on its overdraft; look for `witness asked` \
             on the present owner"
                .to_owned()
        }
        "no worker takes the request now" => {
            "every worker tried refused it; the attempts say why, none at all means that none was \
             listed"
                .to_owned()
        }
        "no worker gave a valid answer; the request may have run" => {
            "an attempt broke off after it was sent, and no other worker was left; the attempts say \
             which"
                .to_owned()
        }
        "no such route" => {
            "the configuration of that version has no such route, and was the newest one a moment \
             before"
                .to_owned()
        }
        "no such route is known here, and it may be new: the configuration is too old to tell" => {
            "the node had not read the configuration for too long (config_read_ms) to refuse the \
             route for good"
                .to_owned()
        }
        "the program's budget is spent" => {
            "the tokens that completed turns generated and those reserved leave too little of the \
             budget; look for nodes of the program that were lost"
                .to_owned()
        }
        "the request bears no valid key" => {
            "the configuration of that version knows no such key, and was the newest one a moment \
             before; look for its `configuration in force`"
                .to_owned()
        }
        "the key is not known here, and may be new" => {
            "the node had not read the configuration for too long to refuse the key for good"
                .to_owned()
        }
        "the key may have been taken away: the configuration here is too old to tell" => {
            unproven_key_cause(&logged)
        }
        "the tenant's quota is used up" => {
            "the tenant has sent as much as its quota holds, by the usage that the nodes report to \
             each other"
                .to_owned()
        }
        "caller left" | "caller lost" => "the caller's side closed first".to_owned(),
        _ => format!("no explanation is known for this outcome: {outcome}"),
    }
}

fn unproven_key_cause(logged: &impl Fn(&str) -> bool) -> String {
    let unproven = "neither this node nor one that it asked could show that its configuration is the \
                 newest";
    if logged("stream cannot be read") {
        format!("{unproven}; the log did not answer this node")
    } else {
        unproven.to_owned()
    }
}

fn no_permit_cause(logged: &impl Fn(&str) -> bool) -> String {
    let log_failed = logged("append to the ledger failed") || logged("reading the ledger failed");
    if log_failed && logged("peer did not answer for a partition") {
        "the owner of the program's partition did not answer, and the log neither".to_owned()
    } else if log_failed {
        "the log did not answer this node, and no overdraft covered the turn".to_owned()
    } else if logged("peer did not answer for a partition") {
        "the owner of the program's partition did not answer".to_owned()
    } else {
        "the owner of the program's partition refused: look in its log for the ledger and the \
         overdraft"
            .to_owned()
    }
}
