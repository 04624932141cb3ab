//! Migration of a run whose stream broke off, or whose engine is silent, to an engine that has a
//! copy of its memory.
//!
//! The decisions are made by `elderworks_gateway_core::run_moves`.

use std::rc::Rc;
use std::time::{Duration, Instant};

use elderworks_gateway_core::attempt::SendPermit;
use elderworks_gateway_core::config::{MemoryMoves, RouteKind};
use elderworks_gateway_core::engines::{MoveOutcome, PromptSource, RunCopy, RunMove};
use elderworks_gateway_core::run_moves::backups::{BackupRules, RunSize};
use elderworks_gateway_core::run_moves::targets::{self, ZonePreference};
use elderworks_gateway_core::run_moves::{
    AttemptEnd, CallEnd, CopyPath, EndReason, Engine, MigrationReason, RunAction, RunMigration,
};

use elderworks_gateway_core::stream_versions::{SoftwareVersion, StreamVersion};

use super::CallError;
use super::attempt_error::AttemptError;
use super::attempts::Call;
use super::resumption::STREAM_BROKEN;
use super::stream::is_event_stream;
use super::worker_use::RunningResponse;
use crate::gateway::Gateway;
use crate::metrics::RunEndLabel;
use crate::ports::EngineError;
use crate::upstream::{ExchangeError, Target};

/// Timeout for an engine to stop a run and copy its memory. Callers abandon a stream after two
/// seconds of silence.
const COPY_TIMEOUT: Duration = Duration::from_millis(600);

/// A run that can be resumed at another engine. Dropping it frees its unused copies.
pub(super) struct MigratableRun {
    gateway: Rc<Gateway>,
    request_id: String,
    life: RunMigration,
}

impl MigratableRun {
    fn free_unused(&mut self) {
        for copy in self.life.take_unused_copies() {
            let gateway = self.gateway.clone();
            let request_id = self.request_id.clone();
            actix_rt::spawn(async move { free(&gateway, &request_id, &copy).await });
        }
    }
}

impl Drop for MigratableRun {
    fn drop(&mut self) {
        self.free_unused();
    }
}

/// Frees a copy. If that fails, the copy expires later.
pub(super) async fn free(gateway: &Gateway, request_id: &str, copy: &RunCopy) {
    let freed = gateway.platform.free_copy(copy.source, &copy.handle).await;
    match freed {
        Ok(()) => {
            gateway.metrics.copies_freed.inc();
            log::info!(request = request_id, engine:% = copy.source; "copy of a run freed");
        }
        Err(error) => {
            log::info!(request = request_id, engine:% = copy.source, error:% = error; "copy of a run could not be freed");
        }
    }
}

/// A backup in progress; ends when dropped.
pub(super) struct RunBackup {
    gateway: Rc<Gateway>,
    engine: Engine,
    /// Version of the engine, which can't read the memory of another one.
    software: SoftwareVersion,
}

impl Drop for RunBackup {
    fn drop(&mut self) {
        self.gateway.backups.borrow_mut().end();
    }
}

impl Call<'_> {
    /// Returns the engines' transfer capabilities if the call's run may be migrated. Repeatable
    /// runs are restarted instead and need no copy.
    fn memory_moves(&self) -> Option<&MemoryMoves> {
        let service = self.config.service(&self.service)?;
        let moves = &service.engine.as_ref()?.memory_moves;
        let is_allowed = self.gateway.settings.policy.run_moves && moves.moves_runs;
        let has_id = self.attributes.request_id.is_some();
        let runs_once = self.route.kind == RouteKind::Streaming && !self.route.resumable;
        (is_allowed && has_id && runs_once).then_some(moves)
    }

    /// Returns the silence of an engine after which its run is migrated, if any.
    pub(super) fn migration_silence(&self) -> Option<Duration> {
        let silence = self.gateway.settings.policy.leaving_silence_ms;
        let is_on = silence > 0 && self.memory_moves().is_some();
        is_on.then(|| Duration::from_millis(silence))
    }

    /// Migrates a run whose engine is silent; `None` if the run stays where it is.
    pub(super) async fn migrate_silent(
        &mut self,
        running: &RunningResponse,
        last_event_id: Option<&str>,
    ) -> Result<Option<RunningResponse>, CallError> {
        let Some(last_event_id) = last_event_id else {
            return Ok(None);
        };
        self.migrate(running.engine(), last_event_id, MigrationReason::Silent)
            .await
    }

    /// Resumes a run whose stream broke off after an event.
    pub(super) async fn resume_migrated(
        &mut self,
        from: Engine,
        last_event_id: Option<&str>,
    ) -> Result<RunningResponse, CallError> {
        let (Some(_), Some(last_event_id)) = (self.memory_moves(), last_event_id) else {
            return Err(CallError::Aborted(STREAM_BROKEN));
        };
        let resumed = self
            .migrate(from, last_event_id, MigrationReason::Broken)
            .await?;
        resumed.ok_or(CallError::Aborted(STREAM_BROKEN))
    }

    /// Migrates a run to another engine; `None` if its current stream is read further.
    async fn migrate(
        &mut self,
        from: Engine,
        last_event_id: &str,
        reason: MigrationReason,
    ) -> Result<Option<RunningResponse>, CallError> {
        // The stream of a silent engine stays open meanwhile.
        self.own_sends = usize::from(matches!(reason, MigrationReason::Silent));
        let mut run = self.migratable_run(from);
        let candidate = self.candidate(run.life.at());
        let mut order = run.life.migrate(reason, candidate);
        loop {
            order = match order {
                RunAction::Copy(hop) => run.life.after_copy(self.request_copy(hop, None).await),
                RunAction::Stop(hop) => {
                    let end = self.request_copy(hop, Some(last_event_id)).await;
                    run.life.after_stop(end)
                }
                RunAction::Resume { at, copy } => {
                    self.check_sender().map_err(CallError::Refused)?;
                    let permit = self.permit_send().await?;
                    let resuming = self.attempt_with_copy(permit, &at, copy, last_event_id);
                    let end = match resuming.await {
                        Ok(running) => {
                            run.life.after_attempt(AttemptEnd::Answered, None);
                            run.free_unused();
                            self.run = Some(run);
                            return Ok(Some(running));
                        }
                        Err(end) => end,
                    };
                    let candidate = self.candidate(&at);
                    run.life.after_attempt(end, candidate)
                }
                RunAction::Read => {
                    run.free_unused();
                    self.run = Some(run);
                    return Ok(None);
                }
                RunAction::End(reason) => {
                    self.note_run_ended(run.life.at(), reason);
                    return Err(CallError::Aborted(STREAM_BROKEN));
                }
            };
        }
    }

    /// Returns the state of the call's run, which last ran at `from`.
    fn migratable_run(&mut self, from: Engine) -> MigratableRun {
        if let Some(run) = self.run.take() {
            return run;
        }
        let request_id = self.attributes.request_id.clone().unwrap_or_default();
        let version = self.version;
        let backup = self.backup.as_ref();
        let backup = backup.filter(|backup| version == StreamVersion::Bound(backup.software));
        let backup = backup.map(|backup| backup.engine.clone());
        let backup = backup.filter(|engine| *engine != from);
        // A request that isn't repeatable has run at no other worker.
        let ran_at = vec![from.worker.clone()];
        let max_engines = self.route.attempts;
        MigratableRun {
            gateway: self.gateway.clone(),
            life: RunMigration::new(request_id.clone(), from, backup, ran_at, max_engines),
            request_id,
        }
    }

    fn candidate(&self, own: &Engine) -> Option<Engine> {
        let StreamVersion::Bound(software) = self.version else {
            return None;
        };
        let [_, _, avoided, _] = self.workers_to_avoid();
        let tried = self.tried_or_avoided(&avoided);
        let workers = self.gateway.workers.borrow();
        let found = targets::choose(
            &workers,
            &self.service,
            &own.worker,
            software,
            &tried,
            ZonePreference::Same,
            self.gateway.now(),
        );
        found.map(|worker| Engine {
            worker: worker.record.id.clone(),
            address: worker.record.address,
        })
    }

    pub(super) async fn request_copy(&self, hop: CopyPath, stop_after: Option<&str>) -> CallEnd {
        let (started, since) = (Instant::now(), self.gateway.now());
        let request_id = self.attributes.request_id.clone().unwrap_or_default();
        let wanted = RunMove {
            request_id,
            target: hop.target,
            stop_after: stop_after.map(str::to_owned),
        };
        let platform = &self.gateway.platform;
        let answered = platform.move_run(hop.source, &wanted, COPY_TIMEOUT).await;
        log::info!(
            request = wanted.request_id.as_str(), engine:% = hop.source, target:% = hop.target,
            last_event = stop_after.unwrap_or_default(), answer:? = answered,
            ms = started.elapsed().as_millis();
            "requested a copy of a run"
        );
        match answered {
            Ok(outcome) => {
                self.note_copied(&outcome);
                CallEnd::Answered(outcome)
            }
            Err(EngineError::NotReached(_)) if self.was_heard_at(hop.source, since) => {
                CallEnd::NotSent
            }
            Err(EngineError::NotReached(_)) => CallEnd::NotReached,
            Err(EngineError::NotSent(_)) => CallEnd::NotSent,
            Err(EngineError::Refused(_)) => CallEnd::Refused,
            Err(EngineError::Unknown(_) | EngineError::Format(_)) => CallEnd::Unknown,
        }
    }

    async fn attempt_with_copy(
        &mut self,
        permit: SendPermit,
        at: &Engine,
        copy: RunCopy,
        last_event_id: &str,
    ) -> Result<RunningResponse, AttemptEnd> {
        let target = Target {
            worker: at.worker.clone(),
            address: at.address,
            prompt_source: PromptSource::Copy(copy),
            backup_at: None,
        };
        let (end, reason) = match self.attempt(permit, &target, Some(last_event_id)).await {
            Ok(running) if is_event_stream(&running) => {
                self.note_migrated(at);
                return Ok(running);
            }
            Ok(running) => {
                let status = running.response.head.status.as_u16();
                (
                    AttemptEnd::Unknown,
                    format!("status {status} instead of an event stream"),
                )
            }
            Err(error @ AttemptError::Refused(_)) => (AttemptEnd::NotRun, error.to_string()),
            Err(error @ AttemptError::Unproven(_)) => (AttemptEnd::Unknown, error.to_string()),
            Err(AttemptError::Exchange(
                ExchangeError::NotReached(reason) | ExchangeError::NotSent(reason),
            )) => (AttemptEnd::NotRun, reason),
            Err(AttemptError::Exchange(ExchangeError::NoResponse(reason))) => {
                self.note_break(&target).await;
                (AttemptEnd::Unknown, reason)
            }
        };
        self.log_failure(&at.worker, &reason);
        self.gateway.metrics.attempts_failed.inc();
        self.gateway.pool.discard_connections(&at.worker);
        Err(end)
    }

    /// Adds a backup engine to the target of a first attempt if a backup is worth its cost.
    pub(super) fn with_backup(&mut self, target: Target) -> Target {
        let Some(size) = self.run_size(|moves| moves.backs_up_runs) else {
            return target;
        };
        if self.backup.is_none() {
            self.backup = self.start_backup(&target, &size);
        }
        let software = self.software_of(&target.worker);
        let backup = self.backup.as_ref();
        let backup = backup.filter(|backup| {
            backup.engine.worker != target.worker && software == Some(backup.software)
        });
        let backup_at = backup.map(|backup| backup.engine.address);
        Target {
            backup_at,
            ..target
        }
    }

    fn software_of(&self, worker: &str) -> Option<SoftwareVersion> {
        self.gateway.workers.borrow().get(worker)?.software
    }

    fn note_copied(&self, outcome: &MoveOutcome) {
        let MoveOutcome::Copied { .. } = outcome else {
            return;
        };
        let size = self.run_size(|_| true);
        let bytes = size.map_or(0, |size| size.tokens.saturating_mul(size.token_bytes));
        self.gateway.metrics.copy_bytes.inc_by(bytes);
    }

    /// Returns the size of the call's run if the run may be migrated and its engines have the
    /// capability that `supports` checks.
    fn run_size(&self, supports: impl Fn(&MemoryMoves) -> bool) -> Option<RunSize> {
        let moves = self.memory_moves().filter(|moves| supports(moves))?;
        let prompt = self.attributes.prompt.iter().map(|segment| segment.tokens);
        Some(RunSize {
            tokens: prompt.sum(),
            remaining_tokens: self.attributes.max_tokens,
            token_bytes: moves.token_bytes,
        })
    }

    fn start_backup(&self, target: &Target, size: &RunSize) -> Option<RunBackup> {
        let now = self.gateway.now();
        let policy = &self.gateway.settings.policy;
        let rules = BackupRules {
            max_bytes_per_token: policy.backup_bytes_per_token,
            max_concurrent: policy.most_backups,
            bytes_per_s: policy.backup_bytes_per_s,
        };
        let software = self.software_of(&target.worker)?;
        let workers = self.gateway.workers.borrow();
        let preference = ZonePreference::Other;
        let worker = targets::choose(
            &workers,
            &self.service,
            &target.worker,
            software,
            &[],
            preference,
            now,
        )?;
        let bytes = self.gateway.backups.borrow_mut().start(&rules, size, now)?;
        self.gateway.metrics.backups.inc();
        self.gateway.metrics.backup_bytes.inc_by(bytes);
        Some(RunBackup {
            gateway: self.gateway.clone(),
            engine: Engine {
                worker: worker.record.id.clone(),
                address: worker.record.address,
            },
            software,
        })
    }

    fn note_migrated(&self, at: &Engine) {
        self.gateway.metrics.runs_resumed.inc();
        log::info!(
            request = self.attributes.request_id.as_deref().unwrap_or_default(),
            worker = at.worker.as_str(), ms = self.received.elapsed().as_millis();
            "run resumed from a copy of its memory"
        );
    }

    fn note_run_ended(&self, at: &Engine, reason: EndReason) {
        let label = RunEndLabel {
            reason: reason.text(),
        };
        self.gateway.metrics.runs_ended.get_or_create(&label).inc();
        log::info!(
            request = self.attributes.request_id.as_deref().unwrap_or_default(),
            worker = at.worker.as_str(), reason = reason.text(),
            ms = self.received.elapsed().as_millis();
            "run could not be resumed"
        );
    }
}
