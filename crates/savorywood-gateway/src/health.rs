//! Readings that upstreams report of themselves.
