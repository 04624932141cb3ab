//! Capacity and load of a service's workers, as one node knows them.

use elderworks_types::Timestamp;

use crate::workers::{Worker, WorkerDirectory};

/// Slots of a service's workers and the requests that occupy them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Room {
    /// Slots of the workers that accept new requests.
    pub slots: u32,
    /// Slots of those workers that are occupied by other nodes' requests.
    pub taken_by_others: u32,
    /// This node's requests at workers whose slots aren't counted.
    pub own_uncounted: u32,
    /// Number of nodes that send requests to the service.
    pub nodes: u32,
}

impl Room {
    /// Computes the room of a service to which `nodes` nodes send requests.
    ///
    /// Draining, missing and ejected workers contribute no slots, and their requests occupy none. A
    /// worker that recently refused a request for lack of capacity contributes its slots and counts
    /// as full, so that a full service isn't mistaken for one without workers.
    pub fn of(workers: &WorkerDirectory, service: &str, nodes: u32, now: Timestamp) -> Self {
        let mut room = Self {
            nodes,
            ..Self::default()
        };
        for worker in workers.known(service) {
            if !workers.is_accepting(worker) || worker.is_ejected(now) {
                room.own_uncounted = room.own_uncounted.saturating_add(worker.in_flight);
                continue;
            }
            let taken = taken_by_others(workers, worker, now);
            room.slots = room.slots.saturating_add(worker.record.slots);
            room.taken_by_others = room.taken_by_others.saturating_add(taken);
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
    taken.saturating_sub(worker.in_flight)
}
