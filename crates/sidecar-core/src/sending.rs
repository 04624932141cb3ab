//! Routing of requests to nodes: connecting, locating owners, sending and resending.

use std::net::SocketAddr;

use elderworks_protocol::sidecar::SidecarMessage;
use elderworks_types::{PartitionId, RunId, Timestamp};

use crate::core::SidecarCore;
use crate::directory::Route;
use crate::effect::Effect;
use crate::links::LinkStatus;
use crate::open_requests::{probe_timeout, resend_timeout};
use crate::request::{RequestKey, RequestState};

impl SidecarCore {
    pub(crate) fn connect(&mut self, now: Timestamp, address: SocketAddr) {
        if self.links.status(now, address) == LinkStatus::MayConnect {
            self.links.set_connecting(address);
            self.effects.push(Effect::Connect { address });
        }
    }

    /// Looks up the owners of requests whose node is silent, and queues overdue ones to be resent.
    pub(crate) fn probe_silent(&mut self, now: Timestamp) {
        let mut lookups: Vec<(PartitionId, SocketAddr)> = Vec::new();
        for key in self.open.silent(now) {
            let Some(request) = self.open.get_mut(&key) else {
                continue;
            };
            let RequestState::Sent { to, last_activity } = request.state else {
                continue;
            };
            let silence = now.since(last_activity);
            let should_locate = silence >= probe_timeout(request);
            if silence >= resend_timeout(request) {
                request.resend(now);
            }
            if should_locate && let Some(partition) = self.directory.partition(request.run) {
                lookups.push((partition, to));
            }
        }
        for (partition, silent) in lookups {
            self.locate(now, partition, Some(silent));
        }
    }

    /// Sends every due request whose node is connected; starts connections and lookups for others.
    pub(crate) fn send_due(&mut self, now: Timestamp) {
        for key in self.open.due_to_send(now) {
            self.try_send(now, key);
        }
    }

    fn try_send(&mut self, now: Timestamp, key: RequestKey) {
        let Some(request) = self.open.get(&key) else {
            return;
        };
        let run = request.run;
        let owner = match self.directory.route(run) {
            Route::Owner(owner) => owner,
            Route::Unknown(partition) => return self.locate(now, partition, None),
        };
        match self.links.status(now, owner) {
            LinkStatus::Ready => self.send_request(now, key, owner),
            LinkStatus::Connecting => {}
            LinkStatus::MayConnect => self.connect(now, owner),
            LinkStatus::Down => self.forget_run_owner(now, run),
        }
    }

    fn send_request(&mut self, now: Timestamp, key: RequestKey, to: SocketAddr) {
        let abandoned_before = match key {
            RequestKey::Call(call) => self.finished.abandoned_before(call),
            RequestKey::Other(_) => 0,
        };
        let Some(request) = self.open.get_mut(&key) else {
            return;
        };
        request.record_sent(now, to);
        let message = request.message(key, abandoned_before);
        self.send(to, message);
    }

    pub(crate) fn forget_run_owner(&mut self, now: Timestamp, run: RunId) {
        if let Some(partition) = self.directory.partition(run) {
            self.directory
                .forget_owner(now, partition, &mut self.random);
        }
    }

    fn locate(&mut self, now: Timestamp, partition: PartitionId, avoided: Option<SocketAddr>) {
        if self.links.ready_count() == 0 || !self.directory.try_start_lookup(now, partition) {
            return;
        }
        if let Some(address) = self.links.next_ready(avoided) {
            self.send(address, SidecarMessage::Locate { partition });
        }
    }
}
