//! Reading of the groups of settings.

use super::{address, number};
use crate::{
    daemon::{BudgetSettings, KeySettings, LimitSettings, PlatformSettings, StopSettings},
    decode,
    fault::MemberFault,
    path::MemberPath,
    raw::{RawBudgets, RawKeys, RawLimits, RawPlatform, RawStop},
    secret::SecretFile,
};
use std::{
    net::SocketAddr,
    path::{Path, PathBuf},
};

pub(super) fn required<T>(
    value: Option<T>,
    path: &str,
    faults: &mut Vec<MemberFault>,
) -> Option<T> {
    if value.is_none() {
        faults.push(decode::missing_member(&MemberPath::parse(path)));
    }
    value
}

pub(super) fn read_limits(raw: &RawLimits, faults: &mut Vec<MemberFault>) -> LimitSettings {
    LimitSettings {
        connections: number::CONNECTIONS.read_size(raw.connections, faults),
        head_bytes: number::HEAD_BYTES.read_size(raw.head_bytes, faults),
        body_bytes: number::BODY_BYTES.read_size(raw.body_bytes, faults),
        head_time: number::HEAD_TIME.read_millis(raw.head_time_ms, faults),
        body_time: number::BODY_TIME.read_millis(raw.body_time_ms, faults),
        write_time: number::WRITE_TIME.read_millis(raw.write_time_ms, faults),
        idle_time: number::IDLE_TIME.read_millis(raw.idle_time_ms, faults),
        executor_threads: number::THREADS.read_size(raw.executor_threads, faults),
        upstream_connections: number::POOL.read_size(raw.upstream_connections, faults),
    }
}

pub(super) fn read_stop(raw: &RawStop, faults: &mut Vec<MemberFault>) -> StopSettings {
    let stop = StopSettings {
        drain: number::DRAIN.read_seconds(raw.drain_seconds, faults),
        address_max_age: number::MAX_AGE.read_seconds(raw.address_max_age_seconds, faults),
    };
    // A daemon that exits while callers still keep its address refuses their connections: a
    // planned stop would show as connect failures.
    if stop.drain < stop.address_max_age {
        let least = stop.address_max_age.as_secs();
        faults.push(MemberFault {
            path: number::DRAIN.path.to_owned(),
            message: "the drain ends while callers still keep this daemon's address".to_owned(),
            allowed: format!(
                "{least} (address_max_age_seconds) to {}",
                number::DRAIN.most
            ),
            remedy: "raise drain_seconds or lower address_max_age_seconds".to_owned(),
        });
    }
    stop
}

pub(super) fn read_budgets(raw: &RawBudgets, faults: &mut Vec<MemberFault>) -> BudgetSettings {
    BudgetSettings {
        table_writes_per_second: number::WRITES.read_rate(raw.table_writes_per_second, faults),
        peer_bytes_per_second: number::PEER_BYTES.read_rate(raw.peer_bytes_per_second, faults),
    }
}

pub(super) fn read_platform(
    raw: &RawPlatform,
    faults: &mut Vec<MemberFault>,
) -> Option<PlatformSettings> {
    let mut read_address = |value: Option<SocketAddr>, path: &str| {
        let value = required(value, path, faults)?;
        address::check_reachable(value, path, faults).then_some(value)
    };
    let table_address = read_address(raw.table_address, "platform.table_address");
    let object_address = read_address(raw.object_address, "platform.object_address");
    let host_list_address = read_address(raw.host_list_address, "platform.host_list_address");
    let call_timeout = number::CALL_TIMEOUT.read_millis(raw.call_timeout_ms, faults);
    Some(PlatformSettings {
        table_address: table_address?,
        object_address: object_address?,
        host_list_address: host_list_address?,
        call_timeout,
    })
}

pub(super) fn read_keys(
    raw: RawKeys,
    folder: &Path,
    faults: &mut Vec<MemberFault>,
) -> Option<KeySettings> {
    let mut file = |value: Option<PathBuf>, path: &str| {
        let value = required(value, path, faults)?;
        Some(SecretFile::new(folder.join(value)))
    };
    let peer_key_file = file(raw.peer_key_file, "keys.peer_key_file");
    let operator_token_file = file(raw.operator_token_file, "keys.operator_token_file");
    let resume_key_file = file(raw.resume_key_file, "keys.resume_key_file");
    let keys = KeySettings {
        peer_key_file: peer_key_file?,
        operator_token_file: operator_token_file?,
        resume_key_file: resume_key_file?,
    };
    check_separate_keys(&keys, faults);
    Some(keys)
}

/// One secret for two uses would let whoever learns it by one way use it in the other, such as
/// an operator who then speaks as a daemon.
fn check_separate_keys(keys: &KeySettings, faults: &mut Vec<MemberFault>) {
    let mut shared = |first: &SecretFile, second: &SecretFile, path: &str| {
        if first == second {
            faults.push(MemberFault {
                path: path.to_owned(),
                message: format!("{} is named for two secrets", first.path().display()),
                allowed: "a file of its own for each secret".to_owned(),
                remedy: "make a second secret and name its file here".to_owned(),
            });
        }
    };
    let peer = &keys.peer_key_file;
    let operator = &keys.operator_token_file;
    let resume = &keys.resume_key_file;
    shared(peer, operator, "keys.operator_token_file");
    shared(peer, resume, "keys.resume_key_file");
    shared(operator, resume, "keys.resume_key_file");
}
