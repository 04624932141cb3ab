//! Tests of composed nodes on an in-memory log.

mod calls;
mod configuration;
mod control;
mod drains;
mod engines;
mod fixtures;
mod log_outages;
mod operators;
mod ownership;
mod pace;
mod snapshots;
mod world;
