//! HTTP edges over async-h1: a server with limits and an upstream client with a bounded pool.
