//! Migration of runs: resumes a run on another engine from a copy of its memory.
//!
//! Two engines must never execute the same run for longer than it takes to stop it, even on routes
//! whose requests run at most once. A copy is therefore used only if one of the following holds;
//! otherwise the stream ends incomplete:
//!
//! - The engine confirmed that it stopped the run after the last event that the caller received,
//!   and returned the copy's handle.
//! - The stream broke off, and the engine reports that it has no such run.
//! - The stream broke off or is silent, and no connection to the engine can be established because
//!   nothing listens there or no path leads there.
//!
//! Each copy is used for at most one attempt that runs. An attempt that is refused leaves the copy
//! to the next one. Unused copies are returned to the driver, which frees them.

pub mod backups;
mod steps;
pub mod stop;
pub mod targets;

pub use steps::{AttemptEnd, CallEnd, CopyPath, EndReason, Engine, MigrationReason, RunAction};

use crate::engines::{MoveOutcome, RunCopy};

/// Maximum number of migrations of one run.
pub const MAX_MIGRATIONS: u32 = 2;

/// Maximum number of attempts to migrate one run while its stream has not broken off.
pub const MAX_UNFORCED_ATTEMPTS: u32 = 3;

/// Maximum number of stop calls to one engine. A call is repeated if it was not sent or not answered, or
/// if another one was in progress.
const MAX_STOP_CALLS: u32 = 2;

/// State of one run.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Step {
    /// The stream is being read.
    Running,
    /// The memory is being copied, or the run is being stopped.
    Migrating {
        reason: MigrationReason,
        target: Engine,
        stop_calls: u32,
    },
    /// An attempt to resume from a copy is in progress.
    Resuming {
        at: Engine,
        copy: RunCopy,
        /// Engine that stopped the run and still has its memory, if it has not been tried yet.
        stopped_at: Option<Engine>,
    },
    /// The response has ended.
    Ended,
}

/// Migration state of one run, from its first event to the end of its response.
#[derive(Debug)]
pub struct RunMigration {
    request_id: String,
    /// Maximum number of engines that it may run on, not counting lost ones.
    max_engines: usize,
    /// Current engine.
    at: Engine,
    /// Engine to which the memory is backed up while the run continues.
    backup: Option<Engine>,
    /// Workers that may have run it and are not lost.
    ran_at: Vec<String>,
    /// Number of completed migrations.
    moves: u32,
    /// Number of migration attempts while the stream had not broken off.
    unforced: u32,
    step: Step,
    /// Copies that no attempt has used.
    unused: Vec<RunCopy>,
}

impl RunMigration {
    /// Creates the state of a run whose stream is read from engine `at`. `ran_at` lists all workers
    /// that may have run it so far. If `backup` is given, the run's memory is continuously copied
    /// there.
    pub fn new(
        request_id: String,
        at: Engine,
        backup: Option<Engine>,
        ran_at: Vec<String>,
        max_engines: u32,
    ) -> Self {
        Self {
            request_id,
            max_engines: usize::try_from(max_engines).unwrap_or(usize::MAX),
            at,
            backup,
            ran_at,
            moves: 0,
            unforced: 0,
            step: Step::Running,
            unused: Vec::new(),
        }
    }

    /// Returns the engine whose stream is being read or was read last.
    pub fn at(&self) -> &Engine {
        &self.at
    }

    /// Returns the number of completed migrations.
    pub fn moves(&self) -> u32 {
        self.moves
    }

    /// Takes the copies that will not be used, which the driver frees at their source.
    pub fn take_unused_copies(&mut self) -> Vec<RunCopy> {
        std::mem::take(&mut self.unused)
    }

    /// Records that the stream is complete or the caller has left.
    pub fn end(&mut self) {
        self.step = Step::Ended;
    }

    /// Starts a migration. `candidate` is another engine with a free slot. Also called when the
    /// stream breaks off during a migration for another reason.
    pub fn migrate(&mut self, reason: MigrationReason, candidate: Option<Engine>) -> RunAction {
        let is_unforced = reason != MigrationReason::Broken;
        if self.moves >= MAX_MIGRATIONS || (is_unforced && self.unforced >= MAX_UNFORCED_ATTEMPTS) {
            return self.fall_back(reason, EndReason::MigrationLimit);
        }
        self.unforced += u32::from(is_unforced);
        let candidate = candidate.filter(|engine| *engine != self.at);
        let Some(target) = self.backup.clone().or(candidate) else {
            return self.fall_back(reason, EndReason::NoTarget);
        };
        if is_unforced && !self.may_run_at(&target) {
            return self.fall_back(reason, EndReason::EngineLimit);
        }
        let copy_path = self.copy_path(&target);
        let stop_calls = 0;
        self.step = Step::Migrating {
            reason,
            target,
            stop_calls,
        };
        match reason {
            MigrationReason::Broken | MigrationReason::Silent => self.stop(),
            MigrationReason::Draining | MigrationReason::Preempted | MigrationReason::Slow => {
                RunAction::Copy(copy_path)
            }
        }
    }

    /// Handles the outcome of [`RunAction::Copy`].
    pub fn after_copy(&mut self, end: CallEnd) -> RunAction {
        let CallEnd::Answered(MoveOutcome::Copied { handle, .. }) = end else {
            self.step = Step::Running;
            return RunAction::Read;
        };
        self.note_copy(handle);
        self.stop()
    }

    /// Handles the outcome of [`RunAction::Stop`].
    pub fn after_stop(&mut self, end: CallEnd) -> RunAction {
        let Step::Migrating {
            reason,
            target,
            stop_calls,
        } = self.step.clone()
        else {
            return RunAction::End(EndReason::Unsettled);
        };
        match end {
            CallEnd::Answered(MoveOutcome::Copied { handle, .. }) => {
                let copy = self.note_copy(handle);
                self.resume_at_target(target, copy)
            }
            CallEnd::Answered(MoveOutcome::NoRoom {
                handle: Some(handle),
            }) => {
                let copy = self.note_copy(handle);
                self.resume(self.at.clone(), copy, None)
            }
            CallEnd::Answered(MoveOutcome::NoSuchRun) if reason == MigrationReason::Broken => {
                self.resume_from_backup(reason)
            }
            CallEnd::NotReached if reason.has_lost_stream() => {
                let lost = &self.at.worker;
                self.ran_at.retain(|worker| worker != lost);
                self.resume_from_backup(reason)
            }
            CallEnd::Answered(MoveOutcome::UnderWay) | CallEnd::NotSent | CallEnd::Unknown
                if stop_calls < MAX_STOP_CALLS =>
            {
                self.stop()
            }
            CallEnd::Answered(_)
            | CallEnd::Refused
            | CallEnd::NotReached
            | CallEnd::NotSent
            | CallEnd::Unknown => self.fall_back(reason, EndReason::Unsettled),
        }
    }

    /// Handles the outcome of the attempt of [`RunAction::Resume`]. `candidate` is another engine with a
    /// free slot.
    pub fn after_attempt(&mut self, end: AttemptEnd, candidate: Option<Engine>) -> RunAction {
        let Step::Resuming {
            at,
            copy,
            stopped_at,
        } = self.step.clone()
        else {
            return RunAction::End(EndReason::Unsettled);
        };
        match end {
            AttemptEnd::NotRun => match stopped_at {
                Some(source) => self.resume(source, copy, None),
                None => self.end_for(EndReason::AllRefused),
            },
            AttemptEnd::Answered => {
                self.note_running_at(at, &copy);
                RunAction::Read
            }
            AttemptEnd::Unknown => {
                self.note_running_at(at, &copy);
                self.migrate(MigrationReason::Broken, candidate)
            }
        }
    }

    fn copy_path(&self, target: &Engine) -> CopyPath {
        CopyPath {
            source: self.at.address,
            target: target.address,
        }
    }

    fn stop(&mut self) -> RunAction {
        let Step::Migrating {
            target, stop_calls, ..
        } = &mut self.step
        else {
            return RunAction::End(EndReason::Unsettled);
        };
        *stop_calls += 1;
        let target = target.clone();
        RunAction::Stop(self.copy_path(&target))
    }

    /// Records a copy of the run's memory that was made by the current engine.
    fn note_copy(&mut self, handle: String) -> RunCopy {
        let copy = RunCopy {
            source: self.at.address,
            handle,
        };
        if !self.unused.contains(&copy) {
            self.unused.push(copy.clone());
        }
        copy
    }

    /// Resumes a stopped run from a complete copy at the target. The run's engine still has the
    /// memory and is used if the target is not allowed or refuses.
    fn resume_at_target(&mut self, target: Engine, copy: RunCopy) -> RunAction {
        let source = self.at.clone();
        match self.may_run_at(&target) {
            true => self.resume(target, copy, Some(source)),
            false => self.resume(source, copy, None),
        }
    }

    /// Resumes the run from its continuous backup, whose handle is the request ID.
    fn resume_from_backup(&mut self, reason: MigrationReason) -> RunAction {
        let Some(engine) = self.backup.take() else {
            return self.fall_back(reason, EndReason::NoCopy);
        };
        if !self.may_run_at(&engine) {
            return self.fall_back(reason, EndReason::EngineLimit);
        }
        let copy = RunCopy {
            source: self.at.address,
            handle: self.request_id.clone(),
        };
        self.resume(engine, copy, None)
    }

    fn resume(&mut self, at: Engine, copy: RunCopy, stopped_at: Option<Engine>) -> RunAction {
        self.step = Step::Resuming {
            at: at.clone(),
            copy: copy.clone(),
            stopped_at,
        };
        RunAction::Resume { at, copy }
    }

    /// Returns whether the limit on engines allows the run to use this one.
    fn may_run_at(&self, engine: &Engine) -> bool {
        self.ran_at.contains(&engine.worker) || self.ran_at.len() < self.max_engines
    }

    /// Records that an attempt with the copy is or may be running. The copy is then used up, and
    /// the backup belongs to the previous attempt.
    fn note_running_at(&mut self, at: Engine, copy: &RunCopy) {
        self.unused.retain(|unused| unused != copy);
        if !self.ran_at.contains(&at.worker) {
            self.ran_at.push(at.worker.clone());
        }
        self.at = at;
        self.backup = None;
        self.moves += 1;
        self.step = Step::Running;
    }

    /// Gives up a migration: ends the response if the stream is broken, otherwise keeps reading it.
    fn fall_back(&mut self, reason: MigrationReason, end: EndReason) -> RunAction {
        if reason == MigrationReason::Broken {
            return self.end_for(end);
        }
        self.step = Step::Running;
        RunAction::Read
    }

    fn end_for(&mut self, reason: EndReason) -> RunAction {
        self.step = Step::Ended;
        RunAction::End(reason)
    }
}
