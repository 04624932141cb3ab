//! A run that outlives its engine: it goes on elsewhere with a copy of its memory.
//!
//! Two engines must never work on one run for longer than a stop takes, also on routes whose
//! requests run at most once. So a copy is used only after one of these, and the stream ends broken
//! in every other case:
//!
//! - The engine says that it has stopped the run behind the last event that the caller has, and
//!   names the copy.
//! - The engine says that it runs no such request, and the stream had broken off.
//! - No connection to the engine can be made, and the stream had broken off or gone silent.
//!
//! A copy serves one attempt that runs; one that refuses has not run and leaves it to the next. What
//! is left of copies is handed out for freeing.

pub mod backups;
mod steps;
pub mod targets;

pub use steps::{AttemptEnd, CallEnd, CopyPath, EndReason, Engine, MigrationReason, RunAction};

use crate::engines::{MoveOutcome, RunCopy};

/// Times that one run goes on at an engine after its first.
pub const MOST_MOVES: u32 = 2;

/// Times that one run tries to leave an engine whose stream has not broken off.
pub const MOST_UNFORCED: u32 = 3;

/// Calls that ask one engine to stop a run, if the first is not answered or met another.
const MOST_STOP_CALLS: u32 = 2;

/// Where one run is.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Step {
    /// Its stream is read.
    Running,
    /// Its memory is copied, or it is being stopped.
    Leaving {
        reason: MigrationReason,
        target: Engine,
        stop_calls: u32,
    },
    /// An attempt with a copy is under way.
    GoingOn {
        at: Engine,
        copy: RunCopy,
        /// The engine that stopped the run and keeps its memory, if it was not tried yet.
        stopped_at: Option<Engine>,
    },
    /// Its answer has ended.
    Ended,
}

/// One run from its first event to the end of its answer.
#[derive(Debug)]
pub struct RunMigration {
    request_id: String,
    /// Most engines that it may run on; lost ones do not count.
    max_engines: usize,
    at: Engine,
    backup: Option<Engine>,
    /// Engines that may have run it and are not lost.
    ran_at: Vec<String>,
    moves: u32,
    /// Tries to leave while the stream had not broken off.
    unforced: u32,
    step: Step,
    /// Copies that no attempt has run with.
    unused: Vec<RunCopy>,
}

impl RunMigration {
    /// A run whose stream is read from an engine; `ran_at` are all that may have run it so far.
    /// With `backup`, its memory is sent there as it grows.
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

    /// The engine whose stream is read, or was last.
    pub fn at(&self) -> &Engine {
        &self.at
    }

    /// How often it has gone on at an engine.
    pub fn moves(&self) -> u32 {
        self.moves
    }

    /// Copies that exist and will not be used: to be freed at their source.
    pub fn take_unused_copies(&mut self) -> Vec<RunCopy> {
        std::mem::take(&mut self.unused)
    }

    /// The stream has ended whole, or nobody waits for it.
    pub fn end(&mut self) {
        self.step = Step::Ended;
    }

    /// The run is to leave its engine. `candidate` is another one with room. A stream that breaks
    /// off while the run leaves for another reason is told here too.
    pub fn leave(&mut self, reason: MigrationReason, candidate: Option<Engine>) -> RunAction {
        let is_unforced = reason != MigrationReason::Broken;
        if self.moves >= MOST_MOVES || (is_unforced && self.unforced >= MOST_UNFORCED) {
            return self.fall_back(reason, EndReason::MovedOften);
        }
        self.unforced += u32::from(is_unforced);
        let candidate = candidate.filter(|engine| *engine != self.at);
        let Some(target) = self.backup.clone().or(candidate) else {
            return self.fall_back(reason, EndReason::NoTarget);
        };
        if is_unforced && !self.may_run_at(&target) {
            return self.fall_back(reason, EndReason::NoAttemptLeft);
        }
        let hop = self.hop(&target);
        let stop_calls = 0;
        self.step = Step::Leaving {
            reason,
            target,
            stop_calls,
        };
        match reason {
            MigrationReason::Broken | MigrationReason::Silent => self.stop(),
            MigrationReason::Draining | MigrationReason::TakenSoon | MigrationReason::Slow => {
                RunAction::Copy(hop)
            }
        }
    }

    /// [`Order::Copy`] has ended.
    pub fn after_copy(&mut self, end: CallEnd) -> RunAction {
        let CallEnd::Answered(MoveOutcome::Copied { handle, .. }) = end else {
            self.step = Step::Running;
            return RunAction::Read;
        };
        self.note_copy(handle);
        self.stop()
    }

    /// [`Order::Stop`] has ended.
    pub fn after_stop(&mut self, end: CallEnd) -> RunAction {
        let Step::Leaving {
            reason,
            target,
            stop_calls,
        } = self.step.clone()
        else {
            return RunAction::End(EndReason::InDoubt);
        };
        match end {
            CallEnd::Answered(MoveOutcome::Copied { handle, .. }) => {
                let copy = self.note_copy(handle);
                self.go_on_with(target, copy)
            }
            CallEnd::Answered(MoveOutcome::NoRoom {
                handle: Some(handle),
            }) => {
                let copy = self.note_copy(handle);
                self.go_on(self.at.clone(), copy, None)
            }
            CallEnd::Answered(MoveOutcome::NoSuchRun) if reason == MigrationReason::Broken => {
                self.go_on_with_backup(reason)
            }
            CallEnd::NotReached if reason.has_lost_stream() => {
                let lost = &self.at.worker;
                self.ran_at.retain(|worker| worker != lost);
                self.go_on_with_backup(reason)
            }
            CallEnd::Answered(MoveOutcome::UnderWay) | CallEnd::Unknown
                if stop_calls < MOST_STOP_CALLS =>
            {
                self.stop()
            }
            CallEnd::Answered(_) | CallEnd::Refused | CallEnd::NotReached | CallEnd::Unknown => {
                self.fall_back(reason, EndReason::InDoubt)
            }
        }
    }

    /// The attempt of [`Order::GoOn`] has ended. `candidate` is another engine with room.
    pub fn after_attempt(&mut self, end: AttemptEnd, candidate: Option<Engine>) -> RunAction {
        let Step::GoingOn {
            at,
            copy,
            stopped_at,
        } = self.step.clone()
        else {
            return RunAction::End(EndReason::InDoubt);
        };
        match end {
            AttemptEnd::NotRun => match stopped_at {
                Some(source) => self.go_on(source, copy, None),
                None => self.end_for(EndReason::NotTaken),
            },
            AttemptEnd::Answered => {
                self.note_runs_at(at, &copy);
                RunAction::Read
            }
            AttemptEnd::Unknown => {
                self.note_runs_at(at, &copy);
                self.leave(MigrationReason::Broken, candidate)
            }
        }
    }

    fn hop(&self, target: &Engine) -> CopyPath {
        CopyPath {
            source: self.at.address,
            target: target.address,
        }
    }

    fn stop(&mut self) -> RunAction {
        let Step::Leaving {
            target, stop_calls, ..
        } = &mut self.step
        else {
            return RunAction::End(EndReason::InDoubt);
        };
        *stop_calls += 1;
        let target = target.clone();
        RunAction::Stop(self.hop(&target))
    }

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

    /// The run has stopped and its copy is whole at the target; its engine keeps the memory too.
    fn go_on_with(&mut self, target: Engine, copy: RunCopy) -> RunAction {
        let source = self.at.clone();
        match self.may_run_at(&target) {
            true => self.go_on(target, copy, Some(source)),
            false => self.go_on(source, copy, None),
        }
    }

    fn go_on_with_backup(&mut self, reason: MigrationReason) -> RunAction {
        let Some(engine) = self.backup.take() else {
            return self.fall_back(reason, EndReason::NoCopy);
        };
        if !self.may_run_at(&engine) {
            return self.fall_back(reason, EndReason::NoAttemptLeft);
        }
        let copy = RunCopy {
            source: self.at.address,
            handle: self.request_id.clone(),
        };
        self.go_on(engine, copy, None)
    }

    fn go_on(&mut self, at: Engine, copy: RunCopy, stopped_at: Option<Engine>) -> RunAction {
        self.step = Step::GoingOn {
            at: at.clone(),
            copy: copy.clone(),
            stopped_at,
        };
        RunAction::Resume { at, copy }
    }

    fn may_run_at(&self, engine: &Engine) -> bool {
        self.ran_at.contains(&engine.worker) || self.ran_at.len() < self.max_engines
    }

    /// An attempt with the copy runs, or may: the copy is used up, and a backup is one of a run
    /// that is over.
    fn note_runs_at(&mut self, at: Engine, copy: &RunCopy) {
        self.unused.retain(|unused| unused != copy);
        if !self.ran_at.contains(&at.worker) {
            self.ran_at.push(at.worker.clone());
        }
        self.at = at;
        self.backup = None;
        self.moves += 1;
        self.step = Step::Running;
    }

    /// Without a stream the answer ends; else the stream shows what becomes of the run.
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
