//! The whole system as separate processes, started from the files under `examples/`.

mod caller;
mod child;
mod fleet;
mod limits;
mod programs;
