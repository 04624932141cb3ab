//! `GET /v1/runs/{id}/watch`: streams a run's state, initially and after every change.

use std::time::Duration;

use actix_http::Request;
use bytes::Bytes;
use elderworks_types::{RunId, RunPhase, TenantId};
use futures_util::{Stream, stream};

use super::{ApiResult, App, auth, runs, sse};
use crate::wire::WireRun;

/// Interval at which the run is read from its node.
const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Streams one `run` event per change; the stream ends when the run does.
pub async fn watch(app: App, request: Request, run: RunId) -> ApiResult {
    let tenant = auth::tenant(&app.settings, &request.head().headers)?;
    runs::view(&app, &tenant, run).await?;
    let watch = Watch {
        app,
        tenant,
        run,
        last: String::new(),
    };
    Ok(sse::response(&[], changes(watch)))
}

struct Watch {
    app: App,
    tenant: TenantId,
    run: RunId,
    last: String,
}

fn changes(watch: Watch) -> impl Stream<Item = Bytes> {
    stream::unfold(Some(watch), |watch| async move { watch?.next().await })
}

impl Watch {
    /// Waits for the next change. Returns the watch as well, unless the run has ended.
    async fn next(mut self) -> Option<(Bytes, Option<Self>)> {
        loop {
            let view = match runs::view(&self.app, &self.tenant, self.run).await {
                Ok(view) => view,
                Err(error) => return Some((sse::event("error", &error.body()), None)),
            };
            let state = WireRun::from(&*view);
            let json = serde_json::to_string(&state).expect("responses are plain data");
            if json != self.last {
                self.last.clone_from(&json);
                let is_active = view.phase == RunPhase::Active;
                return Some((sse::event("run", &json), is_active.then_some(self)));
            }
            actix_rt::time::sleep(POLL_INTERVAL).await;
        }
    }
}
