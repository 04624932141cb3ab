//! Non-blocking log output: lines are queued in bounded memory and written by a background thread.

use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::time::Duration;

/// Maximum number of queued lines; further lines are dropped and counted.
const MAX_QUEUED_LINES: usize = 2_048;

/// Size in bytes at which a batch is complete even if more lines are queued.
const BATCH_BYTES: usize = 16 * 1024;

/// Pause between two batches.
const BATCH_PAUSE: Duration = Duration::from_millis(100);

/// A writer that passes log lines to the background thread.
#[derive(Debug)]
pub struct LogOutput {
    lines: SyncSender<Vec<u8>>,
    dropped: Arc<AtomicU64>,
}

impl LogOutput {
    /// Starts the thread that writes to standard output.
    pub fn to_stdout() -> Self {
        let (lines, queued) = sync_channel(MAX_QUEUED_LINES);
        let dropped = Arc::new(AtomicU64::new(0));
        let counter = dropped.clone();
        std::thread::spawn(move || write_batches(&queued, &counter, &mut io::stdout()));
        Self { lines, dropped }
    }
}

impl Write for LogOutput {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        match self.lines.try_send(line.to_vec()) {
            Ok(()) => {}
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {
                self.dropped.fetch_add(1, Ordering::Relaxed);
            }
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Writes queued lines in batches until the sender is dropped.
fn write_batches(queued: &Receiver<Vec<u8>>, dropped: &AtomicU64, output: &mut impl Write) {
    let mut batch = Vec::with_capacity(BATCH_BYTES);
    while let Ok(line) = queued.recv() {
        batch.extend_from_slice(&line);
        while batch.len() < BATCH_BYTES
            && let Ok(line) = queued.try_recv()
        {
            batch.extend_from_slice(&line);
        }
        let lost = dropped.swap(0, Ordering::Relaxed);
        if lost > 0 {
            batch.extend_from_slice(loss_notice(lost).as_bytes());
        }
        // If standard output is closed, there is no other place to report the error.
        let _ = output.write_all(&batch).and_then(|()| output.flush());
        batch.clear();
        std::thread::sleep(BATCH_PAUSE);
    }
}

/// Returns a log line, in the format of the others, with the number of dropped lines.
fn loss_notice(lost: u64) -> String {
    let message = "log lines dropped: the output was not read";
    format!("{{\"level\":\"WARN\",\"lines\":{lost},\"message\":\"{message}\"}}\n")
}
