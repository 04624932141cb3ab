//! What the demo prints.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Instant;

use elderworks_sidecar::wire::WireCall;
use elderworks_types::{Credits, RunId, Tokens};

use super::checks::CheckResult;
use super::programs::Played;

/// Prints lines as things happen, and sums them up at the end.
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
    /// Starts the clock.
    pub fn new() -> Self {
        Self {
            started: Instant::now(),
            totals: Rc::default(),
        }
    }

    /// Begins a section.
    pub fn heading(&self, text: &str) {
        println!("\n== {text}");
    }

    /// One part of the system.
    pub fn part(&self, name: &str, address: &str) {
        println!("   {name:<24} {address}");
    }

    /// One applied resource.
    pub fn applied(&self, name: &str) {
        println!("   {name}");
    }

    /// A run was started.
    pub fn run_started(&self, run: RunId, program: &str, budget: u64) {
        let kind = if run.child == 0 { "run" } else { "sub-agent" };
        println!(
            "{} {kind} {run} of {program}, budget {budget} credits",
            self.clock()
        );
    }

    /// A call ended.
    pub fn call(&self, run: RunId, call: &WireCall, pieces: u32) {
        let mut totals = self.totals.borrow_mut();
        let total = totals.entry(run.root).or_default();
        total.calls += 1;
        total.cost += call.cost.unwrap_or_default();
        total.prompt += call.prompt_tokens.unwrap_or_default();
        total.cached += call.cached_tokens.unwrap_or_default();
        println!(
            "{}   {} #{} {:<16} on {:<8} waited {:>3} ms, took {:>5} ms, {}, {}",
            self.clock(),
            short_name(run),
            call.number,
            call.target,
            place(call),
            call.waited_ms.unwrap_or_default(),
            call.took_ms.unwrap_or_default(),
            reuse(call, pieces),
            call.cost.unwrap_or_default(),
        );
    }

    /// Sums and checked expectations.
    pub fn summary(&self, played: &[Played], results: &[CheckResult]) {
        self.heading("Summary");
        let totals = self.totals.borrow();
        for Played { program, run, .. } in played {
            let total = totals.get(&run.root).copied().unwrap_or_default();
            println!(
                "   {program}: {} calls, {}, {} of {} prompt tokens from cache",
                total.calls, total.cost, total.cached.0, total.prompt.0,
            );
        }
        for result in results {
            let mark = if result.held { "ok  " } else { "FAIL" };
            println!("   {mark} {}", result.expectation);
        }
        println!("   done in {:.1} s", self.started.elapsed().as_secs_f64());
    }

    fn clock(&self) -> String {
        format!("{:>7.3} s", self.started.elapsed().as_secs_f64())
    }
}

/// Enough of a run's id to tell the lines apart.
fn short_name(run: RunId) -> String {
    let id = if run.child == 0 { run.root } else { run.child };
    format!("{:04x}", id >> 48)
}

fn place(call: &WireCall) -> &str {
    let engine = call
        .attempts
        .last()
        .and_then(|attempt| attempt.engine.as_ref());
    engine.map_or("tool", |engine| engine.as_str())
}

fn reuse(call: &WireCall, pieces: u32) -> String {
    match (call.cached_tokens, call.prompt_tokens) {
        (Some(cached), Some(prompt)) if prompt.0 > 0 => {
            format!(
                "{pieces:>3} pieces, reused {:>4} of {:>4} tokens",
                cached.0, prompt.0
            )
        }
        _ => "not streamed, no prompt".to_owned(),
    }
}
