//! The log of a process: lines to standard output, bounded, and never in the way of a call.

use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::thread;

/// Lines that wait for a reader of standard output that is slow.
const WAITING: usize = 2_048;

/// Takes lines and hands them to a thread that writes them.
///
/// A reader of the log that stops fills the pipe, and a write to a full pipe blocks; the process has one
/// thread, so all its calls would stop with it. One notices it by instances that stand still together
/// with the collector of their logs. So lines wait in a bounded queue, and those that find it full are
/// counted and told of in a later line.
pub struct Lines {
    sender: SyncSender<Vec<u8>>,
    dropped: Arc<AtomicU64>,
    line: Vec<u8>,
}

impl Lines {
    /// Lines that a thread writes to `sink`, of which at most `waiting` wait for it.
    ///
    /// # Errors
    ///
    /// If no thread can be started.
    pub fn new(sink: impl Write + Send + 'static, waiting: usize) -> io::Result<Self> {
        let (sender, receiver) = sync_channel(waiting);
        let dropped = Arc::new(AtomicU64::new(0));
        let counted = dropped.clone();
        thread::Builder::new()
            .name("journal".to_owned())
            .spawn(move || write_all(sink, &receiver, &counted))?;
        Ok(Self {
            sender,
            dropped,
            line: Vec::new(),
        })
    }

    fn hand_over(&mut self, line: Vec<u8>) {
        match self.sender.try_send(line) {
            Ok(()) => {}
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {
                self.dropped.fetch_add(1, Ordering::Relaxed);
            }
        }
    }
}

impl Write for Lines {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.line.extend_from_slice(bytes);
        if self.line.ends_with(b"\n") {
            let line = std::mem::take(&mut self.line);
            self.hand_over(line);
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn write_all(mut sink: impl Write, receiver: &Receiver<Vec<u8>>, dropped: &AtomicU64) {
    while let Ok(line) = receiver.recv() {
        let count = dropped.swap(0, Ordering::Relaxed);
        let told = format!("log lines were dropped count={count}\n");
        let note = if count > 0 { told.as_bytes() } else { b"" };
        // Nobody reads the log any more; what is lost is what nobody would have read.
        if sink
            .write_all(note)
            .and_then(|()| sink.write_all(&line))
            .is_err()
        {
            return;
        }
    }
}

/// Logs key-values to standard output, from level `info` unless the environment says otherwise.
pub(crate) fn init() {
    let environment = env_logger::Env::default().default_filter_or("info,actix_http=off");
    let mut builder = env_logger::Builder::from_env(environment);
    builder.format_timestamp_millis();
    match Lines::new(io::stdout(), WAITING) {
        Ok(lines) => builder.target(env_logger::Target::Pipe(Box::new(lines))),
        Err(error) => {
            eprintln!("the log is written without a thread of its own: {error}");
            builder.target(env_logger::Target::Stdout)
        }
    };
    builder.init();
}
