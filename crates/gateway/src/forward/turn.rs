//! A turn's leave from the ledger, and its return.

use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use elderworks_gateway_core::attempt::NotRun;
use elderworks_gateway_core::ledger::partition_of;
use elderworks_gateway_core::outage_wait::{RETRY_AFTER, outage_wait};
use elderworks_gateway_core::pressure::BufferKind;
use elderworks_gateway_core::tenants::scoped;
use elderworks_protocol::ledger::{BeginTurn, FinishTurn, KeptTurn, LedgerReply, LedgerRequest};
use elderworks_types::{NodeId, PartitionId};

use super::attempts::Call;
use crate::gateway::Gateway;
use crate::ledger::{self, AskedNodes, LedgerAnswer};
use crate::memory::MemoryReservation;
use crate::reply::{Fault, Refusal};

/// Times that the end of a turn is reported before it is given up.
const FINISH_TRIES: u32 = 12;

/// Share of a turn's time for which an outage of the log is waited for.
const PATIENT_SHARE: f64 = 0.4;

/// Longest wait for an outage of the log to end. Callers give up streams that stay silent for two
/// seconds.
const LONGEST_PATIENCE: Duration = Duration::from_millis(1_200);

/// Share of a turn's time after which it is refused if it has no leave, whatever is still being
/// asked: the rest is for another try.
const LONGEST_SHARE: f64 = 0.45;

/// Wait for leave of turns that have little time: a slow log that has to be read first takes this
/// long.
const SHORTEST_WAIT: Duration = Duration::from_millis(1_200);

/// Longest wait for leave. Callers give up streams that stay silent for two seconds.
const LONGEST_WAIT: Duration = Duration::from_millis(1_500);

/// Pause between two reports.
const FINISH_PAUSE: Duration = Duration::from_millis(250);

/// Leave to run a turn. Dropped before its end, it settles what was generated so far.
pub(super) struct TurnLease {
    gateway: Rc<Gateway>,
    partition: PartitionId,
    /// The node that granted the turn.
    granter: NodeId,
    /// Every node that was asked for the turn.
    asked: AskedNodes,
    program: String,
    turn: String,
    tokens_per_event: u64,
    used: u64,
    input: Bytes,
    /// Counts the body that begins with the turn's conversation.
    conversation: MemoryReservation,
    returned: bool,
}

impl TurnLease {
    /// Notes that an event goes to the caller.
    pub(super) fn note_event(&mut self) {
        self.used += self.tokens_per_event;
    }

    /// Tokens that have gone to the caller.
    pub(super) fn used(&self) -> u64 {
        self.used
    }

    /// The turn's own input.
    pub(super) fn input(&self) -> Bytes {
        self.input.clone()
    }

    /// Reports the end of a whole turn. A turn to be kept waits until that is durable; tells
    /// whether it is.
    pub(super) async fn finish(&mut self, kept: Option<KeptTurn>) -> bool {
        let Some(content) = kept else {
            return true;
        };
        let report = FinishTurn {
            program: self.program.clone(),
            turn: self.turn.clone(),
            used: self.used,
            kept: Some(content),
            waits: false,
        };
        let finished = keep_turn(&self.gateway, &self.granter, self.partition, report).await;
        if finished {
            self.returned = true;
            self.withdraw_elsewhere();
        }
        finished
    }

    /// The granter has denied the turn, so nothing is to be returned to it.
    fn deny(&mut self) {
        self.returned = true;
        self.withdraw_elsewhere();
    }

    /// Tells the nodes that were asked in vain that the turn does not run on their account: they
    /// may have set tokens aside for it and not been heard.
    fn withdraw_elsewhere(&self) {
        for node in self.asked.list() {
            if node == self.granter {
                continue;
            }
            let gateway = self.gateway.clone();
            let partition = self.partition;
            let request = self.end_report(0);
            actix_rt::spawn(async move {
                ledger::withdraw(&gateway, &node, partition, request).await;
            });
        }
    }

    fn end_report(&self, used: u64) -> LedgerRequest {
        LedgerRequest::Finish(FinishTurn {
            program: self.program.clone(),
            turn: self.turn.clone(),
            used,
            kept: None,
            waits: false,
        })
    }
}

impl Drop for TurnLease {
    fn drop(&mut self) {
        if self.returned {
            return;
        }
        self.withdraw_elsewhere();
        if !self.asked.list().contains(&self.granter) {
            return;
        }
        let request = self.end_report(self.used);
        let gateway = self.gateway.clone();
        let granter = self.granter.clone();
        let partition = self.partition;
        actix_rt::spawn(async move {
            // If nobody takes it, the turn counts at its most.
            report_end(&gateway, &granter, partition, request).await;
        });
    }
}

/// Has a turn kept, by its granter or whoever can act for its partition. While the log is away, the
/// report waits where it will be carried out first. Tells whether the turn is kept.
async fn keep_turn(
    gateway: &Rc<Gateway>,
    granter: &NodeId,
    partition: PartitionId,
    report: FinishTurn,
) -> bool {
    let at_once = LedgerRequest::Finish(report.clone());
    let on_return = LedgerRequest::Finish(FinishTurn {
        waits: true,
        ..report
    });
    for _ in 0..FINISH_TRIES {
        let reply =
            ledger::request_from_granter(gateway, granter, partition, at_once.clone()).await;
        if reply == LedgerReply::Finished {
            return true;
        }
        let pause = actix_rt::time::sleep(FINISH_PAUSE);
        let waiting = ledger::request_when_log_returns(gateway, partition, on_return.clone());
        if waiting.await == LedgerReply::Finished {
            return true;
        }
        pause.await;
    }
    false
}

async fn report_end(
    gateway: &Rc<Gateway>,
    granter: &NodeId,
    partition: PartitionId,
    request: LedgerRequest,
) -> bool {
    for _ in 0..FINISH_TRIES {
        let reply =
            ledger::request_from_granter(gateway, granter, partition, request.clone()).await;
        if reply == LedgerReply::Finished {
            return true;
        }
        actix_rt::time::sleep(FINISH_PAUSE).await;
    }
    false
}

impl Call<'_> {
    /// Obtains leave for a turn of a program; other requests need none.
    pub(super) async fn begin_turn(&mut self) -> Result<(), Refusal> {
        let needs_leave = self.route.keeps_turns || self.attributes.token_budget.is_some();
        let (Some(program), Some(turn)) = (&self.attributes.program, &self.attributes.request_id)
        else {
            return Ok(());
        };
        if !needs_leave || !self.is_turn() {
            return Ok(());
        }
        let program = self.in_scope(program);
        let turn = self.in_scope(turn);
        let partition = partition_of(&program, self.gateway.settings.partitions);
        let previous = self.attributes.previous_turn.as_deref();
        let previous = previous.map(|turn| self.in_scope(turn));
        let begin = BeginTurn {
            program: program.clone(),
            turn: turn.clone(),
            budget: self.attributes.token_budget,
            tokens: self.attributes.max_tokens,
            previous: previous.filter(|_| self.route.keeps_turns),
            imported: None,
        };
        let input = self.body.clone().unwrap_or_default();
        let lease = TurnLease {
            gateway: self.gateway.clone(),
            partition,
            granter: self.gateway.settings.node.clone(),
            asked: AskedNodes::default(),
            program,
            turn,
            tokens_per_event: self.tokens_per_event(),
            used: 0,
            input: input.clone(),
            conversation: self.gateway.memory.reservation(BufferKind::Conversations),
            returned: false,
        };
        let conversation = self.obtain_leave(lease, partition, begin).await?;
        if !conversation.is_empty() {
            let mut whole = BytesMut::with_capacity(conversation.len() + input.len());
            whole.extend_from_slice(&conversation);
            whole.extend_from_slice(&input);
            if let Some(lease) = &mut self.lease {
                lease.conversation.set(whole.len());
            }
            self.body = Some(whole.freeze());
        }
        Ok(())
    }

    /// The name under which the ledger knows a program or a turn of the caller's: tenants cannot
    /// reach each other's.
    pub(super) fn in_scope(&self, id: &str) -> String {
        scoped(self.sender.tenant.as_deref(), id)
    }

    /// How long an outage of the log is waited for.
    fn ledger_patience(&self) -> Duration {
        if !self.gateway.settings.policy.patience {
            return Duration::ZERO;
        }
        self.time_left()
            .mul_f64(PATIENT_SHARE)
            .min(LONGEST_PATIENCE)
    }

    pub(super) fn is_turn(&self) -> bool {
        self.route.kind == elderworks_gateway_core::config::RouteKind::Streaming
    }

    fn tokens_per_event(&self) -> u64 {
        self.config
            .service(&self.service)
            .and_then(|service| service.engine.as_ref())
            .map_or(1, |engine| u64::from(engine.tokens_per_event))
    }

    /// Obtains leave for the turn, or an answer that refuses it while the caller still has time to
    /// come back.
    async fn obtain_leave(
        &mut self,
        mut lease: TurnLease,
        partition: PartitionId,
        begin: BeginTurn,
    ) -> Result<Bytes, Refusal> {
        self.await_log().await?;
        let left = self.time_left();
        let longest = left
            .mul_f64(LONGEST_SHARE)
            .clamp(SHORTEST_WAIT, LONGEST_WAIT);
        let asking = self.ask_for_leave(partition, begin, &lease.asked);
        let Ok(answered) = actix_rt::time::timeout(longest, asking).await else {
            return Err(NoLeave::TooSlow.refusal());
        };
        lease.granter = answered.by;
        match answered.reply {
            LedgerReply::Granted { conversation } => {
                // It may have fallen silent meanwhile; what was set aside goes back.
                self.await_log().await?;
                self.lease = Some(lease);
                Ok(conversation)
            }
            LedgerReply::BudgetSpent => {
                lease.deny();
                Err(Refusal::budget_spent(NotRun::before_any_attempt()))
            }
            LedgerReply::UnknownTurn => {
                lease.deny();
                Err(Refusal::fault(Fault::NotFound, "no such turn is kept"))
            }
            // The lease settles a reservation that was made nevertheless.
            reply => Err(NoLeave::of_reply(&reply).refusal()),
        }
    }

    /// Waits while the log is silent if the turn is to be kept: its end would not be durable.
    async fn await_log(&self) -> Result<(), Refusal> {
        let outage = &self.gateway.log_outage;
        if !self.route.keeps_turns || !outage.state().is_silent() {
            return Ok(());
        }
        let share = self.gateway.settings.policy.outage_wait_share;
        let is_back = outage
            .wait_until_available(outage_wait(self.time_left(), share))
            .await;
        self.gateway.metrics.note_outage_wait(is_back);
        match is_back {
            true => Ok(()),
            false => Err(NoLeave::LogSilent.refusal()),
        }
    }

    fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Asks the turn's partition, and, for a conversation that it does not keep, all others.
    async fn ask_for_leave(
        &self,
        partition: PartitionId,
        mut begin: BeginTurn,
        asked: &AskedNodes,
    ) -> LedgerAnswer {
        let request = LedgerRequest::Begin(begin.clone());
        let patience = self.ledger_patience();
        let answered =
            ledger::request_with_retries(self.gateway, partition, request, patience, asked).await;
        let Some(previous) = begin.previous.clone() else {
            return answered;
        };
        if answered.reply != LedgerReply::UnknownTurn {
            return answered;
        }
        match ledger::find_conversation(self.gateway, partition, &previous).await {
            LedgerReply::Conversation { conversation } => {
                begin.imported = Some(conversation);
                let request = LedgerRequest::Begin(begin);
                ledger::request(self.gateway, partition, request, asked).await
            }
            reply => LedgerAnswer { reply, ..answered },
        }
    }
}

/// Why a turn has no leave yet: it may be asked for again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum NoLeave {
    /// The log answers nobody.
    LogSilent,
    /// No node could carry the request out: the log does not answer them.
    LogAway,
    /// No reply came while the caller had time for another try.
    TooSlow,
    /// Another owner will soon settle what decides whether the budget holds the turn.
    BudgetUnsure,
    /// An owner that is lost may have spent what the budget lacks for the turn.
    BudgetInDoubt,
}

impl NoLeave {
    /// What a reply that grants and denies nothing means.
    fn of_reply(reply: &LedgerReply) -> Self {
        match reply {
            LedgerReply::BudgetUnsure => Self::BudgetUnsure,
            LedgerReply::BudgetInDoubt => Self::BudgetInDoubt,
            _ => Self::LogAway,
        }
    }

    fn reason(self) -> &'static str {
        match self {
            Self::LogSilent => "the log answers nobody now",
            Self::LogAway => "the program's ledger cannot be asked now",
            Self::TooSlow => "the program's ledger has not answered in time",
            Self::BudgetUnsure => "another node has yet to settle the program's budget",
            Self::BudgetInDoubt => "a lost node may have spent the program's budget",
        }
    }

    /// Leave is asked for before the first attempt.
    fn refusal(self) -> Refusal {
        Refusal::not_run_until(NotRun::before_any_attempt(), self.reason(), RETRY_AFTER)
    }
}
