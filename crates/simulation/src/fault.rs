//! Fault kinds, and schedules that say when, where and for how long faults apply.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use serde::Serialize;

use crate::kernel::Random;

/// Kind of an injected fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// A node's process is killed and its connections are reset. A replacement with empty memory is
    /// started later.
    NodeKill,
    /// A node's machine disappears without resetting connections. A replacement is started later.
    NodeLoss,
    /// A node processes no events for a while, then resumes.
    NodePause,
    /// A node is asked to drain and exit. A replacement is started later.
    NodeStop,
    /// A sidecar's process is killed and restarted.
    SidecarKill,
    /// A sidecar processes no events for a while, then resumes.
    SidecarPause,
    /// Messages from one node to another are delayed or lost, in that direction only.
    NodeCut,
    /// A node cannot reach the log.
    NodeLogCut,
    /// Messages from a node to a sidecar are delayed or lost.
    SidecarCut,
    /// A node and an engine cannot reach each other.
    EngineCut,
    /// A large part of the datagrams is lost.
    DatagramLoss,
    /// The log neither answers requests nor appends.
    LogDown,
    /// Requests to the log take effect late.
    LogSlow,
    /// Appends to the log take effect, but the answers are lost.
    LogLosesAnswers,
    /// An engine crashes and restarts with an empty cache.
    EngineRestart,
    /// An engine produces no chunks for a while.
    EngineStall,
    /// An engine announces its departure and exits after a grace period.
    EngineLeave,
    /// A tool executes invocations but does not answer.
    ToolHang,
    /// The machine list is not updated.
    MachineListStale,
}

/// Every kind with its name on the command line.
const NAMES: [(FaultKind, &str); 19] = [
    (FaultKind::NodeKill, "node-kill"),
    (FaultKind::NodeLoss, "node-loss"),
    (FaultKind::NodePause, "node-pause"),
    (FaultKind::NodeStop, "node-stop"),
    (FaultKind::SidecarKill, "sidecar-kill"),
    (FaultKind::SidecarPause, "sidecar-pause"),
    (FaultKind::NodeCut, "node-cut"),
    (FaultKind::NodeLogCut, "node-log-cut"),
    (FaultKind::SidecarCut, "sidecar-cut"),
    (FaultKind::EngineCut, "engine-cut"),
    (FaultKind::DatagramLoss, "datagram-loss"),
    (FaultKind::LogDown, "log-down"),
    (FaultKind::LogSlow, "log-slow"),
    (FaultKind::LogLosesAnswers, "log-loses-answers"),
    (FaultKind::EngineRestart, "engine-restart"),
    (FaultKind::EngineStall, "engine-stall"),
    (FaultKind::EngineLeave, "engine-leave"),
    (FaultKind::ToolHang, "tool-hang"),
    (FaultKind::MachineListStale, "machine-list-stale"),
];

impl FaultKind {
    /// Returns every kind.
    pub fn all() -> impl Iterator<Item = FaultKind> {
        NAMES.iter().map(|(kind, _)| *kind)
    }

    /// Returns whether the fault affects a process or the network, as opposed to the platform or a
    /// back end.
    pub fn affects_processes(self) -> bool {
        matches!(
            self,
            FaultKind::NodeKill
                | FaultKind::NodeLoss
                | FaultKind::NodePause
                | FaultKind::SidecarKill
                | FaultKind::SidecarPause
                | FaultKind::NodeCut
                | FaultKind::NodeLogCut
                | FaultKind::SidecarCut
                | FaultKind::DatagramLoss
        )
    }

    /// Returns whether the fault may interrupt a request in progress.
    pub fn is_abrupt(self) -> bool {
        !matches!(
            self,
            FaultKind::NodeStop | FaultKind::EngineLeave | FaultKind::MachineListStale
        )
    }
}

impl fmt::Display for FaultKind {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let name = NAMES.iter().find(|(kind, _)| kind == self);
        formatter.write_str(name.map_or("unnamed", |(_, name)| name))
    }
}

/// Error for a name that matches no [`FaultKind`].
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("unknown fault {0:?}")]
pub struct UnknownFault(String);

impl FromStr for FaultKind {
    type Err = UnknownFault;

    fn from_str(text: &str) -> Result<Self, UnknownFault> {
        let found = NAMES.iter().find(|(_, name)| *name == text);
        found
            .map(|(kind, _)| *kind)
            .ok_or_else(|| UnknownFault(text.to_owned()))
    }
}

/// Points of a call's lifecycle, as observed by the simulated network and platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum CallPoint {
    /// A caller submitted a call to its sidecar.
    Submitted,
    /// A node received a call.
    Received,
    /// A node's append to a partition's journal takes effect.
    Journalled,
    /// A node sends a request to a back end.
    Sent,
    /// A back end accepted the request.
    Taken,
    /// An engine produced a chunk.
    Chunk,
    /// A back end completed the request and sent its answer.
    Answered,
    /// A caller received an outcome.
    Delivered,
}

impl CallPoint {
    /// Every point, in the order of a call's lifecycle.
    pub const ALL: [CallPoint; 8] = [
        CallPoint::Submitted,
        CallPoint::Received,
        CallPoint::Journalled,
        CallPoint::Sent,
        CallPoint::Taken,
        CallPoint::Chunk,
        CallPoint::Answered,
        CallPoint::Delivered,
    ];
}

/// Trigger of a fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum When {
    /// At this time after the resources are in place, when callers start.
    At(Duration),
    /// When a point is reached for the n-th time, counted from 1 over all calls. The fault affects
    /// the process acting at that point if it applies to processes of that type.
    Reached(CallPoint, u32),
}

/// A scheduled fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct Fault {
    /// Kind of the fault.
    pub kind: FaultKind,
    /// Trigger of the fault.
    pub when: When,
    /// Duration of the fault, or delay until the replacement starts.
    pub lasts: Duration,
    /// Selects the affected component where the trigger does not determine it.
    pub victim: u32,
}

impl fmt::Display for Fault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} ", self.kind)?;
        match self.when {
            When::At(after) => write!(formatter, "at {after:?}")?,
            When::Reached(point, count) => write!(formatter, "on {point:?} #{count}")?,
        }
        write!(formatter, " for {:?}, victim {}", self.lasts, self.victim)
    }
}

/// Exclusive upper bound of the number of faults in a schedule.
const FAULT_COUNT_END: u64 = 4;
/// Latest start of a fault after callers start.
const MAX_START_DELAY: Duration = Duration::from_secs(20);
/// Exclusive upper bound of the occurrence of a call point at which a fault starts.
const MAX_POINT_COUNT: u64 = 40;
/// Shortest duration of a fault.
const MIN_DURATION: Duration = Duration::from_millis(50);
/// Longest duration of most faults.
const MAX_COMMON_DURATION: Duration = Duration::from_secs(4);
/// Longest duration of the remaining faults.
const MAX_DURATION: Duration = Duration::from_secs(20);

/// Draws a schedule of one to three faults from `kinds`; empty if `kinds` is empty.
pub fn draw_schedule(kinds: &[FaultKind], random: &mut Random) -> Vec<Fault> {
    if kinds.is_empty() {
        return Vec::new();
    }
    let count = random.in_range(1, FAULT_COUNT_END);
    (0..count).map(|_| draw_fault(kinds, random)).collect()
}

fn draw_fault(kinds: &[FaultKind], random: &mut Random) -> Fault {
    let kind = kinds[random.index(kinds.len())];
    let when = if random.chance(50) {
        When::At(random.duration(Duration::ZERO, MAX_START_DELAY))
    } else {
        let point = CallPoint::ALL[random.index(CallPoint::ALL.len())];
        When::Reached(point, random.in_range(1, MAX_POINT_COUNT) as u32)
    };
    let max_duration = if random.chance(70) {
        MAX_COMMON_DURATION
    } else {
        MAX_DURATION
    };
    Fault {
        kind,
        when,
        lasts: random.duration(MIN_DURATION, max_duration),
        victim: random.next_u64() as u32,
    }
}
