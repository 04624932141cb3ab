//! Client of the platform's list of machines.

use elderworks_platform_api::machines::MachineList;
use elderworks_platform_api::paths;
use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;

use crate::{BackendError, Endpoint};

/// Client of the platform's list of machines.
pub trait MachinesClient {
    /// Returns the published list, which lags behind the actual state of the machines.
    fn list(&self) -> LocalBoxFuture<'static, Result<MachineList, BackendError>>;
}

/// A [`MachinesClient`] over HTTP.
#[derive(Clone)]
pub struct HttpMachinesClient {
    endpoint: Endpoint,
}

impl HttpMachinesClient {
    /// Creates a client of the list at `endpoint`.
    pub fn new(endpoint: Endpoint) -> Self {
        Self { endpoint }
    }
}

impl MachinesClient for HttpMachinesClient {
    fn list(&self) -> LocalBoxFuture<'static, Result<MachineList, BackendError>> {
        let endpoint = self.endpoint.clone();
        async move { endpoint.get(paths::MACHINES).await }.boxed_local()
    }
}
