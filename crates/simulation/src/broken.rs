//! Deliberately broken variants, by name. They exist only under the cargo feature `broken`.

use std::fmt;
use std::str::FromStr;

use elderworks_execution::Faults;

use crate::check::Invariant;
use crate::fault::FaultKind;
use crate::run::Plan;

/// One way to break the system on purpose.
#[derive(Clone, Copy)]
pub struct Broken {
    /// Its name on the command line.
    pub name: &'static str,
    /// The invariant whose checker must notice.
    pub invariant: Invariant,
    /// Faults under which it must notice.
    pub faults: &'static [FaultKind],
    switch: fn(&mut Faults),
}

impl Broken {
    /// Every variant.
    pub fn all() -> &'static [Broken] {
        VARIANTS
    }

    /// Breaks a plan.
    pub fn apply(&self, plan: &mut Plan) {
        (self.switch)(&mut plan.execution.faults);
    }
}

impl fmt::Debug for Broken {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.name)
    }
}

/// A name that is not a variant's, or a build without them.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum UnknownVariant {
    /// No variant has this name.
    #[error("no broken variant is called {0:?}")]
    Name(String),
    /// The build has none.
    #[error("this build has no broken variants: build with the feature `broken`")]
    Build,
}

impl FromStr for Broken {
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
const VARIANTS: &[Broken] = &[];

#[cfg(feature = "broken")]
const VARIANTS: &[Broken] = &[
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
    switch: fn(&mut Faults),
) -> Broken {
    Broken {
        name,
        invariant,
        faults,
        switch,
    }
}
