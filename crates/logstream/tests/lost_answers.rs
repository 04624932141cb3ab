//! Several writers append to one stream while requests or replies are lost. All readers must see the same
//! records in the same order, and each proposed record exactly once after dropping duplicates.

use std::time::Duration;

use elderworks_logstream::{
    Effect, Event, LogStream, NoAnswer, ReadMode, ReadRecords, StreamSettings,
};
use elderworks_protocol::record::{Record, Writer};
use elderworks_types::{Epoch, Incarnation, NodeId, Offset, Sequence, Timestamp};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

const WRITERS: usize = 3;
/// Number of steps after which all records are delivered.
const SETTLE_ROUNDS: u64 = 400;
/// Simulated time of one step.
const ROUND: Duration = Duration::from_millis(20);

/// Outcome of the requests to the log in one step.
#[derive(Clone, Copy, Debug)]
enum Fate {
    Answered,
    AnswerLost,
    NeverArrived,
}

#[derive(Clone, Debug)]
struct Step {
    writer: usize,
    proposals: u8,
    fate: Fate,
}

struct Client {
    stream: LogStream<u32>,
    delivered: Vec<Record<u32>>,
}

struct World {
    log: Vec<Vec<u8>>,
    clients: Vec<Client>,
    now: Timestamp,
    next_body: u32,
}

impl World {
    fn new(mode: ReadMode) -> Self {
        let settings = StreamSettings {
            mode,
            ..StreamSettings::default()
        };
        let client = |index: usize| {
            let node = NodeId::new(format!("node-{index}"));
            let writer = Writer {
                node,
                incarnation: Incarnation(1),
            };
            let start = Timestamp(0);
            Client {
                stream: LogStream::new(writer, Sequence(1), Offset(0), start, settings.clone()),
                delivered: Vec::new(),
            }
        };
        let clients = (0..WRITERS).map(client).collect();
        Self {
            log: Vec::new(),
            clients,
            now: Timestamp(0),
            next_body: 0,
        }
    }

    fn step(&mut self, step: &Step) {
        self.now = self.now + ROUND;
        for _ in 0..step.proposals {
            self.next_body += 1;
            let body = self.next_body;
            self.feed(
                step.writer,
                Event::Propose {
                    epoch: Epoch(0),
                    body,
                },
                step.fate,
            );
        }
        for writer in 0..WRITERS {
            self.feed(writer, Event::Tick, step.fate);
        }
    }

    fn feed(&mut self, writer: usize, event: Event<u32>, fate: Fate) {
        let mut events = vec![event];
        while let Some(event) = events.pop() {
            for effect in self.clients[writer].stream.handle(self.now, event) {
                events.extend(self.carry_out(writer, effect, fate));
            }
        }
    }

    fn carry_out(&mut self, writer: usize, effect: Effect<u32>, fate: Fate) -> Option<Event<u32>> {
        match effect {
            Effect::Append { token, bytes } => {
                if !matches!(fate, Fate::NeverArrived) {
                    self.log.push(bytes);
                }
                let offset = Offset(self.log.len() as u64 - u64::from(!self.log.is_empty()));
                let answered = matches!(fate, Fate::Answered);
                let result = if answered { Ok(offset) } else { Err(NoAnswer) };
                Some(Event::Appended { token, result })
            }
            Effect::Read { from, .. } => self.read(from, fate),
            Effect::Deliver { record, .. } => {
                self.clients[writer].delivered.push(record);
                None
            }
            Effect::Batch { .. } | Effect::Reachable(_) => None,
        }
    }

    /// Fails reads at the end of the stream, like a log that holds the read until it times out.
    fn read(&self, from: Offset, fate: Fate) -> Option<Event<u32>> {
        if !matches!(fate, Fate::Answered) {
            return Some(Event::Read {
                from,
                result: Err(NoAnswer),
            });
        }
        let end = Offset(self.log.len() as u64);
        let records: Vec<_> = (from.0..end.0)
            .map(|offset| (Offset(offset), self.log[offset as usize].clone()))
            .collect();
        if records.is_empty() {
            return Some(Event::Read {
                from,
                result: Err(NoAnswer),
            });
        }
        Some(Event::Read {
            from,
            result: Ok(ReadRecords { records, end }),
        })
    }

    /// Lets all requests succeed until every record is delivered.
    fn settle(&mut self) {
        for _ in 0..SETTLE_ROUNDS {
            self.step(&Step {
                writer: 0,
                proposals: 0,
                fate: Fate::Answered,
            });
        }
    }
}

/// Drops duplicates by writer and sequence, like the state machines that replay the stream.
fn without_duplicates(records: &[Record<u32>]) -> Vec<u32> {
    let mut last: std::collections::BTreeMap<Writer, Sequence> = Default::default();
    let mut bodies = Vec::new();
    for record in records {
        let seen = last.entry(record.writer.clone()).or_default();
        if record.sequence > *seen {
            *seen = record.sequence;
            bodies.push(record.body);
        }
    }
    bodies
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let fate = prop_oneof![
        3 => Just(Fate::Answered),
        2 => Just(Fate::AnswerLost),
        1 => Just(Fate::NeverArrived),
    ];
    let step = (0..WRITERS, 0u8..4, fate).prop_map(|(writer, proposals, fate)| Step {
        writer,
        proposals,
        fate,
    });
    prop::collection::vec(step, 1..60)
}

fn runner() -> TestRunner {
    let config = Config {
        cases: 200,
        failure_persistence: None,
        ..Config::default()
    };
    TestRunner::new_with_rng(config, TestRng::deterministic_rng(RngAlgorithm::ChaCha))
}

fn check(mode: ReadMode) {
    runner()
        .run(&steps(), |steps| {
            let mut world = World::new(mode);
            for step in &steps {
                world.step(step);
            }
            world.settle();
            let expected: Vec<u32> = (1..=world.next_body).collect();
            for client in &world.clients {
                prop_assert_eq!(&client.delivered, &world.clients[0].delivered);
                prop_assert!(client.stream.caught_up() || world.log.is_empty());
                prop_assert_eq!(client.stream.outstanding(), 0);
                let mut bodies = without_duplicates(&client.delivered);
                bodies.sort_unstable();
                prop_assert_eq!(&bodies, &expected);
            }
            Ok(())
        })
        .expect("all readers agree");
}

#[test]
fn following_readers_agree_when_replies_are_lost() {
    check(ReadMode::Follow);
}

#[test]
fn polling_readers_agree_when_replies_are_lost() {
    check(ReadMode::Poll {
        interval: Duration::from_millis(100),
    });
}

#[test]
fn records_of_one_writer_keep_their_order() {
    let mut world = World::new(ReadMode::Follow);
    let fates = [
        Fate::AnswerLost,
        Fate::NeverArrived,
        Fate::Answered,
        Fate::AnswerLost,
    ];
    for fate in fates {
        world.step(&Step {
            writer: 0,
            proposals: 3,
            fate,
        });
    }
    world.settle();
    assert_eq!(
        without_duplicates(&world.clients[1].delivered),
        (1..=12).collect::<Vec<u32>>()
    );
}
