//! Which mechanisms of the gateway are in use, and their figures.
//!
//! The defaults are what measurement has kept (docs/DECIDING.md). Switching one off shows what it
//! is worth; none of them may be needed for a promise to hold.

use serde::{Deserialize, Serialize};

use crate::admission::AdmissionMode;
use crate::feed::roles::MAX_NODE_WORKER_PAIRS;

/// Mechanisms and figures; every node of a deployment should have the same.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Policy {
    /// Owners set tokens aside for several turns of a program at once.
    pub advances: bool,
    /// Turns may run before their tokens are set aside while the log is in trouble.
    pub overdrafts: bool,
    /// A turn may begin on an overdraft if, with it, its program draws no more than one part in so
    /// many of its budget. At least 1.
    pub overdraft_share: u64,
    /// Overdrafts are opened also where every turn is kept, so that none can end while the log is away.
    pub kept_overdrafts: bool,
    /// Owners read their partitions and open overdrafts before anybody asks.
    pub preparation: bool,
    /// Nodes watch whether the log answers, and turns that could not end are not begun while it is
    /// silent.
    pub silence_watch: bool,
    /// Share of its time for which such a turn waits before it is refused. From 0 to 1.
    pub outage_wait_share: f64,
    /// Requests without leave wait for an outage of the log to end.
    pub patience: bool,
    /// Requests of one program keep to one worker, where their prompt is in memory.
    pub affinity: bool,
    /// Workers of the own zone come first while they have room.
    pub near_workers: bool,
    /// Nodes tell each other their load on workers.
    pub shared_load: bool,
    /// A worker takes the programs that prefer it up to this many times the mean load. At least 1.
    pub load_bound: f64,
    /// Share of their slots up to which workers take what comes, whatever the others' load, and
    /// up to which zones keep to their workers. From 0 to 1.
    pub calm_share: f64,
    /// Turns for engines go first to those that are home to the first part of their prompt, in
    /// whichever zone: a zone of its own has too few homes of a part to spread its load.
    pub part_homes: bool,
    /// What engines keep of prompts is read from them, where they tell it.
    pub engine_reading: bool,
    /// Engines that are known to lack the first part of a prompt take it from one that holds it; needs
    /// [`Self::engine_reading`].
    pub prompt_fetches: bool,
    /// Turns keep to the engines of their own zone where each engine has memory for every part that
    /// is asked for.
    pub near_homes: bool,
    /// Part of their slots by which engines of the own zone may be busier than all engines together
    /// before turns go to other zones as well. From 0 to 1.
    pub zone_slack: f64,
    /// Witnesses and candidates of partitions are spread over zones.
    pub zone_spread: bool,
    /// A zone of which several machines fall silent together is suspected as a whole.
    pub zone_suspicion: bool,
    /// Workers that fail are left alone for a while.
    pub ejection: bool,
    /// Nodes tell each other of workers that they leave alone.
    pub ejection_reports: bool,
    /// Silence speaks against a worker.
    pub silence: bool,
    /// Requests that may be repeated are sent again when their worker stays silent.
    pub second_send: bool,
    /// Requests without a key prefer workers to which a connection is at rest.
    pub resting_connections: bool,
    /// Streams that break off are gone on with, where their route allows it.
    pub resumption: bool,
    /// Callers are sent to the larger machines if there are enough.
    pub large_nodes: bool,
    /// How long callers may use the addresses that they are told, in milliseconds, unless the
    /// platform allows less. More than 0.
    pub addresses_ttl_ms: u64,
    /// Nodes that have just started presume listed nodes alive.
    pub presumption: bool,
    /// Engines are told the rank of a request's tenant or route.
    pub engine_rank: bool,
    /// Nodes that cannot read the log prove their configuration through others.
    pub peer_proofs: bool,
    /// Quotas are divided between nodes by what they tell each other; evenly if not.
    pub shared_quotas: bool,
    /// One node a tenant grants what its quota still holds, while all nodes grant; if not, or while
    /// that node does not answer, quotas are divided as `shared_quotas` says.
    pub quota_lessors: bool,
    /// While a quota is short, requests that begin programs leave some of it to programs that have
    /// begun.
    pub quota_order: bool,
    /// Bytes that are read of a stream ahead of its caller, so that a slow caller does not hold its
    /// worker; with 0, the worker waits for the caller.
    pub stream_buffer_bytes: usize,
    /// Nodes that come, go or change within a short time are acted on together.
    pub batched_changes: bool,
    /// Shortest time between two calls to the log for one partition while a turn waits for leave, in
    /// milliseconds: what comes meanwhile goes in one call. Little beside the time to the first
    /// event; 0 for none.
    pub leave_pace_ms: u64,
    /// The same while only ends of turns wait, whose callers have all but the last word. Little
    /// beside the time of a turn.
    pub end_pace_ms: u64,
    /// Requests wait a moment for the rest of their node's start.
    pub starting_patience: bool,
    /// Nodes that have just started leave the foremost candidate of a partition time to read it.
    pub starting_restraint: bool,
    /// Workers whose records are gone stay a last resort for a moment.
    pub missing_grace: bool,
    /// How turns are admitted to engines.
    pub admission: AdmissionMode,
    /// Share of their slots up to which engines are given turns while others wait. Above 0, at
    /// most 1.
    pub full_share: f64,
    /// Longest wait of a turn for a place at an engine, in milliseconds from when it has leave.
    /// Above 0.
    /// The same on all routes: an urgent one with a short target would else be refused where others
    /// still wait.
    pub longest_wait_ms: u64,
    /// One turn in so many that go to an engine is the one that has waited longest, however urgent
    /// the others are. At least 2.
    pub floor_interval: u32,
    /// Tenants that were served less go first while turns wait.
    pub fair_share: bool,
    /// Pairs of node and worker up to which every node reads the log's streams itself; beyond, a few
    /// of each zone read for the others. 0: always a few.
    pub reading_pairs: usize,
    /// Runs that may run at most once go on with a copy of their memory if their stream breaks off,
    /// where engines hand runs over.
    pub run_moves: bool,
    /// Such a run leaves an engine that has been silent for so long behind an event, in
    /// milliseconds; 0 if silence is waited out.
    pub leaving_silence_ms: u64,
    /// Bytes that a backup of a run may move for each token that the run has yet to generate, where
    /// engines back runs up. With 0, no run has a backup.
    pub backup_bytes_per_token: u64,
    /// Most runs of one node that have a backup at the same time.
    pub most_backups: u32,
    /// Bytes a second that the backups of one node may move.
    pub backup_bytes_per_s: u64,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            advances: true,
            overdrafts: true,
            overdraft_share: 3,
            kept_overdrafts: false,
            preparation: true,
            silence_watch: true,
            outage_wait_share: 0.6,
            patience: true,
            affinity: true,
            near_workers: true,
            shared_load: true,
            load_bound: 1.25,
            calm_share: 0.75,
            part_homes: true,
            engine_reading: false,
            prompt_fetches: false,
            near_homes: true,
            zone_slack: 0.25,
            zone_spread: true,
            zone_suspicion: true,
            ejection: true,
            ejection_reports: true,
            silence: true,
            second_send: true,
            resting_connections: true,
            resumption: true,
            large_nodes: true,
            addresses_ttl_ms: 5_000,
            presumption: true,
            engine_rank: true,
            peer_proofs: true,
            shared_quotas: true,
            quota_lessors: true,
            quota_order: true,
            stream_buffer_bytes: 64 * 1024,
            batched_changes: true,
            leave_pace_ms: 20,
            end_pace_ms: 40,
            starting_patience: true,
            starting_restraint: true,
            missing_grace: true,
            admission: AdmissionMode::ToldDemand,
            full_share: 1.0,
            longest_wait_ms: 250,
            floor_interval: 4,
            fair_share: true,
            reading_pairs: MAX_NODE_WORKER_PAIRS,
            run_moves: true,
            leaving_silence_ms: 0,
            backup_bytes_per_token: 0,
            most_backups: 32,
            backup_bytes_per_s: 1_000_000_000,
        }
    }
}

/// Longest paces of calls in milliseconds: callers notice more.
const LONGEST_PACE_MS: u64 = 200;

/// A figure that makes no sense.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("`{key}` {problem}")]
pub struct PolicyError {
    /// The field.
    pub key: &'static str,
    /// What is wrong with it.
    pub problem: &'static str,
}

impl Policy {
    /// Checks the figures.
    pub fn check(&self) -> Result<(), PolicyError> {
        let error = |key, problem| Err(PolicyError { key, problem });
        if self.overdraft_share == 0 {
            return error("overdraft_share", "must be 1 or more");
        }
        if !(self.load_bound >= 1.0 && self.load_bound.is_finite()) {
            return error("load_bound", "must be 1 or more");
        }
        if self.leave_pace_ms > LONGEST_PACE_MS {
            return error("leave_pace_ms", "must be 200 or less");
        }
        if self.end_pace_ms > LONGEST_PACE_MS {
            return error("end_pace_ms", "must be 200 or less");
        }
        if self.addresses_ttl_ms == 0 {
            return error("addresses_ttl_ms", "must be 1 or more");
        }
        if !(0.0..=1.0).contains(&self.calm_share) {
            return error("calm_share", "must be between 0 and 1");
        }
        if !(0.0..=1.0).contains(&self.outage_wait_share) {
            return error("outage_wait_share", "must be between 0 and 1");
        }
        if !(0.0..=1.0).contains(&self.zone_slack) {
            return error("zone_slack", "must be between 0 and 1");
        }
        if !(self.full_share > 0.0 && self.full_share <= 1.0) {
            return error("full_share", "must be above 0 and at most 1");
        }
        if self.longest_wait_ms == 0 {
            return error("longest_wait_ms", "must be 1 or more");
        }
        if self.floor_interval < 2 {
            return error("floor_interval", "must be 2 or more");
        }
        Ok(())
    }
}
