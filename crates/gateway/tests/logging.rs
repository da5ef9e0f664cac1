//! The log never blocks, and what it leaves out it counts.

use std::io::{self, Write};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::Duration;

use gateway::logging::{Admission, LineBudget, QueuedWriter};

/// A sink that takes a line only when it is let.
struct Gate {
    lets: Receiver<()>,
    written: Sender<String>,
}

impl Write for Gate {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.lets.recv().map_err(io::Error::other)?;
        let text = String::from_utf8_lossy(bytes).into_owned();
        self.written.send(text).map_err(io::Error::other)?;
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Symptom: an instance stands still while the collector of its log does. Sequence: the collector
/// stops reading, the pipe fills, the process logs a line. Cause: the write waited for the collector.
#[test]
fn a_reader_that_stops_costs_lines_and_no_time() {
    let (lets, gate_lets) = channel();
    let (gate_written, written) = channel();
    let gate = Gate {
        lets: gate_lets,
        written: gate_written,
    };
    let mut lines = QueuedWriter::new(gate, 4).unwrap();
    for n in 0..100 {
        writeln!(lines, "line {n}").unwrap();
    }
    for _ in 0..20 {
        lets.send(()).unwrap();
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

/// Symptom: the line that explains a failed request is not in the log. Sequence: one kind of line repeats itself
/// thousands of times a second and fills the queue. Cause: all kinds shared one bound.
#[test]
fn a_kind_of_line_that_repeats_itself_leaves_room_for_the_others() {
    let mut budget = LineBudget::new(2);
    let (often, seldom) = (("a.rs", 1), ("a.rs", 2));
    let written = |dropped| Admission::Written { dropped };
    let at = Duration::from_millis;
    assert_eq!(budget.admit(often, at(0)), written(0));
    assert_eq!(budget.admit(often, at(1)), written(0));
    for ms in 2..50 {
        assert_eq!(budget.admit(often, at(ms)), Admission::Dropped);
    }
    assert_eq!(budget.admit(seldom, at(50)), written(0));
    assert_eq!(budget.admit(often, at(1_000)), written(48));
    assert_eq!(budget.admit(often, at(1_001)), written(0));
}
