//! Weight store stand-in.

use std::io;
use std::net::TcpListener;
use std::sync::Arc;

use actix_http::{Method, StatusCode};
use elderworks_platform_api::ErrorCode;
use elderworks_platform_api::weights::WeightsResponse;
use elderworks_platform_model::{WeightsModel, WeightsOutcome, WeightsSettings};
use elderworks_types::ModelName;
use serde::{Deserialize, Serialize};

use crate::clock::now;
use crate::http::{ErrorResponse, HandlerResult, Incoming, Reply};
use crate::server::{self, Application, ServerHandle};
use crate::shared::Shared;

/// Injected faults of the weight store; none by default.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct WeightsFaults {
    /// Connections are closed without a response.
    pub down: bool,
}

/// Serves `weights`. Must be called within an actix runtime.
///
/// # Errors
///
/// Returns an error if the server cannot be started on `listener`.
pub fn serve(
    listener: TcpListener,
    settings: WeightsSettings,
    weights: Vec<WeightsResponse>,
) -> io::Result<ServerHandle> {
    let state = WeightsState {
        model: WeightsModel::new(settings, weights),
        faults: WeightsFaults::default(),
    };
    let application = WeightsApplication {
        state: Shared::new(state),
    };
    server::serve("weights", listener, Arc::new(application))
}

struct WeightsState {
    model: WeightsModel,
    faults: WeightsFaults,
}

struct WeightsApplication {
    state: Shared<WeightsState>,
}

impl Application for WeightsApplication {
    async fn respond(&self, request: Incoming) -> HandlerResult {
        match (request.path().as_slice(), &request.method) {
            (["v1", "weights", model], &Method::GET) => self.weights(&ModelName::new(model)),
            (["v1", "faults"], &Method::GET) => Ok(Reply::json(&self.state.lock().faults)),
            (["v1", "faults"], &Method::PUT) => self.set_faults(&request),
            (["v1", "weights", _] | ["v1", "faults"], _) => {
                Err(ErrorResponse::method_not_allowed())
            }
            _ => Err(ErrorResponse::not_found()),
        }
    }
}

impl WeightsApplication {
    fn weights(&self, model: &ModelName) -> HandlerResult {
        let mut state = self.state.lock();
        if state.faults.down {
            return Ok(Reply::Disconnect);
        }
        match state.model.request(now(), model) {
            WeightsOutcome::Found(weights) => Ok(Reply::json(&weights)),
            WeightsOutcome::NotFound => Err(ErrorResponse::not_found()),
            WeightsOutcome::Limited(wait) => {
                let status = StatusCode::TOO_MANY_REQUESTS;
                let message = "too many requests";
                let error = ErrorResponse::not_run(status, ErrorCode::RateLimited, message);
                Err(error.retry_after(wait))
            }
        }
    }

    fn set_faults(&self, request: &Incoming) -> HandlerResult {
        let faults: WeightsFaults = request.json()?;
        ::log::info!("weight store faults: {faults:?}");
        self.state.lock().faults = faults.clone();
        Ok(Reply::json(&faults))
    }
}
