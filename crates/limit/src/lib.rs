//! Admission: quotas, fair shares, priorities and deadlines.
