//! How HTTP handlers talk to the state machine.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use elderworks_protocol::sidecar::RunView;
use elderworks_sidecar_core::{CallerReply, Event, RequestId};
use elderworks_types::{CallSpec, Refusal, RunId, RunPhase, RunSpec, TenantId};
use tokio::sync::mpsc;

/// What a handler hands to the driver.
#[derive(Debug)]
pub enum Command {
    /// A request and where its replies go.
    Request {
        /// Names the request.
        request: RequestId,
        /// The request.
        event: Box<Event>,
        /// Takes the replies.
        replies: mpsc::UnboundedSender<CallerReply>,
    },
    /// The caller hung up.
    Gone {
        /// Its request.
        request: RequestId,
    },
}

/// No node answered in time; whether the request took effect is not known.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("no node answered in time")]
pub struct Unreachable;

/// Why a run was not started.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StartError {
    /// It was refused.
    Refused(Refusal),
    /// No node answered in time.
    Unreachable,
}

/// The state machine as seen by the HTTP handlers; cheap to clone, usable from any thread.
#[derive(Clone, Debug)]
pub struct CoreClient {
    commands: mpsc::UnboundedSender<Command>,
    next_request: Arc<AtomicU64>,
}

impl CoreClient {
    /// A client whose commands arrive at `commands`.
    pub fn new(commands: mpsc::UnboundedSender<Command>) -> Self {
        Self {
            commands,
            next_request: Arc::new(AtomicU64::new(1)),
        }
    }

    /// Starts a run.
    pub async fn start_run(&self, spec: RunSpec) -> Result<RunId, StartError> {
        let mut replies = self.request(|request| Event::StartRun { request, spec });
        match replies.next().await {
            Some(CallerReply::RunStarted { run }) => Ok(run),
            Some(CallerReply::RunRefused { refusal }) => Err(StartError::Refused(refusal)),
            _ => Err(StartError::Unreachable),
        }
    }

    /// Makes a call; its replies follow.
    pub fn call(&self, tenant: TenantId, run: RunId, spec: CallSpec) -> Replies {
        self.request(|request| Event::Call {
            request,
            tenant,
            run,
            spec,
        })
    }

    /// Reads a run; `None` if it does not exist for that tenant.
    pub async fn read_run(
        &self,
        tenant: TenantId,
        run: RunId,
    ) -> Result<Option<Box<RunView>>, Unreachable> {
        let mut replies = self.request(|request| Event::ReadRun {
            request,
            tenant,
            run,
        });
        match replies.next().await {
            Some(CallerReply::RunView { view }) => Ok(view),
            _ => Err(Unreachable),
        }
    }

    /// Ends a run.
    pub async fn end_run(&self, tenant: TenantId, run: RunId) -> Result<RunPhase, Unreachable> {
        let mut replies = self.request(|request| Event::EndRun {
            request,
            tenant,
            run,
        });
        match replies.next().await {
            Some(CallerReply::RunEnded { phase }) => Ok(phase),
            _ => Err(Unreachable),
        }
    }

    fn request(&self, event: impl FnOnce(RequestId) -> Event) -> Replies {
        let request = self.next_request.fetch_add(1, Ordering::Relaxed);
        let (sender, replies) = mpsc::unbounded_channel();
        let command = Command::Request {
            request,
            event: Box::new(event(request)),
            replies: sender,
        };
        // Once the driver is gone, the dropped sender ends the replies.
        let _ = self.commands.send(command);
        Replies {
            request,
            replies,
            commands: self.commands.clone(),
        }
    }
}

/// Replies to one request. Dropping them tells the state machine that the caller hung up.
#[derive(Debug)]
pub struct Replies {
    request: RequestId,
    replies: mpsc::UnboundedReceiver<CallerReply>,
    commands: mpsc::UnboundedSender<Command>,
}

impl Replies {
    /// The next reply; `None` after the last one.
    pub async fn next(&mut self) -> Option<CallerReply> {
        self.replies.recv().await
    }
}

impl Drop for Replies {
    fn drop(&mut self) {
        let request = self.request;
        let _ = self.commands.send(Command::Gone { request });
    }
}
