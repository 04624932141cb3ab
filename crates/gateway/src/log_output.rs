//! Non-blocking log output: lines are queued in bounded memory and written by a background thread.

use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::time::{Duration, Instant};

/// Maximum number of queued lines; further lines are dropped and counted.
const MAX_QUEUED_LINES: usize = 2_048;

/// Size in bytes at which a batch is complete even if more lines are queued.
const BATCH_BYTES: usize = 16 * 1024;

/// Pause between two batches.
const BATCH_PAUSE: Duration = Duration::from_millis(100);

/// Interval at which [`LogFlush`] checks whether everything is written.
const FLUSH_CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// A writer that passes log lines to the background thread.
#[derive(Debug)]
pub struct LogOutput {
    lines: SyncSender<Vec<u8>>,
    counts: Arc<LineCounts>,
}

/// Numbers of lines of one output.
#[derive(Debug, Default)]
struct LineCounts {
    /// Lines dropped since the last notice.
    dropped: AtomicU64,
    /// Lines that are queued or being written.
    unwritten: AtomicU64,
}

impl LogOutput {
    /// Starts the thread that writes to standard output.
    pub fn to_stdout() -> Self {
        let (lines, queued) = sync_channel(MAX_QUEUED_LINES);
        let counts = Arc::new(LineCounts::default());
        let writer_counts = counts.clone();
        std::thread::spawn(move || write_batches(&queued, &writer_counts, &mut io::stdout()));
        Self { lines, counts }
    }

    /// Returns a handle with which the last lines are awaited before the process exits.
    pub fn flush_handle(&self) -> LogFlush {
        LogFlush {
            counts: self.counts.clone(),
        }
    }
}

/// Waits until the lines of a [`LogOutput`] are written.
#[derive(Clone, Debug)]
pub struct LogFlush {
    counts: Arc<LineCounts>,
}

impl LogFlush {
    /// Blocks until all lines are written, or for `max_wait`.
    pub fn wait(&self, max_wait: Duration) {
        let started = Instant::now();
        while self.counts.unwritten.load(Ordering::Acquire) > 0 && started.elapsed() < max_wait {
            std::thread::sleep(FLUSH_CHECK_INTERVAL);
        }
    }
}

impl Write for LogOutput {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        self.counts.unwritten.fetch_add(1, Ordering::Relaxed);
        match self.lines.try_send(line.to_vec()) {
            Ok(()) => {}
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {
                self.counts.unwritten.fetch_sub(1, Ordering::Relaxed);
                self.counts.dropped.fetch_add(1, Ordering::Relaxed);
            }
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Writes queued lines in batches until the sender is dropped.
fn write_batches(queued: &Receiver<Vec<u8>>, counts: &LineCounts, output: &mut impl Write) {
    let mut batch = Vec::with_capacity(BATCH_BYTES);
    while let Ok(line) = queued.recv() {
        batch.extend_from_slice(&line);
        let mut lines = 1;
        while batch.len() < BATCH_BYTES
            && let Ok(line) = queued.try_recv()
        {
            batch.extend_from_slice(&line);
            lines += 1;
        }
        let lost = counts.dropped.swap(0, Ordering::Relaxed);
        if lost > 0 {
            batch.extend_from_slice(loss_notice(lost).as_bytes());
        }
        // If standard output is closed, there is no other place to report the error.
        let _ = output.write_all(&batch).and_then(|()| output.flush());
        batch.clear();
        counts.unwritten.fetch_sub(lines, Ordering::Release);
        std::thread::sleep(BATCH_PAUSE);
    }
}

/// Returns a log line, in the format of the others, with the number of dropped lines.
fn loss_notice(lost: u64) -> String {
    let message = "log lines dropped: the output was not read";
    format!("{{\"level\":\"WARN\",\"lines\":{lost},\"message\":\"{message}\"}}\n")
}
