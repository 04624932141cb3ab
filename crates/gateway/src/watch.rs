//! Follows the platform's streams of configurations, workers and nodes.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use elderworks_gateway_core::config::ServingConfig;
use elderworks_gateway_core::config_proof::proving_pause;
use elderworks_gateway_core::directory::Stream;
use elderworks_gateway_core::evacuations::ZoneWish;
use elderworks_gateway_core::log_causes::LogCause;
use elderworks_gateway_core::nodes::NodeRecord;
use elderworks_gateway_core::start::Milestone;
use elderworks_gateway_core::stream_reads::{ReadTimes, StreamReads};
use elderworks_gateway_core::workers::WorkerRecord;
use elderworks_protocol::decode;
use elderworks_types::{Incarnation, NodeId, Offset, Timestamp};

use crate::clock::millis;
use crate::gateway::Gateway;
use crate::ports::{NewestPage, Publication, ReadLimits, StoreError, StreamRecord};
use crate::{feed, peers, process};

/// Longest wait for the answer to a read that asks only for what there is: reads of the followers
/// bound how late news are, this one how old a proof may be, or what a start sees.
const PROOF_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Failures of reads in a row after which a node that reads for others says so: one answer may be lost.
const FAILURES_TOLD: u32 = 2;

/// Tries of one page of the newest records: what the pages before it have brought is not read again.
const PAGE_TRIES: u32 = 4;

/// Pause between two of them.
const PAGE_PAUSE: Duration = Duration::from_millis(100);

/// Longest wait of a node that has just started for its place among the readers.
const LONGEST_PLACING: Duration = Duration::from_secs(1);

/// Pause between two looks whether it is known.
const PLACING_LOOK: Duration = Duration::from_millis(20);

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

/// Follows the operator's configurations until the process ends.
pub(crate) async fn follow_configuration(gateway: Rc<Gateway>) {
    follow::<ConfigurationFollower>(gateway, None).await;
}

/// Proves now and then, by reads that don't wait for news, that the configuration is the newest: a
/// read that waits proves it only for the time at which it was sent. Nodes that don't read just then
/// ask those that did.
pub(crate) async fn prove_configuration(gateway: Rc<Gateway>) {
    loop {
        let asks_others = gateway.settings.policy.peer_proofs && !gateway.feed.reads_for_others();
        let nodes = match asks_others {
            true => gateway.nodes.borrow().count(),
            false => 1,
        };
        // Exponentially distributed pauses: nodes that start together soon read at any time.
        let share = -(1.0 - rand::random::<f64>()).ln();
        actix_rt::time::sleep(proving_pause(nodes).mul_f64(share)).await;
        let Some(from) = gateway
            .config_end
            .get()
            .filter(|_| gateway.key_lease().is_some() || gateway.feed.reads_for_others())
        else {
            continue;
        };
        let sent = gateway.now();
        let limits = limits(ReadTimes::at_once(PROOF_TIMEOUT));
        // Failures are told by the follower of the configuration.
        let read = read_more::<ConfigurationFollower>(&gateway, from, limits).await;
        let outcome = if read.is_ok() { "ok" } else { "failed" };
        gateway.metrics.note_log_call(LogCause::Prove, outcome);
        if let Ok(progress) = read
            && progress.is_complete
        {
            ConfigurationFollower::note_current(&gateway, sent, progress.next);
        }
    }
}

/// Follows the workers' entries until the process ends.
pub(crate) async fn follow_workers(gateway: Rc<Gateway>) {
    follow::<WorkerFollower>(gateway, None).await;
}

/// Reads the nodes' entries once, from an offset on or else the newest of each, and tells where they
/// end.
pub(crate) async fn read_nodes(
    gateway: &Rc<Gateway>,
    from: Option<Offset>,
) -> Result<Offset, StoreError> {
    let Some(mut next) = from else {
        let (records, end) = read_newest::<NodeFollower>(gateway)
            .await?
            .unwrap_or_default();
        NodeFollower::take_all(gateway, &records, end);
        gateway.feed.note_nodes_end(end);
        return Ok(end);
    };
    loop {
        let limits = limits(ReadTimes::at_once(PROOF_TIMEOUT));
        let progress = read_more::<NodeFollower>(gateway, next, limits).await?;
        next = progress.next;
        if progress.is_complete {
            gateway.feed.note_nodes_end(next);
            return Ok(next);
        }
    }
}

/// Follows the nodes' entries from an offset on until the process ends.
pub(crate) async fn follow_nodes(gateway: Rc<Gateway>, from: Offset) {
    follow::<NodeFollower>(gateway, Some(from)).await;
}

/// Follows a stream from an offset on, or else from the newest record of every key on, while this node
/// reads the streams.
async fn follow<F: Follower>(gateway: Rc<Gateway>, from: Option<Offset>) {
    let mut next = from;
    let mut reads = StreamReads::new(F::STREAM, &gateway.settings.news_deadlines());
    let mut known = gateway.now();
    let mut term = None;
    loop {
        let present = gateway.feed.until_reading().await;
        if term.replace(present) != Some(present) {
            next = F::resume_at(&gateway).or(from);
            reads = StreamReads::new(F::STREAM, &gateway.settings.news_deadlines());
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
    let mut page = gateway.platform.newest(F::STREAM, None).await?;
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
        let page = gateway.platform.newest(F::STREAM, Some(after)).await;
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

fn limits(times: ReadTimes) -> ReadLimits {
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

struct ConfigurationFollower;

impl Follower for ConfigurationFollower {
    const STREAM: Stream = Stream::Configuration;

    fn note_current(gateway: &Gateway, sent: Timestamp, end: Offset) {
        gateway.config_proof.borrow_mut().note_read(sent);
        gateway.config_end.set(Some(end));
    }

    fn take_all(gateway: &Rc<Gateway>, records: &[StreamRecord], end: Offset) {
        let zones: BTreeSet<String> = records
            .iter()
            .filter_map(|record| evacuated_zone(gateway, record))
            .collect();
        let zones = zones.iter().map(String::as_str).collect();
        let lifted = gateway.evacuations.borrow_mut().lift_all_but(&zones, end);
        for zone in &lifted {
            log::info!(zone = zone.as_str(), offset = end.0, by = "log"; "zone takes work again");
        }
        if !lifted.is_empty() {
            gateway.act_on_evacuations();
        }
        Self::take_more(gateway, records);
    }

    fn take_more(gateway: &Rc<Gateway>, records: &[StreamRecord]) {
        for record in records {
            take_publication(gateway, record);
        }
    }
}

/// The zone that a record asks to empty, if it asks for that.
fn evacuated_zone(gateway: &Gateway, record: &StreamRecord) -> Option<String> {
    match gateway.platform.publication(record) {
        Ok(Publication::Evacuation { zone, is_on: true }) => Some(zone),
        _ => None,
    }
}

/// Takes what the operator has published.
pub(crate) fn take_publication(gateway: &Gateway, record: &StreamRecord) {
    match gateway.platform.publication(record) {
        Ok(Publication::Configuration(config)) => take_configuration(gateway, record, config),
        Ok(Publication::Evacuation { zone, is_on }) => {
            let offset = record.offset;
            take_zone_wish(gateway, &zone, ZoneWish { offset, is_on }, "log");
        }
        Ok(Publication::Other) => {}
        Err(error) => {
            log::error!(offset = record.offset.0, error = error.to_string().as_str(); "configuration cannot be read");
            gateway.config_proof.borrow_mut().obscure();
        }
    }
}

/// Takes the operator's wish for a zone, whoever has told it, unless it is older than what is known.
pub(crate) fn take_zone_wish(gateway: &Gateway, zone: &str, wish: ZoneWish, by: &str) {
    if !gateway.evacuations.borrow_mut().note(zone, wish) {
        return;
    }
    let news = match wish.is_on {
        true => "zone gets no more work",
        false => "zone takes work again",
    };
    log::info!(zone = zone, offset = wish.offset.0, by = by; "{news}");
    gateway.act_on_evacuations();
}

/// Takes a configuration into force, from the log or from another node, unless one of the same or a
/// later version is.
fn take_configuration(gateway: &Gateway, record: &StreamRecord, config: ServingConfig) {
    let version = config.version;
    let routes = config.routes.len();
    let tenants = config.tenants.len();
    if !gateway.config.borrow_mut().offer(config) {
        return;
    }
    if let Some(config) = gateway.current_config() {
        gateway.workers.borrow_mut().set_cold_rates(&config);
    }
    gateway.config_proof.borrow_mut().replace(version);
    *gateway.config_record.borrow_mut() = Some(record.clone());
    log::info!(version = version, routes = routes, tenants = tenants, offset = record.offset.0; "configuration in force");
    gateway.reach(Milestone::Configuration);
    let version = i64::try_from(version).unwrap_or(i64::MAX);
    gateway.metrics.config_version.set(version);
}

struct WorkerFollower;

impl Follower for WorkerFollower {
    const STREAM: Stream = Stream::Workers;

    fn take_all(gateway: &Rc<Gateway>, records: &[StreamRecord], end: Offset) {
        let listed = records.iter().filter(|record| !record.value.is_empty());
        let workers = listed.filter_map(|record| read_worker(gateway, record));
        gateway.feed.take_workers(gateway, workers.collect(), end);
        gateway.reach(Milestone::Workers);
    }

    fn take_more(gateway: &Rc<Gateway>, records: &[StreamRecord]) {
        let Some(last) = records.last() else {
            return;
        };
        for record in records {
            take_worker(gateway, record);
        }
        feed::apply(gateway, last.offset);
    }

    fn note_current(gateway: &Gateway, sent: Timestamp, _end: Offset) {
        gateway.feed.note_workers_read(sent);
    }

    fn after_read(gateway: &Gateway) {
        feed::upkeep(gateway);
        gateway.count_serving_nodes();
    }

    async fn reads_on(gateway: &Gateway) -> bool {
        let started = gateway.now();
        while !gateway.start.has(Milestone::Joined)
            && gateway.now().since(started) < LONGEST_PLACING
        {
            actix_rt::time::sleep(PLACING_LOOK).await;
        }
        gateway.feed.reads_on(gateway)
    }
}

/// Takes the entry of a worker.
fn take_worker(gateway: &Gateway, record: &StreamRecord) {
    let Some(id) = record.key.as_deref() else {
        return;
    };
    if record.value.is_empty() {
        gateway.feed.remove_worker(id);
    } else if let Some(worker) = read_worker(gateway, record) {
        gateway.feed.upsert_worker(worker);
    }
}

/// The worker that an entry names; `None` if it cannot be read, and nobody uses the worker any more.
fn read_worker(gateway: &Gateway, record: &StreamRecord) -> Option<WorkerRecord> {
    let id = record.key.as_deref()?;
    match gateway.platform.worker(record) {
        Ok(worker) => Some(worker),
        Err(error) => {
            gateway.metrics.unreadable_entries.inc();
            if gateway.unreadable_entries.borrow_mut().note(id) {
                log::error!(worker = id, offset = record.offset.0, error = error.to_string().as_str(); "worker's entry cannot be read");
            }
            gateway.feed.remove_worker(id);
            let now = gateway.now();
            if gateway.workers.borrow_mut().mark_unreadable(id, now) {
                log::warn!(worker = id, offset = record.offset.0; "worker is not used: its entry was overwritten");
            }
            None
        }
    }
}

struct NodeFollower;

impl Follower for NodeFollower {
    const STREAM: Stream = Stream::Nodes;

    fn take_all(gateway: &Rc<Gateway>, records: &[StreamRecord], _end: Offset) {
        take_nodes(gateway, records);
    }

    fn take_more(gateway: &Rc<Gateway>, records: &[StreamRecord]) {
        take_nodes(gateway, records);
    }

    fn note_current(gateway: &Gateway, _sent: Timestamp, end: Offset) {
        gateway.feed.note_nodes_end(end);
    }

    fn resume_at(gateway: &Gateway) -> Option<Offset> {
        gateway.feed.nodes_end()
    }
}

/// Takes entries of nodes. However many have changed, what follows from them is worked out once.
pub(crate) fn take_nodes(gateway: &Rc<Gateway>, records: &[StreamRecord]) {
    let changed = records.iter().filter(|record| take_node(gateway, record));
    let changed: Vec<&StreamRecord> = changed.collect();
    let Some(last) = changed.last() else {
        return;
    };
    let names = changed.iter().filter_map(|record| record.key.as_deref());
    log::info!(
        count = changed.len(), nodes = peers::listing(names), offset = last.offset.0;
        "nodes' entries changed"
    );
    gateway.peers.note_stale();
    gateway.note_node_changes();
}

/// Takes the entry of a node; tells whether anything has changed.
fn take_node(gateway: &Rc<Gateway>, record: &StreamRecord) -> bool {
    let Some(name) = record.key.as_deref() else {
        return false;
    };
    let node = NodeId::new(name);
    if record.value.is_empty() {
        return drop_node(gateway, &node, record.offset);
    }
    match decode::<NodeRecord>(&record.value) {
        Ok(content) => {
            let incarnation = Incarnation(record.offset.0);
            let mut nodes = gateway.nodes.borrow_mut();
            nodes.upsert(node, incarnation, content)
        }
        Err(error) => {
            log::error!(node = name, error = error.to_string().as_str(); "node's entry cannot be read");
            false
        }
    }
}

/// The entry of a node was dropped; tells whether that changes anything.
fn drop_node(gateway: &Rc<Gateway>, node: &NodeId, offset: Offset) -> bool {
    if *node == gateway.settings.node {
        log::warn!(offset = offset.0; "this node's entry was dropped; writing it again");
        actix_rt::spawn(process::restore_entry(gateway.clone()));
        return false;
    }
    gateway.nodes.borrow_mut().remove(node, offset)
}
