//! Deliberately broken variants, which verify that the checkers detect violations.
//!
//! The list of variants is empty unless the cargo feature `broken` is enabled.

use std::fmt;
use std::str::FromStr;

use elderworks_execution::Faults;

use crate::check::Invariant;
use crate::fault::FaultKind;
use crate::run::Plan;

/// A deliberately broken variant of the system.
#[derive(Clone, Copy)]
pub struct BrokenVariant {
    /// Name on the command line.
    pub name: &'static str,
    /// Invariant whose checker must report a violation.
    pub invariant: Invariant,
    /// Fault kinds under which the violation must be detected.
    pub faults: &'static [FaultKind],
    enable: fn(&mut Faults),
}

impl BrokenVariant {
    /// Returns every variant.
    pub fn all() -> &'static [BrokenVariant] {
        VARIANTS
    }

    /// Enables this variant in a plan.
    pub fn apply(&self, plan: &mut Plan) {
        (self.enable)(&mut plan.execution.faults);
    }
}

impl fmt::Debug for BrokenVariant {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.name)
    }
}

/// Error for a name that matches no [`BrokenVariant`] variant.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum UnknownVariant {
    /// No variant has this name.
    #[error("unknown broken variant {0:?}")]
    Name(String),
    /// The build does not include broken variants.
    #[error("broken variants are not available: build with the feature `broken`")]
    Build,
}

impl FromStr for BrokenVariant {
    type Err = UnknownVariant;

    fn from_str(text: &str) -> Result<Self, UnknownVariant> {
        if VARIANTS.is_empty() {
            return Err(UnknownVariant::Build);
        }
        let found = VARIANTS.iter().find(|variant| variant.name == text);
        found
            .copied()
            .ok_or_else(|| UnknownVariant::Name(text.to_owned()))
    }
}

#[cfg(not(feature = "broken"))]
const VARIANTS: &[BrokenVariant] = &[];

#[cfg(feature = "broken")]
const VARIANTS: &[BrokenVariant] = &[
    variant("dispatch-before-turn", Invariant::Order, &[], |faults| {
        faults.dispatch_before_turn = true;
    }),
    variant("forget-history", Invariant::HistoryLost, &[], |faults| {
        faults.forget_history = true;
    }),
    variant("mix-histories", Invariant::HistoryMixed, &[], |faults| {
        faults.mix_histories = true;
    }),
    variant("no-reservation", Invariant::Budget, &[], |faults| {
        faults.no_reservation = true;
    }),
    variant(
        "release-not-retried",
        Invariant::MemoryFreed,
        &[FaultKind::EngineCut],
        |faults| {
            faults.release_not_retried = true;
        },
    ),
    variant(
        "forget-beginning",
        Invariant::WholeAnswer,
        &[FaultKind::EngineRestart],
        |faults| {
            faults.omit_continued_text = true;
        },
    ),
    variant(
        "no-fencing",
        Invariant::FinalOutcome,
        &[FaultKind::NodePause],
        |faults| {
            faults.no_fencing = true;
        },
    ),
    variant(
        "no-dedup",
        Invariant::FinalOutcome,
        &[FaultKind::LogLosesAnswers, FaultKind::LogSlow],
        |faults| {
            faults.no_dedup = true;
        },
    ),
    variant(
        "refuse-after-dispatch",
        Invariant::RefusedNotRun,
        &[FaultKind::EngineRestart, FaultKind::ToolHang],
        |faults| {
            faults.refuse_after_dispatch = true;
        },
    ),
    variant(
        "resend-after-takeover",
        Invariant::AtMostOnce,
        &[FaultKind::NodeKill, FaultKind::NodeLoss],
        |faults| {
            faults.resend_after_takeover = true;
        },
    ),
    variant(
        "ignore-leaving",
        Invariant::LeavingBackend,
        &[FaultKind::EngineLeave],
        |faults| {
            faults.ignore_leaving = true;
        },
    ),
    variant(
        "drain-at-once",
        Invariant::PlannedStop,
        &[FaultKind::NodeStop],
        |faults| {
            faults.drain_at_once = true;
        },
    ),
    variant("accept-unread", Invariant::Configuration, &[], |faults| {
        faults.accept_unread = true;
    }),
    variant(
        "abandon-open-calls",
        Invariant::FinalOutcome,
        &[FaultKind::NodeKill, FaultKind::NodeLoss],
        |faults| {
            faults.abandon_open_calls = true;
        },
    ),
    variant(
        "no-retry-after",
        Invariant::PromptRefusal,
        &[FaultKind::LogDown],
        |faults| {
            faults.no_retry_after = true;
        },
    ),
];

#[cfg(feature = "broken")]
const fn variant(
    name: &'static str,
    invariant: Invariant,
    faults: &'static [FaultKind],
    enable: fn(&mut Faults),
) -> BrokenVariant {
    BrokenVariant {
        name,
        invariant,
        faults,
        enable,
    }
}
