//! Membership of nodes: heartbeats and suspicion at a bounded cost.
