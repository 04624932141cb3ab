//! What resources say about the calls of this node: terms, limits and engines.

use std::collections::BTreeMap;

use elderworks_control::{Control, ModelTerms, ToolTerms};
use elderworks_execution::event::CallTerms;
use elderworks_types::resource::EngineEndpoint;
use elderworks_types::{
    CallRequest, Credits, EngineId, ModelName, Refusal, RefusalReason, ResourceName,
};

/// One engine with the models it may serve, gathered over all services that list it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KnownEngine {
    /// Its endpoint.
    pub endpoint: EngineEndpoint,
    /// Models it may serve.
    pub models: Vec<ModelName>,
}

/// Every engine that some service lists.
pub fn known_engines(control: &Control) -> BTreeMap<EngineId, KnownEngine> {
    let mut engines = BTreeMap::new();
    for (endpoint, model) in control.engines() {
        let engine = engines
            .entry(endpoint.id.clone())
            .or_insert_with(|| KnownEngine {
                endpoint: endpoint.clone(),
                models: Vec::new(),
            });
        if !engine.models.contains(model) {
            engine.models.push(model.clone());
        }
    }
    engines
}

/// Prices and limits of a call of a run of `program`; the refusal where no service offers what it
/// asks for, or the program may not use that service. With no program known, every service counts.
pub fn call_terms(
    control: &Control,
    program: Option<&ResourceName>,
    request: &CallRequest,
) -> Result<CallTerms, Refusal> {
    let offer = match request {
        CallRequest::Model(request) => control
            .model_terms(&request.model)
            .map(|terms| (terms.service, model_call_terms(&terms))),
        CallRequest::Tool(request) => control
            .tool_terms(&request.tool)
            .map(|terms| (terms.service, tool_call_terms(&terms))),
    };
    let permitted = offer.filter(|(service, _)| {
        program.is_none_or(|program| control.program_may_call(program, service))
    });
    permitted.map(|(_, terms)| terms).ok_or(Refusal {
        reason: RefusalReason::UnknownService,
        retry_after: None,
    })
}

fn model_call_terms(terms: &ModelTerms<'_>) -> CallTerms {
    CallTerms {
        per_prompt_token: terms.credits_per_prompt_token,
        per_output_token: terms.credits_per_output_token,
        per_invocation: Credits::ZERO,
        timeout: terms.timeout,
    }
}

fn tool_call_terms(terms: &ToolTerms<'_>) -> CallTerms {
    CallTerms {
        per_prompt_token: Credits::ZERO,
        per_output_token: Credits::ZERO,
        per_invocation: terms.credits_per_invocation,
        timeout: terms.timeout,
    }
}
