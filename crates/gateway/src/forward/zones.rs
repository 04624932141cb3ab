//! What attempts at workers mean for zones: bytes that cross, and signs of life.

use actix_http::RequestHead;

use super::attempts::Call;
use crate::cross_zone_bytes::TrafficKind;

/// Bytes of a header beside its name and its value.
const HEADER_FRAME: usize = 4;

impl Call<'_> {
    /// Counts a request that goes to a worker, if that is in another zone.
    pub(super) fn count_request(&self, worker: &str) {
        let body = self.body.as_ref().map_or(0, |body| body.len());
        self.count_far(worker, TrafficKind::Requests, head_bytes(&self.head) + body);
    }

    /// Counts a part of a worker's answer, if the worker is in another zone.
    pub(super) fn count_answer(&self, worker: &str, bytes: usize) {
        self.count_far(worker, TrafficKind::Answers, bytes);
    }

    /// Notes that a worker has begun to answer.
    pub(super) fn note_heard(&self, worker: &str) {
        let now = self.gateway.now();
        self.gateway.workers.borrow_mut().note_response(worker, now);
    }

    fn count_far(&self, worker: &str, kind: TrafficKind, bytes: usize) {
        let workers = self.gateway.workers.borrow();
        let own = self.gateway.settings.zone.as_str();
        let known = workers.get(worker);
        if known.is_some_and(|known| known.record.zone != own) {
            self.gateway.metrics.far_bytes.note(kind, bytes);
        }
    }
}

fn head_bytes(head: &RequestHead) -> usize {
    let headers = head.headers.iter();
    let headers = headers.map(|(name, value)| name.as_str().len() + value.len() + HEADER_FRAME);
    head.uri.path().len() + headers.sum::<usize>()
}
