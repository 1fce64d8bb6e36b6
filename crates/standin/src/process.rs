//! Facts about running processes.

use std::fs;

/// Returns the largest memory that a process has used so far, in MB; `None` if it has ended.
pub fn peak_memory_mb(process: u32) -> Option<u64> {
    let status = fs::read_to_string(format!("/proc/{process}/status")).ok()?;
    let line = status.lines().find_map(|l| l.strip_prefix("VmHWM:"))?;
    let kb: u64 = line.trim().strip_suffix(" kB")?.trim().parse().ok()?;
    Some(kb / 1_000)
}
