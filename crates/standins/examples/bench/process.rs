//! Resource usage of a process, read from `/proc`.

use std::time::Duration;

use tokio::time::Instant;

/// Snapshot of the resource usage.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Usage {
    taken_at: Instant,
    cpu_ticks: u64,
    /// Resident memory.
    pub(crate) resident_bytes: u64,
    loopback_bytes: u64,
}

/// Resource usage between two snapshots.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Rates {
    /// Processor time as a share of one core, in percent.
    pub(crate) core_percent: f64,
    /// Bytes per second on the loopback interface, including packet headers, of all processes.
    pub(crate) loopback_bytes_per_s: f64,
}

const TICKS_PER_S: f64 = 100.0;
const USER_TICKS_FIELD: usize = 11;
const SYSTEM_TICKS_FIELD: usize = 12;

impl Usage {
    /// Takes a snapshot of a process.
    pub(crate) fn read(process: u32) -> Self {
        let stat = std::fs::read_to_string(format!("/proc/{process}/stat")).unwrap_or_default();
        // The command name may contain spaces; the fields after it do not.
        let fields: Vec<&str> = stat
            .rsplit(')')
            .next()
            .unwrap_or_default()
            .split_whitespace()
            .collect();
        let ticks = |index: usize| {
            fields
                .get(index)
                .and_then(|text| text.parse().ok())
                .unwrap_or(0)
        };
        Self {
            taken_at: Instant::now(),
            cpu_ticks: ticks(USER_TICKS_FIELD) + ticks(SYSTEM_TICKS_FIELD),
            resident_bytes: resident_bytes(process),
            loopback_bytes: loopback_bytes(),
        }
    }

    /// Computes the rates since an earlier snapshot.
    #[allow(
        clippy::cast_precision_loss,
        reason = "counts of a short run are small"
    )]
    pub(crate) fn since(&self, earlier: &Self) -> Rates {
        let elapsed: Duration = self.taken_at.duration_since(earlier.taken_at);
        let seconds = elapsed.as_secs_f64().max(f64::EPSILON);
        let ticks = (self.cpu_ticks - earlier.cpu_ticks) as f64;
        let bytes = (self.loopback_bytes - earlier.loopback_bytes) as f64;
        Rates {
            core_percent: 100.0 * ticks / TICKS_PER_S / seconds,
            loopback_bytes_per_s: bytes / seconds,
        }
    }
}

fn resident_bytes(process: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let line = status
        .lines()
        .find(|line| line.starts_with("VmRSS:"))
        .unwrap_or_default();
    let kib: u64 = line
        .split_whitespace()
        .nth(1)
        .and_then(|text| text.parse().ok())
        .unwrap_or_default();
    kib * 1024
}

fn loopback_bytes() -> u64 {
    let table = std::fs::read_to_string("/proc/net/dev").unwrap_or_default();
    let line = table
        .lines()
        .find(|line| line.trim_start().starts_with("lo:"))
        .unwrap_or_default();
    line.split_whitespace()
        .nth(1)
        .and_then(|text| text.parse().ok())
        .unwrap_or_default()
}
