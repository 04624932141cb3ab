//! Client of the list of machines.

use elderworks_platform_api::machines::MachineList;
use elderworks_platform_api::paths;
use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;

use crate::{BackendError, Endpoint};

/// The platform's list of machines.
pub trait MachinesClient {
    /// The list as published; it lags behind the truth.
    fn list(&self) -> LocalBoxFuture<'static, Result<MachineList, BackendError>>;
}

/// [`MachinesClient`] over HTTP.
#[derive(Clone)]
pub struct HttpMachinesClient {
    endpoint: Endpoint,
}

impl HttpMachinesClient {
    /// The list at this endpoint.
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
