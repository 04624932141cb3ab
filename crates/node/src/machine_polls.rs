//! Polling of the platform's list of machines.

use std::time::Duration;

use elderworks_backend::{Endpoint, HttpClient, HttpMachinesClient, MachinesClient};
use elderworks_node_core::Event;
use elderworks_platform_api::machines::{MachineList, MachineState};

use crate::attempts::REQUEST_TIMEOUT;
use crate::input::{Input, InputSender};

/// Interval between polls. An engine or node that is listed as leaving must stop receiving new work
/// within 3 s.
const POLL_INTERVAL: Duration = Duration::from_secs(2);

/// Polls until the node stops. After a failed poll the previous list remains in effect.
pub(crate) async fn poll_machines(http: HttpClient, url: String, inputs: InputSender) {
    let client = HttpMachinesClient::new(Endpoint::new(http, &url, REQUEST_TIMEOUT));
    loop {
        if let Ok(list) = client.list().await {
            let event = machine_list(list);
            if inputs.send(Input::Event(Box::new(event))).await.is_err() {
                return;
            }
        }
        actix_rt::time::sleep(POLL_INTERVAL).await;
    }
}

fn machine_list(list: MachineList) -> Event {
    let in_state = |state| {
        let nodes = list.nodes.iter().filter(move |node| node.state == state);
        nodes.map(|node| node.id.clone()).collect()
    };
    let leaving_engines = list
        .engines
        .iter()
        .filter(|engine| engine.state == MachineState::Leaving);
    Event::MachineList {
        live: in_state(MachineState::Live),
        leaving: in_state(MachineState::Leaving),
        leaving_engines: leaving_engines.map(|engine| engine.id.clone()).collect(),
    }
}
