//! A calm stop of one process while callers go on sending: it answers or rejects what it accepts.

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_util::future::join_all;

use crate::callers::{Kind, TURN_TOKENS};
use crate::fleet::{EVENTS, Fleet};
use crate::restarts::{DEADLINE, Exchange, Findings, READ_ON, Stalls, findings};
use crate::standin::caller::{Answer, Connection, Request};
use crate::standin::worker::{Behaviour, EndlessBytes};

/// Moments after SIGTERM at which requests are sent, in milliseconds. The grace period is 1.6 s.
const MOMENTS_AFTER_STOP_MS: [u64; 4] = [0, 300, 600, 850];

/// A stream that takes 900 ms.
const LONG_STREAM: Behaviour = Behaviour::Events {
    count: EVENTS,
    pause: 180,
};

/// Sends requests that take long to a process while it stops. Returns those that it accepted and
/// did not answer.
pub async fn send_while_stopping(seed: u64) -> Vec<String> {
    let mut fleet = Fleet::start_with(seed, 2).await;
    for engine in &fleet.workers {
        engine.worker.set_behaviour(LONG_STREAM);
    }
    let node = fleet.nodes[0].callers();
    fleet.nodes[0].signal("-TERM");
    let stopped = Instant::now();
    let requests = MOMENTS_AFTER_STOP_MS
        .iter()
        .enumerate()
        .map(|(number, moment)| {
            let moment = Duration::from_millis(*moment);
            async move {
                actix_rt::time::sleep(moment.saturating_sub(stopped.elapsed())).await;
                let id = format!("stopping-{number}");
                let deadline = u64::try_from(DEADLINE.as_millis()).expect("a short time");
                let request = Request::new("POST", Kind::StoredTurn.path(), &id)
                    .deadline(deadline)
                    .body("input")
                    .turn(&id, TURN_TOKENS, TURN_TOKENS);
                let sent = Instant::now();
                let answer = request.try_send(node, DEADLINE + READ_ON).await;
                (id, sent.elapsed(), answer)
            }
        });
    let answers = join_all(requests).await;
    let workers = fleet.workers.iter();
    let runs = workers.flat_map(|proxied| proxied.worker.runs());
    let ran: BTreeSet<String> = runs.map(|run| run.request_id).collect();
    let is_cut = |answer: &Option<Answer>| !answer.as_ref().is_some_and(|answer| answer.is_whole);
    let lost = answers
        .into_iter()
        .filter(|(id, took, answer)| is_cut(answer) && *took < DEADLINE && ran.contains(id));
    lost.map(|(id, took, answer)| format!("{id} after {took:?}: {answer:?}"))
        .collect()
}

/// A stream that takes half a second.
const STREAM: Behaviour = Behaviour::Events {
    count: EVENTS,
    pause: 100,
};

/// Interval between the moments at which requests are sent late in the grace.
const LATE_INTERVAL: Duration = Duration::from_millis(100);

/// Number of those moments, of which the last ones come after the exit.
const LATE_MOMENTS: u32 = 18;

/// Deadlines of the requests, by turns: shorter and longer than the time until the exit.
const LATE_DEADLINES: [Duration; 3] = [
    Duration::from_millis(300),
    Duration::from_millis(700),
    DEADLINE,
];

/// Pause between the parts of an upload that arrives slowly.
const UPLOAD_PAUSE: Duration = Duration::from_millis(150);

const KINDS: [Kind; 5] = [
    Kind::SafeCall,
    Kind::CallOnce,
    Kind::Turn,
    Kind::TurnOnce,
    Kind::StoredTurn,
];

/// What the callers do with their connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Connections {
    /// They use connections that have served a request.
    Kept,
    /// They open one for each request.
    New,
    /// They open one for each request, whose body arrives in parts.
    NewWithUpload,
}

/// Sends requests of all kinds throughout the grace of one process of a fleet of `nodes`, while a tool
/// sends bytes without end. Returns what is found; those count as lost that were accepted and cut
/// before their time was over.
pub async fn send_late_in_grace(seed: u64, nodes: usize, connections: Connections) -> Findings {
    let mut fleet = Fleet::start_with(seed, nodes).await;
    let endless = Behaviour::Endless(EndlessBytes::Body);
    for proxied in &fleet.workers {
        if matches!(proxied.healthy_behaviour(), Behaviour::Events { .. }) {
            proxied.worker.set_behaviour(STREAM);
        }
    }
    let last = fleet.workers.last().expect("some workers");
    last.worker.set_behaviour(endless);
    let node = fleet.nodes[0].callers();
    let mut opened = Vec::new();
    for number in 0..LATE_MOMENTS {
        for kind in KINDS {
            opened.push(open(node, kind, number, connections).await);
        }
    }
    let stalls = Rc::new(Stalls::default());
    let done = Rc::new(Cell::new(false));
    let (watched, until) = (stalls.clone(), done.clone());
    actix_rt::spawn(async move { watched.watch(&until).await });
    fleet.nodes[0].signal("-TERM");
    let stopped = Instant::now();
    let exchanges = RefCell::new(Vec::new());
    join_all(opened.into_iter().enumerate().map(|(index, kept)| {
        let exchanges = &exchanges;
        async move {
            let number = u32::try_from(index / KINDS.len()).expect("a small number");
            let moment = stopped + LATE_INTERVAL * number;
            actix_rt::time::sleep(moment.saturating_duration_since(Instant::now())).await;
            let exchange = send(node, kept, KINDS[index % KINDS.len()], number, connections).await;
            exchanges.borrow_mut().push(exchange);
        }
    }))
    .await;
    done.set(true);
    fleet.nodes[0].wait_until_ended().await;
    let runs = fleet
        .workers
        .iter()
        .flat_map(|proxied| proxied.worker.runs());
    let ran: BTreeSet<String> = runs.map(|run| run.request_id).collect();
    findings(&exchanges.borrow(), &ran, &stalls, stopped)
}

/// Opens a connection that serves a request, if connections are kept.
async fn open(
    node: SocketAddr,
    kind: Kind,
    number: u32,
    connections: Connections,
) -> Option<Connection> {
    if connections != Connections::Kept {
        return None;
    }
    let mut connection = Connection::open(node).await;
    let id = format!("before-{kind:?}-{number}");
    // Any answer will do: it may come from the tool that doesn't answer.
    connection
        .exchange(&Request::new("POST", "/once/x", &id))
        .await;
    Some(connection)
}

async fn send(
    node: SocketAddr,
    kept: Option<Connection>,
    kind: Kind,
    number: u32,
    connections: Connections,
) -> Exchange {
    let id = format!("late-{kind:?}-{number}");
    let index = usize::try_from(number).expect("a small number");
    let deadline = LATE_DEADLINES[index % LATE_DEADLINES.len()];
    let milliseconds = u64::try_from(deadline.as_millis()).expect("a short time");
    let request = Request::new("POST", kind.path(), &id)
        .deadline(milliseconds)
        .body(&format!("input of {id} "));
    let request = match kind {
        kind if kind.is_call() => request,
        _ => request.turn(&id, TURN_TOKENS, TURN_TOKENS),
    };
    let sent = Instant::now();
    let timeout = DEADLINE + READ_ON;
    let answer = match connections {
        Connections::NewWithUpload => request.try_send_in_parts(node, UPLOAD_PAUSE, timeout).await,
        Connections::Kept | Connections::New => {
            let exchanged = request.try_send_on(kept, node, timeout).await;
            exchanged.map(|(answer, _)| answer)
        }
    };
    Exchange {
        id,
        kind,
        previous: None,
        node,
        sent,
        took: sent.elapsed(),
        deadline,
        answer: answer.filter(|answer| answer.status != 0),
    }
}
