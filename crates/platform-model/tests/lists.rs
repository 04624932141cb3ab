//! Tests of the machine list's delay and the weight store's rate limit.

use std::time::Duration;

use elderworks_platform_api::machines::{MachineList, MachineState, NodeMachine};
use elderworks_platform_api::weights::WeightsResponse;
use elderworks_platform_model::{MachinesModel, WeightsModel, WeightsOutcome, WeightsSettings};
use elderworks_types::{ModelName, NodeId, Timestamp, ZoneId};

const LAG: Duration = Duration::from_secs(3);
const START: Timestamp = Timestamp(1_000_000);

fn list_of(state: MachineState) -> MachineList {
    let node = NodeMachine {
        id: NodeId::new("node-a"),
        zone: ZoneId::new("zone-a"),
        address: "127.0.0.1:1".to_owned(),
        state,
    };
    MachineList {
        nodes: vec![node],
        ..MachineList::default()
    }
}

#[test]
fn changes_to_the_machine_list_show_after_the_lag() {
    let mut machines = MachinesModel::new(LAG, list_of(MachineState::Live));
    machines.replace(START, list_of(MachineState::Leaving));
    assert_eq!(machines.current().nodes[0].state, MachineState::Leaving);
    let before = machines
        .read(START + (LAG - Duration::from_micros(1)))
        .clone();
    assert_eq!(before.nodes[0].state, MachineState::Live);
    assert_eq!(before.version, 1);
    let after = machines.read(START + LAG);
    assert_eq!(after.nodes[0].state, MachineState::Leaving);
    assert_eq!(after.version, 2);
}

#[test]
fn the_newest_of_many_pending_changes_becomes_visible() {
    let mut machines = MachinesModel::new(LAG, list_of(MachineState::Live));
    for _ in 0..1_000 {
        machines.replace(START, MachineList::default());
    }
    machines.replace(START, list_of(MachineState::Leaving));
    let visible = machines.read(START + LAG);
    assert_eq!(visible.version, 1_002);
    assert_eq!(visible.nodes[0].state, MachineState::Leaving);
}

#[test]
fn weights_are_rate_limited() {
    let model = ModelName::new("menu");
    let weights = WeightsResponse {
        model: model.clone(),
        version: "1".to_owned(),
        bytes: 7,
    };
    let interval = Duration::from_secs(1);
    let settings = WeightsSettings { burst: 2, interval };
    let mut store = WeightsModel::new(settings, vec![weights.clone()]);
    let found = WeightsOutcome::Found(weights);
    assert_eq!(store.request(START, &model), found);
    assert_eq!(
        store.request(START, &ModelName::new("other")),
        WeightsOutcome::NotFound
    );
    let half = START + interval / 2;
    assert_eq!(
        store.request(half, &model),
        WeightsOutcome::Limited(interval / 2)
    );
    assert_eq!(store.request(START + interval, &model), found);
    assert_eq!(
        store.request(START + interval, &model),
        WeightsOutcome::Limited(interval)
    );
}
