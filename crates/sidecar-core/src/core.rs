//! The state machine.

use std::net::SocketAddr;
use std::time::Duration;

use elderworks_types::Timestamp;

use crate::{Effect, Event};

/// How often a driver sends [`Event::Tick`].
pub const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// What a sidecar is given at its start.
#[derive(Clone, Debug)]
pub struct SidecarSettings {
    /// Addresses of some nodes.
    pub nodes: Vec<SocketAddr>,
    /// Seed of its random choices; also its name on connections.
    pub seed: u64,
    /// Most calls open at once; more are refused.
    pub max_open_calls: usize,
}

/// One sidecar.
pub struct SidecarCore {
    _settings: SidecarSettings,
}

impl SidecarCore {
    /// A sidecar without open calls.
    pub fn new(settings: SidecarSettings) -> Self {
        Self {
            _settings: settings,
        }
    }

    /// Takes one event and returns what is to be done, in order.
    pub fn handle(&mut self, _now: Timestamp, _event: Event) -> Vec<Effect> {
        Vec::new()
    }
}
