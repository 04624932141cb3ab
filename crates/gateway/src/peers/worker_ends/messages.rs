//! Encoding of what is known of requests under which workers ended.

use std::time::Duration;

use elderworks_gateway_core::worker_ends::exchanges::ExchangeKey;
use elderworks_gateway_core::worker_ends::identity::RequestKey;
use elderworks_gateway_core::worker_ends::table::{EndedRequest, KeyKind};
use elderworks_protocol::gateway::{EndRecord, EndedReport, RequestKind, RequestMessage};

/// Maximum number of requests in one datagram.
const MAX_REPORTED_REQUESTS: usize = 400;

/// Returns the record of requests in the log.
pub(crate) fn record_of(known: &[EndedRequest]) -> EndRecord {
    EndRecord {
        ended: encode_all(known, Exchanges::Ended),
        possible: encode_all(known, Exchanges::Possible),
    }
}

/// Which exchanges of a request a report names.
#[derive(Clone, Copy, Debug)]
pub(super) enum Exchanges {
    Ended,
    Possible,
    Outlived,
}

impl Exchanges {
    fn of(self, known: &EndedRequest) -> &[ExchangeKey] {
        match self {
            Self::Ended => &known.ended,
            Self::Possible => &known.possible,
            Self::Outlived => &known.outlived,
        }
    }
}

fn encode_all(known: &[EndedRequest], which: Exchanges) -> Vec<EndedReport> {
    let known = known.iter().filter(|known| !which.of(known).is_empty());
    known.map(|known| encode(known, which.of(known))).collect()
}

/// Returns the messages that tell what is known of requests. `ended` makes those of the ends.
pub(super) fn messages(
    known: &[EndedRequest],
    ended: impl Fn(Vec<EndedReport>) -> RequestMessage,
) -> Vec<RequestMessage> {
    let ends = encode_all(known, Exchanges::Ended);
    let possible = encode_all(known, Exchanges::Possible);
    let outlived = encode_all(known, Exchanges::Outlived);
    let ends = ends.chunks(MAX_REPORTED_REQUESTS);
    let possible = possible.chunks(MAX_REPORTED_REQUESTS);
    let possible = possible.map(|part| RequestMessage::Possible {
        requests: part.to_vec(),
    });
    let outlived = outlived.chunks(MAX_REPORTED_REQUESTS);
    let outlived = outlived.map(|part| RequestMessage::Outlived {
        requests: part.to_vec(),
    });
    // Before what is possible, which must not be counted in between.
    ends.map(|part| ended(part.to_vec()))
        .chain(outlived)
        .chain(possible)
        .collect()
}

fn encode(known: &EndedRequest, exchanges: &[ExchangeKey]) -> EndedReport {
    EndedReport {
        request: known.request.0,
        kind: match known.kind {
            KeyKind::Attempt => RequestKind::Attempt,
            KeyKind::Content => RequestKind::Content,
            KeyKind::SharedContent => RequestKind::SharedContent,
        },
        age_ms: u32::try_from(known.age.as_millis()).unwrap_or(u32::MAX),
        workers: exchanges.iter().map(|exchange| exchange.0).collect(),
    }
}

pub(super) fn decode(report: &EndedReport, which: Exchanges) -> EndedRequest {
    let mut request = EndedRequest {
        request: RequestKey(report.request),
        kind: match report.kind {
            RequestKind::Attempt => KeyKind::Attempt,
            RequestKind::Content => KeyKind::Content,
            RequestKind::SharedContent => KeyKind::SharedContent,
        },
        age: Duration::from_millis(u64::from(report.age_ms)),
        ended: Vec::new(),
        possible: Vec::new(),
        outlived: Vec::new(),
    };
    let exchanges = match which {
        Exchanges::Ended => &mut request.ended,
        Exchanges::Possible => &mut request.possible,
        Exchanges::Outlived => &mut request.outlived,
    };
    *exchanges = report.workers.iter().copied().map(ExchangeKey).collect();
    request
}
