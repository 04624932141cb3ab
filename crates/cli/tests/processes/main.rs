//! Tests of the complete system as separate processes, started from the files under `examples/`.

mod caller;
mod child;
mod drains;
mod engines;
mod faults;
mod fleet;
mod limits;
mod outages;
mod pauses;
mod programs;
mod streams;
