//! Executes the effects of partitions and of placement.

use elderworks_execution as execution;
use elderworks_logstream as logstream;
use elderworks_placement::{self as placement, Ticket};
use elderworks_types::{EngineId, PartitionId, ResourceName, RunId};

use crate::core::NodeCore;
use crate::effect::Effect;
use crate::engines::EngineChange;

impl NodeCore {
    /// Passes an event to a partition and executes its effects.
    pub(crate) fn handle_partition_event(
        &mut self,
        partition: PartitionId,
        event: execution::Event,
    ) {
        let Some(followed) = self.ownership.followed.get_mut(&partition) else {
            return;
        };
        for effect in followed.machine.handle(self.now, event) {
            self.execute_partition_effect(partition, effect);
        }
    }

    fn execute_partition_effect(&mut self, partition: PartitionId, effect: execution::Effect) {
        match effect {
            execution::Effect::Append { epoch, body } => {
                self.handle_partition_stream_input(
                    partition,
                    logstream::Event::Propose { epoch, body },
                );
            }
            execution::Effect::Send {
                connection,
                message,
            } => self.send(connection, message),
            execution::Effect::Dispatch {
                call,
                attempt,
                request,
                hints,
            } => {
                self.dispatch(partition, Ticket { call, attempt }, request, hints);
            }
            execution::Effect::Resume {
                call,
                attempt,
                engine,
                from_chunk,
            } => {
                self.resume(partition, Ticket { call, attempt }, engine, from_chunk);
            }
            execution::Effect::QueryTool {
                call,
                attempt,
                tool,
                idempotency_key,
            } => {
                self.query_tool(partition, Ticket { call, attempt }, tool, idempotency_key);
            }
            execution::Effect::Cancel { call, attempt } => {
                self.cancel_attempt(Ticket { call, attempt });
            }
            execution::Effect::RunPaused {
                run,
                expected_reuse,
            } => {
                self.agenda.placement(placement::Event::RunPaused {
                    run,
                    expected_reuse,
                });
            }
            execution::Effect::ReleaseMemory { run, engine } => {
                self.release_memory(partition, run, engine);
            }
            execution::Effect::RequestAllotment {
                tenant,
                request,
                amount,
            } => {
                self.request_allotment(partition, tenant, request, amount);
            }
            execution::Effect::GrantAllotment {
                tenant,
                partition,
                request,
                amount,
            } => {
                self.grant_allotment(tenant, partition, request, amount);
            }
            execution::Effect::OwnershipChanged { owned } => {
                self.ownership_changed(partition, owned);
            }
        }
    }

    /// Releases a run's memory on an engine, or reports the engine as gone if no service lists it.
    fn release_memory(&mut self, partition: PartitionId, run: RunId, engine: EngineId) {
        match self.engines.url(&engine) {
            Some(url) => {
                let url = url.to_owned();
                self.agenda
                    .effect(Effect::ReleaseMemory { run, engine, url });
            }
            None => self
                .agenda
                .partition(partition, execution::Event::EngineGone { engine }),
        }
    }

    /// Passes an event to placement and executes its effects.
    pub(crate) fn handle_placement_event(&mut self, event: placement::Event) {
        for effect in self.placement.handle(self.now, event) {
            self.execute_placement_effect(effect);
        }
    }

    fn execute_placement_effect(&mut self, effect: placement::Effect) {
        match effect {
            placement::Effect::Dispatch {
                ticket,
                engine,
                engine_priority,
                note,
            } => {
                self.attempt_placed(ticket, engine, engine_priority, note);
            }
            placement::Effect::Refuse { ticket, refusal } => {
                self.placement_refused(ticket, refusal);
            }
            placement::Effect::Retain { run, engine, lease } => {
                if let Some(url) = self.engines.url(&engine).map(str::to_owned) {
                    self.agenda.effect(Effect::RetainMemory {
                        run,
                        engine,
                        url,
                        lease,
                    });
                }
            }
            placement::Effect::Drop { run, engine } => {
                if let Some(url) = self.engines.url(&engine).map(str::to_owned) {
                    self.agenda
                        .effect(Effect::ReleaseMemory { run, engine, url });
                }
            }
            placement::Effect::Transfer { run, from, to } => {
                let from_url = self.engines.url(&from).map(str::to_owned);
                let to_url = self.engines.url(&to).map(str::to_owned);
                if let (Some(from_url), Some(to_url)) = (from_url, to_url) {
                    self.agenda.effect(Effect::TransferMemory {
                        run,
                        from_url,
                        to_url,
                    });
                }
            }
        }
    }

    /// Applies the consequences of a change of the engines.
    pub(crate) fn apply_engine_changes(&mut self, changes: Vec<EngineChange>) {
        for change in changes {
            match change {
                EngineChange::Effect(effect) => self.agenda.effect(effect),
                EngineChange::Placement(event) => self.agenda.placement(event),
                EngineChange::Gone(engine) => self.engine_gone(&engine),
            }
        }
    }

    /// Notifies all owned partitions that an engine has lost its memory.
    fn engine_gone(&mut self, engine: &EngineId) {
        let owned: Vec<PartitionId> = self.ownership.owned().collect();
        for partition in owned {
            let engine = engine.clone();
            self.agenda
                .partition(partition, execution::Event::EngineGone { engine });
        }
    }

    /// Notifies the partition of a run that an engine has released the run's memory.
    pub(crate) fn memory_released(&mut self, run: RunId, engine: EngineId) {
        let partition = run.partition(self.settings.partition_count);
        self.agenda
            .partition(partition, execution::Event::MemoryReleased { run, engine });
    }

    /// Releases the memory that an engine holds for ended runs of owned partitions.
    pub(crate) fn release_leftover_memory(&mut self, engine: &EngineId, runs: Vec<RunId>) {
        if self.settings.execution.faults.release_not_retried() {
            return;
        }
        let Some(url) = self.engines.url(engine).map(str::to_owned) else {
            return;
        };
        for run in runs {
            if self.is_leftover(run) {
                self.counters.leftover_releases += 1;
                self.agenda.effect(Effect::ReleaseMemory {
                    run,
                    engine: engine.clone(),
                    url: url.clone(),
                });
            }
        }
    }

    /// Returns whether the run belongs to an owned partition and is not live.
    fn is_leftover(&self, run: RunId) -> bool {
        let partition = run.partition(self.settings.partition_count);
        if !self.ownership.owns(partition) {
            return false;
        }
        let followed = self.ownership.followed.get(&partition);
        followed.is_some_and(|followed| !followed.machine.is_run_active(run))
    }

    /// Returns the program of a run.
    pub(crate) fn program_of(&self, partition: PartitionId, run: RunId) -> Option<ResourceName> {
        let followed = self.ownership.followed.get(&partition)?;
        followed.machine.program(run).cloned()
    }
}
