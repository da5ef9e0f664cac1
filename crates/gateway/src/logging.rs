//! Process log: lines to standard output, rate-limited, and never blocking a call.

use std::collections::HashMap;
use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::sync::{Mutex, PoisonError};
use std::thread;
use std::time::Duration;

use clock::{Clock as _, Moment, System};
use log::{Log, Metadata, Record};

/// Lines that may wait for a slow reader of standard output.
const QUEUE_LINES: usize = 2_048;

/// A writer that queues lines for a thread that writes them.
///
/// A log reader that stops fills the pipe, and a write to a full pipe blocks. The process has one
/// thread, so all its calls would stop together with the log collector. So lines wait in a bounded
/// queue; those that find it full are dropped and counted in a later line.
pub struct QueuedWriter {
    sender: SyncSender<Vec<u8>>,
    dropped: Arc<AtomicU64>,
    line: Vec<u8>,
}

impl QueuedWriter {
    /// Starts a thread that writes lines to `sink`, with a queue of `waiting` lines.
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

    fn enqueue(&mut self, line: Vec<u8>) {
        match self.sender.try_send(line) {
            Ok(()) => {}
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {
                self.dropped.fetch_add(1, Ordering::Relaxed);
            }
        }
    }
}

impl Write for QueuedWriter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.line.extend_from_slice(bytes);
        if self.line.ends_with(b"\n") {
            let line = std::mem::take(&mut self.line);
            self.enqueue(line);
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
        let text = format!("log lines were dropped count={count}\n");
        let note = if count > 0 { text.as_bytes() } else { b"" };
        // Nobody reads the log any more, so nothing of use is lost.
        if sink
            .write_all(note)
            .and_then(|()| sink.write_all(&line))
            .is_err()
        {
            return;
        }
    }
}

/// Source file and line of the call that logs. Budgets apply per call site.
pub type CallSite = (&'static str, u32);

/// Lines of one call site per second. An instance of the largest deployment serves 40 calls a
/// second; a call site that far exceeds this repeats itself, and would crowd out the others.
const MAX_LINES_PER_SECOND: u32 = 400;
/// Window of a budget.
const BUDGET_WINDOW: Duration = Duration::from_secs(1);

/// What happens to a line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It is written, preceded by a count of dropped lines if there are any.
    Written {
        /// Lines of its call site that were dropped before it.
        dropped: u64,
    },
    /// It is only counted.
    Dropped,
}

#[derive(Clone, Copy, Debug, Default)]
struct Window {
    begun: Moment,
    lines: u32,
    dropped: u64,
}

/// Limits the lines that each call site writes per second.
#[derive(Debug)]
pub struct LineBudget {
    lines: u32,
    windows: HashMap<CallSite, Window>,
}

impl LineBudget {
    /// A budget of `lines` per call site and second.
    pub fn new(lines: u32) -> Self {
        Self {
            lines,
            windows: HashMap::new(),
        }
    }

    /// Decides on a line.
    pub fn admit(&mut self, kind: CallSite, now: Moment) -> Admission {
        let window = self.windows.entry(kind).or_default();
        if now.saturating_sub(window.begun) >= BUDGET_WINDOW {
            window.begun = now;
            window.lines = 0;
        }
        if window.lines >= self.lines {
            window.dropped += 1;
            return Admission::Dropped;
        }
        window.lines += 1;
        Admission::Written {
            dropped: std::mem::take(&mut window.dropped),
        }
    }
}

/// A logger that enforces the budget.
struct BoundedLogger {
    logger: env_logger::Logger,
    clock: System,
    budget: Mutex<LineBudget>,
}

impl Log for BoundedLogger {
    fn enabled(&self, metadata: &Metadata) -> bool {
        self.logger.enabled(metadata)
    }

    fn log(&self, record: &Record) {
        if !self.enabled(record.metadata()) {
            return;
        }
        let kind = (
            record.file_static().unwrap_or_default(),
            record.line().unwrap_or_default(),
        );
        let admission = {
            // A panic while counting leaves counts that are good enough.
            let budget = self.budget.lock();
            let mut budget = budget.unwrap_or_else(PoisonError::into_inner);
            budget.admit(kind, self.clock.now())
        };
        if let Admission::Written { dropped } = admission {
            if dropped > 0 {
                self.log_dropped(record, dropped);
            }
            self.logger.log(record);
        }
    }

    fn flush(&self) {
        self.logger.flush();
    }
}

impl BoundedLogger {
    /// Logs how many lines of a call site were dropped, in the form that `explain` parses.
    fn log_dropped(&self, record: &Record, dropped: u64) {
        let line = record.line().unwrap_or_default();
        let values = [("line", u64::from(line)), ("count", dropped)];
        let note = Record::builder()
            .metadata(record.metadata().clone())
            .module_path(record.module_path())
            .key_values(&values)
            .args(format_args!("log lines were dropped"))
            .build();
        self.logger.log(&note);
    }
}

/// Starts logging key-values to standard output, from level `info` unless the environment sets
/// another.
pub(crate) fn init() {
    let environment = env_logger::Env::default().default_filter_or("info,actix_http=off");
    let mut builder = env_logger::Builder::from_env(environment);
    builder.format_timestamp_millis();
    match QueuedWriter::new(io::stdout(), QUEUE_LINES) {
        Ok(lines) => builder.target(env_logger::Target::Pipe(Box::new(lines))),
        Err(error) => {
            eprintln!("the log is written synchronously, since its thread cannot start: {error}");
            builder.target(env_logger::Target::Stdout)
        }
    };
    let logger = builder.build();
    let max_level = logger.filter();
    let bounded = BoundedLogger {
        logger,
        clock: System::new(),
        budget: Mutex::new(LineBudget::new(MAX_LINES_PER_SECOND)),
    };
    match log::set_boxed_logger(Box::new(bounded)) {
        Ok(()) => log::set_max_level(max_level),
        Err(error) => eprintln!("the logger cannot be set, so nothing is logged: {error}"),
    }
}
