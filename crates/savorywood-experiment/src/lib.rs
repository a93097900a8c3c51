//! Seeded experiments that compare scheduling policies over the real cores.
