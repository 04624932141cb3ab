//! Obtains a turn's permit to run from its program's ledger.

use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use elderworks_gateway_core::attempt::NotRun;
use elderworks_gateway_core::ledger::{TurnHolders, partition_of};
use elderworks_gateway_core::outage_wait::{RETRY_AFTER, outage_wait};
use elderworks_gateway_core::pressure::BufferKind;
use elderworks_gateway_core::tenants::scoped;
use elderworks_protocol::ledger::{BeginTurn, LedgerReply, LedgerRequest};
use elderworks_types::PartitionId;

use super::attempts::Call;
use super::turn_permit::TurnPermit;
use crate::ledger::{self, AskedNodes, LedgerAnswer};
use crate::reply::{ErrorStatus, Refusal};

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
        let mut begin = BeginTurn {
            program: program.clone(),
            turn: turn.clone(),
            budget: self.attributes.token_budget,
            tokens: self.attributes.max_tokens,
            previous: previous.filter(|_| self.route.keeps_turns),
            imported: None,
        };
        if !self.route.keeps_turns {
            begin.mark_not_stored();
        }
        let input = self.body.clone().unwrap_or_default();
        let permit = TurnPermit {
            gateway: self.gateway.clone(),
            partition,
            asked: AskedNodes::default(),
            holders: TurnHolders::default(),
            program,
            turn,
            tokens_per_event: self.tokens_per_event(),
            used: 0,
            input: input.clone(),
            conversation: self.gateway.memory.reservation(BufferKind::Conversations),
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
        match answered.reply {
            LedgerReply::Granted { conversation } => {
                permit.note_granted(answered.node);
                // The log may have failed since; dropping the permit returns the reservation.
                self.wait_for_log().await?;
                self.permit = Some(permit);
                Ok(conversation)
            }
            // Dropping the permit returns what any node that was asked may have reserved.
            LedgerReply::BudgetSpent => Err(Refusal::budget_spent(NotRun::before_any_attempt())),
            LedgerReply::UnknownTurn => Err(Refusal::error(
                ErrorStatus::NotFound,
                "no such turn is kept",
            )),
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
