//! Runs one voter of a control group: consensus, disk and state machine.
