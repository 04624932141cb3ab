//! What a turn costs at one engine, in milliseconds: its own wait there and the delay that it
//! brings to others.
//!
//! Load overrules holding smoothly: a full home gives way to an engine that has to read the part
//! as soon as the wait at the home is longer than the reading and what that does to the turns
//! that run there.

/// Tokens of a prompt that an engine reads in a millisecond, as long as nothing is known.
const READ_RATE: f64 = 200.0;

/// Part of the time of a reading that each other turn on that engine loses: its decoding hardly
/// goes on meanwhile, but not every turn is in a hurry.
const HARM: f64 = 0.25;

/// Time of a turn on a full engine, without its prompt.
const FULL_TURN_MS: f64 = 250.0;

/// Share of its slots up to which turns on an engine hardly delay each other: leaving the engine
/// that holds the program's context for one with less load gains nothing below it.
const CALM_FILL: f64 = 0.5;

/// Times as much as a turn on a full engine loses for each further round of its queue.
const QUEUE_FACTOR: f64 = 2.0;

/// What the way to another zone costs: the time there and back, and bytes that are paid for.
const FAR_MS: f64 = 10.0;

/// How much of reading the program's own context an engine further back in the program's order
/// costs more than the one before it, so that turns that give way meet again.
const ORDER_STEP: f64 = 0.1;

/// One engine as a candidate for a turn.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// Whether it is home to the prompt's first part.
    pub is_home: bool,
    /// Whether it is in this node's zone.
    pub is_near: bool,
    /// Its place in the program's order; 0 is the first.
    pub order: usize,
    /// Requests under way there, of all nodes.
    pub load: f64,
    /// Requests that it runs at once.
    pub slots: f64,
}

/// Cost of a turn at a candidate in milliseconds; the least is best.
pub fn cost_ms(candidate: &Candidate, part_tokens: u64, private_tokens: u64) -> f64 {
    let part = if candidate.is_home {
        0.0
    } else {
        part_tokens as f64
    };
    let moved = match candidate.order {
        0 => 0.0,
        order => private_tokens as f64 * (1.0 + ORDER_STEP * order as f64),
    };
    let harm = 1.0 + HARM * candidate.load;
    let reading = (part + moved) / READ_RATE * harm;
    let way = if candidate.is_near { 0.0 } else { FAR_MS };
    reading + way + load_ms(candidate)
}

/// Delay by the turns that run or wait there.
fn load_ms(candidate: &Candidate) -> f64 {
    let filled = (candidate.load + 1.0) / candidate.slots.max(1.0);
    let crowded = (filled.min(1.0) - CALM_FILL).max(0.0) / (1.0 - CALM_FILL);
    let waiting = (filled - 1.0).max(0.0);
    FULL_TURN_MS * (crowded * crowded + QUEUE_FACTOR * waiting)
}
