//! To which request the head of a worker's answer belongs, and whether it proves that the request was
//! not run.

/// The request that an answer names.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NamedRequest<'a> {
    /// None: the answer has no id.
    Nothing,
    /// The request with this id, which may be empty.
    Id(&'a str),
    /// It can't be told: an id isn't text, or several ids differ.
    Unclear,
}

impl<'a> NamedRequest<'a> {
    /// Creates the value from all ids of an answer; `None` stands for an id that isn't text.
    pub fn of(ids: impl IntoIterator<Item = Option<&'a str>>) -> Self {
        ids.into_iter()
            .fold(Self::Nothing, |named, id| match (named, id) {
                (Self::Nothing, Some(id)) => Self::Id(id),
                (Self::Id(known), Some(id)) if known == id => named,
                _ => Self::Unclear,
            })
    }

    /// Returns how the named request relates to the one with this id.
    pub fn relation_to(self, request_id: Option<&str>) -> Relation {
        match self {
            Self::Nothing => Relation::Unnamed,
            Self::Id(id) if Some(id) == request_id => Relation::Own,
            Self::Id(_) => Relation::Other,
            Self::Unclear => Relation::Unclear,
        }
    }
}

/// How the request that an answer names relates to the one that waits for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Relation {
    /// It is the same.
    Own,
    /// The answer names none.
    Unnamed,
    /// It is another one.
    Other,
    /// It can't be told.
    Unclear,
}

impl Relation {
    /// Returns the value of log fields.
    pub fn text(self) -> &'static str {
        match self {
            Self::Own => "own",
            Self::Unnamed => "none",
            Self::Other => "another",
            Self::Unclear => "unclear",
        }
    }
}

/// The parts of an answer's head that tell to which request it belongs and whether that was run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnswerHead<'a> {
    /// The request that it names.
    pub named: NamedRequest<'a>,
    /// Status code.
    pub status: u16,
    /// Whether it is marked as a statement that the request was not run.
    pub is_marked: bool,
}

impl AnswerHead<'_> {
    /// Returns what the answer tells about the request that waits for it on a connection; `None` if it
    /// belongs to another one.
    pub fn outcome(&self, waiting: &WaitingRequest<'_>) -> Option<Outcome> {
        let relation = self.named.relation_to(waiting.id);
        let belongs = match relation {
            Relation::Own => true,
            Relation::Unnamed | Relation::Unclear if waiting.id.is_none() => true,
            // Another process that has taken over the address refuses requests without their ids.
            Relation::Unnamed => self.is_refusal() && waiting.is_only_one(),
            Relation::Other | Relation::Unclear => false,
        };
        let is_proven = relation == Relation::Own || waiting.is_only_one();
        belongs.then(|| match self.is_refusal() {
            true if is_proven => Outcome::NotRun,
            false if !self.is_marked && !implies_not_run(self.status) => Outcome::Answered,
            _ => Outcome::Unknown,
        })
    }

    /// Returns whether the answer states that its request was not run.
    fn is_refusal(&self) -> bool {
        match self.status {
            MISDIRECTED_REQUEST => true,
            BAD_REQUEST | TOO_MANY_REQUESTS | SERVICE_UNAVAILABLE => self.is_marked,
            _ => false,
        }
    }
}

const BAD_REQUEST: u16 = 400;
const PAYMENT_REQUIRED: u16 = 402;
const REQUEST_TIMEOUT: u16 = 408;
const MISDIRECTED_REQUEST: u16 = 421;
const TOO_MANY_REQUESTS: u16 = 429;
const SERVICE_UNAVAILABLE: u16 = 503;

/// Returns whether callers take a status as a guarantee that the request was not run. From a worker
/// the status alone is not enough: without the platform's marker, the request may have run.
fn implies_not_run(status: u16) -> bool {
    matches!(
        status,
        PAYMENT_REQUIRED
            | REQUEST_TIMEOUT
            | MISDIRECTED_REQUEST
            | TOO_MANY_REQUESTS
            | SERVICE_UNAVAILABLE
    )
}

/// A request that waits for its answer on a connection.
#[derive(Clone, Copy, Debug)]
pub struct WaitingRequest<'a> {
    /// Its id, if it has one.
    pub id: Option<&'a str>,
    /// Number of requests sent on the connection before.
    pub carried: u32,
    /// Number of answers received and skipped since it was sent.
    pub skipped: u32,
}

impl WaitingRequest<'_> {
    /// Returns whether the next answer on the connection can be to no other request.
    fn is_only_one(&self) -> bool {
        self.carried == 0 && self.skipped == 0
    }
}

/// What an answer tells about its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It is answered.
    Answered,
    /// The worker did not and will not run it.
    NotRun,
    /// It may have run: the answer contradicts itself or has no proof of what its status promises.
    Unknown,
}

/// Maximum number of refused requests that a connection remembers.
const MAX_REFUSED: usize = 64;

/// The requests that a connection has carried.
///
/// A refused request isn't sent on its connection again: a second copy of the refusal would name it and
/// could arrive in the place of the answer to the second send.
#[derive(Debug, Default)]
pub struct CarriedRequests {
    count: u32,
    refused: Vec<String>,
}

impl CarriedRequests {
    /// Returns the number of requests sent so far.
    pub fn count(&self) -> u32 {
        self.count
    }

    /// Records that a request is sent.
    pub fn note_sent(&mut self) {
        self.count = self.count.saturating_add(1);
    }

    /// Records that the worker did not run a request.
    pub fn note_refused(&mut self, request_id: &str) {
        self.refused.push(request_id.to_owned());
    }

    /// Returns whether a caller's request may be sent. One without an id can't be told from others.
    pub fn may_carry(&self, request_id: Option<&str>) -> bool {
        match request_id {
            None | Some("") => self.count == 0,
            Some(id) => !self.refused.iter().any(|refused| refused == id),
        }
    }

    /// Returns whether the connection may be used for further requests.
    pub fn is_reusable(&self) -> bool {
        self.refused.len() < MAX_REFUSED
    }
}
