//! JSON types of the supported part of OpenAI's chat completions API.

use elderworks_types::{Answer, CallNumber, Credits, Message, ModelName, Role, RunId, Tokens};
use serde::{Deserialize, Serialize};

/// Body of `POST /v1/chat/completions`. Other fields, such as sampling parameters, are ignored.
#[derive(Debug, Deserialize)]
pub struct ChatBody {
    /// Name of the model.
    pub model: ModelName,
    /// The whole conversation.
    pub messages: Vec<ChatMessage>,
    /// Maximum number of tokens to generate; deprecated in favour of `max_completion_tokens`.
    pub max_tokens: Option<Tokens>,
    /// Maximum number of tokens to generate.
    pub max_completion_tokens: Option<Tokens>,
    /// Whether to stream the answer.
    #[serde(default)]
    pub stream: bool,
    /// Options of a streamed response.
    pub stream_options: Option<StreamOptions>,
    /// Number of answers; only 1 is supported.
    pub n: Option<u32>,
    /// Functions that the model may request; must be empty.
    pub tools: Option<Vec<serde_json::Value>>,
}

/// Options of a stream.
#[derive(Debug, Deserialize)]
pub struct StreamOptions {
    /// Whether to send a last chunk with the token usage.
    #[serde(default)]
    pub include_usage: bool,
}

/// A message of the conversation.
#[derive(Debug, Deserialize)]
pub struct ChatMessage {
    role: ChatRole,
    content: ChatContent,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "lowercase")]
enum ChatRole {
    System,
    Developer,
    User,
    Assistant,
    Tool,
}

#[derive(Debug, Deserialize)]
#[serde(untagged)]
enum ChatContent {
    Text(String),
    Parts(Vec<ContentPart>),
}

#[derive(Debug, Deserialize)]
#[serde(tag = "type", rename_all = "snake_case")]
enum ContentPart {
    Text { text: String },
}

impl From<ChatMessage> for Message {
    fn from(message: ChatMessage) -> Self {
        let role = match message.role {
            ChatRole::System | ChatRole::Developer => Role::System,
            ChatRole::User => Role::User,
            ChatRole::Assistant => Role::Assistant,
            ChatRole::Tool => Role::Tool,
        };
        Message::new(role, message.content.into_text())
    }
}

impl ChatContent {
    fn into_text(self) -> String {
        match self {
            ChatContent::Text(text) => text,
            ChatContent::Parts(parts) => parts
                .into_iter()
                .map(|ContentPart::Text { text }| text)
                .collect(),
        }
    }
}

/// The fields shared by all responses and chunks of one completion.
#[derive(Clone, Debug)]
pub struct Completion {
    /// Id of the run.
    pub run: RunId,
    /// Number of the call within the run.
    pub number: CallNumber,
    /// Name of the model.
    pub model: ModelName,
    /// Creation time, in seconds since the Unix epoch.
    pub created: u64,
}

#[derive(Debug, Serialize)]
struct Envelope<'a, C> {
    id: String,
    object: &'static str,
    created: u64,
    model: &'a ModelName,
    choices: Vec<C>,
    #[serde(skip_serializing_if = "Option::is_none")]
    usage: Option<ChatUsage>,
    #[serde(skip_serializing_if = "Option::is_none")]
    elderworks: Option<Extension>,
}

#[derive(Debug, Serialize)]
struct ChatUsage {
    prompt_tokens: u64,
    completion_tokens: u64,
    total_tokens: u64,
    prompt_tokens_details: PromptDetails,
}

#[derive(Debug, Serialize)]
struct PromptDetails {
    cached_tokens: Tokens,
}

#[derive(Debug, Serialize)]
struct Extension {
    run: RunId,
    call: CallNumber,
    cost: Credits,
}

#[derive(Debug, Serialize)]
struct WholeChoice<'a> {
    index: u32,
    message: AnswerMessage<'a>,
    finish_reason: &'static str,
}

#[derive(Debug, Serialize)]
struct AnswerMessage<'a> {
    role: Role,
    content: &'a str,
}

#[derive(Debug, Serialize)]
struct DeltaChoice<'a> {
    index: u32,
    delta: Delta<'a>,
    finish_reason: Option<&'static str>,
}

#[derive(Debug, Default, Serialize)]
struct Delta<'a> {
    #[serde(skip_serializing_if = "Option::is_none")]
    role: Option<Role>,
    #[serde(skip_serializing_if = "Option::is_none")]
    content: Option<&'a str>,
}

impl Completion {
    /// Renders the full answer.
    pub fn full_response(&self, answer: &Answer) -> String {
        let choice = WholeChoice {
            index: 0,
            message: AnswerMessage {
                role: Role::Assistant,
                content: &answer.content,
            },
            finish_reason: "stop",
        };
        self.render("chat.completion", vec![choice], Some(answer))
    }

    /// Renders the first chunk of a stream, which only has the role.
    pub fn role_chunk(&self) -> String {
        let delta = Delta {
            role: Some(Role::Assistant),
            content: None,
        };
        self.chunk(delta, None)
    }

    /// Renders a chunk with a part of the text.
    pub fn delta(&self, text: &str) -> String {
        let delta = Delta {
            role: None,
            content: Some(text),
        };
        self.chunk(delta, None)
    }

    /// Renders the last content chunk of a stream, which has the finish reason.
    pub fn final_chunk(&self) -> String {
        self.chunk(Delta::default(), Some("stop"))
    }

    /// Renders the chunk with the token usage.
    pub fn usage_chunk(&self, answer: &Answer) -> String {
        let choices: Vec<DeltaChoice<'_>> = Vec::new();
        self.render("chat.completion.chunk", choices, Some(answer))
    }

    fn chunk(&self, delta: Delta<'_>, finish_reason: Option<&'static str>) -> String {
        let choice = DeltaChoice {
            index: 0,
            delta,
            finish_reason,
        };
        self.render("chat.completion.chunk", vec![choice], None)
    }

    fn render<C: Serialize>(
        &self,
        object: &'static str,
        choices: Vec<C>,
        answer: Option<&Answer>,
    ) -> String {
        let envelope = Envelope {
            id: format!("chatcmpl-{}-{}", self.run, self.number),
            object,
            created: self.created,
            model: &self.model,
            choices,
            usage: answer.map(chat_usage),
            elderworks: answer.map(|answer| Extension {
                run: self.run,
                call: self.number,
                cost: answer.cost,
            }),
        };
        serde_json::to_string(&envelope).expect("responses are plain data")
    }
}

fn chat_usage(answer: &Answer) -> ChatUsage {
    let usage = answer.usage;
    ChatUsage {
        prompt_tokens: usage.prompt.0,
        completion_tokens: usage.output.0,
        total_tokens: (usage.prompt + usage.output).0,
        prompt_tokens_details: PromptDetails {
            cached_tokens: usage.cached,
        },
    }
}
