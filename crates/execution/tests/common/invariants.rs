//! End of a random history, and the invariants checked after it.

use elderworks_execution::Event;
use elderworks_types::{Credits, Outcome, RunId};

use super::chaos::{BUDGETS, Chaos, NODES};
use super::environment::complete_answer;

impl Chaos {
    /// Continues without faults until no call is open, and ends every run.
    pub fn recover_and_end_runs(&mut self) {
        for node in 0..NODES {
            self.world.nodes[node].paused = false;
        }
        self.set_log(true);
        self.world.settle();
        self.process_effects();
        self.feed(0, Event::Claim { forced: true });
        for round in 0..600 {
            self.round_without_faults();
            let owned = self.world.nodes[0].partition.owned_epoch().is_some();
            if owned && round % 5 == 0 {
                self.resubmit(0);
            }
            if owned && self.callers.open().is_empty() {
                for run in 0..2 {
                    self.end_run(RunId::root(run), 0);
                }
            }
        }
    }

    fn round_without_faults(&mut self) {
        self.world.settle();
        self.process_effects();
        self.place(0, false);
        self.execute(0, false);
        self.answer(0, false, false);
        self.advance_time(100);
        self.world.settle();
        self.process_effects();
    }

    /// Asserts the invariants that hold after every history.
    pub fn check(&mut self) {
        for (call, count) in &self.backends.unrepeatable_runs {
            assert!(*count <= 1, "{call} ran {count} times");
        }
        for (run, cost) in &self.backends.cost {
            let budget = Credits(BUDGETS[run.root as usize]);
            assert!(*cost <= budget, "{run} cost {cost} of {budget}");
        }
        for (id, held) in &self.callers.calls {
            let outcome = held.outcome.as_ref();
            let outcome = outcome.unwrap_or_else(|| panic!("{id} has no outcome: {held:?}"));
            match outcome {
                Outcome::Completed(answer) => assert_eq!(answer.content, complete_answer(*id)),
                Outcome::Refused(_) => {
                    assert!(
                        !self.backends.executed.contains(id),
                        "{id} was refused after it had run"
                    );
                }
                Outcome::Failed(_) => {}
                Outcome::Unknown(_) => {
                    assert!(!held.spec.repeatable || held.may_be_accepted_elsewhere)
                }
            }
        }
        let owner = &self.world.nodes[0].partition;
        for run in 0..2 {
            assert!(
                !owner.is_run_active(RunId::root(run)),
                "run {run} did not end"
            );
        }
        assert_eq!(owner.counters().unreleased_runs, 0);
        let digests = self.world.digests();
        assert!(digests.iter().all(|digest| *digest == digests[0]));
        let reread = self.world.reader_from(0);
        assert_eq!(reread.state_digest(), digests[0]);
        if let Some(offset) = reread.snapshot_offset() {
            let restored = self.world.reader_from(offset.0 as usize);
            assert_eq!(restored.state_digest(), digests[0]);
        }
        self.check_memory();
    }

    /// Asserts that all engine memory recorded in the journal was released. Memory that isn't
    /// recorded is found by comparing the runs on an engine with `Partition::may_hold_memory`.
    fn check_memory(&self) {
        let owner = &self.world.nodes[0].partition;
        for (run, engine) in &self.backends.held {
            assert!(
                !owner.may_hold_memory(*run, engine),
                "{run} has ended, but its memory is considered in use"
            );
            let released = self.backends.released.contains(&(*run, engine.clone()));
            let view = owner.view(*run).expect("the run");
            let mut attempts = view.calls.iter().flat_map(|call| &call.attempts);
            let known = attempts.any(|attempt| attempt.engine.as_ref() == Some(engine));
            assert!(released || !known, "{engine} received no release of {run}");
        }
    }
}
