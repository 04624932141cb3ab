//! Admission control for one engine service.

use std::time::Duration;

use elderworks_types::Timestamp;
use xxhash_rust::xxh3::xxh3_64;

use super::allotment::{PeerWaiting, node_share};
use super::demand::{Waiting, level_of};
use super::pace::{ArrivalRate, TurnTime};
use super::queue::{Queue, Ticket, Usage};
use super::room::Room;
use super::turn::{ProgramState, QueuedTurn};
use super::{AdmissionMode, AdmissionRules};

/// Time over which free places are allotted. Nodes report their load at this interval, so releases
/// of other nodes within it are not visible.
const ALLOTMENT_INTERVAL: Duration = Duration::from_millis(100);

/// Fraction of the free (or overcommitted) places by which the allotment of one interval is
/// corrected. All nodes see the same delayed count; a full correction would oscillate.
const CORRECTION_FACTOR: f64 = 0.5;

/// Fraction of its remaining waiting time that a new program's turn may be expected to wait. Beyond
/// it, the turn is refused to leave the capacity to programs that have already run turns.
const NEW_PROGRAM_PATIENCE_FRACTION: f64 = 0.5;

/// Minimum time after which a refused caller should retry.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(150);

/// Maximum jitter as a fraction of the retry time, so that callers that were refused together don't
/// retry together.
const RETRY_JITTER_FRACTION: f64 = 0.5;

/// The outcome of a turn's arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Arrival {
    /// The turn may run now and counts as in flight.
    Admit,
    /// The turn waits in the queue.
    Wait {
        /// Identifies the turn.
        ticket: Ticket,
        /// Turns ahead of it at all nodes.
        ahead: u32,
    },
    /// The turn can't be served in time, or the queue is full.
    Refuse(Refused),
}

/// The decision on a turn that has arrived.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Decision {
    /// The outcome of the arrival.
    pub arrival: Arrival,
    /// Waiting turns of lower priority that were removed from the full queue.
    pub displaced: Vec<Ticket>,
}

impl From<Arrival> for Decision {
    fn from(arrival: Arrival) -> Self {
        Self {
            arrival,
            displaced: Vec::new(),
        }
    }
}

/// Why a turn was refused, and when its caller should retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refused {
    /// Whether this node's queue is full; otherwise the turn would wait too long for a place.
    pub queue_full: bool,
    /// Turns ahead of it at all nodes.
    pub ahead: u32,
    /// Time until a place is expected, with jitter.
    pub retry_after: Duration,
}

/// The inputs of a decision.
pub(super) struct GateContext<'a> {
    pub(super) now: Timestamp,
    pub(super) rules: &'a AdmissionRules,
    pub(super) room: Room,
    pub(super) waiting_elsewhere: PeerWaiting,
}

/// The turns of one service that wait at this node or were admitted by it.
#[derive(Debug, Default)]
pub(super) struct Gate {
    queue: Queue,
    turn_time: TurnTime,
    arrivals: ArrivalRate,
    /// Admitted turns that have not completed.
    in_flight: u32,
    /// Places that this node may use now, including fractions carried over.
    allotted: f64,
    allotted_at: Option<Timestamp>,
    releases: u32,
}

impl Gate {
    pub(super) fn waiting_count(&self) -> usize {
        self.queue.len()
    }

    pub(super) fn waiting(&self) -> Waiting {
        self.queue.waiting()
    }

    /// Admits a turn immediately if there is a place and no other turn waits; returns whether it
    /// did.
    pub(super) fn try_admit(&mut self, context: &GateContext<'_>, urgency: u8) -> bool {
        self.arrivals.record(context.now, level_of(urgency));
        // Without any worker, the turn is admitted, and the attempt reports the error.
        let is_open = context.rules.mode == AdmissionMode::Off || context.room.slots == 0;
        let none_waiting = self.queue.len() == 0 && context.waiting_elsewhere.is_nothing();
        let has_place = self.free(context.rules, context.room) >= 1.0;
        let is_admitted = is_open || (none_waiting && has_place);
        if is_admitted {
            self.in_flight += 1;
        }
        is_admitted
    }

    /// Adds a turn to the queue, or refuses it if it can't be served in time or the queue is full.
    pub(super) fn queue_up(
        &mut self,
        context: &GateContext<'_>,
        usage: &mut Usage,
        ticket: Ticket,
        turn: QueuedTurn,
    ) -> Decision {
        let ahead = self.ahead_of(context, &turn);
        let wait = self.expected_wait(context, &turn, ahead);
        let ahead = ahead.total();
        let refused = |queue_full| {
            Arrival::Refuse(Refused {
                queue_full,
                ahead,
                retry_after: with_jitter(wait, turn.seed),
            })
        };
        let is_next = ahead == 0;
        let is_too_late = wait > max_wait(&turn, context.now);
        if self.turn_time.has_enough_samples() && !is_next && is_too_late {
            return Decision::from(refused(false));
        }
        let displaced = self.make_room(context, usage, &turn);
        if !usage.has_room(&context.rules.limits, turn.bytes) {
            return Decision {
                arrival: refused(true),
                displaced,
            };
        }
        if self.queue.len() == 0 {
            self.init_allotment(turn.seed);
        }
        self.queue.push(usage, ticket, turn);
        Decision {
            arrival: Arrival::Wait { ticket, ahead },
            displaced,
        }
    }

    /// Removes turns that come after a new one from the full queue until the new one fits; returns
    /// the removed turns.
    fn make_room(
        &mut self,
        context: &GateContext<'_>,
        usage: &mut Usage,
        turn: &QueuedTurn,
    ) -> Vec<Ticket> {
        let limits = &context.rules.limits;
        let mut displaced = Vec::new();
        if turn.bytes > limits.bytes {
            return displaced;
        }
        let min_turn_time = self.turn_time.min_turn_time();
        let order = turn.order(context.now, min_turn_time);
        while !usage.has_room(limits, turn.bytes) {
            let last = self
                .queue
                .take_last_after(usage, context.now, min_turn_time, order);
            let Some(last) = last else {
                break;
            };
            displaced.push(last);
        }
        displaced
    }

    /// Removes and returns the turns that may run now.
    pub(super) fn release(&mut self, context: &GateContext<'_>, usage: &mut Usage) -> Vec<Ticket> {
        self.allot(context);
        let mut released = Vec::new();
        while self.may_release(context) {
            let Some(ticket) = self.take_next(context, usage) else {
                break;
            };
            self.in_flight += 1;
            self.allotted -= 1.0;
            released.push(ticket);
        }
        released
    }

    fn may_release(&self, context: &GateContext<'_>) -> bool {
        if context.room.slots == 0 {
            return true;
        }
        let has_place = self.free(context.rules, context.room) >= 1.0;
        match context.rules.mode {
            AdmissionMode::Off => true,
            AdmissionMode::ToldLoad => has_place,
            AdmissionMode::ToldDemand if context.waiting_elsewhere.is_nothing() => has_place,
            AdmissionMode::ToldDemand => self.allotted >= 1.0,
        }
    }

    fn take_next(&mut self, context: &GateContext<'_>, usage: &mut Usage) -> Option<Ticket> {
        self.releases = self.releases.wrapping_add(1);
        let min_turn_time = self.turn_time.min_turn_time();
        if self.releases.is_multiple_of(context.rules.floor_interval) {
            return self.queue.take_for_floor(usage, context.now, min_turn_time);
        }
        self.queue.take_first(usage, context.now, min_turn_time)
    }

    pub(super) fn withdraw(&mut self, usage: &mut Usage, ticket: Ticket) {
        self.queue.remove(usage, ticket);
    }

    pub(super) fn complete(&mut self, took: Option<Duration>) {
        self.in_flight = self.in_flight.saturating_sub(1);
        if let Some(took) = took {
            self.turn_time.record(took);
        }
    }

    /// Returns when the caller of a turn that was never released should retry.
    pub(super) fn retry_after(
        &self,
        rules: &AdmissionRules,
        room: Room,
        waiting_elsewhere: PeerWaiting,
        seed: u64,
    ) -> Duration {
        let ahead = saturating_u32(self.queue.len()).saturating_add(waiting_elsewhere.0.total());
        let rate = self.turn_time.completion_rate(places(rules, room));
        with_jitter(Duration::from_secs_f64(f64::from(ahead) / rate), seed)
    }

    /// Starts with a random fraction of a place. Nodes with small shares would otherwise all reach a
    /// whole place at the same time.
    fn init_allotment(&mut self, seed: u64) {
        self.allotted = unit_fraction(seed);
    }

    /// Adds this node's share of the places that became free since the last call: the expected
    /// completions at all nodes, corrected by a fraction of the places that appear free. Fractions of
    /// a place carry over to the next call.
    fn allot(&mut self, context: &GateContext<'_>) {
        let last = self.allotted_at.replace(context.now);
        let elapsed = last.map_or(ALLOTMENT_INTERVAL, |last| {
            context.now.since(last).min(ALLOTMENT_INTERVAL)
        });
        let free = self.free(context.rules, context.room);
        let taken = places(context.rules, context.room) - free.max(0.0);
        let in_interval =
            self.turn_time.completions_within(ALLOTMENT_INTERVAL, taken) + free * CORRECTION_FACTOR;
        let share = node_share(
            in_interval.max(0.0),
            self.queue.waiting(),
            context.waiting_elsewhere,
            floor_fraction(context.rules),
        );
        let fraction = elapsed.as_secs_f64() / ALLOTMENT_INTERVAL.as_secs_f64();
        self.allotted = self.allotted.clamp(0.0, 1.0) + share * fraction;
    }

    fn free(&self, rules: &AdmissionRules, room: Room) -> f64 {
        let own = self.in_flight.saturating_sub(room.own_uncounted);
        places(rules, room) - f64::from(own) - f64::from(room.taken_by_others)
    }

    fn ahead_of(&self, context: &GateContext<'_>, turn: &QueuedTurn) -> Ahead {
        let min_turn_time = self.turn_time.min_turn_time();
        let order = turn.order(context.now, min_turn_time);
        let here = saturating_u32(self.queue.ahead_of(context.now, min_turn_time, order));
        let more_urgent = self.queue.waiting().more_urgent_than(turn.urgency);
        let waiting_elsewhere = context.waiting_elsewhere.0;
        Ahead {
            more_urgent: more_urgent
                .saturating_add(waiting_elsewhere.more_urgent_than(turn.urgency)),
            same_level: here
                .saturating_sub(more_urgent)
                .saturating_add(waiting_elsewhere.same_level(turn.urgency)),
        }
    }

    /// Estimates how long a turn will wait. More urgent turns that wait are served first, and those
    /// that arrive later reduce the rate that is left to this one, but not below the floor.
    fn expected_wait(
        &self,
        context: &GateContext<'_>,
        turn: &QueuedTurn,
        ahead: Ahead,
    ) -> Duration {
        let rate = self
            .turn_time
            .completion_rate(places(context.rules, context.room));
        let floor = rate * floor_fraction(context.rules);
        let more_urgent_rate = self.arrivals.more_urgent_than(level_of(turn.urgency));
        let left = (rate - more_urgent_rate * self.fleet_factor(context.room)).max(floor);
        let same_level = f64::from(ahead.same_level) + 1.0;
        let in_order = f64::from(ahead.more_urgent) / rate + same_level / left;
        Duration::from_secs_f64(in_order.min(same_level / floor))
    }

    /// Estimates the ratio of all nodes' arrival rate to this node's from the ratio of their
    /// requests in flight. The number of nodes bounds it, since the ratio says little about a node
    /// that has almost nothing in flight.
    fn fleet_factor(&self, room: Room) -> f64 {
        let own = f64::from(self.in_flight.max(1));
        let factor = (own + f64::from(room.taken_by_others)) / own;
        factor.min(f64::from(room.nodes.max(1)))
    }
}

/// Turns ahead of another one at all nodes.
#[derive(Clone, Copy, Debug)]
struct Ahead {
    /// Turns of more urgent levels.
    more_urgent: u32,
    /// Turns of the same level.
    same_level: u32,
}

impl Ahead {
    fn total(self) -> u32 {
        self.more_urgent.saturating_add(self.same_level)
    }
}

/// Returns how many turns may run at the service at the same time.
fn places(rules: &AdmissionRules, room: Room) -> f64 {
    f64::from(room.slots) * rules.full_share
}

/// Returns the maximum expected wait with which a turn is accepted into the queue.
fn max_wait(turn: &QueuedTurn, now: Timestamp) -> Duration {
    let patience = turn.patience(now);
    match turn.program_state {
        ProgramState::Started => patience,
        ProgramState::New => patience.mul_f64(NEW_PROGRAM_PATIENCE_FRACTION),
    }
}

fn with_jitter(wait: Duration, seed: u64) -> Duration {
    wait.mul_f64(1.0 + RETRY_JITTER_FRACTION * unit_fraction(seed))
        .max(MIN_RETRY_AFTER)
}

/// Hashes a seed to a number from 0 to 1.
fn unit_fraction(seed: u64) -> f64 {
    xxh3_64(&seed.to_le_bytes()) as f64 / u64::MAX as f64
}

fn floor_fraction(rules: &AdmissionRules) -> f64 {
    1.0 / f64::from(rules.floor_interval)
}

fn saturating_u32(count: usize) -> u32 {
    u32::try_from(count).unwrap_or(u32::MAX)
}
