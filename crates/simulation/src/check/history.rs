//! Checks that prompts and reads contain the full history of their run, and no messages of another.

use std::collections::BTreeMap;

use elderworks_types::{CallId, CallNumber, CallRequest, CallSpec, Message, Outcome, Role, RunId};

use super::{Invariant, Violation};
use crate::observation::{Generation, Observations};

pub(super) fn check(observations: &Observations) -> Vec<Violation> {
    let known = KnownCalls::of(observations);
    let mut violations = Vec::new();
    for generation in &observations.generations {
        violations.extend(check_foreign_messages(generation));
        violations.extend(check_prompt(generation, &known));
    }
    for read in &observations.run_reads {
        let Some(view) = &read.view else {
            let detail = format!("{} was not found", read.run);
            violations.push(Violation::new(Invariant::HistoryLost, read.at, detail));
            continue;
        };
        if !view.history.starts_with(&read.known) {
            let detail = format!(
                "history of {} is {:?}, but its caller knows {:?}",
                read.run, view.history, read.known
            );
            violations.push(Violation::new(Invariant::HistoryLost, read.at, detail));
        }
        if let Some(other) = foreign_run(&view.history, read.run) {
            let detail = format!("history of {} contains messages of {other}", read.run);
            violations.push(Violation::new(Invariant::HistoryMixed, read.at, detail));
        }
    }
    violations
}

fn check_foreign_messages(generation: &Generation) -> Option<Violation> {
    let run = generation.ticket.call.run;
    let other = foreign_run(&generation.messages, run)?;
    let detail = format!(
        "prompt of {} contains messages of {other}",
        generation.ticket.call
    );
    Some(Violation::new(
        Invariant::HistoryMixed,
        generation.at,
        detail,
    ))
}

fn check_prompt(generation: &Generation, known: &KnownCalls) -> Option<Violation> {
    let expected = known.prompt(generation.ticket.call)?;
    if expected == generation.messages {
        return None;
    }
    let detail = format!(
        "prompt of {} is {:?}, expected {expected:?}",
        generation.ticket.call, generation.messages
    );
    Some(Violation::new(
        Invariant::HistoryLost,
        generation.at,
        detail,
    ))
}

/// Returns the first run other than `run` that the messages name. Every message of a simulation
/// names the run that it belongs to.
fn foreign_run(messages: &[Message], run: RunId) -> Option<RunId> {
    let texts = messages.iter().map(|message| message.content.as_str());
    texts.flat_map(runs_named).find(|named| *named != run)
}

fn runs_named(text: &str) -> Vec<RunId> {
    let separators = |letter: char| !letter.is_ascii_alphanumeric() && letter != '-';
    let words = text.split(separators);
    words.filter_map(|word| word.parse().ok()).collect()
}

/// Calls as known to their callers: the request, and the first outcome that is not a refusal.
struct KnownCalls<'a> {
    specs: BTreeMap<CallId, &'a CallSpec>,
    outcomes: BTreeMap<CallId, &'a Outcome>,
}

impl<'a> KnownCalls<'a> {
    fn of(observations: &'a Observations) -> Self {
        let submissions = observations.submissions.iter();
        let specs = submissions.map(|submission| (submission.call, &submission.spec));
        let mut outcomes = BTreeMap::new();
        for ended in &observations.outcomes {
            if !matches!(ended.outcome, Outcome::Refused(_)) {
                outcomes.entry(ended.call).or_insert(&ended.outcome);
            }
        }
        Self {
            specs: specs.collect(),
            outcomes,
        }
    }

    /// Returns the expected prompt of a model call, or `None` if the caller does not know all earlier
    /// outcomes.
    fn prompt(&self, call: CallId) -> Option<Vec<Message>> {
        let CallRequest::Model(request) = &self.specs.get(&call)?.request else {
            return None;
        };
        let mut history = Vec::new();
        for number in 1..call.number.0 {
            let earlier = CallId {
                run: call.run,
                number: CallNumber(number),
            };
            self.extend(&mut history, earlier)?;
        }
        history.truncate(request.history_prefix as usize);
        history.extend(request.messages.iter().cloned());
        Some(history)
    }

    /// Applies a call to the history; returns `None` if its request or outcome is not known.
    fn extend(&self, history: &mut Vec<Message>, call: CallId) -> Option<()> {
        let request = &self.specs.get(&call)?.request;
        let outcome = self.outcomes.get(&call)?;
        let role = match request {
            CallRequest::Model(model) => {
                history.truncate(model.history_prefix as usize);
                history.extend(model.messages.iter().cloned());
                Role::Assistant
            }
            CallRequest::Tool(_) => Role::Tool,
        };
        if let Outcome::Completed(answer) = outcome {
            history.push(Message::new(role, answer.content.clone()));
        }
        Some(())
    }
}
