//! Clients of the table and object service and the host list.
