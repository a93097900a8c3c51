//! Ranges and defaults of the numbers.

use crate::fault::MemberFault;
use std::time::Duration;

/// Smallest, largest and default value of a number.
pub(super) struct NumberRule {
    pub(super) path: &'static str,
    least: u64,
    pub(super) most: u64,
    default: u64,
}

macro_rules! number_rule {
    ($name:ident, $path:literal, $least:literal ..= $most:literal, $default:literal) => {
        pub(super) const $name: NumberRule = NumberRule {
            path: $path,
            least: $least,
            most: $most,
            default: $default,
        };
    };
}

number_rule!(CALL_TIMEOUT, "platform.call_timeout_ms", 10..=60_000, 2_000);
number_rule!(CONNECTIONS, "limits.connections", 1..=1_000_000, 4_096);
// The HTTP library reads heads of up to 8 KB.
number_rule!(HEAD_BYTES, "limits.head_bytes", 1_024..=8_000, 8_000);
number_rule!(
    BODY_BYTES,
    "limits.body_bytes",
    1_024..=1_073_741_824,
    8_388_608
);
number_rule!(HEAD_TIME, "limits.head_time_ms", 100..=60_000, 10_000);
number_rule!(BODY_TIME, "limits.body_time_ms", 100..=600_000, 30_000);
number_rule!(WRITE_TIME, "limits.write_time_ms", 100..=600_000, 60_000);
number_rule!(IDLE_TIME, "limits.idle_time_ms", 1_000..=3_600_000, 60_000);
number_rule!(THREADS, "limits.executor_threads", 1..=256, 2);
number_rule!(POOL, "limits.upstream_connections", 1..=65_536, 256);
number_rule!(DRAIN, "stop.drain_seconds", 1..=86_400, 900);
number_rule!(MAX_AGE, "stop.address_max_age_seconds", 1..=3_600, 30);
number_rule!(WRITES, "budgets.table_writes_per_second", 1..=10_000, 30);
number_rule!(
    PEER_BYTES,
    "budgets.peer_bytes_per_second",
    1_000..=100_000_000,
    9_000
);

impl NumberRule {
    /// The value, or the default; one out of range is a fault.
    pub(super) fn read(&self, value: Option<u64>, faults: &mut Vec<MemberFault>) -> u64 {
        let value = value.unwrap_or(self.default);
        if value < self.least || value > self.most {
            faults.push(MemberFault {
                path: self.path.to_owned(),
                message: format!("{value} is out of range"),
                allowed: format!("{} to {}", self.least, self.most),
                remedy: format!(
                    "write a value in range, or leave it out for {}",
                    self.default
                ),
            });
        }
        value
    }

    pub(super) fn read_size(&self, value: Option<u64>, faults: &mut Vec<MemberFault>) -> usize {
        usize::try_from(self.read(value, faults)).unwrap_or(usize::MAX)
    }

    pub(super) fn read_rate(&self, value: Option<u64>, faults: &mut Vec<MemberFault>) -> u32 {
        u32::try_from(self.read(value, faults)).unwrap_or(u32::MAX)
    }

    pub(super) fn read_millis(
        &self,
        value: Option<u64>,
        faults: &mut Vec<MemberFault>,
    ) -> Duration {
        Duration::from_millis(self.read(value, faults))
    }

    pub(super) fn read_seconds(
        &self,
        value: Option<u64>,
        faults: &mut Vec<MemberFault>,
    ) -> Duration {
        Duration::from_secs(self.read(value, faults))
    }
}
