//! Limits of teams and services, and the times at which refused callers may return.
