//! Time line of events over all processes.
