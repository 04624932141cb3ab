//! Client of the weight store.

use elderworks_platform_api::paths;
use elderworks_platform_api::weights::WeightsResponse;
use elderworks_types::ModelName;
use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;

use crate::{BackendError, Endpoint};

/// Client of the platform's weight store.
pub trait WeightsClient {
    /// Looks up a model's weights. A request beyond the rate limit fails with
    /// [`BackendError::Rejected`], which has the time until the next request is allowed.
    fn weights(
        &self,
        model: &ModelName,
    ) -> LocalBoxFuture<'static, Result<WeightsResponse, BackendError>>;
}

/// A [`WeightsClient`] over HTTP.
#[derive(Clone)]
pub struct HttpWeightsClient {
    endpoint: Endpoint,
}

impl HttpWeightsClient {
    /// Creates a client of the store at `endpoint`.
    pub fn new(endpoint: Endpoint) -> Self {
        Self { endpoint }
    }
}

impl WeightsClient for HttpWeightsClient {
    fn weights(
        &self,
        model: &ModelName,
    ) -> LocalBoxFuture<'static, Result<WeightsResponse, BackendError>> {
        let endpoint = self.endpoint.clone();
        let path = paths::weights(model);
        async move { endpoint.get(&path).await }.boxed_local()
    }
}
