//! Machine list stand-in. `PUT /v1/machines` replaces the list, for tests.

use std::io;
use std::net::TcpListener;
use std::sync::Arc;
use std::time::Duration;

use actix_http::Method;
use elderworks_platform_api::machines::MachineList;
use elderworks_platform_model::MachinesModel;
use serde::{Deserialize, Serialize};

use crate::clock::now;
use crate::http::{ErrorResponse, HandlerResult, Incoming, Reply};
use crate::server::{self, Application, ServerHandle};
use crate::shared::Shared;

/// Settings of a machine list stand-in.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MachinesSettings {
    /// Delay until a change becomes visible to readers.
    pub lag: Duration,
    /// Initial list.
    pub machines: MachineList,
}

/// Injected faults of the machine list; none by default.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct MachinesFaults {
    /// Connections are closed without a response.
    pub down: bool,
}

/// Serves a machine list. Must be called within an actix runtime.
///
/// # Errors
///
/// Returns an error if the server cannot be started on `listener`.
pub fn serve(listener: TcpListener, settings: MachinesSettings) -> io::Result<ServerHandle> {
    let state = MachinesState {
        model: MachinesModel::new(settings.lag, settings.machines),
        faults: MachinesFaults::default(),
    };
    let application = MachinesApplication {
        state: Shared::new(state),
    };
    server::serve("machines", listener, Arc::new(application))
}

struct MachinesState {
    model: MachinesModel,
    faults: MachinesFaults,
}

struct MachinesApplication {
    state: Shared<MachinesState>,
}

impl Application for MachinesApplication {
    async fn respond(&self, request: Incoming) -> HandlerResult {
        match (request.path().as_slice(), &request.method) {
            (["v1", "machines"], &Method::GET) => Ok(self.list()),
            (["v1", "machines"], &Method::PUT) => self.replace(&request),
            (["v1", "faults"], &Method::GET) => Ok(Reply::json(&self.state.lock().faults)),
            (["v1", "faults"], &Method::PUT) => self.set_faults(&request),
            (["v1", "machines" | "faults"], _) => Err(ErrorResponse::method_not_allowed()),
            _ => Err(ErrorResponse::not_found()),
        }
    }
}

impl MachinesApplication {
    fn list(&self) -> Reply {
        let mut state = self.state.lock();
        if state.faults.down {
            return Reply::Disconnect;
        }
        Reply::json(state.model.read(now()))
    }

    fn replace(&self, request: &Incoming) -> HandlerResult {
        let list: MachineList = request.json()?;
        let mut state = self.state.lock();
        state.model.replace(now(), list);
        Ok(Reply::json(state.model.current()))
    }

    fn set_faults(&self, request: &Incoming) -> HandlerResult {
        let faults: MachinesFaults = request.json()?;
        ::log::info!("machine list faults: {faults:?}");
        self.state.lock().faults = faults.clone();
        Ok(Reply::json(&faults))
    }
}
