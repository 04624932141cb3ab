//! Cost of calls, and tenants' budgets.

use std::collections::BTreeMap;

use elderworks_protocol::journal::CallTerms;
use elderworks_types::{
    CallRequest, Credits, Message, Outcome, PartitionId, Sequence, Tokens, Usage, text,
};
use serde::{Deserialize, Serialize};

use super::run::CallState;

/// This partition's share of a tenant's budget.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct TenantAllotment {
    /// Total credits received from the holder of the budget.
    pub received: Credits,
    /// Credits reserved for open calls.
    pub reserved: Credits,
    /// Settled cost of ended calls.
    pub spent: Credits,
    /// Number of the last request that received a grant.
    pub last_request: Sequence,
}

impl TenantAllotment {
    /// Returns the credits that can still be reserved.
    pub fn available(&self) -> Credits {
        self.received.saturating_sub(self.reserved + self.spent)
    }

    /// Replaces a reservation by another.
    pub fn adjust(&mut self, released: Credits, reserved: Credits) {
        self.reserved = self.reserved.saturating_sub(released) + reserved;
    }
}

/// Grants made by the holder of a tenant's budget.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct TenantGrants {
    /// Sum of all grants.
    pub total: Credits,
    /// Last granted request of each partition, with the amount.
    pub partitions: BTreeMap<PartitionId, (Sequence, Credits)>,
}

impl TenantGrants {
    /// Returns the number of the last request granted to a partition; 0 before the first.
    pub fn last_request(&self, partition: PartitionId) -> Sequence {
        self.partitions
            .get(&partition)
            .map_or(Sequence(0), |(request, _)| *request)
    }
}

/// Returns the maximum cost of one attempt.
pub(crate) fn reservation(
    terms: &CallTerms,
    request: &CallRequest,
    prompt: &[Message],
    continue_text: &str,
) -> Credits {
    let CallRequest::Model(model) = request else {
        return terms.per_invocation;
    };
    let rendered = text::render_prompt(prompt);
    let continued = text::token_count(continue_text);
    let usage = Usage {
        prompt: text::token_count(&rendered) + continued,
        cached: Tokens::ZERO,
        output: remaining_output(model.max_output, continue_text),
    };
    attempt_cost(terms, request, &usage)
}

/// Returns how many more tokens may be generated if `continue_text` was already delivered; at least
/// one.
fn remaining_output(max_output: Tokens, continue_text: &str) -> Tokens {
    let rest = max_output.saturating_sub(text::token_count(continue_text));
    rest.max(Tokens(1))
}

/// Returns the cost of one attempt with this usage.
pub(crate) fn attempt_cost(terms: &CallTerms, request: &CallRequest, usage: &Usage) -> Credits {
    match request {
        CallRequest::Model(_) => {
            let prompt = usage.prompt.0.saturating_mul(terms.per_prompt_token.0);
            let output = usage.output.0.saturating_mul(terms.per_output_token.0);
            Credits(prompt.saturating_add(output))
        }
        CallRequest::Tool(_) => terms.per_invocation,
    }
}

/// Returns what the run pays for a call that ended with `outcome`.
pub(crate) fn settled_cost(call: &CallState, outcome: &Outcome) -> Credits {
    match outcome {
        Outcome::Completed(answer) => answer.cost,
        Outcome::Failed(failure) => failure.cost,
        Outcome::Refused(_) => Credits::ZERO,
        Outcome::Unknown(_) => call.held(),
    }
}
