//! How much room the workers of a service have for turns, as one node sees it.

use elderworks_types::Timestamp;

use crate::workers::{Worker, WorkerDirectory};

/// Slots of a service's workers and what is under way there.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Room {
    /// Slots of the workers that take new work.
    pub slots: u32,
    /// Requests that take slots there, other than this node's.
    pub told: u32,
    /// This node's requests at the service's other workers, which take no slot that counts.
    pub apart: u32,
    /// Nodes that send requests there.
    pub nodes: u32,
}

impl Room {
    /// The room of a service to which `nodes` nodes send requests.
    ///
    /// Workers that are leaving, missing or ejected have no slots, and what runs there takes none. One
    /// that lately refused for lack of room keeps its slots and counts as full, so that others'
    /// refusals do not make the service look smaller, or as if it had no worker at all.
    pub fn of(workers: &WorkerDirectory, service: &str, nodes: u32, now: Timestamp) -> Self {
        let mut room = Self {
            nodes,
            ..Self::default()
        };
        for worker in workers.known(service) {
            if !workers.is_accepting(worker) || worker.is_ejected(now) {
                room.apart += worker.in_flight;
                continue;
            }
            room.slots += worker.record.slots;
            room.told += taken_by_others(workers, worker, now);
        }
        room
    }
}

fn taken_by_others(workers: &WorkerDirectory, worker: &Worker, now: Timestamp) -> u32 {
    let load = workers.load(worker);
    let taken = match worker.is_full(now) {
        true => load.max(worker.record.slots),
        false => load,
    };
    taken - worker.in_flight
}
