//! Checks that a completed call returns one complete answer that a back end produced for it, and that
//! repeated submissions return the same outcome.

use std::collections::BTreeMap;

use elderworks_types::{CallId, Outcome};

use super::{Invariant, Violation};
use crate::observation::{CallerOutcome, GenerationEnd, Observations};

pub(super) fn check(observations: &Observations) -> Vec<Violation> {
    let mut first: BTreeMap<CallId, &Outcome> = BTreeMap::new();
    let mut violations = Vec::new();
    for ended in &observations.outcomes {
        if matches!(ended.outcome, Outcome::Refused(_)) {
            continue;
        }
        let before = first.entry(ended.call).or_insert(&ended.outcome);
        if **before != ended.outcome {
            let detail = format!(
                "{} ended with {:?}, earlier with {before:?}",
                ended.call, ended.outcome
            );
            violations.push(Violation::new(Invariant::WholeAnswer, ended.at, detail));
        }
        violations.extend(check_content(ended, observations));
    }
    violations
}

fn check_content(ended: &CallerOutcome, observations: &Observations) -> Option<Violation> {
    let Outcome::Completed(answer) = &ended.outcome else {
        return None;
    };
    let content = answer.content.as_str();
    let detail = match &ended.streamed {
        Some(streamed) if streamed != content => {
            format!("{} streamed {streamed:?}, answered {content:?}", ended.call)
        }
        _ if !was_given(ended.call, content, observations) => {
            format!(
                "{} answered {content:?}, which no back end produced",
                ended.call
            )
        }
        _ => return None,
    };
    Some(Violation::new(Invariant::WholeAnswer, ended.at, detail))
}

fn was_given(call: CallId, content: &str, observations: &Observations) -> bool {
    let generations = observations.generations.iter();
    let mut whole = generations.filter(|generation| {
        let completed = matches!(generation.ended, Some((_, GenerationEnd::Completed)));
        completed && generation.ticket.call == call
    });
    let mut invocations = observations.invocations.iter();
    whole.any(|generation| {
        let parts = (&generation.continue_text, &generation.generated);
        content.strip_prefix(parts.0.as_str()) == Some(parts.1.as_str())
    }) || invocations
        .any(|invocation| invocation.ticket.call == call && invocation.result == content)
}
