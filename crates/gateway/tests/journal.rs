//! The log never blocks, and what it leaves out it counts.

use std::io::{self, Write};
use std::sync::mpsc::{Receiver, Sender, channel};

use gateway::journal::Lines;

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
    let mut lines = Lines::new(gate, 4).unwrap();
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
