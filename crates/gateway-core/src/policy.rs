//! Switches and parameters of the gateway's optional mechanisms.
//!
//! Each mechanism can be disabled to measure its effect. Correctness guarantees must hold with any
//! combination of settings. The defaults are explained in docs/DECIDING.md.

use serde::{Deserialize, Serialize};

use crate::admission::AdmissionMode;
use crate::feed::roles::MAX_NODE_WORKER_PAIRS;

/// Switches and parameters. All nodes of a deployment should have the same ones.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Policy {
    /// Owners reserve tokens for several turns of a program at once.
    pub advances: bool,
    /// Turns may run before their tokens are reserved while the log is slow or unavailable.
    pub overdrafts: bool,
    /// A turn may start on an overdraft if the program's overdrafts including this one are at most
    /// its budget divided by this number. At least 1.
    pub overdraft_share: u64,
    /// Overdrafts are also opened if every route stores its turns, and serve stored turns, although
    /// these can't complete while the log is unavailable.
    pub kept_overdrafts: bool,
    /// Owners read their partitions and open overdrafts before the first request.
    pub preparation: bool,
    /// Nodes monitor whether the log responds. While it does not, they do not start turns that
    /// could not complete.
    pub silence_watch: bool,
    /// Fraction of its remaining time for which a turn waits for an unresponsive log before it is
    /// refused. From 0 to 1.
    pub outage_wait_share: f64,
    /// Requests without a permit to run wait for the end of an outage of the log.
    pub patience: bool,
    /// Requests of one program prefer the worker that has their prompt in memory.
    pub affinity: bool,
    /// Workers of the own zone are preferred while they have free slots.
    pub near_workers: bool,
    /// Nodes report the load that they place on workers to each other.
    pub shared_load: bool,
    /// A worker accepts programs that prefer it up to this multiple of the mean load. At least 1.
    pub load_bound: f64,
    /// Fraction of slots in use up to which workers accept requests regardless of the mean load,
    /// and up to which zones use only their own workers. From 0 to 1.
    pub calm_share: f64,
    /// Turns prefer the home engines of the first part of their prompt in any zone, since a single
    /// zone has too few homes of a part to distribute its load.
    pub part_homes: bool,
    /// The prompts that engines hold in memory are read from engines that report them.
    pub engine_reading: bool,
    /// Engines that lack the first part of a prompt fetch it from an engine that holds it. Requires
    /// [`Self::engine_reading`].
    pub prompt_fetches: bool,
    /// Turns use only engines of their own zone if each engine has memory for all requested parts.
    pub near_homes: bool,
    /// Difference in utilization between the own zone's engines and all engines above which turns
    /// also use other zones. From 0 to 1.
    pub zone_slack: f64,
    /// Witnesses and candidates of partitions are distributed over zones.
    pub zone_spread: bool,
    /// A whole zone is suspected if several of its machines become silent at the same time.
    pub zone_suspicion: bool,
    /// Failing workers are temporarily ejected.
    pub ejection: bool,
    /// Nodes report the workers that they have ejected to each other.
    pub ejection_reports: bool,
    /// A worker's silence counts as a sign of failure.
    pub silence: bool,
    /// Repeatable requests are sent to a second worker if the first one is silent.
    pub second_send: bool,
    /// Requests without an affinity key prefer workers with an idle connection.
    pub resting_connections: bool,
    /// Streams that break off are resumed if their route allows it.
    pub resumption: bool,
    /// Callers are directed to the larger machines if there are enough of them.
    pub large_nodes: bool,
    /// Time to live of the node addresses given to callers, in milliseconds, unless the platform's
    /// limit is lower. More than 0.
    pub addresses_ttl_ms: u64,
    /// Nodes that have just started assume that listed nodes are alive.
    pub presumption: bool,
    /// Requests to engines include the priority of their tenant or route.
    pub engine_rank: bool,
    /// Nodes that cannot read the log obtain proofs of their configuration from other nodes.
    pub peer_proofs: bool,
    /// Quotas are divided between nodes by reported demand, otherwise evenly.
    pub shared_quotas: bool,
    /// One node per tenant, the lessor, grants its remaining quota. Without lessors, or while a
    /// lessor does not respond, quotas are divided according to `shared_quotas`.
    pub quota_lessors: bool,
    /// While a quota is short, requests of new programs leave part of it to programs that have
    /// started.
    pub quota_order: bool,
    /// Maximum bytes that are read ahead of a stream's caller, so that a slow caller does not block
    /// its worker. With 0, the worker waits for the caller.
    pub stream_buffer_bytes: usize,
    /// Changes of nodes within a short time are processed as one batch.
    pub batched_changes: bool,
    /// Minimum interval between two calls to the log for one partition while a turn waits for its
    /// permit, in milliseconds. Records in between are batched. Should be short compared to the
    /// time to the first event. 0 disables batching.
    pub leave_pace_ms: u64,
    /// Minimum interval between two such calls while only completions of turns wait, in milliseconds.
    /// Their callers have received almost the whole response. Should be short compared to the
    /// duration of a turn.
    pub end_pace_ms: u64,
    /// Requests wait briefly for their node to finish starting.
    pub starting_patience: bool,
    /// Nodes that have just started give the first candidate of a partition time to read it.
    pub starting_restraint: bool,
    /// Workers whose records were deleted briefly remain available as a last resort.
    pub missing_grace: bool,
    /// Admission of turns to engines.
    pub admission: AdmissionMode,
    /// Fraction of slots up to which engines receive turns while other turns wait. Above 0, at most
    /// 1.
    pub full_share: f64,
    /// Maximum time that a turn waits for a slot at an engine, in milliseconds since it received
    /// its permit. Above 0. The same for all routes, since a limit derived from a route's target
    /// would refuse urgent turns with short targets while others still wait.
    pub longest_wait_ms: u64,
    /// One of this many turns sent to an engine is the one that has waited longest, regardless of
    /// priority. At least 2.
    pub floor_interval: u32,
    /// While turns wait, tenants that have received less service have precedence.
    pub fair_share: bool,
    /// Maximum number of nodes times workers for which every node reads the log's streams itself.
    /// Above it, a few nodes of each zone read for the others. 0 means that only a few nodes ever
    /// read.
    pub reading_pairs: usize,
    /// Runs that may execute at most once are resumed from a copy of their memory if their stream
    /// breaks off and their engines support migration.
    pub run_moves: bool,
    /// Time without an event after which such a run is migrated, in milliseconds. 0 disables
    /// migration because of silence.
    pub leaving_silence_ms: u64,
    /// Maximum bytes that a backup of a run may transfer per token yet to be generated, if engines
    /// support backups. 0 disables backups.
    pub backup_bytes_per_token: u64,
    /// Maximum number of concurrent backups of one node.
    pub most_backups: u32,
    /// Maximum bytes per second transferred by the backups of one node.
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

/// Maximum value of the pace settings in milliseconds. Longer delays are noticeable to callers.
const MAX_PACE_MS: u64 = 200;

/// A parameter is out of range.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("`{key}` {problem}")]
pub struct PolicyError {
    /// Name of the parameter.
    pub key: &'static str,
    /// Description of the allowed range.
    pub problem: &'static str,
}

impl Policy {
    /// Validates the parameters.
    ///
    /// # Errors
    ///
    /// Returns the first parameter that is out of range.
    pub fn check(&self) -> Result<(), PolicyError> {
        let error = |key, problem| Err(PolicyError { key, problem });
        if self.overdraft_share == 0 {
            return error("overdraft_share", "must be 1 or more");
        }
        if !(self.load_bound >= 1.0 && self.load_bound.is_finite()) {
            return error("load_bound", "must be 1 or more");
        }
        if self.leave_pace_ms > MAX_PACE_MS {
            return error("leave_pace_ms", "must be 200 or less");
        }
        if self.end_pace_ms > MAX_PACE_MS {
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
