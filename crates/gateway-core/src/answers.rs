//! What the head of a worker's answer says about the request that waits for it.

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
