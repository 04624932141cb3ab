//! Tests of the callers' HTTP API against a scripted node.

mod bad_input;
mod client;
mod node;
mod programs;
mod stream;
