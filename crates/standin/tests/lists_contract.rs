//! Tests of the machine list and the weight store, through their clients and by raw requests.

mod common;

use std::time::Duration;

use awc::http::{Method, StatusCode};
use common::{
    BadRequest, INVALID, NOT_FOUND, OVERSIZED, TOO_LARGE, WRONG_METHOD, assert_refused, endpoint,
    eventually, free_port, put_faults, raw,
};
use elderworks_backend::{
    BackendError, HttpMachinesClient, HttpWeightsClient, MachinesClient, WeightsClient,
};
use elderworks_platform_api::ErrorCode;
use elderworks_platform_api::machines::{EngineMachine, MachineList, MachineState, NodeMachine};
use elderworks_platform_api::weights::WeightsResponse;
use elderworks_platform_model::WeightsSettings;
use elderworks_standin::ServerHandle;
use elderworks_standin::machines::{self, MachinesFaults, MachinesSettings};
use elderworks_standin::weights::{self, WeightsFaults};
use elderworks_types::{EngineId, ModelName, NodeId, ZoneId};

fn list_of(state: MachineState) -> MachineList {
    MachineList {
        version: 0,
        nodes: vec![NodeMachine {
            id: NodeId::new("node-a"),
            zone: ZoneId::new("zone-a"),
            address: "127.0.0.1:1".to_owned(),
            state,
        }],
        engines: vec![EngineMachine {
            id: EngineId::new("engine-a"),
            zone: ZoneId::new("zone-a"),
            url: "http://127.0.0.1:2".to_owned(),
            models: vec![ModelName::new("menu")],
            state,
        }],
    }
}

fn start_machines(lag: Duration) -> (ServerHandle, HttpMachinesClient) {
    let settings = MachinesSettings {
        lag,
        machines: list_of(MachineState::Live),
    };
    let server = machines::serve(free_port(), settings).expect("the server starts");
    let client = HttpMachinesClient::new(endpoint(&server));
    (server, client)
}

fn start_weights(settings: WeightsSettings) -> (ServerHandle, HttpWeightsClient) {
    let server =
        weights::serve(free_port(), settings, vec![menu_weights()]).expect("the server starts");
    let client = HttpWeightsClient::new(endpoint(&server));
    (server, client)
}

fn menu_weights() -> WeightsResponse {
    WeightsResponse {
        model: ModelName::new("menu"),
        version: "3".to_owned(),
        bytes: 16,
    }
}

async fn replace(server: &ServerHandle, list: &MachineList) {
    let body = serde_json::to_vec(list).expect("a list encodes");
    let answer = raw(server, Method::PUT, "/v1/machines", &[], body).await;
    assert_eq!(answer.status, StatusCode::OK);
}

#[actix_rt::test]
async fn machine_list_changes_become_visible_after_the_lag() {
    // First a lag longer than the test, then one that elapses during the test.
    let (server, client) = start_machines(Duration::from_secs(3_600));
    replace(&server, &list_of(MachineState::Leaving)).await;
    let list = client.list().await.expect("a list");
    assert_eq!(list.version, 1);
    assert_eq!(list.nodes, list_of(MachineState::Live).nodes);
    let (server, client) = start_machines(Duration::from_millis(20));
    replace(&server, &list_of(MachineState::Leaving)).await;
    eventually("leaving", || async {
        client.list().await.expect("a list").version == 2
    })
    .await;
    let list = client.list().await.expect("a list");
    assert_eq!(list.engines, list_of(MachineState::Leaving).engines);
}

#[actix_rt::test]
async fn a_machine_list_that_is_down_answers_nothing() {
    let (server, client) = start_machines(Duration::ZERO);
    put_faults(&server, &MachinesFaults { down: true }).await;
    let error = client.list().await.expect_err("down");
    assert!(matches!(error, BackendError::Lost { .. }), "{error:?}");
    put_faults(&server, &MachinesFaults::default()).await;
    assert_eq!(client.list().await.expect("a list").version, 1);
}

#[actix_rt::test]
async fn the_weight_store_limits_its_rate_and_sends_retry_after() {
    let (_server, client) = start_weights(WeightsSettings {
        burst: 1,
        interval: Duration::from_secs(600),
    });
    let model = ModelName::new("menu");
    assert_eq!(client.weights(&model).await, Ok(menu_weights()));
    let error = client.weights(&model).await.expect_err("limited");
    let BackendError::Rejected {
        code, retry_after, ..
    } = error
    else {
        panic!("{error:?}");
    };
    assert_eq!(code, ErrorCode::RateLimited);
    let wait = retry_after.expect("a retry delay");
    assert!(wait > Duration::ZERO && wait <= Duration::from_secs(600));
}

#[actix_rt::test]
async fn unknown_weights_are_not_found_and_a_store_that_is_down_answers_nothing() {
    let (server, client) = start_weights(WeightsSettings::default());
    let unknown = client.weights(&ModelName::new("a/b")).await;
    assert!(unknown.expect_err("unknown").is_not_found());
    put_faults(&server, &WeightsFaults { down: true }).await;
    let error = client.weights(&ModelName::new("menu")).await;
    assert!(matches!(error, Err(BackendError::Lost { .. })), "{error:?}");
}

#[actix_rt::test]
async fn bad_requests_are_refused() {
    let (machines, client) = start_machines(Duration::ZERO);
    let put = Method::PUT;
    let table = [
        BadRequest::new("unknown path", Method::GET, "/v1/machine", b"", NOT_FOUND),
        BadRequest::new(
            "wrong method",
            Method::DELETE,
            "/v1/machines",
            b"",
            WRONG_METHOD,
        ),
        BadRequest::new(
            "malformed",
            put.clone(),
            "/v1/machines",
            b"{\"nodes\":[{}]}",
            INVALID,
        ),
        BadRequest::new(
            "wrong type",
            put.clone(),
            "/v1/machines",
            b"{\"nodes\":7}",
            INVALID,
        ),
        BadRequest::new("oversized", put, "/v1/machines", &OVERSIZED, TOO_LARGE),
    ];
    assert_refused(&machines, &table).await;
    assert_eq!(client.list().await.expect("a list").version, 1);

    let (weights, _client) = start_weights(WeightsSettings::default());
    let table = [
        BadRequest::new("no model", Method::GET, "/v1/weights", b"", NOT_FOUND),
        BadRequest::new(
            "wrong method",
            Method::POST,
            "/v1/weights/menu",
            b"",
            WRONG_METHOD,
        ),
        BadRequest::new(
            "unknown model",
            Method::GET,
            "/v1/weights/x",
            b"",
            NOT_FOUND,
        ),
    ];
    assert_refused(&weights, &table).await;
}
