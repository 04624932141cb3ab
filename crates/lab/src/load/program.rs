//! One program from its start to its end.

use std::time::{Duration, Instant};

use elderworks_sidecar::client::{AnswerEvent, CallerClient, ClientError};
use elderworks_sidecar::wire::{CallBody, StartRunBody, WireMessage};
use elderworks_types::{ResourceName, Role, RunId};

use super::plan::{PlannedProgram, PlannedTurn};

/// The model of the example resources.
const MODEL: &str = "drafting-8b";

/// What became of one call.
#[derive(Clone, Debug)]
pub struct CallRecord {
    /// From its sending to its first piece.
    pub first_piece: Option<Duration>,
    /// From its sending to its end.
    pub duration: Duration,
    /// Whether the pieces joined to the whole.
    pub is_whole: bool,
    /// Tokens of its prompt.
    pub prompt_tokens: u64,
    /// Of those, tokens from the engine's cache.
    pub cached_tokens: u64,
}

/// What became of one program.
#[derive(Clone, Debug)]
pub struct ProgramRecord {
    /// From its intended start to its end.
    pub duration: Duration,
    /// Calls that were answered.
    pub calls: Vec<CallRecord>,
    /// Why it broke off, if it did.
    pub error: Option<ClientError>,
}

/// Runs a program that should have started at `intended`.
pub async fn play(
    client: &CallerClient,
    program: &ResourceName,
    plan: &PlannedProgram,
    intended: Instant,
) -> ProgramRecord {
    let mut calls = Vec::with_capacity(plan.turns.len());
    let result = play_turns(client, program, plan, &mut calls).await;
    ProgramRecord {
        duration: intended.elapsed(),
        calls,
        error: result.err(),
    }
}

async fn play_turns(
    client: &CallerClient,
    program: &ResourceName,
    plan: &PlannedProgram,
    calls: &mut Vec<CallRecord>,
) -> Result<(), ClientError> {
    let start = StartRunBody {
        program: program.clone(),
        budget: None,
        deadline_ms: None,
        parent: None,
    };
    let run = client.start_run(&start).await?;
    for turn in &plan.turns {
        calls.push(play_turn(client, run, turn).await?);
    }
    client.end_run(run).await?;
    Ok(())
}

async fn play_turn(
    client: &CallerClient,
    run: RunId,
    turn: &PlannedTurn,
) -> Result<CallRecord, ClientError> {
    let message = WireMessage::new(Role::User, turn.prompt.as_str());
    let mut body = CallBody::model_call(MODEL, vec![message], turn.max_output);
    body.stream = true;
    let sent = Instant::now();
    let mut received = Received::default();
    let answer = client
        .stream(run, &body, |event| received.take(event))
        .await?;
    Ok(CallRecord {
        first_piece: received.first.map(|first| first.duration_since(sent)),
        duration: sent.elapsed(),
        is_whole: received.text == answer.content,
        prompt_tokens: answer.usage.prompt_tokens.0,
        cached_tokens: answer.usage.cached_tokens.0,
    })
}

/// The pieces of one answer.
#[derive(Debug, Default)]
struct Received {
    first: Option<Instant>,
    text: String,
}

impl Received {
    fn take(&mut self, event: AnswerEvent<'_>) {
        match event {
            AnswerEvent::Chunk(text) => {
                self.first.get_or_insert_with(Instant::now);
                self.text.push_str(text);
            }
            AnswerEvent::Restarted => self.text.clear(),
        }
    }
}
