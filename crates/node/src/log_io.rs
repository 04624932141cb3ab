//! Appends to and reads from the platform's log service.

use std::time::Duration;

use bytes::Bytes;
use elderworks_backend::{Endpoint, HttpClient, HttpLogClient, LogClient};
use elderworks_node_core::Event;
use elderworks_node_core::event::{AppendToken, NoAnswer, ReadRecords};
use elderworks_protocol::record::StreamName;
use elderworks_types::Offset;

use crate::counters::SharedCounters;
use crate::input::{Input, InputSender};

/// Time after which an append or read counts as unanswered.
const LOG_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum size of the records returned by one read, in bytes.
const READ_BYTES: usize = 1024 * 1024;

/// Executes the state machine's log effects, each in its own task.
#[derive(Clone)]
pub(crate) struct LogIo {
    client: HttpLogClient,
    inputs: InputSender,
    counters: SharedCounters,
}

impl LogIo {
    pub(crate) fn new(
        http: HttpClient,
        url: &str,
        inputs: InputSender,
        counters: SharedCounters,
    ) -> Self {
        let client = HttpLogClient::new(Endpoint::new(http, url, LOG_TIMEOUT));
        Self {
            client,
            inputs,
            counters,
        }
    }

    pub(crate) fn append(&self, stream: StreamName, token: AppendToken, bytes: Vec<u8>) {
        let appending = self.client.append(&stream.to_string(), Bytes::from(bytes));
        let this = self.clone();
        actix_rt::spawn(async move {
            let result = appending.await.map_err(|_| this.no_answer());
            this.report(Event::LogAppended { token, result }).await;
        });
    }

    pub(crate) fn read(&self, stream: StreamName, from: Offset, wait: Duration) {
        let reading = self
            .client
            .read(&stream.to_string(), from, READ_BYTES, wait);
        let this = self.clone();
        actix_rt::spawn(async move {
            let result = match reading.await {
                Ok(answer) => Ok(ReadRecords {
                    records: answer
                        .records
                        .into_iter()
                        .map(|record| (record.offset, record.data))
                        .collect(),
                    end: answer.end,
                }),
                Err(_) => Err(this.no_answer()),
            };
            let event = Event::LogRead {
                stream,
                from,
                result,
            };
            this.report(event).await;
        });
    }

    fn no_answer(&self) -> NoAnswer {
        self.counters.add(|counters| &mut counters.log_failures);
        NoAnswer
    }

    async fn report(&self, event: Event) {
        // The receiver is gone only if the node has stopped.
        let _ = self.inputs.send(Input::Event(Box::new(event))).await;
    }
}
