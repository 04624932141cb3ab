//! The node process: actix-rt driver around node-core.

pub mod operator;
