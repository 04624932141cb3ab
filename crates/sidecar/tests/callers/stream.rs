//! Tests of the client and its decoder of streamed answers.

use elderworks_sidecar::client::{AnswerEvent, AnswerReader, CallerClient, ClientError};
use elderworks_sidecar::wire::{CallBody, StartRunBody, WasRun, WireMessage};
use elderworks_types::{ResourceName, Role};

use crate::client::{OFFICE, setup};

const COMPLETED: &str = "event: completed\ndata: {\"run\":\"run-0000000000000001\",\"number\":1,\
    \"content\":\"abcd\",\"usage\":{\"prompt_tokens\":9,\"cached_tokens\":4,\"output_tokens\":1},\
    \"cost\":3}\n\n";

fn chunk(text: &str) -> String {
    format!("event: chunk\ndata: {{\"text\":\"{text}\"}}\n\n")
}

#[test]
fn events_are_decoded_for_any_split_of_the_bytes() {
    let restarted = "event: restarted\ndata: {}\n\n".to_owned();
    let bytes = [chunk("x"), restarted, chunk("ab"), chunk("cd")].concat() + COMPLETED;
    for size in [1, 7, bytes.len()] {
        let mut reader = AnswerReader::default();
        let mut text = String::new();
        let mut take = |event: AnswerEvent<'_>| match event {
            AnswerEvent::Chunk(chunk) => text.push_str(chunk),
            AnswerEvent::Restarted => text.clear(),
        };
        for part in bytes.as_bytes().chunks(size) {
            reader.feed(part, &mut take).expect("no error event");
        }
        let answer = reader.finish().expect("completed");
        assert_eq!(answer.content, text, "in parts of {size} bytes");
        assert_eq!(answer.usage.cached_tokens.0, 4);
    }
}

#[test]
fn error_events_and_truncated_streams_are_distinguished() {
    let mut reader = AnswerReader::default();
    let error = "event: error\ndata: {\"error\":{\"code\":\"overloaded\",\"message\":\"m\",\
        \"run\":\"no\",\"retry_after_ms\":5}}\n\n";
    let error = reader.feed(error.as_bytes(), &mut |_| {});
    let Err(ClientError::Answered(fields)) = error else {
        panic!("{error:?}");
    };
    assert_eq!(
        (fields.code.as_str(), fields.run),
        ("overloaded", WasRun::No)
    );
    let mut reader = AnswerReader::default();
    reader
        .feed(chunk("ab").as_bytes(), &mut |_| {})
        .expect("no error event");
    assert_eq!(reader.finish().expect_err("no end"), ClientError::Truncated);
}

#[actix_rt::test]
async fn the_client_covers_the_whole_api() {
    let setup = setup().await;
    let url = format!("http://{}", setup.sidecar.address());
    let client = CallerClient::new(&url, OFFICE);
    let start = StartRunBody {
        program: ResourceName::new("boundary"),
        budget: None,
        deadline_ms: None,
        parent: None,
    };
    let run = client.start_run(&start).await.expect("started");
    let message = WireMessage::new(Role::User, "draft");
    let mut ask = CallBody::model_call("m", vec![message], 16);
    ask.stream = true;
    let mut text = String::new();
    let take = |event: AnswerEvent<'_>| {
        if let AnswerEvent::Chunk(chunk) = event {
            text.push_str(chunk);
        }
    };
    let answer = client.stream(run, &ask, take).await.expect("answered");
    assert_eq!(answer.content, text);
    let invoke = CallBody::tool_call("lookup", serde_json::json!({}), true);
    client.call(run, &invoke).await.expect("answered");
    assert_eq!(client.read_run(run).await.expect("read").calls.len(), 2);
    assert_eq!(client.history(run).await.expect("read").len(), 3);
    client.end_run(run).await.expect("ended");
    let stranger = CallerClient::new(&url, "guess");
    let error = stranger.read_run(run).await.expect_err("a wrong token");
    assert_eq!(error.code(), "unauthorized");
}
