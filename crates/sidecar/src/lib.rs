//! The sidecar process: callers' HTTP interface and the driver around sidecar-core.
