//! Answers that belong to no request, sent on a kept connection in the place where the next answer is
//! due. None may be taken for the answer to a request that must run once.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use elderworks_backend::{
    AnswerItem, BackendError, Endpoint, EngineClient, GenerateRequest, HttpClient,
    HttpEngineClient, HttpToolClient, ToolClient, ToolInvocation,
};
use elderworks_platform_api::engine::{
    ChatChunk, ChatUsage, ChunkChoice, DONE_MARKER, Delta, FinishReason,
};
use elderworks_platform_api::tool::InvocationStatus;
use elderworks_types::{ModelName, RunId, Tokens, ToolName, Usage};
use futures_util::StreamExt;
use serde_json::json;

const TIMEOUT: Duration = Duration::from_secs(20);

/// Number of requests sent one after the other.
const REQUESTS: usize = 4;

const REFUSAL: &str = r#"{"error":{"code":"queue_full","message":"full"},"run":false}"#;

/// A server that runs each request, and sends a surplus answer in front of its own from the second
/// request of a connection on.
struct Server {
    url: String,
    runs: Arc<AtomicUsize>,
}

impl Server {
    /// Starts a server. `answer` is the body of the answer to the run with a number, from 1 on.
    fn start(surplus: Vec<u8>, answer: fn(usize) -> Vec<u8>) -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
        let address = listener.local_addr().expect("bound");
        let runs = Arc::new(AtomicUsize::new(0));
        let counter = runs.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (surplus, counter) = (surplus.clone(), counter.clone());
                std::thread::spawn(move || serve(stream, &surplus, &counter, answer));
            }
        });
        Self {
            url: format!("http://{address}"),
            runs,
        }
    }

    fn endpoint(&self) -> Endpoint {
        Endpoint::new(HttpClient::new(), &self.url, TIMEOUT)
    }

    fn runs(&self) -> usize {
        self.runs.load(Ordering::SeqCst)
    }
}

fn serve(mut stream: TcpStream, surplus: &[u8], runs: &AtomicUsize, answer: fn(usize) -> Vec<u8>) {
    let mut reader = BufReader::new(stream.try_clone().expect("a socket"));
    let mut is_first = true;
    while read_request(&mut reader) {
        let run = runs.fetch_add(1, Ordering::SeqCst) + 1;
        // The client may have closed the connection after the surplus answer.
        let sent = match is_first {
            true => stream.write_all(&answer(run)),
            false => stream.write_all(&[surplus, &answer(run)].concat()),
        };
        if sent.is_err() {
            return;
        }
        is_first = false;
    }
}

/// Reads a request; returns whether there was one.
fn read_request(reader: &mut BufReader<TcpStream>) -> bool {
    let mut length = 0;
    loop {
        let mut line = String::new();
        if !matches!(reader.read_line(&mut line), Ok(count) if count > 0) {
            return false;
        }
        let line = line.trim().to_ascii_lowercase();
        if line.is_empty() {
            return reader.read_exact(&mut vec![0; length]).is_ok();
        }
        if let Some(value) = line.strip_prefix("content-length:") {
            length = value.trim().parse().expect("a length");
        }
    }
}

fn response(status: &str, body: &str) -> Vec<u8> {
    let length = body.len();
    format!("HTTP/1.1 {status}\r\nContent-Length: {length}\r\n\r\n{body}").into_bytes()
}

fn invocation_answer(run: usize) -> Vec<u8> {
    let body = json!({"result": run, "repeated": false});
    response("200 OK", &body.to_string())
}

fn status_answer(_: usize) -> Vec<u8> {
    response("200 OK", r#"{"status":"running"}"#)
}

fn event(index: usize, text: Option<String>, finish_reason: Option<FinishReason>) -> String {
    let chunk = ChatChunk {
        id: "request".to_owned(),
        object: ChatChunk::OBJECT.to_owned(),
        created: 0,
        model: ModelName::new("menu"),
        choices: vec![ChunkChoice {
            index: 0,
            delta: Delta {
                role: None,
                content: text,
            },
            finish_reason,
        }],
        usage: finish_reason.map(|_| ChatUsage::from(Usage::default())),
    };
    let data = serde_json::to_string(&chunk).expect("a chunk encodes");
    format!("id: {index}\ndata: {data}\n\n")
}

/// Returns the text of a run as an engine generates it.
fn generated_answer(run: usize) -> Vec<u8> {
    let text = event(0, Some(format!("run {run}")), None);
    let end = event(1, None, Some(FinishReason::Stop));
    let body = format!("{text}{end}data: {DONE_MARKER}\n\n");
    response("200 OK\r\nContent-Type: text/event-stream", &body)
}

fn invocation(number: usize) -> ToolInvocation {
    ToolInvocation {
        tool: ToolName::new("tool"),
        idempotency_key: format!("key {number}"),
        arguments: "{}".to_owned(),
        timeout: TIMEOUT,
    }
}

fn generation(number: usize) -> GenerateRequest {
    GenerateRequest {
        request_id: format!("request {number}"),
        run: RunId { root: 7, child: 0 },
        model: ModelName::new("menu"),
        messages: Vec::new(),
        max_output: Tokens(10),
        priority: 0,
        continue_text: String::new(),
        first_chunk: 0,
        timeout: TIMEOUT,
    }
}

/// Returns the text of the whole answer to a generation.
async fn generate(client: &HttpEngineClient, number: usize) -> Result<String, BackendError> {
    let mut items = client.generate(generation(number));
    let mut whole = String::new();
    while let Some(item) = items.next().await {
        if let AnswerItem::Chunk { text, .. } = item? {
            whole.push_str(&text);
        }
    }
    Ok(whole)
}

/// Surplus answers: a refusal, and whole answers with the content of no run.
fn surplus_answers() -> [Vec<u8>; 3] {
    [
        response("503 Service Unavailable", REFUSAL),
        invocation_answer(1_000),
        generated_answer(1_000),
    ]
}

#[actix_rt::test]
async fn a_surplus_answer_is_not_the_answer_to_an_invocation() {
    for surplus in surplus_answers() {
        let server = Server::start(surplus, invocation_answer);
        let client = HttpToolClient::new(server.endpoint());
        for number in 1..=REQUESTS {
            let answer = client.invoke(invocation(number)).await;
            let found = answer.map(|answer| answer.result);
            assert_eq!(found, Ok(json!(number)));
            assert_eq!(server.runs(), number);
        }
    }
}

#[actix_rt::test]
async fn a_surplus_answer_is_not_the_answer_to_a_generation() {
    for surplus in surplus_answers() {
        let server = Server::start(surplus, generated_answer);
        let client = HttpEngineClient::new(server.endpoint());
        for number in 1..=REQUESTS {
            let found = generate(&client, number).await;
            assert_eq!(found, Ok(format!("run {number}")));
            assert_eq!(server.runs(), number);
        }
    }
}

/// What a tool says of one key must not be taken for what became of another.
#[actix_rt::test]
async fn a_surplus_answer_is_not_the_status_of_an_invocation() {
    let completed = r#"{"status":"completed","result":1}"#;
    let server = Server::start(response("200 OK", completed), status_answer);
    let client = HttpToolClient::new(server.endpoint());
    for number in 1..=REQUESTS {
        let status = client.status(&format!("key {number}")).await;
        assert_eq!(status, Ok(InvocationStatus::Running));
    }
}
