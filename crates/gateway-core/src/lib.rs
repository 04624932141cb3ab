//! Decision logic of the callers' gateway.
//!
//! Contains pure state machines and functions without I/O or a clock: routing of requests,
//! selection of workers, handling of failed attempts, budgets of programs, and storage of
//! conversations. The driver is `elderworks-gateway`.

pub mod access;
pub mod admission;
pub mod answers;
pub mod append_pace;
pub mod attempt;
pub mod balancer;
pub mod call;
pub mod cold_workers;
pub mod config;
pub mod config_proof;
pub mod departures;
pub mod drain;
pub mod engine_memory;
pub mod engines;
pub mod evacuations;
pub mod events;
pub mod feed;
pub mod ledger;
pub mod log_call_purpose;
pub mod log_outage;
pub mod log_reachability;
pub mod log_streams;
pub mod nodes;
pub mod outage_wait;
pub mod ownership;
pub mod partition_failover;
pub mod peer_loads;
pub mod placement;
pub mod policy;
pub mod pressure;
pub mod quota;
pub mod recompute_throttle;
pub mod response_time;
pub mod run_moves;
pub mod split;
pub mod start;
pub mod stream_reads;
pub mod stream_versions;
pub mod tenants;
pub mod unreadable;
pub mod worker_ends;
pub mod worker_health;
pub mod workers;
pub mod zone_health;
pub mod zone_spread;
