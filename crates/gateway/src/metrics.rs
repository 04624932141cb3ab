//! The gateway's metrics, exposed in the Prometheus text format.

mod labels;
mod registration;

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::time::Duration;

use elderworks_gateway_core::log_call_purpose::LogCallPurpose;
use elderworks_gateway_core::log_streams::Stream;
use elderworks_gateway_core::pressure::BufferKind;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;

use crate::cross_zone_bytes::CrossZoneBytes;
use crate::reply::Refusal;

pub(crate) use labels::*;

/// The metrics of a gateway. Fields are documented by the help texts in [`Metrics::register`].
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
    /// Streams that their callers took up again.
    resumptions: Family<ResumptionLabel, Counter>,
    /// Own streams whose version was reported to other nodes.
    pub(crate) origins_reported: Counter,
    /// Streams whose version this node knows.
    pub(crate) origins_known: Gauge,
    /// Requests under which a worker ended, once for each end.
    pub(crate) request_ends: Counter,
    pub(crate) requests_given_up: Family<GivenUpLabel, Counter>,
    /// Requests and tries under which workers ended that this node knows.
    pub(crate) ended_requests_known: Gauge,
    pub(crate) worker_probes: Counter,
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
    /// Calls to the log by purpose, regardless of outcome; for log lines.
    log_calls_by_cause: RefCell<BTreeMap<&'static str, u64>>,
    pub(crate) start_ms: Family<StepLabel, Gauge>,
    pub(crate) node_recomputations: Counter,
    pub(crate) in_flight: Gauge,
    pub(crate) workers: Gauge,
    pub(crate) reads_streams: Gauge,
    pub(crate) zones_evacuated: Gauge,
    pub(crate) zones_suspected: Counter,
    pub(crate) zones_suspected_now: Gauge,
    pub(crate) far_bytes: CrossZoneBytes,
    pub(crate) unreadable_entries: Counter,
    pub(crate) config_version: Gauge,
    pub(crate) proofs_sent: Counter,
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

/// Upper bound of the first histogram bucket in seconds; each further bound is twice as large.
const FIRST_BUCKET_SECONDS: f64 = 0.001;

/// Number of histogram buckets; the last bound is about 16 seconds.
const BUCKET_COUNT: u16 = 15;

impl Metrics {
    /// Creates and registers all metrics.
    pub(crate) fn new() -> Self {
        let histogram =
            || Histogram::new(exponential_buckets(FIRST_BUCKET_SECONDS, 2.0, BUCKET_COUNT));
        let mut metrics = Self {
            registry: Registry::with_prefix("elderworks_gateway"),
            answers: Family::default(),
            refusals: Family::default(),
            request_seconds: histogram(),
            first_event_seconds: histogram(),
            attempts: Counter::default(),
            attempts_failed: Counter::default(),
            streams_resumed: Counter::default(),
            resumptions: Family::default(),
            origins_reported: Counter::default(),
            origins_known: Gauge::default(),
            request_ends: Counter::default(),
            requests_given_up: Family::default(),
            ended_requests_known: Gauge::default(),
            worker_probes: Counter::default(),
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
            far_bytes: CrossZoneBytes::default(),
            unreadable_entries: Counter::default(),
            config_version: Gauge::default(),
            proofs_sent: Counter::default(),
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

    /// Returns all metrics in the Prometheus text format.
    pub(crate) fn encode(&self) -> String {
        let mut text = String::new();
        // Writing to a string is infallible.
        let _ = prometheus_client::encoding::text::encode(&mut text, &self.registry);
        text
    }

    /// Records the start or the end of a log outage.
    pub(crate) fn note_log_silence(&self, is_silent: bool) {
        self.log_is_silent.set(i64::from(is_silent));
        if is_silent {
            self.log_silences.inc();
        }
    }

    /// Counts a turn that waited during a log outage.
    pub(crate) fn note_outage_wait(&self, is_back: bool) {
        let end = if is_back { "begun" } else { "refused" };
        self.outage_waits
            .get_or_create(&OutageWaitLabel { end })
            .inc();
    }

    /// Counts a request refused because of its tenant's quota.
    pub(crate) fn note_quota_refusal(&self, basis: &'static str, is_held_back: bool) {
        let held_back = if is_held_back { "yes" } else { "no" };
        let label = QuotaRefusalLabel { basis, held_back };
        self.quota_refusals.get_or_create(&label).inc();
    }

    /// Counts a question to a quota lessor.
    pub(crate) fn note_quota_grant(&self, outcome: &'static str) {
        let label = QuotaGrantLabel { outcome };
        self.quota_grants.get_or_create(&label).inc();
    }

    /// Counts an answer that the gateway produced itself.
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

    /// Returns the gauge of the memory held for a purpose.
    pub(crate) fn held_bytes(&self, kind: BufferKind) -> Gauge {
        let label = HeldLabel { kind: kind.name() };
        self.held_bytes.get_or_create(&label).clone()
    }

    /// Counts a stream that its caller took up again.
    pub(crate) fn note_resumption(&self, outcome: &'static str) {
        let label = ResumptionLabel { outcome };
        self.resumptions.get_or_create(&label).inc();
    }

    /// Counts a turn sent to an engine.
    pub(crate) fn note_placement(&self, is_at_home: bool) {
        let engine = if is_at_home { "home" } else { "other" };
        self.placements
            .get_or_create(&PlacementLabel { engine })
            .inc();
    }

    /// Counts a call that reads which prompt prefixes an engine has cached.
    pub(crate) fn note_engine_read(&self, call: &'static str, outcome: &'static str) {
        let label = EngineReadLabel { call, outcome };
        self.engine_reads.get_or_create(&label).inc();
    }

    /// Sets the number of engines that this node reads.
    pub(crate) fn note_engines_read(&self, engines: usize) {
        self.engines_read.set(saturating_i64(engines));
    }

    /// Sets the number of cached prompt prefixes known, and the age of the oldest knowledge of an engine.
    pub(crate) fn note_memories(&self, prefixes: usize, oldest: Option<Duration>) {
        self.parts_known.set(saturating_i64(prefixes));
        let age = oldest.map_or(-1, |age| i64::try_from(age.as_millis()).unwrap_or(i64::MAX));
        self.belief_age_ms.set(age);
    }

    /// Counts a prompt prefix that an engine was asked to fetch from another engine.
    pub(crate) fn note_prompt_fetch(&self, bytes: u64) {
        self.prompt_fetches.inc();
        self.prompt_fetched_bytes.inc_by(bytes);
    }

    /// Counts a turn that was refused a slot at an engine.
    pub(crate) fn note_admission_refusal(&self, refusal: AdmissionRefusal) {
        let label = AdmissionLabel {
            reason: refusal.text(),
        };
        self.admission_refusals.get_or_create(&label).inc();
    }

    /// Counts a read of a followed stream.
    pub(crate) fn note_stream_read(&self, stream: Stream, outcome: &'static str) {
        let call = match stream {
            Stream::Configuration => "follow_configuration",
            Stream::Workers => "follow_workers",
            Stream::Nodes => "follow_nodes",
            Stream::QuotaUse => "read_quota_use",
            Stream::RequestEnds => "read_request_ends",
            Stream::Versions => "read_versions",
            Stream::Ledger(_) => "follow_ledger",
        };
        self.count_log_call(call, outcome);
    }

    /// Counts a call to the log other than a read of a followed stream.
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

    /// Returns the number of calls to the log so far, by purpose.
    pub(crate) fn log_calls_by_cause(&self) -> BTreeMap<&'static str, u64> {
        self.log_calls_by_cause.borrow().clone()
    }
}

fn saturating_i64(count: usize) -> i64 {
    i64::try_from(count).unwrap_or(i64::MAX)
}
