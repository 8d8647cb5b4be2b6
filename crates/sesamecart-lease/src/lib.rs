//! Shard leases renewed by reading the log, with voters for log outages.
