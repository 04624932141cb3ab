//! Checks of which workers work on one request, and when.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use crate::checks::Observations;
use crate::proxy::Period;
use crate::standin::worker::Run;

/// When a worker, or several with one id, can't be asked anything.
#[derive(Clone, Debug, Default)]
pub struct LostTimes {
    /// Times in which no request was answered.
    pub unreachable: Vec<Period>,
    /// Ends of processes.
    pub ended: Vec<Instant>,
}

/// Time for which two workers may work on one request of an engine.
const MAX_OVERLAP: Duration = Duration::from_millis(400);

/// Time before a run in which its gateway finds out that the worker before can't be reached.
const SEARCH_TIME: Duration = Duration::from_millis(500);

/// Returns a description of every request that two workers work on for too long, or that runs at more
/// workers than its route allows.
pub fn violations(observations: &Observations) -> Vec<String> {
    let mut by_request: BTreeMap<&str, Vec<&Run>> = BTreeMap::new();
    for run in &observations.runs {
        by_request.entry(&run.request_id).or_default().push(run);
    }
    let mut found = Vec::new();
    for (id, mut runs) in by_request {
        let Some(record) = observations.requests.get(id) else {
            continue;
        };
        runs.sort_by_key(|run| run.started);
        let kind = record.kind;
        let count = workers_in_reach(observations, &runs);
        if count > kind.attempts() {
            let runs = describe(&runs);
            found.push(format!("{id} {kind:?}: runs at {count} workers: {runs}"));
        }
        let overlap = longest_overlap(observations, &runs);
        if !kind.is_call() && overlap > MAX_OVERLAP {
            let (overlap, runs) = (overlap.as_millis(), describe(&runs));
            found.push(format!(
                "{id} {kind:?}: two workers work on it for {overlap} ms: {runs}"
            ));
        }
    }
    found
}

/// Returns the number of workers that ran a request and were not lost before another one ran it.
fn workers_in_reach(observations: &Observations, runs: &[&Run]) -> usize {
    let runs = own_runs(runs);
    let is_lost = |run: &&Run| {
        let later = runs.iter().filter(|later| later.started > run.started);
        let mut next = later.filter(|later| later.worker != run.worker);
        next.any(|next| is_lost(observations, run, next.started, next.started))
    };
    let in_reach = runs.iter().filter(|run| !is_lost(run));
    let workers: BTreeSet<&str> = in_reach.map(|run| run.worker.as_str()).collect();
    workers.len()
}

/// Returns the runs that don't go on from a copy of another one.
fn own_runs<'a>(runs: &[&'a Run]) -> Vec<&'a Run> {
    let own = runs.iter().filter(|run| !run.goes_on_from_copy());
    own.copied().collect()
}

/// Returns the longest time for which two workers work on a request, but for those that were lost when
/// it went on at the other.
fn longest_overlap(observations: &Observations, runs: &[&Run]) -> Duration {
    let mut longest = Duration::ZERO;
    for (index, run) in runs.iter().enumerate() {
        let others = runs[index + 1..].iter();
        for later in others.filter(|later| later.worker != run.worker) {
            let until = later.started + MAX_OVERLAP;
            if !is_lost(observations, run, later.started, until) {
                longest = longest.max(overlap(observations, run, later));
            }
        }
    }
    longest
}

/// Returns for how long two runs overlap, without the times in which the test stood still.
fn overlap(observations: &Observations, run: &Run, later: &Run) -> Duration {
    let now = Instant::now();
    let end = |run: &Run| run.ended.unwrap_or(now);
    let (from, until) = (later.started, end(run).min(end(later)));
    let stalls = observations.stalls.iter();
    let stalled: Duration = stalls
        .map(|(began, ended)| {
            ended
                .min(&until)
                .saturating_duration_since(*began.max(&from))
        })
        .sum();
    let overlap = until.saturating_duration_since(from);
    overlap.saturating_sub(stalled)
}

/// Returns whether the worker of a run was lost at some moment from shortly before `from` until
/// `until`.
fn is_lost(observations: &Observations, run: &Run, from: Instant, until: Instant) -> bool {
    let Some(lost) = observations.lost.get(&run.worker) else {
        return false;
    };
    let from = from - SEARCH_TIME;
    let touches = |(began, ended): &Period| *began <= until && *ended >= from;
    // A process that started later under the id of one that ended is another worker.
    let is_end = |ended: &Instant| *ended >= run.started && *ended <= until;
    lost.unreachable.iter().any(touches) || lost.ended.iter().any(is_end)
}

/// Returns the workers of runs with their times in milliseconds, relative to the first start.
pub fn describe(runs: &[&Run]) -> String {
    let first = runs.iter().map(|run| run.started).min();
    let since = |moment: Instant| {
        let first = first.expect("a run");
        moment.saturating_duration_since(first).as_millis()
    };
    let mut texts = Vec::new();
    for run in runs {
        let ended = match run.ended {
            Some(ended) => since(ended).to_string(),
            None => String::new(),
        };
        let copy = match run.goes_on_from_copy() {
            true => " from a copy",
            false => "",
        };
        let after = run.last_event_id.as_deref().unwrap_or("0");
        texts.push(format!(
            "{} {}..{ended} ms after event {after}{copy}",
            run.worker,
            since(run.started),
        ));
    }
    texts.join(", ")
}
