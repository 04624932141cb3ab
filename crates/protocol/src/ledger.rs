//! Records of a partition's ledger on the log, and the messages between gateways.
//!
//! The ledger of a partition holds the budgets and stored conversations of its programs. Only the
//! partition's owner appends to it; other nodes send [`LedgerRequest`]s to the owner.

use bytes::Bytes;
use elderworks_types::{NodeId, Offset, PartitionId};
use serde::{Deserialize, Serialize};

use crate::feed::{FeedRequest, FeedResponse};

/// One stored turn of a conversation, without the turns before it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredTurn {
    /// The preceding turn of the conversation, if any.
    pub previous: Option<String>,
    /// The input that this turn added.
    pub input: Bytes,
    /// The output that this turn generated.
    pub output: Bytes,
}

/// One record of a partition's ledger.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LedgerRecord {
    /// Reserves tokens of a program's budget for turns that the owner permits to run.
    Reserved {
        /// The program.
        program: String,
        /// Id of the reservation, prefixed with the owner's name.
        reservation: String,
        /// Reserved tokens.
        tokens: u64,
    },
    /// Closes a reservation and returns its unused tokens to the budget.
    Settled {
        /// The program.
        program: String,
        /// Id of the reservation.
        reservation: String,
        /// Tokens that the reservation's turns generated.
        used: u64,
    },
    /// Stores a turn's input and output.
    Kept {
        /// The turn.
        turn: String,
        /// The turn's input and output.
        content: StoredTurn,
    },
    /// State of a program's account, rewritten before its earlier records are trimmed from the log.
    Account {
        /// The program.
        program: String,
        /// Tokens used by closed reservations.
        settled: u64,
        /// Ids and tokens of the open reservations.
        open: Vec<(String, u64)>,
    },
    /// Opens an overdraft: after activating it at a majority of the witnesses, the owner may permit
    /// turns to run before their tokens are reserved in the log. Until it is closed, other owners
    /// assume that it is used.
    Overdraft {
        /// Id of the overdraft, prefixed with the owner's name.
        overdraft: String,
        /// Divisor of a program's budget: the program's draw on the overdraft, including the new
        /// turn, must not exceed budget / `share`.
        share: u64,
        /// Nodes at which the overdraft is activated before use.
        witnesses: Vec<Witness>,
        /// Time since the owner's last activity in this log as known to the writer of the record, in
        /// milliseconds.
        idle_ms: u64,
    },
    /// Closes an overdraft: everything drawn on it is contained in earlier records.
    OverdraftClosed {
        /// Id of the overdraft.
        overdraft: String,
    },
    /// Restricts an overdraft opened by an earlier record to some programs. For other programs,
    /// owners need not assume that it is used.
    OverdraftTerms {
        /// Id of the overdraft.
        overdraft: String,
        /// Minimum budget, in tokens, of programs that may draw on the overdraft.
        min_budget: u64,
        /// Whether only programs whose account the owner has read in the log may draw on it.
        known_programs: bool,
    },
    /// Ends drawing on an overdraft: its owner stops when it reads this record. If the overdraft is
    /// limited to known programs, it need not be assumed used for programs whose account appears
    /// after this record.
    OverdraftSuperseded {
        /// Id of the overdraft.
        overdraft: String,
    },
    /// Restricts an overdraft opened by an earlier record to turns that aren't stored, whichever
    /// program they belong to. Owners need not assume that stored turns drew on it.
    OverdraftForUnstored {
        /// Id of the overdraft.
        overdraft: String,
    },
}

/// One process start of a node that records whether an overdraft is used.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Witness {
    /// The node.
    pub node: NodeId,
    /// Identifies the process start; a restarted node has lost what it knew.
    pub boot: u64,
}

/// What a witness is asked to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum WitnessAction {
    /// Record that the overdraft is used, unless it has been fenced.
    Activate,
    /// Reject any later activation of the overdraft, unless it has been activated.
    Fence,
}

/// A request to a witness of an overdraft.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WitnessRequest {
    /// Id of the overdraft.
    pub overdraft: String,
    /// The witness's process start for which the request is meant.
    pub boot: u64,
    /// The requested action.
    pub wish: WitnessAction,
}

/// State of an overdraft at a witness after a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum WitnessAnswer {
    /// The overdraft is used.
    Activated,
    /// The overdraft can no longer be activated at this witness.
    Fenced,
    /// The request was meant for an earlier start of the node, or the witness has received requests about
    /// more overdrafts than it can record.
    Unknown,
}

/// A request to the owner of a partition.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LedgerRequest {
    /// Requests a permit to run a turn, and the conversation before it.
    Begin(BeginTurn),
    /// Reports that a turn has completed.
    Finish(FinishTurn),
    /// Requests the conversation up to and including a turn.
    Conversation {
        /// The turn.
        turn: String,
    },
    /// A request to the node as a witness, which need not own the partition.
    Witness(WitnessRequest),
}

/// Requests a permit to run a turn.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BeginTurn {
    /// The program.
    pub program: String,
    /// The turn.
    pub turn: String,
    /// The program's budget in generated tokens; `None` if unlimited.
    pub budget: Option<u64>,
    /// Maximum number of tokens that the turn may generate.
    pub tokens: u64,
    /// The stored turn that this turn continues.
    pub previous: Option<String>,
    /// The conversation up to and including `previous`, if it is stored in another partition. Empty
    /// and without a `previous` for a turn that isn't to be stored; see [`Self::storage`].
    pub imported: Option<Bytes>,
}

/// Whether a turn's input and output are stored once it is complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TurnStorage {
    /// They are: the turn continues a stored one.
    Stored,
    /// They are not.
    NotStored,
    /// The first turn of a stored conversation, or any first turn that a node of an earlier version
    /// requests.
    Unknown,
}

impl BeginTurn {
    /// Returns whether the turn is stored, as far as the request tells.
    pub fn storage(&self) -> TurnStorage {
        match (&self.previous, &self.imported) {
            (Some(_), _) => TurnStorage::Stored,
            (None, Some(_)) => TurnStorage::NotStored,
            (None, None) => TurnStorage::Unknown,
        }
    }

    /// Marks the turn as one that isn't stored. Nodes of earlier versions ignore the mark.
    pub fn mark_not_stored(&mut self) {
        self.previous = None;
        self.imported = Some(Bytes::new());
    }
}

/// Reports that a turn has completed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FinishTurn {
    /// The program.
    pub program: String,
    /// The turn.
    pub turn: String,
    /// Tokens that the turn generated.
    pub used: u64,
    /// The turn's content, if it completed successfully and is to be stored.
    pub kept: Option<StoredTurn>,
    /// Whether the owner, if the log is unavailable, holds the report for a while instead of replying
    /// [`LedgerReply::Unavailable`] immediately.
    pub waits: bool,
}

/// A reply to a [`LedgerRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LedgerReply {
    /// The turn may run; its maximum number of tokens is accounted for. Its completion must be reported
    /// to the node that sent this reply.
    Granted {
        /// Inputs and outputs of the preceding turns, in order.
        conversation: Bytes,
    },
    /// The rest of the program's budget is too small for the turn.
    BudgetSpent,
    /// The partition holds no such turn, as confirmed by reading the log to its end.
    UnknownTurn,
    /// The completion of the turn is durable.
    Finished,
    /// The conversation up to and including the turn.
    Conversation {
        /// Inputs and outputs, in order.
        conversation: Bytes,
    },
    /// The log does not respond; it is unknown whether the request took effect.
    Unavailable,
    /// Whether the budget suffices depends on reservations of another owner that will be settled soon.
    /// The request had no effect.
    BudgetUnsure,
    /// Reply to [`LedgerRequest::Witness`].
    Witness(WitnessAnswer),
    /// Whether the budget suffices depends on turns that a failed owner may have permitted, which may
    /// stay unsettled for a long time. The request had no effect.
    BudgetInDoubt,
}

/// A frame between gateways: a request, its acknowledgement or reply, or a notification.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum GatewayFrame {
    /// A request to a partition's owner.
    Request {
        /// Correlation id, repeated in the reply.
        id: u64,
        /// The partition.
        partition: PartitionId,
        /// The request.
        request: LedgerRequest,
    },
    /// Acknowledges receipt of a request whose reply takes longer.
    Arrived {
        /// Correlation id of the request.
        id: u64,
    },
    /// The reply to a request.
    Reply {
        /// Correlation id of the request.
        id: u64,
        /// The reply.
        reply: LedgerReply,
    },
    /// Notifies that the sender ejected a worker after failures.
    WorkerEjected {
        /// The sender.
        node: NodeId,
        /// The worker's id.
        worker: String,
    },
    /// Requests the receiver's configuration.
    ConfigurationAsked {
        /// The sender, to which the configuration is sent.
        node: NodeId,
    },
    /// The sender's current configuration, as its record on the log.
    Configuration {
        /// The record's offset.
        offset: Offset,
        /// The record's key.
        key: Option<String>,
        /// The record's value.
        value: Bytes,
    },
    /// Requests missing content of the log's streams from a reader. Sent only to nodes that have sent
    /// a [`FeedHeartbeat`](crate::feed::FeedHeartbeat), since earlier versions close the connection on this
    /// variant.
    FeedAsked {
        /// Correlation id, repeated in the response.
        id: u64,
        /// The request.
        question: FeedRequest,
    },
    /// Response to [`Self::FeedAsked`].
    FeedTold {
        /// Correlation id of the request.
        id: u64,
        /// The response.
        answer: FeedResponse,
    },
}
