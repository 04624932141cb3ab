//! Orderly hand-over of the partition to another node.

use elderworks_protocol::journal::JournalBody;
use elderworks_types::{Attempt, CallId, RunId, Timestamp};

use super::Partition;
use crate::Effect;
use crate::soft_state::{AttemptOrigin, OpenCall, ReleaseProgress, RunningAttempt, Stage};

impl Partition {
    pub(super) fn on_release(&mut self, now: Timestamp) {
        self.pending_claim = None;
        if self.owned.is_none() || self.soft.release.is_some() {
            return;
        }
        self.soft.release = Some(ReleaseProgress {
            since: now,
            appended: false,
        });
        self.redirect_queued_calls();
        self.withdraw_unsent_attempts(now);
    }

    fn redirect_queued_calls(&mut self) {
        for (id, submission) in self.soft.queue.take_all() {
            let connections = submission.callers.connections();
            self.redirect(connections, id.run, Some(id.number));
        }
    }

    /// Withdraws unsent attempts from placement if a release is pending and nothing else blocks it.
    /// The release is appended at a later tick, so that placement can first report attempts that it
    /// sent at the same time.
    pub(super) fn withdraw_unsent_attempts(&mut self, now: Timestamp) {
        if !self.is_release_due(now) {
            return;
        }
        let mut withdrawn = Vec::new();
        for (run, activity) in &mut self.soft.runs {
            let Some(open) = &mut activity.open else {
                continue;
            };
            let call = CallId {
                run: *run,
                number: open.number,
            };
            if let Stage::Running(running) = &open.stage
                && running.sent.is_none()
            {
                withdrawn.push((call, running.attempt));
                open.stage = Stage::Withdrawn(running.attempt);
            }
        }
        for (call, attempt) in withdrawn {
            self.emit(Effect::Cancel { call, attempt });
        }
    }

    /// Appends the release if it is due and all unsent attempts were withdrawn before.
    pub(super) fn finish_release(&mut self, now: Timestamp) {
        if !self.is_release_due(now) {
            return;
        }
        let waiting = self.soft.runs.values().any(|activity| {
            let open = activity.open.as_ref();
            open.is_some_and(is_unsent)
        });
        if waiting {
            return self.withdraw_unsent_attempts(now);
        }
        self.append_release();
    }

    /// Returns whether a requested release can be appended: the log responds, and nothing blocks the
    /// release or [`crate::ExecutionSettings::release_wait`] is over.
    fn is_release_due(&self, now: Timestamp) -> bool {
        let Some(release) = self.soft.release else {
            return false;
        };
        if release.appended || !self.log_reachable {
            return false;
        }
        let overdue = now.since(release.since) >= self.settings.release_wait;
        overdue || !self.is_release_blocked()
    }

    /// Returns whether own records are in flight or a call is running that another owner could not
    /// resume.
    fn is_release_blocked(&self) -> bool {
        if !self.soft.in_flight.is_empty() {
            return true;
        }
        self.soft.runs.iter().any(|(run, activity)| {
            let open = activity.open.as_ref();
            open.is_some_and(|open| self.must_finish_here(*run, open))
        })
    }

    /// Returns whether another owner could not resume the call's attempt. Only streams of engines
    /// can be resumed.
    fn must_finish_here(&self, run: RunId, open: &OpenCall) -> bool {
        let Stage::Running(running) = &open.stage else {
            return false;
        };
        let call = CallId {
            run,
            number: open.number,
        };
        let engine = self
            .journal
            .open_call(call)
            .and_then(|state| state.last_attempt())
            .and_then(|attempt| attempt.engine.as_ref());
        running.sent.is_some() && engine.is_none()
    }

    fn append_release(&mut self) {
        let mut unsent = Vec::new();
        for (run, activity) in &mut self.soft.runs {
            let Some(open) = &mut activity.open else {
                continue;
            };
            if let Stage::Withdrawn(_) | Stage::Idle = open.stage {
                unsent.push(CallId {
                    run: *run,
                    number: open.number,
                });
            }
            open.stage = Stage::Closing;
        }
        self.append(JournalBody::Release { unsent });
        if let Some(release) = &mut self.soft.release {
            release.appended = true;
        }
    }

    /// Cancels a release in progress and dispatches the withdrawn attempts again.
    pub(super) fn cancel_release(&mut self, now: Timestamp) {
        if self.soft.release.take().is_none() {
            return;
        }
        let withdrawn: Vec<CallId> = self
            .soft
            .runs
            .iter()
            .filter_map(|(run, activity)| {
                let open = activity.open.as_ref()?;
                let is_withdrawn = matches!(open.stage, Stage::Withdrawn(_));
                is_withdrawn.then_some(CallId {
                    run: *run,
                    number: open.number,
                })
            })
            .collect();
        for call in withdrawn {
            self.start_attempt(now, call);
        }
    }

    /// Restores an attempt that placement sent before it received the withdrawal.
    pub(super) fn restore_withdrawn(&mut self, id: CallId, attempt: Attempt) {
        if let Some(open) = self.soft.open(id.run, id.number)
            && open.stage == Stage::Withdrawn(attempt)
        {
            open.stage = Stage::Running(RunningAttempt {
                attempt,
                origin: AttemptOrigin::Dispatched,
                sent: None,
            });
        }
    }
}

/// Returns whether the call's attempt is in placement and unsent.
fn is_unsent(open: &OpenCall) -> bool {
    matches!(&open.stage, Stage::Running(running) if running.sent.is_none())
}
