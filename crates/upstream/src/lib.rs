//! Meets upstreams: announcements, streams, orders and reconciliation.
