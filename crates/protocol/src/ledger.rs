//! Records of a partition's ledger on the log, and the requests that nodes make of its owner.

use bytes::Bytes;
use elderworks_types::{NodeId, Offset, PartitionId};
use serde::{Deserialize, Serialize};

use crate::feed::{FeedRequest, FeedResponse};

/// A turn of a conversation as it is kept: what it added, not what came before it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredTurn {
    /// The turn that it goes on from.
    pub previous: Option<String>,
    /// Its own input.
    pub input: Bytes,
    /// What it generated.
    pub output: Bytes,
}

/// One record of a partition's ledger.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LedgerRecord {
    /// Tokens of a program's budget were set aside for turns that an owner lets run.
    Reserved {
        /// The program.
        program: String,
        /// Names the reservation; begins with the owner's name.
        reservation: String,
        /// Tokens set aside.
        tokens: u64,
    },
    /// A reservation ended; what its turns did not use returns to the budget.
    Settled {
        /// The program.
        program: String,
        /// Names the reservation.
        reservation: String,
        /// Tokens that its turns generated.
        used: u64,
    },
    /// A turn's input and output are kept.
    Kept {
        /// The turn.
        turn: String,
        /// What it added.
        content: StoredTurn,
    },
    /// A program's account, written anew before its earlier records leave the log's history.
    Account {
        /// The program.
        program: String,
        /// Tokens generated on reservations that have ended.
        settled: u64,
        /// Its other reservations with the tokens of each.
        open: Vec<(String, u64)>,
    },
    /// An owner may let turns run before their tokens are set aside, once a majority of the
    /// witnesses knows that it does. Until the overdraft is closed, others count on its use.
    Overdraft {
        /// Names the overdraft; begins with the owner's name.
        overdraft: String,
        /// A turn may begin on it if, with it, the program draws no more than one part in so many
        /// of its budget.
        share: u64,
        /// The nodes that are told before it is used.
        witnesses: Vec<Witness>,
        /// Time since the owner last gave a sign of life in this log, as known to whoever writes
        /// the record, in milliseconds.
        idle_ms: u64,
    },
    /// An overdraft ended: all that was drawn on it stands in the records before.
    OverdraftClosed {
        /// Names the overdraft.
        overdraft: String,
    },
    /// Which programs an overdraft, opened by the record before, serves; the others need not be
    /// held back for it.
    OverdraftTerms {
        /// Names the overdraft.
        overdraft: String,
        /// Programs with smaller budgets may not draw on it.
        min_budget: u64,
        /// Whether only programs may draw on it whose account its owner has read in the log.
        known_programs: bool,
    },
    /// An overdraft may not be drawn on by an owner that has read this. Where it serves known
    /// programs alone, those that begin after this record need not be held back for it.
    OverdraftSuperseded {
        /// Names the overdraft.
        overdraft: String,
    },
}

/// A start of a node that remembers whether an overdraft is used.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Witness {
    /// The node.
    pub node: NodeId,
    /// Names the start: a node that was restarted remembers nothing of before.
    pub boot: u64,
}

/// What a witness is asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum WitnessAction {
    /// Remember that the overdraft is used.
    Activate,
    /// Let it not be activated any more.
    Fence,
}

/// A question to a witness of an overdraft.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WitnessRequest {
    /// The overdraft.
    pub overdraft: String,
    /// The start of the node that is asked.
    pub boot: u64,
    /// What it is asked for.
    pub wish: WitnessAction,
}

/// What a witness knows of an overdraft after a question.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum WitnessAnswer {
    /// It is used.
    Activated,
    /// It will not be activated here any more.
    Fenced,
    /// The question was for an earlier start, or too long ago.
    Unknown,
}

/// A request to the owner of a partition.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LedgerRequest {
    /// May this turn run, and what came before it?
    Begin(BeginTurn),
    /// This turn has ended.
    Finish(FinishTurn),
    /// What was said up to the end of this turn?
    Conversation {
        /// The turn.
        turn: String,
    },
    /// A question to the node as a witness; it need not act for the partition.
    Witness(WitnessRequest),
}

/// Asks for leave to run a turn.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BeginTurn {
    /// The program.
    pub program: String,
    /// The turn.
    pub turn: String,
    /// Tokens that the program may generate in all; `None` if it has no budget.
    pub budget: Option<u64>,
    /// Tokens that the turn generates at most.
    pub tokens: u64,
    /// The kept turn that it goes on from.
    pub previous: Option<String>,
    /// The conversation up to `previous`, if that was found in another partition.
    pub imported: Option<Bytes>,
}

/// Tells how a turn ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FinishTurn {
    /// The program.
    pub program: String,
    /// The turn.
    pub turn: String,
    /// Tokens that it generated.
    pub used: u64,
    /// Set if the turn ended whole and is to be kept.
    pub kept: Option<StoredTurn>,
    /// Whether the owner should let the report wait for a while if the log is down, in place of
    /// answering at once that it is.
    pub waits: bool,
}

/// An answer to a [`LedgerRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LedgerReply {
    /// The turn may run; what it may generate is durably set aside. Its end is to be reported to
    /// the node that gave this reply.
    Granted {
        /// Inputs and outputs of the turns before, in order.
        conversation: Bytes,
    },
    /// The program's budget holds no further turn.
    BudgetSpent,
    /// This partition keeps no such turn; the log's end was read to make sure.
    UnknownTurn,
    /// The end of the turn is durable.
    Finished,
    /// What was said up to the turn's end.
    Conversation {
        /// Inputs and outputs in order.
        conversation: Bytes,
    },
    /// The log does not answer; nothing is known to have been done.
    Unavailable,
    /// Whether the budget holds the turn depends on what another owner has set aside and will soon
    /// settle; nothing was done.
    BudgetUnsure,
    /// A witness's answer.
    Witness(WitnessAnswer),
    /// Whether the budget holds the turn depends on what a lost owner may have let run, which may
    /// not become known for long; nothing was done.
    BudgetInDoubt,
}

/// A frame between gateways: a request, what becomes of it, or news that asks for no reply.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum GatewayFrame {
    /// A request.
    Request {
        /// Returned in the reply.
        id: u64,
        /// The partition asked.
        partition: PartitionId,
        /// What is asked.
        request: LedgerRequest,
    },
    /// The request has arrived; its reply takes longer.
    Arrived {
        /// From the request.
        id: u64,
    },
    /// A reply.
    Reply {
        /// From the request.
        id: u64,
        /// What is answered.
        reply: LedgerReply,
    },
    /// A worker was ejected by the sender after failures.
    WorkerEjected {
        /// The sender.
        node: NodeId,
        /// The worker's id.
        worker: String,
    },
    /// Asks for the receiver's configuration.
    ConfigurationAsked {
        /// The sender, to whom it is told.
        node: NodeId,
    },
    /// The configuration that is in force at the sender, as its record on the log.
    Configuration {
        /// Position of the record.
        offset: Offset,
        /// Its key.
        key: Option<String>,
        /// Its content.
        value: Bytes,
    },
    /// Asks a reader of the log's streams for what the sender has missed. Only to nodes that have
    /// told a [`FeedHeartbeat`](crate::feed::FeedHeartbeat): earlier versions close the connection on it.
    FeedAsked {
        /// Returned in the answer.
        id: u64,
        /// What is asked.
        question: FeedRequest,
    },
    /// The answer.
    FeedTold {
        /// From the question.
        id: u64,
        /// What is told.
        answer: FeedResponse,
    },
}
