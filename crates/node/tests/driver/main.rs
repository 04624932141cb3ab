//! End-to-end tests of the node process with real sockets and HTTP, and stand-ins of the platform.

mod bad_bytes;
mod runs;
mod support;
