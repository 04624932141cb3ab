//! Explains one request from the log lines of gateways, as OPERATIONS does by hand.
//!
//! Lines are JSON objects; whatever stands before the brace (a time, a machine's name) is taken for
//! the node's name. What touches the request is told in order, with what its node believed of its
//! dependencies meanwhile, and a sentence on the cause.

use std::fmt::Write as _;
use std::path::Path;
use std::time::{Duration, SystemTime};

use eyre::{Context, Result, ensure};
use serde_json::{Map, Value};

/// Lines of the node are told from this long before the request came.
const BEFORE: Duration = Duration::from_secs(2);

/// Messages of a node about what it depends on.
const DEPENDENCIES: [&str; 10] = [
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

/// Messages about one worker.
const WORKERS: [&str; 6] = [
    "worker changed",
    "worker's entry is gone",
    "worker is not listed any more",
    "worker ejected after failures",
    "worker ejected on the word of other nodes",
    "another node has ejected a worker",
];

/// Most lines about dependencies that are told.
const MOST_TOLD: usize = 12;

/// One line of a node.
#[derive(Clone, Debug)]
struct LogLine {
    time: SystemTime,
    node: String,
    fields: Map<String, Value>,
}

impl LogLine {
    /// `None` for what is no line of ours.
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

    /// Whether it tells the end of a request.
    fn is_end(&self) -> bool {
        self.fields.contains_key("status")
    }

    /// The fields apart from those that every line has.
    fn details(&self) -> String {
        let common = ["level", "message", "target", "time"];
        let details = self.fields.iter();
        let details = details.filter(|(key, _)| !common.contains(&key.as_str()));
        let told = details.map(|(key, value)| match value {
            Value::String(text) => format!("{key}={text}"),
            value => format!("{key}={value}"),
        });
        told.collect::<Vec<_>>().join(" ")
    }
}

/// Explains a request from the files of one or more nodes.
pub fn explain(id: &str, files: &[impl AsRef<Path>]) -> Result<String> {
    let mut text = String::new();
    for file in files {
        let file = file.as_ref();
        let bytes = std::fs::read(file)
            .wrap_err_with(|| format!("cannot read the log {}", file.display()))?;
        text.push_str(&String::from_utf8_lossy(&bytes));
        text.push('\n');
    }
    explain_text(id, &text)
}

/// Explains a request from log lines.
pub fn explain_text(id: &str, text: &str) -> Result<String> {
    let mut lines: Vec<LogLine> = text.lines().filter_map(LogLine::parse).collect();
    lines.sort_by_key(|line| line.time);
    let ends = lines.iter().filter(|line| line.is_end());
    let end = ends.clone().find(|line| line.text("request") == id);
    ensure!(
        end.is_some() || lines.iter().any(|line| line.text("request") == id),
        "no line tells of request {id}: it never reached one of these nodes, or its line was lost \
         with the machine"
    );
    let Some(end) = end else {
        return Ok(format!(
            "request {id} has no end line: its node was lost, or still has it\n"
        ));
    };
    let mut told = String::new();
    tell_end(&mut told, end);
    tell_attempts(&mut told, &lines, id);
    let around = dependencies_around(&lines, end);
    tell_dependencies(&mut told, &around);
    tell_program(&mut told, ends.filter(|line| is_of_program(line, end)), id);
    writeln!(told, "cause: {}", cause(end, &around))?;
    Ok(told)
}

fn tell_end(told: &mut String, end: &LogLine) {
    let took = end.number("ms");
    let _ = writeln!(
        told,
        "request {} at {}: status {}, {} after {took} ms",
        end.text("request"),
        end.node,
        end.number("status"),
        end.message(),
    );
    let steps = [
        ("leave after", "leave_ms"),
        ("first event after", "first_ms"),
    ];
    for (step, key) in steps {
        match end.number(key) {
            -1 => {}
            time => {
                let _ = writeln!(told, "  {step} {time} ms");
            }
        }
    }
    let _ = writeln!(
        told,
        "  route {}, configuration {}, workers [{}], program {} with {} ms left",
        end.text("route"),
        end.number("config"),
        end.text("workers"),
        end.text("program"),
        end.number("finish_ms"),
    );
    if !end.text("tenant").is_empty() {
        let _ = writeln!(
            told,
            "  tenant {}, configuration proved {} ms before",
            end.text("tenant"),
            end.number("proof_ms"),
        );
    }
}

fn tell_attempts(told: &mut String, lines: &[LogLine], id: &str) {
    let attempts = lines
        .iter()
        .filter(|line| !line.is_end() && line.text("request") == id);
    for line in attempts {
        let _ = writeln!(told, "  {}: {}", line.message(), line.details());
    }
}

/// What the request's node believed of its dependencies, and of the workers it tried.
fn dependencies_around<'a>(lines: &'a [LogLine], end: &LogLine) -> Vec<&'a LogLine> {
    let took = Duration::from_millis(u64::try_from(end.number("ms")).unwrap_or(0));
    let from = end.time - took - BEFORE;
    let tried: Vec<&str> = end.text("workers").split(',').collect();
    let is_told = |line: &LogLine| {
        let message = line.message();
        let is_of_worker = WORKERS.contains(&message) && tried.contains(&line.text("worker"));
        DEPENDENCIES.contains(&message) || is_of_worker
    };
    lines
        .iter()
        .filter(|line| line.node == end.node && (from..=end.time).contains(&line.time))
        .filter(|line| is_told(line))
        .collect()
}

fn tell_dependencies(told: &mut String, around: &[&LogLine]) {
    if around.is_empty() {
        return;
    }
    let _ = writeln!(told, "its node in the two seconds before and until then:");
    for line in around.iter().take(MOST_TOLD) {
        let _ = writeln!(told, "  {}: {}", line.message(), line.details());
    }
    if around.len() > MOST_TOLD {
        let _ = writeln!(told, "  and {} lines more", around.len() - MOST_TOLD);
    }
}

fn is_of_program(line: &LogLine, end: &LogLine) -> bool {
    !end.text("program").is_empty() && line.text("program") == end.text("program")
}

fn tell_program<'a>(told: &mut String, requests: impl Iterator<Item = &'a LogLine>, id: &str) {
    let others: Vec<&LogLine> = requests.filter(|line| line.text("request") != id).collect();
    if others.is_empty() {
        return;
    }
    let _ = writeln!(told, "other requests of its program:");
    for line in others {
        let _ = writeln!(
            told,
            "  {} at {}: status {}, {} after {} ms",
            line.text("request"),
            line.node,
            line.number("status"),
            line.message(),
            line.number("ms"),
        );
    }
}

/// A sentence on the cause, from the outcome and what the node believed.
fn cause(end: &LogLine, around: &[&LogLine]) -> String {
    let saw = |message: &str| around.iter().any(|line| line.message() == message);
    let outcome = end.message();
    match outcome {
        "answered" if end.number("status") < 400 => "none: it was answered".to_owned(),
        "answered" => "the worker's own answer".to_owned(),
        "no configuration is known yet" => {
            "the node had just started or cannot read the log".to_owned()
        }
        "the program's ledger cannot be asked now"
        | "the program's ledger has not answered in time" => no_leave(&saw),
        "the log answers nobody now" => {
            "the platform's store was silent for all nodes and the turn's end could not be made \
             durable; look for `the log is silent`"
                .to_owned()
        }
        "another node has yet to settle the program's budget" => {
            "what another owner has set aside for the program decides whether the budget holds the \
             turn; it settles within seconds, or is lost"
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
            "what ended turns generated and what is set aside leave no room; look for nodes of the \
             program that were lost"
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
            key_lease_over(&saw)
        }
        "the tenant's quota is used up" => {
            "the tenant has sent as much as its quota holds, as the nodes have told each other"
                .to_owned()
        }
        "caller left" | "caller lost" => "the caller's side closed first".to_owned(),
        _ => format!("as the line says: {outcome}"),
    }
}

fn key_lease_over(saw: &impl Fn(&str) -> bool) -> String {
    let alone = "neither this node nor one that it asked could show that its configuration is the \
                 newest";
    if saw("stream cannot be read") {
        format!("{alone}; the log did not answer this node")
    } else {
        alone.to_owned()
    }
}

fn no_leave(saw: &impl Fn(&str) -> bool) -> String {
    let log_failed = saw("append to the ledger failed") || saw("reading the ledger failed");
    if log_failed && saw("peer did not answer for a partition") {
        "the owner of the program's partition did not answer, and the log neither".to_owned()
    } else if log_failed {
        "the log did not answer this node, and no overdraft covered the turn".to_owned()
    } else if saw("peer did not answer for a partition") {
        "the owner of the program's partition did not answer".to_owned()
    } else {
        "the owner of the program's partition refused: look in its log for the ledger and the \
         overdraft"
            .to_owned()
    }
}
