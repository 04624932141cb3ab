//! The admission to one engine service.

use std::time::Duration;

use elderworks_types::Timestamp;
use xxhash_rust::xxh3::xxh3_64;

use super::allotment::{PeerWaiting, share_of};
use super::demand::{Waiting, level_of};
use super::pace::{Inflow, Pace};
use super::queue::{Queue, Ticket, Usage};
use super::room::Room;
use super::turn::{ProgramState, QueuedTurn};
use super::{AdmissionMode, AdmissionRules};

/// Time over which free places are handed out: nodes tell each other of their load as often, so
/// within that time the others' releases are not seen.
const ROUND: Duration = Duration::from_millis(100);

/// Part of the places that look free, or are taken beyond all places, by which a round corrects
/// what is handed out. All nodes see the same ones, and see them late: with all of it, they would
/// swing between too many and too few.
const CORRECTION: f64 = 0.5;

/// Part of its patience that a new program may have to wait: beyond that, it would rather take the
/// place of programs that have begun than be served.
const NEWCOMERS_PART: f64 = 0.5;

/// Shortest time after which a refused caller comes back.
const SHORTEST_RETRY: Duration = Duration::from_millis(150);

/// Part by which times to come back are spread, so that callers who were refused together do not
/// return together.
const SPREAD: f64 = 0.5;

/// What becomes of a turn that has arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Arrival {
    /// It goes now and counts as under way.
    Admit,
    /// It waits.
    Wait {
        /// Names it.
        ticket: Ticket,
        /// Turns that go before it, here and elsewhere.
        ahead: u32,
    },
    /// It surely cannot be served in time, or there is no room for it to wait.
    Refuse(Refused),
}

/// The decision on a turn that has arrived.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Decision {
    /// What becomes of it.
    pub arrival: Arrival,
    /// Less pressing turns that were waiting and had to make room for it.
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

/// A turn that was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refused {
    /// Whether this node has no room for more waiting turns, rather than the service no place.
    pub queue_full: bool,
    /// Turns that go before it, here and elsewhere.
    pub ahead: u32,
    /// When room is expected, spread out.
    pub retry_after: Duration,
}

/// What a decision rests on.
pub(super) struct GateContext<'a> {
    pub(super) now: Timestamp,
    pub(super) rules: &'a AdmissionRules,
    pub(super) room: Room,
    pub(super) elsewhere: PeerWaiting,
}

/// The turns of one service that wait or run.
#[derive(Debug, Default)]
pub(super) struct Gate {
    queue: Queue,
    pace: Pace,
    inflow: Inflow,
    /// Turns of this node that have gone and not ended.
    under_way: u32,
    /// Places that this node may take now.
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

    /// Lets a turn go at once if there is nothing to wait for.
    pub(super) fn passes(&mut self, context: &GateContext<'_>, urgency: u8) -> bool {
        self.inflow.note(context.now, level_of(urgency));
        // What is said if there is no worker at all is for the attempt to decide.
        let is_open = context.rules.mode == AdmissionMode::Off || context.room.slots == 0;
        let nobody_waits = self.queue.len() == 0 && context.elsewhere.is_nothing();
        let has_place = self.free(context.rules, context.room) >= 1.0;
        let passes = is_open || (nobody_waits && has_place);
        if passes {
            self.under_way += 1;
        }
        passes
    }

    /// Lets a turn wait, if it can be served in time.
    pub(super) fn queue_up(
        &mut self,
        context: &GateContext<'_>,
        usage: &mut Usage,
        ticket: Ticket,
        claim: QueuedTurn,
    ) -> Decision {
        let ahead = self.ahead_of(context, &claim);
        let wait = self.expected_wait(context, &claim, ahead);
        let ahead = ahead.total();
        let refused = |queue_full| {
            Arrival::Refuse(Refused {
                queue_full,
                ahead,
                retry_after: spread_out(wait, claim.spread),
            })
        };
        let is_next = ahead == 0;
        let comes_late = wait > longest_wait(&claim, context.now);
        if self.pace.is_known() && !is_next && comes_late {
            return Decision::from(refused(false));
        }
        let displaced = self.make_room(context, usage, &claim);
        if !usage.has_room(&context.rules.limits, claim.bytes) {
            return Decision {
                arrival: refused(true),
                displaced,
            };
        }
        if self.queue.len() == 0 {
            self.begin_allotting(claim.spread);
        }
        self.queue.push(usage, ticket, claim);
        Decision {
            arrival: Arrival::Wait { ticket, ahead },
            displaced,
        }
    }

    /// Takes out turns that go after one that has arrived, until there is room for it.
    fn make_room(
        &mut self,
        context: &GateContext<'_>,
        usage: &mut Usage,
        claim: &QueuedTurn,
    ) -> Vec<Ticket> {
        let limits = &context.rules.limits;
        let mut displaced = Vec::new();
        if claim.bytes > limits.bytes {
            return displaced;
        }
        let least_turn = self.pace.least_turn();
        let order = claim.order(context.now, least_turn);
        while !usage.has_room(limits, claim.bytes) {
            let last = self
                .queue
                .take_last_after(usage, context.now, least_turn, order);
            let Some(last) = last else {
                break;
            };
            displaced.push(last);
        }
        displaced
    }

    /// The turns that may go now.
    pub(super) fn release(&mut self, context: &GateContext<'_>, usage: &mut Usage) -> Vec<Ticket> {
        self.allot(context);
        let mut released = Vec::new();
        while self.may_release(context) {
            let Some(ticket) = self.take_next(context, usage) else {
                break;
            };
            self.under_way += 1;
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
            AdmissionMode::ToldDemand if context.elsewhere.is_nothing() => has_place,
            AdmissionMode::ToldDemand => self.allotted >= 1.0,
        }
    }

    fn take_next(&mut self, context: &GateContext<'_>, usage: &mut Usage) -> Option<Ticket> {
        self.releases = self.releases.wrapping_add(1);
        let least_turn = self.pace.least_turn();
        if self.releases.is_multiple_of(context.rules.floor_interval) {
            return self.queue.take_for_floor(usage, context.now, least_turn);
        }
        self.queue.take_first(usage, context.now, least_turn)
    }

    pub(super) fn withdraw(&mut self, usage: &mut Usage, ticket: Ticket) {
        self.queue.remove(usage, ticket);
    }

    pub(super) fn end(&mut self, took: Option<Duration>) {
        self.under_way = self.under_way.saturating_sub(1);
        if let Some(took) = took {
            self.pace.note(took);
        }
    }

    /// When a caller whose turn waited in vain should come back.
    pub(super) fn retry_after(
        &self,
        rules: &AdmissionRules,
        room: Room,
        elsewhere: PeerWaiting,
        spread: u64,
    ) -> Duration {
        let ahead = saturating_u32(self.queue.len()).saturating_add(elsewhere.0.total());
        let rate = self.pace.rate(places(rules, room));
        spread_out(Duration::from_secs_f64(f64::from(ahead) / rate), spread)
    }

    /// Begins with a part of a place by chance: nodes whose shares are small fractions would else
    /// release nothing for a while, and then all at the same time.
    fn begin_allotting(&mut self, spread: u64) {
        self.allotted = fraction(spread);
    }

    /// Hands this node its share of the places that have become free since the last time: those
    /// that turns everywhere have left by the pace at which they end, and part of those that look
    /// free. What is left of less than a place is kept, so that small shares add up.
    fn allot(&mut self, context: &GateContext<'_>) {
        let last = self.allotted_at.replace(context.now);
        let passed = last.map_or(ROUND, |last| context.now.since(last).min(ROUND));
        let free = self.free(context.rules, context.room);
        let taken = places(context.rules, context.room) - free.max(0.0);
        let in_round = self.pace.ends_within(ROUND, taken) + free * CORRECTION;
        let share = share_of(
            in_round.max(0.0),
            self.queue.waiting(),
            context.elsewhere,
            floor_share(context.rules),
        );
        let part = passed.as_secs_f64() / ROUND.as_secs_f64();
        self.allotted = self.allotted.clamp(0.0, 1.0) + share * part;
    }

    fn free(&self, rules: &AdmissionRules, room: Room) -> f64 {
        let own = self.under_way.saturating_sub(room.apart);
        places(rules, room) - f64::from(own) - f64::from(room.told)
    }

    fn ahead_of(&self, context: &GateContext<'_>, claim: &QueuedTurn) -> Ahead {
        let least_turn = self.pace.least_turn();
        let order = claim.order(context.now, least_turn);
        let here = saturating_u32(self.queue.ahead_of(context.now, least_turn, order));
        let more_urgent = self.queue.waiting().more_urgent_than(claim.urgency);
        let elsewhere = context.elsewhere.0;
        Ahead {
            more_urgent: more_urgent.saturating_add(elsewhere.more_urgent_than(claim.urgency)),
            alike: here
                .saturating_sub(more_urgent)
                .saturating_add(elsewhere.alike(claim.urgency)),
        }
    }

    /// How long a turn will wait: more urgent ones that wait go first, and those that keep coming
    /// leave only part of the pace to it, but the floor at least.
    fn expected_wait(
        &self,
        context: &GateContext<'_>,
        claim: &QueuedTurn,
        ahead: Ahead,
    ) -> Duration {
        let rate = self.pace.rate(places(context.rules, context.room));
        let floor = rate * floor_share(context.rules);
        let inflow = self.inflow.more_urgent_than(level_of(claim.urgency));
        let left = (rate - inflow * self.fleet_factor(context.room)).max(floor);
        let alike = f64::from(ahead.alike) + 1.0;
        let in_turn = f64::from(ahead.more_urgent) / rate + alike / left;
        Duration::from_secs_f64(in_turn.min(alike / floor))
    }

    /// How many times as much as this node all nodes together have under way, and so, about, how
    /// many times as much they are asked for. A node that has next to nothing under way tells too
    /// little of the others: it is taken for one that is asked as much as they are.
    fn fleet_factor(&self, room: Room) -> f64 {
        let own = f64::from(self.under_way.max(1));
        let factor = (own + f64::from(room.told)) / own;
        factor.min(f64::from(room.nodes.max(1)))
    }
}

/// Turns that go before another one, here and elsewhere.
#[derive(Clone, Copy, Debug)]
struct Ahead {
    /// More urgent ones.
    more_urgent: u32,
    /// Others.
    alike: u32,
}

impl Ahead {
    fn total(self) -> u32 {
        self.more_urgent.saturating_add(self.alike)
    }
}

/// Turns that may be under way at once.
fn places(rules: &AdmissionRules, room: Room) -> f64 {
    f64::from(room.slots) * rules.full_share
}

/// The longest that a turn may be expected to wait.
fn longest_wait(claim: &QueuedTurn, now: Timestamp) -> Duration {
    let patience = claim.patience(now);
    match claim.standing {
        ProgramState::Started => patience,
        ProgramState::New => patience.mul_f64(NEWCOMERS_PART),
    }
}

fn spread_out(wait: Duration, spread: u64) -> Duration {
    wait.mul_f64(1.0 + SPREAD * fraction(spread))
        .max(SHORTEST_RETRY)
}

/// A number from 0 to 1 that differs from turn to turn.
fn fraction(spread: u64) -> f64 {
    xxh3_64(&spread.to_le_bytes()) as f64 / u64::MAX as f64
}

fn floor_share(rules: &AdmissionRules) -> f64 {
    1.0 / f64::from(rules.floor_interval)
}

fn saturating_u32(count: usize) -> u32 {
    u32::try_from(count).unwrap_or(u32::MAX)
}
