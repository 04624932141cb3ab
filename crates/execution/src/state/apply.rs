//! Application of records to the state. Every reader accepts and rejects the same records.

use elderworks_protocol::journal::{JournalBody, RunLimits};
use elderworks_protocol::record::Record;
use elderworks_protocol::sidecar::SubmissionId;
use elderworks_types::{
    Attempt, CallId, Credits, EngineId, Outcome, PartitionId, Refusal, RunId, RunPhase, RunSpec,
    Sequence, TenantId, Timestamp,
};

use super::JournalState;
use super::budget::{TenantAllotment, settled_cost};
use super::ownership::Rejection;
use super::run::{AttemptState, CallEnd, CallState, RunState};
use crate::Faults;

/// Result of applying a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ApplyOutcome {
    /// The record was applied.
    Accepted,
    /// The record was read before.
    Repeated,
    /// The record's writer did not own the partition at the record's epoch.
    Fenced,
    /// The record contradicts the state and was ignored.
    Inconsistent(Inconsistency),
}

/// How a record contradicts the state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Inconsistency {
    /// The run doesn't exist or isn't active, or a run to be started already exists.
    Run,
    /// The call or attempt is out of order.
    Order,
    /// The run's budget is too small.
    RunBudget,
    /// The tenant's allotment is too small.
    TenantBudget,
    /// The request was already handled.
    Request,
}

type Applied = Result<(), Inconsistency>;

impl JournalState {
    /// Checks the next record of the stream and applies it if it is valid.
    pub fn apply(&mut self, record: &Record<JournalBody>, faults: &Faults) -> ApplyOutcome {
        match self.ownership.admit(record, faults) {
            Err(Rejection::Repeated) => return ApplyOutcome::Repeated,
            Err(Rejection::NotOwner) => return ApplyOutcome::Fenced,
            Ok(()) => {}
        }
        match self.apply_body(&record.body, faults) {
            Ok(()) => ApplyOutcome::Accepted,
            Err(inconsistency) => ApplyOutcome::Inconsistent(inconsistency),
        }
    }

    fn apply_body(&mut self, body: &JournalBody, faults: &Faults) -> Applied {
        match body {
            JournalBody::Claim { .. }
            | JournalBody::Barrier
            | JournalBody::Snapshot { .. }
            | JournalBody::SnapshotConfirmed { .. } => Ok(()),
            JournalBody::Release { unsent } => {
                self.release(unsent);
                Ok(())
            }
            JournalBody::RunStarted {
                spec,
                limits,
                started,
            } => self.start_run(spec, limits, *started),
            JournalBody::CallAccepted {
                run,
                spec,
                reserved,
                terms,
            } => {
                let call = CallState {
                    spec: spec.clone(),
                    terms: *terms,
                    reserved: *reserved,
                    spent: Credits::ZERO,
                    permitted: Attempt(1),
                    unsent_at: None,
                    attempts: Vec::new(),
                    continue_text: String::new(),
                    continue_chunks: 0,
                    dropped: Vec::new(),
                    end: None,
                };
                self.accept_call(*run, call, faults)
            }
            JournalBody::AttemptReserved {
                call,
                attempt,
                spent,
                reserved,
                continue_text,
                continue_chunks,
            } => {
                self.reserve_attempt(*call, *attempt, (*spent, *reserved), faults)?;
                self.continue_answer(*call, continue_text, *continue_chunks)
            }
            JournalBody::AttemptStarted {
                call,
                attempt,
                engine,
            } => self.start_attempt(*call, *attempt, engine.as_ref()),
            JournalBody::CallEnded {
                call,
                outcome,
                chunks,
            } => self.end_call(*call, outcome, *chunks),
            JournalBody::SubmissionRefused {
                call,
                submission,
                refusal,
            } => {
                self.bar_submission(*call, *submission, refusal);
                Ok(())
            }
            JournalBody::RunEnded { run, phase, at } => self.end_run(*run, *phase, *at),
            JournalBody::RunsForgotten { runs } => self.forget_runs(runs),
            JournalBody::MemoryReleased { run } => self.release_memory(*run),
            JournalBody::AllotmentGranted {
                tenant,
                partition,
                request,
                amount,
            } => self.grant_allotment(tenant, *partition, *request, *amount),
            JournalBody::AllotmentReceived {
                tenant,
                request,
                amount,
            } => self.receive_allotment(tenant, *request, *amount),
        }
    }

    fn release(&mut self, unsent: &[CallId]) {
        self.ownership.owner = None;
        let next_epoch = self.ownership.epoch.next();
        for id in unsent {
            let run = self.runs.get_mut(&id.run);
            if let Some(call) = run.and_then(|run| run.open_call_mut(id.number)) {
                call.unsent_at = Some(next_epoch);
            }
        }
    }

    fn start_run(&mut self, spec: &RunSpec, limits: &RunLimits, started: Timestamp) -> Applied {
        if self.runs.contains_key(&spec.id) {
            return Err(Inconsistency::Run);
        }
        if let Some(parent) = spec.parent {
            self.reserve_child_budget(parent, spec)?;
        }
        let run = RunState::new(spec.clone(), *limits, started);
        self.runs.insert(spec.id, run);
        Ok(())
    }

    fn reserve_child_budget(&mut self, parent: RunId, spec: &RunSpec) -> Applied {
        let same_tree = parent.root == spec.id.root;
        let parent = self
            .runs
            .get_mut(&parent)
            .filter(|run| same_tree && run.is_active() && run.spec.tenant == spec.tenant)
            .ok_or(Inconsistency::Run)?;
        if parent.available() < spec.budget {
            return Err(Inconsistency::RunBudget);
        }
        parent.carved += spec.budget;
        parent.children.insert(spec.id);
        Ok(())
    }

    fn accept_call(&mut self, id: RunId, mut call: CallState, faults: &Faults) -> Applied {
        let run = self.runs.get_mut(&id).ok_or(Inconsistency::Run)?;
        if !run.is_active() {
            return Err(Inconsistency::Run);
        }
        let out_of_turn = run.open_call().is_some() || call.spec.number < run.next_number();
        if out_of_turn && !faults.no_dedup() {
            return Err(Inconsistency::Order);
        }
        if run.available() < call.reserved && !faults.no_reservation() {
            return Err(Inconsistency::RunBudget);
        }
        if run.limits.tenant_budget {
            let allotment = self.allotments.entry(run.spec.tenant.clone()).or_default();
            if allotment.available() < call.reserved {
                return Err(Inconsistency::TenantBudget);
            }
            allotment.adjust(Credits::ZERO, call.reserved);
        }
        call.dropped = run.extend_context(&call.spec.request);
        run.calls.push(call);
        self.open.insert(id);
        Ok(())
    }

    fn reserve_attempt(
        &mut self,
        id: CallId,
        attempt: Attempt,
        (spent, reserved): (Credits, Credits),
        faults: &Faults,
    ) -> Applied {
        let run = self.runs.get_mut(&id.run).ok_or(Inconsistency::Run)?;
        let available = run.available();
        let tenant = run.spec.tenant.clone();
        let tenant_budget = run.limits.tenant_budget;
        let call = run.open_call_mut(id.number).ok_or(Inconsistency::Order)?;
        if attempt != call.permitted.next() {
            return Err(Inconsistency::Order);
        }
        let held = call.held();
        let needed = spent + reserved;
        if available + held < needed && !faults.no_reservation() {
            return Err(Inconsistency::RunBudget);
        }
        if tenant_budget {
            let allotment = self.allotments.entry(tenant).or_default();
            if allotment.available() + held < needed {
                return Err(Inconsistency::TenantBudget);
            }
            allotment.adjust(held, needed);
        }
        call.spent = spent;
        call.reserved = reserved;
        call.permitted = attempt;
        Ok(())
    }

    fn continue_answer(&mut self, id: CallId, text: &str, chunks: u32) -> Applied {
        let run = self.runs.get_mut(&id.run).ok_or(Inconsistency::Run)?;
        let call = run.open_call_mut(id.number).ok_or(Inconsistency::Order)?;
        call.continue_text = text.to_owned();
        call.continue_chunks = chunks;
        Ok(())
    }

    fn start_attempt(
        &mut self,
        id: CallId,
        attempt: Attempt,
        engine: Option<&EngineId>,
    ) -> Applied {
        let run = self.runs.get_mut(&id.run).ok_or(Inconsistency::Run)?;
        let call = run.open_call_mut(id.number).ok_or(Inconsistency::Order)?;
        if attempt != call.permitted {
            return Err(Inconsistency::Order);
        }
        let state = AttemptState {
            attempt,
            engine: engine.cloned(),
        };
        match call.attempts.last_mut() {
            Some(last) if last.attempt == attempt => {
                if last.engine.is_some() || state.engine.is_none() {
                    return Err(Inconsistency::Order);
                }
                *last = state;
            }
            _ => call.attempts.push(state),
        }
        run.engines.extend(engine.cloned());
        Ok(())
    }

    fn end_call(&mut self, id: CallId, outcome: &Outcome, chunks: u32) -> Applied {
        let run = self.runs.get_mut(&id.run).ok_or(Inconsistency::Run)?;
        let call = run.open_call_mut(id.number).ok_or(Inconsistency::Order)?;
        let held = call.held();
        let cost = settled_cost(call, outcome);
        call.end = Some(CallEnd {
            outcome: outcome.clone(),
            chunks,
        });
        run.spent += cost;
        run.update_context_after_end(outcome);
        run.remove_barred_up_to(id.number, outcome);
        if run.limits.tenant_budget {
            let allotment = self.allotments.entry(run.spec.tenant.clone()).or_default();
            allotment.adjust(held, Credits::ZERO);
            allotment.spent += cost;
        }
        self.open.remove(&id.run);
        Ok(())
    }

    /// Records a refusal. An ended run refuses every call, so nothing is recorded for it.
    fn bar_submission(&mut self, id: CallId, submission: SubmissionId, refusal: &Refusal) {
        let run = self.runs.get_mut(&id.run).filter(|run| run.is_active());
        if let Some(run) = run {
            run.barred.insert((id.number, submission), refusal.clone());
        }
    }

    fn end_run(&mut self, id: RunId, phase: RunPhase, at: Timestamp) -> Applied {
        let run = self.runs.get_mut(&id).ok_or(Inconsistency::Run)?;
        let closed = run.open_call().is_none() && run.children.is_empty();
        if !run.is_active() || !closed || phase == RunPhase::Active {
            return Err(Inconsistency::Order);
        }
        run.phase = phase;
        run.barred.clear();
        if !run.engines.is_empty() {
            self.unreleased.insert(id);
        }
        self.ended.insert((at, id));
        let (parent, budget, spent) = (run.spec.parent, run.spec.budget, run.spent);
        if let Some(parent) = parent.and_then(|parent| self.runs.get_mut(&parent)) {
            parent.children.remove(&id);
            parent.carved = parent.carved.saturating_sub(budget);
            parent.spent += spent;
        }
        Ok(())
    }

    fn forget_runs(&mut self, runs: &[RunId]) -> Applied {
        for id in runs {
            let ended = self.runs.get(id).is_some_and(|run| !run.is_active());
            if ended && !self.unreleased.contains(id) {
                self.runs.remove(id);
            }
        }
        let kept = &self.runs;
        self.ended.retain(|(_, id)| kept.contains_key(id));
        Ok(())
    }

    fn release_memory(&mut self, id: RunId) -> Applied {
        if self.unreleased.remove(&id) {
            Ok(())
        } else {
            Err(Inconsistency::Request)
        }
    }

    fn grant_allotment(
        &mut self,
        tenant: &TenantId,
        partition: PartitionId,
        request: Sequence,
        amount: Credits,
    ) -> Applied {
        let grants = self.grants.entry(tenant.clone()).or_default();
        if request != grants.last_request(partition).next() {
            return Err(Inconsistency::Request);
        }
        grants.partitions.insert(partition, (request, amount));
        grants.total += amount;
        Ok(())
    }

    fn receive_allotment(
        &mut self,
        tenant: &TenantId,
        request: Sequence,
        amount: Credits,
    ) -> Applied {
        let allotment: &mut TenantAllotment = self.allotments.entry(tenant.clone()).or_default();
        if request != allotment.last_request.next() {
            return Err(Inconsistency::Request);
        }
        allotment.last_request = request;
        allotment.received += amount;
        Ok(())
    }
}

impl RunState {
    /// Adds the answer of the call that has just ended to the context, or removes the call if it
    /// was refused.
    fn update_context_after_end(&mut self, outcome: &Outcome) {
        if let Outcome::Refused(_) = outcome {
            if let Some(call) = self.calls.pop() {
                self.restore_context(call);
            }
            return;
        }
        let index = self.calls.len().saturating_sub(1);
        if let Some(call) = self.calls.last_mut() {
            call.dropped.clear();
            call.continue_text.clear();
        }
        if let Outcome::Completed(answer) = outcome {
            self.attained += answer.usage.prompt.saturating_sub(answer.usage.cached);
            self.attained += answer.usage.output;
            self.context
                .push(super::history::ContextEntry::Answer { call: index as u32 });
        }
    }
}
