//! Helpers shared by tests: free ports, child processes and small HTTP calls.
