//! Client of the weight store.

use elderworks_platform_api::paths;
use elderworks_platform_api::weights::WeightsResponse;
use elderworks_types::ModelName;
use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;

use crate::{BackendError, Endpoint};

/// The platform's weight store.
pub trait WeightsClient {
    /// Looks a model's weights up. A request beyond the rate limit is
    /// [`BackendError::Rejected`] and says when to come back.
    fn weights(
        &self,
        model: &ModelName,
    ) -> LocalBoxFuture<'static, Result<WeightsResponse, BackendError>>;
}

/// [`WeightsClient`] over HTTP.
#[derive(Clone)]
pub struct HttpWeightsClient {
    endpoint: Endpoint,
}

impl HttpWeightsClient {
    /// The store at this endpoint.
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
