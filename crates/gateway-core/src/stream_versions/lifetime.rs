//! How long a stream can last with the tries of its caller, and so how long it matters which versions
//! were in use.
//!
//! A caller may come back until its deadline, which may be longer than the time for which a route holds
//! one request, and a stream may have begun while the routes held requests for longer than they do now.

use std::time::Duration;

/// Longest deadline of a caller that counts.
pub const MAX_DEADLINE: Duration = Duration::from_secs(60);

/// The longest time that a stream of this process could last.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StreamLifetime {
    longest: Duration,
}

impl StreamLifetime {
    /// Records how long streams can last by the routes of a configuration.
    pub fn note_routes(&mut self, lifetime: Duration) {
        self.longest = self.longest.max(lifetime);
    }

    /// Records how long a caller waits.
    pub fn note_deadline(&mut self, deadline: Duration) {
        self.longest = self.longest.max(deadline.min(MAX_DEADLINE));
    }

    /// Returns how long a stream can last.
    pub fn get(self) -> Duration {
        self.longest
    }
}
