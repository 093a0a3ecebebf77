//! Replicated state of a region: configuration, roster, leases and ledger.
