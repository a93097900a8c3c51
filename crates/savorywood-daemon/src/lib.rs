//! The daemon shell: runs the effects of the core and turns their results into events.
