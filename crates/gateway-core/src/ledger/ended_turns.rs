//! The turns whose ends an owner was told of, so that it doesn't start one of them afterwards.
//!
//! A node reports the end of each turn to every node that it asked to start it. The start may arrive
//! after its end: the two travel on different connections if the first one was replaced, and a
//! process that stood still reads both at once, in any order.

use std::collections::{HashMap, VecDeque};
use std::rc::Rc;
use std::time::Duration;

use elderworks_types::Timestamp;

use super::sent_number::SentNumber;
use super::wallet::MAX_TURN_DURATION;

/// How long an end is remembered: as long as a turn that nobody runs would hold its tokens.
const RETENTION: Duration = MAX_TURN_DURATION;

/// Maximum number of ends remembered; beyond it, the oldest are forgotten.
const MAX_REMEMBERED: usize = 8_192;

/// The turns whose ends other nodes have reported lately, with the latest report of each.
#[derive(Debug, Default)]
pub(super) struct EndedTurns {
    reports: HashMap<Rc<str>, SentNumber>,
    by_age: VecDeque<(Timestamp, Rc<str>)>,
}

impl EndedTurns {
    /// Records the reported end of a turn.
    pub(super) fn insert(&mut self, now: Timestamp, turn: &str, report: SentNumber) {
        self.drop_old(now);
        if let Some(known) = self.reports.get_mut(turn) {
            *known = report;
            return;
        }
        let turn: Rc<str> = Rc::from(turn);
        self.reports.insert(turn.clone(), report);
        self.by_age.push_back((now, turn));
    }

    /// Returns whether a start was sent before the reported end of its turn. A caller that repeats a
    /// refused turn under the same name starts it again after that.
    pub(super) fn contains(&self, turn: &str, start: SentNumber) -> bool {
        let report = self.reports.get(turn);
        report.is_some_and(|report| start.precedes(*report))
    }

    fn drop_old(&mut self, now: Timestamp) {
        let is_old = |since: Timestamp| now.since(since) >= RETENTION;
        while let Some((since, _)) = self.by_age.front()
            && (is_old(*since) || self.by_age.len() >= MAX_REMEMBERED)
        {
            if let Some((_, turn)) = self.by_age.pop_front() {
                self.reports.remove(&turn);
            }
        }
    }
}
