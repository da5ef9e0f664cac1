//! The log of a process: lines to standard output, bounded, and never in the way of a call.

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

/// Where a line is logged: lines of one place are of one kind.
pub type Kind = (&'static str, u32);

/// Lines of one kind in a second. An instance of the largest deployment carries 40 calls a second; a kind
/// that exceeds this by far repeats itself, and would crowd out the others.
const LINES: u32 = 400;
/// The time that a budget is for.
const SECOND: Duration = Duration::from_secs(1);

/// What happens to a line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It is written, after a note of how many before it were not, if any.
    Written {
        /// Lines of its kind that were dropped before it.
        dropped: u64,
    },
    /// It is counted only.
    Dropped,
}

#[derive(Clone, Copy, Debug, Default)]
struct Window {
    begun: Moment,
    lines: u32,
    dropped: u64,
}

/// How many lines of each kind are written in a second.
#[derive(Debug)]
pub struct Budget {
    lines: u32,
    kinds: HashMap<Kind, Window>,
}

impl Budget {
    /// So many lines of each kind in a second.
    pub fn new(lines: u32) -> Self {
        Self {
            lines,
            kinds: HashMap::new(),
        }
    }

    /// Takes a line in.
    pub fn admit(&mut self, kind: Kind, now: Moment) -> Admission {
        let window = self.kinds.entry(kind).or_default();
        if now.saturating_sub(window.begun) >= SECOND {
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

/// Passes lines on within their budgets.
struct Bounded {
    logger: env_logger::Logger,
    clock: System,
    budget: Mutex<Budget>,
}

impl Log for Bounded {
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
            // A panic while lines are counted leaves counts that are good enough.
            let budget = self.budget.lock();
            let mut budget = budget.unwrap_or_else(PoisonError::into_inner);
            budget.admit(kind, self.clock.now())
        };
        if let Admission::Written { dropped } = admission {
            if dropped > 0 {
                self.note(record, dropped);
            }
            self.logger.log(record);
        }
    }

    fn flush(&self) {
        self.logger.flush();
    }
}

impl Bounded {
    /// Tells how many lines of a kind were dropped, in the form that the reader of logs knows.
    fn note(&self, record: &Record, dropped: u64) {
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
    let logger = builder.build();
    let most = logger.filter();
    let bounded = Bounded {
        logger,
        clock: System::new(),
        budget: Mutex::new(Budget::new(LINES)),
    };
    match log::set_boxed_logger(Box::new(bounded)) {
        Ok(()) => log::set_max_level(most),
        Err(error) => eprintln!("nothing is logged: {error}"),
    }
}
