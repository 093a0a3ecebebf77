//! The planners' sheet: parse, check and difference.
