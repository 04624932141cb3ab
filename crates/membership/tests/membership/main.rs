//! Tests of the failure detector, of cells and of assignment, in one binary with one harness.

mod arbitrary;
mod assignment;
mod cells;
mod detection;
mod support;
