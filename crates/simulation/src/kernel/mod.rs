//! Simulation primitives: clock, event queue, random numbers, network and process slots.

pub mod clock;
pub mod network;
pub mod process;
pub mod queue;
pub mod random;

pub use clock::{Clock, Instant};
pub use network::{Direction, Endpoint, Network, NetworkProfile};
pub use process::{ProcessId, Slot};
pub use queue::EventQueue;
pub use random::{Purpose, Random};
