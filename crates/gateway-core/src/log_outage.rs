//! Whether the log has fallen silent, known from one late answer beside the usual ones.
//!
//! A call that takes longer than answers usually do makes the log *late*. If no other node has had an
//! answer meanwhile, it is *silent*: whatever needs an append to end would not end. A log that is
//! merely slow, or that does not answer one node alone, is not: the first answer, here or elsewhere,
//! shows it.
//!
//! Time in which this process itself did not run does not count, so a frozen node or a small one under
//! load takes nobody else for silent.

use std::collections::BTreeMap;
use std::time::Duration;

use elderworks_types::{NodeId, Timestamp};

/// Interval at which the driver looks while calls are under way.
pub const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// A look that comes later than this shows that the process was held up.
const HELD_UP: Duration = Duration::from_millis(25);

/// Shortest and longest time after which a call is late; the first is some times a usual answer.
const SOONEST_LATE: Duration = Duration::from_millis(30);
const LATEST_LATE: Duration = Duration::from_millis(400);

/// The same before the first answer.
const LATE_AT_FIRST: Duration = Duration::from_millis(150);

/// A late log whose silence no other node confirms or denies is silent after so many times that.
const UNCONFIRMED_TIMES: u32 = 3;

/// Other nodes that must wait for the log as well: one alone may have lost its own way to it.
const CONFIRMING_NODES: usize = 2;

/// What another node has said counts for this long unless it repeats it.
const WORD_LASTS: Duration = Duration::from_millis(700);

/// Calls whose begin is remembered; the earliest ones suffice.
const MOST_CALLS: usize = 64;

/// What is known of the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LogState {
    /// It answers as usual, or nobody waits for it.
    #[default]
    Normal,
    /// A call has waited for longer than usual.
    Late {
        /// Since when.
        since: Timestamp,
    },
    /// It answers nobody.
    Silent {
        /// Since when.
        since: Timestamp,
    },
}

impl LogState {
    /// Whether it answers nobody.
    pub fn is_silent(self) -> bool {
        matches!(self, Self::Silent { .. })
    }

    /// Since when an answer has been missing.
    pub fn since(self) -> Option<Timestamp> {
        match self {
            Self::Normal => None,
            Self::Late { since } | Self::Silent { since } => Some(since),
        }
    }
}

/// What a node says of its calls to the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LogStatus {
    /// For how long its earliest unanswered call has waited; `None` if it waits for none.
    pub oldest_wait: Option<Duration>,
    /// Time since the latest call began that it knows to have been answered.
    pub answered: Option<Duration>,
    /// Whether it takes the log to be silent, and does not merely ask.
    pub is_silent: bool,
}

#[derive(Clone, Copy, Debug)]
struct Word {
    since: Timestamp,
    came: Timestamp,
    is_silent: bool,
}

/// How long answers usually take (after RFC 6298, without its floor).
#[derive(Clone, Copy, Debug)]
struct UsualTime {
    smoothed: Duration,
    deviation: Duration,
}

impl UsualTime {
    fn note(known: Option<Self>, took: Duration) -> Self {
        let Some(known) = known else {
            return Self {
                smoothed: took,
                deviation: took / 2,
            };
        };
        Self {
            smoothed: known.smoothed * 7 / 8 + took / 8,
            deviation: known.deviation * 3 / 4 + known.smoothed.abs_diff(took) / 4,
        }
    }
}

/// Watches one node's calls to the log, and what others say of theirs.
#[derive(Debug)]
pub struct LogOutageDetector {
    usual: Option<UsualTime>,
    /// Calls without an answer by when they began; those that were given up stay until one that began
    /// later is answered.
    unanswered: BTreeMap<u64, Timestamp>,
    looked: Timestamp,
    /// When the latest call began that is known to have been answered, of any node.
    heard: Option<Timestamp>,
    words: BTreeMap<NodeId, Word>,
    /// Other nodes that must wait as well.
    needed: usize,
    state: LogState,
}

impl Default for LogOutageDetector {
    fn default() -> Self {
        Self {
            usual: None,
            unanswered: BTreeMap::new(),
            looked: Timestamp::default(),
            heard: None,
            words: BTreeMap::new(),
            needed: CONFIRMING_NODES,
            state: LogState::Normal,
        }
    }
}

impl LogOutageDetector {
    /// Tells how many other nodes there are.
    pub fn set_peer_count(&mut self, others: usize) {
        self.needed = others.clamp(1, CONFIRMING_NODES);
    }

    /// What is known as of the last look.
    pub fn state(&self) -> LogState {
        self.state
    }

    /// A call begins.
    pub fn call_started(&mut self, now: Timestamp, call: u64) {
        if self.unanswered.is_empty() {
            self.looked = now;
        }
        if self.unanswered.len() < MOST_CALLS {
            self.unanswered.insert(call, now);
        }
    }

    /// A call was answered, if only by a refusal, `took` after its begin: those that began before it
    /// have been lost, or are slow for a reason of their own.
    pub fn call_answered(&mut self, now: Timestamp, call: u64, took: Duration) {
        self.usual = Some(UsualTime::note(self.usual, took));
        let began = self.unanswered.remove(&call).unwrap_or(now - took);
        self.note_answered(began);
        self.judge(now);
    }

    /// To be called each [`LOOK_INTERVAL`] while calls are under way, and now and then otherwise.
    pub fn poll(&mut self, now: Timestamp) {
        let gap = now.since(self.looked);
        self.looked = now;
        if gap > HELD_UP {
            let lost = gap - POLL_INTERVAL;
            for began in self.unanswered.values_mut() {
                *began = (*began + lost).min(now);
            }
        }
        self.words
            .retain(|_, word| now.since(word.came) < WORD_LASTS);
        self.judge(now);
    }

    /// What this node says to others: only its own calls speak for silence.
    pub fn status(&self, now: Timestamp) -> LogStatus {
        let late = self.own_late(now);
        LogStatus {
            oldest_wait: late.map(|since| now.since(since)),
            answered: self.heard.map(|heard| now.since(heard)),
            is_silent: self.state.is_silent() && late.is_some(),
        }
    }

    /// Takes another node's word. Tells whether this one knows of a later answer, so that the other
    /// should be told.
    pub fn on_peer_status(&mut self, now: Timestamp, node: NodeId, word: LogStatus) -> bool {
        if let Some(age) = word.answered {
            self.note_answered(now - age);
        }
        let since = word.oldest_wait.map(|waits| now - waits);
        let is_refuted = self
            .heard
            .is_some_and(|heard| since.is_some_and(|since| since <= heard));
        match since.filter(|_| !is_refuted) {
            Some(since) => {
                let is_silent = word.is_silent;
                let word = Word {
                    since,
                    came: now,
                    is_silent,
                };
                self.words.insert(node, word);
            }
            None => {
                self.words.remove(&node);
            }
        }
        self.judge(now);
        is_refuted
    }

    /// The log has answered a call that began at `at`: what has waited for longer says nothing now.
    fn note_answered(&mut self, at: Timestamp) {
        self.heard = self.heard.max(Some(at));
        self.unanswered.retain(|_, began| *began > at);
        self.words.retain(|_, word| word.since > at);
    }

    /// How long a call may take before it is late.
    fn late_after(&self) -> Duration {
        let Some(usual) = self.usual else {
            return LATE_AT_FIRST;
        };
        let longest = usual.smoothed * 2 + usual.deviation * 4;
        longest.clamp(SOONEST_LATE, LATEST_LATE)
    }

    /// Since when the earliest call has waited, if it is late.
    fn own_late(&self, now: Timestamp) -> Option<Timestamp> {
        let since = self.unanswered.values().min().copied()?;
        (self.waited(now, since) >= self.late_after()).then_some(since)
    }

    /// How long a call has waited as of the last look: what comes after it may lie in a socket.
    fn waited(&self, now: Timestamp, since: Timestamp) -> Duration {
        self.looked.min(now).since(since)
    }

    fn judge(&mut self, now: Timestamp) {
        let told_silent = self.words.values().filter(|word| word.is_silent);
        let is_told = told_silent.count() >= self.needed;
        let is_confirmed = self.words.len() >= self.needed;
        let sure_after = self.late_after() * UNCONFIRMED_TIMES;
        self.state = match self.own_late(now) {
            Some(since) if is_confirmed || self.waited(now, since) >= sure_after => {
                LogState::Silent { since }
            }
            Some(since) => LogState::Late { since },
            None if is_told => LogState::Silent {
                since: self.told_since().unwrap_or(now),
            },
            None => LogState::Normal,
        };
    }

    fn told_since(&self) -> Option<Timestamp> {
        self.words.values().map(|word| word.since).min()
    }
}
