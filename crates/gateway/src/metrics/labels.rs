//! Labels of the gateway's metrics.

use prometheus_client::encoding::EncodeLabelSet;

/// Label of answered requests, by status.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub(crate) struct AnswerLabel {
    /// HTTP status of the answer; 0 if the connection was closed without one.
    pub(crate) status: u16,
}

/// Label of calls to the platform's log.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub(crate) struct LogCallLabel {
    /// Purpose of the call.
    pub(crate) call: &'static str,
    /// Outcome of the call.
    pub(crate) outcome: &'static str,
}

/// Label of answers that the gateway produced itself instead of a worker.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub(crate) struct RefusalLabel {
    /// Whether the answer guarantees that the request was not run, or leaves that open.
    pub(crate) not_run: &'static str,
    /// Reason for the refusal.
    pub(crate) reason: &'static str,
}

/// Label of turns that waited during a log outage.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub(crate) struct OutageWaitLabel {
    /// Outcome of the wait.
    pub(crate) end: &'static str,
}

/// Label of memory held, by purpose.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub(crate) struct HeldLabel {
    /// Purpose of the memory.
    pub(crate) kind: &'static str,
}

/// Label of streams that were aborted because their caller had stopped reading.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub(crate) struct StalledCallerLabel {
    /// Limit that was reached.
    pub(crate) reason: &'static str,
}

/// Label of turns sent to engines, by placement.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub(crate) struct PlacementLabel {
    /// Whether the engine is a home of the first part of the prompt.
    pub(crate) engine: &'static str,
}

/// Label of calls that read which prompt prefixes an engine has cached.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub(crate) struct EngineReadLabel {
    /// Kind of the call.
    pub(crate) call: &'static str,
    /// Outcome of the call.
    pub(crate) outcome: &'static str,
}

/// Label of requests refused for their tenant's quota.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub(crate) struct QuotaRefusalLabel {
    /// Source of the decision.
    pub(crate) basis: &'static str,
    /// Whether the rest of the quota was reserved for programs that have already started.
    pub(crate) held_back: &'static str,
}

/// Label of questions to quota lessors.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub(crate) struct QuotaGrantLabel {
    /// Outcome of the question.
    pub(crate) outcome: &'static str,
}

/// Label of per-tenant metrics.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub(crate) struct TenantLabel {
    /// Name of the tenant.
    pub(crate) tenant: String,
}

/// Label of runs that could not be resumed after their stream broke.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub(crate) struct RunEndLabel {
    /// Reason why the run was not resumed.
    pub(crate) reason: &'static str,
}

/// Label of requests that are not sent to a worker because of the workers that ended under them.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub(crate) struct GivenUpLabel {
    /// Reason for not sending it.
    pub(crate) reason: &'static str,
}

/// Label of streams that their callers took up again.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub(crate) struct ResumptionLabel {
    /// Where the version that began the stream was learned, or why the stream was refused.
    pub(crate) outcome: &'static str,
}

/// Label of the steps of the startup.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub(crate) struct StepLabel {
    /// Name of the step.
    pub(crate) step: &'static str,
}

/// The reason why a turn was refused a slot at an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AdmissionRefusal {
    /// The turns ahead would take longer than the turn can wait.
    NoPlaceInTime,
    /// The queue of waiting turns at this node is full.
    QueueFull,
    /// A more urgent turn took its position in the queue.
    Displaced,
    /// No slot became free within the time that the turn could wait.
    WaitTimedOut,
}

impl AdmissionRefusal {
    /// Returns the reason as shown to callers, in logs and as a metric label.
    pub(crate) fn text(self) -> &'static str {
        match self {
            Self::NoPlaceInTime => "no engine will be free in time",
            Self::QueueFull => "no more turns can wait here now",
            Self::Displaced => "a more pressing turn waits in its place",
            Self::WaitTimedOut => "no engine became free in time",
        }
    }
}

/// Label of turns that were refused a slot at an engine.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub(crate) struct AdmissionLabel {
    /// Reason for the refusal.
    pub(crate) reason: &'static str,
}
