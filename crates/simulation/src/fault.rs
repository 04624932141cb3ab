//! Faults: what can go wrong, when, to whom, and for how long.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use serde::Serialize;

use crate::kernel::Random;

/// What goes wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// A node's process dies; its connections are reset. A replacement with empty memory follows.
    NodeKill,
    /// A node's machine vanishes without a word; a replacement follows.
    NodeLoss,
    /// A node takes no events for a while, then goes on.
    NodePause,
    /// A node is asked to leave in order; a replacement follows.
    NodeStop,
    /// A sidecar's process dies and is started again.
    SidecarKill,
    /// A sidecar takes no events for a while, then goes on.
    SidecarPause,
    /// Messages from one node to another are held or lost, in that direction only.
    NodeCut,
    /// A node reaches neither the log nor, for the same time, one of its peers.
    NodeLogCut,
    /// Messages from a node to a sidecar are held or lost.
    SidecarCut,
    /// A node cannot node_reached an engine.
    EngineCut,
    /// Many datagrams are lost.
    DatagramLoss,
    /// The log answers and appends nothing.
    LogDown,
    /// The log's appends take effect late.
    LogSlow,
    /// The log's appends take effect, and the answers are lost.
    LogLosesAnswers,
    /// An engine dies with its cache and starts again empty.
    EngineRestart,
    /// An engine's streams stand still.
    EngineStall,
    /// An engine says that it is leaving, finishes its streams and goes.
    EngineLeave,
    /// A tool runs what it is given and answers nothing.
    ToolHang,
    /// The list of machines stops changing.
    MachineListStale,
}

/// Every kind, with its name on the command line.
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
    /// Every kind.
    pub fn all() -> impl Iterator<Item = FaultKind> {
        NAMES.iter().map(|(kind, _)| *kind)
    }

    /// Whether it strikes a process or the network, not the platform or a back end.
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

    /// Whether it may cut off a request that was being answered.
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

/// A name that is not a fault's.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("no fault is called {0:?}")]
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

/// Points of a call's life as the simulated network and platform see them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum CallPoint {
    /// A caller handed a call to its sidecar.
    Submitted,
    /// A node received a call.
    Received,
    /// A node's append to a journal takes effect.
    Journalled,
    /// A request is leaving a node for a back end.
    Sent,
    /// A back end took the request.
    Taken,
    /// An engine produced a chunk.
    Chunk,
    /// A back end is done, and its answer is on the way.
    Answered,
    /// A caller has got an outcome.
    Delivered,
}

impl CallPoint {
    /// Every point, in the order of a call's life.
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

/// When a fault strikes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum When {
    /// At a time after the callers began.
    At(Duration),
    /// When a point of a call's life is reached for the n-th time, counted from 1 over all calls.
    /// It strikes the process that is acting there, where the fault strikes such a process.
    Reached(CallPoint, u32),
}

/// One fault of a schedule.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct Fault {
    /// What.
    pub kind: FaultKind,
    /// When.
    pub when: When,
    /// How long it lasts, or how long until the replacement starts.
    pub lasts: Duration,
    /// Chooses the victim where none is acting.
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

const FAULT_COUNT_END: u64 = 4;
const MAX_START_DELAY: Duration = Duration::from_secs(20);
const MAX_POINT_COUNT: u64 = 40;
const MIN_DURATION: Duration = Duration::from_millis(50);
const MAX_COMMON_DURATION: Duration = Duration::from_secs(4);
const MAX_DURATION: Duration = Duration::from_secs(20);

/// Draws a schedule of at most three faults out of `kinds`.
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
