//! Tests of the callers' HTTP API against a scripted node.

mod bad_input;
mod broken_answers;
mod client;
mod node;
mod programs;
mod stream;
