//! Daemon settings and resource files, read from JSON with comments.
