//! Placement of requests on the slots of upstreams.
