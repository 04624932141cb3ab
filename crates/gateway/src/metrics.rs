//! Counters and histograms of a gateway, in the usual text form.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::time::Duration;

use elderworks_gateway_core::log_call_purpose::LogCallPurpose;
use elderworks_gateway_core::log_streams::Stream;
use elderworks_gateway_core::pressure::BufferKind;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;

use crate::cross_zone_bytes::FarBytes;
use crate::reply::Refusal;

/// Label of answered requests.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub(crate) struct AnswerLabel {
    /// Status of the answer; 0 if the connection was closed without one.
    pub(crate) status: u16,
}

/// Label of calls to the platform's log.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub(crate) struct LogCallLabel {
    /// What was called.
    pub(crate) call: &'static str,
    /// How it ended.
    pub(crate) outcome: &'static str,
}

/// Label of answers of the gateway's own.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub(crate) struct RefusalLabel {
    /// Whether the answer promises that the request was not run, or leaves that open.
    pub(crate) not_run: &'static str,
    /// Why it was given.
    pub(crate) reason: &'static str,
}

/// Label of turns that have waited for a silent log.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub(crate) struct OutageWaitLabel {
    /// How the wait ended.
    pub(crate) end: &'static str,
}

/// Label of memory by what it is held for.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub(crate) struct HeldLabel {
    /// What.
    pub(crate) kind: &'static str,
}

/// Label of streams that were ended since their caller read nothing.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub(crate) struct StalledCallerLabel {
    /// What did not allow to wait longer.
    pub(crate) reason: &'static str,
}

/// Label of turns sent to engines.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub(crate) struct PlacementLabel {
    /// Whether the engine is home to the first part of the prompt.
    pub(crate) engine: &'static str,
}

/// Label of calls to engines for what they keep.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub(crate) struct EngineReadLabel {
    /// What was called.
    pub(crate) call: &'static str,
    /// How it ended.
    pub(crate) outcome: &'static str,
}

/// Label of requests refused for their tenant's quota.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub(crate) struct QuotaRefusalLabel {
    /// What the refusal rests on.
    pub(crate) basis: &'static str,
    /// Whether room was left to programs that have begun.
    pub(crate) held_back: &'static str,
}

/// Label of questions to lessors of quotas.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub(crate) struct QuotaGrantLabel {
    /// What came of them.
    pub(crate) outcome: &'static str,
}

/// Label of figures of one tenant.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub(crate) struct TenantLabel {
    /// Its name.
    pub(crate) tenant: String,
}

/// Label of runs that ended with their stream.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub(crate) struct RunEndLabel {
    /// Why they did not go on.
    pub(crate) reason: &'static str,
}

/// Label of the steps of a start.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub(crate) struct StepLabel {
    /// Which step.
    pub(crate) step: &'static str,
}

/// Why a turn was refused that asked for a place at an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AdmissionRefusal {
    /// What goes first takes longer than the turn can wait.
    NoPlaceInTime,
    /// This node can hold no more waiting turns.
    QueueFull,
    /// A more pressing turn took its place in the queue.
    Displaced,
    /// It got no place in the time that it could wait.
    WaitTimedOut,
}

impl AdmissionRefusal {
    /// For callers, people and logs.
    pub(crate) fn text(self) -> &'static str {
        match self {
            Self::NoPlaceInTime => "no engine will be free in time",
            Self::QueueFull => "no more turns can wait here now",
            Self::Displaced => "a more pressing turn waits in its place",
            Self::WaitTimedOut => "no engine became free in time",
        }
    }
}

/// Label of turns that were refused a place at an engine.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub(crate) struct AdmissionLabel {
    /// Why.
    pub(crate) reason: &'static str,
}

/// Everything that a gateway counts.
#[derive(Debug)]
pub(crate) struct Metrics {
    registry: Registry,
    pub(crate) answers: Family<AnswerLabel, Counter>,
    pub(crate) refusals: Family<RefusalLabel, Counter>,
    pub(crate) request_seconds: Histogram,
    pub(crate) first_event_seconds: Histogram,
    pub(crate) attempts: Counter,
    pub(crate) attempts_failed: Counter,
    pub(crate) streams_resumed: Counter,
    pub(crate) caller_left: Counter,
    pub(crate) worker_connections: Counter,
    pub(crate) placements: Family<PlacementLabel, Counter>,
    engine_reads: Family<EngineReadLabel, Counter>,
    engines_read: Gauge,
    parts_known: Gauge,
    belief_age_ms: Gauge,
    prompt_fetches: Counter,
    prompt_fetched_bytes: Counter,
    pub(crate) ledger_conflicts: Counter,
    pub(crate) ledger_forwarded: Counter,
    pub(crate) overdrafts_activated: Counter,
    pub(crate) log_silences: Counter,
    pub(crate) log_is_silent: Gauge,
    pub(crate) outage_waits: Family<OutageWaitLabel, Counter>,
    pub(crate) log_calls: Family<LogCallLabel, Counter>,
    /// The same for log lines, whatever their outcome.
    log_calls_by_cause: RefCell<BTreeMap<&'static str, u64>>,
    pub(crate) start_ms: Family<StepLabel, Gauge>,
    pub(crate) node_recomputations: Counter,
    pub(crate) in_flight: Gauge,
    pub(crate) workers: Gauge,
    pub(crate) reads_streams: Gauge,
    pub(crate) zones_evacuated: Gauge,
    /// Times that the workers or the nodes of a zone were suspected together.
    pub(crate) zones_suspected: Counter,
    /// How many are now.
    pub(crate) zones_suspected_now: Gauge,
    pub(crate) far_bytes: FarBytes,
    pub(crate) unreadable_entries: Counter,
    pub(crate) config_version: Gauge,
    pub(crate) proofs_told: Counter,
    pub(crate) over_quota: Counter,
    quota_refusals: Family<QuotaRefusalLabel, Counter>,
    quota_grants: Family<QuotaGrantLabel, Counter>,
    pub(crate) quota_used_percent: Family<TenantLabel, Gauge>,
    pub(crate) proof_age_ms: Gauge,
    pub(crate) config_read_age_ms: Gauge,
    held_bytes: Family<HeldLabel, Gauge>,
    pub(crate) held_peak_bytes: Gauge,
    pub(crate) streams_paused: Counter,
    pub(crate) callers_given_up: Family<StalledCallerLabel, Counter>,
    pub(crate) admission_wait_seconds: Histogram,
    pub(crate) admission_waiting: Gauge,
    pub(crate) admission_refusals: Family<AdmissionLabel, Counter>,
    pub(crate) runs_resumed: Counter,
    pub(crate) runs_ended: Family<RunEndLabel, Counter>,
    pub(crate) copies_freed: Counter,
    pub(crate) copy_bytes: Counter,
    pub(crate) backups: Counter,
    pub(crate) backup_bytes: Counter,
}

/// Upper bound of the first bucket in seconds; each further one is twice as large.
const FIRST_BUCKET: f64 = 0.001;

/// Buckets up to about 16 seconds.
const BUCKETS: u16 = 15;

impl Metrics {
    /// Registers everything.
    pub(crate) fn new() -> Self {
        let histogram = || Histogram::new(exponential_buckets(FIRST_BUCKET, 2.0, BUCKETS));
        let mut metrics = Self {
            registry: Registry::with_prefix("elderworks_gateway"),
            answers: Family::default(),
            refusals: Family::default(),
            request_seconds: histogram(),
            first_event_seconds: histogram(),
            attempts: Counter::default(),
            attempts_failed: Counter::default(),
            streams_resumed: Counter::default(),
            caller_left: Counter::default(),
            worker_connections: Counter::default(),
            placements: Family::default(),
            engine_reads: Family::default(),
            engines_read: Gauge::default(),
            parts_known: Gauge::default(),
            belief_age_ms: Gauge::default(),
            prompt_fetches: Counter::default(),
            prompt_fetched_bytes: Counter::default(),
            ledger_conflicts: Counter::default(),
            ledger_forwarded: Counter::default(),
            overdrafts_activated: Counter::default(),
            log_silences: Counter::default(),
            log_is_silent: Gauge::default(),
            outage_waits: Family::default(),
            log_calls: Family::default(),
            log_calls_by_cause: RefCell::default(),
            start_ms: Family::default(),
            node_recomputations: Counter::default(),
            in_flight: Gauge::default(),
            workers: Gauge::default(),
            reads_streams: Gauge::default(),
            zones_evacuated: Gauge::default(),
            zones_suspected: Counter::default(),
            zones_suspected_now: Gauge::default(),
            far_bytes: FarBytes::default(),
            unreadable_entries: Counter::default(),
            config_version: Gauge::default(),
            proofs_told: Counter::default(),
            over_quota: Counter::default(),
            quota_refusals: Family::default(),
            quota_grants: Family::default(),
            quota_used_percent: Family::default(),
            proof_age_ms: Gauge::default(),
            config_read_age_ms: Gauge::default(),
            held_bytes: Family::default(),
            held_peak_bytes: Gauge::default(),
            streams_paused: Counter::default(),
            callers_given_up: Family::default(),
            admission_wait_seconds: histogram(),
            admission_waiting: Gauge::default(),
            admission_refusals: Family::default(),
            runs_resumed: Counter::default(),
            runs_ended: Family::default(),
            copies_freed: Counter::default(),
            copy_bytes: Counter::default(),
            backups: Counter::default(),
            backup_bytes: Counter::default(),
        };
        metrics.register();
        metrics
    }

    /// The text shown to whoever asks.
    pub(crate) fn encode(&self) -> String {
        let mut text = String::new();
        // Writing into a string cannot fail.
        let _ = prometheus_client::encoding::text::encode(&mut text, &self.registry);
        text
    }

    /// Notes that the log is taken to be silent, or no longer.
    pub(crate) fn note_log_silence(&self, is_silent: bool) {
        self.log_is_silent.set(i64::from(is_silent));
        if is_silent {
            self.log_silences.inc();
        }
    }

    /// Counts a turn that has waited for a silent log.
    pub(crate) fn note_outage_wait(&self, is_back: bool) {
        let end = if is_back { "begun" } else { "refused" };
        self.outage_waits
            .get_or_create(&OutageWaitLabel { end })
            .inc();
    }

    /// Counts a request refused for its tenant's quota.
    pub(crate) fn note_quota_refusal(&self, basis: &'static str, is_held_back: bool) {
        let held_back = if is_held_back { "yes" } else { "no" };
        let label = QuotaRefusalLabel { basis, held_back };
        self.quota_refusals.get_or_create(&label).inc();
    }

    /// Counts a question to a lessor of quotas.
    pub(crate) fn note_quota_grant(&self, outcome: &'static str) {
        let label = QuotaGrantLabel { outcome };
        self.quota_grants.get_or_create(&label).inc();
    }

    /// Counts an answer of the gateway's own.
    pub(crate) fn note_refusal(&self, refusal: &Refusal) {
        let label = RefusalLabel {
            not_run: if refusal.guarantees_not_run() {
                "promised"
            } else {
                "open"
            },
            reason: refusal.reason(),
        };
        self.refusals.get_or_create(&label).inc();
    }

    /// The gauge of memory held for something.
    pub(crate) fn held_bytes(&self, kind: BufferKind) -> Gauge {
        let label = HeldLabel { kind: kind.name() };
        self.held_bytes.get_or_create(&label).clone()
    }

    /// Counts a turn sent to an engine.
    pub(crate) fn note_placement(&self, is_at_home: bool) {
        let engine = if is_at_home { "home" } else { "other" };
        self.placements
            .get_or_create(&PlacementLabel { engine })
            .inc();
    }

    /// Counts a call to an engine for what it keeps.
    pub(crate) fn note_engine_read(&self, call: &'static str, outcome: &'static str) {
        let label = EngineReadLabel { call, outcome };
        self.engine_reads.get_or_create(&label).inc();
    }

    /// Shows how many engines this node reads.
    pub(crate) fn note_engines_read(&self, engines: usize) {
        self.engines_read.set(gauge_of(engines));
    }

    /// Shows how many parts are believed to be kept, and the age of the oldest belief.
    pub(crate) fn note_memories(&self, parts: usize, oldest: Option<Duration>) {
        self.parts_known.set(gauge_of(parts));
        let age = oldest.map_or(-1, |age| i64::try_from(age.as_millis()).unwrap_or(i64::MAX));
        self.belief_age_ms.set(age);
    }

    /// Counts a part that an engine was told to take from another one.
    pub(crate) fn note_prompt_fetch(&self, bytes: u64) {
        self.prompt_fetches.inc();
        self.prompt_fetched_bytes.inc_by(bytes);
    }

    /// Counts a turn that was refused a place at an engine.
    pub(crate) fn note_admission_refusal(&self, refusal: AdmissionRefusal) {
        let label = AdmissionLabel {
            reason: refusal.text(),
        };
        self.admission_refusals.get_or_create(&label).inc();
    }

    /// Counts a read of a stream that is followed.
    pub(crate) fn note_stream_read(&self, stream: Stream, outcome: &'static str) {
        let call = match stream {
            Stream::Configuration => "follow_configuration",
            Stream::Workers => "follow_workers",
            Stream::Nodes => "follow_nodes",
            Stream::Ledger(_) => "follow_ledger",
        };
        self.count_log_call(call, outcome);
    }

    /// Counts another call to the log.
    pub(crate) fn note_log_call(&self, cause: LogCallPurpose, outcome: &'static str) {
        self.count_log_call(cause.name(), outcome);
    }

    fn count_log_call(&self, call: &'static str, outcome: &'static str) {
        let label = LogCallLabel { call, outcome };
        self.log_calls.get_or_create(&label).inc();
        *self
            .log_calls_by_cause
            .borrow_mut()
            .entry(call)
            .or_default() += 1;
    }

    /// How many calls to the log were made so far, by what for.
    pub(crate) fn log_calls_by_cause(&self) -> BTreeMap<&'static str, u64> {
        self.log_calls_by_cause.borrow().clone()
    }

    fn register(&mut self) {
        let registry = &mut self.registry;
        registry.register(
            "answers",
            "Requests by status of their answer",
            self.answers.clone(),
        );
        registry.register(
            "refusals",
            "Answers of the gateway's own, by whether they promise that nothing was run, and by reason",
            self.refusals.clone(),
        );
        registry.register(
            "request_seconds",
            "Time from a request's head to the end of its answer",
            self.request_seconds.clone(),
        );
        registry.register(
            "first_event_seconds",
            "Time from a request's head to the first event of its stream",
            self.first_event_seconds.clone(),
        );
        registry.register("attempts", "Attempts at workers", self.attempts.clone());
        registry.register(
            "attempts_failed",
            "Attempts without a valid answer",
            self.attempts_failed.clone(),
        );
        registry.register(
            "streams_resumed",
            "Streams that a further attempt went on with",
            self.streams_resumed.clone(),
        );
        registry.register(
            "caller_left",
            "Requests whose caller closed the connection first",
            self.caller_left.clone(),
        );
        registry.register(
            "worker_connections",
            "Connections made to workers",
            self.worker_connections.clone(),
        );
        registry.register(
            "placements",
            "Turns sent to engines that are home to the first part of their prompt, and to others",
            self.placements.clone(),
        );
        registry.register(
            "overdrafts_activated",
            "Times that a partition's owner began to let turns run on its overdraft",
            self.overdrafts_activated.clone(),
        );
        registry.register(
            "log_silences",
            "Times that the log was taken to answer nobody",
            self.log_silences.clone(),
        );
        registry.register(
            "log_is_silent",
            "Whether the log is taken to answer nobody now",
            self.log_is_silent.clone(),
        );
        registry.register(
            "outage_waits",
            "Turns that waited for a silent log before they were begun, by how that ended",
            self.outage_waits.clone(),
        );
        registry.register(
            "ledger_conflicts",
            "Appends to a partition that another node had appended to",
            self.ledger_conflicts.clone(),
        );
        registry.register(
            "ledger_forwarded",
            "Ledger requests sent to other nodes",
            self.ledger_forwarded.clone(),
        );
        registry.register(
            "log_calls",
            "Calls to the platform's log by call and outcome",
            self.log_calls.clone(),
        );
        registry.register(
            "start_ms",
            "Time from the start to each of its steps",
            self.start_ms.clone(),
        );
        registry.register(
            "node_recomputations",
            "Times that owners were worked out anew since nodes had come, gone or changed",
            self.node_recomputations.clone(),
        );
        registry.register("in_flight", "Requests under way", self.in_flight.clone());
        registry.register("workers", "Workers known", self.workers.clone());
        registry.register(
            "reads_streams",
            "Whether this node reads the log's streams itself (1) or hears of them from others (0)",
            self.reads_streams.clone(),
        );
        registry.register(
            "zones_evacuated",
            "Zones whose workers get nothing more, as the operator wishes",
            self.zones_evacuated.clone(),
        );
        registry.register(
            "zones_suspected",
            "Times that the workers or the nodes of another zone were suspected together",
            self.zones_suspected.clone(),
        );
        registry.register(
            "zones_suspected_now",
            "Other zones whose workers or nodes are suspected together, each kind counted",
            self.zones_suspected_now.clone(),
        );
        registry.register(
            "far_bytes",
            "Bytes sent to nodes and workers of other zones, and answers of workers there, by kind",
            self.far_bytes.family.clone(),
        );
        registry.register(
            "unreadable_entries",
            "Workers' entries that could not be read, each time that they were read",
            self.unreadable_entries.clone(),
        );
        registry.register(
            "config_version",
            "Version of the configuration in force",
            self.config_version.clone(),
        );
        registry.register(
            "proofs_told",
            "Proofs of the configuration that other nodes gave",
            self.proofs_told.clone(),
        );
        registry.register(
            "over_quota",
            "Requests refused for their tenant's quota",
            self.over_quota.clone(),
        );
        registry.register(
            "quota_refusals",
            "Requests refused for their tenant's quota by what that rests on",
            self.quota_refusals.clone(),
        );
        registry.register(
            "quota_grants",
            "Questions to lessors of quotas by their outcome",
            self.quota_grants.clone(),
        );
        registry.register(
            "quota_used_percent",
            "Part of their quota that the tenants nearest to it have used",
            self.quota_used_percent.clone(),
        );
        registry.register(
            "proof_age_ms",
            "Time since the configuration was known to be the newest; -1 if it never was",
            self.proof_age_ms.clone(),
        );
        registry.register(
            "config_read_age_ms",
            "Time since the last read of the configuration's stream that was answered was sent; -1 if none was",
            self.config_read_age_ms.clone(),
        );
        registry.register(
            "admission_wait_seconds",
            "Time that turns waited for a place at an engine, those that got none included",
            self.admission_wait_seconds.clone(),
        );
        registry.register(
            "admission_waiting",
            "Turns that wait for a place at an engine",
            self.admission_waiting.clone(),
        );
        registry.register(
            "admission_refusals",
            "Turns that were refused a place at an engine, by reason",
            self.admission_refusals.clone(),
        );
        self.register_runs();
        self.register_memory();
        self.register_engines();
    }

    fn register_engines(&mut self) {
        let registry = &mut self.registry;
        registry.register(
            "engine_reads",
            "Calls to engines for what they keep of prompts, by call and outcome",
            self.engine_reads.clone(),
        );
        registry.register(
            "engines_read",
            "Engines whose memory this node reads",
            self.engines_read.clone(),
        );
        registry.register(
            "parts_known",
            "Parts of prompts that are believed to be kept, at all engines together",
            self.parts_known.clone(),
        );
        registry.register(
            "belief_age_ms",
            "Time since the engine was heard that the oldest belief is about; -1 without any",
            self.belief_age_ms.clone(),
        );
        registry.register(
            "prompt_fetches",
            "Parts of prompts that engines were told to take from others",
            self.prompt_fetches.clone(),
        );
        registry.register(
            "prompt_fetched_bytes",
            "Bytes of those parts in the engines' memory",
            self.prompt_fetched_bytes.clone(),
        );
    }

    fn register_runs(&mut self) {
        let registry = &mut self.registry;
        registry.register(
            "runs_gone_on",
            "Runs that went on with a copy of their memory after their stream broke off",
            self.runs_resumed.clone(),
        );
        registry.register(
            "runs_ended",
            "Runs whose stream broke off and that could not go on, by reason",
            self.runs_ended.clone(),
        );
        registry.register(
            "copies_freed",
            "Copies of runs that nobody used and their engines freed",
            self.copies_freed.clone(),
        );
        registry.register(
            "copy_bytes",
            "Bytes of the copies of runs that engines made, estimated from the length of the prompt",
            self.copy_bytes.clone(),
        );
        registry.register(
            "backups",
            "Runs that had a backup of their memory",
            self.backups.clone(),
        );
        registry.register(
            "backup_bytes",
            "Bytes that backups move if their runs go to their end, estimated",
            self.backup_bytes.clone(),
        );
    }

    fn register_memory(&mut self) {
        let registry = &mut self.registry;
        registry.register(
            "held_bytes",
            "Memory held for callers, workers and peers, by what it is held for",
            self.held_bytes.clone(),
        );
        registry.register(
            "held_peak_bytes",
            "Most memory that was held at once for callers, workers and peers",
            self.held_peak_bytes.clone(),
        );
        registry.register(
            "streams_paused",
            "Times that a worker began to wait for a caller that reads slowly",
            self.streams_paused.clone(),
        );
        registry.register(
            "callers_given_up",
            "Streams ended since their caller read nothing, by what did not allow to wait longer",
            self.callers_given_up.clone(),
        );
    }
}

fn gauge_of(count: usize) -> i64 {
    i64::try_from(count).unwrap_or(i64::MAX)
}
