//! The composed node against a log in memory.

mod calls;
mod control;
mod engines;
mod fixtures;
mod ownership;
mod world;
