//! Processor time and memory of a process, as the kernel tells them.

use std::fs;
use std::time::Duration;

use error_stack::{Report, ResultExt};

use crate::error::Error;

/// Length of the kernel's unit of processor time towards programs; fixed on Linux.
const CPU_TICK: Duration = Duration::from_millis(10);

/// Position of the user time among the fields of `/proc/PID/stat` after the program's name.
const USER_TIME_FIELD: usize = 11;

/// A process by its id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Process {
    /// Its id.
    pub pid: u32,
}

impl Process {
    /// Processor time that the process has spent, its threads together.
    ///
    /// # Errors
    /// The process is gone or may not be read.
    pub fn cpu_time(&self) -> Result<Duration, Report<Error>> {
        let stat = self.read("stat")?;
        // The name in parentheses may hold spaces, so fields are counted from its end.
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
    /// The process is gone or may not be read.
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
