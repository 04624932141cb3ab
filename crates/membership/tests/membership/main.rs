//! Tests of failure detection, cells and assignment on a simulated network.

mod arbitrary;
mod assignment;
mod cells;
mod detection;
mod support;
