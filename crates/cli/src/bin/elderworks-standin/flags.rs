//! Command line definition of `elderworks-standin`.

// The macro uses doc comments as help texts and generates undocumented types.
#![allow(missing_docs)]

use std::net::SocketAddr;
use std::path::PathBuf;
use std::str::FromStr;

use elderworks_settings::Override;

xflags::xflags! {
    /// Stand-ins for the platform and back ends, for tests and experiments.
    cmd elderworks-standin {
        /// What to serve: log, engine, tool, machines or weights.
        required service: Service
        /// Settings file; flags alone suffice without one.
        optional --settings file: PathBuf
        /// Listen here (IP:port); port 0 takes a free one.
        optional --listen address: SocketAddr
        /// Set key=value over the file; may be repeated.
        repeated --set change: Override
    }
}

/// Service that the process provides.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Service {
    Log,
    Engine,
    Tool,
    Machines,
    Weights,
}

/// Error for an unknown service name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("expected log, engine, tool, machines or weights")]
pub struct UnknownService;

impl FromStr for Service {
    type Err = UnknownService;

    fn from_str(name: &str) -> Result<Self, UnknownService> {
        match name {
            "log" => Ok(Service::Log),
            "engine" => Ok(Service::Engine),
            "tool" => Ok(Service::Tool),
            "machines" => Ok(Service::Machines),
            "weights" => Ok(Service::Weights),
            _ => Err(UnknownService),
        }
    }
}
