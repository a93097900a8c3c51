//! Validation of upstreams.

use super::{ValidationError, lookup::ResourceLookup};
use crate::resource::UpstreamSpec;

pub(super) fn check(
    spec: &UpstreamSpec,
    lookup: &ResourceLookup<'_>,
    errors: &mut Vec<ValidationError>,
) {
    lookup.check_service("spec.service", &spec.service, errors);
    let service = spec.service.as_str();
    lookup.check_version("spec.version", &spec.version, service, errors);
    check_address(spec, lookup, errors);
    let sizes = [
        ("spec.seats", spec.slots),
        ("spec.batch_tokens", spec.batch_tokens),
    ];
    for (path, _) in sizes.into_iter().filter(|(_, size)| *size == 0) {
        errors.push(ValidationError::new(
            path,
            "with zero, the upstream gets no requests; allowed: 1 or more",
            "write a larger number, or set `draining` to drain the upstream",
        ));
    }
}

fn check_address(
    spec: &UpstreamSpec,
    lookup: &ResourceLookup<'_>,
    errors: &mut Vec<ValidationError>,
) {
    let address = spec.address;
    if address.ip().is_unspecified() || address.port() == 0 {
        errors.push(ValidationError::new(
            "spec.address",
            format!("no daemon can connect to {address}; allowed: a host's IP address and port"),
            "write the address at which the upstream listens",
        ));
        return;
    }
    // With two upstreams of one address, the engine would get twice the requests it can take.
    let duplicate = lookup
        .upstreams()
        .find(|(_, other)| other.address == address);
    if let Some((duplicate, _)) = duplicate {
        errors.push(ValidationError::new(
            "spec.address",
            format!("upstream `{duplicate}` has the address {address} too; each is allowed once"),
            format!("correct the address, or delete upstream `{duplicate}` first"),
        ));
    }
}
