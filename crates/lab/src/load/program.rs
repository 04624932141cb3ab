//! Execution of one planned program against a sidecar.

use std::time::{Duration, Instant};

use elderworks_sidecar::client::{AnswerEvent, CallerClient, ClientError};
use elderworks_sidecar::wire::{CallBody, StartRunBody, WireMessage};
use elderworks_types::{ResourceName, Role, RunId};

use super::plan::{PlannedProgram, PlannedTurn};

/// Model defined by the example resources.
const MODEL: &str = "drafting-8b";

/// Result of one call.
#[derive(Clone, Debug)]
pub struct CallRecord {
    /// Time from sending the call to the first piece of its answer.
    pub first_piece: Option<Duration>,
    /// Time from sending the call to the end of its answer.
    pub duration: Duration,
    /// Whether the streamed pieces add up to the final answer.
    pub pieces_match_answer: bool,
    /// Number of prompt tokens.
    pub prompt_tokens: u64,
    /// Number of prompt tokens from the engine's cache.
    pub cached_tokens: u64,
}

/// Result of one program.
#[derive(Clone, Debug)]
pub struct ProgramRecord {
    /// Time from the intended start to the end.
    pub duration: Duration,
    /// Answered calls.
    pub calls: Vec<CallRecord>,
    /// Error that ended the program early.
    pub error: Option<ClientError>,
}

/// Runs a program whose intended start time is `intended`.
pub async fn run(
    client: &CallerClient,
    program: &ResourceName,
    plan: &PlannedProgram,
    intended: Instant,
) -> ProgramRecord {
    let mut calls = Vec::with_capacity(plan.turns.len());
    let result = run_turns(client, program, plan, &mut calls).await;
    ProgramRecord {
        duration: intended.elapsed(),
        calls,
        error: result.err(),
    }
}

async fn run_turns(
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
        calls.push(run_turn(client, run, turn).await?);
    }
    client.end_run(run).await?;
    Ok(())
}

async fn run_turn(
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
        .stream(run, &body, |event| received.push(event))
        .await?;
    Ok(CallRecord {
        first_piece: received.first.map(|first| first.duration_since(sent)),
        duration: sent.elapsed(),
        pieces_match_answer: received.text == answer.content,
        prompt_tokens: answer.usage.prompt_tokens.0,
        cached_tokens: answer.usage.cached_tokens.0,
    })
}

/// The received pieces of one answer.
#[derive(Debug, Default)]
struct Received {
    first: Option<Instant>,
    text: String,
}

impl Received {
    fn push(&mut self, event: AnswerEvent<'_>) {
        match event {
            AnswerEvent::Chunk(text) => {
                self.first.get_or_insert_with(Instant::now);
                self.text.push_str(text);
            }
            AnswerEvent::Restarted => self.text.clear(),
        }
    }
}
