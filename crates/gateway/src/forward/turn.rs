//! A turn's permit to run, granted by its program's ledger, and the report of the turn's end.

use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use elderworks_gateway_core::attempt::NotRun;
use elderworks_gateway_core::ledger::partition_of;
use elderworks_gateway_core::outage_wait::{RETRY_AFTER, outage_wait};
use elderworks_gateway_core::pressure::BufferKind;
use elderworks_gateway_core::tenants::scoped;
use elderworks_protocol::ledger::{BeginTurn, FinishTurn, LedgerReply, LedgerRequest, StoredTurn};
use elderworks_types::{NodeId, PartitionId};

use super::attempts::Call;
use crate::gateway::Gateway;
use crate::ledger::{self, AskedNodes, LedgerAnswer};
use crate::memory::MemoryReservation;
use crate::reply::{ErrorStatus, Refusal};

/// Maximum number of attempts to report the end of a turn.
const MAX_FINISH_ATTEMPTS: u32 = 12;

/// Fraction of a turn's remaining time for which it waits out a log outage.
const OUTAGE_WAIT_FRACTION: f64 = 0.4;

/// Maximum wait for the end of a log outage. Callers abandon streams that are silent for two
/// seconds.
const MAX_OUTAGE_WAIT: Duration = Duration::from_millis(1_200);

/// Fraction of a turn's remaining time after which it is refused if it has no permit yet. The rest
/// leaves the caller time to retry.
const MAX_PERMIT_WAIT_FRACTION: f64 = 0.45;

/// Minimum wait for a permit, even for turns with little time left: the partition's owner may have
/// to read a slow log first.
const MIN_PERMIT_WAIT: Duration = Duration::from_millis(1_200);

/// Maximum wait for a permit. Callers abandon streams that are silent for two seconds.
const MAX_PERMIT_WAIT: Duration = Duration::from_millis(1_500);

/// Interval between attempts to report the end of a turn.
const FINISH_RETRY_INTERVAL: Duration = Duration::from_millis(250);

/// A permit to run a turn. If dropped before the turn's end is reported, the tokens generated so
/// far are settled.
pub(super) struct TurnPermit {
    gateway: Rc<Gateway>,
    partition: PartitionId,
    /// The node that granted the permit.
    granter: NodeId,
    /// Every node that was asked for the permit.
    asked: AskedNodes,
    program: String,
    turn: String,
    tokens_per_event: u64,
    used: u64,
    input: Bytes,
    /// Accounts for the memory of the body, which begins with the turn's conversation.
    conversation: MemoryReservation,
    /// Whether the granter needs no further report.
    settled: bool,
}

impl TurnPermit {
    /// Records that an event is sent to the caller.
    pub(super) fn note_event(&mut self) {
        self.used += self.tokens_per_event;
    }

    /// Returns the number of tokens sent to the caller.
    pub(super) fn used(&self) -> u64 {
        self.used
    }

    /// Returns the turn's own input.
    pub(super) fn input(&self) -> Bytes {
        self.input.clone()
    }

    /// Reports the end of a complete turn. For a turn that is stored, waits until it is durable and
    /// returns whether it is.
    pub(super) async fn finish(&mut self, kept: Option<StoredTurn>) -> bool {
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
        let finished = store_turn(&self.gateway, &self.granter, self.partition, report).await;
        if finished {
            self.settled = true;
            self.withdraw_elsewhere();
        }
        finished
    }

    /// Marks the permit as denied by its granter, so that no end is reported to it.
    fn mark_denied(&mut self) {
        self.settled = true;
        self.withdraw_elsewhere();
    }

    /// Withdraws the turn at the other nodes that were asked: they may have reserved tokens
    /// although their reply was lost.
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

impl Drop for TurnPermit {
    fn drop(&mut self) {
        if self.settled {
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
            // If this fails, the full reservation is counted as spent.
            report_end(&gateway, &granter, partition, request).await;
        });
    }
}

/// Stores a turn through its granter, or else through another node that can act for its partition.
/// During a log outage that node holds the report until the log responds again. Returns whether the
/// turn is durable.
async fn store_turn(
    gateway: &Rc<Gateway>,
    granter: &NodeId,
    partition: PartitionId,
    report: FinishTurn,
) -> bool {
    let immediate = LedgerRequest::Finish(report.clone());
    let deferred = LedgerRequest::Finish(FinishTurn {
        waits: true,
        ..report
    });
    for _ in 0..MAX_FINISH_ATTEMPTS {
        let reply =
            ledger::request_from_granter(gateway, granter, partition, immediate.clone()).await;
        if reply == LedgerReply::Finished {
            return true;
        }
        let pause = actix_rt::time::sleep(FINISH_RETRY_INTERVAL);
        let waiting = ledger::request_when_log_returns(gateway, partition, deferred.clone());
        if waiting.await == LedgerReply::Finished {
            return true;
        }
        pause.await;
    }
    false
}

/// Reports the end of a turn until a node accepts the report. Returns whether one did.
async fn report_end(
    gateway: &Rc<Gateway>,
    granter: &NodeId,
    partition: PartitionId,
    request: LedgerRequest,
) -> bool {
    for _ in 0..MAX_FINISH_ATTEMPTS {
        let reply =
            ledger::request_from_granter(gateway, granter, partition, request.clone()).await;
        if reply == LedgerReply::Finished {
            return true;
        }
        actix_rt::time::sleep(FINISH_RETRY_INTERVAL).await;
    }
    false
}

impl Call<'_> {
    /// Obtains the permit for a turn of a program; other requests need none.
    pub(super) async fn start_turn(&mut self) -> Result<(), Refusal> {
        let needs_permit = self.route.keeps_turns || self.attributes.token_budget.is_some();
        let (Some(program), Some(turn)) = (&self.attributes.program, &self.attributes.request_id)
        else {
            return Ok(());
        };
        if !needs_permit || !self.is_turn() {
            return Ok(());
        }
        let program = self.scoped_id(program);
        let turn = self.scoped_id(turn);
        let partition = partition_of(&program, self.gateway.settings.partitions);
        let previous = self.attributes.previous_turn.as_deref();
        let previous = previous.map(|turn| self.scoped_id(turn));
        let begin = BeginTurn {
            program: program.clone(),
            turn: turn.clone(),
            budget: self.attributes.token_budget,
            tokens: self.attributes.max_tokens,
            previous: previous.filter(|_| self.route.keeps_turns),
            imported: None,
        };
        let input = self.body.clone().unwrap_or_default();
        let permit = TurnPermit {
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
            settled: false,
        };
        let conversation = self.obtain_permit(permit, partition, begin).await?;
        if !conversation.is_empty() {
            let mut whole = BytesMut::with_capacity(conversation.len() + input.len());
            whole.extend_from_slice(&conversation);
            whole.extend_from_slice(&input);
            if let Some(permit) = &mut self.permit {
                permit.conversation.set(whole.len());
            }
            self.body = Some(whole.freeze());
        }
        Ok(())
    }

    /// Returns the id under which the ledger stores a program or a turn. It is scoped to the
    /// tenant, so that tenants can't access each other's.
    pub(super) fn scoped_id(&self, id: &str) -> String {
        scoped(self.sender.tenant.as_deref(), id)
    }

    /// Returns how long the call waits for a log outage to end.
    fn max_outage_wait(&self) -> Duration {
        if !self.gateway.settings.policy.patience {
            return Duration::ZERO;
        }
        self.time_left()
            .mul_f64(OUTAGE_WAIT_FRACTION)
            .min(MAX_OUTAGE_WAIT)
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

    /// Obtains the permit for the turn, or refuses the turn while the caller still has time to
    /// retry.
    async fn obtain_permit(
        &mut self,
        mut permit: TurnPermit,
        partition: PartitionId,
        begin: BeginTurn,
    ) -> Result<Bytes, Refusal> {
        self.wait_for_log().await?;
        let left = self.time_left();
        let max_wait = left
            .mul_f64(MAX_PERMIT_WAIT_FRACTION)
            .clamp(MIN_PERMIT_WAIT, MAX_PERMIT_WAIT);
        let requesting = self.request_permit(partition, begin, &permit.asked);
        let Ok(answered) = actix_rt::time::timeout(max_wait, requesting).await else {
            return Err(PermitUnavailable::TooSlow.refusal());
        };
        permit.granter = answered.node;
        match answered.reply {
            LedgerReply::Granted { conversation } => {
                // The log may have failed since; dropping the permit returns the reservation.
                self.wait_for_log().await?;
                self.permit = Some(permit);
                Ok(conversation)
            }
            LedgerReply::BudgetSpent => {
                permit.mark_denied();
                Err(Refusal::budget_spent(NotRun::before_any_attempt()))
            }
            LedgerReply::UnknownTurn => {
                permit.mark_denied();
                Err(Refusal::error(
                    ErrorStatus::NotFound,
                    "no such turn is kept",
                ))
            }
            // Dropping the permit settles a reservation that may have been made.
            reply => Err(PermitUnavailable::of_reply(&reply).refusal()),
        }
    }

    /// Waits while the log doesn't respond if the turn is stored: its end would not be durable.
    async fn wait_for_log(&self) -> Result<(), Refusal> {
        let outage = &self.gateway.log_outage;
        if !self.route.keeps_turns || !outage.state().is_silent() {
            return Ok(());
        }
        let fraction = self.gateway.settings.policy.outage_wait_share;
        let is_back = outage
            .wait_until_available(outage_wait(self.time_left(), fraction))
            .await;
        self.gateway.metrics.note_outage_wait(is_back);
        match is_back {
            true => Ok(()),
            false => Err(PermitUnavailable::LogSilent.refusal()),
        }
    }

    fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Asks the turn's partition, and all others for a conversation that this partition doesn't
    /// store.
    async fn request_permit(
        &self,
        partition: PartitionId,
        mut begin: BeginTurn,
        asked: &AskedNodes,
    ) -> LedgerAnswer {
        let request = LedgerRequest::Begin(begin.clone());
        let max_wait = self.max_outage_wait();
        let answered =
            ledger::request_with_retries(self.gateway, partition, request, max_wait, asked).await;
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

/// The reason why a turn has no permit yet; the caller may retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PermitUnavailable {
    /// The log responds to no node.
    LogSilent,
    /// No reachable node could carry out the request because the log doesn't respond.
    LogUnavailable,
    /// No reply arrived early enough to leave the caller time for a retry.
    TooSlow,
    /// A pending settlement by another owner decides whether the budget suffices.
    BudgetPending,
    /// An unreachable owner may have spent the tokens that the turn needs.
    BudgetUnsettled,
}

impl PermitUnavailable {
    /// Returns the reason for a reply that neither grants nor denies the turn.
    fn of_reply(reply: &LedgerReply) -> Self {
        match reply {
            LedgerReply::BudgetUnsure => Self::BudgetPending,
            LedgerReply::BudgetInDoubt => Self::BudgetUnsettled,
            _ => Self::LogUnavailable,
        }
    }

    fn reason(self) -> &'static str {
        match self {
            Self::LogSilent => "the log answers nobody now",
            Self::LogUnavailable => "the program's ledger cannot be asked now",
            Self::TooSlow => "the program's ledger has not answered in time",
            Self::BudgetPending => "another node has yet to settle the program's budget",
            Self::BudgetUnsettled => "a lost node may have spent the program's budget",
        }
    }

    /// Returns the response; permits are requested before the first attempt, so nothing has run.
    fn refusal(self) -> Refusal {
        Refusal::not_run_retry_after(NotRun::before_any_attempt(), self.reason(), RETRY_AFTER)
    }
}
