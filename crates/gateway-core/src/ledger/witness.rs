//! Memory of a node that acts as a witness of overdrafts.
//!
//! An owner activates its overdraft at a majority of the witnesses before it lets a turn draw on it.
//! An owner that takes over the partition fences the overdraft at a majority: if that succeeds, the
//! overdraft was never used and never will be. For each overdraft, a witness grants only the first
//! of these two requests that it receives.

use std::collections::BTreeMap;
use std::time::Duration;

use elderworks_protocol::ledger::{WitnessAction, WitnessAnswer, WitnessRequest};
use elderworks_types::Timestamp;

use super::state::OVERDRAFT_RETENTION;

/// Maximum number of overdrafts remembered. If there are more, the witness answers no further
/// questions.
const MAX_REMEMBERED: usize = 8_192;

/// How long marks are retained: longer than any owner may use an overdraft that others have
/// dropped.
const MARK_RETENTION: Duration = OVERDRAFT_RETENTION.saturating_mul(2);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mark {
    Activated,
    Fenced,
}

/// The marks made since one start of a node.
#[derive(Debug)]
pub struct WitnessMemory {
    boot: u64,
    marks: BTreeMap<String, (Mark, Timestamp)>,
    has_overflowed: bool,
}

impl WitnessMemory {
    /// Creates an empty memory. `boot` identifies this start of the node and must be unique.
    pub fn new(boot: u64) -> Self {
        Self {
            boot,
            marks: BTreeMap::new(),
            has_overflowed: false,
        }
    }

    /// Returns the identifier of this start of the node.
    pub fn boot(&self) -> u64 {
        self.boot
    }

    /// Answers a question. The first question about an overdraft determines its mark.
    pub fn answer(&mut self, now: Timestamp, question: &WitnessRequest) -> WitnessAnswer {
        self.marks
            .retain(|_, (_, since)| now.since(*since) < MARK_RETENTION);
        if question.boot != self.boot || self.has_overflowed {
            return WitnessAnswer::Unknown;
        }
        if let Some((mark, _)) = self.marks.get(&question.overdraft) {
            return mark.into();
        }
        if self.marks.len() >= MAX_REMEMBERED {
            self.has_overflowed = true;
            return WitnessAnswer::Unknown;
        }
        let mark = match question.wish {
            WitnessAction::Activate => Mark::Activated,
            WitnessAction::Fence => Mark::Fenced,
        };
        self.marks.insert(question.overdraft.clone(), (mark, now));
        (&mark).into()
    }
}

impl From<&Mark> for WitnessAnswer {
    fn from(mark: &Mark) -> Self {
        match mark {
            Mark::Activated => Self::Activated,
            Mark::Fenced => Self::Fenced,
        }
    }
}
