//! Connections to workers that were open before an exchange began. As long as such a connection is
//! answered, the process that had the exchange runs; a new connection would show only that some process
//! listens at the worker's address.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::{Rc, Weak};
use std::time::Duration;

use actix_http::header::{self, HeaderMap, HeaderValue};
use actix_http::{Method, RequestHead, Uri};
use elderworks_gateway_core::attempt::SendMark;
use elderworks_gateway_core::peer_loads::WorkerKey;
use elderworks_gateway_core::worker_ends::exchanges::SignOfLife;
use elderworks_types::Timestamp;

use crate::gateway::Gateway;
use crate::peers;
use crate::upstream::{
    ExchangeContext, OutgoingRequest, Pool, Target, WorkerConnection, connect, exchange_on,
};

/// Pause between two questions. Shorter than the time after which workers close connections at rest.
const ASK_PAUSE: Duration = Duration::from_millis(200);

/// Maximum time to wait for an answer. A worker answers only when it has a slot.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(3);

/// Maximum size in bytes of an answer.
const MAX_ANSWER_BYTES: usize = 64 * 1024;

/// The connections that are asked, by worker: when each was open.
#[derive(Debug, Default)]
pub(crate) struct Watches {
    opened: RefCell<HashMap<WorkerKey, Vec<Timestamp>>>,
}

impl Watches {
    /// Returns whether a connection to a worker is asked that was open at this time.
    fn has_opened_before(&self, worker: WorkerKey, time: Timestamp) -> bool {
        let opened = self.opened.borrow();
        let of_worker = opened.get(&worker);
        of_worker.is_some_and(|opened| opened.iter().any(|opened| *opened <= time))
    }

    fn add(&self, worker: WorkerKey, opened: Timestamp) {
        self.opened
            .borrow_mut()
            .entry(worker)
            .or_default()
            .push(opened);
    }

    fn remove(&self, worker: WorkerKey, opened: Timestamp) {
        let mut all = self.opened.borrow_mut();
        let Some(of_worker) = all.get_mut(&worker) else {
            return;
        };
        if let Some(position) = of_worker.iter().position(|known| *known == opened) {
            of_worker.swap_remove(position);
        }
        if of_worker.is_empty() {
            all.remove(&worker);
        }
    }
}

/// Keeps a connection asked while an exchange with the worker is in progress.
#[derive(Debug)]
pub(crate) struct Witness {
    _in_use: Rc<()>,
}

impl Witness {
    /// Opens a connection to the worker to which a request is about to be sent. Returns `None` if the
    /// worker doesn't accept it.
    pub(crate) async fn open(
        gateway: &Rc<Gateway>,
        target: &Target,
        service: &str,
    ) -> Option<Self> {
        let connection = match gateway.pool.take(&target.worker) {
            Some(connection) => connection,
            None => {
                let connections = Rc::new(Pool::default());
                let context = context(gateway, &connections);
                connect(&context, target.address).await.ok()?
            }
        };
        let in_use = Rc::new(());
        watch(gateway, target, service, connection, Rc::downgrade(&in_use));
        Some(Self { _in_use: in_use })
    }
}

/// Finds out whether a worker outlived an exchange that was sent at `sent`, if there is an idle connection
/// that was open before.
pub(crate) fn ask_idle_connection(
    gateway: &Rc<Gateway>,
    target: &Target,
    service: &str,
    sent: Timestamp,
) {
    let worker = WorkerKey::of(&target.worker);
    if gateway.watches.has_opened_before(worker, sent) {
        return;
    }
    let connection = gateway.pool.take_opened_before(&target.worker, sent);
    if let Some(connection) = connection {
        watch(gateway, target, service, connection, Weak::new());
    }
}

fn watch(
    gateway: &Rc<Gateway>,
    target: &Target,
    service: &str,
    connection: WorkerConnection,
    in_use: Weak<()>,
) {
    let config = gateway.current_config();
    let service = config.as_ref().and_then(|config| config.service(service));
    let health_path = service.map_or("/", |service| service.health_path.as_str());
    let worker = WorkerKey::of(&target.worker);
    gateway.watches.add(worker, connection.opened);
    let watch = Watch {
        gateway: gateway.clone(),
        worker,
        target: target.clone(),
        request: question(target, health_path),
        opened: connection.opened,
        in_use,
    };
    actix_rt::spawn(watch.run(connection));
}

/// A connection that is asked again and again.
struct Watch {
    gateway: Rc<Gateway>,
    worker: WorkerKey,
    target: Target,
    request: OutgoingRequest,
    opened: Timestamp,
    /// Gone once no exchange is in progress for which the connection is kept.
    in_use: Weak<()>,
}

impl Drop for Watch {
    fn drop(&mut self) {
        self.gateway.watches.remove(self.worker, self.opened);
    }
}

impl Watch {
    async fn run(self, connection: WorkerConnection) {
        let mut connection = Some(connection);
        while let Some(open) = connection.take() {
            let asked = self.gateway.now();
            let asking = actix_rt::time::timeout(ANSWER_TIMEOUT, self.ask(open));
            let Ok(Some(answered)) = asking.await else {
                return;
            };
            peers::note_sign_of_life(
                &self.gateway,
                &self.target.worker,
                &SignOfLife {
                    worker: self.worker,
                    opened: self.opened,
                    answered: asked,
                },
            );
            if !self.is_needed() {
                return;
            }
            connection = answered;
            actix_rt::time::sleep(ASK_PAUSE).await;
        }
    }

    fn is_needed(&self) -> bool {
        let table = self.gateway.requests.ends.borrow();
        self.in_use.strong_count() > 0 || table.needs_sign_of_life(self.worker, self.opened)
    }

    /// Returns `None` without an answer, or else the connection if it can be used again.
    async fn ask(&self, connection: WorkerConnection) -> Option<Option<WorkerConnection>> {
        self.gateway.metrics.worker_probes.inc();
        let connections = Rc::new(Pool::default());
        let context = context(&self.gateway, &connections);
        let extra = HeaderMap::new();
        let answer = exchange_on(&context, connection, &self.target, &self.request, extra);
        let mut answer = answer.await.ok()?;
        answer.buffer_body(MAX_ANSWER_BYTES).await.ok()?;
        Some(connections.take(&self.target.worker))
    }
}

/// Returns a request that any process at the worker's address answers, and that runs nothing.
fn question(target: &Target, health_path: &str) -> OutgoingRequest {
    let mut head = RequestHead::default();
    head.method = Method::GET;
    head.uri = health_path.parse::<Uri>().unwrap_or_default();
    if let Ok(host) = HeaderValue::from_str(&target.address.to_string()) {
        head.headers.insert(header::HOST, host);
    }
    OutgoingRequest {
        head: Rc::new(head),
        body: None,
        request_id: None,
    }
}

fn context<'a>(gateway: &'a Gateway, connections: &'a Rc<Pool>) -> ExchangeContext<'a> {
    ExchangeContext {
        pool: connections,
        http: &gateway.http,
        clock: gateway.clock,
        memory: &gateway.memory,
        platform: &*gateway.platform,
        connections_opened: &gateway.metrics.worker_connections,
        max_idle: 1,
        mark: SendMark::default(),
    }
}
