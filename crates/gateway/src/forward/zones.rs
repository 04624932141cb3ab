//! Accounting of bytes exchanged with workers of other zones.

use actix_http::RequestHead;

use super::attempts::Call;
use crate::cross_zone_bytes::TrafficKind;

/// Bytes that a header line takes in addition to its name and value: `": "` and CRLF.
const HEADER_LINE_OVERHEAD: usize = 4;

impl Call<'_> {
    /// Counts the bytes of a request if the worker is in another zone.
    pub(super) fn count_request_bytes(&self, worker: &str) {
        let body = self.body.as_ref().map_or(0, |body| body.len());
        self.count_cross_zone_bytes(worker, TrafficKind::Requests, head_bytes(&self.head) + body);
    }

    /// Counts bytes of a response if the worker is in another zone.
    pub(super) fn count_response_bytes(&self, worker: &str, bytes: usize) {
        self.count_cross_zone_bytes(worker, TrafficKind::Answers, bytes);
    }

    /// Records that a worker has started to respond.
    pub(super) fn note_response_start(&self, worker: &str) {
        let now = self.gateway.now();
        self.gateway.workers.borrow_mut().note_response(worker, now);
    }

    fn count_cross_zone_bytes(&self, worker: &str, kind: TrafficKind, bytes: usize) {
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
    let headers =
        headers.map(|(name, value)| name.as_str().len() + value.len() + HEADER_LINE_OVERHEAD);
    head.uri.path().len() + headers.sum::<usize>()
}
