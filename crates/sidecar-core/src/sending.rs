//! Finding the node for each request and sending it there.

use std::net::SocketAddr;

use elderworks_protocol::sidecar::SidecarMessage;
use elderworks_types::{PartitionId, RunId, Timestamp};

use crate::core::SidecarCore;
use crate::directory::Route;
use crate::effect::Effect;
use crate::links::LinkStatus;
use crate::open_requests::{probe_after, resend_after};
use crate::request::{Position, RequestKey};

impl SidecarCore {
    pub(crate) fn connect(&mut self, now: Timestamp, address: SocketAddr) {
        if self.links.status(now, address) == LinkStatus::MayConnect {
            self.links.connecting(address);
            self.effects.push(Effect::Connect { address });
        }
    }

    /// Asks about the owner of requests whose node is silent, and sends again what got no answer.
    pub(crate) fn probe_silent(&mut self, now: Timestamp) {
        let mut questions: Vec<(PartitionId, SocketAddr)> = Vec::new();
        for key in self.open.silent(now) {
            let Some(request) = self.open.get_mut(&key) else {
                continue;
            };
            let Position::Sent { to, heard } = request.position else {
                continue;
            };
            let silence = now.since(heard);
            let ask_for_owner = silence >= probe_after(request);
            if silence >= resend_after(request) {
                request.send_again(now);
            }
            if ask_for_owner && let Some(partition) = self.directory.partition(request.run) {
                questions.push((partition, to));
            }
        }
        for (partition, silent) in questions {
            self.locate(now, partition, Some(silent));
        }
    }

    /// Sends every request that is due and whose node is connected.
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
            LinkStatus::Down => self.relocate(now, run),
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
        request.note_sent(now, to);
        let message = request.message(key, abandoned_before);
        self.send(to, message);
    }

    pub(crate) fn relocate(&mut self, now: Timestamp, run: RunId) {
        if let Some(partition) = self.directory.partition(run) {
            self.directory
                .forget_owner(now, partition, &mut self.random);
        }
    }

    fn locate(&mut self, now: Timestamp, partition: PartitionId, avoided: Option<SocketAddr>) {
        if self.links.ready_count() == 0 || !self.directory.begin_question(now, partition) {
            return;
        }
        if let Some(address) = self.links.next_ready(avoided) {
            self.send(address, SidecarMessage::Locate { partition });
        }
    }
}
