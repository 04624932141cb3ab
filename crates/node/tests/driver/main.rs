//! The node process end to end: real sockets and HTTP, stand-ins on free ports.

mod bad_bytes;
mod runs;
mod support;
