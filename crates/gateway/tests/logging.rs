//! The log never blocks, and counts the lines that it drops.

use std::io::{self, Write};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::Duration;

use gateway::logging::{Admission, LineBudget, QueuedWriter};

/// A sink that accepts a line only when the test permits it.
struct Gate {
    permits: Receiver<()>,
    written: Sender<String>,
}

impl Write for Gate {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.permits.recv().map_err(io::Error::other)?;
        let text = String::from_utf8_lossy(bytes).into_owned();
        self.written.send(text).map_err(io::Error::other)?;
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// The log collector stops reading and the pipe fills. When the write of a line waited for the
/// collector, the instance stood still.
#[test]
fn a_log_reader_that_stops_does_not_block_the_writer() {
    let (permits, gate_permits) = channel();
    let (gate_written, written) = channel();
    let gate = Gate {
        permits: gate_permits,
        written: gate_written,
    };
    let mut lines = QueuedWriter::new(gate, 4).unwrap();
    for n in 0..100 {
        writeln!(lines, "line {n}").unwrap();
    }
    for _ in 0..20 {
        permits.send(()).unwrap();
    }
    let mut seen = vec![written.recv().unwrap(), written.recv().unwrap()];
    writeln!(lines, "last").unwrap();
    drop(lines);
    seen.extend(written.iter().take_while(|line| !line.contains("last")));
    assert_eq!(
        seen.iter()
            .find(|line| line.contains("line 0"))
            .map(String::as_str),
        Some("line 0\n")
    );
    assert!(seen.iter().any(|line| line.contains("dropped count=")));
    assert!(seen.len() < 12, "{seen:?}");
}

/// A line that repeats thousands of times a second fills the queue. When all call sites shared one
/// bound, the line that explains a failed request was dropped.
#[test]
fn a_call_site_over_its_budget_does_not_crowd_out_others() {
    let mut budget = LineBudget::new(2);
    let (frequent, rare) = (("a.rs", 1), ("a.rs", 2));
    let written = |dropped| Admission::Written { dropped };
    let at = Duration::from_millis;
    assert_eq!(budget.admit(frequent, at(0)), written(0));
    assert_eq!(budget.admit(frequent, at(1)), written(0));
    for ms in 2..50 {
        assert_eq!(budget.admit(frequent, at(ms)), Admission::Dropped);
    }
    assert_eq!(budget.admit(rare, at(50)), written(0));
    assert_eq!(budget.admit(frequent, at(1_000)), written(48));
    assert_eq!(budget.admit(frequent, at(1_001)), written(0));
}
