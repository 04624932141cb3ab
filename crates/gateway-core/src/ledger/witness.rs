//! What a node remembers, as a witness, of other owners' overdrafts.
//!
//! An owner activates its overdraft at a majority of the witnesses before it lets a turn run on it.
//! Whoever takes the partition over fences the overdraft at a majority: if that succeeds, it was
//! never used and never will be. Each witness decides once, whichever comes first.

use std::collections::BTreeMap;
use std::time::Duration;

use elderworks_protocol::ledger::{WitnessAnswer, WitnessQuestion, WitnessWish};
use elderworks_types::Timestamp;

use super::state::OVERDRAFT_RETENTION;

/// Most overdrafts remembered; a witness that had to forget one answers no further question.
const MOST_REMEMBERED: usize = 8_192;

/// Marks are kept this long: longer than any owner may use an overdraft that others have dropped.
const MARK_RETENTION: Duration = OVERDRAFT_RETENTION.saturating_mul(2);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mark {
    Activated,
    Fenced,
}

/// The marks of one start of a node.
#[derive(Debug)]
pub struct WitnessMemory {
    boot: u64,
    marks: BTreeMap<String, (Mark, Timestamp)>,
    has_forgotten: bool,
}

impl WitnessMemory {
    /// Remembers nothing. `boot` names this start of the node; no other start ever bears it.
    pub fn new(boot: u64) -> Self {
        Self {
            boot,
            marks: BTreeMap::new(),
            has_forgotten: false,
        }
    }

    /// Names this start of the node.
    pub fn boot(&self) -> u64 {
        self.boot
    }

    /// Answers a question; the first wish for an overdraft decides.
    pub fn answer(&mut self, now: Timestamp, question: &WitnessQuestion) -> WitnessAnswer {
        self.marks
            .retain(|_, (_, since)| now.since(*since) < MARK_RETENTION);
        if question.boot != self.boot || self.has_forgotten {
            return WitnessAnswer::Unknown;
        }
        if let Some((mark, _)) = self.marks.get(&question.overdraft) {
            return mark.into();
        }
        if self.marks.len() >= MOST_REMEMBERED {
            self.has_forgotten = true;
            return WitnessAnswer::Unknown;
        }
        let mark = match question.wish {
            WitnessWish::Activate => Mark::Activated,
            WitnessWish::Fence => Mark::Fenced,
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
