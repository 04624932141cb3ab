//! The workers that may have run a request. They determine to which workers it may be sent again.

/// Whether a request may run at two workers at the same time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Overlap {
    /// It may.
    Allowed,
    /// The worker before must have stopped, or be lost. Holds for runs of engines, which take long.
    Excluded,
}

/// The workers to which a request may be sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SendScope {
    /// Any worker.
    Any,
    /// Only the worker with this id, which may have run it.
    Only(String),
}

/// A worker that may have run a request.
#[derive(Debug)]
struct PossibleRun {
    /// Id of the worker.
    worker: String,
    /// Whether it may still run it.
    may_continue: bool,
}

/// The workers that may have run a request and aren't known to be lost, the latest last.
#[derive(Debug, Default)]
pub(super) struct PossibleRuns {
    runs: Vec<PossibleRun>,
}

impl PossibleRuns {
    /// Returns the number of workers.
    pub(super) fn len(&self) -> usize {
        self.runs.len()
    }

    /// Records that a worker may run the request.
    pub(super) fn note_run(&mut self, worker: &str) {
        self.note_lost(worker);
        self.runs.push(PossibleRun {
            worker: worker.to_owned(),
            may_continue: true,
        });
    }

    /// Records that a worker has ended or can't be reached.
    pub(super) fn note_lost(&mut self, worker: &str) {
        self.runs.retain(|run| run.worker != worker);
    }

    /// Records that a worker doesn't run the request any more.
    pub(super) fn note_stopped(&mut self, worker: &str) {
        for run in &mut self.runs {
            run.may_continue &= run.worker != worker;
        }
    }

    /// Returns the workers to which the request may be sent if `max_workers` may run it.
    pub(super) fn scope(&self, max_workers: u32, overlap: Overlap) -> SendScope {
        let Some(latest) = self.runs.last() else {
            return SendScope::Any;
        };
        let running = self.runs.iter().rfind(|run| run.may_continue);
        let only = match running {
            Some(running) if overlap == Overlap::Excluded => running,
            _ if self.runs.len() >= max_workers as usize => latest,
            _ => return SendScope::Any,
        };
        SendScope::Only(only.worker.clone())
    }
}
