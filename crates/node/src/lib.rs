//! The node process: actix-rt driver around node-core.
