//! The interface of HTTP handlers to the driver and its state machine.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use elderworks_protocol::sidecar::RunView;
use elderworks_sidecar_core::{CallerReply, Event, RequestId};
use elderworks_types::{CallSpec, Refusal, RunId, RunPhase, RunSpec, TenantId};
use tokio::sync::mpsc;

/// A command from a handler to the driver.
#[derive(Debug)]
pub enum Command {
    /// Submits a request.
    Request {
        /// Id of the request.
        request: RequestId,
        /// The event that makes the request.
        event: Box<Event>,
        /// Receives the replies.
        replies: mpsc::UnboundedSender<CallerReply>,
    },
    /// The caller disconnected.
    CallerDisconnected {
        /// Id of its request.
        request: RequestId,
    },
}

/// Error that no node answered in time; whether the request took effect is unknown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("no node answered in time")]
pub struct NoAnswerFromNode;

/// Why a run was not started.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StartError {
    /// The run was refused.
    Refused(Refusal),
    /// No node answered in time; whether the run was started is unknown.
    NoAnswerFromNode,
}

/// A handle to the state machine for HTTP handlers; cheap to clone and usable from any thread.
#[derive(Clone, Debug)]
pub struct CoreClient {
    commands: mpsc::UnboundedSender<Command>,
    next_request: Arc<AtomicU64>,
}

impl CoreClient {
    /// Creates a client that sends its commands to `commands`.
    pub fn new(commands: mpsc::UnboundedSender<Command>) -> Self {
        Self {
            commands,
            next_request: Arc::new(AtomicU64::new(1)),
        }
    }

    /// Starts a run.
    ///
    /// # Errors
    ///
    /// Returns an error if the run was refused or no node answered in time.
    pub async fn start_run(&self, spec: RunSpec) -> Result<RunId, StartError> {
        let mut replies = self.request(|request| Event::StartRun { request, spec });
        match replies.next().await {
            Some(CallerReply::RunStarted { run }) => Ok(run),
            Some(CallerReply::RunRefused { refusal }) => Err(StartError::Refused(refusal)),
            _ => Err(StartError::NoAnswerFromNode),
        }
    }

    /// Submits a call and returns the stream of its replies.
    pub fn call(&self, tenant: TenantId, run: RunId, spec: CallSpec) -> Replies {
        self.request(|request| Event::Call {
            request,
            tenant,
            run,
            spec,
        })
    }

    /// Reads a run; returns `None` if it does not exist for the tenant.
    ///
    /// # Errors
    ///
    /// Returns an error if no node answered in time.
    pub async fn read_run(
        &self,
        tenant: TenantId,
        run: RunId,
    ) -> Result<Option<Box<RunView>>, NoAnswerFromNode> {
        let mut replies = self.request(|request| Event::ReadRun {
            request,
            tenant,
            run,
        });
        match replies.next().await {
            Some(CallerReply::RunView { view }) => Ok(view),
            _ => Err(NoAnswerFromNode),
        }
    }

    /// Ends a run and returns its final phase.
    ///
    /// # Errors
    ///
    /// Returns an error if no node answered in time.
    pub async fn end_run(
        &self,
        tenant: TenantId,
        run: RunId,
    ) -> Result<RunPhase, NoAnswerFromNode> {
        let mut replies = self.request(|request| Event::EndRun {
            request,
            tenant,
            run,
        });
        match replies.next().await {
            Some(CallerReply::RunEnded { phase }) => Ok(phase),
            _ => Err(NoAnswerFromNode),
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
        // If the driver has stopped, dropping the sender ends the replies.
        let _ = self.commands.send(command);
        Replies {
            request,
            replies,
            commands: self.commands.clone(),
        }
    }
}

/// The replies to one request. Dropping them reports to the driver that the caller disconnected.
#[derive(Debug)]
pub struct Replies {
    request: RequestId,
    replies: mpsc::UnboundedReceiver<CallerReply>,
    commands: mpsc::UnboundedSender<Command>,
}

impl Replies {
    /// Returns the next reply, or `None` after the last one.
    pub async fn next(&mut self) -> Option<CallerReply> {
        self.replies.recv().await
    }
}

impl Drop for Replies {
    fn drop(&mut self) {
        let request = self.request;
        let _ = self.commands.send(Command::CallerDisconnected { request });
    }
}
