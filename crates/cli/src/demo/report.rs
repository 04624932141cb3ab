//! Output of the demo.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Instant;

use elderworks_sidecar::wire::WireCall;
use elderworks_types::{Credits, RunId, Tokens};

use super::checks::CheckResult;
use super::programs::CompletedProgram;

/// Prints the demo's progress and a summary.
#[derive(Clone)]
pub struct Report {
    started: Instant,
    totals: Rc<RefCell<BTreeMap<u64, Totals>>>,
}

/// Sums over a root run and its sub-agents.
#[derive(Clone, Copy, Default)]
struct Totals {
    calls: u32,
    cost: Credits,
    prompt: Tokens,
    cached: Tokens,
}

impl Report {
    /// Creates a report; printed times count from here.
    pub fn new() -> Self {
        Self {
            started: Instant::now(),
            totals: Rc::default(),
        }
    }

    /// Prints the heading of a section.
    pub fn heading(&self, text: &str) {
        println!("\n== {text}");
    }

    /// Prints the name and address of a component.
    pub fn component(&self, name: &str, address: &str) {
        println!("   {name:<24} {address}");
    }

    /// Prints the kind and name of an applied resource.
    pub fn applied(&self, name: &str) {
        println!("   {name}");
    }

    /// Prints that a run was started with a budget in credits.
    pub fn run_started(&self, run: RunId, program: &str, budget: u64) {
        let kind = if run.child == 0 { "run" } else { "sub-agent" };
        println!(
            "{} {kind} {run} of {program}, budget {budget} credits",
            self.elapsed_text()
        );
    }

    /// Prints a completed call and adds it to the totals of its root run.
    pub fn call(&self, run: RunId, call: &WireCall, chunks: u32) {
        let mut totals = self.totals.borrow_mut();
        let total = totals.entry(run.root).or_default();
        total.calls += 1;
        total.cost += call.cost.unwrap_or_default();
        total.prompt += call.prompt_tokens.unwrap_or_default();
        total.cached += call.cached_tokens.unwrap_or_default();
        println!(
            "{}   {} #{} {:<16} on {:<8} waited {:>3} ms, took {:>5} ms, {}, {}",
            self.elapsed_text(),
            short_name(run),
            call.number,
            call.target,
            location(call),
            call.waited_ms.unwrap_or_default(),
            call.took_ms.unwrap_or_default(),
            reuse(call, chunks),
            call.cost.unwrap_or_default(),
        );
    }

    /// Prints the totals of each program and the results of the checks.
    pub fn summary(&self, completed: &[CompletedProgram], results: &[CheckResult]) {
        self.heading("Summary");
        let totals = self.totals.borrow();
        for CompletedProgram { program, run, .. } in completed {
            let total = totals.get(&run.root).copied().unwrap_or_default();
            println!(
                "   {program}: {} calls, {}, {} of {} prompt tokens from cache",
                total.calls, total.cost, total.cached.0, total.prompt.0,
            );
        }
        for result in results {
            let mark = if result.passed { "ok  " } else { "FAIL" };
            println!("   {mark} {}", result.expectation);
        }
        println!("   done in {:.1} s", self.started.elapsed().as_secs_f64());
    }

    /// Formats the time since the start.
    fn elapsed_text(&self) -> String {
        format!("{:>7.3} s", self.started.elapsed().as_secs_f64())
    }
}

/// Returns a prefix of a run's id that distinguishes its lines from those of other runs.
fn short_name(run: RunId) -> String {
    let id = if run.child == 0 { run.root } else { run.child };
    format!("{:04x}", id >> 48)
}

/// Returns the engine of the last attempt, or `tool`.
fn location(call: &WireCall) -> &str {
    let engine = call
        .attempts
        .last()
        .and_then(|attempt| attempt.engine.as_ref());
    engine.map_or("tool", |engine| engine.as_str())
}

/// Describes the chunks of a streamed answer and the prompt tokens read from the cache.
fn reuse(call: &WireCall, chunks: u32) -> String {
    match (call.cached_tokens, call.prompt_tokens) {
        (Some(cached), Some(prompt)) if prompt.0 > 0 => {
            format!(
                "{chunks:>3} pieces, reused {:>4} of {:>4} tokens",
                cached.0, prompt.0
            )
        }
        _ => "not streamed, no prompt".to_owned(),
    }
}
