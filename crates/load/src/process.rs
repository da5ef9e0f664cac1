//! CPU time and memory of a process, from `/proc`.

use std::fs;
use std::time::Duration;

use error_stack::{Report, ResultExt};

use crate::error::Error;

/// Unit of CPU time in `/proc`; Linux fixes it at 100 ticks a second for user space.
const CPU_TICK: Duration = Duration::from_millis(10);

/// Index of the user time in `/proc/PID/stat`, counted after the program's name.
const USER_TIME_FIELD: usize = 11;

/// A process identified by its id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Process {
    /// Process id.
    pub pid: u32,
}

impl Process {
    /// CPU time used by all threads of the process.
    ///
    /// # Errors
    /// The process has ended or may not be read.
    pub fn cpu_time(&self) -> Result<Duration, Report<Error>> {
        let stat = self.read("stat")?;
        // The name in parentheses may contain spaces, so fields are counted from the closing one.
        let fields = stat.rsplit_once(')').map_or("", |(_, fields)| fields);
        let ticks = |position| -> Option<u32> {
            fields.split_ascii_whitespace().nth(position)?.parse().ok()
        };
        let sum = ticks(USER_TIME_FIELD).zip(ticks(USER_TIME_FIELD + 1));
        let (user, system) = sum.ok_or_else(|| Report::new(Error::Process(self.pid)))?;
        Ok(CPU_TICK * (user + system))
    }

    /// Resident memory in bytes.
    ///
    /// # Errors
    /// The process has ended or may not be read.
    pub fn resident_bytes(&self) -> Result<u64, Report<Error>> {
        let status = self.read("status")?;
        status
            .lines()
            .find_map(|line| line.strip_prefix("VmRSS:"))
            .and_then(|rest| rest.split_ascii_whitespace().next()?.parse::<u64>().ok())
            .map(|kilobytes| kilobytes * 1024)
            .ok_or_else(|| Report::new(Error::Process(self.pid)))
    }

    fn read(&self, file: &str) -> Result<String, Report<Error>> {
        let path = format!("/proc/{}/{file}", self.pid);
        fs::read_to_string(path).change_context_lazy(|| Error::Process(self.pid))
    }
}
