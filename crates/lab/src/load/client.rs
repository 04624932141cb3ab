//! The callers' HTTP interface, as much as a load needs.

use std::time::{Duration, Instant};

use awc::ClientResponse;
use awc::http::Method;
use futures_util::StreamExt;
use serde::Deserialize;
use serde_json::{Value, json};

/// Longest wait for one answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(600);

/// The model of the example resources.
const MODEL: &str = "drafting-8b";

/// Code of an error that came from the connection and not from the sidecar.
const CONNECTION: &str = "connection";

/// A caller of one sidecar.
#[derive(Clone)]
pub struct CallerClient {
    base_url: String,
    bearer: String,
    program: String,
    client: awc::Client,
}

/// An answer that arrived.
#[derive(Clone, Debug)]
pub struct StreamedAnswer {
    /// When its first piece came, if it had one.
    pub first_piece: Option<Instant>,
    /// Whether the pieces joined to the whole.
    pub is_whole: bool,
    /// Tokens of its prompt.
    pub prompt_tokens: u64,
    /// Of those, tokens from the engine's cache.
    pub cached_tokens: u64,
}

/// The stable code of an error.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallError(pub String);

#[derive(Deserialize)]
struct ErrorBody {
    error: ErrorFields,
}

#[derive(Deserialize)]
struct ErrorFields {
    code: String,
}

#[derive(Deserialize)]
struct Started {
    id: String,
}

#[derive(Deserialize)]
struct Piece {
    text: String,
}

#[derive(Deserialize)]
struct Completed {
    content: String,
    usage: Usage,
}

#[derive(Deserialize)]
struct Usage {
    prompt_tokens: u64,
    cached_tokens: u64,
}

impl CallerClient {
    /// A caller that starts runs of `program`.
    pub fn new(base_url: &str, token: &str, program: &str) -> Self {
        Self {
            base_url: base_url.trim_end_matches('/').to_owned(),
            bearer: format!("Bearer {token}"),
            program: program.to_owned(),
            client: awc::Client::builder().timeout(ANSWER_TIMEOUT).finish(),
        }
    }

    /// Starts a run; returns its id.
    pub async fn start_run(&self) -> Result<String, CallError> {
        let body = json!({ "program": self.program });
        let body = self.send(Method::POST, "/v1/runs", Some(body)).await?;
        let started: Started = parse(&body)?;
        Ok(started.id)
    }

    /// Ends a run.
    pub async fn end_run(&self, run: &str) -> Result<(), CallError> {
        let path = format!("/v1/runs/{run}");
        self.send(Method::DELETE, &path, None).await?;
        Ok(())
    }

    /// Makes a streamed model call.
    pub async fn ask(
        &self,
        run: &str,
        prompt: &str,
        max_output: u64,
    ) -> Result<StreamedAnswer, CallError> {
        let message = json!({ "role": "user", "content": prompt });
        let model = json!({ "name": MODEL, "messages": [message], "max_output": max_output });
        let body = json!({ "model": model, "stream": true });
        let path = format!("/v1/runs/{run}/calls");
        let mut response = self.request(Method::POST, &path, Some(body)).await?;
        let mut stream = AnswerStream::default();
        while let Some(bytes) = response.next().await {
            let bytes = bytes.map_err(|_| CallError(CONNECTION.to_owned()))?;
            stream.take(&bytes)?;
        }
        stream.finish()
    }

    async fn send(
        &self,
        method: Method,
        path: &str,
        body: Option<Value>,
    ) -> Result<Vec<u8>, CallError> {
        let mut response = self.request(method, path, body).await?;
        let bytes = response.body().await;
        Ok(bytes
            .map_err(|_| CallError(CONNECTION.to_owned()))?
            .to_vec())
    }

    async fn request(
        &self,
        method: Method,
        path: &str,
        body: Option<Value>,
    ) -> Result<ClientResponse<impl futures_util::Stream<Item = PayloadResult> + Unpin>, CallError>
    {
        let url = format!("{}{path}", self.base_url);
        let request = self
            .client
            .request(method, url)
            .insert_header(("authorization", self.bearer.as_str()));
        let sending = match body {
            Some(body) => request.send_json(&body),
            None => request.send(),
        };
        let mut response = sending
            .await
            .map_err(|_| CallError(CONNECTION.to_owned()))?;
        if response.status().is_success() {
            return Ok(response);
        }
        let body = response.body().await.unwrap_or_default();
        Err(error_of(&body))
    }
}

type PayloadResult = Result<bytes::Bytes, awc::error::PayloadError>;

fn parse<'a, T: Deserialize<'a>>(body: &'a [u8]) -> Result<T, CallError> {
    serde_json::from_slice(body).map_err(|_| CallError("unreadable".to_owned()))
}

fn error_of(body: &[u8]) -> CallError {
    match parse::<ErrorBody>(body) {
        Ok(body) => CallError(body.error.code),
        Err(error) => error,
    }
}

/// Reads server-sent events of one answer.
#[derive(Default)]
pub struct AnswerStream {
    buffer: Vec<u8>,
    text: String,
    first_piece: Option<Instant>,
    completed: Option<Completed>,
}

impl AnswerStream {
    /// Takes the next bytes of the response.
    pub fn take(&mut self, bytes: &[u8]) -> Result<(), CallError> {
        self.buffer.extend_from_slice(bytes);
        while let Some(end) = find_blank_line(&self.buffer) {
            let event: Vec<u8> = self.buffer.drain(..end + 2).collect();
            self.event(&String::from_utf8_lossy(&event))?;
        }
        Ok(())
    }

    fn event(&mut self, event: &str) -> Result<(), CallError> {
        let field = |name: &str| event.lines().find_map(|line| line.strip_prefix(name));
        let data = field("data: ").unwrap_or_default().as_bytes();
        match field("event: ") {
            Some("chunk") => {
                self.first_piece.get_or_insert_with(Instant::now);
                let piece: Piece = parse(data)?;
                self.text.push_str(&piece.text);
            }
            Some("restarted") => self.text.clear(),
            Some("completed") => self.completed = Some(parse(data)?),
            Some("error") => return Err(error_of(data)),
            _ => {}
        }
        Ok(())
    }

    /// The answer, once the response has ended.
    pub fn finish(self) -> Result<StreamedAnswer, CallError> {
        let completed = self
            .completed
            .ok_or_else(|| CallError("cut_off".to_owned()))?;
        Ok(StreamedAnswer {
            first_piece: self.first_piece,
            is_whole: self.text == completed.content,
            prompt_tokens: completed.usage.prompt_tokens,
            cached_tokens: completed.usage.cached_tokens,
        })
    }
}

fn find_blank_line(buffer: &[u8]) -> Option<usize> {
    buffer.windows(2).position(|pair| pair == b"\n\n")
}
