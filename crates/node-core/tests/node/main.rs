//! The composed node against a log in memory.

mod calls;
mod configuration;
mod control;
mod engines;
mod fixtures;
mod ownership;
mod snapshots;
mod world;
