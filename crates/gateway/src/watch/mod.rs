//! Follows the log's streams of configurations, workers and nodes while this node is a reader.

mod configuration;
mod nodes;
mod workers;

use std::rc::Rc;
use std::time::Duration;

use elderworks_gateway_core::log_streams::Stream;
use elderworks_gateway_core::stream_reads::{ReadTimeouts, StreamReadSchedule};
use elderworks_types::{Offset, Timestamp};

use crate::clock::millis;
use crate::gateway::Gateway;
use crate::ports::{NewestPage, ReadLimits, StoreError, StreamRecord};

pub(crate) use configuration::{
    apply_evacuation_order, apply_publication, follow_configuration, prove_configuration,
};
pub(crate) use nodes::{apply_nodes, follow_nodes, read_nodes};
pub(crate) use workers::follow_workers;

/// Timeout of a read that doesn't wait for new records, used for proofs of the configuration and at the
/// start of a node.
const PROOF_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Number of consecutive failures after which a reader reports to its listeners that its reads fail. A
/// single failure may be a lost answer.
const REPORTED_FAILURES: u32 = 2;

/// Maximum number of attempts to read a page of the newest records. Earlier pages are not read again.
const MAX_PAGE_ATTEMPTS: u32 = 4;

/// Pause between two attempts to read a page.
const PAGE_RETRY_PAUSE: Duration = Duration::from_millis(100);

/// A stream to be followed and the handling of its records.
trait Follower {
    /// The stream to be followed.
    const STREAM: Stream;

    /// Replaces all state with the newest record of every key, in a stream that ended at `end`.
    fn replace_all(gateway: &Rc<Gateway>, records: &[StreamRecord], end: Offset);

    /// Applies the further records of one read.
    fn apply(gateway: &Rc<Gateway>, records: &[StreamRecord]);

    /// Called after a read that was sent at `sent` reached the end of the stream, `end`.
    fn on_current(_gateway: &Gateway, _sent: Timestamp, _end: Offset) {}

    /// Called after each read.
    fn after_read(_gateway: &Gateway) {}

    /// Returns the offset to resume at when this node becomes a reader again; `None` to read the newest
    /// record of every key.
    fn resume_at(_gateway: &Gateway) -> Option<Offset> {
        None
    }

    /// Returns whether this node continues if the newest records take several pages. If not, it
    /// receives them from other readers.
    async fn continues_reading(_gateway: &Gateway) -> bool {
        true
    }
}

/// The position reached by a read.
struct Progress {
    /// Offset at which the next read starts.
    next: Offset,
    /// Whether the read reached the end of the stream.
    is_complete: bool,
}

/// Follows a stream whenever this node is a reader. Starts at an offset, or with the newest record of
/// every key if there is none.
async fn follow<F: Follower>(gateway: Rc<Gateway>, from: Option<Offset>) {
    let mut next = from;
    let mut reads = StreamReadSchedule::new(F::STREAM, &gateway.settings.news_deadlines());
    let mut last_success = gateway.now();
    let mut term = None;
    loop {
        let current_term = gateway.feed.until_reading().await;
        if term.replace(current_term) != Some(current_term) {
            next = F::resume_at(&gateway).or(from);
            reads = StreamReadSchedule::new(F::STREAM, &gateway.settings.news_deadlines());
            last_success = gateway.now();
        }
        let sent = gateway.now();
        let read = match next {
            None => match read_all::<F>(&gateway).await {
                Ok(Some(progress)) => Ok(progress),
                Ok(None) => continue,
                Err(error) => Err(error),
            },
            Some(from) => read_more::<F>(&gateway, from, limits(reads.next_read())).await,
        };
        match read {
            Ok(progress) => {
                let failures = reads.note_answer();
                record_success::<F>(&gateway, failures, sent.since(last_success), progress.next);
                last_success = sent;
                next = Some(progress.next);
                if progress.is_complete {
                    F::on_current(&gateway, sent, progress.next);
                }
            }
            Err(StoreError::Gone { first }) => {
                log::info!(stream:? = F::STREAM, first = first.0; "records were deleted; reading the newest record of every key");
                next = None;
                continue;
            }
            Err(error) => {
                let failures = reads.note_failure();
                record_failure::<F>(&gateway, failures, sent, last_success, &error);
            }
        }
        F::after_read(&gateway);
        actix_rt::time::sleep(reads.pause()).await;
    }
}

/// Records a successful read. `dark` is the time between the previous successful read and this one.
fn record_success<F: Follower>(gateway: &Rc<Gateway>, failures: u32, dark: Duration, end: Offset) {
    gateway.metrics.note_stream_read(F::STREAM, "ok");
    gateway.log_reach.borrow_mut().note_answer();
    gateway.feed.set_failing(gateway, F::STREAM, false);
    if failures == 0 {
        return;
    }
    let now = gateway.now();
    gateway.workers.borrow_mut().note_outage_over(now);
    log::info!(stream:? = F::STREAM, end = end.0, failures = failures, dark_ms = millis(Some(dark)); "stream can be read again");
}

/// Records a failed read that was sent at `sent`; `known` is when the last successful one was sent. Only
/// the first of several consecutive failures is logged.
fn record_failure<F: Follower>(
    gateway: &Rc<Gateway>,
    failures: u32,
    sent: Timestamp,
    known: Timestamp,
    error: &StoreError,
) {
    let now = gateway.now();
    gateway.metrics.note_stream_read(F::STREAM, "failed");
    gateway.log_reach.borrow_mut().note_failure();
    gateway
        .feed
        .set_failing(gateway, F::STREAM, failures >= REPORTED_FAILURES);
    if failures == 1 {
        let error = error.to_string();
        log::warn!(
            stream:? = F::STREAM, hung_ms = millis(Some(now.since(sent))),
            known_ms = millis(Some(now.since(known))), error = error.as_str(); "stream cannot be read"
        );
    }
}

/// Reads and applies the newest record of every key; `None` if that is left to other readers.
async fn read_all<F: Follower>(gateway: &Rc<Gateway>) -> Result<Option<Progress>, StoreError> {
    let Some((records, end)) = read_newest::<F>(gateway).await? else {
        return Ok(None);
    };
    F::replace_all(gateway, &records, end);
    Ok(Some(Progress {
        next: end,
        is_complete: true,
    }))
}

/// Reads all pages of the newest records. Returns them with the end of the stream before the first page;
/// changes made while the pages are read are behind that offset.
async fn read_newest<F: Follower>(
    gateway: &Rc<Gateway>,
) -> Result<Option<(Vec<StreamRecord>, Offset)>, StoreError> {
    let mut page = gateway.platform.read_newest(F::STREAM, None).await?;
    let end = page.end;
    let mut records = std::mem::take(&mut page.records);
    if page.next_after.is_some() && !F::continues_reading(gateway).await {
        return Ok(None);
    }
    while let Some(after) = page.next_after.take() {
        page = read_page::<F>(gateway, &after).await?;
        records.append(&mut page.records);
    }
    Ok(Some((records, end)))
}

/// Reads the page of the newest records behind the key `after`, with retries.
async fn read_page<F: Follower>(
    gateway: &Rc<Gateway>,
    after: &str,
) -> Result<NewestPage, StoreError> {
    let mut attempts = 1;
    loop {
        let page = gateway.platform.read_newest(F::STREAM, Some(after)).await;
        gateway
            .metrics
            .note_stream_read(F::STREAM, if page.is_ok() { "page" } else { "failed" });
        if page.is_ok() || attempts == MAX_PAGE_ATTEMPTS {
            return page;
        }
        attempts += 1;
        actix_rt::time::sleep(PAGE_RETRY_PAUSE).await;
    }
}

fn limits(times: ReadTimeouts) -> ReadLimits {
    ReadLimits {
        wait: times.wait,
        timeout: times.answer,
        most_bytes: None,
    }
}

/// Reads and applies the records from an offset on.
async fn read_more<F: Follower>(
    gateway: &Rc<Gateway>,
    from: Offset,
    limits: ReadLimits,
) -> Result<Progress, StoreError> {
    let batch = gateway.platform.read(F::STREAM, from, limits).await?;
    F::apply(gateway, &batch.records);
    let last = batch.records.last().map(|record| record.offset.next());
    let next = last.unwrap_or(from);
    Ok(Progress {
        next,
        is_complete: next >= batch.end,
    })
}
