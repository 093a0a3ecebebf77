//! Callers' and operators' HTTP.
