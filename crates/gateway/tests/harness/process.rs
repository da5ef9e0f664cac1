//! What the kernel says of a gateway's process.

use super::Gateway;

impl Gateway {
    /// Number of open descriptors of the process.
    pub(crate) fn open_descriptors(&self) -> usize {
        let path = format!("/proc/{}/fd", self.child.borrow().id());
        std::fs::read_dir(path).expect("the process runs").count()
    }

    /// Whether the process has not ended.
    pub(crate) fn is_alive(&self) -> bool {
        matches!(self.child.borrow_mut().try_wait(), Ok(None))
    }

    /// Largest resident memory of the process so far, in MiB.
    pub(crate) fn peak_memory_mib(&self) -> u64 {
        let path = format!("/proc/{}/status", self.child.borrow().id());
        let status = std::fs::read_to_string(path).expect("the process runs");
        let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let kib = peak.and_then(|peak| peak.trim().strip_suffix(" kB"));
        let kib: u64 = kib
            .and_then(|kib| kib.parse().ok())
            .expect("the kernel states it in kB");
        kib / 1024
    }
}
