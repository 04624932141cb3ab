//! One program from its start to its end.

use std::time::{Duration, Instant};

use super::client::{CallError, CallerClient};
use super::plan::{PlannedProgram, PlannedTurn};

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
    pub error: Option<CallError>,
}

/// Runs a program that should have started at `intended`.
pub async fn play(
    client: &CallerClient,
    program: &PlannedProgram,
    intended: Instant,
) -> ProgramRecord {
    let mut calls = Vec::with_capacity(program.turns.len());
    let result = play_turns(client, program, &mut calls).await;
    ProgramRecord {
        duration: intended.elapsed(),
        calls,
        error: result.err(),
    }
}

async fn play_turns(
    client: &CallerClient,
    program: &PlannedProgram,
    calls: &mut Vec<CallRecord>,
) -> Result<(), CallError> {
    let run = client.start_run().await?;
    for turn in &program.turns {
        calls.push(play_turn(client, &run, turn).await?);
    }
    client.end_run(&run).await
}

async fn play_turn(
    client: &CallerClient,
    run: &str,
    turn: &PlannedTurn,
) -> Result<CallRecord, CallError> {
    let sent = Instant::now();
    let answer = client.ask(run, &turn.prompt, turn.max_output).await?;
    Ok(CallRecord {
        first_piece: answer.first_piece.map(|first| first.duration_since(sent)),
        duration: sent.elapsed(),
        is_whole: answer.is_whole,
        prompt_tokens: answer.prompt_tokens,
        cached_tokens: answer.cached_tokens,
    })
}
