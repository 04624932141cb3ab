//! Follows the platform's streams of configurations, workers and nodes, while this node reads them.

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
    follow_configuration, prove_configuration, take_publication, take_zone_wish,
};
pub(crate) use nodes::{follow_nodes, read_nodes, take_nodes};
pub(crate) use workers::follow_workers;

/// Longest wait for the answer to a read that asks only for what there is: reads of the followers
/// bound how late news are, this one how old a proof may be, or what a start sees.
const PROOF_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Failures of reads in a row after which a node that reads for others says so: one answer may be lost.
const FAILURES_TOLD: u32 = 2;

/// Tries of one page of the newest records: what the pages before it have brought is not read again.
const PAGE_TRIES: u32 = 4;

/// Pause between two of them.
const PAGE_PAUSE: Duration = Duration::from_millis(100);

/// One stream to follow and what to do with its records.
trait Follower {
    /// Which stream.
    const STREAM: Stream;

    /// Takes the newest record of every key, of a stream that ended at `end`.
    fn take_all(gateway: &Rc<Gateway>, records: &[StreamRecord], end: Offset);

    /// Takes further records, of one read.
    fn take_more(gateway: &Rc<Gateway>, records: &[StreamRecord]);

    /// Called after a read has shown everything that the stream held when the read was sent; it
    /// ended at `end`.
    fn note_current(_gateway: &Gateway, _sent: Timestamp, _end: Offset) {}

    /// Called after each read.
    fn after_read(_gateway: &Gateway) {}

    /// Where to go on after other nodes have read the stream for a while; `None` to read the newest
    /// record of every key.
    fn resume_at(_gateway: &Gateway) -> Option<Offset> {
        None
    }

    /// Whether this node reads on where the newest records take several pages; if not, it hears of
    /// them from others.
    async fn reads_on(_gateway: &Gateway) -> bool {
        true
    }
}

/// How far a read has come.
struct Progress {
    /// Where the next read begins.
    next: Offset,
    /// Whether it reached the end that the stream had.
    is_complete: bool,
}

/// Follows a stream from an offset on, or else from the newest record of every key on, while this node
/// reads the streams.
async fn follow<F: Follower>(gateway: Rc<Gateway>, from: Option<Offset>) {
    let mut next = from;
    let mut reads = StreamReadSchedule::new(F::STREAM, &gateway.settings.news_deadlines());
    let mut known = gateway.now();
    let mut term = None;
    loop {
        let present = gateway.feed.until_reading().await;
        if term.replace(present) != Some(present) {
            next = F::resume_at(&gateway).or(from);
            reads = StreamReadSchedule::new(F::STREAM, &gateway.settings.news_deadlines());
            known = gateway.now();
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
                note_answer::<F>(&gateway, failures, sent.since(known), progress.next);
                known = sent;
                next = Some(progress.next);
                if progress.is_complete {
                    F::note_current(&gateway, sent, progress.next);
                }
            }
            Err(StoreError::Gone { first }) => {
                log::info!(stream:? = F::STREAM, first = first.0; "history is gone; reading anew");
                next = None;
                continue;
            }
            Err(error) => {
                let failures = reads.note_failure();
                note_failure::<F>(&gateway, failures, sent, known, &error);
            }
        }
        F::after_read(&gateway);
        actix_rt::time::sleep(reads.pause()).await;
    }
}

/// Counts a read that was answered; `dark` is how long nothing was known before it was sent.
fn note_answer<F: Follower>(gateway: &Gateway, failures: u32, dark: Duration, end: Offset) {
    gateway.metrics.note_stream_read(F::STREAM, "ok");
    gateway.log_reach.borrow_mut().note_answer();
    gateway.feed.note_reads(gateway, F::STREAM, false);
    if failures == 0 {
        return;
    }
    let now = gateway.now();
    gateway.workers.borrow_mut().note_outage_over(now);
    log::info!(stream:? = F::STREAM, end = end.0, failures = failures, dark_ms = millis(Some(dark)); "stream can be read again");
}

/// Counts a read that failed. The first of a row is told, with how long it had hung and how long ago
/// the last one that was answered had been sent.
fn note_failure<F: Follower>(
    gateway: &Gateway,
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
        .note_reads(gateway, F::STREAM, failures >= FAILURES_TOLD);
    if failures == 1 {
        let error = error.to_string();
        log::warn!(
            stream:? = F::STREAM, hung_ms = millis(Some(now.since(sent))),
            known_ms = millis(Some(now.since(known))), error = error.as_str(); "stream cannot be read"
        );
    }
}

/// Reads the newest record of every key; `None` if that is left to other nodes.
async fn read_all<F: Follower>(gateway: &Rc<Gateway>) -> Result<Option<Progress>, StoreError> {
    let Some((records, end)) = read_newest::<F>(gateway).await? else {
        return Ok(None);
    };
    F::take_all(gateway, &records, end);
    Ok(Some(Progress {
        next: end,
        is_complete: true,
    }))
}

/// All pages of the newest records, and where the stream ended before them: later pages are newer, and
/// what changes meanwhile lies behind the first page's end.
async fn read_newest<F: Follower>(
    gateway: &Rc<Gateway>,
) -> Result<Option<(Vec<StreamRecord>, Offset)>, StoreError> {
    let mut page = gateway.platform.read_newest(F::STREAM, None).await?;
    let end = page.end;
    let mut records = std::mem::take(&mut page.records);
    if page.next_after.is_some() && !F::reads_on(gateway).await {
        return Ok(None);
    }
    while let Some(after) = page.next_after.take() {
        page = read_page::<F>(gateway, &after).await?;
        records.append(&mut page.records);
    }
    Ok(Some((records, end)))
}

async fn read_page<F: Follower>(
    gateway: &Rc<Gateway>,
    after: &str,
) -> Result<NewestPage, StoreError> {
    let mut tries = 1;
    loop {
        let page = gateway.platform.read_newest(F::STREAM, Some(after)).await;
        gateway
            .metrics
            .note_stream_read(F::STREAM, if page.is_ok() { "page" } else { "failed" });
        if page.is_ok() || tries == PAGE_TRIES {
            return page;
        }
        tries += 1;
        actix_rt::time::sleep(PAGE_PAUSE).await;
    }
}

fn limits(times: ReadTimeouts) -> ReadLimits {
    ReadLimits {
        wait: times.wait,
        timeout: times.answer,
        most_bytes: None,
    }
}

async fn read_more<F: Follower>(
    gateway: &Rc<Gateway>,
    from: Offset,
    limits: ReadLimits,
) -> Result<Progress, StoreError> {
    let batch = gateway.platform.read(F::STREAM, from, limits).await?;
    F::take_more(gateway, &batch.records);
    let last = batch.records.last().map(|record| record.offset.next());
    let next = last.unwrap_or(from);
    Ok(Progress {
        next,
        is_complete: next >= batch.end,
    })
}
