//! Placement: owners, upstreams, length classes, memory and cold start.
