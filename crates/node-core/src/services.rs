//! Engines and call terms derived from the resources of the control state.

use std::collections::BTreeMap;

use elderworks_control::{Control, ModelTerms, ToolTerms};
use elderworks_execution::event::CallTerms;
use elderworks_types::resource::EngineEndpoint;
use elderworks_types::{
    CallRequest, Credits, EngineId, ModelName, Refusal, RefusalReason, ResourceName,
};

/// An engine, merged from all services that list it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KnownEngine {
    /// Endpoint of the engine.
    pub endpoint: EngineEndpoint,
    /// Models of the services that list it.
    pub models: Vec<ModelName>,
}

/// Returns all engines that some service lists.
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

/// Returns the prices and limits of a call by a run of `program`. If the program is unknown, every service
/// is permitted.
///
/// # Errors
///
/// Returns a refusal if no service offers the requested model or tool, or if the program may not use it.
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
