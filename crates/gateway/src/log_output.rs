//! Log output that never blocks: lines wait in bounded memory for a thread that writes them.

use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::time::Duration;

/// Lines that wait to be written, at most; further ones are dropped and counted.
const MAX_WAITING: usize = 2_048;

/// Lines written in one go, in bytes.
const BATCH_BYTES: usize = 16 * 1024;

/// Pause between two batches.
const BATCH_PAUSE: Duration = Duration::from_millis(100);

/// Takes log lines and passes them to the writing thread.
#[derive(Debug)]
pub struct LogOutput {
    lines: SyncSender<Vec<u8>>,
    dropped: Arc<AtomicU64>,
}

impl LogOutput {
    /// Starts the thread that writes to standard output.
    pub fn to_stdout() -> Self {
        let (lines, waiting) = sync_channel(MAX_WAITING);
        let dropped = Arc::new(AtomicU64::new(0));
        let counter = dropped.clone();
        std::thread::spawn(move || write_batches(&waiting, &counter, &mut io::stdout()));
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

fn write_batches(waiting: &Receiver<Vec<u8>>, dropped: &AtomicU64, output: &mut impl Write) {
    let mut batch = Vec::with_capacity(BATCH_BYTES);
    while let Ok(line) = waiting.recv() {
        batch.extend_from_slice(&line);
        while batch.len() < BATCH_BYTES
            && let Ok(line) = waiting.try_recv()
        {
            batch.extend_from_slice(&line);
        }
        let lost = dropped.swap(0, Ordering::Relaxed);
        if lost > 0 {
            batch.extend_from_slice(loss_note(lost).as_bytes());
        }
        // Without a reader there is nobody to tell.
        let _ = output.write_all(&batch).and_then(|()| output.flush());
        batch.clear();
        std::thread::sleep(BATCH_PAUSE);
    }
}

/// A line in the form of the others that says how many were lost.
fn loss_note(lost: u64) -> String {
    let message = "log lines dropped: the output was not read";
    format!("{{\"level\":\"WARN\",\"lines\":{lost},\"message\":\"{message}\"}}\n")
}
